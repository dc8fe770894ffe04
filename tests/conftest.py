"""Shared fixtures: an event loop per test and stand-ins on ports the system chooses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from wallwell.events import configure_logging

# The same examples in each run and no verdict by time: a busy machine must not fail a test.
settings.register_profile(
    "repeatable", deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("repeatable")

EXAMPLES = Path(__file__).parent.parent / "examples"
RunAsync = Callable[..., Any]


@pytest.fixture(autouse=True, scope="session")
def quiet_logs() -> None:
    """Keep log lines out of the test report."""
    configure_logging("ERROR", json_lines=False)


@pytest.fixture
def run_async() -> RunAsync:
    """Run one coroutine in a loop of its own, of asyncio unless another is named, with a bound on its time."""

    def run(work: Coroutine[Any, Any, Any], new_loop: Callable[[], asyncio.AbstractEventLoop] | None = None) -> Any:
        async def bounded() -> Any:
            async with asyncio.timeout(60):
                return await work

        with asyncio.Runner(loop_factory=new_loop) as runner:
            return runner.run(bounded())

    return run
