"""Control side of an entry: peer messages, periodic tasks, state updates."""

import asyncio
from collections.abc import Coroutine, Sequence
import time
from typing import Any, NamedTuple

from almondstair import log
from almondstair.configuration_manager import ConfigurationManager
from almondstair.core.entry_selection import EntrySelector
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.home_records import HomesReport
from almondstair.core.homes import Homes
from almondstair.core.leaving_reports import LeavingReports
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest
from almondstair.core.membership import Membership
from almondstair.core.membership_records import incarnation_text
from almondstair.core.message_delays import MessageDelayEstimator
from almondstair.core.model import Configuration
from almondstair.core.quarantine import Quarantine
from almondstair.core.steering import Steering
from almondstair.document_exchange import DocumentExchange
from almondstair.entry_table_manager import EntryTableManager
from almondstair.errors import AlmondstairError
from almondstair.far_zone_loads import FarZoneLoads
from almondstair.heartbeats import Heartbeats
from almondstair.link_pacers import LinkPacers
from almondstair.link_shares import LinkShares
from almondstair.messages import EpochAcknowledgement
from almondstair.messages import Heartbeat
from almondstair.metrics import Metrics
from almondstair.prober import Prober
from almondstair.slot_allocator import SlotAllocator
from almondstair.strike_exchange import StrikeReport


class ControlParts(NamedTuple):
    """Holds the components that the control side updates."""

    own: EntryRow
    membership: Membership
    homes: Homes
    slot_allocator: SlotAllocator
    steering: Steering
    entry_selector: EntrySelector
    quarantine: Quarantine
    link_shares: LinkShares
    pacers: LinkPacers
    prober: Prober
    metrics: Metrics


class Control:
    """Applies messages of peers and data of the platform to the core."""

    def __init__(
        self, *, parts: ControlParts, tick_s: float, refresh_s: float
    ) -> None:
        """Stores the components; `bind` sets those that are created later.

        Args:
          parts: the components to update.
          tick_s: time between two runs of the periodic work.
          refresh_s: time between two reads of the VM list.
        """
        self._parts = parts
        self._tick_s = tick_s
        self._refresh_s = refresh_s
        self._tasks: list[asyncio.Task[None]] = []
        self._silent: frozenset[str] = frozenset()
        self._lost_regions: frozenset[str] = frozenset()
        self._logged_homes: dict[str, str | None] = {}
        self._leaving_upstreams: frozenset[str] = frozenset()
        self._peer_marks = LeavingReports()
        self._delays = MessageDelayEstimator()
        self._loads: tuple[ServiceLoad, ...] = ()
        self._loads_recorded_s = float("-inf")
        self._heartbeats: Heartbeats
        self._far_zone_loads: FarZoneLoads
        self._document_exchange: DocumentExchange
        self._table: EntryTableManager
        self._configuration: ConfigurationManager

    def bind(
        self,
        *,
        heartbeats: Heartbeats,
        exchange: DocumentExchange,
        table: EntryTableManager,
        configuration: ConfigurationManager,
    ) -> None:
        """Sets the components that call back into this one."""
        self._heartbeats = heartbeats
        self._far_zone_loads = FarZoneLoads(
            own=self._parts.own,
            membership=self._parts.membership,
            heartbeats=heartbeats,
            steering=self._parts.steering,
            entry_selector=self._parts.entry_selector,
        )
        self._document_exchange = exchange
        self._table = table
        self._configuration = configuration

    def start(self) -> None:
        """Starts the timers on the running loop."""
        self._spawn(self._every(self._tick_s, self._tick))
        self._spawn(self._every(self._refresh_s, self._refresh))

    def stop(self) -> None:
        """Stops the timers."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _every(self, interval_s: float, work: Any) -> None:
        while True:
            try:
                await work()
            except AlmondstairError as error:
                log.event(log.Event.ROUND_FAILED, detail=str(error))
            except Exception as error:
                # An error in one round must not prevent later ones: the entry
                # would keep serving with an outdated view of the others.
                log.event(log.Event.REQUEST_BROKEN, error=error)
            await asyncio.sleep(interval_s)

    async def _tick(self) -> None:
        now_s = time.monotonic()
        self._record_own_loads(now_s)
        self._far_zone_loads.update(now_s=now_s)
        self._update_silent_entries(now_s)
        self._update_lost_regions(now_s)
        self._update_link_headroom(now_s)
        self._parts.link_shares.request_loans()
        self._parts.quarantine.drop_expired(now_s=now_s)
        self._parts.slot_allocator.process_all_queues()
        configuration = self._configuration.configuration
        if configuration is not None:
            self._parts.prober.start_due_probes(configuration=configuration)
        self.update_leaving_upstreams()

    async def _refresh(self) -> None:
        await self._table.refresh_vm_list()
        self._table.update_watch()
        self._configuration.update_watch()
        await self._table.write_due_change()

    # Messages from peers.

    def on_message(self, name: str, incarnation: int, message: object) -> None:
        """Handles one message of a peer."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(name, incarnation, message)
        elif isinstance(message, HomesReport):
            self._on_homes_report(name, incarnation, message)
        elif isinstance(message, EpochAcknowledgement):
            self._on_epoch_acknowledgement(name, incarnation, message)
        elif isinstance(message, LoanRequest):
            self._parts.link_shares.handle_loan_request(message)
        elif isinstance(message, Loan):
            self._parts.link_shares.accept_loan(message)
        else:
            self._document_exchange.handle_message(message)

    def _on_heartbeat(
        self, name: str, incarnation: int, heartbeat: Heartbeat
    ) -> None:
        self._document_exchange.on_heartbeat(name=name, heartbeat=heartbeat)
        self._record_peer_marks(name, incarnation, heartbeat)
        accepted = self._heartbeats.receive(
            name=name, incarnation=incarnation, heartbeat=heartbeat
        )
        if not accepted or heartbeat.detail is None:
            return
        now_s = time.monotonic()
        self._check_region_recovery(name, now_s)
        row = self._parts.membership.table.row(name=name)
        assert row is not None
        expected_arrival_s = self._delays.undelayed_arrival_s(
            sender=name,
            incarnation=incarnation,
            sent_s=heartbeat.sent_s,
            now_s=now_s,
        )
        self._parts.quarantine.merge_marks(
            marks=heartbeat.detail.marks, now_s=expected_arrival_s
        )
        for load in heartbeat.detail.loads:
            self._record_load(row, load, now_s)

    def apply_strikes(self, report: StrikeReport) -> None:
        """Applies strikes that another entry reports outside of heartbeats."""
        if self._parts.membership.table.row(name=report.entry) is None:
            return
        expected_arrival_s = self._delays.undelayed_arrival_s(
            sender=report.entry,
            incarnation=report.incarnation,
            sent_s=report.sent_s,
            now_s=time.monotonic(),
        )
        self._parts.quarantine.merge_marks(
            marks=report.marks, now_s=expected_arrival_s
        )

    def _record_peer_marks(
        self, name: str, incarnation: int, heartbeat: Heartbeat
    ) -> None:
        """Records the leaving upstreams of any heartbeat, accepted or not.

        A heartbeat is ignored while its sender is not in the table here. The
        homes report that follows it is not, because an entry that has just
        left the table hands its home roles over by it. If the marks were
        ignored too, a home that started during an outage of the VM list would
        take a role from that report and send work to an upstream that the
        sender knows to be leaving.
        """
        if heartbeat.detail is None:
            return
        self._peer_marks.record_report(
            peer=name,
            incarnation=incarnation,
            names=heartbeat.detail.leaving_upstreams,
            now_s=time.monotonic(),
        )
        if self._table.vm_list_unavailable:
            # The homes report that follows may transfer a home role.
            self.update_leaving_upstreams()

    def _record_load(
        self, row: EntryRow, load: ServiceLoad, now_s: float
    ) -> None:
        self._parts.steering.regions.record_load_report(
            region=row.region,
            service=load.service,
            source=row.name,
            slots=load.slots,
            free_slots=load.free_slots,
            age_s=load.age_ms / 1000,
            now_s=now_s,
        )
        self._parts.entry_selector.record_report(
            entry=row.name,
            service=load.service,
            free_slots=load.free_slots,
            now_s=now_s,
        )

    def _on_homes_report(
        self, name: str, incarnation: int, report: HomesReport
    ) -> None:
        if report.entry != name:
            return
        if report.incarnation != incarnation_text(incarnation):
            return
        self._parts.homes.record_report(report=report, now_s=time.monotonic())
        self._parts.slot_allocator.process_all_queues()

    def _on_epoch_acknowledgement(
        self, name: str, incarnation: int, message: EpochAcknowledgement
    ) -> None:
        row = self._parts.membership.table.row(name=name)
        if row is None or row.incarnation != incarnation_text(incarnation):
            # Sent by an earlier process of that VM; the current one has not
            # acknowledged anything.
            return
        self._parts.link_shares.record_acknowledged_epoch(
            entry=name, epoch=message.epoch
        )

    # Messages to peers.

    def piggybacked_messages(self, name: str) -> Sequence[NamedTuple]:
        """Returns the messages that are sent along with a heartbeat."""
        row = self._parts.membership.table.row(name=name)
        if row is None:
            return ()
        messages: list[NamedTuple] = []
        if row.region == self._parts.own.region:
            report = self._parts.homes.report_to(
                peer=name, now_s=time.monotonic()
            )
            messages.append(report)
        if row.availability_zone == self._parts.own.availability_zone:
            acknowledgement = self._parts.link_shares.acknowledgement()
            if acknowledgement is not None:
                messages.append(acknowledgement)
        return messages

    def own_detail(self) -> StatusDetail:
        """Returns the status of this entry's upstreams."""
        now_s = time.monotonic()
        return StatusDetail(
            loads=self._own_loads(now_s),
            leaving_upstreams=tuple(sorted(self._own_leaving_upstreams(now_s))),
            marks=self._parts.quarantine.next_marks(now_s=now_s),
        )

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Returns the last recorded loads of this entry's services."""
        return self._loads

    def _own_loads(self, now_s: float) -> tuple[ServiceLoad, ...]:
        loads = []
        for load in self._loads:
            if load.slots:
                age_ms = int((now_s - self._loads_recorded_s) * 1000)
                loads.append(load._replace(age_ms=age_ms))
        return tuple(loads)

    def _own_leaving_upstreams(self, now_s: float) -> set[str]:
        # Includes the marks of the VM list, for entries that cannot read it.
        names = self._leaving_by_vm_list()
        configuration = self._configuration.configuration
        if configuration is not None:
            names &= set(configuration.upstreams)
        for row in self._parts.slot_allocator.slots.status(now_s=now_s):
            if row.leaving:
                names.add(row.name)
        return names

    # Updates of the core.

    def on_table(self, table: EntryTable, from_platform: bool) -> None:
        """Applies a newer entry table."""
        now_s = time.monotonic()
        known = set(table.names())
        self._parts.homes.update_table(table=table, now_s=now_s)
        self._parts.link_shares.update_table(
            table=table, from_platform=from_platform
        )
        for name in tuple(self._heartbeats.details):
            if name not in known:
                self._parts.entry_selector.remove(entry=name)
                self._delays.forget(sender=name)
                self._parts.steering.regions.forget_source(source=name)
        self._peer_marks.forget(
            known=_entry_incarnations(table),
            since_s=self._table.vm_list_as_of_s,
        )
        self._heartbeats.update_receivers(partners=self._partners(table))
        self._parts.slot_allocator.process_all_queues()
        self._log_homes()

    def _partners(self, table: EntryTable) -> list[str]:
        """Returns the entries that share an upstream as home or successor."""
        names = set()
        configuration = self._configuration.configuration
        if configuration is None:
            return []
        for upstream in configuration.upstreams:
            home = self._parts.homes.home_of(upstream=upstream)
            successor = self._parts.homes.successor_of(upstream=upstream)
            pair = {home, successor}
            if self._parts.own.name not in pair:
                continue
            for name in pair:
                if name is not None and table.row(name=name) is not None:
                    names.add(name)
        return sorted(names)

    def _log_homes(self) -> None:
        configuration = self._configuration.configuration
        if configuration is None:
            return
        for upstream in configuration.upstreams:
            home = self._parts.homes.home_of(upstream=upstream)
            if self._logged_homes.get(upstream) == home:
                continue
            self._logged_homes[upstream] = home
            if self._parts.own.name == home:
                log.event(log.Event.HOME_CHANGED, upstream=upstream, home=home)

    def on_configuration(self, configuration: Configuration) -> None:
        """Updates leaving marks and heartbeat receivers."""
        self._parts.membership.set_marked_leaving(
            names=frozenset(configuration.marks.leaving)
        )
        self._heartbeats.update_receivers(
            partners=self._partners(self._parts.membership.table)
        )
        self._log_homes()

    def update_leaving_upstreams(self) -> None:
        """Merges the sets of leaving upstreams of all sources.

        A mark holds until its own source removes it. Its absence in another
        source does not clear it.
        """
        names = self._leaving_by_vm_list()
        configuration = self._configuration.configuration
        if configuration is not None:
            names.update(configuration.marks.leaving)
        leaving = frozenset(names)
        self._parts.slot_allocator.slots.set_leaving(names=leaving)
        for name in leaving - self._leaving_upstreams:
            log.event(log.Event.UPSTREAM_LEAVING, upstream=name)
        for name in self._leaving_upstreams - leaving:
            log.event(log.Event.UPSTREAM_RETURNED, upstream=name)
        self._leaving_upstreams = leaving

    def _leaving_by_vm_list(self) -> set[str]:
        """Returns the upstreams that leave according to the VM list.

        While the list is unavailable, this adds the marks that peers report;
        otherwise this entry would send new work to upstreams that others know
        to be leaving. It relays these marks because the entry that read the
        list may be gone.
        """
        names = set(self._table.leaving_vms)
        if self._table.vm_list_unavailable:
            since_s = self._table.vm_list_as_of_s
            names |= self._peer_marks.leaving_names(since_s=since_s)
        return names

    def _record_own_loads(self, now_s: float) -> None:
        """Records the loads of this entry's own services.

        Heartbeats and metrics reuse them; computing a load iterates over all
        home roles.
        """
        configuration = self._configuration.configuration
        if configuration is None:
            return
        loads = []
        for service in configuration.services:
            capacity = self._parts.slot_allocator.slots.capacity(
                service=service, now_s=now_s
            )
            load = ServiceLoad(service, capacity.usable, capacity.free, 0)
            self._record_load(self._parts.own, load, now_s)
            loads.append(load)
        self._loads = tuple(loads)
        self._loads_recorded_s = now_s

    def _update_silent_entries(self, now_s: float) -> None:
        silent = frozenset(self._parts.membership.silent_names(now_s=now_s))
        for name in silent - self._silent:
            log.event(log.Event.ENTRY_SILENT, entry=name)
        for name in self._silent - silent:
            log.event(log.Event.ENTRY_HEARD, entry=name)
        self._silent = silent

    def _check_region_recovery(self, name: str, now_s: float) -> None:
        """Updates the lost regions at once when an entry of one is heard again.

        The region gets work again without waiting for the next tick.
        """
        row = self._parts.membership.table.row(name=name)
        if row is not None and row.region in self._lost_regions:
            self._update_lost_regions(now_s)

    def refresh_lost_regions(self) -> None:
        """Updates the lost regions when this entry begins to accept work."""
        self._update_lost_regions(time.monotonic())

    def _update_lost_regions(self, now_s: float) -> None:
        configuration = self._configuration.configuration
        if configuration is None:
            return
        alive = set()
        for row in self._parts.membership.live_entries(now_s=now_s):
            alive.add(row.region)
        lost = frozenset(configuration.regions) - alive
        for region in lost - self._lost_regions:
            self._parts.steering.regions.mark_lost(region=region)
        for region in self._lost_regions - lost:
            self._parts.steering.regions.mark_recovered(region=region)
        self._lost_regions = lost

    def _update_link_headroom(self, now_s: float) -> None:
        for region in self._parts.pacers.regions():
            self._parts.steering.regions.record_link_headroom(
                availability_zone=self._parts.own.availability_zone,
                region=region,
                headroom=self._parts.pacers.headroom(
                    region=region, now_s=now_s
                ),
            )


def _entry_incarnations(table: EntryTable) -> set[tuple[str, int]]:
    incarnations = set()
    for row in table.entries:
        incarnations.add((row.name, int(row.incarnation, 16)))
    return incarnations
