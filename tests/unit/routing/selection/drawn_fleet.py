"""Back ends in drawn states, for tests of decisions over them."""

from __future__ import annotations

from hypothesis import strategies as st

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.topology import Topology
from wallwell.deployment.weights import WeightsTargets
from wallwell.routing.health.backend import Backend, LoadInProgress

NOW_S = 100.0
MODEL = "m"
ZONES = ("z1", "z2", "z3", "z4")
REGIONS = {"z1": "a", "z2": "a", "z3": "b", "z4": "b"}

TIMES_S = st.sampled_from([NOW_S - 9, NOW_S - 7.5, NOW_S - 7, NOW_S - 1, NOW_S, NOW_S + 1])
RARELY = st.sampled_from([False, False, False, True])


@st.composite
def backends(draw, min_size=0, max_size=12, all_open=False, is_fleet_heard=None):
    """Draw the listed back ends of a service, in the order of their identities."""
    count = draw(st.integers(min_size, max_size))
    heard = draw(st.booleans()) if is_fleet_heard is None else is_fleet_heard
    return [_backend(draw, index, all_open, heard) for index in range(count)]


def _backend(draw, index, all_open, heard):
    version = draw(st.integers(0, 3))
    record = BackendRecord(
        f"i-{index:02}",
        "svc",
        f"10.0.0.{index}:80",
        draw(st.sampled_from(ZONES)),
        draw(st.sampled_from([0, 1, 4, 8, 64])),
        draining=not all_open and draw(RARELY),
    )
    backend = Backend(record, load=draw(st.integers(0, 20)), versions={MODEL: version} if version else {})
    if heard:
        backend.peers_load = draw(st.integers(0, 90))
    if draw(RARELY):
        backend.loading = LoadInProgress(MODEL, draw(st.integers(1, 4)), draw(TIMES_S), draw(TIMES_S))
    if not all_open:
        backend.suspended_until_s = draw(TIMES_S)
        backend.superseded, backend.gone = draw(RARELY), draw(RARELY)
        backend.leaving_since_s = draw(st.none() | TIMES_S) if draw(RARELY) else None
        if draw(RARELY):
            backend.backoff.on_requested(1.0, draw(TIMES_S))
            backend.backoff.on_sent(draw(TIMES_S))
        backend.lapses_at_s = draw(st.none() | TIMES_S)
    return backend


@st.composite
def weights_targets(draw):
    """Draw which versions were named when, some of them found at the node's start."""
    targets = WeightsTargets()
    for version in sorted(draw(st.sets(st.integers(1, 4)))):
        targets.add_version(MODEL, version, draw(TIMES_S), estimated=draw(RARELY))
    return targets


@st.composite
def topologies(draw):
    """Draw where a node stands, with or without regions."""
    zone = draw(st.sampled_from(ZONES))
    return Topology(zone, REGIONS if draw(st.booleans()) else {})
