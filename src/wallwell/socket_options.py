"""Options of TCP sockets that end connections whose other end is gone without a reset, and a test for such ends.

Relies on the system's TCP: nothing here costs the event loop anything while a connection is open.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket

KEEPALIVE_PROBE_S = 1
"""Seconds without a packet after which the system probes a connection.

The shortest that the system allows. Engines are silent for up to half a second between the events of a stream."""
KEEPALIVE_PROBES = 1
"""Unanswered probes after which the connection ends; each is given ``KEEPALIVE_PROBE_S``, so the end comes after 2
s."""


def enable_keepalive(transport: asyncio.BaseTransport | None, unacknowledged_s: float) -> None:
    """Let the system end a connection whose other end no longer acknowledges anything, idle or in use.

    Without this, a connection whose packets are dropped on the way looks open forever. With bytes sent it ends
    after ``unacknowledged_s`` seconds, without any after ``KEEPALIVE_PROBE_S`` and as long for each probe. Does
    nothing where the system lacks an option.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(unacknowledged_s * 1000))


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes of the other end, or its close, wait in the socket for the event loop to read them."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    return sock is not None and is_readable(sock.fileno())


def is_readable(descriptor: int) -> bool:
    """Whether bytes wait in a socket, or connections in a listening one; false where the system cannot say."""
    if not hasattr(select, "poll"):
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def has_hung_up(transport: asyncio.BaseTransport | None) -> bool:
    """Whether a connection's other end has closed it, asked of the system: the event loop learns it a turn later.

    One system call, a few microseconds. Where the system cannot say, only what the loop knows counts.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(select, "POLLRDHUP"):
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
