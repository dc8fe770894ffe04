"""Whether another back end is left for a request: what the retry policy asks of this node's state. No I/O."""

from __future__ import annotations

from wallwell.node.state import NodeState
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.version_choice import candidates_for


def has_untried_backend(state: NodeState, active: ActiveRequest, now_s: float) -> bool:
    """Whether a usable back end is left to which the request was not sent yet and whose stated limit allows it."""
    tried = active.history.tried
    limits = state.load.stated_limits
    usable = candidates_for(state, active, now_s).usable
    return any(each.incarnation not in tried and limits.has_headroom(each, now_s) for each in usable)
