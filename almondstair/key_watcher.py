"""Reads one key of the platform and follows its changes."""

import asyncio
from collections.abc import Callable
import logging

from almondstair.key_value.base import KeyValueService
from almondstair.key_value.base import PlatformError
from almondstair.key_value.base import Record
from almondstair.key_value.base import Watch
from almondstair.key_value.base import WatchNotice

_log = logging.getLogger(__name__)


MIN_RETRY_DELAY_S = 0.5


MAX_RETRY_DELAY_S = 8.0


class KeyWatcher:
    """Reads a key and watches it for changes.

    A change may be delivered twice or, around a reconnect, late; the receiver
    must compare versions.
    """

    def __init__(
        self,
        *,
        service: KeyValueService,
        key: str,
        on_value: Callable[[bytes], None],
    ) -> None:
        """Initializes; nothing is called before `start`.

        Args:
          service: the platform's service.
          key: key to watch.
          on_value: called with each value, on the event loop.
        """
        self._service = service
        self._key = key
        self._on_value = on_value
        self._watch: Watch | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts watching; retries while the platform is unavailable."""
        if self._task is None and self._watch is None:
            self._restart()

    def stop(self) -> None:
        """Stops watching; `on_value` is not called again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _restart(self) -> None:
        self.stop()
        self._task = asyncio.get_running_loop().create_task(
            self._list_and_watch()
        )

    async def _list_and_watch(self) -> None:
        wait_s = MIN_RETRY_DELAY_S
        while True:
            try:
                listing = await self._service.list_prefix(prefix=self._key)
                break
            except PlatformError as error:
                _log.debug("cannot read %s: %s", self._key, error)
            await asyncio.sleep(wait_s)
            wait_s = min(2 * wait_s, MAX_RETRY_DELAY_S)
        for record in listing.records:
            self._deliver(record)
        self._watch = self._service.watch(
            prefix=self._key,
            from_revision=listing.revision + 1,
            callback=self._on_notice,
        )
        self._task = None

    def _on_notice(self, notice: WatchNotice) -> None:
        for event in notice.events:
            # Deletions are ignored: the value in force stays.
            if event.record is not None:
                self._deliver(event.record)
        if notice.gap:
            self._restart()

    def _deliver(self, record: Record) -> None:
        if record.key == self._key:
            self._on_value(record.value)
