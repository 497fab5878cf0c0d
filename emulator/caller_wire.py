"""Requests and responses as callers encode and decode them."""

import asyncio
from typing import NamedTuple

from emulator.documents import HOST


class EmulatedRequest(NamedTuple):
    """A request as its caller sends it.

    Attributes:
      request: request id.
      path: path of the URL.
      key: affinity key.
      deadline_ms: how long the caller waits, in milliseconds.
      body: body of a POST; empty for a GET.
    """

    request: str
    path: str
    key: str
    deadline_ms: int
    body: bytes = b""


class EmulatedResponse(NamedTuple):
    """A response as its caller reads it.

    Attributes:
      status: HTTP status.
      headers: header values by lower-case name.
      body: decoded body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def seal(self) -> str:
        """Returns the upstream's seal, empty if there is none."""
        return self.headers.get("x-almondstair-response-seal", "")

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection accepts another request."""
        return self.headers.get("connection", "") != "close"

    @property
    def retry_after_s(self) -> float:
        """Returns after how many seconds to return, 0 if it does not say."""
        return float(self.headers.get("retry-after", "0"))

    def is_complete(self, request: str) -> bool:
        """Whether the body is complete, as an emulated upstream sends it."""
        return self.body == f"answer to {request}\n".encode() * 8


def encode_request(request: EmulatedRequest) -> bytes:
    """Returns a request as HTTP/1.1 bytes."""
    method = "POST" if request.body else "GET"
    head = (
        f"{method} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Almondstair-Request-Id: {request.request}\r\n"
        f"X-Almondstair-Affinity-Key: {request.key}\r\n"
        f"X-Almondstair-Deadline-Ms: {request.deadline_ms}\r\n"
    )
    if request.body:
        head += f"Content-Length: {len(request.body)}\r\n"
    return head.encode() + b"\r\n" + request.body


async def read_response(reader: asyncio.StreamReader) -> EmulatedResponse:
    """Reads a response.

    Raises:
      EOFError: the connection closed before the response was complete.
      ValueError: the bytes are not an HTTP response.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await _read_body(reader, headers)
    return EmulatedResponse(
        status=int(lines[0].split()[1]), headers=headers, body=body
    )


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
