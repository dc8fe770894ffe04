"""Runs that once broke an invariant, kept with their causes and played again."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from wallwell.errors import SoakError
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.schedule import Schedule, Shape


class KeptRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run: what draws its schedule, and in one line why an invariant was broken."""

    seed: int
    cause: str
    shape: Shape = Shape()


class KeptRuns(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of kept runs."""

    run: tuple[KeptRun, ...] = ()


def load_regressions(path: Path) -> tuple[KeptRun, ...]:
    """Read the file. Raises :class:`SoakError`."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), KeptRuns).run
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SoakError(f"{path}: {error}") from error


def schedule_of(kept: KeptRun) -> Schedule:
    """Return the schedule of a kept run."""
    return draw_schedule(kept.seed, kept.shape)
