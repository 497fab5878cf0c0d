"""The entry table: which entries exist, under an epoch number.

The table lives in the platform's service and changes there by compare-and-swap.
Everything that must be owned by one entry at a time is worked out from it.
"""

from typing import NamedTuple


class EntryRow(NamedTuple):
    """One entry of the table.

    Attributes:
      name: unique name of the entry; a replaced VM gets a new one.
      availability_zone: where it runs.
      region: region of that availability zone.
      caller_address: `ip:port` of its listener for callers.
      forward_address: `ip:port` of its listener for other entries' requests.
      peer_address: `ip:port` of its socket for control messages.
      operator_address: `ip:port` of its listener for operators.
    """

    name: str
    availability_zone: str
    region: str
    caller_address: str
    forward_address: str
    peer_address: str
    operator_address: str


class EntryTable(NamedTuple):
    """The entries under one epoch.

    Attributes:
      epoch: grows by one with each change; 0 is the empty table before any.
      entries: the rows, in any order.
    """

    epoch: int = 0
    entries: tuple[EntryRow, ...] = ()

    def row(self, *, name: str) -> EntryRow | None:
        """Returns the row of an entry, None if it is not in the table."""
        for entry in self.entries:
            if entry.name == name:
                return entry
        return None

    def names(self, *, region: str | None = None) -> tuple[str, ...]:
        """Returns the names of all entries, or of those of one region."""
        names = []
        for entry in self.entries:
            if region is not None and entry.region != region:
                continue
            names.append(entry.name)
        return tuple(names)
