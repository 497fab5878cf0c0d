"""Measures memory and CPU time of the steering state.

Run: python -m benchmarks.steering_state
Measures load reports by number of sources, in-band health by number of
upstreams, and the quarantine by number of requests with strikes.
"""

from collections.abc import Callable
import time
import tracemalloc
from typing import Any

from almondstair.core.health import HealthTable
from almondstair.core.loads import RegionLoad
from almondstair.core.quarantine import Quarantine

SIZES = (48, 96, 192, 770)
STRUCK = (0, 16, 64, 256, 1024)
LIMIT_S = 3.0
TICKS = 1000
TURNS = 20
PERIOD_S = 0.25


def _loads(size: int) -> RegionLoad:
    load = RegionLoad(configured_slots=1000, limit_s=LIMIT_S)
    for number in range(size):
        load.record_report(
            source=f"entry-{number}", slots=20, free_slots=10, measured_s=0.0
        )
    return load


def _health(size: int) -> HealthTable:
    table = HealthTable()
    for number in range(size):
        table.record_answer(
            name=f"upstream-{number}",
            request_class="get",
            latency_ms=10.0,
            now_s=0.0,
        )
    return table


def _quarantine(size: int) -> Quarantine:
    quarantine = Quarantine()
    for number in range(size):
        fingerprint = number << 40
        quarantine.record_strike(
            fingerprint=fingerprint, upstream="a", now_s=0.0
        )
        quarantine.record_strike(
            fingerprint=fingerprint, upstream="b", now_s=0.0
        )
    return quarantine


def _size_bytes(make: Callable[[int], Any], size: int) -> int:
    tracemalloc.start()
    made = make(size)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert made is not None
    return size_bytes


def measure_loads(*, size: int) -> None:
    load = _loads(size)
    now_s = 0.0
    started_s = time.process_time()
    for tick in range(TICKS):
        now_s += PERIOD_S / size
        load.record_report(
            source=f"entry-{tick % size}",
            slots=20,
            free_slots=10,
            measured_s=now_s,
        )
        load.totals(now_s=now_s)
    report_us = (time.process_time() - started_s) / TICKS * 1e6
    print(
        f"load of {size:>3} sources: {_size_bytes(_loads, size):,} bytes, "
        f"report and sum {report_us:.1f} us CPU"
    )


def measure_health(*, size: int) -> None:
    table = _health(size)
    now_s = 0.0
    started_s = time.process_time()
    for tick in range(TICKS):
        now_s += 0.001
        name = f"upstream-{tick % size}"
        table.record_answer(
            name=name, request_class="get", latency_ms=10.0, now_s=now_s
        )
        table.view(name=name, now_s=now_s)
    answer_us = (time.process_time() - started_s) / TICKS * 1e6
    print(
        f"health of {size:>3} names: {_size_bytes(_health, size):,} bytes, "
        f"answer and view {answer_us:.1f} us CPU"
    )


def measure_quarantine(*, size: int) -> None:
    quarantine = _quarantine(size)
    started_s = time.process_time()
    for _ in range(TURNS):
        marks = quarantine.next_marks(now_s=1.0)
        quarantine.merge_marks(marks=marks, now_s=1.0)
    merge_us = (time.process_time() - started_s) / TURNS * 1e6
    started_s = time.process_time()
    for number in range(TICKS):
        quarantine.verdict(fingerprint=number, now_s=1.0)
    verdict_us = (time.process_time() - started_s) / TICKS * 1e6
    print(
        f"quarantine of {size:>4} requests: "
        f"{_size_bytes(_quarantine, size):,} bytes, "
        f"digest and merge {merge_us:.0f} us CPU, verdict {verdict_us:.2f} us"
    )


def main() -> None:
    for size in SIZES:
        measure_loads(size=size)
    for size in SIZES:
        measure_health(size=size)
    for size in STRUCK:
        measure_quarantine(size=size)


if __name__ == "__main__":
    main()
