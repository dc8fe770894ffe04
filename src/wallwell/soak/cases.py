"""What the check of an invariant yields: one case each time that the history put the invariant to the test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from wallwell.soak.timeline import History


class Violation(NamedTuple):
    """A case in which an invariant did not hold."""

    at_s: float
    """When it shows, on the machine's steady clock."""
    subject: str
    """The request, process or service that shows it."""
    detail: str


HELD = None
"""A case in which the invariant held."""
Cases = Iterator[Violation | None]
"""Each case of one invariant: :data:`HELD` or a violation."""
Check = Callable[[History], Cases]
