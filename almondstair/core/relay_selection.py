"""Selects the entry through which requests reach upstreams."""

from collections import Counter
from collections.abc import Collection, Iterable

import xxhash

from almondstair.core.registered_entries import Entry

# For how long an entry that did not answer or refused is used last.
AVOIDED_S = 2.0
# Requests in flight by which an entry in another zone of the region is
# preferred to one in the own zone.
ZONE_PREFERENCE = 1


class RelaySelector:
    """Spreads the requests of one entry over others.

    Attributes:
      in_flight: number of relayed requests by the entry that has them.
    """

    def __init__(self, *, own_name: str, own_region: str, own_zone: str):
        """Starts without requests.

        Args:
          own_name: name of this entry.
          own_region: its region.
          own_zone: its availability zone.
        """
        self._own_name = own_name
        self._own_region = own_region
        self._own_zone = own_zone
        self.in_flight: Counter[str] = Counter()
        self._avoided_until_s: dict[str, float] = {}

    def select(
        self,
        entries: Iterable[Entry],
        *,
        cut_off: Collection[str],
        tried: Collection[str],
        allowed_regions: Collection[str],
        request_id: bytes,
        now_s: float,
    ) -> Entry | None:
        """Returns the entry to relay a request through, None if there is none.

        It is in this entry's region if possible, and the one with the fewest
        requests of this entry.

        Args:
          entries: the registered entries.
          cut_off: names of those that reach no upstream either.
          tried: names of those that did not take the request.
          allowed_regions: regions that may get the request; all if empty.
          request_id: id of the request, which distributes ties.
          now_s: the entry's clock, in seconds.
        """
        best: Entry | None = None
        best_key = (True, True, 0, 0)
        for entry in entries:
            if not entry.relays or entry.name == self._own_name:
                continue
            if entry.name in cut_off or entry.name in tried:
                continue
            if allowed_regions and entry.region not in allowed_regions:
                continue
            key = self._sort_key(entry, request_id, now_s)
            if best is None or key < best_key:
                best = entry
                best_key = key
        return best

    def _sort_key(
        self, entry: Entry, request_id: bytes, now_s: float
    ) -> tuple[bool, bool, int, int]:
        load = self.in_flight[entry.name]
        if entry.availability_zone != self._own_zone:
            load += ZONE_PREFERENCE
        return (
            now_s < self._avoided_until_s.get(entry.name, 0.0),
            entry.region != self._own_region,
            load,
            xxhash.xxh32_intdigest(entry.name.encode() + request_id),
        )

    def avoid(self, name: str, *, now_s: float) -> None:
        """Records that an entry did not answer or refused a request."""
        self._avoided_until_s[name] = now_s + AVOIDED_S

    def record_sent(self, name: str) -> None:
        """Counts a request that is sent to an entry."""
        self.in_flight[name] += 1

    def record_ended(self, name: str) -> None:
        """Counts a request that has ended."""
        self.in_flight[name] -= 1
        if not self.in_flight[name]:
            del self.in_flight[name]
