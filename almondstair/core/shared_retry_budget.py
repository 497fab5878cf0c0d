"""A retry budget that all entries share without communication."""

from collections import deque

# Part of the operator's limit that is used: the limit applies to all entries in
# any window, and entries learn of each other with some delay.
USED_SHARE = 0.8
# Part of an equal share that a new entry uses. Together with `USED_SHARE` it
# keeps the total below the limit even if one entry joins a single other one.
NEWCOMER_SHARE = 0.25


class SharedRetryBudget:
    """Limits how often requests of a service are retried at another upstream.

    The limit over all entries is a ratio of the requests plus a slack. Each
    entry applies the ratio to its own requests and divides the slack by the
    number of live entries. So the shares sum to less than the limit, even while
    entries cannot communicate.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Creates a budget.

        Args:
          ratio: retries allowed per request.
          slack: retries allowed in addition, over all entries.
          window_s: length of the sliding window, in seconds.
        """
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_limits(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Replaces the limits; counted requests and retries stay counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, *, service: str, now_s: float) -> None:
        """Counts a request for a service."""
        self._requests.setdefault(service, deque()).append(now_s)

    def try_acquire(
        self, *, service: str, entries: int, joined: bool, now_s: float
    ) -> bool:
        """Counts a retry and returns True if the budget allows it.

        Args:
          service: the service of the request.
          entries: number of live entries, which share the slack.
          joined: whether the other entries count this one among them; until
            then it uses less, as they divide the whole slack among themselves.
          now_s: the entry's clock, in seconds.
        """
        since_s = now_s - self._window_s
        requests = self._drop_older(self._requests, service, since_s)
        retries = self._drop_older(self._retries, service, since_s)
        slack = self._slack / max(1, entries)
        if not joined:
            slack *= NEWCOMER_SHARE
        allowed = self._ratio * len(requests) + slack
        if len(retries) + 1 > USED_SHARE * allowed:
            return False
        retries.append(now_s)
        return True

    @staticmethod
    def _drop_older(
        times: dict[str, deque[float]], service: str, since_s: float
    ) -> deque[float]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] < since_s:
            recent.popleft()
        return recent
