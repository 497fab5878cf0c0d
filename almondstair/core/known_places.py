"""Tracks which upstreams have which objects cached, across all entries.

After a start, or after upstreams were replaced, no object is cached anywhere,
and an entry of a large fleet sees only a few requests for each object per day.
A request whose object's home has a queue runs elsewhere, uncached. If each
entry knew only the locations from its own requests, the next request through
another entry would run uncached at a third upstream, although the second could
have served it in time, and the uncached runs would occupy the slots for which
all other requests wait.

So the first entry that sends an object to an upstream reports it to the others.
An upstream counts as having an object cached from the start of its first run.
"""

from collections import OrderedDict
from collections.abc import Iterable
import math

import xxhash

# Time for which an upstream is assumed to keep an object cached.
WARM_S = 30.0
# Time for which a new location is reported. Reports are repeated because
# messages may be lost, and because each report passes through two other
# entries.
TOLD_S = 0.5
# Age of the last report of a location after which a request renews the report.
RENEWAL_AGE_S = 10.0
# Remembered objects, 100 bytes each and 100 bytes per location.
MAX_OBJECTS = 4096

CachedLocation = tuple[int, int]


def object_hash(*, service: str, key: str) -> int:
    """Returns the hash that identifies an object between entries."""
    return xxhash.xxh32_intdigest(f"{service}\0{key}".encode())


class _LastRequests:
    """Holds the time of the last request for each object and upstream."""

    def __init__(self) -> None:
        self._times_s: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record(self, location: CachedLocation, at_s: float) -> None:
        name, upstream = location
        times_s = self._times_s.get(name)
        if times_s is None:
            times_s = {}
            self._times_s[name] = times_s
            if len(self._times_s) > MAX_OBJECTS:
                self._times_s.popitem(last=False)
        times_s[upstream] = at_s

    def at_s(self, location: CachedLocation) -> float:
        name, upstream = location
        return self._times_s.get(name, {}).get(upstream, -math.inf)

    def upstreams(self, name: int, now_s: float) -> frozenset[int]:
        found = []
        for upstream, at_s in self._times_s.get(name, {}).items():
            if now_s - at_s < WARM_S:
                found.append(upstream)
        return frozenset(found)

    def objects(self) -> list[int]:
        return list(self._times_s)


class CachedLocations:
    """Holds the cached locations of objects and those to be reported."""

    def __init__(self) -> None:
        """Starts without locations."""
        self._own = _LastRequests()
        self._reported = _LastRequests()
        self._new: dict[CachedLocation, float] = {}

    def upstreams_for(self, name: int, *, now_s: float) -> frozenset[int]:
        """Returns the upstreams that are assumed to have an object cached.

        Locations that this entry uses itself take precedence over reported
        ones. In a small fleet each entry has a few of its own. If all of them
        counted, every location that one entry used once because of a queue
        would get the requests of all entries, and upstreams would handle more
        objects than they can cache.

        Args:
          name: the object's hash.
          now_s: the entry's clock, in seconds.
        """
        own = self._own.upstreams(name, now_s)
        return own or self._reported.upstreams(name, now_s)

    def record_sent(self, name: int, upstream: int, *, now_s: float) -> None:
        """Records a request for an object that is sent to an upstream.

        Args:
          name: the object's hash.
          upstream: the hash of the upstream's incarnation.
          now_s: the entry's clock, in seconds.
        """
        location = (name, upstream)
        self._own.record(location, now_s)
        if now_s - self._reported.at_s(location) < RENEWAL_AGE_S:
            return
        self._reported.record(location, now_s)
        self._new[location] = now_s

    def apply_reported(
        self, locations: Iterable[CachedLocation], *, now_s: float
    ) -> None:
        """Applies the locations that another entry reports."""
        for location in locations:
            if now_s - self._reported.at_s(location) >= TOLD_S:
                self._reported.record(location, now_s)

    def locations_to_report(self, *, now_s: float) -> list[CachedLocation]:
        """Returns the locations that this entry currently reports."""
        for location, at_s in list(self._new.items()):
            if now_s - at_s >= TOLD_S:
                del self._new[location]
        return list(self._new)

    def all_locations(self, *, now_s: float) -> list[CachedLocation]:
        """Returns all locations that have not expired, for a new entry."""
        found = []
        for name in self._reported.objects():
            for upstream in self._reported.upstreams(name, now_s):
                found.append((name, upstream))
        return found
