"""Rendezvous hashing: every node computes the same owner of a key from the same set of members. Pure.

When a member is removed, only the keys that it owned move. Nodes of different versions must agree on the scores, so
the hash function must not change.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

_KEY_MASK = (1 << 64) - 1
"""Truncates keys to 64 bits, the width of the hash function's seed."""


def rendezvous_score(name: str, key: int) -> int:
    """Return the score of ``name`` for ``key``; the name with the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(name.encode(), key & _KEY_MASK)


def owners(names: Iterable[str], key: int, count: int = 1) -> list[str]:
    """Return the ``count`` names with the highest scores for ``key``, highest first."""
    ordered = sorted(names, key=lambda name: (rendezvous_score(name, key), name), reverse=True)
    return ordered[:count]


def owner(names: Iterable[str], key: int) -> str:
    """Return the owner of ``key``. Raises :class:`ValueError` if there are no names."""
    return max(names, key=lambda name: (rendezvous_score(name, key), name))


def rendezvous_key(text: str) -> int:
    """Return the 64-bit key of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())
