"""What a relay's totals add to what is known to be spent."""

import pytest

from wallwell.routing.admission.relay_spending import RELAY_SILENCE_S, RelaySpending


@pytest.mark.parametrize(
    ("life", "totals", "after_s", "new"),
    [
        (1, {"t": 150}, 0.25, {"t": 50}),
        (1, {"t": 80}, 0.25, {"t": -20}),
        (1, {"t": 100, "u": 7}, 0.25, {"t": 0, "u": 7}),
        (2, {"t": 150}, 0.25, {}),
        (1, {"t": 150}, RELAY_SILENCE_S, {"t": 50}),
        (1, {"t": 150}, RELAY_SILENCE_S + 0.01, {}),
    ],
    ids=["more", "refunded", "another tenant", "restarted", "last moment", "after a silence"],
)
def test_what_is_new_in_a_report(life, totals, after_s, new):
    spending = RelaySpending()
    assert spending.add_report("r", 1, {"t": 100}, 0.0) == {}
    assert spending.add_report("r", life, totals, after_s) == new
