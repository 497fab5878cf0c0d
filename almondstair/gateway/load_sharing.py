"""Tells other entries how many requests this one has at each upstream.

What goes wrong without: each entry knows its own requests and what answers
told a moment ago. Ten entries then find the same upstream free at the same
time, fill its queue, and their requests wait past their time.

One entry of each availability zone, the reporter, sums up what its zone's
entries tell it, exchanges sums with the other zones' reporters, and gives the
total to its zone. An entry's messages so stay the same as the fleet grows, and
one message a zone crosses between zones instead of one an entry. When they are
due is decided in `core/load_pace.py`.
"""

import asyncio
from collections.abc import Iterable
import math
import socket
from typing import NamedTuple, cast

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import load_pace
from almondstair.core import zone_roles
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import Strike
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import KnownPlaces
from almondstair.core.known_places import Place
from almondstair.core.load_pace import LinkShare
from almondstair.core.load_pace import Loads
from almondstair.core.load_pace import Telling
from almondstair.core.load_pace import Word
from almondstair.core.placement_plan import EMPTY
from almondstair.core.placement_plan import Planner
from almondstair.core.registered import Entry
from almondstair.gateway import peer_messages
from almondstair.gateway.peer_messages import GoneTold
from almondstair.gateway.peer_messages import LossTold
from almondstair.gateway.peer_messages import Message
from almondstair.gateway.peer_messages import Own
from almondstair.gateway.peer_messages import PlacesTold
from almondstair.gateway.peer_messages import PlanTold
from almondstair.gateway.peer_messages import Total
from almondstair.gateway.peer_messages import ZoneSum
from almondstair.gateway.upstream_pool import UpstreamPool

# An entry that was silent for this long is not counted on any more: three
# heartbeats.
SILENCE_S = 3 * load_pace.HEARTBEAT_S
# Longest pause between two words on a plan; one may be lost, and an entry that
# was just started knows none.
PLAN_PAUSE_S = 0.4
# For how long a strike against a request is told on; a few messages are lost.
STRIKES_TOLD_S = 2.0
# Upstreams that one message can name; a datagram holds 64 KiB, one upstream
# takes up to 9 bytes.
MOST_UPSTREAMS = 5000
# Datagrams that are read at one time, and the longest one.
MOST_READ = 256
DATAGRAM_BYTES = 65536
# Places that one message can name; one takes up to 11 bytes.
MOST_PLACES = 1500


class Heard(NamedTuple):
    """What was heard of an entry or a zone, and when."""

    at_s: float
    entry: str
    loads: Loads
    replaced: list[int]
    places: list[Place]


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
        places: KnownPlaces,
        own_name: str,
        own_zone: str,
        link_mbps: float = 0.0,
    ) -> None:
        """Makes the protocol; `run` sends once it listens.

        Args:
          fleet: whose upstreams the loads belong to.
          pool: connections to upstreams; those of replaced ones are closed.
          suspects: requests that may crash upstreams.
          places: which upstreams know which objects.
          own_name: name of this entry.
          own_zone: its availability zone.
          link_mbps: what its VM's link carries, 0 where it is not told.
        """
        self._fleet = fleet
        self._pool = pool
        self._suspects = suspects
        self._places = places
        self._own_name = own_name
        self._own_zone = own_zone
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._members: dict[str, Heard] = {}
        self._zones: dict[str, Heard] = {}
        self._alive_s: dict[str, float] = {}
        self._sent: Loads = {}
        self._link_share = LinkShare(link_mbps=link_mbps)
        self._own_told = Telling()
        self._sum_told = Telling(least_pause_s=load_pace.ZONES_PAUSE_S)
        self._total_told = Telling()
        self._plan_told = EMPTY
        self._plan_told_at_s = -math.inf
        self._plan_was_last = False
        self._turns: dict[str, list[Entry]] = {}
        self._turns_version = -1
        self._total_at_s = 0.0
        self._unreadable = 0
        self._planner = Planner()

    # Receiving.

    async def listen(self, *, ip: str, port: int) -> None:
        """Listens for other entries.

        Raises:
          OSError: the address is not to be had.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((ip, port))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    def read_waiting(self) -> None:
        """Takes every message that has arrived, not one each turn of the loop.

        What goes wrong without: a request that was sent after a peer's word
        runs before that word is read.
        """
        if self._socket is None:
            return
        for _ in range(MOST_READ):
            try:
                data, address = self._socket.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The kernel reports here that an earlier send met nobody.
                self.error_received(error)
                continue
            self.datagram_received(data, address)

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
            message = peer_messages.decode(data)
        except msgspec.MsgspecError:
            self._unreadable += 1
            if self._unreadable == 1:
                log.event(log.Event.PEER_MESSAGE_BAD, address=str(addr))
            return
        if message.entry != self._own_name:
            self._take(message, now_s())

    def _take(self, message: Message, now: float) -> None:
        self._alive_s[message.entry] = now
        if isinstance(message, PlanTold):
            self._hear_plan(message)
            return
        if isinstance(message, LossTold | GoneTold):
            self._hear_crash(message, now)
            return
        self._places.take(message.places, now_s=now)
        if isinstance(message, PlacesTold):
            return
        heard = Heard(
            at_s=now,
            entry=message.entry,
            loads=message.loads,
            replaced=message.replaced,
            places=message.places,
        )
        self._drop_replaced(message.replaced)
        for strike in message.strikes:
            self._suspects.strike(Strike(*strike), now_s=now)
        if isinstance(message, Own):
            if message.entry not in self._members:
                self._greet(message.entry, now)
            self._members[message.entry] = heard
        elif isinstance(message, ZoneSum):
            self._zones[message.zone] = heard
        else:
            self._fleet.others_loads.take(message.loads, own=self._sent)
            if message.complete:
                self._total_at_s = now

    def _hear_crash(self, message: LossTold | GoneTold, now: float) -> None:
        upstream = message.upstream
        if isinstance(message, LossTold):
            strike = Strike(message.request, upstream)
            ran_s = message.ran_ms / 1000
            self._suspects.note_lost(strike, ran_s=ran_s, now_s=now)
            return
        for request in message.requests:
            self._suspects.strike(Strike(request, upstream), now_s=now)

    def _greet(self, name: str, now: float) -> None:
        """Tells an entry that was not heard of which places are known.

        What goes wrong without: an entry that was started again sends each
        object to its home, though the fleet has moved it since.
        """
        entry = self._fleet.entries.get(name)
        if entry is None:
            return
        places = self._places.all_places(now_s=now)
        for begin in range(0, len(places), MOST_PLACES):
            part = places[begin : begin + MOST_PLACES]
            self._send(PlacesTold(self._own_name, part), [entry])

    def _hear_plan(self, message: PlanTold) -> None:
        """Takes the plan unless its maker stands behind another zone's.

        What goes wrong without: a reporter that was cut off from the first
        zone makes a plan of its own, and keys move with each of the two.
        """
        if message.zone > self._first_zone():
            return
        self._planner.take(message.plan)
        self._fleet.take_plan(message.plan)

    def _first_zone(self) -> str:
        """Returns the zone whose reporter makes the plan."""
        return min([self._own_zone, *self._zones])

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
            members = self._in_turn(self._own_zone)
            await asyncio.sleep(load_pace.pause_s(len(members)))
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
        candidates = self._in_turn(self._own_zone)

        def alive(entry: Entry) -> bool:
            # One that was just registered has had no time to speak.
            heard_s = self._alive_s.setdefault(entry.name, now)
            return now - heard_s < SILENCE_S

        return zone_roles.acting(
            candidates, own_name=self._own_name, alive=alive
        )

    def _own_loads(self) -> Loads:
        upstreams = self._fleet.by_hash.items()
        return {name: one.in_flight for name, one in upstreams if one.in_flight}

    def _in_turn(self, zone: str) -> list[Entry]:
        """Returns the entries of a zone in the order of their turn."""
        if self._turns_version != self._fleet.entries_version:
            self._turns_version = self._fleet.entries_version
            self._turns = zone_roles.turns(self._fleet.entries.values())
        return self._turns.get(zone, [])

    def _tell(self, reporter: Entry, now: float) -> None:
        word = Word(
            self._own_loads(),
            self._fleet.replaced(now_s=now),
            self._fresh_strikes(now),
            self._places.found_lately(now_s=now)[:MOST_PLACES],
        )
        if not self._own_told.due(word, now_s=now):
            return
        self._own_told.note_told(word, now_s=now)
        self._sent = word.loads
        self._send(Own(self._own_name, *word), [reporter])

    def _fresh_strikes(self, now: float) -> list[tuple[int, int]]:
        fresh = self._suspects.fresh(now_s=now, for_s=STRIKES_TOLD_S)
        return [(strike.fingerprint, strike.upstream) for strike in fresh]

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
        self._sent = own
        self._fleet.others_loads.take(total, own=self._sent)
        self._make_plan(now)
        if self._zones_heard():
            self._total_at_s = now
        replaced = set(self._fleet.replaced(now_s=now))
        places = dict.fromkeys(self._places.found_lately(now_s=now))
        for member in self._members.values():
            replaced.update(member.replaced)
            places.update(dict.fromkeys(member.places))
        # Others' strikes are among these: they were struck here as well.
        strikes = self._fresh_strikes(now)
        told = list(places)[:MOST_PLACES]
        self._tell_zones(Word(zone_sum, list(replaced), strikes, told), now)
        for heard in self._zones.values():
            replaced.update(heard.replaced)
            places.update(dict.fromkeys(heard.places))
        told = list(places)[:MOST_PLACES]
        word = Word(total, list(replaced), strikes, told)
        # They share a part of the link: neither may keep the other from it.
        if self._plan_was_last:
            self._tell_total(word, now)
            self._tell_plan(now)
        else:
            self._tell_plan(now)
            self._tell_total(word, now)

    def _tell_zones(self, word: Word, now: float) -> None:
        if not self._sum_told.due(word, now_s=now):
            return
        self._sum_told.note_told(word, now_s=now)
        message = ZoneSum(
            entry=self._own_name,
            zone=self._own_zone,
            loads=_cut(word.loads),
            replaced=word.replaced,
            strikes=word.strikes,
            places=word.places,
        )
        self._send(message, self._other_reporters())

    def _tell_total(self, word: Word, now: float) -> None:
        if not self._total_told.due(word, now_s=now):
            return
        if not self._total_told.urgent(word):
            if not self._link_share.free(now_s=now):
                return
        self._total_told.note_told(word, now_s=now)
        message = Total(
            entry=self._own_name,
            complete=self._zones_heard(),
            loads=_cut(word.loads),
            replaced=word.replaced,
            strikes=word.strikes,
            places=word.places,
        )
        self._tell_zone(message, now)

    def _tell_zone(self, message: Message, now: float) -> None:
        self._plan_was_last = isinstance(message, PlanTold)
        sent_bytes = self._send(message, self._in_turn(self._own_zone))
        self._link_share.note_sent(sent_bytes, now_s=now)

    def _make_plan(self, now: float) -> None:
        """Makes the next plan if this zone is the first one.

        What goes wrong if each zone makes its own: a key belongs to one
        upstream for callers of one zone and to another one for the others',
        and both run it as new.
        """
        if self._first_zone() != self._own_zone:
            return
        services = {}
        for service in self._fleet.services():
            services[service] = self._fleet.takers(service)
        self._planner.observe(services=services, now_s=now)
        self._fleet.take_plan(self._planner.plan)

    def _tell_plan(self, now: float) -> None:
        """Tells the plan on when it changed, and now and then."""
        plan = self._planner.plan
        age_s = now - self._plan_told_at_s
        if plan == self._plan_told and age_s < PLAN_PAUSE_S:
            return
        if not self._link_share.free(now_s=now):
            return
        self._plan_told = plan
        self._plan_told_at_s = now
        first = self._first_zone()
        message = PlanTold(entry=self._own_name, zone=first, plan=plan)
        self._tell_zone(message, now)
        if first == self._own_zone:
            self._send(message, self._other_reporters())

    def _zones_heard(self) -> bool:
        for zone in self._other_zones():
            if zone not in self._zones:
                return False
        return True

    def _other_zones(self) -> list[str]:
        self._in_turn(self._own_zone)
        return [zone for zone in self._turns if zone != self._own_zone]

    def _other_reporters(self) -> list[Entry]:
        """Returns the first in turn of each zone, and who spoke for it last."""
        found: dict[str, Entry] = {}
        entries = self._fleet.entries
        for zone in self._other_zones():
            first = self._in_turn(zone)[0]
            found[first.name] = first
            heard = self._zones.get(zone)
            if heard is not None and heard.entry in entries:
                found[heard.entry] = entries[heard.entry]
        return list(found.values())

    def send_all(self, message: Message) -> None:
        """Sends a message to every entry before it returns."""
        self._send(message, self._fleet.entries.values())

    def _send(self, message: Message, entries: Iterable[Entry]) -> int:
        """Sends a message to each of some entries; returns all its bytes."""
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


def _cut(loads: Loads) -> Loads:
    """Keeps the busiest upstreams where they do not fit a message."""
    if len(loads) <= MOST_UPSTREAMS:
        return loads
    busiest = sorted(loads.items(), key=lambda item: -item[1])
    return dict(busiest[:MOST_UPSTREAMS])
