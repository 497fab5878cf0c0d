"""Placement mechanisms that a replay can switch off.

Overriding one or two constants switches a mechanism off, so that the replay
still runs the production code. `parse` reads overrides of any other numeric
constant of `almondstair.core`, to measure how sensitive a result is to it.
"""

from collections.abc import Iterator
import contextlib
import importlib
import math
from typing import NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind


class Constant(NamedTuple):
    """An overriding value for a constant of an `almondstair.core` module."""

    module: str
    name: str
    value: float


MECHANISMS: dict[str, tuple[Constant, ...]] = {
    # Objects count as cached only at their home.
    "known-objects": (Constant("known_places", "WARM_S", 0.0),),
    # An entry uses only cached locations that it learned from its own requests.
    "places-told": (Constant("known_places", "TOLD_S", 0.0),),
    # A region keeps all keys of its callers even if its slots are too few.
    "region-weights": (Constant("placement", "PLANNED_USE", 1e-9),),
    "moves-of-keys": (Constant("placement_plan", "QUEUED", math.inf),),
    "crowding": (Constant("choosing", "CROWDED_USE", math.inf),),
    "cost-of-new-runs": (
        Constant("choosing", "UNKNOWN_COST", 0.0),
        Constant("choosing", "UNKNOWN_COST_BY_USE", 0.0),
    ),
    "reserve": (Constant("choosing", "RESERVE_SHARE", 0.0),),
    "entry-waits": (Constant("entry_waits", "PATIENT_TIMES", math.inf),),
    "admission-by-aim": (Constant("choosing", "WAIT_AIM_SHARE", math.inf),),
    "failure-memory": (Constant("upstream_state", "SAMPLE_WEIGHT", 0.0),),
    "region-steps": (Constant("region_shares", "LEAST_REQUESTS", math.inf),),
}


def parse(settings: list[str]) -> tuple[Constant, ...]:
    """Parses overrides such as `choosing.CROWDED_USE=0.9`.

    Raises:
      AlmondstairError: `settings_invalid` if there is no such constant.
    """
    constants = []
    for setting in settings:
        path, _, value = setting.partition("=")
        module, _, name = path.rpartition(".")
        try:
            constant = Constant(module, name, float(value))
            before = getattr(_module(constant), name)
        except (ImportError, AttributeError, ValueError) as error:
            raise _invalid(f"{setting}: {error}") from error
        if not isinstance(before, int | float):
            raise _invalid(f"{path} is no number")
        constants.append(constant)
    return tuple(constants)


def without(names: list[str]) -> tuple[Constant, ...]:
    """Returns the constants that switch mechanisms off.

    Raises:
      AlmondstairError: `settings_invalid` if there is no such mechanism.
    """
    constants: tuple[Constant, ...] = ()
    for name in names:
        if name not in MECHANISMS:
            raise _invalid(f"no mechanism {name}; it has {sorted(MECHANISMS)}")
        constants += MECHANISMS[name]
    return constants


@contextlib.contextmanager
def override(constants: tuple[Constant, ...]) -> Iterator[None]:
    """Overrides constants within the context and restores them after it."""
    before = []
    for constant in constants:
        module = _module(constant)
        before.append((module, constant.name, getattr(module, constant.name)))
        setattr(module, constant.name, constant.value)
    try:
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)


def _module(constant: Constant) -> object:
    return importlib.import_module(f"almondstair.core.{constant.module}")


def _invalid(detail: str) -> AlmondstairError:
    return AlmondstairError(kind=ErrorKind.SETTINGS_INVALID, detail=detail)
