"""May a request be sent again? The one place that decides on further attempts. Pure.

Inputs are the route (how often a request may run, whether it may run twice at all), the history of its
attempts, how the last one ended, and the service's retry budget. The pipeline and the response wait ask here
and act on the result.

Three bounds hold together. Runs: attempts that may have been executed, at most ``route.max_attempts``.
Arrivals: back ends that refused without running anything are passed over, but not without end. Budget: retries
are limited to a fraction of recent requests, so that an outage is not amplified. An attempt that was not sent costs
nothing of the budget, since it put no load on any back end.

This module is the only one that draws on the budget.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wallwell.deployment.routes import Route
from wallwell.routing.retry.attempt_history import NOT_ARRIVED, AttemptHistory
from wallwell.routing.retry.attempt_outcome import TransportEvent, is_safe_to_retry
from wallwell.routing.retry.response_timeout import stall_timeout_s
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.routing.retry.retry_budget import FleetRetryBudget

MAX_EXTRA_ARRIVALS = 3
"""Further arrivals beyond a route's attempts, for back ends that prove that they did not run the request."""
MAX_UNREACHED_ATTEMPTS = 3
"""Attempts that were not sent, mostly for want of a connection, after which the request is refused: its cause is
then probably on this node's side of the network, and its caller reaches another node. Error answers that were
retried count as well, since they are attempts that failed without counting as arrivals."""


class Retry(msgspec.Struct, frozen=True):
    """Another attempt may be made; it is paid for if it costs anything."""


class GiveUp(msgspec.Struct, frozen=True):
    """No further attempt is made."""

    cause: RefusalCause
    """What decides when the caller may try again, if nothing of the request has run."""
    detail: str | None = None
    """The reason in words; None where how the last attempt ended is the reason."""


RETRY = Retry()
NOT_RETRYABLE = GiveUp(RefusalCause.REFUSED_BY_BACKENDS)
RUNS_EXHAUSTED = GiveUp(RefusalCause.REFUSED_BY_BACKENDS, "every allowed attempt was used")
NO_BACKEND_REACHABLE = GiveUp(RefusalCause.ALL_SUSPENDED, "no back end can be reached")
TOO_MANY_REFUSALS = GiveUp(RefusalCause.REFUSED_BY_BACKENDS, "too many back ends refused")
BUDGET_EXHAUSTED = GiveUp(RefusalCause.RETRY_BUDGET_EXHAUSTED, "the retry budget is used up")


class RetryPolicy:
    """Decides on further attempts of requests.

    ``history`` counts ended attempts only; a method that speaks of an attempt in flight adds that one itself.
    """

    def __init__(self, node_count: Callable[[], int]) -> None:
        """Create the policy of one node.

        ``node_count`` returns how many nodes share the budgets; it is called only where a budget is consulted.
        """
        self._node_count = node_count

    def may_run_again(self, route: Route, runs: int) -> bool:
        """Whether a request that has run ``runs`` times, a run in flight included, may run once more."""
        return runs < route.max_attempts

    def may_interrupt(self, route: Route, history: AttemptHistory) -> bool:
        """Whether the attempt in flight may be ended early because its back end has stopped."""
        return route.repeatable and self.may_run_again(route, history.runs + 1)

    def stall_timeout_s(self, route: Route, history: AttemptHistory) -> float | None:
        """Return after how long a pause the stream in flight is continued elsewhere; None if it may not be."""
        if not route.resumable or not self.may_run_again(route, history.runs + 1):
            return None
        return stall_timeout_s(route.max_gap_s)

    def may_abandon_silent(
        self,
        route: Route,
        history: AttemptHistory,
        has_untried_backend: Callable[[], bool],
        budget: FleetRetryBudget,
        now_s: float,
    ) -> bool:
        """Whether the attempt in flight may be abandoned for another back end once it has been silent for long.

        ``has_untried`` says whether a usable back end was not tried yet. It is called only if the route allows
        another run, since finding out takes a pass over all back ends of the service.
        """
        if not self.may_interrupt(route, history):
            return False
        return has_untried_backend() and budget.allows_retry(now_s, self._node_count())

    def try_abandon_silent(
        self, history: AttemptHistory, is_fleet_behind: bool, budget: FleetRetryBudget, now_s: float
    ) -> bool:
        """Decide whether to abandon a silent attempt now; the retry that follows is then paid for in advance.

        A late answer is better than none, so the attempt goes on if the budget allows no retry. It also goes on
        while the engines of the whole fleet are behind: another one would prefill the prompt from its start
        behind others, and what this one has computed or queued would be lost.
        """
        if is_fleet_behind or not self._draw_retry(budget, now_s):
            return False
        history.prepaid_retries += 1
        return True

    def try_retry_error_answer(
        self,
        route: Route,
        history: AttemptHistory,
        has_untried_backend: Callable[[], bool],
        budget: FleetRetryBudget,
        now_s: float,
    ) -> bool:
        """Decide whether the attempt in flight, answered with an error, is retried; the retry is then paid for.

        The caller gets the error answer otherwise. ``has_untried`` as for :meth:`may_abandon_silent`.
        """
        if not self.may_abandon_silent(route, history, has_untried_backend, budget, now_s):
            return False
        return self._draw_retry(budget, now_s)

    def decide_after_failure(
        self,
        route: Route,
        history: AttemptHistory,
        attempts: int,
        event: TransportEvent,
        budget: FleetRetryBudget,
        now_s: float,
    ) -> Retry | GiveUp:
        """Decide what follows an attempt that ended without a whole answer; a retry is then paid for.

        ``attempts`` and ``history`` already count the attempt that failed.
        """
        give_up = self._exceeded_bound(route, history, attempts, event)
        if give_up is not None:
            return give_up
        if event in NOT_ARRIVED or self._pay_for_retry(history, budget, now_s):
            return RETRY
        return BUDGET_EXHAUSTED

    def _exceeded_bound(
        self, route: Route, history: AttemptHistory, attempts: int, event: TransportEvent
    ) -> GiveUp | None:
        if not is_safe_to_retry(event, route.repeatable):
            return NOT_RETRYABLE
        if not self.may_run_again(route, history.runs):
            return RUNS_EXHAUSTED
        # An error answer that was retried counts here too: it is an attempt, and not among the arrivals.
        if attempts - history.failed_arrivals >= MAX_UNREACHED_ATTEMPTS:
            return NO_BACKEND_REACHABLE
        if history.failed_arrivals >= route.max_attempts + MAX_EXTRA_ARRIVALS:
            return TOO_MANY_REFUSALS
        return None

    def _pay_for_retry(self, history: AttemptHistory, budget: FleetRetryBudget, now_s: float) -> bool:
        """Pay for a retry, with one that was paid in advance if there is one."""
        if history.prepaid_retries:
            history.prepaid_retries -= 1
            return True
        return self._draw_retry(budget, now_s)

    def _draw_retry(self, budget: FleetRetryBudget, now_s: float) -> bool:
        """Draw one retry from the budget; False if it is exhausted."""
        return budget.try_retry(now_s, self._node_count())
