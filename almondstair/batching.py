"""Fewer calls to the platform: batched writes and one lease for many keys."""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from almondstair.key_value import base

MAX_BATCH_BYTES = 512 << 10
"""Most bytes of values in a batch; etcd refuses requests over 1.5 MiB."""


class _Queued:
    """A write that waits for its batch, or for the batch's answer."""

    def __init__(self, *, write: base.ConditionalWrite) -> None:
        self.write = write
        self.sent = False
        self.future: asyncio.Future[base.CasResult] = (
            asyncio.get_running_loop().create_future()
        )


class BatchCounts(NamedTuple):
    """How many writes went in how many calls."""

    writes: int
    calls: int


class WriteBatcher:
    """Joins the writes that queue while a call is under way into the next one.

    With little load a write goes at once and alone. Each write gets its own
    outcome; when the service refuses a whole batch its writes go one by one,
    so one bad write does not fail the others.
    """

    def __init__(
        self,
        *,
        service: base.KeyValueService,
        max_batch: int = base.MAX_BATCH,
        max_under_way: int = 1,
    ) -> None:
        """Makes a batcher.

        Args:
          service: where the writes go.
          max_batch: most writes in a call; 1 sends each alone.
          max_under_way: most calls at once.
        """
        self._service = service
        self._max_batch = max_batch
        self._max_under_way = max_under_way
        self._urgent: collections.deque[_Queued] = collections.deque()
        self._later: collections.deque[_Queued] = collections.deque()
        self._under_way: set[asyncio.Task[None]] = set()
        self._counts = BatchCounts(0, 0)

    @property
    def counts(self) -> BatchCounts:
        """Writes and calls so far."""
        return self._counts

    async def write(
        self, *, write: base.ConditionalWrite, urgent: bool, until_s: float
    ) -> base.CasResult:
        """Carries out one write.

        Args:
          write: the write.
          urgent: goes before those that are not.
          until_s: when to stop waiting, in the loop's time.

        Returns:
          The write's own outcome.

        Raises:
          PlatformError: it failed, or the time is up; `unavailable` when the
            write had not left the queue, since it then never will.
        """
        queued = _Queued(write=write)
        if urgent:
            self._urgent.append(queued)
        else:
            self._later.append(queued)
        self._send_next()
        try:
            async with asyncio.timeout_at(until_s):
                return await queued.future
        except TimeoutError as error:
            failure = base.PlatformFailure.UNAVAILABLE
            if queued.sent:
                failure = base.PlatformFailure.UNKNOWN
            raise base.PlatformError(
                failure=failure, detail="no answer in time"
            ) from error

    def _send_next(self) -> None:
        while len(self._under_way) < self._max_under_way:
            batch = self._take_batch()
            if not batch:
                return
            task = asyncio.get_running_loop().create_task(self._send(batch))
            self._under_way.add(task)
            task.add_done_callback(self._on_sent)

    def _on_sent(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        self._send_next()

    def _take_batch(self) -> list[_Queued]:
        batch: list[_Queued] = []
        keys: set[str] = set()
        size_bytes = 0
        for queue in (self._urgent, self._later):
            while queue and len(batch) < self._max_batch:
                queued = queue[0]
                if queued.future.done():
                    # Its writer stopped waiting and counts on it never going.
                    queue.popleft()
                    continue
                size_bytes += len(queued.write.value)
                if batch and size_bytes > MAX_BATCH_BYTES:
                    return batch
                if queued.write.key in keys:
                    return batch
                queue.popleft()
                queued.sent = True
                keys.add(queued.write.key)
                batch.append(queued)
        return batch

    async def _send(self, batch: list[_Queued]) -> None:
        try:
            await self._send_batch(batch)
        finally:
            for queued in batch:
                if not queued.future.done():
                    queued.future.set_exception(
                        base.PlatformError(failure=base.PlatformFailure.UNKNOWN)
                    )

    async def _send_batch(self, batch: list[_Queued]) -> None:
        if len(batch) == 1:
            await self._send_alone(batch[0])
            return
        writes = []
        for queued in batch:
            writes.append(queued.write)
        self._count(len(writes))
        try:
            results = await self._service.write_many(writes=writes)
        except base.PlatformError as error:
            if error.failure is base.PlatformFailure.REFUSED:
                await self._send_each(batch)
                return
            for queued in batch:
                _fail(queued, error)
            return
        for queued, result in zip(batch, results, strict=True):
            _finish(queued, result)

    async def _send_each(self, batch: list[_Queued]) -> None:
        async with asyncio.TaskGroup() as group:
            for queued in batch:
                group.create_task(self._send_alone(queued))

    async def _send_alone(self, queued: _Queued) -> None:
        self._count(1)
        try:
            result = await self._service.compare_and_swap(
                **queued.write._asdict()
            )
        except base.PlatformError as error:
            _fail(queued, error)
            return
        _finish(queued, result)

    def _count(self, writes: int) -> None:
        self._counts = BatchCounts(
            self._counts.writes + writes, self._counts.calls + 1
        )


def _finish(queued: _Queued, result: base.CasResult) -> None:
    if not queued.future.done():
        queued.future.set_result(result)


def _fail(queued: _Queued, error: base.PlatformError) -> None:
    if not queued.future.done():
        queued.future.set_exception(
            base.PlatformError(failure=error.failure, detail=error.detail)
        )


def _note_error(task: asyncio.Task[int]) -> None:
    """Reads the error of a task whose waiters may all have gone."""
    if not task.cancelled():
        task.exception()


class SharedLease:
    """One lease for all keys of a period.

    A lease for each key would double the writes, and a lease kept alive would
    end early when its holder dies, which takes the keys with it. So leases are
    granted for long and never kept alive.
    """

    def __init__(
        self,
        *,
        service: base.KeyValueService,
        keep_s: float,
        period_s: float,
        now: Callable[[], float],
    ) -> None:
        """Makes a holder without a lease.

        Args:
          service: where leases are granted.
          keep_s: shortest time that a key stays.
          period_s: how long one lease is used for new keys.
          now: monotonic clock.
        """
        self._service = service
        self._ttl_s = int(keep_s + period_s)
        self._period_s = period_s
        self._now = now
        self._lease_id = 0
        self._granted_s = 0.0
        self._grant: asyncio.Task[int] | None = None

    async def current(self) -> int:
        """Returns the lease to be used now.

        Raises:
          PlatformError: a lease was needed and not granted; never `unknown`,
            since no key is touched.
        """
        if self._lease_id and self._now() < self._granted_s + self._period_s:
            return self._lease_id
        if self._grant is None:
            self._grant = asyncio.get_running_loop().create_task(self._get())
            self._grant.add_done_callback(_note_error)
        grant = self._grant
        try:
            return await asyncio.shield(grant)
        except base.PlatformError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE, detail=error.detail
            ) from error

    def forget(self, lease_id: int) -> None:
        """Drops a lease that the service refused."""
        if self._lease_id == lease_id:
            self._lease_id = 0

    async def _get(self) -> int:
        # The lease runs from some moment after this one.
        asked_s = self._now()
        try:
            self._lease_id = await self._service.grant_lease(ttl_s=self._ttl_s)
            self._granted_s = asked_s
            return self._lease_id
        finally:
            self._grant = None
