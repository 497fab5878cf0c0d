"""Metrics of a gateway in the Prometheus text format.

docs/METRICS.md lists every name; a test checks that both agree.
"""

import prometheus_client
from prometheus_client import registry

# Latency targets of routes lie between 0.3 and 2 s.
LATENCY_BUCKETS_S = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
    16.0,
)


class GatewayMetrics:
    """Holds the counters, gauges and histograms of a gateway."""

    def __init__(self) -> None:
        """Creates all metrics in a registry of their own."""
        self.registry = registry.CollectorRegistry(auto_describe=False)
        self.requests = self._counter(
            "almondstair_requests",
            "requests by route and outcome",
            ("route", "outcome"),
        )
        self.latency_s = self._histogram(
            "almondstair_request_seconds",
            "time from a request's head to its answer, in seconds",
            ("outcome",),
        )
        self.response_wait_s = self._histogram(
            "almondstair_answer_wait_seconds",
            "time that ready answers waited for those before them, in seconds",
            ("delivered",),
        )
        self.attempt_s = self._histogram(
            "almondstair_upstream_seconds",
            "time of a try at an upstream, in seconds",
            ("service",),
        )
        self.attempts = self._counter(
            "almondstair_tries",
            "tries at upstreams by service and verdict",
            ("service", "verdict"),
        )
        self.retries = self._counter(
            "almondstair_retries",
            "retries by service, and whether the budget allowed them",
            ("service", "allowed"),
        )
        self.connections = self._gauge(
            "almondstair_upstream_connections_opened",
            "connections opened to upstreams",
        )
        self.store_calls = self._gauge(
            "almondstair_store_calls", "calls to the store by kind", ("kind",)
        )
        self.store_age_s = self._gauge(
            "almondstair_store_age_seconds",
            "time since the store last answered, in seconds",
        )
        self.store_epoch = self._gauge(
            "almondstair_store_epoch",
            "epoch of the store that this entry's view reflects",
        )
        self.lapsed_registrations = self._gauge(
            "almondstair_lapsed_registrations",
            "registrations that the store lacks and this entry still keeps",
        )
        self.skipped_keys = self._gauge(
            "almondstair_skipped_keys",
            "keys of the store whose last value is not applied, by cause",
            ("cause",),
        )
        self.configuration_version = self._gauge(
            "almondstair_configuration_version",
            "version of the configuration in force",
        )
        self.entries = self._gauge(
            "almondstair_entries", "entries that are registered"
        )
        self.upstreams = self._gauge(
            "almondstair_upstreams",
            "upstreams that may get work, by service",
            ("service",),
        )
        self.limited_upstreams = self._gauge(
            "almondstair_limited_upstreams",
            "upstreams that state a limit on requests, by service",
            ("service",),
        )
        self.limit_refusals = self._counter(
            "almondstair_limit_refusals",
            "requests kept from an upstream by the limit that it states",
            ("service",),
        )
        self.leaving_upstreams = self._gauge(
            "almondstair_leaving_upstreams",
            "upstreams that are leaving, by service and what told so first",
            ("service", "source"),
        )
        self.resting_upstreams = self._gauge(
            "almondstair_resting_upstreams",
            "upstreams that asked this entry for a rest that lasts, by service",
            ("service",),
        )
        self.rest_s = self._gauge(
            "almondstair_rest_seconds",
            "rest that upstreams asked this entry for, in seconds",
            ("service",),
        )
        self.partitioned = self._gauge(
            "almondstair_partitioned",
            "1 while this entry reaches no upstream, else 0",
        )
        self.cut_off_entries = self._gauge(
            "almondstair_entries_without_upstreams",
            "entries that report that they reach no upstream",
        )
        self.unreachable_upstreams = self._gauge(
            "almondstair_unreachable_upstreams",
            "upstreams to which this entry opens no connection, by service",
            ("service",),
        )
        self.relayed = self._counter(
            "almondstair_relayed_requests",
            "requests sent through another entry, or received from one",
            ("direction", "outcome"),
        )
        self.slot_use = self._gauge(
            "almondstair_slots_used_ratio",
            "part of a service's slots in use",
            ("service",),
        )
        self.requests_in_flight = self._gauge(
            "almondstair_requests_running", "requests under way"
        )
        self.quota_refusals = self._gauge(
            "almondstair_quota_refusals",
            "requests refused for their organisation's quota",
            ("organisation",),
        )
        self.quota_totals_age_s = self._gauge(
            "almondstair_quota_totals_age_seconds",
            "age of the totals by which quotas are held, in seconds",
        )
        self.overload_waiting = self._gauge(
            "almondstair_overload_waiting",
            "requests that wait for a slot at this entry",
            ("service", "priority"),
        )
        self.overload_waited = self._gauge(
            "almondstair_overload_waited",
            "requests that have waited for a slot at this entry",
            ("service", "priority"),
        )
        self.overload_refused = self._gauge(
            "almondstair_overload_refused",
            "requests refused for lack of capacity, by reason",
            ("service", "priority", "reason"),
        )
        self.overload_returned = self._gauge(
            "almondstair_overload_returned",
            "requests whose callers had been refused before",
            ("service", "priority"),
        )
        self.overload_return_times = self._gauge(
            "almondstair_overload_return_times",
            "refusals with a decided return time, by what it rests on",
            ("service", "priority", "basis"),
        )
        self.overload_slow_upstreams = self._gauge(
            "almondstair_overload_slow_upstreams",
            "upstreams that stated to this entry lately that they are slow",
            ("service",),
        )
        self.overload_speed_answers = self._gauge(
            "almondstair_overload_speed_answers",
            "answers that stated the speed of their upstream",
            ("service", "speed"),
        )
        self.overload_left_region = self._gauge(
            "almondstair_overload_left_region",
            "part of the objects that has left a region to confined requests",
            ("service", "region"),
        )
        self.overload_shares_in_force = self._gauge(
            "almondstair_overload_shares_in_force",
            "1 while organisations are held to shares of a service, else 0",
            ("service",),
        )
        self.overload_share_refusals = self._gauge(
            "almondstair_overload_share_refusals",
            "requests refused as their organisation has its share of a service",
            ("service", "organisation"),
        )
        self.overload_share_totals_age_s = self._gauge(
            "almondstair_overload_share_totals_age_seconds",
            "age of the demands over all entries, in seconds",
            ("service",),
        )
        self.overload_held_bytes = self._gauge(
            "almondstair_overload_held_bytes",
            "bytes that this entry holds for its callers, by kind",
            ("kind",),
        )
        self.overload_held_most_bytes = self._gauge(
            "almondstair_overload_held_most_bytes",
            "most bytes that this entry has held since its start",
        )
        self.overload_held_budget_bytes = self._gauge(
            "almondstair_overload_held_budget_bytes",
            "bytes that this entry may hold; 0 without a bound",
        )
        self.overload_memory_step = self._gauge(
            "almondstair_overload_memory_step",
            "step against held bytes: 0 none, 1 streams, 2 refuses, 3 closes",
        )
        self.overload_closed_connections = self._gauge(
            "almondstair_overload_closed_connections",
            "connections closed since their callers neither read nor sent",
        )
        self.dropped_log_lines = self._gauge(
            "almondstair_log_lines_left_out",
            "log lines left out by event",
            ("event",),
        )

    def _counter(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, registry=self.registry
        )

    def _gauge(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            name, text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            text,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
