"""Load patterns of the replay: who asks for what, and what goes wrong."""

from pathlib import Path
from typing import Literal

import msgspec

from emulator import reading


class Service(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A service and its upstreams.

    Attributes:
      name: its name.
      upstreams: how many stand in each region.
      slots: requests that one runs at once.
      queue: requests that one lets wait; it refuses more.
      keeps: objects that one remembers.
    """

    name: str
    upstreams: dict[str, int]
    slots: int = 6
    queue: int = 24
    keeps: int = 32

    def places(self) -> list[tuple[str, str]]:
        """Returns id and region of each upstream."""
        found = []
        for region, count in self.upstreams.items():
            for number in range(count):
                found.append((f"{self.name}-{region}-{number}", region))
        return found


class Kind(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A kind of request.

    Attributes:
      name: its name.
      service: the service that takes it.
      per_s: requests a second from all regions.
      known_s: run time where the object is known, in seconds.
      new_s: run time where it is not, in seconds.
      aim_s: time within which an answer is worth its full credit, in seconds.
      deadline_s: time after which its callers give up, in seconds.
      keys: objects that each region's callers ask for.
      priority: rank; 0 is the most urgent.
      retries: how often a caller comes back after a refusal.
      repeatable: whether it may run twice.
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
    repeatable: bool = True


class Trouble(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Something that goes wrong for a while.

    Attributes:
      what: burst: `times` the load of a kind, or of all; shift: a share of a
        region's callers ask in another one; lost: a share of a service's
        upstreams takes no connections, and knows nothing afterwards; slow: a
        share of them runs `times` as long; evacuated: a region's upstreams get
        nothing; new_objects: all objects are new; restart: all entries are away
        and know nothing afterwards.
      at_s: when it begins, in seconds.
      for_s: how long it lasts, in seconds.
      times: how strong it is.
      share: the part that it strikes, 0 to 1.
      kind: kind of request, empty for all.
      service: service, empty for all.
      region: region, empty for all.
      to_region: where a shift goes.
    """

    what: Literal[
        "burst",
        "shift",
        "lost",
        "slow",
        "evacuated",
        "new_objects",
        "restart",
    ]
    at_s: float
    for_s: float = 5.0
    times: float = 2.0
    share: float = 0.5
    kind: str = ""
    service: str = ""
    region: str = ""
    to_region: str = ""

    def lasts(self, now_s: float) -> bool:
        """Whether it goes on now."""
        return self.at_s <= now_s < self.at_s + self.for_s


class Pattern(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A whole pattern.

    Attributes:
      shows: what it is for, in a sentence.
      span_s: its length, in seconds.
      warm_up_s: its start, which does not count.
      entries: how many entries stand in each region.
      round_trip_s: between two regions, in seconds.
      told_s: how old others' loads are when they are told, in seconds.
      services: the services.
      kinds: the kinds of request.
      troubles: what goes wrong.
    """

    shows: str
    span_s: float
    services: list[Service]
    kinds: list[Kind]
    entries: dict[str, int]
    troubles: list[Trouble] = []
    warm_up_s: float = 0.0
    round_trip_s: float = 0.07
    told_s: float = 0.05

    @property
    def regions(self) -> list[str]:
        """Returns the regions, in the order of the file."""
        return list(self.entries)


def load(path: Path) -> Pattern:
    """Reads and checks a pattern.

    Raises:
      AlmondstairError: `settings_invalid`, with file, key and remedy.
    """
    found = reading.read(path, Pattern)
    _check(path, found)
    return found


def _check(path: Path, found: Pattern) -> None:
    """Checks what the types cannot: names that must be known."""
    services = {service.name for service in found.services}
    for service in found.services:
        for region in service.upstreams:
            _check_name(path, "region", region, set(found.regions))
    for kind in found.kinds:
        _check_name(path, "service", kind.service, services)
    kinds = {kind.name for kind in found.kinds}
    for trouble in found.troubles:
        _check_name(path, "kind", trouble.kind, kinds | {""})
        _check_name(path, "service", trouble.service, services | {""})
        for region in (trouble.region, trouble.to_region):
            _check_name(path, "region", region, {*found.regions, ""})


def _check_name(path: Path, what: str, name: str, known: set[str]) -> None:
    if name not in known:
        raise reading.invalid(
            path, f"no {what} {name!r}; it has {sorted(known)}"
        )
