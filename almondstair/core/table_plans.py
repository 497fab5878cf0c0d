"""How an entry would change the entry table: joining, leaving, dropping."""

from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership


class TablePlans:
    """Plans changes of the table by what one entry knows."""

    def __init__(self, *, membership: Membership) -> None:
        """Makes the plans of an entry.

        Args:
          membership: who is an entry and who is heard, as it sees it.
        """
        self._membership = membership

    def registration(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table with this process in it, None if it is in it.

        Args:
          table: the table as the platform has it now.

        Raises:
          ValueError: if the name belongs to an entry with other addresses,
            which may still be alive; both would hold the same duties. With
            the same addresses it is an earlier process of this VM, and dead:
            this one has bound them.
        """
        own = self._membership.own
        row = table.row(name=own.name)
        if row is not None and row.incarnation == own.incarnation:
            return None
        if row is not None and row.peer_address != own.peer_address:
            raise ValueError(
                f"entry {row.name} is registered from {row.peer_address}; "
                "give this one another name, or wait until that VM is gone"
            )
        return self._after_own(table).with_entry(row=own)

    def leaving(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table with this entry marked as leaving, None if it is.

        Its duties go to others from that epoch on, while it still answers for
        what it has in flight.
        """
        name = self._membership.own.name
        row = table.row(name=name)
        if row is None or row.leaving:
            return None
        return self._after_own(table).with_leaving(name=name)

    def release(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table without this entry, None if it is not in it.

        Only for an entry that has nothing left in flight: the others take its
        word for it.
        """
        own = self._membership.own
        row = table.row(name=own.name)
        if row is None or row.incarnation != own.incarnation:
            return None
        return self._after_own(table).without(name=row.name, released=True)

    def change(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table without the entries that are gone, None if none is.

        Gone are the entries that `observe` found and those that said that
        they finished leaving.

        Args:
          table: the table as the platform has it now.
        """
        planned = None
        released = self._membership.released_names()
        for name in sorted(self._membership.gone_names()):
            if table.row(name=name) is None:
                continue
            start = planned or self._after_own(table)
            planned = start.without(name=name, released=name in released)
        return planned

    def base(self, *, table: EntryTable, now_s: float) -> EntryTable | None:
        """Returns the table that a change must start from.

        A platform that was wiped or rolled back serves an older epoch. A
        change made from its rows would drop entries that run and hold duties,
        under an epoch that they follow. So a change starts from the table in
        force here instead, and only when that is surely the latest: every
        entry of it is heard or surely gone, and none acts on a higher epoch.
        Otherwise a silent entry may know a later one, and two tables under one
        epoch would give one duty to two entries.

        Args:
          table: the table as the platform has it now.
          now_s: monotonic time.

        Returns:
          The table, None while no change may be made.
        """
        membership = self._membership
        if table.epoch >= membership.table.epoch:
            return table
        if membership.is_behind or not membership.all_heard(now_s=now_s):
            return None
        return membership.table

    def _after_own(self, table: EntryTable) -> EntryTable:
        """Returns a table whose successor has an epoch never seen here."""
        own_epoch = self._membership.table.epoch
        return table._replace(epoch=max(table.epoch, own_epoch))
