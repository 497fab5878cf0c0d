"""Metrics, status and configurations of an entry, for operators."""

from collections import Counter
from collections.abc import Sized

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.fleet import Fleet
from almondstair.core.quota_reports import QuotaReports
from almondstair.core.upstream_limits import UpstreamLimits
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.overload_control import OverloadControl
from almondstair.gateway.skipped_keys import SkipCause
from almondstair.gateway.store_sync import StoreSync
from almondstair.platform.kv import KvClient

# A greater age means that the load was never reported.
NO_REPORT_AGE_S = 1e9
# Organisations in the metrics, those with the most refused requests.
MAX_LISTED_ORGANISATIONS = 20
# Skipped keys of the store in the status, the latest ones.
MAX_LISTED_KEYS = 20


class OperatorReports:
    """Collects the data of the operators' pages."""

    def __init__(
        self,
        *,
        entry_name: str,
        fleet: Fleet,
        pool: ConnectionPool,
        client: KvClient,
        store_sync: StoreSync,
        metrics: GatewayMetrics,
        in_flight: Sized,
        quotas: QuotaReports,
        limits: UpstreamLimits,
        links: UpstreamLinks,
        cut_off: CutOffEntries,
        overload: OverloadControl,
    ) -> None:
        """Creates the reports of one entry.

        Args:
          entry_name: its name.
          fleet: the view of the deployment.
          pool: connections to upstreams.
          client: client of the store, which counts its calls.
          store_sync: holds the age of the view and past configurations.
          metrics: counters and histograms.
          in_flight: requests in flight.
          quotas: requests of organisations, here and over all entries.
          limits: limits that upstreams state.
          links: links of this entry to upstreams.
          cut_off: entries that reach no upstream.
          overload: the parts of the scheduling under overload.
        """
        self._entry_name = entry_name
        self._fleet = fleet
        self._pool = pool
        self._client = client
        self._store_sync = store_sync
        self._metrics = metrics
        self._in_flight = in_flight
        self._quotas = quotas
        self._limits = limits
        self._links = links
        self._cut_off = cut_off
        self._overload = overload

    def metrics(self) -> bytes:
        """Returns the metrics with up-to-date gauges."""
        metrics = self._metrics
        now = now_s()
        table = self._fleet.table
        metrics.connections.set(self._pool.connections_opened)
        metrics.store_age_s.set(now - self._store_sync.as_of_s)
        metrics.store_epoch.set(self._store_sync.revision.epoch)
        metrics.lapsed_registrations.set(self._fleet.lapsed_count())
        for cause in SkipCause:
            count = self._store_sync.skipped.count(cause)
            metrics.skipped_keys.labels(cause).set(count)
        metrics.configuration_version.set(table.version if table else 0)
        metrics.entries.set(len(self._fleet.entries))
        metrics.requests_in_flight.set(len(self._in_flight))
        for kind, count in self._client.calls.items():
            metrics.store_calls.labels(kind).set(count)
        for service in self._fleet.services():
            eligible = self._fleet.eligible_upstreams(service)
            metrics.upstreams.labels(service).set(len(eligible))
            utilisation = self._fleet.utilisation(service, now_s=now)
            metrics.slot_use.labels(service).set(utilisation)
            limited = sum(
                self._limits.get(upstream.name_hash) is not None
                for upstream in eligible
            )
            metrics.limited_upstreams.labels(service).set(limited)
            leaving = self._count_leaving(service)
            for source in LeavingSource:
                metrics.leaving_upstreams.labels(service, source).set(
                    leaving[source]
                )
            resting = sum(each.rest.is_running(now_s=now) for each in eligible)
            metrics.resting_upstreams.labels(service).set(resting)
            rested_s = self._fleet.rested_s.get(service, 0.0)
            metrics.rest_s.labels(service).set(rested_s)
            slow = sum(each.speed.is_slow(now_s=now) for each in eligible)
            metrics.overload_slow_upstreams.labels(service).set(slow)
            unreachable = sum(upstream.is_unreachable for upstream in eligible)
            metrics.unreachable_upstreams.labels(service).set(unreachable)
        metrics.partitioned.set(self._links.is_partitioned)
        metrics.cut_off_entries.set(len(self._cut_off.names))
        self._update_quota_metrics(now)
        self._update_overload_metrics()
        self._update_share_metrics(now)
        for event, count in log.dropped_lines().items():
            metrics.dropped_log_lines.labels(event).set(count)
        return metrics.render()

    def _count_leaving(self, service: str) -> Counter[LeavingSource]:
        """Counts a service's leaving upstreams by what told of it first."""
        found: Counter[LeavingSource] = Counter()
        for upstream in self._fleet.upstreams():
            if upstream.record.service != service:
                continue
            if upstream.leaving_source is not None:
                found[upstream.leaving_source] += 1
        return found

    def _update_quota_metrics(self, now: float) -> None:
        metrics = self._metrics
        age_s = self._quotas.totals_age_s(now_s=now)
        metrics.quota_totals_age_s.set(
            NO_REPORT_AGE_S if age_s is None else age_s
        )
        metrics.quota_refusals.clear()
        table = self._fleet.table
        if table is None:
            return
        refused = self._quotas.own.refused.most_common(MAX_LISTED_ORGANISATIONS)
        for name_hash, count in refused:
            organisation = table.organisations_by_hash.get(name_hash)
            if organisation is None:
                continue
            metrics.quota_refusals.labels(organisation.name).set(count)

    def _update_overload_metrics(self) -> None:
        metrics = self._metrics
        for row in self._overload.records.rows():
            labels = (row.service, str(row.priority))
            metrics.overload_waiting.labels(*labels).set(row.waiting)
            metrics.overload_waited.labels(*labels).set(row.waited)
            metrics.overload_returned.labels(*labels).set(row.returned)
            for reason, count in row.refused.items():
                metrics.overload_refused.labels(*labels, reason).set(count)
            for basis, count in row.return_times.items():
                metrics.overload_return_times.labels(*labels, basis).set(count)

        metrics.overload_left_region.clear()
        for (service, region), part in self._overload.regions.parts().items():
            metrics.overload_left_region.labels(service, region).set(part)
        guard = self._overload.memory_guard
        if guard is not None:
            for kind, size_bytes in guard.held.by_kind().items():
                metrics.overload_held_bytes.labels(kind).set(size_bytes)
            metrics.overload_held_most_bytes.set(guard.held.most_bytes)
            metrics.overload_held_budget_bytes.set(guard.held.budget_bytes)
            metrics.overload_memory_step.set(guard.held.step)
            metrics.overload_closed_connections.set(guard.closed)
        for service, counts in self._overload.records.speeds().items():
            for speed, count in counts._asdict().items():
                metrics.overload_speed_answers.labels(service, speed).set(count)

    def _update_share_metrics(self, now: float) -> None:
        metrics = self._metrics
        # Services and organisations that are no longer listed would keep their
        # last values.
        metrics.overload_shares_in_force.clear()
        metrics.overload_share_totals_age_s.clear()
        metrics.overload_share_refusals.clear()
        for row in self._overload.shares.rows(now_s=now):
            in_force = metrics.overload_shares_in_force
            in_force.labels(row.service).set(row.in_force)
            metrics.overload_share_totals_age_s.labels(row.service).set(
                NO_REPORT_AGE_S
                if row.totals_age_s is None
                else row.totals_age_s
            )
            refused = Counter(row.refused)
            for name, count in refused.most_common(MAX_LISTED_ORGANISATIONS):
                metrics.overload_share_refusals.labels(row.service, name).set(
                    count
                )

    def status(self, *, ready: bool, leaving: bool) -> dict[str, object]:
        """Returns this entry's view of the fleet, with the age of its data.

        Args:
          ready: whether the entry accepts new callers.
          leaving: whether it is stopping.
        """
        now = now_s()
        upstreams = []
        for upstream in self._fleet.upstreams():
            upstreams.append(
                describe_upstream(upstream, self._fleet, now)
                | self._describe_limit(upstream, now)
            )
        entries = []
        for entry in self._fleet.entries.values():
            entries.append(entry._asdict())
        table = self._fleet.table
        return {
            "entry": self._entry_name,
            "ready": ready,
            "leaving": leaving,
            "configuration_version": table.version if table else None,
            "store_revision": self._store_sync.revision.number,
            "store_epoch": self._store_sync.revision.epoch,
            "store_age_s": round(now - self._store_sync.as_of_s, 2),
            "skipped_keys": self._store_sync.skipped.latest(MAX_LISTED_KEYS),
            "peers_heard": self._fleet.peer_loads_complete,
            "links": self._describe_links(now),
            "entries_without_upstreams": sorted(self._cut_off.names),
            "evacuated": sorted(self._fleet.evacuated),
            "evacuated_for_s": {
                zone: round(now - since_s, 2)
                for zone, since_s in self._fleet.evacuated.items()
            },
            "entries": entries,
            "upstreams": upstreams,
            "organisations": self._organisations(),
            "quota_totals_age_s": self._quotas.totals_age_s(now_s=now),
            "overload": self._overload.status(),
        }

    def _describe_links(self, now: float) -> dict[str, object]:
        """Returns the state of the links to upstreams, and since when."""
        partition = self._links.partition
        if partition is None:
            return {"state": str(self._links.state), "for_s": None}
        return {
            "state": str(self._links.state),
            "for_s": round(now - partition.since_s, 2),
            "cause": partition.cause,
        }

    def _describe_limit(
        self, upstream: UpstreamState, now: float
    ) -> dict[str, object]:
        limit = self._limits.get(upstream.name_hash)
        if limit is None:
            return {"limit_per_s": None, "limit_age_s": None}
        return {
            "limit_per_s": limit.rate_per_s,
            "limit_age_s": round(now - limit.at_s, 2),
        }

    def _organisations(self) -> list[dict[str, object]]:
        table = self._fleet.table
        if table is None:
            return []
        found = []
        for organisation in table.configuration.organisations:
            use = self._quotas.describe(organisation)
            found.append(
                {
                    "name": organisation.name,
                    "keys": len(organisation.keys),
                    "priority": organisation.priority,
                    "allowed_regions": list(organisation.allowed_regions),
                    "rate_per_s": organisation.rate_per_s,
                    "burst": organisation.burst,
                }
                | use._asdict()
            )
        return found

    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a past configuration, or the one in force for 0."""
        found = self._store_sync.history.find(version)
        if found is None:
            return None
        now = now_s()
        versions = []
        for past in self._store_sync.history.newest_first():
            versions.append(
                {
                    "version": past.version,
                    "revision": past.revision.number,
                    "epoch": past.revision.epoch,
                    "in_force_s_ago": round(now - past.in_force_since_s, 2),
                }
            )
        return {
            "entry": self._entry_name,
            "version": found.version,
            "store_age_s": round(now - self._store_sync.as_of_s, 2),
            "text": found.text().decode("utf-8", "replace"),
            "versions": versions,
        }


def describe_upstream(
    upstream: UpstreamState, fleet: Fleet, now: float
) -> dict[str, object]:
    """Returns the known state of an upstream, with the age of its load."""
    record = upstream.record
    age_s = upstream.load_age_s(now_s=now)
    speed_age_s = upstream.speed.age_s(now_s=now)
    return {
        "id": record.upstream_id,
        "service": record.service,
        "availability_zone": record.availability_zone,
        "slots": record.slots,
        "busy": round(
            upstream.estimated_load(
                now_s=now, peer_loads_complete=fleet.peer_loads_complete
            ),
            1,
        ),
        "load_age_s": round(age_s, 2) if age_s < NO_REPORT_AGE_S else None,
        "in_flight": upstream.in_flight,
        "draining": record.draining,
        "leaving_source": upstream.leaving_source,
        "rest_left_s": round(max(0.0, upstream.rest.resumes_s - now), 2),
        "paused": upstream.is_paused(),
        "cold": upstream.is_cold(now_s=now),
        "run_time_percent": upstream.speed.run_time_percent,
        "run_time_age_s": None
        if speed_age_s is None
        else round(speed_age_s, 2),
        "slowness": round(upstream.slowness(now_s=now), 2),
        "failure_share": round(upstream.failure_share(now_s=now), 2),
    }
