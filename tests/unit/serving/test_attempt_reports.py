"""What a node logs of attempts that failed.

Guards against logs that cannot tell what the requests had in common under which back ends crashed, nor which of the
runs that broke with a back end had only just begun to write.
"""

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_request, make_route, make_state
from tests.virtual_time import run_virtual
from wallwell.deployment.routes import RouteKind
from wallwell.events import Event
from wallwell.routing.admission.part_quarantine import part_digest
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving import request_reports
from wallwell.serving.messages import Generation
from wallwell.serving.pipeline import RequestPipeline

ROUTE = make_route(RouteKind.STREAM, attempts=1)
PARTS = (PromptPart("a1", 100), PromptPart("b2", 50), PromptPart("own", 10))
BROKEN_AT_ONCE = Script(stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
BROKEN_LATER = Script(chunks=(event(1), 0.7), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)


@pytest.mark.parametrize(("script", "writing_ms"), [(BROKEN_AT_ONCE, 0), (BROKEN_LATER, 700)])
def test_failed_generation_is_logged_with_its_shared_parts_and_its_writing_time(monkeypatch, script, writing_ms):
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        pipeline = RequestPipeline(make_state(ROUTE, versions={"m": 1}), FakeClient(script))
        await pipeline.serve(make_request(generation=Generation("m", PARTS)), FakeReply())

    run_virtual(scenario())
    (failed,) = [fields for logged, fields in lines if logged is Event.REQUEST_RETRIED]
    assert failed["parts"] == ",".join(part_digest(identity) for identity in ("a1", "b2"))
    assert failed["writing_ms"] == writing_ms


def test_failed_call_is_logged_without_fields_of_a_prompt(monkeypatch):
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        client = FakeClient(Script(send_error=TransportEvent.RESET_AFTER_SEND))
        await RequestPipeline(make_state(make_route(RouteKind.UNSAFE)), client).serve(make_request(), FakeReply())

    run_virtual(scenario())
    (failed,) = [fields for logged, fields in lines if logged is Event.REQUEST_RETRIED]
    assert "parts" not in failed and "writing_ms" not in failed


def test_cut_stream_is_logged_and_counted_with_what_its_caller_had(monkeypatch):
    """Guards against logs in which a stream cut in the middle looks like a request refused before its answer."""
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        script = Script(chunks=(event(1), event(2), 0.3), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
        pipeline = RequestPipeline(make_state(ROUTE, versions={"m": 1}, retry_extra=0.0), FakeClient(script))
        await pipeline.serve(make_request(generation=Generation("m", PARTS)), FakeReply())
        return pipeline.counters

    counters = run_virtual(scenario())
    (failed,) = [fields for logged, fields in lines if logged is Event.REQUEST_RETRIED]
    (ended,) = [fields for logged, fields in lines if logged is Event.REQUEST_REFUSED]
    assert failed["silent_ms"] == 300
    assert (ended["cut"], ended["events"]) == (True, 2)
    assert ended["retries_left"] == pytest.approx(0.2)
    assert counters.cut_answers == {ended["code"]: 1}


def test_request_refused_before_its_answer_is_not_counted_as_cut(monkeypatch):
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        client = FakeClient(Script(send_error=TransportEvent.RESET_AFTER_SEND))
        pipeline = RequestPipeline(make_state(make_route(RouteKind.UNSAFE)), client)
        await pipeline.serve(make_request(), FakeReply())
        return pipeline.counters

    counters = run_virtual(scenario())
    (ended,) = [fields for logged, fields in lines if logged is Event.REQUEST_REFUSED]
    assert (ended["cut"], ended["events"]) == (False, 0)
    assert not counters.cut_answers


def test_answered_and_failed_generations_are_logged_with_their_cache_scope(monkeypatch):
    """Guards against logs that cannot tell under which scope an attempt found and left parts of its prompt."""
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        route = make_route(RouteKind.STREAM, attempts=2, resumable=True)
        scripts = (BROKEN_AT_ONCE, Script(chunks=(event(1),), stream=True))
        pipeline = RequestPipeline(make_state(route, versions={"m": 3}), FakeClient(*scripts))
        await pipeline.serve(make_request(generation=Generation("m", PARTS)), FakeReply())

    run_virtual(scenario())
    logged = {each: (fields["cache_scope"], fields["config"]) for each, fields in lines}
    assert logged == {Event.REQUEST_RETRIED: ("m:3", 1), Event.REQUEST_ENDED: ("m:3", 1)}
