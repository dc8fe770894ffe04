"""Rendezvous hashing: every node computes the same owner of a key from the same set of members. Pure.

When a member goes, only its own keys move. The scores are part of what nodes of different versions agree on, so the
hash must not change.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

_KEY_MASK = (1 << 64) - 1
"""Keys are the seeds of the hash, which are 64 bits wide."""


def rendezvous_score(name: str, key: int) -> int:
    """Return the score of ``name`` for ``key``; the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(name.encode(), key & _KEY_MASK)


def owners(names: Iterable[str], key: int, count: int = 1) -> list[str]:
    """Return the ``count`` best owners of ``key``, best first."""
    ordered = sorted(names, key=lambda name: (rendezvous_score(name, key), name), reverse=True)
    return ordered[:count]


def owner(names: Iterable[str], key: int) -> str:
    """Return the owner of ``key``. Raises ValueError if there are no names."""
    return max(names, key=lambda name: (rendezvous_score(name, key), name))


def rendezvous_key(text: str) -> int:
    """Return a 64-bit key for a text."""
    return xxhash.xxh3_64_intdigest(text.encode())
