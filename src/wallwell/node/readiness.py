"""Decides whether callers should connect to a node, and whether it keeps their open connections.

Owns the node's ``draining`` flag, the measurement of its event loop's delay and what follows from that. Relies on
the store rows that the node follows: until they are read, it does not know which callers and back ends are allowed.
"""

from __future__ import annotations

import asyncio

from wallwell.clock import SuspensionWatch, boot_time_s
from wallwell.events import Event, emit
from wallwell.node.connection_shedding import ConnectionShedding, is_load_skewed
from wallwell.node.loop_lag import LoopLag
from wallwell.node.member_rows import MemberRows
from wallwell.node.state import NodeState
from wallwell.read_gaps import TIMER_INTERVAL_S, loop_progress

NOT_READY_LOG_DELAY_S = 4.0
"""Seconds after a node's start before it logs what it lacks to be ready: a start takes less than two."""


class Readiness:
    """The readiness that one node reports to load balancers."""

    def __init__(self, state: NodeState, member_rows: MemberRows) -> None:
        self._state = state
        self._member_rows = member_rows
        self._suspension_watch = SuspensionWatch()
        self.loop_lag = LoopLag()
        self.shedding = ConnectionShedding(self._is_load_skewed, state.rng)
        self.draining = False
        """Whether a planned stop has begun."""
        self._logged_lack: list[str] = []
        """What the last log line on a node that is not ready yet named as missing."""

    def is_ready(self) -> bool:
        """Whether callers should open new connections to this node."""
        now_s = boot_time_s()
        if self.draining or self.loop_lag.is_starved(now_s):
            return False
        # The nodes' own table lists versions and requests that must not be served.
        return self._member_rows.has_been_read and self._state.is_ready(now_s)

    def _log_lack(self, now_s: float) -> None:
        """Log what a node lacks to be ready, if its start takes long; once for each change."""
        if now_s < self._state.started_s + NOT_READY_LOG_DELAY_S:
            return
        lack = self._state.lacks_to_be_ready(now_s)
        if not self._member_rows.has_been_read:
            lack.append("the nodes' own table")
        if lack and lack != self._logged_lack:
            emit(Event.NODE_NOT_READY, lacks=lack)
        self._logged_lack = lack

    def is_closing_connections(self) -> bool:
        """Whether callers should send their next request to another node."""
        return self.draining or not self._state.is_fresh(boot_time_s())

    async def watch_event_loop(self) -> None:
        """Measure the event loop's delay and detect suspensions of the machine, until cancelled."""
        loop_progress.begin(boot_time_s())
        try:
            while True:
                due_s = boot_time_s() + TIMER_INTERVAL_S
                await asyncio.sleep(TIMER_INTERVAL_S)
                self._on_timer(due_s, boot_time_s())
        finally:
            loop_progress.end()

    def _on_timer(self, due_s: float, now_s: float) -> None:
        loop_progress.on_timer(now_s)
        self._suspension_watch.check()
        self.loop_lag.observe(now_s - due_s, now_s)
        self._observe_for_shedding(now_s - due_s)
        self._log_lack(now_s)

    def _observe_for_shedding(self, delay_s: float) -> None:
        was_shedding = self.shedding.fraction > 0
        self.shedding.observe(delay_s)
        is_shedding = self.shedding.fraction > 0
        if is_shedding and not was_shedding:
            emit(Event.CONNECTIONS_SHED, late_ms=round(delay_s * 1000))
        elif was_shedding and not is_shedding:
            emit(Event.CONNECTIONS_TAKEN_AGAIN)

    def _is_load_skewed(self) -> bool:
        return is_load_skewed(*self._state.own_and_peers_load(), self._state.node_count)
