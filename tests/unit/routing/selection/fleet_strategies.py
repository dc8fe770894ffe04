"""Hypothesis strategies for back ends in arbitrary states, weights targets and topologies."""

from __future__ import annotations

from hypothesis import strategies as st

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.topology import Topology
from wallwell.deployment.weights import WeightsTargets
from wallwell.routing.health.backend import Backend, ExpectedWeightsLoad

NOW_S = 100.0
MODEL = "m"
ZONES = ("z1", "z2", "z3", "z4")
REGIONS = {"z1": "a", "z2": "a", "z3": "b", "z4": "b"}

TIMES_S = st.sampled_from([NOW_S - 9, NOW_S - 7.5, NOW_S - 7, NOW_S - 1, NOW_S, NOW_S + 1])
RARELY_TRUE = st.sampled_from([False, False, False, True])


@st.composite
def backends(draw, min_size=0, max_size=12, all_open=False, has_peer_loads=None):
    """Draw the listed back ends of a service, sorted by incarnation."""
    count = draw(st.integers(min_size, max_size))
    has_loads = draw(st.booleans()) if has_peer_loads is None else has_peer_loads
    return [_backend(draw, index, all_open, has_loads) for index in range(count)]


def _backend(draw, index, all_open, has_loads):
    version = draw(st.integers(0, 3))
    record = BackendRecord(
        f"i-{index:02}",
        "svc",
        f"10.0.0.{index}:80",
        draw(st.sampled_from(ZONES)),
        draw(st.sampled_from([0, 1, 4, 8, 64])),
        draining=not all_open and draw(RARELY_TRUE),
    )
    backend = Backend(record, load=draw(st.integers(0, 20)), versions={MODEL: version} if version else {})
    if has_loads:
        backend.peers_load = draw(st.integers(0, 90))
    if draw(RARELY_TRUE):
        backend.expected_load = ExpectedWeightsLoad(MODEL, draw(st.integers(1, 4)), draw(TIMES_S), draw(TIMES_S))
    if not all_open:
        backend.suspended_until_s = draw(TIMES_S)
        backend.superseded, backend.gone = draw(RARELY_TRUE), draw(RARELY_TRUE)
        backend.leaving_since_s = draw(st.none() | TIMES_S) if draw(RARELY_TRUE) else None
        if draw(RARELY_TRUE):
            backend.backoff.on_requested(1.0, draw(TIMES_S))
            backend.backoff.on_sent(draw(TIMES_S))
        backend.lapses_at_s = draw(st.none() | TIMES_S)
    return backend


@st.composite
def weights_targets(draw):
    """Draw named weights versions with times, some of which are estimated since a node found them at its start."""
    targets = WeightsTargets()
    for version in sorted(draw(st.sets(st.integers(1, 4)))):
        targets.add_version(MODEL, version, draw(TIMES_S), estimated=draw(RARELY_TRUE))
    return targets


@st.composite
def topologies(draw):
    """Draw the zone of a node, with or without regions."""
    zone = draw(st.sampled_from(ZONES))
    return Topology(zone, REGIONS if draw(st.booleans()) else {})
