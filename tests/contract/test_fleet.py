"""Leaving back ends, planned stops, restarts and configuration across a running fleet."""

import asyncio
import json
import random
import secrets

import msgspec
import pytest

from tests.contract.conftest import PROMPT, Harness, expected_text, replace_spec_text
from tests.contract.test_streams import text_of
from wallwell.clock import boot_time_s
from wallwell.standalone.backends.engine_protocol import EngineState
from wallwell.standalone.config.commit import ApplyRequest
from wallwell.standalone.config.schema import EnginePoolSpec
from wallwell.standalone.machines import MachineState
from wallwell.standalone.router_node import CLOSE_S, STOP_NOTICE_S

LEAVING_BOUND_S = 3.0


@pytest.fixture
def own_harness():
    """A fleet for one test that changes it for good."""
    harness = Harness()
    yield harness
    harness.run(harness.stop())


def engine_pool(harness):
    return next(file for file in harness.fleet.files if isinstance(file.spec, EnginePoolSpec))


def leave_by_machine_list(harness, name):
    harness.fleet.platform_server.machines[harness.fleet.engines[name].address] = MachineState.LEAVING


def leave_by_file(harness, name):
    address = harness.fleet.engines[name].address
    file = engine_pool(harness)
    line = next(line for line in file.body.splitlines() if address in line)
    changed = replace_spec_text(file, line, line.replace("zone:", "state: leaving, zone:"))
    harness.run(harness.fleet.apply([changed]))


def leave_by_own_word(harness, name):
    harness.fleet.engine(name).state = "leaving"


@pytest.mark.parametrize("leave", [leave_by_machine_list, leave_by_file, leave_by_own_word])
@pytest.mark.parametrize("platform_down_after", [False, True], ids=["platform up", "then platform down"])
def test_a_leaving_engine_gets_nothing_new_and_no_request_suffers(own_harness, leave, platform_down_after):
    harness = own_harness
    names = list(harness.fleet.engines)
    leave(harness, names[0])

    async def scenario():
        await asyncio.sleep(LEAVING_BOUND_S)
        if platform_down_after:
            harness.fleet.platform_server.faults.set(down=True)
        before = len(harness.fleet.engine(names[0]).journal)
        answers = [harness.generate(f"{n} {PROMPT}", router=n % 3) for n in range(30)]
        statuses = [status for status, _, _ in await asyncio.gather(*answers)]
        return statuses, len(harness.fleet.engine(names[0]).journal) - before

    statuses, sent = harness.run(scenario())
    assert statuses == [200] * 30
    assert sent == 0


def test_an_engine_that_comes_back_under_its_address_is_used_again(own_harness):
    harness = own_harness
    name = next(iter(harness.fleet.engines))
    server = harness.fleet.engine(name)

    async def published(serving):
        nodes = [router.context.node for router in harness.fleet.routers]
        while any((server.address not in node.leaving_addresses()) is not serving for node in nodes):
            await asyncio.sleep(0.02)

    async def scenario():
        server.address = harness.fleet.engines[name].address
        server.state = EngineState.LEAVING
        await published(serving=False)
        server.state = EngineState.SERVING
        await published(serving=True)
        await asyncio.gather(*(harness.generate(f"{n} back {PROMPT}", router=n % 3) for n in range(60)))
        return len(server.journal)

    assert harness.run(scenario()) > 0


def test_routers_stopped_one_by_one_cut_no_request(own_harness):
    harness = own_harness
    prompts = [f"{number} {PROMPT}" for number in range(90)]

    async def send(number):
        """A caller who, as callers do, goes to the next router when one says that it did not run."""
        for attempt in range(3):
            router = (number + attempt) % 3
            try:
                status, headers, text = await harness.generate(prompts[number], router=router, tokens=60)
            except OSError:
                continue  # The listener is closed: nothing was sent.
            if status == 200:
                return text_of(text) == (expected_text(prompts[number], 60), True)
            assert headers["X-Outcome"] == "not_run"
        return False

    async def scenario():
        tasks = []
        for number in range(len(prompts)):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.03)
            if number in (20, 50):
                tasks.append(asyncio.create_task(stop_router(number // 25)))
        return await asyncio.gather(*tasks)

    async def stop_router(index):
        await harness.fleet.routers[index].stop()
        return True

    assert all(harness.run(scenario()))


def test_answers_of_a_stopping_router_end_their_connections(own_harness):
    """A request that is sent on a kept connection as the router closes it gets no answer, though nothing ran."""
    harness = own_harness

    async def scenario():
        await harness.generate(router=0)
        stopping = asyncio.create_task(harness.fleet.routers[0].stop())
        await asyncio.sleep(0.1)
        status, headers, _ = await harness.generate(router=0)
        await stopping
        return status, headers.get("Connection", "").lower()

    assert harness.run(scenario()) == (200, "close")


def raw_call(harness, name):
    """Return the bytes of a plain call, for a connection that the test keeps itself."""
    head = [
        "POST /orders/pickup-notices HTTP/1.1",
        "Host: router",
        f"X-Request-Id: {name}",
        *(f"{key}: {value}" for key, value in harness.headers("web-shop").items()),
        "Content-Length: 2",
    ]
    return "\r\n".join([*head, "", "{}"]).encode()


async def raw_answer(reader):
    """Return status and headers of the next answer; raises OSError or EOFError if there is none."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if line)
    await reader.readexactly(int(headers["content-length"]))
    return int(lines[0].split()[1]), headers


def test_connections_kept_idle_over_the_whole_stop_of_a_router_end_with_a_true_answer(own_harness):
    """A request sent on a kept connection just as the stopping router closed it got no answer."""
    harness = own_harness
    host, port = harness.fleet.routers[0].callers_address.split(":")
    draws = random.Random(3)
    closes_s = STOP_NOTICE_S + 0.05

    async def keep(number):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_call(harness, f"first-{number}"))
        assert (await raw_answer(reader))[0] == 200
        return reader, writer

    async def use(number, reader, writer):
        await asyncio.sleep(closes_s + draws.uniform(-0.05, 0.15))
        if reader.at_eof():
            return "closed before"
        try:
            writer.write(raw_call(harness, f"second-{number}"))
            status, headers = await raw_answer(reader)
        except (OSError, EOFError) as error:
            return repr(error)
        finally:
            writer.close()
        return "true" if status == 200 or headers["x-outcome"] == "not_run" else status

    async def scenario():
        connections = [await keep(number) for number in range(200)]
        stopping = asyncio.create_task(harness.fleet.routers[0].stop())
        ends = await asyncio.gather(*(use(number, *each) for number, each in enumerate(connections)))
        await stopping
        return set(ends) - {"closed before"}

    assert harness.run(scenario()) == {"true"}


def test_a_request_that_outlives_the_stop_is_told_that_it_may_have_run(own_harness):
    """The stop waited for it beyond its time, up to a minute, and then closed its connection without a word."""
    harness = own_harness
    router = harness.fleet.routers[0]
    limits = msgspec.structs.replace(router.settings.limits, stop_grace_s=0.2)
    router.settings = msgspec.structs.replace(router.settings, limits=limits)
    harness.set_engine_faults(slow_s=30.0)

    async def scenario():
        call = asyncio.create_task(harness.generate(router=0))
        while not router.context.in_flight:
            await asyncio.sleep(0.01)
        begun_s = boot_time_s()
        await router.stop()
        took_s = boot_time_s() - begun_s
        status, headers, _ = await call
        return status, headers["X-Outcome"], took_s

    status, outcome, took_s = harness.run(scenario())
    assert (status, outcome) == (504, "unknown")
    assert took_s < STOP_NOTICE_S + 0.2 + CLOSE_S + 2.0  # Two seconds for a busy machine.


def restart_cases():
    return [("platform up", {}), ("platform slow", {"slow_s": 0.8}), ("platform down", {"down": True})]


@pytest.mark.parametrize("switches", [case[1] for case in restart_cases()], ids=[c[0] for c in restart_cases()])
def test_a_restarted_router_serves_the_current_configuration_at_once(own_harness, switches):
    harness = own_harness

    async def scenario():
        fleet = harness.fleet
        await fleet.apply(
            [replace_spec_text(engine_pool(harness), "max_concurrent_loads: 2", "max_concurrent_loads: 1")]
        )
        old = fleet.routers.pop()
        await old.close()
        fleet.platform_server.faults.set(**switches)
        head = max(router.context.node.config.head for router in fleet.routers)
        started_s = boot_time_s()
        router = await fleet.start_router(old.settings.node, old.settings.zone, old.settings.region)
        while not router.context.ready:
            await asyncio.sleep(0.005)
        elapsed_s = boot_time_s() - started_s
        status, _, _ = await harness.generate(router=len(fleet.routers) - 1)
        return status, router.context.node.config.head - head, elapsed_s

    status, behind, elapsed_s = harness.run(scenario())
    assert (status, behind) == (200, 0)
    assert elapsed_s < 3.0  # A bound on hanging, not a speed: the bench gives the figures.


def test_the_whole_fleet_replaced_node_by_node_with_the_platform_down(own_harness):
    harness = own_harness

    async def scenario():
        fleet = harness.fleet
        head = fleet.routers[0].context.node.config.head
        fleet.platform_server.faults.set(down=True)
        for _ in range(len(fleet.routers)):
            old = fleet.routers[0]
            await fleet.start_router(f"new-{secrets.token_hex(2)}", old.settings.zone, old.settings.region)
            while not fleet.routers[-1].context.ready:
                await asyncio.sleep(0.01)
            fleet.routers.pop(0)
            await old.close()
        heads = {router.context.node.config.head for router in fleet.routers}
        return heads == {head}, (await harness.generate())[0]

    assert harness.run(scenario()) == (True, 200)


def test_racing_operators_end_with_one_revision_everywhere(own_harness):
    harness = own_harness
    base = engine_pool(harness)
    variants = [
        replace_spec_text(base, "max_concurrent_loads: 2", f"max_concurrent_loads: {n}") for n in range(3, 9)
    ]

    async def scenario():
        from wallwell.errors import ConfigConflictError

        revision = harness.fleet.routers[0].context.node.config.revision_of(base.key).revision
        won = 0
        harness.fleet.platform_server.faults.set(lose_answers=2)

        async def apply(number, file):
            nonlocal won
            operator = harness.fleet.operator_client(number % 3, harness.session)
            try:
                await operator.apply(
                    ApplyRequest(secrets.token_hex(8), f"op{number}", file.body, base_revision=revision)
                )
                won += 1
            except ConfigConflictError as error:
                assert "won" in error.detail

        await asyncio.gather(*(apply(n, file) for n, file in enumerate(variants)))
        await harness.fleet.wait_ready()
        digests = {router.context.node.config.revision_of(base.key).digest for router in harness.fleet.routers}
        return won, len(digests)

    assert harness.run(scenario()) == (1, 1)


def test_operators_endpoints_need_their_own_token(own_harness):
    async def scenario():
        url = f"http://{own_harness.fleet.routers[0].operators_address}/config"
        statuses = []
        for token in ("", "demo-pharmacists", "fleet-operator-token"):
            async with own_harness.session.get(url, headers={"Authorization": f"Bearer {token}"}) as response:
                statuses.append(response.status)
        return statuses

    assert own_harness.run(scenario()) == [401, 401, 200]


def test_every_router_names_the_others_and_where_the_configuration_is_in_force(own_harness):
    async def scenario():
        client = own_harness.fleet.operator_client(1, own_harness.session)
        in_force, status = await client.wait_until_in_force(17, 5.0)
        return in_force, len(status.members), json.dumps(sorted(status.regions))

    assert own_harness.run(scenario()) == (True, 3, '["sweden"]')
