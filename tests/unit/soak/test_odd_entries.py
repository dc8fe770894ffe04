"""Odd rows: what a run draws of them, that the store keeps them, and what is told of routers beside them."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
import types

import pytest

from tests.unit.soak.records import asked, began, beside_odd_rows, calls_at, history, sent
from wallwell.address import InvalidAddressError, parse_address
from wallwell.platform import names
from wallwell.soak import odd_entries
from wallwell.soak.configuration import ENGINES, ORDERS
from wallwell.soak.control import Heartbeat, PutOddRow, RestoreStore, SpoilEntry
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.history import (
    HISTORY_SUFFIX,
    FaultBegan,
    FaultEnded,
    NodeExited,
    NodeReady,
    NodeStarted,
    RouterLogged,
    WorkerState,
)
from wallwell.soak.invariants import check_invariants
from wallwell.soak.logged_faults import FAULT_EVENTS, NO_EVENT, faults_in
from wallwell.soak.odd_writer import OddWriter
from wallwell.soak.operator import ROLLOUT_KEY
from wallwell.soak.schedule import RECOVERY_S, FaultKind, PlannedOddRow, Shape
from wallwell.soak.store_process import UNREADABLE_ENTRY, StoreProcess, StoreSettings
from wallwell.soak.timeline import CONTACT_S

ALL_FEATURES = {"notices": True, "limits": True, "identities": True, "silences": True, "restores": True}
STARTS = "starts_beside_odd_rows"
NODES_SERVE = "nodes_serve_beside_odd_rows"
WORKERS_SERVE = "workers_serve_beside_odd_rows"
NO_FAULT = "no_fault_beside_odd_rows"


def drawn_rows(seeds=60, **more):
    return [row for seed in range(seeds) for row in draw_schedule(seed, Shape(odd_entries=True, **more)).odd_rows]


def read_leniently(value):
    """Return what a reader that takes anything makes of a value on the wire, None if it makes nothing of it."""
    try:
        found = json.loads(base64.b64decode(value, validate=True))
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) else None


def names_a_back_end(entry):
    """Whether the parts of an entry without which nothing is sent to it are sound."""
    try:
        parse_address(entry.get("addr"))
    except (InvalidAddressError, TypeError, AttributeError):
        return False
    return entry.get("state", "ready") in ("ready", "draining")


# --- what a run draws ----------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(20))
def test_odd_entries_are_added_to_what_a_seed_draws_without_them(seed):
    without, drawn = (
        draw_schedule(seed, Shape(**ALL_FEATURES)),
        draw_schedule(seed, Shape(**ALL_FEATURES, odd_entries=True)),
    )
    assert set(without.faults) <= set(drawn.faults)
    assert (drawn.requests, drawn.operations) == (without.requests, without.operations)
    assert drawn.odd_rows and not without.odd_rows
    assert {fault.kind for fault in set(drawn.faults) - set(without.faults)} == {FaultKind.SPOIL_ENTRY}


def test_no_drawn_entry_may_get_requests():
    """An entry of a service with routes names no back end; what can be read has a service that no route names."""
    entries = [read_leniently(row.value) for row in drawn_rows() if row.table == names.BACKENDS_TABLE]
    routed = [entry for entry in entries if entry and entry.get("service") in (ENGINES, ORDERS)]
    assert len(routed) > 100
    assert not [entry for entry in routed if names_a_back_end(entry)]
    assert [entry for entry in entries if entry and names_a_back_end(entry)]


def test_what_is_left_over_a_workers_own_entry_names_no_back_end():
    values = [odd_entries.draw_own_entry(random.Random(seed)) for seed in range(300)]
    assert len(set(values)) > 30
    entries = [entry for entry in map(read_leniently, values) if entry]
    assert not [entry for entry in entries if names_a_back_end(entry)]


def test_rows_beside_those_of_the_operators_are_none_that_a_run_has():
    own = {names.CONFIG_KEY, names.VERSION_KEY_PREFIX + "m", ROLLOUT_KEY}
    rows = [row for row in drawn_rows() if row.table == names.OPERATOR_TABLE]
    assert rows
    assert not {row.key for row in rows} & own
    readable = [entry for entry in (read_leniently(row.value) for row in rows) if entry]
    assert not [
        entry for entry in readable if entry.get("model") == "m" or entry.get("service") in (ENGINES, ORDERS)
    ]


def test_keys_are_as_long_as_the_store_takes_them_at_most_and_belong_to_no_worker():
    shape = Shape(odd_entries=True)
    incarnations = {f"{name}.{number}" for name in shape.worker_names() for number in range(1, 100)}
    for seed in range(60):
        rows = [row for row in draw_schedule(seed, shape).odd_rows if row.table == names.BACKENDS_TABLE]
        keys = [row.key for row in rows]
        assert len(set(keys)) == len(keys)
        assert all(len(key.encode()) <= odd_entries.MAX_KEY_BYTES for key in keys)
        assert not incarnations & set(keys)


def test_every_run_has_rows_before_its_routers_start_and_while_all_of_them_start_again():
    for seed in range(60):
        drawn = draw_schedule(seed, Shape(odd_entries=True))
        (kill,) = [fault for fault in drawn.faults if fault.kind is FaultKind.KILL_ALL_NODES]
        assert [row for row in drawn.odd_rows if not row.at_s and row.lasts_s]
        around = [row for row in drawn.odd_rows if row.at_s <= kill.at_s <= row.at_s + row.lasts_s - 3.0]
        assert [row for row in around if 0.3 <= row.period_s <= 1.2]


def test_every_text_that_is_no_address_is_drawn_and_some_seeds_have_all_at_once():
    counts = []
    for seed in range(60):
        forms = {row.form for row in draw_schedule(seed, Shape(odd_entries=True)).odd_rows}
        counts.append(sum(form.startswith("address: ") for form in forms))
    assert max(counts) == len(odd_entries._ADDRESSES)
    assert 10 < counts.count(max(counts)) < 50


@pytest.mark.parametrize("address", odd_entries._ADDRESSES.values(), ids=odd_entries._ADDRESSES)
def test_a_text_that_is_drawn_as_no_address_is_none(address):
    with pytest.raises(InvalidAddressError):
        parse_address(address)


def test_a_worker_comes_and_an_engine_leaves_in_a_long_calm_span():
    shape = Shape(odd_entries=True, calm_s=odd_entries.CALM_SHOWN_S)
    calm = [fault for fault in draw_schedule(1, shape).faults if fault.at_s >= shape.seconds]
    assert [(fault.kind, fault.target.partition("-")[0]) for fault in calm] == [
        (FaultKind.CRASH_WORKER, "orders"),
        (FaultKind.DRAIN_WORKER, "engine"),
    ]


# --- writing them --------------------------------------------------------------------------------------


class FleetOfStore:
    """Takes the messages to the store and the records of the run."""

    def __init__(self, *rows):
        self.schedule = types.SimpleNamespace(odd_rows=rows)
        self.messages = []
        self.records = []
        self.history = types.SimpleNamespace(add=self.records.append)

    async def control_store(self, message):
        self.messages.append(message)


def row(key, at_s, lasts_s):
    return PlannedOddRow(at_s, lasts_s, 0.05, "servers", key, "state", "e30=")


def test_rows_are_written_before_routers_start_and_again_until_their_time_is_over(run_async):
    fleet = FleetOfStore(row("early", 0.0, 0.0), row("again", 0.0, 0.2), row("later", 0.1, 0.0))

    async def work():
        writer = OddWriter(fleet)
        await writer.begin()
        first = [message.key for message in fleet.messages]
        await asyncio.sleep(0.3)  # Routers start; what is written again goes on.
        before = len(fleet.messages)
        await writer.run(time.monotonic())
        return first, before

    first, before = run_async(work())
    assert first == ["early", "again"]
    assert before > len(first)
    keys = [message.key for message in fleet.messages]
    assert (keys.count("early"), keys.count("later")) == (1, 1)
    assert keys[before:].count("again") >= 2
    assert [record.key for record in fleet.records] == keys


def with_store(run_async, tmp_path, scenario):
    settings = StoreSettings(str(tmp_path / f"store{HISTORY_SUFFIX}"), ("127.0.0.1",), heartbeat_s=0.1)

    async def work():
        process = StoreProcess(settings)
        process._expiry, process._copying = map(asyncio.create_task, (process._expire(), process._copy()))
        await asyncio.sleep(0)  # The first copy is made.
        return await scenario(process)

    return run_async(work())


def test_the_store_keeps_an_odd_row_that_no_heartbeat_keeps_also_over_a_restore(run_async, tmp_path):
    async def scenario(process):
        await process._put_odd(PutOddRow(names.BACKENDS_TABLE, "odd", "!!!!"))
        await asyncio.sleep(0.3)
        await process._restore(RestoreStore(0.0))
        await asyncio.sleep(0.6)  # Longer than an entry lasts without heartbeats.
        return process.store.rows[(names.BACKENDS_TABLE, "odd")][0]

    assert with_store(run_async, tmp_path, scenario) == "!!!!"


@pytest.mark.parametrize(("value", "on_wire"), [("", UNREADABLE_ENTRY), ("!!!!", "!!!!")])
def test_a_workers_own_entry_is_spoilt_as_asked_and_goes_with_its_worker(run_async, tmp_path, value, on_wire):
    """Guards against a store that reads a spoilt entry itself as its worker goes."""

    async def scenario(process):
        entry = {"service": "orders", "addr": "127.0.0.1:1", "state": "ready", "seq": 1}
        await process._heartbeat(Heartbeat("w.1", entry))
        await process._spoil(SpoilEntry("w.1", True, value))
        found = process.store.rows[(names.BACKENDS_TABLE, "w.1")][0]
        await asyncio.sleep(0.6)  # No heartbeat comes any more.
        return found, (names.BACKENDS_TABLE, "w.1") in process.store.rows

    assert with_store(run_async, tmp_path, scenario) == (on_wire, False)


# --- what routers log ----------------------------------------------------------------------------------


def test_faults_are_found_in_a_log_and_lines_that_are_no_events_count_once():
    log = b"\n".join(
        (
            b'{"time":"2026-12-07T00:00:10.500+00:00","event":1001}',
            b'{"time":"2026-12-07T00:00:11.500+00:00","event":1006,"where":"x"}',
            b"Traceback (most recent call last):",
            b'  File "x", line 1',
            b"UnicodeError: label empty or too long",
            b'{"time":"2026-12-07T00:00:12.500+00:00","event":6023}',
            b'{"time":"2026-12-07T00:00:13.5',
        )
    )
    unix_s = 1796601600.0  # The day's begin.
    found = list(faults_in(log, "node-0", -unix_s))
    assert [(each.node, each.event, each.at_s) for each in found] == [
        ("node-0", 1006, 11.5),
        ("node-0", NO_EVENT, 11.5),
    ]
    assert found[1].detail.startswith("Traceback")


def test_the_events_that_no_row_may_cause():
    assert {1006, 1015, 1017, 4010} == FAULT_EVENTS


# --- what is told of routers beside them ---------------------------------------------------------------


def result(*records):
    return check_invariants(history(*records))


def breached(*records):
    return [breach.invariant for breach in result(*records).breaches]


def test_runs_without_odd_rows_have_no_case():
    records = [NodeStarted(1.0, "node-0"), *asked([200] * 10, 6.0), *calls_at(["orders-0.1"] * 24)]
    cases = result(*records).cases
    assert [cases[name] for name in (STARTS, NODES_SERVE, WORKERS_SERVE, NO_FAULT)] == [0, 0, 0, 0]


def test_a_start_that_takes_longer_than_the_bound_is_a_breach():
    ends = NodeExited(60.0, "node-0", 0, "SIGTERM")
    assert breached(*beside_odd_rows(ends, ready_s=1.1 + RECOVERY_S)) == [STARTS]
    assert result(*beside_odd_rows(ends, ready_s=0.9 + RECOVERY_S)).cases[STARTS] == 1


@pytest.mark.parametrize(
    ("fault", "target", "cases"),
    [
        ("store_down", "store", 0),
        ("store_refuses_node", "node-0", 0),
        ("link_reset", "node-0>store", 0),
        ("store_refuses_node", "node-1", 1),
        ("kill_node", "node-1", 1),
        ("kill_all_nodes", "all", 1),
    ],
)
def test_a_start_counts_if_the_store_answers_its_node(fault, target, cases):
    near = [FaultBegan(0.9, fault, target), FaultEnded(1.5, fault, target)]
    records = beside_odd_rows(*near, NodeExited(60.0, "node-0", 0, "SIGTERM"), ready_s=None)
    assert result(*records).cases[STARTS] == cases


def test_a_node_that_is_ended_before_the_bound_is_no_case():
    ended = NodeExited(0.5 + RECOVERY_S, "node-0", -9, "SIGKILL")
    again = [NodeStarted(7.0, "node-0"), NodeReady(8.0, "node-0"), NodeExited(60.0, "node-0", 0, "SIGTERM")]
    assert result(*beside_odd_rows(ended, *again, ready_s=None)).cases[STARTS] == 1
    assert not breached(*beside_odd_rows(ended, *again, ready_s=None))


@pytest.mark.parametrize("event", [NO_EVENT, 1006])
def test_a_router_that_logs_a_fault_is_a_breach(event):
    assert breached(*beside_odd_rows(RouterLogged(3.0, "node-0", event, "x"))) == [NO_FAULT]


def test_a_workers_own_failure_is_none_of_the_router():
    own = [sent("x"), began("x", "w.1"), *beside_odd_rows()]
    failed = [each for each in asked([500], 3.0) if not hasattr(each, "seal")]
    assert not breached(*own, *failed)


def test_a_worker_is_judged_from_the_time_of_contact_and_without_a_fault_of_its_own():
    calls = calls_at(["orders-0.1"] * 24, from_s=5.0 + CONTACT_S)
    assert breached(*beside_odd_rows(*calls)) == [WORKERS_SERVE]
    early = calls_at(["orders-0.1"] * 24, from_s=5.0 + CONTACT_S, listed_s=5.1)
    assert result(*beside_odd_rows(*early)).cases[WORKERS_SERVE] == 0
    silent = [FaultBegan(5.2, "silence_worker", "orders-1"), FaultEnded(6.0, "silence_worker", "orders-1")]
    assert not breached(*beside_odd_rows(*calls, *silent))
    drained = WorkerState(5.5, "orders-1.1", "orders", "v1", "draining")
    assert not breached(*beside_odd_rows(*calls, drained))
