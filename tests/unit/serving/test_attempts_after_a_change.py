"""Attempts that begin after a change of the configuration, of requests that were admitted before it.

Guards against an attempt that uses or leaves parts of prompts under a scope which the configuration in force gives
to others, since its request still holds its tenant as it was when it was admitted.
"""

import asyncio
import dataclasses

import pytest

from tests.unit.serving.fakes import FakeClient, FakeReply, Script, event, make_generation, make_request, make_state
from tests.unit.serving.silent_attempts import FOREVER_S, RESUMABLE
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.cache_groups import CacheGroups
from wallwell.deployment.tenants import TenantAccess
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.messages import AttemptError
from wallwell.serving.pipeline import RequestPipeline

CHANGE_S = 0.05
"""Seconds after the request at which the configuration changes."""
REST = Script(chunks=(event(2),), stream=True)


def tenants(*isolated, names=("t", "u")):
    return tuple(TenantAccess(each, (f"key-{each}",), isolated=each in isolated) for each in names)


def scope(group):
    return f"m:1:{group}" if group else "m:1"


SHARED_BESIDE_U = scope(CacheGroups(tenants("u")).shared)
MOVED = TenantAccess("u", ("key-t", "key-u"))
ISOLATED_MOVED = TenantAccess("u", ("key-t", "key-u"), isolated=True)
"""Tenants to which the key of ``t`` moves: a request that was admitted for ``t`` stays one of ``t``."""
FIRST_BREAKS = Script(chunks=(event(1), 0.1), stream=True, body_error=TransportEvent.RESET_AFTER_SEND)
FIRST_IS_RESET = Script(head_delay_s=0.1, send_error=TransportEvent.RESET_AFTER_SEND)
FIRST_IS_FULL = Script(head_delay_s=0.1, send_error=TransportEvent.BACKEND_OVERLOADED)
FIRST_IS_SILENT = Script(chunks=(event(1), FOREVER_S), stream=True)
FIRSTS = {
    "broken stream": FIRST_BREAKS,
    "reset": FIRST_IS_RESET,
    "refused": FIRST_IS_FULL,
    "silent": FIRST_IS_SILENT,
}
CHANGES = {
    "isolated": (tenants(), tenants("t"), "m:1", "m:1:t"),
    "released": (tenants("t"), tenants(), "m:1:t", "m:1"),
    "another one isolated": (tenants(), tenants("u"), "m:1", SHARED_BESIDE_U),
    "another one released": (tenants("u"), tenants(), SHARED_BESIDE_U, "m:1"),
    "left out": (tenants(), tenants(names=("u",)), "m:1", "m:1"),
    "left out while isolated": (tenants("t"), tenants(names=("u",)), "m:1:t", "m:1:t"),
    "left out beside an isolated one": (tenants(), tenants("u", names=("u",)), "m:1", SHARED_BESIDE_U),
    "its key moves to u": (tenants(), (*tenants("t", names=("t",)), MOVED), "m:1", "m:1:t"),
    "its key moves to isolated u": (
        tenants(),
        (*tenants(names=("t",)), ISOLATED_MOVED),
        "m:1",
        SHARED_BESIDE_U,
    ),
    "nobody isolated or released": (tenants("u"), tenants("u", names=("t", "u", "v")), *2 * (SHARED_BESIDE_U,)),
}


def scopes_of_attempts(first, before, after, prepare=None, client_type=FakeClient):
    """Return the scopes of all attempts sent of one request of ``t``, in whose course the configuration changes."""

    async def scenario():
        state = make_state(RESUMABLE, versions={"m": 1}, tenants=before, backends=4, retry_extra=50.0)
        if prepare is not None:
            prepare(state)
        client = client_type(first, REST)
        request = make_request("key-t", generation=make_generation())
        serving = asyncio.create_task(RequestPipeline(state, client).serve(request, FakeReply()))
        await asyncio.sleep(CHANGE_S)
        state.apply_config(dataclasses.replace(state.config, version=2, tenants=after))
        await serving
        return [dispatch.cache.scope for dispatch in client.sent]

    return run_virtual(scenario())


@pytest.mark.parametrize(("before", "after", "scope_before", "scope_after"), CHANGES.values(), ids=CHANGES)
@pytest.mark.parametrize("first", FIRSTS.values(), ids=FIRSTS)
def test_further_attempt_begins_under_the_configuration_of_then(first, before, after, scope_before, scope_after):
    """Guards against a retry, a resumed stream or a second attempt under the scope of the admission."""
    assert scopes_of_attempts(first, before, after) == [scope_before, scope_after]


class ConnectingClient(FakeClient):
    """Needs some time to connect, and then asks whether the back end may still get the request."""

    async def send(self, dispatch):
        await asyncio.sleep(2 * CHANGE_S)
        if not dispatch.may_send():
            raise AttemptError(TransportEvent.WITHDRAWN)
        return await super().send(dispatch)


@pytest.mark.parametrize(("before", "after", "_", "scope_after"), CHANGES.values(), ids=CHANGES)
def test_attempt_that_still_connects_is_sent_under_the_configuration_of_then(before, after, _, scope_after):
    """Guards against a request that leaves for an engine under a scope chosen before its connection was made."""
    assert scopes_of_attempts(REST, before, after, client_type=ConnectingClient) == [scope_after]


@pytest.mark.parametrize(("before", "after", "_", "scope_after"), CHANGES.values(), ids=CHANGES)
def test_first_attempt_after_a_hold_begins_under_the_configuration_of_then(before, after, _, scope_after):
    """Guards against a request that waited for a back-off to end, and begins under the scope of its admission."""

    def all_back_off(state):
        for backend in state.backends.all_backends():
            backend.backoff.on_requested(0.1, boot_time_s())

    assert scopes_of_attempts(REST, before, after, all_back_off) == [scope_after]
