"""Places requests on upstreams by the entry's view of the deployment.

A decision combines the order of upstreams for the request's key (`placement`),
the selection among them (`choosing`), and the time for which the request may
wait for a slot at the entry if there is none (`entry_waits`).
"""

from collections.abc import Collection, Mapping
import math
from typing import NamedTuple

from almondstair.core import choosing
from almondstair.core import entry_waits
from almondstair.core import wait_queue
from almondstair.core.choosing import Choice
from almondstair.core.choosing import SelectionCriteria
from almondstair.core.choosing import select_upstream
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.confined_regions import ConfinedRegions
from almondstair.core.confined_regions import RegionUse
from almondstair.core.crash_suspects import UNCONFIRMED_TTL_S
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.known_places import object_hash
from almondstair.core.region_reports import RegionReports
from almondstair.core.region_shares import RegionLimits
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.return_schedule import ReturnSchedule
from almondstair.core.routing import Route
from almondstair.core.run_times import RunTimes
from almondstair.core.shared_order import shared_order
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.wait_queue import WaitTimes

# Delay after which a caller that found no capacity retries. Requests run for a
# few tenths of a second, so a slot is free by then; a longer delay would leave
# less of the latency target.
NO_CAPACITY_RETRY_MS = 150
# Upstreams with a limit that a request asks at most. Each one refused costs
# another decision.
MAX_LIMITS_ASKED = 8
# Time for which a service remains crowded for requests that wait in order. It
# spans two reports of the greatest age.
CROWDED_HOLD_S = 2.0


class PlacementRequest(NamedTuple):
    """Holds a request that needs an upstream.

    Attributes:
      route: its route.
      service: the service that handles it.
      key: the key by which it is placed.
      arrived_s: its arrival on the entry's clock, in seconds.
      deadline_s: when its caller gives up or its route's timeout ends, on the
        entry's clock, in seconds.
      tried: ids of upstreams to which it was already sent.
      limit_refusals: gets the upstreams whose limits refuse it.
      possibly_crashed: hashes of upstreams that it may have crashed; if there
        are any, every entry sends it to the same next one.
      avoided: ids of upstreams that asked the entry for rest that relays it.
      has_one_try: whether it cannot be sent again if an upstream refuses it.
      max_queue_runs: longest queue that it joins at an upstream, in mean run
        times of its service; None if its latency target decides.
      leaves_regions: whether it leaves slots of a region to requests that are
        confined to it.
      has_returned: whether its caller is certain to have returned after a
        refusal, while the part Return is active.
    """

    route: Route
    service: str
    key: str
    arrived_s: float
    deadline_s: float
    tried: Collection[str]
    limit_refusals: LimitRefusals
    possibly_crashed: frozenset[int] = frozenset()
    avoided: Collection[str] = ()
    has_one_try: bool = False
    max_queue_runs: float | None = None
    leaves_regions: bool = False
    has_returned: bool = False

    @property
    def object_name(self) -> str:
        """Returns the name of the request's object within its service.

        Routes number their objects independently, so that a key alone stands
        for an object of each route.
        """
        return f"{self.route.name}\0{self.key}"


class PlacementDecision(NamedTuple):
    """Holds the result of a placement.

    Attributes:
      choice: the selected upstream; None if none has capacity.
      excluded_regions: regions that were excluded because traffic moves between
        regions in bounded steps.
      pending: whether the request may just have crashed the upstream that is
        next for it, so that no other one may get it yet.
    """

    choice: Choice | None
    excluded_regions: frozenset[str]
    pending: bool = False


class RequestPlacer:
    """Places the requests of one entry."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        run_times: RunTimes,
        cached_locations: CachedLocations,
        region_limiter: RegionShareLimiter,
        region_reports: RegionReports,
        cold_start_limiter: ColdStartLimiter,
        upstream_limiter: UpstreamLimiter,
        round_trips_s: Mapping[str, float],
    ) -> None:
        """Creates the placement of one entry.

        Args:
          fleet: the entry's view of the deployment, with a routing table.
          run_times: learned run times of requests.
          cached_locations: which upstreams have which objects cached.
          region_limiter: limit on how fast requests move between regions.
          region_reports: counts where requests run.
          cold_start_limiter: limit on requests to cold upstreams.
          upstream_limiter: keeps to the limits that upstreams state.
          round_trips_s: measured round trip to each other region, in seconds;
            updated by its owner.
        """
        self._fleet = fleet
        self._run_times = run_times
        self._cached_locations = cached_locations
        self._region_limiter = region_limiter
        self._region_reports = region_reports
        self._cold_start_limiter = cold_start_limiter
        self._upstream_limiter = upstream_limiter
        self._round_trips_s = round_trips_s
        self._returns = ReturnSchedule()
        self.confined_regions = ConfinedRegions()
        self._eligible_version = 0
        # By service, when it was last crowded and its utilisation then.
        self._crowded: dict[str, tuple[float, float]] = {}

    def place(
        self, request: PlacementRequest, *, now_s: float
    ) -> PlacementDecision:
        """Returns the upstream for a request in the regions that may get it.

        Requests that cannot run in their own region do not count as moved to
        another one, and no region is excluded for them.
        """
        if request.possibly_crashed:
            return self._place_suspect(request, now_s)
        if not self._fleet.can_run_locally(
            request.service, route=request.route
        ):
            choice = self._select(request, frozenset(), now_s)
            return PlacementDecision(choice, frozenset())
        limits = self._limits(now_s)
        if limits.underserved:
            others = self._fleet.regions() - {limits.underserved}
            choice = self._select(request, others, now_s)
            # An entry sees too few requests to tell a region's missing share
            # from chance; an uncached run there would be for nothing.
            if choice is not None and choice.warm and not choice.waits:
                return PlacementDecision(choice, limits.excluded)
            if choice is not None:
                self.release(choice, now_s=now_s)
        left = self._left_regions(request, now_s)
        if left:
            choice = self._select(request, limits.excluded | left, now_s)
            if choice is not None:
                return PlacementDecision(choice, limits.excluded)
        choice = self._select(request, limits.excluded, now_s)
        return PlacementDecision(choice, limits.excluded)

    def _left_regions(
        self, request: PlacementRequest, now_s: float
    ) -> frozenset[str]:
        """Returns the regions whose slots a request leaves to others."""
        if not request.leaves_regions or self._fleet.table is None:
            return frozenset()
        confined = self.confined_regions
        confined.set_configuration(self._fleet.table.configuration)
        if request.route.allowed_regions:
            return frozenset()
        service = request.service
        if confined.is_due(service, now_s=now_s):
            self._observe_regions(service, now_s)
        return confined.left_regions(service, request.object_name)

    def _observe_regions(self, service: str, now_s: float) -> None:
        regions = self._fleet.regions_of(service)
        for region in self.confined_regions.regions & regions:
            use = RegionUse(
                region=self._use(service, {region}, now_s),
                others=self._use(service, regions - {region}, now_s),
            )
            self.confined_regions.observe(service, region, use, now_s=now_s)

    def _use(
        self, service: str, regions: Collection[str], now_s: float
    ) -> float:
        if not regions:
            return 1.0
        return self._fleet.utilisation(
            service, now_s=now_s, regions=frozenset(regions)
        )

    def record_sent(
        self, request: PlacementRequest, choice: Choice, *, now_s: float
    ) -> None:
        """Counts a request that is sent to its selected upstream."""
        if request.route.key_affinity:
            self._cached_locations.record_sent(
                object_hash(service=request.service, key=request.object_name),
                choice.upstream.name_hash,
                now_s=now_s,
            )
        if self._fleet.can_run_locally(request.service, route=request.route):
            region = choice.upstream.region
            self._region_reports.record_sent(region, now_s=now_s)

    def release(self, choice: Choice, *, now_s: float) -> None:
        """Gives back a choice of which no request was sent."""
        self._upstream_limiter.release(choice.upstream, now_s=now_s)

    def record_disruption(self, *, now_s: float) -> None:
        """Lifts the limit on moves between regions after a failed attempt."""
        self._region_limiter.record_disruption(now_s=now_s)

    def record_run(
        self,
        request: PlacementRequest,
        choice: Choice,
        *,
        took_s: float,
        now_s: float,
    ) -> None:
        """Updates the run times from a response.

        Args:
          request: the request.
          choice: the upstream that answered, with the estimates for it.
          took_s: time from sending it to the complete response, in seconds.
          now_s: the entry's clock, in seconds.
        """
        self._run_times.record_response(service=request.service, took_s=took_s)
        upstream = choice.upstream
        round_trip_s = self._round_trips_s.get(upstream.region, 0.0)
        run_s = max(0.001, took_s - round_trip_s)
        upstream.record_run(
            run_s=run_s,
            expected_s=choice.expected_s - round_trip_s,
            now_s=now_s,
        )
        if choice.waits:
            # The wait's part of the time is only estimated and would bias the
            # mean.
            return
        self._run_times.record_run(
            service=request.service,
            route=request.route.name,
            warm=choice.warm,
            run_s=run_s,
        )

    def may_wait(
        self,
        request: PlacementRequest,
        *,
        excluded_regions: frozenset[str],
        now_s: float,
    ) -> bool:
        """Returns whether a request that found no slot may wait for one.

        Args:
          request: the request.
          excluded_regions: regions that were excluded at its last placement.
          now_s: the entry's clock, in seconds.
        """
        if not self.can_get_slot(
            request, excluded_regions=excluded_regions, now_s=now_s
        ):
            return False
        target_latency_s = request.route.target_latency_s
        times = self._run_times.expected(
            route=request.route.name, target_latency_s=target_latency_s
        )
        return entry_waits.should_wait(
            target_latency_s=target_latency_s,
            shortest_target_s=self._shortest_target_s(request),
            age_s=now_s - request.arrived_s,
            run_s=times.cached_s,
        )

    def can_get_slot(
        self,
        request: PlacementRequest,
        *,
        excluded_regions: frozenset[str],
        now_s: float,
    ) -> bool:
        """Returns whether a slot that gets free could help a request.

        Args:
          request: the request.
          excluded_regions: regions that were excluded at its last placement.
          now_s: the entry's clock, in seconds.
        """
        if not self._fleet.eligible_upstreams(request.service):
            return False
        if self.rest_ends_s(request, now_s=now_s) is not None:
            return False
        return not self.limits_refuse(
            request, excluded_regions=excluded_regions
        )

    def send_times(
        self, request: PlacementRequest, *, caller_age_s: float
    ) -> WaitTimes:
        """Returns when a request has to be sent to be answered.

        Args:
          request: the request.
          caller_age_s: how long its caller waited before this attempt, in
            seconds.
        """
        route = request.route
        times = self._run_times.expected(
            route=route.name, target_latency_s=route.target_latency_s
        )
        return wait_queue.send_times(
            arrived_s=request.arrived_s,
            caller_age_s=caller_age_s,
            target_latency_s=route.target_latency_s,
            deadline_s=request.deadline_s,
            run_s=times.cached_s,
        )

    def preferred_upstreams(
        self, request: PlacementRequest, *, now_s: float
    ) -> frozenset[int]:
        """Returns hashes of the upstreams that run a request when crowded.

        These are its object's home and those that have the object cached; none
        if any upstream may be next for it.
        """
        if request.possibly_crashed:
            return frozenset()
        order = self._fleet.order(
            service=request.service, key=request.object_name
        )
        regions = request.route.allowed_regions
        for upstream in order:
            if upstream.is_paused() or (
                regions and upstream.region not in regions
            ):
                continue
            if upstream.record.upstream_id in request.tried:
                continue
            cached = self._cached_upstreams(request, now_s)
            return cached.union((upstream.name_hash,))
        return frozenset()

    def free_upstreams(
        self, service: str, *, max_queue_runs: float, now_s: float
    ) -> frozenset[int] | None:
        """Returns hashes of the upstreams that may take a waiting request.

        Args:
          service: the service.
          max_queue_runs: longest queue at an upstream, in mean run times of the
            service.
          now_s: the entry's clock, in seconds.

        Returns:
          The hashes; None if the service is not crowded, so that its requests
          run also where their objects are not cached.
        """
        if not self.is_crowded(service, now_s=now_s):
            return None
        free = []
        for upstream in self._fleet.eligible_upstreams(service):
            load = upstream.estimated_load(
                now_s=now_s,
                peer_loads_complete=self._fleet.peer_loads_complete,
            )
            if load + 1 <= (1 + max_queue_runs) * upstream.record.slots:
                free.append(upstream.name_hash)
        return frozenset(free)

    def next_free_s(self, service: str, *, now_s: float) -> float:
        """Returns when time alone may next let an upstream take a request.

        A rest or a cold start ends then, or the load that a response stated has
        faded. No event tells of these.

        Args:
          service: the service.
          now_s: the entry's clock, in seconds.

        Returns:
          The time on the entry's clock, in seconds; infinite if there is none.
        """
        next_s = math.inf
        for upstream in self._fleet.eligible_upstreams(service):
            ends_s = [upstream.rest.resumes_s, upstream.cold_until_s]
            if not self._fleet.peer_loads_complete:
                for runs in wait_queue.QUEUE_RUNS:
                    most = (1 + runs) * upstream.record.slots - 1
                    ends_s.append(upstream.load_falls_s(most_requests=most))
            for end_s in ends_s:
                if end_s > now_s:
                    next_s = min(next_s, end_s)
        return next_s

    def is_crowded(self, service: str, *, now_s: float) -> bool:
        """Returns whether requests run only where their object belongs."""
        return self._held_utilisation(service, now_s) > choosing.CROWDED_USE

    def _held_utilisation(self, service: str, now_s: float) -> float:
        """Returns the utilisation, or the last one at which it was crowded.

        Old reports show a crowded service as free after entries held back, and
        all entries would send at once to what they see as free.
        """
        utilisation = self._fleet.utilisation(service, now_s=now_s)
        if utilisation > choosing.CROWDED_USE:
            self._crowded[service] = (now_s, utilisation)
            return utilisation
        at_s, crowded = self._crowded.get(service, (-math.inf, 0.0))
        if now_s - at_s < CROWDED_HOLD_S:
            return crowded
        return utilisation

    def own_rate_per_s(self, request: PlacementRequest) -> float:
        """Returns an entry's part of the requests that a service can finish.

        It is what the slots finish if all objects are cached.
        """
        slots = 0
        for upstream in self._fleet.eligible_upstreams(request.service):
            slots += upstream.record.slots
        times = self._run_times.expected(
            route=request.route.name,
            target_latency_s=request.route.target_latency_s,
        )
        entries = len(self._fleet.entry_names)
        return slots / max(0.001, times.cached_s) / entries

    def limits_refuse(
        self, request: PlacementRequest, *, excluded_regions: frozenset[str]
    ) -> bool:
        """Returns whether limits alone keep a request from all upstreams.

        Args:
          request: the request.
          excluded_regions: regions that were excluded at its last placement.
        """
        refused = request.limit_refusals.upstreams
        if not refused:
            return False
        regions = request.route.allowed_regions
        for upstream in self._fleet.eligible_upstreams(request.service):
            if regions and upstream.region not in regions:
                continue
            if upstream.region in excluded_regions:
                continue
            upstream_id = upstream.record.upstream_id
            if upstream_id not in refused and upstream_id not in request.tried:
                return False
        return True

    def rest_ends_s(
        self, request: PlacementRequest, *, now_s: float
    ) -> float | None:
        """Returns when the first upstream takes a request again.

        Args:
          request: the request.
          now_s: the entry's clock, in seconds.

        Returns:
          A time on the entry's clock, in seconds; None unless rests keep the
          request from all upstreams, except those that are unreachable or at
          their limits.
        """
        first_s = math.inf
        rests = False
        refused = request.limit_refusals.upstreams
        regions = request.route.allowed_regions
        for upstream in self._fleet.eligible_upstreams(request.service):
            if regions and upstream.region not in regions:
                continue
            if upstream.rest.is_running(now_s=now_s):
                rests = True
                first_s = min(first_s, upstream.rest.resumes_s)
                continue
            upstream_id = upstream.record.upstream_id
            if upstream_id in refused or upstream_id in request.avoided:
                continue
            if not upstream.is_unreachable:
                return None
        if not rests:
            return None
        if refused:
            limit_s = now_s + request.limit_refusals.retry_after_s
            first_s = min(first_s, limit_s)
        return first_s

    def assign_return_s(
        self, request: PlacementRequest, *, opens_s: float
    ) -> float:
        """Returns when the caller of a refused request should return.

        Args:
          request: the request.
          opens_s: when the first upstream takes a request again, on the entry's
            clock, in seconds.
        """
        slots = 0
        for upstream in self._fleet.eligible_upstreams(request.service):
            slots += upstream.record.slots
        run_s = self._run_times.service_run_s(
            service=request.service,
            default_s=request.route.target_latency_s,
        )
        entries = len(self._fleet.entry_names)
        return self._returns.assign(
            service=request.service,
            opens_s=opens_s,
            interval_s=entries * run_s / max(1, slots),
        )

    def _shortest_target_s(self, request: PlacementRequest) -> float:
        table = self._fleet.table
        if table is None:
            return request.route.target_latency_s
        return table.shortest_target_s(request.service)

    def _cached_upstreams(
        self, request: PlacementRequest, now_s: float
    ) -> frozenset[int]:
        object_name = object_hash(
            service=request.service, key=request.object_name
        )
        upstreams = self._cached_locations.upstreams_for(
            object_name, now_s=now_s
        )
        return frozenset(filter(self._fleet.is_eligible, upstreams))

    def _limits(self, now_s: float) -> RegionLimits:
        version = self._fleet.eligible_version
        if version != self._eligible_version:
            self._eligible_version = version
            self._region_limiter.record_disruption(now_s=now_s)
        return self._region_limiter.limits(now_s=now_s)

    def _place_suspect(
        self, request: PlacementRequest, now_s: float
    ) -> PlacementDecision:
        """Places a request that may crash upstreams where all entries do."""
        regions = request.route.allowed_regions
        order = shared_order(
            key=request.key,
            upstreams=self._fleet.eligible_upstreams(request.service),
            possibly_crashed=request.possibly_crashed,
        )
        for upstream in order:
            if regions and upstream.region not in regions:
                continue
            if not upstream.is_unreachable:
                choice = self._select(request, frozenset(), now_s, [upstream])
                return PlacementDecision(choice, frozenset())
            if now_s - upstream.unreachable_at_s <= UNCONFIRMED_TTL_S:
                # Another entry may have lost it there without having reported
                # the loss yet.
                return PlacementDecision(None, frozenset(), pending=True)
        return PlacementDecision(None, frozenset())

    def _select(
        self,
        request: PlacementRequest,
        excluded: frozenset[str],
        now_s: float,
        order: list[UpstreamState] | None = None,
    ) -> Choice | None:
        """Returns the best upstream for a request.

        A request on its last tries goes to one that may ask for rest again only
        if there is no other.
        """
        criteria = self._criteria(request, excluded, now_s)
        is_last = request.has_one_try or bool(request.tried)
        if is_last and self._fleet.has_returning():
            choice = self._select_allowed(
                request, criteria._replace(avoids_returning=True), order
            )
            if choice is not None:
                return choice
        return self._select_allowed(request, criteria, order)

    def _select_allowed(
        self,
        request: PlacementRequest,
        criteria: SelectionCriteria,
        order: list[UpstreamState] | None,
    ) -> Choice | None:
        """Returns the best upstream whose limit allows the request."""
        refusals = request.limit_refusals
        if order is None:
            order = self._fleet.order(
                service=request.service, key=request.object_name
            )
        for _ in range(MAX_LIMITS_ASKED):
            if refusals.upstreams:
                criteria = criteria._replace(
                    tried={*criteria.tried, *refusals.upstreams}
                )
            choice = select_upstream(
                order=order,
                criteria=criteria,
                cold_start_limiter=self._cold_start_limiter,
            )
            if choice is None:
                return None
            decision = self._upstream_limiter.acquire(
                choice.upstream, now_s=criteria.now_s
            )
            if decision.granted:
                return choice
            refusals.record(
                choice.upstream.record.upstream_id,
                retry_after_s=decision.retry_after_s,
            )
        return None

    def _criteria(
        self,
        request: PlacementRequest,
        excluded: frozenset[str],
        now_s: float,
    ) -> SelectionCriteria:
        assert self._fleet.table is not None
        services = self._fleet.table.configuration.services
        route = request.route
        times = self._run_times
        age_s = now_s - request.arrived_s
        service_run_s = times.service_run_s(
            service=request.service, default_s=route.target_latency_s
        )
        may_be_late = False
        if request.max_queue_runs is not None:
            max_queue_s = request.max_queue_runs * service_run_s
            utilisation = self._held_utilisation(request.service, now_s)
        else:
            max_queue_s = entry_waits.max_queue_s(
                target_latency_s=route.target_latency_s,
                shortest_target_s=self._shortest_target_s(request),
                age_s=age_s,
            )
            utilisation = self._fleet.utilisation(
                request.service,
                now_s=now_s,
                regions=frozenset(
                    route.allowed_regions if request.leaves_regions else ()
                ),
            )
            may_be_late = request.has_returned and self.is_crowded(
                request.service, now_s=now_s
            )
            if may_be_late:
                max_queue_s = entry_waits.max_returned_queue_s(
                    shortest_target_s=self._shortest_target_s(request)
                )
        return SelectionCriteria(
            route=route,
            service=services.get(request.service),
            tried={*request.tried, *request.avoided},
            cached_upstreams=self._cached_upstreams(request, now_s),
            run_times=times.expected(
                route=route.name, target_latency_s=route.target_latency_s
            ),
            service_run_s=service_run_s,
            utilisation=utilisation,
            target_left_s=route.target_latency_s - age_s,
            remaining_s=request.deadline_s - now_s,
            round_trips_s=self._round_trips_s,
            entry_names=self._fleet.sharing_names(now_s=now_s),
            joined=self._fleet.joined(now_s=now_s),
            peer_loads_complete=self._fleet.peer_loads_complete,
            excluded_regions=excluded,
            now_s=now_s,
            max_queue_s=max_queue_s,
            max_queue_runs=request.max_queue_runs,
            entry_seed=self._fleet.own_seed,
            may_be_late=may_be_late,
        )
