"""Serves one request in virtual time by scripted back ends; common scripts and routes."""

from tests.unit.serving.fakes import (
    FakeClient,
    FakeReply,
    Script,
    make_request,
    make_route,
    make_state,
)
from tests.virtual_time import run_virtual
from wallwell.clock import boot_time_s
from wallwell.deployment.routes import RouteKind
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.serving.pipeline import RequestPipeline

OK = Script(chunks=(b"ok",))
OVERLOADED = Script(send_error=TransportEvent.BACKEND_OVERLOADED)
PRECONDITION_REFUSED = Script(send_error=TransportEvent.PRECONDITION_REFUSED)
CONNECT_TIMEOUT = Script(send_error=TransportEvent.CONNECT_TIMEOUT)
CONNECT_REFUSED = Script(send_error=TransportEvent.CONNECT_REFUSED)
RESET = Script(send_error=TransportEvent.RESET_AFTER_SEND)
FOREIGN_ANSWER = Script(send_error=TransportEvent.FOREIGN_ANSWER)
SERVER_ERROR = Script(status=500, chunks=(b"broken",))
BODY_RESET = Script(chunks=(b"o",), body_error=TransportEvent.RESET_AFTER_SEND)


def serve_request(scripts, route=None, request=None, prepare=None, **state):
    """Serve one request and return the reply, the client and the seconds it took."""

    async def scenario():
        node_state = make_state(route, **state)
        if prepare is not None:
            prepare(node_state)
        client, reply = FakeClient(*scripts), FakeReply()
        started_s = boot_time_s()
        arguments = request() if request is not None else make_request()
        await RequestPipeline(node_state, client).serve(arguments, reply)
        return reply, client, reply.ended_at_s - started_s

    return run_virtual(scenario())


SAFE = make_route(RouteKind.SAFE)
UNSAFE = make_route(RouteKind.UNSAFE, attempts=1)
