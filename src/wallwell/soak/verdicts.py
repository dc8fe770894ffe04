"""What the check of a promise yields."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from wallwell.soak.timeline import History

HELD = None
"""A case in which the promise was put to the test and held."""
Cases = Iterator[tuple[float, str, str] | None]
"""Each case of one promise: :data:`HELD`, or time, subject and detail of a breach."""
Check = Callable[[History], Cases]
