"""The operator of a run: changes keys, names weights, orders a rollout and acts on its state."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import Any

from wallwell.errors import PeerUnavailableError, SoakError
from wallwell.platform import names
from wallwell.soak.caller_process import MODEL
from wallwell.soak.control import AimLink
from wallwell.soak.fleet import RunProcesses
from wallwell.soak.history import RolloutOrdered, RolloutState, WeightsNamed
from wallwell.soak.schedule import FIRST_KEYS, LATER_KEYS, OperationKind, PlannedOperation
from wallwell.soak.versions import ROLLOUT_SERVICE, ROLLOUTS, TARGET_VERSION

LATER_VERSION = 2
"""Of the weights."""
ROLLOUT_KEY = names.ROLLOUT_KEY_PREFIX + ROLLOUT_SERVICE
POLL_INTERVAL_S = 0.1
"""Seconds between two readings of a rollout's state."""
POLL_BEYOND_S = 2.0
"""Seconds after a rollout's deadline in which its state is still read."""
DRAIN_AFTER_S = 1.0
"""Seconds from a rollback to the drain of the target workers."""


class Operator:
    """Carries out the operations of a schedule."""

    def __init__(self, fleet: RunProcesses) -> None:
        self._fleet = fleet
        self._version = 1
        self._keys = FIRST_KEYS
        self._more_routes = 0
        self._isolated: tuple[str, ...] = ()
        """Keys of the isolated tenants."""
        self._actions = {
            OperationKind.CHANGE_KEYS: self._change_keys,
            OperationKind.NAME_WEIGHTS: self._name_weights,
            OperationKind.ROLL_OUT: self._roll_out,
            OperationKind.ADD_ROUTE: self._add_route,
            OperationKind.ISOLATE: self._isolate,
        }

    async def run(self, operations: tuple[PlannedOperation, ...], start_s: float) -> None:
        """Carry out operations at their times. Raises :class:`SoakError` where one fails."""
        await asyncio.gather(*(self._run_one(operation, start_s) for operation in operations))

    async def _run_one(self, operation: PlannedOperation, start_s: float) -> None:
        await asyncio.sleep(start_s + operation.at_s - time.monotonic())
        try:
            await self._actions[operation.kind](operation)
        except PeerUnavailableError as error:
            raise SoakError(f"{operation}: {error}") from error

    async def _change_keys(self, _operation: PlannedOperation) -> None:
        self._keys = LATER_KEYS
        await self._put_configuration()

    async def _add_route(self, _operation: PlannedOperation) -> None:
        self._more_routes += 1
        await self._put_configuration()

    async def _isolate(self, operation: PlannedOperation) -> None:
        self._isolated = operation.keys
        await self._put_configuration()

    async def _put_configuration(self) -> None:
        self._version += 1
        await self._fleet.put_configuration(self._version, self._keys, self._more_routes, self._isolated)

    async def _name_weights(self, _operation: PlannedOperation) -> None:
        row = json.dumps({"model": MODEL, "version": LATER_VERSION})
        at_s = await self._fleet.put_row(names.OPERATOR_TABLE, names.VERSION_KEY_PREFIX + MODEL, row)
        self._fleet.weights = LATER_VERSION
        self._fleet.history.add(WeightsNamed(at_s, MODEL, LATER_VERSION))

    # --- rollouts --------------------------------------------------------------------------------------

    async def _roll_out(self, _operation: PlannedOperation) -> None:
        shape = self._fleet.schedule.shape
        duration_s, badness = shape.rollout_duration_s(), ROLLOUTS[shape.rollout]
        order = {"service": ROLLOUT_SERVICE, "target_version": TARGET_VERSION, "duration_s": duration_s}
        at_s = await self._fleet.put_row(names.OPERATOR_TABLE, ROLLOUT_KEY, json.dumps(order))
        self._fleet.history.add(RolloutOrdered(at_s, ROLLOUT_SERVICE, TARGET_VERSION, duration_s, badness.is_bad))
        for name in shape.target_names():
            self._fleet.software[name] = (TARGET_VERSION, badness)
        await asyncio.gather(*(self._fleet.start_worker(name) for name in shape.target_names()))
        state = await self._follow(at_s + duration_s + POLL_BEYOND_S)
        if state == "complete":
            await self._stop_old()
        elif state == "rolled_back":
            await asyncio.sleep(DRAIN_AFTER_S)
            for name in shape.target_names():
                self._fleet.worker(name).send(signal.SIGUSR1)

    async def _follow(self, until_s: float) -> str:
        """Record each state of the rollout until a final one, which is returned; empty if none comes."""
        last = ""
        while time.monotonic() < until_s:
            text = await self._fleet.read_row(names.STATUS_TABLE, ROLLOUT_KEY)
            status: dict[str, Any] = json.loads(text) if text else {}
            state = status.get("state", "") if status.get("target_version") == TARGET_VERSION else ""
            if state != last:
                last = state
                record = RolloutState(time.monotonic(), ROLLOUT_SERVICE, TARGET_VERSION, state)
                self._fleet.history.add(record)
            if state in ("complete", "rolled_back"):
                return str(state)
            await asyncio.sleep(POLL_INTERVAL_S)
        return ""

    async def _stop_old(self) -> None:
        """Stop the current workers at once; their requests in flight are cut."""
        shape = self._fleet.schedule.shape
        for name in shape.worker_names():
            if name.startswith(ROLLOUT_SERVICE):
                self._fleet.retired.add(name)
                await self._fleet.worker(name).end(signal.SIGTERM)
                await self._fleet.control_proxy(AimLink(name, ""))
