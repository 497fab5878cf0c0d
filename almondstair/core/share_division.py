"""Divides the capacity of a service among organisations, max-min fairly.

The highest priority is served first. Within a priority each organisation gets
its demand up to one level, which is as high as the capacity allows.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

# Each priority is served at least this part as often as all requests.
GUARANTEED_PART = 0.25
# Unlisted organisations ask for less than half of an equal share each, so
# together for less than half of the capacity of their priority.
MOST_OTHERS_PART = 0.5


class Demand(NamedTuple):
    """Requests of an organisation for a service.

    Attributes:
      new_per_s: those of new callers.
      returned_per_s: those of callers that were refused before.
    """

    new_per_s: float
    returned_per_s: float = 0.0

    @property
    def asked_per_s(self) -> float:
        """Returns the rate of all requests."""
        return self.new_per_s + self.returned_per_s


class PriorityDemand(NamedTuple):
    """Requests of one priority for a service.

    Attributes:
      organisations: by the hash of the organisation, those listed.
      others_per_s: new requests of all other organisations.
    """

    organisations: Mapping[int, Demand]
    others_per_s: float = 0.0

    @property
    def new_per_s(self) -> float:
        """Returns the rate of all new requests."""
        listed_per_s = sum(
            demand.new_per_s for demand in self.organisations.values()
        )
        return listed_per_s + self.others_per_s


class PriorityShare(NamedTuple):
    """What the requests of one priority get of a service.

    Attributes:
      capacity_per_s: requests that it may run per second.
      level_per_s: the most that one organisation may run per second; infinite
        if the capacity suffices for all.
      others_part: admitted part of the requests of unlisted organisations.
      parts: admitted part by the hash of the organisation, of those whose
        requests are limited.
    """

    capacity_per_s: float
    level_per_s: float
    others_part: float
    parts: Mapping[int, float]


def divide(
    demands: Mapping[int, PriorityDemand], *, capacity_per_s: float
) -> dict[int, PriorityShare]:
    """Returns the shares by priority.

    Args:
      demands: requests by priority; 0 is the highest.
      capacity_per_s: requests that the service completes per second.
    """
    if _only_one_asks(demands):
        unlimited = PriorityShare(capacity_per_s, math.inf, 1.0, {})
        return dict.fromkeys(demands, unlimited)
    asked_per_s = {}
    for priority, demand in demands.items():
        asked_per_s[priority] = demand.new_per_s
    total_per_s = sum(asked_per_s.values())
    served_part = min(1.0, capacity_per_s / total_per_s) if total_per_s else 1.0
    guaranteed_per_s = {}
    for priority in sorted(demands)[1:]:
        guaranteed_per_s[priority] = (
            GUARANTEED_PART * served_part * asked_per_s[priority]
        )
    left_per_s = capacity_per_s - sum(guaranteed_per_s.values())
    shares: dict[int, PriorityShare] = {}
    for priority in sorted(demands):
        least_per_s = guaranteed_per_s.get(priority, 0.0)
        most_per_s = least_per_s + left_per_s
        given_per_s = min(asked_per_s[priority], most_per_s)
        left_per_s -= given_per_s - least_per_s
        shares[priority] = _divide_priority(demands[priority], most_per_s)
    return shares


def _only_one_asks(demands: Mapping[int, PriorityDemand]) -> bool:
    """Returns whether a single organisation asks, which may use all slots."""
    names: set[int] = set()
    for demand in demands.values():
        if demand.others_per_s:
            return False
        names.update(demand.organisations)
    return len(names) <= 1


def _divide_priority(
    demand: PriorityDemand, capacity_per_s: float
) -> PriorityShare:
    if demand.new_per_s <= capacity_per_s:
        return PriorityShare(capacity_per_s, math.inf, 1.0, {})
    listed_per_s = demand.new_per_s - demand.others_per_s
    others_per_s = min(
        demand.others_per_s,
        max(MOST_OTHERS_PART * capacity_per_s, capacity_per_s - listed_per_s),
    )
    others_part = 1.0
    if demand.others_per_s:
        others_part = others_per_s / demand.others_per_s
    level_per_s = _level_per_s(
        [each.new_per_s for each in demand.organisations.values()],
        capacity_per_s - others_per_s,
    )
    parts = {}
    for name, each in demand.organisations.items():
        # Callers that come back are checked like new ones, so the admitted
        # part refers to both.
        if each.asked_per_s > level_per_s:
            parts[name] = level_per_s / each.asked_per_s
    return PriorityShare(capacity_per_s, level_per_s, others_part, parts)


def _level_per_s(asked_per_s: list[float], capacity_per_s: float) -> float:
    """Returns the level up to which each demand can be served."""
    left_per_s = capacity_per_s
    unserved = len(asked_per_s)
    for demand_per_s in sorted(asked_per_s):
        level_per_s = left_per_s / unserved
        if demand_per_s > level_per_s:
            return level_per_s
        left_per_s -= demand_per_s
        unserved -= 1
    return math.inf
