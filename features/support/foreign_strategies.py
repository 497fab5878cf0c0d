"""Strategies for what other processes may write, valid and not."""

import copy
import json

from hypothesis import strategies
import msgspec

from emulator.foreign_values import FORMS
from emulator.foreign_values import FRAGMENTS
from emulator.foreign_values import foreign_value

_MARK = "the only text of its kind "
_MAX_CHANGES = 3
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(min_value=-(2**63), max_value=2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=12)
)
_LARGE_INTEGERS = strategies.sampled_from((10**30, -(10**30), 10**400))
_PACKED = strategies.recursive(
    _SCALARS | strategies.binary(max_size=12),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.integers(0, 9), inner, max_size=2)
    ),
    max_leaves=4,
)
# Parts of a message that are no value of Python.
_PACKED_FRAGMENTS = strategies.sampled_from(
    (b"\x91" * 60_000 + b"\x00", b"\xa2\xff\xfe", b"\x81\x91\x00\x00", b"\xc1")
)


def _json_text(value):
    return json.dumps(value).encode()


_FRAGMENTS = strategies.sampled_from(sorted(FRAGMENTS.values())) | (
    strategies.recursive(
        _SCALARS | _LARGE_INTEGERS,
        lambda inner: (
            strategies.lists(inner, max_size=2)
            | strategies.dictionaries(strategies.text(max_size=4), inner)
        ),
        max_leaves=3,
    ).map(_json_text)
)


def _paths(document, path=()):
    """Returns the places of all values in a document."""
    found = [path] if path else []
    if isinstance(document, dict):
        for key, value in document.items():
            found += _paths(value, (*path, key))
    elif isinstance(document, list):
        for position, value in enumerate(document):
            found += _paths(value, (*path, position))
    return found


def _replace(document, path, value):
    for key in path[:-1]:
        document = document[key]
        if not isinstance(document, dict | list):
            return
    document[path[-1]] = value


@strategies.composite
def _changed_json(draw, document):
    changed = copy.deepcopy(document)
    paths = [*_paths(document), ("other",)]
    fragments = []
    for number in range(draw(strategies.integers(0, _MAX_CHANGES))):
        _replace(
            changed, draw(strategies.sampled_from(paths)), f"{_MARK}{number}"
        )
        fragments.append(draw(_FRAGMENTS))
    data = _json_text(changed)
    for number, fragment in enumerate(fragments):
        data = data.replace(_json_text(f"{_MARK}{number}"), fragment)
    if draw(strategies.integers(0, 9)) == 0:
        data = data[: draw(strategies.integers(0, len(data)))]
    return data


def json_values(document):
    """Returns a strategy for bytes near a JSON document, and for any bytes."""
    forms = strategies.builds(
        foreign_value,
        strategies.sampled_from(FORMS),
        strategies.just(document),
        strategies.sampled_from(sorted(document)),
    )
    return _changed_json(document) | forms | strategies.binary(max_size=200)


@strategies.composite
def _changed_packed(draw, message):
    changed = list(message)
    for _ in range(draw(strategies.integers(0, _MAX_CHANGES))):
        place = draw(strategies.integers(0, len(changed)))
        value = draw(_PACKED | _PACKED_FRAGMENTS.map(msgspec.Raw))
        changed[place : place + 1] = [value]
    data = msgspec.msgpack.encode(changed)
    if draw(strategies.integers(0, 9)) == 0:
        data = data[: draw(strategies.integers(0, len(data)))]
    return data


def packed_values(*messages):
    """Returns a strategy for bytes near msgpack arrays, and for any bytes."""
    return strategies.sampled_from(messages).flatmap(
        _changed_packed
    ) | strategies.binary(max_size=200)


_NUMBERS = strategies.integers(-(2**70), 2**70).map(str) | (
    strategies.sampled_from(
        ("9" * 5000, "f" * 5000, "1e999", "nan", "-inf", "1_0", "²", "0x1f")
    )
)
_HEADER_VALUES = strategies.binary(max_size=20) | (
    strategies.lists(
        _NUMBERS | strategies.tuples(_NUMBERS, _NUMBERS).map(":".join),
        min_size=1,
        max_size=3,
    ).map(lambda parts: ",".join(parts).encode())
)


def headers(names, valid=()):
    """Returns a strategy for headers with some of the names.

    Args:
      names: names in lower case.
      valid: headers that come before, unless another has their name.
    """

    def add_valid(found):
        drawn = {name for name, _ in found}
        return found + [each for each in valid if each[0] not in drawn]

    return strategies.lists(
        strategies.tuples(strategies.sampled_from(names), _HEADER_VALUES),
        max_size=4,
    ).map(add_valid)


def header_values():
    """Returns a strategy for the value of one header."""
    return _HEADER_VALUES
