"""A call with an idempotency key runs at most once, even if the table service loses answers and routers compete."""

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.faulty_table import OK, REPLY_LOST, REQUEST_DELAYED, REQUEST_LOST, FaultyTable
from wallwell.errors import ClaimUnavailableError, KeyReusedError
from wallwell.standalone.cluster.claims import ClaimResult, ClaimTable

FAULTS = [OK, REQUEST_LOST, REPLY_LOST, REQUEST_DELAYED]


@pytest.mark.parametrize("script", list(itertools.product(FAULTS, repeat=4)))
def test_two_claimants_are_never_both_granted_a_key(script, run_async):
    async def scenario():
        table = FaultyTable(faults=script)
        granted = 0
        for claim_id in ("first", "second"):
            try:
                claim = await ClaimTable(table).claim("t", "k", "digest", claim_id)
                granted += claim.result is ClaimResult.GRANTED
            except ClaimUnavailableError:
                pass
        return granted

    assert run_async(scenario()) <= 1


@pytest.mark.parametrize("script", [[OK, REPLY_LOST], [OK, REQUEST_LOST], [REQUEST_LOST, OK, REPLY_LOST]])
def test_after_a_lost_answer_the_claimant_finds_its_own_claim_id(script, run_async):
    claim = run_async(ClaimTable(FaultyTable(faults=script)).claim("t", "k", "d", "mine"))
    assert claim.result is ClaimResult.GRANTED


def test_claims_of_open_released_recorded_and_reused_keys(run_async):
    async def scenario():
        claims = ClaimTable(FaultyTable())
        first = await claims.claim("t", "k", "d", "one")
        open_elsewhere = await claims.claim("t", "k", "d", "two")
        await claims.release(first)
        reclaimed = await claims.claim("t", "k", "d", "three")
        await claims.record(first, 200, "answer from the holder of a released claim")
        await claims.record(reclaimed, 201, "answer")
        recorded = await claims.claim("t", "k", "d", "four")
        with pytest.raises(KeyReusedError):
            await claims.claim("t", "k", "another body", "five")
        other_tenant = await claims.claim("u", "k", "another body", "six")
        return open_elsewhere.result, reclaimed.result, (recorded.status, recorded.body), other_tenant.result

    assert run_async(scenario()) == (
        ClaimResult.OPEN_ELSEWHERE,
        ClaimResult.GRANTED,
        (201, "answer"),
        ClaimResult.GRANTED,
    )


def test_a_claim_fails_with_outcome_not_run_if_the_table_service_is_down(run_async):
    table = FaultyTable()
    table.down = True
    with pytest.raises(ClaimUnavailableError) as error:
        run_async(ClaimTable(table).claim("t", "k", "d", "one"))
    assert error.value.outcome == "not_run"


def run_without_waiting(work):
    """Return the result of a coroutine that must not suspend."""
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine suspended")


class ClaimsMachine(RuleBasedStateMachine):
    """Routers claim a key, run, crash, pause and settle in any order while the table service loses answers."""

    def __init__(self):
        super().__init__()
        self.table = FaultyTable()
        self.claims = ClaimTable(self.table)
        self.numbers = itertools.count()
        self.holders = []
        self.runs = 0

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=6))
    def claim(self, faults):
        self.table.faults.extend(faults)
        try:
            claim = run_without_waiting(self.claims.claim("t", "k", "d", f"claim-{next(self.numbers)}"))
        except ClaimUnavailableError:
            return
        if claim.result is ClaimResult.GRANTED:
            self.holders.append(claim)

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=4))
    def run_and_record(self, faults):
        if self.holders:
            claim = self.holders.pop()
            self.runs += 1
            self.table.faults.extend(faults)
            run_without_waiting(self.claims.record(claim, 200, "answer"))

    @rule()
    def run_and_crash(self):
        if self.holders:
            self.holders.pop()
            self.runs += 1

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=4))
    def release_without_running(self, faults):
        if self.holders:
            claim = self.holders.pop()
            self.table.faults.extend(faults)
            run_without_waiting(self.claims.release(claim))

    @invariant()
    def at_most_one_run_and_one_holder(self):
        assert self.runs + len(self.holders) <= 1


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True, deadline=None)
