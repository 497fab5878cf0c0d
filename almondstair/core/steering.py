"""Chooses the region that a request is sent to.

Three rules stand between a policy's target and what is done:

* a weight grows by at most the profile's ramp a second, since moved traffic
  lands on cold caches;
* a region whose reports are older than the limit is unknown: its weight halves
  again and again down to a floor and never grows;
* a region without live entries or upstreams, or whose answers nearly all
  fail, is left at once; the others take over its weight, and each takes only
  work for which it has free slots, low priority refused first.
"""

from almondstair.core import ramps
from almondstair.core.admission import KEPT_FRACTION
from almondstair.core.health import HealthTable
from almondstair.core.loads import RegionLoad
from almondstair.core.loads import configured_slots
from almondstair.core.model import Configuration
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.policies import POLICIES
from almondstair.core.policies import RegionView
from almondstair.core.policies import RegionWeight
from almondstair.core.policies import SteeringInput
from almondstair.core.steering_records import DEFAULT_LIMITS
from almondstair.core.steering_records import Flow
from almondstair.core.steering_records import RegionStatus
from almondstair.core.steering_records import SteeringLimits
from almondstair.core.steering_records import WeightsInForce

STEP_INTERVAL_S = 0.05
# A pause of this process is no licence to move much at once afterwards.
MAX_STEP_S = 1.0
# A process that starts hears its regions one after another, and the first one
# heard would get all the work and give it back by the ramp only: callers would
# be served from far away for seconds after each start. Until a flow is this
# old its weights follow their target at once; they have no history to keep.
SETTLING_S = 3.0
# A region that fails this part of its answers is left like a lost one.
FAILED_AS_LOST = 0.8
# Work that is tried even where no slot is reported free: admission beside the
# upstreams knows better than a report that lags.
ALWAYS_TRIED = (Priority.INTERACTIVE, Priority.COMMIT)


class Steering:
    """Views of all regions and the weights in force."""

    def __init__(
        self,
        *,
        configuration: Configuration,
        limits: SteeringLimits = DEFAULT_LIMITS,
    ) -> None:
        """Makes steering that knows the configuration and no load yet.

        Args:
          configuration: regions, links, upstreams, services and profiles.
          limits: constants.
        """
        self._limits = limits
        self._loads: dict[tuple[str, str], RegionLoad] = {}
        self._flows: dict[Flow, WeightsInForce] = {}
        self._lost: set[str] = set()
        self._link_headroom: dict[tuple[str, str], float] = {}
        self._latency_ms: dict[tuple[str, str], float] = {}
        self._health = HealthTable()
        self.configure(configuration=configuration)

    def configure(self, *, configuration: Configuration) -> None:
        """Takes a new configuration; weights go on from where they are."""
        self._configuration = configuration
        self._latency_ms.clear()
        loads: dict[tuple[str, str], RegionLoad] = {}
        slots_by_key = configured_slots(configuration=configuration)
        for key, slots in slots_by_key.items():
            load = self._loads.get(key)
            if load is None:
                load = RegionLoad(
                    configured_slots=slots, limit_s=self._limits.report_limit_s
                )
            load.configured_slots = slots
            loads[key] = load
        self._loads = loads
        for flow in list(self._flows):
            if flow.service not in configuration.services:
                del self._flows[flow]

    def observe(
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
        """Takes a load report; one on an unknown region or service is dropped.

        Args:
          region: region reported on.
          service: service reported on.
          source: who reports; sources of one region add up.
          slots: slots of the service that the source answers for.
          free_slots: free ones among them.
          age_s: age of the measurement when it arrived.
          now_s: now.
          limit_s: age at which this report no longer counts, for digests that
            take long over several relays; None for the usual limit.
        """
        load = self._loads.get((region, service))
        if load is None:
            return
        load.report(
            source=source,
            slots=slots,
            free_slots=free_slots,
            measured_s=now_s - age_s,
            limit_s=limit_s,
        )

    def forget_source(self, *, source: str) -> None:
        """Drops the reports of an entry that left the entry table."""
        for load in self._loads.values():
            load.forget(source=source)

    def observe_link(
        self, *, availability_zone: str, region: str, headroom: float
    ) -> None:
        """Takes the unused part of a link's cap, 0 to 1."""
        self._link_headroom[(availability_zone, region)] = headroom

    def region_lost(self, *, region: str) -> None:
        """Leaves a region at once: all its entries are silent or gone."""
        self._lost.add(region)

    def region_back(self, *, region: str) -> None:
        """Lets a region take work again; its weight grows from nothing."""
        self._lost.discard(region)

    def sent(self, *, region: str, service: str) -> None:
        """Counts a request sent to a region."""
        load = self._loads.get((region, service))
        if load is not None:
            load.sent()

    def returned(self, *, region: str, service: str) -> None:
        """Counts the end of a request that tells nothing of the region.

        A caller that left, or whose own deadline was too short, or a claim
        that the platform did not answer, is no fault of the region.
        """
        load = self._loads.get((region, service))
        if load is not None:
            load.returned()

    def answered(
        self,
        *,
        region: str,
        service: str,
        priority: Priority,
        request_class: str,
        latency_ms: float,
        now_s: float,
    ) -> None:
        """Counts a whole answer of a region."""
        self.returned(region=region, service=service)
        self._health.accepted(
            name=_refusals_name(region, service, priority), now_s=now_s
        )
        self._health.answered(
            name=_health_name(region, service),
            request_class=request_class,
            latency_ms=latency_ms,
            now_s=now_s,
        )

    def refused(
        self, *, region: str, service: str, priority: Priority, now_s: float
    ) -> None:
        """Counts a refusal by a region: certainly not run.

        Refusals count by priority, since low priority is refused first and
        that says nothing about the room for higher ones.
        """
        self.returned(region=region, service=service)
        name = _refusals_name(region, service, priority)
        self._health.refused(name=name, now_s=now_s)

    def failed(self, *, region: str, service: str, now_s: float) -> None:
        """Counts a failed, lost or late answer of a region."""
        self.returned(region=region, service=service)
        name = _health_name(region, service)
        self._health.failed(name=name, now_s=now_s)

    def choose(
        self,
        *,
        service: str,
        priority: Priority,
        availability_zone: str,
        now_s: float,
        draw: float,
    ) -> tuple[str, ...]:
        """Returns the regions to try, the chosen one first.

        Args:
          service: a configured service.
          priority: priority of the request.
          availability_zone: zone of the caller.
          now_s: now.
          draw: uniform in [0, 1).

        Returns:
          The chosen region, then those with room for work of this priority.
          Only the chosen one when it has no room for work that is not always
          tried. Empty when no region is live.
        """
        weights = self.weights(
            service=service,
            availability_zone=availability_zone,
            now_s=now_s,
            priority=priority,
        )
        if not weights:
            return ()
        # Drawn from all regions and not only from those with room. Were the
        # weight of a full region handed to the others here, all the work
        # would land on their cold caches at once, past the ramp.
        chosen = ramps.drawn(weights=list(weights), draw=draw)
        order = [chosen]
        room = self._with_room(
            flow=Flow(service, availability_zone, priority),
            weights=weights,
            now_s=now_s,
        )
        if chosen not in room and priority not in ALWAYS_TRIED:
            # Not refused here: a report is up to a heartbeat old, and slots
            # come free meanwhile. Admission beside the upstreams holds the
            # reserve back for what goes before, and queues for a moment.
            return (chosen,)
        for region in room:
            if region != chosen:
                order.append(region)
        return tuple(order)

    def weights(
        self,
        *,
        service: str,
        availability_zone: str,
        now_s: float,
        priority: Priority = Priority.INTERACTIVE,
    ) -> tuple[RegionWeight, ...]:
        """Returns the weights in force for live regions, heaviest first."""
        flow = Flow(service, availability_zone, priority)
        in_force = self._flows.get(flow)
        if in_force is None:
            in_force = WeightsInForce(
                weights=self._initial(flow=flow, now_s=now_s), started_s=now_s
            )
            self._flows[flow] = in_force
        due = now_s - in_force.stepped_s >= STEP_INTERVAL_S
        if due or self._holds_lost(flow=flow, in_force=in_force, now_s=now_s):
            self._step(flow=flow, in_force=in_force, now_s=now_s)
        live: list[RegionWeight] = []
        for region, weight in in_force.weights.items():
            live.append(RegionWeight(region, weight))
        live.sort(key=_by_weight, reverse=True)
        return tuple(live)

    def status(self, *, service: str, now_s: float) -> tuple[RegionStatus, ...]:
        """Returns every region of a service with the age of its report."""
        rows: list[RegionStatus] = []
        for region in self._configuration.regions:
            load = self._loads[(region, service)]
            totals = load.totals(now_s=now_s)
            name = _health_name(region, service)
            row = RegionStatus(
                region=region,
                live=self._is_live(region=region, service=service, now_s=now_s),
                known=totals.known,
                age_s=load.youngest_age_s(now_s=now_s),
                slots=totals.slots,
                free_slots=totals.free_slots,
                health=self._health.view(name=name, now_s=now_s),
            )
            rows.append(row)
        return tuple(rows)

    def _is_live(self, *, region: str, service: str, now_s: float) -> bool:
        if region in self._lost:
            return False
        load = self._loads.get((region, service))
        if load is None or load.configured_slots == 0:
            return False
        return load.totals(now_s=now_s).slots > 0

    def _with_room(
        self, *, flow: Flow, weights: tuple[RegionWeight, ...], now_s: float
    ) -> list[str]:
        """Returns the regions with room for the flow's work, heaviest first.

        A region that nothing is known of counts as having room; one without
        weight and beyond the latency bound does not.
        """
        profile = self._profile(service=flow.service)
        follows_load = POLICIES[profile.policy].follows_load
        room: list[str] = []
        for weight in weights:
            distance_ms = self._distance_ms(
                availability_zone=flow.availability_zone, region=weight.region
            )
            if weight.weight <= ramps.NEGLIGIBLE:
                if distance_ms > profile.latency_bound_ms:
                    continue
            load = self._loads[(weight.region, flow.service)]
            totals = load.totals(now_s=now_s)
            kept_free = totals.slots * KEPT_FRACTION[flow.priority]
            if follows_load and totals.known:
                if totals.free_slots <= kept_free:
                    continue
            room.append(weight.region)
        return room

    def _profile(self, *, service: str) -> Profile:
        name = self._configuration.services[service].profile
        return self._configuration.profiles[name]

    def _distance_ms(self, *, availability_zone: str, region: str) -> float:
        key = (availability_zone, region)
        known_ms = self._latency_ms.get(key)
        if known_ms is not None:
            return known_ms
        distance_ms = float("inf")
        link = self._configuration.link(
            availability_zone=availability_zone, region=region
        )
        if link is not None:
            distance_ms = link.latency_ms
        own = self._configuration.region_of(availability_zone=availability_zone)
        if region == own:
            distance_ms = 0.0
        self._latency_ms[key] = distance_ms
        return distance_ms

    def _live_regions(self, *, flow: Flow, now_s: float) -> list[str]:
        """Returns the live regions, nearest first."""
        distances: list[tuple[float, str]] = []
        for region in self._configuration.regions:
            if not self._is_live(
                region=region, service=flow.service, now_s=now_s
            ):
                continue
            distance_ms = self._distance_ms(
                availability_zone=flow.availability_zone, region=region
            )
            distances.append((distance_ms, region))
        distances.sort()
        regions: list[str] = []
        for _, region in distances:
            regions.append(region)
        return regions

    def _view(
        self,
        *,
        region: str,
        flow: Flow,
        slots: float,
        free_slots: float,
        now_s: float,
    ) -> RegionView:
        """Returns a region as work of this priority sees it."""
        answers = self._health.view(
            name=_health_name(region, flow.service), now_s=now_s
        )
        refusals = self._health.view(
            name=_refusals_name(region, flow.service, flow.priority),
            now_s=now_s,
        )
        kept_free = slots * KEPT_FRACTION[flow.priority]
        link_key = (flow.availability_zone, region)
        return RegionView(
            region=region,
            latency_ms=self._distance_ms(
                availability_zone=flow.availability_zone, region=region
            ),
            slots=slots - kept_free,
            free_slots=max(0.0, free_slots - kept_free),
            health=answers.factor * refusals.factor,
            link_headroom=self._link_headroom.get(link_key, 1.0),
        )

    def _policy_weights(
        self, *, flow: Flow, views: list[RegionView]
    ) -> ramps.Weights:
        profile = self._profile(service=flow.service)
        rows = POLICIES[profile.policy].weights(
            request=SteeringInput(
                views=tuple(views),
                headroom_fraction=profile.headroom_fraction,
                latency_bound_ms=profile.latency_bound_ms,
            )
        )
        weights: ramps.Weights = {}
        for row in rows:
            weights[row.region] = row.weight
        return weights

    def _initial(self, *, flow: Flow, now_s: float) -> ramps.Weights:
        """Returns the weights to start from: the policy on configured slots.

        Nothing has been heard yet, so this is a place to start and not a
        claim that the regions are idle: until reports come, nothing grows.
        """
        views: list[RegionView] = []
        for region in self._live_regions(flow=flow, now_s=now_s):
            slots = self._loads[(region, flow.service)].configured_slots
            view = self._view(
                region=region,
                flow=flow,
                slots=slots,
                free_slots=slots,
                now_s=now_s,
            )
            views.append(view)
        return self._policy_weights(flow=flow, views=views)

    def _holds_lost(
        self, *, flow: Flow, in_force: WeightsInForce, now_s: float
    ) -> bool:
        """Returns whether a region that is not live still has weight."""
        for region in in_force.weights:
            if not self._is_live(
                region=region, service=flow.service, now_s=now_s
            ):
                return True
        return False

    def _step(
        self, *, flow: Flow, in_force: WeightsInForce, now_s: float
    ) -> None:
        """Moves the weights of a flow on to now."""
        elapsed_s = min(MAX_STEP_S, now_s - in_force.stepped_s)
        in_force.stepped_s = now_s
        live = self._live_regions(flow=flow, now_s=now_s)
        if not live:
            in_force.weights = {}
            return
        profile = self._profile(service=flow.service)
        if not POLICIES[profile.policy].follows_load:
            in_force.weights = self._initial(flow=flow, now_s=now_s)
            return
        trusted = self._trusted_regions(flow=flow, live=live, now_s=now_s)
        target = self._target(
            flow=flow,
            live=live,
            trusted=trusted,
            current=in_force.weights,
            elapsed_s=elapsed_s,
            now_s=now_s,
        )
        start = self._left_at_once(
            flow=flow,
            live=live,
            trusted=trusted,
            current=in_force.weights,
            target=target,
            now_s=now_s,
        )
        growth = profile.ramp_fraction_per_s * elapsed_s
        if now_s - in_force.started_s < SETTLING_S:
            growth = 1.0
        in_force.weights = ramps.ramped(
            start=start, target=target, growth=growth
        )

    def _trusted_regions(
        self, *, flow: Flow, live: list[str], now_s: float
    ) -> list[str]:
        """Returns the live regions that are neither silent nor failing."""
        trusted: list[str] = []
        for region in live:
            if self._is_failing(
                region=region, service=flow.service, now_s=now_s
            ):
                continue
            load = self._loads[(region, flow.service)]
            if load.totals(now_s=now_s).known:
                trusted.append(region)
        return trusted

    def _target(
        self,
        *,
        flow: Flow,
        live: list[str],
        trusted: list[str],
        current: ramps.Weights,
        elapsed_s: float,
        now_s: float,
    ) -> ramps.Weights:
        """Returns where the weights should go, summing to one."""
        if not trusted:
            return ramps.kept(current=current, regions=live)
        target: ramps.Weights = {}
        left = 1.0
        views: list[RegionView] = []
        for region in live:
            if region in trusted:
                load = self._loads[(region, flow.service)]
                totals = load.totals(now_s=now_s)
                view = self._view(
                    region=region,
                    flow=flow,
                    slots=totals.slots,
                    free_slots=totals.free_slots,
                    now_s=now_s,
                )
                views.append(view)
                continue
            target[region] = ramps.decayed(
                weight=current.get(region, 0.0),
                floor=self._limits.floor_weight,
                elapsed_s=elapsed_s,
                half_life_s=self._limits.decay_half_life_s,
            )
            left -= target[region]
        weights = self._policy_weights(flow=flow, views=views)
        for region, weight in weights.items():
            target[region] = weight * max(0.0, left)
        return target

    def _left_at_once(
        self,
        *,
        flow: Flow,
        live: list[str],
        trusted: list[str],
        current: ramps.Weights,
        target: ramps.Weights,
        now_s: float,
    ) -> ramps.Weights:
        """Returns the weights after lost and failing regions were left.

        A failing region keeps the floor, so that its recovery is noticed.
        While no region is trusted there is nowhere better to go.
        """
        cut = dict(current)
        for region in live:
            if not trusted:
                break
            if self._is_failing(
                region=region, service=flow.service, now_s=now_s
            ):
                held = cut.get(region, 0.0)
                cut[region] = min(held, self._limits.floor_weight)
        return ramps.abandoned(
            current=cut, live=live, heirs=trusted, target=target
        )

    def _is_failing(self, *, region: str, service: str, now_s: float) -> bool:
        name = _health_name(region, service)
        view = self._health.view(name=name, now_s=now_s)
        return view.failed >= FAILED_AS_LOST


def _health_name(region: str, service: str) -> str:
    return f"{region}/{service}"


def _refusals_name(region: str, service: str, priority: Priority) -> str:
    return f"{region}/{service}/{priority}"


def _by_weight(weight: RegionWeight) -> float:
    return weight.weight
