"""Test doubles for the pipeline: a scripted back end client, a recording reply, and a node state."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from wallwell.address import parse_address
from wallwell.clock import boot_time_s
from wallwell.deployment.backends import BackendRecord
from wallwell.deployment.routes import DeploymentConfig, Route, RouteKind, TenantAccess, WeightedService
from wallwell.errors import RequestError
from wallwell.node.state import FleetBounds, NodeState
from wallwell.routing.retry.attempt_outcome import TransportEvent
from wallwell.routing.selection.prefix_home import PromptPart
from wallwell.serving.messages import AnswerHead, AttemptError, CallerRequest, Dispatch, Generation


def event(number):
    return b"id: %d\ndata: x\n\n" % number


@dataclass
class Script:
    """Scripted answer of a back end: body chunks, pauses in seconds between them, and how the attempt ends."""

    status: int = 200
    chunks: tuple = ()
    head_delay_s: float = 0.0
    send_error: TransportEvent | None = None
    body_error: TransportEvent | None = None
    stream: bool = False
    weights_version: int = 0
    refused_weights_version: int = 0


class FakeAnswer:
    def __init__(self, client, script):
        self.head = AnswerHead(script.status, (("X-Mark", "kept"),), script.weights_version, script.stream)
        self._client = client
        self._script = script
        self._open = True
        self._ended = False

    async def chunks(self):
        for chunk in self._script.chunks:
            if isinstance(chunk, float):
                await asyncio.sleep(chunk)
            else:
                yield chunk
        if self._script.body_error is not None:
            raise AttemptError(self._script.body_error, "scripted")
        self._ended = True

    def close(self):
        if self._open and not self._ended:
            self._client.cancelled += 1
        self._open = False


class FakeClient:
    """Answers requests by the scripts in order; the last script is repeated."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.sent: list[Dispatch] = []
        self.sent_at_s: list[float] = []
        self.cancelled = 0

    async def send(self, dispatch):
        self.sent.append(dispatch)
        self.sent_at_s.append(boot_time_s())
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        try:
            await asyncio.sleep(script.head_delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if script.send_error is not None:
            raise AttemptError(script.send_error, "scripted", script.refused_weights_version)
        return FakeAnswer(self, script)


@dataclass
class FakeReply:
    """Records the reply that a caller receives."""

    status: int = 0
    body: bytes = b""
    error: RequestError | None = None
    ended: str = ""
    ended_at_s: float = 0.0
    write_delay_s: float = 0.0
    started: bool = False
    heads: list[AnswerHead] = field(default_factory=list)

    def _end(self, how):
        assert not self.ended, f"ended twice: {self.ended}, {how}"
        self.ended = how
        self.ended_at_s = boot_time_s()

    def is_caller_gone(self):
        return False

    def is_cut_by_stop(self):
        return False

    async def answer(self, head, body):
        self.status, self.body = head.status, body
        self.heads.append(head)
        self._end("answered")

    async def refuse(self, error):
        assert not self.started
        self.status, self.error = error.http_status, error
        self._end("refused")

    async def start(self, head):
        self.started = True
        self.status = head.status
        self.heads.append(head)

    async def write(self, data):
        self.body += data
        await asyncio.sleep(self.write_delay_s)

    async def finish(self):
        self._end("finished")

    def abort(self):
        self._end("aborted")


def make_route(kind=RouteKind.SAFE, resumable=False, attempts=2, timeout_s=4.0, **options):
    services = options.pop("services", (WeightedService("svc", 1.0),))
    return Route(
        "r",
        "h.example",
        "/",
        kind,
        services,
        timeout_s,
        0.4,
        attempts,
        resumable=resumable,
        max_gap_s=0.5,
        **options,
    )


def make_state(route=None, backends=3, versions=None, tenants=None, **bounds):
    state = NodeState("n1", "z1", FleetBounds(**bounds), random.Random(7))
    tenants = (TenantAccess("t", ("key",)),) if tenants is None else tenants
    state.apply_config(DeploymentConfig(1, (route or make_route(),), tenants=tenants))
    for index in range(backends):
        address = parse_address(f"10.0.0.{index}:80")
        state.backends.upsert(BackendRecord(f"i-{index}", "svc", address, "z1", 8, versions=versions or {}))
    state.backends_known = True
    state.freshness.confirm(boot_time_s())
    return state


def make_request(
    credential="key",
    caller_timeout_s=None,
    generation=None,
    host="h.example",
    target="/p?q=1",
    body=b"",
    first_request_id="",
):
    return CallerRequest(
        request_id="r-1",
        host=host,
        method="POST",
        target=target,
        headers=(),
        body=body,
        credential=credential,
        caller_timeout_s=caller_timeout_s,
        arrived_s=boot_time_s(),
        generation=generation,
        first_request_id=first_request_id,
    )


def make_generation(tokens=100, resume_after=None):
    return Generation("m", (PromptPart("shared", tokens), PromptPart("own", 10)), resume_after)
