"""Chooses the region that a request is sent to.

Three rules limit how the weights follow a policy's target:

* A weight grows by at most the profile's ramp per second, since moved traffic
  meets cold caches.
* A region whose reports are older than the limit is unknown: its weight halves
  repeatedly down to a floor and never grows.
* A region without live entries or upstreams, or whose answers nearly all fail,
  is abandoned at once. The others take over its weight, but each accepts only
  work for which it has free slots and refuses low priorities first.
"""

from almondstair.core import ramps
from almondstair.core.admission import HELD_BACK_FRACTION
from almondstair.core.model import Configuration
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.policies import POLICIES
from almondstair.core.policies import PolicyInput
from almondstair.core.policies import RegionView
from almondstair.core.policies import RegionWeight
from almondstair.core.region_states import RegionStates
from almondstair.core.steering_records import DEFAULT_LIMITS
from almondstair.core.steering_records import Flow
from almondstair.core.steering_records import SteeringLimits
from almondstair.core.steering_records import WeightsInForce

STEP_INTERVAL_S = 0.05
# Limits how far weights move at once after a pause of this process.
MAX_STEP_S = 1.0
# After a start, reports of the regions arrive one after another. The first
# region to report would get all work and return it only as fast as the ramp
# allows, and callers would be served from remote regions for seconds. Until a
# flow is this old, its weights follow the target without a ramp, since no
# earlier distribution has to be preserved.
SETTLING_S = 3.0
# Priorities that are tried even where no slot is reported free, since reports
# lag and admission next to the upstreams has the current state.
ALWAYS_TRIED_PRIORITIES = (Priority.INTERACTIVE, Priority.COMMIT)


class Steering:
    """Holds the weights in force and chooses regions by them.

    Attributes:
      regions: state of the regions.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        limits: SteeringLimits = DEFAULT_LIMITS,
    ) -> None:
        """Starts without load reports.

        Args:
          configuration: regions, links, upstreams, services and profiles.
          limits: constants of steering.
        """
        self._limits = limits
        self._flows: dict[Flow, WeightsInForce] = {}
        self._configuration = configuration
        self.regions = RegionStates(
            configuration=configuration, report_limit_s=limits.report_limit_s
        )

    def configure(self, *, configuration: Configuration) -> None:
        """Applies a new configuration; weights in force are kept."""
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
          availability_zone: availability zone of the caller.
          now_s: monotonic time.
          draw: random number, uniform in [0, 1).

        Returns:
          The chosen region, then those with capacity for this priority. Only
          the chosen one if it has no capacity and the priority is not always
          tried. Empty if no region is live.
        """
        weights = self.weights(
            service=service,
            availability_zone=availability_zone,
            now_s=now_s,
            priority=priority,
        )
        if not weights:
            return ()
        # Drawn from all regions, not only from those with capacity. Otherwise
        # the weight of a full region would move to the others at once, onto
        # cold caches, bypassing the ramp.
        chosen = ramps.draw_region(weights=list(weights), draw=draw)
        order = [chosen]
        with_capacity = self._regions_with_capacity(
            flow=Flow(service, availability_zone, priority),
            weights=weights,
            now_s=now_s,
        )
        if (
            chosen not in with_capacity
            and priority not in ALWAYS_TRIED_PRIORITIES
        ):
            # Not refused here: a report is up to a heartbeat interval old, and
            # slots may have become free. Admission next to the upstreams
            # reserves slots for higher priorities and queues briefly.
            return (chosen,)
        for region in with_capacity:
            if region != chosen:
                order.append(region)
        if priority in ALWAYS_TRIED_PRIORITIES:
            self._append_own_region(
                order, weights=weights, availability_zone=availability_zone
            )
        return tuple(order)

    def _append_own_region(
        self,
        order: list[str],
        *,
        weights: tuple[RegionWeight, ...],
        availability_zone: str,
    ) -> None:
        """Appends the caller's region if it is live and not in the order.

        Its report may be older than its free slots, and its admission is asked
        without crossing a link.
        """
        for weight in weights:
            distance_ms = self.regions.distance_ms(
                availability_zone=availability_zone, region=weight.region
            )
            if distance_ms == 0.0 and weight.region not in order:
                order.append(weight.region)

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
                weights=self._initial_weights(flow=flow, now_s=now_s),
                started_s=now_s,
            )
            self._flows[flow] = in_force
        due = now_s - in_force.stepped_s >= STEP_INTERVAL_S
        if due or self._has_weight_on_lost_region(
            flow=flow, in_force=in_force, now_s=now_s
        ):
            self._step(flow=flow, in_force=in_force, now_s=now_s)
        live: list[RegionWeight] = []
        for region, weight in in_force.weights.items():
            live.append(RegionWeight(region, weight))
        live.sort(key=_weight_of, reverse=True)
        return tuple(live)

    def _regions_with_capacity(
        self, *, flow: Flow, weights: tuple[RegionWeight, ...], now_s: float
    ) -> list[str]:
        """Returns the regions with capacity for a flow, heaviest first.

        A region without known load counts as having capacity; one without
        weight and beyond the latency bound does not.
        """
        profile = self._profile(service=flow.service)
        follows_load = POLICIES[profile.policy].follows_load
        with_capacity: list[str] = []
        for weight in weights:
            distance_ms = self.regions.distance_ms(
                availability_zone=flow.availability_zone, region=weight.region
            )
            if weight.weight <= ramps.NEGLIGIBLE_WEIGHT:
                if distance_ms > profile.latency_bound_ms:
                    continue
            totals = self.regions.totals(
                region=weight.region, service=flow.service, now_s=now_s
            )
            reserved_slots = totals.slots * HELD_BACK_FRACTION[flow.priority]
            if follows_load and totals.known:
                if totals.free_slots <= reserved_slots:
                    continue
            with_capacity.append(weight.region)
        return with_capacity

    def _profile(self, *, service: str) -> Profile:
        name = self._configuration.services[service].profile
        return self._configuration.profiles[name]

    def _policy_weights(
        self, *, flow: Flow, views: list[RegionView]
    ) -> ramps.Weights:
        profile = self._profile(service=flow.service)
        rows = POLICIES[profile.policy].weights(
            policy_input=PolicyInput(
                views=tuple(views),
                headroom_fraction=profile.headroom_fraction,
                latency_bound_ms=profile.latency_bound_ms,
            )
        )
        weights: ramps.Weights = {}
        for row in rows:
            weights[row.region] = row.weight
        return weights

    def _initial_weights(self, *, flow: Flow, now_s: float) -> ramps.Weights:
        """Returns the initial weights: the policy on the configured slots.

        The policy input assumes idle regions, but only for the start: no weight
        grows until load reports arrive.
        """
        views: list[RegionView] = []
        for region in self.regions.live_regions(flow=flow, now_s=now_s):
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

    def _has_weight_on_lost_region(
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
        """Advances the weights of a flow to the present."""
        elapsed_s = min(MAX_STEP_S, now_s - in_force.stepped_s)
        in_force.stepped_s = now_s
        live = self.regions.live_regions(flow=flow, now_s=now_s)
        if not live:
            in_force.weights = {}
            return
        profile = self._profile(service=flow.service)
        if not POLICIES[profile.policy].follows_load:
            in_force.weights = self._initial_weights(flow=flow, now_s=now_s)
            return
        trusted = self._trusted_regions(flow=flow, live=live, now_s=now_s)
        target = self._target_weights(
            flow=flow,
            live=live,
            trusted=trusted,
            current=in_force.weights,
            elapsed_s=elapsed_s,
            now_s=now_s,
        )
        start = self._weights_without_lost_regions(
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
        in_force.weights = ramps.ramp_towards_target(
            start=start, target=target, growth=growth
        )

    def _trusted_regions(
        self, *, flow: Flow, live: list[str], now_s: float
    ) -> list[str]:
        """Returns the live regions with known load that are not failing."""
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

    def _target_weights(
        self,
        *,
        flow: Flow,
        live: list[str],
        trusted: list[str],
        current: ramps.Weights,
        elapsed_s: float,
        now_s: float,
    ) -> ramps.Weights:
        """Returns the target weights, which sum to one."""
        if not trusted:
            return ramps.renormalize(current=current, regions=live)
        target: ramps.Weights = {}
        unassigned = 1.0
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
            target[region] = ramps.decay_weight(
                weight=current.get(region, 0.0),
                floor=self._limits.floor_weight,
                elapsed_s=elapsed_s,
                half_life_s=self._limits.decay_half_life_s,
            )
            unassigned -= target[region]
        weights = self._policy_weights(flow=flow, views=views)
        for region, weight in weights.items():
            target[region] = weight * max(0.0, unassigned)
        return target

    def _weights_without_lost_regions(
        self,
        *,
        flow: Flow,
        live: list[str],
        trusted: list[str],
        current: ramps.Weights,
        target: ramps.Weights,
        now_s: float,
    ) -> ramps.Weights:
        """Returns the weights after lost and failing regions are abandoned.

        A failing region keeps at most the floor weight, so that its recovery
        is noticed. If no region is trusted, failing regions keep their weight,
        since no other region is better.
        """
        reduced = dict(current)
        for region in live:
            if not trusted:
                break
            if self.regions.is_failing(
                region=region, service=flow.service, now_s=now_s
            ):
                weight = reduced.get(region, 0.0)
                reduced[region] = min(weight, self._limits.floor_weight)
        return ramps.redistribute_lost_weight(
            current=reduced, live=live, recipients=trusted, target=target
        )


def _weight_of(weight: RegionWeight) -> float:
    return weight.weight
