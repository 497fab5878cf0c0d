"""Deployment files: zones, delays, upstreams, gateways, routes and load."""

from pathlib import Path

import msgspec

from emulator import toml_files


class Delays(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """One-way delays, in milliseconds.

    Attributes:
      in_zone_ms: between two processes in one availability zone.
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
      name: service name.
      upstreams: number of upstreams by availability zone.
      slots: concurrent requests per upstream.
      queue: queued requests per upstream; it refuses more.
      work_ms: run time for an object that is not cached, in milliseconds.
      keeps: capacity of an upstream's object cache.
      cold_s: duration of the cold start, in seconds.
      cold_rate_per_s: requests a second that a cold upstream can handle.
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
    """One route and its load.

    Attributes:
      prefix: path prefix; begins and ends with a slash.
      service: destination service.
      kind: `safe`, `unsafe` or `upload`.
      aim_ms: target latency, in milliseconds.
      timeout_ms: the route's timeout, in milliseconds.
      attempts: maximum number of upstreams that a request is sent to.
      priority: priority; 0 is the most urgent.
      rate_per_s: requests a second over all zones.
      objects: number of distinct objects requested.
      deadline_ms: how long callers wait, in milliseconds.
      body_bytes: size of each request body, in bytes.
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
    """The content of a deployment file.

    Attributes:
      zones: region of each availability zone.
      gateways: number of entries by availability zone.
      services: services with their upstreams.
      routes: routes with their load.
      store_zone: availability zone of the store; empty for the first.
      delays: one-way delays between processes.
      bounds: operator bounds that override the emulator's defaults, by their
        names in the platform's settings.
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
    def has_delays(self) -> bool:
        """Whether any two processes have a delay between them."""
        delays = self.delays
        return (
            delays.in_zone_ms
            + delays.between_zones_ms
            + delays.between_regions_ms
            > 0
        )

    def upstream_locations(self) -> list[tuple[Service, str]]:
        """Returns service and availability zone of each upstream."""
        locations = []
        for service in self.services:
            for zone in _round_robin(service.upstreams):
                locations.append((service, zone))
        return locations

    def gateway_zones(self) -> list[str]:
        """Returns the availability zone of each gateway."""
        return _round_robin(self.gateways)


def _round_robin(counts: dict[str, int]) -> list[str]:
    """Returns each name as often as its count, in round-robin order."""
    names = []
    for round_number in range(max(counts.values(), default=0)):
        for name, count in counts.items():
            if round_number < count:
                names.append(name)
    return names


def load(path: Path) -> Deployment:
    """Reads and checks a deployment file.

    Raises:
      AlmondstairError: `settings_invalid`, with the path and the reason.
    """
    deployment = toml_files.read_toml(path, Deployment)
    _check(path, deployment)
    return deployment


def _check(path: Path, deployment: Deployment) -> None:
    """Checks references between sections, which the types do not cover."""
    services = {service.name for service in deployment.services}
    for service in deployment.services:
        _check_zones(
            path, deployment, service.upstreams, f"services {service.name}"
        )
    _check_zones(path, deployment, deployment.gateways, "gateways")
    if deployment.store_zone and deployment.store_zone not in deployment.zones:
        raise toml_files.invalid_file(
            path, f"store_zone: no zone {deployment.store_zone}"
        )
    for route in deployment.routes:
        if route.service not in services:
            raise toml_files.invalid_file(
                path, f"routes {route.prefix}: no service {route.service}"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise toml_files.invalid_file(
                path, f"routes {route.prefix}: begin and end it with a slash"
            )
    if not deployment.gateway_zones() or not deployment.upstream_locations():
        raise toml_files.invalid_file(
            path, "it needs a gateway and an upstream"
        )


def _check_zones(
    path: Path, deployment: Deployment, counts: dict[str, int], where: str
) -> None:
    for zone in counts:
        if zone not in deployment.zones:
            raise toml_files.invalid_file(
                path, f"{where}: no zone {zone}; add it to [zones]"
            )
