"""Registrations of entries, and results of registration changes."""

from typing import NamedTuple

from almondstair.core.upstream_state import UpstreamRecord

# Throughput of one core: a request takes 1 ms of it (benchmarks/hops), with an
# assumed 20 kB in each direction.
MBPS_PER_CORE = 300.0


class Entry(NamedTuple):
    """Holds an entry as it is registered.

    Attributes:
      name: name of its VM.
      callers: `ip:port` for callers.
      peers: `ip:port` for other entries.
      region: its region.
      availability_zone: its availability zone.
      cores: processors that it may use, 0 if unknown.
      link_mbps: bandwidth of its link in Mbit/s, 0 if unknown.
      relays: `ip:port` for requests of other entries, empty if it takes none.
    """

    name: str
    callers: str
    peers: str
    region: str
    availability_zone: str
    cores: float = 0.0
    link_mbps: float = 0.0
    relays: str = ""

    @property
    def throughput_mbps(self) -> float:
        """Returns the VM's throughput in Mbit/s, limited by cores or link.

        It is not relative to the other entries, since these join and leave.
        """
        return min(self.link_mbps, self.cores * MBPS_PER_CORE)


class RegistrationChange(NamedTuple):
    """Holds the effect of an upstream's registration.

    Attributes:
      is_current: whether it is of the newest incarnation.
      changed: whether it changes how requests are sent.
      replaced_incarnation: the incarnation that it replaced, or empty.
    """

    is_current: bool
    changed: bool
    replaced_incarnation: str = ""


class ExpiredRegistrations(NamedTuple):
    """Holds what the store lacks and whose grace period is over.

    Attributes:
      upstreams: last registrations of upstreams.
      entries: names of entries.
      evacuations: evacuated availability zones.
    """

    upstreams: list[UpstreamRecord]
    entries: list[str]
    evacuations: list[str]
