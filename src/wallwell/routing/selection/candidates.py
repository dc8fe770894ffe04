"""Which back ends may get the next attempt of a request. Pure.

Inputs are the listed back ends with what this node observed of each, the weights versions that operators have
named, and the zones into which this request's connections timed out. Three rules apply, each with a last resort, so
that a request that could be served somewhere is not refused:

1. Back ends that have ended (gone, superseded) get nothing. Suspended ones get nothing while another is open, nor
   do those that are being tried after a back-off. Those that leave get nothing while another stays, and then only
   for ``LEAVING_GRACE_S``. One that has asked for back-off gets nothing until its end, one whose stated limit is
   used up nothing at this moment.
2. Generations go to engines that have every weights version that was named long enough ago
   (``OVERDUE_FRACTION`` of the operators' bound, ``LAST_RESORT_FRACTION`` if no engine has them), and to engines
   that are loading weights only if no other one is left.
3. Zones into which a connection of the same request timed out are left out while other zones are left.

``serving/version_choice.py`` reads the node's state for it, and says which side of a rollout is meant;
``engine_choice`` and ``call_choice`` pick one of the result.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import NamedTuple

from wallwell.deployment.weights import OVERDUE_FRACTION, WeightsTargets
from wallwell.routing.health.backend import Backend

LAST_RESORT_FRACTION = 0.93
"""Fraction of the operators' bound up to which older weights are used if no engine has newer ones.

Of the default bound of 8 s it leaves 0.56 s, some twice ``BEGIN_MARGIN_S``."""
BEGIN_MARGIN_S = 0.25
"""Seconds before the end of the operators' bound by which a generation on older weights has to have begun.

A request begins some time after it was sent, and nodes learn names at different times."""
LEAVING_GRACE_S = 1.0
"""Seconds after a node has learnt that a back end leaves, up to which it is used if all others leave as well: half
of the shortest time in use (2 s) after which it must get nothing more, since it may have said so to the store
before this node knew."""


class Candidates(NamedTuple):
    """Back ends for the next attempt of a request."""

    listed: Sequence[Backend]
    """All that may carry requests of its kind, from which engines' pools are formed."""
    usable: list[Backend]


class WeightsRequirement(NamedTuple):
    """Which weights a generation's engine must have."""

    targets: WeightsTargets
    model: str
    allowance_s: float
    """Seconds after its naming for which a version may be missing on an engine that gets generations."""


def usable_backends(
    listed: Sequence[Backend],
    requirement: WeightsRequirement | None,
    now_s: float,
    without: Collection[Backend] = (),
) -> list[Backend]:
    """Return those of the listed that may get a request now, last resorts only if there are no others.

    ``requirement`` is None for calls, which need no weights. Those ``without`` have used up their limits.
    """
    if without:
        listed = [each for each in listed if each not in without]
    usable = [each for each in listed if each.is_open(now_s)] or _last_resorts(listed, now_s)
    if requirement is None:
        return usable
    current = _on_due_weights(usable, requirement, OVERDUE_FRACTION, now_s)
    if not current:
        # Better the last moments of older weights than no engine at all; ``begin_by_s`` bounds when it begins.
        current = _on_due_weights(usable, requirement, LAST_RESORT_FRACTION, now_s)
    return [each for each in current if not each.is_loading(now_s)] or current


def _last_resorts(listed: Sequence[Backend], now_s: float) -> list[Backend]:
    """Return what is left where no back end is open: one that may have recovered or still serves is better than
    none.

    A back end that has asked for back-off has said that it would refuse.
    """
    staying = [each for each in listed if not each.is_leaving(now_s)]
    candidates = staying or [each for each in listed if each.still_serves(LEAVING_GRACE_S, now_s)]
    return [each for each in candidates if not each.backoff.is_in_force(now_s)]


def backoff_ends_s(listed: Sequence[Backend], now_s: float) -> float | None:
    """Return when the first back-off ends, None if a back end that stays has not asked for any."""
    staying = [each for each in listed if not each.is_leaving(now_s)]
    if not staying or any(not each.backoff.is_in_force(now_s) for each in staying):
        return None
    return min(each.backoff.until_s for each in staying)


def candidates_of_tiers(
    tiers: Sequence[Sequence[Backend]],
    requirement: WeightsRequirement | None,
    now_s: float,
    without: Collection[Backend] = (),
) -> Candidates:
    """Return the candidates of the first tier that can serve the request; there is at least one tier.

    A tier is a group of back ends that a rollout prefers to the later ones. Those without any open back end are
    passed over first; if that leaves none, the first that has a last resort is taken.
    """
    for tier in tiers:
        if any(each.is_open(now_s) and each not in without for each in tier):
            usable = usable_backends(tier, requirement, now_s, without)
            if usable:
                return Candidates(tier, usable)
    # Every back end is suspended or on old weights: the last resort of the side that the request belongs to.
    by_tier = [Candidates(tier, usable_backends(tier, requirement, now_s, without)) for tier in tiers]
    return next((each for each in by_tier if each.usable), by_tier[0])


def begin_by_s(backend: Backend, requirement: WeightsRequirement) -> float:
    """Return until when a generation may begin at a back end on the weights it is believed to have.

    The time is on this node's clock, infinity if the weights are the newest.
    """
    allowance_s = requirement.allowance_s - BEGIN_MARGIN_S
    believed = backend.believed_version(requirement.model)
    return requirement.targets.requests_allowed_until_s(requirement.model, believed, allowance_s)


def without_unresponsive_zones(
    candidates: Sequence[Backend], unresponsive_zones: Collection[str], own_zone: str
) -> Sequence[Backend]:
    """Leave out the zones into which this request's connections timed out; then the node's own zone goes first.

    Each such connection costs the request the connect timeout (0.25 s on the platform), and nothing is less likely
    to be cut off than the own zone.
    """
    if not unresponsive_zones:
        return candidates
    responsive = [each for each in candidates if each.record.zone not in unresponsive_zones]
    in_own_zone = [each for each in responsive if each.record.zone == own_zone]
    return in_own_zone or responsive or candidates


def _on_due_weights(
    usable: Sequence[Backend], requirement: WeightsRequirement, fraction: float, now_s: float
) -> list[Backend]:
    """Return the engines with every version that was named at least this fraction of the allowance ago."""
    model = requirement.model
    newest_in_place = max((each.believed_version(model) for each in usable), default=0)
    due_after_s = requirement.allowance_s * fraction
    minimum = requirement.targets.min_allowed_version(model, now_s, due_after_s, newest_in_place)
    return [each for each in usable if each.believed_version(model) >= minimum]
