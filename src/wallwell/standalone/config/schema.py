"""Schema of operators' configuration files. Each file is one YAML document with ``kind``, ``name`` and ``spec``.

Defines the fields, their ranges and defaults. References between files are checked in :mod:`.parse`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
MAX_NUMBER = 2**53
"""Largest whole number in a file: any number up to it is a float too, and times in milliseconds are far below."""
PositiveInt = Annotated[int, msgspec.Meta(gt=0, le=MAX_NUMBER)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=100)]


class Kind(enum.StrEnum):
    """The kinds of configuration files, in the order in which the files of a directory are applied."""

    ZONE = "zone"
    PRIORITY = "priority"
    MODEL = "model"
    SERVICE = "service"
    ENGINE_POOL = "engine_pool"
    TENANT = "tenant"


class BackendState(enum.StrEnum):
    """The state that operators declare for a back end."""

    SERVING = "serving"
    LEAVING = "leaving"


class ZoneSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A zone: a group of machines in one region that can fail together."""

    region: Name


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the two costs, both in seconds, by which an engine is selected for a priority's requests."""

    first_token: Weight = 1.0
    recompute: Weight = 0.2


class PrioritySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A priority of requests. Requests of a lower ``rank`` are served first."""

    rank: Annotated[int, msgspec.Meta(ge=0, le=15)]
    objective: Objective = Objective()
    deadline_ms: PositiveInt = 60_000
    ageing_s: PositiveFloat = 600.0


class ModelSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model and its current versions. ``adapters`` maps an adapter's name to its version.

    ``block_tokens`` and ``bytes_per_token`` must equal the values that the model's engines report.
    """

    weights_version: str
    adapters: dict[str, str] = {}
    min_serving: PositiveInt = 1
    block_tokens: PositiveInt = 16
    bytes_per_token: PositiveInt = 4
    warm_prefixes: tuple[str, ...] = ()


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine of a pool: its address, zone and declared state."""

    name: Name
    address: Address
    zone: Name
    state: BackendState = BackendState.SERVING


class EnginePoolSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of engines that serve the same models."""

    models: tuple[Name, ...]
    engines: tuple[EngineSpec, ...]
    max_concurrent_loads: PositiveInt = 2


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of a service with one method and path prefix. A call that no operation matches runs at most once."""

    method: str
    path: str
    repeatable: bool


class ServiceInstance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An instance of a service: its address, zone and declared state."""

    name: Name
    address: Address
    zone: Name
    state: BackendState = BackendState.SERVING


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers reach at ``/{service}/{path}``."""

    instances: tuple[ServiceInstance, ...]
    operations: tuple[Operation, ...] = ()
    timeout_ms: PositiveInt = 3000


class TenantSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant: its credentials (SHA-256 of bearer tokens), permissions and limits."""

    token_sha256: tuple[Sha256Hex, ...]
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    priorities: tuple[Name, ...] = ()
    default_priority: Name | None = None
    requests_per_s: PositiveFloat = 100.0
    burst: PositiveFloat = 100.0
    concurrency: PositiveInt = 200
    weight: PositiveFloat = 1.0


Spec = ZoneSpec | PrioritySpec | ModelSpec | ServiceSpec | EnginePoolSpec | TenantSpec

SPEC_TYPES: dict[Kind, type[msgspec.Struct]] = {
    Kind.ZONE: ZoneSpec,
    Kind.PRIORITY: PrioritySpec,
    Kind.MODEL: ModelSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.ENGINE_POOL: EnginePoolSpec,
    Kind.TENANT: TenantSpec,
}

SETTINGS_WITHOUT_EFFECT: dict[Kind, tuple[str, ...]] = {
    Kind.PRIORITY: ("ageing_s",),
    Kind.MODEL: ("warm_prefixes",),
    Kind.TENANT: ("weight",),
}
"""Settings that are validated and stored but never used. Files that contain them remain valid."""


class FileKey(msgspec.Struct, frozen=True, order=True):
    """Kind and name that identify a configuration file."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"

    @classmethod
    def parse(cls, text: str) -> FileKey:
        """Parse ``kind/name``, the form ``str`` returns. Raises ValueError if the kind is unknown."""
        kind, _, name = text.partition("/")
        return cls(Kind(kind), name)
