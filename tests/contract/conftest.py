"""One fleet of the pharmacy example per test module, on ports the system chose."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from tests.conftest import EXAMPLES
from wallwell.emulator.deployment import EmulatedDeployment
from wallwell.emulator.engine_model import EngineProfile
from wallwell.emulator.engine_output import generated_word
from wallwell.emulator.faults import FaultSwitches
from wallwell.standalone.config.parse import parse_file

FAST = EngineProfile(step_base_s=0.001, decode_s_per_request=0.0, prefill_s_per_token=1 / 400_000)
PROMPT = "Check this basket against the dosage guidance. " * 20
TOKENS = 12


def replace_spec_text(file, old, new):
    """Return a file with a text of its body replaced."""
    changed, problems = parse_file(file.body.replace(old, new))
    assert changed is not None, problems
    return changed


class Harness:
    """A running fleet, the loop it runs in, and helpers that a caller would have."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.fleet = EmulatedDeployment(EXAMPLES / "pharmacy", profile=FAST)
        self.run(self.start())

    def run(self, work):
        async def bounded():
            async with asyncio.timeout(40):
                return await work

        return self.loop.run_until_complete(bounded())

    async def start(self):
        self.session = aiohttp.ClientSession()
        await self.fleet.start()

    async def stop(self):
        await self.session.close()
        await self.fleet.stop()

    def heal(self):
        """Switch every fault off and forget what routers learnt from them."""
        backends = [self.fleet.platform, *self.fleet.engines.values(), *self.fleet.services.values()]
        for backend in backends:
            backend.server.faults.switches = FaultSwitches()
        for router in self.fleet.routers:
            router.context.selector.breakers.clear()
            router.context.service_breakers.clear()
            router.context.retry_budget.__init__()

    def set_engine_faults(self, **switches):
        for name in self.fleet.engines:
            self.fleet.engine(name).faults.set(**switches)

    def set_service_faults(self, **switches):
        for name in self.fleet.services:
            self.fleet.service(name).faults.set(**switches)

    def url(self, path, router=0):
        return f"http://{self.fleet.routers[router].callers_address}{path}"

    def headers(self, tenant="pharmacists", **more):
        return {"Authorization": f"Bearer demo-{tenant}", **more}

    def body(self, prompt=PROMPT, tokens=TOKENS, **more):
        return {"model": "dosage-8b", "prompt": prompt, "max_tokens": tokens, **more}

    async def generate(self, prompt=PROMPT, tokens=TOKENS, router=0, stream=True, headers=None):
        """Return ``(status, headers, text)``."""
        body = self.body(prompt, tokens, stream=stream)
        url = self.url("/v1/completions", router)
        async with self.session.post(url, json=body, headers=headers or self.headers()) as response:
            return response.status, response.headers, await response.text()

    async def call(self, method="POST", path="/orders/pickup-notices", router=0, body=b"{}", **headers):
        """Return ``(status, outcome, body)`` of a service call."""
        all_headers = self.headers("web-shop", **{name.replace("_", "-"): value for name, value in headers.items()})
        async with self.session.request(method, self.url(path, router), data=body, headers=all_headers) as response:
            return response.status, response.headers.get("X-Outcome"), await response.text()


def expected_text(prompt=PROMPT, tokens=TOKENS):
    return "".join(generated_word(prompt.encode(), index) for index in range(tokens))


@pytest.fixture(scope="module")
def shared_harness():
    harness = Harness()
    yield harness
    harness.run(harness.stop())


@pytest.fixture
def harness(shared_harness):
    """The module's fleet with every fault switched off."""
    shared_harness.heal()
    yield shared_harness
    shared_harness.heal()
