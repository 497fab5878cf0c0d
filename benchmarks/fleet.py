"""Measures idle entries: CPU, bytes, memory, platform calls, edit latency.

Run: python -m benchmarks.fleet (about three minutes)
Starts complete deployments of daemons on loopback, one after another: a growing
number of entries with few upstreams, then eight entries with a growing number
of upstreams. No request is sent, so only the control plane uses resources.

CPU and memory are reported as the median over the entries and the range, bytes
of the control sockets as the mean. `with headers` adds `PACKET_OVERHEAD_BYTES`
to each message, as if none shared a packet.
"""

import argparse
import asyncio
import datetime
import json
import os
from pathlib import Path
import socket
import statistics
import threading
import time
from typing import NamedTuple

from rich.console import Console
from rich.table import Table
import tornado.web

from almondstair.core.heartbeats import PACKET_OVERHEAD_BYTES
from benchmarks.hops import BenchDeployment
from benchmarks.hops import cpu_s
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.harness import free_address
from features.support.harness import get
from features.support.harness import wait_until
from features.support.operator_actions import Operator
from features.support.operator_actions import set_ramp

FEW_UPSTREAMS = 8
ENTRY_SERIES = (
    ("bkk", "cnx"),
    ("bkk", "cnx"),
    ("bkk", "cnx", "hkt", "nst"),
    ("bkk", "cnx", "hkt", "nst"),
)
ENTRY_COUNTS = (4, 8, 16, 32)
UPSTREAM_COUNTS = (10, 28, 60)
UPSTREAM_SERIES_ENTRIES = 8
SLOTS = 3
READY_LIMIT_S = 60.0
READY_POLL_S = 0.25
SETTLE_S = 4.0
MEASURE_S = 8.0
EDITS = 3
EDIT_LIMIT_S = 20.0
EDIT_PAUSE_S = 0.5
LARGEST_PACKET_BYTES = 65536
SERVER = "upstreams"
LOG_TIME = "%Y-%m-%d %H:%M:%S,%f"


class Size(NamedTuple):
    """The size of one deployment."""

    regions: tuple[str, ...]
    entries: int
    upstreams: int


class Calls(NamedTuple):
    """Calls to the platform; `watches` is the number of pending watches."""

    calls: int
    reads: int
    writes: int
    watches: int


class Result(NamedTuple):
    """Results of one deployment; lists hold one value per entry.

    Attributes:
      size: size of the deployment.
      cpu_percent: user and system time, in percent of one core.
      resident_bytes: memory at the end of the idle span.
      peer_per_s: mean rate over the entries by name of the metric.
      read_per_s: reads of the key-value service by all entries.
      write_per_s: writes of the key-value service by all entries.
      list_per_s: reads of the VM list by all entries.
      watches: number of pending watches.
      in_force_ms: for each edit, time from sending it to in force on all.
      load_average: load average of the host over the last minute, at the end.
    """

    size: Size
    cpu_percent: list[float]
    resident_bytes: list[int]
    peer_per_s: dict[str, float]
    read_per_s: float
    write_per_s: float
    list_per_s: float
    watches: int
    in_force_ms: list[float]
    load_average: float


# One process serves as every upstream.


class LoadHandler(tornado.web.RequestHandler):
    """Serves the load report of an idle upstream."""

    def get(self) -> None:
        """Sends the load report."""
        self.finish({"slots": SLOTS, "busy": 0, "draining": False})


async def serve(addresses: list[str]) -> None:
    """Listens on every address until the process is terminated."""
    application = tornado.web.Application([(r"/_load", LoadHandler)])
    for address in addresses:
        ip, _, port = address.rpartition(":")
        application.listen(int(port), ip)
    await asyncio.Event().wait()


class FleetDeployment(BenchDeployment):
    """A deployment whose upstreams share a process, without tracing."""

    def __init__(
        self, *, processes: Processes, shape: Shape, statsd_address: str
    ) -> None:
        """Initialises the deployment; `start` starts it.

        Args:
          processes: starts and ends the processes.
          shape: numbers of entries and upstreams.
          statsd_address: where entries send metrics, each under its name.
        """
        super().__init__(processes=processes, shape=shape)
        self._statsd_address = statsd_address

    def start_upstream(self, name: str) -> None:
        """Assigns an address; `write_deployment` starts the upstreams."""
        self.upstreams[name] = free_address()

    def write_deployment(self) -> None:
        """Writes the initial configuration and starts the upstreams."""
        super().write_deployment()
        addresses = list(self.upstreams.values())
        self.processes.start(
            SERVER,
            "-m",
            "benchmarks.fleet",
            "--serve",
            ",".join(addresses),
            address=addresses[-1],
        )

    def write_settings(self, name: str, more: str = "") -> None:
        """Writes the settings of an entry, with metrics enabled."""
        metrics = f"""[metrics]
statsd_address = "{self._statsd_address}"
prefix = "{name}"
"""
        super().write_settings(name, more + metrics)

    def wait_ready(self) -> None:
        """Waits until every home is active, polling rarely."""

        def ready() -> bool:
            time.sleep(READY_POLL_S)
            return self.is_ready()

        wait_until(ready, limit_s=READY_LIMIT_S, what="a fleet")


class PeerMeter(threading.Thread):
    """Receives the entries' metrics and keeps those of control sockets."""

    def __init__(self) -> None:
        """Opens the UDP socket for the metrics."""
        super().__init__(daemon=True)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._values: dict[str, list[int]] = {}

    def run(self) -> None:
        """Receives packets until the process exits."""
        while True:
            packet = self._socket.recv(LARGEST_PACKET_BYTES)
            for line in packet.decode().splitlines():
                self._record_line(line)

    def _record_line(self, line: str) -> None:
        name, _, rest = line.partition(":")
        _, _, metric = name.partition(".")
        if metric.startswith("peer_"):
            value = int(float(rest.partition("|")[0]))
            self._values.setdefault(metric, []).append(value)

    def clear(self) -> None:
        """Discards the values received so far."""
        self._values = {}

    def per_s(self) -> dict[str, float]:
        """Returns means per entry and second; entries send once a second."""
        means = {}
        for metric, values in self._values.items():
            means[metric] = statistics.mean(values)
        return means


def calls_of(deployment: FleetDeployment) -> Calls:
    """Returns the call counts of the platform."""
    return Calls(**get(deployment.platform, "/counts").json())


def shape_of(size: Size) -> Shape:
    """Spreads entries and upstreams evenly over the regions."""
    count = len(size.regions)
    entries = {}
    upstreams = {}
    for place, region in enumerate(size.regions):
        entries[region] = size.entries // count
        upstreams[region] = (size.upstreams + place) // count
    return Shape(entries=entries, upstreams=upstreams, slots=SLOTS)


def measure(size: Size, meter: PeerMeter) -> Result:
    """Starts one deployment, measures it idle and during edits, and ends it."""
    processes = Processes()
    deployment = FleetDeployment(
        processes=processes,
        shape=shape_of(size),
        statsd_address=meter.address,
    )
    try:
        deployment.start()
        time.sleep(SETTLE_S)
        return measure_idle(deployment, size, meter)
    finally:
        processes.end()


def measure_idle(
    deployment: FleetDeployment, size: Size, meter: PeerMeter
) -> Result:
    """Measures a running deployment while idle, then during a few edits."""
    children = []
    for name in deployment.entries:
        children.append(deployment.processes.children[name])
    before_calls = calls_of(deployment)
    before_s = [cpu_s(child.pid) for child in children]
    meter.clear()
    started_s = time.monotonic()
    time.sleep(MEASURE_S)
    after_s = [cpu_s(child.pid) for child in children]
    elapsed_s = time.monotonic() - started_s
    peer_per_s = meter.per_s()
    calls = calls_of(deployment)
    reads = calls.reads - before_calls.reads
    writes = calls.writes - before_calls.writes
    lists = calls.calls - before_calls.calls - reads - writes
    cpu_percent = []
    for earlier_s, later_s in zip(before_s, after_s, strict=True):
        cpu_percent.append((later_s - earlier_s) / elapsed_s * 100)
    resident_bytes = []
    for child in children:
        resident_bytes.append(child.resident_bytes())
    return Result(
        size=size,
        cpu_percent=cpu_percent,
        resident_bytes=resident_bytes,
        peer_per_s=peer_per_s,
        read_per_s=reads / elapsed_s,
        write_per_s=writes / elapsed_s,
        list_per_s=lists / elapsed_s,
        watches=calls.watches,
        in_force_ms=edit_times_ms(deployment),
        load_average=os.getloadavg()[0],
    )


def edit_times_ms(deployment: FleetDeployment) -> list[float]:
    """Makes a few edits and reads from the logs when each was in force."""
    operator = Operator(deployment=deployment)
    names = list(deployment.entries)
    times_ms = []
    for number in range(EDITS):
        time.sleep(EDIT_PAUSE_S)
        name = names[number * len(names) // EDITS]
        shown = operator.read(name)
        text = set_ramp(shown["text"], 0.3 + number / 10)
        sent = datetime.datetime.now()
        operator.put(name, text, shown["version"])
        in_force = wait_in_force(deployment, shown["version"] + 1)
        times_ms.append((in_force - sent).total_seconds() * 1000)
    return times_ms


def wait_in_force(
    deployment: FleetDeployment, version: int
) -> datetime.datetime:
    """Waits for a version on all entries; returns when the last had it."""
    return wait_until(
        lambda: last_in_force(deployment, version),
        limit_s=EDIT_LIMIT_S,
        what="an edit in force on all",
    )


def last_in_force(
    deployment: FleetDeployment, version: int
) -> datetime.datetime | None:
    """Returns when the last entry had a version in force, else None."""
    latest = datetime.datetime.min
    for name in deployment.entries:
        logged = in_force_at(deployment.processes.children[name].log, version)
        if logged is None:
            return None
        latest = max(latest, logged)
    return latest


def in_force_at(log: Path, version: int) -> datetime.datetime | None:
    """Returns when one entry logged a version as in force, else None."""
    for line in log.read_text(encoding="utf-8").splitlines():
        if "configuration_in_force" not in line:
            continue
        record = json.loads(line)
        if record["version"] == version:
            return datetime.datetime.strptime(record["time"], LOG_TIME)
    return None


def spread(values: list[float], digits: int) -> str:
    """Returns the median and the range."""
    median_value = statistics.median(values)
    low = min(values)
    high = max(values)
    return f"{median_value:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def print_results(results: list[Result]) -> None:
    """Prints one row per deployment."""
    table = Table(
        "entries",
        "upstreams",
        "CPU % of a core",
        "memory MiB",
        "bytes/s sent",
        "with headers",
        "bytes/s received",
        "messages/s sent",
        "reads/s",
        "writes/s",
        "VM list/s",
        "watches",
        "edit to in force ms",
        "load",
    )
    for result in results:
        memory = [value / 2**20 for value in result.resident_bytes]
        peer_per_s = result.peer_per_s
        sent = peer_per_s["peer_bytes.sent"]
        messages = peer_per_s["peer_messages.sent"]
        table.add_row(
            str(result.size.entries),
            str(result.size.upstreams),
            spread(result.cpu_percent, 2),
            spread(memory, 1),
            f"{sent:.0f}",
            f"{sent + messages * PACKET_OVERHEAD_BYTES:.0f}",
            f"{peer_per_s['peer_bytes.received']:.0f}",
            f"{messages:.1f}",
            f"{result.read_per_s:.1f}",
            f"{result.write_per_s:.1f}",
            f"{result.list_per_s:.1f}",
            str(result.watches),
            spread(result.in_force_ms, 0),
            f"{result.load_average:.1f}",
        )
    Console(width=230).print(table)


def sizes(entry_counts: list[int], upstream_counts: list[int]) -> list[Size]:
    """Returns the sizes of both series of deployments."""
    series = []
    for regions, entries in zip(ENTRY_SERIES, ENTRY_COUNTS, strict=True):
        if entries in entry_counts:
            series.append(Size(regions, entries, FEW_UPSTREAMS))
    for upstreams in upstream_counts:
        series.append(Size(ENTRY_SERIES[0], UPSTREAM_SERIES_ENTRIES, upstreams))
    return series


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", default="", help="addresses of upstreams")
    parser.add_argument("--entries", type=int, nargs="*", default=ENTRY_COUNTS)
    parser.add_argument(
        "--upstreams", type=int, nargs="*", default=UPSTREAM_COUNTS
    )
    options = parser.parse_args()
    if options.serve:
        asyncio.run(serve(options.serve.split(",")))
        return
    meter = PeerMeter()
    meter.start()
    results = []
    try:
        for size in sizes(options.entries, options.upstreams):
            results.append(measure(size, meter))
    finally:
        print_results(results)


if __name__ == "__main__":
    main()
