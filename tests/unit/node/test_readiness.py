"""A node that does not become ready says once what it lacks."""

import pytest
from loguru import logger

from tests.unit.serving.fakes import make_state
from wallwell.events import Event
from wallwell.node import readiness as readiness_module
from wallwell.node.readiness import NOT_READY_LOG_DELAY_S, Readiness
from wallwell.read_gaps import LoopProgress


class MemberRows:
    has_been_read = False


@pytest.fixture
def lacks():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record["extra"]), level="WARNING")
    yield lambda: [line["lacks"] for line in lines if line["event"] == Event.NODE_NOT_READY.number]
    logger.remove(sink)


def test_node_logs_what_it_lacks_once_for_each_change(lacks, monkeypatch):
    state = make_state()
    state.started_s, state.backends_known = 100.0, False
    rows = MemberRows()
    readiness = Readiness(state, rows)

    # The one of the process is for real times.
    monkeypatch.setattr(readiness_module, "loop_progress", LoopProgress())

    def tick(now_s):
        monkeypatch.setattr(readiness_module, "boot_time_s", lambda: now_s)
        readiness._on_timer(now_s, now_s)

    tick(100.0 + NOT_READY_LOG_DELAY_S / 2)
    assert lacks() == []
    tick(100.0 + NOT_READY_LOG_DELAY_S)
    tick(101.0 + NOT_READY_LOG_DELAY_S)
    assert len(lacks()) == 1
    assert lacks()[0][-2:] == ["the listing of back ends", "the nodes' own table"]
    rows.has_been_read = True
    tick(102.0 + NOT_READY_LOG_DELAY_S)
    assert lacks()[1][-1] == "the listing of back ends"
