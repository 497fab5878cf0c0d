"""Reads the emulator's files, and says what is wrong with them."""

from pathlib import Path
import tomllib
from typing import TypeVar

import msgspec

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

_Read = TypeVar("_Read")


def read(path: Path, wanted: type[_Read]) -> _Read:
    """Reads a TOML file into a type.

    Raises:
      AlmondstairError: `settings_invalid`, with file, key and remedy.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return msgspec.convert(tomllib.loads(text), wanted)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise invalid(path, str(error)) from error


def invalid(path: Path, detail: str) -> AlmondstairError:
    """Returns the error of a file that says what cannot be."""
    return AlmondstairError(
        kind=ErrorKind.SETTINGS_INVALID, detail=f"{path}: {detail}"
    )
