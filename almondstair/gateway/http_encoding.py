"""Encoding of HTTP/1.1 heads and chunks; headers are pairs of bytes."""

from http import client as http_names
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers of a single connection and of message framing; not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
_BODYLESS_STATUSES = frozenset((204, 304))


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names in lower case."""

    status: int
    headers: Headers


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    for candidate, value in headers:
        if candidate == name:
            return value
    return None


def find_headers(headers: Headers, name: bytes) -> list[bytes]:
    """Returns all values of a header."""
    return [value for candidate, value in headers if candidate == name]


def forwarded_headers(
    headers: Headers, *, without: frozenset[bytes]
) -> Headers:
    """Returns the headers to forward, without hop-by-hop headers.

    Args:
      headers: headers of a message, names in lower case.
      without: further names to omit, which the entry sets or uses itself.
    """
    connection_specific = set()
    connection = find_header(headers, b"connection")
    if connection is not None:
        for token in connection.split(b","):
            connection_specific.add(token.strip().lower())
    forwarded = []
    for name, value in headers:
        if (
            name in _HOP_BY_HOP_HEADERS
            or name in connection_specific
            or name in without
        ):
            continue
        forwarded.append((name, value))
    return forwarded


def has_no_body(status: int) -> bool:
    """Returns whether responses with this status never have a body."""
    return status in _BODYLESS_STATUSES


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encodes a start line and headers."""
    lines = [first_line]
    for name, value in headers:
        lines.append(name.title() + b": " + value)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_status_line(status: int) -> bytes:
    """Encodes the status line of a response."""
    reason = http_names.responses.get(status, "Unknown")
    return f"HTTP/1.1 {status} {reason}".encode()


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk of a body with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
