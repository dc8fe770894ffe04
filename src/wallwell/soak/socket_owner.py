"""Which process is at the other end of a local connection, asked of the kernel (``sock_diag(7)`` and ``/proc``)."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Mapping

Address = tuple[str, int]

# Constants of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = b"\xff" * 8
_HEADER = struct.Struct("=IHHII")
"""Length, type, flags, sequence and port of a netlink message."""
_REQUEST = struct.Struct("=BBBxI")
"""Family, protocol, extensions and states, before the socket's id."""
_INODE_OFFSET = _HEADER.size + 4 + 48 + 16
"""Of the inode in an answer: after the message's header, four bytes, the socket's id and four figures."""
_ANSWER_BYTES = 8192
"""More than the answer about one socket."""


def owner_of(near: Address, far: Address, processes: Mapping[str, int]) -> str:
    """Return the name of the process whose socket is bound to ``near`` and connected to ``far``, empty for none.

    ``processes`` has process ids by name. A process that ends meanwhile owns nothing.
    """
    inode = _inode_of(near, far)
    for name, pid in processes.items():
        if inode and _holds(pid, f"socket:[{inode}]"):
            return name
    return ""


def _inode_of(near: Address, far: Address) -> int:
    """Return the inode of one socket, 0 if there is none. The table of all sockets may leave out some of them."""
    identity = struct.pack(">HH", near[1], far[1])
    identity += socket.inet_aton(near[0]).ljust(16, b"\0") + socket.inet_aton(far[0]).ljust(16, b"\0")
    identity += struct.pack("=I", 0) + _NO_COOKIE
    request = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, _ALL_STATES) + identity
    length = _HEADER.size + len(request)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG) as kernel:
        kernel.send(_HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0) + request)
        answer = kernel.recv(_ANSWER_BYTES)
    if _HEADER.unpack_from(answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return 0
    return int(struct.unpack_from("=I", answer, _INODE_OFFSET)[0])


def _holds(pid: int, link: str) -> bool:
    try:
        return any(_target(entry) == link for entry in os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return False  # The process has ended.


def _target(entry: os.DirEntry[str]) -> str:
    try:
        return os.readlink(entry.path)
    except OSError:
        return ""  # It was closed just now.
