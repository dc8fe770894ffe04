"""Writes JSON log lines to a file descriptor whose reader may be slow, without blocking.

Owns a bounded queue of lines, counts lost lines, and drops lines about failures and refusals last. Lines about
single-attempt successes are all written up to a rate, and above it only for a fixed fraction of request ids, so a
burst costs neither time nor memory.
"""

from __future__ import annotations

import os
import select
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash

MAX_QUEUED_LINES = 2000
"""Maximum lines queued while the reader is slow: about a megabyte, at some hundred bytes per line."""
MAX_ROUTINE_LINES_PER_S = 20.0
"""Lines per second up to which every ordinary success is written, so that logs are complete at low load."""
REQUESTS_PER_SAMPLE = 16
"""Above ``MAX_ROUTINE_LINES_PER_S``, one request id in this many is logged. All nodes select the same ids, so the
lines of a selected request are complete across nodes."""
MAX_BURST_S = 1.0
"""Seconds of unused rate that may accumulate for a burst; this much is assumed before the first line."""
FLUSH_WAITS = 50
"""Waits into which the time for a last flush is divided; a pipe takes 64 KB after each of them."""
LINES_LOST_EVENT = 1008
"""Number of ``Event.LOG_LINES_LOST``, repeated here since :mod:`wallwell.events` imports this module."""


class RoutineSampler:
    """Decides which lines about ordinary successes are written."""

    def __init__(
        self, rate_per_s: float = MAX_ROUTINE_LINES_PER_S, sample_every: int = REQUESTS_PER_SAMPLE
    ) -> None:
        self._rate_per_s = rate_per_s
        self._sample_every = sample_every
        self._tokens = rate_per_s
        self._updated_s = float("-inf")

    def should_write(self, request_id: str, now_s: float) -> bool:
        """Return whether a line about this request is written; spends a token if one is available."""
        elapsed_s = min(MAX_BURST_S, max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        self._tokens = min(self._rate_per_s, self._tokens + elapsed_s * self._rate_per_s)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        return xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogateescape")) % self._sample_every == 0


class LogWriter:
    """Queues lines and writes as many as the descriptor accepts without blocking."""

    def __init__(self, descriptor: int, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._important: deque[bytes] = deque()
        self._routine: deque[bytes] = deque()
        self._partial = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, fields: Mapping[str, Any], is_important: bool) -> None:
        """Queue one line and write as many queued lines as possible."""
        line = _encode_line(fields)
        (self._important if is_important else self._routine).append(line)
        while len(self._important) + len(self._routine) > self._max_lines:
            (self._routine or self._important).popleft()
            self.dropped += 1
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor accepts no more."""
        if self.dropped and not self._partial:
            self._partial = (
                msgspec.json.encode({"message": "log lines lost", "event": LINES_LOST_EVENT, "lost": self.dropped})
                + b"\n"
            )
            self.dropped = 0
        while self._partial or self._important or self._routine:
            if not self._partial:
                self._partial = (self._important or self._routine).popleft()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end. There is nowhere to report that, and the queue must not grow.
                self._partial = b""
                continue
            self._partial = self._partial[written:]

    def flush_within(self, timeout_s: float) -> None:
        """Write queued lines, and wait for the descriptor's reader for at most ``timeout_s`` seconds."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        for _ in range(FLUSH_WAITS):
            self.flush()
            if not self._partial:
                return
            poll.poll(timeout_s * 1000 / FLUSH_WAITS)


def _encode_line(fields: Mapping[str, Any]) -> bytes:
    """Return one line; text with surrogates, from bytes that are not UTF-8, gets escapes for them."""
    try:
        return msgspec.json.encode(fields, enc_hook=str) + b"\n"
    except UnicodeEncodeError:
        return msgspec.json.encode({name: _escaped(value) for name, value in fields.items()}) + b"\n"


def _escaped(value: Any) -> Any:
    """Return numbers and None as they are, and anything else as text without surrogates."""
    if value is None or isinstance(value, int | float):
        return value
    return str(value).encode("utf-8", "backslashreplace").decode()


class JsonSink:
    """A loguru sink that encodes records as JSON and samples ordinary successes."""

    def __init__(self, writer: LogWriter, routine_event: int) -> None:
        self._writer = writer
        self._sampler = RoutineSampler()
        self._routine_event = routine_event

    def __call__(self, message: Any) -> None:
        """Write one loguru message, unless it is about an ordinary success that is not sampled."""
        record = message.record
        extra = record["extra"]
        is_routine = extra.get("event") == self._routine_event and extra.get("attempts", 1) <= 1
        if is_routine and not self._sampler.should_write(str(extra.get("request_id", "")), time.monotonic()):
            return
        fields = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "message": record["message"],
            **extra,
        }
        self._writer.write(fields, is_important=not is_routine)
