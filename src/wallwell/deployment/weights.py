"""Weights versions the operators have named, and since when this node knows them. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class NamedVersion:
    """A weights version and the local time at which this node learnt its name."""

    version: int
    known_since_s: float


@dataclass
class WeightsTargets:
    """Per model, every version named and not yet superseded everywhere, oldest first."""

    _named: dict[str, list[NamedVersion]] = field(default_factory=dict)

    def name(self, model: str, version: int, now_s: float) -> bool:
        """Take a version; returns True if it is newer than those known."""
        named = self._named.setdefault(model, [])
        if named and version <= named[-1].version:
            return False
        named.append(NamedVersion(version, now_s))
        return True

    def newest(self, model: str) -> int:
        """Return the newest version named, 0 if none."""
        named = self._named.get(model)
        return named[-1].version if named else 0

    def models(self) -> list[str]:
        """Models with a named version."""
        return list(self._named)

    def oldest_missing(self, model: str, in_place: int) -> NamedVersion | None:
        """Return the first version named above ``in_place``."""
        return next((named for named in self._named.get(model, ()) if named.version > in_place), None)

    def minimum_version(self, model: str, now_s: float, allowance_s: float) -> int:
        """Return the lowest version that may still begin requests: each named one is due after ``allowance_s``."""
        due = [named.version for named in self._named.get(model, ()) if now_s - named.known_since_s >= allowance_s]
        return max(due, default=0)
