"""Settings and errors of the code as rows of the documentation tables."""

import enum
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import annotated_types

from almondstair import errors
from almondstair import settings
from almondstair import validation
from almondstair.core import model

# Longest suffixes first, so that `_bytes_per_s` does not match `_s`.
_UNITS = (
    ("_bytes_per_s", "bytes/s"),
    ("_fraction_per_s", "fraction/s"),
    ("_fraction", "fraction"),
    ("_bytes", "bytes"),
    ("_ms", "ms"),
    ("_s", "s"),
)
_TYPES = {bool: "boolean", int: "integer", float: "number", str: "string"}
_FORMATS = (
    (settings.Name, "letters, digits, `.`, `_`, `-`; no `.`, `_`, `-` first"),
    (settings.Address, "`ip:port`"),
    (settings.OptionalAddress, "`ip:port` or empty"),
    (settings.Url, "`http://ip:port...` or `https://ip:port...`"),
)


def setting_rows(root: Any, *, prefix: str = "") -> list[tuple[str, ...]]:
    """Returns key, type, unit, default and range of each setting of a type."""
    rows: list[tuple[str, ...]] = []
    hints = get_type_hints(root, include_extras=True)
    for field in validation.field_names(root):
        key = f"{prefix}{field}"
        table, suffix = _nested_table(hints[field])
        if table is not None:
            rows += setting_rows(table, prefix=f"{key}{suffix}.")
            continue
        rows.append(
            (
                key,
                _type_name(hints[field]),
                _unit(field),
                _default(root, field),
                _range(hints[field]),
            )
        )
    return rows


def error_rows() -> list[tuple[str, ...]]:
    """Returns a row for each error kind, without the remedy column."""
    rows: list[tuple[str, ...]] = []
    for kind, rule in errors.ERROR_TABLE.items():
        retry_after = "-"
        if rule.retry_after_ms is not None:
            retry_after = str(rule.retry_after_ms)
        rows.append(
            (
                str(kind),
                str(rule.code),
                str(rule.http_status),
                str(rule.ran),
                retry_after,
                str(rule.exit_code),
                rule.title,
            )
        )
    return rows


def page_rows(text: str, *, heading: str) -> list[tuple[str, ...]]:
    """Returns the cells of the first table below a heading of a page."""
    rows: list[tuple[str, ...]] = []
    section = text.split(f"\n{heading}\n", 1)[1]
    for line in section.splitlines():
        if rows and not line.startswith("|"):
            break
        if not line.startswith("|"):
            continue
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        rows.append(tuple(cells))
    # The first two rows are the column names and the separator line.
    return rows[2:]


def _nested_table(annotation: Any) -> tuple[Any, str]:
    """Returns the table type in a field and the suffix of its key."""
    if validation.field_names(annotation):
        return annotation, ""
    origin = get_origin(annotation)
    arguments = get_args(annotation)
    if origin is dict and validation.field_names(arguments[1]):
        return arguments[1], ".NAME"
    if origin is tuple and validation.field_names(arguments[0]):
        return arguments[0], "[]"
    return None, ""


def _strip_annotated(annotation: Any) -> Any:
    if get_origin(annotation) is Annotated:
        return get_args(annotation)[0]
    return annotation


def _type_name(annotation: Any) -> str:
    bare_type = _strip_annotated(annotation)
    if get_origin(bare_type) is tuple:
        return "array of strings"
    if isinstance(bare_type, enum.EnumType):
        return "string"
    return _TYPES[bare_type]


def _unit(field: str) -> str:
    for suffix, unit in _UNITS:
        if field.endswith(suffix):
            return unit
    return ""


def _default(root: Any, field: str) -> str:
    defaults = root._field_defaults
    if field not in defaults:
        return "required"
    value = defaults[field]
    if isinstance(value, tuple):
        return f"`[{', '.join(value)}]`"
    if isinstance(value, str):
        return f'`"{value}"`'
    return f"`{value}`"


def _range(annotation: Any) -> str:
    bare_type = _strip_annotated(annotation)
    if get_origin(bare_type) is tuple:
        return _range(get_args(bare_type)[0])
    if isinstance(bare_type, enum.EnumType):
        return ", ".join(f"`{member}`" for member in bare_type)
    for format_type, description in _FORMATS:
        if annotation == format_type:
            return description
    parts: list[str] = []
    if get_origin(annotation) is Annotated:
        for bound in get_args(annotation)[1:]:
            parts += _bound(bound)
    return ", ".join(parts)


def _bound(bound: Any) -> list[str]:
    if isinstance(bound, annotated_types.Gt):
        return [f"> {bound.gt}"]
    if isinstance(bound, annotated_types.Ge):
        return [f">= {bound.ge}"]
    if isinstance(bound, annotated_types.Le):
        return [f"<= {bound.le}"]
    return []


SETTINGS_TYPE = settings.Settings
CONFIGURATION_TYPE = model.Configuration
