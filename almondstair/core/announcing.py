"""When an entry tells the others at once, and not with its next heartbeat.

What goes wrong without the bound: a lost rack makes hundreds of strikes in a
moment, and each would be told to every entry. What goes wrong when those over
the bound are dropped: a request's second strike follows some milliseconds after
the first, nobody hears of it before the next heartbeat, and an entry that its
caller turns to runs the request a third time. So the first ones are told at
once, and one announcement at the end of the interval tells the rest.
"""

import math

# Announcements that go out at once within an interval. A request that is
# stopped makes two strikes, and two may be stopped at the same time.
DEFAULT_BURST = 4


class Announcing:
    """Spaces announcements out; none is dropped."""

    def __init__(self, *, interval_s: float, burst: int = DEFAULT_BURST):
        """Starts with nothing announced.

        Args:
          interval_s: time in which `burst` may go out at once.
          burst: how many.
        """
        self._interval_s = interval_s
        self._burst = burst
        self._began_s = -math.inf
        self._count = 0
        self._planned = False

    def wait_s(self, *, now_s: float) -> float | None:
        """Returns when to announce what has just been noted.

        Returns:
          0 for now, a time to wait in seconds, or None when an announcement
          that is already planned will tell it.
        """
        if self._planned:
            return None
        if now_s - self._began_s >= self._interval_s:
            self._began_s = now_s
            self._count = 0
        self._count += 1
        if self._count <= self._burst:
            return 0.0
        self._planned = True
        return self._began_s + self._interval_s - now_s

    def planned_told(self, *, now_s: float) -> None:
        """The planned announcement goes out now."""
        self._planned = False
        self._began_s = now_s
        self._count = 1
