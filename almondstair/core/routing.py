"""Routes of the operator's configuration and their selection."""

import enum
from typing import NamedTuple

from almondstair.core.organisations import Organisation

# Cached combinations of routes and organisations; when there are more, all are
# dropped.
MAX_CACHED_COMBINATIONS = 16_384


class RouteKind(enum.StrEnum):
    """States whether requests of a route may run more than once.

    Attributes:
      SAFE: idempotent; may run more than once.
      UNSAFE: runs at most once for each attempt of a caller.
      UPLOAD: like `UNSAFE`, with large bodies.
      DOWNLOAD: like `SAFE`, with large responses.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"

    @property
    def idempotent(self) -> bool:
        """Returns whether a request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


class Destination(NamedTuple):
    """Holds a service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Holds one route of the configuration.

    Attributes:
      name: its name in the configuration.
      hostname: value of `Host` that selects it.
      prefix: start of the path; begins and ends with a slash.
      kind: whether its requests may run more than once.
      target_latency_s: time within which a response earns its full credit, in
        seconds.
      timeout_s: longest time until a request is given up, in seconds.
      attempts: most upstreams to which one request is sent.
      priority: its priority; 0 is the highest.
      key_affinity: whether requests for one key benefit from the same upstream.
      destinations: services for its requests; one or a weighted split.
      allowed_regions: regions in which its requests may run; empty for all.
      public: whether callers need no key.
    """

    name: str
    hostname: str
    prefix: str
    kind: RouteKind
    target_latency_s: float
    timeout_s: float
    attempts: int
    priority: int
    key_affinity: bool
    destinations: tuple[Destination, ...]
    allowed_regions: tuple[str, ...]
    public: bool = False


class ServiceRule(NamedTuple):
    """Holds the operator's settings of a service.

    Attributes:
      name: the service's name.
      health_path: path of its upstreams' health page.
      connection_limit: connections that one upstream accepts in total.
      cold_s: time for which an upstream is cold after its start, in seconds.
      cold_rate_per_s: requests per second that a cold upstream tolerates.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_s: float
    cold_rate_per_s: float


class CallerLimits(NamedTuple):
    """Holds the limits for callers, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingConfiguration(NamedTuple):
    """Holds one version of the operator's configuration."""

    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    services: dict[str, ServiceRule]
    organisations: tuple[Organisation, ...] = ()


class RoutingTable:
    """Finds a request's route in time independent of the number of routes."""

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        """Indexes the routes by hostname and prefix."""
        self.configuration = configuration
        self.version = configuration.version
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.hostname.lower(), {})
            prefixes[route.prefix] = route
        self._organisations: dict[bytes, Organisation] = {}
        self.organisations_by_hash: dict[int, Organisation] = {}
        for organisation in configuration.organisations:
            self.organisations_by_hash[organisation.name_hash] = organisation
            for key in organisation.keys:
                self._organisations[key] = organisation
        self._combined: dict[tuple[str, str, str], Route | None] = {}
        self._shortest_target_s: dict[str, float] = {}
        for route in configuration.routes:
            for destination in route.destinations:
                before_s = self._shortest_target_s.get(
                    destination.service, route.target_latency_s
                )
                self._shortest_target_s[destination.service] = min(
                    before_s, route.target_latency_s
                )

    def requires_key(self, route: Route) -> bool:
        """Returns whether requests of a route need an organisation's key."""
        return bool(self.configuration.organisations) and not route.public

    def organisation(self, key: bytes) -> Organisation | None:
        """Returns the organisation that holds a key, if any."""
        return self._organisations.get(key)

    def route_for(
        self, route: Route, *, organisation: Organisation
    ) -> Route | None:
        """Returns a route as it applies to an organisation's requests.

        The organisation's priority replaces the route's, and requests may run
        only in the regions that both allow.

        Returns:
          The combined route; None if they have no region in common.
        """
        name = (route.hostname, route.prefix, organisation.name)
        if name in self._combined:
            return self._combined[name]
        if len(self._combined) >= MAX_CACHED_COMBINATIONS:
            self._combined.clear()
        combined = _combine(route, organisation)
        self._combined[name] = combined
        return combined

    def shortest_target_s(self, service: str) -> float:
        """Returns the shortest latency target of the routes to a service.

        Returns:
          The target in seconds; 0 if no route leads to the service.
        """
        return self._shortest_target_s.get(service, 0.0)

    def match(self, *, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, if any.

        Args:
          host: value of the request's `Host`, with or without a port.
          path: path of the request, without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        prefixes = self._hosts.get(name.lower())
        if prefixes is None:
            return None
        # Every prefix ends with a slash, so only the slashes of the path can
        # end one: a handful of lookups, however many routes there are.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _combine(route: Route, organisation: Organisation) -> Route | None:
    regions = route.allowed_regions or organisation.allowed_regions
    if route.allowed_regions and organisation.allowed_regions:
        common = set(route.allowed_regions) & set(organisation.allowed_regions)
        if not common:
            return None
        regions = tuple(sorted(common))
    priority = organisation.priority
    if priority is None:
        priority = route.priority
    return route._replace(allowed_regions=regions, priority=priority)


class WeightedRoundRobin:
    """Splits the requests of a route in exact proportion to the weights.

    A random selection would deviate by several percent over some hundred
    requests. Instead, each request adds to the credit of every destination its
    weight, goes to the destination with the most credit, and subtracts the sum
    of the weights from the credit of that one.
    """

    def __init__(self) -> None:
        """Starts without credit."""
        self._credit: dict[str, dict[str, float]] = {}

    def next_service(self, *, route: Route) -> str:
        """Returns the service that takes the next request of `route`."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        credit = self._credit.get(route.name)
        names = {destination.service for destination in route.destinations}
        if credit is None or credit.keys() != names:
            credit = dict.fromkeys(names, 0.0)
            self._credit[route.name] = credit
        total = 0.0
        best = route.destinations[0].service
        for destination in route.destinations:
            total += destination.weight
            credit[destination.service] += destination.weight
            if credit[destination.service] > credit[best]:
                best = destination.service
        credit[best] -= total
        return best
