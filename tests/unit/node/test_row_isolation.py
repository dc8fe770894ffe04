"""One row whose application raises costs that row alone: in every table and every order within a page.

An unexpected error of one row left the loop over its page. The follower went on behind the page, so that its other
rows were never applied: a back end that came was not used, one that left stayed in use, a starting node had none.
"""

import asyncio
import itertools
import random

import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from tests.faulty_table import FaultyTable
from tests.hostile_values import HOSTILE_KEYS, all_hostile_values, sound_document
from tests.unit.serving.fakes import make_state
from wallwell.cluster import stream_records
from wallwell.cluster.stream_records import StreamRecords, StreamsRow, VersionView
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.cluster.version_rows import UNREADABLE_VERSION, VersionsRow
from wallwell.deployment.freshness import StoreClock
from wallwell.http_connection import ConnectionPool
from wallwell.node.backend_rows import RESTORED_ENTRY_HOLD_S, BackendRows
from wallwell.node.crash_probe import CrashProbe
from wallwell.node.crash_rows import PartCrashRow
from wallwell.node.crash_watch import CrashWatch
from wallwell.node.member_rows import MemberRows
from wallwell.node.metrics import metrics_text
from wallwell.node.operator_rows import OperatorRows
from wallwell.placement.weights_roll_driver import LoadProgress, WeightsRollDriver
from wallwell.platform import rows as platform_rows
from wallwell.platform.rows import BackendRow, ConfigRow, RolloutOrderRow, WeightsVersionRow
from wallwell.rollout.driver import RolloutDriver
from wallwell.rollout.model import RolloutRecord
from wallwell.rollout.reports import FleetCounts
from wallwell.serving.counters import RequestCounters
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage
from wallwell.storage.row_isolation import ReportedRows, RowErrors, shown_key
from wallwell.storage.table import Put, Transaction

INTERNAL_ERROR = 1006
ADDRESSES = {"addr": "10.0.0.1:80", "kv_store_addr": "10.0.0.2:80"}
ODD = b"odd"


def encoded(row_type, **changes):
    return msgspec.json.encode({**sound_document(row_type, ADDRESSES), **changes})


def failing_on_odd_values(decode):
    """Return a decoder with a fault of its own, which meets it at the value ``ODD``."""

    def decode_row(*args):
        if ODD in args:
            raise ZeroDivisionError("scripted")
        return decode(*args)

    return decode_row


class Sources:
    config_key, version_prefix, rollout_prefix = "config", "version/", "rollout/"
    decode_backend = staticmethod(failing_on_odd_values(platform_rows.decode_backend))
    decode_config = staticmethod(failing_on_odd_values(platform_rows.decode_config))
    decode_version = staticmethod(failing_on_odd_values(platform_rows.decode_weights_version))
    decode_rollout = staticmethod(failing_on_odd_values(platform_rows.decode_rollout_order))


class FailingListener:
    """A listener with a fault, which it meets at each row and each era."""

    def on_era(self, era, is_restored):
        raise ZeroDivisionError("scripted")

    def on_row(self, row, now_s):
        raise ZeroDivisionError("scripted")


class RecordingListener:
    def __init__(self):
        self.keys = []
        self.eras = []

    def on_era(self, era, is_restored):
        self.eras.append(era)

    def on_row(self, row, now_s):
        self.keys.append(row.key)


class Table:
    """A table whose pages are applied to a node; ``rows`` are two sound rows with the fault's one."""

    def __init__(self):
        self.state = make_state(backends=0)
        self.version = 0

    def apply(self, *rows, is_snapshot=True, era=0):
        stored = []
        for key, value in rows:
            self.version += 1
            stored.append(FeedRow(key, value, self.version))
        page = FeedPage(tuple(stored), self.version, 0.0, era=era)
        self.reader.apply(FollowedPage(page, is_snapshot, 0.0, 0.0))


class BackendTable(Table):
    name = "backends"
    odd_row = ("b", ODD)
    sound_rows = (("a", encoded(BackendRow, addr="10.0.0.8:80")), ("c", encoded(BackendRow, addr="10.0.0.9:80")))
    hostile_rows = [
        *((f"odd-{number}", value) for number, (_, value) in enumerate(all_hostile_values(BackendRow, ADDRESSES))),
        *((key, encoded(BackendRow)) for key in HOSTILE_KEYS.values()),
    ]

    def __init__(self):
        super().__init__()
        self.reader = BackendRows(self.state, Sources, ConnectionPool("X", 1.0, 1.0))

    def has_applied_sound_rows(self):
        return {"a", "c"} <= {each.incarnation for each in self.state.backends.all_backends()}


class OperatorTable(Table):
    name = "operators"
    odd_row = ("version/odd", ODD)
    sound_rows = (
        ("config", encoded(ConfigRow, version=7)),
        ("version/m", encoded(WeightsVersionRow, model="sound", version=7)),
    )
    hostile_rows = [
        *(("config", value) for _, value in all_hostile_values(ConfigRow, {**ADDRESSES, "version": 2})),
        *((f"version/{n}", value) for n, (_, value) in enumerate(all_hostile_values(WeightsVersionRow))),
        *(("rollout/svc", value) for _, value in all_hostile_values(RolloutOrderRow)),
    ]

    def __init__(self):
        super().__init__()
        self.reader = OperatorRows(self.state, Sources)

    def has_applied_sound_rows(self):
        return self.state.weights.newest_version("sound") == 7 and self.state.config.version >= 7


class OwnTable(Table):
    """The nodes' own table, with all listeners of a node, and one with a fault among them."""

    name = "own"
    odd_row = ("odd", ODD)
    sound_rows = (("member/n2", encoded(NodeRecord, zone="sound")), ("sound", b"{}"))
    hostile_rows = [
        (f"{prefix}{number}", value)
        for prefix, row_type in (
            ("member/", NodeRecord),
            ("weights/", LoadProgress),
            ("software/", RolloutRecord),
            ("crash/part-1/", PartCrashRow),
        )
        for number, (_, value) in enumerate(all_hostile_values(row_type))
    ]

    def __init__(self, failing=()):
        super().__init__()
        state, table, clock = self.state, FaultyTable(), StoreClock()
        self.listener = RecordingListener()
        listeners = [
            WeightsRollDriver(state, table, None, clock),
            RolloutDriver(state, table, None, None, FleetCounts(), clock),
            CrashWatch(state, CrashProbe(None, state.backends.all_backends), table, lambda: state.members),
            self.listener,
        ]
        self.order = UpstreamOrder(state.node, state.zone)
        self.reader = MemberRows(state, table, self.order, [*failing, *listeners])

    def has_applied_sound_rows(self):
        return self.order.members["n2"].zone == "sound" and "sound" in self.listener.keys


class OwnTableWithFault(OwnTable):
    def __init__(self):
        super().__init__([FailingListener()])


TABLES = [BackendTable, OperatorTable, OwnTableWithFault]


@pytest.mark.parametrize("is_snapshot", [True, False], ids=["snapshot", "changes"])
@pytest.mark.parametrize("table_type", TABLES, ids=lambda each: each.name)
def test_a_row_with_an_unexpected_error_costs_that_row_alone(table_type, is_snapshot, error_events):
    for rows in itertools.permutations((table_type.odd_row, *table_type.sound_rows)):
        table = table_type()
        table.apply(*rows, is_snapshot=is_snapshot)
        assert table.has_applied_sound_rows(), rows
        assert table.state.row_errors[table.name] >= 1
    shown = [
        (each["where"], each["row"], each["error"]) for each in error_events if each["event"] == INTERNAL_ERROR
    ]
    assert (f"rows of {table_type.name}", table_type.odd_row[0], "ZeroDivisionError: scripted") in shown


@pytest.mark.parametrize("table_type", [BackendTable, OperatorTable, OwnTable], ids=lambda each: each.name)
def test_sound_rows_are_applied_among_all_hostile_ones(table_type):
    """Guards against a value that passes its decoder and raises later, whichever row of its page comes first."""
    hostile = table_type.hostile_rows
    for seed in (None, 1, 2):
        table = table_type()
        order = list(hostile)
        if seed is not None:
            random.Random(seed).shuffle(order)
        table.apply(table_type.sound_rows[0], *order, table_type.sound_rows[1])
        assert table.has_applied_sound_rows()
        table = table_type()
        table.apply(*order, *table_type.sound_rows)
        assert table.has_applied_sound_rows()


def test_a_back_end_whose_entry_raises_is_no_longer_used():
    table = BackendTable()
    table.apply(("a", encoded(BackendRow)))
    known = table.state.backends.get("a")
    table.apply(("a", ODD), is_snapshot=False)
    assert known.gone
    table.apply(("a", encoded(BackendRow)), is_snapshot=False)
    assert table.state.backends.get("a") is not None


def test_a_node_beside_a_row_that_raises_is_ready():
    table = BackendTable()
    table.state.backends_known = False
    table.apply(("a", ODD))
    assert table.state.backends_known


@pytest.mark.parametrize("table_type", TABLES, ids=lambda each: each.name)
def test_an_error_is_logged_once_and_counted_each_time(table_type, error_events):
    """Guards against a line for each heartbeat of an odd entry's writer."""
    table = table_type()
    for _ in range(5):
        table.apply(table_type.odd_row, is_snapshot=False)
    assert len([each for each in error_events if each["row"] == table_type.odd_row[0]]) == 1
    assert table.state.row_errors[table.name] >= 5
    text = metrics_text(RequestCounters(), {}, table.state, is_ready=True).decode()
    assert f'wallwell_row_errors_total{{table="{table.name}"}} {float(table.state.row_errors[table.name])}' in text


def test_a_listener_that_raises_does_not_keep_rows_and_eras_from_the_others():
    table = OwnTableWithFault()
    table.apply(("sound", b"{}"), era=3)
    assert (table.listener.keys, table.listener.eras) == (["sound"], [3])


def test_a_held_entry_that_raises_does_not_lose_the_others(warning_events):
    """Guards against entries that a restored store listed and that are dropped with one that cannot be applied."""
    table = BackendTable()
    held = {"b": ODD, "unreadable": b"{", **dict(BackendTable.sound_rows)}
    table.reader._held_entries = dict(held)
    table.reader.drop_lapsed(table.state.store_era.observed_since_s + RESTORED_ENTRY_HOLD_S)
    assert table.has_applied_sound_rows()
    assert table.state.row_errors["backends"] == 1
    assert [(each["event"], each.get("backend")) for each in warning_events] == [
        (INTERNAL_ERROR, None),
        (6023, "unreadable"),
    ]


def test_a_removal_that_raises_does_not_keep_others_from_being_removed(monkeypatch):
    table = BackendTable()
    table.apply(*BackendTable.sound_rows)
    closed = []

    def close_idle(address):
        closed.append(address)
        raise ZeroDivisionError("scripted")

    monkeypatch.setattr(table.reader._pool, "close_idle", close_idle)
    table.apply(("a", None), ("c", None), is_snapshot=False)
    assert len(closed) == 2
    assert table.state.row_errors["backends"] == 2


def read_streams(monkeypatch, *rows):
    """Return what is read from the table of versions and streams; decoding the row ``odd`` raises."""

    def decode(row, *args):
        if ODD.decode() in row.value:
            raise ZeroDivisionError("scripted")
        return VersionsRow(["v1"])

    monkeypatch.setattr(stream_records, "decode_versions_row", decode)
    table = FaultyTable()
    errors = make_state().row_errors
    records = StreamRecords(
        "n1",
        table,
        lambda: {"svc": VersionView({"v1"}, True)},
        lambda: 0.0,
        lambda: 1,
        random.Random(1),
        errors,
    )

    async def work():
        await table.transact(Transaction((), tuple(Put(key, value) for key, value in rows), ()))
        return await records.read()

    return asyncio.run(work()), errors


@pytest.mark.parametrize("position", range(3))
def test_a_row_of_streams_that_raises_costs_that_row_alone(monkeypatch, position):
    streams = encoded(StreamsRow, by_version={"v1": ["s1"]}, until_s=5.0).decode()
    rows = [("stream/a", streams), ("versions/other", "{}")]
    rows.insert(position, (f"versions/{position}", "odd"))
    found, errors = read_streams(monkeypatch, *rows)
    assert found.software == {"s1": "v1"}
    assert found.versions == {"other": {"v1"}, str(position): {UNREADABLE_VERSION}}
    assert errors == {"streams": 1}


def test_the_net_passes_on_what_says_nothing_of_the_row():
    """Guards against a net that hides a full memory; cancellations are no ``Exception`` and never reach it."""
    errors = RowErrors("backends", make_state().row_errors)
    with pytest.raises(MemoryError):
        errors.on_error("a", MemoryError())
    assert not issubclass(asyncio.CancelledError, Exception)


def test_reported_rows_are_bounded_and_forgotten_once_in_order():
    reported = ReportedRows(max_rows=2)
    assert [reported.is_news("a", "x"), reported.is_news("a", "x"), reported.is_news("a", "y")] == [
        True,
        False,
        True,
    ]
    reported.forget("a")
    assert reported.is_news("a", "y")
    assert reported.is_news("b", "x") and reported.is_news("c", "x")
    assert reported.is_news("a", "y")


def test_a_key_is_logged_escaped_and_bounded():
    assert shown_key("i-1") == "i-1"
    assert shown_key("a\r\nb\x1b") == "a\\r\\nb\\x1b"
    assert len(shown_key("\u202e" * 10_000)) <= 1000


UNREADABLE = b'{"unreadable":'
UNREADABLE_ROWS = [
    (BackendTable, "a", 6023),
    (OperatorTable, "config", 2003),
    (OperatorTable, "version/m", 2003),
    (OperatorTable, "rollout/svc", 7006),
    (OwnTable, "member/n2", 5022),
    (OwnTable, "weights/m", 5024),
    (OwnTable, "software/svc", 7006),
    (OwnTable, "crash/part-1/i-1", 5024),
]


@pytest.mark.parametrize("is_snapshot", [False, True], ids=["changes", "snapshots"])
@pytest.mark.parametrize(("table_type", "key", "event"), UNREADABLE_ROWS)
def test_an_unreadable_row_is_logged_once_a_change(table_type, key, event, is_snapshot, warning_events):
    """Guards against a line for each heartbeat of a writer whose row cannot be read."""
    table = table_type()
    for sequence in range(5):
        table.apply((key, UNREADABLE + b"%d" % sequence), is_snapshot=is_snapshot)
    assert [each["event"] for each in warning_events] == [event]
    table.apply((key, b"null"), is_snapshot=is_snapshot)
    assert [each["event"] for each in warning_events] == [event] * 2
    assert all(len(str(each)) < 1000 for each in warning_events)


@pytest.mark.parametrize(("table_type", "key", "event"), UNREADABLE_ROWS)
def test_an_unreadable_row_that_went_in_between_is_logged_again(table_type, key, event, warning_events):
    table = table_type()
    for value in (UNREADABLE, None, UNREADABLE):
        table.apply((key, value), is_snapshot=False)
    assert [each["event"] for each in warning_events] == [event] * 2


def test_a_long_key_and_a_long_value_make_a_short_line(warning_events):
    table = BackendTable()
    table.apply(("k\n" * 100, encoded(BackendRow, state="s" * 70_000)))
    (line,) = warning_events
    assert "\n" not in line["backend"] and len(str(line)) < 1000


def test_rows_of_versions_and_streams_that_cannot_be_read_are_logged_once(warning_events):
    """Guards against a line for each reading of the table, which streams that are resumed cause."""
    table = FaultyTable()
    records = StreamRecords("n1", table, dict, lambda: 0.0, lambda: 1, random.Random(1))

    async def work():
        await table.transact(Transaction((), (Put("versions/svc", "{"), Put("stream/a", "{")), ()))
        for _ in range(3):
            records._read_at_s = float("-inf")
            await records.read()

    asyncio.run(work())
    assert sorted(each["row"] for each in warning_events) == ["stream/a", "versions/svc"]


@pytest.mark.parametrize("table_type", [BackendTable, OperatorTable, OwnTable], ids=lambda each: each.name)
def test_hostile_names_stand_in_logs_and_metrics(table_type, warning_events):
    """Guards against a name in a row that ends a request for metrics, or a line of the log, with an error."""
    table = table_type()
    table.apply(*table_type.hostile_rows)
    for backend in table.state.backends.all_backends():
        table.state.retry_budget(backend.record.service)
        msgspec.json.decode(msgspec.json.encode(msgspec.to_builtins(backend.record)))
    text = metrics_text(RequestCounters(), {}, table.state, is_ready=True).decode()
    assert "wallwell_backends" in {family.name for family in text_string_to_metric_families(text)}
    for line in warning_events:
        assert len(msgspec.json.encode(line)) < 3000
