"""Metrics of both routers, the alerts on these metrics, and the command line."""

import re
from pathlib import Path

from tests import wire_subjects

DEPLOY = Path(__file__).parents[3] / "deploy"
PLATFORM_METRICS = {
    "wallwell_requests_total": "counter kind,outcome",
    "wallwell_refusals_total": "counter code",
    "wallwell_answers_cut_total": "counter code",
    "wallwell_requests_cut_by_stop_total": "counter kind",
    "wallwell_hedges_total": "counter result",
    "wallwell_attempts_total": "counter result",
    "wallwell_streams_resumed_total": "counter by",
    "wallwell_stream_lookups_total": "counter result",
    "wallwell_first_piece_seconds": "histogram kind 0.02,0.05,0.1,0.2,0.4,0.8,1.5,3.0,6.0,15.0,+Inf",
    "wallwell_answer_seconds": "histogram kind 0.02,0.05,0.1,0.2,0.4,0.8,1.5,3.0,6.0,15.0,+Inf",
    "wallwell_largest_gap_seconds": "histogram kind 0.02,0.05,0.1,0.2,0.4,0.8,1.5,3.0,6.0,15.0,+Inf",
    "wallwell_store_age_seconds": "gauge",
    "wallwell_config_version": "gauge",
    "wallwell_ready": "gauge",
    "wallwell_nodes": "gauge",
    "wallwell_backends": "gauge",
    "wallwell_backends_open": "gauge",
    "wallwell_in_flight": "gauge",
    "wallwell_crash_suspects": "gauge",
    "wallwell_quarantined": "gauge",
    "wallwell_crash_suspect_parts": "gauge",
    "wallwell_quarantined_parts": "gauge",
    "wallwell_answers_discarded_total": "counter reason",
    "wallwell_connections_shed_total": "counter",
    "wallwell_limit_left": "gauge tenant",
    "wallwell_limit_asked_per_second": "gauge tenant",
    "wallwell_limit_refusals_total": "counter tenant",
    "wallwell_region_exchanges_total": "counter cause",
    "wallwell_region_bytes_total": "counter cause",
    "wallwell_rollout_phase": "gauge service,phase",
    "wallwell_rollout_share": "gauge service",
    "wallwell_rollout_requests_total": "counter service,side",
    "wallwell_rollout_failures_total": "counter service,side",
    "wallwell_retry_budget_left": "gauge service",
}
"""By exposed name: type, labels, and bucket bounds."""
OWN_METRICS = {
    "wallwell_requests_total": "counter kind,priority,outcome",
    "wallwell_first_token_seconds": "histogram priority 0.02,0.05,0.1,0.2,0.4,0.8,1.5,3.0,6.0,12.0,30.0,+Inf",
    "wallwell_between_tokens_seconds": "histogram priority 0.005,0.01,0.02,0.03,0.044,0.06,0.1,0.2,0.5,2.0,+Inf",
    "wallwell_prompt_tokens_total": "counter",
    "wallwell_cached_prompt_tokens_total": "counter",
    "wallwell_retries_total": "counter kind",
    "wallwell_stream_resumes_total": "counter",
    "wallwell_config_revision": "gauge",
    "wallwell_in_flight": "gauge",
}
ALERTED = [
    "wallwell_backends",
    "wallwell_backends_open",
    "wallwell_ready",
    "wallwell_requests_total",
    "wallwell_retry_budget_left",
    "wallwell_store_age_seconds",
]
COMMANDS = {
    "router": [
        "--callers-port type=int",
        "--cluster-port type=int",
        "--log-level",
        "--node",
        "--operators-port type=int",
        "--region",
        "--settings required type=Path",
        "--zone",
    ],
    "check": ["<path> required type=Path"],
    "apply": [
        "--base type=int",
        "--operator default=maria",
        "--router default=http://127.0.0.1:8081",
        "--timeout type=float default=10.0",
        "--token default=secret",
        "--wait nargs=0 default=False",
        "<path> required type=Path",
    ],
    "remove": [
        "--operator default=maria",
        "--router default=http://127.0.0.1:8081",
        "--token default=secret",
        "<key> required",
    ],
    "get": [
        "--operator default=maria",
        "--router default=http://127.0.0.1:8081",
        "--token default=secret",
        "<key> nargs=?",
    ],
    "status": ["--operator default=maria", "--router default=http://127.0.0.1:8081", "--token default=secret"],
    "emulate": ["--settings required type=Path", "<kind> required choices=engine,service,platform"],
    "demo": [
        "--deployment choices=huts,pharmacy default=pharmacy",
        "--examples type=Path default=examples",
        "--requests type=int default=300",
        "--verbose nargs=0 default=False",
    ],
    "bench overhead": ["--examples type=Path default=examples", "--quick nargs=0 default=False"],
    "bench compare": ["<after> required type=Path", "<before> required type=Path"],
    "bench run": [
        "--all nargs=0 default=False",
        "--examples type=Path default=examples",
        "--output type=Path default=out/bench.json",
        "<experiment> required nargs=* type=Path",
    ],
    "catalogue": ["<page> required choices=errors,events"],
    "explain": ["<logs> required nargs=* type=Path", "<request_id> required"],
    "soak": [
        "--bad-parts type=int default=0",
        "--broken-answers nargs=0 default=False",
        "--calm type=float default=0.0",
        "--checkout type=Path default=.",
        "--crashing type=int default=0",
        "--engines type=int default=4",
        "--group-silences nargs=0 default=False",
        "--instances type=int default=2",
        "--keep type=Path",
        "--kept-connections nargs=0 default=False",
        "--nodes type=int default=3",
        "--odd-entries nargs=0 default=False",
        "--print-schedule nargs=0 default=False",
        "--rate type=float default=40.0",
        "--regions type=int default=1",
        "--regressions type=Path",
        "--rollout default=",
        "--second-answers nargs=0 default=False",
        "--seconds type=float default=20.0",
        "--seed type=int default=1",
        "--skew nargs=0 default=False",
        "--versions type=int default=1",
    ],
}
"""By command: each argument, with its settings that differ from argparse's defaults. The fault runs of
``wallwell bench`` are not pinned, since ``wallwell soak`` replaces them."""


def _pinned(literals, current):
    """Return the current values of the pinned keys. Keys may be added, but none may change or be removed."""
    return {key: current[key] for key in literals if key in current}


def test_metrics_of_a_router_on_the_platform_are_as_before():
    assert _pinned(PLATFORM_METRICS, wire_subjects.metrics_of_platform_router()) == PLATFORM_METRICS


def test_metrics_of_a_router_without_the_platform_are_as_before():
    assert _pinned(OWN_METRICS, wire_subjects.metrics_of_own_router()) == OWN_METRICS


def test_alerts_are_on_metrics_that_exist():
    named = set(re.findall(r"wallwell_\w+", (DEPLOY / "alerts.yaml").read_text()))
    assert sorted(named) == ALERTED
    assert named <= set(wire_subjects.metrics_of_platform_router())


def test_the_command_line_is_as_before(monkeypatch):
    monkeypatch.setenv("LOGNAME", "maria")
    monkeypatch.setenv("WALLWELL_OPERATOR_TOKEN", "secret")
    assert _pinned(COMMANDS, wire_subjects.command_line()) == COMMANDS
