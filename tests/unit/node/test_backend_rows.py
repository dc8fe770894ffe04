"""Entries of back ends that go missing: at once, or after the store was away, when living ones come back."""

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
from wallwell.node.backend_rows import LAPSE_GRACE_S, RESTORED_ENTRIES_S, BackendRows
from wallwell.routing.health.backend_notice import BackendNotice
from wallwell.routing.health.backend_registry import BackendRegistry
from wallwell.serving.version_choice import eligible_backends
from wallwell.storage.feed import FeedPage, FeedRow, FollowedPage

AWAY_S = 5.0


class Sources:
    """Decodes a row's value as the back end's state."""

    @staticmethod
    def decode_backend(incarnation, value):
        state, _, address = value.decode().partition("@")
        return BackendRecord(incarnation, "svc", address or incarnation, "z", 8, draining=state == "draining")


class CoolingSources:
    """Decodes a row's value as how long the back end is still slow, and its state."""

    @staticmethod
    def decode_backend(incarnation, value):
        slow_for_s, _, state = value.decode().partition(" ")
        draining = state == "draining"
        return BackendRecord(incarnation, "svc", incarnation, "z", 8, draining, slow_for_s=float(slow_for_s))


class StartedSources:
    """Decodes a row's value as when the back end started, and its state."""

    @staticmethod
    def decode_backend(incarnation, value):
        started, _, state = value.decode().partition(" ")
        return BackendRecord(incarnation, "svc", "a", "z", 8, state == "draining", started_unix_ms=int(started))


def test_a_back_end_is_not_logged_as_changed_while_it_becomes_warm(monkeypatch):
    """Its entry changes with each heartbeat then: 250 lines a node in 36 s with 30 back ends."""
    listed = []
    monkeypatch.setattr(backend_rows, "emit", lambda event, **fields: listed.append((event, fields["draining"])))
    rows = BackendRows(make_state(backends=0), CoolingSources(), ConnectionPool("X", 1.0, 1.0))
    for value in (b"2.0 ready", b"1.0 ready", b"0.0 ready", b"0.0 draining"):
        rows.apply(FollowedPage(FeedPage((FeedRow("a", value, 1),), 1, 0.0), False, 0.0, 0.0))
    assert listed == [(Event.BACKEND_LISTED, False), (Event.BACKEND_LISTED, True)]


class Followed:
    """A follower's pages: rows by key, None for a missing one."""

    def __init__(self):
        self.state = make_state(backends=0)
        self.rows = BackendRows(self.state, Sources(), ConnectionPool("X", 1.0, 1.0))
        self.confirmed_s = float("-inf")

    def take(self, whole=False, restored=False, **rows):
        now_s = boot_time_s()
        page = tuple(FeedRow(key, value, 1) for key, value in rows.items())
        self.rows.apply(FollowedPage(FeedPage(page, 1, 0.0), whole, now_s, self.confirmed_s, restored))
        self.confirmed_s = now_s

    def take_copy(self, **rows):
        """Take the whole listing of a store that has come back from a copy a moment ago."""
        era = self.state.store_era
        era.observe((era.observed_era or 0) + 1, boot_time_s())
        self.take(whole=True, restored=True, **rows)

    def open(self):
        now_s = boot_time_s()
        return sorted(
            each.incarnation for each in self.state.backends.backends_of_service("svc") if each.is_open(now_s)
        )

    async def pass_time(self, seconds, told=True):
        """Let time pass; a store that is there tells every half a second that nothing has changed."""
        for _ in range(round(seconds / 0.5)):
            await asyncio.sleep(0.5)
            if told:
                self.take()
            else:
                self.rows.drop_lapsed(boot_time_s())


def play(scenario):
    async def work():
        followed = Followed()
        followed.take(whole=True, a=b"ready", b=b"ready", c=b"draining")
        await followed.pass_time(2.0)
        return await scenario(followed)

    return run_virtual(work())


def test_a_back_end_that_leaves_gets_nothing_at_once():
    async def scenario(followed):
        followed.take(a=None)
        return followed.open()

    assert play(scenario) == ["b"]


def test_an_entry_that_says_otherwise_later_does_not_bring_a_leaving_back_end_back():
    """After an outage the store may list as ready what has said in its answers that it leaves."""

    async def scenario(followed):
        state = followed.state
        apply_notice(state, "a", BackendNotice(leaving=True))
        seen = [followed.open()]
        await followed.pass_time(AWAY_S, told=False)
        followed.take(whole=True, a=b"ready", b=b"ready", c=b"ready")
        seen.append(followed.open())
        followed.take(a=None)
        followed.take(a=b"ready")
        seen.append(followed.open())
        return seen

    assert play(scenario) == [["b"], ["b"], ["b"]]


def test_a_back_end_that_has_gone_does_not_return_with_the_listing_of_a_copy():
    """Seen by reading: it serves on for some seconds after its entry went, and must get nothing."""

    async def scenario(followed):
        followed.take(a=None)
        followed.take_copy(a=b"ready", b=b"ready", c=b"draining")
        seen = [followed.open()]
        await followed.pass_time(RESTORED_ENTRIES_S - 1.0)
        seen.append(followed.open())
        followed.take(a=None)
        await followed.pass_time(2.0)
        return [*seen, followed.open()]

    assert play(scenario) == [["b"], ["b"], ["b"]]


@pytest.mark.parametrize("writes", [True, False], ids=["its entry changes", "its entry stays"])
def test_a_back_end_that_lives_although_its_entry_had_gone_is_used_again_after_a_restore(writes):
    async def scenario(followed):
        followed.take(a=None)
        followed.take_copy(a=b"ready", b=b"ready", c=b"draining")
        if writes:
            followed.take(a=b"ready")
        else:
            await followed.pass_time(RESTORED_ENTRIES_S + 0.5)
        return followed.open()

    assert play(scenario) == ["a", "b"]


@pytest.mark.parametrize("writes", [True, False], ids=["written again in time", "not written again"])
def test_a_back_end_that_the_copy_lacks_is_used_until_its_entry_must_be_written_again(writes):
    """The store may have been away for a moment only, too short to count as an outage."""

    async def scenario(followed):
        followed.take_copy(b=b"ready")
        seen = [followed.open()]
        await followed.pass_time(LAPSE_GRACE_S - 0.5)
        seen.append(followed.open())
        if writes:
            followed.take(a=b"ready", c=b"draining")
        await followed.pass_time(1.0)
        return [*seen, followed.open()]

    assert play(scenario) == [["a", "b"], ["a", "b"], ["a", "b"] if writes else ["b"]]


def test_a_back_end_that_leaves_does_not_stay_because_the_copy_says_that_it_is_ready():
    async def scenario(followed):
        followed.take(a=b"draining")
        followed.take_copy(a=b"ready", b=b"ready", c=b"ready")
        return followed.open()

    assert play(scenario) == ["b"]


def test_an_engine_does_not_go_back_to_the_weights_that_a_copy_names():
    registry = BackendRegistry()
    for version in (2, 3, 2):
        backend = registry.upsert(BackendRecord("e", "llm", "e", "z", 8, versions={"m": version}))
    assert backend.believed_version("m") == 3


def test_an_entry_does_not_take_back_the_weights_that_an_answer_has_told_of():
    """A changed entry with older versions had requests sent that the engine then refused."""
    registry = BackendRegistry()
    backend = registry.upsert(BackendRecord("e", "llm", "e", "z", 8, versions={"m": 1}))
    backend.set_believed_version("m", 3)
    registry.upsert(BackendRecord("e", "llm", "e", "z", 9, versions={"m": 2}))
    assert backend.believed_version("m") == 3


def test_a_start_that_leaves_since_before_its_entry_told_of_it_is_not_used_for_another_while():
    """Found by a soak: it had started again while the store was away, and its answers said so at once."""
    registry = BackendRegistry()
    first = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, started_unix_ms=1000))
    registry.on_leaving(first, 10.0)
    again = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, draining=True, started_unix_ms=2000))
    assert again.leaving_since_s == 10.0
    ready = registry.upsert(BackendRecord("a", "svc", "a", "z", 8, started_unix_ms=3000))
    assert ready.leaving_since_s is None


def test_late_news_of_an_earlier_start_is_not_logged_as_a_change(monkeypatch):
    listed, forgotten = [], []
    monkeypatch.setattr(backend_rows, "emit", lambda event, **fields: listed.append(fields["draining"]))
    pool = ConnectionPool("X", 1.0, 1.0)
    pool.forget = forgotten.append
    rows = BackendRows(make_state(backends=0), StartedSources(), pool)
    for value in (b"1000 ready", b"2000 ready", b"1000 draining", b"2000 draining"):
        rows.apply(FollowedPage(FeedPage((FeedRow("a", value, 1),), 1, 0.0), False, 0.0, 0.0))
    assert listed == [False, False, True]
    assert forgotten == ["a"]


def test_a_notice_is_logged_once_and_one_of_an_unlisted_back_end_is_ignored(monkeypatch):
    lines = []
    monkeypatch.setattr(backend_notices, "emit", lambda event, **fields: lines.append((event, fields["backend"])))

    async def scenario(followed):
        for _ in range(3):
            apply_notice(followed.state, "a", BackendNotice(leaving=True, backoff_s=1.0))
            apply_notice(followed.state, "unlisted", BackendNotice(leaving=True, backoff_s=1.0))
        await asyncio.sleep(1.1)
        apply_notice(followed.state, "a", BackendNotice(backoff_s=1.0))

    play(scenario)
    assert lines == [
        (Event.BACKEND_ANNOUNCED_LEAVING, "a"),
        (Event.BACKEND_REQUESTED_BACKOFF, "a"),
        (Event.BACKEND_REQUESTED_BACKOFF, "a"),
    ]


@pytest.mark.parametrize("whole", [True, False], ids=["whole reading", "changes"])
def test_living_back_ends_serve_on_while_their_entries_come_back(whole):
    async def scenario(followed):
        await followed.pass_time(AWAY_S, told=False)
        followed.take(whole=True) if whole else followed.take(a=None, b=None, c=None)
        seen = [followed.open()]
        await followed.pass_time(1.0)
        followed.take(a=b"ready")
        seen.append(followed.open())
        await followed.pass_time(LAPSE_GRACE_S)
        seen.append(followed.open())
        return seen

    assert play(scenario) == [["a", "b"], ["a", "b"], ["a"]]


def test_one_that_goes_missing_shortly_after_the_return_is_gone_at_the_same_time():
    async def scenario(followed):
        await followed.pass_time(AWAY_S, told=False)
        followed.take()
        await followed.pass_time(1.5)
        followed.take(a=None)
        seen = [followed.open()]
        await asyncio.sleep(LAPSE_GRACE_S - 1.5)
        followed.take()
        seen.append(followed.open())
        await followed.pass_time(1.0)
        followed.take(b=None)
        return [*seen, followed.open()]

    assert play(scenario) == [["a", "b"], ["b"], []]


def test_a_lapsed_one_is_forgotten_also_when_the_store_is_away_again():
    async def scenario(followed):
        await followed.pass_time(AWAY_S, told=False)
        followed.take(whole=True)
        await followed.pass_time(2.5, told=False)
        return [each.incarnation for each in followed.state.backends.all_backends()]

    assert play(scenario) == []


def test_a_restarted_back_end_gets_what_its_ended_incarnation_got_although_both_are_listed():
    """Found on a deployment of 59 engines: 813 requests were refused by the successors of crashed incarnations."""

    async def scenario(followed):
        followed.take(d=b"ready@a")
        return followed.open()

    assert play(scenario) == ["b", "d"]


@pytest.mark.parametrize("names", ["dz", "zd"])
def test_a_node_that_starts_knows_which_of_two_incarnations_is_the_later_one(names):
    async def work():
        followed = Followed()
        rows = tuple(FeedRow(name, b"ready@same", version) for version, name in enumerate(names, start=1))
        now_s = boot_time_s()
        page = tuple(sorted(rows, key=lambda row: row.key))
        followed.rows.apply(FollowedPage(FeedPage(page, 2, 0.0), True, now_s, now_s))
        return followed.open()

    assert run_virtual(work()) == [names[1]]


class VersionedSources:
    """Decodes a row's value as software version and seconds for which the back end is still slow."""

    @staticmethod
    def decode_backend(incarnation, value):
        software, _, slow_for_s = value.decode().partition("@")
        return BackendRecord(
            incarnation, "svc", incarnation, "z", 8, software=software, slow_for_s=float(slow_for_s or 0)
        )


class VersionedFollowed(Followed):
    def __init__(self):
        super().__init__()
        self.state.backends_known = False
        self.rows = BackendRows(self.state, VersionedSources(), ConnectionPool("X", 1.0, 1.0))


def usable_after(steps):
    """Return the back ends that take requests after each step of a scenario: pages, or seconds that pass."""

    async def work():
        followed = VersionedFollowed()
        seen = []
        for step in steps:
            if isinstance(step, dict):
                followed.take(whole=not seen, **step)
            else:
                await followed.pass_time(step)
            now_s = boot_time_s()
            followed.state.rollouts.release_unannounced_versions(now_s)
            seen.append(sorted(each.incarnation for each in eligible_backends(followed.state, "svc", now_s)))
        return seen

    return run_virtual(work())


def test_a_back_end_of_a_version_that_nobody_named_gets_nothing_for_two_seconds():
    seen = usable_after([{"a": b"v1"}, {"b": b"v2"}, 1.5, 0.5])
    assert seen == [["a"], ["a"], ["a"], ["a", "b"]]


def test_back_ends_of_several_versions_found_at_the_start_get_requests_at_once():
    assert usable_after([{"a": b"v1", "b": b"v2"}]) == [["a", "b"]]


def test_a_back_end_counts_as_slow_from_when_its_entry_was_seen():
    async def work():
        followed = VersionedFollowed()
        followed.take(whole=True, a=b"v1@3")
        seen_s = boot_time_s()
        await followed.pass_time(1.0)
        followed.take(a=b"v1@3")
        return followed.state.backends.get("a").slow_until_s - seen_s

    assert run_virtual(work()) == 3.0
