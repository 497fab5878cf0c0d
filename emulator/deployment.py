"""What is emulated: zones, distances, upstreams, gateways, routes, load."""

from pathlib import Path

import msgspec

from emulator import reading


class Delays(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """One-way delays, in milliseconds.

    Attributes:
      in_zone_ms: between two places of one availability zone.
      between_zones_ms: between two availability zones of one region.
      between_regions_ms: between two regions.
      callers_ms: between callers and the entries of their zone.
    """

    in_zone_ms: float = 0.0
    between_zones_ms: float = 0.0
    between_regions_ms: float = 0.0
    callers_ms: float = 0.0


class Service(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """One service and its upstreams.

    Attributes:
      name: its name.
      upstreams: how many stand in each availability zone.
      slots: requests that one runs at once.
      queue: requests that one lets wait.
      work_ms: run time of a request for a new object, in milliseconds.
      keeps: objects that one remembers.
      cold_s: how long one is cold after its start, in seconds.
      cold_rate_per_s: requests a second that one bears while cold.
    """

    name: str
    upstreams: dict[str, int]
    slots: int = 3
    queue: int = 9
    work_ms: float = 50.0
    keeps: int = 40
    cold_s: float = 0.0
    cold_rate_per_s: float = 5.0


class RouteRule(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """One route and the requests that come on it.

    Attributes:
      prefix: start of the path; begins and ends with a slash.
      service: where its requests go.
      kind: `safe`, `unsafe` or `upload`.
      aim_ms: within which an answer is worth its full credit.
      timeout_ms: how long a request may be kept waiting.
      attempts: greatest number of upstreams that one request is sent to.
      priority: rank; 0 is the most urgent.
      rate_per_s: requests a second over all zones.
      objects: how many objects they are about.
      deadline_ms: how long their callers wait.
      body_bytes: size of their bodies.
    """

    prefix: str
    service: str
    kind: str = "safe"
    aim_ms: float = 1000.0
    timeout_ms: float = 2000.0
    attempts: int = 2
    priority: int = 1
    rate_per_s: float = 0.0
    objects: int = 30
    deadline_ms: float = 3000.0
    body_bytes: int = 0


class Deployment(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """A whole deployment.

    Attributes:
      zones: region of each availability zone.
      gateways: how many entries stand in each availability zone.
      services: services with their upstreams.
      routes: routes with their load.
      store_zone: availability zone of the store; empty for the first.
      delays: distances.
      bounds: the operators' bounds that differ from the emulator's own, by the
        platform's names.
    """

    zones: dict[str, str]
    gateways: dict[str, int]
    services: list[Service]
    routes: list[RouteRule]
    store_zone: str = ""
    delays: Delays = Delays()
    bounds: dict[str, float] = {}

    def delay_s(self, one: str, other: str) -> float:
        """Returns the one-way delay between two availability zones."""
        if one == other:
            return self.delays.in_zone_ms / 1000
        if self.zones[one] == self.zones[other]:
            return self.delays.between_zones_ms / 1000
        return self.delays.between_regions_ms / 1000

    @property
    def delayed(self) -> bool:
        """Whether any two places are apart."""
        delays = self.delays
        return (
            delays.in_zone_ms
            + delays.between_zones_ms
            + delays.between_regions_ms
            > 0
        )

    def upstream_places(self) -> list[tuple[Service, str]]:
        """Returns service and availability zone of each upstream."""
        places = []
        for service in self.services:
            for zone in _in_turn(service.upstreams):
                places.append((service, zone))
        return places

    def gateway_zones(self) -> list[str]:
        """Returns the availability zone of each gateway."""
        return _in_turn(self.gateways)


def _in_turn(counts: dict[str, int]) -> list[str]:
    """Returns each name as often as its count says, by turns."""
    found = []
    for turn in range(max(counts.values(), default=0)):
        for name, count in counts.items():
            if turn < count:
                found.append(name)
    return found


def load(path: Path) -> Deployment:
    """Reads and checks a deployment file.

    Raises:
      AlmondstairError: `settings_invalid`, with file, key and remedy.
    """
    found = reading.read(path, Deployment)
    _check(path, found)
    return found


def _check(path: Path, found: Deployment) -> None:
    """Checks what the types cannot: names that must be known."""
    services = {service.name for service in found.services}
    for service in found.services:
        _check_zones(path, found, service.upstreams, f"services {service.name}")
    _check_zones(path, found, found.gateways, "gateways")
    if found.store_zone and found.store_zone not in found.zones:
        raise reading.invalid(path, f"store_zone: no zone {found.store_zone}")
    for route in found.routes:
        if route.service not in services:
            raise reading.invalid(
                path, f"routes {route.prefix}: no service {route.service}"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise reading.invalid(
                path, f"routes {route.prefix}: begin and end it with a slash"
            )
    if not found.gateway_zones() or not found.upstream_places():
        raise reading.invalid(path, "it needs a gateway and an upstream")


def _check_zones(
    path: Path, found: Deployment, counts: dict[str, int], where: str
) -> None:
    for zone in counts:
        if zone not in found.zones:
            raise reading.invalid(
                path, f"{where}: no zone {zone}; add it to [zones]"
            )
