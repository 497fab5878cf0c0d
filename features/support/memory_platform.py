"""The key-value service in memory with watches and a rollback."""

from collections.abc import Callable, Sequence

from almondstair.key_value import base
from features.support.memory_service import MemoryService


class MemoryWatch(base.Watch):
    """A watch that the test's service calls."""

    def __init__(
        self, prefix: str, callback: Callable[[base.WatchNotice], None]
    ) -> None:
        """Keeps what the service needs to call it."""
        self.prefix = prefix
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Marks the watch as ended."""
        self.cancelled = True


class MemoryPlatform(MemoryService):
    """Adds lists, watches, a rollback, and faults for one key alone."""

    def __init__(self, *, faulty_key: str) -> None:
        """Names the key whose writes meet the faults."""
        super().__init__()
        self._faulty_key = faulty_key
        self._watches: list[MemoryWatch] = []
        self._backup: dict[str, base.Record] = {}
        self.down_after_fault = False

    async def list_prefix(self, *, prefix: str, limit: int = 0) -> base.Listing:
        """Returns the keys below a prefix."""
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
        """Writes; a fault waits for a write of the key that it is for."""
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
        """Carries out writes and tells the watches."""
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
        """Starts a watch; no change is missed between list and watch here."""
        del from_revision
        watch = MemoryWatch(prefix, callback)
        self._watches.append(watch)
        return watch

    def back_up(self) -> None:
        """Keeps the present state for `roll_back`."""
        self._backup = dict(self.records)

    def roll_back(self) -> None:
        """Returns to the state kept, as after a restore from a backup."""
        self.records = dict(self._backup)
        for record in self.records.values():
            self._notify(record)

    def _notify(self, record: base.Record) -> None:
        event = base.WatchEvent(record.key, record, self.revision)
        notice = base.WatchNotice((event,), self.revision)
        for watch in self._watches:
            if not watch.cancelled and record.key.startswith(watch.prefix):
                watch.callback(notice)
