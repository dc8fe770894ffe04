"""What a caller receives of one streamed answer, event by event. Owns no sockets and no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from wallwell.bench.latency import record_s
from wallwell.bench.load_result import PriorityResult
from wallwell.standalone.callers.openai_format import chunk_text

_EVENT_END = b"\n\n"
_TERMINAL_MARKER = b"data: [DONE]"
_ERROR_EVENT = b"event: error"


@dataclass
class ReceivedStream:
    """Tokens, times and the end of one stream. Times are the caller's, in seconds; 0 before the first token."""

    words: list[str] = field(default_factory=list)
    first_s: float = 0.0
    last_s: float = 0.0
    done: bool = False
    """Whether the terminal marker arrived."""
    error: bool = False
    """Whether an error event arrived."""
    _incomplete: bytes = b""

    def receive(self, data: bytes, now_s: float) -> None:
        """Take bytes as they arrive."""
        *events, self._incomplete = (self._incomplete + data).split(_EVENT_END)
        for event in events:
            self._on_event(event, now_s)

    def _on_event(self, event: bytes, now_s: float) -> None:
        if event.startswith(_TERMINAL_MARKER):
            self.done = True
        elif event.startswith(_ERROR_EVENT):
            self.error = True
        else:
            self.words.append(chunk_text(event))
            self.last_s = now_s
            self.first_s = self.first_s or now_s

    def record(self, result: PriorityResult, intended_s: float) -> None:
        """Record the time to the first token since the intended start, and the mean time between tokens."""
        if self.first_s:
            record_s(result.first_token_us, self.first_s - intended_s)
        if len(self.words) > 1:
            record_s(result.between_tokens_us, (self.last_s - self.first_s) / (len(self.words) - 1))
