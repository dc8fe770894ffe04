"""Texts under which engines and KV stores keep parts: equal for those who may share them, and for no others."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from wallwell.deployment.cache_groups import CacheGroups, cache_scope
from wallwell.deployment.tenants import TenantAccess

NAMES = st.text(st.sampled_from(":%*,_-a1é2 \x1f"), max_size=4) | st.text(max_size=8)
"""Names that operators may choose, most of them made of what stands between the parts of a scope."""
MODELS = NAMES
VERSIONS = st.integers(-3, 12)
SETS = st.frozensets(NAMES, max_size=3)
MEANINGS = st.tuples(MODELS, VERSIONS, st.none() | NAMES, SETS)
"""Model, weights version, name of an isolated tenant or None for those who share, and the isolated tenants."""


def tenant(name, is_isolated=False):
    return TenantAccess(name, (f"key of {name}",), isolated=is_isolated)


def groups_of(isolated, others=()):
    return CacheGroups([tenant(name, True) for name in sorted(isolated)] + [tenant(name) for name in others])


def scope_of(meaning):
    """Return the scope of a meaning, and what tells it from others; an isolated tenant's names nobody else."""
    model, version, name, isolated = meaning
    if name is None:
        return cache_scope(model, version, groups_of(isolated).shared), (model, version, None, isolated)
    group = groups_of(isolated | {name}).group_of(tenant(name, True))
    return cache_scope(model, version, group), (model, version, name)


@given(MEANINGS, MEANINGS)
@example(("a", 1, "2", frozenset()), ("a:1", 2, None, frozenset()))
@example(("a", 1, "", frozenset()), ("a:1:", 1, None, frozenset()))
@example(("a", 1, None, frozenset({"b,c"})), ("a", 1, None, frozenset({"b", "c"})))
@example(("a", 1, "b", frozenset()), ("a", 1, "%62", frozenset()))
def test_scopes_of_two_meanings_differ_whatever_the_names_are(one, other):
    """Guards against a tenant, a model or a version whose name makes its scope equal to that of another one."""
    (scope, meaning), (other_scope, other_meaning) = scope_of(one), scope_of(other)
    assert (scope == other_scope) == (meaning == other_meaning)


@given(NAMES, VERSIONS, NAMES)
def test_a_scope_says_which_model_and_version_it_belongs_to(model, version, name):
    """Guards against a scope that two models share: the text has exactly one reading."""
    for group in (groups_of({name}).group_of(tenant(name, True)), groups_of({name}).shared, groups_of(()).shared):
        rest, _, last = cache_scope(model, version, group).rpartition(":")
        is_version = last.removeprefix("-").isdecimal() and last.isascii()
        assert is_version == (group == "")
        assert (rest if is_version else rest.rpartition(":")[0]) == model


def test_without_an_isolated_tenant_the_scope_is_model_and_version():
    """Guards against parts that are read again at an upgrade though nobody is isolated."""
    assert cache_scope("m", 3, groups_of((), ["t1", "t2"]).group_of(tenant("t1"))) == "m:3"


@pytest.mark.parametrize("name", ["t1", "pharmacy-west", "_x.y~z"])
def test_an_isolated_tenant_with_a_usual_name_keeps_its_scope_at_an_upgrade(name):
    """Guards against parts of isolated tenants that are read again at an upgrade."""
    assert cache_scope("m", 3, groups_of({name}).group_of(tenant(name, True))) == f"m:3:{name}"


def test_group_of_those_who_share_depends_on_who_is_isolated_and_on_nothing_else():
    """Guards against shared parts that cannot be found after a change which isolates nobody."""
    alone = groups_of({"a", "b"})
    assert alone.shared == groups_of({"b", "a"}, ["c", "d"]).shared
    assert alone.shared != groups_of({"a"}).shared != groups_of({"b"}).shared
    assert len(alone.shared) == 21 and alone.shared.isascii()


def test_caller_without_a_tenant_shares_with_those_who_are_not_isolated():
    groups = groups_of({"a"}, ["b"])
    assert groups.group_of(None) == groups.group_of(tenant("b")) == groups.shared
    assert groups.group_of(tenant("a", True)) != groups.shared


def test_a_name_that_two_tenants_have_is_isolated_if_one_of_them_is():
    """Guards against parts of an isolated tenant that lie open since an entry of the same name is not isolated."""
    groups = CacheGroups([tenant("a"), tenant("a", True)])
    assert groups.group_of(tenant("a")) == groups.group_of(tenant("a", True)) != groups.shared
