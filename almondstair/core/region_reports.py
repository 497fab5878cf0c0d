"""Sums where the requests of a region run, over all entries of the region.

Operators limit how fast the requests of a region move to other regions. One
entry sees too few of them to tell a move from chance. So the entries of a
region count their requests by the region in which they run. The counts travel
with the load reports (`gateway/load_exchange`), and each entry limits moves by
their sum.
"""

from collections import Counter

import xxhash

from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.use_counts import FleetCounts
from almondstair.core.use_counts import UseCount


class RegionReports(FleetCounts):
    """Holds the counts of requests by the region in which they run."""

    def __init__(self, *, own_name: str, limiter: RegionShareLimiter) -> None:
        """Starts without counts.

        Args:
          own_name: name of this entry.
          limiter: gets the sums of the region.
        """
        super().__init__(own_name=own_name)
        self._limiter = limiter
        self._names: dict[int, str] = {}

    def set_regions(self, regions: frozenset[str]) -> None:
        """Replaces the regions in which requests may run."""
        self._names = {region_hash(name): name for name in regions}

    def record_sent(self, region: str, *, now_s: float) -> None:
        """Counts a request that is sent to a region."""
        self.own.record_asked(region_hash(region), now_s=now_s)
        self._limiter.record_sent(region, now_s=now_s)

    def zone_counts(self) -> list[UseCount]:
        """Returns the sums of the own zone."""
        return [self.zone.count(name) for name in self._names]

    def total_counts(self) -> list[UseCount]:
        """Returns the sums of the own region."""
        return [self.fleet.count(name) for name in self._names]

    def apply_total(
        self, reporter: str, counts: list[UseCount], *, now_s: float
    ) -> None:
        """Applies the sums of the region, as of a reporter of the own zone."""
        sent: Counter[str] = Counter()
        uses = self.new_in_total(reporter, counts, now_s=now_s)
        for name_hash, use in uses.items():
            name = self._names.get(name_hash)
            if name is not None:
                sent[name] = use.asked
        self._limiter.record_region_sent(sent, now_s=now_s)


def region_hash(name: str) -> int:
    """Returns the hash that identifies a region in messages."""
    return xxhash.xxh32_intdigest(name.encode())
