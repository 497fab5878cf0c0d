"""Measures claims: platform calls per request, latency, CPU time.

One request is a claim, some work, and its recorded outcome. The load is open
loop: requests start on schedule whether or not earlier ones have finished. The
platform is the stand-in of the tests, in a separate process, with a fixed
delay.

Modes of writing: (a) one call per write; (b') writes that queue while calls are
in flight share the next call; (b'+) as (b'), and outcomes are collected for
0.1 s. (b), forwarding each request to the owner of its key, is not implemented:
an owner of the keys of ten entries would see ten times the load of one, so its
calls per request are those of (b'+) at that load, and each request costs one
more hop. The last line compares the two.

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


class WriteMode(NamedTuple):
    """How writes are sent to the platform."""

    name: str
    max_batch: int
    max_in_flight: int
    batch_delay_s: float


WRITE_MODES = (
    WriteMode("(a) one call per write", 1, 32, 0.0),
    WriteMode("(b') 1 in flight", 64, 1, 0.0),
    WriteMode("(b') 2 in flight", 64, 2, 0.0),
    WriteMode("(b'+) 2, outcomes 0.1 s", 64, 2, 0.1),
)


class Row(NamedTuple):
    """Results of one mode at one load."""

    done_per_s: float
    refused: int
    calls_per_request: float
    p50_ms: float
    p99_ms: float
    cpu_ms: float


async def write_count() -> int:
    answer = await AsyncHTTPClient().fetch(f"http://{ADDRESS}/counts")
    return json.loads(answer.body)["writes"]


async def measure(*, mode: WriteMode, load_per_s: int) -> Row:
    """Runs one mode at one load."""
    service = EtcdService(url=f"http://{ADDRESS}", timeout_s=0.5)
    claims = Claims(
        service=service,
        entry_name="entry",
        incarnation="bench",
        is_live=lambda entry, incarnation: True,
        retention_s=3600,
        max_batch=mode.max_batch,
        max_in_flight=mode.max_in_flight,
        batch_delay_s=mode.batch_delay_s,
    )
    latencies_us = HdrHistogram(1, 60_000_000, 3)
    refused = 0

    async def request(number: int) -> None:
        nonlocal refused
        start_s = time.monotonic()
        try:
            claim = await claims.claim(
                service="approvals",
                key=f"{mode.name}/{load_per_s}/{number}",
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
    """Returns p50 and CPU time in ms of one small call without delay."""
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
    """Runs every mode at every load and prints the table."""
    await set_delay(PLATFORM_DELAY_MS)
    rows: dict[tuple[str, int], Row] = {}
    table = Table(title=f"claims, platform delay {PLATFORM_DELAY_MS} ms")
    for heading in ("mode", "load/s", *Row._fields):
        table.add_column(heading, justify="right")
    for load_per_s in LOADS_PER_S:
        for mode in WRITE_MODES:
            row = await measure(mode=mode, load_per_s=load_per_s)
            rows[mode.name, load_per_s] = row
            cells = [f"{value:.2f}" for value in row]
            table.add_row(mode.name, str(load_per_s), *cells)
    console = Console(width=120)
    console.print(table)
    single = rows[WRITE_MODES[-1].name, LOADS_PER_S[0]].calls_per_request
    owner = rows[WRITE_MODES[-1].name, LOADS_PER_S[0] * 10].calls_per_request
    hop_ms, hop_cpu_ms = await measure_hop()
    console.print(
        f"(b) ten entries at {LOADS_PER_S[0]}/s each: {single:.2f} calls per"
        f" request without an owner, {owner:.2f} with one owner for all; one"
        f" more hop costs {hop_ms:.2f} ms on loopback and {hop_cpu_ms:.2f} ms"
        " of CPU time at its sender, plus the round trip of the network",
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
