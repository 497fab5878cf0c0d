"""Figures of an entry that are sent now and then, not as they arise."""

import asyncio
from collections.abc import Callable, Iterable
import time
from typing import NamedTuple

from almondstair.admitting import SlotKeeper
from almondstair.configuration_keeper import ConfigurationKeeper
from almondstair.core.heartbeat_words import ServiceLoad
from almondstair.metrics import Metric
from almondstair.metrics import Metrics
from almondstair.pacing import LinkPacers
from almondstair.peers import PeerCounts
from almondstair.peers import Peers

# Time between two sendings; a gauge that is older says little of the load.
METRICS_INTERVAL_S = 1.0


class GaugedParts(NamedTuple):
    """What the figures are of.

    Attributes:
      metrics: where they go.
      peers: traffic with other entries.
      keeper: slots in use.
      pacers: use of links.
      configuration: version in force.
      loads: returns the newest loads of the entry's own services.
    """

    metrics: Metrics
    peers: Peers
    keeper: SlotKeeper
    pacers: LinkPacers
    configuration: ConfigurationKeeper
    loads: Callable[[], Iterable[ServiceLoad]]


class Gauges:
    """Sends the figures in each interval."""

    def __init__(self, *, parts: GaugedParts) -> None:
        """Prepares.

        Args:
          parts: what the figures are of.
        """
        self._parts = parts
        self._counted = parts.peers.counts

    async def run(self) -> None:
        """Sends until it is cancelled."""
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            self._count_peers()
            self._gauge_slots()
            self._gauge_links()
            version = self._parts.configuration.version
            self._parts.metrics.gauge(Metric.CONFIGURATION_VERSION, version)
            self._parts.metrics.flush()

    def _count_peers(self) -> None:
        counts = self._parts.peers.counts
        new = _difference(counts, self._counted)
        self._counted = counts
        metrics = self._parts.metrics
        metrics.count(Metric.PEER_BYTES, "sent", by=new.sent_bytes)
        metrics.count(Metric.PEER_BYTES, "received", by=new.received_bytes)
        metrics.count(Metric.PEER_MESSAGES, "sent", by=new.sent_messages)
        metrics.count(
            Metric.PEER_MESSAGES, "received", by=new.received_messages
        )

    def _gauge_slots(self) -> None:
        metrics = self._parts.metrics
        busy = 0
        for row in self._parts.keeper.slots.status(now_s=time.monotonic()):
            busy += row.in_flight
        metrics.gauge(Metric.SLOTS_BUSY, busy)
        for load in self._parts.loads():
            metrics.gauge(Metric.SLOTS_FREE, load.free_slots, load.service)

    def _gauge_links(self) -> None:
        now_s = time.monotonic()
        for region in self._parts.pacers.regions():
            for pacer, way in zip(
                self._parts.pacers.pacers(region=region),
                ("out", "in"),
                strict=True,
            ):
                used = pacer.share.status(now_s=now_s).used_bytes_per_s
                self._parts.metrics.gauge(
                    Metric.LINK_BYTES_PER_S, used, f"{region}.{way}"
                )


def _difference(counts: PeerCounts, before: PeerCounts) -> PeerCounts:
    pairs = zip(counts, before, strict=True)
    return PeerCounts(*(now - then for now, then in pairs))
