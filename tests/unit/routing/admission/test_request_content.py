"""What a request holds: the same each time it is sent, and different for all else."""

import msgspec

from tests.unit.serving.fakes import FakeReply, make_request, make_route
from wallwell.deployment.routes import TenantAccess
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.serving.active_request import ActiveRequest

BASE = {"host": "h", "target": "/p?q=1", "caller": "t", "body": b"body"}


def test_each_part_counts_and_none_runs_into_the_next():
    changed = [{**BASE, name: value} for name, value in (("host", "h2"), ("target", "/p"), ("caller", "u"))]
    changed += [
        {**BASE, "body": b"bod"},
        {**BASE, "caller": "tb", "body": b"ody"},
        {**BASE, "host": "", "target": "h/p"},
    ]
    digests = {content_digest(**each) for each in (BASE, *changed)}
    assert len(digests) == 1 + len(changed)


def test_a_request_that_is_sent_again_under_another_id_and_deadline_holds_the_same():
    def content(**changes):
        request = msgspec.structs.replace(make_request(body=b"body"), **changes)
        tenant = TenantAccess("t", ("key", "key2"))
        return ActiveRequest(
            request, FakeReply(), make_route(), tenant, "svc", 0.0, AttemptLog(True)
        ).content_digest

    again = {
        "request_id": "r-2",
        "caller_timeout_s": 1.0,
        "credential": "key2",
        "headers": (("Last-Event-Id", "3"),),
    }
    assert content() == content(**again) != content(body=b"other")
