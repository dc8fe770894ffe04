"""Settings of a worker's process in a run, which the fleet writes and the process reads."""

from __future__ import annotations

import msgspec

from wallwell.soak.schedule import ENGINE_SLOTS
from wallwell.soak.versions import Badness


class WorkerSettings(msgspec.Struct, frozen=True):
    """Settings of a worker's process. ``listed_address`` stands in its entry; it is the link's and not its own."""

    incarnation: str
    service: str
    model: str
    host: str
    listed_address: str
    store_control: str
    history: str
    seed: int
    work_s: float
    """Time of a call, and until a stream's first event."""
    zone: str = "z1"
    slots: int = ENGINE_SLOTS
    software: str = ""
    weights: int = 1
    heartbeat_s: float = 0.5
    event_s: float = 0.015
    """Time of one event of a stream."""
    load_s: float = 0.3
    """Time that new weights take."""
    drain_s: float = 3.0
    """Time that it serves on; longer than nodes may take to send it nothing more."""
    badness: Badness = Badness()
    bad_parts: tuple[str, ...] = ()
    """Parts of prompts that crash it as it begins to answer."""
    unframed: bool = False
    """Whether some of its answers have neither a length nor chunks."""
    second_answers: bool = False
    """Whether it rejects some requests though it has room, and sends some of its answers a second time."""
    keeps_parts: bool = False
    """Whether it is an engine that keeps parts of prompts, and records whose parts a request uses."""
    broken_answers: bool = False
    """Whether it sends what is no answer in place of some of its answers."""
