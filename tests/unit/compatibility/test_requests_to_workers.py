"""Requests from callers to the platform's workers and back: headers, orders, reports, cache events."""

import pytest

from tests import wire_subjects

ASKED = (
    b"POST /v1/chat?x=1 HTTP/1.1\r\n"
    b"Host: Chat.Example:80\r\n"
    b"X-Request-Id: r1\r\n"
    b"X-Deadline-Ms: 2500\r\n"
    b"X-Credential: secret\r\n"
    b"X-Model: m\r\n"
    b"X-Prefix-Hash: aa:100, bb:20\r\n"
    b"X-Token-Usage: 120, 64\r\n"
    b"Last-Event-Id: 6\r\n"
    b"Content-Type: application/json\r\n"
    b"X-Tenant: forged\r\n"
    b"X-Expect-Instance: f\r\n"
    b"X-Expect-Version: 9\r\n"
    b"X-Weight-Versions: 9\r\n"
    b"X-Request-Priority: 0\r\n"
    b"X-Cache-Salt: f\r\n"
    b"X-Kv-Fetch: f\r\n"
    b"X-Kv-Save: f\r\n"
    b"X-Not-Run: 1\r\n"
    b"X-Response-Seal: f\r\n"
    b"X-Instance-Id: f\r\n"
    b"X-Pin-Ms: 1\r\n"
    b"X-Hold: 1\r\n"
    b"X-Kv-Backup: f\r\n"
    b"Kv-From: f\r\n"
    b"TE: trailers\r\n"
    b"Keep-Alive: 1\r\n"
    b"X-Hop: gone\r\n"
    b"Connection: close, X-Hop\r\n"
    b"X-Other: kept\r\n"
    b"Content-Length: 4\r\n"
    b"\r\n"
    b"body"
)
PLAIN = b"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n"
NAMELESS = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
ANSWERED = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: r1\r\n"
    b"X-Instance-Id: inc-1\r\n"
    b"X-Response-Seal: s1\r\n"
    b"X-Weight-Versions: 3\r\n"
    b"Content-Type: text/plain\r\n"
    b"X-Other: kept\r\n"
    b"Keep-Alive: timeout=5\r\n"
    b"Content-Length: 2\r\n"
    b"\r\n"
    b"ok"
)
EVERYTHING_SET = {
    "tenant": "acme",
    "remaining_s": 2.0,
    "rank": 3,
    "expected_version": 3,
    "resume_after": 6,
    "cache": {"scope": "m:3:acme", "fetch_from": "127.0.0.1:7", "save_to": "127.0.0.1:8"},
}
EVERYTHING_PASSED = {
    "understood": {
        "host": "chat.example",
        "target": "/v1/chat?x=1",
        "credential": "secret",
        "allowance_s": 2.5,
        "told_tokens": 184,
        "model": "m",
        "parts": [["aa", 100], ["bb", 20]],
        "resume_after": 6,
    },
    "to worker": [
        "POST /v1/chat?x=1 HTTP/1.1",
        "Host: Chat.Example:80",
        "X-Model: m",
        "X-Prefix-Hash: aa:100, bb:20",
        "X-Token-Usage: 120, 64",
        "Content-Type: application/json",
        "X-Other: kept",
        "X-Request-Id: r1",
        "X-Deadline-Ms: 2000",
        "X-Expect-Instance: inc-1",
        "X-Tenant: acme",
        "X-Request-Priority: 3",
        "X-Expect-Version: 3",
        "Last-Event-Id: 6",
        "X-Cache-Salt: m:3:acme",
        "X-Kv-Fetch: 127.0.0.1:7",
        "X-Kv-Save: 127.0.0.1:8",
        "Content-Length: 4",
        "",
        "body",
    ],
    "to caller": [
        "HTTP/1.1 200 OK",
        "x-request-id: r1",
        "x-response-seal: s1",
        "x-weight-versions: 3",
        "content-type: text/plain",
        "x-other: kept",
        "content-length: 2",
        "connection: close",
        "",
        "ok",
    ],
}
NOTHING_SET = {"tenant": "", "remaining_s": 0.0, "rank": 12}
NOTHING_PASSED = {
    "understood": {
        "host": "h",
        "target": "/",
        "credential": "",
        "allowance_s": None,
        "told_tokens": None,
        "model": None,
        "parts": [],
        "resume_after": None,
    },
    "to worker": [
        "GET / HTTP/1.1",
        "Host: h",
        "X-Request-Id: r1",
        "X-Deadline-Ms: 1",
        "X-Expect-Instance: inc-1",
        "",
        "",
    ],
    "to caller": [
        "HTTP/1.1 200 OK",
        "x-request-id: r1",
        "x-response-seal: s1",
        "x-weight-versions: 3",
        "content-type: text/plain",
        "x-other: kept",
        "content-length: 2",
        "connection: close",
        "",
        "ok",
    ],
}
REFUSALS = {
    ("WW3006", 1500): [
        "HTTP/1.1 429 Too Many Requests",
        "x-request-id: r1",
        "retry-after: 1.5",
        "content-type: application/json",
        "content-length: 64",
        "connection: close",
        "",
        '{"code":"WW3006","error":"RateLimitedError","outcome":"not_run"}',
    ],
    ("WW3011", 0): [
        "HTTP/1.1 504 Gateway Timeout",
        "x-request-id: r1",
        "content-type: application/json",
        "content-length: 67",
        "connection: close",
        "",
        '{"code":"WW3011","error":"OutcomeUnknownError","outcome":"unknown"}',
    ],
    ("WW3012", 500): [
        "HTTP/1.1 502 Bad Gateway",
        "x-request-id: r1",
        "retry-after: 0.5",
        "content-type: application/json",
        "content-length: 64",
        "connection: close",
        "",
        '{"code":"WW3012","error":"StreamBrokenError","outcome":"failed"}',
    ],
}
NAMELESS_REFUSED = [
    "HTTP/1.1 400 Bad Request",
    "x-request-id: ",
    "content-type: application/json",
    "content-length: 69",
    "connection: close",
    "",
    '{"code":"WW3001","error":"MalformedRequestError","outcome":"not_run"}',
]
FAILURES = {
    "another instance": (
        b"HTTP/1.1 421 M\r\nX-Request-Id: r1\r\nX-Weight-Versions: 4\r\nContent-Length: 0\r\n\r\n",
        ("precondition_refused", "421", 4),
    ),
    "not run": (
        b"HTTP/1.1 503 S\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        ("backend_overloaded", "503", 0),
    ),
    "refused without proof": (
        b"HTTP/1.1 503 S\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        ("cancel_unacknowledged", "503 without proof", 0),
    ),
    "encoded": (
        (
            b"HTTP/1.1 200 S\r\n"
            b"X-Request-Id: r1\r\n"
            b"X-Response-Seal: s\r\n"
            b"Content-Encoding: gzip\r\n"
            b"Content-Length: 0\r\n"
            b"\r\n"
        ),
        ("foreign_answer", "encoded body", 0),
    ),
    "no seal": (
        b"HTTP/1.1 200 S\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
        ("foreign_answer", "no seal", 0),
    ),
    "error of its own": (b"HTTP/1.1 404 S\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", None),
}
REPORT = b'{"models":[{"name":"m","version":2}],"busy":true,"seq":5}'
CONTROL = {
    "sent": [
        ("GET /api/report HTTP/1.1\r\nHost: 127.0.0.1:5\r\nContent-Length: 0\r\nX-Expect-Instance: inc-1\r\n\r\n"),
        (
            "POST /api/order HTTP/1.1\r\n"
            "Host: 127.0.0.1:5\r\n"
            "Content-Length: 95\r\n"
            "X-Expect-Instance: inc-1\r\n"
            "Content-Type: application/json\r\n"
            "\r\n"
            '{"op":"version","model":"m","version":3,"mode":"retain","holder":"n1","fence":8,'
            '"expect_rev":2}'
        ),
    ],
    "report": [{"m": 2}, True, 5],
    "reply": "in_place",
}
ORDER_REPLIES = {
    200: "in_place",
    202: "accepted",
    400: "refused",
    409: "busy",
    412: "fenced",
    421: "refused",
    500: "unknown",
}
CACHE_EVENTS = b'{"epoch":4,"next_token":19,"lost":false,"events":[[18,"+","m:3","aa",100,"m"]]}'
CACHE_LISTING = b'{"epoch":4,"next_token":19,"held":[["m:3","aa",100,"m"]]}'
CACHE_CALLS = {
    "sent": [
        ("GET /api/kv-events?since=17 HTTP/1.1\r\nHost: 127.0.0.1:6\r\nWait-Ms: 500\r\nContent-Length: 0\r\n\r\n"),
        "GET /api/kv-list HTTP/1.1\r\nHost: 127.0.0.1:6\r\nContent-Length: 0\r\n\r\n",
    ],
    "pages": [
        '{"position":[4,19],"entries":[[18,"m:3","aa",100]],"whole":false}',
        '{"position":[4,19],"entries":[[19,"m:3","aa",100]],"whole":true}',
    ],
}


def test_a_request_with_everything_set_passes_as_before():
    assert wire_subjects.pass_through(ASKED, ANSWERED, EVERYTHING_SET) == EVERYTHING_PASSED


def test_a_request_with_nothing_set_passes_as_before():
    assert wire_subjects.pass_through(PLAIN, ANSWERED, NOTHING_SET) == NOTHING_PASSED


@pytest.mark.parametrize("refusal", REFUSALS, ids=str)
def test_callers_are_refused_as_before(refusal):
    assert wire_subjects.pass_through(PLAIN, ANSWERED, {}, refusal)["to caller"] == REFUSALS[refusal]


def test_a_request_without_an_id_is_refused_as_before():
    assert wire_subjects.pass_through(NAMELESS, ANSWERED, {})["to caller"] == NAMELESS_REFUSED


@pytest.mark.parametrize("case", FAILURES)
def test_answers_of_workers_are_understood_as_before(case):
    answered, failure = FAILURES[case]
    assert wire_subjects.worker_failure(answered) == failure


def test_reports_and_orders_are_as_before():
    assert wire_subjects.worker_control(REPORT) == CONTROL
    assert wire_subjects.order_replies(list(ORDER_REPLIES)) == ORDER_REPLIES


def test_cache_events_and_listings_are_as_before():
    assert wire_subjects.cache_calls(CACHE_EVENTS, CACHE_LISTING) == CACHE_CALLS


def test_readiness_and_figures_are_answered_as_before():
    assert wire_subjects.plain_server("ready", "/x")[0] == "HTTP/1.1 200 OK"
    assert wire_subjects.plain_server("ready", "/x", ready=False)[0] == "HTTP/1.1 503 Service Unavailable"
    figures = wire_subjects.plain_server("figures", "/figures")
    assert (figures[0], figures[1], figures[-1]) == (
        "HTTP/1.1 200 OK",
        "Content-Type: text/plain; charset=utf-8",
        "figures\n",
    )
    assert wire_subjects.plain_server("figures", "/x")[0] == "HTTP/1.1 404 Not Found"
