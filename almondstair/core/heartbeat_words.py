"""What heartbeats say: loads, views of a group, digests of zones.

A view tells of each member of the sender's group, a digest of each entry of a
zone beyond. Both are relayed, so their words carry an age and acknowledge
nothing.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

from almondstair.core.entry_table import EntryTable
from almondstair.core.quarantine import Mark

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


def taken_in_turn(
    names: Sequence[str], place: int, count: int
) -> tuple[tuple[str, ...], int]:
    """Returns the next names from a place on, and the place after them."""
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
        zones, self._place = taken_in_turn(
            sorted(self._digests), self._place, count
        )
        digests = []
        for zone in zones:
            digest = self.get(availability_zone=zone, now_s=now_s)
            if digest is not None:
                digests.append(digest)
        return tuple(digests)
