"""Traffic of both example deployments: classes of requests, their shares, sizes and tenants.

Owns the figures of the traffic; names of models, services and priorities are those of the examples' operators'
files. :mod:`.workload` draws traces from them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class TenantShare:
    """A tenant's weight within one traffic class."""

    tenant: str
    weight: float


@dataclass(frozen=True)
class GenerationClass:
    """One class of generation requests. Block counts are of 64 bytes of text."""

    priority: str
    model: str
    share: float
    """Weight among all classes of the deployment."""
    tenants: tuple[TenantShare, ...]
    documents: int
    document_blocks: int
    sections: int
    section_blocks: int
    question_blocks: int
    max_tokens: int
    zipf: float = 1.1
    """Exponent of the documents' heat: the n-th document is asked for 1 / n ** zipf times as often as the first."""


@dataclass(frozen=True)
class ServiceClass:
    """One class of service calls."""

    priority: str
    service: str
    share: float
    """Weight among all classes of the deployment."""
    method: str
    path: str
    tenants: tuple[TenantShare, ...]
    non_repeatable: bool
    """Whether each call carries an idempotency key, since it may run only once."""


@dataclass(frozen=True)
class DeploymentProfile:
    """Traffic of one deployment."""

    name: str
    top_priority: str
    vocabulary: tuple[str, ...]
    generation: tuple[GenerationClass, ...]
    services: tuple[ServiceClass, ...]


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


def _tenant_shares(**weights: float) -> tuple[TenantShare, ...]:
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
            _tenant_shares(pharmacists=8, hospital_desk=1, care_homes=1, night_pharmacy=0.5),
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
            _tenant_shares(web_shop=5, mobile_app=3, call_centre=1),
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
            _tenant_shares(store_staff=3, call_centre=1),
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
            "customer-question", "orders", 0.12, "GET", "status", _tenant_shares(web_shop=1, mobile_app=1), False
        ),
        ServiceClass(
            "customer-question", "orders", 0.08, "POST", "pickup-notices", _tenant_shares(web_shop=1), True
        ),
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
            _tenant_shares(permit_desk=6, guides_simien=2, park_office=1, tour_partners=1),
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
            _tenant_shares(guides_simien=4, guides_bale=3, rescue_desk=1, booking_app=2),
            documents=8,
            document_blocks=60,
            sections=4,
            section_blocks=20,
            question_blocks=4,
            max_tokens=16,
        ),
    ),
    services=(
        ServiceClass(
            "bed-hold", "bookings", 0.12, "POST", "holds", _tenant_shares(booking_app=4, hut_keepers=1), True
        ),
        ServiceClass("availability", "bookings", 0.18, "GET", "availability", _tenant_shares(booking_app=3), False),
    ),
)

PROFILES = {profile.name: profile for profile in (PHARMACY, HUTS)}
