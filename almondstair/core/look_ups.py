"""Which entries a look-up names for a caller.

Callers pick one of the named entries at random. What goes wrong when VMs differ
and all are named: each gets the same part of the traffic, and the small ones'
links are full while the large ones' are idle; one notices it by uploads that
are slow on some VMs only. So each caller is told a few entries of each zone,
the large ones to more callers than the small ones.

Which ones follows from a hash of caller and entry: a caller that asks again is
told the same, for it gives up connections to entries that are not named any
more, and one entry's end changes the lists of its own callers only.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

import xxhash

from almondstair.core.registered import Entry

# Addresses that callers take at most.
MOST_NAMED = 64
# Entries of each zone in a list of few: one may be leaving and another slow.
# The shorter the list, the closer callers keep to the weights.
NAMED_A_ZONE = 3
# Entries whose weights differ by less than this factor count as equal.
EQUAL_FACTOR = 1.25
# Lists that are kept for callers that ask again, 0.5 kB each.
KEPT_LISTS = 4096
_HASH_RANGE = 2.0**64


class _Weighted(NamedTuple):
    entry: Entry
    weight: float
    seed: int


class LookUps:
    """Names entries for callers."""

    def __init__(self) -> None:
        """Starts with no entry."""
        self._entries: list[_Weighted] = []
        self._kept: dict[tuple[str, str], list[str]] = {}

    def take_entries(self, entries: Iterable[Entry]) -> None:
        """Takes the live entries; called when one came, went or changed."""
        found = list(entries)
        told = all(entry.carries_mbps > 0 for entry in found)
        self._entries = []
        self._kept = {}
        for entry in found:
            seed = xxhash.xxh3_64_intdigest(entry.name.encode())
            # One of an older version does not tell; then all count the same.
            weight = entry.carries_mbps if told else 1.0
            self._entries.append(_Weighted(entry, weight, seed))

    def named(self, *, region: str, caller: str) -> list[str]:
        """Returns caller addresses of entries for a caller.

        Those of its region are named; where there are none, others are.

        Args:
          region: the caller's region.
          caller: what tells callers apart, such as their address.
        """
        kept = self._kept.get((region, caller))
        if kept is None:
            kept = self._pick(region, caller)
            if len(self._kept) >= KEPT_LISTS:
                self._kept.clear()
            self._kept[region, caller] = kept
        return kept

    def _pick(self, region: str, caller: str) -> list[str]:
        near = []
        for weighted in self._entries:
            if weighted.entry.region == region:
                near.append(weighted)
        near = near or self._entries
        if len(near) <= MOST_NAMED and _equal(near):
            return [weighted.entry.callers for weighted in near]
        zones: dict[str, list[_Weighted]] = {}
        for weighted in near:
            zone = weighted.entry.availability_zone
            zones.setdefault(zone, []).append(weighted)
        found = []
        for members in zones.values():
            members.sort(key=lambda weighted: _turn(caller, weighted))
            for weighted in members[:NAMED_A_ZONE]:
                found.append(weighted.entry.callers)
        return found[:MOST_NAMED]


def _equal(entries: list[_Weighted]) -> bool:
    weights = [weighted.weight for weighted in entries]
    return max(weights, default=1.0) <= EQUAL_FACTOR * min(weights, default=1.0)


def _turn(caller: str, weighted: _Weighted) -> float:
    """Returns where an entry stands for a caller; low ones come first.

    The logarithm of an even draw, divided by the weight, puts each entry first
    as often as its weight says (weighted rendezvous).
    """
    digest = xxhash.xxh3_64_intdigest(caller.encode(), seed=weighted.seed)
    draw = (digest + 0.5) / _HASH_RANGE
    return -math.log(draw) / weighted.weight
