"""Validation of TOML documents against types, reporting all faults at once.

A fault has the file, the dotted key, the problem and the remedy. NamedTuples
define the types; `pydantic` validates in strict mode, so that a string is never
accepted for a number.
"""

import copy
import enum
import json
from pathlib import Path
import tomllib
from typing import (
    Any,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import pydantic
from pydantic_core import ErrorDetails

from almondstair.document_faults import UNKNOWN_KEY
from almondstair.document_faults import FaultList
from almondstair.document_faults import Location
from almondstair.document_faults import dotted_key
from almondstair.document_faults import remedy_for_word

T = TypeVar("T")

_UNKNOWN_KEYS = ("unexpected_keyword_argument", "extra_forbidden")
_MISSING_KEYS = ("missing_argument", "missing")
# Candidates to replace a faulty value, tried in this order.
_PLACEHOLDERS: tuple[Any, ...] = (
    True,
    1,
    60,
    "x",
    "0.0.0.0:1",
    "http://0.0.0.0:1",
    [],
    {},
)


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
    """Returns the document as a dict; None, with a fault, if not TOML."""
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
    """Converts a parsed document into typed data.

    Args:
      document: the parsed TOML.
      to: a NamedTuple type.
      faults: receives every deviation from the type.

    Returns:
      The typed data; None if a faulty part has no valid placeholder. Faulty
      parts are replaced by placeholders, so that the checks across keys can
      still run and the operator sees all faults at once. Check `faults` before
      using the data.
    """
    repaired = copy.deepcopy(document)
    for location, annotation in _arrays_for_tables(document, annotation=to):
        faults.add(
            key=dotted_key(location),
            problem="this is an array",
            remedy="write a table with the keys "
            + ", ".join(field_names(annotation)),
        )
        _replace(repaired, location=location, value=placeholder_for(annotation))
    try:
        return _validate(repaired, to=to)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)
    for detail in details:
        _add_pydantic_error(detail, root=to, faults=faults)
        _repair(repaired, detail=detail, root=to)
    try:
        return _validate(repaired, to=to)
    except pydantic.ValidationError:
        return None


def _validate(document: Any, *, to: Any) -> Any:
    # In JSON mode, pydantic is strict about numbers and strings but accepts an
    # array for a tuple and a string for an enum member.
    encoded = json.dumps(document, default=_encode_date)
    return pydantic.TypeAdapter(to).validate_json(encoded, strict=True)


def _encode_date(value: Any) -> dict[str, str]:
    """Encodes a TOML date so that it is not accepted as a string."""
    return {"date": str(value)}


def placeholder_for(annotation: Any) -> Any:
    """Returns a placeholder that a type accepts, None if none fits."""
    if field_names(annotation):
        table: dict[str, Any] = {}
        hints = get_type_hints(annotation, include_extras=True)
        for field in field_names(annotation):
            if field in annotation._field_defaults:
                continue
            table[field] = placeholder_for(hints[field])
        return table
    candidates = list(_PLACEHOLDERS)
    if isinstance(annotation, enum.EnumType):
        candidates.extend(annotation)
    for candidate in candidates:
        try:
            _validate(candidate, to=annotation)
        except pydantic.ValidationError:
            continue
        return candidate
    return None


def _repair(document: Any, *, detail: ErrorDetails, root: Any) -> None:
    location = detail["loc"]
    if detail["type"] in _UNKNOWN_KEYS:
        del _parent(document, location=location)[location[-1]]
        return
    value = placeholder_for(type_at(root, location))
    _replace(document, location=location, value=value)


def _replace(document: Any, *, location: Location, value: Any) -> None:
    _parent(document, location=location)[location[-1]] = value


def _parent(document: Any, *, location: Location) -> Any:
    for part in location[:-1]:
        document = document[part]
    return document


def _add_pydantic_error(
    detail: ErrorDetails, *, root: Any, faults: FaultList
) -> None:
    """Adds one pydantic error as a fault."""
    location = detail["loc"]
    key = dotted_key(location)
    if detail["type"] in _UNKNOWN_KEYS:
        fields = field_names(type_at(root, location[:-1]))
        faults.add(
            key=key,
            problem=UNKNOWN_KEY,
            remedy=remedy_for_word(str(location[-1]), fields),
        )
        return
    if detail["type"] in _MISSING_KEYS:
        faults.add(key=key, problem="missing", remedy="add this key")
        return
    message = detail["msg"].removeprefix("Value error, ")
    remedy = message.replace("Input should", "the value must", 1)
    faults.add(
        key=key,
        problem=f"{_describe_value(detail['input'])} is not allowed",
        remedy=f"{remedy[0].lower()}{remedy[1:]}",
    )


def _describe_value(value: Any) -> str:
    """Returns a faulty value for a message; tables and arrays are not shown."""
    if isinstance(value, dict) and "date" in value:
        return f"the date {value['date']}"
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list):
        return "an array"
    return json.dumps(value)


def field_names(annotation: Any) -> tuple[str, ...]:
    """Returns the fields of a NamedTuple type, none for any other type."""
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


def _arrays_for_tables(
    value: Any, *, annotation: Any, location: Location = ()
) -> list[tuple[Location, Any]]:
    """Returns where an array is given for a table, and the table's type.

    pydantic would assign the array's items to the fields by position, and a
    field inserted later would silently shift the rest.
    """
    if isinstance(value, list) and field_names(annotation):
        return [(location, annotation)]
    items: list[tuple[int | str, Any]] = []
    if isinstance(value, dict):
        items.extend(value.items())
    if isinstance(value, list):
        items.extend(enumerate(value))
    found: list[tuple[Location, Any]] = []
    for part, item in items:
        found += _arrays_for_tables(
            item,
            annotation=_member_type(annotation, part),
            location=(*location, part),
        )
    return found
