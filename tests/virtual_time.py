"""An event loop in virtual time: waiting takes no real time, and every run sees the same times.

The monotonic clock and the boot clock are both virtual; they differ by the simulated time of suspension.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

T = TypeVar("T")
MAX_VIRTUAL_S = 600.0


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.suspended_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready or timeout is None:
            assert ready or timeout is not None, "the test waits for an event that never happens"
            return ready
        self.now_s += max(0.0, timeout)
        assert self.now_s < 1000.0 + MAX_VIRTUAL_S, "the test exceeds MAX_VIRTUAL_S"
        return ready


def suspend_machine(seconds: float) -> None:
    """Advance only the boot clock, as a suspension does: loop timers and the monotonic clock do not advance."""
    selector = asyncio.get_running_loop()._selector  # type: ignore[attr-defined]
    selector.suspended_s += seconds


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, with virtual monotonic and boot clocks."""
    selector = _JumpingSelector()
    with (
        mock.patch("time.monotonic", lambda: selector.now_s),
        mock.patch("time.clock_gettime", lambda clock: selector.now_s + selector.suspended_s),
    ):
        loop = asyncio.SelectorEventLoop(selector)
        # Timers due within the clock's resolution count as due, so that rounding cannot stop the clock.
        loop._clock_resolution = 1e-6  # type: ignore[attr-defined]
        try:
            return loop.run_until_complete(work)
        finally:
            pending = asyncio.all_tasks(loop)
            for task in pending:
                task.cancel()
            if pending:
                loop.run_until_complete(asyncio.wait(pending))
            loop.close()
