"""Estimates how much later than usual messages from other entries arrive.

Entries share no clock, so the transit time of a single message is unknown. But
the difference between its local arrival time and the sender's timestamp is
nearly constant while transit times are. The delay of a message is its
difference minus the smallest one seen recently.

Strikes against requests need this: a strike counts only if its request started
after the previous strike. If a heartbeat is delayed for longer than the
requests that were lost with a rack had run, its strikes would look like later
ones, and the receiving entry would refuse the path for minutes.
"""

from typing import NamedTuple

# Window of the least difference. The clocks of two VMs drift apart by less
# than 0.1 ms per second, so by 6 ms within the window.
WINDOW_S = 60.0


class _LeastDifferences(NamedTuple):
    """Least differences between arrival time and sender's timestamp.

    Attributes:
      incarnation: the sender's process; another one has another clock.
      window_start_s: start of the current window.
      current_min_s: least difference in the current window.
      previous_min_s: least difference in the previous window.
    """

    incarnation: int
    window_start_s: float
    current_min_s: float
    previous_min_s: float


class MessageDelayEstimator:
    """Estimates delays from the least difference of each sender's messages."""

    def __init__(self) -> None:
        """Starts without senders."""
        self._senders: dict[str, _LeastDifferences] = {}

    def undelayed_arrival_s(
        self, *, sender: str, incarnation: int, sent_s: float, now_s: float
    ) -> float:
        """Returns when a message would have arrived without its delay.

        Args:
          sender: name of the entry that sent it.
          incarnation: its process.
          sent_s: time of sending on the sender's clock.
          now_s: time of arrival on the local clock.

        Returns:
          The time on the local clock.
        """
        difference_s = now_s - sent_s
        known = self._senders.get(sender)
        if known is None or known.incarnation != incarnation:
            known = _LeastDifferences(
                incarnation, now_s, difference_s, difference_s
            )
        elif now_s - known.window_start_s > WINDOW_S:
            known = _LeastDifferences(
                incarnation, now_s, difference_s, known.current_min_s
            )
        else:
            least_s = min(known.current_min_s, difference_s)
            known = known._replace(current_min_s=least_s)
        self._senders[sender] = known
        min_difference_s = min(known.current_min_s, known.previous_min_s)
        return now_s - max(0.0, difference_s - min_difference_s)

    def forget(self, *, sender: str) -> None:
        """Drops an entry that was removed from the entry table."""
        self._senders.pop(sender, None)
