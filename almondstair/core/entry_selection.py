"""Selection of the entry of a region that a request is forwarded to.

Only the home of an upstream dispatches to it, so each entry of a region has the
free slots of its own upstreams. Heartbeats report how many; since reports lag,
requests sent since the last one are subtracted.
"""

from typing import NamedTuple

import xxhash

from almondstair.core.entry_table import EntryRow

# How long an entry that refused gets no request, unless it reports earlier.
REFUSAL_HOLD_S = 0.25


class _EntryLoad:
    """Last report of an entry for a service, and requests sent since."""

    __slots__ = ("free_slots", "outstanding", "refused_s", "reported_s")

    def __init__(self) -> None:
        self.free_slots = 0
        self.reported_s = float("-inf")
        self.outstanding = 0
        self.refused_s = float("-inf")


class RankedEntry(NamedTuple):
    """Holds an entry and the free slots that it is estimated to have."""

    row: EntryRow
    free_slots: int


class EntrySelector:
    """Estimates the free slots by entry and service."""

    def __init__(self, *, report_limit_s: float) -> None:
        """Creates a table without entries.

        Args:
          report_limit_s: age in seconds above which a report is ignored.
        """
        self._report_limit_s = report_limit_s
        self._loads: dict[tuple[str, str], _EntryLoad] = {}

    def record_report(
        self, *, entry: str, service: str, free_slots: int, now_s: float
    ) -> None:
        """Records an entry's report of its free slots."""
        load = self._load(entry, service)
        load.free_slots = free_slots
        load.reported_s = now_s
        load.outstanding = 0
        load.refused_s = float("-inf")

    def record_sent(self, *, entry: str, service: str) -> None:
        """Records that a request was sent to an entry."""
        self._load(entry, service).outstanding += 1

    def record_finished(self, *, entry: str, service: str) -> None:
        """Records that a request sent to an entry has ended."""
        load = self._load(entry, service)
        load.outstanding = max(0, load.outstanding - 1)

    def record_refusal(self, *, entry: str, service: str, now_s: float) -> None:
        """Records that an entry had no free slot."""
        self._load(entry, service).refused_s = now_s

    def remove(self, *, entry: str) -> None:
        """Removes an entry that has left the entry table."""
        for key in tuple(self._loads):
            if key[0] == entry:
                del self._loads[key]

    def ranked_entries(
        self,
        *,
        rows: tuple[EntryRow, ...],
        service: str,
        tried: frozenset[str],
        now_s: float,
        draw: float,
    ) -> tuple[RankedEntry, ...]:
        """Returns the entries to try, most free slots first.

        Args:
          rows: live entries of one region.
          service: name of the service.
          tried: entries that this request was already sent to.
          now_s: monotonic time in seconds.
          draw: random number, uniform in [0, 1); rotates the order among
            equals, so that not every sender picks the same entry.
        """
        ranked: list[tuple[int, int, EntryRow]] = []
        count = len(rows)
        for position, row in enumerate(rows):
            if row.name in tried:
                continue
            free_slots = self._free_slots(row.name, service, now_s)
            offset = (position + int(draw * count)) % count
            ranked.append((-free_slots, offset, row))
        ranked.sort(key=_sort_key)
        ordered = []
        for negated_free_slots, _, row in ranked:
            ordered.append(RankedEntry(row, -negated_free_slots))
        return tuple(ordered)

    def designated_entry(
        self,
        *,
        rows: tuple[EntryRow, ...],
        service: str,
        fingerprint: int,
        now_s: float,
    ) -> EntryRow | None:
        """Returns the entry that handles a request which may crash upstreams.

        All entries choose the same one, which thus learns at once of each
        upstream that the request has crashed. If any entry handled it, a caller
        that repeats it faster than reports of its crashes spread would reach a
        new entry, and crash an upstream, each time.

        Args:
          rows: live entries.
          service: name of the service.
          fingerprint: fingerprint of the request.
          now_s: monotonic time in seconds.
        """
        best: EntryRow | None = None
        best_rank = -1
        for row in rows:
            load = self._loads.get((row.name, service))
            if load is None or now_s - load.reported_s > self._report_limit_s:
                continue
            rank = xxhash.xxh3_64_intdigest(row.name.encode(), fingerprint)
            if rank > best_rank:
                best = row
                best_rank = rank
        return best

    def _free_slots(self, entry: str, service: str, now_s: float) -> int:
        load = self._loads.get((entry, service))
        if load is None or now_s - load.reported_s > self._report_limit_s:
            return 0
        if now_s - load.refused_s < REFUSAL_HOLD_S:
            return 0
        return max(0, load.free_slots - load.outstanding)

    def _load(self, entry: str, service: str) -> _EntryLoad:
        return self._loads.setdefault((entry, service), _EntryLoad())


def _sort_key(item: tuple[int, int, EntryRow]) -> tuple[int, int]:
    return item[:2]
