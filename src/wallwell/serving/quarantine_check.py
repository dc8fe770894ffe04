"""Whether a request may be sent to a back end, or it or a part of its prompt is quarantined for crashing them.

Asked before each attempt and again right before it is sent, by whichever node sends it. The decisions are
:mod:`wallwell.routing.admission.quarantine` and :mod:`wallwell.routing.admission.part_quarantine`.
"""

from __future__ import annotations

from dataclasses import dataclass

from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.serving.active_request import ActiveRequest


@dataclass(frozen=True)
class QuarantineRefusal:
    """Why a request gets no back end, and for how many more seconds."""

    detail: str
    remaining_s: float


def quarantine_refusal(state: NodeState, active: ActiveRequest, now_s: float) -> QuarantineRefusal | None:
    """Return why a request may not be sent; None if it may, also as a trial of a quarantined part."""
    quarantine = state.quarantine
    if quarantine.quarantined_count:
        remaining_s = quarantine.remaining_s(active.content_digest, now_s)
        if remaining_s:
            detail = f"back ends crashed while running the request with content digest {active.content_digest}"
            return QuarantineRefusal(detail, remaining_s)
    if active.is_part_trial or not state.part_quarantine.suspect_count:
        return None
    refusal = state.part_quarantine.refusal(active.part_digests, now_s, lambda: _count_open(state, active, now_s))
    if refusal is None:
        return None
    return QuarantineRefusal(f"back ends crashed as they began answers on part {refusal.part}", refusal.remaining_s)


def begin_part_trial(state: NodeState, active: ActiveRequest, now_s: float) -> bool:
    """Make the next attempt of a refused request the trial of a part of its prompt, if one is due at this node."""
    if active.is_part_trial or not state.part_quarantine.begin_trial(active.part_digests, now_s):
        return False
    active.is_part_trial = True
    emit(Event.PART_TRIED, request_id=active.request.request_id, parts=",".join(active.part_digests))
    return True


def _count_open(state: NodeState, active: ActiveRequest, now_s: float) -> int:
    return sum(each.is_open(now_s) for each in state.backends.backends_of_service(active.service))
