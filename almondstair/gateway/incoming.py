"""One request of a caller and the way back for its answer."""

import abc
import asyncio
import enum
from typing import NamedTuple

from almondstair.body import RequestBody
from almondstair.clock import now_s
from almondstair.errors import PROBLEM_CONTENT_TYPE
from almondstair.errors import AlmondstairError
from almondstair.gateway.http_wire import LAST_CHUNK
from almondstair.gateway.http_wire import Headers
from almondstair.gateway.http_wire import ReplyHead
from almondstair.gateway.http_wire import as_chunk
from almondstair.gateway.http_wire import find
from almondstair.gateway.http_wire import has_no_body
from almondstair.gateway.http_wire import status_line
from almondstair.gateway.http_wire import write_head
from almondstair.gateway.upstream_connection import ReplySink
from almondstair.http_messages import problem_body

# A body up to this size is held whole, so that it can be sent again; larger
# ones stream. Several hundred at once must fit a VM of 200 MB.
BODY_HOLD_BYTES = 512 * 1024


class AnswerWait(NamedTuple):
    """How long a ready answer waited for the one before it.

    Attributes:
      request: whose answer it is.
      behind: the request before it on the same connection.
      waited_s: for how long, in seconds.
      delivered: whether it was sent, or its caller left before.
    """

    request: "IncomingRequest"
    behind: "IncomingRequest"
    waited_s: float
    delivered: bool


class AnswerWriter(abc.ABC):
    """What a request needs from the connection that it came on.

    Attributes:
      leaving: whether the connection is closed after its next answer.
    """

    leaving: bool

    @abc.abstractmethod
    def flush(self) -> None:
        """Writes what is ready, in the order of the requests."""

    @abc.abstractmethod
    async def room(self, request: "IncomingRequest") -> None:
        """Waits until more of an answer can be written."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes at once, in the middle of an answer."""


class Handled(enum.Enum):
    """How far the answer to a request is."""

    WAITING = "waiting"
    STREAMING = "streaming"
    ENDED = "ended"


class IncomingRequest(ReplySink):
    """One request of a caller and the way back for its answer.

    Attributes:
      method: the method.
      target: path and query as the caller sent them.
      headers: headers, names in lower case.
      body: the body, perhaps still arriving.
      length: stated length of the body; None when it is chunked.
      arrived_s: when its head was complete, on the entry's clock.
      answered_s: when its answer was whole, on the same clock.
    """

    def __init__(self, *, connection: AnswerWriter) -> None:
        """Makes the next request of a connection."""
        self._connection = connection
        self.method = ""
        self.target = ""
        self.headers: Headers = []
        self.body = RequestBody(limit_bytes=BODY_HOLD_BYTES)
        self.length: int | None = 0
        self.arrived_s = 0.0
        self.answered_s = 0.0
        self.state = Handled.WAITING
        self.read = False
        self.close_after = False
        self.caller_gone = False
        self.task: asyncio.Task[None] | None = None
        self.out: list[bytes] = []
        self._chunking = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return find(self.headers, name)

    @property
    def answered(self) -> bool:
        """Whether an answer has begun."""
        return self.state is not Handled.WAITING

    def reply(self, head: ReplyHead, body: bytes) -> None:
        """Answers with a whole body at once."""
        if self.answered:
            return
        headers = list(head.headers)
        if not has_no_body(head.status):
            headers.append((b"content-length", b"%d" % len(body)))
        self._write_start(head.status, headers)
        if self.method != "HEAD":
            self.out.append(body)
        self._end()

    def problem(self, error: AlmondstairError) -> None:
        """Answers with an error of the closed list, at once."""
        if self.state is Handled.STREAMING:
            self.abort()
            return
        headers: Headers = [
            (b"content-type", PROBLEM_CONTENT_TYPE.encode()),
            (b"cache-control", b"no-store"),
        ]
        if error.retry_after_ms is not None:
            text = f"{error.retry_after_ms / 1000:.2f}"
            headers.append((b"retry-after", text.encode()))
        self.reply(
            ReplyHead(status=error.rule.http_status, headers=headers),
            problem_body(error=error),
        )

    def begin(self, head: ReplyHead) -> None:
        """Starts an answer that streams."""
        if self.answered:
            return
        self.state = Handled.STREAMING
        self._chunking = True
        headers = list(head.headers)
        headers.append((b"transfer-encoding", b"chunked"))
        self._write_start(head.status, headers)
        self.state = Handled.STREAMING
        self._connection.flush()

    async def write(self, data: bytes) -> None:
        """Passes a piece on and waits while the caller reads slowly."""
        if self.state is not Handled.STREAMING:
            return
        if self.method != "HEAD":
            self.out.append(as_chunk(data))
        self._connection.flush()
        await self._connection.room(self)

    def end_stream(self) -> None:
        """Ends an answer that streams."""
        if self.state is not Handled.STREAMING:
            return
        if self.method != "HEAD":
            self.out.append(LAST_CHUNK)
        self._end()

    def abort(self) -> None:
        """Cuts the connection so that the caller sees the cut."""
        self.state = Handled.ENDED
        self._connection.abort()

    def _write_start(self, status: int, headers: Headers) -> None:
        if self.close_after or self._connection.leaving:
            self.close_after = True
            headers.append((b"connection", b"close"))
        self.out.append(write_head(status_line(status), headers))

    def _end(self) -> None:
        self.state = Handled.ENDED
        self.answered_s = now_s()
        self._connection.flush()
