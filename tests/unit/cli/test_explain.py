"""Tests of ``wallwell explain``: a request's history from the logs of several nodes."""

import json

import pytest

from wallwell.cli.explain import parse_line
from wallwell.cli.main import main


def log_line(at, node, event, message, **fields):
    return f"{at:>9} {node} " + json.dumps(
        {"time": "t", "level": "INFO", "message": message, "event": event, **fields}
    )


LOG_LINES = [
    "not a log line",
    log_line(1.0, "n1", 2001, "configuration advanced", version=3),
    log_line(9.0, "n1", 6008, "back end suspended", backend="i-1"),
    log_line(9.2, "n1", 5008, "peer is not followed for a while", peer="n3"),
    log_line(9.3, "n1", 7007, "node follows a rollout's phase", service="svc", target="v2", phase="canary"),
    log_line(9.5, "n2", 6008, "back end suspended", backend="i-9"),
    log_line(10.0, "n1", 3002, "attempt failed", request_id="r1", backend="i-1", reason="reset_after_send"),
    log_line(
        10.2, "n1", 3001, "request ended", request_id="r1", backend="i-2", software="v1", attempts=2, first_ms=200
    ),
    log_line(11.0, "n2", 3009, "refused", request_id="r2", code="WW3008", outcome="not_run", reason="no back end"),
    log_line(12.0, "n2", 3001, "request ended", request_id="r3", backend="i-2", first_ms=900, max_gap_ms=10),
    log_line(13.0, "n2", 3001, "request ended", request_id="r4", backend="i-2", first_ms=30, max_gap_ms=700),
    log_line(14.0, "n2", 3001, "request ended", request_id="r5", backend="i-2", first_ms=30, max_gap_ms=70),
    log_line(15.0, "n2", 3009, "refused", request_id="r6", code="WW3011", outcome="unknown", reason="reset"),
    log_line(16.0, "n2", 3006, "caller gone", request_id="r7"),
    log_line(17.0, "n2", 3010, "request gets no back end any more", content="c1", last_crashed="i-5"),
    log_line(18.0, "n3", 3003, "stream resumed", request_id="r9", first_request_id="r1", software="v2"),
    log_line(17.1, "n2", 3009, "refused", request_id="r8", code="WW3020", outcome="not_run", reason="content c1"),
]


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("r1", "answered after failed attempts: i-1 reset_after_send"),
        ("r2", "refused with WW3008 (it never ran): no back end"),
        ("r3", "slow start: 900 ms to the first token at i-2"),
        ("r4", "long pause: 700 ms between tokens from i-2"),
        ("r5", "answered at the first attempt"),
        ("r6", "refused with WW3011 (it may have run): reset"),
        ("r7", "the caller disconnected"),
        ("r8", "refused with WW3020 (it never ran): content c1"),
        ("r9", "the stream went on at None; its end is not logged"),
    ],
)
def test_prints_the_likely_cause(tmp_path, capsys, request_id, cause):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LOG_LINES[:6]))
    second.write_text("\n".join(LOG_LINES[6:]))
    assert main(["explain", request_id, str(first), str(second)]) == 0
    assert capsys.readouterr().out.splitlines()[-1] == f"likely cause: {cause}"


def test_context_has_only_recent_events_of_the_same_node(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOG_LINES))
    main(["explain", "r1", str(log)])
    shown = capsys.readouterr().out
    assert "backend=i-1" in shown
    assert "peer=n3" in shown
    assert "i-9" not in shown
    assert "version=3" not in shown


def test_output_has_the_software_version_and_the_rollout_phase(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOG_LINES))
    main(["explain", "r1", str(log)])
    shown = capsys.readouterr().out
    assert "software=v1" in shown
    assert "target=v2 phase=canary" in shown


def test_output_has_the_later_request_that_resumed_the_stream(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOG_LINES))
    main(["explain", "r1", str(log)])
    assert "resumed by r9" in capsys.readouterr().out


def test_unknown_request_is_an_error(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOG_LINES))
    assert main(["explain", "nobody", str(log)]) == 2
    assert "WW7002" in capsys.readouterr().err


@pytest.mark.parametrize("text", ["", "{", "x {bad}", '{"event": "no number"}'])
def test_lines_that_are_not_events_are_skipped(text):
    assert parse_line(text) is None


def test_output_of_a_quarantined_request_has_the_last_crash(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(LOG_LINES))
    main(["explain", "r8", str(log)])
    assert "last_crashed=i-5" in capsys.readouterr().out


def test_output_of_a_request_with_a_quarantined_part_has_the_crashes_under_it(tmp_path, capsys):
    """They may be minutes old, and another node's: the refusal names the part only."""
    refused = (
        'n1 {"event": 3009, "message": "refused", "request_id": "r7", "code": "WW3020", "reason": "on part ab12"}'
    )
    log = tmp_path / "all.log"
    log.write_text(
        "\n".join(
            [
                '10.0 n2 {"event": 3012, "message": "quarantined", "part": "ab12", "crashed": "i-1@5,i-2@6"}',
                '11.0 n2 {"event": 3012, "message": "quarantined", "part": "cd34", "crashed": "i-9@7"}',
                f"200.0 {refused}",
            ]
        )
    )
    main(["explain", "r7", str(log)])
    shown = capsys.readouterr().out
    assert "crashed=i-1@5,i-2@6" in shown and "cd34" not in shown


@pytest.mark.parametrize(("request_id", "shown"), [("r1", 1), ("r2", 1), ("r3", 0)])
def test_prints_the_discarded_answers_of_a_request(tmp_path, capsys, request_id, shown):
    """An answer of r1 that came twice, while r2 waited for its own."""
    fields = {"answer_id": "r1", "expected_id": "r2", "connection": 7, "status": 503}
    log = tmp_path / "a.log"
    log.write_text("\n".join([*LOG_LINES, log_line(10.1, "n1", 3008, "received bytes discarded", **fields)]))
    assert main(["explain", request_id, str(log)]) == 0
    assert capsys.readouterr().out.count("discarded") == 2 * shown
