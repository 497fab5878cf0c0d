"""Write batching and a shared lease, which reduce calls to the platform."""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from almondstair.key_value import base

MAX_BATCH_BYTES = 512 << 10
"""Maximum bytes of values in a batch; etcd rejects requests over 1.5 MiB."""


class _QueuedWrite:
    """A write waiting to be sent in a batch, or for the batch's result."""

    def __init__(self, *, write: base.ConditionalWrite) -> None:
        self.write = write
        self.sent = False
        self.future: asyncio.Future[base.CasResult] = (
            asyncio.get_running_loop().create_future()
        )


class BatchCounts(NamedTuple):
    """Total writes, and the calls that carried them."""

    writes: int
    calls: int


class WriteBatcher:
    """Batches the writes that queue up while a call is in flight.

    Under light load a write is sent immediately in a call of its own. Each
    write gets its own result. When the service refuses a whole batch, its
    writes are sent one by one, so one bad write does not fail the others.
    """

    def __init__(
        self,
        *,
        service: base.KeyValueService,
        max_batch: int = base.MAX_BATCH,
        max_in_flight: int = 1,
    ) -> None:
        """Initializes an idle batcher.

        Args:
          service: service that receives the writes.
          max_batch: maximum writes in a call; 1 disables batching.
          max_in_flight: maximum concurrent calls.
        """
        self._service = service
        self._max_batch = max_batch
        self._max_in_flight = max_in_flight
        self._urgent: collections.deque[_QueuedWrite] = collections.deque()
        self._normal: collections.deque[_QueuedWrite] = collections.deque()
        self._in_flight: set[asyncio.Task[None]] = set()
        self._counts = BatchCounts(0, 0)

    @property
    def counts(self) -> BatchCounts:
        """Returns the total writes and calls so far."""
        return self._counts

    async def write(
        self, *, write: base.ConditionalWrite, urgent: bool, deadline_s: float
    ) -> base.CasResult:
        """Performs one write.

        Args:
          write: the write.
          urgent: whether to send it before non-urgent writes.
          deadline_s: when to stop waiting, in event loop time in seconds.

        Returns:
          The result of this write.

        Raises:
          PlatformError: The write failed or timed out. The failure is
            `unavailable` if the write was still queued at the timeout: it is
            then never sent.
        """
        queued = _QueuedWrite(write=write)
        if urgent:
            self._urgent.append(queued)
        else:
            self._normal.append(queued)
        self._send_next()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await queued.future
        except TimeoutError as error:
            failure = base.PlatformFailure.UNAVAILABLE
            if queued.sent:
                failure = base.PlatformFailure.UNKNOWN
            raise base.PlatformError(
                failure=failure, detail="no answer in time"
            ) from error

    def _send_next(self) -> None:
        while len(self._in_flight) < self._max_in_flight:
            batch = self._pop_batch()
            if not batch:
                return
            task = asyncio.get_running_loop().create_task(self._send(batch))
            self._in_flight.add(task)
            task.add_done_callback(self._on_sent)

    def _on_sent(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        self._send_next()

    def _pop_batch(self) -> list[_QueuedWrite]:
        batch: list[_QueuedWrite] = []
        keys: set[str] = set()
        size_bytes = 0
        for queue in (self._urgent, self._normal):
            while queue and len(batch) < self._max_batch:
                queued = queue[0]
                if queued.future.done():
                    # The writer timed out and relies on it not being sent.
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

    async def _send(self, batch: list[_QueuedWrite]) -> None:
        try:
            await self._send_batch(batch)
        finally:
            for queued in batch:
                if not queued.future.done():
                    queued.future.set_exception(
                        base.PlatformError(failure=base.PlatformFailure.UNKNOWN)
                    )

    async def _send_batch(self, batch: list[_QueuedWrite]) -> None:
        if len(batch) == 1:
            await self._send_single(batch[0])
            return
        writes = []
        for queued in batch:
            writes.append(queued.write)
        self._record_call(len(writes))
        try:
            results = await self._service.write_many(writes=writes)
        except base.PlatformError as error:
            if error.failure is base.PlatformFailure.REFUSED:
                await self._send_individually(batch)
                return
            for queued in batch:
                _fail(queued, error)
            return
        for queued, result in zip(batch, results, strict=True):
            _complete(queued, result)

    async def _send_individually(self, batch: list[_QueuedWrite]) -> None:
        async with asyncio.TaskGroup() as group:
            for queued in batch:
                group.create_task(self._send_single(queued))

    async def _send_single(self, queued: _QueuedWrite) -> None:
        self._record_call(1)
        try:
            result = await self._service.compare_and_swap(
                **queued.write._asdict()
            )
        except base.PlatformError as error:
            _fail(queued, error)
            return
        _complete(queued, result)

    def _record_call(self, writes: int) -> None:
        self._counts = BatchCounts(
            self._counts.writes + writes, self._counts.calls + 1
        )


def _complete(queued: _QueuedWrite, result: base.CasResult) -> None:
    if not queued.future.done():
        queued.future.set_result(result)


def _fail(queued: _QueuedWrite, error: base.PlatformError) -> None:
    if not queued.future.done():
        queued.future.set_exception(
            base.PlatformError(failure=error.failure, detail=error.detail)
        )


def _consume_error(task: asyncio.Task[int]) -> None:
    """Retrieves the error of a task that may have no waiters left."""
    if not task.cancelled():
        task.exception()


class SharedLease:
    """Provides one lease for all keys written within a period.

    A lease for each key would double the writes. A lease that is kept alive
    would expire early if its holder crashes, and delete the keys. So leases
    have a long TTL and are never renewed.
    """

    def __init__(
        self,
        *,
        service: base.KeyValueService,
        min_key_lifetime_s: float,
        period_s: float,
        now: Callable[[], float],
    ) -> None:
        """Initializes without a lease.

        Args:
          service: service that grants the leases.
          min_key_lifetime_s: minimum lifetime of a key, in seconds.
          period_s: how long a lease is used for new keys, in seconds.
          now: returns monotonic seconds.
        """
        self._service = service
        self._ttl_s = int(min_key_lifetime_s + period_s)
        self._period_s = period_s
        self._now = now
        self._lease_id = 0
        self._granted_s = 0.0
        self._grant: asyncio.Task[int] | None = None

    async def current_id(self) -> int:
        """Returns the ID of the lease for new keys.

        Raises:
          PlatformError: A new lease was needed and not granted. The failure
            is never `unknown`, since no key is changed.
        """
        if self._lease_id and self._now() < self._granted_s + self._period_s:
            return self._lease_id
        if self._grant is None:
            self._grant = asyncio.get_running_loop().create_task(
                self._request_lease()
            )
            self._grant.add_done_callback(_consume_error)
        grant = self._grant
        try:
            return await asyncio.shield(grant)
        except base.PlatformError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE, detail=error.detail
            ) from error

    def discard(self, lease_id: int) -> None:
        """Discards a lease that the service refused."""
        if self._lease_id == lease_id:
            self._lease_id = 0

    async def _request_lease(self) -> int:
        # The lease starts later than this, so it is never used too long.
        requested_s = self._now()
        try:
            self._lease_id = await self._service.grant_lease(ttl_s=self._ttl_s)
            self._granted_s = requested_s
            return self._lease_id
        finally:
            self._grant = None
