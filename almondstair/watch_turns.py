"""Holds a watch on the platform while it is this entry's turn to.

A waiting watch is a counted call, so two entries of each availability zone hold
one; the others learn from heartbeats.
"""

from collections.abc import Callable
import time

from almondstair.core.heartbeats import holds_watch
from almondstair.core.membership import Membership
from almondstair.store_follower import Follower


class WatchTurns:
    """Starts and stops one follower as the turns go."""

    def __init__(
        self, *, membership: Membership, make: Callable[[], Follower]
    ) -> None:
        """Follows nothing yet.

        Args:
          membership: tells whose turn it is.
          make: makes a follower, not yet started.
        """
        self._membership = membership
        self._make = make
        self._follower: Follower | None = None

    def update(self) -> None:
        """Starts or stops, as this entry's turn has it now."""
        live = self._membership.live(now_s=time.monotonic())
        wanted = holds_watch(own=self._membership.own, live=live)
        if not wanted:
            self.stop()
            return
        if self._follower is None:
            self._follower = self._make()
            self._follower.start()

    def stop(self) -> None:
        """Follows nothing more."""
        if self._follower is not None:
            self._follower.stop()
            self._follower = None
