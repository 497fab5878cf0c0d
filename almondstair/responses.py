"""Responses to callers and to other entries, buffered or streamed."""

import abc
import asyncio
from collections.abc import Awaitable
import enum

from tornado import httputil
from tornado import iostream

from almondstair.errors import AlmondstairError
from almondstair.http_client import Pace
from almondstair.http_client import ResponseSink
from almondstair.http_client import unlimited_pace
from almondstair.http_messages import LOAD_HEADER
from almondstair.http_messages import ResponseHead
from almondstair.http_messages import end_to_end_headers
from almondstair.http_messages import problem_body
from almondstair.http_messages import problem_head

BUFFER_LIMIT_BYTES = 64 * 1024
_NO_CONTENT = 204


class ResponseState(enum.Enum):
    """How much of a response has been sent."""

    NOTHING = "nothing"
    STARTED = "started"
    FINISHED = "finished"
    TRUNCATED = "cut"


class Response(ResponseSink, abc.ABC):
    """Buffers a small response and streams a large one.

    A small response is sent in one write when it is complete, so that the
    request can still be retried if the upstream fails first. A large response
    is streamed; if it is truncated, the caller's connection is closed before
    the end of the body, which the caller's HTTP client reports as an error.

    Attributes:
      state: how much has been sent.
      caller_disconnected: whether the receiver disconnected; further data
        is buffered for the record of a claim, or dropped.
      pace: awaited with a size in bytes before body bytes are processed.
    """

    def __init__(self) -> None:
        """Creates a response of which nothing is sent."""
        self.state = ResponseState.NOTHING
        self.caller_disconnected = False
        self.pace: Pace = unlimited_pace
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
        """HTTP status of the response, 0 while there is none."""
        return self._head.status if self._head is not None else 0

    @property
    def nothing_sent(self) -> bool:
        """Whether nothing has been sent yet."""
        return self.state is ResponseState.NOTHING

    def receive_head(self, head: ResponseHead) -> None:
        """Buffers the head until it is known whether the response is small.

        Removes the headers that entries use among themselves. Otherwise an
        upstream that sends one would be taken for an entry, and its response
        for a refusal of a request that it ran.
        """
        headers = end_to_end_headers(headers=head.headers)
        if LOAD_HEADER in headers:
            del headers[LOAD_HEADER]
        self._head = head._replace(headers=headers)

    async def receive_data(self, chunk: bytes) -> None:
        """Buffers a chunk of the body, or sends it."""
        size_bytes = await self.pace(len(chunk))
        while size_bytes < len(chunk):
            await self._buffer_or_send(chunk[:size_bytes])
            chunk = chunk[size_bytes:]
            size_bytes = await self.pace(len(chunk))
        await self._buffer_or_send(chunk)

    async def _buffer_or_send(self, chunk: bytes) -> None:
        if (
            self.caller_disconnected
            and self._buffered_bytes >= BUFFER_LIMIT_BYTES
        ):
            return
        if self.state is ResponseState.STARTED:
            await self._send(self.write_chunk(chunk))
            return
        self._buffered.append(chunk)
        self._buffered_bytes += len(chunk)
        if (
            self._buffered_bytes >= BUFFER_LIMIT_BYTES
            and not self.caller_disconnected
        ):
            await self._send(self._flush())

    def buffered_response(self) -> tuple[ResponseHead, bytes] | None:
        """Returns the response if it is buffered completely, else None."""
        if self._head is None or self.state is not ResponseState.NOTHING:
            return None
        if self._buffered_bytes >= BUFFER_LIMIT_BYTES:
            return None
        return self._head, b"".join(self._buffered)

    def reset(self) -> None:
        """Discards buffered data before another attempt."""
        self._head = None
        self._buffered.clear()
        self._buffered_bytes = 0

    async def complete(self) -> None:
        """Sends buffered data and ends the response."""
        if self.state is ResponseState.NOTHING and not self.caller_disconnected:
            await self._send(self._flush())
        self._finish()

    def send_problem(self, error: AlmondstairError) -> None:
        """Sends an error as the response.

        If part of another response has been sent, closes the connection
        instead, so that the caller cannot take that part for a complete one.
        """
        if self.state is ResponseState.STARTED:
            self.abort()
        if self.state is not ResponseState.NOTHING or self.caller_disconnected:
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
        """Returns the head of an error response."""
        return problem_head(error=error, size_bytes=size_bytes, for_entry=False)

    def abort(self) -> None:
        """Closes the connection so that the caller detects the truncation."""
        if self.state in (ResponseState.FINISHED, ResponseState.TRUNCATED):
            return
        self.state = ResponseState.TRUNCATED
        self.close_connection()

    def _flush(self) -> Awaitable[None]:
        assert self._head is not None
        chunk = b"".join(self._buffered)
        self.state = ResponseState.STARTED
        return self.write_head(self._head, chunk)

    def _finish(self) -> None:
        if self.state is ResponseState.STARTED:
            self.state = ResponseState.FINISHED
            self.write_end()

    async def _send(self, write: Awaitable[None]) -> None:
        try:
            await write
        except iostream.StreamClosedError:
            self.caller_disconnected = True


class ConnectionResponse(Response):
    """Sends a response over a connection of the HTTP server."""

    def __init__(
        self, *, connection: httputil.HTTPConnection, for_entry: bool
    ) -> None:
        """Creates a response on `connection`.

        Args:
          connection: the server's connection.
          for_entry: whether another entry receives it rather than a caller.
        """
        super().__init__()
        self._connection = connection
        self._for_entry = for_entry
        self.method = ""
        self.close_after = False
        # Set once the request has a slot; a streaming body waits for it.
        self.admitted = asyncio.Event()
        # Replaced by IncomingRequest, which may delay the end of the exchange.
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
        """Returns the head of an error response."""
        return problem_head(
            error=error, size_bytes=size_bytes, for_entry=self._for_entry
        )
