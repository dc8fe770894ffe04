"""Which process is at the other end of a local connection, by the kernel's tables under ``/proc``."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

_LOCAL_ADDRESS, _INODE = 1, 9
"""Columns of ``/proc/net/tcp``."""


def owner_of(address: tuple[str, int], processes: Mapping[str, int], table: Path = Path("/proc/net/tcp")) -> str:
    """Return the name of the process whose socket is bound to ``address``, empty if it is none of them.

    ``processes`` has process ids by name. A process that ends meanwhile owns nothing.
    """
    inode = _inode_of(address, table)
    for name, pid in processes.items():
        if inode and _holds(pid, f"socket:[{inode}]"):
            return name
    return ""


def _inode_of(address: tuple[str, int], table: Path) -> str:
    host, port = address
    octets = reversed(host.split("."))
    wanted = "".join(f"{int(octet):02X}" for octet in octets) + f":{port:04X}"
    with table.open() as lines:
        for line in lines:
            columns = line.split()
            if columns[_LOCAL_ADDRESS] == wanted:
                return columns[_INODE]
    return ""


def _holds(pid: int, link: str) -> bool:
    try:
        return any(_target(entry) == link for entry in os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return False


def _target(entry: os.DirEntry[str]) -> str:
    try:
        return os.readlink(entry.path)
    except OSError:
        return ""  # It was closed just now.
