"""When a node counts a service as one none of whose back ends it can connect to."""

from __future__ import annotations

from wallwell.deployment.backends import BackendRecord
from wallwell.routing.health.backend import Backend
from wallwell.routing.health.reachability import ServiceReachability


def backends(*names):
    return [Backend(BackendRecord(name, "svc", f"10.0.0.1:{index}", "z", 8)) for index, name in enumerate(names)]


def test_service_is_unreachable_once_connections_to_all_its_back_ends_failed():
    reachability = ServiceReachability()
    listed = backends("a", "b")
    assert not reachability.on_connect_failed(listed[0], listed, 1.0)
    assert not reachability.on_connect_failed(listed[0], listed, 1.5)
    assert reachability.on_connect_failed(listed[1], listed, 2.0)
    assert not reachability.on_connect_failed(listed[1], listed, 2.1), "reported once"
    assert reachability.unreachable_services() == {"svc"}
    assert listed[0].unreachable_since_s == 1.0


def test_first_back_end_that_is_reached_ends_it():
    reachability = ServiceReachability()
    listed = backends("a", "b")
    for each in listed:
        reachability.on_connect_failed(each, listed, 1.0)
    assert reachability.on_reached(listed[1])
    assert not reachability.on_reached(listed[0])
    assert not reachability.unreachable_services()


def test_leaving_back_ends_do_not_count():
    reachability = ServiceReachability()
    listed = backends("a", "b")
    listed[1].leaving_since_s = 0.5
    assert reachability.on_connect_failed(listed[0], listed, 1.0)
