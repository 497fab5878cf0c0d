"""Exchange of each entry's in-flight requests at upstreams.

Without it, an entry knows only its own requests and the loads in recent
responses. Ten entries could choose the same free upstream at the same time and
fill its queue, and their requests would wait past their deadlines.

One entry of each availability zone, the reporter, sums the loads of its zone's
entries, exchanges sums with the reporters of other zones, and sends the total
to its zone. The number of messages of an entry is thus independent of the size
of the fleet, and only one entry of each zone sends loads to other zones.
`core/report_schedule.py` decides when messages are due.
"""

import asyncio
from collections.abc import Callable, Iterable
import math
import socket
from typing import NamedTuple, cast

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import report_outbox
from almondstair.core import report_schedule
from almondstair.core import zone_roles
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import Strike
from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocation
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.placement_plan import Planner
from almondstair.core.registered_entries import Entry
from almondstair.core.report_schedule import EntryReport
from almondstair.core.report_schedule import ReportBandwidth
from almondstair.core.report_schedule import ReportSchedule
from almondstair.core.report_schedule import UpstreamLoads
from almondstair.core.shared_counts import SharedCounts
from almondstair.core.statement_reports import StatementReports
from almondstair.core.upstream_limits import LimitChange
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.errors import AlmondstairError
from almondstair.gateway import peer_messages
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.peer_messages import LostRequest
from almondstair.gateway.peer_messages import Message
from almondstair.gateway.peer_messages import NewEntryUpdate
from almondstair.gateway.peer_messages import OwnLoads
from almondstair.gateway.peer_messages import PlanUpdate
from almondstair.gateway.peer_messages import TotalLoads
from almondstair.gateway.peer_messages import UpstreamGone
from almondstair.gateway.peer_messages import ZoneLoadSum
from almondstair.gateway.statement_recorder import StatementRecorder

# Reports of an entry expire after three missed heartbeats.
PEER_TIMEOUT_S = 3 * report_schedule.HEARTBEAT_S
# Longest interval between two messages with a plan: a message may be lost, and
# an entry that has just started has no plan.
MAX_PLAN_INTERVAL_S = 0.4
# How long a strike against a request is reported, as messages may be lost.
STRIKE_REPORT_S = 2.0
# Upstreams in one message; a datagram holds 64 KiB, an upstream takes up to 9
# bytes.
MAX_UPSTREAMS = 5000
# Datagrams that are read in one go, and the size of the longest one.
MAX_DATAGRAMS_PER_READ = 256
MAX_DATAGRAM_BYTES = 65536
# Cached objects in one message; each takes up to 11 bytes.
MAX_CACHED_OBJECTS = 1500


class ReceivedReport(NamedTuple):
    """The latest report of an entry or a zone.

    Attributes:
      at_s: when it was received, on the entry's clock.
      entry: name of the entry that sent it.
      loads: in-flight requests by the hash of the upstream.
      replaced: hashes of upstreams that were replaced at their addresses.
      cached_locations: recently found cached objects and their upstreams.
      cut_off: names of the entries that reach no upstream.
      entries: number of entries whose requests are counted.
    """

    at_s: float
    entry: str
    loads: UpstreamLoads
    replaced: list[int]
    cached_locations: list[CachedLocation]
    cut_off: list[str]
    entries: int = 1


def add_loads(parts: Iterable[UpstreamLoads]) -> UpstreamLoads:
    """Returns the sum of several loads."""
    total: UpstreamLoads = {}
    for part in parts:
        for upstream_hash, count in part.items():
            total[upstream_hash] = total.get(upstream_hash, 0) + count
    return total


class LoadExchange(asyncio.DatagramProtocol):
    """Sends this entry's loads to its zone's reporter, or acts as reporter."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        suspects: CrashSuspects,
        cached_locations: CachedLocations,
        shared_counts: SharedCounts,
        limit_reports: LimitReports,
        statement_reports: StatementReports,
        statement_recorder: StatementRecorder,
        links: UpstreamLinks,
        cut_off: CutOffEntries,
        shares: MaxMinShares,
        own_name: str,
        own_zone: str,
        link_mbps: float = 0.0,
    ) -> None:
        """Creates the protocol; `listen` must precede `run`.

        Args:
          fleet: the view of the fleet; gets the loads of other entries.
          pool: connections to upstreams; those of replaced ones are closed.
          suspects: requests that may crash upstreams.
          cached_locations: cached objects of upstreams.
          shared_counts: counts of requests, at this entry and in sums.
          limit_reports: limits of upstreams, known here and to be reported.
          statement_reports: what upstreams said of themselves to this entry.
          statement_recorder: applies what they said to other entries.
          links: links of this entry to upstreams.
          cut_off: gets the entries that reach no upstream.
          shares: demands of organisations, here and over all entries.
          own_name: name of this entry.
          own_zone: its availability zone.
          link_mbps: bandwidth of its VM's link in Mbit/s, 0 if unknown.
        """
        self._fleet = fleet
        self._pool = pool
        self._suspects = suspects
        self._cached_locations = cached_locations
        self._shared_counts = shared_counts
        self._limit_reports = limit_reports
        self._statement_reports = statement_reports
        self._statement_recorder = statement_recorder
        self._links = links
        self._cut_off = cut_off
        self._shares = shares
        self._own_name = own_name
        self._own_zone = own_zone
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._member_reports: dict[str, ReceivedReport] = {}
        self._zone_reports: dict[str, ReceivedReport] = {}
        self._last_heard_s: dict[str, float] = {}
        self._reported_loads: UpstreamLoads = {}
        self._last_total: UpstreamLoads = {}
        # Called when the loads of other entries may have changed.
        self.on_loads: Callable[[], None] = lambda: None
        self._report_bandwidth = ReportBandwidth(link_mbps=link_mbps)
        self._own_schedule = ReportSchedule()
        self._zone_sum_schedule = ReportSchedule(
            min_interval_s=report_schedule.MIN_ZONES_INTERVAL_S
        )
        self._total_schedule = ReportSchedule()
        self._published_plan = EMPTY_PLAN
        self._plan_published_at_s = -math.inf
        self._plan_sent_last = False
        self._entries_by_zone: dict[str, list[Entry]] = {}
        self._entries_version = -1
        self._total_at_s = 0.0
        self._bad_messages = 0
        self._planner = Planner()

    # Receiving.

    async def listen(self, *, ip: str, port: int) -> None:
        """Listens for messages of other entries.

        Raises:
          OSError: the address cannot be bound.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip, port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    def read_pending(self) -> None:
        """Applies all messages that have arrived.

        The event loop reads one message per iteration, so a request that was
        sent after a peer's report could otherwise run before the report is
        read.
        """
        if self._socket is None:
            return
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier send reached a closed port (ICMP error).
                self.error_received(error)
                continue
            self.datagram_received(data, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the bound socket."""
        # asyncio's transport class is not a subclass of the interface.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignores an unreachable peer; its registration will expire."""

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Decodes and applies another entry's message.

        A message that cannot be applied must not fail the request that is
        placed after the pending messages are read.
        """
        try:
            message = peer_messages.decode(data)
            if message.entry != self._own_name:
                self._apply_message(message, now_s())
        except AlmondstairError as error:
            self._record_bad_message(addr, detail=error.detail)
        except Exception as error:
            self._record_bad_message(addr, error=error)

    def _record_bad_message(
        self,
        addr: tuple[str | int, int],
        *,
        detail: str = "",
        error: Exception | None = None,
    ) -> None:
        self._bad_messages += 1
        if self._bad_messages > 1:
            return
        log.event(
            log.Event.PEER_MESSAGE_BAD,
            error=error,
            address=str(addr),
            detail=detail,
        )

    def _apply_message(self, message: Message, now: float) -> None:
        self._last_heard_s[message.entry] = now
        if isinstance(message, PlanUpdate):
            self._apply_plan(message)
            return
        if isinstance(message, LostRequest | UpstreamGone):
            self._apply_crash_report(message, now)
            return
        self._cached_locations.apply_reported(
            message.cached_locations, now_s=now
        )
        if isinstance(message, NewEntryUpdate):
            self._log_limits(
                self._limit_reports.apply_statements(message.limits, now_s=now)
            )
            return
        report = ReceivedReport(
            at_s=now,
            entry=message.entry,
            loads=message.loads,
            replaced=message.replaced,
            cached_locations=message.cached_locations,
            cut_off=message.cut_off,
            entries=message.entries if isinstance(message, ZoneLoadSum) else 1,
        )
        self._drop_replaced(message.replaced)
        self._statement_recorder.apply_told(message.statements)
        for strike in message.strikes:
            self._suspects.add_strike(Strike(*strike), now_s=now)
        if isinstance(message, OwnLoads):
            if message.entry not in self._member_reports:
                self._send_knowledge(message.entry, now)
            self._member_reports[message.entry] = report
            self._shared_counts.apply_member(
                message.entry, message.counts, now_s=now
            )
            self._shares.apply_member(message.entry, message.demands, now_s=now)
            self._log_limits(
                self._limit_reports.apply_member(
                    message.entry, message.limits, now_s=now
                )
            )
        elif isinstance(message, ZoneLoadSum):
            self._zone_reports[message.zone] = report
            self._shared_counts.apply_zone(
                message.entry, message.zone, message.counts, now_s=now
            )
            self._shares.apply_zone(message.zone, message.demands, now_s=now)
            self._log_limits(
                self._limit_reports.apply_zone(
                    message.entry, message.limits, now_s=now
                )
            )
        else:
            self._apply_total_counts(message, now)
            self._cut_off.apply_report(message.cut_off, now_s=now)
            self._fleet.peer_loads.update(
                message.loads, own=self._reported_loads
            )
            self._last_total = message.loads
            self.on_loads()
            if message.complete:
                self._total_at_s = now

    def _apply_total_counts(self, message: TotalLoads, now: float) -> None:
        self._shared_counts.apply_total(
            message.entry,
            message.counts,
            counted_entries=message.entries,
            now_s=now,
        )
        self._shares.apply_total(message.demands, now_s=now)
        self._log_limits(
            self._limit_reports.apply_total(
                message.entry,
                message.limits,
                counted_entries=message.entries,
                now_s=now,
            )
        )

    def _log_limits(self, changes: list[LimitChange]) -> None:
        for change in changes:
            self._statement_recorder.log_limit(change, told=True)

    def _apply_crash_report(
        self, message: LostRequest | UpstreamGone, now: float
    ) -> None:
        upstream = message.upstream
        if isinstance(message, LostRequest):
            strike = Strike(message.request, upstream)
            ran_s = message.ran_ms / 1000
            self._suspects.record_lost(strike, ran_s=ran_s, now_s=now)
            return
        for request in message.requests:
            self._suspects.add_strike(Strike(request, upstream), now_s=now)

    def _send_knowledge(self, name: str, now: float) -> None:
        """Sends limits and cached objects to an entry that reports first.

        Otherwise a restarted entry would not know of limits until they are told
        again, and would send each object to its home although the fleet has
        moved the object since.
        """
        entry = self._fleet.entries.get(name)
        if entry is None:
            return
        statements = self._limit_reports.limits.statements(now_s=now)
        if statements:
            limits = statements[: report_outbox.MAX_UPSTREAMS]
            self._send(NewEntryUpdate(self._own_name, [], limits), [entry])
        locations = self._cached_locations.all_locations(now_s=now)
        for begin in range(0, len(locations), MAX_CACHED_OBJECTS):
            part = locations[begin : begin + MAX_CACHED_OBJECTS]
            self._send(NewEntryUpdate(self._own_name, part), [entry])

    def _apply_plan(self, message: PlanUpdate) -> None:
        """Applies a plan unless another zone's reporter has precedence.

        Otherwise a reporter that is partitioned from the first zone would make
        a plan of its own, and keys would move with each of the two plans.
        """
        if message.zone > self._planning_zone():
            return
        self._planner.set_plan(message.plan)
        self._fleet.set_plan(message.plan)

    def _planning_zone(self) -> str:
        """Returns the zone whose reporter makes the plan, the first by name."""
        return min([self._own_zone, *self._zone_reports])

    def _drop_replaced(self, upstream_hashes: list[int]) -> None:
        """Drops upstreams that other entries have reported as replaced.

        This saves a request to each, which would be rejected.

        Args:
          upstream_hashes: hashes of the replaced incarnations.
        """
        for upstream_hash in upstream_hashes:
            incarnation = self._fleet.record_replaced(upstream_hash)
            if not incarnation:
                continue
            self._pool.close_upstream(incarnation=incarnation)
            log.event(log.Event.UPSTREAM_GONE, upstream=incarnation, told=True)

    # Sending.

    async def run(self) -> None:
        """Sends due reports until it is cancelled."""
        while True:
            members = self._ordered_entries(self._own_zone)
            await asyncio.sleep(report_schedule.report_interval_s(len(members)))
            self._tick(now_s())

    def _tick(self, now: float) -> None:
        for reports in (self._member_reports, self._zone_reports):
            for name in list(reports):
                if now - reports[name].at_s > PEER_TIMEOUT_S:
                    del reports[name]
                    self._shared_counts.forget_member(name)
                    self._limit_reports.forget_member(name)
        reporter = self._reporter(now)
        reporter_name = self._own_name if reporter is None else reporter.name
        self._shared_counts.set_reporter(reporter_name)
        self._limit_reports.set_reporter(reporter_name)
        self._limit_reports.expire(now_s=now)
        self._statement_recorder.end_rests(now=now)
        self._shares.update(now_s=now)
        if reporter is None or reporter.name == self._own_name:
            self._send_reports(now)
        else:
            self._send_own_loads(reporter, now)
        complete = now - self._total_at_s < PEER_TIMEOUT_S
        if complete != self._fleet.peer_loads_complete:
            self._fleet.peer_loads_complete = complete
            self.on_loads()

    def _reporter(self, now: float) -> Entry | None:
        candidates = self._ordered_entries(self._own_zone)

        def alive(entry: Entry) -> bool:
            # A newly registered entry has had no time to report.
            heard_s = self._last_heard_s.setdefault(entry.name, now)
            return now - heard_s < PEER_TIMEOUT_S

        return zone_roles.first_alive(
            candidates, own_name=self._own_name, alive=alive
        )

    def _own_loads(self) -> UpstreamLoads:
        upstreams = self._fleet.upstreams_by_hash.items()
        return {
            upstream_hash: upstream.in_flight
            for upstream_hash, upstream in upstreams
            if upstream.in_flight
        }

    def _ordered_entries(self, zone: str) -> list[Entry]:
        """Returns a zone's entries, the preferred reporter first."""
        if self._entries_version != self._fleet.entries_version:
            self._entries_version = self._fleet.entries_version
            self._entries_by_zone = zone_roles.ranked_by_zone(
                self._fleet.entries.values()
            )
        return self._entries_by_zone.get(zone, [])

    def _send_own_loads(self, reporter: Entry, now: float) -> None:
        report = EntryReport(
            self._own_loads(),
            self._fleet.recently_replaced(now_s=now),
            self._fresh_strikes(now),
            self._cached_locations.locations_to_report(now_s=now)[
                :MAX_CACHED_OBJECTS
            ],
            self._limit_reports.in_force(),
            self._own_cut_off(),
            self._statement_reports.in_force(),
        )
        if not self._own_schedule.is_due(report, now_s=now):
            return
        self._own_schedule.record_sent(report, now_s=now)
        self._reported_loads = report.loads
        counts = self._shared_counts.own(now_s=now)
        message = OwnLoads(
            entry=self._own_name,
            loads=report.loads,
            replaced=report.replaced,
            strikes=report.strikes,
            cached_locations=report.locations,
            counts=counts,
            limits=self._limit_reports.own(now_s=now),
            cut_off=report.cut_off,
            statements=self._statement_reports.own(now_s=now),
            demands=self._shares.own(now_s=now),
        )
        self._send(message, [reporter])

    def _own_cut_off(self) -> list[str]:
        return [self._own_name] if self._links.is_partitioned else []

    def _fresh_strikes(self, now: float) -> list[tuple[int, int]]:
        fresh = self._suspects.recent_strikes(now_s=now, for_s=STRIKE_REPORT_S)
        return [(strike.fingerprint, strike.upstream) for strike in fresh]

    def _send_reports(self, now: float) -> None:
        """Sends the zone's sum to other zones and the total to its entries."""
        self._shared_counts.apply_member(
            self._own_name, self._shared_counts.own(now_s=now), now_s=now
        )
        self._limit_reports.apply_own(entry=self._own_name, now_s=now)
        self._shares.apply_own(now_s=now)
        own = self._own_loads()
        members = [report.loads for report in self._member_reports.values()]
        zone_sum = add_loads([own, *members])
        others = [
            report.loads
            for zone, report in self._zone_reports.items()
            if zone != self._own_zone
        ]
        total = add_loads([zone_sum, *others])
        self._reported_loads = own
        self._fleet.peer_loads.update(total, own=self._reported_loads)
        if total != self._last_total:
            self._last_total = total
            self.on_loads()
        self._update_plan(now)
        if self._all_zones_reported():
            self._total_at_s = now
        replaced = set(self._fleet.recently_replaced(now_s=now))
        cached_locations = dict.fromkeys(
            self._cached_locations.locations_to_report(now_s=now)
        )
        cut_off = set(self._own_cut_off())
        for member in self._member_reports.values():
            cut_off.update(member.cut_off)
            replaced.update(member.replaced)
            cached_locations.update(dict.fromkeys(member.cached_locations))
        # Includes other entries' strikes, which are applied on receipt.
        strikes = self._fresh_strikes(now)
        cached_objects = list(cached_locations)[:MAX_CACHED_OBJECTS]
        limits = self._limit_reports.in_force()
        leaving = self._statement_reports.in_force()
        self._send_zone_sum(
            EntryReport(
                zone_sum,
                list(replaced),
                strikes,
                cached_objects,
                limits,
                sorted(cut_off),
                leaving,
            ),
            now,
        )
        for report in self._zone_reports.values():
            cut_off.update(report.cut_off)
            replaced.update(report.replaced)
            cached_locations.update(dict.fromkeys(report.cached_locations))
        cached_objects = list(cached_locations)[:MAX_CACHED_OBJECTS]
        total_report = EntryReport(
            total,
            list(replaced),
            strikes,
            cached_objects,
            limits,
            sorted(cut_off),
            leaving,
        )
        self._cut_off.apply_report(cut_off, now_s=now)
        # Totals and plans share one allowance of the link. They alternate so
        # that neither starves the other.
        if self._plan_sent_last:
            self._send_total(total_report, now)
            self._send_plan(now)
        else:
            self._send_plan(now)
            self._send_total(total_report, now)

    def _send_zone_sum(self, report: EntryReport, now: float) -> None:
        if not self._zone_sum_schedule.is_due(report, now_s=now):
            return
        self._zone_sum_schedule.record_sent(report, now_s=now)
        message = ZoneLoadSum(
            entry=self._own_name,
            zone=self._own_zone,
            loads=_limit_upstreams(report.loads),
            replaced=report.replaced,
            strikes=report.strikes,
            cached_locations=report.locations,
            counts=self._shared_counts.of_zone(
                zones=len(self._entries_by_zone), now_s=now
            ),
            entries=1 + len(self._member_reports),
            limits=self._limit_reports.of_zone(
                zones=len(self._entries_by_zone), now_s=now
            ),
            cut_off=report.cut_off,
            statements=self._statement_reports.of_zone(now_s=now),
            demands=self._shares.of_zone(
                zones=len(self._entries_by_zone), now_s=now
            ),
        )
        self._send(message, self._other_reporters())

    def _send_total(self, report: EntryReport, now: float) -> None:
        if not self._total_schedule.is_due(report, now_s=now):
            return
        if not self._total_schedule.is_urgent(report):
            if not self._report_bandwidth.has_capacity(now_s=now):
                return
        self._total_schedule.record_sent(report, now_s=now)
        message = TotalLoads(
            entry=self._own_name,
            complete=self._all_zones_reported(),
            loads=_limit_upstreams(report.loads),
            replaced=report.replaced,
            strikes=report.strikes,
            cached_locations=report.locations,
            counts=self._shared_counts.of_fleet(now_s=now),
            entries=self._counted_entries(),
            limits=self._limit_reports.of_fleet(now_s=now),
            cut_off=report.cut_off,
            statements=self._statement_reports.of_fleet(now_s=now),
            demands=self._shares.of_fleet(now_s=now),
        )
        self._apply_total_counts(message, now)
        self._send_to_zone(message, now)

    def _counted_entries(self) -> int:
        """Returns the number of entries whose requests this one knows."""
        entries = 1 + len(self._member_reports)
        for zone, report in self._zone_reports.items():
            if zone != self._own_zone:
                entries += report.entries
        return entries

    def _send_to_zone(self, message: Message, now: float) -> None:
        self._plan_sent_last = isinstance(message, PlanUpdate)
        sent_bytes = self._send(message, self._ordered_entries(self._own_zone))
        self._report_bandwidth.record_sent(sent_bytes, now_s=now)

    def _update_plan(self, now: float) -> None:
        """Updates the plan if this zone makes it.

        If each zone made its own plan, a key would be assigned to different
        upstreams for callers of different zones, and each of these upstreams
        would run it as a new key.
        """
        if self._planning_zone() != self._own_zone:
            return
        services = {}
        for service in self._fleet.services():
            services[service] = self._fleet.eligible_upstreams(service)
        self._planner.update(
            services=services,
            limited=self._limit_reports.limits.rate_limits(),
            resting=self._fleet.resting_names(),
            now_s=now,
        )
        self._fleet.set_plan(self._planner.plan)

    def _send_plan(self, now: float) -> None:
        """Sends the plan when it has changed, and periodically."""
        plan = self._planner.plan
        age_s = now - self._plan_published_at_s
        if plan == self._published_plan and age_s < MAX_PLAN_INTERVAL_S:
            return
        if not self._report_bandwidth.has_capacity(now_s=now):
            return
        self._published_plan = plan
        self._plan_published_at_s = now
        planning_zone = self._planning_zone()
        message = PlanUpdate(
            entry=self._own_name, zone=planning_zone, plan=plan
        )
        self._send_to_zone(message, now)
        if planning_zone == self._own_zone:
            self._send(message, self._other_reporters())

    def _all_zones_reported(self) -> bool:
        for zone in self._other_zones():
            if zone not in self._zone_reports:
                return False
        return True

    def _other_zones(self) -> list[str]:
        self._ordered_entries(self._own_zone)
        return [
            zone for zone in self._entries_by_zone if zone != self._own_zone
        ]

    def _other_reporters(self) -> list[Entry]:
        """Returns each other zone's preferred and latest reporters."""
        reporters: dict[str, Entry] = {}
        entries = self._fleet.entries
        for zone in self._other_zones():
            first = self._ordered_entries(zone)[0]
            reporters[first.name] = first
            report = self._zone_reports.get(zone)
            if report is not None and report.entry in entries:
                reporters[report.entry] = entries[report.entry]
        return list(reporters.values())

    def broadcast(self, message: Message) -> None:
        """Sends a message to all other entries before it returns."""
        self._send(message, self._fleet.entries.values())

    def _send(self, message: Message, entries: Iterable[Entry]) -> int:
        """Sends a message to some entries; returns the total of bytes sent."""
        assert self._transport is not None
        data = msgspec.msgpack.encode(message)
        sent_bytes = 0
        for entry in entries:
            if entry.name == self._own_name:
                continue
            ip, _, port = entry.peers.rpartition(":")
            self._transport.sendto(data, (ip, int(port)))
            sent_bytes += len(data)
        return sent_bytes


def _limit_upstreams(loads: UpstreamLoads) -> UpstreamLoads:
    """Returns the busiest upstreams, as many as fit a message."""
    if len(loads) <= MAX_UPSTREAMS:
        return loads
    busiest = sorted(loads.items(), key=lambda item: -item[1])
    return dict(busiest[:MAX_UPSTREAMS])
