"""Keeps slots of a region for requests that may run nowhere else.

Organisations may confine their requests to some regions. If such a region is
short of slots, their requests wait and are refused there, while requests that
may run anywhere use its slots and other regions have free ones. So a part of
the latter's objects belongs to other regions for as long as that lasts.

The part is chosen by a hash of the object, so that all entries move the same
objects, and changes slowly: the objects have to be cached anew, and slots that
became free at once would call all of them back.
"""

from collections.abc import Callable
import math
from typing import NamedTuple

import xxhash

from almondstair.core.routing import RoutingConfiguration

# Utilisation of a region above which more objects leave it, and below which
# they return.
SHORT_USE = 0.85
AMPLE_USE = 0.6
# Utilisation of all other regions above which they take no objects.
MAX_OTHER_USE = 0.8
# Part of the objects that leaves or returns in a second.
STEP_PER_S = 0.2
# Time between two observations of a service; the loads behind them are not
# newer.
OBSERVATION_INTERVAL_S = 0.1
# Longest time between two observations that counts; nothing is known of the
# rest.
MAX_STEP_S = 1.0
_HASH_RANGE = 2.0**32


class RegionUse(NamedTuple):
    """Holds the utilisation of a service's slots as one entry sees it.

    Attributes:
      region: utilisation in the region, 0 to 1.
      others: utilisation in all other regions together, 0 to 1.
    """

    region: float
    others: float


class RegionChange(NamedTuple):
    """Objects begin to leave a region, or all of them are back.

    Attributes:
      service: the service.
      region: the region.
      leaving: whether objects leave it.
      use: the utilisation at that moment.
    """

    service: str
    region: str
    leaving: bool
    use: RegionUse


class ConfinedRegions:
    """Decides which objects leave a region to which others are confined.

    Attributes:
      on_change: is told when objects begin to leave a region, and when all of
        them are back.
    """

    def __init__(self) -> None:
        """Starts without regions, and with every object where it belongs."""
        self.on_change: Callable[[RegionChange], None] = _ignore_change
        self._configuration: RoutingConfiguration | None = None
        self._regions: frozenset[str] = frozenset()
        # By service and region, the part that leaves and when it changed.
        self._parts: dict[tuple[str, str], tuple[float, float]] = {}
        self._observed_s: dict[str, float] = {}

    def set_configuration(self, configuration: RoutingConfiguration) -> None:
        """Finds the regions to which organisations or routes are confined."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        regions: set[str] = set()
        for route in configuration.routes:
            regions.update(route.allowed_regions)
        for organisation in configuration.organisations:
            regions.update(organisation.allowed_regions)
        self._regions = frozenset(regions)
        for service, region in list(self._parts):
            if region not in regions:
                del self._parts[service, region]

    @property
    def regions(self) -> frozenset[str]:
        """Returns the regions to which some requests are confined."""
        return self._regions

    def is_due(self, service: str, *, now_s: float) -> bool:
        """Returns whether a service is to be observed again, and notes it."""
        if not self._regions:
            return False
        observed_s = self._observed_s.get(service, -math.inf)
        if now_s - observed_s < OBSERVATION_INTERVAL_S:
            return False
        self._observed_s[service] = now_s
        return True

    def observe(
        self, service: str, region: str, use: RegionUse, *, now_s: float
    ) -> None:
        """Moves the part that leaves a region by one step.

        Args:
          service: the service.
          region: the region.
          use: the utilisation of the service's slots.
          now_s: the entry's clock, in seconds.
        """
        before, at_s = self._parts.get((service, region), (0.0, now_s))
        part = before
        step = STEP_PER_S * min(MAX_STEP_S, max(0.0, now_s - at_s))
        if use.region > SHORT_USE and use.others < MAX_OTHER_USE:
            part = min(1.0, part + step)
        elif use.region < AMPLE_USE or use.others >= MAX_OTHER_USE:
            part = max(0.0, part - step)
        self._parts[service, region] = (part, now_s)
        if bool(part) is not bool(before):
            change = RegionChange(service, region, bool(part), use)
            self.on_change(change)

    def parts(self) -> dict[tuple[str, str], float]:
        """Returns the parts that leave, by service and region."""
        return {key: part for key, (part, _) in self._parts.items() if part}

    def part(self, service: str, region: str) -> float:
        """Returns the part of the objects that leaves a region, 0 to 1."""
        return self._parts.get((service, region), (0.0, 0.0))[0]

    def left_regions(self, service: str, object_name: str) -> frozenset[str]:
        """Returns the regions that an object leaves.

        Args:
          service: the service.
          object_name: name of the object within the service.
        """
        left = []
        draw = None
        for region in self._regions:
            part = self.part(service, region)
            if not part:
                continue
            if draw is None:
                text = f"{service}\0{object_name}\0left"
                draw = xxhash.xxh32_intdigest(text.encode()) / _HASH_RANGE
            if draw < part:
                left.append(region)
        return frozenset(left)


def _ignore_change(change: RegionChange) -> None:
    """Does nothing; nobody has asked for changes yet."""
    del change
