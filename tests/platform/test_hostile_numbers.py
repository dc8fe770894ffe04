"""Odd header values in callers' requests and workers' answers: no error of the router, and others are served on."""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus

import pytest
from loguru import logger

from tests.hostile_numbers import HOSTILE_VALUES
from tests.platform.conftest import HOST, config, route
from tests.platform.raw_worker import EVENTS, RawWorker
from wallwell.callers_server import encode_final_answer
from wallwell.errors import ConnectionEndedError
from wallwell.events import Event
from wallwell.platform import names
from wallwell.routing.selection.prefix_home import request_load

PATHS = ["/c/a", "/e/a"]
"""A call and a stream."""
ROUTES = [route("e", "/e/", kind="stream", can_resume=True), route("c", "/c/")]
TENANT = {"name": "t1", "api_keys": ["k1"], "rate_per_s": 1000, "burst": 100_000, "unit": "tokens"}
SERVICE = {"name": "svc", "engine": {"slots": 8, "kv_capacity": 90_000, "models": [{"name": "m"}]}}
CONFIG = config(routes=ROUTES, services=[SERVICE])
LIMITED = config(routes=ROUTES, services=[SERVICE], tenants=[TENANT])
ANSWER_TIMEOUT_S = 8.0
SOUND = {
    names.REQUEST_ID: b"req-1",
    names.CREDENTIAL: b"k1",
    names.DEADLINE_MS: b"3000",
    names.MODEL: b"m",
    names.PROMPT_PARTS: b"5c:100,6d:20",
    names.TOKEN_USAGE: b"120,10",
}
OPTIONAL_HEADERS = (
    names.PROMPT_PARTS,
    names.TOKEN_USAGE,
    names.RESUME_AFTER,
    names.RESUMES,
    names.DEADLINE_MS,
    names.MODEL,
)
"""Headers of callers that the router reads, and without which a request is sound."""
OTHER_HEADERS = (names.REQUEST_ID, names.CREDENTIAL, "Connection", "Expect", "Host")
ANSWER_HEADERS = (
    names.RETRY_AFTER,
    names.REQUEST_LIMIT,
    names.BRITTLE,
    names.LEAVING,
    names.WEIGHT_VERSION,
    names.INSTANCE_ID,
    "Keep-Alive",
)
"""Headers of workers that the router reads."""


@contextlib.contextmanager
def internal_errors():
    """Return a list of the events 1006 that are logged in the context."""
    found = []

    def on_line(line):
        if line.record["extra"]["event"] == Event.INTERNAL_ERROR.number:
            found.append(line.record["extra"])

    sink = logger.add(on_line, level="INFO", format="{message}")
    try:
        yield found
    finally:
        logger.remove(sink)


async def call(harness, path, **headers):
    """Return status and body of the answer to a request on a connection of its own."""
    fields = {"Host": HOST.encode(), "Content-Length": b"2", **SOUND, **headers}
    start = f"POST {path} HTTP/1.1".encode("utf-8", "surrogateescape")
    lines = [start, *(name.encode() + b": " + value for name, value in fields.items())]
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n{}")
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.partition(b"content-length: ")[2]
            body = (
                await reader.readexactly(int(length.split()[0])) if length else await reader.readuntil(b"\r\n0\r\n")
            )
            return int(head.split()[1]), body
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


async def play(harness, change, path):
    """Return, by the name of each hostile value, the status with it, that of a sound request, and events 1006."""
    worker = RawWorker()
    await worker.start()
    harness.publish(worker)
    await harness.until(lambda: harness.node.state.backends.get(worker.incarnation) is not None)
    outcomes = {}
    for name, value in HOSTILE_VALUES.items():
        with internal_errors() as errors:
            status, _ = await call(harness, path, **change(worker, value))
            worker.headers, worker.status = {}, b"200 OK"
            sound, _ = await call(harness, path)
        outcomes[name] = (status, sound, errors)
    await worker.stop()
    return outcomes


def faults(outcomes, allowed):
    """Return the outcomes with another status than ``allowed``, a sound request not served, or events 1006."""
    return {
        name: (status, sound, errors)
        for name, (status, sound, errors) in outcomes.items()
        if status not in allowed or sound != HTTPStatus.OK or errors
    }


@pytest.mark.parametrize("header", OPTIONAL_HEADERS)
@pytest.mark.parametrize("path", PATHS)
def test_a_request_is_served_whatever_an_optional_header_holds(on_platform, header, path):
    """Digits by the thousand, digits that are not ASCII and bytes that are not UTF-8 were answered with 500."""
    outcomes = on_platform(lambda harness: play(harness, lambda _, value: {header: value}, path), CONFIG, workers=0)
    assert faults(outcomes, {HTTPStatus.OK}) == {}


@pytest.mark.parametrize("header", OTHER_HEADERS)
@pytest.mark.parametrize("path", PATHS)
def test_no_value_of_another_header_is_an_error_of_the_router(on_platform, header, path):
    outcomes = on_platform(lambda harness: play(harness, lambda _, value: {header: value}, path), CONFIG, workers=0)
    refused = {HTTPStatus.BAD_REQUEST, HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND, HTTPStatus.EXPECTATION_FAILED}
    assert faults(outcomes, {HTTPStatus.OK, *refused}) == {}


@pytest.mark.parametrize("path", ["/c/\udcff", "/c/a?b=\udcb2"])
def test_a_target_with_bytes_that_are_not_utf_8_is_no_error_of_the_router(on_platform, path):
    async def scenario(harness):
        worker = RawWorker()
        await worker.start()
        harness.publish(worker)
        await harness.until(lambda: harness.node.state.backends.get(worker.incarnation) is not None)
        with internal_errors() as errors:
            status, _ = await call(harness, path)
        await worker.stop()
        return status, errors

    status, errors = on_platform(scenario, CONFIG, workers=0)
    assert (status in {HTTPStatus.OK, HTTPStatus.BAD_REQUEST}, errors) == (True, [])


def test_last_answer_of_a_connection_repeats_an_id_that_is_not_utf_8():
    """It was encoded strictly, which raised an error while a node stopped."""
    answer = encode_final_answer(ConnectionEndedError(), {names.REQUEST_ID: "a\udcff"}, b"")
    assert b"X-Request-Id: a\xff\r\n" in answer


def odd_routes(**more):
    """Return a configuration with a route and a service for the answers with each hostile value."""
    numbers = range(len(HOSTILE_VALUES))
    odd = [route(f"o{n}", f"/{n}/", service=f"odd{n}", attempts=1, **more) for n in numbers]
    return config(routes=[*odd, route("c", "/c/")], services=[SERVICE])


async def play_answers(harness, change, **headers):
    """Return, by the name of each hostile value, the status of an answer with it, that of a sound request, events
    1006, and the answer's body. ``change`` sets what a worker answers; each value has its own worker."""
    workers = [RawWorker(f"odd-{number}", f"odd{number}") for number in range(len(HOSTILE_VALUES))]
    for worker, value in zip(workers, HOSTILE_VALUES.values(), strict=True):
        change(worker, value)
        await worker.start()
        harness.publish(worker)
    await harness.until(lambda: all(harness.node.state.backends.get(each.incarnation) for each in workers))
    outcomes = {}
    for number, name in enumerate(HOSTILE_VALUES):
        with internal_errors() as errors:
            status, body = await call(harness, f"/{number}/e/a", **headers)
            sound, _ = await call(harness, "/c/a")
        outcomes[name] = (status, sound, errors, body)
    for worker in workers:
        await worker.stop()
    assert all(worker.heads for worker in workers)
    return outcomes


@pytest.mark.parametrize("header", ANSWER_HEADERS)
def test_an_answer_is_passed_on_whatever_a_header_of_it_holds(on_platform, header):
    def change(worker, value):
        worker.headers = {header: value}

    outcomes = on_platform(lambda harness: play_answers(harness, change), odd_routes())
    heads = {name: outcome[:3] for name, outcome in outcomes.items()}
    assert (faults(heads, {HTTPStatus.OK}), {body for *_, body in outcomes.values()}) == ({}, {EVENTS})


@pytest.mark.parametrize("header", ANSWER_HEADERS)
def test_a_refusal_is_one_whatever_a_header_of_it_holds(on_platform, header):
    def change(worker, value):
        worker.status = b"503 Service Unavailable"
        worker.headers = {names.NOT_RUN: b"1", header: value}

    brief = {names.DEADLINE_MS: b"300"}
    outcomes = on_platform(lambda harness: play_answers(harness, change, **brief), odd_routes())
    heads = {name: outcome[:3] for name, outcome in outcomes.items()}
    assert faults(heads, {HTTPStatus.SERVICE_UNAVAILABLE}) == {}


def test_a_stream_is_passed_on_whatever_the_ids_of_its_events_hold(on_platform):
    """An id of thousands of digits was an error of the router."""

    def change(worker, value):
        worker.events = b"id: " + value + b"\ndata: a\n\n" + b"data: b\n\n"

    outcomes = on_platform(
        lambda harness: play_answers(harness, change), odd_routes(kind="stream", can_resume=True)
    )
    heads = {name: outcome[:3] for name, outcome in outcomes.items()}
    assert faults(heads, {HTTPStatus.OK}) == {}
    assert [name for name, outcome in outcomes.items() if b"data: b" not in outcome[3]] == []


def test_a_prompt_of_more_than_an_engine_holds_does_not_make_the_engine_look_full(on_platform):
    """Its load was that of its stated size, and other nodes were told of it."""

    async def scenario(harness):
        release = harness.hold_answers()
        held = asyncio.create_task(call(harness, "/e/a", **{names.PROMPT_PARTS: b"5c:9999999"}))
        worker = harness.workers[0].incarnation
        await harness.until(lambda: harness.node.state.backends.get(worker).load)
        load = harness.node.state.backends.get(worker).load
        release.set()
        return load, (await held)[0]

    assert on_platform(scenario, CONFIG, workers=1) == (request_load(90_000), HTTPStatus.OK)
