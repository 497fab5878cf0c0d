"""What it costs to decide where a request goes, by upstreams of its service.

    python -m benchmarks.choices

Prints microseconds a decision in the median of rounds: where the order of the
key's upstreams is remembered, where a plan's new weights have made the entry
forget the orders, and for a key that was never asked for.
"""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

from almondstair.core.placement_plan import Plan
from almondstair.core.request_placer import PlacementRequest
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern
from emulator.load_pattern import Service
from emulator.modelled_entry import ModelledEntry

REGIONS = ("r0", "r1", "r2")
UPSTREAMS = (30, 310, 5_000)
KEYS = 200
ROUNDS = 7
# Part of the slots that is in use.
USE = 0.7


class Cost(NamedTuple):
    """Microseconds a decision.

    Attributes:
      upstreams: of the service.
      remembered_us: the key's order is remembered.
      weighted_us: the plan has changed since.
      new_us: the key was never asked for.
    """

    upstreams: int
    remembered_us: float
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


def _ask(entry: ModelledEntry, key: str) -> None:
    asked = PlacementRequest(
        route=entry.routes["k"],
        service="s",
        key=key,
        arrived_s=100.0,
        deadline_s=102.0,
        tried=(),
    )
    placed = entry.placer.place(asked, now_s=100.0)
    assert placed.choice is not None


def _median_us(
    entry: ModelledEntry, keys: Callable[[int], list[str]], before: bool
) -> float:
    found = []
    for number in range(ROUNDS):
        if before:
            percent = 90 + number
            loads: dict[str, int] = {}
            entry.update_loads(loads, loads, Plan(weights={number: percent}))
            _load(entry)
        asked = keys(number)
        began_s = time.perf_counter()
        for key in asked:
            _ask(entry, key)
        found.append((time.perf_counter() - began_s) / len(asked) * 1e6)
    return statistics.median(found)


def _load(entry: ModelledEntry) -> None:
    [upstreams] = entry.eligible_upstreams().values()
    loads = {}
    for number, upstream in enumerate(upstreams):
        held = round(USE * upstream.record.slots) + number % 3
        loads[upstream.name_hash] = held
    entry.update_loads(loads, {}, Plan(weights={}))


def measure(upstreams: int) -> Cost:
    """Measures decisions among a number of upstreams."""
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
        _ask(entry, key)
    return Cost(
        upstreams=upstreams,
        remembered_us=_median_us(entry, same, before=False),
        weighted_us=_median_us(entry, same, before=True),
        new_us=_median_us(entry, new, before=False),
    )


def main() -> None:
    """Prints a row for each number of upstreams."""
    print("upstreams  remembered us  new weights us  new key us")
    for upstreams in UPSTREAMS:
        cost = measure(upstreams)
        print(
            f"{cost.upstreams:9d}  {cost.remembered_us:13.1f}  "
            f"{cost.weighted_us:14.1f}  {cost.new_us:10.1f}"
        )


if __name__ == "__main__":
    main()
