"""Totals of answers, summed over nodes and their incarnations."""

from wallwell.rollout.model import AnswerCounts, RolloutCounts
from wallwell.rollout.totals import Totals, merge_counts


def test_totals_of_nodes_are_summed_by_route_version_and_back_end():
    first = RolloutCounts(
        7,
        10,
        2,
        (
            AnswerCounts("a", False, "", 10, 1, 2, {3: 4}, {1: 1}),
            AnswerCounts("a", True, "t1", 2, 0, 0, {3: 2}),
        ),
    )
    second = RolloutCounts(7, 5, 1, (AnswerCounts("a", False, "", 5, 0, 1, {3: 1, 4: 4}),))
    assert merge_counts([first, second], 7) == RolloutCounts(
        7,
        15,
        3,
        (
            AnswerCounts("a", False, "", 15, 1, 3, {3: 5, 4: 4}, {1: 1}),
            AnswerCounts("a", True, "t1", 2, 0, 0, {3: 2}),
        ),
    )


def test_totals_of_another_order_are_ignored():
    assert merge_counts([RolloutCounts(6, 10, 2), RolloutCounts(7, 1, 1)], 7) == RolloutCounts(7, 1, 1)


def test_no_parts_give_empty_counts():
    assert merge_counts([], 7) == RolloutCounts(7)


def test_quantiles_and_tail_counts_by_bucket():
    totals = Totals(
        RolloutCounts(1, answers=(AnswerCounts("a", False, "", 10, first_delays={2: 5, 4: 4, 9: 1}),)), 0.0
    )
    key = ("a", False, "")
    assert totals.quantile(key, "first_delays", 0.5) == 2
    assert totals.quantile(key, "first_delays", 0.9) == 4
    assert totals.quantile(key, "piece_gaps", 0.9) is None
    assert totals.count_above(key, "first_delays", 4) == (1, 10)
    assert totals.count_above(("b", True, "x"), "first_delays", 4) == (0, 0)
    assert totals.current_routes() == ["a"]
    assert totals.count_answered("a", False) == 10
