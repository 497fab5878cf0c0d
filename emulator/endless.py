"""Bytes without end, as servers in trouble send them until they are cut off."""

from typing import NamedTuple

from tornado import iostream

_STATUS = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = b"Content-Length: 5\r\n\r\n"
_FOREIGN = b"X-Almondstair-Request-Id: another\r\n"
_PIECE_BYTES = 65_536


class EndlessForm(NamedTuple):
    """Bytes that begin a response, and those that follow without end."""

    start: bytes
    piece: bytes


def _repeat(text: bytes) -> bytes:
    return text * (_PIECE_BYTES // len(text))


_FILLER = _repeat(b"x")


def endless_form(
    name: str, *, headers: bytes, answer: bytes = b"12345"
) -> EndlessForm:
    """Returns a form of bytes without end.

    Args:
      name: one of `FORMS`, or `body` for a valid response whose body does not
        end.
      headers: lines of the headers that identify the response.
      answer: body of a response that is complete before the bytes come.
    """
    head = _STATUS + headers
    body = head + _CHUNKED
    forms = {
        "garbage": EndlessForm(b"", _repeat(b"\x00\x01")),
        "blank_lines": EndlessForm(b"", _repeat(b"\r\n")),
        "status_line": EndlessForm(b"HTTP/1.1 200 ", _FILLER),
        "header_lines": EndlessForm(head, _repeat(b"X-A: b\r\n")),
        "header_name": EndlessForm(head, _FILLER),
        "header_value": EndlessForm(head + b"X-A: ", _FILLER),
        "header_blanks": EndlessForm(head + b"X-A:", _repeat(b" ")),
        "informational": EndlessForm(
            b"", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n")
        ),
        "foreign_responses": EndlessForm(
            b"", _repeat(_STATUS + _FOREIGN + _LENGTH + b"12345")
        ),
        "foreign_body": EndlessForm(
            _STATUS + _FOREIGN + _CHUNKED, _chunk(_PIECE_BYTES)
        ),
        "chunk_extension": EndlessForm(body + b"5;a=", _FILLER),
        "chunk_extensions": EndlessForm(
            body, _repeat(b"1;" + 1000 * b"a" + b"\r\nx\r\n")
        ),
        "chunk_size": EndlessForm(body, _repeat(b"0")),
        "tiny_chunks": EndlessForm(body, _repeat(_chunk(1))),
        "trailer_lines": EndlessForm(body + b"0\r\n", _repeat(b"X-A: b\r\n")),
        "trailer_value": EndlessForm(body + b"0\r\nX-A: ", _FILLER),
        "after_the_end": EndlessForm(
            head + b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer),
            _FILLER,
        ),
        "body": EndlessForm(body, _chunk(_PIECE_BYTES)),
    }
    return forms[name]


FORMS = (
    "garbage",
    "blank_lines",
    "status_line",
    "header_lines",
    "header_name",
    "header_value",
    "header_blanks",
    "informational",
    "foreign_responses",
    "foreign_body",
    "chunk_extension",
    "chunk_extensions",
    "chunk_size",
    "tiny_chunks",
    "trailer_lines",
    "trailer_value",
    "after_the_end",
)


def _chunk(size_bytes: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size_bytes, b"x" * size_bytes)


async def write_without_end(
    stream: iostream.IOStream, form: EndlessForm
) -> None:
    """Writes a form of bytes until the other side closes the connection."""
    try:
        await stream.write(form.start)
        while True:
            await stream.write(form.piece)
    except iostream.StreamClosedError:
        # The other side has cut it off, as it should.
        return
