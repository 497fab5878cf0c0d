"""The slots of one upstream: what its reports and slow start leave of them."""

from collections.abc import Iterable

from almondstair.core.admission_records import UpstreamReport
from almondstair.core.model import Upstream
from almondstair.core.slot_book import Ticket
from almondstair.core.slow_start import SlowStart
from almondstair.core.slow_start import SlowStartLimits

# How long an upstream's report of itself is believed.
REPORT_LIMIT_S = 1.0


class UpstreamSlots:
    """What admission remembers of one upstream.

    Attributes:
      services: the services that it runs.
      slots: requests that it runs at once.
      ramp: its slow start.
      draining: whether it said that it takes no new work.
    """

    def __init__(self, *, upstream: Upstream, limits: SlowStartLimits) -> None:
        """Starts cold and without a report.

        Args:
          upstream: as it is configured.
          limits: constants of slow start.
        """
        self.services = upstream.services
        self.slots = upstream.slots
        self.ramp = SlowStart(slots=upstream.slots, limits=limits)
        self.draining = False
        self._report: UpstreamReport | None = None
        self._report_s = float("-inf")
        self._busy_for_others = 0

    def configure(self, *, upstream: Upstream) -> None:
        """Takes a changed configuration, keeping what is known."""
        self.services = upstream.services
        self.slots = upstream.slots
        self.ramp.set_slots(slots=upstream.slots)

    def take_report(
        self, *, report: UpstreamReport, in_flight: int, now_s: float
    ) -> None:
        """Takes its report of itself.

        Its word that it drains stands until it says otherwise; silence does
        not take it back.

        Args:
          report: the report.
          in_flight: requests of this entry that it runs.
          now_s: the time.
        """
        self._report = report
        self._report_s = now_s
        self._busy_for_others = max(0, report.busy - in_flight)
        self.draining = report.draining

    def report_age_s(self, *, now_s: float) -> float | None:
        """Returns the age of its last report, None if there was none."""
        if self._report is None:
            return None
        return now_s - self._report_s

    def reported(self, *, now_s: float) -> int:
        """Returns the slots that its own report leaves.

        It is believed for a short time and never below one: an upstream that
        reports itself full without end would get no work to disprove it.
        """
        if self._report is None or now_s - self._report_s > REPORT_LIMIT_S:
            return self.slots
        left = min(self.slots, self._report.slots) - self._busy_for_others
        return max(1, left)

    def opened(
        self, *, running: Iterable[Ticket], long_s: float, now_s: float
    ) -> int:
        """Returns the slots that slow start lets an entry use.

        Slow start opens slots by answers. What goes wrong where long work
        holds those that are open: no answer comes, so nothing is opened, and
        everything else is refused although most slots are free. Requests that
        have run for long therefore do not count against it.

        Args:
          running: the entry's requests at this upstream.
          long_s: from when on a request has run for long.
          now_s: the time.
        """
        opened = self.ramp.usable_slots(now_s=now_s)
        if not opened:
            return 0
        for ticket in running:
            if now_s - ticket.started_s > long_s:
                opened += 1
        return min(opened, self.slots)
