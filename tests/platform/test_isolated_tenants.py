"""Engines and a KV store that know which tenant made each part of a prompt, while operators isolate and release.

Guards against parts of an isolated tenant that others use, and against parts that it uses of others: two nodes read
configurations from the store, and requests wait, are tried again or are made by a peer over a change.
"""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

import pytest

from tests.platform.conftest import CallersPort, config, route
from tests.platform.fakes import FakeWorker
from tests.platform.test_peer_attempts import on_cut_node
from tests.platform.test_peers import two_nodes
from tests.unit.serving.fakes import event
from wallwell.deployment.cache_groups import CacheGroups
from wallwell.deployment.tenants import TenantAccess
from wallwell.emulator.kv_store import EngineCache, KvStoreEmulator
from wallwell.emulator.part_cache import PartCache
from wallwell.platform.rows import decode_config

TENANTS = ("a", "b", "c")
ROUTES = [route("r-stream", "/stream/", "stream", attempts=3, can_resume=True)]
SHARED_BESIDE_A = CacheGroups([TenantAccess("a", (), isolated=True)]).shared


class Use(NamedTuple):
    """One run at an engine: whose it was, under which scope, and which other tenants' parts it used."""

    tenant: str
    scope: str
    makers: tuple[str, ...]


class CachingEngine(FakeWorker):
    """An engine that keeps parts of prompts and moves them from and to KV stores."""

    def __init__(self, incarnation, software=""):
        super().__init__(incarnation, software=software)
        self.parts = EngineCache()
        self.uses = []
        self.respond = self.generate

    async def use_parts(self, request):
        ran = await self.parts.run(request.headers)
        tenant = request.headers["X-Tenant"]
        self.uses.append(Use(tenant, request.headers["X-Cache-Salt"], ran.makers_beside(tenant)))

    async def generate(self, request):
        await self.use_parts(request)
        return await self.stream(event(1))(request)


def tenant_rows(isolated=(), names=TENANTS):
    return [{"name": each, "api_keys": [f"key-{each}"], "isolated": each in isolated} for each in names]


class Fleet:
    """Two nodes, two engines, and a KV store if one is configured."""

    def __init__(self, harness, kv_store):
        self.harness = harness
        self.kv_store = kv_store
        self.uses = []
        self.version = 1
        self.sent = 0

    async def start(self):
        self.nodes = await two_nodes(self.harness)
        self.nodes.sort(key=lambda node: node is not self.harness.node)
        port = CallersPort(self.nodes[1])
        await port.start()
        self.second_port = port
        for worker in self.harness.workers:
            worker.uses = self.uses
        return self

    async def stop(self):
        await self.nodes[1].stop()
        await self.second_port.runner.cleanup()

    def configuration(self, isolated=(), names=TENANTS):
        services = []
        if self.kv_store is not None:
            services = [{"name": "kept", "kv_store_addr": self.kv_store.address, "zone": "z1"}]
        return config(self.version, ROUTES, tenants=tenant_rows(isolated, names), services=services)

    async def put_in_force(self, *isolated, names=TENANTS):
        self.version += 1
        self.harness.store.put("op", "config", self.configuration(isolated, names))
        await self.harness.until(lambda: all(each.state.config.version == self.version for each in self.nodes))

    async def ask(self, tenant, node=0):
        """Send one request of a tenant, and return its run at an engine."""
        self.sent += 1
        headers = {
            "X_Model": "m",
            "X_Prefix_Hash": f"shared:800,more:400,own{self.sent}:100",
            "X_Credential": f"key-{tenant}",
            "X_Request_Id": f"r{self.sent}",
        }
        port = self.second_port.port if node else None
        status, _, _ = await self.harness.call("/stream/a", port=port, **headers)
        assert status == 200
        return self.uses[-1]

    async def ask_all(self, *tenants):
        """Send requests of tenants at both nodes; the last ones find what the first ones left."""
        return [await self.ask(tenant, node) for node in (0, 1) for tenant in tenants]

    def empty_engines(self):
        """Leave parts in the KV store alone."""
        for worker in self.harness.workers:
            worker.parts.cache = PartCache()


def on_fleet(on_platform, scenario, with_kv_store=False):
    async def work(harness):
        kv_store = KvStoreEmulator() if with_kv_store else None
        if kv_store is not None:
            await kv_store.start()
        fleet = await Fleet(harness, kv_store).start()
        try:
            await fleet.put_in_force()
            return await scenario(fleet)
        finally:
            await fleet.stop()
            if kv_store is not None:
                await kv_store.stop()

    return on_platform(work, config(routes=ROUTES, tenants=tenant_rows()), worker_type=CachingEngine)


def users_of(uses, tenant):
    """Return the runs in which a tenant's parts were used by others, or in which it used parts of others."""
    return [use for use in uses if tenant in use.makers or (use.tenant == tenant and use.makers)]


@pytest.mark.parametrize("with_kv_store", [False, True], ids=["engines", "KV store"])
def test_nobody_uses_parts_of_a_tenant_that_is_isolated_released_and_isolated_again(on_platform, with_kv_store):
    """Guards against parts that a tenant left while it shared, and that others find once it is isolated."""

    async def scenario(fleet):
        shared = await fleet.ask_all(*TENANTS)
        found = []
        for isolated in (("a",), (), ("a",), ("a", "b"), ("b",), ("a",)):
            await fleet.put_in_force(*isolated)
            if with_kv_store:
                fleet.empty_engines()
            uses = await fleet.ask_all(*TENANTS)
            found += [use for tenant in isolated for use in users_of(uses, tenant)]
            assert any(use.makers for use in uses) == (len(isolated) < 2)
        return shared, found

    shared, found = on_fleet(on_platform, scenario, with_kv_store)
    assert users_of(shared, "a"), "nothing was shared before"
    assert not found


def test_only_a_kv_store_still_holds_the_parts_of_a_tenant_that_is_then_isolated(on_platform):
    """Guards against engines that fetch an isolated tenant's parts for another one from a KV store."""

    async def scenario(fleet):
        await fleet.ask_all("a")
        await fleet.put_in_force()
        fleet.empty_engines()
        fetched = await fleet.ask("b")
        await fleet.put_in_force("a")
        fleet.empty_engines()
        return fetched, await fleet.ask_all("b", "a", "c")

    fetched, uses = on_fleet(on_platform, scenario, with_kv_store=True)
    assert fetched.makers == ("a",), "nothing was fetched before"
    assert not users_of(uses, "a")
    assert uses[2].makers == ("b",)


def test_tenant_that_was_left_out_and_comes_back_isolated_finds_and_leaves_nothing(on_platform):
    """Guards against parts of a tenant that goes while it shares, and comes back isolated."""

    async def scenario(fleet):
        await fleet.ask_all("a", "b")
        await fleet.put_in_force(names=("b", "c"))
        await fleet.ask_all("b", "c")
        await fleet.put_in_force("a")
        return await fleet.ask_all(*TENANTS)

    uses = on_fleet(on_platform, scenario)
    assert not users_of(uses, "a")


class BreakingEngine(CachingEngine):
    """Breaks off its first answer once the test has changed the configuration."""

    async def generate(self, request):
        if self.may_break is None:
            return await super().generate(request)
        may_break, self.may_break = self.may_break, None
        await self.use_parts(request)
        response = await self.begin_stream(request)
        await response.write(event(1))
        self.has_begun.set()
        await may_break.wait()
        request.transport.close()
        return response

    async def go_on(self, request):
        """Answer the rest of the broken stream."""
        await self.use_parts(request)
        return await self.stream(event(2))(request)


@pytest.mark.parametrize("isolated", ["a", "b"], ids=["its own tenant", "another one"])
def test_stream_that_goes_on_after_the_change_goes_on_under_the_new_scope(on_platform, isolated):
    """Guards against a retry that uses and leaves parts under the configuration of its request's admission."""

    async def work(harness):
        uses, has_begun, may_break = [], asyncio.Event(), asyncio.Event()
        for worker in harness.workers:
            worker.uses, worker.has_begun, worker.may_break = uses, has_begun, may_break
        call = asyncio.create_task(
            harness.call(
                "/stream/a",
                X_Model="m",
                X_Prefix_Hash="shared:800,own:100",
                X_Credential="key-a",
                X_Request_Id="r1",
            )
        )
        await has_begun.wait()
        for worker in harness.workers:
            worker.may_break = None
            worker.respond = worker.go_on
        rows = tenant_rows((isolated,))
        harness.store.put("op", "config", config(2, ROUTES, tenants=rows))
        await harness.until(lambda: harness.node.state.config.version == 2)
        may_break.set()
        status, _, body = await call
        assert (status, body) == (200, event(1) + event(2))
        return [use.scope for use in uses]

    scopes = on_platform(work, config(routes=ROUTES, tenants=tenant_rows()), worker_type=BreakingEngine)
    group = "a" if isolated == "a" else CacheGroups([TenantAccess("b", (), isolated=True)]).shared
    assert scopes == ["m:1", f"m:1:{group}"]


def test_peer_with_an_older_configuration_makes_no_attempt_under_it(on_platform):
    """Guards against an attempt that a node begins after the change, and a peer makes under the scope before it."""

    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))

        async def scopes_after(**headers):
            for worker in harness.workers:
                worker.requests.clear()
            answer = await harness.call("/stream/a", X_Model="m", X_Prefix_Hash="s:800,o:100", **headers)
            requests = [request for worker in harness.workers for request in worker.requests]
            return answer[0], [request.headers["X-Cache-Salt"] for request in requests]

        newer = decode_config(json.dumps(config(2, ROUTES, tenants=tenant_rows(("a",)))).encode())
        before = await scopes_after(X_Credential="key-a")
        assert fleet.cut.state.apply_config(newer)
        while_older = [await scopes_after(X_Credential=f"key-{each}", X_Request_Id=each) for each in ("a", "b")]
        assert fleet.peer.state.apply_config(newer)
        after = [await scopes_after(X_Credential=f"key-{each}", X_Request_Id=f"{each}2") for each in ("a", "b")]
        declined = fleet.peer._pipeline.counters.attempts_for_peers["declined"]
        return before, while_older, after, declined

    routes_and_tenants = config(routes=ROUTES, tenants=tenant_rows())
    before, while_older, after, declined = on_cut_node(on_platform, scenario, configuration=routes_and_tenants)
    assert before == (200, ["m:1"])
    assert while_older == [(503, []), (503, [])]
    assert declined >= 2
    assert after == [(200, ["m:1:a"]), (200, [f"m:1:{SHARED_BESIDE_A}"])]


def test_peer_with_an_older_configuration_makes_attempts_if_nobody_was_isolated_meanwhile(on_platform):
    """Guards against peers that decline attempts after any change of the configuration."""

    async def scenario(harness, fleet):
        for worker in harness.workers:
            worker.respond = worker.stream(event(1))
        newer = decode_config(json.dumps(config(2, ROUTES, tenants=tenant_rows())).encode())
        assert fleet.cut.state.apply_config(newer)
        answer = await harness.call("/stream/a", X_Model="m", X_Prefix_Hash="s:800,o:100", X_Credential="key-a")
        return answer[0]

    assert on_cut_node(on_platform, scenario, configuration=config(routes=ROUTES, tenants=tenant_rows())) == 200
