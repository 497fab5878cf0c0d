"""What an entry hears of others, from them and from the platform."""

from typing import NamedTuple


class VmObservation(NamedTuple):
    """What one answer of the platform's VM list says.

    Attributes:
      listed: names of the VMs in the list.
      leaving: those of them that the list has as leaving.
      described_s: moment that the answer describes, on the reader's monotonic
        clock: when it was read less the age that the list states.
    """

    listed: frozenset[str]
    leaving: frozenset[str]
    described_s: float


class Heard(NamedTuple):
    """What an entry said of itself, as its latest heartbeat told it.

    Attributes:
      name: name of the entry.
      incarnation: random number of its process; another one means a restart.
      sequence: number of the heartbeat within the incarnation.
      epoch: epoch of the entry table that it acts on.
      configuration_version: version that it has in force.
      leaving: whether it takes no new work.
      finished: whether it has given up every duty for good.
      heard_s: when it was heard, less any time spent on relays.
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
    """Returns the incarnation of a process as the entry table has it."""
    return f"{incarnation:016x}"
