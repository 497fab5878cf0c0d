"""Calls, and the interface between HTTP listeners and call handling."""

import abc
from typing import NamedTuple

from tornado import httputil

from almondstair.body import RequestBody
from almondstair.core.model import Configuration
from almondstair.core.requests import RequestHead
from almondstair.core.requests import RequestProgress
from almondstair.lookups import LookupBody
from almondstair.responses import ConnectionResponse


class Call(NamedTuple):
    """Holds one request in flight.

    Attributes:
      head: service, class, method, path, key and deadline.
      headers: the end-to-end headers.
      body: the body, possibly still being received.
      response: receives the response.
      progress: whether the request may still be dispatched.
      traceparent: W3C trace header, or empty.
      caller_zone: availability zone of the entry that the caller connected to.
      from_entry: whether another entry forwarded the request.
      body_bytes: Content-Length of the body, 0 if it is not known.
      isolated: whether the request must run on an upstream without other work.
    """

    head: RequestHead
    headers: httputil.HTTPHeaders
    body: RequestBody
    response: ConnectionResponse
    progress: RequestProgress
    traceparent: str
    caller_zone: str
    from_entry: bool
    body_bytes: int = 0
    isolated: bool = False


class CallHandler(abc.ABC):
    """Handles the requests that an entry's HTTP listeners receive."""

    @abc.abstractmethod
    def configuration(self) -> Configuration:
        """Returns the configuration in force."""

    @abc.abstractmethod
    async def handle(self, call: Call) -> None:
        """Responds to a call; raises only on internal errors."""

    @abc.abstractmethod
    def lookup(self, *, service: str, caller_ip: str) -> LookupBody:
        """Returns the body of a look-up response.

        Raises:
          AlmondstairError: `unknown_service`, `no_upstream`, or
            `platform_unavailable` before the first configuration is in force.
        """

    @abc.abstractmethod
    def is_leaving(self) -> bool:
        """Returns whether connections are closed after their response."""

    @abc.abstractmethod
    def is_refusing(self) -> bool:
        """Returns whether new requests are refused."""
