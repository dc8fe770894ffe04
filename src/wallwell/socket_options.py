"""TCP socket options that detect a dead remote end, and checks of a socket for unread bytes, a remote close or
connections that wait.

The system's TCP does the detection, so that it costs the event loop nothing while a connection is open.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
from collections.abc import Iterable

KEEPALIVE_PROBE_S = 1
"""Seconds without a packet after which the system sends a keepalive probe.

The minimum that the system allows. Engines send nothing for up to half a second between the events of a stream."""
MAX_ACCEPT_ITERATIONS = 100
"""Maximum event loop iterations in which pending connections are accepted."""
ACCEPT_COMPLETION_ITERATIONS = 3
"""Event loop iterations after which an accepted connection is independent of the listening socket."""


def enable_keepalive(transport: asyncio.BaseTransport | None, unacknowledged_s: float) -> None:
    """Let the system end a connection, idle or in use, whose remote end no longer acknowledges packets.

    Without this, a connection whose packets the network drops looks open forever. With unacknowledged bytes it ends
    after ``unacknowledged_s`` seconds, an idle one after :func:`idle_end_s`. Options that the system lacks are
    skipped.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    if hasattr(socket, "TCP_KEEPIDLE"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _probe_count(unacknowledged_s))
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, math.ceil(unacknowledged_s * 1000))


def idle_end_s(unacknowledged_s: float) -> float:
    """Return the seconds after the last packet at which an idle connection ends.

    On Linux, a ``TCP_USER_TIMEOUT`` that is set replaces the count of keepalive probes: the connection ends when a
    probe is due, an earlier one is unanswered and nothing came for that time. The count that is set gives the same.
    """
    return float((1 + _probe_count(unacknowledged_s)) * KEEPALIVE_PROBE_S)


def survived_silence_s(unacknowledged_s: float) -> float:
    """Return for how many seconds a remote end may acknowledge nothing without losing any of its connections.

    An idle connection may send its first probe as the silence begins, and bytes may be sent then.
    """
    return min(unacknowledged_s, idle_end_s(unacknowledged_s) - KEEPALIVE_PROBE_S)


def _probe_count(unacknowledged_s: float) -> int:
    """Return the number of unanswered probes after which an idle connection ends."""
    return max(1, math.ceil(unacknowledged_s / KEEPALIVE_PROBE_S) - 1)


def has_unread_bytes(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the socket holds received bytes, or the remote end's close, that the event loop has not read yet."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    return sock is not None and is_readable(sock.fileno())


def is_readable(descriptor: int) -> bool:
    """Whether a socket has bytes to read, or a listening one connections to accept; false without ``poll``."""
    if not hasattr(select, "poll"):
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


async def accept_pending(listening: Iterable[socket.socket]) -> None:
    """Let the event loop accept the connections that wait at listening sockets, before these are closed: the system
    resets connections that still wait then, and what was sent on them is lost."""
    descriptors = [each.fileno() for each in listening]
    quiet_iterations = 0
    for _ in range(MAX_ACCEPT_ITERATIONS):
        quiet_iterations = 0 if any(map(is_readable, descriptors)) else quiet_iterations + 1
        if quiet_iterations > ACCEPT_COMPLETION_ITERATIONS:
            return
        await asyncio.sleep(0)


def has_hung_up(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the remote end has closed a connection, which the event loop notices one iteration later.

    Costs one system call of a few microseconds. Without ``POLLRDHUP``, only a close seen by the loop counts.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(select, "POLLRDHUP"):
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
