"""Records of home roles held here or offered for handover, and of peers."""

from typing import NamedTuple

from almondstair.core.home_records import HomesReport

NEVER_S = float("-inf")


class HandoverSource(NamedTuple):
    """Identifies the process and last epoch that a role is taken over from."""

    entry: str
    incarnation: str
    held_epoch: int


NO_SOURCE = HandoverSource("", "", 0)


class HomeRole(NamedTuple):
    """Holds the home role of one upstream as this entry has or last had it.

    Attributes:
      held_epoch: last epoch in which this entry held the role.
      busy_until_s: one monotonic time for each slot that another entry's work
        takes.
      source: process whose reports may free those slots earlier, None if no
        report may.
    """

    held_epoch: int
    busy_until_s: tuple[float, ...] = ()
    source: HandoverSource | None = None


class HandoverOffer(NamedTuple):
    """Holds a handover record of this epoch, in times of this entry's clock."""

    source: HandoverSource
    busy_until_s: tuple[float, ...]

    @property
    def held_epoch(self) -> int:
        """Last epoch in which the sender held the role."""
        return self.source.held_epoch


class HomePeer(NamedTuple):
    """Holds the last reports of one peer; times are monotonic, in seconds.

    Attributes:
      report: its newest report by its own clock.
      newest_received_s: when that report arrived.
      last_received_s: when the last report of any age arrived.
      settled_s: when it first reported settled under the report's epoch.
      echo_epoch: epoch of the newest echo.
      echo_sent_s: when this entry sent the report that was echoed.
    """

    report: HomesReport
    newest_received_s: float
    last_received_s: float
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


def updated_peer(
    *, known: HomePeer | None, report: HomesReport, now_s: float
) -> HomePeer:
    """Returns the record of a sender, updated with its report.

    The settled flag and the records of a report are kept together, even if the
    report is of an epoch that this entry has yet to apply. If only the flag
    were kept, the previous home would look like an entry that never held a
    role, and its work would not be counted.

    Args:
      known: the record so far, None if there is none.
      report: the sender's report.
      now_s: monotonic time in seconds.
    """
    if known is None or known.report.incarnation != report.incarnation:
        return HomePeer(report, now_s, now_s, now_s)
    if report.sent_s <= known.report.sent_s:
        return known
    settled_s = known.settled_s
    if not known.report.settled or known.report.epoch != report.epoch:
        settled_s = now_s
    return known._replace(
        report=report, newest_received_s=now_s, settled_s=settled_s
    )
