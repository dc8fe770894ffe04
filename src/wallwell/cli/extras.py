"""Imports that need one of the package's extras, which a plain installation leaves out."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from wallwell.errors import ExtraMissingError


@contextlib.contextmanager
def needs_extra(extra: str) -> Iterator[None]:
    """Turn a module that cannot be found into :class:`ExtraMissingError`, which says how to install it.

    A module of this package itself that is missing is a fault of the installation and not of an extra.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        missing = (error.name or "").partition(".")[0]
        if missing in ("", "wallwell"):
            raise
        raise ExtraMissingError(f"no module {missing}; install it with: pip install 'wallwell[{extra}]'") from error
