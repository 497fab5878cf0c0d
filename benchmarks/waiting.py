"""Measures the cost of events by the number of requests that wait at an entry.

    python -m benchmarks.waiting

Prints medians over rounds in microseconds, at a service of 300 full upstreams:
adding a request and removing it; a freed slot that a waiting request gets; a
freed slot that none gets; a report of loads that shows no free slot; the search
for requests to refuse. With them, the placements that the first two slots cost.
"""

from collections.abc import Callable
import statistics
import time
from typing import NamedTuple

from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.wait_queue import REFUSAL_INTERVAL_S
from almondstair.core.wait_queue import QueuedRequest
from almondstair.core.wait_queue import WaitCapacity
from almondstair.core.wait_queue import WaitQueue
from almondstair.core.wait_queue import WaitRequest
from almondstair.core.wait_queue import queue_runs
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern
from emulator.load_pattern import Service
from emulator.modelled_entry import ModelledEntry

REGIONS = ("r0", "r1", "r2")
UPSTREAMS = 300
SLOTS = 9
WAITING = (10, 100, 1_000)
ROUNDS = 50
_NOW_S = 100.0


class Costs(NamedTuple):
    """Costs with some requests waiting.

    Attributes:
      waiting: number of waiting requests.
      enter_us: adding a request and removing it.
      freed_us: a freed slot that a request gets.
      freed_placements: placements that it took.
      unused_us: a freed slot that no request gets.
      unused_placements: placements that it took.
      report_us: a report of loads without a free slot.
      refusals_us: a search for requests to refuse.
    """

    waiting: int
    enter_us: float
    freed_us: float
    freed_placements: float
    unused_us: float
    unused_placements: float
    report_us: float
    refusals_us: float


def _pattern() -> Pattern:
    each = UPSTREAMS // len(REGIONS)
    service = Service(
        name="s", upstreams=dict.fromkeys(REGIONS, each), slots=SLOTS
    )
    kind = Kind(
        name="k",
        service="s",
        per_s=1.0,
        known_s=0.3,
        new_s=1.0,
        aim_s=30.0,
        deadline_s=90.0,
        priority=0,
    )
    return Pattern(
        shows="",
        span_s=1.0,
        services=[service],
        kinds=[kind],
        entries=dict.fromkeys(REGIONS, 1),
    )


class _Waiting:
    """An entry with a full service and requests that wait for it."""

    def __init__(self, waiting: int) -> None:
        self.entry = ModelledEntry(
            name="e", region="r0", pattern=_pattern(), names=("e", "f")
        )
        [self.upstreams] = self.entry.eligible_upstreams().values()
        self.loads = {each.name_hash: 3 * SLOTS for each in self.upstreams}
        self.entry.update_loads(self.loads, {}, EMPTY_PLAN)
        self.queue = WaitQueue(capacity=WaitCapacity())
        self.requests: dict[QueuedRequest, PlacementRequest] = {}
        self.placements = 0
        for number in range(waiting - 1):
            self.add(f"key-{number}")

    def add(self, key: str) -> QueuedRequest:
        request = PlacementRequest(
            route=self.entry.routes["k"],
            service="s",
            key=key,
            arrived_s=_NOW_S,
            deadline_s=_NOW_S + 90.0,
            tried=(),
            limit_refusals=LimitRefusals(),
            max_queue_runs=queue_runs(0),
        )
        placer = self.entry.placer
        times = placer.send_times(request, caller_age_s=0.0)
        queued = self.queue.add(
            WaitRequest(0, False, times.latest_s, times.give_up_s),
            targets=placer.preferred_upstreams(request, now_s=_NOW_S),
            now_s=_NOW_S,
        )
        assert queued is not None
        self.requests[queued] = request
        return queued

    def place(self, queued: QueuedRequest) -> bool:
        self.placements += 1
        request = self.requests[queued]
        placed = self.entry.placer.place(request, now_s=_NOW_S)
        return placed.choice is not None


def _median_us(
    prepare: Callable[[int], object], event: Callable[[], object]
) -> float:
    times_us = []
    for number in range(ROUNDS):
        prepare(number)
        started_s = time.perf_counter()
        event()
        times_us.append((time.perf_counter() - started_s) * 1e6)
    return statistics.median(times_us)


def measure(waiting: int) -> Costs:
    """Measures events with `waiting` requests in the queue."""
    found = _Waiting(waiting)
    queue, placer = found.queue, found.entry.placer

    def enter() -> None:
        queue.remove(found.add("another"))

    def nothing(number: int) -> None:
        del number

    def free_slot(number: int) -> None:
        nonlocal last
        if number:
            last = found.add("last")
        found.entry.update_loads({**found.loads, target: 3}, {}, EMPTY_PLAN)

    def serve() -> None:
        queue.serve(found.place, free={target}, now_s=_NOW_S, max_placements=1)

    def report() -> None:
        free = placer.free_upstreams(
            "s", max_queue_runs=queue_runs(0), now_s=_NOW_S
        )
        if free is None or free:
            queue.serve(found.place, free=free, now_s=_NOW_S)

    at_s = _NOW_S

    def later(number: int) -> None:
        nonlocal at_s
        del number
        at_s += 2 * REFUSAL_INTERVAL_S

    def search() -> None:
        some = found.requests[last]
        rate_per_s = placer.own_rate_per_s(some)
        assert not queue.due(expected_per_s=rate_per_s, now_s=at_s).refusals

    # One place is left for the request that is added.
    enter_us = _median_us(nothing, enter)
    last = found.add("last")
    [target, *_] = last.targets
    found.placements = 0
    freed_us = _median_us(free_slot, serve)
    freed_placements = found.placements / ROUNDS
    assert len(queue) == waiting - 1
    last = found.add("last")
    found.entry.update_loads(found.loads, {}, EMPTY_PLAN)
    found.placements = 0
    unused_us = _median_us(nothing, serve)
    unused_placements = found.placements / ROUNDS
    return Costs(
        waiting=waiting,
        enter_us=enter_us,
        freed_us=freed_us,
        freed_placements=freed_placements,
        unused_us=unused_us,
        unused_placements=unused_placements,
        report_us=_median_us(nothing, report),
        refusals_us=_median_us(later, search),
    )


def main() -> None:
    """Prints one row per number of waiting requests."""
    print("waiting  enter  freed (placed)  unused (placed)  report  refusals")
    for waiting in WAITING:
        cost = measure(waiting)
        print(
            f"{cost.waiting:7}  {cost.enter_us:5.0f}  {cost.freed_us:5.0f}"
            f" ({cost.freed_placements:6.1f})  {cost.unused_us:6.0f}"
            f" ({cost.unused_placements:6.1f})  {cost.report_us:6.0f}"
            f"  {cost.refusals_us:8.0f}"
        )


if __name__ == "__main__":
    main()
