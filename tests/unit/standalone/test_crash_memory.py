"""What a router of the standalone kind counts as a crash, tells, hears and clears, in virtual time."""

import asyncio

import pytest

from tests.suspects import suspected_content_digests
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.errors import RequestQuarantinedError
from wallwell.outcomes import Outcome
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE
from wallwell.routing.retry.attempt_outcome import TransportEvent as T
from wallwell.standalone import crash_memory
from wallwell.standalone.cluster.crash_notices import CrashNotices
from wallwell.standalone.cluster.messages import CrashNotice
from wallwell.standalone.crash_memory import SAME_CRASH_S, SECOND_PROBE_DELAY_S, CrashMemory

REFUSED, TAKEN = True, False


@pytest.fixture
def with_memory(monkeypatch):
    """Run a scenario on a memory whose looks at addresses give the listed answers; the last one repeats."""

    def run(answers, scenario):
        left = list(answers)

        async def look(address):
            return left.pop(0) if len(left) > 1 else left[0]

        monkeypatch.setattr(crash_memory, "is_refused", look)

        async def work():
            memory = CrashMemory("n1", CrashNotices())
            result = await scenario(memory)
            await asyncio.sleep(2 * SECOND_PROBE_DELAY_S)
            return result, memory

        return run_virtual(work())

    return run


@pytest.mark.parametrize(
    ("event", "answers", "is_crash"),
    [
        (T.RESET_AFTER_SEND, [REFUSED], True),
        (T.RESET_AFTER_SEND, [TAKEN, REFUSED], True),
        (T.RESET_AFTER_SEND, [TAKEN], False),
        (T.CONNECT_REFUSED, [REFUSED], False),
        (T.ANSWER_TIMEOUT, [REFUSED], False),
        (T.ERROR_ANSWER, [REFUSED], False),
    ],
)
def test_what_counts_and_is_told(with_memory, event, answers, is_crash):
    _, memory = with_memory(answers, lambda memory: memory.on_failure("c", event, "e", "1.2.3.4:5"))
    assert ("c" in suspected_content_digests(memory.quarantine)) is is_crash
    assert memory.notices.collect_due(1100.0) == ([CrashNotice("c", "e/n1/1")] if is_crash else [])


def test_runs_that_break_at_one_back_end_together_are_one_crash(with_memory):
    async def scenario(memory):
        for pause_s in (0.0, SAME_CRASH_S / 2, SAME_CRASH_S * 2):
            await asyncio.sleep(pause_s)
            await memory.on_failure("c", T.RESET_AFTER_SEND, "e", "1.2.3.4:5")

    _, memory = with_memory([REFUSED], scenario)
    assert {notice.life for notice in memory.notices.collect_due(1100.0)} == {"e/n1/1", "e/n1/2"}
    assert memory.quarantine.remaining_s("c", 1000.0) == 0


def test_what_others_tell_quarantines_and_their_answer_clears(with_memory):
    async def scenario(memory):
        for number in range(CRASHES_TO_QUARANTINE):
            memory.notices.on_notice(CrashNotice("c", f"e/n2/{number}"), boot_time_s())
        refused = memory.refusal("c")
        memory.notices.on_notice(CrashNotice("c", ""), boot_time_s())
        assert memory.refusal("c") is None
        return refused

    refused, _ = with_memory([REFUSED], scenario)
    assert isinstance(refused, RequestQuarantinedError)
    assert (refused.outcome, refused.http_status) == (Outcome.NOT_RUN, 503)
    assert refused.retry_after_ms > 60_000


def test_an_answer_is_told_only_for_a_suspect(with_memory):
    async def scenario(memory):
        memory.on_answered("harmless")
        await memory.on_failure("c", T.RESET_AFTER_SEND, "e", "1.2.3.4:5")
        memory.on_answered("c")

    _, memory = with_memory([REFUSED], scenario)
    assert memory.notices.collect_due(1002.0) == [CrashNotice("c", "")]
