"""Reads a key of the platform's service and hears of its changes."""

import asyncio
from collections.abc import Callable
import logging

from almondstair.key_value.base import KeyValueService
from almondstair.key_value.base import PlatformError
from almondstair.key_value.base import Record
from almondstair.key_value.base import Watch
from almondstair.key_value.base import WatchNotice

_log = logging.getLogger(__name__)


REREAD_FIRST_S = 0.5


REREAD_LAST_S = 8.0


class Follower:
    """Reads a key and hears of its changes.

    A change may be handed over twice or, around a reconnect, late; whoever
    takes it compares versions.
    """

    def __init__(
        self,
        *,
        service: KeyValueService,
        key: str,
        on_value: Callable[[bytes], None],
    ) -> None:
        """Prepares to follow; nothing is called before `start`.

        Args:
          service: the platform's service.
          key: the key.
          on_value: called with each value, on the loop.
        """
        self._service = service
        self._key = key
        self._on_value = on_value
        self._watch: Watch | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to follow; while the platform is out it tries again."""
        if self._task is None and self._watch is None:
            self._restart()

    def stop(self) -> None:
        """Stops; `on_value` is not called again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _restart(self) -> None:
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self._begin())

    async def _begin(self) -> None:
        wait_s = REREAD_FIRST_S
        while True:
            try:
                listing = await self._service.list_prefix(prefix=self._key)
                break
            except PlatformError as error:
                _log.debug("cannot read %s: %s", self._key, error)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, REREAD_LAST_S)
        for record in listing.records:
            self._hand_over(record)
        self._watch = self._service.watch(
            prefix=self._key,
            from_revision=listing.revision + 1,
            callback=self._on_notice,
        )
        self._task = None

    def _on_notice(self, notice: WatchNotice) -> None:
        for event in notice.events:
            # A deletion is not followed: what is in force stays.
            if event.record is not None:
                self._hand_over(event.record)
        if notice.gap:
            self._restart()

    def _hand_over(self, record: Record) -> None:
        if record.key == self._key:
            self._on_value(record.value)
