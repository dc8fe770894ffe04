"""Which back ends may get the next attempt of a request. Pure.

Inputs are the listed back ends with this node's observations of each, the weights versions that operators have
named, and the zones into which this request's connections timed out. Three rules apply. Each has a last resort, so
that a request is not refused while some back end could serve it:

1. A back end that is gone or superseded gets nothing. While another back end is open, suspended ones get nothing,
   nor do those with a trial request after a back-off in flight. A leaving back end gets nothing while another one
   is not leaving, and after that only for ``LEAVING_GRACE_S``. A back end that asked for back-off gets nothing
   until the back-off ends; one whose stated limit is used up gets nothing at this moment.
2. Generations go to engines that have every weights version named long enough ago (``OVERDUE_FRACTION`` of the
   operators' bound, ``LAST_RESORT_FRACTION`` if no engine has them). Engines that are loading weights get
   generations only if there are no others.
3. Zones into which a connection of the same request timed out are excluded while there are other zones.

``serving/version_choice.py`` passes in the node's state and decides which version of a rollout a request goes to;
``engine_choice`` and ``call_choice`` choose one of the resulting back ends.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.routing.health.backend import Backend

LAST_RESORT_FRACTION = 0.93
"""Fraction of the operators' bound up to which older weights are used if no engine has newer ones. With the default
bound of 8 s, 0.56 s remain, about twice ``BEGIN_MARGIN_S``."""
BEGIN_MARGIN_S = 0.25
"""Seconds before the end of the operators' bound by which a generation on older weights must have begun. A request
begins some time after it was sent, and nodes learn of a named version at different times."""
LEAVING_GRACE_S = 1.0
"""Seconds for which a back end known to be leaving is still used if all others are leaving as well. Half of 2 s,
the shortest time in any deployment after which a leaving back end must get nothing more. The back end may have told
the store that it is leaving before this node learned of it."""


class Candidates(NamedTuple):
    """Back ends for the next attempt of a request."""

    listed: Sequence[Backend]
    """All that may serve requests of this kind; pools of engines are formed from them."""
    usable: list[Backend]


class WeightsRequirement(NamedTuple):
    """Which weights a generation's engine must have."""

    targets: WeightsTargets
    model: str
    allowance_s: float
    """Seconds after a version was named for which engines without it may get generations."""


def usable_backends(
    listed: Sequence[Backend],
    requirement: WeightsRequirement | None,
    now_s: float,
    excluded: Collection[Backend] = (),
) -> list[Backend]:
    """Return the listed back ends that may get a request now; last resorts only if there are no others.
    ``requirement`` is None for calls, which need no weights. The ``excluded`` back ends have used up their
    limits."""
    if excluded:
        listed = [each for each in listed if each not in excluded]
    usable = [each for each in listed if each.is_open(now_s)] or _last_resort_backends(listed, now_s)
    if requirement is None:
        return usable
    current = _with_required_weights(usable, requirement, OVERDUE_FRACTION, now_s)
    if not current:
        # Older weights are better than no engine, up to ``begin_by_s``.
        current = _with_required_weights(usable, requirement, LAST_RESORT_FRACTION, now_s)
    return [each for each in current if not each.is_loading_weights(now_s)] or current


def _last_resort_backends(listed: Sequence[Backend], now_s: float) -> list[Backend]:
    """Return the back ends to use while none is open: those that may have recovered or that still serve. Back ends
    that have asked for back-off are left out, since they would refuse the request."""
    not_leaving = [each for each in listed if not each.is_leaving(now_s)]
    candidates = not_leaving or [each for each in listed if each.is_within_leaving_grace(LEAVING_GRACE_S, now_s)]
    return [each for each in candidates if not each.backoff.is_in_force(now_s)]


def earliest_backoff_end_s(listed: Sequence[Backend], now_s: float) -> float | None:
    """Return when the first back-off ends; None unless every back end that is not leaving has asked for one. None
    if all back ends are leaving."""
    not_leaving = [each for each in listed if not each.is_leaving(now_s)]
    if not not_leaving or any(not each.backoff.is_in_force(now_s) for each in not_leaving):
        return None
    return min(each.backoff.until_s for each in not_leaving)


def candidates_from_tiers(
    tiers: Sequence[Sequence[Backend]],
    requirement: WeightsRequirement | None,
    now_s: float,
    excluded: Collection[Backend] = (),
) -> Candidates:
    """Return the candidates of the first tier that can serve the request. ``tiers`` must not be empty. A tier is a
    group of back ends that a rollout prefers to the later groups. The first tier with an open and usable back end
    is chosen; if there is none, the first with a last resort."""
    for tier in tiers:
        if any(each.is_open(now_s) and each not in excluded for each in tier):
            usable = usable_backends(tier, requirement, now_s, excluded)
            if usable:
                return Candidates(tier, usable)
    # Every back end is suspended or has old weights: use the last resort of the tier that the request belongs to.
    candidates_by_tier = [Candidates(tier, usable_backends(tier, requirement, now_s, excluded)) for tier in tiers]
    return next((each for each in candidates_by_tier if each.usable), candidates_by_tier[0])


def begin_by_s(backend: Backend, requirement: WeightsRequirement) -> float:
    """Return until when a generation may begin at a back end on the weights it is believed to have. The time is on
    this node's clock; infinity if no newer weights version has been named."""
    allowance_s = requirement.allowance_s - BEGIN_MARGIN_S
    version = backend.believed_version(requirement.model)
    return requirement.targets.requests_allowed_until_s(requirement.model, version, allowance_s)


def exclude_unresponsive_zones(
    candidates: Sequence[Backend], unresponsive_zones: Collection[str], own_zone: str
) -> Sequence[Backend]:
    """Return the candidates outside zones into which this request's connections timed out, or all if none remain.
    Each time-out costs the request the connect timeout (0.25 s on the platform). So after the first one, back ends
    of the node's own zone go first, since that zone is the least likely to be cut off."""
    if not unresponsive_zones:
        return candidates
    responsive = [each for each in candidates if each.record.zone not in unresponsive_zones]
    in_own_zone = [each for each in responsive if each.record.zone == own_zone]
    return in_own_zone or responsive or candidates


def _with_required_weights(
    usable: Sequence[Backend], requirement: WeightsRequirement, fraction: float, now_s: float
) -> list[Backend]:
    """Return the engines with every version that was named at least this fraction of the allowance ago."""
    model = requirement.model
    newest_believed_version = max((each.believed_version(model) for each in usable), default=0)
    due_after_s = requirement.allowance_s * fraction
    required_version = requirement.targets.min_allowed_version(model, now_s, due_after_s, newest_believed_version)
    return [each for each in usable if each.believed_version(model) >= required_version]
