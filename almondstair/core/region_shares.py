"""Limits how fast an entry's requests move from one region to another.

Without a limit, when traffic exceeds the capacity of a region, a third of its
requests may move to another region at once. The upstreams there have none of
the objects cached and become full for their own callers, and the share of
requests that run elsewhere jumps by more than the operators' limit between two
windows. Here the shares of each window stay close to those of the window
before, in both directions, so that requests move step by step.

An entry of a large fleet sees too few requests to tell a move from chance, and
would send some of them, as new, where they do not belong. While the sums of all
entries arrive and show no move, it does not limit its own.
"""

from collections import Counter
from collections import deque
from collections.abc import Mapping
import math
from typing import NamedTuple

# The operators compare windows of this length.
WINDOW_S = 2.0
# Windows consist of such buckets and slide by one bucket at a time.
BUCKET_S = 0.25
_BUCKETS = int(WINDOW_S / BUCKET_S)
# Part of the limit that is used: each entry's part of the region's traffic
# varies between windows, and each entry may exceed its share by one request.
USED_SHARE = 0.6
# Latest requests of the region that are compared with those before, and the
# part of the operators' limit above which they count as moving. Slower moves
# keep to the limit by themselves.
LATEST_S = 0.6
MOVING_SHARE = 0.8
# How long each entry keeps to the limit after a move was seen.
MOVE_SPAN_S = 4.0
# Maximum age of the last sums.
MAX_SUM_AGE_S = 1.0
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


class MoveDetector:
    """Tells from the sums of all entries whether requests move.

    It compares the latest requests of the region with those before.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._sums: deque[tuple[float, Mapping[str, int]]] = deque()
        self.updated_s = -math.inf

    def record(self, sent: Mapping[str, int], *, now_s: float) -> None:
        """Counts requests of all entries since the last sums."""
        self.updated_s = now_s
        self._sums.append((now_s, sent))
        while self._sums[0][0] <= now_s - LATEST_S - WINDOW_S:
            self._sums.popleft()

    def largest_change(self) -> float:
        """Returns the largest change of a region's share, 0 to 1."""
        before: Counter[str] = Counter()
        latest: Counter[str] = Counter()
        for at_s, sent in self._sums:
            if at_s <= self.updated_s - LATEST_S:
                before.update(sent)
                continue
            latest.update(sent)
        if not before.total() or not latest.total():
            return 1.0
        largest = 0.0
        for region in before.keys() | latest.keys():
            share_before = before[region] / before.total()
            share = latest[region] / latest.total()
            largest = max(largest, abs(share - share_before))
        return largest


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
        self._moves = MoveDetector()
        self._moving_until_s = -math.inf
        self.max_change = max_change

    def record_disruption(self, *, now_s: float) -> None:
        """Lifts the limit for a while, as requests have to move."""
        self._unlimited_until_s = now_s + DISRUPTION_S

    def record_sent(self, region: str, *, now_s: float) -> None:
        """Counts a request that is sent to a region."""
        self._advance(now_s)
        self._buckets[-1][region] += 1
        self._current[region] += 1

    def record_region_sent(
        self, sent: Mapping[str, int], *, now_s: float
    ) -> None:
        """Counts requests of all entries of the region since the last sums."""
        self._moves.record(sent, now_s=now_s)
        if self._moves.largest_change() > MOVING_SHARE * self.max_change:
            self._moving_until_s = now_s + MOVE_SPAN_S

    def limits(self, *, now_s: float) -> RegionLimits:
        """Returns the limits for the next request."""
        if now_s < self._unlimited_until_s or self._stands(now_s):
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

    def _stands(self, now_s: float) -> bool:
        """Returns whether the sums show that the region's requests stand."""
        if now_s - self._moves.updated_s > MAX_SUM_AGE_S:
            return False
        return now_s >= self._moving_until_s

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
