"""Writes outcomes of claims to the platform's service in the background."""

import asyncio
from collections.abc import Awaitable, Callable
import time

from almondstair import log
from almondstair.core import idempotency
from almondstair.key_value import base

# Limits on the outcomes kept during an outage of the service and on their
# response bodies; the bodies may take an eighth of an entry's 128 MB.
MAX_PENDING = 10_000
MAX_PENDING_BODY_BYTES = 16 << 20
# Outcomes in one round; one call to the service carries as many.
MAX_WRITES_PER_ROUND = base.MAX_BATCH
# Timeout of one write; long, since no caller waits for it.
WRITE_TIMEOUT_S = 5.0
# Exponential backoff after rounds in which a write failed.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

# Performs a write. Arguments: the write, whether it is urgent, and its timeout
# as a monotonic time in seconds.
Write = Callable[
    [base.ConditionalWrite, bool, float], Awaitable[base.CasResult]
]


class OutcomeWriter:
    """Buffers outcomes and writes them to the service in batches.

    Attributes:
      dropped: outcomes dropped because `MAX_PENDING` were already pending.
      superseded: outcomes whose key holds another claim.
    """

    def __init__(
        self,
        *,
        write: Write,
        delay_s: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a writer without pending outcomes.

        Args:
          write: performs a write at the service.
          delay_s: how long outcomes are collected, so that one call carries
            several, in seconds; 0 for no delay.
          now: monotonic clock of the event loop, in seconds.
        """
        self._write = write
        self._delay_s = delay_s
        self._now = now
        self._pending: dict[bytes, idempotency.OutcomeRecording] = {}
        self._outcomes: dict[str, idempotency.ClaimRecord] = {}
        self._pending_body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._attempted: dict[bytes, asyncio.Event] = {}
        self._flush_requested = asyncio.Event()
        self.dropped = 0
        self.superseded = 0

    @property
    def pending_count(self) -> int:
        """Number of outcomes that are not written to the service yet."""
        return len(self._pending)

    def pending_outcome(
        self, *, store_key: str
    ) -> idempotency.ClaimRecord | None:
        """Returns the pending outcome of a key, None if there is none."""
        return self._outcomes.get(store_key)

    def is_released(self, *, nonce: bytes) -> bool:
        """Returns whether the release of a claim is pending."""
        recording = self._pending.get(nonce)
        if recording is None:
            return False
        return recording.record.state is idempotency.RecordState.RELEASED

    def enqueue(
        self,
        *,
        store_key: str,
        record: idempotency.ClaimRecord,
        mod_revision: int,
    ) -> None:
        """Queues an outcome to be written; returns at once.

        Args:
          store_key: key of the record in the service.
          record: the record with its outcome.
          mod_revision: revision that the write is conditional on.
        """
        if len(self._pending) >= MAX_PENDING:
            # Bounds the memory in a long outage under load.
            self.dropped += 1
            return
        size_bytes = _body_size_bytes(record) + self._pending_body_bytes
        if record.response is not None and size_bytes > MAX_PENDING_BODY_BYTES:
            record = record._replace(
                response=record.response._replace(body=None)
            )
        self._pending_body_bytes += _body_size_bytes(record)
        self._pending[record.nonce] = idempotency.OutcomeRecording(
            store_key=store_key, record=record, mod_revision=mod_revision
        )
        if record.state is not idempotency.RecordState.RELEASED:
            self._outcomes[store_key] = record
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(
                self._write_all()
            )

    async def wait_for_attempt(self, *, nonce: bytes, until_s: float) -> bool:
        """Writes an outcome without delay and waits for the write's result.

        Returns:
          Whether the write ended before `until_s`, with success or failure.
        """
        if nonce not in self._pending:
            return True
        attempted = self._attempted.setdefault(nonce, asyncio.Event())
        self._flush_requested.set()
        try:
            async with asyncio.timeout_at(until_s):
                await attempted.wait()
        except TimeoutError:
            return False
        finally:
            self._attempted.pop(nonce, None)
        return True

    async def drain(self, *, timeout_s: float) -> bool:
        """Waits until every outcome is written to the service.

        Returns:
          Whether all outcomes were written within the timeout, in seconds.
        """
        if self._task is None:
            return True
        done, _ = await asyncio.wait((self._task,), timeout=timeout_s)
        return bool(done)

    def close(self) -> None:
        """Stops writing outcomes."""
        if self._task is not None:
            self._task.cancel()

    async def _write_all(self) -> None:
        backoff_s = MIN_BACKOFF_S
        try:
            while self._pending:
                if len(self._pending) < MAX_WRITES_PER_ROUND:
                    await self._wait_for_batch()
                if await self._write_round():
                    backoff_s = MIN_BACKOFF_S
                    continue
                if backoff_s == MIN_BACKOFF_S:
                    log.event(
                        log.Event.CLAIM_NOT_RECORDED,
                        unsettled=len(self._pending),
                    )
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        finally:
            self._task = None

    async def _wait_for_batch(self) -> None:
        """Waits for the batching delay, or until a flush is requested."""
        try:
            async with asyncio.timeout(self._delay_s):
                await self._flush_requested.wait()
        except TimeoutError:
            # The batching delay is over.
            return

    async def _write_round(self) -> bool:
        """Writes the oldest outcomes; returns whether every write succeeded."""
        self._flush_requested.clear()
        writes = []
        for recording in self._pending.values():
            writes.append(self._write_one(recording))
            if len(writes) == MAX_WRITES_PER_ROUND:
                break
        return all(await asyncio.gather(*writes))

    async def _write_one(self, recording: idempotency.OutcomeRecording) -> bool:
        until_s = self._now() + WRITE_TIMEOUT_S
        state = idempotency.OutcomeRecordingState.RETRY
        while state is idempotency.OutcomeRecordingState.RETRY:
            try:
                write = recording.next_write(lease_id=0)
                urgent = recording.record.nonce in self._attempted
                result = await self._write(write, urgent, until_s)
            except base.PlatformError:
                # The caller logs the first of several failed rounds.
                self._signal_attempt(recording)
                return False
            state = recording.on_write(result)
        if state is idempotency.OutcomeRecordingState.SUPERSEDED:
            self.superseded += 1
        self._remove(recording)
        return True

    def _signal_attempt(self, recording: idempotency.OutcomeRecording) -> None:
        attempted = self._attempted.get(recording.record.nonce)
        if attempted is not None:
            attempted.set()

    def _remove(self, recording: idempotency.OutcomeRecording) -> None:
        self._signal_attempt(recording)
        record = recording.record
        del self._pending[record.nonce]
        self._pending_body_bytes -= _body_size_bytes(record)
        if record.state is not idempotency.RecordState.RELEASED:
            del self._outcomes[recording.store_key]


def _body_size_bytes(record: idempotency.ClaimRecord) -> int:
    if record.response is None or record.response.body is None:
        return 0
    return len(record.response.body)
