"""One generation over all its attempts: what was asked, what was received, and what each attempt needs of it.

Owns the state that choice, attempt, retry and answer of one request share. Relies on the configuration for models
and tenants' rights, and on the engines' block size for the hashes of the prompt. Sends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from wallwell.errors import ForbiddenError, UnknownResourceError
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.standalone.backends.engine_client import GenerationHead
from wallwell.standalone.backends.engine_protocol import EngineDataError, Resume
from wallwell.standalone.callers.caller import MAX_NAME_IN_ERROR, CheckedCaller
from wallwell.standalone.callers.openai_format import GenerationBody, chunk_text, render_prompt
from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.cluster.transport import LookupResult
from wallwell.standalone.config.compiled import CompiledConfig
from wallwell.standalone.config.schema import ModelSpec
from wallwell.standalone.routing.blocks import CacheKey, hash_chain
from wallwell.standalone.routing.retry_decision import GenerationProgress


@dataclass
class GenerationRun:
    """State of one generation over all its attempts. Times ending in ``_s`` are seconds."""

    caller: CheckedCaller
    body: GenerationBody
    path: str
    model: ModelSpec
    prompt: bytes
    content: str
    """The digest of what the request holds, by which requests that crash engines are recognised."""
    chain: list[int] = field(default_factory=list)
    """Hashes of the prompt's whole blocks for ``weights_version``."""
    cache_salt: int = 0
    weights_version: str = ""
    log: AttemptLog = field(default_factory=lambda: AttemptLog(repeatable=True))
    events: list[bytes] = field(default_factory=list)
    """Stream events received so far, one a token."""
    published: EngineRecord | None = None
    """What was published of the engine that was chosen last."""
    progress: GenerationProgress = field(default_factory=GenerationProgress)
    """As of the last attempt that failed, or beside which another one was made."""
    sent: int = 0
    """Attempts sent, open ones included."""
    failed_engines: set[str] = field(default_factory=set)
    response: web.StreamResponse | None = None
    """The caller's stream once its head was sent."""
    first_token_s: float | None = None
    """Time from the caller's request to the first token."""
    last_token_s: float = 0.0
    """When the newest token came, on this node's clock."""
    head: GenerationHead = field(default_factory=GenerationHead)
    """What the engine of the newest answered attempt reported of the prompt."""
    lookup: LookupResult = field(default_factory=lambda: LookupResult(0, []))
    """Which engines hold how much of the chain."""

    @property
    def complete(self) -> bool:
        """Whether every token asked for was received."""
        return len(self.events) >= self.body.max_tokens

    @property
    def attempt_id(self) -> str:
        """Request id of the next attempt: the caller's own, with the attempt's number from the second one on."""
        number = self.sent
        return self.caller.request_id if number == 0 else f"{self.caller.request_id}.{number}"

    @property
    def is_resumable(self) -> bool:
        """Whether another engine can be told what was received; events of a stream are passed on unread."""
        try:
            self.text_so_far()
        except EngineDataError:
            return False
        return True

    def text_so_far(self) -> str:
        """Return the generated text received. Raises :class:`EngineDataError` if an event holds none."""
        return "".join(chunk_text(event) for event in self.events)

    def engine_body(self) -> bytes:
        """Return the body of the next attempt, which continues after what was received."""
        resume = Resume(len(self.events), self.text_so_far()) if self.events else None
        return msgspec.json.encode(msgspec.structs.replace(self.body, stream=True, resume=resume))

    def use_weights_version(self, version: str, secret: bytes) -> None:
        """Scope the cache key to the weights that the next attempt runs on; ``secret`` is the cluster's."""
        if self.weights_version == version:
            return
        adapter = f"{self.body.adapter}@{self.model.adapters[self.body.adapter]}" if self.body.adapter else ""
        key = CacheKey(self.caller.tenant.name, self.body.model, version, adapter)
        self.weights_version = version
        self.cache_salt = key.seed(secret)
        block_bytes = self.model.block_tokens * self.model.bytes_per_token
        self.chain = hash_chain(self.cache_salt, self.prompt, block_bytes)


def admit_generation(
    config: CompiledConfig, caller: CheckedCaller, body: GenerationBody, path: str, content: str
) -> GenerationRun:
    """Check that the tenant may use the model and adapter.

    Raises :class:`UnknownResourceError` or :class:`ForbiddenError`.
    """
    model = config.models.get(body.model)
    if model is None:
        raise UnknownResourceError(f"no model named `{body.model[:MAX_NAME_IN_ERROR]}`")
    if body.model not in caller.tenant.spec.models:
        raise ForbiddenError(f"the tenant may not use model `{body.model}`")
    if body.adapter and body.adapter not in model.adapters:
        raise UnknownResourceError(f"no adapter named `{body.adapter[:MAX_NAME_IN_ERROR]}`")
    # Only the router resumes a generation; what a caller put there is not passed on.
    body = msgspec.structs.replace(body, resume=None)
    return GenerationRun(caller, body, path, model, render_prompt(body), content)
