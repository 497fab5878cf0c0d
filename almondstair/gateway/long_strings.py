"""Cuts long strings out of a JSON text while it is received."""

import re

_QUOTE_OR_ESCAPE = re.compile(rb'["\\]')
_QUOTE = b'"'
# Characters of `\uXXXX` behind the backslash; other escapes have one.
_UNICODE_ESCAPE_BYTES = 5
# The first escape of a character that takes two.
_FIRST_OF_PAIR = re.compile(rb"\\u[dD][89abAB]")


class LongStringCutter:
    """Passes on a JSON text with the ends of its long strings left out.

    What remains is valid JSON if the whole text is.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        """Creates a cutter for one text.

        Args:
          limit_bytes: strings are cut behind this many bytes.
        """
        self._limit_bytes = limit_bytes
        self._in_string = False
        self._string_bytes = 0
        self._escape = b""
        self._in_pair = False

    def feed(self, data: bytes) -> bytes:
        """Returns what is passed on of the next bytes."""
        passed: list[bytes] = []
        position = 0
        while position < len(data):
            if self._escape:
                position = self._read_escape(data, position, passed)
            elif self._in_string:
                position = self._read_string(data, position, passed)
            else:
                position = self._read_outside(data, position, passed)
        return b"".join(passed)

    def _read_outside(
        self, data: bytes, position: int, passed: list[bytes]
    ) -> int:
        end = data.find(_QUOTE, position)
        if end < 0:
            passed.append(data[position:])
            return len(data)
        passed.append(data[position : end + 1])
        self._in_string = True
        self._in_pair = False
        self._string_bytes = 0
        return end + 1

    def _read_string(
        self, data: bytes, position: int, passed: list[bytes]
    ) -> int:
        found = _QUOTE_OR_ESCAPE.search(data, position)
        end = len(data) if found is None else found.start()
        left_bytes = max(0, self._limit_bytes - self._string_bytes)
        passed.append(data[position : min(end, position + left_bytes)])
        self._string_bytes += end - position
        if found is None:
            return end
        if found[0] == _QUOTE:
            passed.append(_QUOTE)
            self._in_string = False
        else:
            self._escape = found[0]
        return end + 1

    def _read_escape(
        self, data: bytes, position: int, passed: list[bytes]
    ) -> int:
        """Reads one byte of an escape, which is passed on as a whole."""
        self._escape += data[position : position + 1]
        is_unicode = self._escape.startswith(b"\\u")
        if is_unicode and len(self._escape) <= _UNICODE_ESCAPE_BYTES:
            return position + 1
        if self._in_pair or self._string_bytes < self._limit_bytes:
            passed.append(self._escape)
            is_first = _FIRST_OF_PAIR.match(self._escape) is not None
            self._in_pair = is_first and not self._in_pair
        self._string_bytes += len(self._escape)
        self._escape = b""
        return position + 1
