"""Selects the entries that do work for their whole availability zone.

Some work would grow with the square of the number of entries, or would cost a
call to the store per entry, if every entry did it. A few entries of each zone
do it for the others: those whose VMs have the highest throughput, and among
equals by a hash of their names, so that entries agree without an election. Two
entries that both consider themselves selected do no harm.
"""

from collections.abc import Callable, Collection, Iterable

import xxhash

from almondstair.core.registered_entries import Entry


def ranked_entries(entries: Iterable[Entry], *, zone: str) -> list[Entry]:
    """Returns the entries of a zone, ranked for its work."""
    return ranked_by_zone(entries).get(zone, [])


def ranked_by_zone(entries: Iterable[Entry]) -> dict[str, list[Entry]]:
    """Returns the entries of each zone, ranked for its work."""
    found: dict[str, list[Entry]] = {}
    for entry in entries:
        found.setdefault(entry.availability_zone, []).append(entry)
    for members in found.values():
        members.sort(key=_sort_key)
    return found


def _sort_key(entry: Entry) -> tuple[float, int]:
    """Returns an entry's sort key; the lowest comes first.

    With a hash alone, a VM with a link of 10 Mbit/s could read half a megabyte
    of configuration for its zone besides its callers' bodies, and the zone
    would apply it seconds after the others.
    """
    digest = xxhash.xxh32_intdigest(entry.name.encode())
    return (-entry.throughput_mbps, digest)


def first_alive(
    candidates: Collection[Entry],
    *,
    own_name: str,
    alive: Callable[[Entry], bool],
) -> Entry | None:
    """Returns the highest-ranked entry that is considered alive.

    Args:
      candidates: entries of a zone by rank.
      own_name: name of this entry, which is alive.
      alive: returns whether another entry is considered alive.
    """
    for entry in candidates:
        if entry.name == own_name or alive(entry):
            return entry
    return None
