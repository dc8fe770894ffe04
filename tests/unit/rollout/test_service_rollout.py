"""Selection of the back ends that may get a request, by the phase of the service's rollout."""

import random
from dataclasses import replace

import pytest

from wallwell.deployment.backends import BackendRecord
from wallwell.rollout.model import Phase, RolloutRecord
from wallwell.rollout.service_rollout import ServiceRollout, canary_backends
from wallwell.routing.health.backend import Backend

NOW_S = 100.0


def backend(name, software):
    return Backend(BackendRecord(name, "svc", f"{name}:80", "z", 8, software=software))


OLD = [backend(f"old-{index}", "v1") for index in range(40)]
NEW = [backend(f"new-{index}", "v2") for index in range(20)]


def record(phase=Phase.CANARY, share=0.0, barred=()):
    return RolloutRecord("svc", "v2", 1, 0.0, 30.0, phase, share, barred=barred)


def rollout(phase=Phase.CANARY, share=0.0, record_written_s=NOW_S, barred=(), unannounced=None):
    return ServiceRollout("svc", record(phase, share, barred), unannounced or {}, record_written_s, 2.5)


def names(backends):
    return {each.incarnation for each in backends}


def drawn(each, requests=20_000):
    rng = random.Random(3)
    return sum(each.draws_target(rng, NOW_S) for _ in range(requests)) / requests


@pytest.mark.parametrize(
    ("phase", "share", "part"),
    [
        (Phase.CANARY, 0.0, 0.0),
        (Phase.CANARY, 0.03, 0.03),
        (Phase.SWITCHING, 1.0, 1.0),
        (Phase.COMPLETE, 1.0, 1.0),
        (Phase.ROLLED_BACK, 0.0, 0.0),
    ],
)
def test_requests_are_drawn_by_phase_and_share(phase, share, part):
    assert drawn(rollout(phase, share)) == pytest.approx(part, abs=0.003)


@pytest.mark.parametrize(("phase", "part"), [(Phase.CANARY, 0.0), (Phase.SWITCHING, 0.0), (Phase.COMPLETE, 1.0)])
def test_a_node_without_a_fresh_record_sends_nothing_to_its_target(phase, part):
    assert drawn(rollout(phase, 0.2, record_written_s=NOW_S - 2.5)) == part


@pytest.mark.parametrize(
    ("phase", "share", "prefers_target", "expected"),
    [
        (Phase.CANARY, 0.0, False, ["current", "none"]),
        (Phase.CANARY, 0.05, False, ["current", "canary"]),
        (Phase.CANARY, 0.05, True, ["canary", "current"]),
        (Phase.SWITCHING, 1.0, True, ["target", "current"]),
        (Phase.SWITCHING, 1.0, False, ["current", "target"]),
        (Phase.COMPLETE, 1.0, True, ["target"]),
        (Phase.COMPLETE, 1.0, False, ["target"]),
        (Phase.ROLLED_BACK, 0.0, False, ["current"]),
        (Phase.ROLLED_BACK, 0.0, True, ["current"]),
    ],
)
def test_the_other_version_gets_a_request_only_if_the_phase_allows_it(phase, share, prefers_target, expected):
    barred = ("v1",) if phase is Phase.COMPLETE else ()
    service = rollout(phase, share, barred=barred)
    known = service.groups([*OLD, *NEW], NOW_S)
    groups = {"current": names(OLD), "target": names(NEW), "canary": names(known.canary), "none": set()}
    tiers = service.tiers([*OLD, *NEW], prefers_target, NOW_S)
    assert [names(tier) for tier in tiers] == [groups[each] for each in expected]


@pytest.mark.parametrize(("phase", "is_served"), [(Phase.CANARY, True), (Phase.ROLLED_BACK, False)])
def test_without_current_back_ends_the_target_version_serves_unless_rolled_back(phase, is_served):
    tiers = rollout(phase).tiers(NEW, False, NOW_S)
    assert any(tiers) == is_served


@pytest.mark.parametrize(
    ("share", "current", "target", "count"),
    [(0.05, 40, 20, 3), (0.1, 40, 20, 4), (0.101, 40, 20, 5), (0.1, 40, 2, 2), (0.0, 40, 20, 0), (0.2, 0, 20, 3)],
)
def test_few_target_back_ends_get_canary_requests(share, current, target, count):
    assert len(canary_backends("svc", NEW[:target], current, share)) == count


def test_all_nodes_choose_the_same_canary_back_ends_also_when_the_share_grows():
    few = canary_backends("svc", NEW, 40, 0.1)
    assert canary_backends("svc", list(reversed(NEW)), 40, 0.1) == few
    assert canary_backends("svc", NEW, 40, 0.2)[: len(few)] == few


def test_an_excluded_or_unannounced_version_gets_no_requests():
    others = [backend("a", "v0"), backend("b", "v3")]
    service = rollout(Phase.COMPLETE, barred=("v0",), unannounced={"v3": NOW_S + 1})
    assert names(service.eligible_backends([*others, *NEW], NOW_S)) == names(NEW)
    assert names(service.eligible_backends([*others, *NEW], NOW_S + 1)) == names([others[1], *NEW])


def test_a_version_listed_later_without_an_order_is_used_beside_a_complete_one():
    (tier,) = rollout(Phase.COMPLETE, barred=("v1",)).tiers([*OLD, *NEW, backend("c", "v3")], True, NOW_S)
    assert names(tier) == {*names(NEW), "c"}


@pytest.mark.parametrize(
    ("phase", "share", "record_written_s", "expected"),
    [
        (Phase.CANARY, 0.0, NOW_S, 40),
        (Phase.CANARY, 0.1, NOW_S, 44),
        (Phase.CANARY, 0.1, NOW_S - 9, 40),
        (Phase.SWITCHING, 1.0, NOW_S, 20),
        (Phase.SWITCHING, 1.0, NOW_S - 9, 40),
        (Phase.ROLLED_BACK, 0.0, NOW_S, 40),
    ],
)
def test_eligible_back_ends_are_those_that_get_requests_in_the_phase(phase, share, record_written_s, expected):
    assert len(rollout(phase, share, record_written_s).eligible_backends([*OLD, *NEW], NOW_S)) == expected


def unnamed(known, unannounced_until_s=NOW_S + 2.0):
    """Return a replacement without an order: the back ends ``known`` and one of an unannounced version."""
    listed = [*known, backend("next-0", "v9")]
    return ServiceRollout("svc", None, {"v9": unannounced_until_s}), listed


@pytest.mark.parametrize("end", ["none", "draining", "lapsed", "superseded", "gone"])
def test_back_ends_of_an_unannounced_version_are_used_at_once_if_all_others_leave(end):
    last = backend("old-0", "v1")
    service, listed = unnamed([] if end == "none" else [last])
    assert names(service.eligible_backends(listed, NOW_S)) == ({"next-0"} if end == "none" else {"old-0"})
    match end:
        case "draining":
            last.record = replace(last.record, draining=True)
        case "lapsed":
            last.lapses_at_s = NOW_S
        case "superseded":
            last.superseded = True
        case "gone":
            last.gone = True
    assert names(service.eligible_backends(listed, NOW_S)) == {"next-0"}
    assert "next-0" in names(service.tiers(listed, False, NOW_S)[-1])


def test_back_ends_of_an_unannounced_version_wait_while_another_is_only_suspended():
    last = backend("old-0", "v1")
    last.suspended_until_s = NOW_S + 60.0
    service, listed = unnamed([last])
    assert names(service.eligible_backends(listed, NOW_S)) == {"old-0"}
    assert [names(tier) for tier in service.tiers(listed, False, NOW_S)] == [{"old-0"}]


@pytest.mark.parametrize("phase", [Phase.COMPLETE, Phase.ROLLED_BACK])
def test_after_a_rollout_an_unannounced_version_is_used_at_once_if_all_others_leave(phase):
    service = rollout(phase, barred=("v1",), unannounced={"v9": NOW_S + 2.0})
    listed = [OLD[0], backend("next-0", "v9")]
    assert names(service.eligible_backends(listed, NOW_S)) == {"next-0"}
    assert names(service.tiers(listed, True, NOW_S)[-1]) == {"next-0"}


@pytest.mark.parametrize("phase", [Phase.CANARY, Phase.SWITCHING])
def test_a_node_without_a_fresh_record_uses_current_back_ends_that_are_only_suspended(phase):
    last = backend("old-0", "v1")
    last.suspended_until_s = NOW_S + 60.0
    service = rollout(phase, 0.2, record_written_s=NOW_S - 2.5)
    assert [names(tier) for tier in service.tiers([last, *NEW], False, NOW_S)] == [{"old-0"}]
    last.superseded = True
    assert len(service.tiers([last, *NEW], False, NOW_S)[-1]) >= 3
