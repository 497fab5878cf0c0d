"""What entries tell each other of upstreams' limits.

Each entry tells the newest statements that it knows, with their age, and counts
its requests to the upstreams that have a limit. Both travel with the load
reports (`gateway/load_exchange`).
"""

from typing import NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.quotas import FleetTotals
from almondstair.core.rate_reports import RateReports
from almondstair.core.report_outbox import ReportOutbox
from almondstair.core.upstream_limits import LimitChange
from almondstair.core.upstream_limits import LimitStatement
from almondstair.core.upstream_limits import UpstreamLimits
from almondstair.core.use_counts import UseCount

# Time over which a limit holds. An upstream that got a burst has less for the
# rest of it.
LIMIT_WINDOW_S = 4.0


class ReportedLimits(NamedTuple):
    """Holds what a report has of upstreams' limits.

    Attributes:
      statements: the newest statements of upstreams.
      counts: requests for upstreams with a limit, by the upstream's hash.
    """

    statements: list[LimitStatement]
    counts: list[UseCount]


NO_LIMITS = ReportedLimits(statements=[], counts=[])


class LimitReports:
    """Holds the limits and counts of an entry, and its zone's if it reports.

    Attributes:
      limits: limits that upstreams state.
      counts: requests for upstreams with a limit.
    """

    def __init__(self, *, own_name: str, fleet: Fleet) -> None:
        """Starts without limits.

        Args:
          own_name: name of this entry.
          fleet: the view of the deployment.
        """
        self._fleet = fleet
        self.limits = UpstreamLimits()
        self.counts = RateReports(
            own_name=own_name,
            limiter=FleetTotals(
                own_name=own_name, window_s=LIMIT_WINDOW_S, starts_used=True
            ),
        )
        self._own_outbox = ReportOutbox()
        self._zone_outbox = ReportOutbox()
        self._fleet_outbox = ReportOutbox()

    def set_reporter(self, reporter: str) -> None:
        """Counts for another reporter, from 0."""
        self.counts.set_reporter(reporter)

    def forget_member(self, entry: str) -> None:
        """Drops an entry of the own zone that no longer reports."""
        self.counts.forget_member(entry)

    def expire(self, *, now_s: float) -> None:
        """Drops limits that ended and those of upstreams that have gone."""
        dropped = self.limits.expire(self._fleet.upstreams_by_hash, now_s=now_s)
        for upstream in dropped:
            self.counts.forget_name(upstream)

    def in_force(self) -> list[tuple[int, float | None]]:
        """Returns the newest statements without their ages."""
        return self.limits.rates()

    def own(self, *, now_s: float) -> ReportedLimits:
        """Returns what this entry reports."""
        return ReportedLimits(
            statements=self._due(self._own_outbox, now_s),
            counts=self.counts.own_counts(now_s=now_s),
        )

    def of_zone(self, *, zones: int, now_s: float) -> ReportedLimits:
        """Returns what other zones need of the own zone.

        Args:
          zones: number of availability zones.
          now_s: the entry's clock, in seconds.
        """
        return ReportedLimits(
            statements=self._due(self._zone_outbox, now_s),
            counts=self.counts.zone_counts(
                self.limits.rate_limits(),
                zones=zones,
                membership=self._fleet.membership(now_s=now_s),
                now_s=now_s,
            ),
        )

    def of_fleet(self, *, now_s: float) -> ReportedLimits:
        """Returns what the entries of the own zone need of the fleet."""
        return ReportedLimits(
            statements=self._due(self._fleet_outbox, now_s),
            counts=self.counts.total_counts(
                self.limits.rate_limits(),
                membership=self._fleet.membership(now_s=now_s),
                now_s=now_s,
            ),
        )

    def _due(self, outbox: ReportOutbox, now_s: float) -> list[LimitStatement]:
        due = set(outbox.due(dict(self.limits.rates()), now_s=now_s))
        statements = self.limits.statements(now_s=now_s)
        return [each for each in statements if each.upstream in due]

    def apply_own(self, *, entry: str, now_s: float) -> None:
        """Adds the counts of this entry, which reports for its zone."""
        counts = self.counts.own_counts(now_s=now_s)
        self.counts.apply_member(entry, counts, now_s=now_s)

    def apply_member(
        self, entry: str, reported: ReportedLimits, *, now_s: float
    ) -> list[LimitChange]:
        """Applies what an entry of the own zone reports."""
        self.counts.apply_member(entry, reported.counts, now_s=now_s)
        return self.apply_statements(reported.statements, now_s=now_s)

    def apply_zone(
        self, reporter: str, reported: ReportedLimits, *, now_s: float
    ) -> list[LimitChange]:
        """Applies what the reporter of another zone reports."""
        self.counts.apply_zone(reporter, reported.counts, now_s=now_s)
        return self.apply_statements(reported.statements, now_s=now_s)

    def apply_total(
        self,
        reporter: str,
        reported: ReportedLimits,
        *,
        counted_entries: int,
        now_s: float,
    ) -> list[LimitChange]:
        """Applies totals of a reporter of the own zone.

        Args:
          reporter: name of the reporter.
          reported: the totals.
          counted_entries: number of entries whose requests are included.
          now_s: the entry's clock, in seconds.
        """
        changes = self.apply_statements(reported.statements, now_s=now_s)
        self.counts.apply_total(
            reporter,
            reported.counts,
            rates=self.limits.rate_limits(),
            membership=self._fleet.membership(now_s=now_s),
            counted_entries=counted_entries,
            now_s=now_s,
        )
        return changes

    def apply_statements(
        self, statements: list[LimitStatement], *, now_s: float
    ) -> list[LimitChange]:
        """Applies what another entry tells; returns the changes it makes."""
        changes = []
        for statement in statements:
            change = self.limits.apply_statement(statement, now_s=now_s)
            if change is not None:
                changes.append(change)
        return changes
