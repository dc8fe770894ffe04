"""The run's own store and workers: entries kept by heartbeats, bad versions, refusals, and what they record."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from wallwell.answer_head import HeadCheck, MalformedAnswerError
from wallwell.platform import names
from wallwell.soak import broken_answers, second_answers, worker_process
from wallwell.soak.answers import call_body, event_text
from wallwell.soak.control import Done, ForgetHistory, Heartbeat, PutRow, SwitchStore
from wallwell.soak.history import (
    HISTORY_SUFFIX,
    Arrived,
    Began,
    Ended,
    OrderTaken,
    PartsUsed,
    SentAgain,
    SentBroken,
    WorkerState,
    read_history,
)
from wallwell.soak.store_process import StoreProcess, StoreSettings
from wallwell.soak.versions import ROLLOUTS, Badness
from wallwell.soak.worker_process import SoakWorker
from wallwell.soak.worker_settings import WorkerSettings

ENTRY = {"service": "orders", "addr": "127.0.0.1:1", "state": "ready", "version": "v1", "seq": 1}


def store(tmp_path):
    return StoreProcess(StoreSettings(str(tmp_path / f"store{HISTORY_SUFFIX}"), ("127.0.0.1",), heartbeat_s=0.3))


def worker(tmp_path, **more):
    path = str(tmp_path / f"w{HISTORY_SUFFIX}")
    values = {"seed": 1, "work_s": 0.0, "event_s": 0.0, "load_s": 0.0, "software": "v1", **more}
    return SoakWorker(
        WorkerSettings("w.1", "orders", "m", "127.0.0.1", "127.9.9.9:9", "127.0.0.1:1", path, **values)
    )


def with_worker(run_async, tmp_path, scenario, **more):
    """Return what a scenario with a started worker and a caller returns, and the worker's records."""

    async def work():
        stand_in = worker(tmp_path, **more)
        await stand_in.start()
        async with aiohttp.ClientSession() as session:

            def call(path="/book/r", identity="r", method="POST", **headers):
                named = {name.replace("_", "-"): value for name, value in headers.items()}
                sent = {names.REQUEST_ID: identity, **named}
                return session.request(method, f"http://{stand_in.address}{path}", headers=sent)

            try:
                return await scenario(stand_in, call)
            finally:
                await stand_in.stop()

    return run_async(work()), read_history(tmp_path)


def test_an_entry_stays_while_heartbeats_come_and_goes_without(run_async, tmp_path):
    async def work():
        process = store(tmp_path)
        process._expiry = asyncio.create_task(process._expire())
        for _ in range(8):
            await process._heartbeat(Heartbeat("w.1", ENTRY))
            await asyncio.sleep(0.01)
        kept, version = process.store.value("servers", "w.1"), process.store.version
        async with asyncio.timeout(10):
            while process.store.value("servers", "w.1") is not None:
                await asyncio.sleep(0.01)
        return kept is not None, version

    # Heartbeats alone do not change the entry's row.
    assert run_async(work()) == (True, 1)
    states = [record.state for record in read_history(tmp_path) if isinstance(record, WorkerState)]
    assert states == ["ready", "gone"]


def test_a_store_that_is_down_hears_no_heartbeat(run_async, tmp_path):
    async def work():
        process = store(tmp_path)
        await process._switch(SwitchStore({"refuse_status": 503}))
        await process._heartbeat(Heartbeat("w.1", ENTRY))
        during = process.store.value("servers", "w.1")
        await process._switch(SwitchStore({"refuse_status": 0}))
        await process._heartbeat(Heartbeat("w.1", ENTRY))
        return during, process.store.value("servers", "w.1") is not None

    assert run_async(work()) == (None, True)


def test_the_operator_writes_rows_and_an_unknown_switch_is_refused(run_async, tmp_path):
    async def work():
        process = store(tmp_path)
        assert await process._put(PutRow("op", "config", "{}")) == Done()
        await process._forget(ForgetHistory())
        with pytest.raises(ValueError, match="no switch"):
            await process._switch(SwitchStore({"rows": {}}))
        return process.store.value("op", "config"), process.store.forgotten_version

    assert run_async(work()) == ("{}", 1)


def test_a_call_is_recorded_answered_whole_and_sealed(run_async, tmp_path):
    async def scenario(stand_in, call):
        async with call(X_Tenant="t") as response:
            return response.status, response.headers[names.SEAL], await response.read()

    answer, records = with_worker(run_async, tmp_path, scenario)
    assert answer == (200, "seal-w.1", call_body("r"))
    began, ended = records
    assert isinstance(began, Began) and (began.request, began.tenant, began.software) == ("r", "t", "v1")
    assert isinstance(ended, Ended) and (ended.status, ended.bad) == (200, False)


def test_a_stream_goes_on_after_the_event_that_the_caller_has(run_async, tmp_path):
    async def scenario(stand_in, call):
        async with call(X_Token_Usage="10,4", Last_Event_Id="2") as response:
            return response.headers[names.WEIGHT_VERSION], await response.read()

    answer, records = with_worker(run_async, tmp_path, scenario)
    assert answer == ("1", event_text("r", 3, "v1") + event_text("r", 4, "v1"))
    assert records[0].resume_after == 2


def test_a_path_that_names_a_pace_is_kept(run_async, tmp_path):
    async def scenario(_, call):
        begins_s = asyncio.get_running_loop().time()
        async with call("/book/pace-60/r") as answer:
            body = await answer.read()
        async with call("/chat/pace-30/s", "s", X_Token_Usage="1,3") as stream:
            await stream.read()
        return body, asyncio.get_running_loop().time() - begins_s

    (body, took_s), records = with_worker(run_async, tmp_path, scenario)
    assert body == call_body("r")
    assert took_s >= 0.06 + 3 * 0.03
    planned_s = [each.would_end_s - each.at_s for each in records if isinstance(each, Began)]
    assert planned_s == pytest.approx([0.06, 0.09], abs=0.001)


@pytest.mark.parametrize("header", [{"X_Expect_Instance": "w.2"}, {"X_Expect_Version": "2"}])
def test_what_another_worker_is_named_for_is_not_run(run_async, tmp_path, header):
    async def scenario(stand_in, call):
        async with call(**header) as response:
            return response.status, names.NOT_RUN in response.headers

    answer, records = with_worker(run_async, tmp_path, scenario)
    assert answer == (421, True)
    assert [type(record) for record in records] == [Arrived]


def test_a_bad_version_fails_its_share_and_says_so_in_the_records(run_async, tmp_path):
    async def scenario(stand_in, call):
        statuses = []
        for index in range(60):
            async with call(identity=f"r{index}") as response:
                statuses.append(response.status)
        return statuses

    statuses, records = with_worker(run_async, tmp_path, scenario, badness=Badness(failure_share=0.5))
    assert 15 < statuses.count(500) < 45
    assert [record.status == 500 for record in records if isinstance(record, Ended)] == [
        record.bad for record in records if isinstance(record, Ended)
    ]


@pytest.mark.parametrize(
    ("kind", "age_s", "running", "path", "struck"),
    [
        ("good", 100.0, 9, "/book/", False),
        ("failing", 0.0, 1, "/read/", True),
        ("slow", 0.0, 1, "/read/", True),
        ("failing_later", 4.9, 1, "/book/", False),
        ("failing_later", 5.0, 1, "/book/", True),
        ("failing_under_load", 9.0, 1, "/book/", False),
        ("failing_under_load", 0.0, 2, "/book/", True),
        ("failing_on_one_route", 9.0, 9, "/read/", False),
        ("failing_on_one_route", 0.0, 1, "/book/r", True),
    ],
)
def test_a_version_is_bad_when_its_kind_says_so(kind, age_s, running, path, struck):
    assert ROLLOUTS[kind].strikes(age_s, running, path) is struck


def test_orders_are_recorded_and_a_lower_fence_is_refused(run_async, tmp_path):
    async def scenario(stand_in, call):
        replies = []
        for fence, version in ((5, 2), (4, 3), (6, 2)):
            order = {"op": "version", "model": "m", "version": version, "holder": "n", "fence": fence}
            replies.append((await stand_in.handle_order(order)).status)
            if stand_in.busy:
                await stand_in._load
        return replies, stand_in.version

    answer, records = with_worker(run_async, tmp_path, scenario)
    assert answer == ([202, 412, 200], 2)
    assert [record.fence for record in records if isinstance(record, OrderTaken)] == [5, 4, 6]


def test_a_cancelled_request_ends_without_a_status(run_async, tmp_path):
    async def scenario(stand_in, call):
        async def leave_at_work():
            async with call() as response:
                await response.read()

        caller = asyncio.create_task(leave_at_work())
        async with asyncio.timeout(10):
            while not stand_in._running:
                await asyncio.sleep(0.01)
            caller.cancel()
            while stand_in._running:
                await asyncio.sleep(0.01)

    _, records = with_worker(run_async, tmp_path, scenario, work_s=60.0)
    assert [record.status for record in records if isinstance(record, Ended)] == [0]


def test_the_entry_tells_the_links_address_and_that_the_worker_leaves(tmp_path):
    stand_in = worker(tmp_path)
    assert (stand_in.entry()["addr"], stand_in.entry()["state"], stand_in.entry()["version"]) == (
        "127.9.9.9:9",
        "ready",
        "v1",
    )
    stand_in.draining = True
    assert stand_in.entry()["state"] == "draining"


async def read_answer(reader):
    """Return the status line and the body of one answer with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = next(line.partition(":")[2] for line in head.splitlines() if line.startswith("Content-Length"))
    return head.splitlines()[0], await reader.readexactly(int(length)), f"{names.REQUEST_ID}: r" in head


@pytest.mark.parametrize(("rejected_share", "status"), [(0.0, 200), (1.0, 503)])
def test_answers_and_rejections_come_twice_on_their_connection(
    run_async, tmp_path, monkeypatch, rejected_share, status
):
    """Guards against a soak whose workers never repeat what routers must not take for another answer."""
    monkeypatch.setattr(second_answers, "REPEATED_SHARE", 1.0)
    monkeypatch.setattr(worker_process, "REJECTED_SHARE", rejected_share)

    async def scenario(stand_in, call):
        host, _, port = stand_in.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST /book/r HTTP/1.1\r\nHost: h\r\n{names.REQUEST_ID}: r\r\n\r\n".encode())
        async with asyncio.timeout(5):
            answers = [await read_answer(reader) for _ in range(2)]
        writer.close()
        return answers

    (answer, copy), records = with_worker(run_async, tmp_path, scenario, second_answers=True)
    assert answer == copy
    assert (answer[0].split()[1], answer[2]) == (str(status), True)
    assert [(each.request, each.status) for each in records if isinstance(each, SentAgain)] == [("r", status)]


@pytest.mark.parametrize("form", range(broken_answers.FORMS))
def test_worker_sends_what_is_no_answer_and_closes(run_async, tmp_path, monkeypatch, form):
    """Guards against a soak whose workers never send what routers must not take for an answer."""
    monkeypatch.setattr(broken_answers, "draw_form", lambda *_: form)

    async def scenario(stand_in, call):
        host, _, port = stand_in.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST /book/r HTTP/1.1\r\nHost: h\r\n{names.REQUEST_ID}: r\r\n\r\n".encode())
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        return received

    received, records = with_worker(run_async, tmp_path, scenario, broken_answers=True)
    assert received == broken_answers.broken_answer(form, "r", call_body("r"))
    with pytest.raises(MalformedAnswerError):
        HeadCheck().feed(received)
    assert [(each.request, each.form) for each in records if isinstance(each, SentBroken)] == [("r", form)]


def test_engine_records_whose_parts_a_request_used(run_async, tmp_path):
    async def scenario(_stand_in, call):
        for identity, tenant in (("r1", "t"), ("r2", "t"), ("r3", "u")):
            headers = {names.TENANT: tenant, names.CACHE_SALT: "m:1", names.PROMPT_PARTS: "a:8,b:4"}
            async with call(identity=identity, **headers, **{names.TOKEN_USAGE: "12,1"}) as response:
                assert response.status == 200
                await response.read()

    _, records = with_worker(run_async, tmp_path, scenario, keeps_parts=True)
    (used,) = [each for each in records if isinstance(each, PartsUsed)]
    assert (used.request, used.worker, used.tenant, used.scope, used.makers) == ("r3", "w.1", "u", "m:1", ("t",))
