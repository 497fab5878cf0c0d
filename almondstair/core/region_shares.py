"""Limits how fast an entry's requests move from one region to another.

Without a limit, when traffic exceeds the capacity of a region, a third of its
requests may move to another region at once. The upstreams there have none of
the objects cached and become full for their own callers, and the share of
requests that run elsewhere jumps by more than the operators' limit between two
windows. Here the shares of each window stay close to those of the window
before, in both directions, so that requests move step by step.
"""

from collections import Counter
from collections import deque
from typing import NamedTuple

# The operators compare windows of this length.
WINDOW_S = 2.0
# Windows consist of such buckets and slide by one bucket at a time.
BUCKET_S = 0.25
_BUCKETS = int(WINDOW_S / BUCKET_S)
# Part of the limit that is used: each entry's part of the region's traffic
# varies between windows, and each entry may exceed its share by one request.
USED_SHARE = 0.7
# Requests in a window below which its shares are not significant.
LEAST_REQUESTS = 10
# Time without the limit after an upstream was added, was removed or failed.
DISRUPTION_S = 6.0


class RegionLimits(NamedTuple):
    """Holds the limits for the region of the next request.

    Attributes:
      excluded: regions that have used their share of this window.
      underserved: a region with less than its minimum share of this window, or
        empty.
    """

    excluded: frozenset[str]
    underserved: str


UNLIMITED = RegionLimits(excluded=frozenset(), underserved="")


class RegionShareLimiter:
    """Counts requests by region and limits how their shares change."""

    def __init__(self, *, own_region: str, max_change: float) -> None:
        """Creates the limit of one entry.

        Args:
          own_region: the region of this entry and its callers; never excluded.
          max_change: part of the requests, 0 to 1, that may change their
            region from one window to the next.
        """
        self._own_region = own_region
        self._buckets: deque[Counter[str]] = deque(maxlen=2 * _BUCKETS)
        self._bucket = -1
        self._previous: Counter[str] = Counter()
        self._current: Counter[str] = Counter()
        self._unlimited_until_s = 0.0
        self.max_change = max_change

    def record_disruption(self, *, now_s: float) -> None:
        """Lifts the limit for a while, as requests have to move."""
        self._unlimited_until_s = now_s + DISRUPTION_S

    def record_sent(self, region: str, *, now_s: float) -> None:
        """Counts a request that is sent to a region."""
        self._advance(now_s)
        self._buckets[-1][region] += 1
        self._current[region] += 1

    def limits(self, *, now_s: float) -> RegionLimits:
        """Returns the limits for the next request."""
        if now_s < self._unlimited_until_s:
            return UNLIMITED
        self._advance(now_s)
        before = self._previous.total()
        current = self._current.total()
        if before < LEAST_REQUESTS:
            return UNLIMITED
        step = USED_SHARE * self.max_change
        excluded = []
        underserved = ""
        for region in self._previous.keys() | self._current.keys():
            if region == self._own_region:
                continue
            share = self._previous[region] / before
            sent = self._current[region]
            if sent > (share + step) * (current + 1):
                excluded.append(region)
            if sent + 1 < (share - step) * (current + 1):
                underserved = region
        return RegionLimits(
            excluded=frozenset(excluded), underserved=underserved
        )

    def _advance(self, now_s: float) -> None:
        """Starts the buckets up to now and recounts both windows."""
        bucket = int(now_s / BUCKET_S)
        if bucket == self._bucket:
            return
        for _ in range(min(bucket - self._bucket, 2 * _BUCKETS)):
            self._buckets.append(Counter())
        self._bucket = bucket
        self._previous = Counter()
        self._current = Counter()
        older = len(self._buckets) - _BUCKETS
        for number, counts in enumerate(self._buckets):
            if number < older:
                self._previous.update(counts)
                continue
            self._current.update(counts)
