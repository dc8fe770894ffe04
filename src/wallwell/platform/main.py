"""Entry point of a router on the platform: wires the node, opens its listeners, and carries out a planned stop.

Owns the process: signals, listeners, and the order in which a stop closes them. Everything else is the node's
(:class:`wallwell.node.node.FleetNode`).
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop
from aiohttp import web

from wallwell.build_info import build_commit, build_version
from wallwell.callers_server import stop_accepting
from wallwell.errors import WallwellError
from wallwell.events import Event, configure_logging, emit
from wallwell.node.adapter import NodeAdapter, NodeSources
from wallwell.node.node import FleetNode, NodeProfile
from wallwell.platform import names
from wallwell.platform.cache_events import CacheEventsClient
from wallwell.platform.caller_listener import CallerListener
from wallwell.platform.rollouts import PlatformRolloutStore
from wallwell.platform.rows import decode_backend, decode_config, decode_rollout_order, decode_weights_version
from wallwell.platform.settings import PlatformSettings, load_platform_settings, settings_path
from wallwell.platform.stop_deadline import exit_now, exit_within
from wallwell.platform.store import PlatformStore, TableRows
from wallwell.platform.worker_client import WorkerClient, make_worker_pool
from wallwell.platform.worker_orders import WorkerControl
from wallwell.platform.worker_probes import WorkerProbes
from wallwell.routing.health.backend_notice import BackendNotices

SHUTDOWN_TIMEOUT_S = 0.1
"""Seconds for which a listener waits for handlers as it closes: by then the node has waited for open requests, and
this time is taken from its grace period."""
ACCEPT_BACKLOG = 512
"""Connections that the system keeps until the event loop accepts them. aiohttp's 128 overflow when all callers of a
lost node connect again while the loop has little processor time, and an overflow costs a caller a second."""
STARTUP_ERROR_EXIT_CODE = 2
"""Exit status if the node could not start with its settings."""


def build_node(settings: PlatformSettings) -> FleetNode:
    """Wire a node to the platform's store and workers."""
    store = PlatformStore(settings.provider.addr)
    topology = settings.topology()
    pool = make_worker_pool()
    notices = BackendNotices()
    profile = NodeProfile(settings.node, topology, settings.limits.link_mbps)
    adapter = NodeAdapter(
        _node_sources(store, CacheEventsClient(pool)),
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
        own_table=store,
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
    """Serve at ``IP:PORT``. Raises OSError if the address cannot be bound."""
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=ACCEPT_BACKLOG, reuse_address=True).start()
    return runner


async def _start_metrics_listener(listener: CallerListener, settings: PlatformSettings) -> web.ServerRunner | None:
    """Serve the node's metrics where the settings name a port and a path for them."""
    address = settings.metrics_address()
    if address is None:
        return None
    return await listen(listener.metrics_server(address.path), address.address)


def reload_settings(path: str) -> None:
    """Check the settings file again; the values in use stay until the next start. A file with errors is logged."""
    try:
        load_platform_settings(path)
    except WallwellError as error:
        emit(Event.INTERNAL_ERROR, error=str(error), where="settings")
        return
    emit(Event.SETTINGS_RELOADED)


def _handle_signals(settings_file: str) -> asyncio.Event:
    """Handle the process's signals; the event returned is set once it is to stop."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, settings_file)
    return stop_requested


async def run(path: str) -> None:
    """Run until a planned stop has ended. Raises :class:`SettingsError` and OSError."""
    stop_requested = _handle_signals(path)
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
    await stop_requested.wait()

    async def close_listener() -> None:
        await stop_accepting(callers_runner)
        await listener.close_idle(server)
        await server.wait_closed()

    grace_s = settings.grace_s
    exit_within(grace_s)
    await node.drain(grace_s, close_listener)
    # Together, since aiohttp waits at each server for connections that are still open.
    await asyncio.gather(
        *(runner.cleanup() for runner in (callers_runner, ready_runner, metrics_runner) if runner is not None)
    )
    await node.stop()
    emit(Event.NODE_STOPPED)


async def _run_and_exit(path: str) -> None:
    await run(path)
    exit_now()


def main() -> int:
    """Run the process; it ends with status 0 after a planned stop, and this returns only if it could not start."""
    configure_logging("INFO", json_lines=True)
    try:
        uvloop.run(_run_and_exit(settings_path()))
    except WallwellError as error:
        print(str(error), file=sys.stderr)
        return STARTUP_ERROR_EXIT_CODE
    return 0
