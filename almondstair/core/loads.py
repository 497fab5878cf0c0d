"""Load reports of the regions, with their ages.

A region's load is the sum over its sources: one per entry nearby, or a single
digest for a region far away.
"""

from typing import NamedTuple

from almondstair.core.model import Configuration

NEVER_S = float("-inf")


class Totals(NamedTuple):
    """Load of one service in one region.

    Attributes:
      known: whether any report is within the limit of age.
      slots: slots reported; those configured while nothing is known.
      free_slots: free slots reported, less what was sent since; 0 while
        nothing is known.
    """

    known: bool
    slots: float
    free_slots: float


class _Report(NamedTuple):
    """The last load report of one source."""

    slots: int
    free_slots: int
    measured_s: float
    ends_s: float


class RegionLoad:
    """Load of one service in one region.

    Sums are kept as reports arrive, since they are read on each request and
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
          configured_slots: slots of the upstreams configured there.
          limit_s: age at which a report no longer counts.
        """
        self.configured_slots = configured_slots
        self._limit_s = limit_s
        self._reports: dict[str, _Report] = {}
        self._outstanding = 0.0
        self._slots = 0
        self._free_slots = 0
        self._known = False
        self._valid_until_s = NEVER_S

    def report(
        self,
        *,
        source: str,
        slots: int,
        free_slots: int,
        measured_s: float,
        limit_s: float | None = None,
    ) -> None:
        """Takes a report unless a younger one of the source is known.

        Args:
          source: who reports.
          slots: slots that it answers for.
          free_slots: free ones among them.
          measured_s: when they were counted.
          limit_s: age at which this report no longer counts; None for the
            limit of the load.
        """
        last = self._reports.get(source)
        if last is not None and last.measured_s > measured_s:
            return
        ends_s = measured_s + (self._limit_s if limit_s is None else limit_s)
        self._reports[source] = _Report(slots, free_slots, measured_s, ends_s)
        # The report covers what was sent before it, in its source's part.
        self._outstanding -= self._outstanding / len(self._reports)
        if last is None or last.ends_s < self._valid_until_s:
            # Its last report is not in the sums.
            self._valid_until_s = NEVER_S
            return
        self._slots += slots - last.slots
        self._free_slots += free_slots - last.free_slots
        self._valid_until_s = min(self._valid_until_s, ends_s)

    def forget(self, *, source: str) -> None:
        """Drops a source that left."""
        if self._reports.pop(source, None) is not None:
            self._valid_until_s = NEVER_S

    def sent(self) -> None:
        """Counts a request sent and not answered yet.

        A report lags. Without this every request until the next report would
        see the same free slots, and all would go there at once.
        """
        self._outstanding += 1.0

    def returned(self) -> None:
        """Counts an answer, a refusal or a failure."""
        self._outstanding = max(0.0, self._outstanding - 1.0)

    def totals(self, *, now_s: float) -> Totals:
        """Returns the sums over reports within the limit.

        A source past the limit adds nothing: its slots may be taken or gone.
        """
        if now_s > self._valid_until_s:
            self._add_up(now_s=now_s)
        if not self._known:
            return Totals(
                known=False, slots=self.configured_slots, free_slots=0.0
            )
        free_slots = max(0.0, self._free_slots - self._outstanding)
        return Totals(known=True, slots=self._slots, free_slots=free_slots)

    def youngest_age_s(self, *, now_s: float) -> float | None:
        """Returns the age of the youngest report, None without any."""
        youngest_s: float | None = None
        for report in self._reports.values():
            age_s = now_s - report.measured_s
            if youngest_s is None or age_s < youngest_s:
                youngest_s = age_s
        return youngest_s

    def _add_up(self, *, now_s: float) -> None:
        """Adds up again; valid until the first report counted runs out."""
        self._slots = 0
        self._free_slots = 0
        self._known = False
        self._valid_until_s = float("inf")
        for report in self._reports.values():
            if report.ends_s < now_s:
                continue
            self._known = True
            self._slots += report.slots
            self._free_slots += report.free_slots
            self._valid_until_s = min(self._valid_until_s, report.ends_s)


def configured_slots(
    *, configuration: Configuration
) -> dict[tuple[str, str], int]:
    """Returns the slots by region and service, leaving upstreams left out."""
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
