"""Requests in flight, and the outcomes of attempts at upstreams."""

import enum
from typing import NamedTuple

from almondstair.clock import now_s
from almondstair.core.crash_suspects import fingerprint
from almondstair.core.organisations import Organisation
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.routing import Route
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.gateway import relay_messages
from almondstair.gateway.caller_request import CallerRequest
from almondstair.gateway.http_encoding import Headers
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.http_encoding import encode_head
from almondstair.gateway.http_encoding import forwarded_headers
from almondstair.gateway.relay_messages import RelayedRequest
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.gateway.upstream_connection import UpstreamResponseSink
from almondstair.platform import headers as names

# Deadline of requests without a Deadline-Ms header.
DEFAULT_DEADLINE_S = 30.0
_OWN_REQUEST_HEADERS = relay_messages.HEADERS | {
    names.DEADLINE,
    names.EXPECTED_UPSTREAM,
    names.ORGANISATION,
}
_KEY_HEADERS = _OWN_REQUEST_HEADERS | {names.AUTHORIZATION}
_OWN_REPLY_HEADERS = relay_messages.HEADERS | {
    names.LOAD,
    names.COLD_LEFT,
    names.NOT_RUN,
    names.RATE_LIMIT,
    names.LEAVING,
}


class AttemptVerdict(enum.StrEnum):
    """Outcome of an attempt at an upstream.

    Attributes:
      ANSWERED: the upstream's response goes to the caller.
      NOT_RUN: the upstream certainly did not run the request.
      UNKNOWN: the upstream may have run the request, and there is no usable
        response.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptResult(NamedTuple):
    """Result of one attempt at an upstream.

    Attributes:
      verdict: its outcome.
      exchange: result of the HTTP exchange.
      cause: why there is no response, for logs and errors.
    """

    verdict: AttemptVerdict
    exchange: UpstreamExchange
    cause: str = ""


class ForwardedCall:
    """A request in flight.

    Attributes:
      request: the caller's request.
      request_id: its id.
      route: its route.
      service: the service that handles it.
      organisation: the caller's organisation, if any.
      hides_key: whether a key of the caller stays at the entry.
      deadline_s: when it times out, on the entry's clock: at the caller's
        deadline or after the route's timeout, whichever is earlier.
      tried: ids of the upstreams that it was sent to.
      limit_refusals: upstreams whose limits refused it.
      attempts: number of upstreams that received it; another incarnation at
        an upstream's address does not count.
      may_have_run: whether an upstream may have run it.
      possibly_crashed: hashes of the upstreams that it may have crashed, as
        of its last placement.
      excluded_regions: regions excluded at its last placement because traffic
        is shifted between regions gradually.
      relayed: what the entry tells that relays it; None if its caller reached
        this entry.
      avoided: ids of upstreams that asked the entry for rest that relays it.
      caller_deadline_s: when its caller gives up, on the entry's clock.
      stated_s: how long its caller waits, as it states, in seconds; None if it
        does not.
      caller_age_s: how long its caller certainly waited before this attempt, in
        seconds.
      has_returned: whether its caller is certain to have returned after a
        refusal, while the part Return is active.
      return_basis: what its return time rests on, for logs; empty if it was
        not refused for lack of capacity.
      max_queue_runs: longest queue that it joins at an upstream, in mean run
        times of its service; None if its latency target decides.
      leaves_regions: whether it leaves slots of a region to requests that are
        confined to it.
      wait_end: why its last wait for a slot ended without one, for logs.
      lost_relays: number of other entries whose response to it was lost.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        route: Route,
        service: str,
        organisation: Organisation | None = None,
        hides_key: bool = False,
        relayed: RelayedRequest | None = None,
    ) -> None:
        """Creates a call from a request whose head has been read."""
        self.request = request
        self.route = route
        self.service = service
        self.organisation = organisation
        self.hides_key = hides_key
        self.request_id = request.header(names.REQUEST_ID) or b""
        self.stated_s: float | None = None
        stated = request.header(names.DEADLINE)
        if stated is not None:
            self.stated_s = names.parse_milliseconds(stated) or None
        caller_s = self.stated_s or DEFAULT_DEADLINE_S
        self.caller_deadline_s = request.arrived_s + caller_s
        self.deadline_s = request.arrived_s + min(caller_s, route.timeout_s)
        self.caller_age_s = 0.0
        self.has_returned = False
        self.return_basis = ""
        self.max_queue_runs: float | None = None
        self.leaves_regions = False
        self.wait_end = ""
        self.relayed = relayed
        self.tried: list[str] = []
        self.limit_refusals = LimitRefusals()
        self.attempts = 0
        self.avoided: tuple[str, ...] = ()
        self.lost_relays = 0
        self.may_have_run = False
        self.possibly_crashed: frozenset[int] = frozenset()
        self.excluded_regions: frozenset[str] = frozenset()
        self._fingerprint: int | None = None
        self._tried_before = 0
        if relayed is not None:
            self.tried.extend(relayed.tried)
            self.attempts = relayed.attempts
            self._fingerprint = relayed.fingerprint
            self._tried_before = len(relayed.tried)
            self.avoided = relayed.resting

    @property
    def is_retry(self) -> bool:
        """Whether its next attempt is a retry of this entry."""
        return len(self.tried) + self.lost_relays > self._tried_before

    @property
    def key(self) -> str:
        """Returns the key by which the request is placed."""
        key = self.request.header(names.AFFINITY_KEY)
        if key is None or not self.route.key_affinity:
            return self.request_id.decode("latin-1")
        return key.decode("latin-1")

    @property
    def resend_key(self) -> str:
        """Returns a key that is the same for each resend of the request."""
        if (
            self.route.key_affinity
            and self.request.header(names.AFFINITY_KEY) is not None
        ):
            return self.key
        return f"{self.fingerprint():x}"

    @property
    def log_id(self) -> str:
        """Returns the request's id for logs."""
        return self.request_id.decode("latin-1", "replace")

    def placement_request(self) -> PlacementRequest:
        """Returns the inputs of the call's placement."""
        return PlacementRequest(
            route=self.route,
            service=self.service,
            key=self.resend_key if self.possibly_crashed else self.key,
            arrived_s=self.request.arrived_s,
            deadline_s=self.deadline_s,
            tried=self.tried,
            limit_refusals=self.limit_refusals,
            possibly_crashed=self.possibly_crashed,
            avoided=self.avoided,
            has_one_try=self._has_one_try(),
            max_queue_runs=self.max_queue_runs,
            leaves_regions=self.leaves_regions,
            has_returned=self.has_returned,
        )

    def _has_one_try(self) -> bool:
        """Returns whether its body is passed on as it arrives."""
        if self.request.body_length == 0:
            return False
        return not self.request.body.replayable

    def remaining_s(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline_s - now_s()

    def caller_left_s(self) -> float:
        """Returns the time until its caller gives up, in seconds."""
        return self.caller_deadline_s - now_s()

    def fingerprint(self) -> int:
        """Returns a hash of the request that is the same for each resend."""
        if self._fingerprint is None:
            body = self.request.body
            self._fingerprint = fingerprint(
                method=self.request.method,
                target=self.request.target,
                body=body.digest().encode(),
            )
        return self._fingerprint

    def age_ms(self) -> int:
        """Returns the time since the request arrived, in milliseconds."""
        return round((now_s() - self.request.arrived_s) * 1000)


def upstream_request_head(
    call: ForwardedCall, *, upstream_id: str, chunked: bool
) -> bytes:
    """Returns the encoded request head that is sent to an upstream.

    Args:
      call: the call.
      upstream_id: id of the upstream that must handle the request.
      chunked: whether the body is sent in chunks.
    """
    headers = _forwarded_request_headers(call)
    left_ms = max(1, int(call.remaining_s() * 1000))
    headers.append((names.DEADLINE, b"%d" % left_ms))
    headers.append((names.EXPECTED_UPSTREAM, upstream_id.encode()))
    if call.organisation is not None:
        headers.append((names.ORGANISATION, call.organisation.name.encode()))
    return _encode_request_head(call, headers, chunked=chunked)


def relayed_request_head(
    call: ForwardedCall, *, relayed: RelayedRequest, chunked: bool
) -> bytes:
    """Returns the encoded request head that is sent to another entry.

    Args:
      call: the call.
      relayed: what the other entry has to know of it.
      chunked: whether the body is sent in chunks.
    """
    headers = _forwarded_request_headers(call)
    stated = call.request.header(names.DEADLINE)
    if stated is not None:
        headers.append((names.DEADLINE, stated))
    headers += relay_messages.encode_request(relayed)
    return _encode_request_head(call, headers, chunked=chunked)


def _forwarded_request_headers(call: ForwardedCall) -> Headers:
    """Returns the caller's headers that are sent on."""
    without = _KEY_HEADERS if call.hides_key else _OWN_REQUEST_HEADERS
    return forwarded_headers(call.request.headers, without=without)


def _encode_request_head(
    call: ForwardedCall, headers: Headers, *, chunked: bool
) -> bytes:
    """Adds the framing of the body, and encodes the head."""
    request = call.request
    if chunked:
        headers.append((b"transfer-encoding", b"chunked"))
    elif request.body_length != 0:
        size_bytes = request.body_length
        if request.body.replayable:
            size_bytes = request.body.size_bytes
        headers.append((b"content-length", b"%d" % (size_bytes or 0)))
    elif request.header(b"content-length") is not None:
        headers.append((b"content-length", b"0"))
    first_line = f"{request.method} {request.target} HTTP/1.1"
    return encode_head(first_line.encode("latin-1"), headers)


def caller_response_head(head: ResponseHead) -> ResponseHead:
    """Returns the response head that is sent to the caller."""
    return ResponseHead(
        status=head.status,
        headers=forwarded_headers(head.headers, without=_OWN_REPLY_HEADERS),
    )


class ForwardingSink(UpstreamResponseSink):
    """Streams a long response to the caller, without hop-by-hop headers."""

    def __init__(self, request: CallerRequest) -> None:
        """Creates the sink of one attempt."""
        self._request = request

    def begin(self, head: ResponseHead) -> None:
        """Starts the response with its head."""
        self._request.begin(caller_response_head(head))

    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        await self._request.write(data)
