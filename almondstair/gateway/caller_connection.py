"""One caller's connection: requests in, answers out in the same order.

Parsing is httptools'. tornado's server reads the next request only after the
answer to the one before; callers here send several look-ups at once, which
would then wait for each other, and it does not see a caller leave while
another request lies unread behind the running one.
"""

import abc
import asyncio
from collections import deque

import httptools

from almondstair.clock import now_s
from almondstair.core.routing import CallerLimits
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.incoming import AnswerWait
from almondstair.gateway.incoming import AnswerWriter
from almondstair.gateway.incoming import Handled
from almondstair.gateway.incoming import IncomingRequest

# Requests of one connection that are worked on at once; more are left unread.
PIPELINE_LIMIT = 16
# What may lie unsent for a caller that reads slowly.
WRITE_HIGH_BYTES = 256 * 1024
# How long a refused body is read and dropped: closing with unread bytes would
# reset the connection before the caller has read the refusal.
DISCARD_LIMIT_S = 2.0
# A ready answer that waited this long for those before it is told of; less is
# lost in what answers take anyway, 0.1 s and more.
WAIT_TOLD_S = 0.05
# Kept beyond the stated idle time, for a request that is on its way.
IDLE_MARGIN_S = 1.0


class RequestHandler(abc.ABC):
    """What caller connections need from the entry."""

    @abc.abstractmethod
    def limits(self) -> CallerLimits:
        """Returns what callers may send."""

    @abc.abstractmethod
    async def handle(self, request: IncomingRequest) -> None:
        """Answers a request; its body may still be arriving."""

    @abc.abstractmethod
    def cancellable(self, request: IncomingRequest) -> bool:
        """Whether work for a caller that is gone should stop."""

    @abc.abstractmethod
    def note_waited(self, wait: AnswerWait) -> None:
        """Tells of a ready answer that waited for the one before it."""


class CallerConnection(asyncio.Protocol, AnswerWriter):
    """Reads requests and writes their answers in order.

    Attributes:
      leaving: whether the connection is closed after its next answer.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        connections: "set[CallerConnection]",
    ) -> None:
        """Makes the protocol of one connection.

        Args:
          handler: answers the requests.
          connections: where it is listed while it is open.
        """
        self._handler = handler
        self._connections = connections
        self._limits = handler.limits()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[IncomingRequest] = deque()
        self._current: IncomingRequest | None = None
        self._answered_last: IncomingRequest | None = None
        self._url = b""
        self._head_bytes = 0
        self._ended_reading = False
        self._paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._room: asyncio.Event = asyncio.Event()
        self._room.set()
        self._last_active_s = now_s()
        self._discarding = False
        self.leaving = False

    @property
    def quiet(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._waiting and self._current is None

    # Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes an accepted connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._connections.add(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller is gone: stops what nobody waits for."""
        self._connections.discard(self)
        for timer in (self._timer, self._head_timer):
            if timer is not None:
                timer.cancel()
        self._room.set()
        if self._current is not None:
            self._current.body.abort()
        for request in self._waiting:
            self._note_waited(request, behind=self._waiting[0], delivered=False)
            self._caller_left(request)

    def _caller_left(self, request: IncomingRequest) -> None:
        request.caller_gone = True
        if not request.read:
            request.body.abort()
        if request.task is None or request.task.done():
            return
        if request.state is Handled.ENDED:
            return
        if self._handler.cancellable(request):
            request.task.cancel()

    def eof_received(self) -> bool:
        """The caller sends no more; what it asked is still answered."""
        return False

    def pause_writing(self) -> None:
        """The caller reads slowly."""
        self._room.clear()

    def resume_writing(self) -> None:
        """The caller has read on."""
        self._room.set()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._ended_reading:
            return
        self._last_active_s = now_s()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_unreadable("no protocol but HTTP/1.1 is spoken")
        except httptools.HttpParserError as error:
            if not self._ended_reading:
                self._refuse_unreadable(str(error))

    def _refuse_unreadable(self, detail: str) -> None:
        """Answers 400 and closes: what follows cannot be told apart.

        What goes wrong without: bytes after an unreadable head are taken for
        another request, which no caller sent.
        """
        request = self._current
        if request is None or request.task is not None:
            request = IncomingRequest(connection=self)
        if request not in self._waiting:
            self._waiting.append(request)
        self._stop_reading(request)
        request.body.abort()
        request.problem(
            AlmondstairError(kind=ErrorKind.BAD_REQUEST, detail=detail)
        )

    def _stop_reading(self, request: IncomingRequest) -> None:
        self._ended_reading = True
        self._current = None
        request.close_after = True

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """A request begins."""
        if self._ended_reading:
            return
        self._current = IncomingRequest(connection=self)
        self._url = b""
        self._head_bytes = 0
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(
            self._limits.header_timeout_s, self._head_is_late
        )

    def _head_is_late(self) -> None:
        """Closes a connection whose head does not come to an end.

        What goes wrong without: callers that stop in the middle hold
        connections for good, until there are no descriptors left.
        """
        self._ended_reading = True
        self._current = None
        if not self._waiting:
            self._close_now()

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if self._current is None:
            return
        self._current.headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._current is None or self._ended_reading:
            return
        if self._head_bytes <= self._limits.header_bytes:
            return
        request = self._current
        self._waiting.append(request)
        self._stop_reading(request)
        request.problem(AlmondstairError(kind=ErrorKind.HEAD_TOO_LARGE))

    def on_headers_complete(self) -> None:
        """Checks the head and starts the request."""
        if self._head_timer is not None:
            self._head_timer.cancel()
        request = self._current
        if request is None:
            return
        request.method = self._parser.get_method().decode("latin-1")
        request.target = self._url.decode("latin-1")
        request.arrived_s = now_s()
        request.close_after = not self._parser.should_keep_alive()
        self._waiting.append(request)
        try:
            request.length = _body_length(request)
            _check_target(request, self._limits)
        except AlmondstairError as error:
            self._stop_reading(request)
            self._discard_then_close()
            request.problem(error)
            return
        if (request.header(b"expect") or b"").lower() == b"100-continue":
            self._go_ahead(request)

    def _go_ahead(self, request: IncomingRequest) -> None:
        if request is self._waiting[0] and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        request = self._current
        if request is None:
            return
        if request.body.size_bytes + len(data) > self._limits.body_bytes:
            self._stop_reading(request)
            request.body.abort()
            self._discard_then_close()
            request.problem(AlmondstairError(kind=ErrorKind.BODY_TOO_LARGE))
            return
        wait = request.body.put(data)
        if request.task is None and request.body.overflows():
            request.body.streaming = True
            self._start(request)
        if wait is not None and request.body.streaming:
            self._pause()
            wait.add_done_callback(lambda _: self._resume())

    def on_message_complete(self) -> None:
        """A request has been read whole."""
        request = self._current
        self._current = None
        if request is None:
            return
        request.read = True
        request.body.end()
        if request.task is None and not request.answered:
            self._start(request)
        if request.close_after:
            self._ended_reading = True
        if len(self._waiting) >= PIPELINE_LIMIT:
            self._pause()

    def _start(self, request: IncomingRequest) -> None:
        request.task = asyncio.ensure_future(self._handler.handle(request))

    def _pause(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._paused = True
        self._transport.pause_reading()

    def _resume(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    # The way back.

    async def room(self, request: IncomingRequest) -> None:
        """Waits until more of an answer can be written."""
        while self._waiting and self._waiting[0] is not request:
            if request.caller_gone:
                return
            self._room.clear()
            await self._room.wait()
        await self._room.wait()

    def flush(self) -> None:
        """Writes what is ready, in the order of the requests."""
        if self._transport is None or self._transport.is_closing():
            return
        while self._waiting:
            request = self._waiting[0]
            if request.out:
                self._transport.write(b"".join(request.out))
                request.out.clear()
            if request.state is not Handled.ENDED:
                return
            self._waiting.popleft()
            self._note_waited(
                request, behind=self._answered_last, delivered=True
            )
            self._answered_last = request
            self._last_active_s = now_s()
            if request.close_after:
                self._close_in_order(request)
                return
            if not request.read:
                # Answered before the end of its body: the rest is dropped.
                request.body.abort()
                self._ended_reading = True
                self._discard_then_close()
                return
            self._room.set()
            self._resume()

    def _note_waited(
        self,
        request: IncomingRequest,
        *,
        behind: IncomingRequest | None,
        delivered: bool,
    ) -> None:
        """Tells of an answer that was ready and could not be sent.

        What goes wrong without: the log says that a request was answered in
        time, while its caller waited for another answer of its connection.
        """
        if behind is None or behind is request or not request.answered_s:
            return
        waited_s = now_s() - request.answered_s
        if waited_s < WAIT_TOLD_S:
            return
        self._handler.note_waited(
            AnswerWait(
                request=request,
                behind=behind,
                waited_s=waited_s,
                delivered=delivered,
            )
        )

    def _close_in_order(self, request: IncomingRequest) -> None:
        assert self._transport is not None
        self._ended_reading = True
        if not request.read or self._discarding:
            self._discard_then_close()
            return
        self._transport.close()

    def _discard_then_close(self) -> None:
        if self._discarding:
            return
        self._discarding = True
        loop = asyncio.get_running_loop()
        loop.call_later(DISCARD_LIMIT_S, self._close_now)

    def _close_now(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def leave(self) -> None:
        """Closes after the next answer, or now if nothing is under way.

        A request that crosses the close was not read and is sent again by its
        caller.
        """
        self.leaving = True

    def close_if_quiet(self) -> None:
        """Closes the connection if no request is under way."""
        if self.quiet and self._transport is not None:
            self._ended_reading = True
            self._transport.close()

    def abort(self) -> None:
        """Closes at once, in the middle of an answer."""
        if self._transport is not None:
            self._transport.abort()

    def _watch_idle(self) -> None:
        loop = asyncio.get_running_loop()
        self._limits = self._handler.limits()
        limit_s = self._limits.idle_timeout_s + IDLE_MARGIN_S
        if self.quiet and now_s() - self._last_active_s > limit_s:
            self.close_if_quiet()
            return
        self._timer = loop.call_later(limit_s / 4, self._watch_idle)


def _body_length(request: IncomingRequest) -> int | None:
    """Returns the stated length of a body, None when it is chunked."""
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


def _check_target(request: IncomingRequest, limits: CallerLimits) -> None:
    if not request.target.startswith("/"):
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST, detail="the target must be a path"
        )
    hosts = 0
    for name, _ in request.headers:
        if name == b"host":
            hosts += 1
    if hosts != 1:
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST, detail="Host must be given once"
        )
    if request.length is not None and request.length > limits.body_bytes:
        raise AlmondstairError(kind=ErrorKind.BODY_TOO_LARGE)
