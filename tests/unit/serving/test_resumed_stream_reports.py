"""What a node logs and counts of streams that go on after a break."""

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
from tests.virtual_time import run_virtual
from wallwell.deployment.routes import RouteKind
from wallwell.events import Event
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving import request_reports
from wallwell.serving.pipeline import RequestPipeline

ROUTE = make_route(RouteKind.STREAM, resumable=True, attempts=2)
BROKEN = Script(chunks=(event(1),), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
REST = Script(chunks=(event(2),), stream=True)


@pytest.mark.parametrize(
    ("scripts", "resume_after", "counted", "logged"),
    [
        ([REST], None, {}, []),
        ([BROKEN, REST], None, {"router": 1}, [("router", "", "", "")]),
        ([REST], 1, {"caller": 1}, [("caller", "first", "", "")]),
    ],
)
def test_a_resumed_stream_is_logged_with_the_version_of_its_earlier_events(
    monkeypatch, scripts, resume_after, counted, logged
):
    lines = []
    monkeypatch.setattr(request_reports, "emit", lambda event, **fields: lines.append((event, fields)))

    async def scenario():
        pipeline = RequestPipeline(make_state(ROUTE, versions={"m": 1}), FakeClient(*scripts))
        first_request_id = "first" if resume_after is not None else ""
        request = make_request(
            generation=make_generation(resume_after=resume_after), first_request_id=first_request_id
        )
        await pipeline.serve(request, FakeReply())
        return pipeline.counters.resumed_streams

    assert run_virtual(scenario()) == counted
    fields = [each for line, each in lines if line is Event.STREAM_RESUMED]
    assert [
        (each["by"], each["first_request_id"], each["software"], each["software_before"]) for each in fields
    ] == logged
