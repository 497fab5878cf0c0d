"""Which entries of an availability zone work for the whole zone.

Some work would grow with the square of the entries, or cost a call to the
store for each of them, if every entry did it. A few entries of each zone do it
for the others: those whose VMs carry most, and among equals by a hash of their
names, so that entries agree without a vote; two that both think it is their
turn do no harm.
"""

from collections.abc import Callable, Collection, Iterable

import xxhash

from almondstair.core.registered import Entry


def in_turn(entries: Iterable[Entry], *, zone: str) -> list[Entry]:
    """Returns the entries of a zone in the order of their turn."""
    return turns(entries).get(zone, [])


def turns(entries: Iterable[Entry]) -> dict[str, list[Entry]]:
    """Returns the entries of each zone in the order of their turn."""
    found: dict[str, list[Entry]] = {}
    for entry in entries:
        found.setdefault(entry.availability_zone, []).append(entry)
    for members in found.values():
        members.sort(key=_turn)
    return found


def _turn(entry: Entry) -> tuple[float, int]:
    """Returns an entry's place; the least comes first.

    What goes wrong by hash alone: a VM with a link of 10 Mbit/s reads half a
    megabyte of configuration for its zone beside its callers' bodies, and the
    zone has it seconds after the others.
    """
    digest = xxhash.xxh32_intdigest(entry.name.encode())
    return (-entry.carries_mbps, digest)


def acting(
    candidates: Collection[Entry],
    *,
    own_name: str,
    alive: Callable[[Entry], bool],
) -> Entry | None:
    """Returns the first entry in turn that is taken to be alive.

    Args:
      candidates: entries of a zone in the order of their turn.
      own_name: name of this entry, which is alive.
      alive: whether another entry is taken to be alive.
    """
    for entry in candidates:
        if entry.name == own_name or alive(entry):
            return entry
    return None
