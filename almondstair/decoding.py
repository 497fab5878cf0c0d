"""Decoding of what other processes wrote.

Whatever the bytes are, decoding ends in a value or in one `AlmondstairError`.
"""

from collections.abc import Callable
import math
from typing import TypeVar

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# Longest description of what is wrong with a value; it may quote the value.
MAX_DETAIL_CHARACTERS = 200
# Digits of the longest integer that is read; it fits into 64 bits.
MAX_DIGITS = 18

_Value = TypeVar("_Value")


def decode(
    decoder: Callable[[bytes], _Value], data: bytes, *, kind: ErrorKind
) -> _Value:
    """Decodes bytes of another process.

    Args:
      decoder: decodes the bytes.
      data: the bytes.
      kind: kind of the error if they cannot be decoded.

    Raises:
      AlmondstairError: of the kind.
    """
    try:
        return decoder(data)
    except (ValueError, RecursionError, OverflowError) as error:
        # Errors of msgspec and of text encodings are ValueErrors.
        raise AlmondstairError(
            kind=kind, detail=str(error)[:MAX_DETAIL_CHARACTERS]
        ) from error


def parse_decimal(text: str | bytes) -> int | None:
    """Parses decimal digits; None for anything else or above 18 digits."""
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def parse_finite(text: str | bytes) -> float | None:
    """Parses a finite number; None for anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
