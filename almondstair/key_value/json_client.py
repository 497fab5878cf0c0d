"""Single HTTP calls to the platform, sent once each.

A failed call reports whether it may have taken effect.
"""

import asyncio
from typing import TypeVar
import urllib.parse

import msgspec
from tornado import httputil
from tornado.iostream import IOStream

from almondstair.body import RequestBody
from almondstair.http_client import Exchange
from almondstair.http_client import ExchangeOutcome
from almondstair.http_client import HttpClient
from almondstair.http_client import ResponseSink
from almondstair.http_messages import ResponseHead
from almondstair.key_value import base

MAX_CALLS = 32
"""Maximum concurrent calls; further ones wait within their timeout."""

MIN_CALL_S = 0.02
"""Minimum time left for a call; with less left, it is not sent."""

MAX_RESPONSE_BYTES = 16 << 20
_HTTP_OK = 200
_NOT_APPLIED_STATUSES = (400, 401, 403, 404, 429)

T = TypeVar("T")


def _no_refusal(head: ResponseHead) -> str:
    """Treats no response of the platform as an upstream's refusal."""
    del head
    return ""


class _BufferedResponse(ResponseSink):
    """Buffers a complete response."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()

    def receive_head(self, head: ResponseHead) -> None:
        self.status = head.status

    async def receive_data(self, chunk: bytes) -> None:
        if len(self.body) + len(chunk) > MAX_RESPONSE_BYTES:
            raise OSError("the answer is too large")
        self.body += chunk


class JsonClient:
    """Sends single calls and classifies their failures.

    If no byte of a call was written, the service cannot have applied it.
    Without this distinction an outage would make every refused claim
    `unknown`. Connections are kept alive: a new one for each call took most of
    the CPU time of a claim. A write on a connection that the service has just
    closed is lost and `unknown`; it is not sent again.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Initializes; connections are opened on demand.

        Args:
          url: `http://ip:port`, optionally with a base path.
          timeout_s: timeout of a call in seconds, including the wait for a
            free call slot.
        """
        parts = urllib.parse.urlsplit(url)
        self._address = parts.netloc
        self._path = parts.path.rstrip("/")
        self._timeout_s = timeout_s
        self._call_slots = asyncio.Semaphore(MAX_CALLS)
        self._client = HttpClient(connect_timeout_s=timeout_s)

    def close(self) -> None:
        """Closes the client."""
        self._client.close()

    async def call(
        self,
        *,
        path: str,
        body: bytes | None,
        writes: bool,
        response_type: type[T],
    ) -> T:
        """Sends a POST with a body, or a GET without one.

        Args:
          path: path relative to the URL.
          body: JSON, or None for a GET.
          writes: whether the call changes data.
          response_type: type of the response body.

        Returns:
          The decoded response body.

        Raises:
          PlatformError: if no usable response arrived.
        """
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        try:
            # A call sent too late would only time out as `unknown`.
            async with asyncio.timeout_at(deadline_s - MIN_CALL_S):
                await self._call_slots.acquire()
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE,
                detail="too many calls to the platform are under way",
            ) from error
        try:
            response = await self._fetch(path, body, writes, deadline_s)
        finally:
            self._call_slots.release()
        return self._decode(response, writes, response_type)

    async def _fetch(
        self, path: str, body: bytes | None, writes: bool, deadline_s: float
    ) -> _BufferedResponse:
        written = False
        response = _BufferedResponse()
        problem = "the connection was lost"
        try:
            async with asyncio.timeout_at(deadline_s):
                stream = await self._client.connect(self._address, fresh=writes)
                written = True
                exchange = await self._exchange(stream, path, body, response)
            if exchange.outcome is ExchangeOutcome.COMPLETE:
                return response
            written = exchange.outcome is not ExchangeOutcome.NOT_SENT
        except OSError as error:
            problem = str(error) or "no answer in time"
        failure = base.PlatformFailure.UNAVAILABLE
        if written and writes:
            failure = base.PlatformFailure.UNKNOWN
        raise base.PlatformError(
            failure=failure, detail=f"the platform: {problem}"
        )

    async def _exchange(
        self,
        stream: IOStream,
        path: str,
        body: bytes | None,
        response: _BufferedResponse,
    ) -> Exchange:
        method = "GET" if body is None else "POST"
        request_body = RequestBody()
        request_body.put(body or b"")
        request_body.end()
        headers = httputil.HTTPHeaders({"Host": self._address})
        if body is not None:
            headers["Content-Type"] = "application/json"
        return await self._client.exchange(
            address=self._address,
            stream=stream,
            start_line=httputil.RequestStartLine(
                method, self._path + path or "/", "HTTP/1.1"
            ),
            headers=headers,
            body=request_body,
            sink=response,
            refusal=_no_refusal,
        )

    def _decode(
        self, response: _BufferedResponse, writes: bool, response_type: type[T]
    ) -> T:
        if response.status in _NOT_APPLIED_STATUSES:
            raise base.PlatformError(
                failure=base.PlatformFailure.REFUSED,
                detail=f"the platform answered {response.status}",
            )
        failure = base.PlatformFailure.UNAVAILABLE
        if writes:
            # A gateway also returns 503 or 504 if the service behind it was too
            # slow to confirm that it applied the write.
            failure = base.PlatformFailure.UNKNOWN
        if response.status != _HTTP_OK:
            raise base.PlatformError(
                failure=failure,
                detail=f"the platform answered {response.status}",
            )
        try:
            return msgspec.json.decode(response.body, type=response_type)
        except msgspec.MsgspecError as error:
            raise base.PlatformError(
                failure=failure, detail=f"the platform's answer: {error}"
            ) from error
