"""Who uses parts of prompts that another tenant's request made, while configurations isolate and release tenants.

Attempts are planned as the pipeline does, at two nodes that read configurations at different times; engines and a
KV store keep parts by scope and maker. What may be shared is judged by the configuration in force at the node that
begins an attempt.
"""

import dataclasses
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.serving.fakes import FakeReply, make_request, make_route, make_state
from wallwell.deployment.routes import RouteKind, TenantAccess
from wallwell.emulator.part_cache import PartCache
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.admission import Admission
from wallwell.serving.cache_planning import CachePlanner
from wallwell.serving.messages import Generation

ROUTE = make_route(RouteKind.STREAM, public=True)
NAMES = ("a", "b", "c")
NOBODY = ""
"""Stands for a caller of the public route without a credential."""
NODES = (0, 1)


class Configure(NamedTuple):
    """Operators write a configuration with these tenants, of which some are isolated."""

    tenants: frozenset[str]
    isolated: frozenset[str]


class Read(NamedTuple):
    """A node reads the newest configuration."""

    node: int


class Accept(NamedTuple):
    """A request of a tenant is admitted at a node."""

    node: int
    tenant: str


class Attempt(NamedTuple):
    """An attempt of one of the admitted requests begins, the newest one being number 0."""

    request: int


class ForgetEngine(NamedTuple):
    """The engine's memory is emptied, so that only the KV store keeps parts."""


class Fleet:
    """Two nodes, an engine and a KV store."""

    def __init__(self):
        self.config = make_state(ROUTE, tenants=()).config
        self.nodes = [make_state(ROUTE, versions={"m": 1}, backends=1, tenants=()) for _ in NODES]
        self.engine, self.store = PartCache(), PartCache()
        self.admitted = []
        self.attempts = 0
        self.uses_between_tenants = 0
        self.violations = []

    def play(self, step):
        match step:
            case Configure(tenants, isolated):
                entries = tuple(
                    TenantAccess(each, (f"key-{each}",), isolated=each in isolated) for each in sorted(tenants)
                )
                self.config = dataclasses.replace(self.config, version=self.config.version + 1, tenants=entries)
            case Read(node):
                self.nodes[node].apply_config(self.config)
            case Accept(node, tenant):
                self.accept(node, tenant)
            case Attempt(number):
                if number < len(self.admitted):
                    self.attempt(*self.admitted[-1 - number])
            case ForgetEngine():
                self.engine = PartCache()

    def accept(self, node, tenant):
        credential = f"key-{tenant}" if tenant else ""
        parts = (PromptPart("shared", 100), PromptPart(f"own-{len(self.admitted)}", 10))
        request = make_request(credential, generation=Generation("m", parts))
        active = Admission(self.nodes[node]).admit(request, FakeReply())
        self.admitted.append((node, active))

    def attempt(self, node, active):
        state = self.nodes[node]
        scope = CachePlanner(state).plan(active, state.backends.get("i-0"), 0.0).scope
        parts = active.request.generation.parts
        user = active.tenant.name if active.tenant is not None else NOBODY
        ran = self.engine.run(scope, parts, user, self.store.find(scope, parts))
        self.store.keep(scope, parts, self.engine.find(scope, parts))
        self.attempts += 1
        in_force = {each.name: each.isolated for each in state.config.tenants}
        isolated_when_admitted = active.tenant is not None and active.tenant.isolated
        for maker in ran.makers_beside(user):
            self.uses_between_tenants += 1
            if in_force.get(user, isolated_when_admitted) or in_force.get(maker, False):
                self.violations.append(
                    f"attempt {self.attempts} of {user!r} uses a part of {maker!r} under {scope}"
                )


def play(*steps):
    fleet = Fleet()
    for step in steps:
        fleet.play(step)
    return fleet


def configure(*isolated, without=()):
    return Configure(frozenset(NAMES) - set(without), frozenset(isolated))


def asked_by(*tenants, node=0):
    """Each tenant sends a request, and its only attempt begins at once."""
    return [step for tenant in tenants for step in (Accept(node, tenant), Attempt(0))]


def in_force(*isolated, without=()):
    return [configure(*isolated, without=without), Read(0), Read(1)]


ALL = asked_by(*NAMES, NOBODY)
ORDERS = {
    "isolated": [*in_force(), *ALL, *in_force("a"), *ALL],
    "isolated, then released": [*in_force("a"), *ALL, *in_force(), *ALL],
    "isolated, released, isolated": [
        *in_force(),
        *ALL,
        *in_force("a"),
        *ALL,
        *in_force(),
        *ALL,
        *in_force("a"),
        *ALL,
    ],
    "two in a row": [*in_force(), *ALL, *in_force("a"), *ALL, *in_force("a", "b"), *ALL],
    "two at once": [*in_force(), *ALL, *in_force("a", "b"), *ALL],
    "moves to another": [*in_force("a"), *ALL, *in_force("b"), *ALL, *in_force("a"), *ALL],
    "left out, back isolated": [*in_force(), *ALL, *in_force(without="a"), *asked_by("b"), *in_force("a"), *ALL],
    "isolated, left out, back": [*in_force("a"), *ALL, *in_force(without="a"), *asked_by("b"), *in_force(), *ALL],
    "only the KV store has the parts": [*in_force(), *ALL, *in_force("a"), ForgetEngine(), *ALL],
    "nodes read it one after the other": [
        *in_force(),
        *ALL,
        configure("a"),
        Read(0),
        *ALL,
        *asked_by(*NAMES, node=1),
        Read(1),
        *ALL,
        *asked_by(*NAMES, node=1),
    ],
    "a node misses a release": [
        *in_force("a"),
        *asked_by(*NAMES, node=1),
        configure(),
        Read(0),
        *ALL,
        configure("a"),
        Read(0),
        *ALL,
        *asked_by(*NAMES, node=1),
    ],
}


@pytest.mark.parametrize("steps", ORDERS.values(), ids=ORDERS)
def test_no_order_of_configurations_lets_others_use_parts_of_an_isolated_tenant(steps):
    """Guards against parts that a tenant left before it was isolated, and that others go on using."""
    fleet = play(*steps)
    assert not fleet.violations
    assert fleet.uses_between_tenants, "nobody shares anything"


def test_tenants_that_are_not_isolated_go_on_sharing_after_the_change():
    """Guards against a wall between tenants that no configuration isolates."""
    fleet = play(*in_force(), *ALL, *in_force("a"), *asked_by("b"))
    before = fleet.uses_between_tenants
    for step in asked_by("c", NOBODY):
        fleet.play(step)
    assert fleet.uses_between_tenants == before + 2


@pytest.mark.parametrize("isolated", [(), ("a",)], ids=["nobody isolated", "one isolated"])
def test_a_change_that_isolates_nobody_costs_no_part(isolated):
    """Guards against shared parts that are read again after any change of the configuration."""
    fleet = play(*in_force(*isolated), *ALL)
    kept = dict(fleet.engine.kept)
    for step in [*in_force(*isolated), *asked_by("b")]:
        fleet.play(step)
    assert len(fleet.engine.kept) == len(kept) + 1  # The request's own part.


TENANTS = st.sampled_from((*NAMES, NOBODY))
STEPS = st.one_of(
    st.builds(Configure, st.frozensets(st.sampled_from(NAMES), min_size=1), st.frozensets(st.sampled_from(NAMES))),
    st.builds(Read, st.sampled_from(NODES)),
    st.builds(Accept, st.sampled_from(NODES), TENANTS),
    st.builds(Attempt, st.integers(0, 4)),
    st.just(ForgetEngine()),
)


@settings(max_examples=400)
@given(st.lists(STEPS, max_size=40))
def test_no_drawn_order_of_changes_and_attempts_lets_a_part_pass_a_wall(steps):
    """Guards against orders of changes, late nodes and late attempts that the cases above do not name."""
    assert not play(configure(), Read(0), Read(1), *steps).violations
