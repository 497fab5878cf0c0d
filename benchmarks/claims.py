"""Measures claims: platform calls a request, latency, processor time.

One request is a claim, some work, and its recorded outcome. Loads are open:
requests start at their times whether or not earlier ones are done. The platform
is the stand-in of the tests, in a process of its own, with a fixed delay.

Ways: (a) each write a call of its own; (b') the writes that queue while calls
are under way share the next one; (b'+) so, and outcomes are collected for a
tenth of a second. (b), forwarding each request to the owner of its key, is not
built: if one owner took the keys of ten entries, it would see ten times the
load of one, so its calls a request are those of (b'+) at that load, and each
request pays a hop more. The last line puts the two side by side.

    python -m benchmarks.claims
"""

import asyncio
import json
import os
from pathlib import Path
import subprocess
import sys
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient

from almondstair.claims import Claims
from almondstair.core import idempotency
from almondstair.errors import AlmondstairError
from almondstair.key_value.etcd import EtcdService

ADDRESS = "127.0.0.1:29117"
STANDIN = "features/support/platform_standin.py"
PLATFORM_DELAY_MS = 4
LOADS_PER_S = (30, 100, 300, 600)
DURATION_S = 4.0
HOPS = 300
WORK_S = 0.02
ANSWER = idempotency.recorded_response(status=201, headers=[], body=b"x" * 200)


class Way(NamedTuple):
    """How writes go to the platform."""

    name: str
    max_batch: int
    max_under_way: int
    settle_delay_s: float


WAYS = (
    Way("(a) a call a write", 1, 32, 0.0),
    Way("(b') 1 under way", 64, 1, 0.0),
    Way("(b') 2 under way", 64, 2, 0.0),
    Way("(b'+) 2, outcomes 0.1 s", 64, 2, 0.1),
)


class Row(NamedTuple):
    """Figures of one way at one load."""

    done_per_s: float
    refused: int
    calls_per_request: float
    p50_ms: float
    p99_ms: float
    cpu_ms: float


async def write_count() -> int:
    answer = await AsyncHTTPClient().fetch(f"http://{ADDRESS}/counts")
    return json.loads(answer.body)["writes"]


async def measure(*, way: Way, load_per_s: int) -> Row:
    """Runs one way at one load."""
    service = EtcdService(url=f"http://{ADDRESS}", timeout_s=0.5)
    claims = Claims(
        service=service,
        entry_name="entry",
        incarnation="bench",
        is_live=lambda entry, incarnation: True,
        retention_s=3600,
        max_batch=way.max_batch,
        max_in_flight=way.max_under_way,
        batch_delay_s=way.settle_delay_s,
    )
    latencies_us = HdrHistogram(1, 60_000_000, 3)
    refused = 0

    async def request(number: int) -> None:
        nonlocal refused
        start_s = time.monotonic()
        try:
            claim = await claims.claim(
                service="approvals",
                key=f"{way.name}/{load_per_s}/{number}",
                fingerprint=b"",
                deadline_s=start_s + 10,
            )
        except AlmondstairError:
            refused += 1
            return
        latencies_us.record_value(int((time.monotonic() - start_s) * 1e6))
        if not isinstance(claim, idempotency.Claim):
            raise TypeError("a key was used twice")
        claim.dispatch(now_s=time.monotonic())
        await asyncio.sleep(WORK_S)
        await claims.record_response(claim, ANSWER)

    await request(-1)
    await claims.drain(timeout_s=10)
    latencies_us.reset()
    calls_before = await write_count()
    cpu_before_s = time.process_time()
    start_s = time.monotonic()
    count = int(load_per_s * DURATION_S)
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            due_s = start_s + number / load_per_s
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            group.create_task(request(number))
    took_s = time.monotonic() - start_s
    await claims.drain(timeout_s=10)
    cpu_s = time.process_time() - cpu_before_s
    calls = await write_count() - calls_before
    service.close()
    return Row(
        done_per_s=(count - refused) / took_s,
        refused=refused,
        calls_per_request=calls / count,
        p50_ms=latencies_us.get_value_at_percentile(50) / 1000,
        p99_ms=latencies_us.get_value_at_percentile(99) / 1000,
        cpu_ms=cpu_s * 1000 / count,
    )


async def measure_hop() -> tuple[float, float]:
    """Returns p50 and processor time of one small call, in ms, no delay."""
    service = EtcdService(url=f"http://{ADDRESS}", timeout_s=0.5)
    await set_delay(0)
    times_ms = []
    cpu_before_s = time.process_time()
    for _ in range(HOPS):
        start_s = time.monotonic()
        await service.get(key="absent")
        times_ms.append((time.monotonic() - start_s) * 1000)
    cpu_ms = (time.process_time() - cpu_before_s) * 1000 / HOPS
    service.close()
    return sorted(times_ms)[HOPS // 2], cpu_ms


async def set_delay(delay_ms: int) -> None:
    await AsyncHTTPClient().fetch(
        f"http://{ADDRESS}/faults",
        method="POST",
        body=json.dumps({"delay_ms": delay_ms}),
    )


async def run() -> None:
    """Runs every way at every load and prints the table."""
    await set_delay(PLATFORM_DELAY_MS)
    rows: dict[tuple[str, int], Row] = {}
    table = Table(title=f"claims, platform delay {PLATFORM_DELAY_MS} ms")
    for heading in ("way", "load/s", *Row._fields):
        table.add_column(heading, justify="right")
    for load_per_s in LOADS_PER_S:
        for way in WAYS:
            row = await measure(way=way, load_per_s=load_per_s)
            rows[way.name, load_per_s] = row
            cells = [f"{value:.2f}" for value in row]
            table.add_row(way.name, str(load_per_s), *cells)
    console = Console(width=120)
    console.print(table)
    alone = rows[WAYS[-1].name, LOADS_PER_S[0]].calls_per_request
    owner = rows[WAYS[-1].name, LOADS_PER_S[0] * 10].calls_per_request
    hop_ms, hop_cpu_ms = await measure_hop()
    console.print(
        f"(b) ten entries at {LOADS_PER_S[0]}/s each: {alone:.2f} calls a"
        f" request each for itself, {owner:.2f} with one owner for all; a hop"
        f" more on loopback is {hop_ms:.2f} ms and {hop_cpu_ms:.2f} ms of"
        " processor time at its sender, and the network's round trip on top",
        highlight=False,
    )


def main() -> None:
    root = Path(__file__).resolve().parents[1]
    platform = subprocess.Popen(
        [sys.executable, str(root / STANDIN), "--address", ADDRESS],
        env={**os.environ, "PYTHONPATH": str(root)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        time.sleep(1.0)
        asyncio.run(run())
    finally:
        platform.kill()
        platform.wait()


if __name__ == "__main__":
    main()
