"""How often entries tell each other their loads.

Load pattern: hundreds of entries place requests at the same upstreams. Each
knows the others' requests as of their last word. Where that is half a second
old, entries fill the same queues beside free slots, and a plan of weights goes
on moving keys away from queues that have ended.

The pauses go by what a word costs where it is sent: by the entries of the zone
and the link of the VM, not by the entries of the fleet.
"""

import math
from typing import NamedTuple

from almondstair.core.known_places import Place

# Pause between two messages inside an availability zone: the least, how much
# longer for each entry of the zone, and the longest.
LEAST_PAUSE_S = 0.05
PAUSE_PER_ENTRY_S = 0.0075
MOST_PAUSE_S = 0.15
# Shortest pause between two sums to the other zones, whose bytes are dear.
ZONES_PAUSE_S = 0.1
# Longest pause while nothing changes.
HEARTBEAT_S = 0.4
# Part of the reporter's link that totals for its zone may take.
LINK_SHARE = 0.2
_BITS_PER_MBIT = 1e6


def pause_s(zone_entries: int) -> float:
    """Returns the pause between two messages inside a zone, in seconds.

    Args:
      zone_entries: entries of the availability zone.
    """
    wanted_s = PAUSE_PER_ENTRY_S * zone_entries
    return min(MOST_PAUSE_S, max(LEAST_PAUSE_S, wanted_s))


class LinkShare:
    """The part of a VM's link that words to its zone may take."""

    def __init__(self, *, link_mbps: float) -> None:
        """Starts with a free link.

        Args:
          link_mbps: what the link carries, 0 where it is not told.
        """
        self._bits_per_s = LINK_SHARE * link_mbps * _BITS_PER_MBIT
        self._free_at_s = -math.inf

    def free(self, *, now_s: float) -> bool:
        """Whether the part is free within the pause of a zone."""
        return now_s >= self._free_at_s - MOST_PAUSE_S

    def note_sent(self, sent_bytes: int, *, now_s: float) -> None:
        """Takes that bytes were sent at once."""
        if not self._bits_per_s:
            return
        from_s = max(now_s, self._free_at_s)
        self._free_at_s = from_s + 8 * sent_bytes / self._bits_per_s


Loads = dict[int, int]


class Word(NamedTuple):
    """What is told of one kind.

    Attributes:
      loads: requests by the hash of an upstream's incarnation.
      replaced: upstreams that were found replaced.
      strikes: requests that may crash upstreams.
      places: objects and upstreams that know them.
    """

    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    places: list[Place]


class Telling:
    """When the next word of one kind is due."""

    def __init__(self, *, least_pause_s: float = 0.0) -> None:
        """Starts with nothing told.

        Args:
          least_pause_s: shortest pause between two words on loads alone.
        """
        self._least_pause_s = least_pause_s
        self._told = Word({}, [], [], [])
        self._told_at_s = -math.inf

    def urgent(self, word: Word) -> bool:
        """Whether a word has ends of upstreams that were not told yet.

        An upstream that was replaced, or that a request may have crashed, gets
        requests of every entry that has not heard of it.
        """
        told = self._told
        if set(word.replaced) - set(told.replaced):
            return True
        return bool(set(word.strikes) - set(told.strikes))

    def due(self, word: Word, *, now_s: float) -> bool:
        """Whether a word is to be told now.

        Args:
          word: what there is to tell.
          now_s: the entry's clock.
        """
        if self.urgent(word):
            return True
        age_s = now_s - self._told_at_s
        if age_s < self._least_pause_s:
            return False
        if age_s >= HEARTBEAT_S or word.loads != self._told.loads:
            return True
        return word.places != self._told.places

    def note_told(self, word: Word, *, now_s: float) -> None:
        """Takes that a word was told; it must not change afterwards."""
        self._told = word
        self._told_at_s = now_s
