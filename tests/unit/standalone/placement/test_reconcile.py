"""Which engines load next, and which weights version serves requests meanwhile."""

import pytest

from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.config.schema import ModelSpec
from wallwell.standalone.placement.reconcile import engines_to_load, engines_to_use

NAMES = ["e1", "e2", "e3", "e4", "e5", "e6"]


def serving(**versions):
    return {name: EngineRecord(name, f"i-{name}", (("m", version),)) for name, version in versions.items()}


ALL_OLD = dict.fromkeys(NAMES, "1")


@pytest.mark.parametrize(
    ("versions", "loading", "min_serving", "slots", "ordered"),
    [
        (ALL_OLD, (), 4, 2, ["e1", "e2"]),
        (ALL_OLD, (), 5, 2, ["e1"]),  # min_serving allows one engine to load
        (ALL_OLD, (), 6, 2, []),
        (ALL_OLD, ("e1",), 4, 2, ["e2"]),
        ({**ALL_OLD, "e1": "2", "e2": "2"}, (), 4, 2, ["e3", "e4"]),
        (dict.fromkeys(NAMES, "2"), (), 1, 2, []),  # all engines have the declared version
        (dict.fromkeys(NAMES[:4], "1"), (), 4, 2, []),  # min_serving is reached: two engines are not serving
        (dict.fromkeys(NAMES[:4], "1"), ("e5", "e6"), 2, 2, []),  # both load slots are in use
        ({}, (), 1, 2, []),
    ],
)
def test_loads_respect_load_slots_and_min_serving(versions, loading, min_serving, slots, ordered):
    spec = ModelSpec("2", min_serving=min_serving)
    assert engines_to_load("m", spec, NAMES, serving(**versions), loading, slots) == ordered


@pytest.mark.parametrize(
    ("versions", "version", "engines"),
    [
        (ALL_OLD, "1", NAMES),
        ({**ALL_OLD, "e1": "2"}, "1", NAMES[1:]),
        ({**dict.fromkeys(NAMES[:3], "2"), **dict.fromkeys(NAMES[3:], "1")}, "2", NAMES[:3]),
        (dict.fromkeys(NAMES, "2"), "2", NAMES),
        ({}, "2", []),
    ],
)
def test_requests_run_on_a_single_version(versions, version, engines):
    version_in_use, incarnations = engines_to_use("m", ModelSpec("2", min_serving=4), serving(**versions))
    assert (version_in_use, sorted(incarnations)) == (version, engines)
