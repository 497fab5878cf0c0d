"""Measures the CPU time of ordering a lookup and of choosing a region.

Run: python -m benchmarks.lookup_cost
Lookups are measured for new and for cached buckets; steering with one source of
load reports per region up to as many as the target size has.
"""

import random
import time
import tracemalloc

import xxhash

from almondstair.core.lookup import BUCKETS
from almondstair.core.lookup import LookupEntry
from almondstair.core.lookup import LookupTable
from almondstair.core.lookup import caller_block
from almondstair.core.model import Configuration
from almondstair.core.model import Link
from almondstair.core.model import PolicyName
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.model import Region
from almondstair.core.model import RequestClass
from almondstair.core.model import Service
from almondstair.core.model import Upstream
from almondstair.core.steering import Steering

# Entries per zone and zones, from the present size to the target.
LAYOUTS = ((2, 6), (14, 14), (28, 14), (55, 14))
SOURCES = (1, 48, 96, 192)
REGIONS = 4
ZONES = 14
BLOCKS = 100_000
MIB = 1 << 20
CHOICES = 20_000
REPORTS = 20_000
RATE_PER_S = 1000.0


def _table(*, per_zone: int, zones: int) -> LookupTable:
    entries: list[LookupEntry] = []
    distances_ms: dict[str, float] = {}
    for zone in range(zones):
        name = f"zone-{zone:02}"
        distances_ms[name] = float(zone // (zones // 2) * 10 + (zone > 0) * 0.5)
        for number in range(per_zone):
            address = f"127.0.0.{number}:20100"
            entries.append(
                LookupEntry(f"entry-{name}-{number:03}", name, address)
            )
    return LookupTable(entries=tuple(entries), distances_ms=distances_ms)


def _blocks_of_different_buckets() -> list[bytes]:
    blocks: dict[int, bytes] = {}
    for number in range(BLOCKS):
        block = number.to_bytes(3)
        blocks[xxhash.xxh3_64_intdigest(block) % BUCKETS] = block
    return list(blocks.values())


def _order_us(*, table: LookupTable, blocks: list[bytes]) -> float:
    started_s = time.process_time()
    for block in blocks:
        table.ordered_entries(block=block)
    return (time.process_time() - started_s) / len(blocks) * 1e6


def _cached_mib(*, per_zone: int, zones: int, blocks: list[bytes]) -> float:
    table = _table(per_zone=per_zone, zones=zones)
    tracemalloc.start()
    for block in blocks:
        table.ordered_entries(block=block)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes / MIB


def _block_us() -> float:
    draw = random.Random(1)
    addresses: list[str] = []
    for _ in range(BLOCKS):
        parts = draw.choices(range(256), k=4)
        addresses.append(".".join(str(part) for part in parts))
    started_s = time.process_time()
    for address in addresses:
        caller_block(address=address)
    return (time.process_time() - started_s) / BLOCKS * 1e6


def measure_lookups() -> None:
    print(f"block of an address: {_block_us():.1f} us CPU")
    for per_zone, zones in LAYOUTS:
        started_s = time.process_time()
        table = _table(per_zone=per_zone, zones=zones)
        build_ms = (time.process_time() - started_s) * 1e3
        blocks = _blocks_of_different_buckets()
        cached_mib = _cached_mib(per_zone=per_zone, zones=zones, blocks=blocks)
        new_us = _order_us(table=table, blocks=blocks)
        cached_us = _order_us(table=table, blocks=blocks)
        print(
            f"{per_zone * zones:>4} entries, {per_zone:>2} per zone: "
            f"order {new_us:.1f} us CPU, when cached {cached_us:.2f} us, "
            f"table built in {build_ms:.2f} ms, "
            f"{len(blocks):,} cached orders take {cached_mib:.1f} MiB"
        )


def _configuration(*, policy: PolicyName) -> Configuration:
    regions: dict[str, Region] = {}
    upstreams: dict[str, Upstream] = {}
    links: list[Link] = []
    for number in range(REGIONS):
        zones: list[str] = []
        for zone in range(number, ZONES, REGIONS):
            zones.append(f"zone-{zone:02}")
        regions[f"region-{number}"] = Region(tuple(zones))
        upstreams[f"upstream-{number}"] = Upstream(
            ("work",), "127.0.0.1:1", zones[0], 1000, 1000
        )
        links.append(
            Link("zone-00", f"region-{number}", 1_000_000, 10.0 * number)
        )
    request_class = RequestClass(
        "get", ("GET",), "/*", True, Priority.INTERACTIVE, 1000
    )
    return Configuration(
        regions=regions,
        services={"work": Service("p", (request_class,))},
        upstreams=upstreams,
        profiles={"p": Profile(policy=policy)},
        links=tuple(links),
    )


def _report(*, steering: Steering, source: int, now_s: float) -> None:
    steering.regions.record_load_report(
        region=f"region-{source % REGIONS}",
        service="work",
        source=f"entry-{source}",
        slots=20,
        free_slots=10,
        age_s=0.0,
        now_s=now_s,
    )


def _steering_us(*, policy: PolicyName, sources: int) -> tuple[float, float]:
    """Returns the CPU time of one choice and one report in microseconds."""
    steering = Steering(configuration=_configuration(policy=policy))
    total = sources * REGIONS
    now_s = 0.0
    for source in range(total):
        _report(steering=steering, source=source, now_s=now_s)
    draw = random.Random(1)
    started_s = time.process_time()
    for number in range(REPORTS):
        now_s += 1.0 / RATE_PER_S
        _report(steering=steering, source=number % total, now_s=now_s)
    report_us = (time.process_time() - started_s) / REPORTS * 1e6
    spent_s = 0.0
    for number in range(CHOICES):
        now_s += 1.0 / RATE_PER_S
        _report(steering=steering, source=number % total, now_s=now_s)
        started_s = time.process_time()
        steering.choose(
            service="work",
            priority=Priority.INTERACTIVE,
            availability_zone="zone-00",
            now_s=now_s,
            draw=draw.random(),
        )
        spent_s += time.process_time() - started_s
    return spent_s / CHOICES * 1e6, report_us


def measure_steering() -> None:
    for policy in PolicyName:
        for sources in SOURCES:
            choose_us, report_us = _steering_us(policy=policy, sources=sources)
            print(
                f"{policy:>11}, {sources:>3} sources per region: "
                f"choose {choose_us:.1f} us CPU, report {report_us:.1f} us"
            )


def main() -> None:
    measure_lookups()
    measure_steering()


if __name__ == "__main__":
    main()
