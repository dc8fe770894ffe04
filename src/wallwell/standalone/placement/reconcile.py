"""Which engines to load next, and which version requests run on meanwhile. Pure; owns nothing.

Relies on engines as their readers published them, and on the declared model.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.config.schema import ModelSpec


def loaded_version(record: EngineRecord, model: str) -> str:
    """Return the version of ``model`` an engine has loaded, empty if none."""
    return dict(record.weights).get(model, "")


def engines_to_load(
    model: str,
    spec: ModelSpec,
    configured: Sequence[str],
    serving: Mapping[str, EngineRecord],
    loading: Collection[str],
    max_concurrent_loads: int,
) -> list[str]:
    """Return engines to order to the declared version now.

    At most ``max_concurrent_loads`` load at once, and no order takes the serving engines below
    ``spec.min_serving``. Engines already at the version are never ordered, so a second call changes nothing.
    """
    outdated = [
        name
        for name in sorted(configured)
        if name in serving and name not in loading and loaded_version(serving[name], model) != spec.weights_version
    ]
    free_slots = max_concurrent_loads - len(loading)
    spare = sum(name in serving and name not in loading for name in configured) - spec.min_serving
    return outdated[: max(0, min(free_slots, spare))]


def engines_to_use(model: str, spec: ModelSpec, serving: Mapping[str, EngineRecord]) -> tuple[str, dict[str, str]]:
    """Return the version requests run on, and the incarnation of each engine that has it.

    During a roll that is the declared version as soon as half of the engines, or the declared minimum if that is
    less, have it; until then the version most engines have.
    """
    counts = Counter(loaded_version(record, model) for record in serving.values())
    required = min(spec.min_serving, -(-len(serving) // 2))
    version = spec.weights_version
    if counts and counts[version] < max(1, required):
        version = max(counts, key=lambda each: (counts[each], each))
    incarnations = {
        n: record.incarnation for n, record in serving.items() if loaded_version(record, model) == version
    }
    return version, incarnations
