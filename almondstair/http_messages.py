"""Headers of forwarded messages, and checks of message framing."""

import re
import time
from typing import NamedTuple

import msgspec
from tornado import httputil

from almondstair.errors import PROBLEM_CONTENT_TYPE
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran

MAX_HEADER_BYTES = 32 * 1024
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Deadline-Ms"
TRACE_HEADER = "Traceparent"
HEADER_PREFIX = "Almondstair-"
# An entry's error in a response to another entry: `kind;ran;retry_after_ms`.
ANSWER_HEADER_PARTS = 3
ANSWER_HEADER = "Almondstair-Answer"
# Set by an upstream that refuses a request without running it.
REFUSED_HEADER = "Almondstair-Refused"
CALLER_ZONE_HEADER = "Almondstair-Caller-Zone"
# Set by an entry if an upstream was just lost while it ran this request.
ALONE_HEADER = "Almondstair-Alone"
LOAD_HEADER = "Upstream-Load"

_HOP_BY_HOP = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
    )
)
# Headers that a Connection header must not name as hop-by-hop.
_FRAMING_HEADERS = frozenset(("Content-Length", "Transfer-Encoding"))
_LENGTH_PATTERN = re.compile(r"[0-9]{1,18}\Z")
_STATUS_WITHOUT_BODY = frozenset((204, 304))


class ResponseHead(NamedTuple):
    """Holds the start line and the headers of a response."""

    status: int
    reason: str
    headers: httputil.HTTPHeaders


def check_request_framing(
    *, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int | None:
    """Checks that a request's framing is unambiguous.

    Prevents request smuggling: if a request has two lengths, this entry and
    the upstream may disagree on its end, and the upstream runs the rest as a
    second request. It shows as requests in an upstream's journal that no caller
    sent.

    Accepts at most one Content-Length or one chunked Transfer-Encoding. Also
    limits the size of the headers to `MAX_HEADER_BYTES`.

    Returns:
      The length of the body in bytes, None if it is chunked.

    Raises:
      AlmondstairError: `bad_request`.
    """
    size_bytes = 0
    for name, value in headers.get_all():
        size_bytes += len(name) + len(value) + 4
    if size_bytes > MAX_HEADER_BYTES:
        raise _bad_request(f"the headers are over {MAX_HEADER_BYTES} bytes")
    if not _FRAMING_HEADERS.isdisjoint(_connection_tokens(headers)):
        # If the length were removed as a hop-by-hop header, the upstream would
        # read the body as further requests.
        raise _bad_request("Connection may not name the body's length")
    return _body_length(start_line, headers)


def _body_length(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int | None:
    lengths = headers.get_list("Content-Length")
    encodings = headers.get_list("Transfer-Encoding")
    if lengths and encodings:
        raise _bad_request(
            "Content-Length and Transfer-Encoding exclude each other"
        )
    if len(lengths) > 1 or len(encodings) > 1:
        raise _bad_request("the body's length is given twice")
    if encodings:
        if encodings[0].lower() != "chunked":
            raise _bad_request("Transfer-Encoding must be chunked")
        if start_line.version == "HTTP/1.0":
            raise _bad_request("HTTP/1.0 has no Transfer-Encoding")
        return None
    if lengths:
        if not _LENGTH_PATTERN.match(lengths[0]):
            raise _bad_request("Content-Length is not a whole number")
        return int(lengths[0])
    return 0


def _bad_request(detail: str) -> AlmondstairError:
    return AlmondstairError(kind=ErrorKind.BAD_REQUEST, detail=detail)


def response_is_framed(*, method: str, head: ResponseHead) -> bool:
    """Returns whether a truncated response can be detected."""
    if method == "HEAD" or head.status in _STATUS_WITHOUT_BODY:
        return True
    if "Content-Length" in head.headers:
        return True
    return head.headers.get("Transfer-Encoding", "").lower() == "chunked"


def end_to_end_headers(
    *, headers: httputil.HTTPHeaders
) -> httputil.HTTPHeaders:
    """Returns the headers to forward.

    Leaves out hop-by-hop headers and the headers that entries use among
    themselves.
    """
    named = _connection_tokens(headers) - _FRAMING_HEADERS
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name in _HOP_BY_HOP or name in named:
            continue
        if name.startswith(HEADER_PREFIX):
            continue
        kept.add(name, value)
    return kept


def _connection_tokens(headers: httputil.HTTPHeaders) -> frozenset[str]:
    value = headers.get("Connection", "")
    if not value:
        return frozenset()
    names = set()
    for token in value.split(","):
        names.add(token.strip().title())
    return frozenset(names)


def remaining_ms(*, deadline_s: float) -> int:
    """Returns the milliseconds until a monotonic deadline, truncated."""
    return int((deadline_s - time.monotonic()) * 1000)


def problem_head(
    *, error: AlmondstairError, size_bytes: int, for_entry: bool
) -> ResponseHead:
    """Returns the head of an error response.

    Args:
      error: the error.
      size_bytes: length of the body.
      for_entry: whether another entry receives it rather than a caller.
    """
    headers = httputil.HTTPHeaders()
    headers["Content-Type"] = PROBLEM_CONTENT_TYPE
    headers["Content-Length"] = str(size_bytes)
    headers["Cache-Control"] = "no-store"
    if error.retry_after_ms is not None:
        # Retry-After is in whole seconds; rounded up.
        headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
    if for_entry:
        headers[ANSWER_HEADER] = (
            f"{error.kind};{error.ran};{error.retry_after_ms or ''}"
        )
    status = error.rule.http_status
    reason = httputil.responses.get(status, "Unknown")
    return ResponseHead(status=status, reason=reason, headers=headers)


def problem_body(*, error: AlmondstairError) -> bytes:
    """Returns the JSON body of an error response."""
    return msgspec.json.encode(error.problem())


class EntryError(NamedTuple):
    """Holds another entry's error, parsed from its header."""

    kind: ErrorKind
    ran: Ran
    retry_after_ms: int | None


def parse_entry_error(*, value: str) -> EntryError | None:
    """Parses `Almondstair-Answer`; returns None if absent or malformed."""
    parts = value.split(";")
    if len(parts) != ANSWER_HEADER_PARTS:
        return None
    kind, ran, retry_after_ms = parts
    try:
        return EntryError(
            ErrorKind(kind),
            Ran(ran),
            int(retry_after_ms) if retry_after_ms else None,
        )
    except ValueError:
        return None
