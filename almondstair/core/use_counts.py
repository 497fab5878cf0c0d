"""Counts that entries report and sum up over the fleet.

Each entry counts for its zone's reporter, which adds up the counts of its zone,
exchanges the sums with the reporters of other zones, and sends totals to its
zone (`gateway/load_exchange`). Counts only rise, so that a message makes up for
lost ones before it.
"""

import abc
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

# Time constant of the rates of sums.
RATE_TIME_S = 1.0
# How long an entry repeats a count that no longer changes.
REPEAT_S = 1.0
# Longest time between two counts of a sum whose difference is used. A longer
# one includes a time in which the sum was not reported, and would look like a
# flood.
MAX_SUM_GAP_S = 1.0


class FleetUse(NamedTuple):
    """Holds what entries did in some time.

    Attributes:
      asked: requests that reached an entry.
      granted: those of them that were granted and not given back.
    """

    asked: int
    granted: int


NOTHING_USED = FleetUse(asked=0, granted=0)


class UseCount(NamedTuple):
    """Holds counts of requests at some entries.

    Attributes:
      name_hash: hash of what is counted, such as an organisation's name.
      asked: requests that reached an entry.
      denied: those of them that were refused or given back.
    """

    name_hash: int
    asked: int
    denied: int


class OwnUse:
    """Counts the requests of organisations at one entry."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._asked: dict[int, int] = {}
        self._denied: dict[int, int] = {}
        self._changed_at_s: dict[int, float] = {}
        # Not reset, for operators.
        self.asked: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()

    def reset(self) -> None:
        """Starts again from 0."""
        self._asked.clear()
        self._denied.clear()
        self._changed_at_s.clear()

    def record_asked(self, name: int, *, now_s: float) -> None:
        """Counts a request of an organisation."""
        self._asked[name] = self._asked.get(name, 0) + 1
        self._changed_at_s[name] = now_s

    def record_refused(self, name: int, *, now_s: float) -> None:
        """Counts a request that was refused."""
        self.refused[name] += 1
        self.record_returned(name, now_s=now_s)

    def record_returned(self, name: int, *, now_s: float) -> None:
        """Counts a granted request that was given back."""
        self._denied[name] = self._denied.get(name, 0) + 1
        self._changed_at_s[name] = now_s

    def forget(self, name: int) -> None:
        """Drops the counts of what is no longer counted."""
        self._asked.pop(name, None)
        self._denied.pop(name, None)
        self._changed_at_s.pop(name, None)
        del self.asked[name]
        del self.refused[name]

    def recent_counts(self, *, now_s: float) -> list[UseCount]:
        """Returns the counts that changed within `REPEAT_S`."""
        counts = []
        for name, changed_at_s in self._changed_at_s.items():
            if now_s - changed_at_s > REPEAT_S:
                continue
            asked = self._asked.get(name, 0)
            counts.append(UseCount(name, asked, self._denied.get(name, 0)))
        return counts


class CountDifferences(abc.ABC):
    """Turns the rising counts of sources into differences."""

    def __init__(self) -> None:
        """Starts without sources."""
        self._last: dict[tuple[str, int], tuple[UseCount, float]] = {}

    def difference(
        self, source: str, count: UseCount, *, now_s: float
    ) -> FleetUse:
        """Returns what changed since the last count of a source."""
        key = (source, count.name_hash)
        last = self._last.get(key)
        self._last[key] = (count, now_s)
        base = self._base(count, last, now_s)
        asked = count.asked - base.asked
        denied = count.denied - base.denied
        if asked < 0 or denied < 0:
            # The source counts from 0 again.
            asked = count.asked
            denied = count.denied
        return FleetUse(asked=asked, granted=asked - denied)

    @abc.abstractmethod
    def _base(
        self,
        count: UseCount,
        last: tuple[UseCount, float] | None,
        now_s: float,
    ) -> UseCount:
        """Returns the count from which the difference is taken."""

    def forget(self, source: str) -> None:
        """Drops the counts of a source that has gone."""
        for key in list(self._last):
            if key[0] == source:
                del self._last[key]

    def forget_name(self, name: int) -> None:
        """Drops the counts of what is no longer counted."""
        for key in list(self._last):
            if key[1] == name:
                del self._last[key]


class MemberDifferences(CountDifferences):
    """Differences of entries, which count for this reporter from 0."""

    def _base(
        self,
        count: UseCount,
        last: tuple[UseCount, float] | None,
        now_s: float,
    ) -> UseCount:
        if last is None:
            return UseCount(count.name_hash, 0, 0)
        return last[0]


class SumDifferences(CountDifferences):
    """Differences of sums, which list an organisation only at times."""

    def _base(
        self,
        count: UseCount,
        last: tuple[UseCount, float] | None,
        now_s: float,
    ) -> UseCount:
        if last is None or now_s - last[1] > MAX_SUM_GAP_S:
            return count
        return last[0]


class _Sum:
    """The sum of an organisation's counts, and the rate at which it asks."""

    __slots__ = ("asked", "asked_per_s", "denied", "updated_s")

    def __init__(self, *, now_s: float) -> None:
        self.asked = 0
        self.denied = 0
        self.asked_per_s = 0.0
        self.updated_s = now_s

    def add(self, use: FleetUse, *, now_s: float) -> None:
        self.decay(now_s=now_s)
        self.asked += use.asked
        self.denied += use.asked - use.granted
        self.asked_per_s += use.asked / RATE_TIME_S

    def decay(self, *, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.asked_per_s /= 1.0 + elapsed_s / RATE_TIME_S


class UseSums:
    """Adds up the counts of several sources."""

    def __init__(self) -> None:
        """Starts without counts."""
        self._sums: dict[int, _Sum] = {}

    def add(self, name: int, use: FleetUse, *, now_s: float) -> None:
        """Adds a difference of an organisation's counts."""
        total = self._sums.get(name)
        if total is None:
            total = _Sum(now_s=now_s)
            self._sums[name] = total
        total.add(use, now_s=now_s)

    def asked_per_s(self, name: int, *, now_s: float) -> float:
        """Returns the rate at which an organisation asks."""
        total = self._sums.get(name)
        if total is None:
            return 0.0
        total.decay(now_s=now_s)
        return total.asked_per_s

    def names(self) -> list[int]:
        """Returns the hashes of all sums."""
        return list(self._sums)

    def count(self, name: int) -> UseCount:
        """Returns the sum of an organisation's counts."""
        total = self._sums.get(name)
        if total is None:
            return UseCount(name, 0, 0)
        return UseCount(name, total.asked, total.denied)

    def forget(self, name: int) -> None:
        """Drops a sum of what is no longer counted."""
        self._sums.pop(name, None)

    def retain(self, names: Mapping[int, object]) -> None:
        """Drops the sums of organisations that no longer exist."""
        for name in list(self._sums):
            if name not in names:
                del self._sums[name]


class FleetCounts:
    """Holds an entry's counts, and the sums if it reports for its zone.

    Attributes:
      own: this entry's counts.
      zone: sums over the entries of the own zone.
      fleet: sums over the entries whose counts arrive here.
    """

    def __init__(self, *, own_name: str) -> None:
        """Starts without counts.

        Args:
          own_name: name of this entry.
        """
        self._own_name = own_name
        self._reporter = ""
        self.own = OwnUse()
        self.zone = UseSums()
        self.fleet = UseSums()
        self._members = MemberDifferences()
        self._zones = SumDifferences()
        self._totals = SumDifferences()

    def set_reporter(self, reporter: str) -> None:
        """Counts for another reporter, from 0."""
        if reporter == self._reporter:
            return
        self._reporter = reporter
        self.own.reset()
        self._members.forget(self._own_name)

    def own_counts(self, *, now_s: float) -> list[UseCount]:
        """Returns what this entry reports."""
        return self.own.recent_counts(now_s=now_s)

    def apply_member(
        self, entry: str, counts: list[UseCount], *, now_s: float
    ) -> None:
        """Adds the counts of an entry of the own zone."""
        for count in counts:
            use = self._members.difference(entry, count, now_s=now_s)
            self.zone.add(count.name_hash, use, now_s=now_s)
            self.fleet.add(count.name_hash, use, now_s=now_s)

    def apply_zone(
        self, reporter: str, counts: list[UseCount], *, now_s: float
    ) -> None:
        """Adds the sums of another zone."""
        for count in counts:
            use = self._zones.difference(reporter, count, now_s=now_s)
            self.fleet.add(count.name_hash, use, now_s=now_s)

    def forget_member(self, entry: str) -> None:
        """Drops an entry of the own zone that no longer reports."""
        self._members.forget(entry)

    def forget_name(self, name: int) -> None:
        """Drops all counts of what is no longer counted."""
        self.own.forget(name)
        self.zone.forget(name)
        self.fleet.forget(name)
        for differences in (self._members, self._zones, self._totals):
            differences.forget_name(name)

    def new_in_total(
        self, reporter: str, counts: list[UseCount], *, now_s: float
    ) -> dict[int, FleetUse]:
        """Returns what totals of a reporter add to its last ones, by hash."""
        uses = {}
        for count in counts:
            uses[count.name_hash] = self._totals.difference(
                reporter, count, now_s=now_s
            )
        return uses
