"""HTTP/1.1 connections of callers, with pipelined requests.

Requests are parsed with httptools. tornado's server is unsuitable: it reads the
next request only after it has answered the previous one, so the lookups that
callers pipeline would wait for each other, and it does not notice that a caller
disconnects while another request is unread behind the running one.
"""

import abc
import asyncio
from collections import deque
from collections.abc import Callable
import enum
import fcntl
import termios

import httptools

from almondstair.clock import now_s
from almondstair.core.held_bytes import is_large
from almondstair.core.overhead import OverheadBound
from almondstair.core.routing import CallerLimits
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.caller_request import MAX_BUFFERED_BODY_BYTES
from almondstair.gateway.caller_request import CallerRequest
from almondstair.gateway.caller_request import ResponseProgress
from almondstair.gateway.caller_request import ResponseWait
from almondstair.gateway.caller_request import ResponseWriter
from almondstair.gateway.caller_request import WriteWait
from almondstair.gateway.memory_guard import BoundedReads
from almondstair.gateway.memory_guard import CallerMemory
from almondstair.gateway.memory_guard import HoldingCaller
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.memory_guard import PausableReader

# Reading pauses while this many requests of a connection are in flight.
MAX_PIPELINED_REQUESTS = 16
# Response bytes buffered for a slow caller before writing pauses.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# How long a rejected body is read and discarded: closing with unread bytes
# would reset the connection before the caller has read the error response.
DISCARD_TIMEOUT_S = 2.0
# Shorter waits of ready responses behind earlier ones are not recorded: they
# are insignificant beside the usual response time of 0.1 s and more.
MIN_REPORTED_WAIT_S = 0.05
# Bytes of a head beside its names, values and target: separators, and blanks
# that some callers add.
HEAD_SEPARATOR_BYTES = 4096
# Bytes that a request may bring outside of its body once its head is complete.
MAX_FRAMING_BYTES = 128 * 1024
# Bytes that are parsed before the bounds are checked.
_PARSED_PIECE_BYTES = 64 * 1024
# Why this entry closed a connection, for logs.
RESPONSE_CUT = "a response on the connection broke off"
# Added to the announced idle timeout, for a request already on its way.
IDLE_TIMEOUT_MARGIN_S = 1.0


class _ReadPause(enum.Enum):
    """Why reading from a caller pauses.

    Attributes:
      BODY: the buffer of the request body is full.
      PIPELINE: `MAX_PIPELINED_REQUESTS` are in flight.
    """

    BODY = "body"
    PIPELINE = "pipeline"


class RequestHandler(abc.ABC):
    """Handles the requests of caller connections."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Returns the limits on callers' requests."""

    @abc.abstractmethod
    async def handle(self, request: CallerRequest) -> None:
        """Responds to a request whose body may still be arriving."""

    @abc.abstractmethod
    def is_cancellable(self, request: CallerRequest) -> bool:
        """Returns whether to cancel a request whose caller disconnected."""

    @abc.abstractmethod
    def record_wait(self, wait: ResponseWait) -> None:
        """Records a ready response that waited for the preceding one."""

    @abc.abstractmethod
    def refusal(self, request: CallerRequest) -> AlmondstairError | None:
        """Returns why to refuse a request before its body is read, if so."""

    @abc.abstractmethod
    def record_closed(self, request: CallerRequest) -> None:
        """Records a request whose connection this entry closed."""


class CallerConnection(
    asyncio.Protocol, ResponseWriter, HoldingCaller, PausableReader
):
    """Reads requests and writes their responses in order.

    Attributes:
      draining: whether the connection is closed after its next response.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        connections: "set[CallerConnection]",
        memory_guard: MemoryGuard | None = None,
    ) -> None:
        """Creates the protocol of one connection.

        Args:
          handler: responds to the requests.
          connections: set that contains the connection while it is open.
          memory_guard: bounds what connections hold; None if nothing does.
        """
        self._handler = handler
        self._memory_guard = memory_guard
        self._memory: CallerMemory | None = None
        self._write_limit_bytes = WRITE_HIGH_WATER_BYTES
        self._held_back = False
        self._connections = connections
        self._limits = handler.limits()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: deque[CallerRequest] = deque()
        self._current: CallerRequest | None = None
        self._last_answered: CallerRequest | None = None
        self._url = b""
        self._head_bytes = 0
        self._overhead = OverheadBound(limit_bytes=self._head_limit_bytes())
        self._discarded_bytes = 0
        self._reading_ended = False
        self._read_pauses: set[_ReadPause] = set()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._lost = False
        # Whether a response broke off after a part of it was written.
        self._truncated = False
        self._write_paused = False
        self._writers: list[asyncio.Future[None]] = []
        self._last_active_s = now_s()
        self._discarding = False
        self.draining = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or is in flight."""
        return not self._pending and self._current is None

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._connections.add(self)
        if self._memory_guard is not None:
            self._memory = self._memory_guard.open_caller(self)
            transport.set_protocol(
                BoundedReads(protocol=self, guard=self._memory_guard)
            )
        self._check_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests that need not run to completion."""
        self._connections.discard(self)
        for timer in (self._idle_timer, self._head_timer):
            if timer is not None:
                timer.cancel()
        self._lost = True
        self._wake_writers()
        if self._current is not None:
            self._current.body.abort()
        if not self._truncated:
            self._disconnect_pending()
        self._release_memory()

    def _disconnect_pending(self) -> None:
        for request in self._pending:
            self._report_wait(request, behind=self._pending[0], delivered=False)
            self._on_disconnect(request)

    def _release_memory(self) -> None:
        """Ends the counts; a request that runs on holds its body until then."""
        if self._memory is None:
            return
        self._memory.close()
        self._drop_output()
        for request in self._pending:
            if request.task is None:
                request.body.discard()
                continue
            request.task.add_done_callback(_discarding(request))

    def _drop_output(self) -> None:
        """Drops output that can no longer be sent."""
        for request in self._pending:
            request.output.clear()

    def _on_disconnect(self, request: CallerRequest) -> None:
        request.caller_disconnected = True
        if not request.fully_read:
            request.body.abort()
        if request.task is None or request.task.done():
            return
        if request.state is ResponseProgress.ENDED:
            return
        if self._handler.is_cancellable(request):
            request.task.cancel()

    def eof_received(self) -> bool:
        """Returns False, on which asyncio closes the transport."""
        return False

    def pause_writing(self) -> None:
        """Blocks writers: the write buffer is above its high-water mark."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Unblocks writers: the write buffer has drained."""
        self._write_paused = False
        self._wake_writers()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._reading_ended:
            self._discard(data)
            return
        self._last_active_s = now_s()
        if self._memory is not None:
            self._memory.record_active()
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade:
            self._reject_malformed("no protocol but HTTP/1.1 is spoken")
        except httptools.HttpParserError as error:
            if not self._reading_ended:
                self._reject_malformed(str(error))

    def _discard(self, data: bytes) -> None:
        """Drops what follows a rejected request, as much as a body may be.

        The connection is closed a little later; until then the caller can read
        its response.
        """
        self._discarded_bytes += len(data)
        if self._transport is None or self._transport.is_closing():
            return
        if self._discarded_bytes > self._limits.body_bytes + MAX_FRAMING_BYTES:
            self._transport.pause_reading()

    def _head_limit_bytes(self) -> int:
        return self._limits.header_bytes + HEAD_SEPARATOR_BYTES

    def _parse(self, data: bytes) -> None:
        """Parses received bytes, and ends a request that brings too many.

        The parser reports a header or a chunk only when it is complete, so that
        its callbacks do not bound what arrives.

        Raises:
          httptools.HttpParserError: they are not valid HTTP.
        """
        for start in range(0, len(data), _PARSED_PIECE_BYTES):
            piece = data[start : start + _PARSED_PIECE_BYTES]
            if self._reading_ended:
                self._discard(piece)
                continue
            self._overhead.add_received(len(piece))
            self._parser.feed_data(piece)
            if self._overhead.exceeded and not self._reading_ended:
                self._reject_endless()

    def _reject_endless(self) -> None:
        """Ends a request of which too much comes that is no body."""
        request = self._current
        if request is None:
            # Blank lines between two requests.
            self._reading_ended = True
            self._discard_then_close()
            return
        kind = ErrorKind.BAD_REQUEST
        if request not in self._pending:
            self._pending.append(request)
            kind = ErrorKind.HEAD_TOO_LARGE
        self._stop_reading(request)
        request.body.abort()
        self._discard_then_close()
        request.respond_with_problem(
            AlmondstairError(
                kind=kind, detail="too many bytes outside of the body"
            )
        )

    def _reject_malformed(self, detail: str) -> None:
        """Responds 400 and closes the connection.

        The bytes after a malformed head would otherwise be parsed as a
        request that no caller sent.
        """
        request = self._current
        if request is None or request.task is not None:
            request = CallerRequest(connection=self, memory=self._memory)
        if request not in self._pending:
            self._pending.append(request)
        self._stop_reading(request)
        request.body.abort()
        request.respond_with_problem(
            AlmondstairError(kind=ErrorKind.BAD_REQUEST, detail=detail)
        )

    def _stop_reading(self, request: CallerRequest) -> None:
        self._reading_ended = True
        self._current = None
        request.close_after = True
        if self._memory_guard is not None:
            self._memory_guard.remove_reader(self)

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Starts a request and the timeout of its head."""
        if self._reading_ended:
            return
        self._current = CallerRequest(connection=self, memory=self._memory)
        self._url = b""
        self._head_bytes = 0
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(
            self._limits.header_timeout_s, self._close_on_head_timeout
        )

    def _close_on_head_timeout(self) -> None:
        """Closes a connection whose request head is incomplete.

        Otherwise callers that stop in the middle of a head would hold
        connections open until the process runs out of file descriptors.
        """
        self._reading_ended = True
        self._current = None
        if not self._pending:
            self._close_now()

    def on_url(self, url: bytes) -> None:
        """Appends a chunk of the request target."""
        self._url += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header to the current request."""
        if self._current is None:
            return
        self._current.headers.append((name.lower(), value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def _count_head_bytes(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._current is None or self._reading_ended:
            return
        if self._head_bytes <= self._limits.header_bytes:
            return
        request = self._current
        self._pending.append(request)
        self._stop_reading(request)
        request.respond_with_problem(
            AlmondstairError(kind=ErrorKind.HEAD_TOO_LARGE)
        )

    def on_headers_complete(self) -> None:
        """Validates the head and queues the request."""
        if self._head_timer is not None:
            self._head_timer.cancel()
        self._overhead.restart(limit_bytes=MAX_FRAMING_BYTES)
        request = self._current
        if request is None:
            return
        request.method = self._parser.get_method().decode("latin-1")
        request.target = self._url.decode("latin-1")
        request.arrived_s = now_s()
        request.close_after = not self._parser.should_keep_alive()
        self._pending.append(request)
        try:
            request.body_length = _body_length(request)
            _check_target(request, self._limits)
            self._check_memory(request)
        except AlmondstairError as error:
            self._stop_reading(request)
            if error.kind is not ErrorKind.ENTRY_MEMORY_FULL:
                # After that refusal the time begins with its response, so that
                # requests before it on the connection are answered.
                self._discard_then_close()
            request.respond_with_problem(error)
            return
        if (request.header(b"expect") or b"").lower() == b"100-continue":
            self._send_continue(request)

    def _check_memory(self, request: CallerRequest) -> None:
        """Refuses a large body, or registers it to be paused when needed."""
        if self._memory_guard is None:
            return
        error = self._handler.refusal(request)
        if error is not None:
            raise error
        if is_large(request.body_length):
            self._memory_guard.add_reader(self)

    def _send_continue(self, request: CallerRequest) -> None:
        if request is self._pending[0] and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Adds a chunk of the body; starts a request that streams its body."""
        self._overhead.add_body(len(data))
        request = self._current
        if request is None:
            return
        if request.body.size_bytes + len(data) > self._limits.body_bytes:
            self._stop_reading(request)
            request.body.abort()
            self._discard_then_close()
            request.respond_with_problem(
                AlmondstairError(kind=ErrorKind.BODY_TOO_LARGE)
            )
            return
        if self._memory is not None:
            request.body.lower_limit(
                self._memory.limit_bytes(MAX_BUFFERED_BODY_BYTES)
            )
        wait = request.body.put(data)
        if request.task is None and request.body.exceeds_buffer():
            request.body.streaming = True
            self._start(request)
        if wait is not None and request.body.streaming:
            self._pause(_ReadPause.BODY)
            wait.add_done_callback(lambda _: self._resume(_ReadPause.BODY))

    def on_message_complete(self) -> None:
        """Starts a request whose body was buffered until it was complete."""
        self._overhead.restart(limit_bytes=self._head_limit_bytes())
        request = self._current
        self._current = None
        if self._memory_guard is not None:
            self._memory_guard.remove_reader(self)
        if request is None:
            return
        request.fully_read = True
        request.body.end()
        if request.task is None and not request.response_begun:
            self._start(request)
        if request.close_after:
            self._reading_ended = True
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._pause(_ReadPause.PIPELINE)

    def _start(self, request: CallerRequest) -> None:
        request.task = asyncio.ensure_future(self._handler.handle(request))

    def _pause(self, cause: _ReadPause) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._read_pauses.add(cause)
        self._transport.pause_reading()

    def _resume(self, cause: _ReadPause) -> None:
        """Ends one cause of a pause; reading resumes with the last one."""
        if self._transport is None or self._transport.is_closing():
            return
        if cause not in self._read_pauses:
            return
        self._read_pauses.remove(cause)
        if not self._read_pauses and not self._held_back:
            self._transport.resume_reading()

    def hold_back(self, held_back: bool) -> None:
        """Stops or resumes reading because of what the entry holds."""
        if held_back is self._held_back:
            return
        self._held_back = held_back
        if self._transport is None or self._transport.is_closing():
            return
        if held_back:
            self._transport.pause_reading()
        elif not self._read_pauses:
            self._transport.resume_reading()

    def stream_early(self) -> None:
        """Starts a request whose caller goes on with the body."""
        request = self._current
        if request is None or request.task is not None:
            return
        if request.response_begun or not self._has_unread_input():
            return
        request.body.streaming = True
        self._start(request)

    # What the connection holds.

    def refresh_held(self) -> None:
        """Counts the output that the caller has not read."""
        if self._memory is None or self._transport is None:
            return
        unread_bytes = self._transport.get_write_buffer_size()
        waiting_bytes = 0
        for request in self._pending:
            waiting_bytes += sum(map(len, request.output))
        self._memory.set_output(unread_bytes + waiting_bytes)
        # Output that waits for an earlier response cannot be read yet.
        self._memory.set_stalled(unread_bytes > 0 or self._waits_for_body())

    def _waits_for_body(self) -> bool:
        """Returns whether the caller has stopped in the middle of a body."""
        if self._current is None:
            return False
        if self._read_pauses or self._held_back:
            return not self._has_unread_input()
        return True

    def _has_unread_input(self) -> bool:
        """Returns whether the caller has sent what was not read yet."""
        assert self._transport is not None
        found = self._transport.get_extra_info("socket")
        if found is None:
            return False
        size = fcntl.ioctl(found.fileno(), termios.FIONREAD, bytes(4))
        return any(size)

    def close_for_memory(self, cause: str) -> None:
        """Closes the connection of a caller that neither reads nor sends."""
        if self._transport is None:
            return
        unread = self._transport.get_write_buffer_size() > 0
        # Otherwise the output is that of the next response.
        unread = unread and not self._is_responding()
        if unread and self._last_answered is not None:
            self._last_answered.closed_by_entry = cause
            self._handler.record_closed(self._last_answered)
        for request in self._pending:
            request.closed_by_entry = cause
            if request.task is None or request.task.done():
                self._handler.record_closed(request)
        self.abort()

    def _is_responding(self) -> bool:
        """Returns whether a response has begun and is not complete."""
        return bool(self._pending) and self._pending[0].response_begun

    # Responses.

    async def wait_writable(self, request: CallerRequest) -> None:
        """Waits until more of a response can be written."""
        loop = asyncio.get_running_loop()
        while True:
            request.write_wait = self._write_wait(request)
            if request.write_wait is WriteWait.NOTHING:
                return
            # Each writer checks its own condition when any of them changes.
            writer = loop.create_future()
            self._writers.append(writer)
            await writer

    def _write_wait(self, request: CallerRequest) -> WriteWait:
        """Returns what the response to a request has to wait for."""
        if self._lost or self._truncated or request.caller_disconnected:
            return WriteWait.NOTHING
        if self._pending and self._pending[0] is not request:
            return WriteWait.TURN
        return WriteWait.BUFFER if self._write_paused else WriteWait.NOTHING

    def _wake_writers(self) -> None:
        writers = self._writers
        self._writers = []
        for writer in writers:
            if not writer.done():
                writer.set_result(None)

    def unsent_bytes(self) -> int:
        """Returns the bytes of responses that the caller has not read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def flush(self) -> None:
        """Writes ready responses in the order of their requests."""
        if self._memory is None:
            self._write_ready()
            return
        if not self._memory.connection.is_open:
            # Of a request that runs on after its caller has disconnected.
            self._drop_output()
            return
        self._apply_write_limit()
        self.refresh_held()
        self._write_ready()
        self.refresh_held()

    def _apply_write_limit(self) -> None:
        assert self._memory is not None
        limit_bytes = self._memory.limit_bytes(WRITE_HIGH_WATER_BYTES)
        if limit_bytes == self._write_limit_bytes or self._transport is None:
            return
        self._write_limit_bytes = limit_bytes
        self._transport.set_write_buffer_limits(high=limit_bytes)

    def _write_ready(self) -> None:
        if self._transport is None:
            return
        if self._truncated or self._transport.is_closing():
            self._drop_output()
            return
        while self._pending:
            request = self._pending[0]
            if request.output:
                data = b"".join(request.output)
                self._transport.write(data)
                request.written_bytes += len(data)
                request.output.clear()
            if request.state is not ResponseProgress.ENDED:
                return
            self._pending.popleft()
            if self._memory is not None:
                request.body.discard()
            self._report_wait(
                request, behind=self._last_answered, delivered=True
            )
            self._last_answered = request
            self._last_active_s = now_s()
            if request.close_after:
                self._close_gracefully(request)
                return
            if not request.fully_read:
                # The response precedes the end of the body: discard the rest.
                request.body.abort()
                self._reading_ended = True
                self._discard_then_close()
                return
            # Nobody reads what is left of its body.
            request.body.release_sender()
            self._wake_writers()
            self._resume(_ReadPause.PIPELINE)

    def _report_wait(
        self,
        request: CallerRequest,
        *,
        behind: CallerRequest | None,
        delivered: bool,
    ) -> None:
        """Reports a ready response that could not be sent immediately.

        Otherwise the log shows a response in time although the caller waited
        for another response on the same connection.
        """
        if behind is None or behind is request or not request.response_ready_s:
            return
        waited_s = now_s() - request.response_ready_s
        if waited_s < MIN_REPORTED_WAIT_S:
            return
        self._handler.record_wait(
            ResponseWait(
                request=request,
                behind=behind,
                waited_s=waited_s,
                delivered=delivered,
            )
        )

    def _close_gracefully(self, request: CallerRequest) -> None:
        assert self._transport is not None
        self._reading_ended = True
        if not request.fully_read or self._discarding:
            # Reading may be paused for a body that nobody reads any more.
            request.body.abort()
            self._discard_then_close()
            return
        self._transport.close()

    def _discard_then_close(self) -> None:
        if self._discarding:
            return
        self._discarding = True
        loop = asyncio.get_running_loop()
        loop.call_later(DISCARD_TIMEOUT_S, self._close_now)

    def _close_now(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def drain(self) -> None:
        """Closes the connection after its next response.

        A request that arrives during the close is not read; its caller sends
        it again.
        """
        self.draining = True

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in flight."""
        if self.idle and self._transport is not None:
            self._reading_ended = True
            self._transport.close()

    def abort(self) -> None:
        """Closes immediately; what the caller has not received is lost."""
        if self._transport is not None:
            self._transport.abort()

    def end_truncated(self) -> None:
        """Closes behind what is written, in the middle of a response.

        The responses before it still reach the caller, who may not have read
        them. The requests behind it get none: those that need not run to their
        end are cancelled at once.
        """
        if self._truncated or self._lost or self._transport is None:
            return
        self._truncated = True
        self._reading_ended = True
        for request in self._pending:
            request.closed_by_entry = request.closed_by_entry or RESPONSE_CUT
        self._disconnect_pending()
        self._drop_output()
        self._wake_writers()
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        # Unread bytes would reset the connection at its close.
        self._read_pauses.clear()
        if not self._held_back:
            self._transport.resume_reading()
        self._discard_then_close()
        loop = asyncio.get_running_loop()
        loop.call_later(self._limits.idle_timeout_s, self.abort)

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        self._limits = self._handler.limits()
        limit_s = self._limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        if self.idle and now_s() - self._last_active_s > limit_s:
            self.close_if_idle()
            return
        self._idle_timer = loop.call_later(limit_s / 4, self._check_idle)


def _discarding(
    request: CallerRequest,
) -> Callable[[asyncio.Task[None]], None]:
    """Returns a callback that drops the body of a request."""
    return lambda _: request.body.discard()


def _body_length(request: CallerRequest) -> int | None:
    """Returns the Content-Length in bytes, None when the body is chunked."""
    encoding = request.header(b"transfer-encoding")
    if encoding is not None:
        if encoding.strip().lower() != b"chunked":
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST,
                detail="Transfer-Encoding must be chunked",
            )
        return None
    length = request.header(b"content-length")
    return int(length) if length is not None else 0


def _check_target(request: CallerRequest, limits: CallerLimits) -> None:
    if not request.target.startswith("/"):
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST,
            detail="the target must be a path",
        )
    hosts = 0
    for name, _ in request.headers:
        if name == b"host":
            hosts += 1
    if hosts != 1:
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST,
            detail="Host must be given once",
        )
    if (
        request.body_length is not None
        and request.body_length > limits.body_bytes
    ):
        raise AlmondstairError(kind=ErrorKind.BODY_TOO_LARGE)
