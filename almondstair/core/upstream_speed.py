"""The speed that an upstream states for its machine, with its age.

Machines are shared with others, so that work on one of them runs several times
as long for a few tenths of a second up to some seconds. Upstreams state it in
each response. The figure is for operators and affects no placement: at an entry
it is mostly older than it holds.
"""

import math
from typing import NamedTuple

from almondstair.core.overload_records import OverloadRecords
from almondstair.core.upstream_statements import ReportedLoad

# Run time of work on a machine as usual, in percent.
USUAL_PERCENT = 100
# Run time from which a machine counts as slow, in percent of the usual.
SLOW_PERCENT = 150
# Age up to which a figure says anything about a run that starts now.
MAX_AGE_S = 1.0


class UpstreamSpeed:
    """The last speed that an upstream stated to this entry."""

    __slots__ = ("_at_s", "_percent")

    def __init__(self) -> None:
        """Starts without a figure."""
        self._percent: int | None = None
        self._at_s = -math.inf

    def record(self, load: ReportedLoad, *, now_s: float) -> None:
        """Records what a response states.

        A response without a readable figure leaves the last one, which ages.

        Args:
          load: the load in the response.
          now_s: the entry's clock, in seconds.
        """
        if load.run_time_percent is not None:
            self._percent = load.run_time_percent
            self._at_s = now_s

    @property
    def run_time_percent(self) -> int | None:
        """Returns the last figure, however old; None if there is none."""
        return self._percent

    def age_s(self, *, now_s: float) -> float | None:
        """Returns the age of the last figure in seconds, None without one."""
        return None if self._percent is None else now_s - self._at_s

    def is_slow(self, *, now_s: float) -> bool:
        """Returns whether a figure that still holds says that it is slow."""
        if self._percent is None or now_s - self._at_s > MAX_AGE_S:
            return False
        return self._percent >= SLOW_PERCENT


# Half-life of the mean over the figures of a service, in seconds. A turn of a
# machine is shorter, so that only a lasting slowness of many shows in it.
MEAN_HALF_LIFE_S = 5.0
# Highest weight and value of one figure in that mean, so that a single answer
# after a silence makes no service slow.
MAX_FIGURE_WEIGHT = 0.1
MAX_FIGURE_PERCENT = 400
# Means from which a service counts as slow, and below which it no longer does,
# in percent. A sixth of the upstreams at 250 gives 125.
SLOW_MEAN_PERCENT = 150.0
USUAL_MEAN_PERCENT = 120.0


class SpeedChange(NamedTuple):
    """A service whose upstreams became slow, or run as usual again.

    Attributes:
      service: the service.
      is_slow: whether its upstreams are slow.
      mean_percent: mean of the figures of its upstreams.
      for_s: how long it was as before, in seconds; 0 if it never changed.
    """

    service: str
    is_slow: bool
    mean_percent: float
    for_s: float


class _ServiceMean:
    """The mean over the figures of a service."""

    def __init__(self, *, now_s: float) -> None:
        self.percent = float(USUAL_PERCENT)
        self.is_slow = False
        self.changed_at_s: float | None = None
        self._at_s = now_s

    def add(self, percent: int, *, now_s: float) -> bool:
        """Adds a figure and returns whether `is_slow` has changed."""
        elapsed_s = max(0.0, now_s - self._at_s)
        weight = 1.0 - 0.5 ** (elapsed_s / MEAN_HALF_LIFE_S)
        weight = min(MAX_FIGURE_WEIGHT, weight)
        self.percent += weight * (
            min(percent, MAX_FIGURE_PERCENT) - self.percent
        )
        self._at_s = now_s
        limit = USUAL_MEAN_PERCENT if self.is_slow else SLOW_MEAN_PERCENT
        was_slow = self.is_slow
        self.is_slow = self.percent >= limit
        return was_slow is not self.is_slow


class ServiceSpeeds:
    """Collects the figures of an entry's upstreams by service."""

    def __init__(self, *, records: OverloadRecords) -> None:
        """Starts without figures.

        Args:
          records: counts for operators.
        """
        self._records = records
        self._means: dict[str, _ServiceMean] = {}

    def record(
        self,
        load: ReportedLoad,
        *,
        service: str,
        speed: UpstreamSpeed,
        now_s: float,
    ) -> SpeedChange | None:
        """Records the figure of a response.

        Args:
          load: the load in the response.
          service: the service of the upstream.
          speed: the speed of the upstream.
          now_s: the entry's clock, in seconds.

        Returns:
          The change of the service, if this figure makes one.
        """
        percent = load.run_time_percent
        if percent is None:
            return None
        speed.record(load, now_s=now_s)
        self._records.record_speed(service, slow=percent >= SLOW_PERCENT)
        mean = self._means.get(service)
        if mean is None:
            mean = self._means[service] = _ServiceMean(now_s=now_s)
        if not mean.add(percent, now_s=now_s):
            return None
        before_s = mean.changed_at_s
        mean.changed_at_s = now_s
        return SpeedChange(
            service=service,
            is_slow=mean.is_slow,
            mean_percent=round(mean.percent, 1),
            for_s=0.0 if before_s is None else round(now_s - before_s, 3),
        )

    def mean_percent(self, service: str) -> float | None:
        """Returns the mean of a service's figures, None without any."""
        mean = self._means.get(service)
        return None if mean is None else mean.percent
