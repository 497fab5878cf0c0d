"""Which entries a caller is told to use, and in which order.

The order depends only on the caller's block of addresses and on the live
entries, so every entry gives the same answer and callers spread evenly.
"""

import heapq
import ipaddress
from typing import NamedTuple

import xxhash

from almondstair.core.model import Configuration

DEFAULT_LIMIT = 3
# Blocks are put into buckets and the answer is worked out once a bucket, which
# bounds the memory of kept answers. Some hundreds of buckets for each entry of
# a zone keep the callers evenly spread.
BUCKETS = 16_384
SAME_REGION_DISTANCE_MS = 0.5
IPV4_BLOCK_BYTES = 3
IPV6_BLOCK_BYTES = 6


class LookupEntry(NamedTuple):
    """An entry that callers may use.

    Attributes:
      name: name in the entry table.
      availability_zone: where it runs.
      address: `ip:port` of its caller listener.
    """

    name: str
    availability_zone: str
    address: str


class _Scored(NamedTuple):
    """One entry with the bytes that its score is worked out from."""

    key: bytes
    entry: LookupEntry


def caller_block(*, address: str) -> bytes:
    """Returns the network of a caller: /24 for IPv4, /48 for IPv6.

    Args:
      address: an IP number without port.

    Returns:
      The leading 3 bytes (IPv4, also when mapped into IPv6) or 6 bytes (IPv6).

    Raises:
      ValueError: `address` is not an IP number.
    """
    parsed = ipaddress.ip_address(address)
    if isinstance(parsed, ipaddress.IPv4Address):
        return parsed.packed[:IPV4_BLOCK_BYTES]
    if parsed.ipv4_mapped is not None:
        return parsed.ipv4_mapped.packed[:IPV4_BLOCK_BYTES]
    return parsed.packed[:IPV6_BLOCK_BYTES]


def zone_distances_ms(
    *, configuration: Configuration, availability_zone: str
) -> dict[str, float]:
    """Returns how far each availability zone is from one, one way.

    Zones of the same region count as half a millisecond away; others as far as
    the link to their region. A zone without a link to it is infinitely far, so
    that it is named only when nothing nearer lives.
    """
    own_region = configuration.region_of(availability_zone=availability_zone)
    distances: dict[str, float] = {}
    for name, region in configuration.regions.items():
        link = configuration.link(
            availability_zone=availability_zone, region=name
        )
        distance_ms = link.latency_ms if link is not None else float("inf")
        if name == own_region:
            distance_ms = SAME_REGION_DISTANCE_MS
        for zone in region.availability_zones:
            distances[zone] = distance_ms
    distances[availability_zone] = 0.0
    return distances


class LookupTable:
    """Orders the live entries for callers of one availability zone.

    A table is built again whenever the live entries change. Answers are worked
    out when first asked for and then kept.
    """

    def __init__(
        self,
        *,
        entries: tuple[LookupEntry, ...],
        distances_ms: dict[str, float],
        limit: int = DEFAULT_LIMIT,
    ) -> None:
        """Makes a table.

        Args:
          entries: entries that are live and not leaving.
          distances_ms: distance of each availability zone from the callers.
          limit: most entries in an answer; at least 2.

        Raises:
          ValueError: `limit` is below 2.
        """
        if limit < 2:
            raise ValueError("a look-up names at least two entries")
        self._limit = limit
        self._groups = _group_by_distance(
            entries=entries, distances_ms=distances_ms
        )
        self._answers: dict[int, tuple[LookupEntry, ...]] = {}

    def order(self, *, block: bytes) -> tuple[LookupEntry, ...]:
        """Returns the entries for a caller's block, best first.

        When the nearest zone alone could fill the answer, its last place goes
        to the next nearest zone. Otherwise a lost availability zone would
        take away every entry that its callers know until their cached answer
        ends; with this, one of them still answers.
        """
        bucket = xxhash.xxh3_64_intdigest(block) % BUCKETS
        answer = self._answers.get(bucket)
        if answer is None:
            answer = self._order(bucket=bucket)
            self._answers[bucket] = answer
        return answer

    def _order(self, *, bucket: int) -> tuple[LookupEntry, ...]:
        chosen: list[LookupEntry] = []
        last_group = len(self._groups) - 1
        for position, group in enumerate(self._groups):
            room = self._limit - len(chosen)
            if room == 0:
                break
            if position == 0 and last_group > 0:
                room -= 1
            chosen.extend(_best(group=group, bucket=bucket, count=room))
        return tuple(chosen)


def _group_by_distance(
    *, entries: tuple[LookupEntry, ...], distances_ms: dict[str, float]
) -> tuple[tuple[_Scored, ...], ...]:
    """Returns the entries in groups of equal distance, nearest first."""
    groups: dict[float, list[_Scored]] = {}
    for entry in entries:
        distance_ms = distances_ms.get(entry.availability_zone, float("inf"))
        scored = _Scored(key=entry.name.encode(), entry=entry)
        groups.setdefault(distance_ms, []).append(scored)
    ordered: list[tuple[_Scored, ...]] = []
    for distance_ms in sorted(groups):
        ordered.append(tuple(groups[distance_ms]))
    return tuple(ordered)


def _best(
    *, group: tuple[_Scored, ...], bucket: int, count: int
) -> list[LookupEntry]:
    """Returns the highest scores of a group by rendezvous hashing."""
    digest = xxhash.xxh3_64_intdigest
    scores: list[tuple[int, int]] = []
    for position, scored in enumerate(group):
        scores.append((digest(scored.key, bucket), position))
    best: list[LookupEntry] = []
    for _, position in heapq.nlargest(count, scores):
        best.append(group[position].entry)
    return best
