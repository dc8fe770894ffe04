"""Seeded workloads of both example deployments.

Prompts are leaves of a prefix tree per tenant (document, section, subsection, own question) with Zipf heat
over documents.

Owns the random draws: a profile and a seed determine the trace, on any machine. What is drawn from stands in
:mod:`.profiles`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cached_property

from wallwell.bench.profiles import DeploymentProfile, GenerationClass, ServiceClass, TenantShare

BLOCK_BYTES = 64
"""Bytes of text that block counts refer to: an engine's block of 16 tokens of 4 bytes."""
SECTION_ZIPF = 0.8
"""Exponent of the heat of a document's sections: flatter than that of documents."""
SENTENCE_WORDS = (6, 14)
"""Fewest and most words of a sentence."""


@dataclass(frozen=True)
class GenerationRequest:
    """One generation request of a trace."""

    number: int
    arrival_s: float
    tenant: str
    priority: str
    model: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class ServiceRequest:
    """One service call of a trace. ``key`` is set for calls that run at most once."""

    number: int
    arrival_s: float
    tenant: str
    priority: str
    service: str
    method: str
    path: str
    key: str
    body: str


TraceRequest = GenerationRequest | ServiceRequest


@dataclass
class TraceBuilder:
    """Builds the trace of one deployment; the same seed gives the same trace everywhere."""

    profile: DeploymentProfile
    seed: int
    _texts: dict[str, str] = field(default_factory=dict)

    @cached_property
    def _rng(self) -> random.Random:
        return random.Random(f"{self.profile.name}/{self.seed}")

    def build(self, requests: int, rate_per_s: float) -> list[TraceRequest]:
        """Return ``requests`` requests with exponential gaps at ``rate_per_s``."""
        classes: list[GenerationClass | ServiceClass] = [*self.profile.generation, *self.profile.services]
        weights = [each.share for each in classes]
        trace: list[TraceRequest] = []
        now_s = 0.0
        for number in range(requests):
            now_s += self._rng.expovariate(rate_per_s)
            chosen = self._rng.choices(classes, weights)[0]
            if isinstance(chosen, GenerationClass):
                trace.append(self._generation(chosen, number, now_s))
            else:
                trace.append(self._service(chosen, number, now_s))
        return trace

    def _tenant(self, tenants: Sequence[TenantShare]) -> str:
        return self._rng.choices([t.tenant for t in tenants], [t.weight for t in tenants])[0]

    def _generation(self, chosen: GenerationClass, number: int, now_s: float) -> GenerationRequest:
        tenant = self._tenant(chosen.tenants)
        document = self._zipf(chosen.documents, chosen.zipf)
        section = self._zipf(chosen.sections, SECTION_ZIPF)
        name = f"{tenant}/{chosen.priority}/{document}"
        prompt = self._text(name, chosen.document_blocks)
        prompt += self._text(f"{name}/{section}", chosen.section_blocks)
        prompt += self._question(chosen.question_blocks, number)
        return GenerationRequest(number, now_s, tenant, chosen.priority, chosen.model, prompt, chosen.max_tokens)

    def _service(self, chosen: ServiceClass, number: int, now_s: float) -> ServiceRequest:
        key = f"{self.profile.name}-{self.seed}-{number}" if chosen.non_repeatable else ""
        body = f'{{"order": {number}}}' if chosen.method == "POST" else ""
        return ServiceRequest(
            number,
            now_s,
            self._tenant(chosen.tenants),
            chosen.priority,
            chosen.service,
            chosen.method,
            chosen.path,
            key,
            body,
        )

    def _zipf(self, count: int, exponent: float) -> int:
        """Draw an index, low ones more often."""
        weights = [1.0 / (rank + 1) ** exponent for rank in range(count)]
        return self._rng.choices(range(count), weights)[0]

    def _text(self, name: str, blocks: int) -> str:
        """Return the fixed text of one tree node."""
        text = self._texts.get(name)
        if text is None:
            text = _sentences(random.Random(f"{self.profile.name}/{name}"), self.profile.vocabulary, blocks)
            self._texts[name] = text
        return text

    def _question(self, blocks: int, number: int) -> str:
        text = f"Case {number}: " + _sentences(self._rng, self.profile.vocabulary, blocks)
        return text[: blocks * BLOCK_BYTES]


def _sentences(rng: random.Random, vocabulary: Sequence[str], blocks: int) -> str:
    """Return sentences of exactly ``blocks`` blocks."""
    size = blocks * BLOCK_BYTES
    parts: list[str] = []
    length = 0
    while length < size:
        sentence = " ".join(rng.choices(vocabulary, k=rng.randint(*SENTENCE_WORDS))).capitalize() + ". "
        parts.append(sentence)
        length += len(sentence)
    return "".join(parts)[:size]
