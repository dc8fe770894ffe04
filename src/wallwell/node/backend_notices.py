"""Applies the statements that back ends make about themselves in their answers to this node's state; logs them.

Owns no state: leaving and back-off are stored in the :class:`Backend`; limits are stored and logged by
:mod:`wallwell.cluster.stated_limits`. Relies on the clients of back ends to pass on every notice
(:class:`~wallwell.routing.health.backend_notice.BackendNotices`).
"""

from __future__ import annotations

from wallwell.clock import boot_time_s
from wallwell.events import Event, emit
from wallwell.node.state import NodeState
from wallwell.routing.admission.brittle_room import BrittleStatement, ServiceBrittleness
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.backend_notice import BackendNotice


def apply_notice(state: NodeState, incarnation: str, notice: BackendNotice) -> None:
    """Apply the notice in a back end's answer; each statement is logged once for as long as it holds."""
    now_s = boot_time_s()
    backend = state.backends.get(incarnation)
    if backend is None:
        return  # The entry was removed before the answer arrived, so the back end gets no more requests.
    if notice.leaving and state.backends.on_leaving(backend, now_s):
        emit(Event.BACKEND_ANNOUNCED_LEAVING, backend=incarnation, service=backend.record.service)
    if notice.backoff_s and backend.backoff.on_requested(notice.backoff_s, now_s):
        emit(
            Event.BACKEND_REQUESTED_BACKOFF,
            backend=incarnation,
            service=backend.record.service,
            backoff_ms=round(notice.backoff_s * 1000),
        )
    if notice.brittle is not None:
        _apply_brittle_statement(state, backend, notice.brittle, now_s)
    if notice.limit is not None:
        state.load.stated_limits.on_answer(backend, notice.limit, now_s)


def _apply_brittle_statement(state: NodeState, backend: Backend, statement: BrittleStatement, now_s: float) -> None:
    service = backend.record.service
    brittleness = state.brittleness.get(service)
    if brittleness is None:
        if statement.tolerated_per_s is None:
            return
        brittleness = state.brittleness[service] = ServiceBrittleness()
    if not brittleness.on_answer(statement, now_s):
        return
    if statement.tolerated_per_s is None:
        del state.brittleness[service]
        emit(Event.SERVICE_NOT_BRITTLE, service=service, backend=backend.incarnation)
    else:
        emit(
            Event.SERVICE_BRITTLE,
            service=service,
            backend=backend.incarnation,
            tolerated_per_s=statement.tolerated_per_s,
        )
