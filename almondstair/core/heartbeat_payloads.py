"""Payloads of heartbeats: loads, views of a group and digests of zones.

A view reports on each member of the sender's group, a digest on each entry of
another zone. Both pass on what others reported, so they carry ages and
acknowledge nothing.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

from almondstair.core.entry_table import EntryTable
from almondstair.core.quarantine import StrikeMark

AGE_UNIT_S = 0.1
# Added to a relayed age for the transit time, so that no report appears fresher
# from relay to relay. If a message is delayed for longer, its reports appear
# fresher by the difference; since a relayed report acknowledges nothing, the
# worst effect is that work goes to a dead entry for that much longer.
RELAY_DELAY_S = 0.2
UNKNOWN_BYTE = 255


class ServiceLoad(NamedTuple):
    """Load of one service on the upstreams of one home or zone.

    Attributes:
      service: name of the service.
      slots: usable slots.
      free_slots: free slots among them.
      age_ms: age of the measurement when it was sent.
    """

    service: str
    slots: int
    free_slots: int
    age_ms: int


class StatusDetail(NamedTuple):
    """Status of an entry's upstreams, sent to the entries near it.

    Attributes:
      loads: load by service over the upstreams that it is home of.
      leaving_upstreams: upstreams that it knows to be leaving.
      marks: strikes against requests that crashed upstreams.
    """

    loads: tuple[ServiceLoad, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    marks: tuple[StrikeMark, ...] = ()


def detail_for_far_entries(detail: StatusDetail) -> StatusDetail | None:
    """Returns the part of a status that every entry needs, None if empty.

    A request that crashes upstreams may be resent through any entry, so the
    marks must reach other zones. Loads reach them as sums, in digests.
    """
    if not detail.marks and not detail.leaving_upstreams:
        return None
    return detail._replace(loads=())


class GroupView(NamedTuple):
    """Age of the sender's latest report on each entry of its group.

    Reports may be direct or relayed.

    Attributes:
      epoch: epoch of the entry table that defines the order of the bytes.
      ages: one byte per entry, the age in `AGE_UNIT_S`; 255 if the entry is
        silent or leaving.
      versions_behind: one byte per entry, the number of configuration versions
        behind `configuration_version`; 255 for 255 or more, or unknown.
      configuration_version: highest version that the sender knows of.
    """

    epoch: int
    ages: bytes
    versions_behind: bytes
    configuration_version: int


class ZoneDigest(NamedTuple):
    """Compact status of an availability zone, relayed to far entries.

    Attributes:
      availability_zone: name of the zone.
      epoch: epoch of the entry table that defines the order of the bits.
      live_bits: one bit per entry, set if it is neither silent nor leaving.
      version: highest configuration version that the sender knows of.
      version_bits: one bit per entry, set if it has that version in force.
      age_ms: age of the oldest report in the digest; each relay adds to it.
      loads: load by service over the zone's upstreams.
    """

    availability_zone: str
    epoch: int
    live_bits: bytes
    version: int
    version_bits: bytes
    age_ms: int
    loads: tuple[ServiceLoad, ...] = ()


class MemberStatus(NamedTuple):
    """Status of one entry in a view or digest.

    Attributes:
      name: name of the entry.
      live: whether it is neither silent nor leaving.
      age_s: time since it was heard in seconds; infinity for never.
      version: lower bound of its configuration version; 0 if unknown.
    """

    name: str
    live: bool
    age_s: float
    version: int


def take_round_robin(
    names: Sequence[str], start: int, count: int
) -> tuple[tuple[str, ...], int]:
    """Returns up to `count` names in round-robin order and the next index.

    Args:
      names: names to cycle through.
      start: index of the first name to return.
      count: maximum number of names.
    """
    selected = []
    for step in range(min(count, len(names))):
        selected.append(names[(start + step) % len(names)])
    next_index = 0
    if names:
        next_index = (start + len(selected)) % len(names)
    return tuple(selected), next_index


def names_by_zone(*, table: EntryTable) -> dict[str, list[str]]:
    """Returns the names by zone, in the order used by views and digests."""
    zones: dict[str, list[str]] = {}
    for row in table.entries:
        zones.setdefault(row.availability_zone, []).append(row.name)
    for names in zones.values():
        names.sort()
    return zones


def make_view(
    *,
    epoch: int,
    members: Sequence[MemberStatus],
    configuration_version: int,
) -> GroupView:
    """Returns the view of a group.

    Args:
      epoch: epoch of the entry table that defines the order of `members`.
      members: status of each member, this entry included, sorted by name.
      configuration_version: highest known configuration version.
    """
    ages = bytearray()
    versions_behind_bytes = bytearray()
    for member in members:
        age_units = UNKNOWN_BYTE
        if member.live and member.age_s < UNKNOWN_BYTE * AGE_UNIT_S:
            # Rounded up: a relayed report must never appear fresher than it
            # is.
            age_units = min(UNKNOWN_BYTE, math.ceil(member.age_s / AGE_UNIT_S))
        ages.append(age_units)
        versions_behind_count = configuration_version - member.version
        versions_behind_bytes.append(
            min(UNKNOWN_BYTE, max(0, versions_behind_count))
        )
    return GroupView(
        epoch, bytes(ages), bytes(versions_behind_bytes), configuration_version
    )


def read_view(*, view: GroupView, names: Sequence[str]) -> list[MemberStatus]:
    """Returns the status of the members that a view reports as heard.

    Args:
      view: a view of the epoch that is in force here.
      names: names of the group in the order of the view.
    """
    members = []
    for name, age_units, versions_behind_count in zip(
        names, view.ages, view.versions_behind, strict=False
    ):
        if age_units == UNKNOWN_BYTE:
            continue
        version = 0
        if versions_behind_count != UNKNOWN_BYTE:
            version = view.configuration_version - versions_behind_count
        age_s = age_units * AGE_UNIT_S + RELAY_DELAY_S
        members.append(MemberStatus(name, True, age_s, version))
    return members


def make_digest(
    *,
    availability_zone: str,
    epoch: int,
    members: Sequence[MemberStatus],
    version: int,
    loads: tuple[ServiceLoad, ...],
) -> ZoneDigest:
    """Returns the current digest of a zone.

    Args:
      availability_zone: name of the zone.
      epoch: epoch of the entry table that defines the order of `members`.
      members: status of each entry of the zone, sorted by name.
      version: highest known configuration version.
      loads: load by service over the zone's upstreams.
    """
    live = []
    has_version = []
    oldest_s = 0.0
    for member in members:
        live.append(member.live)
        has_version.append(member.live and member.version >= version)
        if member.live:
            oldest_s = max(oldest_s, member.age_s)
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
) -> list[MemberStatus]:
    """Returns the status of the entries of a digest's zone.

    Args:
      digest: a digest of the epoch that is in force here.
      names: names of the zone's entries in the order of the digest.
    """
    age_s = digest.age_ms / 1000 + RELAY_DELAY_S
    members = []
    for position, name in enumerate(names):
        live = _is_bit_set(digest.live_bits, position)
        version = 0
        if _is_bit_set(digest.version_bits, position):
            version = digest.version
        members.append(MemberStatus(name, live, age_s, version))
    return members


def _pack_bits(flags: Sequence[bool]) -> bytes:
    packed = bytearray((len(flags) + 7) // 8)
    for position, flag in enumerate(flags):
        if flag:
            packed[position // 8] |= 1 << (position % 8)
    return bytes(packed)


def _is_bit_set(packed: bytes, position: int) -> bool:
    if position // 8 >= len(packed):
        return False
    return bool(packed[position // 8] >> (position % 8) & 1)


class DigestStore:
    """Holds the freshest digest of each zone outside of the group."""

    def __init__(self) -> None:
        """Makes an empty store."""
        self._digests: dict[str, ZoneDigest] = {}
        self._as_of_s: dict[str, float] = {}
        self._next_index = 0

    def store_if_fresher(self, *, digest: ZoneDigest, now_s: float) -> bool:
        """Stores a digest if it is fresher than the stored one.

        Returns:
          Whether it was stored.
        """
        zone = digest.availability_zone
        as_of_s = now_s - digest.age_ms / 1000 - RELAY_DELAY_S
        if as_of_s <= self._as_of_s.get(zone, float("-inf")):
            return False
        self._digests[zone] = digest
        self._as_of_s[zone] = as_of_s
        return True

    def get(self, *, availability_zone: str, now_s: float) -> ZoneDigest | None:
        """Returns a zone's digest with its current age, None if unknown."""
        digest = self._digests.get(availability_zone)
        if digest is None:
            return None
        age_s = now_s - self._as_of_s[availability_zone]
        return digest._replace(age_ms=math.ceil(age_s * 1000))

    def next_digests(
        self, *, count: int, now_s: float
    ) -> tuple[ZoneDigest, ...]:
        """Returns the next digests to relay, round-robin over the zones."""
        zones, self._next_index = take_round_robin(
            sorted(self._digests), self._next_index, count
        )
        digests = []
        for zone in zones:
            digest = self.get(availability_zone=zone, now_s=now_s)
            if digest is not None:
                digests.append(digest)
        return tuple(digests)
