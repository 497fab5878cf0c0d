"""Checks TOML documents against typed data and names every fault at once.

A fault names the file, the dotted key, what is wrong and the remedy. Types come
from NamedTuples; `pydantic` does the checking in its strict mode, so that a
string never passes for a number.
"""

import difflib
import ipaddress
import json
from pathlib import Path
import tomllib
from typing import (
    Any,
    NamedTuple,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import pydantic
from pydantic_core import ErrorDetails

from almondstair import errors

T = TypeVar("T")
Location = tuple[int | str, ...]

_UNKNOWN_KEYS = ("unexpected_keyword_argument", "extra_forbidden")
_MISSING_KEYS = ("missing_argument", "missing")
_MAX_PORT = 65535


class Fault(NamedTuple):
    """One thing wrong with a document.

    Attributes:
      file: the file, or another name of the document.
      key: dotted key, empty when the whole file is meant.
      problem: what is wrong.
      remedy: what to write instead.
    """

    file: str
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns the fault as one line."""
        place = self.file
        if self.key:
            place = f"{self.file}: {self.key}"
        return f"{place}: {self.problem}; {self.remedy}"


class InvalidDocumentError(errors.AlmondstairError):
    """A document with faults.

    Attributes:
      faults: every fault that was found.
    """

    def __init__(
        self, *, kind: errors.ErrorKind, faults: tuple[Fault, ...]
    ) -> None:
        """Makes the error; its detail has one line for each fault."""
        lines: list[str] = []
        for fault in faults:
            lines.append(str(fault))
        super().__init__(kind=kind, detail="\n".join(lines))
        self.faults = faults


class FaultList:
    """Collects faults of one document.

    Attributes:
      file: name of the document in each fault.
    """

    def __init__(self, *, file: str) -> None:
        """Starts without faults."""
        self.file = file
        self._faults: list[Fault] = []

    def add(self, *, key: str, problem: str, remedy: str) -> None:
        """Adds a fault of this document."""
        self._faults.append(
            Fault(file=self.file, key=key, problem=problem, remedy=remedy)
        )

    def faults(self) -> tuple[Fault, ...]:
        """Returns the faults in the order of their discovery."""
        return tuple(self._faults)


def read_text(path: Path, *, faults: FaultList) -> str | None:
    """Returns a file's text; None, with a fault, if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        faults.add(
            key="",
            problem=f"the file cannot be read ({reason})",
            remedy="give the path of a file that this user may read",
        )
    except UnicodeDecodeError as error:
        faults.add(
            key="",
            problem=f"the file is not UTF-8 at byte {error.start}",
            remedy="save it as UTF-8",
        )
    return None


def parse_toml(text: str, *, faults: FaultList) -> dict[str, Any] | None:
    """Returns the document as a dict; None, with a fault, if it is no TOML."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        faults.add(
            key="",
            problem=f"this is not TOML: {error}",
            remedy="mend the line that is named",
        )
    return None


def convert(
    document: dict[str, Any], *, to: type[T], faults: FaultList
) -> T | None:
    """Turns a parsed document into typed data.

    Args:
      document: the parsed TOML.
      to: a NamedTuple type.
      faults: receives every difference from the type.

    Returns:
      The typed data, or None if there was any fault.
    """
    found = len(faults.faults())
    _refuse_arrays(document, annotation=to, location=(), faults=faults)
    if len(faults.faults()) > found:
        return None
    # The JSON form lets pydantic be strict about numbers and text, and still
    # take an array for a tuple and a string for an enum member.
    encoded = json.dumps(document, default=str)
    try:
        return pydantic.TypeAdapter(to).validate_json(encoded, strict=True)
    except pydantic.ValidationError as error:
        for detail in error.errors(include_url=False):
            _add_detail(detail, root=to, faults=faults)
    return None


def key_of(location: Location) -> str:
    """Returns a location as a dotted key, such as `links[2].region`."""
    key = ""
    for part in location:
        if isinstance(part, int):
            key += f"[{part}]"
            continue
        key += f".{part}" if key else part
    return key


def suggestion(word: str, known: tuple[str, ...]) -> str | None:
    """Returns the known word that was most likely meant, None if unclear.

    A word that lacks only its unit suffix finds the whole key.
    """
    for candidate in known:
        if candidate.startswith(f"{word}_"):
            return candidate
    close = difflib.get_close_matches(word, known, n=1)
    if close:
        return close[0]
    stem = word.rsplit("_", 1)[0]
    for candidate in known:
        if candidate.startswith(f"{stem}_"):
            return candidate
    return None


def known_words(word: str, known: tuple[str, ...]) -> str:
    """Returns the remedy for a word that is not one of the known ones."""
    meant = suggestion(word, known)
    if meant is not None:
        return f"write {meant}"
    if not known:
        return "define it first"
    return f"use one of: {', '.join(known)}"


def address_problem(address: str) -> str | None:
    """Returns what is wrong with an `ip:port` address, None if nothing."""
    host, separator, port_text = address.rpartition(":")
    if not separator:
        return "has no port"
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return "does not begin with an IP number"
    if not port_text.isascii() or not port_text.isdigit():
        return "has a port that is not a number"
    if not 0 < int(port_text) <= _MAX_PORT:
        return f"has a port outside 1 to {_MAX_PORT}"
    return None


def _add_detail(detail: ErrorDetails, *, root: Any, faults: FaultList) -> None:
    """Adds one finding of pydantic as a fault."""
    location = detail["loc"]
    key = key_of(location)
    if detail["type"] in _UNKNOWN_KEYS:
        fields = field_names(type_at(root, location[:-1]))
        faults.add(
            key=key,
            problem="unknown key",
            remedy=known_words(str(location[-1]), fields),
        )
        return
    if detail["type"] in _MISSING_KEYS:
        faults.add(key=key, problem="missing", remedy="add this key")
        return
    message = detail["msg"]
    remedy = f"{message[0].lower()}{message[1:]}"
    faults.add(
        key=key,
        problem=f"{json.dumps(detail['input'], default=str)} is not allowed",
        remedy=remedy.removeprefix("input "),
    )


def field_names(annotation: Any) -> tuple[str, ...]:
    """Returns the keys of a NamedTuple type, none for any other type."""
    return tuple(getattr(annotation, "_fields", ()))


def type_at(annotation: Any, location: Location) -> Any:
    """Returns the type at a location below a type, None if there is none."""
    for part in location:
        annotation = _member_type(annotation, part)
    return annotation


def _member_type(annotation: Any, part: int | str) -> Any:
    origin = get_origin(annotation)
    if origin is dict:
        return get_args(annotation)[1]
    if origin is tuple:
        return get_args(annotation)[0]
    if not field_names(annotation):
        return None
    return get_type_hints(annotation, include_extras=True).get(str(part))


def _refuse_arrays(
    value: Any, *, annotation: Any, location: Location, faults: FaultList
) -> None:
    """Adds a fault for each array that stands where a table belongs.

    pydantic would take the array's items for the fields in their order, and a
    later field put between them would shift the rest without a word.
    """
    if isinstance(value, list) and field_names(annotation):
        faults.add(
            key=key_of(location),
            problem="this is an array",
            remedy="write a table with the keys "
            + ", ".join(field_names(annotation)),
        )
        return
    items: list[tuple[int | str, Any]] = []
    if isinstance(value, dict):
        items.extend(value.items())
    if isinstance(value, list):
        items.extend(enumerate(value))
    for part, item in items:
        member = _member_type(annotation, part)
        _refuse_arrays(
            item,
            annotation=member,
            location=(*location, part),
            faults=faults,
        )
