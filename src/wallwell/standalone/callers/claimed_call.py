"""A service call with an idempotency key: at most one run for the key, whichever router it arrives at.

The key is claimed in the table service before the call is sent, and the claim settled with its answer. Relies on
:class:`~wallwell.standalone.cluster.claims.ClaimTable`, which never gives an open claim to a second caller. Runs in
a task that outlives its caller: a caller who leaves must not leave a claim open or an answer unrecorded.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Awaitable, Callable
from functools import partial

from wallwell.clock import boot_time_s
from wallwell.errors import DeadlineUnreachableError, OutcomeUnknownError, RequestError
from wallwell.events import Event, emit
from wallwell.outcomes import Outcome
from wallwell.standalone.backends.service_client import ServiceAnswer, ServiceCall
from wallwell.standalone.callers.caller import CheckedCaller
from wallwell.standalone.callers.context import NodeContext
from wallwell.standalone.callers.retry_after import UNKNOWN_OUTCOME_RETRY_AFTER_MS
from wallwell.standalone.callers.service_call import ServiceCallRun
from wallwell.standalone.cluster.claims import Claim, ClaimResult
from wallwell.standalone.routing.retry import full_jitter_delay_s

SETTLE_TRIES = 60
"""Further tries to settle a claim that the table service did not confirm: with pauses of up to 1 s, half of that on
average, they bridge an outage of about half a minute."""
SETTLE_FIRST_STEP = 4
"""Step of the backoff at which these tries begin (a pause of up to 0.32 s), since several tries have just
failed."""
CLAIM_ID_BYTES = 12
"""Random bytes by which one claim differs from another of the same key."""

Settle = Callable[[], Awaitable[bool]]
"""Settles a claim; returns whether that is certain."""


async def send_claimed(
    context: NodeContext, service: str, call: ServiceCall, caller: CheckedCaller
) -> ServiceAnswer:
    """Return the call's answer, or the one recorded for its key. Raises :class:`RequestError`."""
    claims = context.claims
    key = f"{service}/{caller.idempotency_key}"
    claim_id = secrets.token_hex(CLAIM_ID_BYTES)
    claim = await claims.claim(caller.tenant.name, key, _digest(service, call), claim_id)
    if claim.result is ClaimResult.RECORDED:
        return ServiceAnswer(claim.status, claim.body.encode(), "application/json")
    if claim.result is ClaimResult.OPEN_ELSEWHERE:
        message = "an earlier call with this key has not ended"
        raise OutcomeUnknownError(message, retry_after_ms=UNKNOWN_OUTCOME_RETRY_AFTER_MS)
    try:
        if caller.remaining_s(boot_time_s()) <= 0:
            raise DeadlineUnreachableError("the deadline passed while the claim was recorded")
        answer = await ServiceCallRun(context, service, call, caller, repeatable=False).send()
    except RequestError as error:
        if error.outcome is Outcome.NOT_RUN:
            await _settle(context, claim, partial(claims.release, claim))
        elif error.outcome is Outcome.FAILED:
            await _settle(context, claim, partial(claims.record, claim, error.http_status, error.detail))
        # Of an unknown outcome nothing may be recorded: the claim stays open, and the key never runs again.
        raise
    body = answer.body.decode(errors="replace")
    await _settle(context, claim, partial(claims.record, claim, answer.status, body))
    return answer


async def _settle(context: NodeContext, claim: Claim, settle: Settle) -> None:
    """Settle a claim; if the table service does not confirm, go on in the background.

    The caller's answer does not wait: a claim left open only makes a resend ``unknown``, never a second run.
    """
    if not await settle():
        context.spawn(_settle_later(context, claim, settle))


async def _settle_later(context: NodeContext, claim: Claim, settle: Settle) -> None:
    for attempt in range(SETTLE_TRIES):
        await asyncio.sleep(full_jitter_delay_s(attempt + SETTLE_FIRST_STEP, context.rng))
        if await settle():
            return
    emit(Event.CLAIM_ABANDONED, claim_id=claim.claim_id)


def _digest(service: str, call: ServiceCall) -> str:
    """Return what two calls with the same key must share."""
    text = f"{service}\n{call.method}\n{call.path}\n".encode() + call.body
    return hashlib.sha256(text).hexdigest()
