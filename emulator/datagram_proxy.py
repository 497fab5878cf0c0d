"""A UDP proxy with a delay, for the load reports between gateways."""

import asyncio
from typing import Any


class DatagramProxy(asyncio.DatagramProtocol):
    """Forwards datagrams to a target after a delay.

    Attributes:
      received_count: number of datagrams received so far.
    """

    def __init__(self, *, target: str, delay_s: float) -> None:
        """Creates a proxy that is not listening yet.

        Args:
          target: destination `ip:port`.
          delay_s: one-way delay of each datagram, in seconds.
        """
        ip, _, port = target.rpartition(":")
        self._target = (ip, int(port))
        self._delay_s = delay_s
        self._transport: asyncio.DatagramTransport | None = None
        self.received_count = 0

    async def listen(self, address: str) -> None:
        """Binds `ip:port`."""
        ip, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    def close(self) -> None:
        """Closes the socket; delayed datagrams are dropped."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Schedules a datagram to be forwarded after the delay."""
        del addr
        self.received_count += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_s, self._send, data)

    def _send(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, self._target)
