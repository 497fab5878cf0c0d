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
