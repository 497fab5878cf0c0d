"""Rests that upstreams ask for, and how requests return after them.

An upstream that turns a request away may ask the entry for a rest. The entry
sends it nothing until the rest ends. Other entries were not asked, and are not
told. After a rest, requests return by steps, as the upstream may just have
recovered: first one, then twice as many with each response.
"""

import math

# Longest time over which entries return to an upstream after a rest.
MAX_RETURN_SPREAD_S = 1.0
# Time that an upstream's slot is taken to need for a request of one entry.
RETURN_SLOT_S = 0.05
# Interval at which a request is sent to an upstream that answered none since
# its rest.
RETURN_INTERVAL_S = 0.25
# Requests that each response allows in addition, until all slots are in use.
RETURN_GROWTH = 2


class UpstreamRest:
    """The rest of one incarnation of an upstream, as one entry keeps it.

    Attributes:
      resumes_s: until when it gets no requests of this entry, on the entry's
        clock, in seconds.
    """

    __slots__ = ("_allowed", "_sent_at_s", "resumes_s")

    def __init__(self) -> None:
        """Starts without a rest."""
        self.resumes_s = -math.inf
        self._allowed = math.inf
        self._sent_at_s = -math.inf

    def ask(self, *, resumes_s: float) -> None:
        """Starts a rest, or lengthens it; none is shortened."""
        self.resumes_s = max(self.resumes_s, resumes_s)
        self._allowed = 1

    def is_running(self, *, now_s: float) -> bool:
        """Returns whether the rest lasts."""
        return now_s < self.resumes_s

    def is_returning(self) -> bool:
        """Returns whether it rests, or has answered few requests since."""
        return not math.isinf(self._allowed)

    def may_send(self, *, now_s: float) -> bool:
        """Returns whether this entry may send it a request now."""
        if now_s < self.resumes_s:
            return False
        if self._allowed >= 1:
            return True
        return now_s - self._sent_at_s >= RETURN_INTERVAL_S

    def record_sent(self, *, now_s: float) -> None:
        """Counts a request that is sent to it."""
        self._sent_at_s = now_s
        self._allowed = max(0, self._allowed - 1)

    def record_response(self, *, good: bool, slots: int, now_s: float) -> None:
        """Allows more requests after a response, or starts over.

        Args:
          good: whether it took the request.
          slots: number of requests that it runs at once.
          now_s: the entry's clock, in seconds.
        """
        if math.isinf(self._allowed) or self.is_running(now_s=now_s):
            return
        if not good:
            self._allowed = 0
            return
        self._allowed += RETURN_GROWTH
        if self._allowed >= slots:
            self._allowed = math.inf


def return_spread_s(*, entries: int, slots: int) -> float:
    """Returns the time over which entries return after the same rest.

    Args:
      entries: number of entries.
      slots: number of requests that the upstream runs at once.
    """
    return min(MAX_RETURN_SPREAD_S, entries * RETURN_SLOT_S / max(1, slots))
