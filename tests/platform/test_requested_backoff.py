"""A back end that answers 503 and asks for a back-off in ``Retry-After``.

Guards against nodes that ignore the back-off. Two of six engines refused everything for nine seconds and asked for
a back-off of three seconds each time. Within such a back-off one node sent them up to nine requests. Requests went
to one engine after another until the retry budget was used up; after that, nodes refused requests of one kind 96
times, after 1 to 6 ms, while the other four engines were nearly idle. Without the fix, every second request reaches
one such back end of two, although no request reaches it twice.
"""

from __future__ import annotations

import asyncio

import pytest

from wallwell.clock import boot_time_s

BACKOFF_S = 1.5
REQUEST_PERIOD_S = 0.03
ARRIVALS_ALLOWED = 2
"""Requests of one node that may reach a back end between ``SLACK_S`` after its refusal and the end of its
back-off."""
SLACK_S = 0.5
"""Seconds within which requests may arrive that were sent before the refusal was read."""


@pytest.mark.parametrize("refusing", [1, 2], ids=["one of two", "all"])
def test_back_end_gets_no_requests_until_its_backoff_ends(on_platform, refusing):
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
        assert times[-1] - times[0] > BACKOFF_S  # It gets requests again once its back-off is over.
    assert set(statuses) == ({200} if refusing == 1 else {503})


CONNECT_S = 0.2
"""Seconds that a new connection takes: slightly less than the router's connect timeout."""


def test_request_waiting_for_a_connection_is_not_sent_if_the_back_end_then_asks_for_backoff(on_platform):
    """Guards against sending to a back end chosen before the wait without checking it again after the wait."""

    async def scenario(harness):
        await harness.call(X_Request_Id="earlier")  # Leaves one idle connection; the others must be opened.
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
