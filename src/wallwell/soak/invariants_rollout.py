"""Invariants about rollouts of software versions, in spans without a fault on nodes, links or the store.

Relies on workers' own records of which of their answers were bad.
"""

from __future__ import annotations

from wallwell.soak.cases import HELD, Cases, Violation
from wallwell.soak.history import Arrived, Began, Ended, RolloutOrdered, RolloutState
from wallwell.soak.schedule import EXPOSURE_REQUESTS, EXPOSURE_SHARE, ROLLBACK_S
from wallwell.soak.timeline import History

LEAST_SHOWN = 5
"""Bad answers below which a version has not shown that it is bad: fewer are chance."""
BAD_ANSWERS = 50
"""Bad answers after which a version must be rolled back within the bound."""


def _orders(history: History) -> list[RolloutOrdered]:
    return [each for each in history.records if isinstance(each, RolloutOrdered)]


def _bad_answers(history: History, order: RolloutOrdered) -> list[Ended]:
    return [each for each in history.records if isinstance(each, Ended) and each.bad and each.at_s > order.at_s]


def exposure(history: History) -> Cases:
    """Between order and deadline a bad version gets no more than its fraction of the service's requests."""
    for order in _orders(history):
        until_s = order.at_s + order.duration_s
        if not order.bad or not history.is_fault_free(order.at_s, until_s):
            continue
        reached = _reached(history, order, until_s)
        got = sum(each.software == order.target_version for each in reached)
        allowed = EXPOSURE_SHARE * len(reached) + EXPOSURE_REQUESTS
        if got <= allowed:
            yield HELD
        else:
            detail = f"{got} of {len(reached)} reached {order.target_version}, {allowed:.0f} may"
            yield Violation(until_s, order.service, detail)


def _reached(history: History, order: RolloutOrdered, until_s: float) -> list[Began | Arrived]:
    """Return what reached workers of an order's service from the order on."""
    return [
        each
        for each in history.records
        if isinstance(each, Began | Arrived) and each.service == order.service and order.at_s <= each.at_s < until_s
    ]


def none_after_rollback(history: History) -> Cases:
    """A bad version gets no request that is sent later than a bound after its 50th bad answer."""
    for order in _orders(history):
        bad = _bad_answers(history, order)
        if not order.bad or len(bad) < BAD_ANSWERS:
            continue
        bound_s = bad[BAD_ANSWERS - 1].at_s + ROLLBACK_S
        if not history.is_fault_free(order.at_s, bound_s):
            continue
        late = _begun_on_target(history, order, bound_s)
        if not late:
            yield HELD
        else:
            detail = f"reached {order.target_version} later than {ROLLBACK_S:g} s after"
            yield Violation(late[0].at_s, late[0].request, detail)


def _begun_on_target(history: History, order: RolloutOrdered, from_s: float) -> list[Began]:
    """Return what was sent and began after a time at workers of the target version."""
    begun = [each for each in history.begins if each.software == order.target_version and each.at_s > from_s]
    return [each for each in begun if history.sent[each.request].at_s > from_s]


def rollout_ends_right(history: History) -> Cases:
    """By its deadline a good version is complete and a bad one rolled back; a bad one is never complete."""
    for order in _orders(history):
        until_s = order.at_s + order.duration_s
        final = _final_state(history, order)
        if order.bad and not _showed_it(history, order, final.at_s if final else until_s):
            continue
        right = "rolled_back" if order.bad else "complete"
        fault_free = history.is_fault_free(order.at_s, until_s)
        if final and final.state != right and (order.bad or fault_free):
            detail = f"{order.target_version} {final.state}, it is to be {right}"
            yield Violation(final.at_s, order.service, detail)
        elif not fault_free or history.end_s < until_s:
            continue
        elif not final or final.at_s > until_s:
            yield Violation(until_s, order.service, f"{order.target_version} is not {right} by its deadline")
        else:
            yield HELD


def _final_state(history: History, order: RolloutOrdered) -> RolloutState | None:
    """Return the first state after an order that is not ``running``."""
    states = [each for each in history.records if isinstance(each, RolloutState)]
    own = (each for each in states if each.service == order.service and each.at_s >= order.at_s)
    return next((each for each in own if each.state != "running"), None)


def _showed_it(history: History, order: RolloutOrdered, decided_s: float) -> bool:
    """Whether a bad version gave bad answers enough before the decision to be distinguished from a good one."""
    return sum(each.at_s < decided_s for each in _bad_answers(history, order)) >= LEAST_SHOWN
