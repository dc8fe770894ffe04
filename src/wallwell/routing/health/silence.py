"""Decides when a back end that sends nothing while requests are in flight there is probed. Pure.

Inputs are the times at which the back end was sent something after an idle time, and at which it sent anything.
Times are seconds on this node's clock.

A machine without power says nothing: its connections stay open and its streams stop. An engine that prefills a long
prompt between the tokens of its streams is silent for a while too. So what counts as a long silence follows from
the silences seen at the back end itself, and even then it is only probed with a new connection; it is suspended if
that one gets no answer.

In a simulated outage of one engine, with eight nodes, all of them found it after 0.31 to 0.33 s, where each stream
had waited for a second. Probing sooner (0.15 s, 1.3 times the usual silence, connections of 0.09 s) was worse:
0.658 of the requests' value was served instead of 0.665.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

USUAL_SILENCE_HALF_LIFE_S = 4.0
"""Seconds in which half of the largest silence is forgotten."""
LONG_SILENCE_FACTOR = 1.5
"""Multiple of the largest usual silence that counts as long; 1.3 was worse, see above."""
MIN_LONG_SILENCE_S = 0.18
"""Seconds below which no silence is long, whatever is usual; 0.15 was worse, see above."""
MAX_LONG_SILENCE_S = 1.0
"""Seconds from which a silence is long for any back end, also for one that has not been heard yet."""
PROBE_INTERVAL_S = 0.5
"""Seconds between two probes of a silent back end: a probe costs it one connection."""


def long_silence_threshold_s(usual_silence_s: float | None) -> float:
    """Return from when on a silence is long; ``usual_silence_s`` is None if nothing was received."""
    if usual_silence_s is None:
        return MAX_LONG_SILENCE_S
    return min(MAX_LONG_SILENCE_S, max(MIN_LONG_SILENCE_S, LONG_SILENCE_FACTOR * usual_silence_s))


@dataclass
class Silence:
    """What this node hears of one back end while requests are in flight there."""

    silent_since_s: float = float("-inf")
    """When it last sent anything, or was last sent a request after it had nothing in flight."""
    last_received_s: float = float("-inf")
    """When it last sent anything: a sign of life, which requests to it are not."""
    _largest_silence_s: float | None = None
    _largest_updated_s: float = 0.0
    _last_probe_s: float = float("-inf")

    def on_idle_ended(self, now_s: float) -> None:
        """A request is sent while none was in flight: silence counts from here."""
        self.silent_since_s = now_s

    def on_received(self, now_s: float) -> None:
        """The back end sent something."""
        silence_s = now_s - self.silent_since_s
        usual_silence_s = self.usual_silence_s(now_s)
        if usual_silence_s is None or silence_s >= usual_silence_s:
            self._largest_silence_s = silence_s
            self._largest_updated_s = now_s
        self.silent_since_s = self.last_received_s = now_s

    def usual_silence_s(self, now_s: float) -> float | None:
        """Return the largest usual silence, None if nothing has been heard yet."""
        if self._largest_silence_s is None:
            return None
        return self._largest_silence_s * math.exp2(-(now_s - self._largest_updated_s) / USUAL_SILENCE_HALF_LIFE_S)

    def begin_probe_if_due(self, now_s: float) -> bool:
        """Return whether the back end is to be probed now, and count it as probed if so."""
        if now_s - self._last_probe_s < PROBE_INTERVAL_S:
            return False
        if now_s - self.silent_since_s < long_silence_threshold_s(self.usual_silence_s(now_s)):
            return False
        self._last_probe_s = now_s
        return True
