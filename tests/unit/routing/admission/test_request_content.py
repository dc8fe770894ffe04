"""The content digest: equal for every repetition of a request, different for any other request."""

import msgspec

from tests.unit.serving.fakes import FakeReply, make_request, make_route
from wallwell.deployment.routes import TenantAccess
from wallwell.routing.admission.request_content import content_digest
from wallwell.routing.retry.attempt_outcome import AttemptLog
from wallwell.serving.active_request import ActiveRequest

BASE = {"host": "h", "target": "/p?q=1", "caller": "t", "body": b"body"}


def test_digest_depends_on_each_part_and_on_the_boundaries_between_parts():
    changed = [{**BASE, name: value} for name, value in (("host", "h2"), ("target", "/p"), ("caller", "u"))]
    changed += [
        {**BASE, "body": b"bod"},
        {**BASE, "caller": "tb", "body": b"ody"},
        {**BASE, "host": "", "target": "h/p"},
    ]
    digests = {content_digest(**each) for each in (BASE, *changed)}
    assert len(digests) == 1 + len(changed)


def test_digest_is_equal_for_a_repeated_request_with_another_id_and_deadline():
    def digest_of(**changes):
        request = msgspec.structs.replace(make_request(body=b"body"), **changes)
        tenant = TenantAccess("t", ("key", "key2"))
        return ActiveRequest(
            request, FakeReply(), make_route(), tenant, "svc", 0.0, AttemptLog(True)
        ).content_digest

    repeated = {
        "request_id": "r-2",
        "caller_timeout_s": 1.0,
        "credential": "key2",
        "headers": (("Last-Event-Id", "3"),),
    }
    assert digest_of() == digest_of(**repeated) != digest_of(body=b"other")


def test_bytes_of_a_caller_that_are_not_utf_8_have_a_digest():
    """They were encoded strictly, which raised an error."""
    assert content_digest("h", "/a\udcff", "k", b"") != content_digest("h", "/a\udcfe", "k", b"")
