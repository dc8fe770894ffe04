"""What a node reads from the platform and its seeds: the configuration at start and later, and the machine list.

Owns no state but the session that the clients share. Relies on the committer for the table, on the transport for
peers, and on gossip for passing on what a delegate has read.
"""

from __future__ import annotations

import asyncio
import random

import aiohttp

from wallwell.clock import boot_time_s
from wallwell.errors import PeerUnavailableError, PlatformUnavailableError
from wallwell.events import Event, emit
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.machines import HttpMachineList, MachineList, MachineState

READINESS_INTERVAL_S = 0.05
"""Seconds between two checks of readiness while starting: how much later than possible a node becomes ready."""
REFRESH_DELAY_S = (0.2, 1.0)
"""Range, in seconds, of the delay after which a starting node asks the platform again that did not answer; drawn,
so that nodes which start together do not ask together."""
PLATFORM_POLL_S = 5.0
"""Mean seconds between two reads of the configuration by a delegate; gossip brings changes sooner."""
POLL_SPREAD = (0.5, 1.5)
"""Multiples of the polling interval, so that delegates do not read together."""
MACHINE_POLL_S = 1.0
"""Longest seconds between two reads of the machine list: leaving machines must be known within 3 s."""
MACHINE_POLL_SPREAD = (0.5, 1.0)
"""The same for the machine list, whose interval is the longest allowed."""


class PlatformReads:
    """Reads of one node; each public method is a loop or a task of the node."""

    def __init__(self, context: NodeContext, session: aiohttp.ClientSession, rng: random.Random) -> None:
        self._context = context
        self._session = session
        self._rng = rng

    # --- readiness -------------------------------------------------------------------------------------

    async def become_ready(self) -> None:
        """Ask peers and platform together; serve from the highest revision any of them has."""
        started_s = boot_time_s()
        transport = self._context.transport
        seeds = [seed for seed in self._context.node.membership.seeds if seed != transport.address]
        fetches = [asyncio.create_task(self._fetch_from(seed)) for seed in seeds]
        platform = asyncio.create_task(self._refresh())
        while not self._is_current(fetches, platform):
            await asyncio.sleep(READINESS_INTERVAL_S)
            if platform.done() and not platform.result():
                platform = asyncio.create_task(self._refresh_later())
        self._context.ready = True
        elapsed_ms = round((boot_time_s() - started_s) * 1000)
        emit(
            Event.NODE_READY,
            node=self._context.settings.node,
            revision=self._context.node.config.head,
            after_ms=elapsed_ms,
        )

    def _is_current(self, fetches: list[asyncio.Task[bool]], platform: asyncio.Task[bool]) -> bool:
        """Whether this node may serve: it has a configuration and nobody it can reach has a higher one.

        The platform's answer alone suffices. Without it, every seed must have answered or failed, and no
        member may have mentioned a higher revision.
        """
        node = self._context.node
        if node.config.head == 0 or node.config.head < node.highest_config_head:
            return False
        if platform.done() and platform.result():
            return True
        return bool(fetches) and all(task.done() for task in fetches) and any(task.result() for task in fetches)

    async def _fetch_from(self, seed: str) -> bool:
        """Read the configuration from a peer; returns whether the peer has one."""
        transport = self._context.transport
        try:
            delta = await transport.fetch_config(seed, 0)
        except PeerUnavailableError as error:
            emit(Event.CONFIG_FETCH_FAILED, peer=seed, reason=str(error))
            return False
        try:
            transport.apply_config_delta(delta)
        except Exception as error:  # The platform and the other seeds may still have a configuration.
            emit(Event.INTERNAL_ERROR, where="configuration of a peer", key=seed, reason=repr(error))
            return False
        return delta.head > 0

    async def _refresh(self) -> bool:
        """Read the configuration from the platform; returns whether it answered."""
        try:
            await self._context.committer.refresh()
        except PlatformUnavailableError as error:
            emit(Event.TABLE_UNAVAILABLE, detail=error.detail)
            return False
        except Exception as error:  # The peers may still have a configuration.
            emit(Event.INTERNAL_ERROR, where="configuration of the platform", key="", reason=repr(error))
            return False
        return True

    async def _refresh_later(self) -> bool:
        await asyncio.sleep(self._rng.uniform(*REFRESH_DELAY_S))
        return await self._refresh()

    # --- polls of delegates ----------------------------------------------------------------------------

    async def poll_configuration(self) -> None:
        """Delegates read the table rarely, for a change whose spread was lost; other nodes receive it by gossip."""
        while True:
            await asyncio.sleep(PLATFORM_POLL_S * self._rng.uniform(*POLL_SPREAD))
            if self._is_delegate():
                await self._refresh()

    async def poll_machines(self) -> None:
        """Delegates read the machine list; leaving back ends spread through gossip."""
        platform = self._context.settings.platform
        if not platform.machines:
            return
        machines = HttpMachineList(platform.machines, self._session, platform.timeout_s)
        while True:
            await asyncio.sleep(MACHINE_POLL_S * self._rng.uniform(*MACHINE_POLL_SPREAD))
            if self._is_delegate():
                await self._read_machines(machines)

    def _is_delegate(self) -> bool:
        node = self._context.node
        return node.regions.is_delegate(node.membership.alive())

    async def _read_machines(self, machines: MachineList) -> None:
        """Take over the machines that are leaving; without an answer those known before stay."""
        try:
            listed = await machines.read()
        except PlatformUnavailableError:
            emit(Event.MACHINE_LIST_UNAVAILABLE)
            return
        leaving = {machine.address for machine in listed if machine.state is MachineState.LEAVING}
        self._context.node.engines.leaving_by_machine_list = leaving
