"""A node's crash watch on a table, with probes whose answers are given."""

import asyncio

from tests.faulty_table import FaultyTable
from tests.unit.serving.fakes import make_state as fresh_state
from wallwell.clock import boot_time_s
from wallwell.node.crash_probe import FIRST_PROBE_DELAY_S, PROBE_INTERVAL_S, CrashProbe
from wallwell.node.crash_rows import CRASH_PREFIX
from wallwell.node.crash_watch import CrashWatch
from wallwell.routing.admission.quarantine import CRASHES_TO_QUARANTINE
from wallwell.storage.feed import FeedRow

STORE_S = 1.8e9
PROBED_S = FIRST_PROBE_DELAY_S + PROBE_INTERVAL_S + 0.1
REFUSED, ANSWERS = True, False


class FakeCheck:
    """Answers probes from a list; the last answer repeats."""

    def __init__(self, *answers, reaches_others=True, peers_refused=None):
        self.answers = list(answers)
        self.probes = 0
        self.reaches_others = reaches_others
        self.peers_refused = peers_refused

    async def accepts_connections(self, backend):
        return self.reaches_others

    async def refuses_connections(self, backend):
        self.probes += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def refuses_peers(self, backend):
        return self.peers_refused


class WatchedNode:
    """A node's crash watch on a table; rows of the table's feed are passed to it by hand."""

    def __init__(self, check=None, table=None, members=("n1",), route=None):
        self.state = fresh_state(route)
        self.table = table or FaultyTable()
        self.check = check or FakeCheck(REFUSED)
        self.store_s = STORE_S
        probe = CrashProbe(self.check, self.state.backends.all_backends, self.check.refuses_peers)
        self.watch = CrashWatch(self.state, probe, self.table, lambda: members, lambda: self.store_s)
        self.running = asyncio.create_task(self.watch.run())

    @property
    def rows(self):
        return {key[len(CRASH_PREFIX) :] for key in self.table.model.rows}

    def read_row(self, content_digest, incarnation, value=b"n2"):
        self.watch.on_row(FeedRow(f"{CRASH_PREFIX}{content_digest}/{incarnation}", value, 1), boot_time_s())

    def backend(self, number=0):
        return self.state.backends.get(f"i-{number}")

    def read_quarantine(self, content_digest="c"):
        for number in range(CRASHES_TO_QUARANTINE):
            self.read_row(content_digest, f"gone-{number}")


def no_change(node):
    pass
