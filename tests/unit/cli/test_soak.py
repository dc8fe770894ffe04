"""The line that plays a run again draws the same schedule."""

import argparse
import shlex

import pytest

from wallwell.cli import soak
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.schedule import Shape


@pytest.mark.parametrize(
    "shape",
    [
        Shape(notices=True, limits=True, identities=True, restores=True),
        Shape(
            30.5,
            5,
            6,
            3,
            regions=2,
            requests_per_s=80.0,
            rollout="slow",
            notices=True,
            limits=True,
            identities=True,
            restores=True,
            calm_s=18.0,
        ),
    ],
    ids=["as it is", "all told"],
)
def test_the_line_that_plays_again_names_all_that_draws_the_schedule(shape, monkeypatch):
    schedule = draw_schedule(7, shape)
    played = []
    monkeypatch.setattr(soak, "_run_schedule", lambda again, keep, checkout: played.append(again) or 0)
    parser = argparse.ArgumentParser()
    soak.register(parser.add_subparsers())
    options = parser.parse_args(shlex.split(soak.replay_command(schedule))[1:])
    assert options.run(options) == 0
    assert played == [schedule]


def test_a_kept_run_that_no_line_names_is_played_from_its_file():
    """Kept runs are drawn without workers that state something, as they were when they were kept."""
    assert "--regressions" in soak.replay_command(draw_schedule(7, Shape()))
