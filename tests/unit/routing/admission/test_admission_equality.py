"""Who is admitted: the pure modules beside the code that they replace."""

import copy
import dataclasses
import random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from tests.unit.routing.selection.drawn_fleet import NOW_S, backends
from tests.unit.serving.fakes import make_generation, make_route
from wallwell.deployment.freshness import Freshness
from wallwell.deployment.routes import CallerBounds, DeploymentConfig, TenantAccess, TenantLimit
from wallwell.errors import OverloadedError, RequestError
from wallwell.node.state import FleetBounds, NodeState
from wallwell.routing.admission import fleet_limits, tenant_limits
from wallwell.routing.admission.access import (
    AccessRequest,
    Denial,
    Granted,
    RevocationBound,
    decide_access,
    is_fresh_enough,
)
from wallwell.routing.admission.overload import overloaded_occupancy, retry_after_s
from wallwell.serving.admission import Admission
from wallwell.serving.backend_choice import BackendChoice
from wallwell.serving.messages import CallerRequest

ERRORS = {
    Denial.NO_CONFIGURATION: "NotReadyError",
    Denial.STALE_ROUTE: "StaleConfigurationError",
    Denial.UNKNOWN_ROUTE: "UnknownResourceError",
    Denial.STALE_CREDENTIAL: "StaleConfigurationError",
    Denial.UNKNOWN_CREDENTIAL: "UnauthenticatedError",
    Denial.BODY_TOO_LARGE: "BodyTooLargeError",
}


@given(
    has_config=st.booleans(),
    is_public=st.booleans(),
    credentials=st.sampled_from([None, ("key",), ("key", "")]),
    credential=st.sampled_from(["key", "other", ""]),
    path=st.sampled_from(["/p", "/other"]),
    body=st.sampled_from([b"", b"x" * 11]),
    is_strict=st.booleans(),
    age_s=st.sampled_from([0.0, 4.6, 4.5, 5.1]),
)
def test_the_same_are_admitted(has_config, is_public, credentials, credential, path, body, is_strict, age_s):
    bounds = FleetBounds(strict_revocation=is_strict)
    state = NodeState("n", "z", bounds, random.Random(1))
    route = dataclasses.replace(make_route(), public=is_public, path_prefix="/p")
    tenants = () if credentials is None else (TenantAccess("t", credentials),)
    if has_config:
        state.apply_config(DeploymentConfig(1, (route,), tenants=tenants, bounds=CallerBounds(10)))
    state.freshness.confirm(NOW_S - age_s)
    request = CallerRequest("r", route.host, "POST", path, (), body, credential, None, NOW_S, None)
    try:
        active = Admission(state).admit(request, None)
        old = ("", active.route, active.tenant)
    except RequestError as error:
        old = (type(error).__name__, None, None)
    bound = RevocationBound(is_strict, bounds.revocation_s, bounds.revocation_margin_s)
    is_fresh = is_fresh_enough(state.freshness, bound, NOW_S)
    assert is_fresh == state.is_fresh(NOW_S)
    asked = AccessRequest(request.host, request.path, credential, len(body))
    new = decide_access(state.config, is_fresh, asked)
    if isinstance(new, Granted):
        assert old == ("", new.route, new.tenant)
    else:
        assert old == (ERRORS[new], None, None)


def test_freshness_is_exact_at_its_bound():
    state = NodeState("n", "z", FleetBounds(), random.Random(1))
    state.freshness = Freshness(0.0)
    bound = RevocationBound(True, state.bounds.revocation_s, state.bounds.revocation_margin_s)
    for arrival_s in (4.599, 4.6, 4.601):
        assert is_fresh_enough(state.freshness, bound, arrival_s) == state.is_fresh(arrival_s)


@given(backends(max_size=6), st.integers(0, 5), st.integers(0, 1000))
def test_the_same_generations_are_refused_with_the_same_draws(listed, rank, seed):
    state = NodeState("n", "z", FleetBounds(), random.Random(seed))
    state.load = SimpleNamespace(backends=SimpleNamespace(of_service=lambda _: listed))
    rng = copy.deepcopy(state.rng)
    active = SimpleNamespace(
        request=SimpleNamespace(generation=make_generation()),
        history=SimpleNamespace(tried=set()),
        service="svc",
        rank=rank,
    )
    for _ in range(3):
        occupancy = overloaded_occupancy(listed, rank, NOW_S, rng)
        wait_ms = None
        if occupancy is not None:
            wait_ms = round(retry_after_s(occupancy, rank, state.generation_time.seconds, rng) * 1000)
        try:
            BackendChoice(state).refuse_if_overloaded(active, NOW_S)
            old = None
        except OverloadedError as error:
            old = error.retry_after_ms
        assert (wait_ms, rng.getstate()) == (old, state.rng.getstate())


TENANTS = ("a", "b", "unlimited")
LIMITS = st.dictionaries(
    st.sampled_from(TENANTS[:2]),
    st.builds(TenantLimit, st.sampled_from([100, 5000]), st.sampled_from([100, 20_000]), st.just(True)),
)
AMOUNTS = st.dictionaries(st.sampled_from(TENANTS), st.integers(-500, 30_000))
TENANT, RELAY = st.sampled_from(TENANTS), st.sampled_from(["r1", "r2", "r3"])
TOKENS, NODES = st.integers(1, 30_000), st.sampled_from([0, 1, 2, 10, 100])
OPERATIONS = st.one_of(
    st.tuples(st.just("set_limits"), LIMITS),
    st.tuples(st.just("admit"), TENANT, TOKENS, st.just("now")),
    st.tuples(st.just("refund"), TENANT, TOKENS),
    st.tuples(st.just("charge_retry"), TENANT, TOKENS),
    st.tuples(st.just("begin_report")),
    st.tuples(st.just("end_report"), st.booleans()),
    st.tuples(st.just("take_member"), AMOUNTS, st.just("now")),
    st.tuples(st.just("take_relay"), RELAY, st.sampled_from([1, 2]), AMOUNTS, st.just("now"), st.booleans()),
    st.tuples(st.just("on_region_heard"), st.sampled_from(["x", "y"])),
    st.tuples(st.just("on_region_lost"), st.sampled_from(["x", "y"]), st.sampled_from([0.5, 2.0]), st.just("now")),
    st.tuples(st.just("learn_levels"), AMOUNTS, st.just("now")),
    st.tuples(st.just("learn_fleet"), AMOUNTS, NODES, NODES),
    st.tuples(st.just("forget_fleet"), NODES),
    st.tuples(st.just("most_refused"), st.integers(1, 3), st.just("now")),
)


def comparable(result):
    if isinstance(result, list):
        return [dataclasses.astuple(each) for each in result]
    return dataclasses.astuple(result) if dataclasses.is_dataclass(result) else result


def apply(module, limits, operation, now_s):
    name, *arguments = operation
    arguments = [now_s if argument == "now" else argument for argument in arguments]
    if name in ("refund", "charge_retry"):
        arguments = [module.Admitted(*arguments)]
    return comparable(getattr(limits, name)(*arguments))


@given(
    st.integers(0, 1000),
    LIMITS,
    st.lists(st.tuples(OPERATIONS, st.sampled_from([0.0, 0.05, 0.25, 1.0, 2.0])), max_size=40),
)
def test_limits_are_kept_alike_with_the_same_draws(seed, at_first, operations):
    rngs = random.Random(seed), random.Random(seed)
    old, new = tenant_limits.FleetLimits(rngs[0]), fleet_limits.FleetLimits(rngs[1])
    old.set_limits(at_first)
    new.set_limits(at_first)
    now_s = 50.0
    for operation, passed_s in operations:
        now_s += passed_s
        assert apply(fleet_limits, new, operation, now_s) == apply(tenant_limits, old, operation, now_s)
        assert new.levels(now_s) == old.levels(now_s)
        assert (new.spent_totals(), new.asked(now_s)) == (old.spent_totals(), old.asked(now_s))
    assert (rngs[0].getstate(), new.life) == (rngs[1].getstate(), old.life)
