"""Measures the cost of a hop: requests/s and CPU per request on loopback.

Starts a platform, an upstream and two entries as separate processes and sends
small requests over a few persistent connections: lookups, requests through one
entry and through two, and, for comparison, directly to the upstream. Prints a
table; takes about half a minute.

  python -m benchmarks.hops [--clients] [--profile bkk-e0]
"""

import argparse
import asyncio
import os
from pathlib import Path
import statistics
import time
from typing import NamedTuple

from rich.console import Console
from rich.table import Table
from tornado import httpclient
from tornado import httputil

from almondstair.body import RequestBody
from almondstair.http_client import HttpClient
from almondstair.http_client import ResponseSink
from almondstair.http_messages import ResponseHead
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.harness import send
from features.support.harness import wait_until

CONNECTIONS = 8
# Kinds of request are measured in turn, in several rounds, and the median is
# reported: other load on the host slows some rounds.
ROUNDS = 5
WARM_S = 0.2
MEASURE_S = 1.0
CLIENT_REQUESTS = 2000
SLOTS = 64
NEAR = "bkk-e0"
FAR = "cnx-e0"
UPSTREAM = "bkk-u0"
ORDER = "/matching/orders/1"
LOOKUP = "/v1/entries?service=matching"
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


class Run(NamedTuple):
    """One kind of request under load.

    Attributes:
      name: name in the results.
      address: address to which the requests are sent.
      path: path and query.
      processes: processes whose CPU time is reported.
    """

    name: str
    address: str
    path: str
    processes: tuple[str, ...]


class Result(NamedTuple):
    """Results of one round; CPU time by process in ms per request."""

    requests_per_s: float
    failed: int
    p50_ms: float
    p99_ms: float
    cpu_ms: dict[str, float]


def cpu_s(pid: int) -> float:
    """Returns the user and system time of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


async def send_until(
    run: Run, until_s: float, latencies_s: list[float], failed: list[int]
) -> None:
    """Sends one request after another on one connection."""
    ip, _, port = run.address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    request = f"GET {run.path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        lower = head.lower()
        size = lower.partition(b"content-length:")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(size))
        latencies_s.append(time.monotonic() - started_s)
        if not head.startswith(b"HTTP/1.1 200"):
            failed.append(1)
    writer.close()


async def load(run: Run, length_s: float) -> tuple[list[float], int]:
    """Loads one address over several connections."""
    until_s = time.monotonic() + length_s
    latencies_s: list[float] = []
    failed: list[int] = []
    senders = []
    for _ in range(CONNECTIONS):
        senders.append(send_until(run, until_s, latencies_s, failed))
    await asyncio.gather(*senders)
    return latencies_s, len(failed)


def measure(deployment: Deployment, run: Run) -> Result:
    """Warms up, then measures one kind of request."""
    asyncio.run(load(run, WARM_S))
    children = deployment.processes.children
    before = {}
    for name in run.processes:
        before[name] = cpu_s(children[name].pid)
    started_s = time.monotonic()
    latencies_s, failed = asyncio.run(load(run, MEASURE_S))
    elapsed_s = time.monotonic() - started_s
    cpu_ms = {}
    for name in run.processes:
        used_s = cpu_s(children[name].pid) - before[name]
        cpu_ms[name] = used_s / len(latencies_s) * 1000
    latencies_s.sort()
    return Result(
        requests_per_s=len(latencies_s) / elapsed_s,
        failed=failed,
        p50_ms=latencies_s[len(latencies_s) // 2] * 1000,
        p99_ms=latencies_s[len(latencies_s) * 99 // 100] * 1000,
        cpu_ms=cpu_ms,
    )


def start(processes: Processes, profile: str) -> Deployment:
    """Starts the processes with tracing off, as in large deployments."""
    deployment = BenchDeployment(
        processes=processes,
        shape=Shape(
            entries={"bkk": 1, "cnx": 1},
            upstreams={"bkk": 1},
            slots=SLOTS,
            cap_bytes_per_s=2_000_000_000,
            work_ms=0,
        ),
    )
    deployment.profile = profile
    deployment.start()

    def serves() -> bool:
        for entry in (NEAR, FAR):
            address = deployment.entries[entry]["caller"]
            if send("GET", address, ORDER).status != 200:
                return False
        return True

    wait_until(serves, limit_s=20, what="entries that serve")
    return deployment


class BenchDeployment(Deployment):
    """A deployment without traces, with an optional profile of an entry."""

    profile = ""

    def write_settings(self, name: str, more: str = "") -> None:
        """Writes the settings of an entry with tracing off."""
        super().write_settings(name, more)
        path = self.processes.directory / f"{name}.toml"
        text = path.read_text(encoding="utf-8")
        text = text.replace('exporter = "file"', 'exporter = "none"')
        path.write_text(text, encoding="utf-8")

    def start_entry(self, name: str, *, wait: bool = True):
        """Starts an entry, under cProfile if it is the one to profile."""
        if name != self.profile:
            return super().start_entry(name, wait=wait)
        return self.processes.start(
            name,
            "-m",
            "cProfile",
            "-o",
            f"{name}.profile",
            "-m",
            "almondstair.daemon",
            "--settings",
            str(self.processes.directory / f"{name}.toml"),
        )


# The client libraries, each sending to the upstream; CPU time of this process.


class _DiscardingSink(ResponseSink):
    """Discards a response."""

    def receive_head(self, head: ResponseHead) -> None:
        del head

    async def receive_data(self, chunk: bytes) -> None:
        del chunk


async def send_with_almondstair(address: str) -> None:
    """Sends requests with the HTTP client of this project."""
    client = HttpClient(connect_timeout_s=1.0)
    sink = _DiscardingSink()
    for _ in range(CLIENT_REQUESTS):
        body = RequestBody()
        body.end()
        await client.exchange(
            address=address,
            stream=await client.connect(address, fresh=False),
            start_line=httputil.RequestStartLine("GET", "/a", "HTTP/1.1"),
            headers=httputil.HTTPHeaders({"Host": address}),
            body=body,
            sink=sink,
        )
    client.close()


async def send_with_tornado(address: str) -> None:
    """Sends requests with tornado's simple client."""
    client = httpclient.AsyncHTTPClient(force_instance=True)
    for _ in range(CLIENT_REQUESTS):
        await client.fetch(f"http://{address}/a")
    client.close()


def measure_clients(address: str) -> None:
    """Prints the CPU time per request of each client."""
    table = Table("client", "CPU ms per request")
    for name, sender in (
        ("almondstair, persistent connections", send_with_almondstair),
        ("tornado's simple client", send_with_tornado),
    ):
        before_s = time.process_time()
        asyncio.run(sender(address))
        used_s = time.process_time() - before_s
        table.add_row(name, f"{used_s / CLIENT_REQUESTS * 1000:.3f}")
    Console().print(table)


def print_results(results: dict[str, list[Result]]) -> None:
    """Prints the median of the rounds and the range of the CPU time."""
    table = Table("", "requests/s", "failed", "p50 ms", "p99 ms", "CPU ms")
    for name, rounds in results.items():
        cpu = []
        for process in rounds[0].cpu_ms:
            values = sorted(result.cpu_ms[process] for result in rounds)
            median = statistics.median(values)
            cpu.append(
                f"{process} {median:.2f} ({values[0]:.2f} to {values[-1]:.2f})"
            )
        table.add_row(
            name,
            f"{statistics.median(r.requests_per_s for r in rounds):.0f}",
            str(sum(r.failed for r in rounds)),
            f"{statistics.median(r.p50_ms for r in rounds):.2f}",
            f"{statistics.median(r.p99_ms for r in rounds):.2f}",
            "\n".join(cpu),
        )
    Console(width=100).print(table)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", default="", help="entry to profile")
    parser.add_argument("--clients", action="store_true")
    options = parser.parse_args()
    processes = Processes()
    try:
        deployment = start(processes, options.profile)
        near = deployment.entries[NEAR]["caller"]
        far = deployment.entries[FAR]["caller"]
        upstream = deployment.upstreams[UPSTREAM]
        runs = (
            Run("direct to the upstream", upstream, "/orders/1", (UPSTREAM,)),
            Run("lookup", near, LOOKUP, (NEAR,)),
            Run("entry -> upstream", near, ORDER, (NEAR, UPSTREAM)),
            Run("entry -> entry -> upstream", far, ORDER, (FAR, NEAR)),
        )
        results: dict[str, list[Result]] = {}
        for _ in range(ROUNDS):
            for run in runs:
                result = measure(deployment, run)
                results.setdefault(run.name, []).append(result)
        print_results(results)
        if options.clients:
            measure_clients(upstream)
        if options.profile:
            processes.children[options.profile].terminate(limit_s=30)
    finally:
        processes.end()


if __name__ == "__main__":
    main()
