"""Requests of all kinds around a planned stop of the standalone router: whole, or truthfully not run."""

import asyncio
import json

import msgspec
import pytest

from tests.contract.conftest import Harness, replace_spec_text
from wallwell.clock import boot_time_s
from wallwell.errors import NotReadyError, WallwellError
from wallwell.standalone.config.commit import ApplyRequest
from wallwell.standalone.config.schema import ModelSpec
from wallwell.standalone.router_node import CLOSE_S, STOP_NOTICE_S

BUSY_MACHINE_S = 2.0
"""Seconds by which a busy machine may delay a stop."""
AFTER_REFUSING_S = STOP_NOTICE_S + 0.3
"""Seconds after the signal at which new requests are refused."""
LONG_CALL_S = CLOSE_S + 1.5
"""Seconds of a call that the end of the connections does not wait for."""


@pytest.fixture
def own_harness():
    """A fleet for one test that changes it for good."""
    harness = Harness()
    yield harness
    harness.run(harness.stop())


class Connection:
    """A connection that the test keeps itself, to the first router."""

    def __init__(self, harness):
        self._harness = harness

    async def open(self):
        host, port = self._harness.fleet.routers[0].callers_address.split(":")
        self.reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    def send_head(self, name, path, tenant, framing, **headers):
        """Send the head of a request."""
        all_headers = {"Host": "router", "X-Request-Id": name, **self._harness.headers(tenant), **headers}
        lines = [f"POST {path} HTTP/1.1", *(f"{key}: {value}" for key, value in all_headers.items()), framing]
        self.send("\r\n".join([*lines, "", ""]).encode())

    def send_call(self, name, body=b"{}", **headers):
        """Send a whole call that must not be repeated."""
        self.send_head(name, "/orders/pickup-notices", "web-shop", f"Content-Length: {len(body)}", **headers)
        self.send(body)

    def send_stream(self, name, tokens):
        """Send a whole request for a stream."""
        body = json.dumps(self._harness.body(tokens=tokens, stream=True)).encode()
        self.send_head(name, "/v1/completions", "pharmacists", f"Content-Length: {len(body)}")
        self.send(body)

    def send(self, data):
        self._writer.write(data)

    async def answer_head(self):
        """Return the status and the headers of the next answer."""
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        return int(lines[0].split()[1]), dict(line.split(": ", 1) for line in lines[1:] if line)

    async def answer(self):
        """Return the status, the headers and the body of the next answer."""
        status, headers = await self.answer_head()
        if "content-length" in headers:
            return status, headers, await self.reader.readexactly(int(headers["content-length"]))
        return status, headers, await self._chunks()

    async def _chunks(self):
        body, size = b"", -1
        while size:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            body += (await self.reader.readexactly(size + 2))[:-2]
        return body

    def close(self):
        self._writer.close()


def set_grace(harness, grace_s):
    router = harness.fleet.routers[0]
    limits = msgspec.structs.replace(router.settings.limits, stop_grace_s=grace_s)
    router.settings = msgspec.structs.replace(router.settings, limits=limits)
    return router


def set_work(harness, work_s):
    for name in harness.fleet.services:
        harness.fleet.service(name)._work_s = work_s


def calls_run(harness):
    """Return the request ids of all calls that have run."""
    return [each.request_id for name in harness.fleet.services for each in harness.fleet.service(name).journal]


async def stop_took_s(router):
    begun_s = boot_time_s()
    await router.stop()
    return boot_time_s() - begun_s


def is_refused(answer):
    """Whether an answer says that nothing ran, and where its connection ends."""
    status, headers, body = answer
    assert json.loads(body)["outcome"] == headers["x-outcome"] == "not_run"
    return status in (408, 503) and headers["connection"] == "close"


@pytest.mark.parametrize("key", [{}, {"Idempotency-Key": "k1"}], ids=["plain", "with a key"])
def test_a_call_whose_body_ends_after_the_stop_began_to_refuse_is_refused_and_does_not_run(own_harness, key):
    """Its head came before the refusal: it was begun when its body ended, and cut as the connections closed."""
    harness = own_harness
    router = set_grace(harness, 10.0)
    set_work(harness, LONG_CALL_S)

    async def scenario():
        connection, holding = await Connection(harness).open(), await Connection(harness).open()
        holding.send_call("held")  # The connections are not closed before its answer.
        while not calls_run(harness):
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(stop_took_s(router))
        framing = "Transfer-Encoding: chunked"
        connection.send_head("late", "/orders/pickup-notices", "web-shop", framing, **key)
        connection.send(b"1\r\n{\r\n")
        await asyncio.sleep(AFTER_REFUSING_S)
        connection.send(b"1\r\n}\r\n0\r\n\r\n")
        answer = await connection.answer()
        held, _, _ = await holding.answer()
        connection.close()
        holding.close()
        return answer, held, await stopping

    answer, held, took_s = harness.run(scenario())
    assert is_refused(answer)
    assert answer[0] == 503 and int(answer[1]["retry-after"]) > 0
    assert (held, calls_run(harness)) == (200, ["held"])
    assert took_s < LONG_CALL_S + CLOSE_S + BUSY_MACHINE_S


def test_a_body_that_never_ends_is_told_that_nothing_ran_and_holds_the_stop_no_longer(own_harness):
    """The caller was told that its call may have run, though it was never passed on."""
    harness = own_harness
    router = set_grace(harness, 20.0)

    async def scenario():
        connection = await Connection(harness).open()
        stopping = asyncio.create_task(stop_took_s(router))
        connection.send_head("endless", "/orders/pickup-notices", "web-shop", "Content-Length: 100")
        connection.send(b"{")
        answer = await connection.answer()
        connection.close()
        return answer, await stopping

    answer, took_s = harness.run(scenario())
    assert is_refused(answer)
    assert calls_run(harness) == []
    assert took_s < STOP_NOTICE_S + CLOSE_S + BUSY_MACHINE_S


@pytest.mark.parametrize("is_pipelined", [False, True], ids=["after the answer", "while it comes"])
def test_what_follows_a_stream_that_began_before_the_stop_is_refused(own_harness, is_pipelined):
    """The head of such a stream cannot say that its connection ends, so the caller goes on at once."""
    harness = own_harness
    router = set_grace(harness, 10.0)
    set_work(harness, LONG_CALL_S)

    async def scenario():
        connection = await Connection(harness).open()
        connection.send_stream("stream", 1500)
        status, headers = await connection.answer_head()
        assert (status, headers.get("connection")) == (200, None)
        stopping = asyncio.create_task(stop_took_s(router))
        if is_pipelined:
            await asyncio.sleep(AFTER_REFUSING_S)
            connection.send_call("next")
        body = await connection._chunks()
        if not is_pipelined:
            connection.send_call("next")
        answer = await connection.answer()
        connection.close()
        return body, answer, await stopping

    body, answer, took_s = harness.run(scenario())
    assert took_s > AFTER_REFUSING_S + 0.2
    assert body.endswith(b"data: [DONE]\n\n")
    assert is_refused(answer)
    assert calls_run(harness) == []


def test_a_call_that_arrives_while_the_stopping_router_still_serves_is_whole(own_harness):
    """Callers have not seen yet that the router is not ready."""
    harness = own_harness
    router = set_grace(harness, 10.0)
    set_work(harness, LONG_CALL_S)

    async def scenario():
        connection = await Connection(harness).open()
        stopping = asyncio.create_task(stop_took_s(router))
        await asyncio.sleep(STOP_NOTICE_S / 2)
        connection.send_call("in-time")
        answer = await connection.answer()
        connection.close()
        await stopping
        return answer

    status, headers, _ = harness.run(scenario())
    assert (status, headers["connection"]) == (200, "close")


def test_pipelined_calls_are_each_answered_by_a_stopping_router(own_harness):
    """The first answer said that the connection ends, and what had been read behind it got none."""
    harness = own_harness
    router = set_grace(harness, 10.0)
    names = ["first", "second", "third"]

    async def scenario():
        connection = await Connection(harness).open()
        stopping = asyncio.create_task(stop_took_s(router))
        await asyncio.sleep(STOP_NOTICE_S / 2)
        for name in names:
            connection.send_call(name)
        answers = [await connection.answer() for _ in names]
        end = await connection.reader.read()
        connection.close()
        await stopping
        return answers, end

    answers, end = harness.run(scenario())
    assert [headers["x-request-id"] for _, headers, _ in answers] == names
    assert [status for status, _, _ in answers] == [200, 200, 200]
    assert (answers[-1][1]["connection"], end) == ("close", b"")
    assert sorted(calls_run(harness)) == sorted(names)


def change_of(harness, apply_id):
    """Return a change of one file that is in force."""
    file = next(each for each in harness.fleet.files if isinstance(each.spec, ModelSpec))
    return ApplyRequest(apply_id, "op", replace_spec_text(file, "min_serving: 4", "min_serving: 3").body)


async def apply_around_a_stop(harness, sent_s):
    """Send a change seconds after the signal, while the table service is slow; return its answer or its error."""
    router = set_grace(harness, 20.0)
    harness.fleet.platform.server.faults.set(slow_s=0.8)
    stopping = asyncio.create_task(stop_took_s(router))
    await asyncio.sleep(sent_s)
    try:
        return await harness.fleet.operator_client(0, harness.session).apply(change_of(harness, "change"))
    except WallwellError as error:
        return error
    finally:
        await stopping


def test_an_operators_change_that_a_stopping_router_has_begun_is_answered(own_harness):
    """The stop did not wait for it, and ended its connection while the table service was slow."""
    result = own_harness.run(apply_around_a_stop(own_harness, STOP_NOTICE_S - 0.1))
    assert not isinstance(result, WallwellError), result
    assert result.changed


def test_an_operators_change_that_arrives_late_in_a_stop_is_not_begun(own_harness):
    """It was begun at any time of a stop, and cut with an unknown outcome."""
    harness = own_harness
    set_work(harness, LONG_CALL_S)

    async def scenario():
        call = asyncio.create_task(harness.call())  # The stop waits for it.
        await asyncio.sleep(0.1)
        result = await apply_around_a_stop(harness, AFTER_REFUSING_S)
        return result, (await call)[0]

    result, status = harness.run(scenario())
    assert isinstance(result, NotReadyError), result
    assert status == 200
