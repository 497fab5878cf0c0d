"""How many requests a second this entry may send to a cold upstream."""

from collections import deque

import xxhash

# Part of the operator's bound that is used; see `second_tries`.
USED_SHARE = 0.8
# The operators' second, and longer by the way to an upstream: requests of one
# second arrive later than those of the next, by a new connection for instance,
# and would meet them inside one second at the upstream.
WINDOW_S = 1.25


class ColdStarts:
    """Keeps the sum over all entries under a cold upstream's bound.

    Each entry has an equal part of the bound. Where that is less than one
    request a second, only as many entries as there are whole requests send at
    all; which ones follows from a hash of entry and upstream.
    """

    def __init__(self, *, own_name: str, over: float, slack: float) -> None:
        """Makes the bounds of one entry.

        Args:
          own_name: name of this entry.
          over: factor on the rate that a cold upstream tolerates.
          slack: requests a second allowed besides.
        """
        self._own_name = own_name
        self.set_bounds(over=over, slack=slack)
        self._sent: dict[str, deque[float]] = {}

    def set_bounds(self, *, over: float, slack: float) -> None:
        """Takes other bounds; what was sent stays counted."""
        self._over = over
        self._slack = slack

    def may_send(
        self,
        *,
        incarnation: str,
        rate_per_s: float,
        entry_names: frozenset[str],
        now_s: float,
    ) -> bool:
        """Whether one more request may go to a cold upstream now."""
        bound = USED_SHARE * (rate_per_s * self._over + self._slack)
        share = self._share(incarnation, int(bound), entry_names)
        sent = self._sent.setdefault(incarnation, deque())
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        return len(sent) < share

    def note_sent(self, *, incarnation: str, now_s: float) -> None:
        """Counts a request to a cold upstream."""
        self._sent.setdefault(incarnation, deque()).append(now_s)

    def forget(self, *, incarnation: str) -> None:
        """Drops the count of an upstream that is gone."""
        self._sent.pop(incarnation, None)

    def _share(
        self, incarnation: str, bound: int, entry_names: frozenset[str]
    ) -> int:
        count = max(1, len(entry_names))
        if bound >= count:
            return bound // count
        own = _score(self._own_name, incarnation)
        before = 0
        for name in entry_names:
            if _score(name, incarnation) > own:
                before += 1
        return 1 if before < bound else 0


def _score(entry_name: str, incarnation: str) -> int:
    name = f"{entry_name}\0{incarnation}"
    return xxhash.xxh3_64_intdigest(name.encode())
