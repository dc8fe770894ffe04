"""Messages between nodes. Encoded as JSON arrays, so that a datagram stays under ``MAX_DATAGRAM_BYTES``.

Owns their fields, whose order and tags are the wire's; what they cause is decided in :mod:`.node`.
"""

from __future__ import annotations

import enum

import msgspec

MAX_DATAGRAM_BYTES = 1200
"""Largest datagram: with headers under the 1,280 bytes that every IPv6 link carries whole."""
MAX_INTERACTIVE_RANK = 4
"""Least urgent rank that counts as interactive in reported waits."""


class MemberStatus(enum.IntEnum):
    """What the group believes of a member; of one incarnation the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class EngineRecord(msgspec.Struct, frozen=True, array_like=True):
    """A serving engine as its reader knows it; ``weights`` pairs models with loaded versions."""

    name: str
    incarnation: str
    weights: tuple[tuple[str, str], ...] = ()


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Slowly changing state of one node; the node itself raises ``version`` with each change.

    ``engines`` are the serving engines whose events the node reads; ``leaving`` are addresses of back ends the
    node knows to be leaving.
    """

    node: str
    address: str
    zone: str
    incarnation: int
    version: int
    engines: tuple[EngineRecord, ...] = ()
    leaving: tuple[str, ...] = ()


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Fast changing state of one node: the configuration in force and its engines' waiting time.

    ``waiting_ms`` follows the order of ``MemberRecord.engines`` of the record with ``record_version``; of each
    engine it gives the wait of interactive work (ranks up to ``MAX_INTERACTIVE_RANK``) and of any work.
    """

    node: str
    incarnation: int
    version: int
    config_head: int
    record_version: int = 0
    waiting_ms: tuple[tuple[int, int], ...] = ()


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one member."""

    node: str
    incarnation: int
    status: int
    version: int
    load_version: int


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Probe and digest: the receiver answers with what the sender lacks.

    ``roster`` is a hash over the live members' names, so that equal views exchange no member lists.
    """

    sequence: int
    region: str
    sender: str
    config_head: int
    roster: int
    digest: tuple[DigestEntry, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Answer to :class:`Sync`, or its third leg (``sequence`` 0). Doubles as the acknowledgement of the probe."""

    sequence: int
    sender: str
    config_head: int
    entries: tuple[DigestEntry, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    loads: tuple[LoadRecord, ...] = ()
    wanted: tuple[str, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Ask another member to probe ``address`` on the sender's behalf."""

    sequence: int
    address: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Probe without a digest."""

    sequence: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to :class:`Ping`, relayed for :class:`IndirectProbe`."""

    sequence: int


class ConfigHeadNotice(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The sender's configuration moved to ``config_head``."""

    config_head: int


class RegionSummary(msgspec.Struct, frozen=True, array_like=True):
    """What other regions need of one region. ``stamp_ms`` orders summaries of the same region."""

    region: str
    stamp_ms: int
    config_head: int
    contacts: tuple[str, ...]


class RegionExchange(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Summaries exchanged by delegates of different regions."""

    summaries: tuple[RegionSummary, ...]
    wants_answer: bool


class Lookup(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Ask a shard's owner who holds the checkpoints packed in ``hashes``."""

    sequence: int
    hashes: str


class LookupReply(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Holders: ``(engine, incarnation, number of leading checkpoints held)``."""

    sequence: int
    holders: tuple[tuple[str, str, int], ...]


class DispatchReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The sender dispatched the chain it looked up as ``sequence`` to an engine, which is about to hold it."""

    sequence: int
    engine: str
    incarnation: str


class BlockReport(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Checkpoints that entered or left one engine's cache, for the owner of their shard."""

    engine: str
    incarnation: str
    stored: str
    removed: str


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Ask a peer for a share of a tenant's rate."""

    sequence: int
    tenant: str
    amount: float


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Tokens taken out of the sender's bucket for the receiver."""

    sequence: int
    tenant: str
    amount: float


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A life of a back end ended under a request; with an empty ``life``, the request has been answered.

    ``content`` is the digest of what the request holds. ``to_region``: the receiver announces it in its own region.
    """

    content: str
    life: str
    to_region: bool = False


ClusterMessage = (
    Sync
    | SyncReply
    | IndirectProbe
    | Ping
    | Ack
    | ConfigHeadNotice
    | RegionExchange
    | Lookup
    | LookupReply
    | DispatchReport
    | BlockReport
    | TokenRequest
    | TokenGrant
    | CrashNotice
)


class Send(msgspec.Struct, frozen=True):
    """A message to send to a node's cluster address (``IP:port``)."""

    address: str
    message: ClusterMessage


class FetchConfig(msgspec.Struct, frozen=True):
    """Fetch the configuration from ``address``, which has at least revision ``head``."""

    address: str
    head: int


Action = Send | FetchConfig
