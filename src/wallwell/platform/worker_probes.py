"""Probes workers by opening connections, which occupies no slot of a worker.

Owns the timeouts of probes. The connection that a probe opens stays in the pool and is used for the next request.
"""

from __future__ import annotations

from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.topology import SINGLE_REGION, Distance, Topology
from wallwell.http_connection import ConnectFailedError, ConnectionPool
from wallwell.node.crash_probe import ConnectionResult

SAME_REGION_TIMEOUT_S = 0.12
"""Seconds within which a machine must answer a SYN packet; more than the longest round trip within a region."""
OTHER_REGION_TIMEOUT_S = 0.25
"""The same for a machine in another region: 40 ms of round trip plus queueing on the link between regions."""


class WorkerProbes:
    """Determines, by opening connections, whether workers are reachable and whether their processes have ended."""

    def __init__(self, pool: ConnectionPool, topology: Topology = SINGLE_REGION) -> None:
        self._pool = pool
        self._topology = topology

    async def is_reachable(self, backend: BackendRecord) -> bool:
        """See :class:`wallwell.serving.liveness.ReachabilityCheck`."""
        failure = await self._open_connection(backend)
        return failure is None or not failure.timed_out

    async def accepts_connections(self, backend: BackendRecord) -> bool:
        """See :class:`wallwell.serving.liveness.ReachabilityCheck`."""
        return await self._open_connection(backend) is None

    async def refuses_connections(self, backend: BackendRecord) -> bool:
        """See :class:`wallwell.node.crash_probe.CrashCheck`."""
        if self._pool.has_idle(backend.address):
            return False  # If the process had ended, this connection would have been reset.
        failure = await self._open_connection(backend)
        return failure is not None and failure.refused

    async def connect(self, backend: BackendRecord) -> ConnectionResult:
        """See :class:`wallwell.node.crash_probe.CrashCheck`."""
        failure = await self._open_connection(backend)
        if failure is None:
            return ConnectionResult.ACCEPTED
        return ConnectionResult.REFUSED if failure.refused else ConnectionResult.UNKNOWN

    async def _open_connection(self, backend: BackendRecord) -> ConnectFailedError | None:
        """Open a connection for the next request; return the error if that fails, else None."""
        is_far = self._topology.distance_to(backend.zone) is Distance.OTHER_REGION
        timeout_s = OTHER_REGION_TIMEOUT_S if is_far else SAME_REGION_TIMEOUT_S
        try:
            await self._pool.open_idle(backend.address, timeout_s)
        except ConnectFailedError as error:
            return error
        return None
