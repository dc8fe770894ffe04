"""Short builders of a recorded history."""

from wallwell.soak.history import Answered, Began, RequestKind, Sent
from wallwell.soak.timeline import History


def sent(request="r", kind=RequestKind.UNSAFE, at_s=1.0, events=0, **more):
    values = {"route": "/book/", "key": "key-a", "node": "127.1.0.1:1", **more}
    return Sent(at_s, request, kind, events=events, **values)


def began(request="r", worker="w.1", at_s=1.1, **more):
    return Began(at_s, request, worker, **{"service": "orders", **more})


def answered(request="r", status=200, worker="w.1", at_s=1.2, **more):
    return Answered(at_s, request, status, **{"seal": f"seal-{worker}" if worker else "", **more})


def history(*records):
    return History(records)
