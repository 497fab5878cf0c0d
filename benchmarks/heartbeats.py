"""Measures heartbeats: sizes, traffic, CPU time, age of known statuses.

Run: python -m benchmarks.heartbeats (half a minute)
With `--target` it also measures the spread at the target size, which takes
three minutes more. There are three parts:

* sizes: encoded bytes of each message at the present and the target size;
* sockets: 4 to 64 entries with real sockets on loopback, four per process:
  bytes per second and CPU time for each entry;
* spread: the pure core of the present size, of one zone and of the target size,
  stepped through simulated seconds without loss: the age of each entry's
  status, and the time until a new configuration version is known and until it
  is reported.
"""

import asyncio
import random
import statistics
import subprocess
import sys
import time
from typing import NamedTuple

import msgspec
import psutil

from almondstair import messages
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.configuration import lagging_entries
from almondstair.core.heartbeat_payloads import MemberStatus
from almondstair.core.heartbeat_payloads import make_digest
from almondstair.core.heartbeat_payloads import make_view
from almondstair.core.heartbeats import DIGESTS_TO_NEAR
from almondstair.core.heartbeats import FAR_SILENCE_S
from almondstair.core.heartbeats import PACKET_OVERHEAD_BYTES
from almondstair.messages import ConfigurationDocument
from almondstair.messages import Heartbeat
from almondstair.messages import TableDocument
from features.support.heartbeat_entries import INTERVAL_MS
from features.support.heartbeat_entries import Entry
from features.support.heartbeat_entries import HeartbeatSimulation
from features.support.heartbeat_entries import make_table
from features.support.heartbeat_entries import oldest_age_s
from features.support.heartbeat_entries import two_services

SOCKET_COUNTS = (4, 8, 16, 32, 64)
SOCKET_WARM_UP_S = 2.0
SOCKET_RUN_S = 2.0
SOCKET_LIMIT_S = 20.0
ENTRIES_PER_PROCESS = 4
NEVER_RECEIVED = -1.0
PART_ARGUMENTS = 4
TODAY = (10, 6)
TARGET = (770, 14)
ZONE = (55, 1)


def print_sizes() -> None:
    print("sizes, encoded bytes without packet headers")
    statuses = []
    for number in range(ZONE[0]):
        statuses.append(MemberStatus(f"entry-{number:03d}", True, 1.0, 2300))
    view = make_view(epoch=900, members=statuses, configuration_version=2300)
    loads = two_services().loads
    digest = make_digest(
        availability_zone="region0-00",
        epoch=900,
        members=statuses,
        version=2300,
        loads=loads,
    )
    base = Heartbeat(100_000, 900, 2300)
    detailed = base._replace(detail=two_services())
    rows = [
        ("heartbeat", base),
        ("heartbeat, load of 2 services", detailed),
        (
            "the same, view of 55, 3 digests",
            detailed._replace(view=view, digests=(digest,) * DIGESTS_TO_NEAR),
        ),
        ("heartbeat, 4 digests", base._replace(digests=(digest,) * 4)),
        ("entry table of 10", TableDocument(make_table(*TODAY))),
        ("entry table of 770", TableDocument(make_table(*TARGET))),
    ]
    for title, message in rows:
        print(f"  {title:34} {len(messages.encode(message)):8}")
    for upstreams in (28, 1000):
        text = sample_document(upstreams)
        document = ConfigurationDocument(messages.pack(text))
        print(
            f"  {f'configuration, {upstreams} upstreams':34} "
            f"{len(messages.encode(document)):8} of {len(text)} unpacked"
        )


def sample_document(upstreams: int) -> bytes:
    generator = random.Random(1)
    lines = []
    for number in range(upstreams):
        host = ".".join(str(generator.randrange(256)) for _ in range(3))
        lines.append(f"[upstreams.matching-{number}]")
        lines.append('services = ["matching", "approval"]')
        lines.append(f'address = "10.{host}:{generator.randrange(8000, 9000)}"')
        lines.append(f'availability_zone = "zone-{number % 14}"')
        lines.append("slots = 3\nconnections = 330\n")
    return "\n".join(lines).encode()


class Measured(NamedTuple):
    """Results of one process over its entries."""

    entries: int
    sent_messages_per_s: float
    sent_bytes_per_s: float
    cpu_s_per_s: float
    oldest_s: float
    resident_bytes: int


async def measure(count: int, first: int, last: int) -> Measured:
    # All entries are in one zone, the largest group possible at this count.
    table = make_table(count, 1)
    entries = []
    for row in table.entries[first:last]:
        entries.append(Entry(row, table, time.monotonic))
    for entry in entries:
        entry.peers.start()
        entry.heartbeats.start()
    await asyncio.sleep(SOCKET_WARM_UP_S)
    before = [entry.peers.counts for entry in entries]
    cpu_s, start_s = time.process_time(), time.monotonic()
    await asyncio.sleep(SOCKET_RUN_S)
    took_s = time.monotonic() - start_s
    cpu_s = time.process_time() - cpu_s
    sent_bytes, sent_messages = 0, 0
    for entry, counts in zip(entries, before, strict=True):
        sent_bytes += entry.peers.counts.sent_bytes - counts.sent_bytes
        sent_messages += entry.peers.counts.sent_messages - counts.sent_messages
    oldest_s = oldest_age_s(entries, time.monotonic())
    if oldest_s == float("inf"):
        oldest_s = NEVER_RECEIVED
    for entry in entries:
        entry.heartbeats.stop()
        entry.peers.stop()
    return Measured(
        len(entries),
        sent_messages / took_s,
        sent_bytes / took_s,
        cpu_s / took_s,
        oldest_s,
        psutil.Process().memory_info().rss,
    )


def run_part(count: int, first: int, last: int) -> None:
    measured = asyncio.run(measure(count, first, last))
    sys.stdout.buffer.write(msgspec.json.encode(measured))


def run_sockets(count: int) -> None:
    """Runs entries in several processes, few in each to limit descriptors."""
    # An age of -1 means that some entry was never heard from.
    parts = []
    for first in range(0, count, ENTRIES_PER_PROCESS):
        last = min(count, first + ENTRIES_PER_PROCESS)
        command = [sys.executable, "-m", "benchmarks.heartbeats"]
        command += [str(count), str(first), str(last)]
        parts.append(subprocess.Popen(command, stdout=subprocess.PIPE))
    measured = []
    for part in parts:
        output, _ = part.communicate(timeout=SOCKET_LIMIT_S)
        measured.append(msgspec.json.decode(output, type=Measured))
    sent = sum(part.sent_messages_per_s for part in measured) / count
    sent_bytes = sum(part.sent_bytes_per_s for part in measured) / count
    cpu = sum(part.cpu_s_per_s for part in measured) / count
    resident_bytes = max(part.resident_bytes for part in measured)
    ages_s = [part.oldest_s for part in measured]
    oldest_s = NEVER_RECEIVED if NEVER_RECEIVED in ages_s else max(ages_s)
    print(
        f"  {count:7} {sent:10.1f} {sent_bytes:10.0f} "
        f"{sent_bytes + sent * PACKET_OVERHEAD_BYTES:12.0f} "
        f"{100 * cpu:9.3f}% {oldest_s:8.2f} "
        f"{resident_bytes / 1e6 / min(count, ENTRIES_PER_PROCESS):8.1f}",
        flush=True,
    )


def report_spread(title: str, count: int, zones: int, warm_s: float) -> None:
    simulation = HeartbeatSimulation(count, zones)
    simulation.run(warm_s)
    simulation.sent_bytes = 0
    near_s, far_s = [], []
    samples = 3
    for _ in range(samples):
        simulation.run(1.0)
        for entry in list(simulation.entries.values())[:20]:
            near = entry.heartbeats._scheduler.near_names
            for row in entry.membership.table.entries:
                age_s = entry.membership.age_s(
                    name=row.name, now_s=simulation.now_s
                )
                if row.name in near:
                    near_s.append(age_s)
                elif row.name != entry.own.name:
                    far_s.append(age_s)
    sent = simulation.sent_bytes / samples / count
    print(f"  {title}: {sent:.0f} bytes/s sent by each entry")
    for group, ages_s in (("group", near_s), ("beyond", far_s)):
        if not ages_s:
            continue
        ages_s.sort()
        print(
            f"    status age, {group}: mean {statistics.mean(ages_s):.2f}"
            f" s, p99 {ages_s[int(len(ages_s) * 0.99)]:.2f} s,"
            f" max {ages_s[-1]:.2f} s"
        )
    report_edit(simulation)


def report_edit(simulation: HeartbeatSimulation) -> None:
    """Offers a new version to two entries per zone, as watches would."""
    started_s = simulation.now_s
    per_zone: dict[str, int] = {}
    for entry in simulation.entries.values():
        zone = entry.own.availability_zone
        per_zone[zone] = per_zone.get(zone, 0) + 1
        if per_zone[zone] <= 2:
            entry.configuration.apply_if_newer(
                StoredConfiguration(2, "2", "", "", "")
            )
    simulation.pulls_configuration = True
    in_force_s = None
    first = next(iter(simulation.entries.values()))
    while simulation.now_s - started_s < 40.0:
        simulation.run(INTERVAL_MS / 1000)
        versions = []
        for entry in simulation.entries.values():
            versions.append(entry.configuration.version)
        if in_force_s is None and min(versions) == 2:
            in_force_s = simulation.now_s - started_s
        lacking = lagging_entries(
            version=2,
            reports=first.membership.version_reports(
                own_version=first.configuration.version, now_s=simulation.now_s
            ),
            fresh_limit_s=FAR_SILENCE_S,
        )
        if in_force_s is not None and not lacking:
            break
    print(
        f"    new version in force on all entries after {in_force_s} s, "
        "reported by all to one entry after "
        f"{simulation.now_s - started_s:.2f} s"
        f"{'' if not lacking else f' (still lacking {len(lacking)})'}"
    )


def run_all_sockets() -> None:
    print("sockets, one zone, loopback; 100% is a core")
    print(
        "  entries  sent msg/s sent bytes/s +hdrs  CPU/entry oldest_s MB/entry"
    )
    for count in SOCKET_COUNTS:
        run_sockets(count)


def main(target: bool) -> None:
    print_sizes()
    run_all_sockets()
    print("spread, stepped without sockets or loss")
    report_spread("10 entries, 6 zones", *TODAY, warm_s=10.0)
    report_spread("55 entries, 1 zone", *ZONE, warm_s=20.0)
    if target:
        report_spread("770 entries, 14 zones", *TARGET, warm_s=20.0)


if __name__ == "__main__":
    if len(sys.argv) == PART_ARGUMENTS:
        run_part(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
    else:
        main("--target" in sys.argv)
