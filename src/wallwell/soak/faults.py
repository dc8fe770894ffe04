"""Carries out the faults of a schedule on the processes of a run, and records when each begins and ends.

Relies on :class:`wallwell.soak.fleet.RunProcesses` for processes, store and links.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from wallwell.errors import PeerUnavailableError, SoakError
from wallwell.soak.answers import CRASH_STATUS
from wallwell.soak.control import AimLink, ForgetHistory, HarmLink, RestoreStore, SpoilEntry, SwitchStore
from wallwell.soak.fleet import REGION_BYTES_PER_S, REGION_DELAY_S, RunProcesses, sound_link, store_host
from wallwell.soak.history import FaultBegan, FaultEnded
from wallwell.soak.odd_entries import draw_own_entry
from wallwell.soak.schedule import ALL_NODES, COPY_AGE_S, STORE, FaultKind, PlannedFault
from wallwell.soak.supervisor import ChildProcess

Action = Callable[[PlannedFault], Awaitable[None]]
LOST_ANSWERS = 5
"""Writes whose answer is lost or late: more than one node retries."""
AWAY_S = 1.0
"""How long a worker that a request has crashed stays away."""
NEXT_CHECK_S = 0.05
"""Seconds between two checks for a worker's next incarnation."""
SLOW_STORE_S = 0.6
"""Seconds that a slow store holds each call: below the time-out of a call, beyond what routers are used to."""
SLOW_LINK_S = 0.1
"""Seconds by which a slow link delays each chunk."""
NARROW_LINK_BYTES_PER_S = 20_000.0
"""Width of a slow link: a stream passes, a listing of rows takes long."""
NARROW_REGIONS_FRACTION = 0.01
"""What is left of the width between regions while they are narrow."""
STORE_SWITCHES: dict[FaultKind, tuple[dict[str, Any], dict[str, Any]]] = {
    FaultKind.STORE_DOWN: ({"refuse_status": 503}, {"refuse_status": 0}),
    FaultKind.STORE_SILENT: ({"silent": True}, {"silent": False}),
    FaultKind.STORE_SLOW: ({"slow_s": SLOW_STORE_S}, {"slow_s": 0.0}),
    FaultKind.STORE_LOSES_ANSWERS: ({"lose_writes": LOST_ANSWERS}, {"lose_writes": 0}),
    FaultKind.STORE_WRITES_LATE: ({"late_writes": LOST_ANSWERS}, {"late_writes": 0}),
}
"""Switches of the store when a fault begins and when it ends."""
LINK_HARMS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.LINK_RESET: {"reset": True},
    FaultKind.LINK_SLOW: {"delay_s": SLOW_LINK_S, "bytes_per_s": NARROW_LINK_BYTES_PER_S},
    FaultKind.LINK_SILENT: {"silence": True},
    FaultKind.LINK_CUT_FORTH: {"hold_forth": True},
    FaultKind.LINK_CUT_BACK: {"hold_back": True},
    FaultKind.REGIONS_CUT: {"hold_forth": True, "hold_back": True},
    FaultKind.REGIONS_NARROW: {
        "delay_s": REGION_DELAY_S,
        "bytes_per_s": REGION_BYTES_PER_S * NARROW_REGIONS_FRACTION,
    },
}
"""Fields of :class:`HarmLink` while a fault lasts."""


HOLDING_FAULTS = frozenset(
    (
        FaultKind.KILL_NODE,
        FaultKind.PAUSE_NODE,
        FaultKind.STOP_NODE,
        FaultKind.CRASH_WORKER,
        FaultKind.DRAIN_WORKER,
        FaultKind.SHED_WORKER,
        FaultKind.LIMIT_WORKER,
        FaultKind.RESTART_WORKER,
        FaultKind.SILENCE_WORKER,
    )
)
"""Faults that end or hold the one process that they name. A reload is none: the node may be stopping."""


class FaultRunner:
    """Begins and ends faults and records both. Raises :class:`SoakError` where that fails."""

    def __init__(self, fleet: RunProcesses) -> None:
        self._fleet = fleet
        shape = fleet.schedule.shape
        self._locks = {name: asyncio.Lock() for name in (*shape.node_names(), *shape.worker_names())}
        """Held while a process is ended and started again: a leave or a planned stop may outlast its fault. A fault
        that waits for one begins, and is recorded, once it has it."""
        self._actions: dict[FaultKind, Action] = {
            FaultKind.KILL_NODE: self._kill_node,
            FaultKind.KILL_ALL_NODES: self._kill_all_nodes,
            FaultKind.PAUSE_NODE: self._pause_node,
            FaultKind.STOP_NODE: self._stop_node,
            FaultKind.RELOAD_NODE: self._reload_node,
            FaultKind.CRASH_WORKER: self._crash_worker,
            FaultKind.DRAIN_WORKER: self._drain_worker,
            FaultKind.SHED_WORKER: self._shed_worker,
            FaultKind.LIMIT_WORKER: self._limit_worker,
            FaultKind.RESTART_WORKER: self._restart_worker,
            FaultKind.SILENCE_WORKER: self._silence_worker,
            FaultKind.SPOIL_ENTRY: self._spoil_entry,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.STORE_REFUSES_NODE: self._refuse_node,
            **dict.fromkeys(STORE_SWITCHES, self._switch_store),
            **dict.fromkeys(LINK_HARMS, self._harm_link),
        }

    async def run(self, faults: tuple[PlannedFault, ...], start_s: float) -> None:
        """Carry out faults at their times."""
        await asyncio.gather(*(self._run_one(fault, start_s) for fault in faults))

    async def _run_one(self, fault: PlannedFault, start_s: float) -> None:
        await asyncio.sleep(start_s + fault.at_s - time.monotonic())
        async with contextlib.AsyncExitStack() as locks:
            for name in self._struck_processes(fault):
                await locks.enter_async_context(self._locks[name])
            self._fleet.history.add(FaultBegan(time.monotonic(), fault.kind.value, fault.target))
            try:
                await self._actions[fault.kind](fault)
            except PeerUnavailableError as error:
                raise SoakError(f"{fault}: {error}") from error
        self._fleet.history.add(FaultEnded(time.monotonic(), fault.kind.value, fault.target))

    def _struck_processes(self, fault: PlannedFault) -> tuple[str, ...]:
        """Return the processes that a fault ends or holds, which no other fault may end or hold meanwhile."""
        if fault.kind is FaultKind.KILL_ALL_NODES:
            return self._fleet.schedule.shape.node_names()
        return (fault.target,) if fault.kind in HOLDING_FAULTS else ()

    async def _between_signals(
        self,
        fault: PlannedFault,
        process_of: Callable[[str], ChildProcess],
        begin: signal.Signals,
        end: signal.Signals,
    ) -> None:
        """Carry out a fault that one signal to a process begins and another one ends."""
        process = process_of(fault.target)
        process.send(begin)
        await asyncio.sleep(fault.lasts_s)
        process.send(end)

    # --- routers ---------------------------------------------------------------------------------------

    async def _kill_node(self, fault: PlannedFault) -> None:
        await self._fleet.node(fault.target).end(signal.SIGKILL)
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.start_node(fault.target)

    async def _kill_all_nodes(self, fault: PlannedFault) -> None:
        nodes = self._fleet.schedule.shape.node_names()
        await asyncio.gather(*(self._fleet.node(node).end(signal.SIGKILL) for node in nodes))
        await asyncio.sleep(fault.lasts_s)
        for node in nodes:
            await self._fleet.start_node(node)

    async def _pause_node(self, fault: PlannedFault) -> None:
        await self._between_signals(fault, self._fleet.node, signal.SIGSTOP, signal.SIGCONT)

    async def _stop_node(self, fault: PlannedFault) -> None:
        await self._fleet.stop_node(fault.target)
        await self._fleet.start_node(fault.target)

    async def _reload_node(self, fault: PlannedFault) -> None:
        """A process that has just been started is left alone, as the signal would end it."""
        node = self._fleet.node(fault.target)
        if node.has_handler(signal.SIGHUP):
            node.send(signal.SIGHUP)

    # --- workers ---------------------------------------------------------------------------------------

    async def _crash_worker(self, fault: PlannedFault) -> None:
        await self._fleet.worker(fault.target).end(signal.SIGKILL)
        await self._replace_worker(fault.target, fault.lasts_s)

    async def _restart_worker(self, fault: PlannedFault) -> None:
        await self._fleet.worker(fault.target).end(signal.SIGKILL)
        await self._replace_worker(fault.target, fault.lasts_s, keeps_identity=True)

    async def _spoil_entry(self, fault: PlannedFault) -> None:
        worker = self._fleet.worker_incarnation(fault.target)
        await self._fleet.control_store(SpoilEntry(worker, is_spoilt=True, value=self._draw_spoilt(fault)))
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.control_store(SpoilEntry(worker, is_spoilt=False))

    def _draw_spoilt(self, fault: PlannedFault) -> str:
        """Return what is left in a worker's entry; empty where the run has no odd entries."""
        schedule = self._fleet.schedule
        if not schedule.shape.odd_entries:
            return ""
        return draw_own_entry(random.Random(f"{schedule.seed}/odd own/{fault.target}/{fault.at_s}"))

    async def _replace_worker(self, name: str, away_s: float, keeps_identity: bool = False) -> None:
        """Start a worker that has ended again, as a new incarnation or under its identity; its link refuses
        connections meanwhile."""
        await self._fleet.control_proxy(AimLink(name, ""))
        await asyncio.sleep(away_s)
        await self._fleet.start_worker(name, keeps_identity)

    @contextlib.asynccontextmanager
    async def workers_kept(self) -> AsyncIterator[None]:
        """Start workers again that a request has crashed; raises :class:`SoakError` at the end if that failed."""
        keeping = asyncio.create_task(self._keep_workers())
        try:
            yield
        finally:
            keeping.cancel()
            (ended,) = await asyncio.gather(keeping, return_exceptions=True)
        if isinstance(ended, Exception):
            raise SoakError(f"a crashed worker was not started again: {ended!r}") from ended

    async def _keep_workers(self) -> None:
        async with asyncio.TaskGroup() as keepers:
            for name in self._fleet.schedule.shape.worker_names():
                keepers.create_task(self._keep_worker(name))

    async def _keep_worker(self, name: str) -> None:
        while True:
            worker = self._fleet.worker(name)
            status = await worker.wait()
            if status == CRASH_STATUS and self._fleet.worker(name) is worker:
                # Not under the lock, which a fault on this worker may hold for seconds.
                await self._fleet.control_proxy(AimLink(name, ""))
            async with self._locks[name]:
                if status == CRASH_STATUS and self._fleet.worker(name) is worker:
                    await self._replace_worker(name, AWAY_S)
            await asyncio.sleep(NEXT_CHECK_S)

    async def _drain_worker(self, fault: PlannedFault) -> None:
        worker = self._fleet.worker(fault.target)
        worker.send(signal.SIGUSR1)
        await worker.wait()
        await self._replace_worker(fault.target, 0.0)

    async def _shed_worker(self, fault: PlannedFault) -> None:
        await self._between_signals(fault, self._fleet.worker, signal.SIGUSR2, signal.SIGUSR2)

    async def _limit_worker(self, fault: PlannedFault) -> None:
        await self._between_signals(fault, self._fleet.worker, signal.SIGHUP, signal.SIGHUP)

    async def _silence_worker(self, fault: PlannedFault) -> None:
        await self._between_signals(fault, self._fleet.worker, signal.SIGSTOP, signal.SIGCONT)

    # --- store and links -------------------------------------------------------------------------------

    async def _switch_store(self, fault: PlannedFault) -> None:
        begin, end = STORE_SWITCHES[fault.kind]
        await self._fleet.control_store(SwitchStore(begin))
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.control_store(SwitchStore(end))

    async def _refuse_node(self, fault: PlannedFault) -> None:
        host = store_host(self._fleet.schedule.shape.node_names().index(fault.target))
        await self._fleet.control_store(SwitchStore({"refused_listeners": [host]}))
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.control_store(SwitchStore({"refused_listeners": []}))

    async def _forget(self, _fault: PlannedFault) -> None:
        await self._fleet.control_store(ForgetHistory())

    async def _restore_store(self, fault: PlannedFault) -> None:
        """The copy is made before the store goes away, so that what is written last is lost."""
        await self._fleet.control_store(SwitchStore({"refuse_status": 503}))
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.control_store(RestoreStore(COPY_AGE_S + fault.lasts_s))
        await self._fleet.control_store(SwitchStore({"refuse_status": 0}))

    async def _harm_link(self, fault: PlannedFault) -> None:
        link, node = link_of(fault.target)
        await self._fleet.control_proxy(HarmLink(link, node, **LINK_HARMS[fault.kind]))
        await asyncio.sleep(fault.lasts_s)
        await self._fleet.control_proxy(sound_link(link, node))


def link_of(target: str) -> tuple[str, str]:
    """Return the proxy's link and the node whose connections are harmed, empty for all of the link's.

    Each node has a link of its own to the store; a worker's link is entered by all nodes.
    """
    source, arrow, end = target.partition(">")
    if not arrow or end == STORE:
        return target, ""
    return end, "" if source == ALL_NODES else source
