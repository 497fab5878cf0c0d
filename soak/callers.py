"""Callers that reuse connections and record the result of each request."""

import asyncio
import random
import time
import uuid

from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import EmulatedResponse
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from soak.checks import SentRequest

RESPONSE_TIMEOUT_S = 4.0
DEADLINE_MS = 3000
MEAN_INTERVAL_S = 0.03
KEY_COUNT = 30
# Responses to requests whose path starts with this are larger than a gateway
# buffers; the prefix belongs to the route of safe requests.
LARGE_PREFIX = "/safe/large"
LARGE_BYTES = 400_000
# Deadlines of requests behind others, in milliseconds; with the short ones
# their responses are late before their turn.
DEADLINES_AHEAD_MS = (20, 60, 150, DEADLINE_MS)
MAX_AHEAD = 4


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
        self.sent.append(_sent_request(outgoing, sent_s, response))
        return response is not None and response.keeps_alive


class CallerSendingAhead(Caller):
    """Sends several requests together, the first of them a small one.

    Attributes:
      first: the first request of each group, with its result.
    """

    def __init__(self, *, rng: random.Random) -> None:
        """Makes a caller; see the base class."""
        super().__init__(rng=rng)
        self.first: list[SentRequest] = []

    async def _exchange(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        prefixes: list[str],
    ) -> bool:
        """Sends a group; returns whether the connection stays usable."""
        group = [self._request("/safe/", DEADLINE_MS)]
        for _ in range(self._rng.randrange(1, MAX_AHEAD)):
            prefix = self._rng.choice((LARGE_PREFIX, "/safe/"))
            group.append(
                self._request(prefix, self._rng.choice(DEADLINES_AHEAD_MS))
            )
        sent_s = time.monotonic()
        writer.write(b"".join(map(encode_request, group)))
        usable = True
        for position, outgoing in enumerate(group):
            # Behind a response that closes the connection nothing is read.
            read = usable
            response = await self._read(reader) if usable else None
            usable = response is not None and response.keeps_alive
            self.gateway_by_request[outgoing.request] = name
            sent = _sent_request(outgoing, sent_s, response)._replace(read=read)
            self.sent.append(sent)
            if position == 0:
                self.first.append(sent)
        return usable

    def _request(self, prefix: str, deadline_ms: int) -> EmulatedRequest:
        key = str(self._rng.randrange(KEY_COUNT))
        return EmulatedRequest(
            request=uuid.uuid4().hex[:16],
            path=f"{prefix}{key}",
            key=key,
            deadline_ms=deadline_ms,
        )

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> EmulatedResponse | None:
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await read_response(reader)
        except (OSError, EOFError, ValueError, TimeoutError):
            return None


def _sent_request(
    outgoing: EmulatedRequest,
    sent_s: float,
    response: EmulatedResponse | None,
) -> SentRequest:
    """Returns a request with its result, as the checks read it."""
    return SentRequest(
        request=outgoing.request,
        path=outgoing.path,
        idempotent=not outgoing.body,
        sent_s=sent_s,
        ended_s=time.monotonic(),
        status=response.status if response else 0,
        seal=response.seal if response else "",
        complete=response is not None and _is_complete(outgoing, response),
    )


def _is_complete(outgoing: EmulatedRequest, response: EmulatedResponse) -> bool:
    if not outgoing.path.startswith(LARGE_PREFIX):
        return response.is_complete(outgoing.request)
    small = response._replace(body=response.body.rstrip(b"."))
    # An upstream that has just started has no large responses yet.
    sizes_bytes = (LARGE_BYTES, len(small.body))
    return (
        small.is_complete(outgoing.request)
        and len(response.body) in sizes_bytes
    )
