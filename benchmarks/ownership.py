"""Measures homes and link shares by size of the entry table.

Run: python -m benchmarks.ownership
Homes: CPU time of applying a new entry table, which blocks the event loop once,
and of one query of a home role. Admission: one choice of an upstream that ends
in a refusal, with all upstreams in one service; an admitted request scans them
three times. Links: a round in which one entry wants the whole cap and all
others lend, measured at the busy entry and at the lenders; and memory.
"""

import time
import tracemalloc

import msgspec

from almondstair.core.admission import SlotTable
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.home_records import homed_upstreams
from almondstair.core.homes import Homes
from almondstair.core.links import LinkShare
from almondstair.core.loans import Loan
from almondstair.core.model import Configuration
from almondstair.core.model import PolicyName
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.model import Region
from almondstair.core.model import RequestClass
from almondstair.core.model import Service
from almondstair.core.model import Upstream
from almondstair.core.slot_tracker import SlotTracker

# Entries and upstreams in four regions, from the present size to the target
# with an assumed 1000 upstreams.
SIZES = ((12, 28), (96, 125), (192, 250), (385, 500), (770, 1000))
REGIONS = 4
TABLES = 5
QUERIES = 2000
CHOICES = 50
ENTRIES_PER_ZONE = (2, 14, 28, 55)
ROUNDS = 40
ROUND_S = 0.25
CAP_BYTES_PER_S = 100_000_000
MIB = 1 << 20


def _row(*, number: int) -> EntryRow:
    return EntryRow(
        name=f"entry-{number:03}",
        availability_zone=f"zone-{number % 14:02}",
        region=f"region-{number % REGIONS}",
        caller_address="127.0.0.1:20100",
        forward_address="127.0.0.1:20101",
        peer_address="127.0.0.1:20102",
        operator_address="127.0.0.1:20103",
        incarnation="0123456789abcdef",
        joined_epoch=1,
    )


def _configuration(*, upstreams: int) -> Configuration:
    regions: dict[str, Region] = {}
    for number in range(REGIONS):
        regions[f"region-{number}"] = Region((f"zone-{number:02}",))
    configured: dict[str, Upstream] = {}
    for number in range(upstreams):
        configured[f"upstream-{number}"] = Upstream(
            ("work",), "127.0.0.1:1", f"zone-{number % REGIONS:02}", 3, 330
        )
    request_class = RequestClass(
        "get", ("GET",), "/*", True, Priority.INTERACTIVE, 2000
    )
    return Configuration(
        regions=regions,
        services={"work": Service("local", (request_class,))},
        upstreams=configured,
        profiles={"local": Profile(policy=PolicyName.LOCAL)},
    )


def _homes(*, configuration: Configuration, tracker: SlotTracker) -> Homes:
    homes = Homes(
        entry_name="entry-000",
        incarnation="0123456789abcdef",
        t1_s=1.0,
        reserve_deadline_s=2.0,
        margin_s=0.5,
        tracker=tracker,
    )
    homes.set_upstreams(upstreams=homed_upstreams(configuration=configuration))
    return homes


def _choose_us(
    *, homes: Homes, tracker: SlotTracker, configuration: Configuration
) -> float:
    slots = SlotTable(homes=homes, tracker=tracker)
    slots.set_configuration(configuration=configuration)
    started_s = time.process_time()
    for _ in range(CHOICES):
        slots.acquire(
            service="work",
            priority=Priority.INTERACTIVE,
            deadline_s=1.0,
            now_s=0.0,
        )
    return (time.process_time() - started_s) / CHOICES * 1e6


def measure_homes(*, entries: int, upstreams: int) -> None:
    rows: list[EntryRow] = []
    for number in range(entries):
        rows.append(_row(number=number))
    # The own row is last, the worst case of a scan from the first row.
    rows.reverse()
    configuration = _configuration(upstreams=upstreams)
    tracker = SlotTracker(margin_s=0.5)
    tracemalloc.start()
    homes = _homes(configuration=configuration, tracker=tracker)
    homes.update_table(table=EntryTable(1, tuple(rows)), now_s=0.0)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.process_time()
    for epoch in range(2, 2 + TABLES):
        # Each table drops one entry and adds the previously dropped one.
        changed = tuple(rows[: epoch - 2] + rows[epoch - 1 :])
        homes.update_table(table=EntryTable(epoch, changed), now_s=0.0)
    table_ms = (time.process_time() - started_s) / TABLES * 1e3
    started_s = time.process_time()
    for number in range(QUERIES):
        homes.dispatch_rights(
            upstream=f"upstream-{number % upstreams}", now_s=0.0
        )
    query_us = (time.process_time() - started_s) / QUERIES * 1e6
    choose_us = _choose_us(
        homes=homes, tracker=tracker, configuration=configuration
    )
    print(
        f"homes, {entries:>3} entries, {upstreams:>4} upstreams: "
        f"new table {table_ms:.1f} ms CPU, home role {query_us:.1f} us, "
        f"refused choice {choose_us:.0f} us, {size_bytes / MIB:.2f} MiB"
    )


def _share(*, name: str, names: tuple[str, ...]) -> LinkShare:
    share = LinkShare(
        link="zone-00:region-0:out",
        entry_name=name,
        incarnation=1,
        cap_bytes_per_s=CAP_BYTES_PER_S,
        now_s=0.0,
    )
    share.apply_table(epoch=1, entries=names, from_platform=True, now_s=0.0)
    for other in names:
        if other != name:
            share.record_acknowledgement(entry=other, epoch=1, now_s=0.0)
    return share


def measure_links(*, entries: int) -> None:
    names: list[str] = []
    for number in range(entries):
        names.append(f"entry-{number:03}")
    tracemalloc.start()
    busy = _share(name=names[0], names=tuple(names))
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    lenders: dict[str, LinkShare] = {}
    for name in names[1:]:
        lenders[name] = _share(name=name, names=tuple(names))
    now_s = 100.0
    busy_s = 0.0
    lenders_s = 0.0
    messages = 0
    sent_bytes = 0
    for _ in range(ROUNDS):
        now_s += ROUND_S
        started_s = time.process_time()
        busy.acquire_part(size_bytes=CAP_BYTES_PER_S, now_s=now_s)
        requests = busy.next_loan_requests(now_s=now_s)
        busy_s += time.process_time() - started_s
        loans: list[Loan] = []
        started_s = time.process_time()
        for request in requests:
            loan = lenders[request.lender].lend(request=request, now_s=now_s)
            if loan is not None:
                loans.append(loan)
        lenders_s += time.process_time() - started_s
        messages += len(requests) + len(loans)
        for message in (*requests, *loans):
            sent_bytes += len(msgspec.msgpack.encode(message))
        started_s = time.process_time()
        for loan in loans:
            busy.accept(loan=loan, now_s=now_s)
        busy_s += time.process_time() - started_s
    duration_s = ROUNDS * ROUND_S
    print(
        f"link, {entries:>2} entries of a zone, one busy: "
        f"{messages / duration_s:.1f} messages/s of "
        f"{sent_bytes / messages:.0f} bytes, "
        f"busy entry {busy_s / duration_s * 100:.3f}% of a core, "
        f"all lenders together {lenders_s / duration_s * 100:.3f}%, "
        f"share takes {size_bytes:,} bytes"
    )


def main() -> None:
    for entries, upstreams in SIZES:
        measure_homes(entries=entries, upstreams=upstreams)
    for entries in ENTRIES_PER_ZONE:
        measure_links(entries=entries)


if __name__ == "__main__":
    main()
