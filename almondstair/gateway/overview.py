"""What an entry shows of itself: metrics, status, configurations."""

from collections.abc import Sized

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.following import Follower
from almondstair.gateway.measures import Measures
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform.kv import KvClient

# An age beyond this one means that there was no word at all.
NEVER_S = 1e9


class Overview:
    """Gathers what the operators' pages show."""

    def __init__(
        self,
        *,
        entry_name: str,
        fleet: Fleet,
        pool: UpstreamPool,
        client: KvClient,
        follower: Follower,
        measures: Measures,
        running: Sized,
    ) -> None:
        """Makes the overview of one entry.

        Args:
          entry_name: its name.
          fleet: what is known of the deployment.
          pool: connections to upstreams.
          client: the store, whose calls are counted.
          follower: keeps the picture, and the configurations before.
          measures: counters and histograms.
          running: requests under way.
        """
        self._entry_name = entry_name
        self._fleet = fleet
        self._pool = pool
        self._client = client
        self._follower = follower
        self._measures = measures
        self._running = running

    def metrics(self) -> bytes:
        """Returns the metrics, with the gauges as of now."""
        measures = self._measures
        now = now_s()
        table = self._fleet.table
        measures.connections.set(self._pool.opened)
        measures.store_age_s.set(now - self._follower.heard_at_s)
        measures.version.set(table.version if table else 0)
        measures.entries.set(len(self._fleet.entries))
        measures.running.set(len(self._running))
        for kind, count in self._client.calls.items():
            measures.store_calls.labels(kind).set(count)
        for service in self._fleet.services():
            takers = self._fleet.takers(service)
            measures.upstreams.labels(service).set(len(takers))
            use = self._fleet.use(service, now_s=now)
            measures.use.labels(service).set(use)
        for event, count in log.left_out().items():
            measures.left_out.labels(event).set(count)
        return measures.text()

    def status(self, *, ready: bool, leaving: bool) -> dict[str, object]:
        """Returns what this entry believes, with the age of each figure.

        Args:
          ready: whether the entry takes new callers.
          leaving: whether it is on its way out.
        """
        now = now_s()
        upstreams = []
        for upstream in self._fleet.upstreams():
            upstreams.append(describe_upstream(upstream, self._fleet, now))
        entries = []
        for entry in self._fleet.entries.values():
            entries.append(entry._asdict())
        table = self._fleet.table
        return {
            "entry": self._entry_name,
            "ready": ready,
            "leaving": leaving,
            "configuration_version": table.version if table else None,
            "store_revision": self._follower.revision,
            "store_age_s": round(now - self._follower.heard_at_s, 2),
            "peers_heard": self._fleet.peers_heard,
            "evacuated": sorted(self._fleet.evacuated),
            "evacuated_for_s": {
                zone: round(now - since_s, 2)
                for zone, since_s in self._fleet.evacuated.items()
            },
            "entries": entries,
            "upstreams": upstreams,
        }

    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a configuration that was in force; 0 for the one that is."""
        found = self._follower.history.find(version)
        if found is None:
            return None
        now = now_s()
        versions = []
        for kept in self._follower.history.newest_first():
            versions.append(
                {
                    "version": kept.version,
                    "revision": kept.revision,
                    "in_force_s_ago": round(now - kept.since_s, 2),
                }
            )
        return {
            "entry": self._entry_name,
            "version": found.version,
            "store_age_s": round(now - self._follower.heard_at_s, 2),
            "text": found.text().decode("utf-8", "replace"),
            "versions": versions,
        }


def describe_upstream(
    upstream: UpstreamState, fleet: Fleet, now: float
) -> dict[str, object]:
    """Returns what is believed of an upstream, with the age of its load."""
    record = upstream.record
    age_s = upstream.load_age_s(now_s=now)
    return {
        "id": record.upstream_id,
        "service": record.service,
        "availability_zone": record.availability_zone,
        "slots": record.slots,
        "busy": round(
            upstream.busy(now_s=now, peers_heard=fleet.peers_heard), 1
        ),
        "load_age_s": round(age_s, 2) if age_s < NEVER_S else None,
        "in_flight": upstream.in_flight,
        "draining": record.draining,
        "paused": upstream.paused(),
        "cold": upstream.cold(now_s=now),
        "slowness": round(upstream.slowness(now_s=now), 2),
        "failure_share": round(upstream.failure_share(now_s=now), 2),
    }
