"""Callers that keep their connections and record what they see."""

import asyncio
import random
import time
import uuid

from emulator.documents import HOST
from soak.checks import Sent

ANSWER_TIMEOUT_S = 4.0
PAUSE_S = 0.03
KEYS = 30


class Caller:
    """Sends requests on kept connections to gateways in turn.

    Attributes:
      sent: everything that was sent.
    """

    def __init__(self, *, chance: random.Random) -> None:
        """Makes a caller.

        Args:
          chance: its own dice.
        """
        self._chance = chance
        self.sent: list[Sent] = []
        self.gateway_of: dict[str, str] = {}

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
            name = self._chance.choice(sorted(addresses))
            ip, _, port = addresses[name].rpartition(":")
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1.0
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_S)
                continue
            await self._use(name, reader, writer, prefixes, until_s)
            writer.close()

    async def _use(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        prefixes: list[str],
        until_s: float,
    ) -> None:
        for _ in range(self._chance.randrange(1, 60)):
            if time.monotonic() >= until_s:
                return
            if not await self._exchange(name, reader, writer, prefixes):
                return
            await asyncio.sleep(self._chance.uniform(0, 2 * PAUSE_S))

    async def _exchange(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        prefixes: list[str],
    ) -> bool:
        """Sends one request; returns whether the connection goes on."""
        prefix = self._chance.choice(prefixes)
        path = f"{prefix}{self._chance.randrange(KEYS)}"
        request = uuid.uuid4().hex[:16]
        repeatable = not prefix.startswith("/unsafe")
        body = b"" if repeatable else b"x" * self._chance.randrange(1, 3000)
        sent_s = time.monotonic()
        status, seal, whole, goes_on = 0, "", False, False
        try:
            writer.write(_message(request, path, repeatable, body))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, headers = await _read_head(reader)
                data = await _read_body(reader, headers)
            seal = headers.get("x-almondstair-response-seal", "")
            whole = data == f"answer to {request}\n".encode() * 8
            goes_on = headers.get("connection", "") != "close"
        except (OSError, EOFError, ValueError, TimeoutError):
            goes_on = False
        self.gateway_of[request] = name
        self.sent.append(
            Sent(
                request=request,
                path=path,
                repeatable=repeatable,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                status=status,
                seal=seal,
                whole=whole,
            )
        )
        return goes_on


def _message(request: str, path: str, repeatable: bool, body: bytes) -> bytes:
    method = "GET" if repeatable else "POST"
    key = path.rpartition("/")[2]
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Almondstair-Request-Id: {request}\r\n"
        f"X-Almondstair-Affinity-Key: {key}\r\n"
        "X-Almondstair-Deadline-Ms: 3000\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(lines[0].split()[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body
