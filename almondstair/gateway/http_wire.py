"""Heads of HTTP/1.1 messages as lists of byte pairs, and their framing."""

from http import client as http_names
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only and are not passed on.
_ONE_CONNECTION = frozenset(
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
_NO_BODY = frozenset((204, 304))


class ReplyHead(NamedTuple):
    """Status and headers of an answer; header names in lower case."""

    status: int
    headers: Headers


def find(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    for found, value in headers:
        if found == name:
            return value
    return None


def passed_on(headers: Headers, *, without: frozenset[bytes]) -> Headers:
    """Returns the headers that travel on.

    Args:
      headers: those of a message, names in lower case.
      without: names that this entry sets itself.
    """
    named = set()
    connection = find(headers, b"connection")
    if connection is not None:
        for token in connection.split(b","):
            named.add(token.strip().lower())
    kept = []
    for name, value in headers:
        if name in _ONE_CONNECTION or name in named or name in without:
            continue
        kept.append((name, value))
    return kept


def has_no_body(status: int) -> bool:
    """Whether answers of this status never have a body."""
    return status in _NO_BODY


def write_head(first_line: bytes, headers: Headers) -> bytes:
    """Encodes a start line and headers."""
    lines = [first_line]
    for name, value in headers:
        lines.append(name.title() + b": " + value)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def status_line(status: int) -> bytes:
    """Encodes the start line of an answer."""
    reason = http_names.responses.get(status, "Unknown")
    return f"HTTP/1.1 {status} {reason}".encode()


def as_chunk(data: bytes) -> bytes:
    """Frames a piece of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
