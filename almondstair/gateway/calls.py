"""A request under way, and what a try at an upstream came to."""

import enum
from typing import NamedTuple

from almondstair.clock import now_s
from almondstair.core.crash_suspects import fingerprint
from almondstair.core.placing import Asked
from almondstair.core.routing import Route
from almondstair.gateway.http_wire import Headers
from almondstair.gateway.http_wire import ReplyHead
from almondstair.gateway.http_wire import passed_on
from almondstair.gateway.http_wire import write_head
from almondstair.gateway.incoming import IncomingRequest
from almondstair.gateway.upstream_connection import Exchange
from almondstair.platform import headers as names

# Deadline where a caller states none, in seconds.
DEFAULT_DEADLINE_S = 30.0
_OWN_REQUEST_HEADERS = frozenset((names.DEADLINE, names.EXPECTED_UPSTREAM))
_OWN_REPLY_HEADERS = frozenset((names.LOAD, names.COLD_LEFT, names.NOT_RUN))


class Verdict(enum.StrEnum):
    """What a try at an upstream came to.

    Attributes:
      ANSWERED: its answer goes to the caller.
      NOT_RUN: it certainly did not run the request.
      UNKNOWN: it may have run it, and there is no whole answer.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Try(NamedTuple):
    """One try at an upstream.

    Attributes:
      verdict: what it came to.
      exchange: what came back.
      cause: why there is no answer, for logs and errors.
    """

    verdict: Verdict
    exchange: Exchange
    cause: str = ""


class Call:
    """A request under way.

    Attributes:
      request: the caller's request.
      request_id: its id.
      route: its route.
      service: the service that takes it.
      deadline_s: when its caller or the operator gives up on it.
      tried: upstreams that were asked.
      attempts: upstreams that had it; another incarnation at an upstream's
        address had it not.
      may_have_run: whether an upstream may have run it.
      exposed: upstreams that it may have ended, as of its last choice.
      held_back: regions that got none of it at its last choice, because
        requests change their region step by step.
    """

    def __init__(
        self, *, request: IncomingRequest, route: Route, service: str
    ) -> None:
        """Makes a call from a request whose head has been read."""
        self.request = request
        self.route = route
        self.service = service
        self.request_id = request.header(names.REQUEST_ID) or b""
        caller_s = DEFAULT_DEADLINE_S
        stated = request.header(names.DEADLINE)
        if stated is not None:
            caller_s = names.read_milliseconds(stated) or DEFAULT_DEADLINE_S
        self.deadline_s = request.arrived_s + min(caller_s, route.timeout_s)
        self.tried: list[str] = []
        self.attempts = 0
        self.may_have_run = False
        self.exposed: frozenset[int] = frozenset()
        self.held_back: frozenset[str] = frozenset()
        self._fingerprint: int | None = None

    @property
    def key(self) -> str:
        """Returns the key by which the request is placed."""
        key = self.request.header(names.KEY)
        if key is None or not self.route.by_key:
            return self.request_id.decode("latin-1")
        return key.decode("latin-1")

    @property
    def resent_key(self) -> str:
        """Returns the key that all resends of the request have in common."""
        if self.route.by_key and self.request.header(names.KEY) is not None:
            return self.key
        return f"{self.fingerprint():x}"

    @property
    def text_id(self) -> str:
        """Returns the request's id for logs."""
        return self.request_id.decode("latin-1", "replace")

    def asked(self) -> Asked:
        """Returns what decides where the call goes."""
        return Asked(
            route=self.route,
            service=self.service,
            key=self.resent_key if self.exposed else self.key,
            arrived_s=self.request.arrived_s,
            ends_s=self.deadline_s,
            tried=self.tried,
            exposed=self.exposed,
        )

    def left_s(self) -> float:
        """Returns the time left, in seconds."""
        return self.deadline_s - now_s()

    def fingerprint(self) -> int:
        """Returns what tells it from others whose caller sends it again."""
        if self._fingerprint is None:
            body = self.request.body
            self._fingerprint = fingerprint(
                method=self.request.method,
                target=self.request.target,
                body=body.digest().encode(),
            )
        return self._fingerprint

    def age_ms(self) -> int:
        """Returns how long ago it arrived, in milliseconds."""
        return round((now_s() - self.request.arrived_s) * 1000)


def request_head(call: Call, *, upstream_id: str, chunked: bool) -> bytes:
    """Returns the head of a call's request as an upstream gets it.

    Args:
      call: the call.
      upstream_id: the incarnation that it is meant for.
      chunked: whether the body is sent in chunks.
    """
    request = call.request
    headers: Headers = passed_on(request.headers, without=_OWN_REQUEST_HEADERS)
    left_ms = max(1, int(call.left_s() * 1000))
    headers.append((names.DEADLINE, b"%d" % left_ms))
    headers.append((names.EXPECTED_UPSTREAM, upstream_id.encode()))
    if chunked:
        headers.append((b"transfer-encoding", b"chunked"))
    elif request.length != 0:
        size_bytes = request.length
        if request.body.replayable:
            size_bytes = request.body.size_bytes
        headers.append((b"content-length", b"%d" % (size_bytes or 0)))
    elif request.header(b"content-length") is not None:
        headers.append((b"content-length", b"0"))
    first_line = f"{request.method} {request.target} HTTP/1.1"
    return write_head(first_line.encode("latin-1"), headers)


def reply_head(head: ReplyHead) -> ReplyHead:
    """Returns the head of an upstream's answer as the caller gets it."""
    return ReplyHead(
        status=head.status,
        headers=passed_on(head.headers, without=_OWN_REPLY_HEADERS),
    )
