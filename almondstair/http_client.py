"""HTTP/1.1 client for upstreams and other entries, with a connection pool.

Built on tornado's `HTTP1Connection` rather than on tornado's clients: it
reports which bytes of a request were written, never resends a request, and
streams in both directions with back-pressure.
"""

import abc
import asyncio
from collections.abc import Awaitable, Callable
import enum
import socket
import time
from typing import NamedTuple

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from almondstair.body import BodyAbortedError
from almondstair.body import RequestBody
from almondstair.http_messages import REFUSED_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.http_messages import response_is_framed

MAX_IDLE_S = 4.0
MAX_FRESH_IDLE_S = 0.5
MAX_IDLE_PER_ADDRESS = 16
CHUNK_BYTES = 64 * 1024
MAX_BUFFER_BYTES = 1 << 20
MAX_BODY_BYTES = 1 << 50
# Bounds the bytes that the kernel buffers before they count against the link's
# share, so that pacing the reader also paces the link. The kernel doubles it.
# A connection transfers at most one buffer per round trip, so distant regions
# use larger ones.
RECEIVE_BUFFER_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024
STATUS_CONTINUE = 100
# Estimated size of start line and headers, counted against a link's share
# together with a buffered body.
HEAD_ESTIMATE_BYTES = 512
_NO_LENGTH_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))

_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES
)

# Given a size in bytes, waits and returns how many of them may be sent now.
Pace = Callable[[int], Awaitable[int]]


class ExchangeOutcome(enum.Enum):
    """How an exchange ended.

    Attributes:
      COMPLETE: the response is complete.
      NOT_SENT: nothing was written, because there was no connection.
      TOO_LATE: nothing was written, because the time or the slot ran out.
      REFUSED: the response is a refusal and was not passed on: an upstream's,
        without running the request, or an error of another entry.
      CONNECTION_LOST: the connection was lost before the head of a response.
      TRUNCATED: the response was truncated, or its framing cannot show whether
        it was.
      SENDER_DISCONNECTED: the sender of the request's body disconnected.
      CANCELLED: the request was written too late and cancelled at once.
    """

    COMPLETE = "whole"
    NOT_SENT = "not_sent"
    TOO_LATE = "too_late"
    REFUSED = "refused"
    CONNECTION_LOST = "lost"
    TRUNCATED = "cut"
    SENDER_DISCONNECTED = "caller_gone"
    CANCELLED = "withdrawn"


class Exchange(NamedTuple):
    """Holds the result of one exchange.

    Attributes:
      outcome: how the exchange ended.
      head: head of the response, None if none was received.
      refusal: value of the peer's refusal header, or empty.
      response_bytes: bytes of the response's body that were passed on.
      request_bytes: bytes of the request's body that were written.
    """

    outcome: ExchangeOutcome
    head: ResponseHead | None = None
    refusal: str = ""
    response_bytes: int = 0
    request_bytes: int = 0


class ResponseSink(abc.ABC):
    """Receives the response of an exchange."""

    @abc.abstractmethod
    def receive_head(self, head: ResponseHead) -> None:
        """Receives the head of a final response."""

    @abc.abstractmethod
    def receive_data(self, chunk: bytes) -> Awaitable[None]:
        """Receives a chunk of the body; awaited before more is read."""


async def unlimited_pace(size_bytes: int) -> int:
    """Returns at once, without a limit."""
    return size_bytes


async def pace_all(pace: Pace, size_bytes: int) -> None:
    """Waits until all of `size_bytes` may be sent."""
    while size_bytes > 0:
        size_bytes -= await pace(size_bytes)


class _ResponseDelegate(httputil.HTTPMessageDelegate):
    """Receives one response from tornado's parser."""

    def __init__(self, *, method: str, sink: ResponseSink) -> None:
        self.method = method
        self.sink = sink
        self.response: ResponseHead | None = None
        self.refusal = ""
        self.complete = False
        self.framed = True
        self.response_bytes = 0
        self.continue_received = asyncio.Event()
        self.on_complete: Callable[[], None] = lambda: None
        self.find_refusal: Callable[[ResponseHead], str] = _upstream_refusal

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code == STATUS_CONTINUE:
            self.continue_received.set()
            return
        if start_line.code < 200:
            return
        head = ResponseHead(start_line.code, start_line.reason, headers)
        self.response = head
        self.refusal = self.find_refusal(head)
        # Without a length the body ends when the connection closes, which
        # cannot be distinguished from a crash: it is never complete.
        self.framed = response_is_framed(method=self.method, head=head)
        if self.refusal or not self.framed:
            return
        self.sink.receive_head(head)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.refusal or not self.framed:
            return None
        self.response_bytes += len(chunk)
        return self.sink.receive_data(chunk)

    def finish(self) -> None:
        self.complete = True
        self.on_complete()

    def on_connection_close(self) -> None:
        self.continue_received.set()


def _upstream_refusal(head: ResponseHead) -> str:
    if head.status != 503:
        return ""
    return head.headers.get(REFUSED_HEADER, "")


class HttpClient:
    """Sends requests to `ip:port` addresses, each exactly once."""

    def __init__(
        self, *, connect_timeout_s: float, receive_buffer_bytes: int = 0
    ) -> None:
        """Creates a client without connections.

        Args:
          connect_timeout_s: timeout of a new connection, in seconds.
          receive_buffer_bytes: kernel receive buffer per connection; 0 for the
            system's default.
        """
        self._connect_timeout_s = connect_timeout_s
        self._receive_buffer_bytes = receive_buffer_bytes
        self._idle: dict[str, list[tuple[iostream.IOStream, float]]] = {}
        self.connections_made = 0

    def close(self) -> None:
        """Closes every idle connection."""
        for streams in self._idle.values():
            for stream, _ in streams:
                stream.close()
        self._idle.clear()

    def _pop_idle(
        self, address: str, max_idle_s: float
    ) -> iostream.IOStream | None:
        streams = self._idle.get(address, [])
        now_s = time.monotonic()
        while streams:
            stream, idle_since_s = streams.pop()
            if stream.closed():
                continue
            if now_s - idle_since_s > max_idle_s:
                stream.close()
                continue
            return stream
        return None

    async def _connect(
        self, address: str, receive_buffer_bytes: int
    ) -> iostream.IOStream:
        ip, _, port = address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer_bytes:
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        stream = iostream.IOStream(
            raw,
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await stream.connect((ip, int(port)))
        except BaseException:
            stream.close()
            raise
        stream.set_nodelay(True)
        self.connections_made += 1
        return stream

    async def connect(
        self, address: str, *, fresh: bool, receive_buffer_bytes: int = 0
    ) -> iostream.IOStream:
        """Returns a connection to `address`, pooled or new.

        The peer may just have closed a pooled connection. A request written to
        it is lost without having run, which this side cannot detect. Requests
        that are not idempotent therefore need a `fresh` connection: a new one,
        or one used a moment ago.

        Args:
          address: `ip:port`.
          fresh: whether to skip connections idle for over `MAX_FRESH_IDLE_S`.
          receive_buffer_bytes: kernel receive buffer of a new connection; 0
            for the client's default.

        Raises:
          OSError: the connection failed.
          TimeoutError: the connection was not made in time.
        """
        max_idle_s = MAX_FRESH_IDLE_S if fresh else MAX_IDLE_S
        stream = self._pop_idle(address, max_idle_s)
        if stream is not None:
            return stream
        try:
            return await self._connect(
                address, receive_buffer_bytes or self._receive_buffer_bytes
            )
        except iostream.StreamClosedError as error:
            raise OSError(f"{address} refused the connection") from error

    def _return_to_pool(self, address: str, stream: iostream.IOStream) -> None:
        streams = self._idle.setdefault(address, [])
        if len(streams) >= MAX_IDLE_PER_ADDRESS:
            stream.close()
            return
        # Setting a callback makes tornado read, and so notice a close.
        stream.set_close_callback(lambda: None)
        streams.append((stream, time.monotonic()))

    async def exchange(
        self,
        *,
        address: str,
        stream: iostream.IOStream,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: RequestBody,
        sink: ResponseSink,
        pace: Pace = unlimited_pace,
        refusal: Callable[[ResponseHead], str] | None = None,
        wait_for_continue: bool = False,
        after_write: Callable[[], bool] = lambda: True,
    ) -> Exchange:
        """Sends one request and passes its response on.

        Closes the connection when the coroutine is cancelled.

        Args:
          address: peer of `stream`; the key of the connection in the pool.
          stream: an open connection; this call takes ownership.
          start_line: method and path.
          headers: end-to-end headers.
          body: the request's body.
          sink: receives the response, unless it is a refusal.
          pace: awaited with a size in bytes before body bytes are written.
          refusal: returns the refusal in a response head, or empty; None for
            the refusal header of upstreams.
          wait_for_continue: whether to send a streaming body only after a
            `100 Continue`.
          after_write: called after the head is written; if it returns False,
            the request is cancelled at once.

        Returns:
          How the exchange ended.
        """
        exchange = _ConnectionExchange(
            stream=stream, method=start_line.method, sink=sink, body=body
        )
        if refusal is not None:
            exchange.delegate.find_refusal = refusal
        try:
            result = await exchange.run(
                start_line=start_line,
                headers=headers,
                pace=pace,
                wait_for_continue=wait_for_continue,
                after_write=after_write,
            )
        except BaseException:
            exchange.close()
            raise
        if exchange.reusable:
            self._return_to_pool(address, stream)
        else:
            exchange.close()
        return result


class _ConnectionExchange:
    """Runs one exchange on one connection."""

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        method: str,
        sink: ResponseSink,
        body: RequestBody,
    ) -> None:
        self.stream = stream
        self.body = body
        self.delegate = _ResponseDelegate(method=method, sink=sink)
        self.delegate.on_complete = self._on_response_complete
        self.connection = http1connection.HTTP1Connection(
            stream,
            True,
            _PARAMETERS,
        )
        self.request_bytes = 0
        self.request_written = False
        self.sender_disconnected = False
        self.reusable = False
        self._body_writer: asyncio.Task[None] | None = None

    def close(self) -> None:
        if self._body_writer is not None:
            self._body_writer.cancel()
        self.connection.close()

    def _on_response_complete(self) -> None:
        # The response ended before the request: the peer ignores the rest.
        if not self.request_written:
            self.close()

    async def run(
        self,
        *,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        pace: Pace,
        wait_for_continue: bool,
        after_write: Callable[[], bool],
    ) -> Exchange:
        complete_body = None
        if self.body.replayable:
            complete_body = self.body.content()
            headers["Content-Length"] = str(len(complete_body))
            await pace_all(pace, len(complete_body) + HEAD_ESTIMATE_BYTES)
            if not complete_body and start_line.method in _NO_LENGTH_METHODS:
                del headers["Content-Length"]
        elif wait_for_continue:
            headers["Expect"] = "100-continue"
        if self.stream.closed():
            # Closed while the body waited for the pacer: nothing was written.
            return Exchange(outcome=ExchangeOutcome.NOT_SENT)
        write = self.connection.write_headers(
            start_line, headers, complete_body
        )
        write.add_done_callback(_mark_exception_retrieved)
        if not after_write():
            self.close()
            return Exchange(outcome=ExchangeOutcome.CANCELLED)
        if complete_body is not None:
            self.request_bytes = len(complete_body)
            self.request_written = True
            self.connection.finish()
        else:
            self._body_writer = asyncio.ensure_future(
                self._write_body(pace, wait_for_continue)
            )
        return await self._read(headers)

    async def _write_body(self, pace: Pace, wait_for_continue: bool) -> None:
        try:
            if wait_for_continue:
                await self.delegate.continue_received.wait()
            while chunk := await self.body.read():
                await self._write_paced(pace, chunk)
            self.request_written = True
            self.connection.finish()
        except BodyAbortedError:
            self.sender_disconnected = True
            self.connection.close()
        except (iostream.StreamClosedError, httputil.HTTPOutputError):
            self.connection.close()

    async def _write_paced(self, pace: Pace, chunk: bytes) -> None:
        while chunk:
            size_bytes = await pace(len(chunk))
            part = chunk
            if size_bytes < len(chunk):
                part = chunk[:size_bytes]
            await self.connection.write(part)
            self.request_bytes += size_bytes
            chunk = chunk[size_bytes:]

    async def _read(self, headers: httputil.HTTPHeaders) -> Exchange:
        stays_open = False
        try:
            stays_open = await self.connection.read_response(self.delegate)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            stays_open = False
        if self._body_writer is not None and not self._body_writer.done():
            self._body_writer.cancel()
        self.reusable = self._may_be_reused(stays_open)
        return Exchange(
            outcome=self._outcome(),
            head=self.delegate.response,
            refusal=self.delegate.refusal,
            response_bytes=self.delegate.response_bytes,
            request_bytes=self.request_bytes,
        )

    def _may_be_reused(self, stays_open: bool) -> bool:
        if not stays_open or self.stream.closed():
            return False
        if not self.delegate.complete or not self.request_written:
            return False
        assert self.delegate.response is not None
        connection = self.delegate.response.headers.get("Connection", "")
        return connection.lower() != "close"

    def _outcome(self) -> ExchangeOutcome:
        if self.delegate.refusal:
            return ExchangeOutcome.REFUSED
        if self.sender_disconnected:
            return ExchangeOutcome.SENDER_DISCONNECTED
        if self.delegate.response is None:
            return ExchangeOutcome.CONNECTION_LOST
        if not self.delegate.framed:
            return ExchangeOutcome.TRUNCATED
        if not self.delegate.complete:
            return ExchangeOutcome.TRUNCATED
        return ExchangeOutcome.COMPLETE


def _mark_exception_retrieved(future: "asyncio.Future[None]") -> None:
    # The reader of the response also sees a failed write. Without this, asyncio
    # logs "exception was never retrieved" for each lost peer.
    if not future.cancelled():
        future.exception()
