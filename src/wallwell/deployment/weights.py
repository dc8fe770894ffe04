"""Weights versions that operators have named as targets, and when each was named. Pure.

Owns the named versions of each model. Relies on ``node/operator_rows.py`` to add each version when its row arrives.
The choice of engines and the weights roll both depend on how long ago a version was named. Times are seconds on
this node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

OVERDUE_FRACTION = 0.85
"""Fraction of the time allowed for a version after which an engine on older weights is overdue: the engine gets no
new generations while others have newer weights, and its order to load is due."""


class NamedVersion(msgspec.Struct, frozen=True):
    """A weights version and the local time (s) at which it counts as named.

    ``estimated``: the version had already been named when this node started, so its age is only an estimate.
    """

    version: int
    named_at_s: float
    estimated: bool = False


@dataclass
class WeightsTargets:
    """The versions that operators have named for each model, oldest first."""

    _versions: dict[str, list[NamedVersion]] = field(default_factory=dict)

    def add_version(self, model: str, version: int, named_at_s: float, estimated: bool = False) -> bool:
        """Add a version if it is newer than the model's other versions; return whether it was added."""
        named = self._versions.setdefault(model, [])
        if named and version <= named[-1].version:
            return False
        named.append(NamedVersion(version, named_at_s, estimated))
        return True

    def set_recorded_naming_time(self, model: str, version: int, named_at_s: float) -> None:
        """Set a version's naming time as recorded by another node, unless this node observed the naming itself."""
        named = self._versions.setdefault(model, [])
        existing = next((each for each in named if each.version == version), None)
        if existing is not None and not existing.estimated:
            return
        others = [each for each in named if each.version != version]
        self._versions[model] = sorted((*others, NamedVersion(version, named_at_s)), key=lambda each: each.version)

    def versions_of_known_age(self, model: str) -> list[NamedVersion]:
        """Return the versions whose naming time is not estimated, oldest first."""
        return [named for named in self._versions.get(model, ()) if not named.estimated]

    def named_versions(self, model: str) -> list[NamedVersion]:
        """Return all named versions of a model, oldest first."""
        return self._versions.get(model, [])

    def newest_version(self, model: str) -> int:
        """Return the newest named version of a model, 0 if there is none."""
        named = self._versions.get(model)
        return named[-1].version if named else 0

    def models(self) -> list[str]:
        """Return the models that have a named version."""
        return list(self._versions)

    def oldest_missing(self, model: str, loaded_version: int) -> NamedVersion | None:
        """Return the oldest named version newer than ``loaded_version``, None if there is none."""
        return next((named for named in self._versions.get(model, ()) if named.version > loaded_version), None)

    def min_allowed_version(self, model: str, now_s: float, max_staleness_s: float, newest_loaded: int) -> int:
        """Return the lowest version on which requests may begin: named ones are required after ``max_staleness_s``.

        ``newest_loaded`` is the newest version on any engine; a version of estimated age is required only up to it,
        since it could exclude every engine otherwise. Returns 0 if no version is required.
        """
        due = [named for named in self._versions.get(model, ()) if now_s - named.named_at_s >= max_staleness_s]
        return max((each.version for each in due if each.version <= newest_loaded or not each.estimated), default=0)

    def requests_allowed_until_s(self, model: str, loaded_version: int, max_staleness_s: float) -> float:
        """Return until when an engine may begin requests; infinity if the next version is unnamed or estimated."""
        missing = self.oldest_missing(model, loaded_version)
        if missing is None or missing.estimated:
            return float("inf")
        return missing.named_at_s + max_staleness_s
