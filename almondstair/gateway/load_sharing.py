"""Tells other entries how many requests this one has at each upstream.

What goes wrong without: each entry knows its own requests and what answers
told a moment ago. Ten entries then find the same upstream free at the same
time, fill its queue, and their requests wait past their time.

One entry of each availability zone, the reporter, sums up what its zone's
entries tell it, exchanges sums with the other zones' reporters, and gives the
total to its zone. An entry's messages so stay the same as the fleet grows, and
one message a zone crosses between zones instead of one an entry.
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple, cast

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import zone_roles
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import Strike
from almondstair.core.fleet import Fleet
from almondstair.core.placement_plan import EMPTY
from almondstair.core.placement_plan import Plan
from almondstair.core.placement_plan import Planner
from almondstair.core.registered import Entry
from almondstair.gateway.upstream_pool import UpstreamPool

# Pause between two messages: the least, and how much longer for each entry, so
# that a large fleet spends no more on it. 8 entries: 0.05 s; 80: 0.2 s.
LEAST_INTERVAL_S = 0.05
INTERVAL_PER_ENTRY_S = 0.0025
MOST_INTERVAL_S = 0.5
# Longest pause while nothing changes, and how many such pauses make a silence.
HEARTBEAT_S = 0.4
# An entry that was silent for this long is not counted on any more.
SILENCE_S = 1.2
# For how long a strike against a request is told on; a few messages are lost.
STRIKES_TOLD_S = 2.0
# Upstreams that one message can name; a datagram holds 64 KiB, one upstream
# takes up to 9 bytes, and the plan beside them 7,000.
MOST_UPSTREAMS = 6000

Loads = dict[int, int]


class Own(msgspec.Struct, array_like=True, tag=0):
    """One entry's requests, to the reporter of its zone."""

    entry: str
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]


class ZoneSum(msgspec.Struct, array_like=True, tag=1):
    """A zone's requests, from its reporter to those of other zones."""

    entry: str
    zone: str
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    plan: Plan = EMPTY


class Total(msgspec.Struct, array_like=True, tag=2):
    """Everybody's requests, from a reporter to its zone.

    Attributes:
      entry: the reporter.
      complete: whether every zone's sum is in it.
      loads: requests by the hash of the upstream's incarnation.
      replaced: upstreams whose addresses have other incarnations now.
      plan: how keys are dealt out to upstreams.
    """

    entry: str
    complete: bool
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    plan: Plan = EMPTY


class Heard(NamedTuple):
    """What was heard of an entry or a zone, and when."""

    at_s: float
    entry: str
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    plan: Plan


_DECODER = msgspec.msgpack.Decoder(Own | ZoneSum | Total)


def add_loads(parts: Iterable[Loads]) -> Loads:
    """Returns the sum of several loads."""
    total: Loads = {}
    for part in parts:
        for name, count in part.items():
            total[name] = total.get(name, 0) + count
    return total


class LoadSharing(asyncio.DatagramProtocol):
    """Sends own loads to the zone's reporter, or is the reporter."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: UpstreamPool,
        suspects: CrashSuspects,
        own_name: str,
        own_zone: str,
    ) -> None:
        """Makes the protocol; `run` sends once it listens.

        Args:
          fleet: whose upstreams the loads belong to.
          pool: connections to upstreams; those of replaced ones are closed.
          suspects: requests that may crash upstreams.
          own_name: name of this entry.
          own_zone: its availability zone.
        """
        self._fleet = fleet
        self._pool = pool
        self._suspects = suspects
        self._own_name = own_name
        self._own_zone = own_zone
        self._transport: asyncio.DatagramTransport | None = None
        self._members: dict[str, Heard] = {}
        self._zones: dict[str, Heard] = {}
        self._alive_s: dict[str, float] = {}
        self._sent: Loads = {}
        self._sent_at_s = 0.0
        self._total_at_s = 0.0
        self._applied: Loads = {}
        self._unreadable = 0
        self._planner = Planner()

    # Receiving.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the bound socket."""
        # asyncio's own class for it is no subclass of the interface.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A peer is not there; its registration will end by itself."""

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Takes another entry's message."""
        try:
            message = _DECODER.decode(data)
        except msgspec.MsgspecError:
            self._unreadable += 1
            if self._unreadable == 1:
                log.event(log.Event.PEER_MESSAGE_BAD, address=str(addr))
            return
        if message.entry == self._own_name:
            return
        now = now_s()
        self._alive_s[message.entry] = now
        heard = Heard(
            at_s=now,
            entry=message.entry,
            loads=message.loads,
            replaced=message.replaced,
            strikes=message.strikes,
            plan=EMPTY if isinstance(message, Own) else message.plan,
        )
        self._drop_replaced(message.replaced)
        for strike in message.strikes:
            self._suspects.strike(Strike(*strike), now_s=now)
        if isinstance(message, Own):
            self._members[message.entry] = heard
        elif isinstance(message, ZoneSum):
            self._zones[message.zone] = heard
        else:
            self._apply(message.loads)
            self._planner.take(message.plan)
            self._fleet.take_plan(message.plan)
            if message.complete:
                self._total_at_s = now

    def _drop_replaced(self, names: list[int]) -> None:
        """Takes others' word instead of finding out by a request of its own."""
        for name in names:
            incarnation = self._fleet.note_replaced(name)
            if not incarnation:
                continue
            self._pool.forget(incarnation=incarnation)
            log.event(log.Event.UPSTREAM_GONE, upstream=incarnation, told=True)

    # Sending.

    async def run(self) -> None:
        """Sends loads when they change until it is cancelled."""
        while True:
            wanted_s = INTERVAL_PER_ENTRY_S * len(self._fleet.entries)
            await asyncio.sleep(
                min(MOST_INTERVAL_S, max(LEAST_INTERVAL_S, wanted_s))
            )
            self._tick(now_s())

    def _tick(self, now: float) -> None:
        for heard in (self._members, self._zones):
            for name in list(heard):
                if now - heard[name].at_s > SILENCE_S:
                    del heard[name]
        reporter = self._reporter(now)
        if reporter is None or reporter.name == self._own_name:
            self._report(now)
        else:
            self._tell(reporter, now)
        self._fleet.peers_heard = now - self._total_at_s < SILENCE_S

    def _reporter(self, now: float) -> Entry | None:
        candidates = zone_roles.in_turn(
            self._fleet.entries.values(), zone=self._own_zone
        )

        def alive(entry: Entry) -> bool:
            # One that was just registered has had no time to speak.
            heard_s = self._alive_s.setdefault(entry.name, now)
            return now - heard_s < SILENCE_S

        return zone_roles.acting(
            candidates, own_name=self._own_name, alive=alive
        )

    def _own_loads(self) -> Loads:
        loads = {}
        for name, upstream in self._fleet.by_hash.items():
            if upstream.in_flight:
                loads[name] = upstream.in_flight
        return loads

    def _tell(self, reporter: Entry, now: float) -> None:
        loads = self._own_loads()
        replaced = self._fleet.replaced(now_s=now)
        strikes = self._fresh_strikes(now)
        urgent = replaced or strikes
        if not urgent and self._unchanged(loads, now):
            return
        message = Own(
            entry=self._own_name,
            loads=loads,
            replaced=replaced,
            strikes=strikes,
        )
        self._send(message, [reporter])

    def _fresh_strikes(self, now: float) -> list[tuple[int, int]]:
        fresh = self._suspects.fresh(now_s=now, for_s=STRIKES_TOLD_S)
        return [(strike.fingerprint, strike.upstream) for strike in fresh]

    def _unchanged(self, loads: Loads, now: float) -> bool:
        if loads == self._sent and now - self._sent_at_s < HEARTBEAT_S:
            return True
        self._sent = loads
        self._sent_at_s = now
        return False

    def _report(self, now: float) -> None:
        """Sums up for the zone and gives the total to its entries."""
        own = self._own_loads()
        members = [heard.loads for heard in self._members.values()]
        zone_sum = add_loads([own, *members])
        others = [
            heard.loads
            for zone, heard in self._zones.items()
            if zone != self._own_zone
        ]
        total = add_loads([zone_sum, *others])
        own_replaced = self._fleet.replaced(now_s=now)
        zone_replaced = set(own_replaced)
        for member in self._members.values():
            zone_replaced.update(member.replaced)
        all_replaced = set(zone_replaced)
        for heard in self._zones.values():
            all_replaced.update(heard.replaced)
        # Others' strikes are among these: they were struck here as well.
        strikes = self._fresh_strikes(now)
        self._sent = own
        self._apply(total)
        plan = self._plan(now)
        complete = self._zones_heard()
        if complete:
            self._total_at_s = now
        self._send(
            ZoneSum(
                entry=self._own_name,
                zone=self._own_zone,
                loads=_cut(zone_sum),
                replaced=list(zone_replaced),
                strikes=strikes,
                plan=plan,
            ),
            self._other_reporters(),
        )
        message = Total(
            entry=self._own_name,
            complete=complete,
            loads=_cut(total),
            replaced=list(all_replaced),
            strikes=strikes,
            plan=plan,
        )
        self._send(message, self._zone_members())

    def _plan(self, now: float) -> Plan:
        """Returns the plan in force: the first zone's reporter makes it.

        What goes wrong if each zone makes its own: a key belongs to one
        upstream for callers of one zone and to another one for the others',
        and both run it as new.
        """
        first = min([self._own_zone, *self._zones])
        if first == self._own_zone:
            services = {}
            for service in self._fleet.services():
                services[service] = self._fleet.takers(service)
            self._planner.observe(services=services, now_s=now)
        else:
            self._planner.take(self._zones[first].plan)
        self._fleet.take_plan(self._planner.plan)
        return self._planner.plan

    def _zones_heard(self) -> bool:
        for entry in self._fleet.entries.values():
            zone = entry.availability_zone
            if zone != self._own_zone and zone not in self._zones:
                return False
        return True

    def _zone_members(self) -> list[Entry]:
        return [
            entry
            for entry in self._fleet.entries.values()
            if entry.availability_zone == self._own_zone
        ]

    def _other_reporters(self) -> list[Entry]:
        """Returns the first in turn of each zone, and who spoke for it last."""
        found: dict[str, Entry] = {}
        entries = self._fleet.entries
        zones = {entry.availability_zone for entry in entries.values()}
        for zone in zones - {self._own_zone}:
            first = zone_roles.in_turn(entries.values(), zone=zone)[0]
            found[first.name] = first
            heard = self._zones.get(zone)
            if heard is not None and heard.entry in entries:
                found[heard.entry] = entries[heard.entry]
        return list(found.values())

    def _send(
        self, message: Own | ZoneSum | Total, entries: list[Entry]
    ) -> None:
        assert self._transport is not None
        data = msgspec.msgpack.encode(message)
        for entry in entries:
            if entry.name == self._own_name:
                continue
            ip, _, port = entry.peers.rpartition(":")
            self._transport.sendto(data, (ip, int(port)))

    def _apply(self, total: Loads) -> None:
        """Takes the total, less what of it this entry told itself."""
        for name in self._applied.keys() | total.keys():
            upstream = self._fleet.by_hash.get(name)
            if upstream is None:
                continue
            others = total.get(name, 0) - self._sent.get(name, 0)
            upstream.others = max(0, others)
        self._applied = total


def _cut(loads: Loads) -> Loads:
    """Keeps the busiest upstreams where they do not fit a message."""
    if len(loads) <= MOST_UPSTREAMS:
        return loads
    busiest = sorted(loads.items(), key=lambda item: -item[1])
    return dict(busiest[:MOST_UPSTREAMS])
