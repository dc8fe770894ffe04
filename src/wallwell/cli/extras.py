"""Imports that need an optional dependency group (extra), which a plain installation does not include."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from wallwell.errors import ExtraMissingError


@contextlib.contextmanager
def needs_extra(extra: str) -> Iterator[None]:
    """Convert a missing third-party module into :class:`ExtraMissingError`, which says how to install ``extra``.

    A missing module of wallwell itself is a broken installation: its ModuleNotFoundError is raised unchanged.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        missing = (error.name or "").partition(".")[0]
        if missing in ("", "wallwell"):
            raise
        raise ExtraMissingError(f"no module {missing}; install it with: pip install 'wallwell[{extra}]'") from error
