"""Moves keys from upstreams with a queue to those with free slots.

When the traffic of one region grows, its upstreams hold two to three times
their slots while others of the same service have free slots. A single request
does not move: an uncached run costs more than one wait, although all later
requests for the key would be spared the wait. Requests that move one by one
would spread each object over many upstreams.

So whole keys move: a plan gives each upstream a weight in the order of keys.
One entry computes it from the loads that all entries report, and all entries
use the same plan, so that a key moves for all of them at once.
"""

from collections.abc import Container, Iterable, Mapping
import math
from typing import NamedTuple

from almondstair.core.upstream_state import UpstreamState

# Interval between two steps of a plan, and time constant of the smoothed loads.
# Requests run for a few tenths of a second, so the effect of a step shows in
# the loads before the next one. With older loads a queue that has ended still
# counts, keys keep leaving its upstream, and the next queue builds up where
# they went: upstreams alternate between two to three times their slots and
# spare capacity. Larger steps from loads of that age widen the oscillation.
STEP_INTERVAL_S = 0.3
LOAD_SMOOTHING_S = 0.3
# Load as a multiple of the slots above which an upstream hands over keys, below
# which it regains its own, and below which it accepts keys of others.
QUEUED = 1.3
MAX_REGAIN_LOAD = 0.8
MAX_ACCEPT_LOAD = 0.6
# A queue shrinks if the load is at most this part of the load before the step.
SHRINKING_QUEUE_RATIO = 0.97
# Factors of one step. They are small since steps are frequent: a queue ends
# within some seconds, and keys return slower than they left, so that loads do
# not oscillate.
SHRINK_FACTOR = 0.92
GROW_FACTOR = 1.02
# Limits of a weight: an upstream keeps at least a fifth of its keys, so that
# its load still indicates its state, and gets at most twice its share.
MIN_WEIGHT = 0.2
MAX_WEIGHT = 2.0
# Maximum number of weights in a plan, which keeps those that move the most
# keys. Datagrams carry the plan beside the loads, which take 9 bytes per
# upstream; a weight takes 7.
MAX_WEIGHTS = 1000
_PERCENT = 100


class Plan(NamedTuple):
    """Holds the weights that distribute keys over upstreams and regions.

    Attributes:
      weights: weight in percent by the hash of an incarnation; 100 for those
        that are not listed.
    """

    weights: dict[int, int]

    def weight(self, upstream: UpstreamState) -> float:
        """Returns the weight of an upstream; 1 if no keys are moved."""
        if not self.weights:
            return 1.0
        name = upstream.name_hash
        return self.weights.get(name, _PERCENT) / _PERCENT


EMPTY_PLAN = Plan(weights={})


class Planner:
    """Computes the next plan from the current one and the observed loads."""

    def __init__(self) -> None:
        """Starts with equal weights."""
        self.plan = EMPTY_PLAN
        self._weights: dict[int, float] = {}
        self._loads: dict[int, float] = {}
        self._step_loads: dict[int, float] = {}
        self._last_observed_s = -math.inf
        self._last_step_s = -math.inf

    def set_plan(self, plan: Plan) -> None:
        """Continues from a plan that another entry computed."""
        self.plan = plan
        self._weights = {}
        for name, percent in plan.weights.items():
            self._weights[name] = percent / _PERCENT

    def update(
        self,
        *,
        services: Mapping[str, Iterable[UpstreamState]],
        limited: Container[int] = frozenset(),
        resting: Container[int] = frozenset(),
        now_s: float,
    ) -> None:
        """Updates the smoothed loads and makes a step when one is due.

        Args:
          services: eligible upstreams by service.
          limited: hashes of the upstreams that state a limit. They accept no
            keys of others, however few requests they hold.
          resting: hashes of the upstreams that asked an entry for rest. They
            keep their weights, and their loads do not count.
          now_s: the entry's clock, in seconds.
        """
        age_s = max(0.0, now_s - self._last_observed_s)
        self._last_observed_s = now_s
        self._smooth_loads(services, 1 - math.exp(-age_s / LOAD_SMOOTHING_S))
        if now_s - self._last_step_s < STEP_INTERVAL_S:
            return
        self._last_step_s = now_s
        for upstreams in services.values():
            active = [
                each for each in upstreams if each.name_hash not in resting
            ]
            self._step(active, limited)
        self._step_loads = self._loads
        self.plan = Plan(weights=self._percent_weights())

    def _smooth_loads(
        self, services: Mapping[str, Iterable[UpstreamState]], share: float
    ) -> None:
        loads = {}
        for upstreams in services.values():
            for upstream in upstreams:
                name = upstream.name_hash
                requests = upstream.in_flight + upstream.peer_requests
                load = requests / upstream.record.slots
                before = self._loads.get(name, load)
                loads[name] = before + share * (load - before)
        self._loads = loads

    def _step(
        self, upstreams: Iterable[UpstreamState], limited: Container[int]
    ) -> None:
        loads = {}
        for upstream in upstreams:
            name = upstream.name_hash
            loads[name] = self._loads.get(name, 0.0)
        if not loads:
            return
        queue = max(loads.values()) > QUEUED
        if queue and min(loads.values()) > MAX_REGAIN_LOAD:
            # No upstream has capacity for more keys.
            return
        for name, load in loads.items():
            weight = self._weights.get(name, 1.0)
            if load > QUEUED:
                self._weights[name] = self._shrink(name, weight, load)
            else:
                grows = queue and name not in limited
                self._weights[name] = _grow(weight, load, queue=grows)

    def _shrink(self, name: int, weight: float, load: float) -> float:
        """Returns the next weight of an upstream that has a queue.

        The weight stays while the queue shrinks, since a queue outlasts its
        cause by seconds. Otherwise keys would keep leaving, and the next queue
        would build up where they went.
        """
        if load <= SHRINKING_QUEUE_RATIO * self._step_loads.get(name, 0.0):
            return weight
        return max(MIN_WEIGHT, weight * SHRINK_FACTOR)

    def _percent_weights(self) -> dict[int, int]:
        rounded = {}
        for name in list(self._weights):
            if name not in self._loads:
                del self._weights[name]
                continue
            percent = round(self._weights[name] * _PERCENT)
            if percent != _PERCENT:
                rounded[name] = percent
        if len(rounded) <= MAX_WEIGHTS:
            return rounded
        largest_changes = sorted(
            rounded.items(), key=lambda item: -abs(item[1] - _PERCENT)
        )
        return dict(largest_changes[:MAX_WEIGHTS])


def _grow(weight: float, load: float, *, queue: bool) -> float:
    """Returns the next weight of an upstream that has no queue.

    Args:
      weight: its weight before.
      load: requests that it holds, as a multiple of its slots.
      queue: whether another upstream of its service has a queue, from which it
        may accept keys.
    """
    if weight < 1:
        return (
            min(1.0, weight * GROW_FACTOR) if load < MAX_REGAIN_LOAD else weight
        )
    if not queue:
        return max(1.0, weight / GROW_FACTOR)
    return (
        min(MAX_WEIGHT, weight * GROW_FACTOR)
        if load < MAX_ACCEPT_LOAD
        else weight
    )
