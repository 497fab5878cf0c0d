"""Measures the cost of a placement decision by number of upstreams.

    python -m benchmarks.choices

Prints the median over rounds of the microseconds per decision: with the order
of the key's upstreams cached, after the new weights of a plan have invalidated
the cached orders, and for a key without a cached order.
"""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

from almondstair.core.placement_plan import Plan
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.upstream_limiter import LimitRefusals
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern
from emulator.load_pattern import Service
from emulator.modelled_entry import ModelledEntry

REGIONS = ("r0", "r1", "r2")
UPSTREAMS = (30, 310, 5_000)
KEYS = 200
ROUNDS = 7
# Fraction of the slots in use.
USED_FRACTION = 0.7


class Cost(NamedTuple):
    """Microseconds per decision.

    Attributes:
      upstreams: number of upstreams of the service.
      cached_us: time with the key's order cached.
      weighted_us: time after the weights of the plan have changed.
      new_us: time for a new key.
    """

    upstreams: int
    cached_us: float
    weighted_us: float
    new_us: float


def _pattern(upstreams: int) -> Pattern:
    each = upstreams // len(REGIONS)
    service = Service(name="s", upstreams=dict.fromkeys(REGIONS, each))
    kind = Kind(
        name="k",
        service="s",
        per_s=1.0,
        known_s=0.1,
        new_s=0.36,
        aim_s=0.3,
        deadline_s=2.0,
    )
    return Pattern(
        shows="",
        span_s=1.0,
        services=[service],
        kinds=[kind],
        entries=dict.fromkeys(REGIONS, 1),
    )


def _place(entry: ModelledEntry, key: str) -> None:
    request = PlacementRequest(
        route=entry.routes["k"],
        service="s",
        key=key,
        arrived_s=100.0,
        deadline_s=102.0,
        tried=(),
        limit_refusals=LimitRefusals(),
    )
    placed = entry.placer.place(request, now_s=100.0)
    assert placed.choice is not None


def _median_us(
    entry: ModelledEntry, keys: Callable[[int], list[str]], new_weights: bool
) -> float:
    times_us = []
    for number in range(ROUNDS):
        if new_weights:
            percent = 90 + number
            loads: dict[str, int] = {}
            entry.update_loads(loads, loads, Plan(weights={number: percent}))
            _load(entry)
        used_keys = keys(number)
        started_s = time.perf_counter()
        for key in used_keys:
            _place(entry, key)
        times_us.append(
            (time.perf_counter() - started_s) / len(used_keys) * 1e6
        )
    return statistics.median(times_us)


def _load(entry: ModelledEntry) -> None:
    [upstreams] = entry.eligible_upstreams().values()
    loads = {}
    for number, upstream in enumerate(upstreams):
        held = round(USED_FRACTION * upstream.record.slots) + number % 3
        loads[upstream.name_hash] = held
    entry.update_loads(loads, {}, Plan(weights={}))


def measure(upstreams: int) -> Cost:
    """Measures decisions among `upstreams` upstreams."""
    pattern = _pattern(upstreams)
    entry = ModelledEntry(
        name="e", region="r0", pattern=pattern, names=("e", "f")
    )
    _load(entry)

    def same(number: int) -> list[str]:
        del number
        return [f"key-{key}" for key in range(KEYS)]

    def new(number: int) -> list[str]:
        return [f"new-{number}-{key}" for key in range(KEYS)]

    for key in same(0):
        _place(entry, key)
    return Cost(
        upstreams=upstreams,
        cached_us=_median_us(entry, same, new_weights=False),
        weighted_us=_median_us(entry, same, new_weights=True),
        new_us=_median_us(entry, new, new_weights=False),
    )


def main() -> None:
    """Prints one row per number of upstreams."""
    print("upstreams  cached us  new weights us  new key us")
    for upstreams in UPSTREAMS:
        cost = measure(upstreams)
        print(
            f"{cost.upstreams:9d}  {cost.cached_us:9.1f}  "
            f"{cost.weighted_us:14.1f}  {cost.new_us:10.1f}"
        )


if __name__ == "__main__":
    main()
