"""Load reports of the regions, with their ages.

A region's load is the sum over its sources: one per entry for a nearby region,
or a single digest for a remote one.
"""

from typing import NamedTuple

from almondstair.core.model import Configuration

NEVER_S = float("-inf")


class LoadTotals(NamedTuple):
    """Total load of one service in one region.

    Attributes:
      known: whether any report is within the age limit.
      slots: reported slots; the configured ones while nothing is known.
      free_slots: reported free slots less the requests sent since; 0 while
        nothing is known.
    """

    known: bool
    slots: float
    free_slots: float


class _Report(NamedTuple):
    """The last load report of a source."""

    slots: int
    free_slots: int
    measured_s: float
    expires_s: float


class RegionLoad:
    """Tracks the load of one service in one region.

    The sums are updated as reports arrive, since each request reads them and
    a region may have many sources.
    """

    __slots__ = (
        "_free_slots",
        "_known",
        "_limit_s",
        "_outstanding",
        "_reports",
        "_slots",
        "_valid_until_s",
        "configured_slots",
    )

    def __init__(self, *, configured_slots: int, limit_s: float) -> None:
        """Makes a load without reports.

        Args:
          configured_slots: slots of the upstreams configured in the region.
          limit_s: age in seconds at which a report expires.
        """
        self.configured_slots = configured_slots
        self._limit_s = limit_s
        self._reports: dict[str, _Report] = {}
        self._outstanding = 0.0
        self._slots = 0
        self._free_slots = 0
        self._known = False
        self._valid_until_s = NEVER_S

    def record_report(
        self,
        *,
        source: str,
        slots: int,
        free_slots: int,
        measured_s: float,
        limit_s: float | None = None,
    ) -> None:
        """Records a report unless a newer one of the source is known.

        Args:
          source: name of the reporting source.
          slots: slots that the source reports on.
          free_slots: free slots among them.
          measured_s: monotonic time of the measurement.
          limit_s: age in seconds at which this report expires; None for the
            default limit.
        """
        last = self._reports.get(source)
        if last is not None and last.measured_s > measured_s:
            return
        expires_s = measured_s + (self._limit_s if limit_s is None else limit_s)
        self._reports[source] = _Report(
            slots, free_slots, measured_s, expires_s
        )
        # The report already includes the source's share of the requests sent
        # before it.
        self._outstanding -= self._outstanding / len(self._reports)
        if last is None or last.expires_s < self._valid_until_s:
            # The sums do not include the source's last report.
            self._valid_until_s = NEVER_S
            return
        self._slots += slots - last.slots
        self._free_slots += free_slots - last.free_slots
        self._valid_until_s = min(self._valid_until_s, expires_s)

    def forget(self, *, source: str) -> None:
        """Drops the report of a source that was removed."""
        if self._reports.pop(source, None) is not None:
            self._valid_until_s = NEVER_S

    def record_sent(self) -> None:
        """Counts a request that was sent and is not finished yet.

        Reports lag. Without this count, every request until the next report
        would see the same free slots and be sent to the same region.
        """
        self._outstanding += 1.0

    def record_finished(self) -> None:
        """Counts the end of a request: an answer, a refusal or a failure."""
        self._outstanding = max(0.0, self._outstanding - 1.0)

    def totals(self, *, now_s: float) -> LoadTotals:
        """Returns the sums over reports within the age limit.

        An expired report adds nothing: the slots may be in use or gone.
        """
        if now_s > self._valid_until_s:
            self._recompute_sums(now_s=now_s)
        if not self._known:
            return LoadTotals(
                known=False, slots=self.configured_slots, free_slots=0.0
            )
        free_slots = max(0.0, self._free_slots - self._outstanding)
        return LoadTotals(known=True, slots=self._slots, free_slots=free_slots)

    def least_report_age_s(self, *, now_s: float) -> float | None:
        """Returns the age of the newest report, None without reports."""
        least_age_s: float | None = None
        for report in self._reports.values():
            age_s = now_s - report.measured_s
            if least_age_s is None or age_s < least_age_s:
                least_age_s = age_s
        return least_age_s

    def _recompute_sums(self, *, now_s: float) -> None:
        """Recomputes the sums; they hold until the first report expires."""
        self._slots = 0
        self._free_slots = 0
        self._known = False
        self._valid_until_s = float("inf")
        for report in self._reports.values():
            if report.expires_s < now_s:
                continue
            self._known = True
            self._slots += report.slots
            self._free_slots += report.free_slots
            self._valid_until_s = min(self._valid_until_s, report.expires_s)


def configured_slots(
    *, configuration: Configuration
) -> dict[tuple[str, str], int]:
    """Returns slots by region and service, except upstreams marked leaving."""
    slots: dict[tuple[str, str], int] = {}
    for region in configuration.regions:
        for service in configuration.services:
            slots[(region, service)] = 0
    for name, upstream in configuration.upstreams.items():
        if name in configuration.marks.leaving:
            continue
        region_name = configuration.region_of(
            availability_zone=upstream.availability_zone
        )
        if region_name is None:
            continue
        for service in upstream.services:
            if (region_name, service) in slots:
                slots[(region_name, service)] += upstream.slots
    return slots
