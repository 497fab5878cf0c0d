"""Request bodies, buffered or streamed with back-pressure."""

import asyncio
from collections import deque
from collections.abc import Callable

import xxhash

BUFFER_LIMIT_BYTES = 64 * 1024


class BodyAbortedError(Exception):
    """Raised when the sender disconnects before the end of the body."""


class RequestBody:
    """Buffers a small request body, or streams a larger one.

    A body that fits into the buffer is kept, so that it can be sent again to
    another upstream. A larger body is streamed and can be sent only once.

    Attributes:
      size_bytes: bytes received so far.
      complete: whether the end of the body was received.
      streaming: whether the body is streamed.
      consumed: whether any part of a streamed body was read.
      on_buffered: called with each change of the buffered bytes, if set.
    """

    def __init__(self, *, limit_bytes: int = BUFFER_LIMIT_BYTES) -> None:
        """Creates an empty body whose end is not received yet.

        Args:
          limit_bytes: size of the buffer.
        """
        self._limit_bytes = limit_bytes
        self.size_bytes = 0
        self.complete = False
        self.streaming = False
        self.consumed = False
        self.on_buffered: Callable[[int], None] | None = None
        self._discarded = False
        self._aborted = False
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._digest = xxhash.xxh3_128()
        self._readable: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None

    @property
    def replayable(self) -> bool:
        """Whether the complete body is buffered and can be sent again."""
        return self.complete and not self.streaming

    def digest(self) -> str:
        """Returns a digest of the bytes received before streaming began."""
        return self._digest.hexdigest()

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Adds a chunk.

        Args:
          chunk: the next bytes of the body.

        Returns:
          A future to await if the buffer is full, else None.
        """
        self.size_bytes += len(chunk)
        if self._discarded:
            return None
        if not self.streaming:
            self._digest.update(chunk)
        self._chunks.append(chunk)
        self._change_buffered(len(chunk))
        self._wake_reader()
        if self._buffered_bytes <= self._limit_bytes:
            return None
        self._writable = asyncio.get_running_loop().create_future()
        return self._writable

    def lower_limit(self, limit_bytes: int) -> None:
        """Makes the buffer smaller, also for what it holds already."""
        self._limit_bytes = min(self._limit_bytes, limit_bytes)

    def exceeds_buffer(self) -> bool:
        """Returns whether the body is larger than the buffer."""
        return self._buffered_bytes > self._limit_bytes

    def end(self) -> None:
        """Marks the body complete."""
        self.complete = True
        self._wake_reader()

    def abort(self) -> None:
        """Marks the body as aborted by its sender."""
        self._aborted = True
        self._wake_reader()
        self._wake_writer()

    def release_sender(self) -> None:
        """Lets the sender go on although the buffer is full."""
        self._wake_writer()

    def discard(self) -> None:
        """Drops the buffered bytes and those that still arrive."""
        self._discarded = True
        self._chunks.clear()
        self._change_buffered(-self._buffered_bytes)

    def content(self) -> bytes:
        """Returns the bytes of a replayable body."""
        return b"".join(self._chunks)

    def chunks(self) -> tuple[bytes, ...]:
        """Returns the parts of a replayable body, without a copy."""
        return tuple(self._chunks)

    async def read(self) -> bytes:
        """Removes and returns the next chunk; returns empty at the end.

        Raises:
          BodyAbortedError: the sender disconnected.
        """
        while not self._chunks:
            if self._aborted:
                raise BodyAbortedError
            if self.complete:
                return b""
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        self.consumed = True
        chunk = self._chunks.popleft()
        self._change_buffered(-len(chunk))
        if self._buffered_bytes <= self._limit_bytes:
            self._wake_writer()
        return chunk

    def _change_buffered(self, change_bytes: int) -> None:
        self._buffered_bytes += change_bytes
        if self.on_buffered is not None:
            self.on_buffered(change_bytes)

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
