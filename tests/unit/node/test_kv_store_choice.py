"""Choice of the KV store that a prompt's parts are saved to and fetched from."""

import dataclasses

import msgspec
import pytest

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    make_generation,
    make_request,
    make_route,
    make_state,
)
from tests.virtual_time import run_virtual
from wallwell.address import Address
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind, Service
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.pipeline import RequestPipeline

STREAM = make_route(RouteKind.STREAM)
ANSWER = Script(chunks=(b"ok",), stream=False, weights_version=1)


def stores(*zones):
    return tuple(
        Service(f"kv{i}", kv_store_address=Address(f"10.9.0.{i}", 1), zone=zone) for i, zone in enumerate(zones)
    )


def addresses_used(node_zone, kv_stores, prompts):
    """Return the store that a node in ``node_zone`` chooses for each prompt."""

    async def work():
        state = make_state(STREAM, versions={"m": 1})
        state.zone = node_zone
        state.apply_config(dataclasses.replace(state.config, version=2, services=kv_stores))
        state.freshness.confirm(boot_time_s())
        client = FakeClient(ANSWER)
        for prompt in prompts:
            generation = msgspec.structs.replace(
                make_generation(), parts=(PromptPart(prompt, 100), PromptPart("own", 9))
            )
            await RequestPipeline(state, client).serve(make_request(generation=generation), FakeReply())
        assert all(sent.cache.fetch_from == sent.cache.save_to for sent in client.sent)
        return [sent.cache.fetch_from for sent in client.sent]

    return run_virtual(work())


PROMPTS = [f"shared{index}" for index in range(60)]


@pytest.mark.parametrize("zones", [("z1", "z1", "z1"), ("z1", "z2", "z3"), ("z9", "z9", "z9")])
def test_prompts_are_divided_among_the_stores_and_all_nodes_agree(zones):
    kv_stores = stores(*zones)
    here, there = addresses_used("z1", kv_stores, PROMPTS), addresses_used("z2", kv_stores, PROMPTS)
    assert here == there
    assert min(here.count(store.kv_store_address) for store in kv_stores) >= 10


def test_no_prompt_is_saved_without_a_store():
    assert addresses_used("z1", (), ["shared"]) == [None]
