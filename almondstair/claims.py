"""Claims of idempotency keys in the platform's key-value service.

Does the I/O for the decisions of `almondstair.core.idempotency`: calls, leases,
batches, and outcomes that are written after the caller has its response.
"""

import asyncio
from collections.abc import Callable
import secrets
import time
from typing import NamedTuple

from almondstair import log
from almondstair import write_batcher
from almondstair.core import idempotency
from almondstair.core.circuit_breaker import CircuitBreaker
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.key_value import base
from almondstair.outcome_writer import OutcomeWriter

LEASE_ROTATION_S = 3600.0
MAX_OBSERVED_CLAIMS = 10_000
LOOKUP_TIMEOUT_S = 0.25
# Longest time that a refusal waits for the write of its released claim. A write
# takes a few milliseconds; two in sequence to a distant region take 0.2 s.
MAX_RELEASE_WAIT_S = 0.4
NONCE_BYTES = 16


class ClaimCounters(NamedTuple):
    """Holds counters for metrics.

    Attributes:
      writes: conditional writes of claims and outcomes.
      calls: calls to the service that carried these writes.
      pending: outcomes that are not written to the service yet.
      dropped: outcomes dropped because the memory limit was reached; a repeat
        of their key gets `outcome_unknown`.
      superseded: outcomes whose key holds another claim; expected for
        released claims.
    """

    writes: int
    calls: int
    pending: int
    dropped: int
    superseded: int


class Claims:
    """Claims keys for one entry and writes their outcomes."""

    def __init__(
        self,
        *,
        service: base.KeyValueService,
        entry_name: str,
        incarnation: str,
        is_live: Callable[[str, str], bool],
        retention_s: float,
        claim_timeout_s: float = 1.0,
        max_batch: int = base.MAX_BATCH,
        max_in_flight: int = 2,
        batch_delay_s: float = 0.1,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty set of claims.

        Args:
          service: the platform's key-value service.
          entry_name: name of this entry.
          incarnation: random name of this process.
          is_live: returns whether this entry considers a process live, given
            its entry name and incarnation.
          retention_s: minimum time that a key is kept, in seconds.
          claim_timeout_s: timeout of one claim, in seconds.
          max_batch: maximum number of writes in one call to the service.
          max_in_flight: maximum number of such calls in flight.
          batch_delay_s: how long outcomes are collected into one call, in
            seconds; 0 disables batching.
          now: monotonic clock of the event loop, in seconds.
        """
        self._service = service
        self._entry_name = entry_name
        self._incarnation = incarnation
        self._is_live = is_live
        self._claim_timeout_s = claim_timeout_s
        self._now = now
        self._batcher = write_batcher.WriteBatcher(
            service=service, max_batch=max_batch, max_in_flight=max_in_flight
        )
        self._lease = write_batcher.SharedLease(
            service=service,
            min_key_lifetime_s=retention_s,
            period_s=LEASE_ROTATION_S,
            now=now,
        )
        self._circuit_breaker = CircuitBreaker()
        self._open_claims: dict[str, idempotency.ClaimRecord] = {}
        self._first_seen_at_s: dict[bytes, float] = {}
        self._outcomes = OutcomeWriter(
            write=self._write, delay_s=batch_delay_s, now=now
        )

    @property
    def counters(self) -> ClaimCounters:
        """Counters since the start."""
        return ClaimCounters(
            writes=self._batcher.counts.writes,
            calls=self._batcher.counts.calls,
            pending=self._outcomes.pending_count,
            dropped=self._outcomes.dropped,
            superseded=self._outcomes.superseded,
        )

    async def claim(
        self, *, service: str, key: str, fingerprint: bytes, deadline_s: float
    ) -> idempotency.Claim | idempotency.RecordedResponse:
        """Claims a key, or returns the recorded response to a repeat.

        Args:
          service: name of the service that the request is for.
          key: the caller's idempotency key.
          fingerprint: see `idempotency.request_fingerprint`.
          deadline_s: the request's deadline, in monotonic seconds.

        Returns:
          The claim, which allows the dispatch of the request and must be ended
          by `record_response`, `record_unknown_outcome` or `release`;
          or the recorded response of the first request with this key.

        Raises:
          AlmondstairError: `claim_unavailable` or `deadline_passed` if the key
            was not claimed and the request must not run; `claim_in_flight`,
            `outcome_unknown` or `key_reused` for a repeat.
        """
        store_key = idempotency.claim_store_key(service=service, key=key)
        new_record = self._make_record(key, fingerprint, deadline_s)
        recorded = self._repeat_response(store_key, new_record)
        if recorded is not None:
            return recorded
        if not self._circuit_breaker.allows_call(now_s=self._now()):
            raise AlmondstairError(
                kind=ErrorKind.CLAIM_UNAVAILABLE,
                detail="the platform did not answer the last claims",
            )
        attempt = idempotency.ClaimAttempt(
            wanted=new_record, find_context=self._claim_context
        )
        self._open_claims[store_key] = new_record
        held = False
        try:
            await self._write_claim(attempt, store_key, deadline_s)
            if attempt.outcome is idempotency.ClaimOutcome.OURS:
                held = self._now() < deadline_s
        finally:
            if not held:
                del self._open_claims[store_key]
                self._release_unheld(attempt, store_key)
        if held:
            return idempotency.Claim(
                store_key=store_key,
                record=new_record,
                mod_revision=attempt.mod_revision,
                deadline_s=deadline_s,
            )
        return self._refuse_or_replay(attempt, deadline_s)

    def _make_record(
        self, key: str, fingerprint: bytes, deadline_s: float
    ) -> idempotency.ClaimRecord:
        return idempotency.ClaimRecord(
            format=idempotency.RECORD_FORMAT,
            nonce=secrets.token_bytes(NONCE_BYTES),
            digest=idempotency.claim_digest(key=key, fingerprint=fingerprint),
            entry=self._entry_name,
            incarnation=self._incarnation,
            time_left_ms=max(int((deadline_s - self._now()) * 1000), 0),
            state=idempotency.RecordState.CLAIMED,
        )

    async def look_up(
        self, *, service: str, key: str, fingerprint: bytes, deadline_s: float
    ) -> idempotency.RecordedResponse | None:
        """Looks up a key without claiming it.

        Args:
          service: name of the service that the request is for.
          key: the caller's idempotency key.
          fingerprint: see `idempotency.request_fingerprint`.
          deadline_s: the request's deadline, in monotonic seconds.

        Returns:
          The recorded response of the first request with this key; None if
          the key is free or the service is unavailable.

        Raises:
          AlmondstairError: `claim_in_flight`, `outcome_unknown` or
            `key_reused`, for a key that is not free.
        """
        store_key = idempotency.claim_store_key(service=service, key=key)
        new_record = self._make_record(key, fingerprint, deadline_s)
        recorded = self._repeat_response(store_key, new_record)
        if recorded is not None:
            return recorded
        if not self._circuit_breaker.allows_call(now_s=self._now()):
            return None
        until_s = min(deadline_s, self._now() + LOOKUP_TIMEOUT_S)
        try:
            current = await self._read(store_key, until_s)
        except base.PlatformError:
            self._circuit_breaker.record_failure(now_s=self._now())
            return None
        if current is None:
            return None
        record = idempotency.decode_record(current.value)
        context = idempotency.ClaimContext(False, False, False)
        if record is not None:
            context = self._claim_context(record)
        verdict = idempotency.classify_record(
            record=record, wanted=new_record, context=context
        )
        if verdict is idempotency.ClaimOutcome.CLAIMABLE:
            return None
        return _response_or_raise(verdict, record)

    async def record_response(
        self, claim: idempotency.Claim, answer: idempotency.RecordedResponse
    ) -> None:
        """Ends a claim whose request has a complete response.

        Returns without waiting for the service, so that the caller's response
        is not delayed. Until the record is written, a repeat at this entry is
        answered from memory.
        """
        claim.close(idempotency.ClaimPhase.DONE)
        self._write_outcome(claim, idempotency.RecordState.DONE, answer)

    async def record_unknown_outcome(self, claim: idempotency.Claim) -> None:
        """Ends a claim whose request may have run but has no full response."""
        claim.close(idempotency.ClaimPhase.UNKNOWN)
        self._write_outcome(claim, idempotency.RecordState.UNKNOWN, None)

    async def release(self, claim: idempotency.Claim) -> None:
        """Ends a claim whose request did not run and will not run.

        Waits until the key can be claimed elsewhere, but no longer than
        `MAX_RELEASE_WAIT_S`, the claim's deadline, or a failed write. Without
        the wait, a request that is retried at another entry at once finds its
        own claim there as that of a running request, and the caller gets an
        error saying that it may have run. With a leaving home and 200 ms per
        call to the platform, 3 of 6 runs fail without the wait and none of 9
        with it.
        """
        claim.close(idempotency.ClaimPhase.RELEASED)
        self._write_outcome(claim, idempotency.RecordState.RELEASED, None)
        started_s = self._now()
        until_s = min(claim.deadline_s, started_s + MAX_RELEASE_WAIT_S)
        nonce = claim.record.nonce
        if not await self._outcomes.wait_for_attempt(
            nonce=nonce, until_s=until_s
        ):
            waited_s = round(self._now() - started_s, 3)
            log.event(log.Event.RELEASE_LATE, waited_s=waited_s)

    async def drain(self, *, timeout_s: float) -> bool:
        """Waits until every outcome is written to the service.

        Returns:
          Whether all outcomes were written within the timeout, in seconds.
        """
        return await self._outcomes.drain(timeout_s=timeout_s)

    def close(self) -> None:
        """Stops writing outcomes."""
        self._outcomes.close()

    def _repeat_response(
        self, store_key: str, new_record: idempotency.ClaimRecord
    ) -> idempotency.RecordedResponse | None:
        """Returns a repeat's response from memory, None if not known here."""
        local = self._open_claims.get(store_key)
        local = local or self._outcomes.pending_outcome(store_key=store_key)
        if local is None:
            return None
        context = idempotency.ClaimContext(
            holder_live=True, deadline_passed=False, never_dispatched=False
        )
        verdict = idempotency.classify_record(
            record=local, wanted=new_record, context=context
        )
        return _response_or_raise(verdict, local)

    def _claim_context(
        self, record: idempotency.ClaimRecord
    ) -> idempotency.ClaimContext:
        now_s = self._now()
        first_seen_s = self._first_seen_at_s.setdefault(record.nonce, now_s)
        if len(self._first_seen_at_s) > MAX_OBSERVED_CLAIMS:
            del self._first_seen_at_s[next(iter(self._first_seen_at_s))]
        # The claim was made before it was first seen here, so this is an upper
        # bound of its deadline, independent of the claimant's clock.
        latest_deadline_s = first_seen_s + record.time_left_ms / 1000
        return idempotency.ClaimContext(
            holder_live=self._is_holder_live(record),
            deadline_passed=now_s > latest_deadline_s,
            never_dispatched=self._outcomes.is_released(nonce=record.nonce),
        )

    def _is_holder_live(self, record: idempotency.ClaimRecord) -> bool:
        if record.incarnation == self._incarnation:
            # Claims held by this process are answered from memory. This one is
            # not in memory, so its outcome was dropped.
            return False
        return self._is_live(record.entry, record.incarnation)

    async def _write_claim(
        self,
        attempt: idempotency.ClaimAttempt,
        store_key: str,
        deadline_s: float,
    ) -> None:
        until_s = min(deadline_s, self._now() + self._claim_timeout_s)
        while attempt.action is not idempotency.ClaimAction.STOP:
            try:
                if attempt.action is idempotency.ClaimAction.READ_BACK:
                    attempt.on_read(await self._read(store_key, until_s))
                    continue
                write = base.ConditionalWrite(
                    key=store_key,
                    value=idempotency.encode_record(attempt.wanted),
                    mod_revision=attempt.base_revision,
                )
                attempt.on_write(await self._write(write, True, until_s))
            except base.PlatformError as error:
                attempt.on_failure(error)
            except asyncio.CancelledError:
                # The caller disconnected; a write may still be in flight.
                attempt.may_be_written = True
                raise

    async def _read(self, store_key: str, until_s: float) -> base.Record | None:
        try:
            async with asyncio.timeout_at(until_s):
                record = await self._service.get(key=store_key)
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE, detail="timeout"
            ) from error
        self._circuit_breaker.record_answer()
        return record

    async def _write(
        self, write: base.ConditionalWrite, urgent: bool, until_s: float
    ) -> base.CasResult:
        lease_id = 0
        try:
            lease_id = await self._current_lease(until_s)
            result = await self._batcher.write(
                write=write._replace(lease_id=lease_id),
                urgent=urgent,
                deadline_s=until_s,
            )
        except base.PlatformError as error:
            if error.failure is base.PlatformFailure.REFUSED:
                # A lease that the service lost would make later claims fail.
                self._lease.discard(lease_id)
            else:
                self._circuit_breaker.record_failure(now_s=self._now())
            raise
        self._circuit_breaker.record_answer()
        return result

    async def _current_lease(self, until_s: float) -> int:
        try:
            async with asyncio.timeout_at(until_s):
                return await self._lease.current_id()
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE,
                detail="no lease in time",
            ) from error

    def _release_unheld(
        self, attempt: idempotency.ClaimAttempt, store_key: str
    ) -> None:
        """Releases a claim that may be written but is not held.

        The key can then be claimed again.
        """
        mod_revision = attempt.mod_revision
        if attempt.outcome is not idempotency.ClaimOutcome.OURS:
            if not attempt.may_be_written:
                return
            mod_revision = attempt.base_revision
        self._outcomes.enqueue(
            store_key=store_key,
            record=attempt.wanted._replace(
                state=idempotency.RecordState.RELEASED
            ),
            mod_revision=mod_revision,
        )

    def _refuse_or_replay(
        self, attempt: idempotency.ClaimAttempt, deadline_s: float
    ) -> idempotency.RecordedResponse:
        verdict = attempt.outcome
        if verdict is None or verdict is idempotency.ClaimOutcome.OURS:
            if self._now() >= deadline_s:
                raise AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
            detail = "the platform does not answer"
            if attempt.failure is not None:
                detail = attempt.failure.detail
            raise AlmondstairError(
                kind=ErrorKind.CLAIM_UNAVAILABLE, detail=detail
            )
        return _response_or_raise(verdict, attempt.found)

    def _write_outcome(
        self,
        claim: idempotency.Claim,
        state: idempotency.RecordState,
        answer: idempotency.RecordedResponse | None,
    ) -> None:
        self._open_claims.pop(claim.store_key, None)
        record = claim.record._replace(state=state, response=answer)
        self._outcomes.enqueue(
            store_key=claim.store_key,
            record=record,
            mod_revision=claim.mod_revision,
        )


def _response_or_raise(
    verdict: idempotency.ClaimOutcome, record: idempotency.ClaimRecord | None
) -> idempotency.RecordedResponse:
    if verdict is not idempotency.ClaimOutcome.ANSWERED:
        raise idempotency.outcome_error(verdict)
    if record is None or record.response is None:
        raise idempotency.outcome_error(idempotency.ClaimOutcome.UNKNOWN)
    if record.response.body is None:
        raise idempotency.response_too_large(record.response)
    return record.response
