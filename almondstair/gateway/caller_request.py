"""A caller's request and the writing of its response."""

import abc
import asyncio
import enum
import math
from typing import NamedTuple

from almondstair.body import RequestBody
from almondstair.clock import now_s
from almondstair.errors import PROBLEM_CONTENT_TYPE
from almondstair.errors import AlmondstairError
from almondstair.gateway import relay_messages
from almondstair.gateway.http_encoding import LAST_CHUNK
from almondstair.gateway.http_encoding import Headers
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.http_encoding import encode_chunk
from almondstair.gateway.http_encoding import encode_head
from almondstair.gateway.http_encoding import encode_status_line
from almondstair.gateway.http_encoding import find_header
from almondstair.gateway.http_encoding import has_no_body
from almondstair.gateway.memory_guard import CallerMemory
from almondstair.gateway.memory_guard import ExchangeMemory
from almondstair.gateway.upstream_connection import UpstreamResponseSink
from almondstair.http_messages import problem_body

# A body up to this size is buffered so that it can be resent; a larger one is
# streamed. Several hundred at once must fit a VM of 200 MB.
MAX_BUFFERED_BODY_BYTES = 512 * 1024
_UNAUTHORIZED = 401


class ResponseWait(NamedTuple):
    """How long a ready response waited for the preceding one.

    Attributes:
      request: the request of the response.
      behind: the preceding request of the same connection.
      waited_s: the wait, in seconds.
      delivered: whether it was sent; otherwise the caller disconnected first.
    """

    request: "CallerRequest"
    behind: "CallerRequest"
    waited_s: float
    delivered: bool


class ResponseWriter(abc.ABC):
    """Writes responses to the connection that a request came on.

    Attributes:
      draining: whether the connection is closed after its next response.
    """

    draining: bool

    @abc.abstractmethod
    def flush(self) -> None:
        """Writes ready responses in the order of their requests."""

    @abc.abstractmethod
    async def wait_writable(self, request: "CallerRequest") -> None:
        """Waits until more of a response can be written."""

    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """Returns the bytes of responses that the caller has not read."""

    @abc.abstractmethod
    def end_truncated(self) -> None:
        """Closes behind what is written, in the middle of a response."""


class WriteWait(enum.StrEnum):
    """What the writing of a response waits for.

    Attributes:
      NOTHING: it does not wait.
      TURN: the end of an earlier response of the connection.
      BUFFER: the caller, who has not read what was written.
    """

    NOTHING = ""
    TURN = "turn"
    BUFFER = "buffer"


class ResponseProgress(enum.Enum):
    """Progress of the response to a request."""

    WAITING = "waiting"
    STREAMING = "streaming"
    ENDED = "ended"


class CallerRequest(UpstreamResponseSink):
    """A caller's request, with methods to respond to it.

    Attributes:
      method: the method.
      target: path and query as the caller sent them.
      headers: headers, names in lower case.
      body: the body, which may still be arriving.
      body_length: Content-Length in bytes; None when the body is chunked.
      arrived_s: when its head was complete, on the entry's clock.
      response_ready_s: when its response was complete, on the entry's clock.
      state: progress of the response.
      fully_read: whether the body has arrived completely.
      close_after: whether the connection is closed after the response.
      caller_disconnected: whether the caller closed the connection.
      is_relayed: whether another entry sent it, which is told of errors.
      leaving_upstreams: hashes of the upstreams that said in a response to it
        that they leave; told to the entry that relayed it.
      resting_upstreams: hashes of the upstreams that asked for rest in a
        response to it, and for how long in milliseconds; told likewise.
      closed_by_entry: why this entry closed the connection; empty if it did
        not.
      memory: what this entry holds for the connection; None if not counted.
      write_wait: what the writing of its response waits for, or waited for
        when it was given up.
      task: task that handles the request, once it has started.
      output: encoded parts of the response that are not written yet.
      written_bytes: bytes of the response that were written.
    """

    def __init__(
        self,
        *,
        connection: ResponseWriter,
        memory: CallerMemory | None = None,
    ) -> None:
        """Creates the next request of a connection.

        Args:
          connection: the connection.
          memory: what is held for the connection; None if not counted.
        """
        self._connection = connection
        self.memory = memory
        self.method = ""
        self.target = ""
        self.headers: Headers = []
        self.body = RequestBody(limit_bytes=MAX_BUFFERED_BODY_BYTES)
        if memory is not None:
            self.body.on_buffered = memory.add_body
        self.body_length: int | None = 0
        self.arrived_s = 0.0
        self.response_ready_s = 0.0
        self.state = ResponseProgress.WAITING
        self.fully_read = False
        self.close_after = False
        self.caller_disconnected = False
        self.closed_by_entry = ""
        self.is_relayed = False
        self.leaving_upstreams: list[int] = []
        self.resting_upstreams: list[tuple[int, int]] = []
        self.write_wait = WriteWait.NOTHING
        self.task: asyncio.Task[None] | None = None
        self.output: list[bytes] = []
        self.written_bytes = 0
        self._chunked = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find_header(self.headers, name)

    @property
    def response_begun(self) -> bool:
        """Whether the response has begun; it may not be written yet."""
        return self.state is not ResponseProgress.WAITING

    @property
    def response_fixed(self) -> bool:
        """Whether the response can no longer become another one.

        One of which nothing is written can be withdrawn, however much of it has
        come from the upstream.
        """
        if self.state is ResponseProgress.ENDED:
            return True
        return self.written_bytes > 0

    def unsent_bytes(self) -> int:
        """Returns the unread bytes of all responses of its connection."""
        return self._connection.unsent_bytes()

    def open_exchange(self) -> ExchangeMemory | None:
        """Returns the count of an exchange for it, None if not counted."""
        return None if self.memory is None else self.memory.open_exchange()

    def respond(self, head: ResponseHead, body: bytes) -> None:
        """Sends a response with a complete body."""
        if self.response_begun:
            return
        if not self.fully_read:
            # The rest of the body is discarded, and nothing behind it is read.
            self.close_after = True
        headers = list(head.headers)
        if not has_no_body(head.status):
            headers.append((b"content-length", b"%d" % len(body)))
        self._write_start(head.status, headers)
        if self.method != "HEAD":
            self.output.append(body)
        self._finish()

    def respond_with_problem(self, error: AlmondstairError) -> None:
        """Sends a problem document in place of a response not yet written.

        If a part of a response is written, the connection ends instead.
        """
        self.withdraw_response()
        if self.state is ResponseProgress.STREAMING:
            self.break_off()
            return
        headers: Headers = [
            (b"content-type", PROBLEM_CONTENT_TYPE.encode()),
            (b"cache-control", b"no-store"),
        ]
        if error.rule.http_status == _UNAUTHORIZED:
            headers.append((b"www-authenticate", b"Bearer"))
        if error.retry_after_ms is not None:
            # Rounded up: a caller that returns earlier is refused again.
            text = f"{math.ceil(error.retry_after_ms / 10) / 100:.2f}"
            headers.append((b"retry-after", text.encode()))
        if self.is_relayed:
            headers += relay_messages.encode_error(error)
        self.respond(
            ResponseHead(status=error.rule.http_status, headers=headers),
            problem_body(error=error),
        )

    def begin(self, head: ResponseHead) -> None:
        """Starts a streamed response."""
        if self.response_begun:
            return
        self.state = ResponseProgress.STREAMING
        self._chunked = True
        headers = list(head.headers)
        headers.append((b"transfer-encoding", b"chunked"))
        self._write_start(head.status, headers)
        self.state = ResponseProgress.STREAMING
        self._connection.flush()

    async def write(self, data: bytes) -> None:
        """Writes a chunk and waits while the caller reads slowly."""
        if self.state is not ResponseProgress.STREAMING:
            return
        if self.method != "HEAD":
            self.output.append(encode_chunk(data))
        self._connection.flush()
        await self._connection.wait_writable(self)

    def end_stream(self) -> None:
        """Ends a streamed response."""
        if self.state is not ResponseProgress.STREAMING:
            return
        if self.method != "HEAD":
            self.output.append(LAST_CHUNK)
        self._finish()

    def withdraw_response(self) -> None:
        """Drops a streamed response of which nothing is written.

        The request may then be sent again, or get an error in its turn. Ending
        the connection instead would lose the requests before it.
        """
        if self.response_fixed:
            return
        self.output.clear()
        self.state = ResponseProgress.WAITING
        self.write_wait = WriteWait.NOTHING
        self._connection.flush()

    def break_off(self) -> None:
        """Ends the connection so that the caller notices the truncation."""
        self.state = ResponseProgress.ENDED
        self._connection.end_truncated()

    def _write_start(self, status: int, headers: Headers) -> None:
        if self.close_after or self._connection.draining:
            self.close_after = True
            headers.append((b"connection", b"close"))
        if self.is_relayed:
            headers += relay_messages.encode_leaving(self.leaving_upstreams)
            headers += relay_messages.encode_rests(self.resting_upstreams)
        self.output.append(encode_head(encode_status_line(status), headers))

    def _finish(self) -> None:
        self.state = ResponseProgress.ENDED
        self.response_ready_s = now_s()
        self._connection.flush()
