"""Parsing of the notice in the head of a worker's answer: leaving, back-off and request limit."""

from __future__ import annotations

import math

import pytest
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger
from multidict import CIMultiDict, CIMultiDictProxy

from wallwell.platform.worker_notices import parse_notice
from wallwell.platform.worker_requests import attempt_failure, parse_answer_head
from wallwell.routing.health.backend_notice import NO_NOTICE, BackendNotice
from wallwell.routing.health.backoff import MAX_BACKOFF_S
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement

LEAVING = {"Server-Leaving": "1"}
NOT_RUN = {"X-Not-Run": "1"}


def message(status, **headers):
    named = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
    return RawResponseMessage(HttpVersion11, status, "", CIMultiDictProxy(named), (), False, None, False, False)


def notice_of(status, headers):
    return parse_notice(message(status, **headers), "i-1")


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {}, NO_NOTICE),
        (200, LEAVING, BackendNotice(leaving=True)),
        (500, LEAVING, BackendNotice(leaving=True)),
        (421, LEAVING, BackendNotice(leaving=True)),
        (200, {"server-leaving": "1"}, BackendNotice(leaving=True)),
        (200, {"Server-Leaving": "0"}, NO_NOTICE),
        (503, {"Retry-After": "3"}, BackendNotice(backoff_s=3.0)),
        (503, {"Retry-After": "0.25"}, BackendNotice(backoff_s=0.25)),
        (429, {"Retry-After": "3"}, BackendNotice(backoff_s=3.0)),
        (503, {"Retry-After": "3", **LEAVING}, BackendNotice(leaving=True, backoff_s=3.0)),
        (200, {"Retry-After": "3"}, NO_NOTICE),
        (500, {"Retry-After": "3"}, NO_NOTICE),
        (503, {"Retry-After": "0"}, NO_NOTICE),
        (503, {"Retry-After": "-2"}, NO_NOTICE),
        (503, {"Retry-After": "nan"}, NO_NOTICE),
        (503, {"Retry-After": ""}, NO_NOTICE),
        (503, {"Retry-After": "Fri, 31 Dec 1999 23:59:59 GMT"}, NO_NOTICE),
        (503, {"Retry-After": "inf"}, BackendNotice(backoff_s=MAX_BACKOFF_S)),
        (503, {"Retry-After": "1e308"}, BackendNotice(backoff_s=MAX_BACKOFF_S)),
        (503, {"Retry-After": "9" * 5000}, BackendNotice(backoff_s=MAX_BACKOFF_S)),
        (503, {"Retry-After": "3600"}, BackendNotice(backoff_s=3600.0)),
        (503, {"Retry-After": "3599.5"}, BackendNotice(backoff_s=3599.5)),
        (200, {"X-Instance-Id": "i-1", **LEAVING}, BackendNotice(leaving=True)),
        (421, {"X-Instance-Id": "i-2", **LEAVING}, NO_NOTICE),
        (503, {"X-Instance-Id": "i-2", "Retry-After": "3"}, NO_NOTICE),
    ],
)
def test_notice_of_leaving_and_backoff(status, headers, expected):
    assert notice_of(status, headers) == expected


@given(st.text(max_size=60))
def test_backoff_is_never_negative_or_endless_for_any_retry_after(text):
    assert 0 <= notice_of(503, {"Retry-After": text}).backoff_s <= MAX_BACKOFF_S


def test_longest_of_several_backoffs_applies():
    headers = CIMultiDict([("Retry-After", "1"), ("Retry-After", "4"), ("Retry-After", "x")])
    refusal = RawResponseMessage(HttpVersion11, 503, "", CIMultiDictProxy(headers), (), False, None, False, False)
    assert parse_notice(refusal, "i-1").backoff_s == 4.0


def test_invalid_retry_after_is_logged_truncated():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="INFO")
    notice_of(503, {"Retry-After": "x" * 100})
    logger.remove(sink)
    assert [(each["event"], each["backend"], each["retry_after"]) for each in lines] == [(6019, "i-1", "x" * 40)]


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {"Server-Limit": "3.1"}, LimitStatement(3.1, 7.0)),
        (200, {"server-limit": "12"}, LimitStatement(12.0, 7.0)),
        (503, {"Server-Limit": "0.5", **NOT_RUN}, LimitStatement(0.5, 7.0)),
        (500, {"Server-Limit": "0"}, LimitStatement(0.0, 7.0)),
        (200, {}, LimitStatement(NO_LIMIT_PER_S, 7.0)),
        (200, {"Server-Limit": ""}, None),
        (200, {"Server-Limit": "-1"}, None),
        (200, {"Server-Limit": "nan"}, None),
        (200, {"Server-Limit": "inf"}, None),
        (200, {"Server-Limit": "few"}, None),
        (200, {"Server-Limit": "3", "X-Instance-Id": "i-2"}, None),
    ],
)
def test_answer_to_a_request_states_a_limit_or_its_absence(status, headers, expected):
    assert parse_notice(message(status, **headers), "i-1", 7.0).limit == expected


def test_answer_to_another_call_states_a_limit_but_not_its_absence():
    assert parse_notice(message(200, **{"Server-Limit": "3"}), "i-1").limit == LimitStatement(3.0)
    assert parse_notice(message(200), "i-1").limit is None


def test_lowest_of_several_limits_applies():
    headers = CIMultiDict([("Server-Limit", "4"), ("Server-Limit", "2.5")])
    answer = RawResponseMessage(HttpVersion11, 200, "", CIMultiDictProxy(headers), (), False, None, False, False)
    assert parse_notice(answer, "i-1").limit == LimitStatement(2.5)


@given(st.text(max_size=60))
def test_limit_is_finite_or_absent_for_any_header(text):
    limit = parse_notice(message(200, **{"Server-Limit": text}), "i-1").limit
    assert limit is None or 0 <= limit.per_s < math.inf


@pytest.mark.parametrize(
    ("headers", "detail"),
    [(NOT_RUN, "503 retry after 3"), ({}, "503 without proof")],
)
def test_failure_detail_of_a_refusal_contains_retry_after(headers, detail):
    answer = message(503, **{**headers, "Retry-After": "3"})
    assert attempt_failure(answer, parse_answer_head(answer)).detail == detail


def test_failure_detail_of_a_refusal_is_text_that_can_be_encoded():
    """Bytes that are not UTF-8 in Retry-After went into a message to another node, which could not be encoded."""
    answer = message(503, **{**NOT_RUN, "Retry-After": "\udcff" + "x" * 100})
    detail = attempt_failure(answer, parse_answer_head(answer)).detail
    assert detail == "503 retry after \\udcff" + "x" * 39
