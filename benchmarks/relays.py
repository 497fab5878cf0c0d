"""Measures what a relayed request costs, on loopback.

Two entries in two zones; callers send to the first, a few requests at a time.
The second table row is the same with the first entry cut off from upstreams.
Prints latencies and the processor time of both entries for each request.

    python -m benchmarks.relays
"""

import asyncio
from pathlib import Path
import tempfile
import time
from typing import NamedTuple
import uuid

from rich.console import Console
from rich.table import Table
from tornado import httpclient

from benchmarks.hops import cpu_s
from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from emulator.deployment import Deployment
from emulator.deployment import RouteRule
from emulator.deployment import Service
from emulator.proxy import ProxyFault
from emulator.world import World

CONNECTIONS = 4
WARM_S = 3.0
MEASURE_S = 5.0
DEADLINE_MS = 2500
BODY_BYTES = (0, 20_000, 700_000)
DEPLOYMENT = Deployment(
    zones={"a1": "east", "a2": "east"},
    gateways={"a1": 1, "a2": 1},
    services=[
        Service(
            name="service",
            upstreams={"a1": 2, "a2": 2},
            slots=16,
            work_ms=1.0,
        )
    ],
    routes=[
        RouteRule(prefix="/safe/", service="service"),
        RouteRule(prefix="/upload/", service="service", kind="upload"),
    ],
)


class Figures(NamedTuple):
    """Holds the figures of one kind of request.

    Attributes:
      requests: number of requests.
      failed: number of those without an upstream's complete response.
      median_ms: median latency.
      late_ms: 95th percentile of the latency.
      first_cpu_ms: processor time of the entry that callers reach, per request.
      second_cpu_ms: the same of the other entry.
    """

    requests: int
    failed: int
    median_ms: float
    late_ms: float
    first_cpu_ms: float
    second_cpu_ms: float


async def _send_until(
    address: str,
    body_bytes: int,
    until_s: float,
    found: list[tuple[float, bool]],
) -> None:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    path = "/upload/x" if body_bytes else "/safe/x"
    while time.monotonic() < until_s:
        message = EmulatedRequest(
            request=uuid.uuid4().hex[:16],
            path=path,
            key="x",
            deadline_ms=DEADLINE_MS,
            body=b"x" * body_bytes,
        )
        began_s = time.monotonic()
        writer.write(encode_request(message))
        response = await read_response(reader)
        complete = response.is_complete(message.request)
        found.append((time.monotonic() - began_s, complete))
    writer.close()


async def _measure(world: World, body_bytes: int) -> Figures:
    pids = [world.procs[name].pid for name in ("g0", "g1")]
    before_s = [cpu_s(pid) for pid in pids]
    until_s = time.monotonic() + MEASURE_S
    found: list[tuple[float, bool]] = []
    senders = []
    for _ in range(CONNECTIONS):
        senders.append(
            _send_until(world.callers["g0"], body_bytes, until_s, found)
        )
    await asyncio.gather(*senders)
    used_ms = [
        1000 * (cpu_s(pid) - start_s)
        for pid, start_s in zip(pids, before_s, strict=True)
    ]
    times_ms = sorted(1000 * took_s for took_s, _ in found)
    return Figures(
        requests=len(found),
        failed=sum(not complete for _, complete in found),
        median_ms=times_ms[len(times_ms) // 2],
        late_ms=times_ms[int(0.95 * (len(times_ms) - 1))],
        first_cpu_ms=used_ms[0] / len(found),
        second_cpu_ms=used_ms[1] / len(found),
    )


async def _play(folder: Path) -> dict[tuple[str, int], Figures]:
    world = World(deployment=DEPLOYMENT, directory=folder, zone_links=True)
    figures = {}
    try:
        await world.start()
        await world.configure_deployment()
        await world.until_ready()
        await asyncio.sleep(WARM_S)
        for body_bytes in BODY_BYTES:
            figures["direct", body_bytes] = await _measure(world, body_bytes)
        await world.cut_links("a1", ProxyFault.REFUSE)
        await asyncio.sleep(WARM_S)
        for body_bytes in BODY_BYTES:
            figures["relayed", body_bytes] = await _measure(world, body_bytes)
    finally:
        await world.end()
        httpclient.AsyncHTTPClient().close()
    return figures


def main() -> None:
    """Plays both ways and prints the table."""
    table = Table()
    for heading in (
        "way",
        "body bytes",
        "requests",
        "failed",
        "median ms",
        "95% ms",
        "cpu ms, reached entry",
        "cpu ms, other entry",
    ):
        table.add_column(heading)
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(_play(Path(folder)))
    for (way, body_bytes), figures in found.items():
        table.add_row(
            way,
            str(body_bytes),
            str(figures.requests),
            str(figures.failed),
            f"{figures.median_ms:.1f}",
            f"{figures.late_ms:.1f}",
            f"{figures.first_cpu_ms:.2f}",
            f"{figures.second_cpu_ms:.2f}",
        )
    Console(width=120).print(table)


if __name__ == "__main__":
    main()
