"""Which entries of an availability zone work for the whole zone.

Some work would grow with the square of the entries, or cost a call to the
store for each of them, if every entry did it. A few entries of each zone do it
for the others. Who they are follows from a hash of the names, so that entries
agree without a vote; two that both think it is their turn do no harm.
"""

from collections.abc import Callable, Collection, Iterable

import xxhash

from almondstair.core.fleet import Entry


def in_turn(entries: Iterable[Entry], *, zone: str) -> list[Entry]:
    """Returns the entries of a zone in the order of their turn."""
    found = []
    for entry in entries:
        if entry.availability_zone == zone:
            found.append(entry)
    found.sort(key=lambda entry: xxhash.xxh32_intdigest(entry.name.encode()))
    return found


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
