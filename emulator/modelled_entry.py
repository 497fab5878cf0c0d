"""An entry in virtual time: the real placement code without connections."""

from collections.abc import Iterable, Mapping

from almondstair.core.caller_ages import CallerAges
from almondstair.core.caller_ages import has_returned
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.entry_waits import EntryQueue
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import OverloadParts
from almondstair.core.overload_parts import PartMode
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.placement_plan import Plan
from almondstair.core.region_reports import RegionReports
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.registered_entries import Entry
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.return_times import BacklogReturn
from almondstair.core.return_times import ConstantReturn
from almondstair.core.return_times import ReturnTimes
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import RunTimes
from almondstair.core.statement_reports import ReportedStatements
from almondstair.core.statement_reports import StatementReports
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.use_counts import UseCount
from almondstair.core.wait_queue import WaitCapacity
from almondstair.core.wait_queue import WaitQueue
from almondstair.core.wait_queue import queue_runs
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern

# Operator bounds of every replay; patterns do not set them.
MAX_REGION_CHANGE = 0.15
COLD_RATE_FACTOR = 1.5
COLD_SLACK = 5.0
MAX_ATTEMPTS = 2
_LIMITS = CallerLimits(16_384, 1 << 20, 3.0, 15.0)
# A pattern plays ordered waits where its priorities call for them. Other parts
# are as in a gateway without settings.
_PLAYED = {OverloadPart.WAITING: PartMode.CALLED_FOR}


def _route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        hostname="replay",
        prefix=f"/{kind.name}/",
        kind=RouteKind.SAFE if kind.repeatable else RouteKind.UNSAFE,
        target_latency_s=kind.aim_s,
        timeout_s=kind.deadline_s,
        attempts=MAX_ATTEMPTS,
        priority=kind.priority,
        key_affinity=True,
        destinations=(Destination(kind.service, 1),),
        allowed_regions=tuple(kind.regions),
    )


def _configuration(pattern: Pattern) -> RoutingConfiguration:
    rules = {}
    for service in pattern.services:
        rules[service.name] = ServiceRule(service.name, "/", 1000, 0.0, 0.0)
    routes = tuple(_route(kind) for kind in pattern.kinds)
    return RoutingConfiguration(1, _LIMITS, routes, rules)


class ModelledEntry:
    """The state and the placement of one entry.

    Attributes:
      name: name of the entry.
      region: its region.
      routes: route by kind of request.
      placer: chooses upstreams for requests.
      cached_locations: upstreams that have each object cached.
      queue: requests that wait at the entry.
      ordered_waits: whether requests wait in ordered queues instead.
      wait_queues: these queues by service.
      limit_reports: limits that upstreams state.
      leaves_regions: whether its requests leave slots of a region to those that
        are confined to it.
      returns: when refused callers should return.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        pattern: Pattern,
        names: Iterable[str],
        modes: Mapping[OverloadPart, PartMode] | None = None,
    ) -> None:
        """Starts with all upstreams registered and no measurements.

        Args:
          name: name of the entry.
          region: its region.
          pattern: the load pattern.
          names: names of all entries.
          modes: modes of the parts for overload; by default, ordered waits as
            called for.
        """
        self._modes = _PLAYED if modes is None else modes
        self.name = name
        self.region = region
        self._pattern = pattern
        self._names = tuple(names)
        self.routes: dict[str, Route] = {}
        self.restart()

    def restart(self) -> None:
        """Resets all state that the entry has learned."""
        zones = {region: region for region in self._pattern.regions}
        self._fleet = Fleet(
            own_name=self.name, own_region=self.region, zones=zones
        )
        configuration = _configuration(self._pattern)
        self._fleet.apply_configuration(configuration)
        for route in configuration.routes:
            self.routes[route.name] = route
        for record in upstream_records(self._pattern):
            self._fleet.apply_upstream(record, now_s=0.0)
        self._fleet.mark_loaded()
        for other in self._names:
            self._fleet.apply_entry(Entry(other, "", "", "", ""))
        round_trips_s = {}
        for region in self._pattern.regions:
            if region != self.region:
                round_trips_s[region] = self._pattern.round_trip_s
        self.cached_locations = CachedLocations()
        self._region_limiter = RegionShareLimiter(
            own_region=self.region, max_change=MAX_REGION_CHANGE
        )
        self._region_reports = RegionReports(
            own_name=self.name, limiter=self._region_limiter
        )
        self._region_reports.set_regions(self._fleet.regions())
        self.limit_reports = LimitReports(own_name=self.name, fleet=self._fleet)
        self._statement_reports = StatementReports(fleet=self._fleet)
        run_times = RunTimes()
        self.placer = RequestPlacer(
            fleet=self._fleet,
            run_times=run_times,
            cached_locations=self.cached_locations,
            region_limiter=self._region_limiter,
            region_reports=self._region_reports,
            cold_start_limiter=ColdStartLimiter(
                own_name=self.name,
                rate_factor=COLD_RATE_FACTOR,
                slack=COLD_SLACK,
            ),
            upstream_limiter=UpstreamLimiter(
                fleet=self._fleet, reports=self.limit_reports
            ),
            round_trips_s=round_trips_s,
        )
        self.queue = EntryQueue()
        parts = OverloadParts(modes=self._modes)
        parts.set_configuration(configuration)
        self.ordered_waits = parts.is_active(OverloadPart.WAITING)
        self.leaves_regions = parts.is_active(OverloadPart.REGIONS)
        capacity = WaitCapacity()
        self.wait_queues = {
            service.name: WaitQueue(capacity=capacity)
            for service in self._pattern.services
        }
        self._ages = CallerAges()
        self._recognises = False
        self.returns: ReturnTimes = ConstantReturn()
        if parts.is_active(OverloadPart.RETURNS):
            self._recognises = True
            self.returns = BacklogReturn(
                own_name=self.name,
                fleet=self._fleet,
                run_times=run_times,
                records=OverloadRecords(),
            )

    def caller_age_s(
        self, kind: Kind, *, stated_s: float, now_s: float
    ) -> float:
        """Returns how long a caller certainly waited before, in seconds.

        It is 0 unless the part Return is active.

        Args:
          kind: kind of its request.
          stated_s: the deadline that it states, in seconds.
          now_s: the entry's clock, in seconds.
        """
        if not self._recognises:
            return 0.0
        age_s = self._ages.age_s(self.routes[kind.name], stated_s)
        if not has_returned(age_s):
            requests = RequestClass(kind.service, kind.priority)
            self.returns.record_arrival(requests, now_s=now_s)
        return age_s

    def max_queue_runs(self, kind: Kind, *, now_s: float) -> float | None:
        """Returns the longest queue that a request joins at an upstream.

        Args:
          kind: kind of the request.
          now_s: the entry's clock, in seconds.

        Returns:
          The time in that queue, in mean run times of its service; None if
          requests wait in no ordered queue.
        """
        if not self.ordered_waits:
            return None
        queue = self.wait_queues[kind.service]
        return queue_runs(queue.count_higher(kind.priority, now_s=now_s))

    def record_leaving(self, upstream: int, *, source: LeavingSource) -> None:
        """Records that an upstream leaves, by its hash."""
        self._fleet.record_leaving(upstream, source=source)

    def record_rest(
        self, state: UpstreamState, *, rest_s: float, now_s: float
    ) -> None:
        """Records that an upstream asked this entry for a rest."""
        self._fleet.record_rest(state, rest_s=rest_s, now_s=now_s)

    def statements(self, *, now_s: float) -> ReportedStatements:
        """Returns what upstreams said to this entry."""
        self._fleet.end_rests(now_s=now_s)
        return self._statement_reports.own(now_s=now_s)

    def apply_statements(self, reported: ReportedStatements) -> None:
        """Applies what upstreams said to another entry."""
        for upstream in reported.leaving:
            self.record_leaving(upstream, source=LeavingSource.PEER)

    def loads(self) -> dict[int, int]:
        """Returns the requests in flight by hash of the upstream's name."""
        in_flight = {}
        for state in self._fleet.upstreams():
            if state.in_flight:
                in_flight[state.name_hash] = state.in_flight
        return in_flight

    def region_counts(self, *, now_s: float) -> list[UseCount]:
        """Returns its requests by region since its start."""
        return self._region_reports.own_counts(now_s=now_s)

    def apply_region_counts(
        self, counts: list[UseCount], *, now_s: float
    ) -> None:
        """Applies the requests of all entries of its region."""
        self._region_reports.apply_total("", counts, now_s=now_s)

    def update_loads(
        self, total: Mapping[int, int], own: Mapping[int, int], plan: Plan
    ) -> None:
        """Applies the plan and the loads of all entries, less its own."""
        self._fleet.peer_loads_complete = True
        self._fleet.peer_loads.update(total, own=own)
        self._fleet.set_plan(plan)

    def eligible_upstreams(self) -> dict[str, list[UpstreamState]]:
        """Returns the eligible upstreams by service."""
        eligible = {}
        for service in self._fleet.services():
            eligible[service] = self._fleet.eligible_upstreams(service)
        return eligible

    def start_evacuation(self, region: str, *, now_s: float) -> None:
        """Stops sending requests to a region's upstreams."""
        self._fleet.start_evacuation(region, now_s=now_s)

    def end_evacuation(self, region: str, *, now_s: float) -> None:
        """Resumes sending requests to a region's upstreams."""
        self._fleet.end_evacuation(region, now_s=now_s)


def upstream_records(pattern: Pattern) -> list[UpstreamRecord]:
    """Returns the registrations of a pattern's upstreams."""
    records = []
    for service in pattern.services:
        for name, region in service.upstream_locations():
            record = UpstreamRecord(
                upstream_id=name,
                service=service.name,
                address=name,
                availability_zone=region,
                software_version="",
                slots=service.slots,
                draining=False,
                cold_left_s=0.0,
            )
            records.append(record)
    return records
