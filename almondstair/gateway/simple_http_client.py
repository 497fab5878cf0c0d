"""HTTP client of the store and of other entries, with keep-alive."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.long_strings import LongStringCutter
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamResponseSink

# A round trip to the farthest region takes 0.11 s. A lost SYN packet is resent
# only after 1 s, so after a partition a new attempt is faster.
CONNECT_TIMEOUT_S = 0.4
# Timeout of a complete response. The store's largest value, 1 MB, takes 1.7 s
# over an otherwise idle link of 5 Mbit/s.
MAX_CALL_S = 8.0
# Longest body of a response. The largest is another entry's copy of the store,
# with a few hundred bytes for each upstream of the fleet.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_POOL_KEY = "calls"


class ResponseTooLongError(OSError):
    """Raised when a response has more bytes than a client keeps."""


class _CuttingSink(UpstreamResponseSink):
    """Collects a response whose long strings are cut.

    Attributes:
      size_bytes: bytes that were collected.
    """

    def __init__(self, *, cutter: LongStringCutter) -> None:
        """Starts without a response."""
        self._cutter = cutter
        self._pieces: list[bytes] = []
        self.size_bytes = 0

    def begin(self, head: ResponseHead) -> None:
        """Does nothing; the exchange returns the head as well."""

    async def write(self, data: bytes) -> None:
        """Collects a piece, unless too much was collected already."""
        if self.size_bytes > MAX_RESPONSE_BYTES:
            return
        piece = self._cutter.feed(data)
        self.size_bytes += len(piece)
        self._pieces.append(piece)

    def body(self) -> bytes:
        """Returns what was collected."""
        return b"".join(self._pieces)


class HttpResponse(NamedTuple):
    """Holds a complete response."""

    head: ResponseHead
    body: bytes

    @property
    def status(self) -> int:
        """Returns its status."""
        return self.head.status


class SimpleHttpClient:
    """Sends requests to one address."""

    def __init__(self, *, address: str) -> None:
        """Creates a client of `ip:port`."""
        self.address = address
        self._pool = ConnectionPool(id_header=b"")

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float,
        cutter: LongStringCutter | None = None,
    ) -> HttpResponse:
        """Sends one request and returns its response.

        The timeout restarts with each chunk of the response. With one timeout
        for the whole response, a large configuration would never reach a VM
        whose link needs longer, because each attempt would be abandoned.

        Args:
          method: the method.
          path: path and query.
          body: the request's body.
          timeout_s: how long the other side may be silent, in seconds.
          cutter: cuts the strings of a response that is a long JSON text.

        Raises:
          ResponseTooLongError: the response has too many bytes.
          OSError: the response is incomplete or late.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_CALL_S
        async with asyncio.timeout(timeout_s) as timeout:

            def extend() -> None:
                timeout.reschedule(min(deadline_s, loop.time() + timeout_s))

            return await self._exchange(head.encode() + body, extend, cutter)

    async def _exchange(
        self,
        message: bytes,
        on_progress: Callable[[], None],
        cutter: LongStringCutter | None,
    ) -> HttpResponse:
        connection = self._pool.acquire_idle(
            incarnation=_POOL_KEY, repeatable=True
        )
        if connection is None:
            connection = await self._pool.connect(
                address=self.address, timeout_s=CONNECT_TIMEOUT_S
            )
        sink = None if cutter is None else _CuttingSink(cutter=cutter)
        connection.on_progress = on_progress
        try:
            result = await connection.exchange(
                head=message, max_body_bytes=MAX_RESPONSE_BYTES, sink=sink
            )
        finally:
            connection.on_progress = None
        if result.end is ExchangeEnd.ENDLESS or (
            sink is not None and sink.size_bytes > MAX_RESPONSE_BYTES
        ):
            raise ResponseTooLongError(f"response was {result.end.value}")
        if result.end is not ExchangeEnd.COMPLETE or result.head is None:
            raise OSError(f"response was {result.end.value}")
        self._pool.release(connection, incarnation=_POOL_KEY)
        received = result.body
        if sink is not None and result.streamed:
            received = sink.body()
        return HttpResponse(head=result.head, body=received)
