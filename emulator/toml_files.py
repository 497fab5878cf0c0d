"""Reads and validates the emulator's TOML files."""

from pathlib import Path
import tomllib
from typing import TypeVar

import msgspec

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

_Target = TypeVar("_Target")


def read_toml(path: Path, target_type: type[_Target]) -> _Target:
    """Reads a TOML file into a type.

    Raises:
      AlmondstairError: `settings_invalid`, with the path and the reason.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return msgspec.convert(tomllib.loads(text), target_type)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise invalid_file(path, str(error)) from error


def invalid_file(path: Path, detail: str) -> AlmondstairError:
    """Returns the error for a file with invalid content."""
    return AlmondstairError(
        kind=ErrorKind.SETTINGS_INVALID, detail=f"{path}: {detail}"
    )
