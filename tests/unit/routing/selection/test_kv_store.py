"""The replica of a KV store's index follows events with gaps, pages from peers, and restarts of the store."""

import random

import pytest

from wallwell.routing.selection.kv_store import (
    EXPECTED_SAVE_S,
    MAX_JOURNAL_ENTRIES,
    MAX_PENDING_SAVES,
    CacheEntry,
    CachePage,
    CachePosition,
    KvStoreContents,
)
from wallwell.routing.selection.prefix_home import PromptPart

GUIDE = PromptPart("guide", 2520)
CASE = PromptPart("case", 3780)
OWN = PromptPart("own", 2890)
PROMPT = (GUIDE, CASE, OWN)


def page(*entries, epoch=7, last=None, whole=False):
    last = entries[-1][0] if last is None else last
    return CachePage(CachePosition(epoch, last), tuple(CacheEntry(*each) for each in entries), whole)


def cache(*entries, last=10):
    contents = KvStoreContents()
    contents.apply_page(page(*((last, *each) for each in entries), last=last, whole=True))
    return contents


@pytest.mark.parametrize(
    ("held", "expected"),
    [
        ([], False),
        ([("s", "guide", 2520)], False),
        ([("s", "guide", 2520), ("s", "case", 3780)], True),
        ([("s", "guide", 2512), ("s", "case", 3776)], True),
        ([("s", "guide", 2520), ("s", "case", 1024)], False),
        ([("s", "guide", 2520), ("other", "case", 3780)], False),
    ],
    ids=["nothing", "first part", "both", "without the last block", "partly evicted", "another scope"],
)
def test_a_prefix_is_held_if_every_shared_part_is_held(held, expected):
    contents = cache(*held)
    assert contents.holds("s", PROMPT[:-1]) is expected
    assert contents.begin_save_if_needed("s", PROMPT, 0.0) is not expected


def test_a_save_is_repeated_only_if_it_was_not_reported_in_time():
    contents = cache()
    answers = [contents.begin_save_if_needed("s", PROMPT, now_s) for now_s in (0.0, 0.1, EXPECTED_SAVE_S + 0.1)]
    assert answers == [True, False, True]


def test_the_last_part_is_saved_only_if_it_is_the_whole_prompt():
    contents = cache(("s", "guide", 2520), ("s", "case", 3780))
    assert not contents.begin_save_if_needed("s", PROMPT, 0.0)
    assert contents.begin_save_if_needed("s", (OWN,), 0.0)


def test_the_number_of_pending_saves_is_bounded():
    contents = cache()
    for index in range(3 * MAX_PENDING_SAVES):
        contents.begin_save_if_needed("s", (PromptPart(str(index), 100), OWN), index * 0.01)
    assert len(contents._saving_until_s) <= MAX_PENDING_SAVES


def test_events_add_and_evict_parts():
    contents = cache()
    contents.apply_page(page((11, "s", "guide", 2520), (12, "s", "case", 3780)))
    assert contents.holds("s", PROMPT[:-1])
    contents.apply_page(page((13, "s", "case", 128)))
    assert not contents.holds("s", PROMPT[:-1])
    contents.apply_page(page((14, "s", "case", 0)))
    assert (contents.position, contents.has_gaps) == (CachePosition(7, 14), False)


@pytest.mark.parametrize(
    "missing",
    [page((12, "s", "case", 1)), page(last=12), page((11, "s", "case", 1), (13, "s", "case", 2))],
    ids=["first", "all", "between"],
)
def test_a_missing_event_is_a_gap_until_the_whole_index_is_read(missing):
    contents = cache()
    contents.apply_page(missing)
    assert contents.has_gaps
    contents.apply_page(page((13, "s", "guide", 2520), whole=True))
    assert not contents.has_gaps


@pytest.mark.parametrize(
    "old",
    [page((9, "s", "case", 0)), page((9, "s", "x", 5), whole=True), page((40, "s", "case", 0), epoch=6)],
    ids=["events", "listing", "earlier epoch"],
)
def test_an_older_page_is_ignored(old):
    contents = cache(("s", "guide", 2520), ("s", "case", 3780))
    contents.apply_page(old)
    assert contents.holds("s", PROMPT[:-1])
    assert contents.position == CachePosition(7, 10)


def test_a_restarted_store_is_empty():
    contents = cache(("s", "guide", 2520), ("s", "case", 3780))
    contents.apply_page(page(epoch=8, last=0, whole=True))
    assert not contents.holds("s", PROMPT[:-1])
    assert contents.begin_save_if_needed("s", PROMPT, 0.0)


@pytest.mark.parametrize("seed", range(20))
def test_a_peer_that_polls_at_random_times_has_the_same_index(seed):
    rng = random.Random(seed)
    first, peer, number = cache(), KvStoreContents(), 10
    for _ in range(rng.choice((50, MAX_JOURNAL_ENTRIES + 50))):
        number += 1
        first.apply_page(page((number, "s", f"p{rng.randrange(9)}", rng.choice((0, 100)))))
        if rng.random() < 0.05:
            first.apply_page(page((number, "s", "p1", 100), last=number, whole=True))
        if rng.random() < 0.2:
            peer.apply_page(first.changes_since(peer.position))
    peer.apply_page(first.changes_since(peer.position))
    assert peer.position == first.position
    assert peer._tokens_by_part == first._tokens_by_part


def test_a_peer_with_a_newer_position_is_not_reverted():
    ahead, behind = cache(("s", "guide", 2520), ("s", "case", 3780), last=30), cache(last=10)
    ahead.apply_page(behind.changes_since(ahead.position))
    assert ahead.holds("s", PROMPT[:-1])


@pytest.mark.parametrize(
    ("entries", "tokens"),
    [
        ((), 0),
        ((("a", 100),), 100),
        ((("a", 100), ("b", 200)), 300),
        # The incomplete last block of a part may be missing. Tokens after a larger gap cannot be used.
        ((("a", 96), ("b", 200)), 296),
        ((("a", 48), ("b", 200)), 48),
        ((("b", 200),), 0),
    ],
)
def test_held_tokens_are_counted_from_the_beginning_of_the_prompt_to_the_first_gap(entries, tokens):
    contents = KvStoreContents()
    contents.apply_page(page(*((1, "s", part, held) for part, held in entries), last=1, whole=True))
    parts = (PromptPart("a", 100), PromptPart("b", 200))
    assert (contents.held_prefix_tokens("s", parts), contents.held_prefix_tokens("other", parts)) == (tokens, 0)
