"""Texts under which engines and KV stores keep parts: equal for those who may share them, and for no others."""

from wallwell.deployment.cache_groups import CacheGroups, cache_scope
from wallwell.deployment.tenants import TenantAccess


def tenant(name, is_isolated=False):
    return TenantAccess(name, (f"key of {name}",), isolated=is_isolated)


def groups_of(isolated, others=()):
    return CacheGroups([tenant(name, True) for name in sorted(isolated)] + [tenant(name) for name in others])


def test_without_an_isolated_tenant_the_scope_is_model_and_version():
    """Guards against parts that are read again at an upgrade though nobody is isolated."""
    assert cache_scope("m", 3, groups_of((), ["t1", "t2"]).group_of(tenant("t1"))) == "m:3"


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
