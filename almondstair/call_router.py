"""Handles calls: steers each to a region, an entry and an upstream."""

import asyncio
import random
import time
from typing import NamedTuple

from opentelemetry import trace

from almondstair import log
from almondstair.calls import Call
from almondstair.core.entry_selection import EntrySelector
from almondstair.core.entry_table import EntryRow
from almondstair.core.loop_stall import LoopStall
from almondstair.core.membership import Membership
from almondstair.core.model import Configuration
from almondstair.core.quarantine import DispatchVerdict
from almondstair.core.quarantine import Quarantine
from almondstair.core.quarantine import request_fingerprint
from almondstair.core.retries import RetryBudget
from almondstair.core.retries import retry_after_ms
from almondstair.core.steering import Steering
from almondstair.dispatch import Sender
from almondstair.dispatch import timeout_error
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.http_client import Pace
from almondstair.http_client import unlimited_pace
from almondstair.link_pacers import LinkPacers
from almondstair.metrics import Metric
from almondstair.metrics import Metrics
from almondstair.runner import MIN_SERVER_ERROR_STATUS
from almondstair.runner import Runner
from almondstair.runner import RunnerJob
from almondstair.runner import mark_outcome_unknown
from almondstair.strike_exchange import StrikeExchange
from almondstair.tracing import Tracing

MAX_ATTEMPTS = 3
# Delay before the retry of a request whose upstream was lost: the report of the
# strike takes some milliseconds to reach the other entries. A response to the
# caller is not delayed by it.
STRIKE_PROPAGATION_S = 0.05
# Refusals of requests that did not run and that another entry may accept.
_RETRY_ELSEWHERE = frozenset(
    (
        ErrorKind.NO_SLOT,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.ENTRY_LEAVING,
        ErrorKind.ENTRY_LOST,
    )
)
# Refusals that may occur before the idempotency key is looked up.
_BEFORE_KEY_LOOKUP = frozenset(
    (
        ErrorKind.NO_SLOT,
        ErrorKind.LINK_FULL,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.QUARANTINED,
        ErrorKind.ENTRY_LEAVING,
        ErrorKind.ENTRY_LOST,
    )
)
_FAILURES = frozenset(
    (
        ErrorKind.ENTRY_LOST,
        ErrorKind.UPSTREAM_LOST,
        ErrorKind.UPSTREAM_TIMEOUT,
        ErrorKind.NO_UPSTREAM,
    )
)
# Refusals that show a lack of capacity in a region.
_REGION_REFUSALS = frozenset((ErrorKind.NO_SLOT, ErrorKind.ENTRY_LEAVING))
# Fraction of the class's deadline that an attempt must last for its timeout to
# count as a failure of the region. Otherwise a caller with a deadline of a few
# milliseconds would make every region look failed to all other callers.
_MIN_TIMEOUT_FRACTION = 0.5


class CallRouterParts(NamedTuple):
    """Holds the components that call handling depends on.

    Attributes:
      own: this entry's row.
      membership: the entries and their heartbeats.
      steering: weights over regions.
      entry_selector: estimates the free slots of entries and selects entries by
        them.
      quarantine: requests that crashed upstreams.
      pacers: links from this availability zone.
      runner: runs calls at upstreams of this entry.
      sender: forwards calls to other entries.
      tracing: creates spans.
      metrics: counters and timings.
      loop_stall: time for which this process was stalled.
      strike_exchange: other entries' reports of requests that crash upstreams.
    """

    own: EntryRow
    membership: Membership
    steering: Steering
    entry_selector: EntrySelector
    quarantine: Quarantine
    pacers: LinkPacers
    runner: Runner
    sender: Sender
    tracing: Tracing
    metrics: Metrics
    loop_stall: LoopStall
    strike_exchange: StrikeExchange


class _AttemptStart(NamedTuple):
    """Holds an attempt's start time and the stall time up to it."""

    started_s: float
    stall_s: float


class _Hop(NamedTuple):
    """Holds the destination of an attempt: a region and one of its entries."""

    region: str
    row: EntryRow


class CallRouter:
    """Routes the calls of one entry, with retries."""

    def __init__(self, *, parts: CallRouterParts) -> None:
        """Creates a router without a configuration."""
        self._parts = parts
        self._budgets: dict[str, RetryBudget] = {}
        self._configuration: Configuration | None = None

    def configure(self, *, configuration: Configuration) -> None:
        """Applies the configuration in force."""
        self._configuration = configuration
        for service in configuration.services:
            profile = configuration.services[service].profile
            fraction = configuration.profiles[profile].retry_fraction
            budget = self._budgets.get(service)
            if budget is None or budget.fraction != fraction:
                self._budgets[service] = RetryBudget(fraction=fraction)

    async def handle(self, call: Call) -> None:
        """Responds to a call, with an upstream's response or an error."""
        started_s = time.monotonic()
        name = "entry"
        if call.from_entry:
            name = "admit"
        with self._parts.tracing.span(
            name, traceparent=call.traceparent, kind=trace.SpanKind.SERVER
        ) as span:
            span.set_attribute("service", call.head.service)
            span.set_attribute("request_class", call.head.request_class.name)
            call = call._replace(
                traceparent=self._parts.tracing.outgoing_traceparent(
                    span, fallback=call.traceparent
                )
            )
            error = await self._answer_before_deadline(call)
            if error is not None:
                span.set_attribute("error", str(error.kind))
        self._record_metrics(call, error, started_s)

    async def _answer_before_deadline(
        self, call: Call
    ) -> AlmondstairError | None:
        error: AlmondstairError | None = None
        try:
            async with asyncio.timeout_at(call.head.deadline_s):
                error = await self._route(call)
        except TimeoutError:
            error = timeout_error(call.progress)
        except AlmondstairError as raised:
            error = raised
        if error is None:
            return None
        error = mark_outcome_unknown(error, call=call)
        # Marked as answered before the response is written, so that nothing
        # dispatches the request any more.
        call.progress.try_answer()
        error = await self._replay_known_outcome(call, error)
        if error is not None:
            call.response.send_problem(error)
        return error

    async def _replay_known_outcome(
        self, call: Call, error: AlmondstairError
    ) -> AlmondstairError | None:
        """Responds to a refused repeat with the recorded outcome of its key.

        Suppose that a request with a key runs, its response is lost, and the
        caller repeats it while every slot is taken. A refusal as "not run"
        would make the caller send the request again under a new key, and it
        would run twice. The key is therefore looked up before such a refusal.

        Returns:
          None if the recorded response was sent, else the error to send.
        """
        if not call.head.key or call.from_entry:
            return error
        if error.ran is not Ran.NO or error.kind not in _BEFORE_KEY_LOOKUP:
            return error
        try:
            async with asyncio.timeout_at(call.head.deadline_s):
                if await self._parts.runner.replay_recorded_response(call):
                    return None
        except TimeoutError:
            return error
        except AlmondstairError as key_error:
            return key_error
        return error

    async def _route(self, call: Call) -> AlmondstairError | None:
        fingerprint = request_fingerprint(
            method=call.head.method,
            path=f"/{call.head.service}{call.head.path}",
            body_digest=call.body.digest().encode(),
        )
        verdict = self._verdict(fingerprint)
        if call.isolated and verdict is DispatchVerdict.CLEAR:
            verdict = DispatchVerdict.ISOLATED
        if call.from_entry:
            job = RunnerJob(call, fingerprint, verdict, unlimited_pace)
            return await self._parts.runner.run(job)
        return await self._route_with_retries(call, fingerprint, verdict)

    def _verdict(self, fingerprint: int) -> DispatchVerdict:
        self._parts.strike_exchange.read_pending()
        now_s = time.monotonic()
        quarantine = self._parts.quarantine
        verdict = quarantine.verdict(fingerprint=fingerprint, now_s=now_s)
        if verdict is DispatchVerdict.QUARANTINED:
            left_s = quarantine.remaining_s(
                fingerprint=fingerprint, now_s=now_s
            )
            log.event(log.Event.REQUEST_QUARANTINED, left_s=round(left_s, 1))
            raise AlmondstairError(
                kind=ErrorKind.QUARANTINED, retry_after_ms=int(left_s * 1000)
            )
        return verdict

    async def _route_with_retries(
        self, call: Call, fingerprint: int, verdict: DispatchVerdict
    ) -> AlmondstairError | None:
        budget = self._budgets[call.head.service]
        budget.record_first_attempt(now_s=time.monotonic())
        tried: frozenset[str] = frozenset()
        error = self._no_region_error(call)
        for _ in range(MAX_ATTEMPTS):
            hop = self._next_hop(call, tried)
            if verdict is DispatchVerdict.ISOLATED:
                hop = self._designated_hop(call, fingerprint)
            if hop is None or hop.row.name in tried:
                break
            tried = tried | {hop.row.name}
            attempt_error = await self._attempt(call, hop, fingerprint, verdict)
            if attempt_error is None:
                self._parts.quarantine.record_answer(fingerprint=fingerprint)
                return None
            error = attempt_error
            if not self._may_retry(call, error, budget):
                break
            self._parts.metrics.count(Metric.RETRIES)
            call.response.reset()
            verdict = self._verdict(fingerprint)
            if error.kind is ErrorKind.UPSTREAM_LOST:
                # The report of the strike by the other entry may not have
                # arrived yet. An ordinary retry could crash an upstream that
                # runs other requests, so the retry runs isolated.
                call = call._replace(isolated=True)
                await asyncio.sleep(STRIKE_PROPAGATION_S)
                verdict = self._verdict(fingerprint)
                if verdict is DispatchVerdict.CLEAR:
                    verdict = DispatchVerdict.ISOLATED
        return _jitter_retry_after(error)

    def _no_region_error(self, call: Call) -> AlmondstairError:
        """Returns the error for a call for which no region is tried.

        Low priority is refused here while every region is full for it. With
        `no_upstream` its callers would stay away for seconds in which slots
        become free.
        """
        weights = self._parts.steering.weights(
            service=call.head.service,
            priority=call.head.request_class.priority,
            availability_zone=self._parts.own.availability_zone,
            now_s=time.monotonic(),
        )
        if weights:
            return AlmondstairError(kind=ErrorKind.NO_SLOT)
        return AlmondstairError(kind=ErrorKind.NO_UPSTREAM)

    def _next_hop(self, call: Call, tried: frozenset[str]) -> _Hop | None:
        """Returns the best untried entry of the best region, None if none."""
        now_s = time.monotonic()
        regions = self._parts.steering.choose(
            service=call.head.service,
            priority=call.head.request_class.priority,
            availability_zone=self._parts.own.availability_zone,
            now_s=now_s,
            draw=random.random(),
        )
        live = self._parts.membership.live_entries(now_s=now_s)
        fallback: _Hop | None = None
        for region in regions:
            rows = []
            for row in live:
                if row.region == region:
                    rows.append(row)
            ranked = self._parts.entry_selector.ranked_entries(
                rows=tuple(rows),
                service=call.head.service,
                tried=tried,
                now_s=now_s,
                draw=random.random(),
            )
            for entry in ranked:
                if entry.free_slots > 0:
                    return _Hop(region, entry.row)
                if fallback is None:
                    fallback = _Hop(region, entry.row)
        return fallback

    def _designated_hop(self, call: Call, fingerprint: int) -> _Hop | None:
        now_s = time.monotonic()
        row = self._parts.entry_selector.designated_entry(
            rows=tuple(self._parts.membership.live_entries(now_s=now_s)),
            service=call.head.service,
            fingerprint=fingerprint,
            now_s=now_s,
        )
        return None if row is None else _Hop(row.region, row)

    async def _attempt(
        self, call: Call, hop: _Hop, fingerprint: int, verdict: DispatchVerdict
    ) -> AlmondstairError | None:
        service = call.head.service
        start = self._attempt_start()
        priority = call.head.request_class.priority
        pacers = self._parts.pacers
        pacers.check_capacity(
            region=hop.region,
            priority=priority,
            body_bytes=call.body_bytes,
            deadline_s=call.head.deadline_s,
            now_s=start.started_s,
        )
        kind = f"{service}/{call.head.request_class.name}"
        transfer = pacers.make_transfer(
            region=hop.region,
            priority=priority,
            deadline_s=call.head.deadline_s,
            body_bytes=call.body_bytes,
            response_kind=kind,
        )
        call.response.pace = transfer.pace_response
        self._parts.entry_selector.record_sent(
            entry=hop.row.name, service=service
        )
        self._parts.steering.regions.record_sent(
            region=hop.region, service=service
        )
        error: AlmondstairError | None = AlmondstairError(
            kind=ErrorKind.UPSTREAM_TIMEOUT
        )
        try:
            await transfer.reserve_response()
            if hop.row.name == self._parts.own.name:
                job = RunnerJob(
                    call, fingerprint, verdict, transfer.pace_request
                )
                error = await self._run_locally(job)
            else:
                self._parts.metrics.count(Metric.FORWARDS, hop.region)
                error = await self._forward(call, hop, transfer.pace_request)
            if error is None:
                pacers.record_response_size(
                    response_kind=kind, size_bytes=transfer.response_bytes
                )
        finally:
            transfer.end()
            self._parts.entry_selector.record_finished(
                entry=hop.row.name, service=service
            )
            self._report_to_steering(call, hop, error, start)
        return error

    def _attempt_start(self) -> _AttemptStart:
        return _AttemptStart(
            started_s=time.monotonic(), stall_s=self._stall_s()
        )

    def _stall_s(self) -> float:
        return self._parts.loop_stall.total_s(now_s=time.monotonic())

    async def _run_locally(self, job: RunnerJob) -> AlmondstairError | None:
        try:
            return await self._parts.runner.run(job)
        except AlmondstairError as error:
            return error

    async def _forward(
        self, call: Call, hop: _Hop, pace: Pace
    ) -> AlmondstairError | None:
        attempt = await self._parts.sender.forward_to_entry(
            call=call,
            entry=hop.row,
            pace=pace,
            window_bytes=self._parts.pacers.window_bytes(region=hop.region),
        )
        if attempt.error is not None:
            return attempt.error
        if call.progress.try_answer():
            await call.response.complete()
        return None

    def _report_to_steering(
        self,
        call: Call,
        hop: _Hop,
        error: AlmondstairError | None,
        start: _AttemptStart,
    ) -> None:
        now_s = time.monotonic()
        duration_ms = (now_s - start.started_s) * 1000
        service = call.head.service
        request_class = call.head.request_class
        regions = self._parts.steering.regions
        if error is None and call.response.status >= MIN_SERVER_ERROR_STATUS:
            # The caller gets this response, but the region counts as failed: a
            # region that fails fast would otherwise look the least loaded.
            regions.record_failure(
                region=hop.region, service=service, now_s=now_s
            )
            return
        if error is None:
            regions.record_answer(
                region=hop.region,
                service=service,
                priority=request_class.priority,
                request_class=request_class.name,
                latency_ms=duration_ms,
                now_s=now_s,
                stall_ms=(self._stall_s() - start.stall_s) * 1000,
            )
            return
        if error.kind is ErrorKind.NO_SLOT:
            self._parts.entry_selector.record_refusal(
                entry=hop.row.name, service=service, now_s=now_s
            )
        if error.kind in _REGION_REFUSALS:
            regions.record_refusal(
                region=hop.region,
                service=service,
                priority=request_class.priority,
                now_s=now_s,
            )
            return
        min_ms = request_class.deadline_ms * _MIN_TIMEOUT_FRACTION
        timed_out = error.kind is ErrorKind.UPSTREAM_TIMEOUT
        too_short = timed_out and duration_ms < min_ms
        if error.kind in _FAILURES and not too_short:
            regions.record_failure(
                region=hop.region, service=service, now_s=now_s
            )
            return
        regions.record_finished(region=hop.region, service=service)

    def _may_retry(
        self, call: Call, error: AlmondstairError, budget: RetryBudget
    ) -> bool:
        """Returns whether a call may be retried.

        A request is retried only if it certainly did not run or is idempotent,
        and only within the retry budget. Under overload most attempts are
        refused, and retries without a budget would saturate the system with
        refusals.
        """
        if not call.response.nothing_sent or call.response.caller_disconnected:
            return False
        if not call.body.replayable and call.body.consumed:
            return False
        not_run = error.ran is Ran.NO and error.kind in _RETRY_ELSEWHERE
        repeatable = call.head.request_class.idempotent and (
            error.kind in _FAILURES
        )
        if not not_run and not repeatable:
            return False
        if error.kind is ErrorKind.UPSTREAM_TIMEOUT:
            return False
        return budget.try_retry(now_s=time.monotonic())

    def _record_metrics(
        self, call: Call, error: AlmondstairError | None, started_s: float
    ) -> None:
        metrics = self._parts.metrics
        label = f"{call.head.service}.{call.head.request_class.name}"
        if error is not None:
            metrics.count(Metric.REFUSALS, str(error.kind))
            if error.ran is not Ran.NO:
                log.event(
                    log.Event.REQUEST_FAILED,
                    kind=str(error.kind),
                    service=call.head.service,
                    request_class=call.head.request_class.name,
                    detail=error.detail,
                )
            return
        metrics.count(Metric.REQUESTS, label)
        latency_ms = (time.monotonic() - started_s) * 1000
        metrics.timing(Metric.LATENCY_MS, label, latency_ms)


def _jitter_retry_after(error: AlmondstairError) -> AlmondstairError:
    """Returns the error with jitter in the time to retry after."""
    if error.retry_after_ms is None:
        return error
    return AlmondstairError(
        kind=error.kind,
        detail=error.detail,
        ran=error.ran,
        retry_after_ms=retry_after_ms(
            base_ms=error.retry_after_ms, draw=random.random()
        ),
    )
