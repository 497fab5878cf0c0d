"""Assignment of upstreams to home entries, and the handover between them.

Each upstream has one home among the entries of its region, so its slots are
counted in one place. The home role moves with the entry table, under these
rules:

* The home of an epoch starts to dispatch when the previous home has applied the
  same epoch and has reported which slots its work still takes. The previous
  home is known if it held the role in the epoch just before, or if every entry
  of the region has applied this epoch and none held the role in a later one.
* If an entry was lost since, it may have been the previous home. Every slot
  then counts as taken until the longest deadline has passed.
* One slot of each upstream is a reserve for short work. The home uses it only
  while its successor, the next entry in rank, has acknowledged it within T1.
  The successor uses it after it has received nothing from the home for T2 = T1
  + the longest deadline of work allowed in the reserve + a margin, and does not
  acknowledge the home while it has work there. So even if a frozen home resumes
  and still assumes its role, it and its successor together never exceed the
  slots.

None of this needs the platform's service or a vote: without them, the home
roles of the last table stay in force.
"""

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.handover_records import NEVER_S
from almondstair.core.handover_records import NO_SOURCE
from almondstair.core.handover_records import HandoverOffer
from almondstair.core.handover_records import HandoverSource
from almondstair.core.handover_records import HomePeer
from almondstair.core.handover_records import HomeRole
from almondstair.core.handover_records import updated_peer
from almondstair.core.home_records import NO_RIGHTS
from almondstair.core.home_records import DispatchRights
from almondstair.core.home_records import HandoverRecord
from almondstair.core.home_records import HomedUpstream
from almondstair.core.home_records import HomesReport
from almondstair.core.rendezvous_ranks import RendezvousRanks
from almondstair.core.slot_tracker import SlotTracker

RESERVE_SLOTS = 1
MIN_SLOTS_WITH_RESERVE = 2


class Homes:
    """This entry's view of the home roles, and the rules of their handover."""

    def __init__(
        self,
        *,
        entry_name: str,
        incarnation: str,
        t1_s: float,
        reserve_deadline_s: float,
        margin_s: float,
        tracker: SlotTracker,
    ) -> None:
        """Creates the view of an entry that holds no role yet.

        Args:
          entry_name: this entry.
          incarnation: identifier of this process, new at each start.
          t1_s: seconds for which an acknowledgement lets the home use the
            reserve.
          reserve_deadline_s: longest deadline of work in the reserve, in
            seconds.
          margin_s: seconds added for clock drift and late cancellation.
          tracker: the requests that this entry has in flight.
        """
        self._name = entry_name
        self._incarnation = incarnation
        self._t1_s = t1_s
        self._reserve_deadline_s = reserve_deadline_s
        self._margin_s = margin_s
        self._t2_s = t1_s + reserve_deadline_s + margin_s
        self._tracker = tracker
        self._upstreams: dict[str, HomedUpstream] = {}
        self._table = EntryTable()
        self._applied_s = NEVER_S
        self._last_loss_s = NEVER_S
        self._ranks = RendezvousRanks()
        self._roles: dict[str, HomeRole] = {}
        self._peers: dict[str, HomePeer] = {}
        self._pending: set[str] = set()
        self._rows: dict[str, EntryRow] = {}
        self._settled_cache: dict[str, float | None] = {}
        self._assigned_cache: tuple[str, ...] | None = None

    @property
    def epoch(self) -> int:
        """Epoch of the table in use."""
        return self._table.epoch

    @property
    def reserve_deadline_s(self) -> float:
        """Longest deadline of work that may use a reserve slot."""
        return self._reserve_deadline_s

    def set_upstreams(self, *, upstreams: tuple[HomedUpstream, ...]) -> None:
        """Sets the upstreams of the configuration in force."""
        self._upstreams = {}
        regions = {}
        for upstream in upstreams:
            self._upstreams[upstream.name] = upstream
            regions[upstream.name] = upstream.region
        self._ranks.set_regions(regions=regions)
        self._assigned_cache = None
        self._update_pending()

    def home_of(self, *, upstream: str) -> str | None:
        """Returns the home of an upstream, or None if it has none."""
        rank = self._rank(upstream=upstream)
        if not rank:
            return None
        return rank[0]

    def successor_of(self, *, upstream: str) -> str | None:
        """Returns the successor, or None in a region of one entry."""
        rank = self._rank(upstream=upstream)
        if len(rank) < 2:
            return None
        return rank[1]

    def update_table(self, *, table: EntryTable, now_s: float) -> None:
        """Applies a table if it is newer than the one in use."""
        if table.epoch <= self._table.epoch:
            return
        old_epoch = self._table.epoch
        if table.lost_epoch > self._table.lost_epoch:
            self._last_loss_s = now_s
        self._table = table
        self._applied_s = now_s
        self._rows = {}
        for row in table.entries:
            self._rows[row.name] = row
        self._ranks.set_table(table=table)
        self._settled_cache.clear()
        self._assigned_cache = None
        if self._was_dropped(since_epoch=old_epoch):
            # The other entries treated this process as lost and have taken
            # over its roles. Keeping them would run two homes at once.
            self._roles.clear()
        else:
            self._carry_over_roles(old_epoch=old_epoch)
        self._update_pending()
        self._take_over_all(now_s=now_s)

    def record_report(self, *, report: HomesReport, now_s: float) -> None:
        """Processes a peer's report, which may be late or out of order."""
        row = self._rows.get(report.entry)
        if row is None or row.incarnation != report.incarnation:
            # The sender is an earlier process of that name, or its row is not
            # yet replaced. Its report doesn't account for the work of the
            # process in the table.
            return
        known = self._peers.get(report.entry)
        peer = updated_peer(known=known, report=report, now_s=now_s)
        if report.echo_incarnation == self._incarnation:
            peer = peer.with_echo(report=report)
        self._peers[report.entry] = peer._replace(last_received_s=now_s)
        if peer.report is report:
            self._settled_cache.clear()
            self._free_finished_work(peer=peer)
            self._take_over_all(now_s=now_s)

    def report_to(self, *, peer: str, now_s: float) -> HomesReport:
        """Returns the report to send to a peer now."""
        echo_incarnation = ""
        echo_sent_s = None
        known = self._peers.get(peer)
        if known is not None and not self._uses_reserve_of(home=peer):
            echo_incarnation = known.report.incarnation
            echo_sent_s = known.report.sent_s
        return HomesReport(
            entry=self._name,
            incarnation=self._incarnation,
            epoch=self._table.epoch,
            sent_s=now_s,
            settled=self._is_settled(),
            echo_incarnation=echo_incarnation,
            echo_sent_s=echo_sent_s,
            records=self._records_for(home=peer, now_s=now_s),
        )

    def assigned_upstreams(self) -> tuple[str, ...]:
        """Returns the upstreams of which this entry is home or successor."""
        if self._assigned_cache is None:
            names = []
            for name in self._upstreams:
                if self._name in self._rank(upstream=name)[:2]:
                    names.append(name)
            self._assigned_cache = tuple(names)
        return self._assigned_cache

    def dispatch_rights(self, *, upstream: str, now_s: float) -> DispatchRights:
        """Returns which slots of an upstream this entry may use now."""
        known = self._upstreams.get(upstream)
        if known is None or not self._in_table():
            return NO_RIGHTS
        if self.home_of(upstream=upstream) == self._name:
            return self._home_rights(upstream=known, now_s=now_s)
        if self.successor_of(upstream=upstream) == self._name:
            return self._successor_rights(upstream=known, now_s=now_s)
        return NO_RIGHTS

    def has_released_all(self, *, now_s: float) -> bool:
        """Returns whether a leaving entry has released everything it held."""
        row = self._rows.get(self._name)
        if row is not None and not row.leaving:
            return False
        return self.holds_no_slots(now_s=now_s)

    def holds_no_slots(self, *, now_s: float) -> bool:
        """Returns whether this entry uses no slot and holds none for others.

        An entry that accepts no more work and holds nothing may report that it
        is finished, even if its row is not marked as leaving because the
        platform is unavailable.
        """
        for role in self._roles.values():
            if any(until_s > now_s for until_s in role.busy_until_s):
                # Only this entry knows of the slots held for a lost entry.
                return False
        for name in self._tracker.upstreams():
            self._tracker.expire(upstream=name, now_s=now_s)
        return not self._tracker.upstreams()

    def _in_table(self) -> bool:
        row = self._rows.get(self._name)
        return row is not None and row.incarnation == self._incarnation

    def _was_dropped(self, *, since_epoch: int) -> bool:
        row = self._rows.get(self._name)
        if row is None or row.incarnation != self._incarnation:
            return True
        return row.joined_epoch > since_epoch

    def _carry_over_roles(self, *, old_epoch: int) -> None:
        for name, role in self._roles.items():
            if role.held_epoch != old_epoch:
                continue
            if self.home_of(upstream=name) != self._name:
                continue
            self._roles[name] = role._replace(held_epoch=self._table.epoch)

    def _rank(self, *, upstream: str) -> tuple[str, ...]:
        return self._ranks.home_and_successor(upstream=upstream)

    def _offers(self, *, upstream: str) -> tuple[HandoverOffer, ...]:
        """Returns the handovers that peers reported under this epoch."""
        offers = []
        for peer in self._peers.values():
            if not self._is_current(peer=peer):
                continue
            for record in peer.report.records:
                if record.upstream == upstream:
                    offers.append(self._offer(peer=peer, record=record))
        return tuple(offers)

    def _offer(
        self, *, peer: HomePeer, record: HandoverRecord
    ) -> HandoverOffer:
        until = []
        for left_s in record.busy_remaining_s:
            until.append(peer.newest_received_s + left_s + self._margin_s)
        source = HandoverSource(
            peer.report.entry, peer.report.incarnation, record.held_epoch
        )
        return HandoverOffer(source, tuple(until))

    def _is_current(self, *, peer: HomePeer) -> bool:
        """Returns whether a report is from a member and of the table in use.

        The epochs must be equal: an entry that is ahead may be home under a
        table that this entry has not received.
        """
        row = self._rows.get(peer.report.entry)
        if row is None or row.incarnation != peer.report.incarnation:
            return False
        return peer.report.epoch == self._table.epoch

    def _free_finished_work(self, *, peer: HomePeer) -> None:
        """Frees slots as the work of the previous home ends."""
        if not self._is_current(peer=peer):
            return
        for record in peer.report.records:
            offer = self._offer(peer=peer, record=record)
            role = self._roles.get(record.upstream)
            if role is None or role.source != offer.source:
                continue
            if role.held_epoch == self._table.epoch:
                self._roles[record.upstream] = role._replace(
                    busy_until_s=offer.busy_until_s
                )

    def _records_for(
        self, *, home: str, now_s: float
    ) -> tuple[HandoverRecord, ...]:
        records = []
        for name, role in self._roles.items():
            if role.held_epoch == self._table.epoch:
                continue
            if self.home_of(upstream=name) not in (home, None):
                continue
            left = self._busy_remaining_s(upstream=name, role=role, now_s=now_s)
            records.append(HandoverRecord(name, role.held_epoch, left))
        return tuple(records)

    def _busy_remaining_s(
        self, *, upstream: str, role: HomeRole, now_s: float
    ) -> tuple[float, ...]:
        left = []
        for until_s in role.busy_until_s:
            if until_s > now_s:
                left.append(until_s - now_s)
        for ticket in self._tracker.in_flight(upstream=upstream):
            if not ticket.reserve:
                left.append(max(0.0, ticket.until_s - now_s))
        return tuple(left)

    def _uses_reserve_of(self, *, home: str) -> bool:
        """Returns whether this entry has work in a reserve slot of a home."""
        for name in self._tracker.upstreams():
            if self.home_of(upstream=name) != home:
                continue
            if self._has_reserve_work(upstream=name):
                return True
        return False

    def _has_reserve_work(self, *, upstream: str) -> bool:
        for ticket in self._tracker.in_flight(upstream=upstream):
            if ticket.reserve:
                return True
        return False

    def _is_settled(self) -> bool:
        """Returns whether no reserve work of an older epoch is left.

        Otherwise a request of the old successor, and one of the home after the
        new successor has acknowledged it, would together take one slot too
        many.
        """
        for name in self._tracker.upstreams():
            rank = self._rank(upstream=name)[:2]
            if self._name in rank:
                continue
            if self._has_reserve_work(upstream=name):
                return False
        return True

    def _settled_s(self, *, region: str) -> float | None:
        """Returns when a region's last entry settled, None if not all have."""
        if region not in self._settled_cache:
            self._settled_cache[region] = self._last_settled_s(region=region)
        return self._settled_cache[region]

    def _last_settled_s(self, *, region: str) -> float | None:
        latest_s = self._applied_s
        for row in self._table.entries:
            if row.region != region or row.name == self._name:
                continue
            peer = self._peers.get(row.name)
            if peer is None or not self._is_current(peer=peer):
                return None
            if not peer.report.settled:
                return None
            latest_s = max(latest_s, peer.settled_s)
        return latest_s

    def _home_rights(
        self, *, upstream: HomedUpstream, now_s: float
    ) -> DispatchRights:
        self._take_over(upstream=upstream, now_s=now_s)
        role = self._roles.get(upstream.name)
        if role is None or role.held_epoch != self._table.epoch:
            return NO_RIGHTS
        busy = []
        for until_s in role.busy_until_s:
            if until_s > now_s:
                busy.append(until_s)
        if upstream.slots < MIN_SLOTS_WITH_RESERVE:
            return DispatchRights(
                allowed_slots=upstream.slots,
                long_slots=upstream.slots,
                busy_until_s=tuple(busy),
            )
        long_slots = upstream.slots - RESERVE_SLOTS
        allowed = long_slots
        if self._may_use_reserve(upstream=upstream, now_s=now_s):
            allowed = upstream.slots
        return DispatchRights(
            allowed_slots=allowed,
            long_slots=long_slots,
            busy_until_s=tuple(busy),
        )

    def _update_pending(self) -> None:
        """Recomputes which home roles this entry has yet to take over."""
        self._pending.clear()
        if not self._in_table():
            return
        for name in self._upstreams:
            if self.home_of(upstream=name) != self._name:
                continue
            role = self._roles.get(name)
            if role is not None and role.held_epoch == self._table.epoch:
                continue
            self._pending.add(name)

    def _take_over_all(self, *, now_s: float) -> None:
        for name in sorted(self._pending):
            self._take_over(upstream=self._upstreams[name], now_s=now_s)

    def _take_over(self, *, upstream: HomedUpstream, now_s: float) -> None:
        """Takes over a pending home role if the previous home is known."""
        if upstream.name not in self._pending:
            return
        best = self._previous_home(upstream=upstream)
        if best is None:
            return
        role = HomeRole(self._table.epoch, best.busy_until_s, best.source)
        if not self._rules_out_lost_holder(holder=best):
            # The slots are held for the lost entry, so no peer's report may
            # free them: the role has no source.
            busy = self._all_busy(upstream=upstream, now_s=now_s)
            role = HomeRole(self._table.epoch, busy)
        self._roles[upstream.name] = role
        self._pending.discard(upstream.name)

    def _previous_home(
        self, *, upstream: HomedUpstream
    ) -> HandoverOffer | None:
        """Returns the previous home's handover, None while it is not known.

        An epoch has one home, so a record of the epoch just before is the
        latest. Otherwise every entry of the region must have settled under this
        epoch, since one that is frozen, or whose report was lost, may still
        dispatch.
        """
        best = HandoverOffer(NO_SOURCE, ())
        own = self._roles.get(upstream.name)
        if own is not None:
            source = HandoverSource(
                self._name, self._incarnation, own.held_epoch
            )
            best = HandoverOffer(source, own.busy_until_s)
        for offer in self._offers(upstream=upstream.name):
            if offer.held_epoch > best.held_epoch:
                best = offer
        if self._held_previous_epoch(holder=best):
            return best
        if self._settled_s(region=upstream.region) is None:
            return None
        return best

    def _rules_out_lost_holder(self, *, holder: HandoverOffer) -> bool:
        """Returns whether no entry can have been lost while it was home."""
        if holder.held_epoch >= self._table.lost_epoch:
            return True
        return self._held_previous_epoch(holder=holder)

    def _held_previous_epoch(self, *, holder: HandoverOffer) -> bool:
        if holder.source == NO_SOURCE:
            return False
        return holder.held_epoch == self._table.epoch - 1

    def _all_busy(
        self, *, upstream: HomedUpstream, now_s: float
    ) -> tuple[float, ...]:
        """Returns when a lost entry's work is certainly over, for each slot."""
        longest_s = now_s + upstream.longest_deadline_s + self._margin_s
        busy = [longest_s] * upstream.slots
        if upstream.slots >= MIN_SLOTS_WITH_RESERVE:
            busy[0] = min(longest_s, now_s + self._t2_s)
        return tuple(busy)

    def _may_use_reserve(
        self, *, upstream: HomedUpstream, now_s: float
    ) -> bool:
        """Returns whether the home may use the reserve slot."""
        if self._settled_s(region=upstream.region) is None:
            return False
        lost_work_s = (
            self._last_loss_s + self._reserve_deadline_s + self._margin_s
        )
        if now_s < lost_work_s:
            # A lost successor may still have a request in the reserve.
            return False
        successor = self.successor_of(upstream=upstream.name)
        if successor is None:
            return True
        peer = self._peers.get(successor)
        if peer is None or peer.echo_epoch != self._table.epoch:
            return False
        return now_s - peer.echo_sent_s <= self._t1_s

    def _successor_rights(
        self, *, upstream: HomedUpstream, now_s: float
    ) -> DispatchRights:
        if upstream.slots < MIN_SLOTS_WITH_RESERVE:
            return NO_RIGHTS
        settled_s = self._settled_s(region=upstream.region)
        home = self.home_of(upstream=upstream.name)
        if settled_s is None or home is None:
            return NO_RIGHTS
        silent_since_s = max(settled_s, self._peers[home].last_received_s)
        if now_s - silent_since_s <= self._t2_s:
            return NO_RIGHTS
        return DispatchRights(allowed_slots=RESERVE_SLOTS, reserve_only=True)
