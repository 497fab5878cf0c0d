"""The order in which the upstreams of a service are asked for a request.

An upstream that has handled an object lately works several times faster on it,
so requests of one key should meet few upstreams, and the same ones from every
entry. Rendezvous hashing gives each key its own order of upstreams, which
entries agree on without talking; losing one moves only its keys.

Weights of the hash decide how many keys of a region's callers belong to which
region. A region with little capacity for its callers keeps as many keys as it
can carry; the others belong to regions with capacity to spare from the start.
Spilling them only when the region is full would give each key many upstreams.
"""

from collections.abc import Mapping, Sequence
import math

import xxhash

from almondstair.core.placement_plan import EMPTY
from almondstair.core.placement_plan import Plan
from almondstair.core.upstream_state import UpstreamState

# Orders that are remembered; beyond, the whole memory is dropped. One order of
# 170 upstreams takes about 1.4 KB.
REMEMBERED_ORDERS = 4096
# Part of all capacity that is taken to be in use when keys are dealt out to
# regions. At lower use a region could keep more keys, but would have to move
# them just when load comes.
PLANNED_USE = 0.75
_HASHES = 2.0**64
# Keeps a region that should get no key of a caller's region as a last resort.
LEAST_SHARE = 1e-6


def region_shares(
    *,
    own_region: str,
    capacity: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    """Returns which part of a region's keys belongs to each region.

    Args:
      own_region: the region whose callers' keys are dealt out.
      capacity: slots of the service in each region.
      demand: expected requests from each region, in any unit.
    """
    total_capacity = sum(capacity.values())
    total_demand = sum(demand.values())
    if not total_capacity or not total_demand:
        return dict.fromkeys(capacity, 1.0)
    own_capacity = capacity.get(own_region, 0.0) / total_capacity
    own_demand = demand.get(own_region, 0.0) / total_demand
    local = 1.0
    if own_demand > 0:
        local = min(1.0, own_capacity / (own_demand * PLANNED_USE))
    spare = {}
    for region, slots in capacity.items():
        if region == own_region:
            continue
        wanted = demand.get(region, 0.0) / total_demand
        spare[region] = max(0.0, slots / total_capacity - wanted)
    if not sum(spare.values()):
        for region in spare:
            spare[region] = capacity[region] / total_capacity
    total_spare = sum(spare.values())
    shares = {own_region: local}
    for region, part in spare.items():
        share = (1.0 - local) * part / total_spare if total_spare else 0.0
        shares[region] = max(LEAST_SHARE, share)
    return shares


def give_away(
    shares: Mapping[str, float],
    *,
    capacity: Mapping[str, float],
    kept: Mapping[str, float],
) -> dict[str, float]:
    """Returns shares of which regions with queues keep only a part.

    What goes wrong without: callers move to one region, its upstreams have
    queues, and all keys stay as it had enough capacity for its callers.

    Args:
      shares: which part of its keys belongs to each region.
      capacity: slots of the service in each region.
      kept: which part of its keys each region keeps by the plan.
    """
    given = {}
    for region, share in shares.items():
        given[region] = share * kept.get(region, 1.0)
    for region, share in shares.items():
        freed = share - share * kept.get(region, 1.0)
        room = {}
        for other, slots in capacity.items():
            if other != region:
                room[other] = slots * kept.get(other, 1.0)
        total_room = sum(room.values())
        if not total_room:
            given[region] += freed
            continue
        for other, slots in room.items():
            given[other] = given.get(other, 0.0) + freed * slots / total_room
    return given


class PlacementOrders:
    """Computes and remembers the order of upstreams for each key."""

    def __init__(self, *, own_region: str, demand: Mapping[str, float]) -> None:
        """Makes orders for callers of one region.

        Args:
          own_region: the callers' region.
          demand: expected requests from each region, in any unit.
        """
        self._own_region = own_region
        self._demand = demand
        self._plan = EMPTY
        # By service, in the order in which its upstreams are given.
        self._weights: dict[str, list[float]] = {}
        # By service and key, what weighted rendezvous hashing drew for each
        # upstream; the least, divided by the weight, is first.
        self._draws: dict[tuple[str, str], list[float]] = {}
        self._orders: dict[tuple[str, str], list[UpstreamState]] = {}

    def forget(self) -> None:
        """Drops what is remembered, after the set of upstreams changed."""
        self._draws.clear()
        self._forget_weights()

    def _forget_weights(self) -> None:
        self._orders.clear()
        self._weights.clear()

    def take_plan(self, plan: Plan) -> None:
        """Uses a plan's weights from now on."""
        if plan == self._plan:
            return
        self._plan = plan
        self._forget_weights()

    def order(
        self, *, service: str, key: str, upstreams: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        """Returns the upstreams in the order of preference for a key."""
        remembered = self._orders.get((service, key))
        if remembered is not None:
            return remembered
        if len(self._draws) >= REMEMBERED_ORDERS:
            self.forget()
        weights = self._weights.get(service)
        if weights is None:
            weights = self._weigh(upstreams)
            self._weights[service] = weights
        draws = self._draws.get((service, key))
        if draws is None:
            draws = [_draw(key, upstream) for upstream in upstreams]
            self._draws[(service, key)] = draws
        values = []
        for draw, weight in zip(draws, weights, strict=True):
            values.append(draw / weight)
        ranked = sorted(range(len(values)), key=values.__getitem__)
        order = [upstreams[number] for number in ranked]
        self._orders[(service, key)] = order
        return order

    def _weigh(self, upstreams: Sequence[UpstreamState]) -> list[float]:
        """Returns the weight of each upstream."""
        capacity: dict[str, float] = {}
        for upstream in upstreams:
            slots = capacity.get(upstream.region, 0.0)
            capacity[upstream.region] = slots + upstream.record.slots
        shares = region_shares(
            own_region=self._own_region, capacity=capacity, demand=self._demand
        )
        weighted, kept = self._planned(upstreams, capacity)
        if self._plan.weights:
            shares = give_away(shares, capacity=capacity, kept=kept)
        weights = []
        for upstream in upstreams:
            region = upstream.region
            slots = upstream.record.slots * self._plan.weight(upstream)
            share = shares.get(region, LEAST_SHARE)
            weights.append(share * slots / weighted[region])
        return weights

    def _planned(
        self,
        upstreams: Sequence[UpstreamState],
        capacity: Mapping[str, float],
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns weighted slots by region, and the part of keys each keeps."""
        weighted = dict.fromkeys(capacity, 0.0)
        kept = dict.fromkeys(capacity, 0.0)
        for upstream in upstreams:
            part = upstream.record.slots / capacity[upstream.region]
            weight = self._plan.weight(upstream)
            weighted[upstream.region] += upstream.record.slots * weight
            kept[upstream.region] += part * min(1, weight)
        return weighted, kept


def _draw(key: str, upstream: UpstreamState) -> float:
    """Returns what weighted rendezvous hashing draws for a key."""
    name = f"{key}\0{upstream.incarnation}".encode()
    drawn = (xxhash.xxh3_64_intdigest(name) + 1) / (_HASHES + 1)
    return -math.log(drawn)
