"""The life of a generation request: admit, choose an engine, attempt, resume elsewhere after a fault, answer.

Each step has its own module: ``generation_run`` (admission and state), ``engine_selection``, ``engine_attempt``,
``attempt_race`` (attempts beside a silent one), ``generation_retry`` and ``generation_answer``; this one holds
their order.
"""

from __future__ import annotations

from collections.abc import Collection

from aiohttp import web

from wallwell.errors import RequestError
from wallwell.outcomes import Outcome
from wallwell.routing.admission.request_content import content_digest
from wallwell.standalone.callers.attempt_race import AttemptRace
from wallwell.standalone.callers.caller import CheckedCaller, admitted, read_body
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.engine_selection import select_engine
from wallwell.standalone.callers.generation_answer import GenerationAnswer, count_generation
from wallwell.standalone.callers.generation_retry import await_generation_retry, generation_exhausted, refused
from wallwell.standalone.callers.generation_run import GenerationRun, admit_generation
from wallwell.standalone.callers.openai_format import parse_generation
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.routing.policy import Choice


class GenerationHandler:
    """Handles ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    async def handle(self, request: web.Request, caller: CheckedCaller) -> web.StreamResponse:
        """Answer one request. Raises :class:`RequestError` if nothing was sent to the caller yet."""
        context = self._context
        chat = request.path.endswith("chat/completions")
        raw = await read_body(context, request)
        content = content_digest("", request.path, caller.tenant.name, raw)
        run = admit_generation(context.config, caller, parse_generation(raw, chat), request.path, content)
        answer = GenerationAnswer(request, run, context.settings.limits.stream_buffer_bytes)
        with admitted(context, caller):
            context.retry_budget.on_request()
            try:
                await self._generate(run, answer)
            except RequestError as error:
                count_generation(context.metrics, run, error.outcome)
                if run.response is None:
                    raise
                return await answer.end_broken(run.response, error)
            count_generation(context.metrics, run, Outcome.COMPLETED)
            context.crashes.on_answered(content)
            return await answer.complete()

    async def _generate(self, run: GenerationRun, answer: GenerationAnswer) -> None:
        """Make attempts until the generation is complete. Raises :class:`RequestError`."""
        while True:
            engine, choice = await self._next_engine(run)
            race = AttemptRace(self._context, run, answer.forward, self._next_engine)
            failed = await race.perform(engine, choice)
            if failed is None:
                return
            await await_generation_retry(self._context, run, failed.attempt, failed.failure)
            if run.complete:
                return

    async def _next_engine(self, run: GenerationRun, excluded: Collection[str] = ()) -> tuple[Engine, Choice]:
        """Return where the next attempt goes, to none of ``excluded``. Raises :class:`RequestError` if nowhere."""
        if not run.is_resumable:
            raise generation_exhausted(run)
        refusal = self._context.crashes.refusal(run.content)
        if refusal is not None:
            raise refused(run, refusal)  # Each further attempt or resumption would end one more engine.
        try:
            return await select_engine(self._context, run, excluded)
        except RequestError as error:
            raise refused(run, error) from error
