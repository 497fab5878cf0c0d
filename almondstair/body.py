"""A request body on its way from a reader to a writer, with back-pressure."""

import asyncio
from collections import deque

import xxhash

BUFFER_LIMIT_BYTES = 64 * 1024


class BodyAbortedError(Exception):
    """The sender of the body went away before its end."""


class RequestBody:
    """Holds at most a limited part of a body, or the whole small body.

    A body that fits the buffer is kept after it is read, so that it can be
    sent again to another upstream. A longer one streams and is sent once.
    """

    def __init__(self, *, limit_bytes: int = BUFFER_LIMIT_BYTES) -> None:
        """Starts empty, with the end not yet seen.

        Args:
          limit_bytes: how much is held.
        """
        self._limit_bytes = limit_bytes
        self.size_bytes = 0
        self.whole = False
        self.streaming = False
        self.consumed = False
        self._aborted = False
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._digest = xxhash.xxh3_128()
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None

    @property
    def replayable(self) -> bool:
        """Whether the whole body is held and can be sent again."""
        return self.whole and not self.streaming

    def digest(self) -> str:
        """Returns a digest of what of the body came before it streamed."""
        return self._digest.hexdigest()

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Adds a chunk; returns a future to wait for when the buffer is full.

        Args:
          chunk: the next bytes of the body.
        """
        self.size_bytes += len(chunk)
        if not self.streaming:
            self._digest.update(chunk)
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._wake_reader()
        if self._buffered_bytes <= self._limit_bytes:
            return None
        self._writable = asyncio.get_running_loop().create_future()
        return self._writable

    def overflows(self) -> bool:
        """Whether the body is too long to be held whole."""
        return self._buffered_bytes > self._limit_bytes

    def end(self) -> None:
        """Marks the body whole."""
        self.whole = True
        self._wake_reader()

    def abort(self) -> None:
        """Marks the body as cut off by its sender."""
        self._aborted = True
        self._wake_reader()
        self._wake_writer()

    def replay(self) -> bytes:
        """Returns the whole of a replayable body."""
        return b"".join(self._chunks)

    async def read(self) -> bytes:
        """Takes the next chunk of a streaming body; empty at its end.

        Raises:
          BodyAbortedError: the sender went away.
        """
        while not self._chunks:
            if self._aborted:
                raise BodyAbortedError
            if self.whole:
                return b""
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        self.consumed = True
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        if self._buffered_bytes <= self._limit_bytes:
            self._wake_writer()
        return chunk

    def _wake_reader(self) -> None:
        waiter = self._readable
        self._readable = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _wake_writer(self) -> None:
        waiter = self._writable
        self._writable = None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
