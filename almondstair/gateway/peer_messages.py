"""Messages that gateways send each other as datagrams."""

import msgspec

from almondstair.core.known_places import Place
from almondstair.core.load_pace import Loads
from almondstair.core.placement_plan import Plan


class Own(msgspec.Struct, array_like=True, tag=0):
    """One entry's requests, to the reporter of its zone."""

    entry: str
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    places: list[Place] = []


class ZoneSum(msgspec.Struct, array_like=True, tag=1):
    """A zone's requests, from its reporter to those of other zones."""

    entry: str
    zone: str
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    places: list[Place] = []


class Total(msgspec.Struct, array_like=True, tag=2):
    """Everybody's requests, from a reporter to its zone.

    Attributes:
      entry: the reporter.
      complete: whether every zone's sum is in it.
      loads: requests by the hash of the upstream's incarnation.
      replaced: upstreams whose addresses have other incarnations now.
      strikes: requests that may crash upstreams.
      places: objects and upstreams that know them, found lately.
    """

    entry: str
    complete: bool
    loads: Loads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    places: list[Place] = []


class PlanTold(msgspec.Struct, array_like=True, tag=3):
    """The plan in force, from its maker to other reporters, and to a zone.

    Attributes:
      entry: who tells it.
      zone: the zone whose reporter made it.
      plan: how keys are dealt out to upstreams.
    """

    entry: str
    zone: str
    plan: Plan


class PlacesTold(msgspec.Struct, array_like=True, tag=4):
    """Objects and upstreams that know them, to an entry that is new."""

    entry: str
    places: list[Place]


class LossTold(msgspec.Struct, array_like=True, tag=5):
    """A request that was lost at an upstream, told before its caller knows.

    Attributes:
      entry: who lost it.
      request: its fingerprint.
      upstream: hash of the upstream's incarnation.
      ran_ms: how long it had run there, in milliseconds.
    """

    entry: str
    request: int
    upstream: int
    ran_ms: int


class GoneTold(msgspec.Struct, array_like=True, tag=6):
    """An upstream that is gone, and the requests that were lost there.

    Attributes:
      entry: who found it gone.
      upstream: hash of its incarnation.
      requests: fingerprints.
    """

    entry: str
    upstream: int
    requests: list[int]


Message = Own | ZoneSum | Total | PlanTold | PlacesTold | LossTold | GoneTold

_DECODER = msgspec.msgpack.Decoder(Message)


def decode(data: bytes) -> Message:
    """Reads a datagram.

    Raises:
      msgspec.MsgspecError: it is no message of this version.
    """
    return _DECODER.decode(data)
