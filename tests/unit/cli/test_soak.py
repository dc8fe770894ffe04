"""Tests that the printed replay command generates the same schedule."""

import argparse
import shlex

import pytest

from tests.unit.soak.records import USUAL_FEATURES
from wallwell.cli import soak
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.schedule import Shape


@pytest.mark.parametrize(
    "shape",
    [
        Shape(**USUAL_FEATURES),
        Shape(
            30.5,
            5,
            6,
            3,
            regions=2,
            requests_per_s=80.0,
            rollout="slow",
            **USUAL_FEATURES,
            bad_parts=2,
            skews=True,
            second_answers=True,
            broken_answers=True,
            kept_connections=True,
            calm_s=18.0,
        ),
    ],
    ids=["defaults", "all options"],
)
def test_replay_command_generates_the_same_schedule(shape, monkeypatch):
    schedule = draw_schedule(7, shape)
    replayed = []
    monkeypatch.setattr(soak, "_run_schedule", lambda replay, keep, checkout: replayed.append(replay) or 0)
    parser = argparse.ArgumentParser()
    soak.register(parser.add_subparsers())
    options = parser.parse_args(shlex.split(soak.replay_command(schedule))[1:])
    assert options.run(options) == 0
    assert replayed == [schedule]


def test_replay_command_of_a_kept_run_refers_to_its_file():
    """Kept runs are generated without worker notices and stated limits, as they were when they were recorded."""
    assert "--regressions" in soak.replay_command(draw_schedule(7, Shape()))
