"""Policies: how a profile turns views of regions into target weights.

A policy says where work should go if it could be moved at once;
`almondstair.core.steering` decides how fast it moves.
"""

import abc
from typing import NamedTuple

from almondstair.core.model import PolicyName

# Part of a link's cap below which work sent over it is reduced in proportion.
LINK_RESERVE_FRACTION = 0.1


class RegionView(NamedTuple):
    """One region as a policy sees it.

    Attributes:
      region: name.
      latency_ms: one way from the caller's availability zone; 0 for the own.
      slots: slots of the service in the region.
      free_slots: free ones, as claimed.
      health: 0 to 1, from the sender's own requests; work is reduced by it
        whatever is claimed.
      link_headroom: unused part of the link's cap, 0 to 1.
    """

    region: str
    latency_ms: float
    slots: float
    free_slots: float
    health: float
    link_headroom: float


class RegionWeight(NamedTuple):
    """Part of the work that goes to a region; all parts add up to one."""

    region: str
    weight: float


class SteeringInput(NamedTuple):
    """What a policy decides on.

    Attributes:
      views: regions that are live and of which something is known, nearest
        first.
      headroom_fraction: part of a region's slots kept free of spilled work.
      latency_bound_ms: farthest region, one way, that takes work.
    """

    views: tuple[RegionView, ...]
    headroom_fraction: float
    latency_bound_ms: float


class Policy(abc.ABC):
    """A way of spreading work over regions."""

    @property
    def follows_load(self) -> bool:
        """Whether load reports and in-band evidence count."""
        return True

    @abc.abstractmethod
    def weights(self, *, request: SteeringInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""


class LocalPolicy(Policy):
    """The nearest region until its headroom is spent, then the next.

    The nearest keeps everything while its free slots are above the headroom
    and gives up work in proportion as they fall to none. A switch at a
    threshold would send the whole load away and back with each lagging
    report; the proportion settles instead.
    """

    def weights(self, *, request: SteeringInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        left = 1.0
        weights: list[RegionWeight] = []
        for position, view in enumerate(_within_bound(request=request)):
            if position == 0:
                part = _part_kept(view=view, request=request)
            else:
                part = _part_of_spill(view=view, request=request)
            weights.append(RegionWeight(view.region, left * part))
            left -= left * part
        if not weights:
            return ()
        # What nobody has room for stays near, where it is refused by priority
        # without crossing a link first.
        nearest = weights[0]
        weights[0] = RegionWeight(nearest.region, nearest.weight + left)
        return tuple(weights)


class SpreadPolicy(Policy):
    """In proportion to free slots above the headroom, within the bound."""

    def weights(self, *, request: SteeringInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        shares: list[RegionWeight] = []
        for view in _within_bound(request=request):
            kept = view.slots * request.headroom_fraction
            spare = max(0.0, view.free_slots - kept)
            spare *= view.health * _link_part(view=view)
            shares.append(RegionWeight(view.region, spare))
        if _total(shares) > 0.0:
            return _normalized(shares)
        shares = []
        for view in _within_bound(request=request):
            free = view.free_slots * view.health
            shares.append(RegionWeight(view.region, free))
        if _total(shares) > 0.0:
            return _normalized(shares)
        return _by_slots(views=_within_bound(request=request))


class RoundRobinPolicy(Policy):
    """In proportion to slots, whatever the load: the baseline."""

    @property
    def follows_load(self) -> bool:
        """Whether load reports and in-band evidence count."""
        return False

    def weights(self, *, request: SteeringInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        return _by_slots(views=request.views)


POLICIES: dict[PolicyName, Policy] = {
    PolicyName.LOCAL: LocalPolicy(),
    PolicyName.SPREAD: SpreadPolicy(),
    PolicyName.ROUND_ROBIN: RoundRobinPolicy(),
}


def _within_bound(*, request: SteeringInput) -> tuple[RegionView, ...]:
    """Returns the views within the latency bound, or else the nearest one."""
    near: list[RegionView] = []
    for view in request.views:
        if view.latency_ms > request.latency_bound_ms:
            continue
        near.append(view)
    if not near:
        return request.views[:1]
    return tuple(near)


def _part_kept(*, view: RegionView, request: SteeringInput) -> float:
    """Returns the part of its work that the nearest region keeps."""
    if view.free_slots <= 0.0 or view.slots <= 0.0:
        return 0.0
    part = view.health * _link_part(view=view)
    if request.headroom_fraction == 0.0:
        return part
    free = view.free_slots / view.slots
    return min(1.0, free / request.headroom_fraction) * part


def _part_of_spill(*, view: RegionView, request: SteeringInput) -> float:
    """Returns the part of the spilled work that a farther region takes."""
    kept = view.slots * request.headroom_fraction
    spare = view.free_slots - kept
    if spare <= 0.0:
        return 0.0
    part = view.health * _link_part(view=view)
    return min(1.0, spare / max(1.0, kept)) * part


def _link_part(*, view: RegionView) -> float:
    return max(0.0, min(1.0, view.link_headroom / LINK_RESERVE_FRACTION))


def _by_slots(*, views: tuple[RegionView, ...]) -> tuple[RegionWeight, ...]:
    shares: list[RegionWeight] = []
    for view in views:
        shares.append(RegionWeight(view.region, view.slots))
    if _total(shares) <= 0.0:
        return ()
    return _normalized(shares)


def _total(shares: list[RegionWeight]) -> float:
    total = 0.0
    for share in shares:
        total += share.weight
    return total


def _normalized(shares: list[RegionWeight]) -> tuple[RegionWeight, ...]:
    total = _total(shares)
    weights: list[RegionWeight] = []
    for share in shares:
        weights.append(RegionWeight(share.region, share.weight / total))
    return tuple(weights)
