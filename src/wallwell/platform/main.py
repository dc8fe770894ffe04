"""Entry point of a router on the platform: builds the node, opens its listeners, and performs a planned stop.

Owns the process's signal handlers, its listeners, and the order in which a stop closes them. The rest is done by
:class:`wallwell.node.node.FleetNode`.
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop
from aiohttp import web

from wallwell.build_info import build_commit, build_version
from wallwell.callers_server import stop_accepting
from wallwell.clock import boot_time_s
from wallwell.errors import AddressInUseError, WallwellError
from wallwell.events import Event, configure_logging, emit
from wallwell.loop_errors import last_frame, log_loop_errors
from wallwell.node.adapter import NodeAdapter, NodeSources
from wallwell.node.node import FleetNode, NodeProfile
from wallwell.platform import names
from wallwell.platform.cache_events import CacheEventsClient
from wallwell.platform.caller_listener import CallerListener
from wallwell.platform.rollouts import PlatformRolloutStore
from wallwell.platform.rows import decode_backend, decode_config, decode_rollout_order, decode_weights_version
from wallwell.platform.settings import PlatformSettings, load_platform_settings, settings_path
from wallwell.platform.stop_deadline import exit_now, exit_within
from wallwell.platform.store import PlatformStore, StoreTable, TableRows
from wallwell.platform.worker_client import WorkerClient, make_cache_store_pool, make_worker_pool
from wallwell.platform.worker_orders import WorkerControl
from wallwell.platform.worker_probes import WorkerProbes
from wallwell.routing.health.backend_notice import BackendNotices

SHUTDOWN_TIMEOUT_S = 0.1
"""Seconds for which a closing listener waits for its handlers. Short, since the node has already waited for open
requests and this time counts against the grace period."""
ACCEPT_BACKLOG = 512
"""Connections that the kernel queues until the event loop accepts them. aiohttp's default of 128 overflows when all
callers of a failed node reconnect while the loop is short of CPU time; an overflow delays a caller by a second."""
STARTUP_ERROR_EXIT_CODE = 2
"""Exit status of the process if the node could not start with its settings."""
UNEXPECTED_ERROR_EXIT_CODE = 1
"""Exit status of the process after an error that nothing expects."""


def build_node(settings: PlatformSettings) -> FleetNode:
    """Return a node that uses the platform's store and workers. It is not started yet. Raises
    :class:`SettingsError` if the store's address is none."""
    store = PlatformStore(settings.store_address())
    topology = settings.topology()
    pool = make_worker_pool()
    notices = BackendNotices()
    profile = NodeProfile(settings.node, topology, settings.limits.link_mbps)
    adapter = NodeAdapter(
        _node_sources(store, CacheEventsClient(make_cache_store_pool())),
        client=WorkerClient(pool, notices),
        control=WorkerControl(pool, notices),
        backend_check=WorkerProbes(pool, topology),
        pool=pool,
        notices=notices,
    )
    return FleetNode(profile, settings.fleet_bounds(), adapter)


def _node_sources(store: PlatformStore, cache_events: CacheEventsClient) -> NodeSources:
    return NodeSources(
        operator_rows=TableRows(store, names.OPERATOR_TABLE),
        backend_rows=TableRows(store, names.BACKENDS_TABLE),
        own_rows=TableRows(store, names.ROUTER_TABLE),
        own_table=StoreTable(store, names.ROUTER_TABLE),
        streams_table=StoreTable(store, names.STREAMS_TABLE),
        era=store.era,
        config_key=names.CONFIG_KEY,
        version_prefix=names.VERSION_KEY_PREFIX,
        decode_config=decode_config,
        decode_version=decode_weights_version,
        decode_backend=decode_backend,
        rollout_prefix=names.ROLLOUT_KEY_PREFIX,
        decode_rollout=decode_rollout_order,
        rollouts=PlatformRolloutStore(store),
        cache_events=cache_events,
    )


async def listen(server: web.Server, address: str) -> web.ServerRunner:
    """Serve at ``HOST:PORT`` and return the runner. Raises :class:`AddressInUseError` if it cannot be bound."""
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    host, _, port = address.rpartition(":")
    try:
        await web.TCPSite(runner, host, int(port), backlog=ACCEPT_BACKLOG, reuse_address=True).start()
    except OSError as error:
        raise AddressInUseError(f"{address}: {error.strerror or error}") from error
    return runner


async def _start_metrics_listener(listener: CallerListener, settings: PlatformSettings) -> web.ServerRunner | None:
    """Serve the node's metrics at the address in the settings; return None if the settings name none."""
    address = settings.metrics_address()
    if address is None:
        return None
    return await listen(listener.metrics_server(address.path), address.address)


def reload_settings(path: str) -> None:
    """Validate the settings file and log the result; new values take effect only at the next start."""
    try:
        load_platform_settings(path)
    except WallwellError as error:
        emit(Event.INTERNAL_ERROR, error=str(error), where="settings")
        return
    emit(Event.SETTINGS_RELOADED)


class StopSignal:
    """The first signal that asks the process to stop, and when it came.

    Python calls the handler between two steps of whatever runs, so a busy event loop learns late of the signal, but
    knows when it came.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._has_come = asyncio.Event()
        self._received_s: float | None = None

    def on_signal(self, _number: int, _frame: object) -> None:
        """Handle a signal; see :func:`signal.signal`."""
        if self._received_s is None:
            self._received_s = boot_time_s()
            self._loop.call_soon_threadsafe(self._has_come.set)

    async def wait(self) -> float:
        """Return when the signal came, once it has, in seconds on the boot clock."""
        await self._has_come.wait()
        assert self._received_s is not None
        return self._received_s


def _handle_signals(settings_file: str) -> StopSignal:
    """Install handlers for SIGTERM, SIGINT and SIGHUP; return the one for a stop."""
    stop_signal = StopSignal()
    signal.signal(signal.SIGTERM, stop_signal.on_signal)
    signal.signal(signal.SIGINT, stop_signal.on_signal)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_settings, settings_file)
    return stop_signal


async def run(path: str) -> None:
    """Run until a planned stop is complete. Raises :class:`SettingsError` or :class:`AddressInUseError`."""
    log_loop_errors(asyncio.get_running_loop())
    stop_signal = _handle_signals(path)
    settings = load_platform_settings(path)
    node = build_node(settings)
    listener = CallerListener(node)
    await node.listen_for_peers(settings.ip, settings.peer_ports())
    node.start()
    server = listener.callers_server()
    callers_runner = await listen(server, settings.listen.front)
    ready_runner = await listen(listener.ready_server(), settings.listen.ready)
    metrics_runner = await _start_metrics_listener(listener, settings)
    emit(
        Event.NODE_STARTED,
        node=settings.node,
        zone=settings.zone,
        callers=settings.listen.front,
        version=build_version(),
        commit=build_commit(),
    )
    requested_s = await stop_signal.wait()

    async def close_listener() -> None:
        await stop_accepting(callers_runner)
        await listener.close_idle(server)
        await server.wait_closed()

    exit_within(requested_s, settings.grace_s, node.open_request_ids)
    await node.drain(settings.grace_s, close_listener, requested_s)
    # Concurrently, since aiohttp waits at each server for connections that are still open.
    await asyncio.gather(
        *(runner.cleanup() for runner in (callers_runner, ready_runner, metrics_runner) if runner is not None)
    )
    await node.stop()
    emit(Event.NODE_STOPPED, **node.ended_by_stop())


async def _run_and_exit(path: str) -> None:
    await run(path)
    exit_now()


def main() -> int:
    """Run the router and return the process's exit status. A planned stop exits the process with status 0, so this
    returns only if the start failed: 2 because of the settings or an address in them, 1 for an unexpected error."""
    configure_logging("INFO", json_lines=True)
    try:
        uvloop.run(_run_and_exit(settings_path()))
    except WallwellError as error:
        print(str(error), file=sys.stderr)
        return STARTUP_ERROR_EXIT_CODE
    except Exception as error:
        emit(Event.PROCESS_FAILED, error=f"{type(error).__name__}: {error}", raised_at=last_frame(error))
        return UNEXPECTED_ERROR_EXIT_CODE
    return 0
