"""Claims of idempotency keys in the platform's service.

Carries out what `almondstair.core.ledger` decides: calls, leases, batches, and
the outcomes that are brought in behind the caller's back once it is answered.
"""

import asyncio
from collections.abc import Callable
import secrets
import time
from typing import NamedTuple

from almondstair import batching
from almondstair import log
from almondstair.core import ledger
from almondstair.core.outage import OutageGate
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.key_value import base
from almondstair.settling import Settling

LEASE_PERIOD_S = 3600.0
MAX_FIRST_SEEN = 10_000
LOOK_TIMEOUT_S = 0.25
# How long a refusal waits for its released claim to be written. A write takes a
# few milliseconds; two to a region farther away, one behind the other, 0.2 s.
RELEASE_WAIT_S = 0.4
NONCE_BYTES = 16


class ClaimCounts(NamedTuple):
    """Figures for metrics.

    Attributes:
      writes: conditional writes of claims and outcomes.
      calls: calls to the service that carried them.
      unsettled: outcomes that the service does not have yet.
      dropped: outcomes given up for want of memory; a repeat of their key is
        answered `outcome_unknown`.
      overtaken: outcomes whose key held somebody else's claim; for a released
        claim this is ordinary.
    """

    writes: int
    calls: int
    unsettled: int
    dropped: int
    overtaken: int


class Claims:
    """Makes claims for one entry and brings in their outcomes."""

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
        max_under_way: int = 2,
        settle_delay_s: float = 0.1,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes an empty set of claims.

        Args:
          service: the platform's key-value service.
          entry_name: name of this entry.
          incarnation: random name of this process.
          is_live: whether an entry's process, by name and incarnation, is
            live as far as this entry knows.
          retention_s: shortest time that a key is kept.
          claim_timeout_s: longest time that one claim may take.
          max_batch: most writes in one call to the service.
          max_under_way: most such calls at once.
          settle_delay_s: how long outcomes are collected, so that several go
            in one call; 0 for not at all.
          now: monotonic clock of the loop.
        """
        self._service = service
        self._entry_name = entry_name
        self._incarnation = incarnation
        self._is_live = is_live
        self._claim_timeout_s = claim_timeout_s
        self._now = now
        self._batcher = batching.WriteBatcher(
            service=service, max_batch=max_batch, max_under_way=max_under_way
        )
        self._lease = batching.SharedLease(
            service=service,
            keep_s=retention_s,
            period_s=LEASE_PERIOD_S,
            now=now,
        )
        self._gate = OutageGate()
        self._open: dict[str, ledger.ClaimRecord] = {}
        self._first_seen_s: dict[bytes, float] = {}
        self._settling = Settling(
            write=self._write, delay_s=settle_delay_s, now=now
        )

    @property
    def counts(self) -> ClaimCounts:
        """Figures so far."""
        return ClaimCounts(
            writes=self._batcher.counts.writes,
            calls=self._batcher.counts.calls,
            unsettled=self._settling.unsettled,
            dropped=self._settling.dropped,
            overtaken=self._settling.overtaken,
        )

    async def claim(
        self, *, service: str, key: str, fingerprint: bytes, deadline_s: float
    ) -> ledger.Claim | ledger.RecordedAnswer:
        """Claims a key, or says why it is not to be had.

        Args:
          service: name of the service that the request is for.
          key: the caller's idempotency key.
          fingerprint: see `ledger.request_fingerprint`.
          deadline_s: the request's deadline, in monotonic seconds.

        Returns:
          The claim, on which the request may be dispatched; it must be ended
          by `record`, `record_unknown` or `release`. Or the recorded answer
          of the first request with this key.

        Raises:
          AlmondstairError: `claim_unavailable` or `deadline_passed`, and the
            request will not run by this call; `claim_in_flight`,
            `outcome_unknown` or `key_reused` for a repeat.
        """
        place = ledger.service_key(service=service, key=key)
        wanted = self._wanted(key, fingerprint, deadline_s)
        answer = self._look_here(place, wanted)
        if answer is not None:
            return answer
        if not self._gate.lets_through(now_s=self._now()):
            raise AlmondstairError(
                kind=ErrorKind.CLAIM_UNAVAILABLE,
                detail="the platform did not answer the last claims",
            )
        claiming = ledger.Claiming(wanted=wanted, look=self._look_beside)
        self._open[place] = wanted
        held = False
        try:
            await self._make(claiming, place, deadline_s)
            if claiming.verdict is ledger.Verdict.OURS:
                held = self._now() < deadline_s
        finally:
            if not held:
                del self._open[place]
                self._give_up(claiming, place)
        if held:
            return ledger.Claim(
                place=place,
                record=wanted,
                mod_revision=claiming.mod_revision,
                deadline_s=deadline_s,
            )
        return self._refuse(claiming, deadline_s)

    def _wanted(
        self, key: str, fingerprint: bytes, deadline_s: float
    ) -> ledger.ClaimRecord:
        return ledger.ClaimRecord(
            format=ledger.RECORD_FORMAT,
            nonce=secrets.token_bytes(NONCE_BYTES),
            print=ledger.claim_print(key=key, fingerprint=fingerprint),
            entry=self._entry_name,
            incarnation=self._incarnation,
            time_left_ms=max(int((deadline_s - self._now()) * 1000), 0),
            state=ledger.RecordState.CLAIMED,
        )

    async def look(
        self, *, service: str, key: str, fingerprint: bytes, deadline_s: float
    ) -> ledger.RecordedAnswer | None:
        """Looks a key up without claiming it.

        Args:
          service: name of the service that the request is for.
          key: the caller's idempotency key.
          fingerprint: see `ledger.request_fingerprint`.
          deadline_s: the request's deadline, in monotonic seconds.

        Returns:
          The recorded answer of the first request with this key; None when
          the key is free, or when the service does not say.

        Raises:
          AlmondstairError: `claim_in_flight`, `outcome_unknown` or
            `key_reused`, for a key that is not free.
        """
        place = ledger.service_key(service=service, key=key)
        wanted = self._wanted(key, fingerprint, deadline_s)
        answer = self._look_here(place, wanted)
        if answer is not None:
            return answer
        if not self._gate.lets_through(now_s=self._now()):
            return None
        until_s = min(deadline_s, self._now() + LOOK_TIMEOUT_S)
        try:
            current = await self._read(place, until_s)
        except base.PlatformError:
            self._gate.failed(now_s=self._now())
            return None
        if current is None:
            return None
        record = ledger.decode_record(current.value)
        seen = ledger.Bystander(False, False, False)
        if record is not None:
            seen = self._look_beside(record)
        verdict = ledger.judge(record=record, wanted=wanted, seen=seen)
        if verdict is ledger.Verdict.CLAIMABLE:
            return None
        return _answer_or_raise(verdict, record)

    async def record(
        self, claim: ledger.Claim, answer: ledger.RecordedAnswer
    ) -> None:
        """Ends a claim whose request was answered whole.

        Returns without waiting for the service, so that the caller's answer is
        not held back; until the service has it, a repeat at this entry is
        answered from memory.
        """
        claim.close(ledger.ClaimPhase.DONE)
        self._end(claim, ledger.RecordState.DONE, answer)

    async def record_unknown(self, claim: ledger.Claim) -> None:
        """Ends a claim that may have run, without a whole answer."""
        claim.close(ledger.ClaimPhase.UNKNOWN)
        self._end(claim, ledger.RecordState.UNKNOWN, None)

    async def release(self, claim: ledger.Claim) -> None:
        """Ends a claim whose request certainly did not run, and will not.

        Returns when the key can be claimed elsewhere. What goes wrong if the
        refusal is told before: the request is sent on to another entry at
        once, finds its own claim there as one of a running request, and its
        caller is told that it may have run: in 3 of 6 plays of a home that
        leaves while the platform takes 200 ms a call, and in none of 9 since.
        Waits no longer than `RELEASE_WAIT_S`, the claim's deadline, or a
        failed write.
        """
        claim.close(ledger.ClaimPhase.RELEASED)
        self._end(claim, ledger.RecordState.RELEASED, None)
        began_s = self._now()
        until_s = min(claim.deadline_s, began_s + RELEASE_WAIT_S)
        nonce = claim.record.nonce
        if not await self._settling.until_tried(nonce=nonce, until_s=until_s):
            waited_s = round(self._now() - began_s, 3)
            log.event(log.Event.RELEASE_LATE, waited_s=waited_s)

    async def drain(self, *, timeout_s: float) -> bool:
        """Waits until the service has every outcome.

        Returns:
          Whether it has.
        """
        return await self._settling.drain(timeout_s=timeout_s)

    def close(self) -> None:
        """Stops bringing in outcomes."""
        self._settling.close()

    def _look_here(
        self, place: str, wanted: ledger.ClaimRecord
    ) -> ledger.RecordedAnswer | None:
        """Answers a repeat from memory; None when the service must be asked."""
        known = self._open.get(place)
        known = known or self._settling.outcome(place=place)
        if known is None:
            return None
        here = ledger.Bystander(
            holder_live=True, deadline_passed=False, never_dispatched=False
        )
        verdict = ledger.judge(record=known, wanted=wanted, seen=here)
        return _answer_or_raise(verdict, known)

    def _look_beside(self, record: ledger.ClaimRecord) -> ledger.Bystander:
        now_s = self._now()
        seen_s = self._first_seen_s.setdefault(record.nonce, now_s)
        if len(self._first_seen_s) > MAX_FIRST_SEEN:
            del self._first_seen_s[next(iter(self._first_seen_s))]
        # The claim was made before it was first seen here, so its deadline is
        # no later than this, by whatever clock.
        last_s = seen_s + record.time_left_ms / 1000
        return ledger.Bystander(
            holder_live=self._holder_live(record),
            deadline_passed=now_s > last_s,
            never_dispatched=self._settling.is_released(nonce=record.nonce),
        )

    def _holder_live(self, record: ledger.ClaimRecord) -> bool:
        if record.incarnation == self._incarnation:
            # Claims that this process holds are answered from memory. This one
            # is not among them: its outcome was dropped.
            return False
        return self._is_live(record.entry, record.incarnation)

    async def _make(
        self, claiming: ledger.Claiming, place: str, deadline_s: float
    ) -> None:
        until_s = min(deadline_s, self._now() + self._claim_timeout_s)
        while claiming.action is not ledger.ClaimAction.STOP:
            try:
                if claiming.action is ledger.ClaimAction.READ_BACK:
                    claiming.on_read(await self._read(place, until_s))
                    continue
                write = base.ConditionalWrite(
                    key=place,
                    value=ledger.encode_record(claiming.wanted),
                    mod_revision=claiming.base_revision,
                )
                claiming.on_write(await self._write(write, True, until_s))
            except base.PlatformError as error:
                claiming.on_failure(error)
            except asyncio.CancelledError:
                # The caller left. A write may be out, which nobody awaits now.
                claiming.may_be_written = True
                raise

    async def _read(self, place: str, until_s: float) -> base.Record | None:
        try:
            async with asyncio.timeout_at(until_s):
                record = await self._service.get(key=place)
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE, detail="timeout"
            ) from error
        self._gate.answered()
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
                until_s=until_s,
            )
        except base.PlatformError as error:
            if error.failure is base.PlatformFailure.REFUSED:
                # A lease that the service lost would fail every later claim.
                self._lease.forget(lease_id)
            else:
                self._gate.failed(now_s=self._now())
            raise
        self._gate.answered()
        return result

    async def _current_lease(self, until_s: float) -> int:
        try:
            async with asyncio.timeout_at(until_s):
                return await self._lease.current()
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE,
                detail="no lease in time",
            ) from error

    def _give_up(self, claiming: ledger.Claiming, place: str) -> None:
        """Sees to it that a claim which nobody holds is claimable again."""
        mod_revision = claiming.mod_revision
        if claiming.verdict is not ledger.Verdict.OURS:
            if not claiming.may_be_written:
                return
            mod_revision = claiming.base_revision
        self._settling.settle(
            place=place,
            record=claiming.wanted._replace(state=ledger.RecordState.RELEASED),
            mod_revision=mod_revision,
        )

    def _refuse(
        self, claiming: ledger.Claiming, deadline_s: float
    ) -> ledger.RecordedAnswer:
        verdict = claiming.verdict
        if verdict is None or verdict is ledger.Verdict.OURS:
            if self._now() >= deadline_s:
                raise AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
            detail = "the platform does not answer"
            if claiming.failure is not None:
                detail = claiming.failure.detail
            raise AlmondstairError(
                kind=ErrorKind.CLAIM_UNAVAILABLE, detail=detail
            )
        return _answer_or_raise(verdict, claiming.found)

    def _end(
        self,
        claim: ledger.Claim,
        state: ledger.RecordState,
        answer: ledger.RecordedAnswer | None,
    ) -> None:
        self._open.pop(claim.place, None)
        record = claim.record._replace(state=state, answer=answer)
        self._settling.settle(
            place=claim.place, record=record, mod_revision=claim.mod_revision
        )


def _answer_or_raise(
    verdict: ledger.Verdict, record: ledger.ClaimRecord | None
) -> ledger.RecordedAnswer:
    if verdict is not ledger.Verdict.ANSWERED:
        raise ledger.verdict_error(verdict)
    if record is None or record.answer is None:
        raise ledger.verdict_error(ledger.Verdict.UNKNOWN)
    if record.answer.body is None:
        raise ledger.answer_not_kept(record.answer)
    return record.answer
