"""Selects the entries that a lookup returns to a caller.

Callers pick one of the returned entries at random. If VMs differ in size and
all are returned, each gets the same share of the traffic: the links of small
VMs are saturated while those of large ones are idle, which shows as slow
uploads on some VMs only. So each caller gets a few entries of each availability
zone, and large ones are returned to more callers than small ones.

The selection follows from a hash of caller and entry. So a repeated lookup
returns the same entries, and the end of an entry changes only the lists that
contain it. This matters because callers close connections to entries that are
no longer returned.
"""

from collections.abc import Collection, Iterable
import math
from typing import NamedTuple

import xxhash

from almondstair.core.registered_entries import Entry

# Maximum number of addresses that callers accept.
MAX_ADDRESSES = 64
# Entries per zone in a weighted list: one may be draining and another slow. The
# shorter the list, the closer the traffic follows the weights.
ENTRIES_PER_ZONE = 3
# Entries whose weights differ by less than this factor count as equal.
EQUAL_WEIGHT_RATIO = 1.25
# Maximum number of cached lists, 0.5 kB each.
MAX_CACHED_LISTS = 4096
_HASH_RANGE = 2.0**64


class _Weighted(NamedTuple):
    entry: Entry
    weight: float
    seed: int


class EntryDirectory:
    """Selects entries for callers."""

    def __init__(self) -> None:
        """Starts without entries."""
        self._entries: list[_Weighted] = []
        self._lists: dict[tuple[str, str], list[str]] = {}

    def set_entries(
        self, entries: Iterable[Entry], *, omitted: Collection[str] = ()
    ) -> None:
        """Replaces the live entries; called when any of them changes.

        Args:
          entries: the live entries.
          omitted: names of those that callers should not use; they are used if
            their region has no others.
        """
        found = _without_omitted(entries, omitted)
        has_weights = all(entry.throughput_mbps > 0 for entry in found)
        self._entries = []
        self._lists = {}
        for entry in found:
            seed = xxhash.xxh3_64_intdigest(entry.name.encode())
            # Entries of an older version report no throughput. If there are
            # any, all weights are equal.
            weight = entry.throughput_mbps if has_weights else 1.0
            self._entries.append(_Weighted(entry, weight, seed))

    def addresses_for(self, *, region: str, caller: str) -> list[str]:
        """Returns the addresses of entries for a caller.

        They are in the caller's region, or elsewhere if it has no entries.

        Args:
          region: the caller's region.
          caller: identifies the caller, such as by its address.
        """
        addresses = self._lists.get((region, caller))
        if addresses is None:
            addresses = self._select(region, caller)
            if len(self._lists) >= MAX_CACHED_LISTS:
                self._lists.clear()
            self._lists[region, caller] = addresses
        return addresses

    def _select(self, region: str, caller: str) -> list[str]:
        candidates = []
        for weighted in self._entries:
            if weighted.entry.region == region:
                candidates.append(weighted)
        candidates = candidates or self._entries
        if len(candidates) <= MAX_ADDRESSES and _weights_equal(candidates):
            return [weighted.entry.callers for weighted in candidates]
        zones: dict[str, list[_Weighted]] = {}
        for weighted in candidates:
            zone = weighted.entry.availability_zone
            zones.setdefault(zone, []).append(weighted)
        found = []
        for members in zones.values():
            members.sort(key=lambda weighted: _sort_key(caller, weighted))
            for weighted in members[:ENTRIES_PER_ZONE]:
                found.append(weighted.entry.callers)
        return found[:MAX_ADDRESSES]


def _without_omitted(
    entries: Iterable[Entry], omitted: Collection[str]
) -> list[Entry]:
    """Returns the entries to use in each region."""
    by_region: dict[str, list[Entry]] = {}
    for entry in entries:
        by_region.setdefault(entry.region, []).append(entry)
    found = []
    for members in by_region.values():
        kept = [entry for entry in members if entry.name not in omitted]
        found += kept or members
    return found


def _weights_equal(entries: list[_Weighted]) -> bool:
    weights = [weighted.weight for weighted in entries]
    return max(weights, default=1.0) <= EQUAL_WEIGHT_RATIO * min(
        weights, default=1.0
    )


def _sort_key(caller: str, weighted: _Weighted) -> float:
    """Returns an entry's sort key for a caller; the lowest comes first.

    The negative logarithm of a uniform hash, divided by the weight, puts each
    entry first in proportion to its weight (weighted rendezvous hashing).
    """
    digest = xxhash.xxh3_64_intdigest(caller.encode(), seed=weighted.seed)
    uniform = (digest + 0.5) / _HASH_RANGE
    return -math.log(uniform) / weighted.weight
