"""What entries tell each other of upstreams' own statements.

One response that says that its upstream leaves is enough for all entries: they
tell each other with their load reports. They repeat it for as long as the
upstream is registered and its registration does not say so, for entries that
start meanwhile.
"""

from typing import NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.report_outbox import ReportOutbox


class ReportedStatements(NamedTuple):
    """Holds what a report has of upstreams' statements.

    Attributes:
      leaving: hashes of upstreams that said that they leave.
    """

    leaving: list[int]


NO_STATEMENTS = ReportedStatements(leaving=[])


class StatementReports:
    """Selects the statements that an entry tells, and its zone's reporter."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Starts with nothing told.

        Args:
          fleet: the view of the deployment.
        """
        self._fleet = fleet
        self._own_outbox = ReportOutbox()
        self._zone_outbox = ReportOutbox()
        self._fleet_outbox = ReportOutbox()

    def in_force(self) -> list[int]:
        """Returns hashes of the upstreams that only said that they leave."""
        return self._fleet.stated_leaving()

    def own(self, *, now_s: float) -> ReportedStatements:
        """Returns what this entry tells the reporter of its zone."""
        return self._due(self._own_outbox, now_s)

    def of_zone(self, *, now_s: float) -> ReportedStatements:
        """Returns what a reporter tells those of other zones."""
        return self._due(self._zone_outbox, now_s)

    def of_fleet(self, *, now_s: float) -> ReportedStatements:
        """Returns what a reporter tells the entries of its zone."""
        return self._due(self._fleet_outbox, now_s)

    def _due(self, outbox: ReportOutbox, now_s: float) -> ReportedStatements:
        leaving = dict.fromkeys(self.in_force(), True)
        return ReportedStatements(leaving=outbox.due(leaving, now_s=now_s))
