"""Selects the upstream for a request, or none if all are overloaded."""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

from almondstair.core.cold_starts import ColdStarts
from almondstair.core.routing import Route
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import Expected
from almondstair.core.upstream_state import UpstreamState

# Cost in seconds of each position further down in a key's order. It only
# breaks ties, so that entries without any load reports choose alike.
POSITION_COST_S = 0.002
# Cost of running an object where it is not cached, as a factor on the
# additional run time: a minimum, and a part that grows with the utilisation of
# the service, because the longer run takes capacity from other requests.
UNKNOWN_COST = 1.0
UNKNOWN_COST_BY_USE = 2.0
# Utilisation of a service above which an object runs only where it is cached or
# at its home, the first eligible upstream in its order. Uncached runs elsewhere
# take so long that upstreams would no longer get to requests for the objects
# that they have cached.
CROWDED_USE = 0.8
# Part of an upstream's slots that stays free for the next higher priority.
RESERVE_SHARE = 0.25
# A request that has to wait is sent only if its expected time to the response
# is at most these parts of its latency target and of the time until it is given
# up. A longer queue would make every response late, so the request is refused.
WAIT_AIM_SHARE = 1.6
WAIT_TIME_SHARE = 0.9


class Choice(NamedTuple):
    """Holds the selected upstream and the estimates behind the selection.

    Attributes:
      upstream: the upstream.
      place: its position in the order of the request's key, from 0.
      warm: whether it is known to have the request's object cached; None if it
        is only the object's home, to which every entry sends it first.
      busy: estimated number of requests that it holds.
      expected_s: expected time until the response, in seconds.
      run_s: expected run time of the request, in seconds.
      waits: whether the request is expected to wait for a slot.
      wait_s: expected wait for a slot, in seconds.
      way_s: round trip to the upstream, in seconds.
    """

    upstream: UpstreamState
    place: int
    warm: bool | None
    busy: float
    expected_s: float
    run_s: float
    waits: bool
    wait_s: float
    way_s: float


class Wanted(NamedTuple):
    """Holds the conditions under which an upstream is selected.

    Attributes:
      route: the request's route.
      service: rule of the service that handles it.
      tried: ids of upstreams to which it was already sent.
      warm_places: hashes of the eligible upstreams that are assumed to have
        its object cached.
      expected: its expected run time.
      service_s: mean run time of its service, in seconds.
      use: utilisation of the service's slots, 0 to 1.
      aim_left_s: time left within its latency target, in seconds.
      left_s: time left before it is given up, in seconds.
      round_trips_s: round trip to each region, in seconds.
      entry_names: live entries, among which limits are shared.
      joined: whether the other entries count this one among them.
      peers_heard: whether every entry reports its load.
      barred_regions: regions that are excluded for now.
      most_queue_s: longest wait in an upstream's queue, in seconds.
      now_s: the entry's clock, in seconds.
    """

    route: Route
    service: ServiceRule | None
    tried: Collection[str]
    warm_places: frozenset[int]
    expected: Expected
    service_s: float
    use: float
    aim_left_s: float
    left_s: float
    round_trips_s: Mapping[str, float]
    entry_names: frozenset[str]
    joined: bool
    peers_heard: bool
    barred_regions: frozenset[str]
    now_s: float
    most_queue_s: float = math.inf


def choose(
    *,
    order: Iterable[UpstreamState],
    wanted: Wanted,
    cold_starts: ColdStarts,
) -> Choice | None:
    """Returns the upstream for a request, or None if none has capacity.

    It is the one with the lowest expected cost: round trip, wait for a slot,
    and run time, which is shorter where the object is cached. A request that
    would wait past its latency target is not sent at all.
    """
    best: Choice | None = None
    best_cost_s = 0.0
    home = ""
    uncached_cost_s = _uncached_cost_s(wanted)
    for place, upstream in enumerate(order):
        incarnation = upstream.incarnation
        known = upstream.name_hash in wanted.warm_places
        if best is not None:
            # Most of a few hundred upstreams cannot cost less than the best
            # one so far, whatever their load; skipping them makes a decision
            # among hundreds several times cheaper.
            min_cost_s = POSITION_COST_S * place + wanted.expected.known_s
            if min_cost_s >= best_cost_s:
                break
            if not known and min_cost_s + uncached_cost_s >= best_cost_s:
                continue
        if not _is_eligible(upstream, wanted, cold_starts):
            continue
        home = home or incarnation
        at_home = incarnation == home
        if wanted.use > CROWDED_USE and not at_home and not known:
            continue
        candidate, cost_s = _estimate(upstream, place, known, at_home, wanted)
        if not known and not at_home:
            cost_s += uncached_cost_s
        if best is None or cost_s < best_cost_s:
            best = candidate
            best_cost_s = cost_s
    if best is None or not _is_timely(best, wanted):
        return None
    return best


def _estimate(
    upstream: UpstreamState,
    place: int,
    known: bool,
    at_home: bool,
    wanted: Wanted,
) -> tuple[Choice, float]:
    now_s = wanted.now_s
    warm = known or at_home
    expected = wanted.expected
    run_s = expected.known_s if warm else expected.new_s
    busy = upstream.busy(now_s=now_s, peers_heard=wanted.peers_heard)
    slots = upstream.record.slots
    reserve = RESERVE_SHARE * slots * min(1, max(0, wanted.route.priority - 1))
    queued = max(0.0, busy + 1 + reserve - slots)
    wait_s = queued / slots * wanted.service_s
    way_s = wanted.round_trips_s.get(upstream.region, 0.0)
    risk_s = upstream.failure_share(now_s=now_s) * wanted.route.aim_s
    choice = Choice(
        upstream=upstream,
        place=place,
        warm=None if warm and not known else known,
        busy=busy,
        expected_s=way_s + wait_s + run_s,
        run_s=run_s,
        waits=busy + 1 > slots,
        wait_s=wait_s,
        way_s=way_s,
    )
    return choice, choice.expected_s + risk_s + POSITION_COST_S * place


def _uncached_cost_s(wanted: Wanted) -> float:
    """Returns the cost to other requests of a run without the cached object."""
    factor = UNKNOWN_COST + UNKNOWN_COST_BY_USE * wanted.use
    expected = wanted.expected
    return factor * (expected.new_s - expected.known_s)


def _is_timely(choice: Choice, wanted: Wanted) -> bool:
    if not choice.waits:
        return True
    if choice.wait_s > wanted.most_queue_s:
        return False
    if choice.expected_s > WAIT_TIME_SHARE * wanted.left_s:
        return False
    return choice.expected_s <= WAIT_AIM_SHARE * wanted.aim_left_s


def _is_eligible(
    upstream: UpstreamState, wanted: Wanted, cold_starts: ColdStarts
) -> bool:
    if upstream.record.upstream_id in wanted.tried:
        return False
    if upstream.paused():
        return False
    if upstream.region in wanted.barred_regions:
        return False
    regions = wanted.route.allowed_regions
    if regions and upstream.region not in regions:
        return False
    if wanted.service is None or not upstream.cold(now_s=wanted.now_s):
        return True
    return wanted.joined and cold_starts.may_send(
        incarnation=upstream.incarnation,
        rate_per_s=wanted.service.cold_rate_per_s,
        entry_names=wanted.entry_names,
        now_s=wanted.now_s,
    )
