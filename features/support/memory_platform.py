"""An in-memory key-value service with watches and rollback."""

from collections.abc import Callable, Sequence

from almondstair.key_value import base
from features.support.memory_service import MemoryService


class MemoryWatch(base.Watch):
    """A watch on a `MemoryPlatform`."""

    def __init__(
        self, prefix: str, callback: Callable[[base.WatchNotice], None]
    ) -> None:
        """Watches the keys with a prefix."""
        self.prefix = prefix
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Stops further calls of the callback."""
        self.cancelled = True


class MemoryPlatform(MemoryService):
    """Adds listings, watches, rollback, and faults limited to one key."""

    def __init__(self, *, faulty_key: str) -> None:
        """Applies faults only to writes of `faulty_key`."""
        super().__init__()
        self._faulty_key = faulty_key
        self._watches: list[MemoryWatch] = []
        self._backup: dict[str, base.Record] = {}
        self.down_after_fault = False

    async def list_prefix(self, *, prefix: str, limit: int = 0) -> base.Listing:
        """Returns the records whose keys have a prefix."""
        del limit
        await self._reach()
        records = []
        for key in sorted(self.records):
            if key.startswith(prefix):
                records.append(self.records[key])
        return base.Listing(tuple(records), self.revision)

    async def write_many(
        self, *, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        """Writes; a fault applies to the next write of the faulty key."""
        faults = self.faults
        meets_fault = bool(faults) and writes[0].key == self._faulty_key
        if not meets_fault:
            self.faults = []
        try:
            return await super().write_many(writes=writes)
        finally:
            if not meets_fault:
                self.faults = faults
            elif self.down_after_fault:
                self.down = True

    def apply(
        self, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        """Applies writes and notifies the watches."""
        results = super().apply(writes)
        for write, result in zip(writes, results, strict=True):
            if result.succeeded:
                self._notify(self.records[write.key])
        return results

    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
        callback: Callable[[base.WatchNotice], None],
    ) -> base.Watch:
        """Starts a watch from the current revision.

        No change is lost, as none occurs here between a listing and its watch.
        """
        del from_revision
        watch = MemoryWatch(prefix, callback)
        self._watches.append(watch)
        return watch

    def back_up(self) -> None:
        """Saves the current state for `roll_back`."""
        self._backup = dict(self.records)

    def roll_back(self) -> None:
        """Restores the saved state, as a restore from a backup does."""
        self.records = dict(self._backup)
        for record in self.records.values():
            self._notify(record)

    def _notify(self, record: base.Record) -> None:
        event = base.WatchEvent(record.key, record, self.revision)
        notice = base.WatchNotice((event,), self.revision)
        for watch in self._watches:
            if not watch.cancelled and record.key.startswith(watch.prefix):
                watch.callback(notice)
