"""Measures what a new configuration costs an entry, by number of upstreams.

Run: python -m benchmarks.configuration
Prints the CPU time of reading the document, which blocks the event loop once,
of applying it to homes and admission, and of unpacking it when a peer sent it.
"""

import time

from almondstair import messages
from almondstair.core.admission import SlotTable
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.home_records import homed_upstreams
from almondstair.core.homes import Homes
from almondstair.core.model import Configuration
from almondstair.core.slot_tracker import SlotTracker
from almondstair.settings import read_configuration
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Processes

REGIONS = ("bkk", "cnx", "hkt", "nst")
# Entries and upstreams, from the present size to the target.
SIZES = ((12, 28), (96, 125), (192, 250), (385, 500), (770, 1000))
REPEATS = 3
FIRST_PORT = 20_000


def text_of(upstreams: int) -> str:
    """Returns a configuration of four regions as TOML."""
    deployment = Deployment(
        processes=Processes(),
        shape=Shape(entries=dict.fromkeys(REGIONS, 1), upstreams={}),
    )
    for number in range(upstreams):
        region = REGIONS[number % len(REGIONS)]
        address = f"127.0.0.1:{FIRST_PORT + number}"
        deployment.upstreams[f"{region}-u{number}"] = address
    return deployment.deployment_text()


def table_of(entries: int) -> EntryTable:
    """Returns a table that spreads entries over the regions."""
    rows = []
    for number in range(entries):
        region = REGIONS[number % len(REGIONS)]
        rows.append(
            EntryRow(
                name=f"{region}-e{number}",
                availability_zone=f"{region}-1",
                region=region,
                caller_address="127.0.0.1:20100",
                forward_address="127.0.0.1:20101",
                peer_address="127.0.0.1:20102",
                operator_address="127.0.0.1:20103",
                incarnation="0123456789abcdef",
                joined_epoch=1,
            )
        )
    return EntryTable(1, tuple(rows))


def apply_ms(configuration: Configuration, table: EntryTable) -> float:
    """Returns the CPU time in which homes and admission apply an edit."""
    tracker = SlotTracker(margin_s=0.25)
    own = table.entries[0]
    homes = Homes(
        entry_name=own.name,
        incarnation=own.incarnation,
        t1_s=1.0,
        reserve_deadline_s=2.0,
        margin_s=0.25,
        tracker=tracker,
    )
    slots = SlotTable(homes=homes, tracker=tracker)
    homes.set_upstreams(upstreams=homed_upstreams(configuration=configuration))
    homes.update_table(table=table, now_s=0.0)
    started_s = time.process_time()
    homes.set_upstreams(upstreams=homed_upstreams(configuration=configuration))
    slots.set_configuration(configuration=configuration)
    homes.assigned_upstreams()
    return (time.process_time() - started_s) * 1000


def measure(entries: int, upstreams: int) -> None:
    """Prints the lowest times of a few runs at one size."""
    text = text_of(upstreams)
    packed = messages.pack(text.encode())
    table = table_of(entries)
    unpack_ms = []
    read_ms = []
    applied_ms = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        messages.unpack(packed)
        unpacked_s = time.process_time()
        configuration = read_configuration(text, "benchmark")
        read_s = time.process_time()
        unpack_ms.append((unpacked_s - started_s) * 1000)
        read_ms.append((read_s - unpacked_s) * 1000)
        applied_ms.append(apply_ms(configuration, table))
    print(
        f"{entries:3} entries, {upstreams:4} upstreams: {len(text):7,} bytes, "
        f"{len(packed):6,} packed; unpack {min(unpack_ms):.2f} ms, "
        f"read {min(read_ms):.1f} ms, apply {min(applied_ms):.2f} ms CPU"
    )


def main() -> None:
    for entries, upstreams in SIZES:
        measure(entries, upstreams)


if __name__ == "__main__":
    main()
