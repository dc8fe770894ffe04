"""Missing entries of back ends: removed while the store is available, or lapsed during an outage or a restore."""

import asyncio

import pytest

from tests.unit.serving.fakes import make_state
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.events import Event
from wallwell.http_connection import ConnectionPool
from wallwell.node import backend_notices, backend_rows
from wallwell.node.backend_notices import apply_notice
from wallwell.node.backend_rows import LAPSE_GRACE_S, RESTORED_ENTRY_HOLD_S, BackendRows
from wallwell.routing.health.backend_notice import BackendNotice
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.serving.version_choice import eligible_backends
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

OUTAGE_S = 5.0


class Sources:
    """Decodes a row's value as the back end's state."""

    @staticmethod
    def decode_backend(incarnation, value):
        state, _, address = value.decode().partition("@")
        return BackendRecord(incarnation, "svc", address or incarnation, "z", 8, draining=state == "draining")


class SlowStartSources:
    """Decodes a row's value as the remaining seconds of slow start and the back end's state."""

    @staticmethod
    def decode_backend(incarnation, value):
        slow_for_s, _, state = value.decode().partition(" ")
        draining = state == "draining"
        return BackendRecord(incarnation, "svc", incarnation, "z", 8, draining, slow_for_s=float(slow_for_s))


class StartedSources:
    """Decodes a row's value as the start time and state of the back end."""

    @staticmethod
    def decode_backend(incarnation, value):
        started, _, state = value.decode().partition(" ")
        return BackendRecord(incarnation, "svc", "a", "z", 8, state == "draining", started_unix_ms=int(started))


def test_decreasing_slow_start_time_is_not_logged_as_a_change(monkeypatch):
    """The entry changes with each heartbeat then, which logged 250 lines a node in 36 s with 30 back ends."""
    listed = []
    monkeypatch.setattr(backend_rows, "emit", lambda event, **fields: listed.append((event, fields["draining"])))
    rows = BackendRows(make_state(backends=0), SlowStartSources(), ConnectionPool("X", 1.0, 1.0))
    for value in (b"2.0 ready", b"1.0 ready", b"0.0 ready", b"0.0 draining"):
        rows.apply(FollowedPage(FeedPage((FeedRow("a", value, 1),), 1, 0.0), False, 0.0, 0.0))
    assert listed == [(Event.BACKEND_LISTED, False), (Event.BACKEND_LISTED, True)]


class FollowedRows:
    """A registry fed with pages of rows, given by key; None for a deleted row."""

    def __init__(self):
        self.state = make_state(backends=0)
        self.rows = BackendRows(self.state, Sources(), ConnectionPool("X", 1.0, 1.0))
        self.confirmed_s = float("-inf")

    def apply_page(self, is_snapshot=False, is_restored=False, **rows):
        now_s = boot_time_s()
        page = tuple(FeedRow(key, value, 1) for key, value in rows.items())
        self.rows.apply(FollowedPage(FeedPage(page, 1, 0.0), is_snapshot, now_s, self.confirmed_s, is_restored))
        self.confirmed_s = now_s

    def apply_restored_listing(self, **rows):
        """Apply a snapshot of a store that has just been restored from an older copy."""
        era = self.state.store_era
        era.observe((era.observed_era or 0) + 1, boot_time_s())
        self.apply_page(is_snapshot=True, is_restored=True, **rows)

    def open_backends(self):
        now_s = boot_time_s()
        return sorted(
            each.incarnation for each in self.state.backends.backends_of_service("svc") if each.is_open(now_s)
        )

    async def pass_time(self, seconds, is_store_up=True):
        """Let time pass. While the store is up, an empty page is applied every half second."""
        for _ in range(round(seconds / 0.5)):
            await asyncio.sleep(0.5)
            if is_store_up:
                self.apply_page()
            else:
                self.rows.drop_lapsed(boot_time_s())


def run_scenario(scenario):
    async def work():
        followed = FollowedRows()
        followed.apply_page(is_snapshot=True, a=b"ready", b=b"ready", c=b"draining")
        await followed.pass_time(2.0)
        return await scenario(followed)

    return run_virtual(work())


def test_removed_back_end_gets_no_requests_at_once():
    async def scenario(followed):
        followed.apply_page(a=None)
        return followed.open_backends()

    assert run_scenario(scenario) == ["b"]


def test_ready_entry_does_not_reopen_a_leaving_back_end():
    """After an outage the store may list a back end as ready that announced in its answers that it leaves."""

    async def scenario(followed):
        state = followed.state
        apply_notice(state, "a", BackendNotice(leaving=True))
        seen = [followed.open_backends()]
        await followed.pass_time(OUTAGE_S, is_store_up=False)
        followed.apply_page(is_snapshot=True, a=b"ready", b=b"ready", c=b"ready")
        seen.append(followed.open_backends())
        followed.apply_page(a=None)
        followed.apply_page(a=b"ready")
        seen.append(followed.open_backends())
        return seen

    assert run_scenario(scenario) == [["b"], ["b"], ["b"]]


def test_restored_listing_does_not_reopen_a_removed_back_end():
    """A back end serves for some seconds after its entry is removed, and must get no requests then."""

    async def scenario(followed):
        followed.apply_page(a=None)
        followed.apply_restored_listing(a=b"ready", b=b"ready", c=b"draining")
        seen = [followed.open_backends()]
        await followed.pass_time(RESTORED_ENTRY_HOLD_S - 1.0)
        seen.append(followed.open_backends())
        followed.apply_page(a=None)
        await followed.pass_time(2.0)
        return [*seen, followed.open_backends()]

    assert run_scenario(scenario) == [["b"], ["b"], ["b"]]


@pytest.mark.parametrize("writes", [True, False], ids=["its entry changes", "its entry stays"])
def test_live_back_end_with_a_removed_entry_is_used_again_after_a_restore(writes):
    async def scenario(followed):
        followed.apply_page(a=None)
        followed.apply_restored_listing(a=b"ready", b=b"ready", c=b"draining")
        if writes:
            followed.apply_page(a=b"ready")
        else:
            await followed.pass_time(RESTORED_ENTRY_HOLD_S + 0.5)
        return followed.open_backends()

    assert run_scenario(scenario) == ["a", "b"]


@pytest.mark.parametrize("writes", [True, False], ids=["written again in time", "not written again"])
def test_back_end_missing_from_a_restored_listing_is_used_during_the_grace_period(writes):
    """The store may have been unavailable for too short a time to count as an outage."""

    async def scenario(followed):
        followed.apply_restored_listing(b=b"ready")
        seen = [followed.open_backends()]
        await followed.pass_time(LAPSE_GRACE_S - 0.5)
        seen.append(followed.open_backends())
        if writes:
            followed.apply_page(a=b"ready", c=b"draining")
        await followed.pass_time(1.0)
        return [*seen, followed.open_backends()]

    assert run_scenario(scenario) == [["a", "b"], ["a", "b"], ["a", "b"] if writes else ["b"]]


def test_restored_ready_entry_does_not_reopen_a_draining_back_end():
    async def scenario(followed):
        followed.apply_page(a=b"draining")
        followed.apply_restored_listing(a=b"ready", b=b"ready", c=b"ready")
        return followed.open_backends()

    assert run_scenario(scenario) == ["b"]


def test_restored_entry_does_not_lower_the_weights_version():
    registry = BackendRegistry()
    for version in (2, 3, 2):
        backend = registry.upsert(BackendRecord("e", "llm", "e", "z", 8, versions={"m": version}))
    assert backend.believed_version("m") == 3


def test_entry_does_not_lower_the_weights_version_reported_by_an_answer():
    """After a changed entry with older versions, requests were sent that the engine refused."""
    registry = BackendRegistry()
    backend = registry.upsert(BackendRecord("e", "llm", "e", "z", 8, versions={"m": 1}))
    backend.set_believed_version("m", 3)
    registry.upsert(BackendRecord("e", "llm", "e", "z", 9, versions={"m": 2}))
    assert backend.believed_version("m") == 3


def test_restarted_back_end_keeps_the_time_its_answers_announced_leaving():
    """A back end restarted during a store outage and announced in its answers, before its entry, that it leaves."""
    registry = BackendRegistry()
    first = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, started_unix_ms=1000))
    registry.on_leaving(first, 10.0)
    again = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, draining=True, started_unix_ms=2000))
    assert again.leaving_since_s == 10.0
    ready = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, started_unix_ms=3000))
    assert ready.leaving_since_s is None


def test_late_entry_of_an_earlier_start_is_not_logged_as_a_change(monkeypatch):
    listed, forgotten = [], []
    monkeypatch.setattr(backend_rows, "emit", lambda event, **fields: listed.append(fields["draining"]))
    pool = ConnectionPool("X", 1.0, 1.0)
    pool.close_idle = forgotten.append
    rows = BackendRows(make_state(backends=0), StartedSources(), pool)
    for value in (b"1000 ready", b"2000 ready", b"1000 draining", b"2000 draining"):
        rows.apply(FollowedPage(FeedPage((FeedRow("a", value, 1),), 1, 0.0), False, 0.0, 0.0))
    assert listed == [False, False, True]
    assert forgotten == ["a"]


def test_notice_is_logged_once_and_ignored_for_an_unlisted_back_end(monkeypatch):
    lines = []
    monkeypatch.setattr(backend_notices, "emit", lambda event, **fields: lines.append((event, fields["backend"])))

    async def scenario(followed):
        for _ in range(3):
            apply_notice(followed.state, "a", BackendNotice(leaving=True, backoff_s=1.0))
            apply_notice(followed.state, "unlisted", BackendNotice(leaving=True, backoff_s=1.0))
        await asyncio.sleep(1.1)
        apply_notice(followed.state, "a", BackendNotice(backoff_s=1.0))

    run_scenario(scenario)
    assert lines == [
        (Event.BACKEND_ANNOUNCED_LEAVING, "a"),
        (Event.BACKEND_REQUESTED_BACKOFF, "a"),
        (Event.BACKEND_REQUESTED_BACKOFF, "a"),
    ]


@pytest.mark.parametrize("is_snapshot", [True, False], ids=["snapshot", "changes"])
def test_live_back_ends_stay_open_while_their_entries_are_rewritten(is_snapshot):
    async def scenario(followed):
        await followed.pass_time(OUTAGE_S, is_store_up=False)
        followed.apply_page(is_snapshot=True) if is_snapshot else followed.apply_page(a=None, b=None, c=None)
        seen = [followed.open_backends()]
        await followed.pass_time(1.0)
        followed.apply_page(a=b"ready")
        seen.append(followed.open_backends())
        await followed.pass_time(LAPSE_GRACE_S)
        seen.append(followed.open_backends())
        return seen

    assert run_scenario(scenario) == [["a", "b"], ["a", "b"], ["a"]]


def test_entry_missing_shortly_after_the_outage_lapses_at_the_end_of_the_same_grace_period():
    async def scenario(followed):
        await followed.pass_time(OUTAGE_S, is_store_up=False)
        followed.apply_page()
        await followed.pass_time(1.5)
        followed.apply_page(a=None)
        seen = [followed.open_backends()]
        await asyncio.sleep(LAPSE_GRACE_S - 1.5)
        followed.apply_page()
        seen.append(followed.open_backends())
        await followed.pass_time(1.0)
        followed.apply_page(b=None)
        return [*seen, followed.open_backends()]

    assert run_scenario(scenario) == [["a", "b"], ["b"], []]


def test_lapsed_back_end_is_forgotten_during_the_next_outage():
    async def scenario(followed):
        await followed.pass_time(OUTAGE_S, is_store_up=False)
        followed.apply_page(is_snapshot=True)
        await followed.pass_time(2.5, is_store_up=False)
        return [each.incarnation for each in followed.state.backends.all_backends()]

    assert run_scenario(scenario) == []


def test_restarted_back_end_replaces_its_ended_incarnation_while_both_are_listed():
    """On a deployment of 59 engines, 813 requests were refused by successors of crashed incarnations."""

    async def scenario(followed):
        followed.apply_page(d=b"ready@a")
        return followed.open_backends()

    assert run_scenario(scenario) == ["b", "d"]


@pytest.mark.parametrize("names", ["dz", "zd"])
def test_starting_node_uses_the_later_of_two_incarnations(names):
    async def work():
        followed = FollowedRows()
        rows = tuple(FeedRow(name, b"ready@same", version) for version, name in enumerate(names, start=1))
        now_s = boot_time_s()
        page = tuple(sorted(rows, key=lambda row: row.key))
        followed.rows.apply(FollowedPage(FeedPage(page, 2, 0.0), True, now_s, now_s))
        return followed.open_backends()

    assert run_virtual(work()) == [names[1]]


class VersionedSources:
    """Decodes a row's value as software version and remaining seconds of slow start."""

    @staticmethod
    def decode_backend(incarnation, value):
        software, _, slow_for_s = value.decode().partition("@")
        return BackendRecord(
            incarnation, "svc", incarnation, "z", 8, software=software, slow_for_s=float(slow_for_s or 0)
        )


class VersionedFollowedRows(FollowedRows):
    def __init__(self):
        super().__init__()
        self.state.backends_known = False
        self.rows = BackendRows(self.state, VersionedSources(), ConnectionPool("X", 1.0, 1.0))


def usable_after(steps):
    """Return the eligible back ends after each step of a scenario; a step is a page or a number of seconds."""

    async def work():
        followed = VersionedFollowedRows()
        seen = []
        for step in steps:
            if isinstance(step, dict):
                followed.apply_page(is_snapshot=not seen, **step)
            else:
                await followed.pass_time(step)
            now_s = boot_time_s()
            followed.state.rollouts.release_unannounced_versions(now_s)
            seen.append(sorted(each.incarnation for each in eligible_backends(followed.state, "svc", now_s)))
        return seen

    return run_virtual(work())


def test_back_end_of_an_unannounced_version_gets_no_requests_for_two_seconds():
    seen = usable_after([{"a": b"v1"}, {"b": b"v2"}, 1.5, 0.5])
    assert seen == [["a"], ["a"], ["a"], ["a", "b"]]


def test_back_ends_of_several_versions_found_at_the_start_get_requests_at_once():
    assert usable_after([{"a": b"v1", "b": b"v2"}]) == [["a", "b"]]


def test_slow_start_time_counts_from_when_the_entry_was_first_read():
    async def work():
        followed = VersionedFollowedRows()
        followed.apply_page(is_snapshot=True, a=b"v1@3")
        seen_s = boot_time_s()
        await followed.pass_time(1.0)
        followed.apply_page(a=b"v1@3")
        return followed.state.backends.get("a").slow_until_s - seen_s

    assert run_virtual(work()) == 3.0
