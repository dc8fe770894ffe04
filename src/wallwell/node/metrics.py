"""A node's counters and state in the Prometheus text format.

Owns no state: values are read from the node's state when metrics are requested. Imported only then, since the
Prometheus library costs memory. Names and labels of metrics are part of the operators' interface.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

from wallwell.build_info import build_commit, build_version
from wallwell.clock import boot_time_s
from wallwell.node.state import NodeState
from wallwell.serving.counters import LATENCY_BOUNDS_S, LatencyHistogram, RequestCounters

MAX_TENANT_SERIES = 20
"""Most tenants with their own time series: those with the most refused requests, so that labels stay bounded."""


class NodeCollector:
    """Prometheus collector that reads a node's counters and state."""

    def __init__(
        self, counters: RequestCounters, discarded_answers: Mapping[str, int], state: NodeState, is_ready: bool
    ) -> None:
        """``discarded_answers``: by reason; ``is_ready``: whether the node reports now that it is ready."""
        self._counters = counters
        self._discarded_answers = discarded_answers
        self._state = state
        self._is_ready = is_ready

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics of the node."""
        yield from self._collect_counters()
        yield from self._collect_state()

    def _collect_counters(self) -> Iterator[Metric]:
        counters = self._counters
        requests = CounterMetricFamily(
            "wallwell_requests", "Requests by kind and outcome.", labels=["kind", "outcome"]
        )
        for labels, count in counters.requests.items():
            requests.add_metric(labels, count)
        yield requests
        yield _counter("wallwell_refusals", "Own errors by code.", "code", counters.refusals)
        yield _counter(
            "wallwell_hedges",
            "Silences at back ends, by what became of a second attempt.",
            "result",
            counters.hedges,
        )
        yield _counter(
            "wallwell_answers_cut", "Answers cut after they had begun, by code.", "code", counters.cut_answers
        )
        yield _counter(
            "wallwell_requests_cut_by_stop", "Requests that a planned stop cut.", "kind", counters.cut_by_stop
        )
        yield _counter("wallwell_attempts", "Attempts by result.", "result", counters.attempts)
        yield _counter(
            "wallwell_attempts_by_peers", "Attempts made by peers.", "result", counters.attempts_by_peers
        )
        yield _counter(
            "wallwell_attempts_for_peers", "Attempts made for peers.", "result", counters.attempts_for_peers
        )
        yield _counter(
            "wallwell_streams_resumed", "Streams that went on, by who resumed.", "by", counters.resumed_streams
        )
        yield _counter("wallwell_stream_lookups", "Streams that callers resume.", "result", counters.stream_lookups)
        yield _counter(
            "wallwell_answers_discarded",
            "Received from back ends, and the answer to no request in flight.",
            "reason",
            self._discarded_answers,
        )
        yield _histogram("wallwell_first_piece_seconds", "Time to the first token.", counters.first_token_latency)
        yield _histogram("wallwell_answer_seconds", "Time to the whole answer.", counters.answer_latency)
        yield _histogram("wallwell_largest_gap_seconds", "Largest pause of a stream.", counters.largest_event_gap)

    def _collect_state(self) -> Iterator[Metric]:
        now_s = boot_time_s()
        yield from self._collect_freshness(now_s)
        yield _counter(
            "wallwell_row_errors",
            "Rows of the store that an unexpected error kept from being applied.",
            "table",
            self._state.row_errors,
        )
        yield from self._collect_backends(now_s)
        yield from self._collect_quarantine()
        yield from self._collect_limits(now_s)
        yield from self._collect_region_traffic()
        yield from self._collect_rollouts()
        yield self._retry_budget_metric(now_s)

    def _collect_freshness(self, now_s: float) -> Iterator[Metric]:
        state = self._state
        age_s = now_s - state.freshness.confirmed_at_s
        yield GaugeMetricFamily("wallwell_store_age_seconds", "Time since the store last answered.", value=age_s)
        yield GaugeMetricFamily(
            "wallwell_store_era", "Times the store has come back from a copy.", value=state.store_era.current
        )
        version = state.config.version if state.config is not None else 0
        yield GaugeMetricFamily("wallwell_config_version", "Configuration in force.", value=version)
        isolated = len(state.config.cache_groups.isolated) if state.config is not None else 0
        yield GaugeMetricFamily("wallwell_isolated_tenants", "Tenants that share no cache.", value=isolated)
        yield CounterMetricFamily(
            "wallwell_cache_group_changes",
            "Configurations that isolated or released tenants, after which shared cache is made anew.",
            value=state.cache_group_changes,
        )
        yield GaugeMetricFamily("wallwell_ready", "Whether the node is ready.", value=float(self._is_ready))
        build = GaugeMetricFamily("wallwell_build_info", "1 for the build it runs.", labels=["version", "commit"])
        build.add_metric([build_version(), build_commit()], 1)
        yield build
        yield GaugeMetricFamily("wallwell_nodes", "Nodes that share budgets.", value=state.node_count)
        yield CounterMetricFamily(
            "wallwell_connections_shed",
            "New connections closed unread, since this node is late and others are not.",
            value=self._counters.shed_connections,
        )

    def _collect_backends(self, now_s: float) -> Iterator[Metric]:
        backends = list(self._state.backends.all_backends())
        open_count = sum(each.is_open(now_s) for each in backends)
        yield GaugeMetricFamily("wallwell_backends", "Listed back ends.", value=len(backends))
        yield GaugeMetricFamily("wallwell_backends_open", "Back ends that get new requests.", value=open_count)
        leaving_count = sum(each.has_announced_leave for each in backends)
        yield GaugeMetricFamily("wallwell_backends_leaving", "Listed back ends that leave.", value=leaving_count)
        backing_off_count = sum(each.backoff.is_in_force(now_s) for each in backends)
        yield GaugeMetricFamily(
            "wallwell_backends_backing_off", "Back ends that asked for no requests now.", value=backing_off_count
        )
        limited_count = sum(each.is_limited for each in backends)
        yield GaugeMetricFamily(
            "wallwell_backends_limited", "Back ends that state how many requests they take.", value=limited_count
        )
        yield GaugeMetricFamily(
            "wallwell_services_unreachable",
            "Services none of whose back ends this node can connect to.",
            value=len(self._state.reachability.unreachable_services()),
        )
        yield CounterMetricFamily(
            "wallwell_limited_passed_over",
            "Choices of a back end that went elsewhere for the limit that it states.",
            value=self._state.load.stated_limits.requests_passed_over,
        )
        in_flight = sum(each.in_flight for each in backends)
        yield GaugeMetricFamily("wallwell_in_flight", "Attempts in flight.", value=in_flight)

    def _collect_quarantine(self) -> Iterator[Metric]:
        suspects, quarantined = self._state.quarantine.suspect_count, self._state.quarantine.quarantined_count
        yield GaugeMetricFamily("wallwell_crash_suspects", "Requests that back ends crashed under.", value=suspects)
        yield GaugeMetricFamily("wallwell_quarantined", "Requests that get no back end.", value=quarantined)
        parts = self._state.part_quarantine
        yield GaugeMetricFamily(
            "wallwell_crash_suspect_parts",
            "Parts of prompts that back ends crashed under.",
            value=parts.suspect_count,
        )
        yield GaugeMetricFamily(
            "wallwell_quarantined_parts",
            "Parts of prompts whose requests get no back end.",
            value=len(parts.quarantined()),
        )

    def _collect_region_traffic(self) -> Iterator[Metric]:
        traffic = self._state.region_traffic
        yield _counter(
            "wallwell_region_exchanges", "Messages to and from other regions.", "cause", traffic.exchanges
        )
        yield _counter(
            "wallwell_region_bytes", "Bytes exchanged with other regions, bodies only.", "cause", traffic.bytes
        )

    def _retry_budget_metric(self, now_s: float) -> Metric:
        budget = GaugeMetricFamily("wallwell_retry_budget_left", "Retries left by service.", labels=["service"])
        for service, left in self._state.remaining_retries(now_s).items():
            budget.add_metric([service], left)
        return budget

    def _collect_limits(self, now_s: float) -> Iterator[Metric]:
        left = GaugeMetricFamily("wallwell_limit_left", "What is left of a tenant's limit.", labels=["tenant"])
        asked = GaugeMetricFamily(
            "wallwell_limit_asked_per_second", "What all nodes are asked for.", labels=["tenant"]
        )
        refused = CounterMetricFamily(
            "wallwell_limit_refusals", "Requests refused by a tenant's limit.", labels=["tenant"]
        )
        for use in self._state.load.limits.most_refused_tenants(MAX_TENANT_SERIES, now_s):
            left.add_metric([use.tenant], use.level)
            asked.add_metric([use.tenant], use.demand_per_s)
            refused.add_metric([use.tenant], use.refused_requests)
        yield from (left, asked, refused)

    def _collect_rollouts(self) -> Iterator[Metric]:
        """Yield metrics of rollouts, labelled by configured service, by side (two) and by phase (four)."""
        rollouts = self._state.rollouts
        phases = GaugeMetricFamily(
            "wallwell_rollout_phase", "1 for the phase a service's last rollout is in.", labels=["service", "phase"]
        )
        share = GaugeMetricFamily(
            "wallwell_rollout_share", "Share of new requests for the target version.", labels=["service"]
        )
        requests = CounterMetricFamily(
            "wallwell_rollout_requests", "Attempts of this node by side.", labels=["service", "side"]
        )
        failed = CounterMetricFamily(
            "wallwell_rollout_failures", "Failed answers to this node by side.", labels=["service", "side"]
        )
        for service in rollouts.active:
            record = rollouts.effective_record(service)
            if record is not None:
                phases.add_metric([service, record.phase.value], 1)
                share.add_metric([service], record.share)
        for service, tally in rollouts.tally.by_service.items():
            requests.add_metric([service, "current"], tally.current_requests)
            requests.add_metric([service, "target"], tally.target_requests)
            failed.add_metric([service, "current"], tally.failures(is_target=False))
            failed.add_metric([service, "target"], tally.failures(is_target=True))
        yield from (phases, share, requests, failed)


def _counter(name: str, description: str, label: str, counts: Mapping[str, int]) -> CounterMetricFamily:
    family = CounterMetricFamily(name, description, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def _histogram(name: str, description: str, by_kind: Mapping[str, LatencyHistogram]) -> HistogramMetricFamily:
    family = HistogramMetricFamily(name, description, labels=["kind"])
    for kind, histogram in by_kind.items():
        cumulative, buckets = 0, []
        for bound, count in zip((*map(str, LATENCY_BOUNDS_S), "+Inf"), histogram.buckets, strict=True):
            cumulative += count
            buckets.append((bound, cumulative))
        family.add_metric([kind], buckets, histogram.total_s)
    return family


def metrics_text(
    counters: RequestCounters, discarded_answers: Mapping[str, int], state: NodeState, is_ready: bool
) -> bytes:
    """Return one node's metrics in the Prometheus text format; parameters as for :class:`NodeCollector`."""
    registry = CollectorRegistry()
    registry.register(NodeCollector(counters, discarded_answers, state, is_ready))
    return generate_latest(registry)
