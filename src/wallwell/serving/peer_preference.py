"""Whether the next attempt of a request is to be made by a peer. No I/O."""

from __future__ import annotations

from wallwell.node.state import NodeState
from wallwell.routing.retry.retry_policy import MAX_DIRECT_CONNECT_FAILURES
from wallwell.serving.active_request import ActiveRequest


def prefers_peer_attempts(state: NodeState, active: ActiveRequest) -> bool:
    """Whether this node cannot connect to the service's back ends, as far as it knows or this request has shown.

    Once no peer has made an attempt of the request, this node makes the others itself.
    """
    history = active.history
    if history.found_no_peer:
        return False
    has_failed_often = history.direct_connect_failures >= MAX_DIRECT_CONNECT_FAILURES
    return has_failed_often or state.reachability.is_unreachable(active.service)
