"""Parsing of callers' requests: header values, forwarded headers, and invalid values that count as absent."""

from __future__ import annotations

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from wallwell.errors import MalformedRequestError
from wallwell.platform.request_parsing import expects_continue, parse_request
from wallwell.routing.selection.prefix_home import PromptPart


def parse(*headers):
    proxy = CIMultiDictProxy(CIMultiDict([("X-Request-Id", "r1"), *headers]))
    return parse_request("POST", "/a/b?c=%20d", proxy, b"body", 5.0)


def test_target_body_and_arrival_time_are_unchanged():
    request = parse(("Host", "H.Example:80"), ("X-Credential", "key"))
    assert (request.method, request.target, request.body, request.arrived_s) == (
        "POST",
        "/a/b?c=%20d",
        b"body",
        5.0,
    )
    assert (request.request_id, request.host, request.credential) == ("r1", "h.example", "key")


def test_request_without_id_is_refused():
    with pytest.raises(MalformedRequestError, match="X-Request-Id is required"):
        parse_request("GET", "/", CIMultiDictProxy(CIMultiDict()), b"", 0.0)


@pytest.mark.parametrize(
    ("text", "timeout_s"),
    [
        ("1500", 1.5),
        ("0.5", 0.0005),
        ("0", None),
        ("-3", None),
        ("", None),
        ("soon", None),
        ("inf", None),
        ("nan", None),
        ("+1", None),
        ("1_0", None),
        ("1e3", None),
        ("\u0661", None),
        ("86400000", 86400.0),
        ("86400001", None),
        ("1e300", None),
        ("9" * 5000, None),
    ],
)
def test_caller_timeout(text, timeout_s):
    assert parse(("X-Deadline-Ms", text)).caller_timeout_s == timeout_s


@pytest.mark.parametrize(
    ("text", "tokens"),
    [
        ("1460,80", 1540),
        (" 1 , 2 ", 3),
        ("1460", None),
        ("1,2,3", None),
        ("1,-2", None),
        ("a,b", None),
        ("", None),
        ("9999999,1", 10_000_000),
        ("9999999,2", 10_000_000),
        ("0" * 30 + "5,1", 6),
        ("\u00b2,1", None),
        ("\u0661,1", None),
        ("1," + "9" * 5000, 10_000_000),
    ],
)
def test_declared_tokens(text, tokens):
    """A count beyond any that can be meant is charged as the largest; as none, it would pass a tenant's limit."""
    assert parse(("X-Token-Usage", text)).declared_tokens == tokens


def test_generation_has_model_prompt_parts_and_resume_position():
    generation = parse(
        ("X-Model", "m"), ("X-Prefix-Hash", "5c:800, 91:410,x:many,"), ("Last-Event-Id", "12")
    ).generation
    assert generation is not None
    assert (generation.model, generation.resume_after) == ("m", 12)
    assert generation.parts == (PromptPart("5c", 800), PromptPart("91", 410), PromptPart("x", 0))


def test_a_resuming_request_names_the_request_that_began_the_stream():
    request = parse(("X-Model", "m"), ("Last-Event-Id", "12"), ("Resumes", "req-0"))
    assert (request.resumes_stream, request.first_request_id) == (True, "req-0")
    assert ("Resumes", "req-0") in request.headers


@pytest.mark.parametrize(
    ("parts", "tokens"),
    [
        ("a:9999999,b:1", [9_999_999, 1]),
        ("a:9999999,b:2", [0, 0]),
        ("a:\u00b2,b:1", [0, 1]),
        ("a:\u0661,b:1", [0, 1]),
        ("a:" + "9" * 5000 + ",b:1", [0, 1]),
        (":,:3,a:1:2", [0, 3, 0]),
    ],
)
def test_token_counts_that_no_prompt_can_have_are_zero(parts, tokens):
    """Counts by the thousand digits raised an error; smaller ones made an engine look full to all nodes."""
    generation = parse(("X-Model", "m"), ("X-Prefix-Hash", parts)).generation
    assert generation is not None
    assert [part.tokens for part in generation.parts] == tokens


def test_names_with_bytes_that_are_not_utf_8_are_escaped():
    """They were hashed, and sent to other nodes, as text that cannot be encoded."""
    generation = parse(("X-Model", "m\udcff"), ("X-Prefix-Hash", "\udcb2:5")).generation
    assert generation is not None
    assert (generation.model, generation.parts) == ("m\\xff", (PromptPart("\\xb2", 5),))


@pytest.mark.parametrize("resume", ["", "-1", "last", "\u00b2", "\u0661", "9" * 19, "9" * 5000, "1_0", "+1"])
def test_invalid_event_number_means_no_resumption(resume):
    generation = parse(("X-Model", "m"), ("Last-Event-Id", resume)).generation
    assert generation is not None
    assert generation.resume_after is None


def test_request_without_model_has_no_generation():
    assert parse(("X-Prefix-Hash", "5c:800")).generation is None


def test_hop_by_hop_and_reserved_headers_are_not_forwarded():
    request = parse(
        ("Accept", "a"),
        ("Connection", "keep-alive, X-Own, X-Model"),
        ("X-Own", "1"),
        ("Keep-Alive", "1"),
        ("X-Tenant", "t"),
        ("X-Cache-Salt", "s"),
        ("X-Hold", "h"),
        ("X-Model", "m"),
        ("Accept", "b"),
    )
    assert request.headers == (("Accept", "a"), ("X-Model", "m"), ("Accept", "b"))


@pytest.mark.parametrize(("text", "expected"), [("100-continue", True), ("100-Continue", True), ("", False)])
def test_expect_100_continue_is_recognized(text, expected):
    assert expects_continue(CIMultiDictProxy(CIMultiDict({"Expect": text}))) is expected
