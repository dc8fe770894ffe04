"""The invariant about KV cache of tenants that a configuration isolates. Pure."""

from __future__ import annotations

import bisect
from collections import defaultdict

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import AttemptLogged, ConfigurationRead, KeysInForce, PartsUsed, Sent
from wallwell.soak.schedule import CONFIGURATION_S, REVOKE_S, ROUTE_TIMEOUT_S
from wallwell.soak.timeline import History

RECORD_LAG_S = 0.5
"""Seconds by which a node may have a configuration before the run records that it was acknowledged."""
LOG_LAG_S = 0.05
"""Seconds by which the time of a log line may differ from the steady clock of the records."""


def isolated_share_nothing(history: History) -> Cases:
    """A request uses no part that another tenant's request made, if the configuration in force at the node that
    began its attempt isolates one of the two.

    Which one was in force is known in three ways, and each counts: by the line of the attempt, by the lines of the
    node since the request was sent, and by the time within which a node must have read it or refuse requests. A
    case is a use of one tenant's parts by another one's request.
    """
    versions = _Versions(history)
    for used in history.records:
        if not isinstance(used, PartsUsed):
            continue
        known = versions.perhaps_in_force(used)
        for maker in used.makers:
            walls = [how for how, each in known.items() if each and versions.all_isolate(each, used.tenant, maker)]
            if not walls:
                yield HELD
                continue
            detail = (
                f"{used.worker} used parts of {maker} for {used.tenant} under {used.scope}; all configurations in "
                f"force {walls[0]} ({sorted(known[walls[0]])}) isolate one of them"
            )
            yield Violation(used.at_s, used.request, detail)


class _Versions:
    """The versions of the configuration in a history."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._acknowledged = [each for each in history.records if isinstance(each, KeysInForce)]
        self._isolated = {each.version: each.isolated for each in self._acknowledged}
        self._of_attempts: dict[tuple[str, str], list[AttemptLogged]] = defaultdict(list)
        self._read: dict[str, list[ConfigurationRead]] = defaultdict(list)
        for record in history.records:
            if isinstance(record, AttemptLogged):
                self._of_attempts[record.request, record.worker].append(record)
            elif isinstance(record, ConfigurationRead):
                self._read[record.node].append(record)

    def all_isolate(self, versions: set[int], *tenants: str) -> bool:
        """Whether each of these versions isolates one of the tenants."""
        return all(set(tenants) & set(self._isolated.get(version, ())) for version in versions)

    def perhaps_in_force(self, used: PartsUsed) -> dict[str, set[int]]:
        """Return the versions that may have been in force as an attempt began, by how they are known; empty if not
        known."""
        attempts = self._of_attempts.get((used.request, used.worker), [])
        sent = self._history.sent.get(used.request)
        return {
            "by the attempt's line": {each.version for each in attempts if each.version},
            "by the node's lines": self._read_by_node(used, sent, [each for each in attempts if each.for_peer]),
            "by the time": self._in_time(used, sent),
        }

    def _read_by_node(self, used: PartsUsed, sent: Sent | None, for_peer: list[AttemptLogged]) -> set[int]:
        """Return what was in force from the sending of the request on, at its node or the peer that helped it."""
        if sent is None:
            return set()
        nodes = {each.node for each in for_peer} or {sent.node}
        versions: set[int] = set()
        for node in nodes:
            read = self._read.get(node, [])
            first = bisect.bisect_right(read, sent.at_s - LOG_LAG_S, key=lambda each: each.at_s) - 1
            last = bisect.bisect_right(read, used.at_s + LOG_LAG_S, key=lambda each: each.at_s)
            versions |= {each.version for each in read[max(first, 0) : last]}
        return versions

    def _in_time(self, used: PartsUsed, sent: Sent | None) -> set[int]:
        """Return the versions that a node may have by the time. One that is not connected accepts requests by its
        last configuration until the revocation bound, and tries them again until their deadline."""
        deadline_s = sent.deadline_s if sent is not None and sent.deadline_s else ROUTE_TIMEOUT_S
        is_connected = self._history.is_fault_free(used.at_s - CONFIGURATION_S, used.at_s)
        oldest_s = used.at_s - (CONFIGURATION_S if is_connected else REVOKE_S + deadline_s)
        return {
            each.version
            for each, following in zip(self._acknowledged, [*self._acknowledged[1:], None], strict=True)
            if (following is None or following.at_s >= oldest_s) and each.at_s <= used.at_s + RECORD_LAG_S
        }
