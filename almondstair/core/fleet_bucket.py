"""Follows the bucket of an organisation that all entries use together."""

from collections import deque
import math
from typing import NamedTuple

from almondstair.core.use_counts import FleetUse

# Time within which granted requests may use up or refill the fleet's bucket.
# Totals are a few tenths of a second old; with a shorter time, grants oscillate
# around the rate.
LEVEL_TIME_S = 1.0
# Typical age of a total. As many requests are taken to be granted since then as
# in the same time before.
TOTAL_DELAY_S = 0.3
# The rate at which an organisation asks is a mean over the time of this many
# requests at its quota, within limits. A longer time notices a flood later; a
# shorter one takes a few requests for a flood.
RATE_REQUESTS = 10
MIN_RATE_TIME_S = 0.1
MAX_RATE_TIME_S = 0.5
# Smallest depth of the fleet's bucket; with a smaller one, two requests at the
# same moment would be too many for an organisation with a small quota.
MIN_DEPTH_REQUESTS = 5.0
# Times within `LEVEL_TIME_S` at which a window must not overflow.
ROOM_STEPS = 4
# Parts into which assumed requests before the first total are divided.
ASSUMED_STEPS = 10


class Quota(NamedTuple):
    """Holds the part of an organisation's quota that counted entries use.

    Attributes:
      rate_per_s: requests per second.
      burst: requests in addition.
      window_s: time over which the quota is counted, in seconds.
    """

    rate_per_s: float
    burst: float
    window_s: float

    @property
    def window_limit(self) -> float:
        """Returns the requests that a window may have."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def even_rate_per_s(self) -> float:
        """Returns the rate that uses up each window evenly."""
        return self.window_limit / self.window_s

    @property
    def rate_time_s(self) -> float:
        """Returns the time over which the rate of requests is averaged."""
        if not self.rate_per_s:
            return MAX_RATE_TIME_S
        time_s = RATE_REQUESTS / self.rate_per_s
        return min(MAX_RATE_TIME_S, max(MIN_RATE_TIME_S, time_s))


class FleetBucket:
    """Follows what all entries together grant to an organisation.

    Two limits hold. Over any window, at most the rate times the window and the
    burst are granted, which is the quota. Within a window, a bucket lets the
    burst through at once and then an even rate. With the first limit alone, a
    flood would be granted all of a window's requests within its first second
    and none in the rest of it.

    Attributes:
      level: tokens of the bucket; negative after more was granted than it held.
      asked_per_s: rate at which the organisation asks, over all entries.
      granted_share: part of the requests to grant, 0 to 1.
      granted_part: part of the next request that is granted so far, 0 to 1.
      window_granted: requests granted in the last window.
    """

    __slots__ = (
        "_history",
        "_pays_within_window",
        "_updated_s",
        "asked_per_s",
        "granted_part",
        "granted_share",
        "level",
        "window_granted",
    )

    def __init__(
        self,
        *,
        level: float,
        granted_part: float,
        now_s: float,
        pays_within_window: bool = False,
    ) -> None:
        """Starts without requests.

        Args:
          level: tokens that it holds.
          granted_part: part of the next request that is granted so far, 0 to 1.
          now_s: the entry's clock, in seconds.
          pays_within_window: whether what was granted in excess never delays
            the next request by more than a window.
        """
        self.level = level
        self._pays_within_window = pays_within_window
        self.asked_per_s = 0.0
        self.granted_part = granted_part
        self.granted_share = 1.0
        self._updated_s = now_s
        self._history: deque[tuple[float, float]] = deque()
        self.window_granted = 0.0

    def assume_granted(
        self, *, rate_per_s: float, window_s: float, now_s: float
    ) -> None:
        """Assumes that requests were granted at a rate before the first use."""
        for step in range(ASSUMED_STEPS):
            before_s = window_s * (ASSUMED_STEPS - step) / ASSUMED_STEPS
            granted = rate_per_s * window_s / ASSUMED_STEPS
            self._history.append((now_s - before_s, granted))
            self.window_granted += granted

    def record(self, use: FleetUse, *, quota: Quota, now_s: float) -> None:
        """Records what the fleet did since the last call."""
        elapsed_s = max(1e-3, now_s - self._updated_s)
        self._updated_s = now_s
        self._history.append((now_s, use.granted))
        self.window_granted += use.granted
        while self._history[0][0] <= now_s - quota.window_s:
            self.window_granted -= self._history.popleft()[1]
        self.level += elapsed_s * quota.even_rate_per_s - use.granted
        depth = max(MIN_DEPTH_REQUESTS, quota.burst)
        debt = depth
        if self._pays_within_window:
            debt = min(depth, quota.window_limit)
        self.level = min(depth, max(-debt, self.level))
        weight = 1.0 - math.exp(-elapsed_s / quota.rate_time_s)
        rate_per_s = use.asked / elapsed_s
        self.asked_per_s += weight * (rate_per_s - self.asked_per_s)
        self.granted_share = self._compute_share(quota)

    def _compute_share(self, quota: Quota) -> float:
        """Returns the part of the requests to grant, 0 to 1."""
        unseen = self.window_granted - self._granted_until(
            self._updated_s - TOTAL_DELAY_S
        )
        level = self.level + quota.even_rate_per_s * TOTAL_DELAY_S - unseen
        allowed_per_s = quota.even_rate_per_s + level / LEVEL_TIME_S
        room = quota.window_limit - self.window_granted - unseen
        begin_s = self._updated_s - quota.window_s + TOTAL_DELAY_S
        # The window must not overflow at any time until the level is used up:
        # what leaves it late makes no room before.
        for step in range(1, ROOM_STEPS + 1):
            span_s = LEVEL_TIME_S * step / ROOM_STEPS
            leaving = self._granted_until(begin_s + span_s)
            allowed_per_s = min(allowed_per_s, (room + leaving) / span_s)
        if allowed_per_s >= self.asked_per_s:
            return 1.0
        if allowed_per_s <= 0.0:
            return 0.0
        return allowed_per_s / self.asked_per_s

    def _granted_until(self, until_s: float) -> float:
        """Returns the requests of the window that were granted by a time."""
        granted = 0.0
        for at_s, count in self._history:
            if at_s > until_s:
                break
            granted += count
        return granted
