"""Kept runs are read with all that draws their schedules."""

from pathlib import Path

import pytest

from wallwell.errors import SoakError
from wallwell.soak.drawing import draw_schedule
from wallwell.soak.regressions import KeptRun, load_regressions, schedule_of
from wallwell.soak.schedule import Shape

KEPT = """
[[run]]
seed = 17
cause = "a cause"
[run.shape]
seconds = 24
rollout = "slow"
"""


def test_a_kept_run_draws_its_schedule_again(tmp_path):
    path = tmp_path / "seeds.toml"
    path.write_text(KEPT)
    shape = Shape(seconds=24, rollout="slow")
    assert load_regressions(path) == (KeptRun(17, "a cause", shape),)
    assert schedule_of(load_regressions(path)[0]) == draw_schedule(17, shape)


def test_the_file_of_this_repository_is_sound():
    for kept in load_regressions(Path(__file__).parents[2] / "soak" / "seeds.toml"):
        assert schedule_of(kept).requests


@pytest.mark.parametrize("text", ["[[run]]\nseed = 1\n", "[[run]]\nseed = 1\ncause = 'c'\nsede = 2\n", "[["])
def test_a_file_that_says_something_else_is_refused(tmp_path, text):
    path = tmp_path / "seeds.toml"
    path.write_text(text)
    with pytest.raises(SoakError):
        load_regressions(path)


@pytest.mark.parametrize("shape", [Shape(seconds=5), Shape(rollout="worse")])
def test_a_shape_that_cannot_be_run_is_refused(shape):
    with pytest.raises(SoakError):
        draw_schedule(1, shape)
