"""Counts that entries share: requests of organisations, and where they run."""

from typing import NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.quota_reports import QuotaReports
from almondstair.core.region_reports import RegionReports
from almondstair.core.use_counts import UseCount


class ReportedCounts(NamedTuple):
    """Holds the counts of a report.

    Attributes:
      organisations: requests of organisations.
      regions: requests by the region in which they run, of entries of one
        region.
    """

    organisations: list[UseCount]
    regions: list[UseCount]


NO_COUNTS = ReportedCounts(organisations=[], regions=[])


class SharedCounts:
    """Holds an entry's counts, and the sums if it reports for its zone."""

    def __init__(
        self, *, fleet: Fleet, quotas: QuotaReports, regions: RegionReports
    ) -> None:
        """Starts with the counts that the reports have.

        Args:
          fleet: the view of the deployment.
          quotas: requests of organisations.
          regions: requests by the region in which they run.
        """
        self._fleet = fleet
        self._quotas = quotas
        self._regions = regions

    def set_reporter(self, reporter: str) -> None:
        """Counts for another reporter, from 0."""
        self._quotas.set_reporter(reporter)
        self._regions.set_reporter(reporter)

    def forget_member(self, entry: str) -> None:
        """Drops an entry of the own zone that no longer reports."""
        self._quotas.forget_member(entry)
        self._regions.forget_member(entry)

    def own(self, *, now_s: float) -> ReportedCounts:
        """Returns what this entry reports."""
        return ReportedCounts(
            organisations=self._quotas.own_counts(now_s=now_s),
            regions=self._regions.own_counts(now_s=now_s),
        )

    def apply_member(
        self, entry: str, counts: ReportedCounts, *, now_s: float
    ) -> None:
        """Adds the counts of an entry of the own zone."""
        self._quotas.apply_member(entry, counts.organisations, now_s=now_s)
        self._regions.apply_member(entry, counts.regions, now_s=now_s)

    def apply_zone(
        self, reporter: str, zone: str, counts: ReportedCounts, *, now_s: float
    ) -> None:
        """Adds the sums of another zone."""
        self._quotas.apply_zone(reporter, counts.organisations, now_s=now_s)
        if self._fleet.in_own_region(zone):
            self._regions.apply_zone(reporter, counts.regions, now_s=now_s)

    def of_zone(self, *, zones: int, now_s: float) -> ReportedCounts:
        """Returns the sums of the own zone that other zones need.

        Args:
          zones: number of availability zones.
          now_s: the entry's clock, in seconds.
        """
        organisations: list[UseCount] = []
        if self._fleet.table is not None:
            organisations = self._quotas.zone_counts(
                self._fleet.table.organisations_by_hash,
                zones=zones,
                membership=self._fleet.membership(now_s=now_s),
                now_s=now_s,
            )
        return ReportedCounts(organisations, self._regions.zone_counts())

    def of_fleet(self, *, now_s: float) -> ReportedCounts:
        """Returns the totals that the entries of the own zone need."""
        organisations: list[UseCount] = []
        if self._fleet.table is not None:
            organisations = self._quotas.total_counts(
                self._fleet.table.organisations_by_hash,
                membership=self._fleet.membership(now_s=now_s),
                now_s=now_s,
            )
        return ReportedCounts(organisations, self._regions.total_counts())

    def apply_total(
        self,
        reporter: str,
        counts: ReportedCounts,
        *,
        counted_entries: int,
        now_s: float,
    ) -> None:
        """Applies totals of a reporter of the own zone.

        Args:
          reporter: name of the reporter.
          counts: the totals.
          counted_entries: number of entries whose requests are included.
          now_s: the entry's clock, in seconds.
        """
        self._regions.apply_total(reporter, counts.regions, now_s=now_s)
        if self._fleet.table is None:
            return
        self._quotas.apply_total(
            reporter,
            counts.organisations,
            rates=self._fleet.table.organisations_by_hash,
            membership=self._fleet.membership(now_s=now_s),
            counted_entries=counted_entries,
            now_s=now_s,
        )
