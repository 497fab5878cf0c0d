"""Calls, and what the front doors need from the rest of an entry."""

import abc
from typing import NamedTuple

from tornado import httputil

from almondstair.answers import ConnectionAnswer
from almondstair.body import RequestBody
from almondstair.core.model import Configuration
from almondstair.core.requests import RequestHead
from almondstair.core.requests import RequestProgress
from almondstair.lookups import LookupBody


class Call(NamedTuple):
    """One request under way.

    Attributes:
      head: what it asks for.
      headers: its end-to-end headers.
      body: its body, perhaps still arriving.
      answer: where its answer goes.
      progress: whether it may still be dispatched.
      traceparent: W3C trace header, or empty.
      caller_zone: availability zone of the entry that the caller asked.
      from_entry: whether another entry sent it.
      body_bytes: size of its body by its head, 0 if that does not say.
      alone: whether it is to run where nothing else runs.
    """

    head: RequestHead
    headers: httputil.HTTPHeaders
    body: RequestBody
    answer: ConnectionAnswer
    progress: RequestProgress
    traceparent: str
    caller_zone: str
    from_entry: bool
    body_bytes: int = 0
    alone: bool = False


class CallHandler(abc.ABC):
    """What the front doors need from the rest of an entry."""

    @abc.abstractmethod
    def configuration(self) -> Configuration:
        """Returns the configuration in force."""

    @abc.abstractmethod
    async def handle(self, call: Call) -> None:
        """Answers a call; raises only for faults inside."""

    @abc.abstractmethod
    def lookup(self, *, service: str, caller_ip: str) -> LookupBody:
        """Returns the body of a look-up; raises `unknown_service`."""

    @abc.abstractmethod
    def leaving(self) -> bool:
        """Whether connections should be closed after their answer."""

    @abc.abstractmethod
    def refusing(self) -> bool:
        """Whether new requests are refused."""
