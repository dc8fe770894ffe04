"""Decides which engines load weights next, and which weights version serves requests meanwhile. Pure.

Inputs are the engine states that the nodes publish and the declared model.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from wallwell.standalone.cluster.messages import EngineRecord
from wallwell.standalone.config.schema import ModelSpec


def loaded_version(record: EngineRecord, model: str) -> str:
    """Return the weights version of ``model`` that an engine has loaded, empty if none."""
    return dict(record.weights).get(model, "")


def engines_to_load(
    model: str,
    spec: ModelSpec,
    configured: Sequence[str],
    serving: Mapping[str, EngineRecord],
    loading: Collection[str],
    max_concurrent_loads: int,
) -> list[str]:
    """Return the engines that should load the declared version now.

    At most ``max_concurrent_loads`` engines load at once, and no load takes the number of serving engines below
    ``spec.min_serving``. Engines that have the declared version are never returned, so calls are idempotent.
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
    """Return the version that serves requests, and the incarnation of each engine that has loaded it.

    During a weights roll this is the declared version once half of the engines, or ``spec.min_serving`` if less,
    have loaded it; until then the version that most engines have.
    """
    counts = Counter(loaded_version(record, model) for record in serving.values())
    required = min(spec.min_serving, -(-len(serving) // 2))
    version = spec.weights_version
    if counts and counts[version] < max(1, required):
        version = max(counts, key=lambda each: (counts[each], each))
    in_use = {n: record.incarnation for n, record in serving.items() if loaded_version(record, model) == version}
    return version, in_use
