"""Rate limit on announcements that are sent outside of heartbeats.

A lost rack causes hundreds of strikes at once; without a limit each of them
would be sent to every entry immediately. Dropping those over the limit is not
an option: a request's second strike follows some milliseconds after the first,
and if no entry received it before the next heartbeat, an entry that the caller
turns to would run the request a third time. So the first announcements of an
interval are sent at once, and one at its end carries the rest.
"""

import math

# Announcements sent at once within an interval. A quarantined request has two
# strikes, and two requests may be quarantined at the same time.
DEFAULT_BURST = 4


class AnnouncementLimiter:
    """Limits the rate of announcements by delaying them; none is dropped."""

    def __init__(self, *, interval_s: float, burst: int = DEFAULT_BURST):
        """Starts without announcements.

        Args:
          interval_s: length of the interval in seconds.
          burst: announcements that may be sent at once in an interval.
        """
        self._interval_s = interval_s
        self._burst = burst
        self._interval_start_s = -math.inf
        self._count = 0
        self._scheduled = False

    def wait_s(self, *, now_s: float) -> float | None:
        """Returns how long to wait before announcing a new change.

        Returns:
          Seconds to wait, 0 to announce now, or None if an announcement that
          is already scheduled will carry the change.
        """
        if self._scheduled:
            return None
        if now_s - self._interval_start_s >= self._interval_s:
            self._interval_start_s = now_s
            self._count = 0
        self._count += 1
        if self._count <= self._burst:
            return 0.0
        self._scheduled = True
        return self._interval_start_s + self._interval_s - now_s

    def record_scheduled_sent(self, *, now_s: float) -> None:
        """Records that the scheduled announcement is sent now."""
        self._scheduled = False
        self._interval_start_s = now_s
        self._count = 1
