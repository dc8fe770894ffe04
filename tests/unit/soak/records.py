"""Short builders of a recorded history."""

from wallwell.soak.history import (
    Answered,
    AttemptLogged,
    Began,
    ConfigurationRead,
    Ended,
    FaultBegan,
    FaultEnded,
    KeysInForce,
    NodeReady,
    NodeStarted,
    OddRowWritten,
    PartsUsed,
    RequestKind,
    Sent,
    WorkerState,
)
from wallwell.soak.timeline import History

USUAL_FEATURES = {
    "notices": True,
    "limits": True,
    "identities": True,
    "silences": True,
    "restores": True,
    "unframed": True,
    "isolation": True,
}
"""Fields of a shape that every run of the command has; kept runs may lack them."""


def sent(request="r", kind=RequestKind.UNSAFE, at_s=1.0, events=0, **more):
    values = {"route": "/book/", "key": "key-a", "node": "127.1.0.1:1", **more}
    return Sent(at_s, request, kind, events=events, **values)


def began(request="r", worker="w.1", at_s=1.1, **more):
    return Began(at_s, request, worker, **{"service": "orders", **more})


def answered(request="r", status=200, worker="w.1", at_s=1.2, **more):
    return Answered(at_s, request, status, **{"seal": f"seal-{worker}" if worker else "", **more})


def history(*records):
    return History(records)


def silence(from_s=10.2, until_s=11.4, worker="engine-0", kind="silence_worker"):
    """A fault of one worker, by default a silence."""
    return [FaultBegan(from_s, kind, worker), FaultEnded(until_s, kind, worker)]


def silenced_stream(events=(1, 2, 3), kind=RequestKind.RESUMABLE, **more):
    """A stream of three events is at an engine that falls silent for a second; its answer ends in the silence or,
    if it has all events, after it."""
    whole = len(events) == 3
    answer = answered(worker="engine-0.1", at_s=11.45 if whole else 11.0, events=events, whole=whole)
    return [
        sent(kind=kind, at_s=10.0, events=3, deadline_s=4.0, **more),
        began(worker="engine-0.1", at_s=10.1),
        *silence(),
        answer,
        Ended(11.42, "r", "engine-0.1", 200 if whole else 0),
    ]


def beside_odd_rows(*records, ready_s=2.0):
    """A router starts beside an odd row, and is ready a second later unless stated otherwise."""
    ready = [NodeReady(ready_s, "node-0")] if ready_s else []
    return [OddRowWritten(0.5, "servers", "odd-1", "state"), NodeStarted(1.0, "node-0"), *ready, *records]


def asked(statuses, from_s, node="node-0", key="key-a"):
    """Requests at a router, ten a second, with these statuses; successes are of a worker."""
    records = []
    for number, status in enumerate(statuses):
        at_s = from_s + 0.1 * number
        is_served = status == 200
        records.append(sent(f"r{number}", RequestKind.SAFE, at_s, node=node, key=key))
        records += [began(f"r{number}", at_s=at_s + 0.01)] if is_served else []
        records.append(answered(f"r{number}", status, "w.1" if is_served else "", at_s + 0.05))
    return records


def calls_at(workers, from_s=10.0, listed_s=5.0):
    """Two workers of calls are listed, and each of the next calls begins at one of these."""
    records = [WorkerState(listed_s, f"orders-{number}.1", "orders", "v1", "ready") for number in range(2)]
    for number, worker in enumerate(workers):
        at_s = from_s + 0.05 * number
        records.append(sent(f"c{number}", RequestKind.SAFE, at_s, node="node-0"))
        records.append(began(f"c{number}", worker, at_s + 0.01))
        records.append(answered(f"c{number}", worker=worker, at_s=at_s + 0.02))
    return records


def shared_parts(used_s, user="tenant-key-b", maker="tenant-key-a", logged=None, released_s=10.0, read_s=()):
    """A tenant is isolated from 5 s to 10 s; a request of one tenant uses parts that another one's request made."""
    log = [] if logged is None else [AttemptLogged(used_s + 0.1, "node-0", "r", "engine-0.1", logged)]
    log += [ConfigurationRead(at_s, "node-0", version) for version, at_s in enumerate(read_s, 1)]
    return [
        KeysInForce(0.5, 1, ("key-a", "key-b", "key-c")),
        KeysInForce(5.0, 2, ("key-a", "key-b", "key-c"), ("tenant-key-a",)),
        KeysInForce(released_s, 3, ("key-a", "key-b", "key-c")),
        *log,
        sent(kind=RequestKind.RESUMABLE, at_s=used_s - 0.1, events=3, key="key-b", deadline_s=1.0, node="node-0"),
        began(worker="engine-0.1", at_s=used_s - 0.05),
        PartsUsed(used_s, "r", "engine-0.1", user, "m:1", (maker,)),
        answered(worker="engine-0.1", at_s=used_s + 0.1, events=(1, 2, 3)),
        Ended(used_s + 0.1, "r", "engine-0.1", 200),
    ]
