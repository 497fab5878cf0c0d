"""Sends a call to an upstream, directly or through another entry.

Only the entry that received the call from its caller retries. An entry that it
forwards to makes one attempt and reports whether the request ran.
"""

from collections.abc import Callable
import time
from typing import NamedTuple

from opentelemetry import trace
from tornado import httputil

from almondstair.calls import Call
from almondstair.core.entry_table import EntryRow
from almondstair.core.model import Upstream
from almondstair.core.requests import RequestProgress
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.http_client import RECEIVE_BUFFER_BYTES
from almondstair.http_client import Exchange
from almondstair.http_client import ExchangeOutcome
from almondstair.http_client import HttpClient
from almondstair.http_client import Pace
from almondstair.http_messages import ALONE_HEADER
from almondstair.http_messages import ANSWER_HEADER
from almondstair.http_messages import CALLER_ZONE_HEADER
from almondstair.http_messages import DEADLINE_HEADER
from almondstair.http_messages import KEY_HEADER
from almondstair.http_messages import TRACE_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.http_messages import parse_entry_error
from almondstair.http_messages import remaining_ms
from almondstair.tracing import Tracing

CONNECT_TIMEOUT_S = 1.0


class Attempt(NamedTuple):
    """Holds the result of one attempt.

    Attributes:
      exchange: result of the HTTP exchange.
      error: error to respond with, None if the response is complete.
      started_s: monotonic time of the start, in seconds.
      stall_s: time during the attempt for which this process was stalled, in
        seconds.
    """

    exchange: Exchange
    error: AlmondstairError | None
    started_s: float = 0.0
    stall_s: float = 0.0


class Sender:
    """Sends a call's request to one address and passes the response back."""

    def __init__(self, *, tracing: Tracing, own_zone: str) -> None:
        """Creates the HTTP clients for upstreams and for entries."""
        self._tracing = tracing
        self._own_zone = own_zone
        self.upstream_client = HttpClient(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )
        self.entry_client = HttpClient(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )

    def close(self) -> None:
        """Closes idle connections."""
        self.upstream_client.close()
        self.entry_client.close()

    async def send_to_upstream(
        self,
        *,
        call: Call,
        name: str,
        upstream: Upstream,
        may_write: Callable[[], bool],
        pace: Pace,
    ) -> Attempt:
        """Sends a call to an upstream.

        Args:
          call: the call.
          name: name of the upstream.
          upstream: the upstream.
          may_write: returns whether this entry still owns its slot; called
            before and after the request's head is written.
          pace: awaited before bytes of the request's body are written.
        """
        with self._tracing.span(
            "upstream",
            traceparent=call.traceparent,
            kind=trace.SpanKind.CLIENT,
        ) as span:
            span.set_attribute("upstream", name)
            exchange = await self._exchange(
                client=self.upstream_client,
                address=upstream.address,
                call=call,
                path=call.head.path,
                trace_header=self._tracing.outgoing_traceparent(
                    span, fallback=call.traceparent
                ),
                may_write=may_write,
                pace=pace,
            )
            span.set_attribute("sent", exchange.outcome.value)
        return Attempt(exchange, _upstream_error(exchange, name))

    async def forward_to_entry(
        self,
        *,
        call: Call,
        entry: EntryRow,
        pace: Pace,
        window_bytes: int,
    ) -> Attempt:
        """Forwards a call to another entry.

        Args:
          call: the call.
          entry: the entry to forward to.
          pace: awaited before bytes of the request's body are written.
          window_bytes: receive buffer of a new connection to the entry.
        """
        with self._tracing.span(
            "forward",
            traceparent=call.traceparent,
            kind=trace.SpanKind.CLIENT,
        ) as span:
            span.set_attribute("to", entry.name)
            exchange = await self._exchange(
                client=self.entry_client,
                address=entry.forward_address,
                call=call,
                path=f"/{call.head.service}{call.head.path}",
                trace_header=self._tracing.outgoing_traceparent(
                    span, fallback=call.traceparent
                ),
                may_write=lambda: True,
                pace=pace,
                to_entry=True,
                window_bytes=window_bytes,
            )
            span.set_attribute("sent", exchange.outcome.value)
        return Attempt(exchange, _entry_error(exchange, entry.name))

    async def _exchange(
        self,
        *,
        client: HttpClient,
        address: str,
        call: Call,
        path: str,
        trace_header: str,
        may_write: Callable[[], bool],
        pace: Pace,
        to_entry: bool = False,
        window_bytes: int = 0,
    ) -> Exchange:
        fresh = not call.head.request_class.idempotent
        try:
            stream = await client.connect(
                address, fresh=fresh, receive_buffer_bytes=window_bytes
            )
        except (OSError, TimeoutError):
            return Exchange(outcome=ExchangeOutcome.NOT_SENT)
        # The process may have stalled since the last check. A write after
        # the deadline is not allowed: other entries wait for this one only
        # until then.
        left_ms = remaining_ms(deadline_s=call.head.deadline_s)
        if left_ms <= 0 or not may_write() or not call.progress.try_dispatch():
            stream.close()
            return Exchange(outcome=ExchangeOutcome.TOO_LATE)
        headers = call.headers.copy()
        headers[DEADLINE_HEADER] = str(left_ms)
        if trace_header:
            headers[TRACE_HEADER] = trace_header
        if call.head.key:
            headers[KEY_HEADER] = call.head.key
        if to_entry:
            headers[CALLER_ZONE_HEADER] = self._own_zone
            if call.isolated:
                headers[ALONE_HEADER] = "1"
        refusal = None
        if to_entry:
            refusal = _entry_refusal_header
            if call.head.request_class.idempotent:
                refusal = _entry_error_header
        exchange = await client.exchange(
            address=address,
            stream=stream,
            start_line=httputil.RequestStartLine(
                call.head.method, path, "HTTP/1.1"
            ),
            headers=headers,
            body=call.body,
            sink=call.response,
            pace=pace,
            refusal=refusal,
            wait_for_continue=to_entry,
            after_write=_deadline_check(call, may_write),
        )
        if _did_not_run(exchange):
            call.progress.record_not_run()
        return exchange


def _deadline_check(
    call: Call, may_write: Callable[[], bool]
) -> Callable[[], bool]:
    """Returns the check to run after a request's head is written.

    A stall of the process between the check before the write and the write
    sends the request late. A check of the local clock cannot rule that out; a
    second check after the write closes the connection at once, which cancels
    the work.
    """

    def check() -> bool:
        return time.monotonic() < call.head.deadline_s and may_write()

    return check


def _entry_refusal_header(head: ResponseHead) -> str:
    """Returns another entry's error header if the request did not run."""
    value = head.headers.get(ANSWER_HEADER, "")
    answer = parse_entry_error(value=value)
    if answer is None or answer.ran is not Ran.NO:
        return ""
    return value


def _entry_error_header(head: ResponseHead) -> str:
    """Returns another entry's error header, whether or not the request ran.

    The other entry makes one attempt and leaves retries to this one. If its
    error were passed on as the response, a request that another upstream could
    serve would fail. Use for idempotent requests only.
    """
    value = head.headers.get(ANSWER_HEADER, "")
    if parse_entry_error(value=value) is None:
        return ""
    return value


def _did_not_run(exchange: Exchange) -> bool:
    if exchange.outcome in (ExchangeOutcome.NOT_SENT, ExchangeOutcome.TOO_LATE):
        return True
    if exchange.outcome is not ExchangeOutcome.REFUSED:
        return False
    answer = parse_entry_error(value=exchange.refusal)
    return answer is None or answer.ran is Ran.NO


def _upstream_error(exchange: Exchange, name: str) -> AlmondstairError | None:
    if exchange.outcome is ExchangeOutcome.COMPLETE:
        return None
    if exchange.outcome is ExchangeOutcome.NOT_SENT:
        return AlmondstairError(
            kind=ErrorKind.NO_UPSTREAM,
            detail=f"upstream {name} cannot be reached",
        )
    if exchange.outcome is ExchangeOutcome.TOO_LATE:
        return AlmondstairError(
            kind=ErrorKind.NO_UPSTREAM,
            detail=f"this entry may not send it to upstream {name} any more",
        )
    if exchange.outcome is ExchangeOutcome.REFUSED:
        return AlmondstairError(
            kind=ErrorKind.NO_SLOT,
            detail=f"upstream {name} refused: {exchange.refusal}",
        )
    if exchange.outcome is ExchangeOutcome.CANCELLED:
        return AlmondstairError(kind=ErrorKind.UPSTREAM_TIMEOUT)
    return AlmondstairError(kind=ErrorKind.UPSTREAM_LOST)


def _entry_error(exchange: Exchange, name: str) -> AlmondstairError | None:
    if exchange.outcome is ExchangeOutcome.COMPLETE:
        return None
    if exchange.outcome is ExchangeOutcome.NOT_SENT:
        return AlmondstairError(
            kind=ErrorKind.ENTRY_LOST,
            detail=f"entry {name} cannot be reached",
            ran=Ran.NO,
        )
    if exchange.outcome is ExchangeOutcome.TOO_LATE:
        return AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
    if exchange.outcome is ExchangeOutcome.REFUSED:
        answer = parse_entry_error(value=exchange.refusal)
        assert answer is not None
        return AlmondstairError(
            kind=answer.kind,
            ran=answer.ran,
            retry_after_ms=answer.retry_after_ms,
        )
    return AlmondstairError(kind=ErrorKind.ENTRY_LOST)


def timeout_error(progress: RequestProgress) -> AlmondstairError:
    """Returns the error for a deadline that passed."""
    if progress.may_have_run:
        return AlmondstairError(kind=ErrorKind.UPSTREAM_TIMEOUT)
    return AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
