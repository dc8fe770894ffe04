"""Prometheus metrics of one node. Owns their names, labels and buckets; the request path counts."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_FIRST_TOKEN_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0)
"""Seconds, from a cached prompt on an idle engine to half the default deadline of a priority."""
_BETWEEN_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.044, 0.06, 0.1, 0.2, 0.5, 2.0)
"""Seconds between two tokens; 0.044 is the objective that 95 of 100 streams are to meet."""


class NodeMetrics:
    """Metrics in a registry of their own, so that several nodes can share a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "wallwell_requests",
            "Requests by kind, priority and outcome.",
            ["kind", "priority", "outcome"],
            registry=self.registry,
        )
        self.first_token_s = Histogram(
            "wallwell_first_token_seconds",
            "Time to first token.",
            ["priority"],
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.between_tokens_s = Histogram(
            "wallwell_between_tokens_seconds",
            "Mean time between tokens of a stream.",
            ["priority"],
            buckets=_BETWEEN_BUCKETS,
            registry=self.registry,
        )
        self.prompt_tokens = Counter("wallwell_prompt_tokens", "Prompt tokens.", registry=self.registry)
        self.cached_tokens = Counter(
            "wallwell_cached_prompt_tokens",
            "Prompt tokens taken from an engine's cache.",
            registry=self.registry,
        )
        self.retries = Counter("wallwell_retries", "Attempts after the first.", ["kind"], registry=self.registry)
        self.resumes = Counter("wallwell_stream_resumes", "Streams resumed.", registry=self.registry)
        self.config_revision = Gauge(
            "wallwell_config_revision", "Revision of the configuration in force.", registry=self.registry
        )
        self.in_flight = Gauge("wallwell_in_flight", "Open requests.", registry=self.registry)

    def render(self) -> bytes:
        """Return the text exposition."""
        return generate_latest(self.registry)
