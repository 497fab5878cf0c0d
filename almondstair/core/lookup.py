"""Lookup answers: which entries a caller should use, and in which order.

The order depends only on the caller's address block and on the live entries,
so every entry gives the same answer and callers are spread evenly.
"""

import heapq
import ipaddress
from typing import NamedTuple

import xxhash

from almondstair.core.model import Configuration

DEFAULT_LIMIT = 3
# Blocks are hashed into buckets with one cached answer each, which bounds the
# memory of the cache. With some hundreds of buckets for each entry of a zone,
# callers are spread evenly.
BUCKETS = 16_384
SAME_REGION_DISTANCE_MS = 0.5
IPV4_BLOCK_BYTES = 3
IPV6_BLOCK_BYTES = 6


class LookupEntry(NamedTuple):
    """An entry that callers may use.

    Attributes:
      name: name in the entry table.
      availability_zone: availability zone that it runs in.
      address: `ip:port` of its listener for callers.
    """

    name: str
    availability_zone: str
    address: str


class _ScoredEntry(NamedTuple):
    """An entry with the bytes that its score is computed from."""

    key: bytes
    entry: LookupEntry


def caller_block(*, address: str) -> bytes:
    """Returns the network of a caller: /24 for IPv4, /48 for IPv6.

    Args:
      address: an IP address without port.

    Returns:
      The leading 3 bytes (IPv4, also when mapped into IPv6) or 6 bytes (IPv6).

    Raises:
      ValueError: `address` is not an IP address.
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
    """Returns the one-way latency from one availability zone to each.

    Zones of the same region count as half a millisecond away, others as far as
    the link to their region. A zone without a link is infinitely far, so that
    it is used only when no nearer entry is live.
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

    A table is rebuilt whenever the live entries change. Answers are computed on
    first use and then cached.
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
          limit: maximum number of entries in an answer; at least 2.

        Raises:
          ValueError: `limit` is below 2.
        """
        if limit < 2:
            raise ValueError("the limit of a lookup must be at least 2")
        self._limit = limit
        self._groups = _group_by_distance(
            entries=entries, distances_ms=distances_ms
        )
        self._answers: dict[int, tuple[LookupEntry, ...]] = {}

    def ordered_entries(self, *, block: bytes) -> tuple[LookupEntry, ...]:
        """Returns the entries for a caller's block, best first.

        If the nearest zone alone could fill the answer, the last position goes
        to the next nearest zone. Otherwise the loss of an availability zone
        would leave its callers without any entry until their cached answer
        expires.
        """
        bucket = xxhash.xxh3_64_intdigest(block) % BUCKETS
        answer = self._answers.get(bucket)
        if answer is None:
            answer = self._compute_order(bucket=bucket)
            self._answers[bucket] = answer
        return answer

    def _compute_order(self, *, bucket: int) -> tuple[LookupEntry, ...]:
        selected: list[LookupEntry] = []
        last_group = len(self._groups) - 1
        for position, group in enumerate(self._groups):
            remaining = self._limit - len(selected)
            if remaining == 0:
                break
            if position == 0 and last_group > 0:
                remaining -= 1
            selected.extend(
                _highest_scored(group=group, bucket=bucket, count=remaining)
            )
        return tuple(selected)


def _group_by_distance(
    *, entries: tuple[LookupEntry, ...], distances_ms: dict[str, float]
) -> tuple[tuple[_ScoredEntry, ...], ...]:
    """Returns the entries in groups of equal distance, nearest first."""
    groups: dict[float, list[_ScoredEntry]] = {}
    for entry in entries:
        distance_ms = distances_ms.get(entry.availability_zone, float("inf"))
        scored = _ScoredEntry(key=entry.name.encode(), entry=entry)
        groups.setdefault(distance_ms, []).append(scored)
    ordered: list[tuple[_ScoredEntry, ...]] = []
    for distance_ms in sorted(groups):
        ordered.append(tuple(groups[distance_ms]))
    return tuple(ordered)


def _highest_scored(
    *, group: tuple[_ScoredEntry, ...], bucket: int, count: int
) -> list[LookupEntry]:
    """Returns the `count` highest entries of a group by rendezvous hashing."""
    digest = xxhash.xxh3_64_intdigest
    scores: list[tuple[int, int]] = []
    for position, scored in enumerate(group):
        scores.append((digest(scored.key, bucket), position))
    highest: list[LookupEntry] = []
    for _, position in heapq.nlargest(count, scores):
        highest.append(group[position].entry)
    return highest
