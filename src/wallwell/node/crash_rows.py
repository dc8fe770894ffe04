"""Keys and values of the rows that record crashes in the nodes' own table. Pure.

A key is ``crash/SUBJECT/START_ID`` (:attr:`Backend.start_id`). The subject is the content digest of a request, or
``part-`` and the digest of a part of prompts. The value of a request's row is the name of the reporting node, that
of a part's row a :class:`PartCrashRow`.
"""

from __future__ import annotations

import msgspec

from wallwell.cluster.crash_reports import Crash
from wallwell.storage.row_values import Seconds

CRASH_PREFIX = "crash/"
"""Prefix of the keys of all crash rows."""
PART_PREFIX = "part-"
"""Prefix of the subjects that are parts."""


class PartCrashRow(msgspec.Struct, frozen=True):
    """Value of the row of a part: the reporting node, and when the crash happened on the store's clock."""

    node: str
    happened_s: Seconds


def crash_key(subject: str, start_id: str) -> str:
    """Return the key of the row of a crash."""
    return f"{CRASH_PREFIX}{subject}/{start_id}"


def parse_crash_key(key: str) -> Crash:
    """Return the subject and the start of the back end that a key names."""
    subject, _, start_id = key.removeprefix(CRASH_PREFIX).partition("/")
    return subject, start_id


def part_subject(part: str) -> str:
    """Return the subject of the crashes of a part, given by its digest."""
    return f"{PART_PREFIX}{part}"


def part_of(subject: str) -> str | None:
    """Return the digest of the part that a subject names; None if it names a request."""
    return subject.removeprefix(PART_PREFIX) if subject.startswith(PART_PREFIX) else None
