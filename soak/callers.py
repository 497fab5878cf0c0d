"""Callers that keep their connections and record what they see."""

import asyncio
import random
import time
import uuid

from emulator.caller_wire import Ask
from emulator.caller_wire import read_reply
from emulator.caller_wire import write_ask
from soak.checks import Sent

RESPONSE_TIMEOUT_S = 4.0
DEADLINE_MS = 3000
MEAN_INTERVAL_S = 0.03
KEY_COUNT = 30


class Caller:
    """Sends requests on kept connections to gateways in turn.

    Attributes:
      sent: everything that was sent.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Makes a caller.

        Args:
          chance: its own dice.
        """
        self._rng = rng
        self.sent: list[Sent] = []
        self.gateway_by_request: dict[str, str] = {}

    async def run(
        self, addresses: dict[str, str], prefixes: list[str], until_s: float
    ) -> None:
        """Sends until a time.

        Args:
          addresses: callers' address of each gateway; may change.
          prefixes: paths that may be asked; may grow.
          until_s: when to end, monotonic seconds.
        """
        while time.monotonic() < until_s:
            name = self._rng.choice(sorted(addresses))
            ip, _, port = addresses[name].rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1.0
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(MEAN_INTERVAL_S)
                continue
            await self._send_on_connection(
                name, reader, writer, prefixes, until_s
            )
            writer.close()

    async def _send_on_connection(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        prefixes: list[str],
        until_s: float,
    ) -> None:
        for _ in range(self._rng.randrange(1, 60)):
            if time.monotonic() >= until_s:
                return
            if not await self._exchange(name, reader, writer, prefixes):
                return
            await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_INTERVAL_S))

    async def _exchange(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        prefixes: list[str],
    ) -> bool:
        """Sends one request; returns whether the connection goes on."""
        prefix = self._rng.choice(prefixes)
        key = str(self._rng.randrange(KEY_COUNT))
        repeatable = not prefix.startswith("/unsafe")
        ask = Ask(
            request=uuid.uuid4().hex[:16],
            path=f"{prefix}{key}",
            key=key,
            deadline_ms=DEADLINE_MS,
            body=b"" if repeatable else b"x" * self._rng.randrange(1, 3000),
        )
        sent_s = time.monotonic()
        reply = None
        try:
            writer.write(write_ask(ask))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                reply = await read_reply(reader)
        except (OSError, EOFError, ValueError, TimeoutError):
            reply = None
        self.gateway_by_request[ask.request] = name
        self.sent.append(
            Sent(
                request=ask.request,
                path=ask.path,
                repeatable=repeatable,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                status=reply.status if reply else 0,
                seal=reply.seal if reply else "",
                whole=reply is not None and reply.whole(ask.request),
            )
        )
        return reply is not None and reply.goes_on
