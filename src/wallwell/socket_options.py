"""Options of TCP sockets that find peers which have fallen silent without a reset."""

from __future__ import annotations

import asyncio
import math
import select
import socket

PROBE_AFTER_S = 1
"""Silence of a connection, in whole seconds, after which its other end is asked for a sign of life.

The shortest that the system allows. Engines are silent for up to half a second between the pieces of a stream."""
PROBES = 1
"""Unanswered probes after which the connection ends; each is waited for as long as the silence before it."""


def end_when_silent(transport: asyncio.BaseTransport | None, unacknowledged_s: float) -> None:
    """Let a connection end by itself when its other end says nothing any more, resting or waiting for an answer.

    Without this, a connection whose packets are dropped on the way looks open for good. Bytes that were sent end it
    after ``unacknowledged_s`` seconds, silence after ``PROBE_AFTER_S`` and as long for each probe.
    """
    raw = transport.get_extra_info("socket") if transport is not None else None
    if raw is None:
        return
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(unacknowledged_s * 1000))


def has_hung_up(transport: asyncio.BaseTransport | None) -> bool:
    """Whether a connection's other end has closed it, asked of the system: an event loop tells it a turn later.

    One system call, a few microseconds. Where the system does not tell, only what the loop knows counts.
    """
    if transport is None or transport.is_closing():
        return True
    raw = transport.get_extra_info("socket")
    if raw is None or not hasattr(select, "POLLRDHUP"):
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
