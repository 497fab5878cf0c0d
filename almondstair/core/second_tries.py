"""The budget of second tries, shared by all entries without talking."""

from collections import deque

# Part of the operator's bound that is used: the bound is a sum over all
# entries in any window, and entries learn of each other with some delay.
USED_SHARE = 0.8
# Part of an equal share that a new entry takes. With the part of the bound that
# is used, the sum keeps under the bound even where one joins a single other.
NEWCOMER_SHARE = 0.25


class SecondTries:
    """Bounds how often requests of a service go to a second upstream.

    The bound over all entries is a ratio of the requests plus a slack. The
    ratio is kept by each entry for its own requests; of the slack each takes
    an equal part by the number of live entries. So the parts sum to less than
    the bound, also while entries cannot hear each other.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Makes a budget.

        Args:
          ratio: second tries allowed for each request.
          slack: second tries allowed besides, over all entries.
          window_s: length of the sliding window in seconds.
        """
        self.set_bounds(ratio=ratio, slack=slack, window_s=window_s)
        self._requests: dict[str, deque[float]] = {}
        self._tries: dict[str, deque[float]] = {}

    def set_bounds(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Takes other bounds; what was counted stays counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def note_request(self, *, service: str, now_s: float) -> None:
        """Counts a request for a service."""
        self._requests.setdefault(service, deque()).append(now_s)

    def take(
        self, *, service: str, entries: int, joined: bool, now_s: float
    ) -> bool:
        """Takes one second try if the budget allows it.

        Args:
          service: the service that is asked again.
          entries: live entries, among which the slack is shared.
          joined: whether the others count this entry among them; until then
            it takes less, for they have dealt out the whole slack.
          now_s: the entry's clock.
        """
        since_s = now_s - self._window_s
        requests = self._within(self._requests, service, since_s)
        tries = self._within(self._tries, service, since_s)
        slack = self._slack / max(1, entries)
        if not joined:
            slack *= NEWCOMER_SHARE
        allowed = self._ratio * len(requests) + slack
        if len(tries) + 1 > USED_SHARE * allowed:
            return False
        tries.append(now_s)
        return True

    @staticmethod
    def _within(
        times: dict[str, deque[float]], service: str, since_s: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] < since_s:
            recent.popleft()
        return recent
