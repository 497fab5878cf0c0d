"""Planned changes of the entry table: joining, leaving and removal."""

from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership


class TablePlanner:
    """Plans changes of the entry table from the view of this entry."""

    def __init__(self, *, membership: Membership) -> None:
        """Makes the planner of this entry.

        Args:
          membership: this entry's view of the table and of the live entries.
        """
        self._membership = membership

    def plan_registration(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table with this process added, None if it is present.

        Args:
          table: the table currently stored by the platform.

        Raises:
          ValueError: The name belongs to an entry with another address, which
            may still be alive; both would hold the same home roles. With the
            same address it is an earlier process of this VM, and dead, since
            this process has bound the address.
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
        return self._with_own_epoch(table).with_entry(row=own)

    def plan_leaving(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table with this entry marked as leaving, None if it is.

        From that epoch on its home roles belong to others, while it still
        answers for its requests in flight.
        """
        name = self._membership.own.name
        row = table.row(name=name)
        if row is None or row.leaving:
            return None
        return self._with_own_epoch(table).with_leaving(name=name)

    def plan_release(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table without this entry, None if it is not in it.

        Must be called only if nothing is in flight any more: the other entries
        do not verify that.
        """
        own = self._membership.own
        row = table.row(name=own.name)
        if row is None or row.incarnation != own.incarnation:
            return None
        return self._with_own_epoch(table).without(name=row.name, released=True)

    def plan_removals(self, *, table: EntryTable) -> EntryTable | None:
        """Returns the table without the entries that are gone, None if none is.

        These are the entries absent from the VM list and those that reported
        that they finished leaving.

        Args:
          table: the table currently stored by the platform.
        """
        planned = None
        released = self._membership.released_names()
        for name in sorted(self._membership.gone_names()):
            if table.row(name=name) is None:
                continue
            start = planned or self._with_own_epoch(table)
            planned = start.without(name=name, released=name in released)
        return planned

    def base_table(
        self, *, table: EntryTable, now_s: float
    ) -> EntryTable | None:
        """Returns the table that a change must be based on.

        A platform that was wiped or rolled back serves an older epoch. A
        change based on its rows would remove entries that run and have home
        roles, under an epoch that they accept. So the change is based on the
        table in force here instead, and only if that is certainly the latest:
        every entry of it is heard or certainly gone, and none reported a
        higher epoch. Otherwise a silent entry may have a later one, and two
        tables with the same epoch would give one home role to two entries.

        Args:
          table: the table currently stored by the platform.
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

    def _with_own_epoch(self, table: EntryTable) -> EntryTable:
        """Returns a table with at least this entry's epoch.

        The epoch of the next table is then above any epoch known here.
        """
        own_epoch = self._membership.table.epoch
        return table._replace(epoch=max(table.epoch, own_epoch))
