"""Which tenants may use each other's KV cache, and the text under which engines and KV stores keep it. Pure.

Engines and KV stores find a prompt part only under the scope that stored it, and do not know which tenant made it.
A scope is therefore shared by exactly those tenants that the configuration lets share: its text names model,
weights version and *cache group*. An isolated tenant is a group of its own. All others, and callers without a
tenant, are one group whose text depends on which tenants are isolated. Whoever uses a scope of that group finds
only parts of those who were not isolated while the same tenants were, whatever configurations came in between.
This needs no memory: every node derives the same text from the configuration in force.

Without an isolated tenant the group's text is empty.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from wallwell.deployment.tenants import TenantAccess

SHARED_GROUP_MARK = "*"
"""First character of the shared group while tenants are isolated."""
SHARED_GROUP_DIGEST_BYTES = 10
"""80 bits: no two sets of isolated tenants share a digest by chance, nor one that a tenant could construct."""


class CacheGroups:
    """The cache groups of one version of the configuration."""

    def __init__(self, tenants: Iterable[TenantAccess]) -> None:
        """``tenants`` are all that the configuration has. A name is isolated if one tenant of that name is."""
        tenants = tuple(tenants)
        self._names = frozenset(tenant.name for tenant in tenants)
        self.isolated = frozenset(tenant.name for tenant in tenants if tenant.isolated)
        """Names of the isolated tenants."""
        self.shared = _shared_group(self.isolated)
        """Group of all that are not isolated."""

    def group_of(self, tenant: TenantAccess | None) -> str:
        """Return the group of a request that was admitted for ``tenant``, perhaps under an earlier configuration;
        None for a caller without a tenant. A tenant that is not configured any more stays what it was."""
        if tenant is None:
            return self.shared
        is_isolated = tenant.name in self.isolated if tenant.name in self._names else tenant.isolated
        return tenant.name if is_isolated else self.shared


def cache_scope(model: str, version: int, group: str) -> str:
    """Return the scope of a group's cache for a weights version of a model."""
    return f"{model}:{version}:{group}" if group else f"{model}:{version}"


def _shared_group(isolated: frozenset[str]) -> str:
    if not isolated:
        return ""
    names = ",".join(sorted(isolated))
    digest = hashlib.blake2b(names.encode(), digest_size=SHARED_GROUP_DIGEST_BYTES)
    return SHARED_GROUP_MARK + digest.hexdigest()
