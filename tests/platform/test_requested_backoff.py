"""A back end that answers 503 and says in ``Retry-After`` for how long it wants nothing.

Seen: two of six engines refused everything for nine seconds and asked for three seconds of rest each time. They got
up to nine requests of one node within such a time. One kind of request was refused by the nodes after 1 to 6 ms,
96 times, while the other four engines were nearly idle.
How it came about: each request went to its usual engine, was refused, went to the next one, was refused, until the
retry budget was used up; then a single refusal ended it.
Cause: a refusal proved that the request had not run, and taught the node nothing about the back end.
Proof: with one back end that refuses so, every second request reaches it; none came there twice by itself.
"""

from __future__ import annotations

import asyncio

import pytest

from wallwell.clock import boot_time_s

BACKOFF_S = 1.5
REQUEST_PERIOD_S = 0.03
ARRIVALS_ALLOWED = 2
"""Requests of a node that may reach a back end between ``SLACK_S`` after its refusal and the end of the
back-off."""
SLACK_S = 0.5
"""Seconds in which requests arrive that were sent before the refusal was read."""


@pytest.mark.parametrize("refusing", [1, 2], ids=["one of two", "all"])
def test_a_back_end_that_asked_for_backoff_is_left_alone_until_its_end(on_platform, refusing):
    async def scenario(harness):
        arrivals = {worker.incarnation: [] for worker in harness.workers}

        def refuse(worker):
            refused = worker.answer(503, X_Not_Run="1", Retry_After=str(BACKOFF_S))

            async def respond(request):
                arrivals[worker.incarnation].append(boot_time_s())
                return await refused(request)

            return respond

        for worker in harness.workers[:refusing]:
            worker.respond = refuse(worker)
        statuses = []
        until_s = boot_time_s() + 2 * BACKOFF_S
        while boot_time_s() < until_s:
            status, headers, _ = await harness.call()
            statuses.append(status)
            assert status == 200 or float(headers["Retry-After"]) > 0
            await asyncio.sleep(REQUEST_PERIOD_S)
        return arrivals, statuses

    arrivals, statuses = on_platform(scenario)
    refused = [times for times in arrivals.values() if times]
    assert len(refused) == refusing
    for times in refused:
        late = [sum(SLACK_S < at_s - each < BACKOFF_S for at_s in times) for each in times]
        assert max(late) <= ARRIVALS_ALLOWED
        assert times[-1] - times[0] > BACKOFF_S  # It is asked again once its time is over.
    assert set(statuses) == ({200} if refusing == 1 else {503})


CONNECT_S = 0.2
"""Seconds that a new connection takes: a little less than the router's time-out."""


def test_a_request_that_waits_for_its_connection_is_not_sent_to_a_back_end_that_then_asks_for_backoff(on_platform):
    """Guards against a choice of back end that is made before a wait and carried out after it, whatever came."""

    async def scenario(harness):
        await harness.call()  # One connection is kept; the others have to be made.
        (worker,) = harness.workers
        arrived_s = []
        refused = worker.answer(503, X_Not_Run="1", Retry_After=str(BACKOFF_S))

        async def respond(request):
            arrived_s.append(boot_time_s())
            return await refused(request)

        worker.respond = respond
        host, _, port = worker.address.rpartition(":")
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_slowly(factory, *address, **options):
            if address == (host, int(port)):
                await asyncio.sleep(CONNECT_S)
            return await connect(factory, *address, **options)

        loop.create_connection = connect_slowly
        answers = await asyncio.gather(*(harness.call(X_Request_Id=f"req-{number}") for number in range(6)))
        loop.create_connection = connect
        retry_after = [float(headers.get("Retry-After", 0)) for _, headers, _ in answers]
        return [status for status, _, _ in answers], retry_after, len(arrived_s)

    statuses, retry_after, arrived = on_platform(scenario, workers=1)
    assert arrived == 1
    assert statuses == [503] * 6
    assert min(retry_after) > 0
