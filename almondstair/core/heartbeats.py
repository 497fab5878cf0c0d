"""Who sends heartbeats to whom, and what rides along with them.

A full mesh does not carry the system to its target: 769 peers at one packet a
second each is tens of kilobytes a second. So an entry has a *near group*, to
whose members it sends heartbeats in turn, as many in a tick as its allowance
of bytes pays for:

* With at most `FULL_MESH_ENTRIES` entries the group is the whole table, and
  everyone hears everyone directly within a second.
* With more, it is the entry's availability zone. Each heartbeat then carries a
  `GroupView`, two bytes for each member, so that what one member heard reaches
  the others in a few rounds instead of one full turn.

*Partners*, the entries that an entry shares a duty with, get a heartbeat each
`PARTNER_PERIOD_S` wherever they are, because a duty needs acknowledgements of
the partner itself. Beyond the group an entry knows availability zones by
`ZoneDigest`, two bits for each entry. A far contact gets some of them each
`FAR_PERIOD_S`, and every heartbeat within the group carries some.

What `python -m benchmarks.heartbeats --target` gave, sent by each entry with
packet headers and without partners:

* 10 entries: 2.0 KB/s, every word at most 0.5 s old.
* 770 entries in 14 zones: 2.3 KB/s; words on the own zone 1.6 s old on average
  and 3.7 s at most, on other zones 5.4 s and 14.4 s. A new version, given to
  two entries of each zone, was in force on all after 3.0 s and known to be so
  by one entry after 9.5 s.

Ten partners add 1.0 KB/s, worked out from the size of a heartbeat. What is
received is as much again, so both ways together pass 5 KB/s at the target size,
and loads of far zones come later than steering wants them; in-band loads on
answers have to serve there.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

import xxhash

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_words import taken_in_turn

FULL_MESH_ENTRIES = 16
# Bytes a second that an entry sends as heartbeats to its group. A full mesh
# has no other heartbeats to pay for.
FULL_MESH_ALLOWANCE_BYTES_PER_S = 2400
ZONE_ALLOWANCE_BYTES_PER_S = 1600
# TCP and IP headers with timestamps, and the framing of ZeroMQ.
PACKET_OVERHEAD_BYTES = 54
# A heartbeat without its view, as `benchmarks/heartbeats.py` measures it with
# the load of two services.
HEARTBEAT_BYTES = 60
VIEW_BYTES_PER_ENTRY = 2
DIGEST_BYTES = 70
PARTNER_PERIOD_S = 1.0
FAR_PERIOD_S = 0.5
FAR_CONTACTS_PER_ZONE = 2
DIGESTS_TO_FAR = 4
DIGESTS_TO_NEAR = 3
# An entry is silent when this many turns in a row brought nothing.
TURNS_MISSED = 3
# With views most words come by relays, long before the entry's own turn. Twice
# the greatest age that the benchmark finds in a zone of 55.
VIEW_SILENCE_S = 6.0
# Twice the greatest age that the benchmark finds beyond the group at the target
# size.
FAR_SILENCE_S = 25.0
WATCHERS_PER_ZONE = 2


def near_group(*, own: EntryRow, table: EntryTable) -> tuple[EntryRow, ...]:
    """Returns the other entries that get this one's heartbeats in turn."""
    whole = len(table.entries) <= FULL_MESH_ENTRIES
    group = []
    for row in table.entries:
        if row.name == own.name:
            continue
        if whole or row.availability_zone == own.availability_zone:
            group.append(row)
    return tuple(group)


def far_contacts(*, own: EntryRow, table: EntryTable) -> tuple[str, ...]:
    """Returns the entries of other zones that this one sends digests to.

    A rendezvous hash gives each entry contacts of its own, so that the load
    spreads and a change of the table moves few connections.
    """
    if len(table.entries) <= FULL_MESH_ENTRIES:
        return ()
    zones: dict[str, list[str]] = {}
    for row in table.entries:
        if row.availability_zone != own.availability_zone:
            zones.setdefault(row.availability_zone, []).append(row.name)
    rounds: list[list[str]] = []
    for zone in sorted(zones):
        rounds.append(_ranked(own.name, zones[zone])[:FAR_CONTACTS_PER_ZONE])
    contacts = []
    for place in range(FAR_CONTACTS_PER_ZONE):
        for chosen in rounds:
            contacts.extend(chosen[place : place + 1])
    return tuple(contacts)


def holds_watch(*, own: EntryRow, live: Iterable[EntryRow]) -> bool:
    """Returns whether this entry waits on the platform's watches itself.

    A waiting watch is a counted call, so only some entries of a zone hold one;
    the rest learn from heartbeats and pull from the peer that sent them. A
    silent holder is followed by the next in the order.

    Args:
      own: this entry.
      live: the entries that are heard and not leaving.
    """
    names = {own.name}
    for row in live:
        if row.availability_zone == own.availability_zone:
            names.add(row.name)
    first = _ranked(own.availability_zone, names)[:WATCHERS_PER_ZONE]
    return own.name in first


def _ranked(salt: str, names: Iterable[str]) -> list[str]:
    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{salt}/{name}".encode())

    return sorted(names, key=weight, reverse=True)


class Sending(NamedTuple):
    """Who gets a heartbeat at one tick.

    Attributes:
      near: members of the group; with a view if `with_view`.
      partners: partners in a duty, beyond the group.
      far: entries of other zones, with digests.
      with_view: whether near heartbeats carry a view and a digest.
    """

    near: tuple[str, ...]
    partners: tuple[str, ...]
    far: tuple[str, ...]
    with_view: bool


class FanOut:
    """Takes turns over the receivers of heartbeats, within the allowance."""

    def __init__(
        self,
        *,
        own: EntryRow,
        interval_s: float,
    ) -> None:
        """Starts with nobody to send to.

        Args:
          own: this entry.
          interval_s: time between ticks.
        """
        self._own = own
        self._interval_s = interval_s
        self._allowance_bytes = 0.0
        self._near: tuple[str, ...] = ()
        self._partners: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._credit_bytes = 0.0
        self._near_place = 0
        self._partner_place = 0
        self._far_place = 0
        self._with_view = False

    def set_table(
        self, *, table: EntryTable, partners: Iterable[str] = ()
    ) -> None:
        """Works the receivers out anew.

        Args:
          table: the entry table.
          partners: entries that share a duty with this one.
        """
        near = []
        for row in near_group(own=self._own, table=table):
            near.append(row.name)
        # Everyone walks a circle of its own, so that no entry gets the
        # heartbeats of all the others in the same tick.
        self._near = tuple(_ranked(self._own.name, near))
        self._far = far_contacts(own=self._own, table=table)
        self._with_view = len(table.entries) > FULL_MESH_ENTRIES
        allowance_bytes_per_s = FULL_MESH_ALLOWANCE_BYTES_PER_S
        if self._with_view:
            allowance_bytes_per_s = ZONE_ALLOWANCE_BYTES_PER_S
        self._allowance_bytes = allowance_bytes_per_s * self._interval_s
        others = set(partners) - set(near) - {self._own.name}
        self._partners = tuple(sorted(others))

    @property
    def near_names(self) -> frozenset[str]:
        """Members of the group."""
        return frozenset(self._near)

    @property
    def receiver_names(self) -> tuple[str, ...]:
        """Everyone who gets heartbeats of any kind."""
        return self._near + self._partners + self._far

    @property
    def detail_names(self) -> frozenset[str]:
        """Entries whose whole status this one hears from themselves."""
        return frozenset(self._near + self._partners)

    @property
    def near_cost_bytes(self) -> int:
        """What one heartbeat to the group costs, headers included."""
        cost_bytes = PACKET_OVERHEAD_BYTES + HEARTBEAT_BYTES
        if self._with_view:
            cost_bytes += VIEW_BYTES_PER_ENTRY * (len(self._near) + 1)
        if self._far:
            cost_bytes += DIGEST_BYTES * DIGESTS_TO_NEAR
        return cost_bytes

    @property
    def near_turn_s(self) -> float:
        """Time in which every member of the group gets a heartbeat."""
        if not self._near:
            return self._interval_s
        turn_bytes = len(self._near) * self.near_cost_bytes
        ticks = math.ceil(turn_bytes / self._allowance_bytes)
        return max(1, ticks) * self._interval_s

    def _near_count(self) -> int:
        """Returns how many heartbeats the group gets now and pays for them."""
        cost_bytes = self.near_cost_bytes
        limit_bytes = self._allowance_bytes + cost_bytes
        self._credit_bytes += self._allowance_bytes
        self._credit_bytes = min(self._credit_bytes, limit_bytes)
        count = int(self._credit_bytes // cost_bytes)
        count = min(count, len(self._near))
        self._credit_bytes -= count * cost_bytes
        return count

    def silence_limit_s(self, *, shortest_s: float) -> float:
        """Returns the age past which a member of the group is silent."""
        if self._with_view:
            return max(shortest_s, VIEW_SILENCE_S)
        return max(shortest_s, TURNS_MISSED * self.near_turn_s)

    def tick(self) -> Sending:
        """Returns who is next; to be called each `interval_s`."""
        near, self._near_place = taken_in_turn(
            self._near, self._near_place, self._near_count()
        )
        partners, self._partner_place = taken_in_turn(
            self._partners,
            self._partner_place,
            self._per_tick(len(self._partners), PARTNER_PERIOD_S),
        )
        far: tuple[str, ...] = ()
        self._far_place += 1
        ticks = max(1, round(FAR_PERIOD_S / self._interval_s))
        if self._far and self._far_place % ticks == 0:
            place = self._far_place // ticks
            far = (self._far[place % len(self._far)],)
        return Sending(near, partners, far, self._with_view)

    def _per_tick(self, count: int, period_s: float) -> int:
        return math.ceil(count * self._interval_s / period_s)
