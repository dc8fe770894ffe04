"""What a KV store holds: from events with gaps, through peers, over restarts."""

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
    ids=["nothing", "first part", "both", "without the last block", "evicted in part", "another scope"],
)
def test_a_prefix_is_held_if_every_shared_part_is(held, expected):
    contents = cache(*held)
    assert contents.holds("s", PROMPT[:-1]) is expected
    assert contents.begin_save_if_needed("s", PROMPT, 0.0) is not expected


def test_one_save_at_a_time_and_another_if_it_was_not_told_of():
    contents = cache()
    answers = [contents.begin_save_if_needed("s", PROMPT, now_s) for now_s in (0.0, 0.1, EXPECTED_SAVE_S + 0.1)]
    assert answers == [True, False, True]


def test_an_own_part_alone_is_saved_only_if_it_is_the_whole_prompt():
    contents = cache(("s", "guide", 2520), ("s", "case", 3780))
    assert not contents.begin_save_if_needed("s", PROMPT, 0.0)
    assert contents.begin_save_if_needed("s", (OWN,), 0.0)


def test_saves_under_way_do_not_grow_without_bound():
    contents = cache()
    for index in range(3 * MAX_PENDING_SAVES):
        contents.begin_save_if_needed("s", (PromptPart(str(index), 100), OWN), index * 0.01)
    assert len(contents._saving_until_s) <= MAX_PENDING_SAVES


def test_events_change_what_is_held():
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
def test_a_missing_event_is_noticed_until_everything_is_read(missing):
    contents = cache()
    contents.apply_page(missing)
    assert contents.has_gaps
    contents.apply_page(page((13, "s", "guide", 2520), whole=True))
    assert not contents.has_gaps


@pytest.mark.parametrize(
    "old",
    [page((9, "s", "case", 0)), page((9, "s", "x", 5), whole=True), page((40, "s", "case", 0), epoch=6)],
    ids=["events", "listing", "another life"],
)
def test_an_older_word_changes_nothing(old):
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
def test_a_peer_that_asks_now_and_then_has_the_same(seed):
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


def test_a_peer_that_knows_more_is_not_set_back():
    ahead, behind = cache(("s", "guide", 2520), ("s", "case", 3780), last=30), cache(last=10)
    ahead.apply_page(behind.changes_since(ahead.position))
    assert ahead.holds("s", PROMPT[:-1])


@pytest.mark.parametrize(
    ("entries", "tokens"),
    [
        ((), 0),
        ((("a", 100),), 100),
        ((("a", 100), ("b", 200)), 300),
        # The last block may be missing, more may not; what follows a gap cannot be used.
        ((("a", 96), ("b", 200)), 296),
        ((("a", 48), ("b", 200)), 48),
        ((("b", 200),), 0),
    ],
)
def test_what_is_kept_of_a_prompt_counts_from_its_beginning(entries, tokens):
    contents = KvStoreContents()
    contents.apply_page(page(*((1, "s", part, kept_now) for part, kept_now in entries), last=1, whole=True))
    parts = (PromptPart("a", 100), PromptPart("b", 200))
    assert (contents.held_prefix_tokens("s", parts), contents.held_prefix_tokens("other", parts)) == (tokens, 0)
