"""A loopback TCP proxy that adds delay and connection faults."""

import asyncio
from collections import deque
import enum
import socket
import time

CHUNK_BYTES = 65536
# Maximum wait for reset connections to close; normally they take a few
# iterations of the event loop.
CLOSE_LIMIT_S = 1.0
# Connections that fill the queue of a listening socket with a backlog of 0.
_FILLING_CONNECTIONS = 2


class ProxyFault(enum.StrEnum):
    """Faults that the proxy applies to its connections.

    Attributes:
      NONE: no fault.
      DELAY: bytes arrive later.
      RESET: open and new connections are reset.
      SILENCE: new connections are accepted, and no byte passes.
      ONE_WAY: the same, but bytes to the target pass.
      HANG: new connections are not answered, and open ones are silent.
      REFUSE: new connections are refused, and open ones live on.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    HANG = "hang"
    REFUSE = "refuse"


# Faults under which connections of before cannot be used after their end.
_LOSING_FAULTS = (ProxyFault.SILENCE, ProxyFault.ONE_WAY, ProxyFault.HANG)


class FaultProxy:
    """Forwards TCP connections to a target, with delays and faults.

    Attributes:
      fault: the current fault.
      delay_s: additional one-way delay under `DELAY`, in seconds.
    """

    def __init__(self, *, target: str, distance_s: float = 0.0) -> None:
        """Creates a proxy that is not listening yet.

        Args:
          target: destination `ip:port`.
          distance_s: one-way delay that always applies, in seconds.
        """
        self._target = target
        self._distance_s = distance_s
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self._address = ("", 0)
        self._server: asyncio.Server | None = None
        self._full_sockets: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Binds `ip:port`."""
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        await self._start_listening()

    async def _start_listening(self) -> None:
        ip, port = self._address
        self._server = await asyncio.start_server(self._accept, ip, port)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for each in self._full_sockets:
            each.close()
        self._full_sockets.clear()

    def _listen_without_room(self) -> None:
        """Listens with a full queue, so that the kernel answers no connect."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(self._address)
        listening.listen(0)
        self._full_sockets.append(listening)
        for _ in range(_FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex(self._address)
            self._full_sockets.append(filling)

    async def cut(self, fault: ProxyFault) -> None:
        """Applies a fault to open connections and to new ones."""
        self.set_fault(fault)
        if fault in (ProxyFault.HANG, ProxyFault.REFUSE):
            self._stop_listening()
        if fault is ProxyFault.HANG:
            self._listen_without_room()

    async def heal(self) -> None:
        """Ends a fault; connections that have lost bytes are reset."""
        if self.fault in _LOSING_FAULTS:
            self.reset_all()
        self.fault = ProxyFault.NONE
        if self._server is None:
            self._stop_listening()
            await self._start_listening()

    async def close(self) -> None:
        """Stops listening and resets every connection."""
        self._stop_listening()
        self.reset_all()
        until_s = time.monotonic() + CLOSE_LIMIT_S
        while self._writers and time.monotonic() < until_s:
            await asyncio.sleep(0)

    def reset_all(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_fault(self, fault: ProxyFault, delay_s: float = 0.0) -> None:
        """Sets the fault; `RESET` also resets open connections."""
        self.fault = fault
        self.delay_s = delay_s
        if fault is ProxyFault.RESET:
            self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is ProxyFault.RESET:
            writer.transport.abort()
            return
        ip, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        to_target = self._forward(reader, target_writer, from_target=False)
        from_target = self._forward(target_reader, writer, from_target=True)
        try:
            await asyncio.gather(to_target, from_target)
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        delayed_writer = _DelayedWriter(writer=writer)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault in (ProxyFault.SILENCE, ProxyFault.HANG):
                    continue
                if self.fault is ProxyFault.ONE_WAY and from_target:
                    continue
                await delayed_writer.write(
                    data, delay_s=self._current_delay_s()
                )
            delayed_writer.close(delay_s=self._current_delay_s())
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()

    def _current_delay_s(self) -> float:
        if self.fault is ProxyFault.DELAY:
            return self._distance_s + self.delay_s
        return self._distance_s


class _DelayedWriter:
    """Writes chunks in order, each after its delay."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._due: deque[tuple[float, bytes]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False

    async def write(self, data: bytes, *, delay_s: float) -> None:
        if not delay_s and not self._due:
            self._writer.write(data)
            await self._writer.drain()
            return
        self._enqueue(data, delay_s)

    def close(self, *, delay_s: float) -> None:
        self._closing = True
        self._enqueue(b"", delay_s)

    def _enqueue(self, data: bytes, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._due.append((loop.time() + delay_s, data))
        if self._timer is None:
            self._timer = loop.call_later(delay_s, self._send_due)

    def _send_due(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = None
        while self._due and self._due[0][0] <= loop.time():
            _, data = self._due.popleft()
            self._writer.write(data)
        if self._due:
            self._timer = loop.call_at(self._due[0][0], self._send_due)
        elif self._closing:
            self._writer.close()
