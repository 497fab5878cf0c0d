"""Which upstream takes a request, and when none should."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from almondstair.core.cold_starts import ColdStarts
from almondstair.core.routing import Route
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_state import UpstreamState


class Choice(NamedTuple):
    """Why an upstream was chosen.

    Attributes:
      upstream: the upstream.
      place: its place in the order of the request's key, from 0.
      busy: how many requests it was believed to hold.
      load_age_s: age of the last word on its load, in seconds.
    """

    upstream: UpstreamState
    place: int
    busy: float
    load_age_s: float


class Wanted(NamedTuple):
    """What a choice has to fit.

    Attributes:
      route: the request's route.
      service: rule of the service that takes it.
      tried: ids of upstreams that had it already.
      entry_names: live entries, among which bounds are shared.
      now_s: the entry's clock.
    """

    route: Route
    service: ServiceRule | None
    tried: Collection[str]
    entry_names: frozenset[str]
    now_s: float


# How far beyond its slots an upstream is filled, as a part of its slots, for
# requests of each rank; the last one holds for all lower ranks. Upstreams
# queue what exceeds their slots, first come first served, so room for urgent
# work is kept by filling them less with other work.
QUEUE_SHARES = (1.5, 1.5, 1.0, 0.7)


def choose(
    *,
    order: Iterable[UpstreamState],
    wanted: Wanted,
    cold_starts: ColdStarts,
) -> Choice | None:
    """Returns the upstream that takes a request, None when none has room.

    The first one in the key's order with a free slot takes it. Where all are
    busy, the one with the shortest queue, if its queue is short enough for
    the request's rank.
    """
    best: Choice | None = None
    best_fill = _queue_limit(wanted.route.priority)
    for place, upstream in enumerate(order):
        if not _may_take(upstream, wanted, cold_starts):
            continue
        busy = upstream.busy(now_s=wanted.now_s)
        fill = busy / upstream.record.slots
        found = Choice(
            upstream=upstream,
            place=place,
            busy=busy,
            load_age_s=upstream.load_age_s(now_s=wanted.now_s),
        )
        if busy + 0.5 < upstream.record.slots:
            return found
        if fill < best_fill:
            best = found
            best_fill = fill
    return best


def _queue_limit(priority: int) -> float:
    rank = min(max(priority, 0), len(QUEUE_SHARES) - 1)
    return 1.0 + QUEUE_SHARES[rank]


def _may_take(
    upstream: UpstreamState, wanted: Wanted, cold_starts: ColdStarts
) -> bool:
    if upstream.record.upstream_id in wanted.tried:
        return False
    if upstream.paused(now_s=wanted.now_s):
        return False
    regions = wanted.route.allowed_regions
    if regions and upstream.region not in regions:
        return False
    if wanted.service is None or not upstream.cold(now_s=wanted.now_s):
        return True
    return cold_starts.may_send(
        upstream_id=upstream.record.upstream_id,
        rate_per_s=wanted.service.cold_rate_per_s,
        entry_names=wanted.entry_names,
        now_s=wanted.now_s,
    )
