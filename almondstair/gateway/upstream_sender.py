"""Attempts at upstreams: sends requests and classifies the outcomes."""

import asyncio

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.forwarded_call import AttemptResult
from almondstair.gateway.forwarded_call import AttemptVerdict
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.forwarded_call import ForwardingSink
from almondstair.gateway.forwarded_call import upstream_request_head
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.http_encoding import find_header
from almondstair.gateway.link_monitor import DirectExchange
from almondstair.gateway.link_monitor import LinkMonitor
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.gateway.upstream_connector import UpstreamConnector
from almondstair.platform import headers as names

# Statuses that tell callers that a request has not run. Without an upstream's
# explicit statement that it has not, the outcome is reported as unknown.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500


class UpstreamSender:
    """Sends calls to upstreams and records what their responses show."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        cold_start_limiter: ColdStartLimiter,
        crash_reports: CrashReports,
        metrics: GatewayMetrics,
        connector: UpstreamConnector,
        placer: RequestPlacer,
        statement_recorder: StatementRecorder,
        link_monitor: LinkMonitor,
    ) -> None:
        """Creates the sender of one entry.

        Args:
          fleet: the view of the deployment.
          pool: connections to upstreams.
          cold_start_limiter: counts requests to cold upstreams.
          crash_reports: requests that may crash upstreams.
          metrics: counters and histograms.
          connector: opens connections.
          placer: records how long requests run.
          statement_recorder: applies what upstreams say of themselves.
          link_monitor: watches the links to upstreams.
        """
        self._fleet = fleet
        self._pool = pool
        self._cold_start_limiter = cold_start_limiter
        self._crash_reports = crash_reports
        self._metrics = metrics
        self._connector = connector
        self._placer = placer
        self._statement_recorder = statement_recorder
        self._link_monitor = link_monitor

    async def send(self, call: ForwardedCall, choice: Choice) -> AttemptResult:
        """Sends a call to the chosen upstream and classifies the outcome."""
        upstream = choice.upstream
        call.tried.append(upstream.record.upstream_id)
        now = now_s()
        if upstream.is_cold(now_s=now):
            self._cold_start_limiter.record_sent(
                incarnation=upstream.incarnation, now_s=now
            )
        upstream.record_sent(now_s=now)
        sent = False
        try:
            connection = await self._get_connection(call, choice)
            if connection is None:
                return _not_sent(call, "upstream unreachable")
            cause = self._withdrawal_cause(call, upstream)
            if cause:
                self._release(connection, upstream)
                return _not_sent(call, cause)
            sent = True
            call.attempts += 1
            ran_before = call.may_have_run
            call.may_have_run = True
            began_s = now_s()
            exchange = await self._timed_exchange(call, choice, connection)
        finally:
            upstream.record_ended()
            if not sent:
                self._placer.release(choice, now_s=now_s())
        if exchange.end is ExchangeEnd.LOST:
            self._report_loss(call, upstream, ran_s=now_s() - began_s)
        outcome = self._classify(call, choice, exchange)
        if outcome.verdict is AttemptVerdict.NOT_RUN:
            call.may_have_run = ran_before
        return outcome

    def _withdrawal_cause(
        self, call: ForwardedCall, upstream: UpstreamState
    ) -> str:
        """Returns why a placed call must not be sent any more; empty if it may.

        The entry may have learned it while the connection was opened.
        """
        if upstream.is_leaving:
            return "upstream is leaving"
        if upstream.rest.is_running(now_s=now_s()):
            return "upstream asked for a rest"
        if self._newly_suspected(call):
            return "it may have ended an upstream"
        return ""

    def _newly_suspected(self, call: ForwardedCall) -> bool:
        """Returns whether a call came under suspicion after its placement.

        While the connection is opened, the same request may crash upstreams
        elsewhere; it must not crash another one here.
        """
        possibly_crashed = self._crash_reports.latest_possibly_crashed(
            call.fingerprint()
        )
        return not possibly_crashed <= call.possibly_crashed

    def _report_loss(
        self, call: ForwardedCall, upstream: UpstreamState, ran_s: float
    ) -> None:
        """Reports a lost response and probes the upstream.

        One that had said that it leaves has ended as it said.
        """
        if self._link_monitor.links.is_partitioned or upstream.is_leaving:
            return
        self._crash_reports.report_lost(
            call.fingerprint(), upstream, ran_s=ran_s
        )
        self._connector.confirm_loss(upstream)

    async def _get_connection(
        self, call: ForwardedCall, choice: Choice
    ) -> UpstreamConnection | None:
        """Returns an idle or a new connection; None if connecting fails.

        A retry after a lost response uses a new connection: upstreams drop idle
        connections, and the call would fail if each upstream that it is sent to
        had dropped its idle one. So does a request that must not be sent twice
        while idle connections may be silent: one that opens is not.
        """
        idempotent = call.route.kind.idempotent
        if call.may_have_run or (
            not idempotent and self._link_monitor.are_quiet()
        ):
            return await self._connector.connect(choice.upstream)
        connection = self._pool.acquire_idle(
            incarnation=choice.upstream.incarnation,
            repeatable=idempotent,
        )
        if connection is not None:
            return connection
        return await self._connector.connect(choice.upstream)

    async def _timed_exchange(
        self,
        call: ForwardedCall,
        choice: Choice,
        connection: UpstreamConnection,
    ) -> UpstreamExchange:
        """Sends the request and records how long it took."""
        began_s = now_s()
        duration_valid = False
        try:
            exchange = await self._exchange(call, choice, connection)
            head = exchange.head
            duration_valid = head is not None and head.status in _SUCCESS
            return exchange
        except asyncio.CancelledError:
            duration_valid = True
            raise
        finally:
            self._metrics.attempt_s.labels(call.service).observe(
                now_s() - began_s
            )
            if duration_valid and not self._link_monitor.links.is_partitioned:
                now = now_s()
                self._placer.record_run(
                    call.placement_request(),
                    choice,
                    took_s=now - began_s,
                    now_s=now,
                )

    async def _exchange(
        self,
        call: ForwardedCall,
        choice: Choice,
        connection: UpstreamConnection,
    ) -> UpstreamExchange:
        request = call.request
        upstream_id = choice.upstream.record.upstream_id
        chunked = request.body_length is None and not request.body.replayable
        direct = DirectExchange(
            connection=connection,
            upstream=choice.upstream,
            repeatable=call.route.kind.idempotent and not request.body.consumed,
            began_s=now_s(),
            expected_s=choice.expected_s,
        )
        with self._link_monitor.tracking(direct):
            exchange = await connection.exchange(
                head=upstream_request_head(
                    call, upstream_id=upstream_id, chunked=chunked
                ),
                body=request.body if request.body_length != 0 else None,
                chunked=chunked,
                request_id=call.request_id,
                without_body=request.method == "HEAD",
                sink=ForwardingSink(request),
                on_head=lambda head: self._record_head(call, choice, head),
                memory=request.open_exchange(),
            )
        self._release(connection, choice.upstream)
        return exchange

    def _record_head(
        self, call: ForwardedCall, choice: Choice, head: ResponseHead
    ) -> None:
        upstream = choice.upstream
        self._statement_recorder.record_response(upstream, head)
        name = upstream.name_hash
        if upstream.is_leaving:
            call.request.leaving_upstreams.append(name)
        left_s = upstream.rest.resumes_s - now_s()
        if left_s > 0:
            rest = (name, round(left_s * 1000))
            call.request.resting_upstreams.append(rest)

    def _release(
        self, connection: UpstreamConnection, upstream: UpstreamState
    ) -> None:
        """Keeps a connection for later requests, if there may be any."""
        if upstream.is_leaving:
            connection.close()
            return
        self._pool.release(connection, incarnation=upstream.incarnation)

    def _classify(
        self, call: ForwardedCall, choice: Choice, exchange: UpstreamExchange
    ) -> AttemptResult:
        upstream = choice.upstream
        head = exchange.head
        if exchange.end is ExchangeEnd.NOT_SENT:
            return AttemptResult(
                AttemptVerdict.NOT_RUN, exchange, "connection closed"
            )
        if exchange.end is not ExchangeEnd.COMPLETE or head is None:
            # The next connection shows whether the upstream is gone; one that
            # only loses responses remains in use, but less.
            if not self._link_monitor.links.is_partitioned:
                self._record_failure(upstream)
            return AttemptResult(
                AttemptVerdict.UNKNOWN,
                exchange,
                f"answer {exchange.end.value}",
            )
        cause = _unusable_cause(head)
        if head.status == _MISDIRECTED:
            self._record_replaced(choice)
            call.attempts -= 1
            return AttemptResult(
                AttemptVerdict.NOT_RUN, exchange, "upstream replaced"
            )
        if find_header(head.headers, names.NOT_RUN) is not None:
            self._record_failure(upstream)
            return AttemptResult(
                AttemptVerdict.NOT_RUN, exchange, f"refused {head.status}"
            )
        if cause:
            return AttemptResult(AttemptVerdict.UNKNOWN, exchange, cause)
        upstream.record_response(
            good=head.status < _SERVER_ERROR, now_s=now_s()
        )
        self._crash_reports.record_response(call.fingerprint())
        return AttemptResult(AttemptVerdict.ANSWERED, exchange)

    @staticmethod
    def _record_failure(upstream: UpstreamState) -> None:
        """Counts a failure, unless the upstream had told that it would come."""
        now = now_s()
        if upstream.is_leaving or upstream.rest.is_running(now_s=now):
            return
        upstream.record_response(good=False, now_s=now)

    def _record_replaced(self, choice: Choice) -> None:
        record = choice.upstream.record
        self._fleet.record_misdirected(record, now_s=now_s())
        self._pool.close_upstream(incarnation=record.incarnation)
        log.event(log.Event.UPSTREAM_GONE, upstream=record.incarnation)


def _not_sent(call: ForwardedCall, cause: str) -> AttemptResult:
    """Returns an attempt that sent nothing to the chosen upstream."""
    call.tried.pop()
    exchange = UpstreamExchange(end=ExchangeEnd.NOT_SENT)
    return AttemptResult(AttemptVerdict.NOT_RUN, exchange, cause)


def _unusable_cause(head: ResponseHead) -> str:
    """Returns why a response must not reach the caller, empty if it may."""
    if head.status in _NOT_RUN_STATUSES:
        # The caller would infer that the request did not run, which the
        # upstream does not state.
        return f"status {head.status}"
    if (
        head.status in _SUCCESS
        and find_header(head.headers, names.RESPONSE_SEAL) is None
    ):
        return "answer without signature"
    return ""
