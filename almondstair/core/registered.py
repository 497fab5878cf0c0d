"""What is registered of entries, and what changes of registrations tell."""

from typing import NamedTuple

from almondstair.core.upstream_state import UpstreamRecord

# What a core forwards: 1 ms of it a request (benchmarks/hops), at an assumed
# 20 kB each way, which was not measured.
MBPS_A_CORE = 300.0


class Entry(NamedTuple):
    """An entry of the fleet as it is registered.

    Attributes:
      name: name of its VM.
      callers: `ip:port` for callers.
      peers: `ip:port` for other entries.
      region: its region.
      availability_zone: its availability zone.
      cores: processors that it may use, 0 where it does not tell.
      link_mbps: what its link carries, 0 where it does not tell.
    """

    name: str
    callers: str
    peers: str
    region: str
    availability_zone: str
    cores: float = 0.0
    link_mbps: float = 0.0

    @property
    def carries_mbps(self) -> float:
        """Returns what its VM carries, by the scarcer of its means.

        Not in proportion to the others' means: those change with each entry
        that comes or goes.
        """
        return min(self.link_mbps, self.cores * MBPS_A_CORE)


class Taken(NamedTuple):
    """What a registration of an upstream has changed.

    Attributes:
      used: whether it is of the newest incarnation.
      changed: whether it changes what is sent.
      ended: the incarnation that a newer one took the place of, or empty.
    """

    used: bool
    changed: bool
    ended: str = ""


class Lapsed(NamedTuple):
    """Registrations whose grace is over."""

    upstreams: list[UpstreamRecord]
    entries: list[str]
