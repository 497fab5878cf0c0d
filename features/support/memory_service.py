"""An in-memory key-value service with faults set by the test."""

import asyncio
from collections.abc import Sequence
import enum

from almondstair.key_value import base


class Fault(enum.StrEnum):
    """A fault of one write."""

    ANSWER_LOST = "answer lost"
    CALL_LOST = "call lost"
    LATE = "late"
    LEASE_GONE = "lease gone"


class MemoryService(base.KeyValueService):
    """Stores records in a dict; `writes` counts the write calls."""

    def __init__(self) -> None:
        """Starts empty and without faults."""
        self.revision = 1
        self.records: dict[str, base.Record] = {}
        self.faults: list[Fault] = []
        self.late: list[Sequence[base.ConditionalWrite]] = []
        self.down = False
        self.delay_s = 0.0
        self.writes = 0
        self.reads = 0
        self.leases = 0

    async def get(self, *, key: str) -> base.Record | None:
        self.reads += 1
        await self._reach()
        return self.records.get(key)

    async def list_prefix(self, *, prefix: str, limit: int = 0) -> base.Listing:
        raise NotImplementedError

    async def create(
        self, *, key: str, value: bytes, lease_id: int = 0
    ) -> base.CasResult:
        return await self.compare_and_swap(
            key=key, value=value, mod_revision=0, lease_id=lease_id
        )

    async def compare_and_swap(
        self, *, key: str, value: bytes, mod_revision: int, lease_id: int = 0
    ) -> base.CasResult:
        write = base.ConditionalWrite(key, value, mod_revision, lease_id)
        return (await self.write_many(writes=[write]))[0]

    async def delete_if(self, *, key: str, mod_revision: int) -> base.CasResult:
        raise NotImplementedError

    async def write_many(
        self, *, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        self.writes += 1
        await self._reach()
        fault = self.faults.pop(0) if self.faults else None
        if fault is Fault.LEASE_GONE:
            raise base.PlatformError(failure=base.PlatformFailure.REFUSED)
        if fault is Fault.LATE:
            self.late.append(writes)
        results = None
        if fault in (None, Fault.ANSWER_LOST):
            results = self.apply(writes)
        if fault is not None or results is None:
            raise base.PlatformError(failure=base.PlatformFailure.UNKNOWN)
        return results

    async def grant_lease(self, *, ttl_s: int) -> int:
        await self._reach()
        self.leases += 1
        return self.leases

    def watch(self, *, prefix, from_revision, callback) -> base.Watch:
        raise NotImplementedError

    def apply(
        self, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        """Applies writes as one transaction."""
        results = []
        revision = self.revision + 1
        for write in writes:
            current = self.records.get(write.key)
            if write.mod_revision != (current.mod_revision if current else 0):
                results.append(base.CasResult(False, revision, current))
                continue
            self.records[write.key] = base.Record(
                write.key, write.value, 0, revision, 1, write.lease_id
            )
            self.revision = revision
            results.append(base.CasResult(True, revision))
        return tuple(results)

    async def _reach(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise base.PlatformError(failure=base.PlatformFailure.UNAVAILABLE)
