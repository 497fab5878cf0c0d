"""Speeds of machines that are shared with others, in virtual time."""

import bisect
from collections.abc import Callable
import random

# Shortest and longest turn of one speed, in seconds.
MIN_TURN_S = 0.2
MAX_TURN_S = 2.0


class SpeedTurns:
    """A machine that is slow in some turns and as usual in the others."""

    def __init__(
        self,
        *,
        rng: random.Random,
        share: float,
        times: float,
        starts_s: float,
        ends_s: float,
        now_s: Callable[[], float],
    ) -> None:
        """Draws the first turn; later ones are drawn when they are asked for.

        Args:
          rng: random number generator of this machine alone.
          share: probability that a turn is slow, 0 to 1.
          times: factor on run times in a slow turn.
          starts_s: start of the first turn, in seconds.
          ends_s: from when on the machine runs as usual, in seconds.
          now_s: returns the time, in seconds.
        """
        self._rng = rng
        self._share = share
        self._times = times
        self._ends_s = ends_s
        self._now_s = now_s
        # Times at which the turns begin, and their factors on run times.
        self._begins_s = [starts_s]
        self._factors = [self._draw_factor()]

    def _draw_factor(self) -> float:
        return self._times if self._rng.random() < self._share else 1.0

    def _turn_at(self, at_s: float) -> int:
        """Returns the number of the turn at a time."""
        while self._begins_s[-1] <= at_s < self._ends_s:
            turn_s = self._rng.uniform(MIN_TURN_S, MAX_TURN_S)
            begins_s = min(self._ends_s, self._begins_s[-1] + turn_s)
            is_last = begins_s >= self._ends_s
            self._factors.append(1.0 if is_last else self._draw_factor())
            self._begins_s.append(begins_s)
        return max(0, bisect.bisect_right(self._begins_s, at_s) - 1)

    def factor(self) -> float:
        """Returns the factor on run times now."""
        return self._factors[self._turn_at(self._now_s())]

    def run_s(self, usual_s: float) -> float:
        """Returns how long work takes that starts now.

        Args:
          usual_s: how long it takes at the usual speed, in seconds.
        """
        started_s = at_s = self._now_s()
        while True:
            turn = self._turn_at(at_s)
            factor = self._factors[turn]
            if turn + 1 >= len(self._begins_s):
                return at_s + usual_s * factor - started_s
            left_s = self._begins_s[turn + 1] - at_s
            if usual_s * factor <= left_s:
                return at_s + usual_s * factor - started_s
            usual_s -= left_s / factor
            at_s = self._begins_s[turn + 1]
