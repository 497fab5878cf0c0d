"""Limits the usable slots of an upstream by load reports and slow start."""

from collections.abc import Iterable

from almondstair.core.admission_records import UpstreamReport
from almondstair.core.model import Upstream
from almondstair.core.slot_tracker import Ticket
from almondstair.core.slow_start import SlowStart
from almondstair.core.slow_start import SlowStartLimits

# How long an upstream's load report is used.
MAX_REPORT_AGE_S = 1.0


class UpstreamSlots:
    """State of one upstream for admission.

    Attributes:
      services: the services that it runs.
      slots: how many requests it runs at once.
      ramp: its slow start.
      draining: whether it last reported that it accepts no new work.
    """

    def __init__(self, *, upstream: Upstream, limits: SlowStartLimits) -> None:
        """Starts cold and without a load report.

        Args:
          upstream: configuration of the upstream.
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
        """Applies a changed configuration, keeping the state."""
        self.services = upstream.services
        self.slots = upstream.slots
        self.ramp.set_slots(slots=upstream.slots)

    def record_report(
        self, *, report: UpstreamReport, in_flight: int, now_s: float
    ) -> None:
        """Records a load report.

        A report of draining stays in force until another report revokes it; it
        does not expire.

        Args:
          report: the load report.
          in_flight: number of this entry's requests that the upstream runs.
          now_s: monotonic time in seconds.
        """
        self._report = report
        self._report_s = now_s
        self._busy_for_others = max(0, report.busy - in_flight)
        self.draining = report.draining

    def report_age_s(self, *, now_s: float) -> float | None:
        """Returns the age of the last load report, None if there is none."""
        if self._report is None:
            return None
        return now_s - self._report_s

    def reported_slots(self, *, now_s: float) -> int:
        """Returns the slots that the last load report leaves to this entry.

        The report counts for a short time and never leaves less than one slot:
        an upstream that always reports itself full would otherwise get no work
        that could disprove it.
        """
        if self._report is None or now_s - self._report_s > MAX_REPORT_AGE_S:
            return self.slots
        remaining = min(self.slots, self._report.slots) - self._busy_for_others
        return max(1, remaining)

    def slow_start_slots(
        self, *, running: Iterable[Ticket], long_run_s: float, now_s: float
    ) -> int:
        """Returns how many slots slow start lets the entry use.

        Slow start opens slots as responses arrive. If long requests hold all
        open slots, no responses arrive, no slots are opened, and everything
        else is refused although most slots are free. Long-running requests
        therefore don't count against the open slots.

        Args:
          running: the entry's requests at this upstream.
          long_run_s: age in seconds above which a request is long-running.
          now_s: monotonic time in seconds.
        """
        opened = self.ramp.usable_slots(now_s=now_s)
        if not opened:
            return 0
        for ticket in running:
            if now_s - ticket.started_s > long_run_s:
                opened += 1
        return min(opened, self.slots)
