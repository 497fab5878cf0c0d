"""What an entry remembers of duties: its own, offered ones, and its peers'."""

from typing import NamedTuple

from almondstair.core.home_records import HomesReport

NEVER_S = float("-inf")


class DutySource(NamedTuple):
    """The process, and its record, that a duty was taken over from."""

    entry: str
    incarnation: str
    held_epoch: int


NOBODY = DutySource("", "", 0)


class HeldDuty(NamedTuple):
    """The duty of one upstream as this entry holds or last held it.

    Attributes:
      held_epoch: last epoch in which this entry held it.
      busy_until_s: one time for each slot taken by another's work.
      source: whose word may free those slots sooner; None for nobody's.
    """

    held_epoch: int
    busy_until_s: tuple[float, ...] = ()
    source: DutySource | None = None


class DutyOffer(NamedTuple):
    """A record received under the current epoch, in this entry's time."""

    source: DutySource
    busy_until_s: tuple[float, ...]

    @property
    def held_epoch(self) -> int:
        """Last epoch in which the sender held the duty."""
        return self.source.held_epoch


class HomePeer(NamedTuple):
    """What was last heard of one entry.

    Attributes:
      report: its newest report by its own clock.
      report_s: when that came.
      heard_s: when anything came from it.
      settled_s: when it was first heard settled under the report's epoch.
      echo_epoch: epoch of the newest echo.
      echo_sent_s: this entry's own clock at the report that was echoed.
    """

    report: HomesReport
    report_s: float
    heard_s: float
    settled_s: float
    echo_epoch: int = 0
    echo_sent_s: float = NEVER_S

    def with_echo(self, *, report: HomesReport) -> "HomePeer":
        """Returns this record with the echo in a report, if it is newer."""
        if report.echo_sent_s is None or report.epoch < self.echo_epoch:
            return self
        sent_s = report.echo_sent_s
        if report.epoch == self.echo_epoch:
            sent_s = max(sent_s, self.echo_sent_s)
        return self._replace(echo_epoch=report.epoch, echo_sent_s=sent_s)


def next_peer(
    *, known: HomePeer | None, report: HomesReport, now_s: float
) -> HomePeer:
    """Returns what is known of a sender, the report's word included.

    What a report says of settling and its records are kept together, also
    when it is of an epoch that this entry has yet to apply. Were the one
    remembered and the other dropped, the last holder would look like an
    entry that never held anything, and its work would not be counted.

    Args:
      known: what was known of the sender.
      report: its report.
      now_s: monotonic time.
    """
    if known is None or known.report.incarnation != report.incarnation:
        return HomePeer(report, now_s, now_s, now_s)
    if report.sent_s <= known.report.sent_s:
        return known
    settled_s = known.settled_s
    if not known.report.settled or known.report.epoch != report.epoch:
        settled_s = now_s
    return known._replace(report=report, report_s=now_s, settled_s=settled_s)
