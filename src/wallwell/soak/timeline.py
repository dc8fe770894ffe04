"""A run's records by request and by time, as the invariants need them. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wallwell.soak.history import (
    Answered,
    AnyRecord,
    Began,
    Ended,
    FaultBegan,
    FaultEnded,
    KeysInForce,
    Left,
    NodeExited,
    Sent,
    SentBroken,
    SentWhole,
    StopRequested,
    WorkerState,
)
from wallwell.soak.schedule import ALL_NODES, BETWEEN_REGIONS, PLANNED_WORK, STORE

CONTACT_S = 2.0
"""Seconds after a fault until the nodes count as connected again."""
PLANNED_STOP = "stop_node"
"""Name of the fault that stops a node as planned."""
RESTORE = "store_restored"
"""Name of the fault after which the store comes back from a copy."""
SILENCE = "silence_worker"
"""Name of the fault in which a sound worker sends nothing for a while."""
GONE_STATE = "gone"
"""State of a worker whose entry went, see :class:`WorkerState`."""
FAULTS_OF_WORKERS = frozenset(
    (
        "crash_worker",
        "drain_worker",
        "shed_worker",
        "limit_worker",
        "restart_worker",
        SILENCE,
        "spoil_entry",
    )
)
"""Faults that leave nodes, links and the store alone."""
STARTS = frozenset(("kill_node", "kill_all_nodes", "stop_node", "reload_node"))
"""Faults of nodes that the node's own end and start tell of."""
KILLING_FAULTS = frozenset(("crash_worker", "restart_worker"))
"""Faults in which a worker is killed."""
_PLANNED = frozenset(kind.value for kind in PLANNED_WORK)


class History:
    """Records by request and by type, for the invariants."""

    def __init__(self, records: Iterable[AnyRecord]) -> None:
        self.records: Sequence[AnyRecord] = sorted(records, key=lambda record: record.at_s)
        self.sent = {each.request: each for each in self.records if isinstance(each, Sent)}
        self.answers = {each.request: each for each in self.records if isinstance(each, Answered)}
        self.left = {each.request: each for each in self.records if isinstance(each, Left)}
        self.answered_brokenly = {each.request for each in self.records if isinstance(each, SentBroken)}
        """Requests to which a worker sent what is no answer."""
        self.sent_broken = {(each.request, each.worker) for each in self.records if isinstance(each, SentBroken)}
        """The same with the worker that did."""
        self.began: dict[str, list[Began]] = {}
        for record in self.records:
            if isinstance(record, Began):
                self.began.setdefault(record.request, []).append(record)
        self.begins = [each for each in self.records if isinstance(each, Began)]
        self._ended_s = {(e.request, e.worker): e.at_s for e in self.records if isinstance(e, Ended)}
        self._whole_s = {each.request: each.at_s for each in self.records if isinstance(each, SentWhole)}
        self._disturbed = _disturbances(self.records)

    def ended_s(self, began: Began) -> float | None:
        """Return when a worker stopped working on what it began, None if it recorded no end."""
        return self._ended_s.get((began.request, began.worker))

    def is_killed(self, began: Began, until_s: float) -> bool:
        """Whether a run's worker was killed since it began: the end of an answer that it has sent may be lost, or
        not be known as one."""
        is_killed = any(
            fault.fault in KILLING_FAULTS
            and fault.target == worker_name(began.worker)
            and began.at_s <= fault.at_s <= until_s
            for fault, _ in self.faults_of_workers()
        )
        return is_killed or self._is_crashed_by_a_request(began.worker, until_s)

    def _is_crashed_by_a_request(self, worker: str, until_s: float) -> bool:
        """Whether a request that crashes workers has begun at a worker, which has recorded no end of it."""
        return any(
            each.worker == worker
            and each.at_s <= until_s
            and self.ended_s(each) is None
            and (sent := self.sent.get(each.request)) is not None
            and bool(sent.content or sent.bad_part)
            for each in self.begins
        )

    def is_fault_free(self, from_s: float, until_s: float, besides: FaultBegan | None = None) -> bool:
        """Whether no fault but ``besides`` disturbed nodes, links or the store in a span and shortly before it."""
        return not any(
            began is not besides and began.at_s <= until_s and ended_s + CONTACT_S >= from_s
            for began, ended_s in self._disturbed
        )

    def is_start_undisturbed(self, node: str, from_s: float, until_s: float) -> bool:
        """Whether from its start on no fault struck a node, its links or the store, ends and starts of nodes aside:
        a node that is ended is known by its exit."""
        return not any(
            began.fault not in STARTS
            and began.at_s <= until_s
            and ended_s >= from_s
            and (began.target == STORE or _touches(began, node))
            for began, ended_s in self._disturbed
        )

    def quiet_spans(self, after_s: float) -> list[tuple[float, float]]:
        """Return the spans without a fault on nodes, links or the store, from a time after the last one ended."""
        spans = []
        from_s = -float("inf")
        for began, ended_s in sorted(self._disturbed, key=lambda each: each[0].at_s):
            if from_s < began.at_s:
                spans.append((from_s, began.at_s))
            from_s = max(from_s, ended_s + after_s)
        return [*spans, (from_s, self.end_s)] if from_s < self.end_s else spans

    def is_undisrupted(self, from_s: float, until_s: float) -> bool:
        """Like :meth:`is_fault_free`, where planned work on nodes is no fault."""
        return not any(
            began.fault not in _PLANNED and began.at_s <= until_s and ended_s + CONTACT_S >= from_s
            for began, ended_s in self._disturbed
        )

    def whole_s(self, sent: Sent) -> float | None:
        """Return when the last byte of a request was sent, None if it never was."""
        return self._whole_s.get(sent.request) if sent.in_chunks else sent.at_s

    def undisturbed_answer(self, sent: Sent) -> Answered | None:
        """Return the answer to a request; None if there is none, or if a fault was near."""
        answer = self.answers.get(sent.request)
        return answer if answer is not None and self.is_fault_free(sent.at_s, answer.at_s) else None

    def life_ends_s(self, node: str, from_s: float) -> float:
        """Return until when a node's process ran on from a time: until it ended or stood still, or a link of it was
        harmed."""
        exits = (
            each.at_s
            for each in self.records
            if isinstance(each, NodeExited) and each.node == node and each.at_s >= from_s
        )
        harms = (
            max(from_s, began.at_s)
            for began, ended_s in self._disturbed
            if ended_s >= from_s and _touches(began, node)
        )
        return min((*exits, *harms), default=float("inf"))

    def life_begins_s(self, node: str, at_s: float) -> float:
        """Return when a node's process before the one at a time had ended; for its first one the first record."""
        exits = (
            each.at_s
            for each in self.records
            if isinstance(each, NodeExited) and each.node == node and each.at_s < at_s
        )
        return max(exits, default=self.records[0].at_s)

    def restores(self) -> list[FaultBegan]:
        """Return the outages of the store that end with its return from a copy."""
        return [began for began, _ in self.restores_with_ends()]

    def restores_with_ends(self) -> list[tuple[FaultBegan, float]]:
        """Return these outages, each with the time of the store's return."""
        return [
            (each, _end_s(self.records[index:], each))
            for index, each in enumerate(self.records)
            if isinstance(each, FaultBegan) and each.fault == RESTORE
        ]

    def faults_of_workers(self) -> list[tuple[FaultBegan, float]]:
        """Return each fault that strikes one worker, with its end."""
        return [
            (each, _end_s(self.records[index:], each))
            for index, each in enumerate(self.records)
            if isinstance(each, FaultBegan) and each.fault in FAULTS_OF_WORKERS
        ]

    def silences(self) -> list[tuple[FaultBegan, float]]:
        """Return each silence of a sound worker with its end."""
        return [(began, ended_s) for began, ended_s in self.faults_of_workers() if began.fault == SILENCE]

    def planned_stops(self) -> list[tuple[FaultBegan, float]]:
        """Return each planned stop of a node with the time at which the node had ended."""
        found = []
        for stop in self.records:
            if not isinstance(stop, FaultBegan) or stop.fault != PLANNED_STOP:
                continue
            exits = (
                each.at_s
                for each in self.records
                if isinstance(each, NodeExited) and each.node == stop.target and each.at_s > stop.at_s
            )
            found.append((stop, next(exits, float("inf"))))
        return found

    def requested_stops(self) -> list[tuple[StopRequested, float]]:
        """Return each SIGTERM of a node with the time at which its process had ended."""
        exits = [each for each in self.records if isinstance(each, NodeExited)]
        return [
            (
                stop,
                next((e.at_s for e in exits if e.node == stop.node and e.at_s >= stop.at_s), float("inf")),
            )
            for stop in self.records
            if isinstance(stop, StopRequested)
        ]

    def gone_s(self) -> dict[str, float]:
        """Return when workers left for good; one whose entry lapsed in a silence is listed again."""
        gone_s: dict[str, float] = {}
        for record in self.records:
            if isinstance(record, WorkerState):
                gone_s.pop(record.worker, None)
                if record.state == GONE_STATE:
                    gone_s[record.worker] = record.at_s
        return gone_s

    def keys_given_s(self) -> dict[str, float]:
        """Return when each key came into force; 0 for those of the first configuration."""
        given: dict[str, float] = {}
        for record in self.records:
            if isinstance(record, KeysInForce):
                for key in record.keys:
                    given.setdefault(key, record.at_s if record.version > 1 else 0.0)
        return given

    def keys_taken_s(self) -> dict[str, float]:
        """Return when each key that a later configuration left out was taken away."""
        taken: dict[str, float] = {}
        known: set[str] = set()
        for record in self.records:
            if isinstance(record, KeysInForce):
                taken.update(dict.fromkeys(known - set(record.keys), record.at_s))
                known = set(record.keys)
        return taken

    @property
    def end_s(self) -> float:
        """Time of the last record, 0 without any."""
        return self.records[-1].at_s if self.records else 0.0


def _touches(fault: FaultBegan, node: str) -> bool:
    """Whether a fault strikes a node or links that it uses; the store's own faults strike neither."""
    source, arrow, _ = fault.target.partition(">")
    if arrow:
        return source in (node, ALL_NODES)
    return fault.target in (node, ALL_NODES, BETWEEN_REGIONS)


def _disturbances(records: Sequence[AnyRecord]) -> list[tuple[FaultBegan, float]]:
    """Return each fault on nodes, links or the store with its end; one that never ended lasts."""
    found = []
    for index, record in enumerate(records):
        if not isinstance(record, FaultBegan) or record.fault in FAULTS_OF_WORKERS:
            continue
        found.append((record, _end_s(records[index:], record)))
    return found


def _end_s(later: Sequence[AnyRecord], fault: FaultBegan) -> float:
    """Return when a fault ended by the records since its begin; one that never did lasts."""
    ends = (
        each.at_s
        for each in later
        if isinstance(each, FaultEnded) and (each.fault, each.target) == (fault.fault, fault.target)
    )
    return next(ends, float("inf"))


def worker_name(incarnation: str) -> str:
    """Return a worker's name without the number of its incarnation."""
    return incarnation.rpartition(".")[0]
