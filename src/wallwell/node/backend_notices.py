"""Applies what back ends state about themselves in their answers to what this node knows of them, and logs it.

Owns no state: leaving and back-off are kept with the back end, limits by
:mod:`wallwell.cluster.stated_limits`, which logs them too. Relies on the clients of back ends to hand every
notice on (:class:`~wallwell.routing.health.backend_notice.BackendNotices`).
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.health.backend_notice import BackendNotice


def apply_notice(state: NodeState, incarnation: str, notice: BackendNotice) -> None:
    """Apply what an answer of a back end stated; each thing is logged once for as long as it holds."""
    now_s = boot_time_s()
    backend = state.backends.get(incarnation)
    if backend is None:
        return  # Its entry went while the answer was on its way, so it gets nothing anyway.
    if notice.leaving and state.backends.on_leaving(backend, now_s):
        emit(Event.BACKEND_ANNOUNCED_LEAVING, backend=incarnation, service=backend.record.service)
    if notice.backoff_s and backend.backoff.on_requested(notice.backoff_s, now_s):
        emit(
            Event.BACKEND_REQUESTED_BACKOFF,
            backend=incarnation,
            service=backend.record.service,
            backoff_ms=round(notice.backoff_s * 1000),
        )
    if notice.limit is not None:
        state.load.stated_limits.on_answer(backend, notice.limit, now_s)
