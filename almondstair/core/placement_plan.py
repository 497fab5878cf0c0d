"""Moves keys from upstreams where a queue stands to those with free slots.

Load pattern: callers move, or ask more in one region than in another, and
upstreams there hold two to three times their slots while others of the same
service have slots free. A single request never moves for that: its run where
the object is new costs more than one wait, though the key's next requests
would all be spared the wait. Requests that moved one by one would scatter each
object over many upstreams.

So whole keys move: a plan gives each upstream a weight in the order of keys.
One entry makes it from the loads that
all entries tell, and all use the same one, so that a key moves for all at once.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from almondstair.core.upstream_state import UpstreamState

# Pause between two steps of a plan, and time in which smoothed loads follow. A
# request runs for a few tenths of a second, so the effect of a step shows in
# the loads before the next one.
# What goes wrong with older loads: a queue that ended still counts, keys go on
# leaving its upstream, and the next queue stands where they went. One sees
# upstreams with two to three times their slots beside others with room, by
# turns. Larger steps from loads as old only make the swing wider.
STEP_S = 0.3
LOAD_SPAN_S = 0.3
# Requests held, as a part of the slots, from which an upstream gives keys away,
# below which it takes back its own, and below which it takes others'.
QUEUED = 1.3
HAS_ROOM = 0.8
IDLE = 0.6
# Part of its load before a step up to which a queue is getting shorter.
DRAINING = 0.97
# Factors of one step, small since steps are many: a queue goes away within some
# seconds, and keys come back slower than they went, so that loads do not swing.
SHRINK = 0.92
GROW = 1.02
# Bounds of a weight: an upstream keeps a fifth of its keys, so that its load
# goes on showing how it does, and takes twice its part at most.
LEAST_WEIGHT = 0.2
MOST_WEIGHT = 2.0
# Weights that a plan names: those that move most keys. It is told in datagrams
# beside the loads, which take 9 bytes for each upstream; a weight takes 7.
MOST_NAMED = 1000
_PERCENT = 100


class Plan(NamedTuple):
    """How keys are dealt out to upstreams and regions.

    Attributes:
      weights: weight in percent by the hash of an incarnation; 100 for those
        that are not named.
    """

    weights: dict[int, int]

    def weight(self, upstream: UpstreamState) -> float:
        """Returns the weight of an upstream; 1 where nothing is to be moved."""
        if not self.weights:
            return 1.0
        name = upstream.name_hash
        return self.weights.get(name, _PERCENT) / _PERCENT


EMPTY = Plan(weights={})


class Planner:
    """Makes the next plan from the one in force and what is observed."""

    def __init__(self) -> None:
        """Starts with all upstreams alike."""
        self.plan = EMPTY
        self._weights: dict[int, float] = {}
        self._loads: dict[int, float] = {}
        self._step_loads: dict[int, float] = {}
        self._observed_s = -math.inf
        self._stepped_s = -math.inf

    def take(self, plan: Plan) -> None:
        """Goes on from a plan that another entry made."""
        self.plan = plan
        self._weights = {}
        for name, percent in plan.weights.items():
            self._weights[name] = percent / _PERCENT

    def observe(
        self,
        *,
        services: Mapping[str, Iterable[UpstreamState]],
        now_s: float,
    ) -> None:
        """Takes the loads as they are; makes a step when one is due.

        Args:
          services: upstreams that may get new work, by service.
          now_s: the entry's clock.
        """
        age_s = max(0.0, now_s - self._observed_s)
        self._observed_s = now_s
        self._smooth_loads(services, 1 - math.exp(-age_s / LOAD_SPAN_S))
        if now_s - self._stepped_s < STEP_S:
            return
        self._stepped_s = now_s
        for upstreams in services.values():
            self._step(upstreams)
        self._step_loads = self._loads
        self.plan = Plan(weights=self._rounded())

    def _smooth_loads(
        self, services: Mapping[str, Iterable[UpstreamState]], share: float
    ) -> None:
        loads = {}
        for upstreams in services.values():
            for upstream in upstreams:
                name = upstream.name_hash
                held = upstream.in_flight + upstream.others
                load = held / upstream.record.slots
                before = self._loads.get(name, load)
                loads[name] = before + share * (load - before)
        self._loads = loads

    def _step(self, upstreams: Iterable[UpstreamState]) -> None:
        loads = {}
        for upstream in upstreams:
            name = upstream.name_hash
            loads[name] = self._loads.get(name, 0.0)
        if not loads:
            return
        queue = max(loads.values()) > QUEUED
        if queue and min(loads.values()) > HAS_ROOM:
            # There is no room to move to.
            return
        for name, load in loads.items():
            weight = self._weights.get(name, 1.0)
            if load > QUEUED:
                self._weights[name] = self._shrunk(name, weight, load)
            else:
                self._weights[name] = _grown(weight, load, queue=queue)

    def _shrunk(self, name: int, weight: float, load: float) -> float:
        """Returns the next weight of an upstream that has a queue.

        A queue that gets shorter has given away enough: it stands for seconds
        after its cause. What goes wrong without: its keys go on leaving, and
        the next queue stands where they went.
        """
        if load <= DRAINING * self._step_loads.get(name, 0.0):
            return weight
        return max(LEAST_WEIGHT, weight * SHRINK)

    def _rounded(self) -> dict[int, int]:
        rounded = {}
        for name in list(self._weights):
            if name not in self._loads:
                del self._weights[name]
                continue
            percent = round(self._weights[name] * _PERCENT)
            if percent != _PERCENT:
                rounded[name] = percent
        if len(rounded) <= MOST_NAMED:
            return rounded
        farthest = sorted(
            rounded.items(), key=lambda item: -abs(item[1] - _PERCENT)
        )
        return dict(farthest[:MOST_NAMED])


def _grown(weight: float, load: float, *, queue: bool) -> float:
    """Returns the next weight of an upstream that has no queue.

    Args:
      weight: its weight before.
      load: what it holds, as a part of its slots.
      queue: whether another one of its service has a queue.
    """
    if weight < 1:
        return min(1.0, weight * GROW) if load < HAS_ROOM else weight
    if not queue:
        return max(1.0, weight / GROW)
    return min(MOST_WEIGHT, weight * GROW) if load < IDLE else weight
