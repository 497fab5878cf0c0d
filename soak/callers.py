"""Callers that reuse connections and record the result of each request."""

import asyncio
import random
import time
import uuid

from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from soak.checks import SentRequest

RESPONSE_TIMEOUT_S = 4.0
DEADLINE_MS = 3000
MEAN_INTERVAL_S = 0.03
KEY_COUNT = 30


class Caller:
    """Sends requests to randomly chosen gateways on reused connections.

    Attributes:
      sent: every request that was sent, with its result.
      gateway_by_request: name of the gateway that got a request, by its id.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Makes a caller.

        Args:
          rng: random number generator of this caller.
        """
        self._rng = rng
        self.sent: list[SentRequest] = []
        self.gateway_by_request: dict[str, str] = {}

    async def run(
        self, addresses: dict[str, str], prefixes: list[str], until_s: float
    ) -> None:
        """Sends requests until a given time.

        Args:
          addresses: address for callers of each gateway; may change meanwhile.
          prefixes: path prefixes to request; may grow meanwhile.
          until_s: when to end, in seconds of the monotonic clock.
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
        """Sends one request; returns whether the connection stays usable."""
        prefix = self._rng.choice(prefixes)
        key = str(self._rng.randrange(KEY_COUNT))
        idempotent = not prefix.startswith("/unsafe")
        outgoing = EmulatedRequest(
            request=uuid.uuid4().hex[:16],
            path=f"{prefix}{key}",
            key=key,
            deadline_ms=DEADLINE_MS,
            body=b"" if idempotent else b"x" * self._rng.randrange(1, 3000),
        )
        sent_s = time.monotonic()
        response = None
        try:
            writer.write(encode_request(outgoing))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await read_response(reader)
        except (OSError, EOFError, ValueError, TimeoutError):
            response = None
        self.gateway_by_request[outgoing.request] = name
        self.sent.append(
            SentRequest(
                request=outgoing.request,
                path=outgoing.path,
                idempotent=idempotent,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                status=response.status if response else 0,
                seal=response.seal if response else "",
                complete=response is not None
                and response.is_complete(outgoing.request),
            )
        )
        return response is not None and response.keeps_alive
