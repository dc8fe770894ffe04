"""A stream that has begun is continued only by back ends of the software version that began it.

Guards against streams with events of two versions, in a rollout as well, where a failed attempt at the target
version otherwise goes to the current one; and against streams that are given up although nobody else may continue
them.
"""

import dataclasses

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_generation, make_request, make_route
from tests.unit.serving.fakes import make_state as make_plain_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.deployment.store_era import StorePosition
from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline

ROUTE = make_route(RouteKind.STREAM, resumable=True, attempts=2, timeout_s=8.0)
BROKEN = Script(chunks=(event(1),), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
REST = Script(chunks=(event(2),), stream=True)
STALLED = Script(chunks=(event(1), 3.0, event(2)), stream=True)


def make_state(software, route=ROUTE):
    """Return a node's state with one back end for each of the software versions."""
    state = make_plain_state(route, backends=len(software), versions={"m": 1})
    for index, version in enumerate(software):
        record = state.backends.get(f"i-{index}").record
        state.backends.upsert(dataclasses.replace(record, software=version))
    return state


def apply_record(state, phase, target="v2", excluded=()):
    record = RolloutRecord("svc", target, 3, 0.0, 20.0, phase, 1.0, barred=excluded, written_at_s=1.0)
    state.rollouts.on_record(record, StorePosition(0, 4), boot_time_s())


def serve(scripts, software, prepare=None, on_send=None, route=ROUTE):
    """Serve one stream; return the reply and the software versions of the back ends that it was sent to."""

    async def scenario():
        state = make_state(software, route)
        if prepare is not None:
            prepare(state)
        client, reply = FakeClient(*scripts), FakeReply()
        if on_send is not None:
            send = client.send

            async def send_after_change(dispatch):
                on_send(state, dispatch, len(client.sent))
                return await send(dispatch)

            client.send = send_after_change
        await RequestPipeline(state, client).serve(make_request(generation=make_generation()), reply)
        return reply, [each.backend.software for each in client.sent]

    return run_virtual(scenario())


@pytest.mark.parametrize("others", [3, 9])
def test_a_broken_stream_is_continued_by_its_own_version(others):
    reply, versions = serve([BROKEN, REST], ["v1", "v1"] + ["v2"] * 2 + ["v3"] * others)
    assert reply.ended == "finished"
    assert versions[0] == versions[1]


def test_a_stream_is_cut_if_no_back_end_of_its_version_is_left():
    reply, versions = serve([BROKEN, REST], ["v1", "v2", "v3"])
    assert (reply.ended, len(versions)) == ("aborted", 1)


def test_an_attempt_that_sent_no_event_binds_no_version():
    empty = Script(stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
    reply, versions = serve([empty, Script(chunks=(event(1),), stream=True)], ["v1", "v2"])
    assert reply.ended == "finished"
    assert set(versions) == {"v1", "v2"}


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.SWITCHING])
def test_a_stream_of_the_target_version_of_a_rollout_is_continued_there(phase):
    software = ["v1", "v1", "v1", "v2", "v2", "v2"]
    reply, versions = serve([BROKEN, REST], software, lambda state: apply_record(state, phase))
    assert (reply.ended, versions) == ("finished", ["v2", "v2"])


def test_a_stream_of_the_current_version_is_continued_there_while_a_rollout_switches():
    def switch(state, dispatch, sends):
        if sends == 1:
            apply_record(state, Phase.SWITCHING)

    def use_current_version(state):
        apply_record(state, Phase.ROLLED_BACK)

    reply, versions = serve([BROKEN, REST], ["v1", "v1", "v2", "v2"], use_current_version, switch)
    assert (reply.ended, versions) == ("finished", ["v1", "v1"])


def test_a_stream_of_a_version_that_is_rolled_back_meanwhile_is_not_continued_there():
    def roll_back(state, dispatch, sends):
        apply_record(state, Phase.ROLLED_BACK)

    reply, versions = serve(
        [BROKEN, REST],
        ["v1", "v1", "v2", "v2"],
        lambda state: apply_record(state, Phase.SWITCHING),
        on_send=roll_back,
    )
    assert (reply.ended, versions) == ("aborted", ["v2"])


def test_events_of_a_back_end_that_was_started_again_with_other_software_are_not_forwarded():
    def restart(state, dispatch, sends):
        if sends == 1:
            record = dataclasses.replace(dispatch.backend, software="v2", started_unix_ms=5)
            state.backends.upsert(record)

    reply, versions = serve([BROKEN, REST], ["v1", "v1"], on_send=restart)
    assert versions == ["v1", "v1"]
    assert (reply.ended, reply.body) == ("aborted", event(1))


def test_a_stalled_stream_that_nobody_may_continue_is_awaited():
    reply, versions = serve([STALLED, REST], ["v1", "v2", "v3"])
    assert (reply.ended, len(versions)) == ("finished", 1)


def test_a_stalled_stream_is_continued_by_its_own_version():
    reply, versions = serve([STALLED, REST], ["v1", "v1", "v2", "v2"])
    assert reply.ended == "finished"
    assert len(versions) == 2
    assert versions[0] == versions[1]


def crash(state, *incarnations):
    """Record that the listed starts of these back ends have crashed; the next ones are not listed yet."""
    for incarnation in incarnations:
        state.backends.on_crashed(incarnation, boot_time_s())


def test_a_broken_stream_does_not_go_on_at_a_back_end_that_has_crashed_since_it_was_listed():
    """Guards against events of two versions: the next start under an identity may run another one, and serves
    before its entry is written."""
    for _ in range(3):
        reply, versions = serve(
            [BROKEN, REST], ["v1", "v1", "v2"], on_send=lambda state, _, sent: sent or crash(state, "i-0", "i-1")
        )
        assert (reply.ended, len(versions)) == ("aborted", 1)


def test_a_broken_stream_goes_on_at_a_back_end_of_its_version_that_has_not_crashed():
    def crash_all_but_one(state, dispatch, sent):
        others = [f"i-{number}" for number in range(4) if f"i-{number}" != dispatch.backend.incarnation]
        if not sent:
            crash(state, *others[:2])

    reply, versions = serve([BROKEN, REST], ["v1"] * 4, on_send=crash_all_but_one)
    assert (reply.ended, versions) == ("finished", ["v1", "v1"])


def test_a_stream_begins_where_its_version_is_known_if_it_can():
    """Guards against streams that nobody may continue, since their version is not known."""
    for crashed in ("i-0", "i-1", "i-2"):
        others = [each for each in ("i-0", "i-1", "i-2") if each != crashed]
        _, versions = serve([REST], ["v1", "v2", "v3"], lambda state, others=others: crash(state, *others))
        assert versions == [f"v{int(crashed[-1]) + 1}"]


def test_a_stream_that_begins_at_a_crashed_back_end_goes_on_nowhere():
    """Guards against a stream bound to the version that was listed before the crash."""
    reply, versions = serve([BROKEN, REST], ["v1", "v1"], lambda state: crash(state, "i-0", "i-1"))
    assert (reply.ended, len(versions)) == ("aborted", 1)


def test_first_events_of_a_continued_stream_are_not_passed_on_after_a_crash_of_their_back_end():
    """Guards against a crash that is learned of while the answer that continues a stream begins."""
    late_rest = Script(chunks=(event(2),), stream=True, head_delay_s=0.1)

    def crash_at_the_second(state, dispatch, sent):
        if sent:
            crash(state, dispatch.backend.incarnation)

    reply, versions = serve([BROKEN, late_rest], ["v1", "v1", "v2"], on_send=crash_at_the_second)
    assert (reply.ended, reply.body) == ("aborted", event(1))
    assert versions == ["v1", "v1"]


def test_a_stream_goes_on_after_the_last_event_that_was_passed_on():
    """Guards against a stream that lacks an event: one came from a back end that was found to have crashed, was not
    passed on, and the next attempt resumed behind it."""
    late_rest = Script(chunks=(event(2),), stream=True, head_delay_s=0.1)
    resumed_after = []

    def crash_the_second(state, dispatch, sent):
        resumed_after.append(dispatch.resume_after)
        if sent == 1:
            crash(state, dispatch.backend.incarnation)

    route = make_route(RouteKind.STREAM, resumable=True, attempts=3, timeout_s=8.0)
    reply, _ = serve([BROKEN, late_rest, REST], ["v1"] * 3, on_send=crash_the_second, route=route)
    assert resumed_after == [None, 1, 1]
    assert (reply.ended, reply.body) == ("finished", event(1) + event(2))
