"""Sends requests to upstreams through another entry that reaches them.

The other entry places the request and counts it against all limits, as it is
the one that sends it to an upstream. It relays nothing further, so that two
entries without upstreams cannot pass a request to and fro.
"""

from typing import NamedTuple

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.relay_selection import RelaySelector
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.gateway import relay_messages
from almondstair.gateway.call_recorder import CallRecorder
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.forwarded_call import ForwardingSink
from almondstair.gateway.forwarded_call import caller_response_head
from almondstair.gateway.forwarded_call import relayed_request_head
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.relay_messages import RelayedRequest
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_connection import UpstreamExchange

# Longest time for a connection to another entry to open.
CONNECT_TIMEOUT_S = 0.3
# Entries that are asked to take one request.
MAX_ENTRIES = 4
# Errors of the other entry that it would have returned to a caller of its own.
# After any other error that did not run the request, another entry is asked.
_FINAL_ERRORS = frozenset(
    (
        ErrorKind.NO_SLOT,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.QUARANTINED,
        ErrorKind.TRIES_SPENT,
        ErrorKind.UPSTREAMS_LIMITED,
        ErrorKind.UPSTREAMS_RESTING,
    )
)


class RelayOutcome(NamedTuple):
    """Holds the outcome of one request to another entry.

    Attributes:
      exchange: the HTTP exchange; None if no connection opened.
      error: the other entry's error, or why there is no response; None if an
        upstream has answered.
    """

    exchange: UpstreamExchange | None
    error: AlmondstairError | None


class RelayForwarder:
    """Relays the requests of this entry's callers."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        cut_off: CutOffEntries,
        selector: RelaySelector,
        pool: ConnectionPool,
        recorder: CallRecorder,
        statement_recorder: StatementRecorder,
        metrics: GatewayMetrics,
        own_name: str,
    ) -> None:
        """Creates the forwarder of one entry.

        Args:
          fleet: the view of the deployment.
          cut_off: entries that reach no upstream either.
          selector: selects the entry for a request.
          pool: connections to other entries, by their names.
          recorder: logs and counts calls.
          statement_recorder: applies what upstreams say of themselves.
          metrics: counters and histograms.
          own_name: name of this entry.
        """
        self._fleet = fleet
        self._cut_off = cut_off
        self._selector = selector
        self._pool = pool
        self._recorder = recorder
        self._statement_recorder = statement_recorder
        self._metrics = metrics
        self._own_name = own_name

    async def serve(self, call: ForwardedCall) -> bool:
        """Responds to a call with what an upstream answers another entry.

        Returns:
          Whether it has responded; the response was lost if not.

        Raises:
          AlmondstairError: the other entry's error, or `entry_cut_off` if no
            entry took the request.
        """
        refused: list[str] = []
        for _ in range(MAX_ENTRIES):
            entry = self._select(call, refused)
            if entry is None:
                break
            outcome = await self._send(call, entry)
            self._count(outcome)
            if outcome.error is None:
                assert outcome.exchange is not None
                self._respond(call, entry, outcome.exchange)
                return True
            call.request.withdraw_response()
            self._recorder.record_failed_relay(call, entry, outcome.error)
            if _is_final(call, outcome.error):
                raise self._final_error(call, outcome.error)
            refused.append(entry.name)
            self._selector.avoid(entry.name, now_s=now_s())
            if outcome.error.ran is not Ran.NO:
                call.attempts += 1
                call.lost_relays += 1
                return False
        raise self._final_error(
            call, AlmondstairError(kind=ErrorKind.ENTRY_CUT_OFF)
        )

    def _select(self, call: ForwardedCall, refused: list[str]) -> Entry | None:
        return self._selector.select(
            self._fleet.entries.values(),
            cut_off=self._cut_off.names,
            tried=refused,
            allowed_regions=call.route.allowed_regions,
            request_id=call.request_id,
            now_s=now_s(),
        )

    async def _send(self, call: ForwardedCall, entry: Entry) -> RelayOutcome:
        self._selector.record_sent(entry.name)
        try:
            connection = await self._connect(call, entry)
            if connection is None:
                error = AlmondstairError(
                    kind=ErrorKind.RELAY_REFUSED, detail="no connection"
                )
                return RelayOutcome(exchange=None, error=error)
            return await self._exchange(call, entry, connection)
        finally:
            self._selector.record_ended(entry.name)

    async def _connect(
        self, call: ForwardedCall, entry: Entry
    ) -> UpstreamConnection | None:
        connection = self._pool.acquire_idle(
            incarnation=entry.name, repeatable=call.route.kind.idempotent
        )
        if connection is not None and connection.address == entry.relays:
            return connection
        try:
            return await self._pool.connect(
                address=entry.relays, timeout_s=CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            log.event(
                log.Event.RELAY_UNREACHABLE,
                entry=entry.name,
                address=entry.relays,
                detail=str(error) or "no answer to a connection",
            )
            return None

    async def _exchange(
        self,
        call: ForwardedCall,
        entry: Entry,
        connection: UpstreamConnection,
    ) -> RelayOutcome:
        request = call.request
        chunked = request.body_length is None and not request.body.replayable
        head = relayed_request_head(
            call, relayed=self._describe(call), chunked=chunked
        )
        ran_before = call.may_have_run
        call.may_have_run = True
        exchange = await connection.exchange(
            head=head,
            body=request.body if request.body_length != 0 else None,
            chunked=chunked,
            without_body=request.method == "HEAD",
            sink=ForwardingSink(request),
            on_head=self._record_head,
            memory=request.open_exchange(),
        )
        self._pool.release(connection, incarnation=entry.name)
        error = _exchange_error(exchange)
        if error is not None and error.ran is Ran.NO:
            call.may_have_run = ran_before
        return RelayOutcome(exchange=exchange, error=error)

    def _record_head(self, head: ResponseHead) -> None:
        """Applies what upstreams have said to the other entry."""
        try:
            leaving = relay_messages.decode_leaving(head.headers)
            rests = relay_messages.decode_rests(head.headers)
        except AlmondstairError as error:
            log.event(log.Event.RELAY_BAD, detail=error.detail)
            return
        self._statement_recorder.record_told_leaving(leaving)
        self._statement_recorder.record_relayed_rests(rests)

    def _describe(self, call: ForwardedCall) -> RelayedRequest:
        organisation = call.organisation
        return RelayedRequest(
            entry=self._own_name,
            service=call.service,
            organisation="" if organisation is None else organisation.name,
            fingerprint=call.fingerprint(),
            tried=tuple(call.tried),
            attempts=call.attempts,
            age_s=now_s() - call.request.arrived_s,
            resting=self._resting_upstreams(call),
        )

    def _resting_upstreams(self, call: ForwardedCall) -> tuple[str, ...]:
        """Returns upstreams that the other entry must not send a call to."""
        now = now_s()
        found = []
        for upstream in self._fleet.eligible_upstreams(call.service):
            if upstream.rest.is_running(now_s=now):
                found.append(upstream.record.upstream_id)
        return tuple(found[: relay_messages.MAX_RESTING])

    def _count(self, outcome: RelayOutcome) -> None:
        kind = "answered" if outcome.error is None else str(outcome.error.kind)
        self._metrics.relayed.labels("out", kind).inc()

    def _respond(
        self, call: ForwardedCall, entry: Entry, exchange: UpstreamExchange
    ) -> None:
        assert exchange.head is not None
        if exchange.streamed:
            call.request.end_stream()
        else:
            call.request.respond(
                caller_response_head(exchange.head), exchange.body
            )
        self._recorder.record_relayed(call, entry, exchange.head.status)

    def _final_error(
        self, call: ForwardedCall, error: AlmondstairError
    ) -> AlmondstairError:
        if error.ran is Ran.NO and call.may_have_run:
            # Not run by the other entry, but perhaps by an earlier attempt.
            return AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail=error.detail
            )
        return error


def _exchange_error(exchange: UpstreamExchange) -> AlmondstairError | None:
    """Returns why there is no upstream's response, None if there is one."""
    if exchange.end is ExchangeEnd.NOT_SENT:
        return AlmondstairError(
            kind=ErrorKind.RELAY_REFUSED, detail="connection closed"
        )
    if exchange.end is not ExchangeEnd.COMPLETE or exchange.head is None:
        return AlmondstairError(
            kind=ErrorKind.ENTRY_LOST,
            detail=f"relayed response {exchange.end.value}",
            ran=Ran.UNKNOWN,
        )
    return relay_messages.decode_error(exchange.head.headers)


def _is_final(call: ForwardedCall, error: AlmondstairError) -> bool:
    """Returns whether no other entry may get the request."""
    if error.kind in _FINAL_ERRORS or call.request.body.consumed:
        return True
    if call.request.response_fixed or call.request.caller_disconnected:
        return True
    if error.ran is Ran.NO:
        return False
    # After any other error the other entry has spent the request's attempts.
    return error.kind is not ErrorKind.ENTRY_LOST
