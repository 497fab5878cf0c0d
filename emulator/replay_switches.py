"""Mechanisms of the decisions that a replay can do without.

Each is switched off by the value of one or two of its constants, so that what
is played is the code itself. `constants` sets any other number of a module of
`almondstair.core` in the same way, to see how sensitive a result is to it.
"""

from collections.abc import Iterator
import contextlib
import importlib
import math
from typing import NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind


class Constant(NamedTuple):
    """A value for a constant of a module of `almondstair.core`."""

    module: str
    name: str
    value: float


MECHANISMS: dict[str, tuple[Constant, ...]] = {
    # No object is taken to be known anywhere but at its home.
    "known-objects": (Constant("known_places", "WARM_S", 0.0),),
    # An entry knows only the places that it sent requests to itself.
    "places-told": (Constant("known_places", "TOLD_S", 0.0),),
    # A region keeps all keys of its callers, however few slots it has.
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
    """Reads constants given as `choosing.CROWDED_USE=0.9`.

    Raises:
      AlmondstairError: `settings_invalid` if there is no such constant.
    """
    found = []
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
        found.append(constant)
    return tuple(found)


def without(names: list[str]) -> tuple[Constant, ...]:
    """Returns the constants that switch mechanisms off.

    Raises:
      AlmondstairError: `settings_invalid` if there is no such mechanism.
    """
    found: tuple[Constant, ...] = ()
    for name in names:
        if name not in MECHANISMS:
            raise _invalid(f"no mechanism {name}; it has {sorted(MECHANISMS)}")
        found += MECHANISMS[name]
    return found


@contextlib.contextmanager
def using(constants: tuple[Constant, ...]) -> Iterator[None]:
    """Gives constants other values for a while."""
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
