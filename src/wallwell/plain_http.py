"""Loads aiohttp as on a Python without TLS.

A router speaks plain HTTP to callers, back ends and the store. aiohttp makes two TLS contexts when it is imported
and reads the machine's certificates for one of them: about a fifth of the processor time of a node's start (0.61 s
with them, 0.50 s without, mean of six imports each) and 2.5 MB of its memory. All nodes may start at the same time,
and callers wait meanwhile. Must run before anything else imports aiohttp.
"""

from __future__ import annotations

import asyncio  # noqa: F401  (keeps a reference of its own to the module that is hidden below)
import ssl
import sys

import uvloop  # noqa: F401  (does not load without that module)


def load_aiohttp_without_tls() -> None:
    """Import aiohttp without the ``ssl`` module; every other import finds that module as before."""
    sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import aiohttp.web  # noqa: F401
    finally:
        sys.modules["ssl"] = ssl
