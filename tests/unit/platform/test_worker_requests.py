"""What the head of a worker's answer states about the worker itself."""

from __future__ import annotations

import math

import pytest
from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from wallwell.platform.worker_requests import answer_head, attempt_failure
from wallwell.routing.health.backend_notice import MAX_BACKOFF_S, NO_NOTICE, BackendNotice

LEAVING = {"Server-Leaving": "1"}
NOT_RUN = {"X-Not-Run": "1"}
SEALED = {"X-Response-Seal": "s"}


def message(status, **headers):
    named = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
    return RawResponseMessage(HttpVersion11, status, "", CIMultiDictProxy(named), (), False, None, False, False)


def notice_of(status, headers):
    return answer_head(message(status, **headers)).notice


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
        (503, {"Retry-After": "3000000"}, BackendNotice(backoff_s=MAX_BACKOFF_S)),
    ],
)
def test_an_answer_states_whether_its_worker_leaves_and_wants_nothing(status, headers, expected):
    assert notice_of(status, headers) == expected


@given(st.text(max_size=30))
def test_any_text_in_retry_after_gives_a_bounded_time(text):
    backoff_s = notice_of(503, {"Retry-After": text}).backoff_s
    assert math.isfinite(backoff_s)
    assert 0 <= backoff_s <= MAX_BACKOFF_S


@pytest.mark.parametrize(
    ("status", "headers", "detail"),
    [
        (421, {}, "421"),
        (503, NOT_RUN, "503 retry after soon"),
        (503, {}, "503 retry after soon without proof"),
    ],
)
def test_a_refusal_carries_what_its_worker_states_and_logs_it_as_it_came(status, headers, detail):
    answer = message(status, **{**headers, **LEAVING, "Retry-After": "soon"})
    failure = attempt_failure(answer, answer_head(answer))
    assert failure.notice == BackendNotice(leaving=True)
    assert failure.detail == detail


def test_an_answer_that_is_not_the_workers_states_nothing_about_it():
    unsealed = message(200, **LEAVING)
    assert attempt_failure(unsealed, answer_head(unsealed)).notice == NO_NOTICE
    sealed = message(200, **LEAVING, **SEALED)
    assert attempt_failure(sealed, answer_head(sealed)) is None
