"""Runs calls at upstreams of this entry: slot, claim, dispatch, outcome."""

import asyncio
from collections.abc import Callable
import time
from typing import NamedTuple

from tornado import httputil

from almondstair import log
from almondstair.admitting import SlotKeeper
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
from almondstair.http_client import Pace
from almondstair.http_client import Sent
from almondstair.http_messages import LOAD_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.metrics import Metric
from almondstair.metrics import Metrics

# Upstreams that one entry tries for one call. A further one is tried only if
# the request certainly did not run, and a refusal costs an upstream little.
# More than two, since several upstreams of a lost rack may not be detected yet.
MAX_UPSTREAMS_PER_CALL = 3
SERVER_ERROR = 500
# Time for an upstream to notice that its connection was closed.
CANCEL_GRACE_S = 0.02


class Core(NamedTuple):
    """Holds the state that dispatches read and update.

    Attributes:
      configuration: returns the configuration in force.
      quarantine: requests that crashed upstreams.
      health: health of each upstream, derived from responses.
      on_strike: reports a strike to the other entries at once. If it
        waited for the next heartbeat, an immediate retry by the caller through
        another entry would crash one more upstream.
    """

    configuration: Callable[[], Configuration]
    quarantine: Quarantine
    health: HealthTable
    on_strike: Callable[[], None]


class Work(NamedTuple):
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
        core: Core,
        keeper: SlotKeeper,
        claims: Claims,
        sender: Sender,
        metrics: Metrics,
    ) -> None:
        """Creates a runner with no request in flight."""
        self._core = core
        self._keeper = keeper
        self._claims = claims
        self._sender = sender
        self._metrics = metrics
        self.last_new_work_s: dict[str, float] = {}

    async def run(self, work: Work) -> AlmondstairError | None:
        """Runs a call at one of this entry's upstreams.

        Returns:
          None if the complete response was passed on, else the error to
          respond with.

        Raises:
          AlmondstairError: the call was refused before any dispatch.
        """
        call = work.call
        admission = await self._acquire_slot(work, frozenset())
        if not call.head.key:
            call.answer.admitted.set()
            return await self._dispatch(work, admission, None)
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
        call.answer.admitted.set()
        try:
            return await self._dispatch(work, admission, claim)
        finally:
            await self._end_claim(call, claim)

    async def _acquire_slot(
        self, work: Work, excluded: frozenset[str]
    ) -> Admission:
        head = work.call.head
        if work.verdict is DispatchVerdict.ISOLATED:
            excluded = excluded | self._busy_upstreams()
        return await self._keeper.take(
            service=head.service,
            request_class=head.request_class,
            deadline_s=head.deadline_s,
            avoid=excluded,
        )

    def _busy_upstreams(self) -> frozenset[str]:
        """Returns the upstreams with work that a crash would end as well."""
        names = []
        for row in self._keeper.slots.status(now_s=time.monotonic()):
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

    async def answer_repeat(self, call: Call) -> bool:
        """Responds to a refused call with the recorded response of its key.

        Returns:
          Whether a response was sent; False if the key is unused or the
          platform is unavailable.

        Raises:
          AlmondstairError: `claim_in_flight`, `outcome_unknown` or
            `key_reused`.
        """
        found = await self._claims.look(
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
        call.answer.head(ResponseHead(found.status, reason, headers))
        if body:
            await call.answer.data(body)
        call.progress.try_answer()
        await call.answer.complete()

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
        await self._claims.record_unknown(claim)

    async def _dispatch(
        self, work: Work, admission: Admission, claim: idempotency.Claim | None
    ) -> AlmondstairError | None:
        call = work.call
        excluded: frozenset[str] = frozenset()
        for attempts_left in reversed(range(MAX_UPSTREAMS_PER_CALL)):
            attempt = await self._attempt(work, admission, claim)
            error = attempt.error
            if error is None:
                self._core.quarantine.record_answer(
                    fingerprint=work.fingerprint
                )
                await self._complete_response(call, attempt, claim)
                return None
            self._record_failure(work, admission.upstream, attempt)
            if attempt.exchange.sent not in _NOT_RUN:
                return error
            if not call.answer.untouched or not call.body.replayable:
                return error
            if not attempts_left:
                return error
            excluded = excluded | {admission.upstream}
            call.answer.reset()
            try:
                admission = await self._acquire_slot(work, excluded)
            except AlmondstairError as refusal:
                return refusal
        return None

    async def _attempt(
        self, work: Work, admission: Admission, claim: idempotency.Claim | None
    ) -> Attempt:
        call = work.call
        name = admission.upstream
        upstream = self._core.configuration().upstreams[name]
        outcome = Outcome.CANCELLED
        finished = False

        def may_write() -> bool:
            now_s = time.monotonic()
            if not self._keeper.slots.may_still_run(
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
        stalled_s = self._stalled_s()
        self.last_new_work_s[name] = started_s
        try:
            attempt = await self._sender.to_upstream(
                call=call,
                name=name,
                upstream=upstream,
                may_write=may_write,
                pace=work.pace,
            )
            outcome = _OUTCOMES[attempt.exchange.sent]
            finished = attempt.exchange.sent in _ENDED_AT_UPSTREAM
            self._apply_reported_load(name, attempt)
        finally:
            self._release_slot(call, admission, outcome, finished=finished)
        attempt = attempt._replace(
            started_s=started_s, still_s=self._stalled_s() - stalled_s
        )
        self._record_health(name, attempt, call.head.request_class.name)
        return attempt

    def _stalled_s(self) -> float:
        standstill = self._keeper.slots.loop_stall
        return standstill.total_s(now_s=time.monotonic())

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
            self._keeper.give_back(
                admission=admission,
                outcome=outcome,
                over=True,
                work=call.head.request_class.name,
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
            await call.answer.complete()

    async def _record_response(
        self, call: Call, attempt: Attempt, claim: idempotency.Claim
    ) -> None:
        buffered = call.answer.held_answer()
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
        await self._claims.record(claim, recorded)

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
        report = read_load(head.headers.get(LOAD_HEADER, ""))
        if report is not None:
            self._keeper.slots.record_upstream_report(
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
        if head.status >= SERVER_ERROR:
            self._core.health.record_failure(name=name, now_s=now_s)
            return
        self._core.health.record_answer(
            name=name,
            request_class=request_class,
            latency_ms=latency_ms,
            now_s=now_s,
            stall_ms=attempt.still_s * 1000,
        )

    def _record_failure(self, work: Work, name: str, attempt: Attempt) -> None:
        call = work.call
        now_s = time.monotonic()
        sent = attempt.exchange.sent
        if sent is Sent.NOT_SENT:
            log.event(log.Event.UPSTREAM_UNREACHABLE, upstream=name)
            self._core.health.record_failure(name=name, now_s=now_s)
            return
        if sent is Sent.REFUSED:
            self._core.health.record_refusal(name=name, now_s=now_s)
            return
        if sent in _NOT_UPSTREAM_FAULT:
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
        if sent is Sent.LOST:
            self._core.quarantine.record_strike(
                fingerprint=work.fingerprint,
                upstream=name,
                ran_s=now_s - attempt.started_s,
                now_s=now_s,
            )
            self._core.on_strike()


# Outcomes after which the request does not run at its upstream.
_NOT_RUN = frozenset((Sent.NOT_SENT, Sent.TOO_LATE, Sent.REFUSED))
_ENDED_AT_UPSTREAM = _NOT_RUN | {Sent.WHOLE}
# Outcomes caused by the caller or this entry, not by the upstream.
_NOT_UPSTREAM_FAULT = frozenset(
    (Sent.CALLER_GONE, Sent.WITHDRAWN, Sent.TOO_LATE)
)
_OUTCOMES = {
    Sent.WHOLE: Outcome.ANSWERED,
    Sent.NOT_SENT: Outcome.FAILED,
    Sent.TOO_LATE: Outcome.CANCELLED,
    Sent.REFUSED: Outcome.REFUSED,
    Sent.LOST: Outcome.FAILED,
    Sent.CUT: Outcome.FAILED,
    Sent.CALLER_GONE: Outcome.CANCELLED,
    Sent.WITHDRAWN: Outcome.CANCELLED,
}


def _claim_fingerprint(call: Call) -> bytes:
    return idempotency.request_fingerprint(
        method=call.head.method,
        path=call.head.path,
        body_digest=call.body.digest().encode(),
    )


def read_load(value: str) -> UpstreamReport | None:
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


def unknown_if_run(error: AlmondstairError, *, call: Call) -> AlmondstairError:
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
