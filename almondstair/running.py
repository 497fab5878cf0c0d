"""Runs a call at an upstream of this entry: slot, claim, dispatch, outcome."""

import asyncio
from collections.abc import Callable
import time
from typing import NamedTuple

from tornado import httputil

from almondstair import log
from almondstair.admitting import SlotKeeper
from almondstair.calls import Call
from almondstair.claims import Claims
from almondstair.core import ledger
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import UpstreamReport
from almondstair.core.health import HealthTable
from almondstair.core.model import Configuration
from almondstair.core.quarantine import Quarantine
from almondstair.core.quarantine import Verdict
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

# Upstreams that one call is offered to at one entry. Each further one follows
# a certain refusal, and a refusal costs the upstream next to nothing. More than
# two, since a lost rack leaves several upstreams that are not noticed yet.
MAX_UPSTREAMS_PER_CALL = 3
SERVER_ERROR = 500
# Time that an upstream takes to notice that its connection was closed.
CANCEL_GRACE_S = 0.02


class Core(NamedTuple):
    """The parts of the core that a dispatch reads and tells.

    Attributes:
      configuration: returns the configuration in force.
      quarantine: requests that crashed upstreams.
      health: what answers tell of each upstream.
      on_strike: called after each strike, to tell the other entries. Told by
        the next heartbeat only, a caller that sends its request again at once
        would find entries that know nothing, and cost one more upstream.
    """

    configuration: Callable[[], Configuration]
    quarantine: Quarantine
    health: HealthTable
    on_strike: Callable[[], None]


class Work(NamedTuple):
    """A call as the runner takes it.

    Attributes:
      call: the call.
      fingerprint: of the request, for the quarantine.
      verdict: what the quarantine says of it.
      pace: awaited before bytes of its body move.
    """

    call: Call
    fingerprint: int
    verdict: Verdict
    pace: Pace


class Runner:
    """Runs calls at the upstreams that this entry is home of."""

    def __init__(
        self,
        *,
        core: Core,
        keeper: SlotKeeper,
        claims: Claims,
        sender: Sender,
        metrics: Metrics,
    ) -> None:
        """Makes a runner out of its parts."""
        self._core = core
        self._keeper = keeper
        self._claims = claims
        self._sender = sender
        self._metrics = metrics
        self.last_new_work_s: dict[str, float] = {}

    async def run(self, work: Work) -> AlmondstairError | None:
        """Runs a call here.

        Returns:
          None when its whole answer was passed on, else what to answer.

        Raises:
          AlmondstairError: it was refused before any dispatch.
        """
        call = work.call
        admission = await self._acquire_slot(work, frozenset())
        if not call.head.key:
            call.answer.admitted.set()
            return await self._dispatch(work, admission, None)
        claim = None
        try:
            found = await self._claim_key(call)
            if isinstance(found, ledger.RecordedAnswer):
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
        self, work: Work, avoid: frozenset[str]
    ) -> Admission:
        head = work.call.head
        if work.verdict is Verdict.ALONE:
            avoid = avoid | self._busy_upstreams()
        return await self._keeper.take(
            service=head.service,
            request_class=head.request_class,
            deadline_s=head.deadline_s,
            avoid=avoid,
        )

    def _busy_upstreams(self) -> frozenset[str]:
        """Returns the upstreams with work that a crash would take along."""
        names = []
        for row in self._keeper.slots.status(now_s=time.monotonic()):
            if row.in_flight or row.busy_elsewhere:
                names.append(row.name)
        return frozenset(names)

    async def _claim_key(
        self, call: Call
    ) -> ledger.Claim | ledger.RecordedAnswer:
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
        """Answers a call that was refused, if it repeats one that is known.

        Returns:
          Whether it was answered; False for a key that nobody used, or when
          the platform does not say.

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

    async def _replay(self, call: Call, found: ledger.RecordedAnswer) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in found.headers:
            headers.add(name, value)
        body = found.body or b""
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(found.status, "Unknown")
        call.answer.head(ResponseHead(found.status, reason, headers))
        if body:
            await call.answer.data(body)
        call.progress.answer()
        await call.answer.complete()

    async def _end_claim(self, call: Call, claim: ledger.Claim) -> None:
        """Brings the outcome of a claim in, however its call ended."""
        if claim.phase is ledger.ClaimPhase.HELD:
            await self._claims.release(claim)
            return
        if claim.phase is not ledger.ClaimPhase.DISPATCHED:
            return
        if not call.progress.may_have_run:
            await self._claims.release(claim)
            return
        await self._claims.record_unknown(claim)

    async def _dispatch(
        self, work: Work, admission: Admission, claim: ledger.Claim | None
    ) -> AlmondstairError | None:
        call = work.call
        excluded: frozenset[str] = frozenset()
        for attempts_left in reversed(range(MAX_UPSTREAMS_PER_CALL)):
            attempt = await self._attempt(work, admission, claim)
            error = attempt.error
            if error is None:
                self._core.quarantine.answered(fingerprint=work.fingerprint)
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
        self, work: Work, admission: Admission, claim: ledger.Claim | None
    ) -> Attempt:
        call = work.call
        name = admission.upstream
        upstream = self._core.configuration().upstreams[name]
        outcome = Outcome.CANCELLED
        finished = False

        def may_write() -> bool:
            now_s = time.monotonic()
            if not self._keeper.slots.still_mine(
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
        paused_s = self._paused_s()
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
            started_s=started_s, still_s=self._paused_s() - paused_s
        )
        self._record_health(name, attempt, call.head.request_class.name)
        return attempt

    def _paused_s(self) -> float:
        standstill = self._keeper.slots.standstill
        return standstill.total_s(now_s=time.monotonic())

    def _release_slot(
        self,
        call: Call,
        admission: Admission,
        outcome: Outcome,
        *,
        finished: bool = True,
    ) -> None:
        """Gives a slot back, a moment later where work may still run.

        A closed connection is the word to stop, and an upstream takes a moment
        to notice it. Given away at once, the slot could be used twice.
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
        self, call: Call, attempt: Attempt, claim: ledger.Claim | None
    ) -> None:
        if claim is not None:
            await self._record_response(call, attempt, claim)
        if call.progress.answer():
            await call.answer.complete()

    async def _record_response(
        self, call: Call, attempt: Attempt, claim: ledger.Claim
    ) -> None:
        buffered = call.answer.held_answer()
        head = attempt.exchange.head
        assert head is not None
        body = None
        if buffered is not None:
            head, body = buffered
        recorded = ledger.keep_answer(
            status=head.status,
            headers=list(head.headers.get_all()),
            body=body,
        )
        await self._claims.record(claim, recorded)

    def _apply_reported_load(self, name: str, attempt: Attempt) -> None:
        """Takes the load that an answer states, while its slot is still held.

        The upstream counts the answered request too. What goes wrong once the
        slot is given back: that one looks like somebody else's, and a slot of
        the upstream stays unused for as long as the report is believed, a
        third of an upstream of three.
        """
        head = attempt.exchange.head
        if head is None:
            return
        report = read_load(head.headers.get(LOAD_HEADER, ""))
        if report is not None:
            self._keeper.slots.heard_upstream(
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
            self._core.health.failed(name=name, now_s=now_s)
            return
        self._core.health.answered(
            name=name,
            request_class=request_class,
            latency_ms=latency_ms,
            now_s=now_s,
            still_ms=attempt.still_s * 1000,
        )

    def _record_failure(self, work: Work, name: str, attempt: Attempt) -> None:
        call = work.call
        now_s = time.monotonic()
        sent = attempt.exchange.sent
        if sent is Sent.NOT_SENT:
            log.event(log.Event.UPSTREAM_UNREACHABLE, upstream=name)
            self._core.health.failed(name=name, now_s=now_s)
            return
        if sent is Sent.REFUSED:
            self._core.health.refused(name=name, now_s=now_s)
            return
        if sent in _NOT_UPSTREAM_FAULT:
            # What goes wrong where it counts: after each standstill of this
            # entry its upstreams look as if they could not be reached, lose a
            # slot and get nothing for a moment.
            return
        self._core.health.failed(name=name, now_s=now_s)
        log.event(
            log.Event.UPSTREAM_LOST,
            upstream=name,
            service=call.head.service,
            request_class=call.head.request_class.name,
        )
        if sent is Sent.LOST:
            self._core.quarantine.strike(
                fingerprint=work.fingerprint,
                upstream=name,
                ran_s=now_s - attempt.started_s,
                now_s=now_s,
            )
            self._core.on_strike()


# After these nothing of the request runs at its upstream.
_NOT_RUN = frozenset((Sent.NOT_SENT, Sent.TOO_LATE, Sent.REFUSED))
_ENDED_AT_UPSTREAM = _NOT_RUN | {Sent.WHOLE}
# What the caller or this entry did, not the upstream.
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
    return ledger.request_fingerprint(
        method=call.head.method,
        path=call.head.path,
        body_digest=call.body.digest().encode(),
    )


def read_load(value: str) -> UpstreamReport | None:
    """Reads an upstream's in-band report, `slots=4;busy=1;draining=0`.

    Returns:
      The report, None when it is absent or unreadable: no report is not a
      report of calm.
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
    """Returns the error with the word that fits how far the call came."""
    if error.ran is not Ran.NO or not call.progress.may_have_run:
        return error
    if not call.head.key:
        # It may run twice without harm, so the caller is told when to come
        # back as well.
        return AlmondstairError(
            kind=error.kind,
            detail=error.detail,
            ran=Ran.UNKNOWN,
            retry_after_ms=error.retry_after_ms,
        )
    return AlmondstairError(kind=ErrorKind.OUTCOME_UNKNOWN, detail=error.detail)
