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
from almondstair.core.known_regions import KnownRegions
from almondstair.core.model import Configuration
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.policies import POLICIES
from almondstair.core.policies import RegionView
from almondstair.core.policies import RegionWeight
from almondstair.core.policies import SteeringInput
from almondstair.core.steering_records import DEFAULT_LIMITS
from almondstair.core.steering_records import Flow
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
# Work that is tried even where no slot is reported free: admission beside the
# upstreams knows better than a report that lags.
ALWAYS_TRIED = (Priority.INTERACTIVE, Priority.COMMIT)


class Steering:
    """The weights in force.

    Attributes:
      regions: what is known of the regions.
    """

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
        self._flows: dict[Flow, WeightsInForce] = {}
        self._configuration = configuration
        self.regions = KnownRegions(
            configuration=configuration, report_limit_s=limits.report_limit_s
        )

    def configure(self, *, configuration: Configuration) -> None:
        """Takes a new configuration; weights go on from where they are."""
        self._configuration = configuration
        self.regions.configure(configuration=configuration)
        for flow in list(self._flows):
            if flow.service not in configuration.services:
                del self._flows[flow]

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
            distance_ms = self.regions.distance_ms(
                availability_zone=flow.availability_zone, region=weight.region
            )
            if weight.weight <= ramps.NEGLIGIBLE:
                if distance_ms > profile.latency_bound_ms:
                    continue
            totals = self.regions.totals(
                region=weight.region, service=flow.service, now_s=now_s
            )
            kept_free = totals.slots * KEPT_FRACTION[flow.priority]
            if follows_load and totals.known:
                if totals.free_slots <= kept_free:
                    continue
            room.append(weight.region)
        return room

    def _profile(self, *, service: str) -> Profile:
        name = self._configuration.services[service].profile
        return self._configuration.profiles[name]

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
        for region in self.regions.live(flow=flow, now_s=now_s):
            slots = self.regions.configured_slots(
                region=region, service=flow.service
            )
            view = self.regions.view(
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
            if not self.regions.is_live(
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
        live = self.regions.live(flow=flow, now_s=now_s)
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
            if self.regions.is_failing(
                region=region, service=flow.service, now_s=now_s
            ):
                continue
            totals = self.regions.totals(
                region=region, service=flow.service, now_s=now_s
            )
            if totals.known:
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
                totals = self.regions.totals(
                    region=region, service=flow.service, now_s=now_s
                )
                view = self.regions.view(
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
            if self.regions.is_failing(
                region=region, service=flow.service, now_s=now_s
            ):
                held = cut.get(region, 0.0)
                cut[region] = min(held, self._limits.floor_weight)
        return ramps.abandoned(
            current=cut, live=live, heirs=trusted, target=target
        )


def _by_weight(weight: RegionWeight) -> float:
    return weight.weight
