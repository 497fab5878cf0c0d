"""Limits the requests per second that an entry sends to cold upstreams."""

from collections import deque

import xxhash

# Part of the operator's limit that is used; see `shared_retry_budget`.
USED_SHARE = 0.8
# The operators count per second. The window is longer by the time to reach an
# upstream: a request that is delayed, for instance by a new connection, may
# arrive within the same second as requests sent later.
WINDOW_S = 1.25


class ColdStartLimiter:
    """Keeps the rate of all entries together below a cold upstream's limit.

    Each entry has an equal share of the limit. If that is less than one request
    per second, only as many entries send as the limit has whole requests; a
    hash of entry and upstream selects them.
    """

    def __init__(
        self, *, own_name: str, rate_factor: float, slack: float
    ) -> None:
        """Creates the limits of one entry.

        Args:
          own_name: name of this entry.
          rate_factor: factor on the rate that a cold upstream tolerates.
          slack: requests per second allowed in addition.
        """
        self._own_name = own_name
        self.set_limits(rate_factor=rate_factor, slack=slack)
        self._sent: dict[str, deque[float]] = {}

    def set_limits(self, *, rate_factor: float, slack: float) -> None:
        """Replaces the limits; requests already sent stay counted."""
        self._rate_factor = rate_factor
        self._slack = slack

    def may_send(
        self,
        *,
        incarnation: str,
        rate_per_s: float,
        entry_names: frozenset[str],
        now_s: float,
    ) -> bool:
        """Returns whether a cold upstream may get another request now."""
        limit = USED_SHARE * (rate_per_s * self._rate_factor + self._slack)
        share = self._share(incarnation, int(limit), entry_names)
        sent = self._sent.setdefault(incarnation, deque())
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        return len(sent) < share

    def record_sent(self, *, incarnation: str, now_s: float) -> None:
        """Counts a request to a cold upstream."""
        self._sent.setdefault(incarnation, deque()).append(now_s)

    def forget(self, *, incarnation: str) -> None:
        """Drops the count of an upstream that no longer exists."""
        self._sent.pop(incarnation, None)

    def _share(
        self, incarnation: str, limit: int, entry_names: frozenset[str]
    ) -> int:
        count = max(1, len(entry_names))
        if limit >= count:
            return limit // count
        own = _score(self._own_name, incarnation)
        ahead = 0
        for name in entry_names:
            if _score(name, incarnation) > own:
                ahead += 1
        return 1 if ahead < limit else 0


def _score(entry_name: str, incarnation: str) -> int:
    name = f"{entry_name}\0{incarnation}"
    return xxhash.xxh3_64_intdigest(name.encode())
