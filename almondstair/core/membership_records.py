"""What an entry learns of others, from heartbeats and from the platform."""

from typing import NamedTuple


class VmStatusReport(NamedTuple):
    """One answer of the platform's VM list.

    Attributes:
      listed: names of the VMs in the list.
      leaving: those of them that are marked as leaving.
      as_of_s: time of the listed state on the reader's monotonic clock:
        when the list was read less the age that it states.
    """

    listed: frozenset[str]
    leaving: frozenset[str]
    as_of_s: float


class ReceivedHeartbeat(NamedTuple):
    """State of an entry as its latest heartbeat reported it.

    Attributes:
      name: name of the entry.
      incarnation: random number of its process; another one means a restart.
      sequence: number of the heartbeat within the incarnation.
      epoch: epoch of the entry table that it acts on.
      configuration_version: version that it has in force.
      leaving: whether it takes no new work.
      finished: whether it has released every home role for good.
      heard_s: when it was received, less any time spent on relays.
    """

    name: str
    incarnation: int
    sequence: int
    epoch: int
    configuration_version: int
    leaving: bool
    finished: bool
    heard_s: float


def incarnation_text(incarnation: int) -> str:
    """Returns an incarnation in the hexadecimal form of the entry table."""
    return f"{incarnation:016x}"
