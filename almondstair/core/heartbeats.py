"""Selects who receives heartbeats, and what they carry.

A full mesh does not scale to the target size: 769 peers at one packet per
second each is tens of kilobytes per second. So an entry sends heartbeats
round-robin to the members of its *near group*, as many per tick as its byte
allowance permits:

* With at most `FULL_MESH_ENTRIES` entries, the group is the whole table, and
  each entry hears every other directly within a second.
* With more, it is the entry's availability zone. Each heartbeat then carries a
  `GroupView`, two bytes per member, so that what one member heard reaches the
  others in a few ticks instead of a full round.

*Partners*, the entries that an entry shares a home role with, get a heartbeat
every `PARTNER_PERIOD_S` wherever they are, because a home role needs
acknowledgements from the partner itself. Availability zones outside of the
group are known by `ZoneDigest`, two bits per entry. A far contact gets some
digests every `FAR_PERIOD_S`, and every heartbeat within the group carries some.

Traffic that each entry sends, with packet headers and without partners, and age
of the reports (`python -m benchmarks.heartbeats --target`):

* 10 entries: 2.0 KB/s, every report at most 0.5 s old.
* 770 entries in 14 zones: 2.3 KB/s. Reports on the own zone are 1.6 s old on
  average and 3.7 s at most, on other zones 5.4 s and 14.4 s. A new version,
  given to two entries of each zone, is in force on all after 3.0 s, and one
  entry knows so after 9.5 s.

Ten partners add 1.0 KB/s, calculated from the size of a heartbeat. Received
traffic is as much again, so both directions together exceed 5 KB/s at the
target size. Loads of far zones arrive later than steering needs them, so
steering to those zones relies on the in-band loads on answers.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

import xxhash

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_payloads import take_round_robin

FULL_MESH_ENTRIES = 16
# Bytes per second of heartbeats to the group. A full mesh has a larger
# allowance because it sends no other heartbeats.
FULL_MESH_ALLOWANCE_BYTES_PER_S = 2400
ZONE_ALLOWANCE_BYTES_PER_S = 1600
# TCP and IP headers with timestamps, and the framing of ZeroMQ.
PACKET_OVERHEAD_BYTES = 54
# A heartbeat without its view, with the load of two services, as measured by
# `benchmarks/heartbeats.py`.
HEARTBEAT_BYTES = 60
VIEW_BYTES_PER_ENTRY = 2
DIGEST_BYTES = 70
PARTNER_PERIOD_S = 1.0
FAR_PERIOD_S = 0.5
FAR_CONTACTS_PER_ZONE = 2
DIGESTS_TO_FAR = 4
DIGESTS_TO_NEAR = 3
# An entry is silent after this many consecutive rounds without a heartbeat.
MISSED_ROUNDS = 3
# With views, most reports arrive by relays, long before the entry's own
# heartbeat. Well above the greatest age in a zone of 55 entries, 3.7 s.
VIEW_SILENCE_S = 6.0
# Well above the greatest age outside of the group at the target size, 14.4 s.
FAR_SILENCE_S = 25.0
WATCHERS_PER_ZONE = 2


def near_group(*, own: EntryRow, table: EntryTable) -> tuple[EntryRow, ...]:
    """Returns the other entries that get this one's heartbeats round-robin."""
    is_full_mesh = len(table.entries) <= FULL_MESH_ENTRIES
    group = []
    for row in table.entries:
        if row.name == own.name:
            continue
        if is_full_mesh or row.availability_zone == own.availability_zone:
            group.append(row)
    return tuple(group)


def far_contacts(*, own: EntryRow, table: EntryTable) -> tuple[str, ...]:
    """Returns the entries of other zones that this one sends digests to.

    A rendezvous hash selects different contacts for each entry, so that the
    load is spread and a change of the table moves few connections.
    """
    if len(table.entries) <= FULL_MESH_ENTRIES:
        return ()
    zones: dict[str, list[str]] = {}
    for row in table.entries:
        if row.availability_zone != own.availability_zone:
            zones.setdefault(row.availability_zone, []).append(row.name)
    contacts_by_zone: list[list[str]] = []
    for zone in sorted(zones):
        contacts_by_zone.append(
            _rank_by_hash(own.name, zones[zone])[:FAR_CONTACTS_PER_ZONE]
        )
    contacts = []
    for position in range(FAR_CONTACTS_PER_ZONE):
        for chosen in contacts_by_zone:
            contacts.extend(chosen[position : position + 1])
    return tuple(contacts)


def is_watcher(*, own: EntryRow, live: Iterable[EntryRow]) -> bool:
    """Returns whether this entry watches the platform itself.

    An open watch counts as a call to the platform, so only some entries of a
    zone watch. The others learn of changes by heartbeats and pull from the peer
    that sent them. A silent watcher is replaced by the next entry in the order.

    Args:
      own: this entry.
      live: the entries that are neither silent nor leaving.
    """
    names = {own.name}
    for row in live:
        if row.availability_zone == own.availability_zone:
            names.add(row.name)
    first = _rank_by_hash(own.availability_zone, names)[:WATCHERS_PER_ZONE]
    return own.name in first


def _rank_by_hash(salt: str, names: Iterable[str]) -> list[str]:
    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{salt}/{name}".encode())

    return sorted(names, key=weight, reverse=True)


class HeartbeatTargets(NamedTuple):
    """The receivers of heartbeats at one tick.

    Attributes:
      near: members of the group; with a view if `with_view`.
      partners: partners in a home role outside of the group.
      far: entries of other zones, with digests.
      with_view: whether near heartbeats carry a view and digests.
    """

    near: tuple[str, ...]
    partners: tuple[str, ...]
    far: tuple[str, ...]
    with_view: bool


class HeartbeatScheduler:
    """Schedules heartbeats round-robin within the byte allowance."""

    def __init__(
        self,
        *,
        own: EntryRow,
        interval_s: float,
    ) -> None:
        """Starts without receivers.

        Args:
          own: this entry.
          interval_s: time between ticks in seconds.
        """
        self._own = own
        self._interval_s = interval_s
        self._allowance_bytes = 0.0
        self._near: tuple[str, ...] = ()
        self._partners: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._credit_bytes = 0.0
        self._near_index = 0
        self._partner_index = 0
        self._far_ticks = 0
        self._with_view = False

    def set_table(
        self, *, table: EntryTable, partners: Iterable[str] = ()
    ) -> None:
        """Recomputes the receivers from an entry table.

        Args:
          table: the entry table.
          partners: entries that share a home role with this one.
        """
        near = []
        for row in near_group(own=self._own, table=table):
            near.append(row.name)
        # Each entry has its own order, so that no entry gets the heartbeats of
        # all the others in the same tick.
        self._near = tuple(_rank_by_hash(self._own.name, near))
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
        """Entries that get heartbeats of any kind."""
        return self._near + self._partners + self._far

    @property
    def detail_names(self) -> frozenset[str]:
        """Entries whose heartbeats to this one carry their whole status."""
        return frozenset(self._near + self._partners)

    @property
    def near_cost_bytes(self) -> int:
        """Size of one heartbeat to the group, headers included."""
        cost_bytes = PACKET_OVERHEAD_BYTES + HEARTBEAT_BYTES
        if self._with_view:
            cost_bytes += VIEW_BYTES_PER_ENTRY * (len(self._near) + 1)
        if self._far:
            cost_bytes += DIGEST_BYTES * DIGESTS_TO_NEAR
        return cost_bytes

    @property
    def near_round_s(self) -> float:
        """Time in which every member of the group gets one heartbeat."""
        if not self._near:
            return self._interval_s
        round_bytes = len(self._near) * self.near_cost_bytes
        ticks = math.ceil(round_bytes / self._allowance_bytes)
        return max(1, ticks) * self._interval_s

    def _take_near_count(self) -> int:
        """Returns how many heartbeats the group gets now; uses up credit."""
        cost_bytes = self.near_cost_bytes
        limit_bytes = self._allowance_bytes + cost_bytes
        self._credit_bytes += self._allowance_bytes
        self._credit_bytes = min(self._credit_bytes, limit_bytes)
        count = int(self._credit_bytes // cost_bytes)
        count = min(count, len(self._near))
        self._credit_bytes -= count * cost_bytes
        return count

    def silence_limit_s(self, *, min_limit_s: float) -> float:
        """Returns the age above which a member of the group is silent.

        Args:
          min_limit_s: lower bound of the limit in seconds.
        """
        if self._with_view:
            return max(min_limit_s, VIEW_SILENCE_S)
        return max(min_limit_s, MISSED_ROUNDS * self.near_round_s)

    def tick(self) -> HeartbeatTargets:
        """Returns the next receivers; must be called every `interval_s`."""
        near, self._near_index = take_round_robin(
            self._near, self._near_index, self._take_near_count()
        )
        partners, self._partner_index = take_round_robin(
            self._partners,
            self._partner_index,
            self._count_per_tick(len(self._partners), PARTNER_PERIOD_S),
        )
        far: tuple[str, ...] = ()
        self._far_ticks += 1
        ticks = max(1, round(FAR_PERIOD_S / self._interval_s))
        if self._far and self._far_ticks % ticks == 0:
            position = self._far_ticks // ticks
            far = (self._far[position % len(self._far)],)
        return HeartbeatTargets(near, partners, far, self._with_view)

    def _count_per_tick(self, count: int, period_s: float) -> int:
        return math.ceil(count * self._interval_s / period_s)
