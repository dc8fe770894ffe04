"""Prompt parts as an engine or a KV store keeps them, each with the tenant whose request made it. Pure.

A part is found only under the scope that stored it, and only if all parts before it are kept too. Real engines know
scopes and no tenants; here the makers are kept so that a test can check who used whose parts.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from wallwell.routing.selection.prefix_home import PromptPart


class KeptPart(NamedTuple):
    """A part as it is kept. ``maker`` is the tenant whose request made it, empty for a caller without one."""

    tokens: int
    maker: str


class PartKey(NamedTuple):
    """A part is kept under its scope and the identities of all parts up to it."""

    scope: str
    identities: tuple[str, ...]


class CachedRun(NamedTuple):
    """What one request found of its prompt, part by part from the beginning, and how many tokens it read."""

    found: tuple[KeptPart, ...]
    read_tokens: int

    def makers_beside(self, tenant: str) -> tuple[str, ...]:
        """Return the other tenants whose parts a request of ``tenant`` used, each once."""
        return tuple(dict.fromkeys(part.maker for part in self.found if part.maker != tenant))


class PartCache:
    """Kept parts; nothing is evicted."""

    def __init__(self) -> None:
        self.kept: dict[PartKey, KeptPart] = {}

    def find(self, scope: str, parts: Sequence[PromptPart]) -> tuple[KeptPart, ...]:
        """Return the parts of a prompt that are kept, from its beginning to the first gap."""
        found: list[KeptPart] = []
        for key in _keys(scope, parts):
            if key not in self.kept:
                break
            found.append(self.kept[key])
        return tuple(found)

    def keep(self, scope: str, parts: Sequence[PromptPart], made: Sequence[KeptPart]) -> list[PartKey]:
        """Keep the first parts of a prompt as they were made; return what was not kept yet. A part that is kept
        stays as it was first made."""
        added = []
        for key, part in zip(_keys(scope, parts), made, strict=False):
            if self.kept.setdefault(key, part) is part:
                added.append(key)
        return added

    def run(
        self, scope: str, parts: Sequence[PromptPart], tenant: str, fetched: Sequence[KeptPart] = ()
    ) -> CachedRun:
        """Run a request: use what is kept, then what was fetched beyond that, and read and keep the rest."""
        found = self.find(scope, parts)
        found += tuple(fetched[len(found) :])
        read = [KeptPart(part.tokens, tenant) for part in parts[len(found) :]]
        self.keep(scope, parts, (*found, *read))
        return CachedRun(found, sum(part.tokens for part in read))


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt as a request's header lists them: ``ID:TOKENS``, separated by commas."""
    pairs = (part.strip().partition(":") for part in text.split(",") if part.strip())
    return tuple(PromptPart(identity, int(tokens)) for identity, _, tokens in pairs)


def _keys(scope: str, parts: Sequence[PromptPart]) -> Iterator[PartKey]:
    identities: tuple[str, ...] = ()
    for part in parts:
        identities += (part.identity,)
        yield PartKey(scope, identities)
