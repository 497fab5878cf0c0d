"""Metrics of an entry that are sampled periodically."""

import asyncio
from collections.abc import Callable, Iterable
import time
from typing import NamedTuple

from almondstair.configuration_manager import ConfigurationManager
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.link_pacers import LinkPacers
from almondstair.metrics import Metric
from almondstair.metrics import Metrics
from almondstair.peers import PeerCounts
from almondstair.peers import Peers
from almondstair.slot_allocator import SlotAllocator

# Time between two samples; an older gauge says little about the load.
METRICS_INTERVAL_S = 1.0


class MetricSources(NamedTuple):
    """Holds the sources of the metrics and their destination.

    Attributes:
      metrics: receives the metrics.
      peers: source of the traffic with other entries.
      slot_allocator: source of the slots in use.
      pacers: source of the use of links.
      configuration: source of the version in force.
      loads: returns the latest loads of the entry's own services.
    """

    metrics: Metrics
    peers: Peers
    slot_allocator: SlotAllocator
    pacers: LinkPacers
    configuration: ConfigurationManager
    loads: Callable[[], Iterable[ServiceLoad]]


class MetricsSampler:
    """Samples and sends the metrics once per interval."""

    def __init__(self, *, sources: MetricSources) -> None:
        """Stores the sources; nothing is sent before `run`.

        Args:
          sources: sources and destination of the metrics.
        """
        self._sources = sources
        self._last_counts = sources.peers.counts

    async def run(self) -> None:
        """Samples and sends until it is cancelled."""
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            self._count_peer_traffic()
            self._sample_slots()
            self._sample_links()
            version = self._sources.configuration.version
            self._sources.metrics.gauge(Metric.CONFIGURATION_VERSION, version)
            self._sources.metrics.flush()

    def _count_peer_traffic(self) -> None:
        counts = self._sources.peers.counts
        added = _difference(counts, self._last_counts)
        self._last_counts = counts
        metrics = self._sources.metrics
        metrics.count(Metric.PEER_BYTES, "sent", by=added.sent_bytes)
        metrics.count(Metric.PEER_BYTES, "received", by=added.received_bytes)
        metrics.count(Metric.PEER_MESSAGES, "sent", by=added.sent_messages)
        metrics.count(
            Metric.PEER_MESSAGES, "received", by=added.received_messages
        )

    def _sample_slots(self) -> None:
        metrics = self._sources.metrics
        busy = 0
        for row in self._sources.slot_allocator.slots.status(
            now_s=time.monotonic()
        ):
            busy += row.in_flight
        metrics.gauge(Metric.SLOTS_BUSY, busy)
        for load in self._sources.loads():
            metrics.gauge(Metric.SLOTS_FREE, load.free_slots, load.service)

    def _sample_links(self) -> None:
        now_s = time.monotonic()
        for region in self._sources.pacers.regions():
            for pacer, direction in zip(
                self._sources.pacers.pacers(region=region),
                ("out", "in"),
                strict=True,
            ):
                used = pacer.share.status(now_s=now_s).used_bytes_per_s
                self._sources.metrics.gauge(
                    Metric.LINK_BYTES_PER_S, used, f"{region}.{direction}"
                )


def _difference(counts: PeerCounts, before: PeerCounts) -> PeerCounts:
    pairs = zip(counts, before, strict=True)
    return PeerCounts(*(later - earlier for later, earlier in pairs))
