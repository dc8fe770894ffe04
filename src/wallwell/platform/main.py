"""Entry point of a router on the users' platform."""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop
from aiohttp import web

from wallwell.errors import WallwellError
from wallwell.events import Event, configure_logging, emit
from wallwell.node.adapter import NodeAdapter, NodeSources
from wallwell.node.node import FleetNode, NodeProfile
from wallwell.platform import names
from wallwell.platform.cache_events import CacheEventsClient
from wallwell.platform.callers import CallersListener
from wallwell.platform.rollouts import PlatformRollouts
from wallwell.platform.rows import decode_backend, decode_config, decode_rollout_order, decode_version
from wallwell.platform.settings import PlatformSettings, load_platform_settings, settings_path
from wallwell.platform.stop_deadline import end_process_after
from wallwell.platform.store import PlatformStore, TableRows
from wallwell.platform.workers import WorkerClient


def build_node(settings: PlatformSettings) -> FleetNode:
    """Wire a node to the platform's store and workers."""
    store = PlatformStore(settings.provider.addr)
    places = settings.places()
    workers = WorkerClient(places)
    sources = NodeSources(
        operators=TableRows(store, names.OPERATOR_TABLE),
        backends=TableRows(store, names.BACKENDS_TABLE),
        own=TableRows(store, names.OWN_TABLE),
        table=store,
        config_key=names.CONFIG_KEY,
        version_prefix=names.VERSION_KEY_PREFIX,
        decode_config=decode_config,
        decode_version=lambda value: (decode_version(value).model, decode_version(value).version),
        decode_backend=decode_backend,
        rollout_prefix=names.ROLLOUT_KEY_PREFIX,
        decode_rollout=decode_rollout_order,
        rollouts=PlatformRollouts(store),
        cache_events=CacheEventsClient(workers.pool),
    )
    profile = NodeProfile(settings.node, places, settings.limits.link_mbps)
    adapter = NodeAdapter(sources, client=workers, control=workers, check=workers, pool=workers.pool)
    return FleetNode(profile, settings.fleet_bounds(), adapter)


async def _listen(server: web.Server, address: str) -> web.ServerRunner:
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=512, reuse_address=True).start()
    return runner


async def _listen_for_figures(listener: CallersListener, settings: PlatformSettings) -> web.ServerRunner | None:
    """Serve the node's own figures where the settings name a port and a path for them."""
    port, _, path = settings.metrics.partition("/")
    if not port.isdigit():
        return None
    host = settings.listen.ready.rpartition(":")[0]
    return await _listen(listener.metrics_server(f"/{path}"), f"{host}:{port}")


def reload_settings(path: str) -> None:
    """Read the settings again; a file that cannot be used changes nothing."""
    try:
        load_platform_settings(path)
    except WallwellError as error:
        emit(Event.INTERNAL_ERROR, error=str(error), where="settings")
        return
    emit(Event.SETTINGS_RELOADED)


async def run(path: str) -> None:
    """Run until a planned stop has ended."""
    settings = load_platform_settings(path)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, path)
    node = build_node(settings)
    listener = CallersListener(node)
    await node.listen_for_peers(settings.ip, settings.peer_ports())
    node.start()
    callers_server = listener.server()
    callers = await _listen(callers_server, settings.listen.front)
    ready = await _listen(listener.ready_server(), settings.listen.ready)
    figures = await _listen_for_figures(listener, settings)
    emit(Event.NODE_STARTED, node=settings.node, zone=settings.zone, callers=settings.listen.front)
    await stopping.wait()

    async def close_listener() -> None:
        for site in list(callers.sites):
            await site.stop()
        await listener.close_resting(callers_server)

    end_process_after(settings.bounds.grace_s)
    await node.drain(settings.bounds.grace_s, close_listener)
    # Together, since aiohttp waits at each server for connections that say nothing.
    await asyncio.gather(*(runner.cleanup() for runner in (callers, ready, figures) if runner is not None))
    await node.stop()
    emit(Event.NODE_STOPPED)


def main() -> int:
    """Run the process; the exit status is 0 after a planned stop."""
    configure_logging("INFO", json_lines=True)
    try:
        uvloop.run(run(settings_path()))
    except WallwellError as error:
        print(str(error), file=sys.stderr)
        return 2
    return 0
