"""Orders the upstreams of a service by preference for each key.

An upstream that has handled an object recently serves it several times faster,
so requests for one key should go to few upstreams, and to the same ones from
every entry. Weighted rendezvous hashing gives each key its own order of
upstreams on which entries agree without communication; losing an upstream moves
only its keys.

The weights decide how many keys of a region's callers belong to which region.
A region with little capacity for its callers keeps as many keys as it can
serve; the others belong to regions with spare capacity from the start. Spilling
them only when the region is full would spread each key over many upstreams.
"""

from collections.abc import Mapping, Sequence
import math

import xxhash

from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.placement_plan import Plan
from almondstair.core.upstream_state import UpstreamState

# Cached orders; when there are more, the whole cache is dropped. One order of
# 170 upstreams takes about 1.4 KB.
MAX_CACHED_ORDERS = 4096
# Assumed utilisation of all capacity when keys are distributed over regions.
# With a lower one a region would keep more keys, but would have to move them
# just when the load rises.
PLANNED_USE = 0.75
_HASH_RANGE = 2.0**64
# Keeps a region that should get no keys of a caller's region as a last resort.
MIN_SHARE = 1e-6


def compute_region_shares(
    *,
    own_region: str,
    capacity: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    """Returns the share of a region's keys that belongs to each region.

    Args:
      own_region: the region whose callers' keys are distributed.
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
        demand_share = demand.get(region, 0.0) / total_demand
        spare[region] = max(0.0, slots / total_capacity - demand_share)
    if not sum(spare.values()):
        for region in spare:
            spare[region] = capacity[region] / total_capacity
    total_spare = sum(spare.values())
    shares = {own_region: local}
    for region, part in spare.items():
        share = (1.0 - local) * part / total_spare if total_spare else 0.0
        shares[region] = max(MIN_SHARE, share)
    return shares


def redistribute(
    shares: Mapping[str, float],
    *,
    capacity: Mapping[str, float],
    kept_shares: Mapping[str, float],
) -> dict[str, float]:
    """Returns the shares after regions with queues have handed over keys.

    `compute_region_shares` only considers capacity and expected demand. When
    callers move to one region and its upstreams build up queues, all keys would
    stay there as long as its capacity is nominally sufficient.

    Args:
      shares: share of the keys that belongs to each region.
      capacity: slots of the service in each region.
      kept_shares: part of its keys that each region keeps by the plan, 0 to 1.
    """
    adjusted = {}
    for region, share in shares.items():
        adjusted[region] = share * kept_shares.get(region, 1.0)
    for region, share in shares.items():
        freed = share - share * kept_shares.get(region, 1.0)
        accepting = {}
        for other, slots in capacity.items():
            if other != region:
                accepting[other] = slots * kept_shares.get(other, 1.0)
        total_accepting = sum(accepting.values())
        if not total_accepting:
            adjusted[region] += freed
            continue
        for other, slots in accepting.items():
            adjusted[other] = (
                adjusted.get(other, 0.0) + freed * slots / total_accepting
            )
    return adjusted


class PlacementOrders:
    """Computes and caches the order of upstreams for each key."""

    def __init__(self, *, own_region: str, demand: Mapping[str, float]) -> None:
        """Creates the orders for the callers of one region.

        Args:
          own_region: the callers' region.
          demand: expected requests from each region, in any unit.
        """
        self._own_region = own_region
        self._demand = demand
        self._plan = EMPTY_PLAN
        # By service, in the order of the upstreams passed to `order`.
        self._weights: dict[str, list[float]] = {}
        # By service and key, the rendezvous hash of each upstream. The upstream
        # with the lowest quotient of hash and weight comes first.
        self._hashes: dict[tuple[str, str], list[float]] = {}
        self._orders: dict[tuple[str, str], list[UpstreamState]] = {}

    def clear(self) -> None:
        """Drops all cached orders; called when the set of upstreams changes."""
        self._hashes.clear()
        self._clear_weights()

    def _clear_weights(self) -> None:
        self._orders.clear()
        self._weights.clear()

    def set_plan(self, plan: Plan) -> None:
        """Applies the weights of a plan."""
        if plan == self._plan:
            return
        self._plan = plan
        self._clear_weights()

    def order(
        self, *, service: str, key: str, upstreams: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        """Returns the upstreams in the order of preference for a key."""
        cached = self._orders.get((service, key))
        if cached is not None:
            return cached
        if len(self._hashes) >= MAX_CACHED_ORDERS:
            self.clear()
        weights = self._weights.get(service)
        if weights is None:
            weights = self._compute_weights(upstreams)
            self._weights[service] = weights
        hashes = self._hashes.get((service, key))
        if hashes is None:
            hashes = [_hash_score(key, upstream) for upstream in upstreams]
            self._hashes[(service, key)] = hashes
        values = []
        for score, weight in zip(hashes, weights, strict=True):
            values.append(score / weight)
        ranked = sorted(range(len(values)), key=values.__getitem__)
        order = [upstreams[index] for index in ranked]
        self._orders[(service, key)] = order
        return order

    def _compute_weights(
        self, upstreams: Sequence[UpstreamState]
    ) -> list[float]:
        """Returns the weight of each upstream."""
        capacity: dict[str, float] = {}
        for upstream in upstreams:
            slots = capacity.get(upstream.region, 0.0)
            capacity[upstream.region] = slots + upstream.record.slots
        shares = compute_region_shares(
            own_region=self._own_region, capacity=capacity, demand=self._demand
        )
        weighted, kept = self._apply_plan(upstreams, capacity)
        if self._plan.weights:
            shares = redistribute(shares, capacity=capacity, kept_shares=kept)
        weights = []
        for upstream in upstreams:
            region = upstream.region
            slots = upstream.record.slots * self._plan.weight(upstream)
            share = shares.get(region, MIN_SHARE)
            weights.append(share * slots / weighted[region])
        return weights

    def _apply_plan(
        self,
        upstreams: Sequence[UpstreamState],
        capacity: Mapping[str, float],
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns weighted slots and the kept part of the keys, by region."""
        weighted = dict.fromkeys(capacity, 0.0)
        kept = dict.fromkeys(capacity, 0.0)
        for upstream in upstreams:
            part = upstream.record.slots / capacity[upstream.region]
            weight = self._plan.weight(upstream)
            weighted[upstream.region] += upstream.record.slots * weight
            kept[upstream.region] += part * min(1, weight)
        return weighted, kept


def _hash_score(key: str, upstream: UpstreamState) -> float:
    """Returns the negative logarithm of a key's hash for an upstream."""
    name = f"{key}\0{upstream.incarnation}".encode()
    uniform = (xxhash.xxh3_64_intdigest(name) + 1) / (_HASH_RANGE + 1)
    return -math.log(uniform)
