"""Entries that exchange load reports, in virtual time.

The messages and their timing are the gateway's own code; sockets and the clock
are simulated.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import heapq
import inspect
import itertools
import random
from typing import Any, NamedTuple
from unittest import mock

from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.organisations import Organisation
from almondstair.core.placement_plan import Plan
from almondstair.core.quota_reports import QuotaReports
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway import load_exchange
from almondstair.gateway import statement_recorder
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.statement_recorder import StatementRecorder
from features.support.quota_helpers import make_quota_reports
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts

REGIONS = 3
IN_ZONE_S = 0.0002
BETWEEN_ZONES_S = 0.0005
BETWEEN_REGIONS_S = 0.055
# Upstreams without requests other than those that a scenario starts.
QUIET_UPSTREAMS = 40
# Requests in flight of each entry, and the interval at which one of them moves
# to another upstream.
REQUESTS_PER_ENTRY = 6
MOVE_INTERVAL_S = 0.05
SETTLE_S = 1.5


class Member(NamedTuple):
    """An entry and its components."""

    name: str
    zone: str
    region: str
    fleet: Fleet
    load_exchange: LoadExchange
    quota_reports: QuotaReports
    limit_reports: LimitReports
    links: UpstreamLinks
    cut_off: CutOffEntries
    statement_recorder: StatementRecorder
    shares: MaxMinShares


class _Sleep:
    """Yields the duration of a sleep to the simulation."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s

    def __await__(self) -> Iterator[float]:
        yield self._span_s


async def _sleep(span_s: float) -> None:
    await _Sleep(span_s)


class _DatagramTransport:
    """Replaces the datagram transport of one entry."""

    def __init__(self, world: "LoadExchangeWorld", name: str) -> None:
        self._world = world
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._world.deliver_datagram(self._name, f"e{address[1]}", data)


class LoadExchangeWorld:
    """Simulates entries in zones, upstreams, and messages in flight.

    Attributes:
      members: entries by name.
      now_s: time of the virtual clock, in seconds.
      sent_bytes: bytes sent, by sender.
      sent_count: messages sent, by sender and receiver.
      far_bytes: bytes sent between regions.
      organisations: those of the entries' configuration.
      partitioned: names of entries that neither hear others nor are heard.
      stopped: exchanges of processes that have ended.
    """

    organisations: tuple[Organisation, ...] = ()

    def __init__(
        self, *, entries: int, zones: int, upstreams: int, link_mbps: float
    ) -> None:
        """Creates entries that know all other entries and upstreams."""
        self.now_s = 100.0
        self.partitioned: set[str] = set()
        self.stopped: set[int] = set()
        self.draws = random.Random(7)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._regions = {}
        for number in range(zones):
            self._regions[f"z{number}"] = f"r{number % REGIONS}"
        self.names = [f"u{number}" for number in range(upstreams)]
        self.members: dict[str, Member] = {}
        self._link_mbps = link_mbps
        self._records = self._make_records()
        self._registered = self._make_registered(entries)
        for entry in self._registered:
            self._add_entry(entry)
        self.reset_counts()

    def _make_records(self) -> list[UpstreamRecord]:
        zones = itertools.cycle(self._regions)
        found = []
        for name, zone in zip(self.names, zones, strict=False):
            record = UpstreamRecord(name, "s", "a:1", zone, "v", 3, False, 0.0)
            found.append(record)
        return found

    def _make_registered(self, entries: int) -> list[Entry]:
        zones = itertools.cycle(self._regions)
        found = []
        for number, zone in zip(range(entries), zones, strict=False):
            entry = Entry(
                name=f"e{number}",
                callers="",
                peers=f"10.0.0.1:{number}",
                region=self._regions[zone],
                availability_zone=zone,
                cores=1.0,
                link_mbps=self._link_mbps,
            )
            found.append(entry)
        return found

    def _add_entry(self, entry: Entry) -> None:
        fleet = Fleet(
            own_name=entry.name,
            own_region=entry.region,
            zones=dict(self._regions),
        )
        service = ServiceRule("s", "/", 9, 0.0, 0.0)
        fleet.apply_configuration(
            RoutingConfiguration(
                1,
                CallerLimits(1, 1, 1.0, 1.0),
                (),
                {"s": service},
                self.organisations,
            )
        )
        for record in self._records:
            fleet.apply_upstream(record, now_s=0.0)
        for other in self._registered:
            fleet.apply_entry(other)
        options: dict[str, Any] = {}
        if "link_mbps" in inspect.signature(LoadExchange).parameters:
            options["link_mbps"] = self._link_mbps
            options["cached_locations"] = CachedLocations()
        quota_reports = make_quota_reports(entry.name)
        limits = make_report_parts(entry.name, fleet)
        exchange = LoadExchange(
            fleet=fleet,
            pool=mock.Mock(),
            suspects=self.make_suspects(entry.name),
            shared_counts=make_shared_counts(entry.name, fleet, quota_reports),
            own_name=entry.name,
            own_zone=entry.availability_zone,
            **limits,
            **options,
        )
        # The protocol uses its transport only to send.
        exchange.connection_made(_DatagramTransport(self, entry.name))  # type: ignore[arg-type]
        self.members[entry.name] = Member(
            entry.name,
            entry.availability_zone,
            entry.region,
            fleet,
            exchange,
            quota_reports,
            limits["limit_reports"],
            limits["links"],
            limits["cut_off"],
            limits["statement_recorder"],
            limits["shares"],
        )

    def make_suspects(self, name: str) -> Any:
        """Returns an entry's record of requests that crash upstreams."""
        del name
        return mock.Mock(**{"recent_strikes.return_value": []})

    def reset_counts(self) -> None:
        """Resets the counts of sent messages and bytes."""
        self.sent_bytes = dict.fromkeys(self.members, 0)
        self.sent_count: dict[tuple[str, str], int] = {}
        self.far_bytes = 0

    def deliver_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        """Delivers a datagram after the one-way latency."""
        source, target = self.members[sender], self.members[receiver]
        if {sender, receiver} & self.partitioned:
            return
        self.sent_bytes[sender] += len(data)
        pair = (sender, receiver)
        self.sent_count[pair] = self.sent_count.get(pair, 0) + 1
        delay_s = IN_ZONE_S
        if source.zone != target.zone:
            delay_s = BETWEEN_ZONES_S
        if source.region != target.region:
            delay_s = BETWEEN_REGIONS_S
            self.far_bytes += len(data)

        def arrive() -> None:
            target.load_exchange.datagram_received(data, ("10.0.0.1", 1))

        self.schedule(delay_s, arrive)

    def schedule(self, after_s: float, work: Callable[[], None]) -> None:
        """Schedules work after a delay."""
        event = (self.now_s + after_s, next(self._numbers), work)
        heapq.heappush(self._events, event)

    @contextlib.contextmanager
    def running(self, *, busy: bool) -> Iterator[None]:
        """Runs the exchange; `busy` adds requests that change upstreams."""
        with self.continuing():
            for member in self.members.values():
                self._start_exchange(member)
                if busy:
                    self._start_requests(member)
            self.advance(SETTLE_S)
            self.reset_counts()
            yield

    @contextlib.contextmanager
    def continuing(self) -> Iterator[None]:
        """Goes on with an exchange that has been started."""
        with (
            mock.patch.object(load_exchange, "now_s", lambda: self.now_s),
            mock.patch.object(statement_recorder, "now_s", lambda: self.now_s),
            mock.patch.object(asyncio, "sleep", _sleep),
        ):
            yield

    def _start_exchange(self, member: Member) -> None:
        work = member.load_exchange.run()

        def resume() -> None:
            if id(member.load_exchange) in self.stopped:
                work.close()
                return
            self.schedule(work.send(None), resume)

        # The entries start at different times.
        self.schedule(self.draws.random() / 2, resume)

    def _start_requests(self, member: Member) -> None:
        busy = self.names[QUIET_UPSTREAMS:]
        in_flight_at = [
            self.draws.choice(busy) for _ in range(REQUESTS_PER_ENTRY)
        ]
        for name in in_flight_at:
            self.state(member, name).in_flight += 1

        def move() -> None:
            self.state(member, in_flight_at.pop(0)).in_flight -= 1
            in_flight_at.append(self.draws.choice(busy))
            self.state(member, in_flight_at[-1]).in_flight += 1
            self.schedule(MOVE_INTERVAL_S, move)

        self.schedule(self.draws.random() * MOVE_INTERVAL_S, move)

    def state(self, member: Member, name: str) -> Any:
        """Returns the state of an upstream in an entry's view of the fleet."""
        return member.fleet.upstreams_by_hash[incarnation_hash(name)]

    def advance(self, span_s: float) -> None:
        """Runs all events of a time span."""
        end_s = self.now_s + span_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()
        self.now_s = end_s

    def first_reporter(self) -> Member:
        """Returns the entry that makes the placement plan."""
        found = []
        for member in self.members.values():
            if member.zone != min(self._regions):
                continue
            reporter = member.load_exchange._reporter(self.now_s)
            if reporter is not None and reporter.name == member.name:
                found.append(member)
        [member] = found
        return member

    def set_varied_weights(self) -> Plan:
        """Sets varied upstream weights in the plan of the first reporter."""
        weights = {}
        for number, name in enumerate(self.names):
            weights[incarnation_hash(name)] = 30 + number % 30
        plan = Plan(weights=weights)
        self.first_reporter().load_exchange._planner.set_plan(plan)
        return plan
