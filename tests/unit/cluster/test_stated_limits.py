"""What a node takes from its own answers and from others' reports on limits that back ends state."""

import random

import msgspec
import pytest
from loguru import logger

from wallwell.cluster.fleet_load import FleetLoad
from wallwell.cluster.load_messages import OthersLoad
from wallwell.cluster.load_reports import Load, LoadReports, sum_loads
from wallwell.cluster.stated_limits import LOG_INTERVAL_S, REPORTED_FOR_S, ReportedLimit
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.admission.fleet_limits import FleetLimits
from wallwell.routing.health.request_limit import NO_LIMIT_PER_S, LimitStatement, read_limit

BACKEND = "i-0"
BORN, BORN_AGAIN = 1_000, 2_000


def record(started=BORN):
    return BackendRecord(BACKEND, "svc", "10.0.0.1:1", "z0", 8, started_unix_ms=started)


def node(started=BORN):
    load = FleetLoad(limits=FleetLimits(random.Random(1)))
    load.backends.upsert(record(started))
    load.forget(1)
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
    assert read_limit(texts) == per_s


@pytest.mark.parametrize(
    ("answers", "in_force"),
    [
        ([(3.0, 9.0, 10.0)], 3.0),
        ([(3.0, 9.0, 10.0), (NO_LIMIT_PER_S, 9.5, 10.1)], 3.0),  # Sent before the limit was read.
        ([(3.0, 9.0, 10.0), (NO_LIMIT_PER_S, 10.1, 10.2)], NO_LIMIT_PER_S),
        ([(3.0, 9.0, 10.0), (1.0, 8.0, 10.1)], 1.0),  # A lower one holds at once.
        ([(3.0, 9.0, 10.0), (5.0, 9.5, 10.1)], 3.0),
        ([(3.0, 9.0, 10.0), (5.0, 10.05, 10.1)], 5.0),
        ([(NO_LIMIT_PER_S, 9.0, 10.0)], NO_LIMIT_PER_S),
        ([(3.0, float("-inf"), 10.0)], 3.0),  # The answer to a report or an order.
    ],
)
def test_answers_that_overtake_each_other(answers, in_force):
    load = node()
    for per_s, sent_s, read_s in answers:
        answer(load, per_s, read_s, sent_s)
    assert limit_of(load) == in_force


@pytest.mark.parametrize(
    ("own", "reported", "in_force"),
    [
        (None, ReportedLimit(2.0, 300, BORN), 2.0),
        (None, ReportedLimit(2.0, 300), 2.0),
        (None, ReportedLimit(None, 300, BORN), NO_LIMIT_PER_S),
        (None, ReportedLimit(2.0, 300, BORN - 1), NO_LIMIT_PER_S),
        (None, ReportedLimit(2.0, 300, BORN_AGAIN), NO_LIMIT_PER_S),
        (3.0, ReportedLimit(2.0, 300, BORN), 3.0),  # Older than the node's own word.
        (3.0, ReportedLimit(2.0, 50, BORN), 2.0),
        (3.0, ReportedLimit(None, 50, BORN), NO_LIMIT_PER_S),
    ],
)
def test_the_newest_word_on_the_same_start_holds(own, reported, in_force):
    load = node()
    if own is not None:
        answer(load, own, 9.9)
    load.stated_limits.on_reported({BACKEND: reported}, 10.0)
    assert limit_of(load) == in_force


def test_a_later_start_under_the_same_identity_has_no_limit():
    load = node()
    answer(load, 2.0, 10.0)
    load.backends.upsert(record(BORN_AGAIN))
    assert limit_of(load) == NO_LIMIT_PER_S
    assert load.own(10.1).stated_limits is msgspec.UNSET
    assert load.stated_limits.take(load.backends.get(BACKEND), 10.1) is None


def test_only_what_a_node_read_itself_is_reported_and_not_for_ever():
    load = node()
    load.stated_limits.on_reported({BACKEND: ReportedLimit(2.0, 0, BORN)}, 10.0)
    assert load.own(10.0).stated_limits is msgspec.UNSET
    answer(load, 2.0, 10.5)
    assert load.own(11.0).stated_limits == {BACKEND: ReportedLimit(2.0, 500, BORN)}
    answer(load, NO_LIMIT_PER_S, 12.0)
    assert load.own(12.5).stated_limits == {BACKEND: ReportedLimit(None, 500, BORN)}
    assert load.own(12.0 + REPORTED_FOR_S).stated_limits is msgspec.UNSET


def test_reports_grow_older_while_they_are_kept_and_the_newest_is_passed_on():
    reports = LoadReports()
    reports.take("a", Load(stated_limits={BACKEND: ReportedLimit(3.0, 100, BORN)}), 10.0)
    reports.take("b", Load(stated_limits={BACKEND: ReportedLimit(2.0, 300, BORN)}), 10.4)
    passed_on = sum_loads(reports.recent(10.5))
    assert passed_on.stated_limits == {BACKEND: ReportedLimit(2.0, 400, BORN)}


def test_nothing_is_added_to_messages_while_nobody_states_a_limit():
    quiet = OthersLoad(sum_loads([node().own(1.0), node().own(1.0)]))
    assert b"stated" not in msgspec.json.encode(quiet)


def test_a_node_of_an_older_version_passes_over_what_it_does_not_know():
    class OlderLoad(msgspec.Struct, frozen=True):
        requests: dict[str, int] = {}
        nodes: int = 0

    load = node()
    answer(load, 2.0, 10.0)
    message = msgspec.json.encode(load.own(10.0))
    assert msgspec.json.decode(message, type=OlderLoad).nodes == 1
    assert msgspec.json.decode(b'{"nodes":1}', type=Load).stated_limits is msgspec.UNSET


def test_a_request_that_never_left_is_given_back():
    load = node()
    answer(load, 2.0, 10.0)
    backend = load.backends.get(BACKEND)
    level_before = load.limits.levels(10.0)
    assert load.stated_limits.take(backend, 10.0) is None
    load.stated_limits.give_back(backend)
    assert load.limits.levels(10.0) == level_before


def test_what_was_sent_in_the_second_before_counts():
    load = node()
    for at_s in (8.0, 9.2, 9.6, 9.8):
        load.stated_limits.on_sent(BACKEND, at_s)
    answer(load, 2.0, 10.0)
    (level,) = load.limits.levels(10.0).values()
    assert level == 1_000 - 3_000  # Half a second of the rate, less three requests.


def test_a_limit_that_changes_with_each_answer_is_logged_once_a_second():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]["limit_per_s"]), level="INFO")
    load = node()
    for number in range(20):
        answer(load, 3.0 - number / 10, 10.0 + number * LOG_INTERVAL_S / 10)
    answer(load, NO_LIMIT_PER_S, 12.0)
    logger.remove(sink)
    assert lines == [3.0, 2.0, None]


def test_behind_a_relay_of_an_older_version_nothing_is_saved_up():
    """It reports no level of a back end's limit, which must not be taken for a full one."""
    load = node()
    answer(load, 2.0, 10.0)
    load.limits.on_levels_report({}, 10.1)
    (level,) = load.limits.levels(10.1).values()
    assert level == 0
