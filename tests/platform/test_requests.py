"""Requests through a node with an emulated platform: what is forwarded, returned and refused."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from tests.platform.conftest import config, route
from tests.platform.fakes import SEAL
from tests.unit.serving.fakes import event
from wallwell.clock import boot_time_s

PARTS = "aa:100,bb:50"


def generation_route(**more):
    return route(kind="stream", attempts=more.pop("attempts", 1), sticky=True, **more)


def test_request_and_answer_are_forwarded_unchanged(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.answer(body=b"whole", X_Extra="kept")
        answer = await harness.call("/a%20b//c?x=1&y=%2F", body=b"\x00\xffbytes", X_Custom="mine")
        seen = [(request, worker) for worker in harness.workers for request in worker.requests]
        return answer, seen, [body for worker in harness.workers for body in worker.bodies]

    (status, headers, body), ((request, worker),), bodies = on_platform(scenario)
    assert (status, body, headers["X-Extra"], headers[SEAL]) == (
        200,
        b"whole",
        "kept",
        f"seal-{worker.incarnation}",
    )
    assert (request.raw_path, request.method, bodies) == ("/a%20b//c?x=1&y=%2F", "POST", [b"\x00\xffbytes"])
    assert request.headers["X-Request-Id"] == "req-1"
    assert request.headers["Host"] == "h.example"
    assert request.headers["X-Custom"] == "mine"
    assert request.headers["X-Tenant"] == "t1"
    assert request.headers["X-Expect-Instance"] == worker.incarnation
    assert 0 < int(request.headers["X-Deadline-Ms"]) <= 3000
    assert "X-Credential" not in request.headers


FORGED = [
    "X-Tenant",
    "X-Cache-Salt",
    "X-Kv-Fetch",
    "X-Kv-Save",
    "X-Expect-Version",
    "X-Pin-Ms",
    "X-Hold",
    "Kv-From",
]


@pytest.mark.parametrize("name", FORGED)
def test_caller_cannot_set_headers_of_the_router(on_platform, name):
    async def scenario(harness):
        await harness.call(**{name.replace("-", "_"): "forged"})
        return [request.headers.getall(name, []) for worker in harness.workers for request in worker.requests]

    (values,) = on_platform(scenario)
    assert "forged" not in values


def test_hop_by_hop_headers_are_dropped_except_those_needed_for_routing(on_platform):
    async def scenario(harness):
        await harness.call(Connection="X-Hop, X-Model", X_Hop="1", X_Model="m", X_Prefix_Hash=PARTS)
        return [request.headers for worker in harness.workers for request in worker.requests]

    (headers,) = on_platform(scenario)
    assert "X-Hop" not in headers
    assert (headers["X-Model"], headers["X-Prefix-Hash"]) == ("m", PARTS)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"X_Credential": "wrong"}, 401),
        ({"X_Credential": ""}, 401),
        ({"Host": "other.example"}, 404),
        ({"X_Request_Id": ""}, 400),
        ({"body": b"x" * 300}, 413),
    ],
)
def test_refused_request_reaches_no_worker(on_platform, changes, status):
    async def scenario(harness):
        answer = await harness.call(**changes)
        return answer, sum(len(worker.requests) for worker in harness.workers)

    limits = {"max_body_bytes": 200}
    (got, headers, _), reached = on_platform(scenario, config(limits=limits))
    assert (got, reached) == (status, 0)
    assert SEAL not in headers


MALFORMED = [
    b"GARBAGE\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    b"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET / HTTP/1.1\r\nHost: h.example\r\nBad Header: x\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h.example\r\nX-Long: " + b"x" * 70_000 + b"\r\n\r\n",
]


@pytest.mark.parametrize("data", MALFORMED, ids=range(len(MALFORMED)))
def test_malformed_requests_reach_no_worker(on_platform, data):
    async def scenario(harness):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(data)
        writer.write_eof()
        try:
            answer = await reader.read()
        except ConnectionError:
            answer = b""
        writer.close()
        return answer, sum(len(worker.requests) for worker in harness.workers)

    answer, reached = on_platform(scenario)
    assert reached == 0
    assert not answer or answer.startswith(b"HTTP/1.1 4")


def misdirected(worker):
    return worker.answer(421, b"", X_Instance_Id="i-other")


def shed(worker):
    return worker.answer(503, b"", X_Not_Run="1")


def stalled_shed(worker):
    """A refusal whose head arrives and whose body never does."""

    async def respond(request):
        headers = worker.headers(request, **{"X-Not-Run": "1", "Content-Length": "5"})
        response = web.StreamResponse(status=503, headers=headers)
        await response.prepare(request)
        await worker.hang(request)

    return respond


@pytest.mark.parametrize(
    ("kind", "first", "status", "arrivals"),
    [
        ("unsafe", shed, 200, 2),
        ("unsafe", stalled_shed, 200, 2),
        ("unsafe", misdirected, 200, 2),
        ("unsafe", lambda worker: worker.answer(500, b"bad"), 500, 1),
        ("safe", lambda worker: worker.answer(500, b"bad"), 200, 2),
        ("unsafe", lambda worker: worker.answer(503, b"no proof"), 504, 1),
        ("unsafe", lambda worker: worker.answer(429, b"no proof"), 504, 1),
        ("unsafe", lambda worker: worker.answer(200, b"x", Content_Encoding="gzip"), 504, 1),
        ("unsafe", lambda worker: worker.answer(404, b"own"), 404, 1),
    ],
)
def test_handling_of_each_kind_of_worker_answer(on_platform, kind, first, status, arrivals):
    """The first attempt gets the listed answer, a second attempt gets a success."""

    async def scenario(harness):
        for worker in harness.workers:
            first_answer, later_answer = first(worker), worker.answer_ok

            async def respond(request, first_answer=first_answer, later_answer=later_answer):
                asked = sum(len(each.requests) for each in harness.workers)
                return await (first_answer if asked == 1 else later_answer)(request)

            worker.respond = respond
        answer = await harness.call()
        return answer[0], sum(len(worker.requests) for worker in harness.workers)

    assert on_platform(scenario, config(routes=[route(kind=kind)])) == (status, arrivals)


def test_success_without_seal_is_not_forwarded(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.headers = lambda request, **more: {"X-Request-Id": request.headers["X-Request-Id"], **more}
        return await harness.call()

    status, _, body = on_platform(scenario, config(routes=[route(kind="unsafe")]))
    assert (status, b"ok" in body) == (504, False)


def test_refusal_states_retry_after(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = shed(worker)
        return await harness.call()

    status, headers, _ = on_platform(scenario, config(routes=[route(kind="unsafe")]))
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 1


# --- streams -------------------------------------------------------------------------------------------

STREAM_HEADERS = {"X_Model": "m", "X_Prefix_Hash": PARTS, "X_Token_Usage": "150,10"}


def test_broken_stream_is_continued_at_another_worker_in_one_answer(on_platform):
    async def scenario(harness):
        async def respond(request, worker):
            asked = sum(len(each.requests) for each in harness.workers)
            first = worker.stream(event(1), event(2), b"id: 3\nhalf", break_off=True)
            return await (first if asked == 1 else worker.stream(event(3), event(4)))(request)

        for worker in harness.workers:
            worker.respond = lambda request, worker=worker: respond(request, worker)
        answer = await harness.call(**STREAM_HEADERS)
        resumed = [
            request.headers.get("Last-Event-Id") for worker in harness.workers for request in worker.requests
        ]
        return answer, sorted(resumed, key=str)

    (status, headers, body), resumed = on_platform(
        scenario, config(routes=[generation_route(attempts=2, can_resume=True)])
    )
    assert (status, body) == (200, b"".join(event(number) for number in (1, 2, 3, 4)))
    assert resumed == ["2", None]
    assert headers.getall(SEAL) == [headers[SEAL]]


def test_broken_stream_does_not_look_complete(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1), break_off=True)
        with pytest.raises(aiohttp.ClientError):
            await harness.call(**STREAM_HEADERS)

    on_platform(scenario, config(routes=[generation_route()]))


def test_caller_that_disconnects_cancels_the_workers_request(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.hang
        asking = asyncio.create_task(harness.call(**STREAM_HEADERS))
        await harness.until(lambda: any(worker.requests for worker in harness.workers))
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await harness.until(lambda: any(worker.cancelled.is_set() for worker in harness.workers))

    on_platform(scenario, config(routes=[generation_route()]))


def test_generation_carries_weights_version_cache_scope_and_priority(on_platform):
    async def scenario(harness):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))
        await harness.call(**STREAM_HEADERS)
        return next(request.headers for worker in harness.workers for request in worker.requests)

    store = {"name": "kept", "kv_store_addr": "10.9.9.9:80", "zone": "z1", "kv_capacity": 1}
    tenants = [{"name": "t1", "api_keys": ["k1"], "isolated": True, "priority": 3}]
    headers = on_platform(scenario, config(routes=[generation_route()], services=[store], tenants=tenants))
    assert (headers["X-Expect-Version"], headers["X-Cache-Salt"]) == ("1", "m:1:t1")
    assert headers["X-Request-Priority"] == "3"
    assert headers["X-Kv-Fetch"] == headers["X-Kv-Save"] == "10.9.9.9:80"


def limited(**more):
    tenant = {"name": "t1", "api_keys": ["k1"], "rate_per_s": 10, "burst": 10, "unit": "tokens", **more}
    return config(tenants=[tenant])


@pytest.mark.parametrize(
    ("usage", "status"),
    [("1460,80", 429), (" 1 , 2 ", 200), ("1460", 200), ("", 200), ("a,b", 200), ("-5,80", 200), ("1e9,1", 200)],
)
def test_tenant_limit_counts_the_declared_tokens(on_platform, usage, status):
    """A request with an invalid header value counts as one that declares no tokens."""

    async def scenario(harness):
        await harness.until(lambda: harness.node.state.load.limits.levels(boot_time_s()).get("t1", 10) >= 9)
        first = await harness.call(X_Token_Usage=usage)
        second = await harness.call(X_Token_Usage=usage)
        return first, second

    (first, _, _), (second, headers, _) = on_platform(scenario, configuration=limited())
    assert (first, second) == (200, status)
    assert ("Retry-After" in headers) == (status == 429)
