"""Metrics for statsd, collected here and sent in one batch per second.

docs/METRICS.md lists every name; a test compares the two.
"""

from collections import defaultdict
import enum

from statsd import StatsClient

FLUSH_INTERVAL_S = 1.0
TIMINGS_PER_FLUSH = 200


class Metric(enum.StrEnum):
    """Lists the metric names below the prefix; `*` is replaced by a label."""

    LOOKUPS = "lookups"
    REQUESTS = "requests.*"
    REFUSALS = "refusals.*"
    LATENCY_MS = "latency_ms.*"
    RETRIES = "retries"
    FORWARDS = "forwards.*"
    CLAIMS = "claims.*"
    SLOTS_BUSY = "slots_busy"
    SLOTS_FREE = "slots_free.*"
    LINK_BYTES_PER_S = "link_bytes_per_s.*"
    PLATFORM_ERRORS = "platform_errors"
    PEER_BYTES = "peer_bytes.*"
    PEER_MESSAGES = "peer_messages.*"
    CONFIGURATION_VERSION = "configuration_version"
    LOOP_STALL_MS = "stood_still_ms"


class Metrics:
    """Collects counters, gauges and timings of one entry."""

    def __init__(self, *, statsd_address: str, prefix: str) -> None:
        """Creates the statsd client.

        Args:
          statsd_address: `ip:port` of a statsd listener; if empty, nothing
            is sent.
          prefix: first part of every name.
        """
        self._client: StatsClient | None = None
        if statsd_address:
            ip, _, port = statsd_address.rpartition(":")
            self._client = StatsClient(ip, int(port), prefix=prefix)
        self.counts: dict[str, int] = defaultdict(int)
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, metric: Metric, label: str = "", by: int = 1) -> None:
        """Adds to a counter."""
        self.counts[_name(metric, label)] += by

    def gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Sets a gauge."""
        self._gauges[_name(metric, label)] = value

    def timing(self, metric: Metric, label: str, value_ms: float) -> None:
        """Adds a timing in milliseconds.

        Timings above `TIMINGS_PER_FLUSH` per flush are dropped.
        """
        if self._client is None:
            return
        if len(self._timings) < TIMINGS_PER_FLUSH:
            self._timings.append((_name(metric, label), value_ms))

    def flush(self) -> None:
        """Sends the collected metrics."""
        if self._client is None:
            self.counts.clear()
            return
        with self._client.pipeline() as pipe:
            for name, value in self.counts.items():
                pipe.incr(name, value)
            for name, gauge_value in self._gauges.items():
                pipe.gauge(name, gauge_value)
            for name, value_ms in self._timings:
                pipe.timing(name, value_ms)
        self.counts.clear()
        self._timings.clear()


def _name(metric: Metric, label: str) -> str:
    return metric.value.replace("*", label)
