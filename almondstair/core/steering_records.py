"""What steering works with: limits, flows, weights in force, statuses."""

from typing import NamedTuple

from almondstair.core import ramps
from almondstair.core.health import HealthView
from almondstair.core.model import Priority


class SteeringLimits(NamedTuple):
    """Constants of steering.

    Attributes:
      report_limit_s: age at which a load report counts as unknown.
      floor_weight: weight down to which an unknown region decays.
      decay_half_life_s: time in which the weight of an unknown region halves.
    """

    report_limit_s: float = 3.0
    floor_weight: float = 0.02
    decay_half_life_s: float = 1.0


DEFAULT_LIMITS = SteeringLimits()


class RegionStatus(NamedTuple):
    """One region of one service as steering sees it, for status pages.

    Attributes:
      region: name.
      live: whether it takes work at all.
      known: whether a report within the limit exists.
      age_s: age of the youngest report, None if there never was one.
      slots: slots reported, else configured.
      free_slots: free slots claimed, less what was sent since.
      health: averages of the answers seen.
    """

    region: str
    live: bool
    known: bool
    age_s: float | None
    slots: float
    free_slots: float
    health: HealthView


class Flow(NamedTuple):
    """Work that shares weights.

    Lower priorities have their own: they see a smaller region, so they are
    moved away, or refused, before higher ones notice anything.
    """

    service: str
    availability_zone: str
    priority: Priority


class WeightsInForce:
    """Weights in force for one flow."""

    __slots__ = ("started_s", "stepped_s", "weights")

    def __init__(self, *, weights: ramps.Weights, started_s: float) -> None:
        """Puts weights in force."""
        self.weights = weights
        self.started_s = started_s
        self.stepped_s = started_s
