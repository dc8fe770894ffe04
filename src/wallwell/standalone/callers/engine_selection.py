"""Which engine a generation's next attempt goes to.

Gathers what the decision needs (the engines that serve the model, what is published of them, who holds the prompt's
blocks) and asks :class:`~wallwell.standalone.routing.selector.EngineSelector`, which owns the decision.
"""

from __future__ import annotations

from collections.abc import Collection

from wallwell.clock import boot_time_s
from wallwell.errors import DeadlineUnreachableError, NoBackendError
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.generation_run import GenerationRun
from wallwell.standalone.callers.retry_after import NO_BACKEND_RETRY_AFTER_MS
from wallwell.standalone.config.compiled import Engine
from wallwell.standalone.placement.reconcile import engines_to_use
from wallwell.standalone.routing.policy import Choice, RoutingRequest
from wallwell.standalone.routing.selector import EngineView


async def select_engine(
    context: NodeContext, run: GenerationRun, excluded: Collection[str] = ()
) -> tuple[Engine, Choice]:
    """Return the engine to send to, none of ``excluded``, and what the policy expects of it.

    Raises :class:`NoBackendError` if no engine may be tried, and :class:`DeadlineUnreachableError` if a generation
    that was not sent yet could not begin in time: one that was sent has been admitted, and its retry is paid for.
    """
    engines = context.engines_for(run.body.model)
    if not engines:
        raise NoBackendError("no live engine serves this model", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    published = {name: news for name, news in context.trusted_news().items() if name in engines}
    version, incarnations = engines_to_use(run.body.model, run.model, published)
    run.use_weights_version(version, context.settings.cluster.key.encode())
    run.lookup = await context.transport.lookup(run.chain)
    now_s = boot_time_s()
    # An engine of which nothing is published is tried only when there is no other.
    published_ones = [engines[name] for name in incarnations if name not in excluded]
    candidates = published_ones or [each for each in engines.values() if each.name not in excluded]
    views = [EngineView(each.name, each.zone, incarnations.get(each.name, "")) for each in candidates]
    request = _routing_request(run, context.settings.zone, now_s)
    choice = context.selector.select(request, views, run.lookup.held_prefixes, now_s, run.failed_engines)
    if choice is None:
        raise NoBackendError("every engine's circuit breaker is open", retry_after_ms=NO_BACKEND_RETRY_AFTER_MS)
    if not run.sent:
        _refuse_if_late(context, request, choice, now_s)
    run.published = published.get(choice.engine)
    return engines[choice.engine], choice


def _refuse_if_late(context: NodeContext, request: RoutingRequest, choice: Choice, now_s: float) -> None:
    retry_after_s = context.selector.retry_after_if_refused_s(request, choice, now_s)
    if retry_after_s is not None:
        context.selector.on_unused(choice.engine)
        message = "no engine can answer before the deadline"
        raise DeadlineUnreachableError(message, retry_after_ms=round(retry_after_s * 1000))


def _routing_request(run: GenerationRun, zone: str, now_s: float) -> RoutingRequest:
    return RoutingRequest(
        chain=run.chain,
        block_tokens=run.model.block_tokens,
        prompt_tokens=max(1, len(run.prompt) // run.model.bytes_per_token),
        rank=run.caller.priority.rank,
        objective=run.caller.priority.objective,
        zone=zone,
        remaining_s=run.caller.remaining_s(now_s),
    )
