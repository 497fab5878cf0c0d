"""Load patterns for replays: requests, upstreams and disturbances."""

from pathlib import Path
from typing import Literal

import msgspec

from emulator import toml_files


class Service(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A service and its upstreams.

    Attributes:
      name: service name.
      upstreams: number of upstreams by region.
      slots: concurrent requests per upstream.
      queue: queued requests per upstream; it refuses more.
      keeps: capacity of an upstream's object cache.
      rest_s: rest that an upstream asks for when its queue is full, in seconds;
        0 for none.
    """

    name: str
    upstreams: dict[str, int]
    slots: int = 6
    queue: int = 24
    keeps: int = 32
    rest_s: float = 0.0

    def upstream_locations(self) -> list[tuple[str, str]]:
        """Returns id and region of each upstream."""
        locations = []
        for region, count in self.upstreams.items():
            for number in range(count):
                locations.append((f"{self.name}-{region}-{number}", region))
        return locations


class Kind(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A kind of request with its rate, run times and limits.

    Attributes:
      name: name of the kind.
      service: destination service.
      per_s: requests a second over all regions.
      known_s: mean run time where the object is cached, in seconds.
      new_s: mean run time where it is not cached, in seconds.
      aim_s: target latency, in seconds.
      deadline_s: time after which the most patient callers give up, in seconds.
      keys: number of objects that each region's callers request.
      priority: priority; 0 is the most urgent.
      retries: retries of a caller after a refusal.
      hasty_s: delay after which refused callers retry whatever they are told,
        in seconds; 0 if they do as they are told.
      repeatable: whether a request may run twice.
      regions: regions to which its requests are confined; empty for none.
    """

    name: str
    service: str
    per_s: float
    known_s: float
    new_s: float
    aim_s: float
    deadline_s: float
    keys: int = 40
    priority: int = 2
    retries: int = 1
    hasty_s: float = 0.0
    repeatable: bool = True
    regions: list[str] = []


class Disturbance(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A temporary fault or change of the load.

    Attributes:
      what: burst: multiplies the load of a kind, or of all, by `times`; shift:
        sends a share of a region's callers to another region; lost: a share of
        a service's upstreams accepts no connections and starts again with an
        empty cache; slow: a share of them runs `times` as long; evacuated: a
        region's upstreams get no requests; new_objects: replaces all objects by
        new ones; restart: all entries are down and start again without state;
        limited: a share of a service's upstreams states `limit_per_s` in its
        answers; cut_off: a share of a region's entries reaches no upstream;
        resting: a share of a service's upstreams turns all requests away and
        asks for `rest_s`; leaving: a share of them says in answers that it
        leaves, and ends with the disturbance; uneven: upstreams run `times` as
        long by turns of 0.2 to 2 s, in a share of the turns, and state it.
      at_s: start time, in seconds.
      for_s: duration, in seconds.
      times: factor of a burst or of slow upstreams.
      states: figure that uneven upstreams state in place of their speed; empty
        for the true one.
      limit_per_s: requests per second that limited upstreams state.
      rest_s: rest that resting upstreams ask for, in seconds.
      share: affected share of callers or upstreams, 0 to 1.
      kind: kind of request, empty for all.
      service: service, empty for all.
      region: region, empty for all.
      to_region: region that a shift sends callers to.
    """

    what: Literal[
        "burst",
        "shift",
        "lost",
        "slow",
        "evacuated",
        "new_objects",
        "restart",
        "limited",
        "cut_off",
        "resting",
        "leaving",
        "uneven",
    ]
    at_s: float
    for_s: float = 5.0
    times: float = 2.0
    limit_per_s: float = 2.7
    rest_s: float = 3.0
    states: str = ""
    share: float = 0.5
    kind: str = ""
    service: str = ""
    region: str = ""
    to_region: str = ""

    def is_active(self, now_s: float) -> bool:
        """Whether the disturbance is in effect at a time."""
        return self.at_s <= now_s < self.at_s + self.for_s


class Pattern(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """The content of a pattern file.

    Attributes:
      shows: purpose of the pattern, in a sentence.
      span_s: duration of the load, in seconds.
      warm_up_s: initial time that is not counted, in seconds.
      entries: number of entries by region.
      round_trip_s: round trip between two regions, in seconds.
      least_patience: share of its kind's deadline that the least patient caller
        waits; callers are spread evenly from it to 1.
      told_s: interval of the load reports between entries and age of their
        loads on receipt, in seconds.
      services: the services.
      kinds: the kinds of request.
      troubles: the disturbances.
    """

    shows: str
    span_s: float
    services: list[Service]
    kinds: list[Kind]
    entries: dict[str, int]
    troubles: list[Disturbance] = []
    warm_up_s: float = 0.0
    least_patience: float = 1.0
    round_trip_s: float = 0.07
    told_s: float = 0.05

    @property
    def regions(self) -> list[str]:
        """Returns the regions, in the order of the file."""
        return list(self.entries)


def load(path: Path) -> Pattern:
    """Reads and checks a pattern.

    Raises:
      AlmondstairError: `settings_invalid`, with the path and the reason.
    """
    pattern = toml_files.read_toml(path, Pattern)
    _check(path, pattern)
    return pattern


def _check(path: Path, pattern: Pattern) -> None:
    """Checks references between sections, which the types do not cover."""
    services = {service.name for service in pattern.services}
    for service in pattern.services:
        for region in service.upstreams:
            _check_name(path, "region", region, set(pattern.regions))
    for kind in pattern.kinds:
        _check_name(path, "service", kind.service, services)
    kinds = {kind.name for kind in pattern.kinds}
    for disturbance in pattern.troubles:
        _check_name(path, "kind", disturbance.kind, kinds | {""})
        _check_name(path, "service", disturbance.service, services | {""})
        for region in (disturbance.region, disturbance.to_region):
            _check_name(path, "region", region, {*pattern.regions, ""})


def _check_name(path: Path, what: str, name: str, known: set[str]) -> None:
    if name not in known:
        raise toml_files.invalid_file(
            path, f"no {what} {name!r}; it has {sorted(known)}"
        )
