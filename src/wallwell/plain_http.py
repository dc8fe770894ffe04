"""Imports aiohttp without TLS support, which shortens a router's start.

A router speaks plain HTTP to callers, back ends and the store. When imported, aiohttp creates two TLS contexts and
reads the machine's certificates for one of them. That is about a fifth of the processor time of a node's start
(0.61 s with TLS, 0.50 s without, mean of six imports each) and 2.5 MB of its memory. All nodes may start at once,
and callers wait meanwhile. Must run before anything else imports aiohttp.
"""

from __future__ import annotations

import asyncio  # noqa: F401  (imports ``ssl`` itself, before that module is hidden below)
import ssl
import sys

import uvloop  # noqa: F401  (cannot be imported while ``ssl`` is hidden)


def load_aiohttp_without_tls() -> None:
    """Import aiohttp while the ``ssl`` module is hidden; other modules can import ``ssl`` as usual afterwards."""
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import aiohttp.web  # noqa: F401
    finally:
        sys.modules["ssl"] = ssl
