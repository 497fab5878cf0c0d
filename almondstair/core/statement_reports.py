"""What entries tell each other of upstreams' own statements.

One response that says that its upstream leaves is enough for all entries: they
tell each other with their load reports. They repeat it for as long as the
upstream is registered and its registration does not say so, for entries that
start meanwhile.

A rest is asked of one entry. The others hear of it, so that they choose other
upstreams first.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.report_outbox import ReportOutbox

_MS_PER_S = 1000


class ReportedStatements(NamedTuple):
    """Holds what a report has of upstreams' statements.

    Attributes:
      leaving: hashes of upstreams that said that they leave.
      rests: hashes of upstreams that asked for rest, and for how much longer,
        in milliseconds.
    """

    leaving: list[int]
    rests: list[tuple[int, int]]


NO_STATEMENTS = ReportedStatements(leaving=[], rests=[])


class StatementReports:
    """Selects the statements that an entry tells, and its zone's reporter."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Starts with nothing told.

        Args:
          fleet: the view of the deployment.
        """
        self._fleet = fleet
        self._own_outbox = _Outbox(fleet)
        self._zone_outbox = _Outbox(fleet)
        self._fleet_outbox = _Outbox(fleet)
        # Ends of rests by upstream's hash, on this entry's clock, in seconds.
        self._member_rests: dict[str, dict[int, float]] = {}
        self._zone_rests: dict[str, dict[int, float]] = {}

    def in_force(self) -> list[int]:
        """Returns hashes of the upstreams that said something in responses."""
        return sorted({*self._fleet.stated_leaving(), *self._all_rests()})

    def apply_member(
        self, entry: str, reported: ReportedStatements, *, now_s: float
    ) -> None:
        """Records what an entry of the own zone reports."""
        _add_rests(self._member_rests.setdefault(entry, {}), reported, now_s)

    def apply_zone(
        self, reporter: str, reported: ReportedStatements, *, now_s: float
    ) -> None:
        """Records what the reporter of another zone reports."""
        _add_rests(self._zone_rests.setdefault(reporter, {}), reported, now_s)

    def expire(self, *, now_s: float) -> None:
        """Drops the rests that have ended."""
        for reports in (self._member_rests, self._zone_rests):
            for name, rests in list(reports.items()):
                for upstream, until_s in list(rests.items()):
                    if now_s >= until_s:
                        del rests[upstream]
                if not rests:
                    del reports[name]

    def own(self, *, now_s: float) -> ReportedStatements:
        """Returns what this entry tells the reporter of its zone."""
        return self._own_outbox.due(self._fleet.asked_rests(), now_s)

    def of_zone(self, *, now_s: float) -> ReportedStatements:
        """Returns what a reporter tells those of other zones."""
        return self._zone_outbox.due(self._zone_sum(), now_s)

    def of_fleet(self, *, now_s: float) -> ReportedStatements:
        """Returns what a reporter tells the entries of its zone."""
        return self._fleet_outbox.due(self._all_rests(), now_s)

    def _zone_sum(self) -> dict[int, float]:
        """Returns the rests asked of the entries of the own zone."""
        own = self._fleet.asked_rests()
        return _latest([own, *self._member_rests.values()])

    def _all_rests(self) -> dict[int, float]:
        """Returns the rests asked of all entries."""
        return _latest([self._zone_sum(), *self._zone_rests.values()])


class _Outbox:
    """Selects what is due in messages of one kind."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._leaving = ReportOutbox()
        self._rests = ReportOutbox()

    def due(
        self, rests: Mapping[int, float], now_s: float
    ) -> ReportedStatements:
        """Returns what to tell now.

        Args:
          rests: ends of rests on the entry's clock, in seconds.
          now_s: the entry's clock, in seconds.
        """
        leaving = dict.fromkeys(self._fleet.stated_leaving(), True)
        # Messages take different times, so that ends differ by some of them.
        ends = {
            upstream: int(until_s)
            for upstream, until_s in rests.items()
            if until_s > now_s
        }
        told = []
        for upstream in self._rests.due(ends, now_s=now_s):
            left_ms = round((rests[upstream] - now_s) * _MS_PER_S)
            told.append((upstream, left_ms))
        return ReportedStatements(
            leaving=self._leaving.due(leaving, now_s=now_s), rests=told
        )


def _add_rests(
    rests: dict[int, float], reported: ReportedStatements, now_s: float
) -> None:
    for upstream, left_ms in reported.rests:
        until_s = now_s + left_ms / _MS_PER_S
        rests[upstream] = max(until_s, rests.get(upstream, until_s))


def _latest(parts: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """Returns the latest end of each rest."""
    found: dict[int, float] = {}
    for rests in parts:
        for upstream, until_s in rests.items():
            found[upstream] = max(until_s, found.get(upstream, until_s))
    return found
