"""Error codes, log events with their fields, and the format of log lines."""

import pytest

from tests import wire_subjects

ASKED = b"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nConnection: close\r\n\r\n"
ERRORS = {
    "WW0000": ("WallwellError", 500, ""),
    "WW1001": ("SettingsError", 500, ""),
    "WW1002": ("AddressInUseError", 500, ""),
    "WW1003": ("DocumentSyntaxError", 500, ""),
    "WW1004": ("ExtraMissingError", 500, ""),
    "WW2001": ("ConfigInvalidError", 422, ""),
    "WW2002": ("ConfigConflictError", 409, ""),
    "WW2003": ("ConfigUnavailableError", 503, ""),
    "WW2004": ("ConfigNotFoundError", 404, ""),
    "WW3000": ("RequestError", 400, "not_run"),
    "WW3001": ("MalformedRequestError", 400, "not_run"),
    "WW3002": ("UnauthenticatedError", 401, "not_run"),
    "WW3003": ("ForbiddenError", 403, "not_run"),
    "WW3004": ("UnknownResourceError", 404, "not_run"),
    "WW3005": ("BodyTooLargeError", 413, "not_run"),
    "WW3006": ("RateLimitedError", 429, "not_run"),
    "WW3007": ("DeadlineUnreachableError", 503, "not_run"),
    "WW3008": ("NoBackendError", 503, "not_run"),
    "WW3009": ("NotReadyError", 503, "not_run"),
    "WW3010": ("BackendFailedError", 502, "failed"),
    "WW3011": ("OutcomeUnknownError", 504, "unknown"),
    "WW3012": ("StreamBrokenError", 502, "failed"),
    "WW3013": ("KeyReusedError", 422, "not_run"),
    "WW3014": ("ClaimUnavailableError", 503, "not_run"),
    "WW3015": ("RetriesExhaustedError", 503, "not_run"),
    "WW3016": ("StaleConfigurationError", 503, "not_run"),
    "WW3017": ("DeadlineExceededError", 504, "unknown"),
    "WW3018": ("StreamOrderError", 500, ""),
    "WW3019": ("OverloadedError", 503, "not_run"),
    "WW3020": ("RequestQuarantinedError", 503, "not_run"),
    "WW3099": ("InternalRequestError", 500, "unknown"),
    "WW4000": ("PlatformError", 503, ""),
    "WW4001": ("PlatformUnavailableError", 503, ""),
    "WW4002": ("TableConflictError", 409, ""),
    "WW4003": ("HistoryLostError", 503, ""),
    "WW4004": ("CacheStoreSilentError", 500, ""),
    "WW4005": ("CacheEventsRefusedError", 500, ""),
    "WW5001": ("ClusterMessageError", 500, ""),
    "WW5002": ("PeerUnavailableError", 500, ""),
    "WW5003": ("LeaseLostError", 500, ""),
    "WW7001": ("BenchError", 500, ""),
    "WW7002": ("UnknownRequestError", 500, ""),
    "WW7003": ("SoakError", 500, ""),
}
"""By code: the title in answers and logs, the HTTP status, and the outcome that is sent to callers."""
EVENTS = {
    1001: "INFO",
    1002: "INFO",
    1003: "INFO",
    1004: "INFO",
    1006: "ERROR",
    1007: "INFO",
    1008: "WARNING",
    1009: "WARNING",
    1010: "WARNING",
    1014: "WARNING",
    2001: "INFO",
    2002: "INFO",
    2003: "WARNING",
    3001: "INFO",
    3002: "INFO",
    3003: "INFO",
    3004: "WARNING",
    3005: "WARNING",
    3006: "INFO",
    3007: "WARNING",
    3008: "WARNING",
    3009: "INFO",
    3010: "WARNING",
    4001: "WARNING",
    4002: "WARNING",
    4003: "WARNING",
    4004: "INFO",
    5001: "INFO",
    5002: "WARNING",
    5003: "WARNING",
    5004: "INFO",
    5005: "WARNING",
    5006: "INFO",
    5007: "WARNING",
    5008: "INFO",
    5009: "WARNING",
    5010: "WARNING",
    5011: "INFO",
    6001: "INFO",
    6002: "WARNING",
    6003: "WARNING",
    6004: "INFO",
    6005: "WARNING",
    6006: "INFO",
    6007: "INFO",
    6008: "WARNING",
    6010: "INFO",
    6013: "INFO",
    6014: "WARNING",
    7001: "INFO",
    7002: "WARNING",
    7003: "INFO",
    7004: "INFO",
    7005: "INFO",
    7006: "WARNING",
    7007: "INFO",
    7008: "INFO",
    7009: "INFO",
    7010: "WARNING",
    8001: "INFO",
}
"""By number: the level. The message text is for people and may be reworded."""
FIELDS = {
    1001: ["callers", "cluster", "node", "zone"],
    1002: ["after_ms", "node", "revision"],
    1003: ["in_flight", "node"],
    1004: ["node"],
    1006: ["error", "loop", "node", "reason", "request_id", "where"],
    1007: [],
    1009: ["grace_s"],
    1010: ["suspended_ms"],
    2001: ["node", "revision", "routes", "version"],
    2002: ["file", "operator", "revision"],
    2003: ["code", "error", "operator", "row"],
    3001: [
        "attempts",
        "backend",
        "backend_in_flight",
        "code",
        "first_ms",
        "max_gap_ms",
        "outcome",
        "prompt_tokens",
        "request_id",
        "route",
        "software",
        "tenant",
        "total_ms",
    ],
    3002: [
        "attempts",
        "backend",
        "content",
        "detail",
        "engine",
        "events",
        "reason",
        "request_id",
        "software",
        "tokens",
    ],
    3003: ["engine", "reason", "request_id", "tokens"],
    3004: ["code", "request_id"],
    3005: ["backend"],
    3006: ["request_id"],
    3007: ["claim_id"],
    3008: ["reason"],
    3009: ["after_ms", "code", "config", "outcome", "reason", "request_id", "store_age_ms"],
    3010: ["content", "last_crashed"],
    4001: ["detail"],
    4002: [],
    4003: ["reason", "rows"],
    4004: ["failures", "rows"],
    4005: ["reason", "rows"],
    5001: ["member", "node"],
    5002: ["member", "node"],
    5003: ["member", "node"],
    5004: ["member", "node"],
    5005: ["code", "sender"],
    5006: ["fence", "lease"],
    5007: ["lease"],
    5008: ["peer", "reason", "rows"],
    5009: ["host"],
    5010: ["region"],
    5011: ["region"],
    6001: ["engine", "incarnation"],
    6002: ["engine"],
    6003: ["engine", "reason"],
    6004: ["backend"],
    6005: ["engine"],
    6006: ["address", "backend", "draining", "service", "software", "versions"],
    6007: ["backend"],
    6008: ["backend", "failures", "reason"],
    6009: ["address", "reason"],
    6010: ["address"],
    6011: ["attempts", "backend", "silent_ms"],
    6012: ["zone"],
    6013: ["zone"],
    6014: ["backend", "runs"],
    7001: ["backend", "engine", "expected_orders", "fence", "model", "reply", "status", "version"],
    7002: ["engine", "fence", "model", "status", "version"],
    7003: ["estimated", "model", "version"],
    7004: ["backend", "model", "version"],
    7005: ["duration_s", "order", "service", "target"],
    7006: ["error", "row"],
    7007: ["order", "phase", "reason", "service", "target"],
    7008: ["inputs", "order", "phase", "reason", "service", "share", "target"],
    7009: ["service", "status"],
    7010: ["reason", "service"],
    8001: ["**"],
}
"""By number: the fields with which the event is logged anywhere; ``**`` stands for names built at run time."""


def _pinned(literals, current):
    """Return the current values of the pinned keys. Keys may be added, but none may change or be removed."""
    return {key: current[key] for key in literals if key in current}


def test_errors_are_as_before():
    assert _pinned(ERRORS, wire_subjects.error_table()) == ERRORS
    assert wire_subjects.outcomes() == ["completed", "not_run", "failed", "unknown"]


@pytest.mark.parametrize("code", ERRORS)
def test_titles_are_sent_and_logged_as_before(code):
    title, status, _ = ERRORS[code]
    assert wire_subjects.error_text(code) == f"{code} {title}: detail"
    body = f'{{"code":"{code}","error":"{title}","message":"detail"}}'
    assert wire_subjects.operators_error_answer(code) == (status, body)


@pytest.mark.parametrize("code", [code for code, (_, _, outcome) in ERRORS.items() if outcome])
def test_errors_reach_callers_as_before(code):
    title, status, outcome = ERRORS[code]
    answer = wire_subjects.pass_through(ASKED, b"", {}, (code, 0))["to caller"]
    assert answer[0].split()[1] == str(status)
    assert answer[-1] == f'{{"code":"{code}","error":"{title}","outcome":"{outcome}"}}'
    own = wire_subjects.own_error_answer(code, 0)
    assert (own["status"], own["headers"]["X-Outcome"]) == (status, outcome)
    assert own["body"].startswith(f'{{"code":"{code}","error":"{title}","message":"detail","outcome":"{outcome}",')


def test_events_are_as_before():
    levels = {number: level for number, (_, level, _) in wire_subjects.event_table().items()}
    assert _pinned(EVENTS, levels) == EVENTS


def test_fields_of_events_are_as_before():
    fields = _pinned(FIELDS, wire_subjects.event_fields())
    assert fields.keys() == FIELDS.keys()
    assert {number: sorted(set(FIELDS[number]) - set(fields[number])) for number in FIELDS} == {
        number: [] for number in FIELDS
    }


def test_generated_pages_list_the_same():
    assert set(ERRORS) <= set(wire_subjects.generated_rows("errors"))
    assert {str(number) for number in EVENTS} <= set(wire_subjects.generated_rows("events"))


def test_log_lines_have_the_same_form(tmp_path):
    assert wire_subjects.log_line(3001, {"request_id": "r1", "attempts": 2}) == {
        "time": "TIME in milliseconds",
        "level": "INFO",
        "message": "request ended",
        "event": 3001,
        "request_id": "r1",
        "attempts": 2,
    }
    assert (
        wire_subjects.lost_lines_notice(tmp_path / "log") == b'{"message":"log lines lost","event":1008,"lost":3}\n'
    )
