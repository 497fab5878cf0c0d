"""A loopback TCP proxy that harms the connections through it."""

import asyncio
import enum

CHUNK_BYTES = 65536


class Harm(enum.StrEnum):
    """What the proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"


class HarmfulProxy:
    """Passes bytes on to a target, or not.

    Attributes:
      harm: what is done now.
      delay_s: time added each way under `DELAY`, in seconds.
    """

    def __init__(self, *, target: str) -> None:
        """Makes a proxy to `ip:port`."""
        self._target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Binds `ip:port`."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))

    async def close(self) -> None:
        """Stops and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_harm(self, harm: Harm, delay_s: float = 0.0) -> None:
        """Changes what is done from now on."""
        self.harm = harm
        self.delay_s = delay_s
        if harm is Harm.RESET:
            self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        ip, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        forth = self._pump(reader, far_writer, back=False)
        back = self._pump(far_reader, writer, back=True)
        try:
            await asyncio.gather(forth, back)
        finally:
            self._writers -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.harm is Harm.SILENCE:
                    continue
                if self.harm is Harm.ONE_WAY and back:
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
