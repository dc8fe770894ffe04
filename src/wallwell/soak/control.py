"""Messages from the run to its processes over :mod:`wallwell.cluster.peer_link`, and how a process reports
ready."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from wallwell.cluster.peer_link import PeerMessage


class Done(msgspec.Struct, frozen=True):
    """The request was carried out."""


class Announcement(msgspec.Struct, frozen=True):
    """First line of a process's standard output: where it serves, and where it takes messages of the run."""

    addresses: tuple[str, ...]
    control: str = ""


class LinkAddress(msgspec.Struct, frozen=True):
    """Where a link accepts connections."""

    address: str


class RowText(msgspec.Struct, frozen=True):
    """A row's text, None if there is no such row."""

    text: str | None


class SwitchStore(PeerMessage, frozen=True):
    """Change switches of :class:`wallwell.emulator.platform_store.StoreSwitches`."""

    changes: dict[str, Any]


class ForgetHistory(PeerMessage, frozen=True):
    """The store forgets its history."""


class RestoreStore(PeerMessage, frozen=True):
    """The store comes back as it was ``age_s`` ago; operators and workers write again what it lacks."""

    age_s: float


class PutRow(PeerMessage, frozen=True):
    """The operator writes a row; the reply is the acknowledgement."""

    table: str
    key: str
    text: str


class SpoilEntry(PeerMessage, frozen=True):
    """Another writer spoils a worker's entry, or it is as before."""

    worker: str
    is_spoilt: bool
    value: str = ""
    """What it leaves there, as it stands on the wire; empty: a text that cannot be read."""


class PutOddRow(PeerMessage, frozen=True):
    """Another writer writes a row; ``value`` is as it stands on the wire."""

    table: str
    key: str
    value: str


class ReadRow(PeerMessage, frozen=True):
    """The operator reads a row."""

    table: str
    key: str


class Heartbeat(PeerMessage, frozen=True):
    """A worker's entry as it is now. An entry without one for three periods goes."""

    worker: str
    entry: dict[str, Any]


class Farewell(PeerMessage, frozen=True):
    """A worker has left; its entry goes."""

    worker: str


class OpenLink(PeerMessage, frozen=True):
    """Make a link that accepts connections at ``host``; it leads nowhere yet. ``region`` is that of its far end."""

    link: str
    host: str
    region: int = 0
    port: int = 0


class AimLink(PeerMessage, frozen=True):
    """A link's far end from now on; empty: nobody is there, connections are refused."""

    link: str
    target: str


class KnowNode(PeerMessage, frozen=True):
    """A node's process and region: the proxy knows by them whose connection it carries."""

    node: str
    pid: int
    region: int = 0


class HarmLink(PeerMessage, frozen=True):
    """What a link does to its connections from now on. All off: it is sound again.

    ``delay_s`` holds back each chunk, ``bytes_per_s`` (0: any) narrows each direction of the whole link,
    ``reset`` ends connections and refuses new ones, ``silence`` makes the open ones carry nothing for good,
    ``hold_forth`` and ``hold_back`` keep back what goes one way until they are off.
    """

    link: str
    node: str = ""
    """Only connections of this node; empty for those of all."""
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    reset: bool = False
    silence: bool = False
    hold_forth: bool = False
    hold_back: bool = False


def announce(announcement: Announcement) -> None:
    """Report to the run that this process is ready."""
    sys.stdout.buffer.write(msgspec.json.encode(announcement) + b"\n")
    sys.stdout.buffer.flush()
