"""Promises about rollouts of software versions, for nodes in touch."""

from __future__ import annotations

from wallwell.soak.history import Arrived, Began, Ended, RolloutOrdered, RolloutState
from wallwell.soak.schedule import EXPOSURE_REQUESTS, EXPOSURE_SHARE, ROLLBACK_S
from wallwell.soak.timeline import History
from wallwell.soak.verdicts import HELD, Cases

LEAST_SHOWN = 5
"""Bad answers below which a version has not shown that it is bad."""
BAD_ANSWERS = 50
"""Bad answers after which a version must be rolled back within the bound."""


def _orders(history: History) -> list[RolloutOrdered]:
    return [each for each in history.records if isinstance(each, RolloutOrdered)]


def _bad_answers(history: History, order: RolloutOrdered, until_s: float) -> int:
    return sum(
        isinstance(each, Ended) and each.bad and order.at_s < each.at_s < until_s for each in history.records
    )


def exposure(history: History) -> Cases:
    """Between order and deadline a bad version gets no more than its share of the service's requests."""
    for order in _orders(history):
        until_s = order.at_s + order.duration_s
        if not order.bad or not history.calm(order.at_s, until_s):
            continue
        reached: list[Began | Arrived] = [
            each
            for each in history.records
            if isinstance(each, Began | Arrived)
            and each.service == order.service
            and order.at_s <= each.at_s < until_s
        ]
        got = sum(each.software == order.target_version for each in reached)
        allowed = EXPOSURE_SHARE * len(reached) + EXPOSURE_REQUESTS
        if got <= allowed:
            yield HELD
        else:
            yield (
                until_s,
                order.service,
                f"{got} of {len(reached)} reached {order.target_version}, {allowed:.0f} may",
            )


def none_after_rollback(history: History) -> Cases:
    """A bad version gets no request that is sent later than a bound after its 50th bad answer."""
    for order in _orders(history):
        bad = [each for each in history.records if isinstance(each, Ended) and each.bad and each.at_s > order.at_s]
        if not order.bad or len(bad) < BAD_ANSWERS:
            continue
        bound_s = bad[BAD_ANSWERS - 1].at_s + ROLLBACK_S
        if not history.calm(order.at_s, bound_s):
            continue
        late = [each for each in history.begins if each.software == order.target_version and each.at_s > bound_s]
        late = [each for each in late if history.sent[each.request].at_s > bound_s]
        if not late:
            yield HELD
        else:
            yield late[0].at_s, late[0].request, f"reached {order.target_version} later than {ROLLBACK_S:g} s after"


def rollout_ends_right(history: History) -> Cases:
    """By its deadline a good version is complete and a bad one rolled back; a bad one is never complete."""
    states = [each for each in history.records if isinstance(each, RolloutState)]
    for order in _orders(history):
        until_s = order.at_s + order.duration_s
        right = "rolled_back" if order.bad else "complete"
        own = [each for each in states if each.service == order.service and each.at_s >= order.at_s]
        final = [each for each in own if each.state != "running"]
        decided_s = final[0].at_s if final else until_s
        if order.bad and _bad_answers(history, order, decided_s) < LEAST_SHOWN:
            continue  # Nobody could have told it from a good one.
        if final and final[0].state != right and (order.bad or history.calm(order.at_s, until_s)):
            yield final[0].at_s, order.service, f"{order.target_version} {final[0].state}, it is to be {right}"
        elif not history.calm(order.at_s, until_s) or history.end_s < until_s:
            continue
        elif not final or final[0].at_s > until_s:
            yield until_s, order.service, f"{order.target_version} is not {right} by its deadline"
        else:
            yield HELD
