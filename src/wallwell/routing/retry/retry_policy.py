"""Whether a request may be sent again: the only place that decides on further attempts. Pure.

Inputs are the route (how often a request may run, and whether it may run twice at all), the history of its
attempts, how the last one ended, and the service's retry budget. The pipeline and the response wait ask this module
and carry out its decision.

Three bounds apply together. Runs: attempts that may have been executed, at most ``route.max_attempts``. Arrivals:
after a back end refused without running the request, another one is tried, but not without limit. Budget: retries
are limited to a fraction of recent requests, so that an outage is not amplified. An attempt that was not sent costs
no budget, since it caused no load on any back end.

No other module draws on the budget.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from wallwell.deployment.routes import Route
from wallwell.routing.retry.attempt_history import CONNECT_FAILURES, NOT_ARRIVED, AttemptHistory
from wallwell.routing.retry.attempt_outcome import TransportEvent, is_safe_to_retry
from wallwell.routing.retry.response_timeout import stall_timeout_s
from wallwell.routing.retry.retry_after import RefusalCause
from wallwell.routing.retry.retry_budget import FleetRetryBudget

MAX_EXTRA_ARRIVALS = 3
"""Failed arrivals allowed in addition to the route's attempts, for back ends that state that they ran nothing."""
MAX_UNREACHED_ATTEMPTS = 3
"""Number of attempts that were not sent, mostly for lack of a connection, after which the request is refused. The
cause is then probably this node's side of the network, and the caller's retry reaches another node. Retried error
answers count as well, since they are attempts that do not count as failed arrivals."""
MAX_DIRECT_CONNECT_FAILURES = 2
"""Back ends that this node could not connect to for a request, after which a peer makes its next attempt. One may
have crashed."""
MAX_UNREACHED_PEER_ATTEMPTS = 3
"""The same as ``MAX_UNREACHED_ATTEMPTS`` for attempts made by peers."""

MAX_FAILED_HEDGES = 2
"""Second attempts of a request that may run and fail beside silent ones. A third one would probably fail as well,
and its retry would be missing where attempts end for certain."""


class Retry(msgspec.Struct, frozen=True):
    """Another attempt may be made; its cost has already been taken from the budget."""


class GiveUp(msgspec.Struct, frozen=True):
    """No further attempt is made."""

    cause: RefusalCause
    """Cause that determines the caller's Retry-After if no attempt has run."""
    detail: str | None = None
    """Reason, for the error's detail; None if the way the last attempt ended is the reason."""


RETRY = Retry()
NOT_RETRYABLE = GiveUp(RefusalCause.REFUSED_BY_BACKENDS)
RUNS_EXHAUSTED = GiveUp(RefusalCause.REFUSED_BY_BACKENDS, "all allowed attempts were used")
NO_BACKEND_REACHABLE = GiveUp(RefusalCause.ALL_SUSPENDED, "no back end can be reached")
TOO_MANY_REFUSALS = GiveUp(RefusalCause.REFUSED_BY_BACKENDS, "too many back ends refused the request")
BUDGET_EXHAUSTED = GiveUp(RefusalCause.RETRY_BUDGET_EXHAUSTED, "the retry budget is exhausted")


class RetryPolicy:
    """Decides on further attempts of requests.

    ``history`` contains ended attempts only; methods that decide on an attempt in flight add that one themselves.
    """

    def __init__(self, node_count: Callable[[], int]) -> None:
        """Create the policy of one node.

        ``node_count`` returns how many nodes share the budgets; it is called only when a budget is checked.
        """
        self._node_count = node_count

    def may_run_again(self, route: Route, runs: int) -> bool:
        """Whether a request may run once more after ``runs`` runs, including the one in flight."""
        return runs < route.max_attempts

    def may_interrupt(self, route: Route, history: AttemptHistory) -> bool:
        """Whether the attempt in flight may be ended early when its back end is known to have ended."""
        return route.repeatable and self.may_run_again(route, history.runs + history.open_hedges + 1)

    # --- a second attempt beside a silent one --------------------------------------------------------------

    def stall_timeout_s(self, route: Route, history: AttemptHistory) -> float | None:
        """Return the silent seconds after which a stream may be continued elsewhere; None if it may not."""
        if not route.resumable or not self.may_interrupt(route, history):
            return None
        return stall_timeout_s(route.max_gap_s)

    def may_hedge(self, route: Route, history: AttemptHistory) -> bool:
        """Whether a second attempt may be made beside the silent one in flight, which is not given up for it."""
        if not self.may_interrupt(route, history) or history.failed_hedges >= MAX_FAILED_HEDGES:
            return False
        # One arrival less than is allowed: the silent attempt may fail as well.
        may_arrive = history.failed_arrivals + 1 < route.max_attempts + MAX_EXTRA_ARRIVALS
        return may_arrive and history.unreached_hedges < MAX_UNREACHED_ATTEMPTS

    def can_pay_for_hedge(self, history: AttemptHistory, budget: FleetRetryBudget, now_s: float) -> bool:
        """Whether a second attempt is paid for already or the budget allows it; does not spend it."""
        return bool(history.prepaid_retries) or budget.allows_retry(now_s, self._node_count())

    def pay_for_hedge(self, history: AttemptHistory, budget: FleetRetryBudget, now_s: float) -> None:
        """Take the retry for a second attempt from the budget, unless an earlier one did not arrive and left it."""
        if not history.prepaid_retries and self._draw_retry(budget, now_s):
            history.prepaid_retries += 1

    # --- another attempt after the one in flight -------------------------------------------------------------

    def may_try_another(
        self,
        route: Route,
        history: AttemptHistory,
        has_untried_backend: Callable[[], bool],
        budget: FleetRetryBudget,
        now_s: float,
    ) -> bool:
        """Whether another attempt may follow the one in flight.

        ``has_untried_backend`` returns whether a usable back end was not tried yet. It is called only if the route
        allows another run, since it iterates over all back ends of the service.
        """
        if not self.may_interrupt(route, history):
            return False
        return has_untried_backend() and budget.allows_retry(now_s, self._node_count())

    def try_retry_error_answer(
        self,
        route: Route,
        history: AttemptHistory,
        has_untried_backend: Callable[[], bool],
        budget: FleetRetryBudget,
        now_s: float,
    ) -> bool:
        """Return whether to retry the attempt in flight, which got an error answer; if so, budget is spent on it.

        Otherwise the caller gets the error answer. ``has_untried_backend`` as for :meth:`may_try_another`.
        """
        if not self.may_try_another(route, history, has_untried_backend, budget, now_s):
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
        """Return what follows an attempt that ended without a complete answer; budget is spent on a retry.

        ``attempts`` and ``history`` already include the failed attempt.
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
        # A retried error answer counts here too: it is an attempt but not a failed arrival.
        unreached = attempts - history.failed_arrivals - history.unreached_peer_attempts - history.unreached_hedges
        if unreached >= MAX_UNREACHED_ATTEMPTS or history.unreached_peer_attempts >= MAX_UNREACHED_PEER_ATTEMPTS:
            return NO_BACKEND_REACHABLE
        if history.found_no_peer and event in CONNECT_FAILURES:
            return NO_BACKEND_REACHABLE  # Neither this node nor a peer reaches one.
        if history.failed_arrivals >= route.max_attempts + MAX_EXTRA_ARRIVALS:
            return TOO_MANY_REFUSALS
        return None

    def _pay_for_retry(self, history: AttemptHistory, budget: FleetRetryBudget, now_s: float) -> bool:
        """Pay for a retry with a prepaid one if there is one, else from the budget; False if neither is left."""
        if history.prepaid_retries:
            history.prepaid_retries -= 1
            return True
        return self._draw_retry(budget, now_s)

    def _draw_retry(self, budget: FleetRetryBudget, now_s: float) -> bool:
        """Take one retry from the budget; returns False if the budget is exhausted."""
        return budget.try_retry(now_s, self._node_count())
