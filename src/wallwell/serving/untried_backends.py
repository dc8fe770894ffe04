"""Tells the retry policy, from this node's state, whether a request has a back end left to retry on. No I/O."""

from __future__ import annotations

from wallwell.node.state import NodeState
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.version_choice import candidates_for


def has_untried_backend(state: NodeState, active: ActiveRequest, now_s: float) -> bool:
    """Whether the request has not been sent yet to some usable back end whose stated limit has headroom."""
    tried_incarnations = active.history.tried_incarnations
    limits = state.load.stated_limits
    usable = candidates_for(state, active, now_s).usable
    return any(each.incarnation not in tried_incarnations and limits.has_headroom(each, now_s) for each in usable)
