"""For how long a back end is left out after failures."""

from hypothesis import given
from hypothesis import strategies as st

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.suspension import answered_recently, suspended_until_s

RECORD = BackendRecord("i-1", "s", "a:1", "z", 4)
STEPS = st.lists(st.tuples(st.sampled_from(["success", "failed", "unreachable"]), st.floats(0.0, 8.0)), max_size=40)


@given(STEPS)
def test_decisions_equal_those_of_the_back_end_over_any_sequence_of_events(steps):
    backend = Backend(RECORD)
    failures, until_s, success_s, now_s = 0, 0.0, float("-inf"), 100.0
    for event, waited_s in steps:
        now_s += waited_s
        assert answered_recently(success_s, now_s) == backend.is_answering(now_s)
        if event == "success":
            backend.on_success(now_s)
            failures, success_s = 0, now_s
            continue
        failures += 1
        decided_s = suspended_until_s(failures, event == "unreachable", now_s)
        assert backend.on_failure(now_s, unreachable=event == "unreachable") == (decided_s is not None)
        until_s = until_s if decided_s is None else decided_s
        assert backend.suspended_until_s == until_s
