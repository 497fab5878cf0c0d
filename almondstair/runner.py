"""Runs calls at upstreams of this entry: slot, claim, dispatch, outcome."""

import asyncio
from collections.abc import Callable
import time
from typing import NamedTuple

from tornado import httputil

from almondstair import log
from almondstair.calls import Call
from almondstair.claims import Claims
from almondstair.core import idempotency
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import UpstreamReport
from almondstair.core.health import HealthTable
from almondstair.core.model import Configuration
from almondstair.core.quarantine import DispatchVerdict
from almondstair.core.quarantine import Quarantine
from almondstair.dispatch import Attempt
from almondstair.dispatch import Sender
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.http_client import ExchangeOutcome
from almondstair.http_client import Pace
from almondstair.http_messages import LOAD_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.metrics import Metric
from almondstair.metrics import Metrics
from almondstair.slot_allocator import SlotAllocator

# Upstreams that one entry tries for one call. A further one is tried only if
# the request certainly did not run, and a refusal costs an upstream little.
# More than two, since several upstreams of a lost rack may not be detected yet.
MAX_UPSTREAMS_PER_CALL = 3
MIN_SERVER_ERROR_STATUS = 500
# Time for an upstream to notice that its connection was closed.
CANCEL_GRACE_S = 0.02


class RunnerState(NamedTuple):
    """Holds the state that dispatches read and update.

    Attributes:
      configuration: returns the configuration in force.
      quarantine: requests that crashed upstreams.
      health: health of each upstream, derived from responses.
      report_strike: reports a strike to the other entries at once. If it
        waited for the next heartbeat, an immediate retry by the caller through
        another entry would crash one more upstream.
    """

    configuration: Callable[[], Configuration]
    quarantine: Quarantine
    health: HealthTable
    report_strike: Callable[[], None]


class RunnerJob(NamedTuple):
    """Holds a call to run, with what the runner needs to run it.

    Attributes:
      call: the call.
      fingerprint: fingerprint of the request, for the quarantine.
      verdict: the quarantine's verdict on the request.
      pace: awaited before bytes of the request's body are written.
    """

    call: Call
    fingerprint: int
    verdict: DispatchVerdict
    pace: Pace


class Runner:
    """Runs calls at the upstreams whose home is this entry."""

    def __init__(
        self,
        *,
        core: RunnerState,
        allocator: SlotAllocator,
        claims: Claims,
        sender: Sender,
        metrics: Metrics,
    ) -> None:
        """Creates a runner with no request in flight."""
        self._core = core
        self._allocator = allocator
        self._claims = claims
        self._sender = sender
        self._metrics = metrics
        self.last_dispatch_s: dict[str, float] = {}

    async def run(self, job: RunnerJob) -> AlmondstairError | None:
        """Runs a call at one of this entry's upstreams.

        Returns:
          None if the complete response was passed on, else the error to
          respond with.

        Raises:
          AlmondstairError: the call was refused before any dispatch.
        """
        call = job.call
        admission = await self._acquire_slot(job, frozenset())
        if not call.head.key:
            call.response.admitted.set()
            return await self._dispatch(job, admission, None)
        claim = None
        try:
            found = await self._claim_key(call)
            if isinstance(found, idempotency.RecordedResponse):
                await self._replay(call, found)
                return None
            claim = found
        finally:
            if claim is None:
                self._release_slot(call, admission, Outcome.CANCELLED)
        call.response.admitted.set()
        try:
            return await self._dispatch(job, admission, claim)
        finally:
            await self._end_claim(call, claim)

    async def _acquire_slot(
        self, job: RunnerJob, excluded: frozenset[str]
    ) -> Admission:
        head = job.call.head
        if job.verdict is DispatchVerdict.ISOLATED:
            excluded = excluded | self._busy_upstreams()
        return await self._allocator.acquire(
            service=head.service,
            request_class=head.request_class,
            deadline_s=head.deadline_s,
            excluded=excluded,
        )

    def _busy_upstreams(self) -> frozenset[str]:
        """Returns the upstreams with work that a crash would end as well."""
        names = []
        for row in self._allocator.slots.status(now_s=time.monotonic()):
            if row.in_flight or row.busy_elsewhere:
                names.append(row.name)
        return frozenset(names)

    async def _claim_key(
        self, call: Call
    ) -> idempotency.Claim | idempotency.RecordedResponse:
        try:
            found = await self._claims.claim(
                service=call.head.service,
                key=call.head.key,
                fingerprint=_claim_fingerprint(call),
                deadline_s=call.head.deadline_s,
            )
        except AlmondstairError as error:
            self._metrics.count(Metric.CLAIMS, str(error.kind))
            raise
        self._metrics.count(Metric.CLAIMS, "claimed")
        return found

    async def replay_recorded_response(self, call: Call) -> bool:
        """Responds to a refused call with the recorded response of its key.

        Returns:
          Whether a response was sent; False if the key is unused or the
          platform is unavailable.

        Raises:
          AlmondstairError: `claim_in_flight`, `outcome_unknown` or
            `key_reused`.
        """
        found = await self._claims.look_up(
            service=call.head.service,
            key=call.head.key,
            fingerprint=_claim_fingerprint(call),
            deadline_s=call.head.deadline_s,
        )
        if found is None:
            return False
        await self._replay(call, found)
        return True

    async def _replay(
        self, call: Call, found: idempotency.RecordedResponse
    ) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in found.headers:
            headers.add(name, value)
        body = found.body or b""
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(found.status, "Unknown")
        call.response.receive_head(ResponseHead(found.status, reason, headers))
        if body:
            await call.response.receive_data(body)
        call.progress.try_answer()
        await call.response.complete()

    async def _end_claim(self, call: Call, claim: idempotency.Claim) -> None:
        """Ends a claim that is still open when its call ends."""
        if claim.phase is idempotency.ClaimPhase.HELD:
            await self._claims.release(claim)
            return
        if claim.phase is not idempotency.ClaimPhase.DISPATCHED:
            return
        if not call.progress.may_have_run:
            await self._claims.release(claim)
            return
        await self._claims.record_unknown_outcome(claim)

    async def _dispatch(
        self,
        job: RunnerJob,
        admission: Admission,
        claim: idempotency.Claim | None,
    ) -> AlmondstairError | None:
        call = job.call
        excluded: frozenset[str] = frozenset()
        for attempts_left in reversed(range(MAX_UPSTREAMS_PER_CALL)):
            attempt = await self._attempt(job, admission, claim)
            error = attempt.error
            if error is None:
                self._core.quarantine.record_answer(fingerprint=job.fingerprint)
                await self._complete_response(call, attempt, claim)
                return None
            self._record_failure(job, admission.upstream, attempt)
            if attempt.exchange.outcome not in _NOT_RUN:
                return error
            if not call.response.nothing_sent or not call.body.replayable:
                return error
            if not attempts_left:
                return error
            excluded = excluded | {admission.upstream}
            call.response.reset()
            try:
                admission = await self._acquire_slot(job, excluded)
            except AlmondstairError as refusal:
                return refusal
        return None

    async def _attempt(
        self,
        job: RunnerJob,
        admission: Admission,
        claim: idempotency.Claim | None,
    ) -> Attempt:
        call = job.call
        name = admission.upstream
        upstream = self._core.configuration().upstreams[name]
        outcome = Outcome.CANCELLED
        finished = False

        def may_write() -> bool:
            now_s = time.monotonic()
            if not self._allocator.slots.may_still_run(
                admission=admission, now_s=now_s
            ):
                return False
            if claim is None:
                return True
            if now_s >= claim.deadline_s:
                return False
            claim.dispatch(now_s=now_s)
            return True

        started_s = time.monotonic()
        stall_s = self._stall_s()
        self.last_dispatch_s[name] = started_s
        try:
            attempt = await self._sender.send_to_upstream(
                call=call,
                name=name,
                upstream=upstream,
                may_write=may_write,
                pace=job.pace,
            )
            outcome = _SLOT_OUTCOMES[attempt.exchange.outcome]
            finished = attempt.exchange.outcome in _ENDED_AT_UPSTREAM
            self._apply_reported_load(name, attempt)
        finally:
            self._release_slot(call, admission, outcome, finished=finished)
        attempt = attempt._replace(
            started_s=started_s, stall_s=self._stall_s() - stall_s
        )
        self._record_health(name, attempt, call.head.request_class.name)
        return attempt

    def _stall_s(self) -> float:
        loop_stall = self._allocator.slots.loop_stall
        return loop_stall.total_s(now_s=time.monotonic())

    def _release_slot(
        self,
        call: Call,
        admission: Admission,
        outcome: Outcome,
        *,
        finished: bool = True,
    ) -> None:
        """Releases a slot, after a delay if its work may still run.

        Closing the connection cancels the work, but an upstream takes a moment
        to notice. If the slot were reused at once, the upstream could run two
        requests in it.
        """

        def release() -> None:
            self._allocator.release(
                admission=admission,
                outcome=outcome,
                finished=True,
                class_name=call.head.request_class.name,
            )

        if finished:
            release()
            return
        asyncio.get_running_loop().call_later(CANCEL_GRACE_S, release)

    async def _complete_response(
        self, call: Call, attempt: Attempt, claim: idempotency.Claim | None
    ) -> None:
        if claim is not None:
            await self._record_response(call, attempt, claim)
        if call.progress.try_answer():
            await call.response.complete()

    async def _record_response(
        self, call: Call, attempt: Attempt, claim: idempotency.Claim
    ) -> None:
        buffered = call.response.buffered_response()
        head = attempt.exchange.head
        assert head is not None
        body = None
        if buffered is not None:
            head, body = buffered
        recorded = idempotency.recorded_response(
            status=head.status,
            headers=list(head.headers.get_all()),
            body=body,
        )
        await self._claims.record_response(claim, recorded)

    def _apply_reported_load(self, name: str, attempt: Attempt) -> None:
        """Applies the load in a response while its slot is still held.

        The upstream's report counts the request that it just answered. If the
        slot were released first, that request would look like one of another
        entry, and one slot would stay unused while the report is valid: a third
        of the capacity of an upstream with three slots.
        """
        head = attempt.exchange.head
        if head is None:
            return
        report = parse_load_header(head.headers.get(LOAD_HEADER, ""))
        if report is not None:
            self._allocator.slots.record_upstream_report(
                upstream=name, report=report, now_s=time.monotonic()
            )

    def _record_health(
        self, name: str, attempt: Attempt, request_class: str
    ) -> None:
        now_s = time.monotonic()
        latency_ms = (now_s - attempt.started_s) * 1000
        head = attempt.exchange.head
        if head is None or attempt.error is not None:
            return
        if head.status >= MIN_SERVER_ERROR_STATUS:
            self._core.health.record_failure(name=name, now_s=now_s)
            return
        self._core.health.record_answer(
            name=name,
            request_class=request_class,
            latency_ms=latency_ms,
            now_s=now_s,
            stall_ms=attempt.stall_s * 1000,
        )

    def _record_failure(
        self, job: RunnerJob, name: str, attempt: Attempt
    ) -> None:
        call = job.call
        now_s = time.monotonic()
        exchange_outcome = attempt.exchange.outcome
        if exchange_outcome is ExchangeOutcome.NOT_SENT:
            log.event(log.Event.UPSTREAM_UNREACHABLE, upstream=name)
            self._core.health.record_failure(name=name, now_s=now_s)
            return
        if exchange_outcome is ExchangeOutcome.REFUSED:
            self._core.health.record_refusal(name=name, now_s=now_s)
            return
        if exchange_outcome in _NOT_UPSTREAM_FAULT:
            # Counted as failures, these would make the upstreams look
            # unreachable after each stall of this process: they would lose a
            # slot and get no work for a while.
            return
        self._core.health.record_failure(name=name, now_s=now_s)
        log.event(
            log.Event.UPSTREAM_LOST,
            upstream=name,
            service=call.head.service,
            request_class=call.head.request_class.name,
        )
        if exchange_outcome is ExchangeOutcome.CONNECTION_LOST:
            self._core.quarantine.record_strike(
                fingerprint=job.fingerprint,
                upstream=name,
                ran_s=now_s - attempt.started_s,
                now_s=now_s,
            )
            self._core.report_strike()


# Outcomes after which the request does not run at its upstream.
_NOT_RUN = frozenset(
    (
        ExchangeOutcome.NOT_SENT,
        ExchangeOutcome.TOO_LATE,
        ExchangeOutcome.REFUSED,
    )
)
_ENDED_AT_UPSTREAM = _NOT_RUN | {ExchangeOutcome.COMPLETE}
# Outcomes caused by the caller or this entry, not by the upstream.
_NOT_UPSTREAM_FAULT = frozenset(
    (
        ExchangeOutcome.SENDER_DISCONNECTED,
        ExchangeOutcome.CANCELLED,
        ExchangeOutcome.TOO_LATE,
    )
)
_SLOT_OUTCOMES = {
    ExchangeOutcome.COMPLETE: Outcome.ANSWERED,
    ExchangeOutcome.NOT_SENT: Outcome.FAILED,
    ExchangeOutcome.TOO_LATE: Outcome.CANCELLED,
    ExchangeOutcome.REFUSED: Outcome.REFUSED,
    ExchangeOutcome.CONNECTION_LOST: Outcome.FAILED,
    ExchangeOutcome.TRUNCATED: Outcome.FAILED,
    ExchangeOutcome.SENDER_DISCONNECTED: Outcome.CANCELLED,
    ExchangeOutcome.CANCELLED: Outcome.CANCELLED,
}


def _claim_fingerprint(call: Call) -> bytes:
    return idempotency.request_fingerprint(
        method=call.head.method,
        path=call.head.path,
        body_digest=call.body.digest().encode(),
    )


def parse_load_header(value: str) -> UpstreamReport | None:
    """Parses an upstream's load header, `slots=4;busy=1;draining=0`.

    Returns:
      The report, None if it is absent or malformed: a missing report does not
      mean that the upstream is idle.
    """
    numbers = {}
    for part in value.split(";"):
        name, _, number = part.strip().partition("=")
        if number.isascii() and number.isdigit():
            numbers[name] = int(number)
    if "slots" not in numbers or "busy" not in numbers:
        return None
    return UpstreamReport(
        slots=numbers["slots"],
        busy=numbers["busy"],
        draining=bool(numbers.get("draining", 0)),
    )


def mark_outcome_unknown(
    error: AlmondstairError, *, call: Call
) -> AlmondstairError:
    """Returns the error with `ran` unknown if the call may have run."""
    if error.ran is not Ran.NO or not call.progress.may_have_run:
        return error
    if not call.head.key:
        # The request is idempotent, so the caller also gets a retry delay.
        return AlmondstairError(
            kind=error.kind,
            detail=error.detail,
            ran=Ran.UNKNOWN,
            retry_after_ms=error.retry_after_ms,
        )
    return AlmondstairError(kind=ErrorKind.OUTCOME_UNKNOWN, detail=error.detail)
