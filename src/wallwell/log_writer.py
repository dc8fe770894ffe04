"""JSON log lines to a descriptor that may not be read: bounded in memory, never blocking, losses counted.

Lines of failures and refusals are kept longest. Lines of single-attempt successes are written in full up to a rate
and beyond it for a fixed part of request ids, so that a burst costs neither time nor memory.
"""

from __future__ import annotations

import os
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash

MAX_LINES = 2000
MAX_ROUTINE_PER_S = 20.0
SAMPLE_ONE_IN = 16


class RoutineSampler:
    """Decides which lines about ordinary successes are written."""

    def __init__(self, rate_per_s: float = MAX_ROUTINE_PER_S, one_in: int = SAMPLE_ONE_IN) -> None:
        self._rate_per_s = rate_per_s
        self._one_in = one_in
        self._tokens = rate_per_s
        self._updated_s = float("-inf")

    def keeps(self, request_id: str, now_s: float) -> bool:
        """Whether the line of this request is written."""
        elapsed_s = min(1.0, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        self._tokens = min(self._rate_per_s, self._tokens + elapsed_s * self._rate_per_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        return xxhash.xxh3_64_intdigest(request_id.encode()) % self._one_in == 0


class LogWriter:
    """Writes encoded lines without waiting for their reader."""

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._important: deque[bytes] = deque()
        self._routine: deque[bytes] = deque()
        self._partial = b""
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, fields: Mapping[str, Any], important: bool) -> None:
        """Queue one line and write what can be written."""
        line = msgspec.json.encode(fields, enc_hook=str) + b"\n"
        (self._important if important else self._routine).append(line)
        while len(self._important) + len(self._routine) > self._max_lines:
            (self._routine or self._important).popleft()
            self.lost += 1
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the reader stands still."""
        if self.lost and not self._partial:
            self._partial = (
                msgspec.json.encode({"message": "log lines lost", "event": 1008, "lost": self.lost}) + b"\n"
            )
            self.lost = 0
        while self._partial or self._important or self._routine:
            if not self._partial:
                self._partial = (self._important or self._routine).popleft()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                self._partial = b""
                continue
            self._partial = self._partial[written:]


class JsonSink:
    """A sink of the logger: encodes records, samples ordinary successes, never waits."""

    def __init__(self, writer: LogWriter, routine_event: int) -> None:
        self._writer = writer
        self._sampler = RoutineSampler()
        self._routine_event = routine_event

    def __call__(self, message: Any) -> None:
        """Take one message of the logger."""
        record = message.record
        extra = record["extra"]
        routine = extra.get("event") == self._routine_event and extra.get("attempts", 1) <= 1
        if routine and not self._sampler.keeps(str(extra.get("request_id", "")), time.monotonic()):
            return
        fields = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "message": record["message"],
            **extra,
        }
        self._writer.write(fields, important=not routine)
