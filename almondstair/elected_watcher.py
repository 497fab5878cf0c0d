"""Watches the platform while this entry is one of the elected watchers.

An open watch counts as a call, so only two entries in each availability zone
hold one; the others learn of changes from heartbeats.
"""

from collections.abc import Callable
import time

from almondstair.core.heartbeats import is_watcher
from almondstair.core.membership import Membership
from almondstair.key_watcher import KeyWatcher


class ElectedWatcher:
    """Runs a key watcher while this entry is elected to watch."""

    def __init__(
        self,
        *,
        membership: Membership,
        create_watcher: Callable[[], KeyWatcher],
    ) -> None:
        """Initializes without a watch.

        Args:
          membership: decides which entries watch.
          create_watcher: creates a key watcher, not yet started.
        """
        self._membership = membership
        self._create_watcher = create_watcher
        self._key_watcher: KeyWatcher | None = None

    def update(self) -> None:
        """Starts or stops the watch as the live entries now require."""
        live = self._membership.live_entries(now_s=time.monotonic())
        wanted = is_watcher(own=self._membership.own, live=live)
        if not wanted:
            self.stop()
            return
        if self._key_watcher is None:
            self._key_watcher = self._create_watcher()
            self._key_watcher.start()

    def stop(self) -> None:
        """Stops the watch."""
        if self._key_watcher is not None:
            self._key_watcher.stop()
            self._key_watcher = None
