"""Kept connections to upstreams, by incarnation."""

import asyncio

from almondstair.gateway.upstream_connection import UpstreamConnection

# A request that must not repeat is lost if it crosses the other side's close,
# so it takes only connections that were used within this part of the idle
# time.
UNSAFE_USED_SHARE = 0.5


class UpstreamPool:
    """Opens connections to upstreams and keeps them for later requests.

    Attributes:
      opened: connections opened since the start.
    """

    def __init__(self, *, id_header: bytes) -> None:
        """Makes an empty pool.

        Args:
          id_header: header in which upstreams echo a request's id.
        """
        self._id_header = id_header
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    def take_idle(
        self, *, incarnation: str, repeatable: bool
    ) -> UpstreamConnection | None:
        """Returns a kept connection that may be used, if any.

        Args:
          incarnation: where it must lead to.
          repeatable: whether a request may be sent again if it is lost.
        """
        idle = self._idle.get(incarnation)
        share = 1.0 if repeatable else UNSAFE_USED_SHARE
        while idle:
            connection = idle.pop()
            if not connection.usable:
                continue
            if connection.idle_too_long(used_share=1.0):
                connection.close()
                continue
            if connection.idle_too_long(used_share=share):
                # Good enough for a repeatable request that comes later.
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

        def make() -> UpstreamConnection:
            return UpstreamConnection(
                address=address, id_header=self._id_header
            )

        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(make, ip, int(port))
        self.opened += 1
        return connection

    def give_back(
        self, connection: UpstreamConnection, *, incarnation: str
    ) -> None:
        """Keeps a connection that may serve another request."""
        if not connection.usable:
            return
        self._idle.setdefault(incarnation, []).append(connection)

    def forget(self, *, incarnation: str) -> None:
        """Closes the kept connections of an upstream that is gone."""
        for connection in self._idle.pop(incarnation, []):
            connection.close()

    def close(self) -> None:
        """Closes every kept connection."""
        for incarnation in list(self._idle):
            self.forget(incarnation=incarnation)
