"""Decides whether an answer that ends with its connection is whole. Pure.

The system of a process that was killed closes its connections as a process does that has sent everything. So the
close of a connection ends an answer only if the process lived on after it. Two witnesses show that:

- A sentinel, which is another connection to the process, opened while it certainly lived. It ends with the process.
- The process's port, which refuses connections once the process has ended. Another process may listen there by
  then, so the port shows something only if it is asked in the moment of the close. A port that neither accepts nor
  refuses a connection shows nothing.

A process that leaves as planned may end right after its last answer. It then outlives the answer by a moment, or
has announced its leave and its entry is removed at once. The entry of one that was killed remains for some
heartbeats, unless these had stopped before: an entry that goes unannounced says nothing of how its process ended.

What cannot be shown counts as broken off: an answer that was cut and looks whole misleads its caller, while one
that is reported as cut can be asked for again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple


class ListingStatus(NamedTuple):
    """What the listing and a back end's own answers say of a back end at one moment."""

    is_leaving: bool = False
    """Whether it has announced that it leaves, or is no longer listed."""
    has_announced_leave: bool = False
    """Whether it has announced it, in its entry or in an answer."""
    is_replaced: bool = False
    """Whether a later start of it, or another back end at its address, has been listed."""
    unlisted_since_s: float | None = None
    """When this node learned that its entry had been removed; None while it is listed."""


class SentinelState(enum.Enum):
    """What became of the sentinel by the time at which the end is judged."""

    NONE = "none"
    """There was none, or nothing shows that it was a connection to the same process."""
    OPEN = "open"
    ENDED = "ended"
    """It ended together with the answer, or shortly after it."""


class EndVerdict(enum.Enum):
    """Whether an answer is whole, and why."""

    PROCESS_LIVES = (True, "the process lives")
    LEFT_AS_PLANNED = (True, "the process left as planned")
    PROCESS_ENDED = (False, "the process has ended")
    PROCESS_REPLACED = (False, "another process has taken the place of the one that answered")
    NOT_SHOWN = (False, "nothing shows that the process lived on after the close")

    @property
    def is_whole(self) -> bool:
        """Whether the answer is whole."""
        return self.value[0]

    @property
    def reason(self) -> str:
        """Why, for logs and errors."""
        return self.value[1]


@dataclass(frozen=True)
class EndEvidence:
    """What is known of a process at the end of an answer."""

    sentinel: SentinelState
    port_refuses: bool
    """Whether the port refused a connection in the end."""
    port_accepted: bool = False
    """Whether the port accepted a connection at first."""
    outlived_answer: bool = False
    """Whether the process was seen alive after the close, although it may have ended since."""
    is_read_late: bool = False
    """Whether the close may have waited to be read for longer than another process needs to start."""
    is_leaving: bool = False
    """Whether it has announced that it leaves, or is no longer listed."""
    has_announced_leave: bool = False
    is_replaced: bool = False
    is_unlisted_at_end: bool = False
    """Whether its entry was removed at the time of the close."""


def judge_end(evidence: EndEvidence) -> EndVerdict:
    """Return whether the answer is whole, given all that is known some moments after its connection was closed."""
    if evidence.is_replaced:
        return EndVerdict.PROCESS_REPLACED
    if evidence.port_refuses or evidence.sentinel is SentinelState.ENDED:
        return EndVerdict.LEFT_AS_PLANNED if _has_left_as_planned(evidence) else EndVerdict.PROCESS_ENDED
    if evidence.sentinel is SentinelState.NONE and (evidence.is_read_late or not evidence.port_accepted):
        return EndVerdict.NOT_SHOWN
    return EndVerdict.PROCESS_LIVES


def may_still_be_unlisted(evidence: EndEvidence) -> bool:
    """Whether the removal of the entry, which may follow shortly, would change the verdict."""
    may_leave = evidence.is_leaving and evidence.has_announced_leave
    return may_leave and judge_end(evidence) is EndVerdict.PROCESS_ENDED


def _has_left_as_planned(evidence: EndEvidence) -> bool:
    """Whether a process that has ended finished its answer before; only one that leaves may be believed to."""
    if not evidence.is_leaving:
        return False
    if evidence.has_announced_leave and evidence.is_unlisted_at_end:
        return True
    return evidence.outlived_answer and not evidence.is_read_late
