"""Spreads the times at which refused callers are asked to return.

All callers that are refused while every upstream of a service rests would
otherwise return at the same moment, when the first rest ends.
"""

import math

# Longest time after the end of a rest for which callers are told to wait. Later
# ones start over at its end, between those before them.
MAX_SPREAD_S = 2.0


class ReturnSchedule:
    """Assigns callers their turns, in the order in which they are refused."""

    def __init__(self) -> None:
        """Starts without callers."""
        self._next_s: dict[str, float] = {}
        self._rounds: dict[str, int] = {}

    def assign(
        self, *, service: str, opens_s: float, interval_s: float
    ) -> float:
        """Returns when the next caller of a service should return.

        Args:
          service: the service.
          opens_s: when the first upstream takes requests again, on the entry's
            clock, in seconds.
          interval_s: time until the service can take another request.
        """
        next_s = self._next_s.get(service, -math.inf)
        if next_s <= opens_s:
            self._rounds[service] = 0
        at_s = max(opens_s, next_s)
        if at_s > opens_s + MAX_SPREAD_S:
            self._rounds[service] += 1
            at_s = opens_s + interval_s * _fraction(self._rounds[service])
        self._next_s[service] = at_s + interval_s
        return at_s


def _fraction(number: int) -> float:
    """Returns 0, 1/2, 1/4, 3/4, 1/8 and so on, which fill 0 to 1 evenly."""
    found = 0.0
    part = 0.5
    while number:
        number, bit = divmod(number, 2)
        found += bit * part
        part /= 2
    return found
