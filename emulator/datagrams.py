"""A distance for datagrams: what gateways tell each other of their loads."""

import asyncio
from typing import Any


class DatagramWay(asyncio.DatagramProtocol):
    """Passes datagrams on to a target, later.

    Attributes:
      passed: datagrams that came so far.
    """

    def __init__(self, *, target: str, distance_s: float) -> None:
        """Makes a way to `ip:port`.

        Args:
          target: where it leads.
          distance_s: time that each datagram takes, in seconds.
        """
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._distance_s = distance_s
        self._transport: asyncio.DatagramTransport | None = None
        self.passed = 0

    async def listen(self, address: str) -> None:
        """Binds `ip:port`."""
        ip, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    def close(self) -> None:
        """Stops; what is on its way is lost."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Takes the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Passes a datagram on after its time."""
        del addr
        self.passed += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self._distance_s, self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, self._target)
