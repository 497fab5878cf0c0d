"""How fast an entry's requests may move from one region to another.

What goes wrong without: traffic rises past what the own region carries, and
from one moment to the next a third of its requests run in another region,
whose upstreams know none of the objects and whose own callers find them full.
One notices it by the share that runs elsewhere, which jumps by more than the
operators' bound between two windows. Here each window's shares are held to
those of the window before, in both directions, so requests move step by step.
"""

from collections import Counter
from collections import deque
from typing import NamedTuple

# The operators compare windows of this length.
WINDOW_S = 2.0
# Windows are made of these, so that they end at any moment.
BUCKET_S = 0.25
_BUCKETS = int(WINDOW_S / BUCKET_S)
# Part of the bound that is used: the entries of a region get different parts of
# its traffic in each window, and each may send one request more.
USED_SHARE = 0.7
# Requests in a window below which its shares say nothing.
LEAST_REQUESTS = 10
# How long after an upstream came, went or failed requests may move at once.
DISTURBED_S = 6.0


class Limits(NamedTuple):
    """Where the next request may go.

    Attributes:
      barred: regions that have had their part of this window.
      due: the region that has had too little of it, empty for none.
    """

    barred: frozenset[str]
    due: str


FREE = Limits(barred=frozenset(), due="")


class RegionShares:
    """Counts by region what this entry sends, and bounds how it changes."""

    def __init__(self, *, own_region: str, most_change: float) -> None:
        """Makes the bound of one entry.

        Args:
          own_region: the region of this entry and its callers; never barred.
          most_change: part of the requests that may change their region from
            one window to the next.
        """
        self._own_region = own_region
        self._buckets: deque[Counter[str]] = deque(maxlen=2 * _BUCKETS)
        self._bucket = -1
        self._before: Counter[str] = Counter()
        self._current: Counter[str] = Counter()
        self._disturbed_until_s = 0.0
        self.most_change = most_change

    def note_disturbed(self, *, now_s: float) -> None:
        """An upstream came, went or failed: its requests have to move."""
        self._disturbed_until_s = now_s + DISTURBED_S

    def note_sent(self, region: str, *, now_s: float) -> None:
        """Counts a request that goes to a region."""
        self._turn(now_s)
        self._buckets[-1][region] += 1
        self._current[region] += 1

    def limits(self, *, now_s: float) -> Limits:
        """Returns where the next request may go."""
        if now_s < self._disturbed_until_s:
            return FREE
        self._turn(now_s)
        before = self._before.total()
        current = self._current.total()
        if before < LEAST_REQUESTS:
            return FREE
        step = USED_SHARE * self.most_change
        barred = []
        due = ""
        for region in self._before.keys() | self._current.keys():
            if region == self._own_region:
                continue
            share = self._before[region] / before
            sent = self._current[region]
            if sent > (share + step) * (current + 1):
                barred.append(region)
            if sent + 1 < (share - step) * (current + 1):
                due = region
        return Limits(barred=frozenset(barred), due=due)

    def _turn(self, now_s: float) -> None:
        """Begins the buckets up to now."""
        bucket = int(now_s / BUCKET_S)
        if bucket == self._bucket:
            return
        for _ in range(min(bucket - self._bucket, 2 * _BUCKETS)):
            self._buckets.append(Counter())
        self._bucket = bucket
        self._before = Counter()
        self._current = Counter()
        older = len(self._buckets) - _BUCKETS
        for number, counts in enumerate(self._buckets):
            if number < older:
                self._before.update(counts)
                continue
            self._current.update(counts)
