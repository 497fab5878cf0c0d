"""HTTP/1.1 client connections to upstreams, peers and the store.

Responses are parsed with httptools. tornado's client is unsuitable: it assigns
the next response on a connection to the next request, but upstreams sometimes
send a late second response, which only the echoed request id reveals.
"""

import abc
import asyncio
from collections import deque
from collections.abc import Callable
import enum
from typing import NamedTuple

import httptools

from almondstair.body import BodyAbortedError
from almondstair.body import RequestBody
from almondstair.clock import now_s
from almondstair.core.overhead import OverheadBound
from almondstair.decoding import parse_decimal
from almondstair.gateway.http_encoding import LAST_CHUNK
from almondstair.gateway.http_encoding import Headers
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.http_encoding import encode_chunk
from almondstair.gateway.http_encoding import find_header
from almondstair.gateway.http_encoding import has_no_body
from almondstair.gateway.memory_guard import SMALL_RESPONSE_BYTES
from almondstair.gateway.memory_guard import BoundedReads
from almondstair.gateway.memory_guard import ExchangeMemory
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.memory_guard import PausableReader

# Responses up to this size are buffered until they are complete, so that the
# request can be retried if one is truncated or invalid; longer ones stream.
MAX_BUFFERED_BYTES = 256 * 1024
# A longer head is treated as an invalid response.
MAX_HEAD_BYTES = 64 * 1024
# Bytes that an exchange may bring outside of its body: heads and trailers with
# their separators, framing, other responses' heads.
MAX_OVERHEAD_BYTES = 2 * MAX_HEAD_BYTES
# Bodies of responses to other requests that an exchange may bring before its
# own; they are dropped.
MAX_FOREIGN_BYTES = 4 * 1024 * 1024
# Bytes that are parsed before the bounds are checked.
_PARSED_PIECE_BYTES = 64 * 1024
# Smaller pieces of a body are passed on together.
_MIN_SINK_BYTES = 16 * 1024
# Piece of a buffered body that is not written at once.
_PIECE_BYTES = 16 * 1024
# How often a full write buffer is checked while a long body is sent.
WRITE_POLL_S = 0.005
# Idle limit for reuse of a connection if the other side announces none. Shorter
# than the usual 5 s of HTTP servers.
DEFAULT_IDLE_LIMIT_S = 4.0
# Share of an announced idle timeout that is used: the other side's timer starts
# earlier, and a request that arrives during its close is lost.
IDLE_USED_SHARE = 0.6


class ExchangeEnd(enum.Enum):
    """How an exchange ended.

    Attributes:
      COMPLETE: the response is complete.
      NOT_SENT: no byte of the request was written.
      LOST: the connection ended before a response began.
      TRUNCATED: the response is incomplete or not valid HTTP.
      ENDLESS: too many bytes came that are no response.
      CALLER_DISCONNECTED: the caller disconnected while it sent the body.
    """

    COMPLETE = "whole"
    NOT_SENT = "not_sent"
    LOST = "lost"
    TRUNCATED = "cut"
    ENDLESS = "without end"
    CALLER_DISCONNECTED = "caller_gone"


class UpstreamExchange(NamedTuple):
    """Result of one request.

    Attributes:
      end: how it ended.
      head: head of the response, if there was one.
      body: body of the response, empty if it was streamed.
      streamed: whether the body went to the sink.
    """

    end: ExchangeEnd
    head: ResponseHead | None = None
    body: bytes = b""
    streamed: bool = False


class UpstreamResponseSink(abc.ABC):
    """Receives a response that is too long to be buffered."""

    @abc.abstractmethod
    def begin(self, head: ResponseHead) -> None:
        """Starts the response with its head."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body; returns when more can be written."""


class UpstreamConnection(asyncio.Protocol, PausableReader):
    """Sends one request at a time and reads its response.

    Attributes:
      address: `ip:port` of the other side.
      usable: whether another request may be sent on it.
      on_progress: called whenever a part of a response arrives, if set.
    """

    def __init__(
        self,
        *,
        address: str,
        id_header: bytes = b"",
        memory_guard: MemoryGuard | None = None,
    ) -> None:
        """Creates the protocol of a connection to `address`.

        Args:
          address: `ip:port`.
          id_header: header in which the other side echoes the request id;
            empty if it does not.
          memory_guard: bounds what connections hold; None if nothing does.
        """
        self.address = address
        self._memory_guard = memory_guard
        self._memory: ExchangeMemory | None = None
        self._held_back = False
        self._sink_pauses = False
        self.usable = False
        self.on_progress: Callable[[], None] | None = None
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._idle_since_s = 0.0
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._ended: asyncio.Future[ExchangeEnd] | None = None
        self._request_id = b""
        self._without_body = False
        self._sink: UpstreamResponseSink | None = None
        self._on_head: Callable[[ResponseHead], None] | None = None
        self._body_task: asyncio.Task[None] | None = None
        self._sink_task: asyncio.Task[None] | None = None
        self._body_unfinished = False
        self._caller_disconnected = False
        self._exchange_count = 0
        self._max_body_bytes = MAX_BUFFERED_BYTES
        self._overhead = OverheadBound(limit_bytes=MAX_OVERHEAD_BYTES)
        self._foreign_bytes = 0
        self._reset_response()

    def _reset_response(self) -> None:
        self._headers: Headers = []
        self._head_bytes = 0
        self._head: ResponseHead | None = None
        self._matches_request = True
        self._in_message = False
        self._ends_at_close = False
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._streamed = False
        self._sink_queue: deque[bytes] = deque()

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Makes the connection usable."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._memory_guard is not None:
            transport.set_protocol(
                BoundedReads(protocol=self, guard=self._memory_guard)
            )
        self.usable = True
        self._idle_since_s = now_s()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes on bytes outside an exchange."""
        if self._ended is None or self._ended.done():
            self.close()
            return
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._fail()

    def _parse(self, data: bytes) -> None:
        """Parses received bytes, and ends an exchange that brings too many.

        The parser reports a header or a chunk only when it is complete, so that
        its callbacks do not bound what arrives.

        Raises:
          httptools.HttpParserError: they are not valid HTTP.
        """
        for start in range(0, len(data), _PARSED_PIECE_BYTES):
            if not self._in_exchange():
                # The rest belongs to no response.
                self.usable = False
                return
            piece = data[start : start + _PARSED_PIECE_BYTES]
            self._overhead.add_received(len(piece))
            self._parser.feed_data(piece)
            if self._is_endless() and self._in_exchange():
                self.close()
                self._finish(ExchangeEnd.ENDLESS)
                return

    def _is_endless(self) -> bool:
        if self._overhead.exceeded or self._foreign_bytes > MAX_FOREIGN_BYTES:
            return True
        return (
            self._sink is None and self._buffered_bytes > self._max_body_bytes
        )

    def eof_received(self) -> bool:
        """Ends a response that is framed by the end of the connection."""
        self.usable = False
        if self._ends_at_close and self._head is not None:
            self._finish(ExchangeEnd.COMPLETE)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in flight as lost or truncated."""
        self.usable = False
        if self._body_task is not None:
            self._body_task.cancel()
        self._fail()

    def _fail(self) -> None:
        self.close()
        if self._head is not None or self._in_message:
            self._finish(ExchangeEnd.TRUNCATED)
            return
        self._finish(ExchangeEnd.LOST)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._ended is None or self._ended.done():
            # A second response directly after the first one.
            self.usable = False
            return
        self._reset_response()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header, unless it belongs to a second response."""
        if not self._in_exchange():
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httptools.HttpParserError("head too long")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks whether the response is to this request and how it ends."""
        if not self._in_exchange():
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._matches_request = False
            return
        if not self._echoes_request_id():
            self._matches_request = False
            return
        self._matches_request = True
        self._head = ResponseHead(status=status, headers=self._headers)
        if self._on_head is not None:
            self._on_head(self._head)
        framed = (
            find_header(self._headers, b"content-length") is not None
            or find_header(self._headers, b"transfer-encoding") is not None
            or has_no_body(status)
        )
        self._ends_at_close = not framed
        self._read_idle_limit()
        if self._memory is not None and _is_long(self._headers):
            self._memory.guard.add_reader(self)
        if self._without_body:
            self.usable = False
            self._finish(ExchangeEnd.COMPLETE)

    def _echoes_request_id(self) -> bool:
        """Returns whether a response belongs to the current request.

        An upstream may send a late second response to an earlier request,
        which must not reach the caller of this one. A response without an id is
        accepted only if the connection has carried no other request.
        """
        if not self._id_header:
            return True
        echoed = find_header(self._headers, self._id_header)
        if echoed is None:
            return self._exchange_count <= 1
        return echoed == self._request_id

    def on_body(self, data: bytes) -> None:
        """Buffers a chunk of the body, or streams it."""
        self._overhead.add_body(len(data))
        if not self._in_exchange():
            return
        if not self._matches_request:
            self._foreign_bytes += len(data)
            return
        self._buffered_bytes += len(data)
        if self._memory is not None:
            self._memory.add_response(len(data))
            if self._buffered_bytes > SMALL_RESPONSE_BYTES:
                # Its length was not known.
                self._memory.guard.add_reader(self)
        if self._sink is None or not self._must_stream():
            self._buffered.append(data)
            return
        self._stream(data)

    def _must_stream(self) -> bool:
        if self._streamed:
            return True
        limit_bytes = MAX_BUFFERED_BYTES
        if self._memory is not None:
            limit_bytes = self._memory.limit_bytes(limit_bytes)
        return self._buffered_bytes > limit_bytes

    def on_message_complete(self) -> None:
        """Ends a response that is complete by its framing."""
        if not self._in_exchange():
            return
        self._in_message = False
        if not self._matches_request:
            self._headers = []
            self._head_bytes = 0
            self._head = None
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._finish(ExchangeEnd.COMPLETE)

    def _in_exchange(self) -> bool:
        return self._ended is not None and not self._ended.done()

    def _read_idle_limit(self) -> None:
        value = find_header(self._headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            timeout_s = parse_decimal(text)
            if name.lower() == b"timeout" and timeout_s is not None:
                self._idle_limit_s = timeout_s * IDLE_USED_SHARE

    # Streaming of long responses.

    def _stream(self, data: bytes) -> None:
        assert self._sink is not None
        assert self._head is not None
        assert self._transport is not None
        if not self._streamed:
            self._streamed = True
            self._sink.begin(self._head)
            self._sink_queue.extend(self._buffered)
            self._buffered.clear()
        self._sink_queue.append(data)
        if self._sink_task is None or self._sink_task.done():
            self._sink_pauses = True
            self._transport.pause_reading()
            self._sink_task = asyncio.ensure_future(self._drain_to_sink())

    async def _drain_to_sink(self) -> None:
        assert self._sink is not None
        while self._sink_queue:
            data = self._next_sink_bytes()
            if self._memory is not None:
                # From here on it counts as output for the caller.
                self._memory.add_response(-len(data))
            await self._sink.write(data)
        self._sink_pauses = False
        if self._held_back:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _next_sink_bytes(self) -> bytes:
        """Removes the next piece of the queue, and small ones together."""
        first = self._sink_queue.popleft()
        if len(first) >= _MIN_SINK_BYTES:
            return first
        pieces = [first]
        size_bytes = len(first)
        while self._sink_queue and size_bytes < _MIN_SINK_BYTES:
            pieces.append(self._sink_queue.popleft())
            size_bytes += len(pieces[-1])
        return b"".join(pieces)

    def stream_early(self) -> None:
        """Does nothing: the deadline of its request ends a response."""

    def hold_back(self, held_back: bool) -> None:
        """Stops or resumes reading because of what the entry holds."""
        if held_back is self._held_back:
            return
        self._held_back = held_back
        if self._transport is None or self._transport.is_closing():
            return
        if held_back:
            self._transport.pause_reading()
        elif not self._sink_pauses:
            self._transport.resume_reading()

    def _finish(self, end: ExchangeEnd) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(end)

    # Methods for the owner of the connection.

    def close(self) -> None:
        """Closes immediately; later bytes are dropped."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def abandon(self) -> None:
        """Closes, and ends the exchange in flight without its response."""
        self._fail()

    def is_idle_too_long(self, *, used_share: float = 1.0) -> bool:
        """Returns whether the other side may be about to close it.

        Args:
          used_share: share of the idle limit that may have passed.
        """
        idle_s = now_s() - self._idle_since_s
        return idle_s > self._idle_limit_s * used_share

    async def exchange(
        self,
        *,
        head: bytes,
        body: RequestBody | None = None,
        chunked: bool = False,
        request_id: bytes = b"",
        without_body: bool = False,
        sink: UpstreamResponseSink | None = None,
        max_body_bytes: int = MAX_BUFFERED_BYTES,
        on_head: Callable[[ResponseHead], None] | None = None,
        memory: ExchangeMemory | None = None,
    ) -> UpstreamExchange:
        """Sends one request and returns its result.

        Cancellation closes the connection, which makes the upstream drop the
        request.

        Args:
          head: the encoded head.
          body: the body, complete or still arriving.
          chunked: whether a body that is still arriving is sent in chunks.
          request_id: id that the response must echo, if it echoes one.
          without_body: whether the response has no body, whatever its headers.
          sink: receives a response that is too long to be buffered.
          max_body_bytes: longest body of a response without a sink.
          on_head: called with the head of the response as soon as it is read,
            also if its body breaks off later.
          memory: counts what is held of the exchange; None if nothing does.
        """
        if not self.usable or self._transport is None:
            return UpstreamExchange(end=ExchangeEnd.NOT_SENT)
        self._parser = httptools.HttpResponseParser(self)
        self._exchange_count += 1
        self._reset_response()
        self._request_id = request_id
        self._without_body = without_body
        self._sink = sink
        self._max_body_bytes = max_body_bytes
        self._overhead.restart(limit_bytes=MAX_OVERHEAD_BYTES)
        self._foreign_bytes = 0
        self._on_head = on_head
        self._memory = memory
        self._caller_disconnected = False
        self._ended = asyncio.get_running_loop().create_future()
        try:
            self._send(head, body, chunked)
            end = await self._ended
            if self._sink_task is not None and end is ExchangeEnd.COMPLETE:
                await self._sink_task
        except BaseException:
            self.close()
            self._buffered.clear()
            raise
        finally:
            self._cancel_body_task()
            self._cancel_sink_task()
            self._release_memory()
        if self._body_unfinished:
            # The connection cannot be reused: the body is incomplete.
            self.close()
        if not self.usable:
            self.close()
        self._idle_since_s = now_s()
        return self._result(end)

    def _release_memory(self) -> None:
        if self._memory is None:
            return
        self._memory.guard.remove_reader(self)
        self._memory.close()
        self._memory = None

    def _result(self, end: ExchangeEnd) -> UpstreamExchange:
        body = b""
        if end is ExchangeEnd.COMPLETE:
            body = b"".join(self._buffered)
        # The connection may be kept, or be collected much later.
        self._buffered.clear()
        if self._caller_disconnected:
            return UpstreamExchange(end=ExchangeEnd.CALLER_DISCONNECTED)
        return UpstreamExchange(
            end=end, head=self._head, body=body, streamed=self._streamed
        )

    def _send(
        self, head: bytes, body: RequestBody | None, chunked: bool
    ) -> None:
        assert self._transport is not None
        if body is None:
            self._transport.write(head)
            return
        if self._memory is not None:
            self._memory.watch_output(self._transport.get_write_buffer_size)
        if body.replayable and not self._must_send_in_pieces(body):
            self._transport.write(head + body.content())
            self._refresh_held()
            return
        self._transport.write(head)
        self._body_unfinished = True
        if body.replayable:
            sending = self._send_pieces(body.chunks())
        else:
            sending = self._send_body(body, chunked)
        self._body_task = asyncio.ensure_future(sending)

    def _must_send_in_pieces(self, body: RequestBody) -> bool:
        """Returns whether a body would be held twice if written at once."""
        if self._memory is None:
            return False
        return body.size_bytes > self._memory.limit_bytes(body.size_bytes)

    async def _send_pieces(self, chunks: tuple[bytes, ...]) -> None:
        assert self._transport is not None
        for chunk in chunks:
            for start in range(0, len(chunk), _PIECE_BYTES):
                self._transport.write(chunk[start : start + _PIECE_BYTES])
                await self._until_written()
        self._body_unfinished = False

    async def _until_written(self) -> None:
        """Waits until the other side has read enough of what was written."""
        assert self._transport is not None
        self._refresh_held()
        while self._transport.get_write_buffer_size() > self._write_limit():
            await asyncio.sleep(WRITE_POLL_S)
            self._refresh_held()

    def _write_limit(self) -> int:
        if self._memory is None:
            return MAX_BUFFERED_BYTES
        return self._memory.limit_bytes(MAX_BUFFERED_BYTES)

    def _refresh_held(self) -> None:
        if self._memory is not None:
            self._memory.refresh_held()

    async def _send_body(self, body: RequestBody, chunked: bool) -> None:
        assert self._transport is not None
        try:
            while data := await body.read():
                self._transport.write(encode_chunk(data) if chunked else data)
                await self._until_written()
            if chunked:
                self._transport.write(LAST_CHUNK)
            self._body_unfinished = False
        except BodyAbortedError:
            self._caller_disconnected = True
            self.close()

    def _cancel_body_task(self) -> None:
        if self._body_task is not None and not self._body_task.done():
            self._body_task.cancel()
        self._body_task = None

    def _cancel_sink_task(self) -> None:
        """Ends the writing of a response that is not complete.

        It would go on with the bytes of this exchange when the turn of its
        request comes, between those of another attempt or of an error.
        """
        if self._sink_task is not None and not self._sink_task.done():
            self._sink_task.cancel()
        self._sink_task = None


def _is_long(headers: Headers) -> bool:
    """Returns whether a response states a length above the small ones."""
    value = find_header(headers, b"content-length")
    length = None if value is None else parse_decimal(value)
    return length is not None and length > SMALL_RESPONSE_BYTES
