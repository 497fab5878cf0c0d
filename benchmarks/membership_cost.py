"""Measures the cost of an entry's view of the others by number of entries.

Run: python -m benchmarks.membership_cost
Prints the CPU time per call of the queries that the control plane makes several
times a second, and of the live entries while their result is cached.
"""

from collections.abc import Callable
import time

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import LIVE_CACHE_TTL_S
from almondstair.core.membership import Membership

SIZES = (12, 96, 192, 385, 770)
ZONES = 14
REGIONS = 4
CALLS = 100


def membership_of(entries: int) -> Membership:
    """Returns the view of an entry with a heartbeat from every other."""
    rows = []
    for number in range(entries):
        rows.append(
            EntryRow(
                name=f"entry-{number:03}",
                availability_zone=f"zone-{number % ZONES:02}",
                region=f"region-{number % REGIONS}",
                caller_address="127.0.0.1:20100",
                forward_address="127.0.0.1:20101",
                peer_address="127.0.0.1:20102",
                operator_address="127.0.0.1:20103",
                incarnation="0123456789abcdef",
            )
        )
    membership = Membership(own=rows[0], silence_limit_s=1e6)
    membership.replace_table(table=EntryTable(1, tuple(rows)), now_s=0.0)
    for row in rows:
        membership.record_relayed(
            name=row.name, heard_s=0.0, configuration_version=1
        )
    return membership


def call_us(call: Callable[[float], object], step_s: float) -> float:
    """Returns the CPU time per call, with `step_s` between calls."""
    started_s = time.process_time()
    for number in range(CALLS):
        call(number * step_s)
    return (time.process_time() - started_s) / CALLS * 1e6


def measure(entries: int) -> None:
    """Prints the results for one number of entries."""
    view = membership_of(entries)
    last = view.table.entries[-1].name
    computed_us = call_us(
        lambda now_s: view.live_entries(now_s=now_s), LIVE_CACHE_TTL_S * 2
    )
    cached_us = call_us(lambda now_s: view.live_entries(now_s=now_s), 0.0)
    silent_us = call_us(lambda now_s: view.silent_names(now_s=now_s), 0.0)
    highest_us = call_us(lambda _: view.highest_version(own_version=1), 0.0)
    row_us = call_us(lambda _: view.table.row(name=last), 0.0)
    print(
        f"{entries:3} entries: live entries {computed_us:.0f} us CPU, cached "
        f"{cached_us:.1f} us, silent {silent_us:.0f} us, highest version "
        f"{highest_us:.0f} us, row by name {row_us:.1f} us"
    )


def main() -> None:
    for entries in SIZES:
        measure(entries)


if __name__ == "__main__":
    main()
