"""Weights versions that operators have named, and since when this node knows them. Pure.

Owns the named versions of each model. Relies on ``node/operator_rows.py`` to pass each name on as its row arrives.
Read by the choice of engines and by the weights roll: both decide by how long ago a version was named. Times are
seconds on this node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

OVERDUE_FRACTION = 0.85
"""Fraction of the time allowed for a version, from which on an engine on older weights is overdue: it gets no new
generation while others are on newer ones, and its order to load is due."""


class NamedVersion(msgspec.Struct, frozen=True):
    """A weights version and the local time since when it counts as named.

    ``estimated``: the name was found when this node started, so that its age is only a guess.
    """

    version: int
    named_at_s: float
    estimated: bool = False


@dataclass
class WeightsTargets:
    """Per model, every version named and not yet superseded everywhere, oldest first."""

    _versions_by_model: dict[str, list[NamedVersion]] = field(default_factory=dict)

    def add_version(self, model: str, version: int, named_at_s: float, estimated: bool = False) -> bool:
        """Take a version; returns True if it is newer than those known."""
        named = self._versions_by_model.setdefault(model, [])
        if named and version <= named[-1].version:
            return False
        named.append(NamedVersion(version, named_at_s, estimated))
        return True

    def set_recorded_naming_time(self, model: str, version: int, named_at_s: float) -> None:
        """Take a version's age as another node recorded it, instead of a guess; what was seen here takes
        precedence."""
        named = self._versions_by_model.setdefault(model, [])
        existing = next((each for each in named if each.version == version), None)
        if existing is not None and not existing.estimated:
            return
        others = [each for each in named if each.version != version]
        self._versions_by_model[model] = sorted(
            (*others, NamedVersion(version, named_at_s)), key=lambda each: each.version
        )

    def versions_of_known_age(self, model: str) -> list[NamedVersion]:
        """Return the versions whose age is known."""
        return [named for named in self._versions_by_model.get(model, ()) if not named.estimated]

    def named_versions(self, model: str) -> list[NamedVersion]:
        """Return every version named, oldest first."""
        return self._versions_by_model.get(model, [])

    def newest_version(self, model: str) -> int:
        """Return the newest version named, 0 if none."""
        named = self._versions_by_model.get(model)
        return named[-1].version if named else 0

    def models(self) -> list[str]:
        """Models with a named version."""
        return list(self._versions_by_model)

    def oldest_missing(self, model: str, loaded_version: int) -> NamedVersion | None:
        """Return the first version named above ``loaded_version``."""
        return next(
            (named for named in self._versions_by_model.get(model, ()) if named.version > loaded_version), None
        )

    def min_allowed_version(
        self, model: str, now_s: float, max_staleness_s: float, newest_loaded_version: int
    ) -> int:
        """Return the lowest version that may still begin requests: each named one is due after ``max_staleness_s``.

        ``newest_loaded_version`` is the newest version on any engine. A version of estimated age does not rule
        every engine out.
        """
        due = [
            named for named in self._versions_by_model.get(model, ()) if now_s - named.named_at_s >= max_staleness_s
        ]
        return max(
            (named.version for named in due if named.version <= newest_loaded_version or not named.estimated),
            default=0,
        )

    def requests_allowed_until_s(self, model: str, loaded_version: int, max_staleness_s: float) -> float:
        """Return until when an engine with a version may begin requests; infinity if it is the newest."""
        missing = self.oldest_missing(model, loaded_version)
        if missing is None or missing.estimated:
            return float("inf")
        return missing.named_at_s + max_staleness_s
