"""How long a back end is usually silent while it works, and when it is asked whether it lives. Pure.

A machine without power says nothing: its connections stay open and its streams stop. An engine that reads a long
prompt between the tokens of its streams is silent for a while too. So what counts as a long silence follows from
the silences seen at the back end itself, and even then it is only asked, with a new connection, and not given up.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

HALF_LIFE_S = 4.0
"""Time in which half of the largest silence is forgotten."""
LONG_FACTOR = 1.5
"""Multiple of the largest usual silence that counts as long."""
SHORTEST_S = 0.18
LONGEST_S = 1.0
"""A silence of this length is long for any back end; also the bound for one that has not been heard yet."""
ASK_AGAIN_S = 0.5


@dataclass
class Silence:
    """What this node hears of one back end while requests are under way there. Times are on its clock."""

    heard_s: float = float("-inf")
    """When it last sent anything, or was last sent a request after it had nothing under way."""
    sent_s: float = float("-inf")
    """When it last sent anything: a sign of life, which requests to it are not."""
    _largest_s: float | None = None
    _updated_s: float = 0.0
    _asked_s: float = float("-inf")

    def on_idle_ended(self, now_s: float) -> None:
        """A request is sent while none was under way: silence counts from here."""
        self.heard_s = now_s

    def on_heard(self, now_s: float) -> None:
        """The back end sent something."""
        silent_s = now_s - self.heard_s
        usual_s = self.usual_s(now_s)
        if usual_s is None or silent_s >= usual_s:
            self._largest_s = silent_s
            self._updated_s = now_s
        self.heard_s = self.sent_s = now_s

    def usual_s(self, now_s: float) -> float | None:
        """Return the largest usual silence, None if nothing has been heard yet."""
        if self._largest_s is None:
            return None
        return self._largest_s * math.exp2(-(now_s - self._updated_s) / HALF_LIFE_S)

    def should_ask(self, now_s: float) -> bool:
        """Whether the back end is to be asked now if it lives; counts it as asked if so."""
        if now_s - self._asked_s < ASK_AGAIN_S or now_s - self.heard_s < self._long_s(now_s):
            return False
        self._asked_s = now_s
        return True

    def _long_s(self, now_s: float) -> float:
        usual_s = self.usual_s(now_s)
        if usual_s is None:
            return LONGEST_S
        return min(LONGEST_S, max(SHORTEST_S, LONG_FACTOR * usual_s))
