"""Measures the table of client blocks at four sizes up to the target.

Run: python -m benchmarks.blocks
Prints one line per size: memory per block, time to build, to write as shards
and to read back, and time of one lookup. The arrays are built from synthetic
blocks, of which nine in ten are IPv4.
"""

from collections.abc import Iterator
import random
import time
import tracemalloc

from almondstair.core.blocks import BlockSite
from almondstair.core.blocks import BlockTable
from almondstair.core.blocks import ShardReader
from almondstair.core.blocks import table_from_rows
from almondstair.core.blocks import table_from_shards

SIZES = (137_500, 275_000, 550_000, 1_100_000)
SITES = 130
IPV4_PART = 0.9
LOOKUPS = 200_000
MIB = 1 << 20


def _rows(*, count: int, rng: random.Random) -> Iterator[BlockSite]:
    ipv4 = round(count * IPV4_PART)
    for number in rng.sample(range(1 << 24), ipv4):
        yield BlockSite(number.to_bytes(3), rng.randrange(SITES))
    for number in rng.sample(range(1 << 48), count - ipv4):
        yield BlockSite(number.to_bytes(6), rng.randrange(SITES))


def _lookup_us(*, table: BlockTable, rng: random.Random) -> float:
    blocks: list[bytes] = []
    for _ in range(LOOKUPS):
        blocks.append(rng.randbytes(3))
    started_s = time.process_time()
    for block in blocks:
        table.site(block=block)
    return (time.process_time() - started_s) / LOOKUPS * 1e6


def _peak_mib(*, values: tuple[bytes, ...]) -> float:
    """Returns the peak memory while the shards are read."""
    tracemalloc.start()
    table_from_shards(values=values)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak_bytes / MIB


def measure(*, count: int) -> None:
    rng = random.Random(count)
    started_s = time.process_time()
    table = table_from_rows(rows=_rows(count=count, rng=rng), version=1)
    build_s = time.process_time() - started_s
    started_s = time.process_time()
    values = table.shards()
    write_s = time.process_time() - started_s
    reader = ShardReader()
    read_times_s: list[float] = []
    for value in values:
        started_s = time.process_time()
        reader.add(value=value)
        read_times_s.append(time.process_time() - started_s)
    started_s = time.process_time()
    table = reader.table()
    read_times_s.append(time.process_time() - started_s)
    largest_bytes = 0
    for value in values:
        largest_bytes = max(largest_bytes, len(value))
    print(
        f"{count:>9,} blocks: {table.size_bytes / count:.2f} bytes per block, "
        f"{table.size_bytes / MIB:.1f} MiB arrays, "
        f"built in {build_s:.2f} s CPU, "
        f"{len(values)} shards of at most {largest_bytes:,} bytes, "
        f"written in {write_s * 1e3:.1f} ms, "
        f"read in {sum(read_times_s) * 1e3:.0f} ms, "
        f"{max(read_times_s) * 1e3:.0f} ms at most at a time, "
        f"peak {_peak_mib(values=values):.1f} MiB, "
        f"lookup {_lookup_us(table=table, rng=rng):.2f} us CPU"
    )


def main() -> None:
    for count in SIZES:
        measure(count=count)


if __name__ == "__main__":
    main()
