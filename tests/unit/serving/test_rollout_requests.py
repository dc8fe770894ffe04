"""Requests during a rollout of a service's software: which version serves them, and how attempts are counted."""

from dataclasses import replace

import msgspec
import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    event,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.unit.serving.single_request import OK, OVERLOADED, RESET, SAFE, SERVER_ERROR
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import RouteKind
from wallwell.deployment.store_era import StorePosition
from wallwell.rollout.model import Phase, RolloutOrder, RolloutRecord, delay_bucket
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart, engine_pool
from wallwell.serving.messages import Generation
from wallwell.serving.pipeline import RequestPipeline

STREAM = make_route(RouteKind.STREAM, resumable=True, rank=0)
STREAM_ANSWER = Script(chunks=(event(1), 0.2, event(2), 0.4, event(3)), stream=True, head_delay_s=0.3)


def state_in_rollout(phase=Phase.CANARY, share=0.0, route=SAFE, old=6, new=4, new_weights=1, slow_for_s=0.0):
    """Return a state with a rollout from v1 to v2 in this phase, whose record was received just now."""
    state = make_state(route, backends=0)
    for software, count in (("v1", old), ("v2", new)):
        versions = {"m": 1 if software == "v1" else new_weights}
        for index in range(count):
            name = f"{software}-{index}"
            record = BackendRecord(name, "svc", f"{name}:80", "z1", 8, versions=versions, software=software)
            state.backends.upsert(record).slow_until_s = boot_time_s() + slow_for_s
    barred = ("v1",) if phase is Phase.COMPLETE else ()
    record = RolloutRecord("svc", "v2", 1, 0.0, 30.0, phase, share, barred=barred)
    state.rollouts.on_record(record, StorePosition(0, 1), boot_time_s())
    return state


def serve_requests(scripts, requests=1, prepare=None, generation=None, **rollout):
    """Serve requests; return the version of each attempt, the last reply and the state."""

    async def scenario():
        state = state_in_rollout(**rollout)
        if prepare is not None:
            prepare(state)
        client = FakeClient(*scripts)
        pipeline = RequestPipeline(state, client)
        for _ in range(requests):
            reply = FakeReply()
            await pipeline.serve(make_request(generation=generation), reply)
        return [each.backend.software for each in client.sent], reply, state

    return run_virtual(scenario())


def suspend(software):
    def prepare(state):
        for each in state.backends.all_backends():
            if each.record.software == software:
                each.suspended_until_s = boot_time_s() + 60

    return prepare


def counts_of(state):
    return state.rollouts.tally.by_service["svc"].snapshot()


@pytest.mark.parametrize("share", [0.02, 0.1])
def test_the_target_version_gets_its_share_of_requests(share):
    sent, _, state = serve_requests([OK], requests=3000, share=share)
    assert sent.count("v2") / len(sent) == pytest.approx(share, abs=0.015)
    assert counts_of(state).target_requests == sent.count("v2")
    assert counts_of(state).current_requests == sent.count("v1")


@pytest.mark.parametrize(
    ("phase", "expected"),
    [(Phase.CANARY, "v1"), (Phase.SWITCHING, "v2"), (Phase.COMPLETE, "v2"), (Phase.ROLLED_BACK, "v1")],
)
def test_the_version_of_new_requests_by_phase(phase, expected):
    assert set(serve_requests([OK], requests=50, phase=phase)[0]) == {expected}


def test_a_rollout_order_moves_requests_off_a_version_before_any_record():
    def prepare(state):
        state.rollouts.on_order(RolloutOrder("svc", "v2", 30.0, 9), boot_time_s())

    assert set(serve_requests([OK], requests=50, phase=Phase.SWITCHING, prepare=prepare)[0]) == {"v1"}


def test_a_retry_after_a_reset_on_the_target_version_goes_to_the_current_one():
    sent, reply, _ = serve_requests([RESET, OK], phase=Phase.SWITCHING)
    assert (sent, reply.status) == (["v2", "v1"], 200)


def test_a_retry_after_an_error_answer_of_the_target_version_goes_to_the_current_one():
    sent, reply, _ = serve_requests([SERVER_ERROR, OK], phase=Phase.SWITCHING)
    assert (sent, reply.status) == (["v2", "v1"], 200)


def test_a_retry_after_a_reset_on_the_current_version_stays_there():
    assert serve_requests([RESET, OK])[0] == ["v1", "v1"]


@pytest.mark.parametrize(
    ("suspended", "phase", "share", "expected"),
    [
        ("v2", Phase.SWITCHING, 1.0, "v1"),
        ("v1", Phase.CANARY, 0.05, "v2"),
        ("v1", Phase.CANARY, 0.0, "v1"),
        ("v1", Phase.ROLLED_BACK, 0.0, "v1"),
        ("v2", Phase.COMPLETE, 1.0, "v2"),
    ],
)
def test_the_other_version_serves_where_allowed_if_one_has_no_usable_back_end(suspended, phase, share, expected):
    sent, _, _ = serve_requests([OK], requests=20, phase=phase, share=share, prepare=suspend(suspended))
    assert set(sent) == {expected}


def test_a_node_with_a_stale_rollout_record_uses_the_current_version():
    def prepare(state):
        state.rollouts.active["svc"].record_written_s = boot_time_s() - state.bounds.rollout.rollback_s / 2

    assert set(serve_requests([OK], requests=50, phase=Phase.SWITCHING, prepare=prepare)[0]) == {"v1"}


def test_a_rolled_back_version_gets_no_requests_even_if_no_other_is_listed():
    sent, reply, _ = serve_requests([OK], phase=Phase.ROLLED_BACK, old=0)
    assert (sent, reply.error.code) == ([], "WW3008")


def test_the_current_version_serves_if_target_engines_lack_due_weights():
    def prepare(state):
        state.weights.add_version("m", 1, boot_time_s() - 60)

    sent, _, _ = serve_requests(
        [STREAM_ANSWER],
        phase=Phase.SWITCHING,
        route=STREAM,
        new_weights=0,
        generation=make_generation(),
        prepare=prepare,
    )
    assert sent == ["v1"]


def test_engine_pools_are_formed_within_a_version():
    """One engine in three is reserved for short prompts: of those of the target version, not of all engines."""

    async def scenario():
        state = state_in_rollout(Phase.SWITCHING, route=STREAM, old=90, new=9)
        client = FakeClient(Script(chunks=(event(1),), stream=True))
        pipeline = RequestPipeline(state, client)
        for prefix in range(60):
            parts = (PromptPart(f"shared-{prefix}", 100), PromptPart("own", 10))
            await pipeline.serve(make_request(generation=Generation("m", parts)), FakeReply())
        target = [each for each in state.backends.all_backends() if each.record.software == "v2"]
        pool = {each.incarnation for each in engine_pool(target, 110)}
        return pool, {each.backend.incarnation for each in client.sent}

    pool, used = run_virtual(scenario())
    assert len(pool) == 3
    assert used == pool


def test_a_retry_does_not_use_the_target_version_once_its_record_is_stale():
    """The first attempt is on the current version, since no target back end is usable at that time."""

    def prepare(state):
        for each in state.backends.all_backends():
            if each.record.software == "v2":
                each.suspended_until_s = boot_time_s() + 1.0
        state.rollouts.active["svc"].record_written_s -= 1.0

    slow_reset = Script(send_error=TransportEvent.RESET_AFTER_SEND, head_delay_s=3.0)
    route = msgspec.structs.replace(SAFE, objective_s=4.0)
    assert serve_requests([slow_reset, OK], phase=Phase.SWITCHING, route=route, prepare=prepare)[0] == ["v1", "v1"]


@pytest.mark.parametrize(("phase", "is_refused"), [(Phase.CANARY, True), (Phase.SWITCHING, False)])
def test_overload_is_judged_by_the_version_that_gets_new_requests(phase, is_refused):
    def prepare(state):
        for each in state.backends.all_backends():
            each.peers_load = 24 if each.record.software == "v1" else 0

    _, reply, _ = serve_requests(
        [STREAM_ANSWER], phase=phase, route=STREAM, generation=make_generation(), prepare=prepare
    )
    assert (reply.error is not None and reply.error.code == "WW3019") == is_refused


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (OK, (1, 0, 0)),
        (SERVER_ERROR, (1, 1, 0)),
        (RESET, (0, 0, 1)),
        (OVERLOADED, (0, 0, 1)),
        (Script(chunks=(b"o",), body_error=TransportEvent.RESET_AFTER_SEND), (0, 0, 1)),
    ],
)
def test_each_attempt_is_counted_once_by_how_it_ended(script, expected):
    _, _, state = serve_requests([script, OK], phase=Phase.SWITCHING)
    (target,) = [each for each in counts_of(state).answers if each.is_target]
    assert (target.answered, target.failed, target.broken) == expected
    assert target.backend.startswith("v2-")


def test_the_first_delay_and_mean_gap_of_a_stream_are_counted():
    _, _, state = serve_requests([STREAM_ANSWER], phase=Phase.SWITCHING, route=STREAM, generation=make_generation())
    (target,) = counts_of(state).answers
    assert target.first_delays == {delay_bucket(0.3): 1}
    assert target.piece_gaps == {delay_bucket(0.3): 1}


def test_delays_of_a_back_end_in_slow_start_are_not_counted():
    _, _, state = serve_requests([OK], phase=Phase.SWITCHING, slow_for_s=5.0)
    (target,) = counts_of(state).answers
    assert (target.answered, target.first_delays) == (1, {})


def test_a_silent_target_back_end_counts_as_late():
    silent = Script(head_delay_s=60.0)
    route = msgspec.structs.replace(SAFE, timeout_s=2.0, max_attempts=1)
    _, reply, state = serve_requests([silent], phase=Phase.SWITCHING, route=route)
    (target,) = counts_of(state).answers
    assert (reply.status, target.broken, target.first_delays) == (504, 1, {delay_bucket(2.0): 1})


def test_nothing_is_counted_without_a_rollout_or_after_its_end():
    _, _, state = serve_requests([OK], phase=Phase.COMPLETE)
    assert state.rollouts.tally.by_service == {}


def test_the_log_names_the_software_that_served_a_request():
    from loguru import logger

    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]), level="INFO")
    try:
        serve_requests([RESET, OK], phase=Phase.SWITCHING)
    finally:
        logger.remove(sink)
    named = [(line["event"], line["software"]) for line in lines if "software" in line]
    assert named == [(3002, "v2"), (3001, "v1")]


@pytest.mark.parametrize("is_old_listed", [False, True])
def test_without_a_rollout_the_remaining_back_ends_are_used_whatever_their_version(is_old_listed):
    async def scenario():
        state = make_state(SAFE, backends=0)
        now_s = boot_time_s()
        old = BackendRecord("old", "svc", "old:80", "z1", 8, software="v1")
        state.rollouts.on_backend_listed("svc", "v1", now_s, True)
        state.backends.upsert(old)
        state.rollouts.on_backend_listed("svc", "v2", now_s, False)
        state.backends.upsert(replace(old, incarnation="new", address="new:80", software="v2"))
        if is_old_listed:
            state.backends.upsert(replace(old, draining=True))
        else:
            state.backends.remove("old")
        client, reply = FakeClient(OK), FakeReply()
        await RequestPipeline(state, client).serve(make_request(), reply)
        return reply, client

    reply, client = run_virtual(scenario())
    assert (reply.status, [each.backend.incarnation for each in client.sent]) == (200, ["new"])
