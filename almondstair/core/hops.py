"""Which entry of a region a request is sent to.

Only the home of an upstream dispatches to it, so the entries of a region hold
its free slots between them. Their heartbeats say how many; what was sent since
is counted off, because a report lags.
"""

from typing import NamedTuple

import xxhash

from almondstair.core.entry_table import EntryRow

# An entry that refused is not asked again before its next report, or this.
REFUSAL_HOLD_S = 0.25


class _Load:
    """What one entry says of one service, and what was sent since."""

    __slots__ = ("free_slots", "heard_s", "outstanding", "refused_s")

    def __init__(self) -> None:
        self.free_slots = 0
        self.heard_s = float("-inf")
        self.outstanding = 0
        self.refused_s = float("-inf")


class RankedEntry(NamedTuple):
    """An entry with the free slots it is thought to have."""

    row: EntryRow
    free_slots: int


class HopTable:
    """Free slots by entry and service."""

    def __init__(self, *, report_limit_s: float) -> None:
        """Makes a table that knows no entry.

        Args:
          report_limit_s: age past which a report counts as unknown.
        """
        self._report_limit_s = report_limit_s
        self._loads: dict[tuple[str, str], _Load] = {}

    def heard(
        self, *, entry: str, service: str, free_slots: int, now_s: float
    ) -> None:
        """Takes an entry's report of its free slots."""
        load = self._load(entry, service)
        load.free_slots = free_slots
        load.heard_s = now_s
        load.outstanding = 0
        load.refused_s = float("-inf")

    def sent(self, *, entry: str, service: str) -> None:
        """Counts a request that goes to an entry."""
        self._load(entry, service).outstanding += 1

    def returned(self, *, entry: str, service: str) -> None:
        """Counts the end of a request that went to an entry."""
        load = self._load(entry, service)
        load.outstanding = max(0, load.outstanding - 1)

    def refused(self, *, entry: str, service: str, now_s: float) -> None:
        """Notes that an entry had no slot."""
        self._load(entry, service).refused_s = now_s

    def forget(self, *, entry: str) -> None:
        """Drops an entry that left the entry table."""
        for key in tuple(self._loads):
            if key[0] == entry:
                del self._loads[key]

    def order(
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
          service: the service.
          tried: entries that this request was sent to before.
          now_s: monotonic time.
          draw: uniform in [0, 1); turns the order among equals, so that not
            every sender picks the same entry.
        """
        ranked: list[tuple[int, int, EntryRow]] = []
        count = len(rows)
        for position, row in enumerate(rows):
            if row.name in tried:
                continue
            free_slots = self._free_slots(row.name, service, now_s)
            turn = (position + int(draw * count)) % count
            ranked.append((-free_slots, turn, row))
        ranked.sort(key=_sort_key)
        ordered = []
        for negative, _, row in ranked:
            ordered.append(RankedEntry(row, -negative))
        return tuple(ordered)

    def owner(
        self,
        *,
        rows: tuple[EntryRow, ...],
        service: str,
        fingerprint: int,
        now_s: float,
    ) -> EntryRow | None:
        """Returns the entry that runs a request which may crash upstreams.

        All entries name the same one, so that it knows at once of each
        upstream that such a request has cost. Were it sent to any entry, a
        caller that repeats it faster than word of its strikes spreads would
        find a new entry, and cost an upstream, each time.

        Args:
          rows: live entries.
          service: the service.
          fingerprint: of the request.
          now_s: monotonic time.
        """
        best: EntryRow | None = None
        best_rank = -1
        for row in rows:
            load = self._loads.get((row.name, service))
            if load is None or now_s - load.heard_s > self._report_limit_s:
                continue
            rank = xxhash.xxh3_64_intdigest(row.name.encode(), fingerprint)
            if rank > best_rank:
                best = row
                best_rank = rank
        return best

    def _free_slots(self, entry: str, service: str, now_s: float) -> int:
        load = self._loads.get((entry, service))
        if load is None or now_s - load.heard_s > self._report_limit_s:
            return 0
        if now_s - load.refused_s < REFUSAL_HOLD_S:
            return 0
        return max(0, load.free_slots - load.outstanding)

    def _load(self, entry: str, service: str) -> _Load:
        return self._loads.setdefault((entry, service), _Load())


def _sort_key(item: tuple[int, int, EntryRow]) -> tuple[int, int]:
    return item[:2]
