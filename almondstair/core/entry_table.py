"""The entry table: which entries exist, under an epoch number.

The platform's service stores the table, and each change is a compare-and-swap.
Everything that must have a single owning entry is derived from it.
"""

from typing import NamedTuple


class EntryRow(NamedTuple):
    """An entry of the table.

    Attributes:
      name: unique name of the entry; a replaced VM gets a new one.
      availability_zone: availability zone that it runs in.
      region: region of that availability zone.
      caller_address: `ip:port` of its listener for callers.
      forward_address: `ip:port` of its listener for other entries' requests.
      peer_address: `ip:port` of its socket for control messages.
      operator_address: `ip:port` of its listener for operators.
      incarnation: random id of the process. A process that finds another
        incarnation in its own row must replace the row before it takes on any
        home role, since its predecessor's work may still be running.
      joined_epoch: epoch at which this incarnation was added to the table.
      leaving: whether it is handing over its home roles before its removal. It
        still acknowledges tables, but is home or successor of no upstream.
    """

    name: str
    availability_zone: str
    region: str
    caller_address: str
    forward_address: str
    peer_address: str
    operator_address: str
    incarnation: str = ""
    joined_epoch: int = 0
    leaving: bool = False


class EntryTable(NamedTuple):
    """The entries under one epoch.

    Attributes:
      epoch: grows by one with each change; 0 is the initial, empty table.
      entries: the rows, in any order.
      lost_epoch: the last epoch that removed an entry which had not released
        its home roles; 0 if there was none. No entry knows which of its
        requests still run, so slots are held back after such a loss.
    """

    epoch: int = 0
    entries: tuple[EntryRow, ...] = ()
    lost_epoch: int = 0

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

    def with_entry(self, *, row: EntryRow) -> "EntryTable":
        """Returns the next table, with an entry added or replaced.

        Replacing another incarnation counts as a loss of the old one: its
        process is dead, and no entry knows which of its requests still run.
        """
        epoch = self.epoch + 1
        old = self.row(name=row.name)
        lost_epoch = self.lost_epoch
        if old is not None and old.incarnation != row.incarnation:
            lost_epoch = epoch
        joined_epoch = epoch
        if old is not None and old.incarnation == row.incarnation:
            joined_epoch = old.joined_epoch
        rows = self._rows_without(name=row.name)
        rows.append(row._replace(joined_epoch=joined_epoch))
        return EntryTable(epoch, tuple(rows), lost_epoch)

    def with_leaving(self, *, name: str) -> "EntryTable":
        """Returns the next table, with an entry marked as leaving."""
        rows = []
        for entry in self.entries:
            if entry.name == name:
                entry = entry._replace(leaving=True)  # noqa: PLW2901
            rows.append(entry)
        return EntryTable(self.epoch + 1, tuple(rows), self.lost_epoch)

    def without(self, *, name: str, released: bool) -> "EntryTable":
        """Returns the next table, with an entry removed.

        Args:
          name: name of the entry.
          released: True only if the entry itself reported, while marked as
            leaving, that it has nothing in flight any more
            (`Homes.has_released_all`).
        """
        epoch = self.epoch + 1
        lost_epoch = self.lost_epoch
        if not released:
            lost_epoch = epoch
        rows = self._rows_without(name=name)
        return EntryTable(epoch, tuple(rows), lost_epoch)

    def _rows_without(self, *, name: str) -> list[EntryRow]:
        rows = []
        for entry in self.entries:
            if entry.name != name:
                rows.append(entry)
        return rows
