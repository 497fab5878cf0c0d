"""Pool of idle connections to upstreams, by incarnation."""

import asyncio

from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.upstream_connection import UpstreamConnection

# A request that is not idempotent fails if it arrives while the other side
# closes the connection. It uses only connections that have been idle for less
# than this share of the idle limit.
NON_IDEMPOTENT_IDLE_SHARE = 0.5


class ConnectionPool:
    """Opens connections and keeps idle ones for later requests.

    Attributes:
      connections_opened: number of connections opened since the start.
    """

    def __init__(
        self, *, id_header: bytes, memory_guard: MemoryGuard | None = None
    ) -> None:
        """Creates an empty pool.

        Args:
          id_header: header in which upstreams echo the request id.
          memory_guard: bounds what connections hold; None if nothing does.
        """
        self._memory_guard = memory_guard
        self._id_header = id_header
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.connections_opened = 0

    def acquire_idle(
        self, *, incarnation: str, repeatable: bool
    ) -> UpstreamConnection | None:
        """Returns an idle connection, None if there is no suitable one.

        Args:
          incarnation: incarnation of the upstream.
          repeatable: whether a lost request may be resent.
        """
        idle = self._idle.get(incarnation)
        share = 1.0 if repeatable else NON_IDEMPOTENT_IDLE_SHARE
        while idle:
            connection = idle.pop()
            if not connection.usable:
                continue
            if connection.is_idle_too_long(used_share=1.0):
                connection.close()
                continue
            if connection.is_idle_too_long(used_share=share):
                # Still usable for a later request that may be resent.
                idle.append(connection)
                return None
            return connection
        return None

    async def connect(
        self, *, address: str, timeout_s: float
    ) -> UpstreamConnection:
        """Opens a connection.

        Raises:
          OSError: the address cannot be reached, or not in time.
        """
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def create_protocol() -> UpstreamConnection:
            return UpstreamConnection(
                address=address,
                id_header=self._id_header,
                memory_guard=self._memory_guard,
            )

        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                create_protocol, ip, int(port)
            )
        self.connections_opened += 1
        return connection

    def release(
        self, connection: UpstreamConnection, *, incarnation: str
    ) -> None:
        """Returns a connection to the pool if it is still usable."""
        if not connection.usable:
            return
        self._idle.setdefault(incarnation, []).append(connection)

    def close_upstream(self, *, incarnation: str) -> None:
        """Closes the idle connections of an upstream that is gone."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for incarnation in list(self._idle):
            self.close_upstream(incarnation=incarnation)
