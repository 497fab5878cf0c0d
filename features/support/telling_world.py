"""Entries that tell each other their loads, in virtual time.

The messages and their pauses are the gateway's; sockets and clock are not.
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

from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.placement_plan import Plan
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway import load_exchange
from almondstair.gateway.load_exchange import LoadExchange

REGIONS = 3
IN_ZONE_S = 0.0002
BETWEEN_ZONES_S = 0.0005
BETWEEN_REGIONS_S = 0.055
# Upstreams that have no requests but those that a scenario starts.
QUIET_UPSTREAMS = 40
# Requests of each entry, and how often one moves to another upstream.
HELD = 6
MOVE_S = 0.05
SETTLE_S = 1.5


class Member(NamedTuple):
    """One entry of the world."""

    name: str
    zone: str
    region: str
    fleet: Fleet
    sharing: LoadExchange


class _Pause:
    """What a coroutine gives when it sleeps: for how long."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s

    def __await__(self) -> Iterator[float]:
        yield self._span_s


async def _sleep(span_s: float) -> None:
    await _Pause(span_s)


class _Wire:
    """Datagrams of one entry."""

    def __init__(self, world: "TellingWorld", name: str) -> None:
        self._world = world
        self._name = name

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._world.carry(self._name, f"e{address[1]}", data)


class TellingWorld:
    """Entries in zones, upstreams, and messages on their way.

    Attributes:
      members: the entries by name.
      now_s: the virtual clock.
      sent_bytes: bytes by sender.
      sent_count: messages by sender and receiver.
      far_bytes: bytes that crossed between regions.
    """

    def __init__(
        self, *, entries: int, zones: int, upstreams: int, link_mbps: float
    ) -> None:
        """Makes the entries, each of which knows all others and upstreams."""
        self.now_s = 100.0
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
            self._add(entry)
        self.forget_counts()

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

    def _add(self, entry: Entry) -> None:
        fleet = Fleet(
            own_name=entry.name,
            own_region=entry.region,
            zones=dict(self._regions),
        )
        service = ServiceRule("s", "/", 9, 0.0, 0.0)
        fleet.apply_configuration(
            RoutingConfiguration(
                1, CallerLimits(1, 1, 1.0, 1.0), (), {"s": service}
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
        sharing = LoadExchange(
            fleet=fleet,
            pool=mock.Mock(),
            suspects=self.make_suspects(entry.name),
            own_name=entry.name,
            own_zone=entry.availability_zone,
            **options,
        )
        # The protocol only sends on its transport.
        sharing.connection_made(_Wire(self, entry.name))  # type: ignore[arg-type]
        self.members[entry.name] = Member(
            entry.name, entry.availability_zone, entry.region, fleet, sharing
        )

    def make_suspects(self, name: str) -> Any:
        """Returns what an entry keeps of requests that crash upstreams."""
        del name
        return mock.Mock(**{"recent_strikes.return_value": []})

    def forget_counts(self) -> None:
        """Begins to count what is sent."""
        self.sent_bytes = dict.fromkeys(self.members, 0)
        self.sent_count: dict[tuple[str, str], int] = {}
        self.far_bytes = 0

    def carry(self, sender: str, receiver: str, data: bytes) -> None:
        """Takes a datagram that arrives after its way."""
        one, other = self.members[sender], self.members[receiver]
        self.sent_bytes[sender] += len(data)
        pair = (sender, receiver)
        self.sent_count[pair] = self.sent_count.get(pair, 0) + 1
        way_s = IN_ZONE_S
        if one.zone != other.zone:
            way_s = BETWEEN_ZONES_S
        if one.region != other.region:
            way_s = BETWEEN_REGIONS_S
            self.far_bytes += len(data)

        def arrive() -> None:
            other.sharing.datagram_received(data, ("10.0.0.1", 1))

        self.later(way_s, arrive)

    def later(self, after_s: float, work: Callable[[], None]) -> None:
        """Does something at a later time."""
        event = (self.now_s + after_s, next(self._numbers), work)
        heapq.heappush(self._events, event)

    @contextlib.contextmanager
    def running(self, *, busy: bool) -> Iterator[None]:
        """Lets the entries tell; requests move about when they are busy."""
        with (
            mock.patch.object(load_exchange, "now_s", lambda: self.now_s),
            mock.patch.object(asyncio, "sleep", _sleep),
        ):
            for member in self.members.values():
                self._start(member)
                if busy:
                    self._ask(member)
            self.pass_time(SETTLE_S)
            self.forget_counts()
            yield

    def _start(self, member: Member) -> None:
        work = member.sharing.run()

        def turn() -> None:
            self.later(work.send(None), turn)

        # They do not start at one moment.
        self.later(self.draws.random() / 2, turn)

    def _ask(self, member: Member) -> None:
        busy = self.names[QUIET_UPSTREAMS:]
        held = [self.draws.choice(busy) for _ in range(HELD)]
        for name in held:
            self.state(member, name).in_flight += 1

        def move() -> None:
            self.state(member, held.pop(0)).in_flight -= 1
            held.append(self.draws.choice(busy))
            self.state(member, held[-1]).in_flight += 1
            self.later(MOVE_S, move)

        self.later(self.draws.random() * MOVE_S, move)

    def state(self, member: Member, name: str) -> Any:
        """Returns what an entry believes of an upstream."""
        return member.fleet.upstreams_by_hash[incarnation_hash(name)]

    def pass_time(self, span_s: float) -> None:
        """Does all that happens in a span."""
        end_s = self.now_s + span_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()
        self.now_s = end_s

    def first_reporter(self) -> Member:
        """Returns the entry that makes the plan."""
        found = []
        for member in self.members.values():
            if member.zone != min(self._regions):
                continue
            reporter = member.sharing._reporter(self.now_s)
            if reporter is not None and reporter.name == member.name:
                found.append(member)
        [member] = found
        return member

    def weigh_all(self) -> Plan:
        """Gives every upstream a weight of its own, at the plan's maker."""
        weights = {}
        for number, name in enumerate(self.names):
            weights[incarnation_hash(name)] = 30 + number % 30
        plan = Plan(weights=weights)
        self.first_reporter().sharing._planner.set_plan(plan)
        return plan
