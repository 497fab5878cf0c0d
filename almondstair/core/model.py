"""The deployment configuration as typed data.

This is the document that operators edit and that the platform's service keeps.
`almondstair.settings` reads it from TOML and validates it against these types;
everything else receives them ready made.
"""

import enum
from typing import Annotated, NamedTuple

from annotated_types import Ge
from annotated_types import Gt
from annotated_types import Le

Positive = Annotated[int, Gt(0)]
NotNegative = Annotated[int, Ge(0)]
Fraction = Annotated[float, Ge(0), Le(1)]


class Priority(enum.StrEnum):
    """Order in which work is refused last to first."""

    INTERACTIVE = "interactive"
    COMMIT = "commit"
    UPLOAD = "upload"
    BATCH = "batch"


class PolicyName(enum.StrEnum):
    """Ways of turning a profile into weights over regions."""

    LOCAL = "local"
    SPREAD = "spread"
    ROUND_ROBIN = "round_robin"


class RequestClass(NamedTuple):
    """One kind of request of a service.

    Attributes:
      name: name in metrics and reports.
      methods: HTTP methods that the class covers.
      path: path below the service; a trailing `*` matches any rest.
      idempotent: whether a repeat does no harm.
      priority: who is refused last.
      deadline_ms: longest time to a whole answer.
      body_limit_bytes: largest request body.
    """

    name: str
    methods: tuple[str, ...]
    path: str
    idempotent: bool
    priority: Priority
    deadline_ms: Positive
    body_limit_bytes: Positive = 1 << 20


class Service(NamedTuple):
    """A service: its profile and its request classes, first match wins."""

    profile: str
    classes: tuple[RequestClass, ...]


class Upstream(NamedTuple):
    """One upstream instance.

    Attributes:
      services: names of the services that it runs.
      address: `ip:port` of its HTTP listener.
      availability_zone: where it runs.
      slots: requests that it runs at once.
      connections: connections that it accepts.
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
      cap_bytes_per_s: most bytes per second, each way.
      latency_ms: one-way latency.
    """

    availability_zone: str
    region: str
    cap_bytes_per_s: Positive
    latency_ms: Annotated[float, Ge(0)] = 0.0


class Profile(NamedTuple):
    """A named steering profile.

    Attributes:
      policy: how weights over regions come about.
      headroom_fraction: part of a region's slots kept free of spilled work.
      latency_bound_ms: farthest region, one way, that takes work.
      ramp_fraction_per_s: most that a region's weight grows in a second.
      retry_fraction: retries allowed as a fraction of first tries.
    """

    policy: PolicyName
    headroom_fraction: Fraction = 0.1
    latency_bound_ms: Annotated[float, Gt(0)] = 100.0
    ramp_fraction_per_s: Annotated[float, Gt(0), Le(1)] = 0.1
    retry_fraction: Fraction = 0.1


class Marks(NamedTuple):
    """What operators said of single VMs.

    Attributes:
      leaving: names of upstreams or entries that take no new work.
    """

    leaving: tuple[str, ...] = ()


class Configuration(NamedTuple):
    """The whole document."""

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
