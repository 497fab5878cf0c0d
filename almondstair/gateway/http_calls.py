"""Small HTTP calls to the store and to other entries, over kept connections."""

import asyncio

from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_pool import UpstreamPool

# A round trip to the farthest region is 0.11 s. After a partition the first
# packet of a connection is sent again only after a second; a new try is faster.
CONNECT_TIMEOUT_S = 0.4
_POOL_NAME = "calls"


class HttpCaller:
    """Calls one address."""

    def __init__(self, *, address: str) -> None:
        """Makes a caller of `ip:port`."""
        self.address = address
        self._pool = UpstreamPool(id_header=b"")

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    async def call(
        self,
        *,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Sends one request and returns the answer's status and body.

        Raises:
          OSError: no whole answer, or none in time.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        async with asyncio.timeout(timeout_s):
            return await self._exchange(head.encode() + body)

    async def _exchange(self, message: bytes) -> tuple[int, bytes]:
        connection = self._pool.take_idle(
            upstream_id=_POOL_NAME, repeatable=True
        )
        if connection is None:
            connection = await self._pool.connect(
                address=self.address, timeout_s=CONNECT_TIMEOUT_S
            )
        result = await connection.exchange(head=message)
        if result.end is not ExchangeEnd.WHOLE or result.head is None:
            raise OSError(f"the answer was {result.end.value}")
        self._pool.give_back(connection, upstream_id=_POOL_NAME)
        return result.head.status, result.body
