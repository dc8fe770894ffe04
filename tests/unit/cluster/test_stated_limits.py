"""How a node handles limits that back ends state, from its own answers and from reports of other nodes."""

import random

import msgspec
import pytest
from loguru import logger

from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import OthersLoad
from wallwell.cluster.load_reports import Load, LoadReports, sum_loads
from wallwell.cluster.stated_limits import CHANGE_LOG_INTERVAL_S, REPORT_RETENTION_S, ReportedLimit
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, parse_limit_headers

BACKEND = "i-0"
STARTED_MS, RESTARTED_MS = 1_000, 2_000


def record(started=STARTED_MS):
    return BackendRecord(BACKEND, "svc", "10.0.0.1:1", "z0", 8, started_unix_ms=started)


def node(started=STARTED_MS):
    load = FleetLoad(limits=FleetLimits(random.Random(1)))
    load.backends.upsert(record(started))
    load.forget_peers(1)
    return load


def answer(load, per_s, now_s, sent_s=None):
    backend = load.backends.get(BACKEND)
    statement = LimitStatement(per_s, now_s - 0.05 if sent_s is None else sent_s)
    load.stated_limits.on_answer(backend, statement, now_s)


def limit_of(load):
    limit = load.backends.get(BACKEND).request_limit
    return NO_LIMIT_PER_S if limit is None else limit.per_s


@pytest.mark.parametrize(
    ("texts", "per_s"),
    [
        ((), NO_LIMIT_PER_S),
        (("3",), 3.0),
        (("3.1",), 3.1),
        ((" 3.1 ",), 3.1),
        (("0",), 0.0),
        (("0.05",), 0.05),
        (("1e308",), 1e308),
        (("4", "2"), 2.0),
        (("-1",), None),
        (("nan",), None),
        (("inf",), None),
        (("",), None),
        (("4", "x"), None),
    ],
)
def test_a_limit_is_a_decimal_number_that_is_not_negative(texts, per_s):
    assert parse_limit_headers(texts) == per_s


@pytest.mark.parametrize(
    ("answers", "limit_in_force"),
    [
        ([(3.0, 9.0, 10.0)], 3.0),
        ([(3.0, 9.0, 10.0), (NO_LIMIT_PER_S, 9.5, 10.1)], 3.0),  # The request was sent before the limit was read.
        ([(3.0, 9.0, 10.0), (NO_LIMIT_PER_S, 10.1, 10.2)], NO_LIMIT_PER_S),
        ([(3.0, 9.0, 10.0), (1.0, 8.0, 10.1)], 1.0),  # A lower limit is in force at once.
        ([(3.0, 9.0, 10.0), (5.0, 9.5, 10.1)], 3.0),
        ([(3.0, 9.0, 10.0), (5.0, 10.05, 10.1)], 5.0),
        ([(NO_LIMIT_PER_S, 9.0, 10.0)], NO_LIMIT_PER_S),
        ([(3.0, float("-inf"), 10.0)], 3.0),  # The answer to a call that is no request.
    ],
)
def test_answers_that_arrive_out_of_order(answers, limit_in_force):
    load = node()
    for per_s, sent_s, read_s in answers:
        answer(load, per_s, read_s, sent_s)
    assert limit_of(load) == limit_in_force


@pytest.mark.parametrize(
    ("own", "reported", "limit_in_force"),
    [
        (None, ReportedLimit(2.0, 300, STARTED_MS), 2.0),
        (None, ReportedLimit(2.0, 300), 2.0),
        (None, ReportedLimit(None, 300, STARTED_MS), NO_LIMIT_PER_S),
        (None, ReportedLimit(2.0, 300, STARTED_MS - 1), NO_LIMIT_PER_S),
        (None, ReportedLimit(2.0, 300, RESTARTED_MS), NO_LIMIT_PER_S),
        (3.0, ReportedLimit(2.0, 300, STARTED_MS), 3.0),  # Older than the statement that the node read.
        (3.0, ReportedLimit(2.0, 50, STARTED_MS), 2.0),
        (3.0, ReportedLimit(None, 50, STARTED_MS), NO_LIMIT_PER_S),
    ],
)
def test_the_newest_statement_on_the_same_start_is_in_force(own, reported, limit_in_force):
    load = node()
    if own is not None:
        answer(load, own, 9.9)
    load.stated_limits.on_peer_report({BACKEND: reported}, 10.0)
    assert limit_of(load) == limit_in_force


def test_a_later_start_under_the_same_identity_has_no_limit():
    load = node()
    answer(load, 2.0, 10.0)
    load.backends.upsert(record(RESTARTED_MS))
    assert limit_of(load) == NO_LIMIT_PER_S
    assert load.own_load(10.1).stated_limits is msgspec.UNSET
    assert load.stated_limits.admit(load.backends.get(BACKEND), 10.1) is None


def test_a_node_reports_only_what_it_read_itself_and_for_a_limited_time():
    load = node()
    load.stated_limits.on_peer_report({BACKEND: ReportedLimit(2.0, 0, STARTED_MS)}, 10.0)
    assert load.own_load(10.0).stated_limits is msgspec.UNSET
    answer(load, 2.0, 10.5)
    assert load.own_load(11.0).stated_limits == {BACKEND: ReportedLimit(2.0, 500, STARTED_MS)}
    answer(load, NO_LIMIT_PER_S, 12.0)
    assert load.own_load(12.5).stated_limits == {BACKEND: ReportedLimit(None, 500, STARTED_MS)}
    assert load.own_load(12.0 + REPORT_RETENTION_S).stated_limits is msgspec.UNSET


def test_stored_reports_age_and_the_newest_is_forwarded():
    reports = LoadReports()
    reports.record("a", Load(stated_limits={BACKEND: ReportedLimit(3.0, 100, STARTED_MS)}), 10.0)
    reports.record("b", Load(stated_limits={BACKEND: ReportedLimit(2.0, 300, STARTED_MS)}), 10.4)
    forwarded = sum_loads(reports.recent(10.5))
    assert forwarded.stated_limits == {BACKEND: ReportedLimit(2.0, 400, STARTED_MS)}


def test_nothing_is_added_to_messages_while_nobody_states_a_limit():
    quiet = OthersLoad(sum_loads([node().own_load(1.0), node().own_load(1.0)]))
    assert b"stated" not in msgspec.json.encode(quiet)


def test_a_node_of_an_older_version_ignores_unknown_fields():
    class OlderLoad(msgspec.Struct, frozen=True):
        requests: dict[str, int] = {}
        nodes: int = 0

    load = node()
    answer(load, 2.0, 10.0)
    message = msgspec.json.encode(load.own_load(10.0))
    assert msgspec.json.decode(message, type=OlderLoad).nodes == 1
    assert msgspec.json.decode(b'{"nodes":1}', type=Load).stated_limits is msgspec.UNSET


def test_a_request_that_was_not_sent_is_refunded():
    load = node()
    answer(load, 2.0, 10.0)
    backend = load.backends.get(BACKEND)
    level_before = load.limits.levels(10.0)
    assert load.stated_limits.admit(backend, 10.0) is None
    load.stated_limits.refund(backend)
    assert load.limits.levels(10.0) == level_before


def test_requests_sent_in_the_second_before_the_statement_count():
    load = node()
    for at_s in (8.0, 9.2, 9.6, 9.8):
        load.stated_limits.on_sent(BACKEND, at_s)
    answer(load, 2.0, 10.0)
    (level,) = load.limits.levels(10.0).values()
    assert level == 1_000 - 3_000  # Half a second of the rate, minus three requests.


def test_a_limit_that_changes_with_each_answer_is_logged_once_a_second():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]["limit_per_s"]), level="INFO")
    load = node()
    for number in range(20):
        answer(load, 3.0 - number / 10, 10.0 + number * CHANGE_LOG_INTERVAL_S / 10)
    answer(load, NO_LIMIT_PER_S, 12.0)
    logger.remove(sink)
    assert lines == [3.0, 2.0, None]


def test_behind_a_relay_of_an_older_version_no_unused_rate_is_saved():
    """Such a relay reports no level of a back end's limit; this must not be read as a full level."""
    load = node()
    answer(load, 2.0, 10.0)
    load.limits.on_levels_report({}, 10.1)
    (level,) = load.limits.levels(10.1).values()
    assert level == 0
