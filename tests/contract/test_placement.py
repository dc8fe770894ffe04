"""A version roll under load, and orders of a holder that lost its lease."""

import asyncio

import aiohttp

from tests.contract.conftest import PROMPT, Harness, expected_text, replace_spec_text
from tests.contract.test_streams import text_of
from wallwell.emulator.deployment import EmulatedBackend
from wallwell.emulator.engine_server import EngineServer
from wallwell.standalone.backends.engine_client import EngineClient
from wallwell.standalone.backends.engine_protocol import EngineLoadOrder, EngineState
from wallwell.standalone.config.schema import ModelSpec

MIN_SERVING = 4
MAX_LOADS = 2


def test_a_roll_cuts_nothing_keeps_the_minimum_and_mixes_no_versions():
    harness = Harness()
    model = next(file for file in harness.fleet.files if isinstance(file.spec, ModelSpec))
    engines = [harness.fleet.engine(name) for name in harness.fleet.engines]
    away = []

    async def watch():
        while True:
            away.append(sum(engine.state is EngineState.LOADING for engine in engines))
            await asyncio.sleep(0.01)

    async def send(number):
        prompt = f"{PROMPT} basket {number}"
        status, _, text = await harness.generate(prompt, router=number % 3)
        return status == 200 and text_of(text) == (expected_text(prompt), True)

    async def scenario():
        watching = asyncio.create_task(watch())
        calls = []
        await harness.fleet.apply([replace_spec_text(model, '"2026-11"', '"2026-12"')])
        while any(engine.weights["dosage-8b"] != "2026-12" for engine in engines):
            calls.append(asyncio.create_task(send(len(calls))))
            await asyncio.sleep(0.05)
        calls.append(asyncio.create_task(send(len(calls))))
        answers = await asyncio.gather(*calls)
        watching.cancel()
        return answers

    try:
        answers = harness.run(scenario())
        assert all(answers) and len(answers) > 10
        assert 0 < max(away) <= MAX_LOADS
        assert len(engines) - max(away) >= MIN_SERVING
        assert [violation for engine in engines for violation in engine.cache_salt_violations] == []
    finally:
        harness.run(harness.stop())


def test_an_order_with_a_lower_fence_is_refused(run_async):
    async def scenario():
        backend = EmulatedBackend(EngineServer("e", {"m": "1"}))
        address = await backend.start()
        backend.server.weight_load_s = 0.0
        async with aiohttp.ClientSession() as session:
            client = EngineClient(address, session)
            first = await client.send_load_order(EngineLoadOrder(7, "m", "2"), 2.0)
            while backend.server.state is EngineState.LOADING:
                await asyncio.sleep(0.01)
            paused = await client.send_load_order(EngineLoadOrder(5, "m", "1"), 2.0)
        await backend.stop()
        return first, paused, backend.server.weights

    assert run_async(scenario()) == (200, 409, {"m": "2"})
