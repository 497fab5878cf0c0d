"""Registration in the entry table, and changes to it."""

import asyncio
from collections.abc import Callable
import math
import time

from almondstair import log
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership
from almondstair.core.membership_records import VmStatusReport
from almondstair.core.table_planner import TablePlanner
from almondstair.elected_watcher import ElectedWatcher
from almondstair.errors import AlmondstairError
from almondstair.key_value.base import VmList
from almondstair.key_value.base import VmState
from almondstair.store import EntryTableStore

# Delay before a write, for each entry with a lower planner rank.
CHANGE_DELAY_PER_RANK_S = 0.5
REGISTER_RETRY_DELAY_S = 0.5


class EntryTableManager:
    """Synchronizes this entry's membership with the platform's entry table.

    Attributes:
      planner: computes the changes that this entry may make to the table.
      joined: whether this entry has been registered since it started.
      leaving_vms: VMs that the VM list shows as leaving.
      vm_list_as_of_s: monotonic time that the newest listing describes.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store: EntryTableStore,
        vm_list: VmList,
        on_table: Callable[[EntryTable, bool], None],
    ) -> None:
        """Initializes without reading the table.

        Args:
          membership: this entry's view of the entries.
          store: entry table in the platform.
          vm_list: the platform's list of VMs, which lags.
          on_table: called with each newer table, and with the table in force
            when it is read from the platform; its second argument is whether
            this process read the table from the platform.
        """
        self._membership = membership
        self.planner = TablePlanner(membership=membership)
        self._store = store
        self._vm_list = vm_list
        self._on_table = on_table
        self._watcher = ElectedWatcher(
            membership=membership,
            create_watcher=lambda: self._store.watcher(
                on_table=lambda table: self.apply(table, from_platform=True)
            ),
        )
        self._change_due_since_s: float | None = None
        self._changing = False
        self._vm_list_failed = False
        self.joined = False
        self.leaving_vms: frozenset[str] = frozenset()
        self.vm_list_as_of_s = float("-inf")

    @property
    def vm_list_unavailable(self) -> bool:
        """Whether the VM list was never read or the last read failed."""
        return self._vm_list_failed or math.isinf(self.vm_list_as_of_s)

    def apply(self, table: EntryTable, *, from_platform: bool) -> None:
        """Applies a table from the platform or a peer if it is newer.

        A table of the epoch in force that is read from the platform is passed
        on too, as confirmed by the platform.
        """
        newer = self._membership.replace_table(
            table=table, now_s=time.monotonic()
        )
        if newer:
            log.event(
                log.Event.ENTRY_TABLE_CHANGED,
                epoch=table.epoch,
                entries=list(table.names()),
            )
        if newer or (
            from_platform and table.epoch == self._membership.table.epoch
        ):
            self._on_table(self._membership.table, from_platform)

    async def register(self) -> None:
        """Registers this process in the table; retries until it succeeds."""
        while not self._membership.is_registered:
            await self.change(
                lambda table: self.planner.plan_registration(table=table)
            )
            if not self._membership.is_registered:
                await asyncio.sleep(REGISTER_RETRY_DELAY_S)
        self.joined = True

    def _plan_from_base(
        self, plan: Callable[[EntryTable], EntryTable | None]
    ) -> Callable[[EntryTable], EntryTable | None]:
        """Wraps a plan so that it starts from `TablePlanner.base_table`."""

        def planned(table: EntryTable) -> EntryTable | None:
            base = self.planner.base_table(table=table, now_s=time.monotonic())
            if base is None:
                log.event(
                    log.Event.ENTRY_TABLE_OLDER,
                    offered_epoch=table.epoch,
                    in_force_epoch=self._membership.table.epoch,
                )
                return None
            return plan(base)

        return planned

    async def change(
        self, plan: Callable[[EntryTable], EntryTable | None]
    ) -> bool:
        """Applies a change to the platform's table.

        Returns:
          Whether the platform responded; True also if the plan needs or
          permits no change.
        """
        try:
            table = await self._store.change(plan=self._plan_from_base(plan))
        except AlmondstairError:
            return False
        self.apply(table, from_platform=True)
        return True

    def update_watch(self) -> None:
        """Starts or stops the watch, as this entry is elected or not."""
        self._watcher.update()

    def stop(self) -> None:
        """Stops the watch on the table."""
        self._watcher.stop()

    async def refresh_vm_list(self) -> None:
        """Reads the VM list once; on failure the last list stays in force."""
        requested_s = time.monotonic()
        try:
            listing = await self._vm_list.list_vms()
        except AlmondstairError as error:
            if not self._vm_list_failed:
                log.event(log.Event.VM_LIST_STALE, detail=error.detail)
            self._vm_list_failed = True
            return
        self._vm_list_failed = False
        listed = set()
        leaving = set()
        for vm in listing.vms:
            listed.add(vm.name)
            if vm.state is VmState.LEAVING:
                leaving.add(vm.name)
        as_of_s = requested_s - listing.age_s
        self._update_leaving_vms(listed, leaving, as_of_s)
        self._membership.record_listing(
            listing=VmStatusReport(
                frozenset(listed), frozenset(leaving), as_of_s
            ),
            now_s=time.monotonic(),
        )

    def _update_leaving_vms(
        self, listed: set[str], leaving: set[str], as_of_s: float
    ) -> None:
        if as_of_s < self.vm_list_as_of_s:
            return
        self.vm_list_as_of_s = as_of_s
        # Absence from the list says nothing: the VM stays marked as leaving.
        unlisted = self.leaving_vms - listed
        self.leaving_vms = frozenset(unlisted | leaving)

    async def write_due_change(self) -> None:
        """Writes a due change after a delay that depends on the planner rank.

        Every entry sees the same VM list; without the delay all of them would
        write the same change at the same time.
        """
        if self.joined and not self._membership.is_registered:
            # Removed by mistake, or the platform lost the table.
            await self.change(
                lambda table: self.planner.plan_registration(table=table)
            )
            return
        table = self._membership.table
        gone = self._membership.gone_names() & set(table.names())
        if not gone or self._changing:
            self._change_due_since_s = None
            return
        now_s = time.monotonic()
        if self._change_due_since_s is None:
            self._change_due_since_s = now_s
        rank = self._membership.planner_rank(now_s=now_s)
        if now_s - self._change_due_since_s < rank * CHANGE_DELAY_PER_RANK_S:
            return
        self._changing = True
        try:
            await self.change(
                lambda table: self.planner.plan_removals(table=table)
            )
        finally:
            self._changing = False
            self._change_due_since_s = None
