"""Which tenants may use each other's KV cache, and the text under which engines and KV stores keep it. Pure.

Engines and KV stores find a prompt part only under the scope that stored it, and do not know which tenant made it.
A scope is therefore shared by exactly those tenants that the configuration lets share: its text names model,
weights version and *cache group*. An isolated tenant is a group of its own. All others, and callers without a
tenant, are one group whose text depends on which tenants are isolated. Whoever uses a scope of that group finds
only parts of those who were not isolated while the same tenants were, whatever configurations came in between.
This needs no memory: every node derives the same text from the configuration in force.

Without an isolated tenant the group's text is empty. The texts of different meanings differ, whatever characters
models and tenants have in their names.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from string import ascii_letters
from urllib.parse import quote

from wallwell.deployment.tenants import TenantAccess

SHARED_GROUP_MARK = "*"
"""First character of the shared group while tenants are isolated; no encoded name begins with it."""
SHARED_GROUP_DIGEST_BYTES = 10
"""80 bits: no two sets of isolated tenants share a digest by chance, nor one that a tenant could construct."""
EMPTY_NAME = "%"
"""Group of an isolated tenant without a name; no other name is encoded like this."""
PLAIN_FIRST_CHARACTERS = frozenset(ascii_letters + "_")
"""Characters that may begin an encoded name; it is thus never taken for a weights version."""


class CacheGroups:
    """The cache groups of one version of the configuration."""

    def __init__(self, tenants: Iterable[TenantAccess]) -> None:
        """A name that several tenants have is isolated if one of them is."""
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
        return _encode_name(tenant.name) if is_isolated else self.shared


def cache_scope(model: str, version: int, group: str) -> str:
    """Return the scope of a group's cache for a weights version of a model."""
    return f"{model}:{version}:{group}" if group else f"{model}:{version}"


def _shared_group(isolated: frozenset[str]) -> str:
    if not isolated:
        return ""
    names = ",".join(sorted(_encode_name(name) for name in isolated))
    digest = hashlib.blake2b(names.encode(), digest_size=SHARED_GROUP_DIGEST_BYTES)
    return SHARED_GROUP_MARK + digest.hexdigest()


def _encode_name(name: str) -> str:
    """Return a tenant's name as it stands in a scope: without ``:`` and ``,``, not empty and not like a number."""
    if not name:
        return EMPTY_NAME
    first, rest = name[0], quote(name[1:], safe="", errors="surrogatepass")
    return (first if first in PLAIN_FIRST_CHARACTERS else _escape(first)) + rest


def _escape(character: str) -> str:
    return "".join(f"%{byte:02X}" for byte in character.encode("utf-8", "surrogatepass"))
