"""Data types of steering: limits, flows, weights in force and statuses."""

from typing import NamedTuple

from almondstair.core import ramps
from almondstair.core.health import HealthView
from almondstair.core.model import Priority


class SteeringLimits(NamedTuple):
    """Constants of steering.

    Attributes:
      report_limit_s: age at which a load report expires.
      floor_weight: weight down to which an unknown region decays.
      decay_half_life_s: time in which the weight of an unknown region halves.
    """

    report_limit_s: float = 3.0
    floor_weight: float = 0.02
    decay_half_life_s: float = 1.0


DEFAULT_LIMITS = SteeringLimits()


class RegionStatus(NamedTuple):
    """Status of a region for one service, for status pages.

    Attributes:
      region: name of the region.
      live: whether it can take work at all.
      known: whether there is a load report within the age limit.
      age_s: age of the newest report in seconds, None without reports.
      slots: reported slots, else the configured ones.
      free_slots: reported free slots less the requests sent since.
      health: in-band health of the region.
    """

    region: str
    live: bool
    known: bool
    age_s: float | None
    slots: float
    free_slots: float
    health: HealthView


class Flow(NamedTuple):
    """A class of work that shares weights.

    Each priority has its own weights. Lower priorities may use fewer slots of
    a region, so they are moved or refused before higher ones are affected.
    """

    service: str
    availability_zone: str
    priority: Priority


class WeightsInForce:
    """The weights in force for one flow.

    Attributes:
      weights: weight by region.
      started_s: monotonic time of the first use of the flow.
      stepped_s: monotonic time of the last step of the weights.
    """

    __slots__ = ("started_s", "stepped_s", "weights")

    def __init__(self, *, weights: ramps.Weights, started_s: float) -> None:
        """Starts with the given weights.

        Args:
          weights: weight by region.
          started_s: monotonic time.
        """
        self.weights = weights
        self.started_s = started_s
        self.stepped_s = started_s
