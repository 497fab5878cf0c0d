"""Keeps the entry table: registers, plans changes, hands duties over."""

import asyncio
from collections.abc import Callable
import math
import time

from almondstair import log
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership
from almondstair.core.membership_records import VmObservation
from almondstair.core.table_plans import TablePlans
from almondstair.errors import AlmondstairError
from almondstair.key_value.base import VmList
from almondstair.key_value.base import VmState
from almondstair.store import EntryTableStore
from almondstair.watch_turns import WatchTurns

# An entry whose turn is the n-th waits this long for each before it.
TURN_S = 0.5
REGISTER_AGAIN_S = 0.5


class TableKeeper:
    """Brings this entry's view and the platform's entry table together.

    Attributes:
      plans: changes of the table that this entry may make.
      vms_leaving: VMs that the list has as leaving.
      list_described_s: moment that the newest listing describes.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store: EntryTableStore,
        vm_list: VmList,
        on_table: Callable[[EntryTable, bool], None],
    ) -> None:
        """Prepares.

        Args:
          membership: this entry's view.
          store: the table in the platform.
          vm_list: the platform's lagging list of VMs.
          on_table: called with each newer table, and whether this process
            read it from the platform.
        """
        self._membership = membership
        self.plans = TablePlans(membership=membership)
        self._store = store
        self._vm_list = vm_list
        self._on_table = on_table
        self._turns = WatchTurns(
            membership=membership,
            make=lambda: self._store.follower(
                on_table=lambda table: self.take(table, from_platform=True)
            ),
        )
        self._planned_since_s: float | None = None
        self._changing = False
        self._list_failed = False
        self.joined = False
        self.vms_leaving: frozenset[str] = frozenset()
        self.list_described_s = float("-inf")

    @property
    def list_is_out(self) -> bool:
        """Whether the VM list was never read, or not the last time."""
        return self._list_failed or math.isinf(self.list_described_s)

    def take(self, table: EntryTable, *, from_platform: bool) -> None:
        """Takes a table from the platform or a peer, if it is newer."""
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
        """Gets this process into the table; tries until it is in it."""
        while not self._membership.registered:
            await self.change(
                lambda table: self.plans.registration(table=table)
            )
            if not self._membership.registered:
                await asyncio.sleep(REGISTER_AGAIN_S)
        self.joined = True

    def _on_base(
        self, plan: Callable[[EntryTable], EntryTable | None]
    ) -> Callable[[EntryTable], EntryTable | None]:
        """Has a change start from the table that it must start from."""

        def planned(table: EntryTable) -> EntryTable | None:
            base = self.plans.base(table=table, now_s=time.monotonic())
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
          Whether the platform has it now; False while it does not answer.
        """
        try:
            table = await self._store.change(plan=self._on_base(plan))
        except AlmondstairError:
            return False
        self.take(table, from_platform=True)
        return True

    def follow(self) -> None:
        """Holds a watch on the table while it is this entry's turn to."""
        self._turns.update()

    def stop(self) -> None:
        """Follows nothing more."""
        self._turns.stop()

    async def observe_vms(self) -> None:
        """Reads the VM list once; while it is out the last one holds."""
        asked_s = time.monotonic()
        try:
            listing = await self._vm_list.list_vms()
        except AlmondstairError as error:
            if not self._list_failed:
                log.event(log.Event.VM_LIST_STALE, detail=error.detail)
            self._list_failed = True
            return
        self._list_failed = False
        listed = set()
        leaving = set()
        for vm in listing.vms:
            listed.add(vm.name)
            if vm.state is VmState.LEAVING:
                leaving.add(vm.name)
        described_s = asked_s - listing.age_s
        self._note_leaving(listed, leaving, described_s)
        self._membership.observe(
            listing=VmObservation(
                frozenset(listed), frozenset(leaving), described_s
            ),
            now_s=time.monotonic(),
        )

    def _note_leaving(
        self, listed: set[str], leaving: set[str], described_s: float
    ) -> None:
        if described_s < self.list_described_s:
            return
        self.list_described_s = described_s
        # A VM that the list lacks keeps its mark: that is silence.
        kept = self.vms_leaving - listed
        self.vms_leaving = frozenset(kept | leaving)

    async def plan(self) -> None:
        """Writes a due change when it is this entry's turn.

        Every entry sees the same VM list; without turns each of them would
        write the same change in the same moment.
        """
        if self.joined and not self._membership.registered:
            # Dropped by mistake, or by a platform that lost the table.
            await self.change(
                lambda table: self.plans.registration(table=table)
            )
            return
        table = self._membership.table
        gone = self._membership.gone_names() & set(table.names())
        if not gone or self._changing:
            self._planned_since_s = None
            return
        now_s = time.monotonic()
        if self._planned_since_s is None:
            self._planned_since_s = now_s
        turn = self._membership.planner_rank(now_s=now_s)
        if now_s - self._planned_since_s < turn * TURN_S:
            return
        self._changing = True
        try:
            await self.change(lambda table: self.plans.change(table=table))
        finally:
            self._changing = False
            self._planned_since_s = None
