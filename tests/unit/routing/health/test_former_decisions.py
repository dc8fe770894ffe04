"""Silences and suspected zones are decided as by the modules before, with the same random draws."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.routing.health import former_silence, former_zone_suspicion
from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.silence import Silence
from wallwell.routing.health.zone_suspicion import ZoneSuspicion

WAITS_S = st.one_of(st.floats(0.0, 0.6), st.floats(0.0, 5.0), st.just(0.0), st.just(0.5), st.just(2.0))


@given(st.lists(st.tuples(st.sampled_from(["sent", "heard", "due"]), WAITS_S), max_size=60))
@settings(max_examples=500)
def test_silences(steps):
    new, old, now_s = Silence(), former_silence.Silence(), 100.0
    for event, waited_s in steps:
        now_s += waited_s
        if event == "due":
            assert new.begin_probe_if_due(now_s) == old.should_ask(now_s)
        for each in (new, old):
            if event == "sent":
                each.on_idle_ended(now_s)
            elif event == "heard":
                each.on_heard(now_s)
        assert (new.heard_s, new.sent_s, new.usual_s(now_s)) == (old.heard_s, old.sent_s, old.usual_s(now_s))


def listed():
    return [
        Backend(BackendRecord(f"{zone}{number}", "svc", f"{zone}{number}:1", zone, 8))
        for zone in ("a", "b", "")
        for number in range(4)
    ]


EVENTS = st.sampled_from(["timeout", "timeout", "timeout", "answer", "probe", "probe", "failure", "gone"])


@given(st.integers(0, 99), st.lists(st.tuples(EVENTS, st.integers(0, 11), WAITS_S), max_size=60))
@settings(max_examples=500)
def test_zones(seed, steps):
    sides = []
    for suspicion in (ZoneSuspicion, former_zone_suspicion.ZoneSuspicion):
        rng, returned = random.Random(seed), []
        zones = suspicion(rng)
        zones.on_return = returned.append
        probe = zones.begin_probes if suspicion is ZoneSuspicion else zones.to_ask
        sides.append((zones, listed(), rng, returned, probe))
    now_s = 100.0
    for event, index, waited_s in steps:
        now_s += waited_s
        seen = []
        for zones, backends, rng, returned, probe in sides:
            backend, result = backends[index], None
            if event == "timeout":
                result = zones.on_connect_timeout(backend, backends, now_s)
            elif event == "answer":
                result = zones.on_answer(backend, backends, now_s)
            elif event == "probe":
                result = [each.incarnation for each in probe(backends, now_s)]
            elif event == "failure":
                backend.on_failure(now_s, unreachable=True)
            else:
                backend.gone = not backend.gone
            state = [(each.suspended_until_s, each.consecutive_failures) for each in backends]
            seen.append((result, state, list(returned), rng.getstate()))
        assert seen[0] == seen[1]
