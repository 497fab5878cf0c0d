"""Messages between gateways, sent as datagrams."""

import msgspec

from almondstair.core.demand_reports import NO_DEMANDS
from almondstair.core.demand_reports import ReportedDemands
from almondstair.core.known_places import CachedLocation
from almondstair.core.limit_reports import NO_LIMITS
from almondstair.core.limit_reports import ReportedLimits
from almondstair.core.placement_plan import Plan
from almondstair.core.report_schedule import UpstreamLoads
from almondstair.core.shared_counts import NO_COUNTS
from almondstair.core.shared_counts import ReportedCounts
from almondstair.core.statement_reports import NO_STATEMENTS
from almondstair.core.statement_reports import ReportedStatements
from almondstair.core.upstream_limits import LimitStatement
from almondstair.decoding import decode as decode_foreign
from almondstair.errors import ErrorKind


class OwnLoads(msgspec.Struct, array_like=True, tag=0):
    """One entry's loads, sent to its zone's reporter; see `TotalLoads`."""

    entry: str
    loads: UpstreamLoads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    cached_locations: list[CachedLocation] = []
    counts: ReportedCounts = NO_COUNTS
    limits: ReportedLimits = NO_LIMITS
    cut_off: list[str] = []
    statements: ReportedStatements = NO_STATEMENTS
    demands: ReportedDemands = NO_DEMANDS


class ZoneLoadSum(msgspec.Struct, array_like=True, tag=1):
    """The sum of a zone's loads, sent to other reporters; see `TotalLoads`."""

    entry: str
    zone: str
    loads: UpstreamLoads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    cached_locations: list[CachedLocation] = []
    counts: ReportedCounts = NO_COUNTS
    entries: int = 1
    limits: ReportedLimits = NO_LIMITS
    cut_off: list[str] = []
    statements: ReportedStatements = NO_STATEMENTS
    demands: ReportedDemands = NO_DEMANDS


class TotalLoads(msgspec.Struct, array_like=True, tag=2):
    """The total of all zones' loads, sent by a reporter to its zone.

    Attributes:
      entry: the entry that sends it.
      complete: whether it includes the sum of every zone.
      loads: in-flight requests by the hash of the upstream's incarnation.
      replaced: hashes of upstreams that were replaced at their addresses.
      strikes: pairs of a request's fingerprint and the hash of an upstream
        that the request may have crashed.
      cached_locations: recently found cached objects and their upstreams.
      counts: requests of organisations near their quotas, and of this region
        by the region in which they run.
      entries: number of entries whose requests are counted.
      limits: limits of upstreams, and requests for those that have one.
      cut_off: names of the entries that reach no upstream.
      statements: what upstreams said of themselves in responses.
      demands: requests of organisations for services that are short of slots;
        empty in most messages.
    """

    entry: str
    complete: bool
    loads: UpstreamLoads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    cached_locations: list[CachedLocation] = []
    counts: ReportedCounts = NO_COUNTS
    entries: int = 1
    limits: ReportedLimits = NO_LIMITS
    cut_off: list[str] = []
    statements: ReportedStatements = NO_STATEMENTS
    demands: ReportedDemands = NO_DEMANDS


class PlanUpdate(msgspec.Struct, array_like=True, tag=3):
    """The plan in force, sent to other reporters and by them to their zones.

    Attributes:
      entry: the entry that sends it.
      zone: the zone whose reporter made it.
      plan: the assignment of keys to upstreams.
    """

    entry: str
    zone: str
    plan: Plan


class NewEntryUpdate(msgspec.Struct, array_like=True, tag=4):
    """What a new entry lacks: cached objects, and limits of upstreams."""

    entry: str
    cached_locations: list[CachedLocation]
    limits: list[LimitStatement] = []


class LostRequest(msgspec.Struct, array_like=True, tag=5):
    """A request lost at an upstream, reported before its caller is told.

    Attributes:
      entry: the entry that lost it.
      request: its fingerprint.
      upstream: hash of the upstream's incarnation.
      ran_ms: how long it had run there, in milliseconds.
    """

    entry: str
    request: int
    upstream: int
    ran_ms: int


class UpstreamGone(msgspec.Struct, array_like=True, tag=6):
    """A gone upstream and the requests that were lost there.

    Attributes:
      entry: the entry that found it gone.
      upstream: hash of its incarnation.
      requests: fingerprints of the lost requests.
    """

    entry: str
    upstream: int
    requests: list[int]


Message = (
    OwnLoads
    | ZoneLoadSum
    | TotalLoads
    | PlanUpdate
    | NewEntryUpdate
    | LostRequest
    | UpstreamGone
)

_DECODER = msgspec.msgpack.Decoder(Message)


def decode(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
      AlmondstairError: `bad_request`, if it is no message of this version.
    """
    return decode_foreign(_DECODER.decode, data, kind=ErrorKind.BAD_REQUEST)
