"""How much later than usual messages of other entries arrive.

Entries share no clock, so a message alone does not tell how long it took. But
the difference between its arrival here and its sending there hardly changes
while messages take their usual time. What a message took longer than the
quickest one lately is its delay.

Strikes against requests need it: one counts if its request started after the
strike before. What goes wrong without: a heartbeat is held up for longer than
the requests ran that a lost rack took along; its strikes seem to be later ones,
and their path is refused for minutes by the entry that it comes to.
"""

from typing import NamedTuple

# How long the quickest message counts. Clocks of two VMs drift apart by less
# than 0.1 ms a second, so by 6 ms in that time.
SPAN_S = 60.0


class _Quickest(NamedTuple):
    """Least differences between arrival and sending, in seconds.

    Attributes:
      incarnation: the sender's process; another one has another clock.
      since_s: when the span began that `current_s` belongs to.
      current_s: least difference in it.
      before_s: least difference in the span before.
    """

    incarnation: int
    since_s: float
    current_s: float
    before_s: float


class MessageDelays:
    """Learns the usual time of each sender's messages."""

    def __init__(self) -> None:
        """Starts with no sender."""
        self._senders: dict[str, _Quickest] = {}

    def usual_arrival_s(
        self, *, sender: str, incarnation: int, sent_s: float, now_s: float
    ) -> float:
        """Returns when a message would have come usually, by the clock here.

        Args:
          sender: name of the entry that sent it.
          incarnation: its process.
          sent_s: the sender's clock when it sent the message.
          now_s: the clock here at its arrival.
        """
        difference_s = now_s - sent_s
        known = self._senders.get(sender)
        if known is None or known.incarnation != incarnation:
            known = _Quickest(incarnation, now_s, difference_s, difference_s)
        elif now_s - known.since_s > SPAN_S:
            known = _Quickest(incarnation, now_s, difference_s, known.current_s)
        else:
            least_s = min(known.current_s, difference_s)
            known = known._replace(current_s=least_s)
        self._senders[sender] = known
        usual_s = min(known.current_s, known.before_s)
        return now_s - max(0.0, difference_s - usual_s)

    def forget(self, *, sender: str) -> None:
        """Drops an entry that left the entry table."""
        self._senders.pop(sender, None)
