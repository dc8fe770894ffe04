"""What a relay's reported totals add to its previous report."""

import pytest

from wallwell.routing.admission.relay_spending import RELAY_SILENCE_S, RelaySpending


@pytest.mark.parametrize(
    ("node_incarnation", "totals", "after_s", "expected"),
    [
        (1, {"t": 150}, 0.25, {"t": 50}),
        (1, {"t": 80}, 0.25, {"t": -20}),
        (1, {"t": 100, "u": 7}, 0.25, {"t": 0, "u": 7}),
        (2, {"t": 150}, 0.25, {}),
        (1, {"t": 150}, RELAY_SILENCE_S, {"t": 50}),
        (1, {"t": 150}, RELAY_SILENCE_S + 0.01, {}),
    ],
    ids=["more spent", "refunded", "another tenant", "relay restarted", "just before silence", "after a silence"],
)
def test_amounts_added_by_a_report(node_incarnation, totals, after_s, expected):
    spending = RelaySpending()
    assert spending.on_report("r", 1, {"t": 100}, 0.0) == {}
    assert spending.on_report("r", node_incarnation, totals, after_s) == expected
