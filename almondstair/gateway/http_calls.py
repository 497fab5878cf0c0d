"""Small HTTP calls to the store and to other entries, over kept connections."""

import asyncio
from collections.abc import Callable

from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_pool import UpstreamPool

# A round trip to the farthest region is 0.11 s. After a partition the first
# packet of a connection is sent again only after a second; a new try is faster.
CONNECT_TIMEOUT_S = 0.4
# Longest time for a whole answer. The largest value of the store, 1 MB, takes
# 1.7 s over a link of 5 Mbit/s that carries nothing else.
LONGEST_CALL_S = 8.0
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

        The time begins anew with each piece of the answer. What goes wrong
        with one time for the whole: a large configuration takes longer than
        that over a small VM's link, each try is given up halfway, and the VM
        never has it.

        Args:
          method: the method.
          path: path and query.
          body: the request's body.
          timeout_s: how long the other side may be silent, in seconds.

        Raises:
          OSError: no whole answer, or none in time.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LONGEST_CALL_S
        async with asyncio.timeout(timeout_s) as limit:

            def extend() -> None:
                limit.reschedule(min(until_s, loop.time() + timeout_s))

            return await self._exchange(head.encode() + body, extend)

    async def _exchange(
        self, message: bytes, on_progress: Callable[[], None]
    ) -> tuple[int, bytes]:
        connection = self._pool.take_idle(
            incarnation=_POOL_NAME, repeatable=True
        )
        if connection is None:
            connection = await self._pool.connect(
                address=self.address, timeout_s=CONNECT_TIMEOUT_S
            )
        connection.on_progress = on_progress
        try:
            result = await connection.exchange(head=message)
        finally:
            connection.on_progress = None
        if result.end is not ExchangeEnd.WHOLE or result.head is None:
            raise OSError(f"the answer was {result.end.value}")
        self._pool.give_back(connection, incarnation=_POOL_NAME)
        return result.head.status, result.body
