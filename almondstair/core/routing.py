"""Routes of the operator's configuration and how a request finds its own."""

import enum
from typing import NamedTuple


class RouteKind(enum.StrEnum):
    """What may be repeated on a route.

    Attributes:
      SAFE: idempotent; may run more than once.
      UNSAFE: runs at most once for each try of a caller.
      UPLOAD: as unsafe, with large bodies.
      DOWNLOAD: as safe, with large answers.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"
    DOWNLOAD = "download"

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


class Destination(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Attributes:
      name: the operator's name for it.
      hostname: value of `Host` that selects it.
      prefix: start of the path; begins and ends with a slash.
      kind: what may be repeated.
      aim_s: time within which an answer is worth its full credit, in seconds.
      timeout_s: longest time that a request may be kept waiting, in seconds.
      attempts: greatest number of upstreams that one request is sent to.
      priority: rank; 0 is the most urgent.
      by_key: whether requests of one key profit from the same upstream.
      destinations: where its requests go; one or a weighted split.
      allowed_regions: regions in which it may run; empty for all.
    """

    name: str
    hostname: str
    prefix: str
    kind: RouteKind
    aim_s: float
    timeout_s: float
    attempts: int
    priority: int
    by_key: bool
    destinations: tuple[Destination, ...]
    allowed_regions: tuple[str, ...]


class ServiceRule(NamedTuple):
    """What the operator says of a service.

    Attributes:
      name: the service's name.
      health_path: path of its upstreams' health page.
      connection_limit: connections that one upstream accepts of all callers.
      cold_s: how long an upstream is cold after its start, in seconds.
      cold_rate_per_s: requests a second that a cold upstream tolerates.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_s: float
    cold_rate_per_s: float


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RoutingConfiguration(NamedTuple):
    """The operator's configuration at one version."""

    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    services: dict[str, ServiceRule]


class RoutingTable:
    """Finds the route of a request in time that does not grow with routes."""

    def __init__(self, *, configuration: RoutingConfiguration) -> None:
        """Indexes the routes by hostname and prefix."""
        self.configuration = configuration
        self.version = configuration.version
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.hostname.lower(), {})
            prefixes[route.prefix] = route
        self._shortest_aim_s: dict[str, float] = {}
        for route in configuration.routes:
            for part in route.destinations:
                before_s = self._shortest_aim_s.get(part.service, route.aim_s)
                self._shortest_aim_s[part.service] = min(before_s, route.aim_s)

    def shortest_aim_s(self, service: str) -> float:
        """Returns the shortest aim of the routes to a service, in seconds."""
        return self._shortest_aim_s.get(service, 0.0)

    def match(self, *, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, if any.

        Args:
          host: value of the request's `Host`, with or without a port.
          path: path of the request, without its query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        prefixes = self._hosts.get(name.lower())
        if prefixes is None:
            return None
        # Every prefix ends with a slash, so only the path's own slashes can
        # end one: a handful of look-ups however many routes there are.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedTurns:
    """Deals the requests of a split route out in exact proportion.

    Drawing by chance would leave a part several percent off its weight over
    some hundred requests. Each part gains credit by its weight with every
    request, and the part with the most credit takes it and pays for it.
    """

    def __init__(self) -> None:
        """Starts with no credit."""
        self._credit: dict[str, dict[str, float]] = {}

    def next_service(self, *, route: Route) -> str:
        """Returns the service that takes the next request of `route`."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        credit = self._credit.get(route.name)
        names = {part.service for part in route.destinations}
        if credit is None or credit.keys() != names:
            credit = dict.fromkeys(names, 0.0)
            self._credit[route.name] = credit
        total = 0.0
        best = route.destinations[0].service
        for part in route.destinations:
            total += part.weight
            credit[part.service] += part.weight
            if credit[part.service] > credit[best]:
                best = part.service
        credit[best] -= total
        return best
