"""State of each region: load reports, in-band health, links and losses."""

from almondstair.core.admission import HELD_BACK_FRACTION
from almondstair.core.health import HealthTable
from almondstair.core.loads import LoadTotals
from almondstair.core.loads import RegionLoad
from almondstair.core.loads import configured_slots
from almondstair.core.model import Configuration
from almondstair.core.model import Priority
from almondstair.core.policies import RegionView
from almondstair.core.steering_records import Flow
from almondstair.core.steering_records import RegionStatus

# Fraction of failed requests from which a region is abandoned like a lost one,
# except for the floor weight.
LOST_FAILURE_FRACTION = 0.8


class RegionStates:
    """Tracks load reports and in-band health by region and service."""

    def __init__(
        self, *, configuration: Configuration, report_limit_s: float
    ) -> None:
        """Starts without reports.

        Args:
          configuration: regions, links, upstreams and services.
          report_limit_s: age in seconds at which a load report expires.
        """
        self._report_limit_s = report_limit_s
        self._loads: dict[tuple[str, str], RegionLoad] = {}
        self._lost: set[str] = set()
        self._link_headroom: dict[tuple[str, str], float] = {}
        self._distances_ms: dict[tuple[str, str], float] = {}
        self._health = HealthTable()
        self.configure(configuration=configuration)

    def configure(self, *, configuration: Configuration) -> None:
        """Applies a new configuration; reports on its regions are kept."""
        self._configuration = configuration
        self._distances_ms.clear()
        loads: dict[tuple[str, str], RegionLoad] = {}
        slots_by_key = configured_slots(configuration=configuration)
        for key, slots in slots_by_key.items():
            load = self._loads.get(key)
            if load is None:
                load = RegionLoad(
                    configured_slots=slots, limit_s=self._report_limit_s
                )
            load.configured_slots = slots
            loads[key] = load
        self._loads = loads

    def configured_slots(self, *, region: str, service: str) -> float:
        """Returns the slots configured for a service in a region."""
        return self._loads[(region, service)].configured_slots

    def totals(self, *, region: str, service: str, now_s: float) -> LoadTotals:
        """Returns the sum of the load reports on a region."""
        return self._loads[(region, service)].totals(now_s=now_s)

    def record_load_report(
        self,
        *,
        region: str,
        service: str,
        source: str,
        slots: int,
        free_slots: int,
        age_s: float,
        now_s: float,
        limit_s: float | None = None,
    ) -> None:
        """Records a load report; unknown regions and services are ignored.

        Args:
          region: region reported on.
          service: service reported on.
          source: name of the source; the sources of a region are summed.
          slots: slots of the service that the source reports on.
          free_slots: free slots among them.
          age_s: age of the measurement on arrival, in seconds.
          now_s: monotonic time.
          limit_s: age in seconds at which this report expires, for digests
            that are slow over several relays; None for the default limit.
        """
        load = self._loads.get((region, service))
        if load is None:
            return
        load.record_report(
            source=source,
            slots=slots,
            free_slots=free_slots,
            measured_s=now_s - age_s,
            limit_s=limit_s,
        )

    def forget_source(self, *, source: str) -> None:
        """Drops the reports of an entry removed from the entry table."""
        for load in self._loads.values():
            load.forget(source=source)

    def record_link_headroom(
        self, *, availability_zone: str, region: str, headroom: float
    ) -> None:
        """Records the unused fraction of a link's cap, 0 to 1."""
        self._link_headroom[(availability_zone, region)] = headroom

    def mark_lost(self, *, region: str) -> None:
        """Marks a region as lost: all its entries are silent or gone."""
        self._lost.add(region)

    def mark_recovered(self, *, region: str) -> None:
        """Marks a region as recovered; its weight grows from zero."""
        self._lost.discard(region)

    def record_sent(self, *, region: str, service: str) -> None:
        """Counts a request sent to a region."""
        load = self._loads.get((region, service))
        if load is not None:
            load.record_sent()

    def record_finished(self, *, region: str, service: str) -> None:
        """Counts the end of a request that is no evidence of health.

        A caller that disconnected, a deadline that the caller set too short
        or a claim that the platform did not answer is no fault of the region.
        """
        load = self._loads.get((region, service))
        if load is not None:
            load.record_finished()

    def record_answer(
        self,
        *,
        region: str,
        service: str,
        priority: Priority,
        request_class: str,
        latency_ms: float,
        now_s: float,
        stall_ms: float = 0.0,
    ) -> None:
        """Records a complete answer of a region.

        Args:
          region: region that answered.
          service: service of the request.
          priority: priority of the request.
          request_class: class of the request.
          latency_ms: time from sending to the complete answer.
          now_s: monotonic time.
          stall_ms: part of the latency in which this process was stalled.
        """
        self.record_finished(region=region, service=service)
        self._health.record_accepted(
            name=_refusals_key(region, service, priority), now_s=now_s
        )
        self._health.record_answer(
            name=_health_key(region, service),
            request_class=request_class,
            latency_ms=latency_ms,
            now_s=now_s,
            stall_ms=stall_ms,
        )

    def record_refusal(
        self, *, region: str, service: str, priority: Priority, now_s: float
    ) -> None:
        """Records a refusal by a region; the request was certainly not run.

        Refusals are counted by priority: low priorities are refused first,
        which says nothing about the capacity for higher ones.
        """
        self.record_finished(region=region, service=service)
        name = _refusals_key(region, service, priority)
        self._health.record_refusal(name=name, now_s=now_s)

    def record_failure(
        self, *, region: str, service: str, now_s: float
    ) -> None:
        """Records a failed, lost or late answer of a region."""
        self.record_finished(region=region, service=service)
        name = _health_key(region, service)
        self._health.record_failure(name=name, now_s=now_s)

    def status(self, *, service: str, now_s: float) -> tuple[RegionStatus, ...]:
        """Returns the status of every region for a service."""
        rows: list[RegionStatus] = []
        for region in self._configuration.regions:
            load = self._loads[(region, service)]
            totals = load.totals(now_s=now_s)
            name = _health_key(region, service)
            row = RegionStatus(
                region=region,
                live=self.is_live(region=region, service=service, now_s=now_s),
                known=totals.known,
                age_s=load.least_report_age_s(now_s=now_s),
                slots=totals.slots,
                free_slots=totals.free_slots,
                health=self._health.view(name=name, now_s=now_s),
            )
            rows.append(row)
        return tuple(rows)

    def is_live(self, *, region: str, service: str, now_s: float) -> bool:
        """Returns whether a region can take work of a service at all."""
        if region in self._lost:
            return False
        load = self._loads.get((region, service))
        if load is None or load.configured_slots == 0:
            return False
        return load.totals(now_s=now_s).slots > 0

    def is_failing(self, *, region: str, service: str, now_s: float) -> bool:
        """Returns whether nearly all requests to a region fail."""
        name = _health_key(region, service)
        view = self._health.view(name=name, now_s=now_s)
        return view.failed >= LOST_FAILURE_FRACTION

    def distance_ms(self, *, availability_zone: str, region: str) -> float:
        """Returns the latency to a region, infinite without a link to it."""
        key = (availability_zone, region)
        cached_ms = self._distances_ms.get(key)
        if cached_ms is not None:
            return cached_ms
        distance_ms = float("inf")
        link = self._configuration.link(
            availability_zone=availability_zone, region=region
        )
        if link is not None:
            distance_ms = link.latency_ms
        own = self._configuration.region_of(availability_zone=availability_zone)
        if region == own:
            distance_ms = 0.0
        self._distances_ms[key] = distance_ms
        return distance_ms

    def view(
        self,
        *,
        region: str,
        flow: Flow,
        slots: float,
        free_slots: float,
        now_s: float,
    ) -> RegionView:
        """Returns the region's view for a flow, less the reserved slots."""
        answers = self._health.view(
            name=_health_key(region, flow.service), now_s=now_s
        )
        refusals = self._health.view(
            name=_refusals_key(region, flow.service, flow.priority),
            now_s=now_s,
        )
        reserved_slots = slots * HELD_BACK_FRACTION[flow.priority]
        link_key = (flow.availability_zone, region)
        return RegionView(
            region=region,
            latency_ms=self.distance_ms(
                availability_zone=flow.availability_zone, region=region
            ),
            slots=slots - reserved_slots,
            free_slots=max(0.0, free_slots - reserved_slots),
            health=answers.factor * refusals.factor,
            link_headroom=self._link_headroom.get(link_key, 1.0),
        )

    def live_regions(self, *, flow: Flow, now_s: float) -> list[str]:
        """Returns the live regions of a flow, nearest first."""
        distances: list[tuple[float, str]] = []
        for region in self._configuration.regions:
            if not self.is_live(
                region=region, service=flow.service, now_s=now_s
            ):
                continue
            distance_ms = self.distance_ms(
                availability_zone=flow.availability_zone, region=region
            )
            distances.append((distance_ms, region))
        distances.sort()
        regions: list[str] = []
        for _, region in distances:
            regions.append(region)
        return regions


def _health_key(region: str, service: str) -> str:
    return f"{region}/{service}"


def _refusals_key(region: str, service: str, priority: Priority) -> str:
    return f"{region}/{service}/{priority}"
