"""The answer of one request on its way to a caller or to another entry."""

import abc
import asyncio
from collections.abc import Awaitable
import enum

from tornado import httputil
from tornado import iostream

from almondstair.errors import AlmondstairError
from almondstair.http_client import AnswerSink
from almondstair.http_client import Pace
from almondstair.http_client import no_pace
from almondstair.http_messages import LOAD_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.http_messages import end_to_end_headers
from almondstair.http_messages import problem_body
from almondstair.http_messages import problem_head

BUFFER_LIMIT_BYTES = 64 * 1024
_NO_CONTENT = 204


class AnswerState(enum.Enum):
    """How much of an answer the caller has been sent."""

    NOTHING = "nothing"
    STARTED = "started"
    FINISHED = "finished"
    CUT = "cut"


class Answer(AnswerSink, abc.ABC):
    """An answer that is held while it is small and streams when it is not.

    A small answer reaches the caller in one write once it is whole, so that a
    cut before that can still be retried. A long one streams; a cut then
    closes the caller's connection before the end of the body, which the
    caller's own HTTP client reports.

    Attributes:
      state: how much has been sent.
      caller_gone: whether nobody reads the answer any more; what still comes
        is held for the record of a claim, or dropped.
      pace: awaited with a size in bytes before body bytes move.
    """

    def __init__(self) -> None:
        """Starts with nothing sent."""
        self.state = AnswerState.NOTHING
        self.caller_gone = False
        self.pace: Pace = no_pace
        self._head: ResponseHead | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0

    @abc.abstractmethod
    def write_head(self, head: ResponseHead, chunk: bytes) -> Awaitable[None]:
        """Writes the head and the first bytes of the body."""

    @abc.abstractmethod
    def write_chunk(self, chunk: bytes) -> Awaitable[None]:
        """Writes more of the body."""

    @abc.abstractmethod
    def write_end(self) -> None:
        """Ends the body."""

    @abc.abstractmethod
    def close_connection(self) -> None:
        """Closes without ending the body."""

    @property
    def status(self) -> int:
        """Status of the answer, 0 while there is none."""
        return self._head.status if self._head is not None else 0

    @property
    def untouched(self) -> bool:
        """Whether the caller has been sent no byte yet."""
        return self.state is AnswerState.NOTHING

    def head(self, head: ResponseHead) -> None:
        """Holds the head until it is known whether the answer is small.

        Headers in which entries talk to each other stop here: an upstream
        that sent one would else be taken for an entry, and its answer for a
        refusal of work that it ran.
        """
        headers = end_to_end_headers(headers=head.headers)
        if LOAD_HEADER in headers:
            del headers[LOAD_HEADER]
        self._head = head._replace(headers=headers)

    async def data(self, chunk: bytes) -> None:
        """Holds or passes on a chunk of the body."""
        size_bytes = await self.pace(len(chunk))
        while size_bytes < len(chunk):
            await self._buffer_or_send(chunk[:size_bytes])
            chunk = chunk[size_bytes:]
            size_bytes = await self.pace(len(chunk))
        await self._buffer_or_send(chunk)

    async def _buffer_or_send(self, chunk: bytes) -> None:
        if self.caller_gone and self._buffered_bytes >= BUFFER_LIMIT_BYTES:
            return
        if self.state is AnswerState.STARTED:
            await self._send(self.write_chunk(chunk))
            return
        self._buffered.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes >= BUFFER_LIMIT_BYTES and not self.caller_gone:
            await self._send(self._flush())

    def held_answer(self) -> tuple[ResponseHead, bytes] | None:
        """Returns a whole answer that was small enough to hold, else None."""
        if self._head is None or self.state is not AnswerState.NOTHING:
            return None
        if self._buffered_bytes >= BUFFER_LIMIT_BYTES:
            return None
        return self._head, b"".join(self._buffered)

    def reset(self) -> None:
        """Forgets what is held, before another try."""
        self._head = None
        self._buffered.clear()
        self._buffered_bytes = 0

    async def complete(self) -> None:
        """Sends what is still held and ends the answer."""
        if self.state is AnswerState.NOTHING and not self.caller_gone:
            await self._send(self._flush())
        self._finish()

    def problem(self, error: AlmondstairError) -> None:
        """Answers with an error of the closed list, at once.

        Where part of another answer is already out, the connection is closed
        instead: the caller must not take that part for the whole.
        """
        if self.state is AnswerState.STARTED:
            self.abort()
        if self.state is not AnswerState.NOTHING or self.caller_gone:
            return
        self.reset()
        body = problem_body(error=error)
        self._head = self.problem_head(error, len(body))
        self._buffered.append(body)
        self._flush()
        self._finish()

    def problem_head(
        self, error: AlmondstairError, size_bytes: int
    ) -> ResponseHead:
        """Returns the head of an error's answer."""
        return problem_head(error=error, size_bytes=size_bytes, for_entry=False)

    def abort(self) -> None:
        """Cuts the answer so that the caller sees the cut."""
        if self.state in (AnswerState.FINISHED, AnswerState.CUT):
            return
        self.state = AnswerState.CUT
        self.close_connection()

    def _flush(self) -> Awaitable[None]:
        assert self._head is not None
        chunk = b"".join(self._buffered)
        self.state = AnswerState.STARTED
        return self.write_head(self._head, chunk)

    def _finish(self) -> None:
        if self.state is AnswerState.STARTED:
            self.state = AnswerState.FINISHED
            self.write_end()

    async def _send(self, write: Awaitable[None]) -> None:
        try:
            await write
        except iostream.StreamClosedError:
            self.caller_gone = True


class ConnectionAnswer(Answer):
    """An answer over one of the server's own connections."""

    def __init__(
        self, *, connection: httputil.HTTPConnection, for_entry: bool
    ) -> None:
        """Answers on `connection`, to another entry or to a caller."""
        super().__init__()
        self._connection = connection
        self._for_entry = for_entry
        self.method = ""
        self.close_after = False
        # Set once the request has a slot; a long body waits for it.
        self.admitted = asyncio.Event()
        # Called instead of ending the exchange, see IncomingRequest.
        self.end_connection = connection.finish

    def write_head(self, head: ResponseHead, chunk: bytes) -> Awaitable[None]:
        """Writes the head and the first bytes of the body."""
        headers = head.headers
        if head.status == _NO_CONTENT and "Content-Length" in headers:
            del headers["Content-Length"]
        if self.close_after:
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1", head.status, head.reason
        )
        return self._connection.write_headers(start_line, headers, chunk)

    def write_chunk(self, chunk: bytes) -> Awaitable[None]:
        """Writes more of the body."""
        return self._connection.write(chunk)

    def write_end(self) -> None:
        """Ends the body."""
        self.end_connection()

    def close_connection(self) -> None:
        """Closes without ending the body."""
        stream = getattr(self._connection, "stream", None)
        if stream is not None:
            stream.close()

    def problem_head(
        self, error: AlmondstairError, size_bytes: int
    ) -> ResponseHead:
        """Returns the head of an error's answer."""
        return problem_head(
            error=error, size_bytes=size_bytes, for_entry=self._for_entry
        )
