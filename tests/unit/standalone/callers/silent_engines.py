"""Engines that fall silent, in place of the HTTP session, and one standalone router's context around them.

For virtual time: nothing is sent over sockets. An engine sends a token every ``STEP_S``; while it is silent, it
sends nothing, neither tokens nor heads nor confirmations, and then goes on where it was.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from itertools import pairwise
from types import SimpleNamespace

import aiohttp

from wallwell.clock import boot_time_s
from wallwell.errors import RequestError
from wallwell.standalone.backends import engine_protocol as wire
from wallwell.standalone.callers.caller import CheckedCaller
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.generation import GenerationHandler
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.callers.openai_format import CompletionBody, render_prompt
from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.cluster.transport import LookupResult
from wallwell.standalone.config.compiled import CompiledConfig, Engine
from wallwell.standalone.config.schema import ModelSpec, PrioritySpec, ZoneSpec
from wallwell.standalone.metrics import NodeMetrics
from wallwell.standalone.routing.policy import RoundRobin
from wallwell.standalone.routing.retry import RetryBudget
from wallwell.standalone.routing.selector import EngineSelector

STEP_S = 0.1
TOKENS = 30
FOREVER_S = 1e6


@dataclass
class ScriptedEngine:
    """An engine that is silent from ``silent_from_s`` for ``silent_s``, counted from the start of the test.

    With ``fault`` it serves no generation: it ``refuses``, ``breaks_off`` or is ``unreachable``; or ``lacks_end``:
    its answers break off behind their last token.
    """

    name: str
    silent_from_s: float = FOREVER_S
    silent_s: float = 0.0
    fault: str = ""
    cancel_state: str = ""
    """How far a cancelled generation had come, as an engine says at once that is busy, not silent."""
    sent: list[tuple[str, int]] = field(default_factory=list)
    """Attempt id and index of the first token asked for, of each generation that arrived."""
    running: set[str] = field(default_factory=set)
    start_s: float = 0.0

    async def until_awake(self, due_s: float) -> None:
        """Return at ``due_s``, or after the silence that holds then."""
        await asyncio.sleep(max(0.0, due_s - boot_time_s()))
        elapsed_s = boot_time_s() - self.start_s
        if self.silent_from_s <= elapsed_s < self.silent_from_s + self.silent_s:
            await asyncio.sleep(self.silent_from_s + self.silent_s - elapsed_s)


class ScriptedAnswer:
    """One answer of an engine: a stream of tokens, or a body."""

    def __init__(self, engine, attempt_id, status=200, body=b"", index=0):
        self.engine, self.status, self.index = engine, status, index
        self._end = max(TOKENS, index + 1)  # An engine writes one token at least.
        self.headers = {wire.REQUEST_ID: attempt_id, wire.PROMPT_TOKENS: "8"}
        self.content = self
        self._id, self._body, self._due_s = attempt_id, body, boot_time_s()

    async def readany(self):
        await self.engine.until_awake(self._due_s)
        index, self.index = self.index, self.index + 1
        self._due_s = boot_time_s() + STEP_S
        if index >= self._end and self.engine.fault == "lacks_end":
            raise aiohttp.ServerDisconnectedError
        if index >= self._end:
            return wire.DONE_EVENT + b"\n\n"
        chunk = json.dumps({"choices": [{"text": f"{index} "}]})
        return f"id: {self._id}/{index}\ndata: {chunk}\n\n".encode()

    async def read(self):
        return self._body

    async def iter_any(self):
        yield self._body

    def close(self):
        self.engine.running.discard(self._id)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self.close()


class _Call:
    """What a session's ``post`` returns: awaited, or entered as a context."""

    def __init__(self, work):
        self._work = work

    def __await__(self):
        return self._work.__await__()

    async def __aenter__(self):
        return await self._work

    async def __aexit__(self, *_):
        pass


class ScriptedSession:
    """Takes the place of the HTTP session to ``engines``, whose addresses are their names."""

    def __init__(self, engines):
        self.engines = {each.name: each for each in engines}

    def post(self, url, data, headers, timeout):
        name, _, path = url.removeprefix("http://").partition("/")
        engine, attempt_id = self.engines[name], headers[wire.REQUEST_ID]
        if path == "cancel":
            return _Call(self._cancel(engine, attempt_id, timeout.total))
        return _Call(self._generate(engine, attempt_id, json.loads(data)))

    async def _cancel(self, engine, call_id, timeout_s):
        if not engine.cancel_state:
            async with asyncio.timeout(timeout_s):
                await engine.until_awake(boot_time_s())
        engine.running.discard(call_id.removesuffix(".cancel"))
        return ScriptedAnswer(
            engine, call_id, body=json.dumps({"state": engine.cancel_state or "stopped"}).encode()
        )

    async def _generate(self, engine, attempt_id, body):
        resume = body.get("resume")
        first = resume["next_index"] if resume else 0
        engine.sent.append((attempt_id, first))
        if engine.fault == "unreachable":
            raise aiohttp.ClientConnectorError(SimpleNamespace(ssl=None, host="", port=0), OSError())
        await engine.until_awake(boot_time_s() + STEP_S)
        if engine.fault == "refuses":
            return ScriptedAnswer(engine, attempt_id, 503, b'{"reason":"overloaded"}')
        if engine.fault == "breaks_off":
            raise aiohttp.ServerDisconnectedError
        engine.running.add(attempt_id)
        return ScriptedAnswer(engine, attempt_id, index=first)


class _Crashes:
    """Quarantines nothing."""

    def refusal(self, content):
        return None

    async def on_failure(self, *_):
        pass


class Router:
    """One router around ``engines``, with ``retries`` in its budget, and what its callers get."""

    def __init__(self, engines, retries):
        self.engines = engines
        for each in engines:
            each.start_s = boot_time_s()
        configured = {
            each.name: Engine(each.name, each.name, "z", "pool", frozenset({"m"}), False, 1) for each in engines
        }
        published = {name: EngineRecord(name, f"{name}-1", (("m", "v1"),)) for name in configured}
        config = CompiledConfig(1, zones={"z": ZoneSpec("r")}, engines=configured)
        rng = random.Random(1)
        node = SimpleNamespace(
            config=SimpleNamespace(compiled=config),
            serving_engines=lambda: published,
            leaving_addresses=set,
            report_dispatch=lambda *_: [],
        )
        settings = SimpleNamespace(zone="z", region="r", cluster=SimpleNamespace(key="k" * 32))
        transport = SimpleNamespace(lookup=self._lookup, perform=lambda _: None)
        self.context = NodeContext(
            settings,
            rng,
            node,
            transport,
            EngineSelector(RoundRobin(), rng),
            ScriptedSession(engines),
            None,
            None,
            None,
            None,
            NodeMetrics(),
            _Crashes(),
            RetryBudget(reserve=float(retries)),
        )

    async def _lookup(self, chain):
        return LookupResult(0, [])

    async def generate(self, request_id="r", deadline_s=60.0):
        """Return the error's code, empty for none, the tokens' indexes, and the longest gap in seconds."""
        now_s = boot_time_s()
        caller = CheckedCaller(
            request_id, SimpleNamespace(name="t"), "p", PrioritySpec(8), now_s + deadline_s, "", now_s
        )
        body = CompletionBody("m", "prompt", TOKENS, True)
        run = GenerationRun(caller, body, "/v1/completions", ModelSpec("v1"), render_prompt(body), "digest")
        got, came_s = [], [now_s]

        async def forward(event):
            got.append(wire.parse_event_id(event).token_index)
            came_s.append(boot_time_s())

        code = ""
        try:
            await GenerationHandler(self.context)._generate(run, SimpleNamespace(forward=forward))
        except RequestError as error:
            code = error.code
        gaps_s = [later - earlier for earlier, later in pairwise(came_s)]
        return code, got, max(gaps_s, default=0.0)
