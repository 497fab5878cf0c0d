"""Policies that compute target weights from views of regions.

A policy decides where work should go if it could be moved at once;
`almondstair.core.steering` limits how fast it moves.
"""

import abc
from typing import NamedTuple

from almondstair.core.model import PolicyName

# Unused fraction of a link's cap below which the work sent over the link is
# reduced in proportion.
LINK_RESERVE_FRACTION = 0.1


class RegionView(NamedTuple):
    """Input of a policy for one region.

    Attributes:
      region: name of the region.
      latency_ms: one-way latency from the caller's availability zone; 0 within
        its region.
      slots: slots of the service in the region.
      free_slots: free slots as reported.
      health: 0 to 1, from the sender's own requests; reduces the work whatever
        the region reports.
      link_headroom: unused fraction of the link's cap, 0 to 1.
    """

    region: str
    latency_ms: float
    slots: float
    free_slots: float
    health: float
    link_headroom: float


class RegionWeight(NamedTuple):
    """The fraction of work that goes to a region; weights sum to one."""

    region: str
    weight: float


class PolicyInput(NamedTuple):
    """Input of a policy.

    Attributes:
      views: views of the live regions with known load, nearest first.
      headroom_fraction: fraction of a region's slots kept free of spilled work.
      latency_bound_ms: maximum one-way latency to a region that takes work.
    """

    views: tuple[RegionView, ...]
    headroom_fraction: float
    latency_bound_ms: float


class Policy(abc.ABC):
    """Computes how work is distributed over regions."""

    @property
    def follows_load(self) -> bool:
        """Whether load reports and in-band evidence count."""
        return True

    @abc.abstractmethod
    def weights(self, *, policy_input: PolicyInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""


class LocalPolicy(Policy):
    """Uses the nearest region until its headroom is used up, then the next.

    The nearest region keeps all work while its free slots are above the
    headroom, and a proportionally smaller part as they fall to zero. A switch
    at a threshold would oscillate: each lagging report would send the whole
    load away and back. The proportional part settles.
    """

    def weights(self, *, policy_input: PolicyInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        unassigned = 1.0
        weights: list[RegionWeight] = []
        for position, view in enumerate(
            _views_within_bound(policy_input=policy_input)
        ):
            if position == 0:
                fraction = _kept_fraction(view=view, policy_input=policy_input)
            else:
                fraction = _spill_fraction(view=view, policy_input=policy_input)
            weights.append(RegionWeight(view.region, unassigned * fraction))
            unassigned -= unassigned * fraction
        if not weights:
            return ()
        # Work that no region has capacity for stays in the nearest one, where
        # it is refused by priority without crossing a link first.
        nearest = weights[0]
        weights[0] = RegionWeight(nearest.region, nearest.weight + unassigned)
        return tuple(weights)


class SpreadPolicy(Policy):
    """Weights regions within the bound by free slots above the headroom."""

    def weights(self, *, policy_input: PolicyInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        shares: list[RegionWeight] = []
        for view in _views_within_bound(policy_input=policy_input):
            reserved_slots = view.slots * policy_input.headroom_fraction
            spare_slots = max(0.0, view.free_slots - reserved_slots)
            spare_slots *= view.health * _link_factor(view=view)
            shares.append(RegionWeight(view.region, spare_slots))
        if _total(shares) > 0.0:
            return _normalized(shares)
        shares = []
        for view in _views_within_bound(policy_input=policy_input):
            free = view.free_slots * view.health
            shares.append(RegionWeight(view.region, free))
        if _total(shares) > 0.0:
            return _normalized(shares)
        return _weights_by_slots(
            views=_views_within_bound(policy_input=policy_input)
        )


class RoundRobinPolicy(Policy):
    """Weights regions by slots, whatever their load; a baseline."""

    @property
    def follows_load(self) -> bool:
        """Whether load reports and in-band evidence count."""
        return False

    def weights(self, *, policy_input: PolicyInput) -> tuple[RegionWeight, ...]:
        """Returns a weight for each view; empty if there is no view."""
        return _weights_by_slots(views=policy_input.views)


POLICIES: dict[PolicyName, Policy] = {
    PolicyName.LOCAL: LocalPolicy(),
    PolicyName.SPREAD: SpreadPolicy(),
    PolicyName.ROUND_ROBIN: RoundRobinPolicy(),
}


def _views_within_bound(*, policy_input: PolicyInput) -> tuple[RegionView, ...]:
    """Returns the views within the latency bound, else the nearest one."""
    near: list[RegionView] = []
    for view in policy_input.views:
        if view.latency_ms > policy_input.latency_bound_ms:
            continue
        near.append(view)
    if not near:
        return policy_input.views[:1]
    return tuple(near)


def _kept_fraction(*, view: RegionView, policy_input: PolicyInput) -> float:
    """Returns the fraction of its work that the nearest region keeps."""
    if view.free_slots <= 0.0 or view.slots <= 0.0:
        return 0.0
    fraction = view.health * _link_factor(view=view)
    if policy_input.headroom_fraction == 0.0:
        return fraction
    free = view.free_slots / view.slots
    return min(1.0, free / policy_input.headroom_fraction) * fraction


def _spill_fraction(*, view: RegionView, policy_input: PolicyInput) -> float:
    """Returns the fraction of the spilled work that another region takes."""
    reserved_slots = view.slots * policy_input.headroom_fraction
    spare_slots = view.free_slots - reserved_slots
    if spare_slots <= 0.0:
        return 0.0
    fraction = view.health * _link_factor(view=view)
    return min(1.0, spare_slots / max(1.0, reserved_slots)) * fraction


def _link_factor(*, view: RegionView) -> float:
    return max(0.0, min(1.0, view.link_headroom / LINK_RESERVE_FRACTION))


def _weights_by_slots(
    *, views: tuple[RegionView, ...]
) -> tuple[RegionWeight, ...]:
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
