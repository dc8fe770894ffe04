"""What is left of a request once it has ended, without the garbage collector.

Guards against failed attempts that leave their request, and what was read of its answer, in a reference cycle: only
a full collection frees it, and a few hundred megabytes of such answers do not bring one about.
"""

import asyncio
import gc

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, make_request, make_state
from tests.unit.serving.silent_attempts import (
    FOREVER_S,
    RESUMABLE,
    SAFE,
    events,
    generation,
    stream_with_a_silence,
)
from tests.unit.serving.single_request import CONNECT_TIMEOUT, OK, OVERLOADED, RESET, SERVER_ERROR, UNSAFE
from tests.virtual_time import run_virtual
from wallwell.answer_bounds import MAX_ANSWER_BYTES, AnswerTooLargeError, read_bounded
from wallwell.deployment.routes import RouteKind
from wallwell.error_frames import release_frames
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.active_request import ActiveRequest
from wallwell.serving.pipeline import RequestPipeline

PIECE = b"x" * (MAX_ANSWER_BYTES // 4)
ENDLESS = Script(chunks=(PIECE,) * 6)
BROKEN_BODY = Script(chunks=(PIECE, PIECE), body_error=TransportEvent.RESET_AFTER_SEND)
BROKEN_STREAM = Script(chunks=events(1, 2), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
SILENT_STREAM = Script(chunks=(*events(1, 2), FOREVER_S), stream=True)
REST = Script(chunks=events(3, 4), stream=True)
CASES = {
    "answered": (SAFE, [OK]),
    "endless answers": (SAFE, [ENDLESS]),
    "endless answer, unsafe": (UNSAFE, [ENDLESS]),
    "body broken off": (SAFE, [BROKEN_BODY]),
    "reset, then answered": (SAFE, [RESET, OK]),
    "reset, unsafe": (UNSAFE, [RESET]),
    "refused by all": (SAFE, [OVERLOADED]),
    "no connection": (SAFE, [CONNECT_TIMEOUT]),
    "server error, then answered": (SAFE, [SERVER_ERROR, OK]),
    "deadline": (UNSAFE, [Script(head_delay_s=FOREVER_S)]),
    "stream that goes on elsewhere": (RESUMABLE, [BROKEN_STREAM, REST]),
    "stream that ends broken": (RESUMABLE, [BROKEN_STREAM]),
    "second attempt delivers": (RESUMABLE, [SILENT_STREAM, REST]),
    "second attempt withdrawn": (
        RESUMABLE,
        [Script(chunks=stream_with_a_silence(1.3), stream=True), Script(head_delay_s=5.0, chunks=events(9, 10))],
    ),
    "second attempt fails": (RESUMABLE, [SILENT_STREAM, RESET]),
}


@pytest.fixture(autouse=True)
def without_garbage_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize(("route", "scripts"), CASES.values(), ids=CASES)
def test_nothing_of_a_request_that_has_ended_waits_for_the_garbage_collector(route, scripts):
    """Guards against a request that an error of one of its attempts refers to, and that refers to the error."""

    async def scenario():
        client = FakeClient(*scripts)
        pipeline = RequestPipeline(make_state(route, versions={"m": 1}, backends=4, retry_extra=50.0), client)
        request = generation() if route.kind is RouteKind.STREAM else make_request(body=b"body")
        await pipeline.serve(request, FakeReply())
        client.sent.clear()  # The double keeps what was sent.
        await asyncio.sleep(0.01)
        return sum(type(each) is ActiveRequest for each in gc.get_objects())

    assert run_virtual(scenario()) == 0


@pytest.mark.parametrize(
    "script", [SILENT_STREAM, Script(head_delay_s=FOREVER_S)], ids=["in a stream", "before it"]
)
def test_nothing_of_a_request_that_is_cancelled_waits_for_the_garbage_collector(script):
    """Guards against the requests of callers that leave, which stay as long."""

    async def scenario():
        client = FakeClient(script)
        pipeline = RequestPipeline(make_state(RESUMABLE, versions={"m": 1}, backends=4, retry_extra=50.0), client)
        serving = asyncio.create_task(pipeline.serve(generation(), FakeReply()))
        await asyncio.sleep(2.0)
        serving.cancel()
        await asyncio.wait({serving})
        client.sent.clear()
        del serving
        await asyncio.sleep(0.01)
        return sum(type(each) is ActiveRequest for each in gc.get_objects())

    assert run_virtual(scenario()) == 0


@pytest.mark.parametrize("error", [None, ConnectionResetError("gone")], ids=["too large", "broken off"])
def test_error_of_a_body_does_not_keep_what_was_read_of_it(error):
    """Guards against an error whose traceback holds megabytes for as long as anybody keeps the error."""

    async def chunks():
        for _ in range(6 if error is None else 3):
            yield PIECE
        raise error

    async def scenario():
        try:
            await read_bounded(chunks(), MAX_ANSWER_BYTES)
        except (AnswerTooLargeError, ConnectionResetError) as raised:
            frames = []
            traceback = raised.__traceback__
            while traceback is not None:
                frames.append(traceback.tb_frame)
                traceback = traceback.tb_next
            return [len(value) for frame in frames for value in frame.f_locals.values() if type(value) is bytearray]

    assert run_virtual(scenario()) == [0]


def test_released_error_and_those_that_led_to_it_refer_to_no_frames():
    try:
        try:
            raise ValueError("first")
        except ValueError as first:
            try:
                raise KeyError("second") from first
            except KeyError:
                raise RuntimeError("third") from None
    except RuntimeError as third:
        release_frames(third)
        errors = [third, third.__context__, third.__context__.__cause__]
    assert [type(each) for each in errors] == [RuntimeError, KeyError, ValueError]
    assert all(each.__traceback__ is None for each in errors)


def test_errors_that_refer_to_each_other_are_released():
    first, second = ValueError(), ValueError()
    first.__context__, second.__cause__ = second, first
    release_frames(first)
