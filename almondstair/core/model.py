"""The deployment configuration as typed data.

This is the document that operators edit and that the platform's service stores.
`almondstair.settings` parses it from TOML and validates it against these types;
all other code receives validated values.
"""

import enum
from typing import Annotated, NamedTuple

from annotated_types import Ge
from annotated_types import Gt
from annotated_types import Le

Positive = Annotated[int, Gt(0)]
NonNegative = Annotated[int, Ge(0)]
Fraction = Annotated[float, Ge(0), Le(1)]


class Priority(enum.StrEnum):
    """Priority of a request; the last member is refused first."""

    INTERACTIVE = "interactive"
    COMMIT = "commit"
    UPLOAD = "upload"
    BATCH = "batch"


class PolicyName(enum.StrEnum):
    """Policies that compute the weights of regions."""

    LOCAL = "local"
    SPREAD = "spread"
    ROUND_ROBIN = "round_robin"


class RequestClass(NamedTuple):
    """One kind of request of a service.

    Attributes:
      name: name in metrics and reports.
      methods: HTTP methods that the class covers.
      path: path below the service; a trailing `*` matches any suffix.
      idempotent: whether a request may safely be repeated.
      priority: priority of the requests; the highest is refused last.
      deadline_ms: maximum time to a complete answer.
      body_limit_bytes: maximum size of a request body.
    """

    name: str
    methods: tuple[str, ...]
    path: str
    idempotent: bool
    priority: Priority
    deadline_ms: Positive
    body_limit_bytes: Positive = 1 << 20


class Service(NamedTuple):
    """A service: its profile and its request classes; the first match wins."""

    profile: str
    classes: tuple[RequestClass, ...]


class Upstream(NamedTuple):
    """One upstream instance.

    Attributes:
      services: names of the services that it runs.
      address: `ip:port` of its HTTP listener.
      availability_zone: availability zone that it runs in.
      slots: maximum number of concurrent requests.
      connections: maximum number of connections.
      load_path: path of its load report as JSON; empty for none.
    """

    services: tuple[str, ...]
    address: str
    availability_zone: str
    slots: Positive
    connections: Positive
    load_path: str = ""


class Region(NamedTuple):
    """A region and its availability zones."""

    availability_zones: tuple[str, ...]


class Link(NamedTuple):
    """The link from an edge availability zone to a region.

    Attributes:
      availability_zone: the edge end.
      region: the data centre end.
      cap_bytes_per_s: maximum bytes per second in each direction.
      latency_ms: one-way latency.
    """

    availability_zone: str
    region: str
    cap_bytes_per_s: Positive
    latency_ms: Annotated[float, Ge(0)] = 0.0


class Profile(NamedTuple):
    """A named steering profile.

    Attributes:
      policy: policy that computes the weights of regions.
      headroom_fraction: fraction of a region's slots kept free of spilled work.
      latency_bound_ms: maximum one-way latency to a region that takes work.
      ramp_fraction_per_s: maximum growth of a region's weight per second.
      retry_fraction: allowed retries as a fraction of first attempts.
    """

    policy: PolicyName
    headroom_fraction: Fraction = 0.1
    latency_bound_ms: Annotated[float, Gt(0)] = 100.0
    ramp_fraction_per_s: Annotated[float, Gt(0), Le(1)] = 0.1
    retry_fraction: Fraction = 0.1


class Marks(NamedTuple):
    """Marks that operators set on single VMs.

    Attributes:
      leaving: names of upstreams or entries that take no new work.
    """

    leaving: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """The whole deployment configuration."""

    regions: dict[str, Region]
    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    profiles: dict[str, Profile]
    links: tuple[Link, ...] = ()
    marks: Marks = Marks()

    def region_of(self, *, availability_zone: str) -> str | None:
        """Returns the region of an availability zone, None if unknown."""
        for name, region in self.regions.items():
            if availability_zone in region.availability_zones:
                return name
        return None

    def link(self, *, availability_zone: str, region: str) -> Link | None:
        """Returns the link between an availability zone and a region."""
        for link in self.links:
            if link.availability_zone != availability_zone:
                continue
            if link.region == region:
                return link
        return None
