"""One router process: connects the state, the followed tables, the drivers and the request pipeline.

Owns the background tasks and the count of requests in flight. A :class:`NodeAdapter` supplies the platform's parts.
Readiness is decided by :mod:`wallwell.node.readiness`; stops are performed by :mod:`wallwell.node.planned_stop`.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from functools import partial

import msgspec
from msgspec import UNSET, UnsetType

from wallwell.address import parse_address
from wallwell.clock import boot_time_s
from wallwell.cluster.crash_reports import CrashReports
from wallwell.cluster.load_messages import MemberLoad, RegionLoad, ZoneLoad
from wallwell.cluster.load_reporter import LoadReporter
from wallwell.cluster.peer_link import PeerServer, ReplyStream
from wallwell.cluster.relay import rows_handler
from wallwell.cluster.row_messages import RowsRequest
from wallwell.cluster.stream_directory import StreamDirectory
from wallwell.cluster.stream_records import StreamRecords
from wallwell.cluster.upstream import NodeRecord, UpstreamOrder
from wallwell.deployment.freshness import StoreClock
from wallwell.deployment.topology import Topology
from wallwell.errors import RequestError
from wallwell.events import Event, emit
from wallwell.node.adapter import NodeAdapter, NodeSources
from wallwell.node.backend_notices import apply_notice
from wallwell.node.backend_rows import BackendRows
from wallwell.node.crash_probe import CrashProbe
from wallwell.node.crash_watch import CrashWatch
from wallwell.node.followers import BACKENDS_TIMING, OPERATORS_TIMING, OWN_TIMING, TableFollowers
from wallwell.node.housekeeping import Housekeeping
from wallwell.node.kv_store_watch import CacheRequest, KvStoreWatch
from wallwell.node.member_rows import MemberRows
from wallwell.node.operator_rows import OperatorRows
from wallwell.node.peer_checks import ConnectionCheckRequest, PeerChecks
from wallwell.node.planned_stop import PlannedStop
from wallwell.node.readiness import Readiness
from wallwell.node.state import FleetBounds, NodeState
from wallwell.node.supervision import LoopFunction, run_supervised
from wallwell.peer_attempts.client import PeerAttemptClient
from wallwell.peer_attempts.messages import AttemptRequest
from wallwell.peer_attempts.paths import AttemptPaths
from wallwell.peer_attempts.server import PeerAttemptServer
from wallwell.placement.weights_roll_driver import WeightsRollDriver
from wallwell.rollout.driver import RolloutDriver
from wallwell.rollout.planner import RolloutPlanner
from wallwell.rollout.reporter import CountsReporter
from wallwell.rollout.reports import CountsReport, FleetCounts
from wallwell.routing.admission.stop_times import is_read_too_late, plan_stop
from wallwell.routing.selection.peer_choice import PeerChoice, PeerNode
from wallwell.serving.liveness import LivenessMonitor
from wallwell.serving.messages import CallerReply, CallerRequest
from wallwell.serving.pipeline import RequestPipeline


class NodeProfile(msgspec.Struct, frozen=True):
    """A node's name, location and network link."""

    name: str
    topology: Topology
    """The node's zone and the distance of other zones from it."""
    link_mbps: float = 0.0
    """Speed of the node's network link in Mbit/s; 0 if the settings do not state it."""

    @property
    def zone(self) -> str:
        """The node's zone."""
        return self.topology.zone


class FleetNode:
    """One node of a fleet that keeps its persistent state in a store."""

    def __init__(
        self, profile: NodeProfile, bounds: FleetBounds, adapter: NodeAdapter, seed: int | None = None
    ) -> None:
        """``seed`` makes the node's random numbers reproducible; by default each start uses other ones."""
        rng = random.Random(seed if seed is not None else f"{profile.name}/{time.time_ns()}")
        self.state = NodeState(
            profile.name,
            profile.zone,
            bounds,
            rng,
            started_s=boot_time_s(),
            topology=profile.topology,
            store_era=adapter.sources.era,
        )
        self.in_flight = 0
        """Number of requests of callers and peers that are not answered yet."""
        self._open_requests: dict[CallerReply, str] = {}
        """The ids of callers' requests that are not answered yet, by the reply."""
        self._profile = profile
        self._pool = adapter.pool
        self._clock = StoreClock()
        self._order = UpstreamOrder(profile.name, profile.zone, topology=profile.topology)
        self.state.zones.on_zone_returned = self._order.on_zone_returned
        adapter.notices.on_notice = partial(apply_notice, self.state)
        self._tasks: list[asyncio.Task[None]] = []

        self._build_pipeline(adapter)
        self._build_drivers(adapter)
        self._build_followers(adapter.sources)
        self._build_peers(adapter.sources)
        self.readiness = Readiness(self.state, self._member_rows)
        self._housekeeping = Housekeeping(
            self._member_rows, self._own_record, self._backend_rows, adapter.pool, self.state.rng
        )
        self._planned_stop = PlannedStop(
            self.state,
            self.readiness,
            (self._weights_roll, self._rollout_driver),
            self._peer_server,
            lambda: self.in_flight,
        )

    # --- wiring ----------------------------------------------------------------------------------------

    def _build_pipeline(self, adapter: NodeAdapter) -> None:
        self._liveness = LivenessMonitor(self.state, adapter.backend_check)
        self._peer_checks = PeerChecks(
            self.state, adapter.backend_check, lambda: self._peers_that(lambda member: member.checks_backends)
        )
        self._crash_watch = CrashWatch(
            self.state,
            CrashProbe(adapter.backend_check, self.state.backends.all_backends, self._peer_checks.refuses_peers),
            adapter.sources.own_table,
            lambda: self._order.members,
            lambda: self._clock.to_store_s(boot_time_s()),
        )
        choice = PeerChoice(self.state.topology, self.state.rng)
        peer_client = PeerAttemptClient(
            choice, lambda: self._peers_that(lambda member: member.makes_attempts), adapter.notices
        )
        self._stream_records = StreamRecords(
            self.state.node,
            adapter.sources.streams_table,
            self.state.version_views,
            lambda: self._clock.to_store_s(boot_time_s()),
            lambda: self.state.node_count,
            self.state.rng,
            self.state.row_errors,
        )
        self._stream_directory = StreamDirectory(
            self.state.node,
            self.state.topology,
            lambda: self._order.members,
            self._known_versions,
            self._stream_records.add,
            self._stream_records.life,
        )
        self._pipeline = RequestPipeline(
            self.state,
            AttemptPaths(adapter.client, peer_client),
            liveness=self._liveness,
            crash_observer=self._crash_watch,
            stream_directory=self._stream_directory,
            stream_records=self._stream_records,
        )
        self._peer_attempts = PeerAttemptServer(
            self.state,
            adapter.client,
            self._pipeline.feedback,
            self._liveness,
            self._pipeline.counters,
            self.is_ready,
        )

    def _known_versions(self, service: str) -> set[str]:
        """Return the versions that may have begun streams, by the store those from before this node's start too."""
        view = self.state.version_view(service)
        if view.is_complete:
            return view.versions
        return view.versions | self._stream_records.recorded_versions(service)

    def _peers_that(self, can: Callable[[NodeRecord], bool | UnsetType]) -> Iterator[PeerNode]:
        """Yield the other nodes whose rows state that they ``can`` do something for peers."""
        for name, member in self._order.members.items():
            if name != self.state.node and can(member) is True and member.address is not None:
                yield PeerNode(name, member.zone, member.address)

    def _build_drivers(self, adapter: NodeAdapter) -> None:
        """Build the drivers of weights rolls and rollouts, each of which runs on at most one node at a time."""
        sources = adapter.sources
        self._weights_roll = WeightsRollDriver(self.state, sources.own_table, adapter.control, self._clock)
        counts = FleetCounts()
        planner = RolloutPlanner(self.state.bounds.rollout)
        self._rollout_driver = RolloutDriver(
            self.state, sources.own_table, sources.rollouts, planner, counts, self._clock
        )
        self._counts_reporter = CountsReporter(
            self.state.node,
            self.state.rollouts.tally,
            counts,
            lambda: self._rollout_driver.holder,
            lambda: self._order.members,
        )

    def _build_followers(self, sources: NodeSources) -> None:
        self._operator_rows = OperatorRows(self.state, sources)
        self._backend_rows = BackendRows(self.state, sources, self._pool)
        self._member_rows = MemberRows(
            self.state,
            sources.own_table,
            self._order,
            (self._weights_roll, self._rollout_driver, self._crash_watch, self._stream_records),
        )
        self._followers = TableFollowers(self.state, self._order, self._clock)
        self._followers.add("operators", sources.operator_rows, self._operator_rows.apply, OPERATORS_TIMING)
        self._followers.add("backends", sources.backend_rows, self._backend_rows.apply, BACKENDS_TIMING)
        self._followers.add("own", sources.own_rows, self._member_rows.apply, OWN_TIMING)

    def _build_peers(self, sources: NodeSources) -> None:
        """Build the server for peers and the reporters that exchange load and crashes with them."""
        crash_watch = self._crash_watch
        crash_reports = CrashReports(crash_watch.unwritten_crashes, crash_watch.on_peer_report, crash_watch.age_s)
        self._load_reporter = LoadReporter(
            self.state.node, self.state.load, self._order, self.state.region_traffic, crash_reports
        )
        self._kv_store_watch = KvStoreWatch(self.state, sources.cache_events, self._order)
        self._peer_server = PeerServer(
            {
                RowsRequest: rows_handler(self._followers.relayed_tables),
                MemberLoad: self._load_reporter.on_member_load,
                ZoneLoad: self._load_reporter.on_zone_load,
                RegionLoad: self._load_reporter.region_reporter.on_region_load,
                CacheRequest: self._kv_store_watch.answer_peer,
                CountsReport: self._counts_reporter.on_counts_report,
                ConnectionCheckRequest: self._peer_checks.answer_peer,
            },
            {AttemptRequest: self._make_attempt_for_peer},
        )

    def _own_record(self) -> NodeRecord:
        relay = self._peer_server.address
        return NodeRecord(
            self._profile.zone,
            relay,
            self._profile.link_mbps,
            makes_attempts=True if relay else UNSET,
            keeps_streams=True if self._stream_directory.is_listening else UNSET,
            checks_backends=True if relay else UNSET,
        )

    # --- start -----------------------------------------------------------------------------------------

    async def listen_for_peers(self, host: str, ports: Iterable[int]) -> None:
        """Serve peers on the first free port; if none is free, peers read the store themselves."""
        refused: list[OSError] = []
        for port in ports:
            try:
                await self._peer_server.start(host, port)
                await self._listen_for_datagrams()
                break
            except OSError as error:
                refused.append(error)  # Another process on the machine may use the port.
        else:
            emit(Event.RELAY_NOT_SERVED, host=host)
        if refused:
            emit(Event.PEER_PORTS_REFUSED, host=host, ports=len(refused), reason=str(refused[-1]))

    async def _listen_for_datagrams(self) -> None:
        """Receive datagrams at the port at which peers are served; without them this node keeps no streams."""
        address = parse_address(self._peer_server.address)
        try:
            await self._stream_directory.listen(address.host, address.port)
        except OSError as error:
            emit(Event.PEER_PORTS_REFUSED, host=address.host, ports=1, reason=str(error))

    def start(self) -> None:
        """Start following the store and start all background loops."""
        loops: list[LoopFunction] = [each.run for each in self._followers.followers]
        loops += [self._weights_roll.run, self._load_reporter.run, self._kv_store_watch.run, self._liveness.run]
        loops += [self._housekeeping.run, self.readiness.watch_event_loop, self._crash_watch.run]
        if self._profile.topology.has_other_regions:
            loops.append(self._load_reporter.region_reporter.run)
        loops += [self._rollout_driver.run, self._counts_reporter.run, self._stream_directory.run]
        loops.append(self._stream_records.run)
        self._tasks = [asyncio.create_task(run_supervised(loop)) for loop in loops]

    # --- callers ---------------------------------------------------------------------------------------

    async def serve(self, request: CallerRequest, reply: CallerReply) -> None:
        """Answer one request of a caller."""
        self.in_flight += 1
        self._open_requests[reply] = request.request_id
        try:
            await self._pipeline.serve(request, reply)
        finally:
            self.in_flight -= 1
            del self._open_requests[reply]

    async def _make_attempt_for_peer(self, message: AttemptRequest, replies: ReplyStream) -> None:
        """Make an attempt of another node's request, for which a planned stop of this node waits too."""
        self.in_flight += 1
        try:
            await self._peer_attempts.serve(message, replies)
        finally:
            self.in_flight -= 1

    def metrics_text(self) -> bytes:
        """Return this node's metrics in the Prometheus text format."""
        # Imported here so that a node without a metrics address does not load the Prometheus library.
        from wallwell.node.metrics import metrics_text

        discarded_answers = self._pool.discarded_answers.counts
        return metrics_text(self._pipeline.counters, discarded_answers, self.state, self.is_ready())

    def is_ready(self) -> bool:
        """Whether callers should open new connections to this node."""
        return self.readiness.is_ready()

    def sheds_connection(self) -> bool:
        """Whether a new connection of a caller is closed unread, since this node is late and others are not."""
        if not self.readiness.shedding.closes_next():
            return False
        self._pipeline.counters.shed_connections += 1
        return True

    def is_closing_connections(self) -> bool:
        """Whether callers should send their next request to another node."""
        return self.readiness.is_closing_connections()

    def open_request_ids(self) -> list[str]:
        """Return the ids of callers' requests that are not answered yet; may be called in another thread."""
        return list(self._open_requests.values())

    # --- stop ------------------------------------------------------------------------------------------

    async def drain(
        self, grace_s: float, close_listener: Callable[[], Awaitable[None]], requested_s: float | None = None
    ) -> None:
        """Finish open requests within ``grace_s`` seconds of ``requested_s``, by default now; see
        :meth:`PlannedStop.drain`."""
        await self._planned_stop.drain(
            plan_stop(boot_time_s() if requested_s is None else requested_s, grace_s), close_listener
        )

    def ended_by_stop(self) -> dict[str, int]:
        """Return how many requests a planned stop has refused as too late, and how many it has cut, by kind."""
        return self._pipeline.counters.ended_by_stop()

    def refuse_unread(self, request_id: str, error: RequestError) -> None:
        """Log and count a request that is refused before it has been read whole."""
        self._pipeline.refuse_unread(request_id, error)

    def takes_requests(self) -> bool:
        """Whether a request that has been read whole by now is served: not late in a planned stop."""
        return not is_read_too_late(self.state.stop, boot_time_s())

    async def stop(self) -> None:
        """Cancel all background loops and close all connections."""
        self._weights_roll.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peer_server.close()
        self._peer_server.abort_streams()
        self._stream_directory.close()
        self._load_reporter.close()
        self._kv_store_watch.close()
        self._counts_reporter.close()
        self._followers.close()
        self._pool.close()
