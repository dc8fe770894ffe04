"""Targets of faults on links name what the proxy harms."""

import pytest

from wallwell.soak.faults import LINK_HARMS, STORE_SWITCHES, link_of
from wallwell.soak.fleet import REGION_DELAY_S, sound_link
from wallwell.soak.schedule import LINK_FAULTS, REGION_FAULTS, STORE_FAULTS, FaultKind, Shape


@pytest.mark.parametrize(
    ("target", "link", "node"),
    [
        ("node-1>store", "node-1>store", ""),
        ("all>engine-0", "engine-0", ""),
        ("node-1>engine-0", "engine-0", "node-1"),
        ("regions", "regions", ""),
    ],
)
def test_a_target_names_a_link_and_whose_connections(target, link, node):
    assert link_of(target) == (link, node)


def test_every_link_that_a_schedule_may_name_is_one_that_the_proxy_has():
    shape = Shape()
    opened = {f"{node}>store" for node in shape.node_names()} | set(shape.worker_names())
    assert {link_of(target)[0] for target in shape.links()} == opened


def test_every_fault_of_store_and_links_has_its_switches():
    assert set(LINK_HARMS) == set(LINK_FAULTS) | set(REGION_FAULTS)
    assert set(STORE_SWITCHES) | {FaultKind.STORE_FORGETS} == set(STORE_FAULTS)


def test_what_lies_between_regions_stays_slow_without_a_fault():
    assert sound_link("regions").delay_s == REGION_DELAY_S
    assert sound_link("engine-0", "node-1").delay_s == 0
