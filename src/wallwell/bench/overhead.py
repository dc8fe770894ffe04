"""What a router adds to a request: the same streams straight to an engine and through a router, in turn.

Engine, router and client share one process, so the difference of processor time per chunk is the router's own.
Pairs are interleaved, which keeps a noisy machine from favouring one side. Owns the deployment it starts.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec
import numpy

from wallwell.bench.latency import MICROSECONDS_PER_S
from wallwell.emulator.deployment import EmulatedDeployment
from wallwell.emulator.engine_model import EngineProfile

PAIRS = 200
"""Pairs of streams, one straight and one routed: the 99th percentile then rests on two streams."""
QUICK_PAIRS = 60
"""The same with ``--quick``; the 99th percentile is then about the slowest stream."""
CHUNKS = 200
"""Tokens of each stream: enough for a mean per chunk."""
_FAST = EngineProfile(step_base_s=0.0005, decode_s_per_request=0.0, prefill_s_per_token=1e-7)
"""An engine that takes half a millisecond a token, so that the router's part is not lost in the engine's."""
_PROMPT = "Dosage guidance that many baskets share. " * 400
"""Some 16 KB, which the engine has in its cache after the first stream."""


class OverheadResult(msgspec.Struct, frozen=True):
    """Added latency in seconds, and processor time of the router in seconds."""

    pairs: int
    chunks: int
    prompt_bytes: int
    direct_first_token_p50_s: float
    added_first_token_p50_s: float
    added_first_token_p99_s: float
    processor_per_chunk_s: float
    direct_processor_per_chunk_s: float


@dataclass
class _Measured:
    first_token_s: float
    processor_s: float


async def measure_overhead(examples: Path, quick: bool, progress: Callable[[str], None]) -> OverheadResult:
    """Measure with one router and one engine of the pharmacy example."""
    fleet = EmulatedDeployment(examples / "pharmacy", profile=_FAST)
    await fleet.start()
    pairs = QUICK_PAIRS if quick else PAIRS
    progress(f"{pairs} pairs of streams of {CHUNKS} chunks")
    try:
        async with aiohttp.ClientSession() as session:
            engine = f"http://{next(iter(fleet.engines.values())).address}"
            router = f"http://{fleet.routers[0].callers_address}"
            direct: list[_Measured] = []
            routed: list[_Measured] = []
            for number in range(pairs):
                prompt = f"{_PROMPT}{number}"
                direct.append(await _stream(session, engine, prompt))
                routed.append(await _stream(session, router, prompt))
    finally:
        await fleet.stop()
    return _result(direct, routed)


async def _stream(session: aiohttp.ClientSession, base: str, prompt: str) -> _Measured:
    body = {"model": "dosage-8b", "prompt": prompt, "max_tokens": CHUNKS, "stream": True}
    headers = {"Authorization": "Bearer demo-pharmacists"}
    started_s, processor_s = time.perf_counter(), time.process_time()
    async with session.post(base + "/v1/completions", json=body, headers=headers) as response:
        await response.content.readany()
        first_token_s = time.perf_counter() - started_s
        await response.read()
    return _Measured(first_token_s, time.process_time() - processor_s)


def _result(direct: list[_Measured], routed: list[_Measured]) -> OverheadResult:
    added = [after.first_token_s - before.first_token_s for before, after in zip(direct, routed, strict=True)]
    processor = [after.processor_s - before.processor_s for before, after in zip(direct, routed, strict=True)]
    p50, p99 = numpy.percentile(added, [50, 99])
    return OverheadResult(
        pairs=len(direct),
        chunks=CHUNKS,
        prompt_bytes=len(_PROMPT),
        direct_first_token_p50_s=statistics.median(each.first_token_s for each in direct),
        added_first_token_p50_s=float(p50),
        added_first_token_p99_s=float(p99),
        processor_per_chunk_s=statistics.median(processor) / CHUNKS,
        direct_processor_per_chunk_s=statistics.median(each.processor_s for each in direct) / CHUNKS,
    )


def overhead_text(result: OverheadResult) -> str:
    """Return a Markdown table."""
    routed_us = result.processor_per_chunk_s * MICROSECONDS_PER_S
    direct_us = result.direct_processor_per_chunk_s * MICROSECONDS_PER_S
    return "\n".join(
        [
            "| what a router adds | figure |",
            "|---|---|",
            f"| to the first token, p50 | {result.added_first_token_p50_s * 1000:.2f} ms |",
            f"| to the first token, p99 | {result.added_first_token_p99_s * 1000:.2f} ms |",
            f"| processor time a forwarded chunk | {routed_us:.0f} us |",
            f"| the same for engine and client together | {direct_us:.0f} us |",
            "",
            f"{result.pairs} interleaved pairs, {result.prompt_bytes:,} bytes of prompt, "
            f"{result.chunks} chunks each; "
            f"the stand-in engine alone takes {result.direct_first_token_p50_s * 1000:.2f} ms to the first token.",
            "",
        ]
    )


def run_overhead(examples: Path, quick: bool, progress: Callable[[str], None]) -> OverheadResult:
    """Run the measurement in a loop of its own."""
    return asyncio.run(measure_overhead(examples, quick, progress))
