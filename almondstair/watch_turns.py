"""Watches the platform while this entry is one of the elected watchers.

An open watch counts as a call, so only two entries in each availability zone
hold one; the others learn of changes from heartbeats.
"""

from collections.abc import Callable
import time

from almondstair.core.heartbeats import holds_watch
from almondstair.core.membership import Membership
from almondstair.store_follower import Follower


class WatchTurns:
    """Starts and stops a key watcher as this entry is elected or not."""

    def __init__(
        self, *, membership: Membership, make: Callable[[], Follower]
    ) -> None:
        """Initializes without a watch.

        Args:
          membership: decides which entries watch.
          make: creates a key watcher, not yet started.
        """
        self._membership = membership
        self._make_follower = make
        self._follower: Follower | None = None

    def update(self) -> None:
        """Starts or stops the watch as the live entries now require."""
        live = self._membership.live(now_s=time.monotonic())
        wanted = holds_watch(own=self._membership.own, live=live)
        if not wanted:
            self.stop()
            return
        if self._follower is None:
            self._follower = self._make_follower()
            self._follower.start()

    def stop(self) -> None:
        """Stops the watch."""
        if self._follower is not None:
            self._follower.stop()
            self._follower = None
