"""Seeded workloads of both example deployments.

Prompts are leaves of a prefix tree per tenant (document, section, subsection, own question) with Zipf heat
over documents.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cached_property

BLOCK_BYTES = 64


@dataclass(frozen=True)
class TenantShare:
    """A tenant's part of one traffic class."""

    tenant: str
    weight: float


@dataclass(frozen=True)
class GenerationClass:
    """One class of generation requests. Block counts are of 64 bytes of text."""

    priority: str
    model: str
    share: float
    tenants: tuple[TenantShare, ...]
    documents: int
    document_blocks: int
    sections: int
    section_blocks: int
    question_blocks: int
    max_tokens: int
    zipf: float = 1.1


@dataclass(frozen=True)
class ServiceClass:
    """One class of service calls."""

    priority: str
    service: str
    share: float
    method: str
    path: str
    tenants: tuple[TenantShare, ...]
    non_repeatable: bool


@dataclass(frozen=True)
class DeploymentProfile:
    """Traffic of one deployment."""

    name: str
    top_priority: str
    vocabulary: tuple[str, ...]
    generation: tuple[GenerationClass, ...]
    services: tuple[ServiceClass, ...]


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
    """One service call of a trace. ``key`` is set for calls that may not be repeated."""

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

_PHARMACY_WORDS = tuple(
    [
        "dosage",
        "guidance",
        "adult",
        "child",
        "renal",
        "hepatic",
        "interval",
        "maximum",
        "daily",
        "milligram",
        "tablet",
        "infusion",
        "interaction",
        "warfarin",
        "ibuprofen",
        "paracetamol",
        "metformin",
        "contraindicated",
        "pregnancy",
        "monitor",
        "adjust",
        "reduce",
        "review",
        "allergy",
        "basket",
        "parcel",
        "prescription",
        "pharmacist",
        "verify",
        "release",
        "counter",
    ]
)
_HUT_WORDS = tuple(
    [
        "permit",
        "ranger",
        "altitude",
        "ridge",
        "camp",
        "hut",
        "bunk",
        "season",
        "fire",
        "wildlife",
        "corridor",
        "ibex",
        "wolf",
        "escort",
        "group",
        "itinerary",
        "rule",
        "plateau",
        "escarpment",
        "water",
        "fee",
        "guide",
        "arrival",
        "departure",
        "night",
        "limit",
        "closed",
        "trail",
        "weather",
        "rescue",
        "register",
    ]
)


def _tenants(**weights: float) -> tuple[TenantShare, ...]:
    return tuple(TenantShare(name.replace("_", "-"), weight) for name, weight in weights.items())


PHARMACY = DeploymentProfile(
    name="pharmacy",
    top_priority="prescription-check",
    vocabulary=_PHARMACY_WORDS,
    generation=(
        GenerationClass(
            "prescription-check",
            "dosage-8b",
            0.45,
            _tenants(pharmacists=8, hospital_desk=1, care_homes=1, night_pharmacy=0.5),
            documents=16,
            document_blocks=220,
            sections=6,
            section_blocks=60,
            question_blocks=8,
            max_tokens=24,
        ),
        GenerationClass(
            "customer-question",
            "dosage-8b",
            0.25,
            _tenants(web_shop=5, mobile_app=3, call_centre=1),
            documents=6,
            document_blocks=60,
            sections=4,
            section_blocks=20,
            question_blocks=5,
            max_tokens=32,
        ),
        GenerationClass(
            "staff-question",
            "dosage-8b",
            0.1,
            _tenants(store_staff=3, call_centre=1),
            documents=8,
            document_blocks=80,
            sections=4,
            section_blocks=20,
            question_blocks=5,
            max_tokens=32,
        ),
    ),
    services=(
        ServiceClass(
            "customer-question", "orders", 0.12, "GET", "status", _tenants(web_shop=1, mobile_app=1), False
        ),
        ServiceClass("customer-question", "orders", 0.08, "POST", "pickup-notices", _tenants(web_shop=1), True),
    ),
)

HUTS = DeploymentProfile(
    name="huts",
    top_priority="guide-reply",
    vocabulary=_HUT_WORDS,
    generation=(
        GenerationClass(
            "permit-check",
            "trail-7b",
            0.4,
            _tenants(permit_desk=6, guides_simien=2, park_office=1, tour_partners=1),
            documents=14,
            document_blocks=320,
            sections=5,
            section_blocks=100,
            question_blocks=40,
            max_tokens=48,
        ),
        GenerationClass(
            "guide-reply",
            "trail-7b",
            0.3,
            _tenants(guides_simien=4, guides_bale=3, rescue_desk=1, booking_app=2),
            documents=8,
            document_blocks=60,
            sections=4,
            section_blocks=20,
            question_blocks=4,
            max_tokens=16,
        ),
    ),
    services=(
        ServiceClass("bed-hold", "bookings", 0.12, "POST", "holds", _tenants(booking_app=4, hut_keepers=1), True),
        ServiceClass("availability", "bookings", 0.18, "GET", "availability", _tenants(booking_app=3), False),
    ),
)

PROFILES = {profile.name: profile for profile in (PHARMACY, HUTS)}


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
        section = self._zipf(chosen.sections, 0.8)
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
        sentence = " ".join(rng.choices(vocabulary, k=rng.randint(6, 14))).capitalize() + ". "
        parts.append(sentence)
        length += len(sentence)
    return "".join(parts)[:size]
