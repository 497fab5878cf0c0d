"""Tries at upstreams: connecting, sending, judging, and learning from it."""

import asyncio

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.choosing import Choice
from almondstair.core.cold_starts import ColdStarts
from almondstair.core.fleet import Fleet
from almondstair.core.placing import Placing
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.calls import Call
from almondstair.gateway.calls import Try
from almondstair.gateway.calls import Verdict
from almondstair.gateway.calls import reply_head
from almondstair.gateway.calls import request_head
from almondstair.gateway.crash_words import CrashWords
from almondstair.gateway.http_wire import Headers
from almondstair.gateway.http_wire import ReplyHead
from almondstair.gateway.http_wire import find
from almondstair.gateway.incoming import IncomingRequest
from almondstair.gateway.measures import Measures
from almondstair.gateway.reaching import Reaching
from almondstair.gateway.upstream_connection import Exchange
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import ReplySink
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import headers as names

# Statuses that promise that a request has not run. Only an upstream's certain
# word makes them true; without it they are answered as an unknown outcome.
_PROMISES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500


class Tries:
    """Sends calls to upstreams, and learns from their answers."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: UpstreamPool,
        cold_starts: ColdStarts,
        suspects: CrashWords,
        measures: Measures,
        reaching: Reaching,
        placing: Placing,
    ) -> None:
        """Makes the sender of one entry.

        Args:
          fleet: what is known of the deployment.
          pool: connections to upstreams.
          cold_starts: counts requests to cold upstreams.
          suspects: requests that may crash upstreams.
          measures: counters and histograms.
          reaching: opens connections.
          placing: learns how long requests run.
        """
        self._fleet = fleet
        self._pool = pool
        self._cold_starts = cold_starts
        self._suspects = suspects
        self._measures = measures
        self._reaching = reaching
        self._placing = placing

    async def send(self, call: Call, choice: Choice) -> Try:
        """Sends a call to the chosen upstream and judges what came back."""
        upstream = choice.upstream
        call.tried.append(upstream.record.upstream_id)
        now = now_s()
        if upstream.cold(now_s=now):
            self._cold_starts.note_sent(
                incarnation=upstream.incarnation, now_s=now
            )
        upstream.note_sent()
        try:
            connection = await self._connection(call, choice)
            if connection is None:
                return _not_sent(call, "upstream unreachable")
            if self._came_under_suspicion(call):
                self._pool.give_back(
                    connection, incarnation=upstream.incarnation
                )
                return _not_sent(call, "it may have ended an upstream")
            call.attempts += 1
            ran_before = call.may_have_run
            call.may_have_run = True
            began_s = now_s()
            exchange = await self._timed_exchange(call, choice, connection)
        finally:
            upstream.note_ended()
        if exchange.end is ExchangeEnd.LOST:
            self._lost(call, upstream, ran_s=now_s() - began_s)
        outcome = self._judge(call, choice, exchange)
        if outcome.verdict is Verdict.NOT_RUN:
            call.may_have_run = ran_before
        return outcome

    def _came_under_suspicion(self, call: Call) -> bool:
        """Whether a call's upstream was chosen without what is known now.

        What goes wrong without: while a connection is opened, the same request
        ends upstreams elsewhere, and then one more here.
        """
        exposed = self._suspects.exposed_now(call.fingerprint())
        return not exposed <= call.exposed

    def _lost(self, call: Call, upstream: UpstreamState, ran_s: float) -> None:
        """Tells others that an upstream may have ended, and finds out."""
        self._suspects.note_lost(call.fingerprint(), upstream, ran_s=ran_s)
        if upstream.was_unreachable:
            self._suspects.note_gone(upstream)
            return
        self._reaching.look_after(upstream)

    async def _connection(
        self, call: Call, choice: Choice
    ) -> UpstreamConnection | None:
        """Returns a kept connection, or a new one; None if there is neither.

        A request whose answer was lost goes on by a new connection. What goes
        wrong without: upstreams drop idle connections, and a caller is failed
        because each upstream that it is sent to has dropped the kept one.
        """
        if call.may_have_run:
            return await self._reaching.open(choice.upstream)
        connection = self._pool.take_idle(
            incarnation=choice.upstream.incarnation,
            repeatable=call.route.kind.idempotent,
        )
        if connection is not None:
            return connection
        return await self._reaching.open(choice.upstream)

    async def _timed_exchange(
        self, call: Call, choice: Choice, connection: UpstreamConnection
    ) -> Exchange:
        """Sends the request and learns from how long it took."""
        began_s = now_s()
        answered = False
        try:
            exchange = await self._exchange(call, choice, connection)
            head = exchange.head
            answered = head is not None and head.status in _SUCCESS
            return exchange
        except asyncio.CancelledError:
            answered = True
            raise
        finally:
            self._measures.run_s.labels(call.service).observe(now_s() - began_s)
            if answered:
                now = now_s()
                self._placing.note_run(
                    call.asked(), choice, took_s=now - began_s, now_s=now
                )

    async def _exchange(
        self, call: Call, choice: Choice, connection: UpstreamConnection
    ) -> Exchange:
        request = call.request
        upstream_id = choice.upstream.record.upstream_id
        chunked = request.length is None and not request.body.replayable
        exchange = await connection.exchange(
            head=request_head(call, upstream_id=upstream_id, chunked=chunked),
            body=request.body if request.length != 0 else None,
            chunked=chunked,
            request_id=call.request_id,
            without_body=request.method == "HEAD",
            sink=_Passing(request),
        )
        self._pool.give_back(
            connection, incarnation=choice.upstream.incarnation
        )
        return exchange

    def _judge(self, call: Call, choice: Choice, exchange: Exchange) -> Try:
        upstream = choice.upstream
        head = exchange.head
        if exchange.end is ExchangeEnd.NOT_SENT:
            return Try(Verdict.NOT_RUN, exchange, "connection closed")
        if exchange.end is not ExchangeEnd.WHOLE or head is None:
            # Whether it is gone shows at the next connection; an upstream that
            # merely loses answers goes on to be used, but less.
            upstream.note_answer(good=False, now_s=now_s())
            return Try(
                Verdict.UNKNOWN, exchange, f"answer {exchange.end.value}"
            )
        self._note_load(upstream_headers=head.headers, choice=choice)
        cause = _doubt(head)
        if head.status == _MISDIRECTED:
            self._misdirected(choice)
            call.attempts -= 1
            return Try(Verdict.NOT_RUN, exchange, "upstream replaced")
        if find(head.headers, names.NOT_RUN) is not None:
            upstream.note_answer(good=False, now_s=now_s())
            return Try(Verdict.NOT_RUN, exchange, f"refused {head.status}")
        if cause:
            return Try(Verdict.UNKNOWN, exchange, cause)
        upstream.note_answer(good=head.status < _SERVER_ERROR, now_s=now_s())
        self._suspects.note_answered(call.fingerprint())
        return Try(Verdict.ANSWERED, exchange)

    def _note_load(self, *, upstream_headers: Headers, choice: Choice) -> None:
        value = find(upstream_headers, names.LOAD)
        if value is None:
            return
        told = names.read_load(value)
        if told is not None:
            choice.upstream.take_load(told, now_s=now_s())

    def _misdirected(self, choice: Choice) -> None:
        record = choice.upstream.record
        self._fleet.misdirected(record, now_s=now_s())
        self._pool.forget(incarnation=record.incarnation)
        log.event(log.Event.UPSTREAM_GONE, upstream=record.incarnation)


def _not_sent(call: Call, cause: str) -> Try:
    """Returns a try of which the chosen upstream had nothing."""
    call.tried.pop()
    exchange = Exchange(end=ExchangeEnd.NOT_SENT)
    return Try(Verdict.NOT_RUN, exchange, cause)


def _doubt(head: ReplyHead) -> str:
    """Returns why an answer must not reach the caller, empty if it may."""
    if head.status in _PROMISES:
        # The upstream does not say that it did not run the request, and the
        # caller would take the status for just that.
        return f"status {head.status}"
    if head.status in _SUCCESS and find(head.headers, names.SEAL) is None:
        return "answer without signature"
    return ""


class _Passing(ReplySink):
    """Passes a long answer on, without the headers of one hop."""

    def __init__(self, request: IncomingRequest) -> None:
        self._request = request

    def begin(self, head: ReplyHead) -> None:
        self._request.begin(reply_head(head))

    async def write(self, data: bytes) -> None:
        await self._request.write(data)
