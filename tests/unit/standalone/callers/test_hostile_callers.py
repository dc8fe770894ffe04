"""Callers' requests with hostile headers, paths and bodies: each gets a typed answer, and no unexpected error.

Raw bytes are sent, since no client would write most of these headers.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from loguru import logger

from tests.conftest import EXAMPLES
from tests.unit.standalone.hostile_values import DEEP, LONG_DIGITS, hostile_documents
from wallwell.emulator.deployment import EmulatedDeployment
from wallwell.errors import MalformedRequestError, OutcomeUnknownError
from wallwell.events import Event
from wallwell.standalone.callers.caller import MAX_DEADLINE_MS, error_body
from wallwell.standalone.callers.openai_format import parse_generation, render_prompt
from wallwell.standalone.listeners import StandaloneLastAnswers

HEADERS = (
    "X-Deadline-Ms",
    "X-Priority",
    "X-Request-Id",
    "Idempotency-Key",
    "Content-Type",
    "Authorization",
    "Accept",
)
VALUES = {
    "long": LONG_DIGITS.encode(),
    "zeros and digits": b"0000086400" + b"9" * 5000,
    "zeros and a digit": b"0" * 4000 + b"1",
    "negative": b"-1",
    "signed": b"+1",
    "underscore": b"1_0",
    "fraction": b"1.5",
    "exponent": b"1e3",
    "infinite": b"inf",
    "not a number": b"nan",
    "superscript": "²".encode(),
    "arabic digit": "\u0661".encode(),
    "not UTF-8": b"\xff\xfe",
    "bearer not UTF-8": b"Bearer \xff\xfe",
    "surrogate": b"\xed\xa0\x80",
    "empty": b"",
    "latin": b"caf\xe9",
    "text": "é".encode(),
    "tab": b"a\tb",
    "too large": str(MAX_DEADLINE_MS + 1).encode(),
}
PATHS = (b"/orders/%ff", b"/orders/%00", b"/orders/\xff", b"/orders/x?q=%ff", b"/orders/x?q=\xff", b"/%ff/x")
GENERATION = {"model": "dosage-8b", "prompt": "p", "max_tokens": 1, "stream": False, "adapter": ""}
CHAT = {"model": "dosage-8b", "messages": [{"role": "user", "content": "c"}], "max_tokens": 1}
EXPECTED_CODES = {b"200", b"400", b"401", b"403", b"404", b"413", b"429", b"431"}


class Fleet:
    """A running router with its engines and services, and the unexpected errors that are logged meanwhile."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.deployment = EmulatedDeployment(EXAMPLES / "pharmacy")
        self.loop.run_until_complete(self.deployment.start())
        self.unexpected = []
        self._sink = logger.add(self._take, level="ERROR")

    def _take(self, message):
        extra = message.record["extra"]
        if extra.get("event") in (Event.INTERNAL_ERROR.number, Event.TASK_FAILED.number):
            self.unexpected.append(extra)

    def close(self):
        logger.remove(self._sink)
        self.loop.run_until_complete(self.deployment.stop())
        self.loop.close()

    def run(self, work):
        return self.loop.run_until_complete(asyncio.wait_for(work, 30))

    async def send(self, head, body=b"", credential=b"Bearer demo-pharmacists"):
        """Return the status line's code of the answer to raw bytes."""
        host, _, port = self.deployment.routers[0].callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = head + b"Host: a\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        if b"Authorization" not in head:
            lines += b"Authorization: " + credential + b"\r\n"
        writer.write(lines + b"\r\n" + body)
        answer = await reader.read()
        writer.close()
        return answer.split(b" ", 2)[1], answer


@pytest.fixture(scope="module")
def fleet():
    running = Fleet()
    yield running
    running.close()


@pytest.fixture(autouse=True)
def nothing_unexpected(request):
    if "fleet" not in request.fixturenames:
        yield
        return
    running = request.getfixturevalue("fleet")
    running.unexpected.clear()
    yield
    assert running.unexpected == []


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
def test_a_hostile_header_gets_a_typed_answer(fleet, value):
    """Bytes that are no UTF-8, or a deadline of zeros and thousands of digits, were answered with 500."""

    async def scenario():
        for header in HEADERS:
            line = header.encode() + b": " + value + b"\r\n"
            generation = b"POST /v1/completions HTTP/1.1\r\n" + line
            code, answer = await fleet.send(generation, json.dumps(GENERATION).encode())
            assert code in EXPECTED_CODES, (header, answer[:300])
            call = b"POST /orders/pickup-notices HTTP/1.1\r\n" + line
            code, answer = await fleet.send(call, b"{}", b"Bearer demo-web-shop")
            assert code in EXPECTED_CODES, (header, answer[:300])

    fleet.run(scenario())


@pytest.mark.parametrize("path", PATHS, ids=ascii)
def test_a_hostile_path_gets_a_typed_answer(fleet, path):
    async def scenario():
        code, answer = await fleet.send(b"POST " + path + b" HTTP/1.1\r\n", b"{}", b"Bearer demo-web-shop")
        assert code in EXPECTED_CODES, answer[:300]

    fleet.run(scenario())


@pytest.mark.parametrize("body", [GENERATION, CHAT], ids=["text", "chat"])
def test_a_hostile_value_in_any_field_of_a_body_raises_only_the_documented_error(body):
    """A deeply nested value raised RecursionError."""
    refused = 0
    for document in hostile_documents(body):
        try:
            render_prompt(parse_generation(document, chat=body is CHAT))
        except MalformedRequestError:
            refused += 1
    assert refused > 0


@pytest.mark.parametrize("value", [DEEP, LONG_DIGITS, "1e999", '"\\ud800"', "\xff"], ids=ascii)
def test_a_body_with_a_hostile_value_gets_a_typed_answer(fleet, value):
    async def scenario():
        body = b'{"model":"dosage-8b","prompt":"p","max_tokens":%s,"more":%s}'
        for document in (body % (value.encode("latin-1"), b"1"), body % (b"1", value.encode("latin-1"))):
            code, answer = await fleet.send(b"POST /v1/completions HTTP/1.1\r\n", document)
            assert code in EXPECTED_CODES, (document[:200], answer[:300])

    fleet.run(scenario())


@pytest.mark.parametrize("path", ["/config/apply", "/config/%ff/x", "/config/zone/%ff", "/status"])
@pytest.mark.parametrize("body", [DEEP.encode(), b"\xff", b'{"apply_id":"a","operator":"o","key":"nothing/x"}'])
def test_operators_get_a_typed_answer_to_hostile_requests(fleet, path, body):
    async def scenario():
        router = fleet.deployment.routers[0]
        host, _, port = router.operators_address.rpartition(":")
        for token in (router.settings.operator_token.encode(), b"\xff\xfe"):
            reader, writer = await asyncio.open_connection(host, int(port))
            method = b"POST" if "apply" in path else b"GET"
            writer.write(
                method + b" " + path.encode() + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                b"Authorization: Bearer " + token + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            code = (await reader.read()).split(b" ", 2)[1]
            writer.close()
            assert code in {b"200", b"400", b"401", b"404", b"422"}

    fleet.run(scenario())


def test_answers_repeat_what_is_no_utf_8_as_replaced():
    """Encoding the answer raised UnicodeEncodeError, in the last answers of a stop too."""
    body = error_body(OutcomeUnknownError("no priority named \udcff"), "\udcff")
    assert json.loads(body)["message"] == "no priority named ?"

    class Request:
        headers = {"X-Request-Id": "\udcff\r\nX-Other: a"}

    last = StandaloneLastAnswers().for_interrupted_request(Request())
    assert b"X-Other" not in last
    assert b"\r\nX-Request-Id: \r\n" in last
