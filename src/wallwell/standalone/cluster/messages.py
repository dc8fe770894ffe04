"""Messages between nodes. Encoded as JSON arrays, so that a datagram stays under ``MAX_DATAGRAM_BYTES``.

The order of the fields and the tags are part of the wire format. :mod:`.node` processes the messages.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from wallwell.standalone.backends.engine_protocol import Label

MAX_DATAGRAM_BYTES = 1200
"""Maximum payload of a datagram: with headers under 1,280 bytes, which every IPv6 link carries unfragmented."""
MAX_NUMBER = 2**62
"""Largest number in a message: fits into 64 bits, and a node may add to it before it sends it on."""
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, a version or a time in milliseconds. Python's integers have no bound, but other steps have one."""
MAX_INTERACTIVE_RANK = 4
"""Least urgent rank (the largest number) that counts as interactive in published waiting times."""


class MemberStatus(enum.IntEnum):
    """Status of a member in gossip; within one incarnation the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


StatusNumber = Annotated[int, msgspec.Meta(ge=int(min(MemberStatus)), le=int(max(MemberStatus)))]
"""A :class:`MemberStatus` as it is sent."""


class EngineRecord(msgspec.Struct, frozen=True, array_like=True):
    """A serving engine, published by the node that reads its events; ``weights``: ``(model, loaded version)``."""

    name: str
    incarnation: Label
    weights: tuple[tuple[Label, Label], ...] = ()


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Rarely changing state of one node, which increments ``version`` with each change.

    ``engines`` are the serving engines whose events the node reads; ``leaving`` are addresses of back ends that the
    machine list or their own status declares leaving.
    """

    node: str
    address: str
    zone: str
    incarnation: Number
    version: Number
    engines: tuple[EngineRecord, ...] = ()
    leaving: tuple[str, ...] = ()


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Frequently changing state of one node: its configuration revision and its engines' waiting times.

    ``waiting_ms`` has the order of ``MemberRecord.engines`` in the record with version ``record_version``. Each
    pair is the wait of interactive requests (ranks up to ``MAX_INTERACTIVE_RANK``) and of requests of any rank.
    """

    node: str
    incarnation: Number
    version: Number
    config_head: Number
    record_version: Number = 0
    waiting_ms: tuple[tuple[Number, Number], ...] = ()


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """The status and versions of one member that the sender has."""

    node: str
    incarnation: Number
    status: StatusNumber
    version: Number
    load_version: Number


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Probe with a digest: the receiver replies with state that the sender lacks.

    ``roster`` is a hash of the names of live members; nodes with equal hashes do not exchange member lists.
    """

    sequence: Number
    region: str
    sender: str
    config_head: Number
    roster: int
    digest: tuple[DigestEntry, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Reply to :class:`Sync`, which also acknowledges the probe. A ``sequence`` of 0 acknowledges no probe."""

    sequence: Number
    sender: str
    config_head: Number
    entries: tuple[DigestEntry, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    loads: tuple[LoadRecord, ...] = ()
    wanted: tuple[str, ...] = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Asks another member to probe ``address`` on the sender's behalf."""

    sequence: Number
    address: str


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Probe without a digest."""

    sequence: Number


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Reply to :class:`Ping`; for an :class:`IndirectProbe` it is passed on to the member that asked."""

    sequence: Number


class ConfigHeadNotice(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The sender's configuration advanced to revision ``config_head``."""

    config_head: Number


class RegionSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summary of one region for other regions; of two with the same region the higher ``stamp_ms`` is newer."""

    region: str
    stamp_ms: Number
    config_head: Number
    contacts: tuple[str, ...]


class RegionExchange(msgspec.Struct, frozen=True, array_like=True, tag="z"):
    """Region summaries sent to a node of another region, which replies with its own if ``wants_answer`` is set."""

    summaries: tuple[RegionSummary, ...]
    wants_answer: bool


class Lookup(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Asks a shard's owner which engines hold the checkpoints packed in ``hashes``."""

    sequence: Number
    hashes: str


class LookupReply(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Engines that hold a prefix of the chain: ``(engine, incarnation, number of leading checkpoints held)``."""

    sequence: Number
    holders: tuple[tuple[str, str, Number], ...]


class DispatchReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The sender dispatched the chain of its lookup ``sequence`` to an engine, which will soon hold the chain."""

    sequence: Number
    engine: str
    incarnation: str


class BlockReport(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Checkpoints stored in and removed from one engine's cache, sent to the owner of their shard."""

    engine: str
    incarnation: str
    stored: str
    removed: str


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Asks a peer for ``amount`` tokens of a tenant's rate limit."""

    sequence: Number
    tenant: str
    amount: Annotated[float, msgspec.Meta(ge=0)]


class TokenGrant(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Tokens that the sender removed from its bucket for the receiver."""

    sequence: Number
    tenant: str
    amount: Annotated[float, msgspec.Meta(ge=0)]


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A back end crashed while it ran a request; if ``life`` is empty, the request was answered instead.

    ``life`` identifies the crashed incarnation of the back end, ``content`` is the request's content digest. If
    ``to_region`` is set, the receiver announces the notice in its own region.
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
    """Action: send a message to a node's cluster address (``IP:port``)."""

    address: str
    message: ClusterMessage


class FetchConfig(msgspec.Struct, frozen=True):
    """Action: fetch the configuration from ``address``, which has at least revision ``head``."""

    address: str
    head: int


Action = Send | FetchConfig
