"""Which upstreams know which objects, as all entries tell.

Load pattern: every object is new at once, after a start or after upstreams were
replaced, and an entry of a large fleet sees a few requests of each object in a
day. A request that finds its object's home with a queue is run elsewhere, as
new. Where each entry knows only what its own answers told, the next request of
another entry is run as new at a third upstream, though the second would have
served it in time; the runs as new keep the slots that all others wait for.

So the first entry that sends an object to an upstream tells the others. An
upstream counts as knowing an object from its first run's begin.
"""

from collections import OrderedDict
from collections.abc import Iterable
import math

import xxhash

# How long an upstream is taken to remember an object that it handled.
WARM_S = 30.0
# How long a place is told on after it was found; messages are lost, and each
# word goes through two others.
TOLD_S = 0.5
# Age of the last word on a place from which a new request renews it.
RENEWED_S = 10.0
# Objects that are remembered; 100 bytes each and as much for each place.
REMEMBERED_OBJECTS = 4096

Place = tuple[int, int]


def object_hash(*, service: str, key: str) -> int:
    """Returns the short name of an object in messages between entries."""
    return xxhash.xxh32_intdigest(f"{service}\0{key}".encode())


class _Memory:
    """When each upstream last had a request of each object."""

    def __init__(self) -> None:
        self._places: OrderedDict[int, dict[int, float]] = OrderedDict()

    def note(self, place: Place, at_s: float) -> None:
        name, upstream = place
        places = self._places.get(name)
        if places is None:
            places = {}
            self._places[name] = places
            if len(self._places) > REMEMBERED_OBJECTS:
                self._places.popitem(last=False)
        places[upstream] = at_s

    def at_s(self, place: Place) -> float:
        name, upstream = place
        return self._places.get(name, {}).get(upstream, -math.inf)

    def upstreams(self, name: int, now_s: float) -> frozenset[int]:
        found = []
        for upstream, at_s in self._places.get(name, {}).items():
            if now_s - at_s < WARM_S:
                found.append(upstream)
        return frozenset(found)

    def objects(self) -> list[int]:
        return list(self._places)


class KnownPlaces:
    """Remembers by object where it was sent, and what of it is to be told."""

    def __init__(self) -> None:
        """Starts with nothing known."""
        self._own = _Memory()
        self._told = _Memory()
        self._found: dict[Place, float] = {}

    def at(self, name: int, *, now_s: float) -> frozenset[int]:
        """Returns the upstreams that are taken to know an object.

        Places that this entry uses itself go before those that others tell. In
        a small fleet each entry has its own few. What goes wrong where all
        count: every place that a queue made one entry use once gets the
        requests of all, and upstreams handle more objects than they remember.

        Args:
          name: the object's hash.
          now_s: the entry's clock.
        """
        own = self._own.upstreams(name, now_s)
        return own or self._told.upstreams(name, now_s)

    def note_sent(self, name: int, upstream: int, *, now_s: float) -> None:
        """Notes that this entry sends an object's request to an upstream.

        Args:
          name: the object's hash.
          upstream: the hash of the upstream's incarnation.
          now_s: the entry's clock.
        """
        place = (name, upstream)
        self._own.note(place, now_s)
        if now_s - self._told.at_s(place) < RENEWED_S:
            return
        self._told.note(place, now_s)
        self._found[place] = now_s

    def take(self, places: Iterable[Place], *, now_s: float) -> None:
        """Takes what another entry tells."""
        for place in places:
            if now_s - self._told.at_s(place) >= TOLD_S:
                self._told.note(place, now_s)

    def found_lately(self, *, now_s: float) -> list[Place]:
        """Returns the places that this entry found and still tells on."""
        for place, at_s in list(self._found.items()):
            if now_s - at_s >= TOLD_S:
                del self._found[place]
        return list(self._found)

    def all_places(self, *, now_s: float) -> list[Place]:
        """Returns every place that is not too old, for an entry that is new."""
        found = []
        for name in self._told.objects():
            for upstream in self._told.upstreams(name, now_s):
                found.append((name, upstream))
        return found
