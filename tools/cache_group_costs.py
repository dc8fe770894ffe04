"""Compares rules for who shares KV cache by what a change of the isolated tenants costs, in a model without I/O.

    python tools/cache_group_costs.py [--seed N]

Engines and one KV store keep parts of prompts by scope and evict the least recently used ones; each prompt goes to
its home engine, which takes from the store what it lacks and reads the rest. Figures are tokens of parts that are
shared: those read in the 10 s before a change and in the 10 s and 30 s after it, and those that the store keeps in
the end besides a first copy, under other scopes.
"""

from __future__ import annotations

import argparse
import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wallwell.deployment.cache_groups import CacheGroups, cache_scope
from wallwell.deployment.tenants import TenantAccess

ENGINES = 6
ENGINE_TOKENS = 110_556
STORE_TOKENS = 777_391
LONG_PER_S, SHORT_PER_S = 8.8, 22.9
"""Requests per second with long and with short shared parts."""
LONG_PART_TOKENS, SHORT_PART_TOKENS = 3_150, 198
LONG_TREES, LONG_LEAVES, SHORT_PARTS = 8, 15, 20
"""Long prompts have a first part that many share and a second one below it; short ones have one part."""
TENANTS = 8
CHANGE_S, END_S = 60.0, 120.0

Tenants = Sequence[TenantAccess]
Rule = Callable[[TenantAccess, Tenants, int], str]
"""Returns the scope of a tenant among all, where ``generation`` counts the tenants that became isolated so far."""


def by_isolated_set(tenant: TenantAccess, tenants: Tenants, _generation: int) -> str:
    """The rule in use."""
    return cache_scope("m", 1, CacheGroups(tenants).group_of(tenant))


def by_tenant(tenant: TenantAccess, _tenants: Tenants, _generation: int) -> str:
    """Nobody shares."""
    return tenant.name


def by_sharing_set(tenant: TenantAccess, tenants: Tenants, _generation: int) -> str:
    """The scope of those who share names all of them."""
    return tenant.name if tenant.isolated else ",".join(each.name for each in tenants if not each.isolated)


def by_generation(tenant: TenantAccess, _tenants: Tenants, generation: int) -> str:
    """A number, kept in the platform's store, rises whenever a tenant becomes isolated that was not."""
    return tenant.name if tenant.isolated else f"generation {generation}"


RULES: dict[str, Rule] = {
    "isolated set": by_isolated_set,
    "own scope for each tenant": by_tenant,
    "sharing set": by_sharing_set,
    "generation in the store": by_generation,
}


def tenants(isolated: Sequence[int] = (), count: int = TENANTS) -> list[TenantAccess]:
    """Return tenants, some of them isolated."""
    return [TenantAccess(f"t{number}", (), isolated=number in isolated) for number in range(count)]


@dataclass(frozen=True)
class Change:
    """What is in force before and after, and by how much the kept generation rises."""

    before: Tenants
    after: Tenants
    generations: int = 0


CHANGES = {
    "one of 8 is isolated": Change(tenants(), tenants([0]), 1),
    "it is released": Change(tenants([0]), tenants()),
    "one more tenant, not isolated": Change(tenants(), tenants(count=TENANTS + 1)),
    "one more tenant, isolated at once": Change(tenants(), tenants([TENANTS], TENANTS + 1)),
}


class Lru:
    """Parts by scope and identity, the least recently used ones evicted."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.kept: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.used = 0

    def has(self, key: tuple[str, str]) -> bool:
        """Whether a part is kept, which is a use of it."""
        if key not in self.kept:
            return False
        self.kept.move_to_end(key)
        return True

    def put(self, key: tuple[str, str], tokens: int) -> None:
        """Keep a part."""
        if not self.has(key):
            self.kept[key] = tokens
            self.used += tokens
        while self.used > self.room:
            self.used -= self.kept.popitem(last=False)[1]


def draw_parts(generator: random.Random) -> list[tuple[str, int]]:
    """Return the shared parts of a prompt with their tokens."""
    if generator.random() < LONG_PER_S / (LONG_PER_S + SHORT_PER_S):
        tree, leaf = generator.randrange(LONG_TREES), generator.randrange(LONG_LEAVES)
        return [(f"long {tree}", LONG_PART_TOKENS), (f"long {tree}/{leaf}", LONG_PART_TOKENS)]
    return [(f"short {generator.randrange(SHORT_PARTS)}", SHORT_PART_TOKENS)]


def play(rule: Rule, change: Change, seed: int) -> dict[str, int]:
    """Return the figures of one rule and one change."""
    generator = random.Random(seed)
    engines, store = [Lru(ENGINE_TOKENS) for _ in range(ENGINES)], Lru(STORE_TOKENS)
    read: list[tuple[float, int]] = []
    at_s = 0.0
    while at_s < END_S:
        in_force, generation = (change.before, 0) if at_s < CHANGE_S else (change.after, change.generations)
        tenant = generator.choice(in_force)
        scope, parts = rule(tenant, in_force, generation), draw_parts(generator)
        engine = engines[hash_of(parts[-1][0], scope if tenant.isolated else "") % ENGINES]
        for identity, tokens in parts:
            key = (scope, identity)
            if not engine.has(key) and not store.has(key):
                read.append((at_s, tokens))
            engine.put(key, tokens)
            store.put(key, tokens)
        at_s += generator.expovariate(LONG_PER_S + SHORT_PER_S)
    copies: dict[str, list[int]] = defaultdict(list)
    for (_, identity), tokens in store.kept.items():
        copies[identity].append(tokens)
    return {
        "10 s before": sum(tokens for when_s, tokens in read if CHANGE_S - 10 <= when_s < CHANGE_S),
        "10 s after": sum(tokens for when_s, tokens in read if CHANGE_S <= when_s < CHANGE_S + 10),
        "30 s after": sum(tokens for when_s, tokens in read if CHANGE_S <= when_s < CHANGE_S + 30),
        "kept twice": sum(sum(each[1:]) for each in copies.values()),
    }


def hash_of(*texts: str) -> int:
    """Return a number that is the same in each run."""
    return random.Random("/".join(texts)).getrandbits(32)


def main() -> None:
    """Print a table for each change."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for name, change in CHANGES.items():
        print(name)
        for rule_name, rule in RULES.items():
            figures = play(rule, change, seed)
            print(f"  {rule_name:<28}", ", ".join(f"{key} {value:>9,}" for key, value in figures.items()))


if __name__ == "__main__":
    main()
