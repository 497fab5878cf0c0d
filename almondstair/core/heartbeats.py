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

from collections.abc import Iterable, Sequence
import math
from typing import NamedTuple

import xxhash

from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.quarantine import Mark

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
AGE_UNIT_S = 0.1
# Added to a relayed age for the way, so that no word grows fresher from relay
# to relay. A message that was held up for longer makes its words look fresher
# by the rest; since a relay's word acknowledges nothing, the worst of it is
# work sent to a dead entry for that much longer.
RELAY_S = 0.2
UNKNOWN_BYTE = 255


class ServiceLoad(NamedTuple):
    """Load of one service on the upstreams of one home or zone.

    Attributes:
      service: name of the service.
      slots: usable slots.
      free_slots: those of them that are free.
      age_ms: age of the figures when they were sent.
    """

    service: str
    slots: int
    free_slots: int
    age_ms: int


class StatusDetail(NamedTuple):
    """What an entry says of its upstreams, to the entries near it.

    Attributes:
      loads: load by service over the upstreams that it is home of.
      leaving_upstreams: upstreams that it knows to be leaving.
      marks: requests that crashed upstreams.
    """

    loads: tuple[ServiceLoad, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    marks: tuple[Mark, ...] = ()


def far_detail(detail: StatusDetail) -> StatusDetail | None:
    """Returns the part of a status that every entry needs, None if empty.

    A request that crashes upstreams may come back through any entry, so the
    marks must leave the zone; loads go there summed, by digests.
    """
    if not detail.marks and not detail.leaving_upstreams:
        return None
    return detail._replace(loads=())


class GroupView(NamedTuple):
    """How lately the sender heard each entry of its group, itself or relayed.

    Attributes:
      epoch: entry table whose order of names the bytes follow.
      ages: one byte an entry, its age in `AGE_UNIT_S`; 255 for unheard.
      versions_behind: one byte an entry, configuration versions that it lacks
        against `configuration_version`; 255 for 255 or more or unknown.
      configuration_version: highest version that the sender knows of.
    """

    epoch: int
    ages: bytes
    versions_behind: bytes
    configuration_version: int


class ZoneDigest(NamedTuple):
    """One availability zone in few bytes, relayed to far entries.

    Attributes:
      availability_zone: the zone.
      epoch: entry table whose order of names the bits follow.
      live_bits: one bit an entry, set if it is heard and not leaving.
      version: highest configuration version that the sender knows of.
      version_bits: one bit an entry, set if it has that version in force.
      age_ms: age of the oldest word in it, grown on each relay.
      loads: load by service over the zone's upstreams.
    """

    availability_zone: str
    epoch: int
    live_bits: bytes
    version: int
    version_bits: bytes
    age_ms: int
    loads: tuple[ServiceLoad, ...] = ()


class MemberWord(NamedTuple):
    """What a view or digest says of one entry.

    Attributes:
      name: the entry.
      live: whether it is heard and takes work.
      age_s: time since it was heard; infinity for never.
      version: configuration version that it has at least; 0 if unknown.
    """

    name: str
    live: bool
    age_s: float
    version: int


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
        near, self._near_place = _take(
            self._near, self._near_place, self._near_count()
        )
        partners, self._partner_place = _take(
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


def _take(
    names: Sequence[str], place: int, count: int
) -> tuple[tuple[str, ...], int]:
    taken = []
    for step in range(min(count, len(names))):
        taken.append(names[(place + step) % len(names)])
    next_place = 0
    if names:
        next_place = (place + len(taken)) % len(names)
    return tuple(taken), next_place


def zone_names(*, table: EntryTable) -> dict[str, list[str]]:
    """Returns each zone's names in the order that views and digests follow."""
    zones: dict[str, list[str]] = {}
    for row in table.entries:
        zones.setdefault(row.availability_zone, []).append(row.name)
    for names in zones.values():
        names.sort()
    return zones


def make_view(
    *,
    epoch: int,
    words: Sequence[MemberWord],
    configuration_version: int,
) -> GroupView:
    """Returns the view of a group.

    Args:
      epoch: epoch of the table that the order of `words` follows.
      words: one for each member, this entry included, by name.
      configuration_version: highest version known of.
    """
    ages = bytearray()
    behind = bytearray()
    for word in words:
        units = UNKNOWN_BYTE
        if word.live and word.age_s < UNKNOWN_BYTE * AGE_UNIT_S:
            # Rounded up: a relayed word must never look fresher than it is.
            units = min(UNKNOWN_BYTE, math.ceil(word.age_s / AGE_UNIT_S))
        ages.append(units)
        lacked = configuration_version - word.version
        behind.append(min(UNKNOWN_BYTE, max(0, lacked)))
    return GroupView(epoch, bytes(ages), bytes(behind), configuration_version)


def read_view(*, view: GroupView, names: Sequence[str]) -> list[MemberWord]:
    """Returns what a view says of the members that its sender heard.

    Args:
      view: a view under this entry's own epoch.
      names: the group in the order of the view.
    """
    words = []
    for name, units, lacked in zip(
        names, view.ages, view.versions_behind, strict=False
    ):
        if units == UNKNOWN_BYTE:
            continue
        version = 0
        if lacked != UNKNOWN_BYTE:
            version = view.configuration_version - lacked
        age_s = units * AGE_UNIT_S + RELAY_S
        words.append(MemberWord(name, True, age_s, version))
    return words


def make_digest(
    *,
    availability_zone: str,
    epoch: int,
    words: Sequence[MemberWord],
    version: int,
    loads: tuple[ServiceLoad, ...],
) -> ZoneDigest:
    """Returns the digest of a zone as of now.

    Args:
      availability_zone: the zone.
      epoch: epoch of the table that the order of `words` follows.
      words: one for each entry of the zone, by name.
      version: highest configuration version known of.
      loads: load by service over the zone's upstreams.
    """
    live = []
    has_version = []
    oldest_s = 0.0
    for word in words:
        live.append(word.live)
        has_version.append(word.live and word.version >= version)
        if word.live:
            oldest_s = max(oldest_s, word.age_s)
    return ZoneDigest(
        availability_zone=availability_zone,
        epoch=epoch,
        live_bits=_pack_bits(live),
        version=version,
        version_bits=_pack_bits(has_version),
        age_ms=math.ceil(oldest_s * 1000),
        loads=loads,
    )


def read_digest(
    *, digest: ZoneDigest, names: Sequence[str]
) -> list[MemberWord]:
    """Returns what a digest says of the entries of its zone.

    Args:
      digest: a digest under this entry's own epoch.
      names: the zone in the order of the digest.
    """
    age_s = digest.age_ms / 1000 + RELAY_S
    words = []
    for place, name in enumerate(names):
        live = _bit(digest.live_bits, place)
        version = 0
        if _bit(digest.version_bits, place):
            version = digest.version
        words.append(MemberWord(name, live, age_s, version))
    return words


def _pack_bits(flags: Sequence[bool]) -> bytes:
    packed = bytearray((len(flags) + 7) // 8)
    for place, flag in enumerate(flags):
        if flag:
            packed[place // 8] |= 1 << (place % 8)
    return bytes(packed)


def _bit(packed: bytes, place: int) -> bool:
    if place // 8 >= len(packed):
        return False
    return bool(packed[place // 8] >> (place % 8) & 1)


class DigestStore:
    """The freshest digest of each zone beyond the group."""

    def __init__(self) -> None:
        """Starts without any."""
        self._digests: dict[str, ZoneDigest] = {}
        self._described_s: dict[str, float] = {}
        self._place = 0

    def offer(self, *, digest: ZoneDigest, now_s: float) -> bool:
        """Keeps a digest if it is fresher than the one known.

        Returns:
          Whether it was kept.
        """
        zone = digest.availability_zone
        described_s = now_s - digest.age_ms / 1000 - RELAY_S
        if described_s <= self._described_s.get(zone, float("-inf")):
            return False
        self._digests[zone] = digest
        self._described_s[zone] = described_s
        return True

    def get(self, *, availability_zone: str, now_s: float) -> ZoneDigest | None:
        """Returns a zone's digest with its age as of now, None if unknown."""
        digest = self._digests.get(availability_zone)
        if digest is None:
            return None
        age_s = now_s - self._described_s[availability_zone]
        return digest._replace(age_ms=math.ceil(age_s * 1000))

    def next(self, *, count: int, now_s: float) -> tuple[ZoneDigest, ...]:
        """Returns the next digests to relay, taking turns over the zones."""
        zones, self._place = _take(sorted(self._digests), self._place, count)
        digests = []
        for zone in zones:
            digest = self.get(availability_zone=zone, now_s=now_s)
            if digest is not None:
                digests.append(digest)
        return tuple(digests)
