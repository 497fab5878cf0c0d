"""Selects the upstream for a request, or none if all are overloaded."""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.routing import Route
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import ExpectedRunTimes
from almondstair.core.upstream_state import UpstreamState

# Cost in seconds of each position further down in a key's order. It only
# breaks ties, so that entries without any load reports choose alike.
POSITION_COST_S = 0.002
# Cost of running a request where its object is not cached, as a factor on the
# additional run time: a minimum, and a part that grows with the utilisation of
# the service, because the longer run takes capacity from other requests.
UNKNOWN_COST = 1.0
UNKNOWN_COST_BY_USE = 2.0
# Utilisation of a service above which a request runs only where its object is
# cached or at the object's home, the first eligible upstream in its order.
# Uncached runs elsewhere take so long that upstreams would no longer get to
# requests for the objects that they have cached.
CROWDED_USE = 0.8
# Part of an upstream's slots that stays free for the next higher priority.
RESERVE_SHARE = 0.25
# Load, in slots, that an upstream is taken to have at least if its free slots
# belong to other entries. Nothing is sent to it then.
CONTENDED_LOAD = 3.0
# Fraction of the entries that compete for the free slots of an upstream. The
# others have no request waiting that runs there, so their shares stay unused.
COMPETING_SHARE = 0.5
# A request that has to wait is sent only if its expected time to the response
# is at most these multiples of the time left within its latency target and of
# the time left before it is given up. A longer queue would make every response
# late, so the request is refused.
WAIT_AIM_SHARE = 1.6
WAIT_TIME_SHARE = 0.9


class Choice(NamedTuple):
    """Holds the selected upstream and the estimates behind the selection.

    Attributes:
      upstream: the upstream.
      position: its position in the order of the request's key, from 0.
      warm: whether it is known to have the request's object cached; None if it
        is only the object's home, to which every entry sends it first.
      load: estimated number of requests that it holds.
      expected_s: expected time until the response, in seconds.
      run_s: expected run time of the request, in seconds.
      waits: whether the request is expected to wait for a slot.
      wait_s: expected wait for a slot, in seconds.
      round_trip_s: round trip to the upstream, in seconds.
    """

    upstream: UpstreamState
    position: int
    warm: bool | None
    load: float
    expected_s: float
    run_s: float
    waits: bool
    wait_s: float
    round_trip_s: float


class SelectionCriteria(NamedTuple):
    """Holds the conditions under which an upstream is selected.

    Attributes:
      route: the request's route.
      service: rule of the service that handles it.
      tried: ids of upstreams to which it was already sent.
      cached_upstreams: hashes of the eligible upstreams that are assumed to
        have its object cached.
      run_times: its expected run times, with and without its object cached.
      service_run_s: mean run time of its service, in seconds.
      utilisation: utilisation of the service's slots, 0 to 1.
      target_left_s: time left within its latency target, in seconds.
      remaining_s: time left before it is given up, in seconds.
      round_trips_s: round trip to each region, in seconds.
      entry_names: entries among which limits are shared.
      joined: whether the other entries count this one among them.
      peer_loads_complete: whether every entry reports its load.
      excluded_regions: regions that are excluded for now.
      max_queue_s: longest wait in an upstream's queue, in seconds.
      avoids_returning: whether upstreams are excluded to which requests return
        after a rest.
      now_s: the entry's clock, in seconds.
      max_queue_runs: the same as `max_queue_s` in mean run times of its
        service, where an entry takes only its share of the free slots; else
        None.
      entry_seed: number of this entry that differs from those of others.
      may_be_late: whether it may join a queue that is too long for its latency
        target, as its caller has no further retry.
    """

    route: Route
    service: ServiceRule | None
    tried: Collection[str]
    cached_upstreams: frozenset[int]
    run_times: ExpectedRunTimes
    service_run_s: float
    utilisation: float
    target_left_s: float
    remaining_s: float
    round_trips_s: Mapping[str, float]
    entry_names: frozenset[str]
    joined: bool
    peer_loads_complete: bool
    excluded_regions: frozenset[str]
    now_s: float
    max_queue_s: float = math.inf
    avoids_returning: bool = False
    max_queue_runs: float | None = None
    entry_seed: int = 0
    may_be_late: bool = False


def select_upstream(
    *,
    order: Iterable[UpstreamState],
    criteria: SelectionCriteria,
    cold_start_limiter: ColdStartLimiter,
) -> Choice | None:
    """Returns the upstream for a request, or None if none has capacity.

    It is the one with the lowest expected cost: round trip, wait for a slot,
    and run time, which is shorter where the object is cached. A request that
    would have to wait too long for its latency target, or for the time left
    before it is given up, is not sent at all.
    """
    best: Choice | None = None
    best_cost_s = 0.0
    home = ""
    uncached_cost_s = _uncached_cost_s(criteria)
    for position, upstream in enumerate(order):
        incarnation = upstream.incarnation
        cached = upstream.name_hash in criteria.cached_upstreams
        if best is not None:
            # Most of a few hundred upstreams cannot cost less than the best
            # one so far, whatever their load; skipping them makes a decision
            # among hundreds several times cheaper.
            min_cost_s = (
                POSITION_COST_S * position + criteria.run_times.cached_s
            )
            if min_cost_s >= best_cost_s:
                break
            if not cached and min_cost_s + uncached_cost_s >= best_cost_s:
                continue
        if not _is_eligible(upstream, criteria, cold_start_limiter):
            continue
        home = home or incarnation
        at_home = incarnation == home
        if criteria.utilisation > CROWDED_USE and not at_home and not cached:
            continue
        candidate, cost_s = _estimate(
            upstream, position, cached, at_home, criteria
        )
        if not cached and not at_home:
            cost_s += uncached_cost_s
        if best is None or cost_s < best_cost_s:
            best = candidate
            best_cost_s = cost_s
    if best is None or not _is_timely(best, criteria):
        return None
    return best


def _estimate(
    upstream: UpstreamState,
    position: int,
    cached: bool,
    at_home: bool,
    criteria: SelectionCriteria,
) -> tuple[Choice, float]:
    now_s = criteria.now_s
    warm = cached or at_home
    expected = criteria.run_times
    run_s = expected.cached_s if warm else expected.uncached_s
    load = upstream.estimated_load(
        now_s=now_s, peer_loads_complete=criteria.peer_loads_complete
    )
    slots = upstream.record.slots
    if _is_contended(upstream, criteria):
        load = max(load, CONTENDED_LOAD * slots)
    reserve = (
        RESERVE_SHARE * slots * min(1, max(0, criteria.route.priority - 1))
    )
    queued = max(0.0, load + 1 + reserve - slots)
    wait_s = queued / slots * criteria.service_run_s
    round_trip_s = criteria.round_trips_s.get(upstream.region, 0.0)
    risk_s = (
        upstream.failure_share(now_s=now_s) * criteria.route.target_latency_s
    )
    choice = Choice(
        upstream=upstream,
        position=position,
        warm=None if warm and not cached else cached,
        load=load,
        expected_s=round_trip_s + wait_s + run_s,
        run_s=run_s,
        waits=load + 1 > slots,
        wait_s=wait_s,
        round_trip_s=round_trip_s,
    )
    return choice, choice.expected_s + risk_s + POSITION_COST_S * position


def _is_contended(upstream: UpstreamState, criteria: SelectionCriteria) -> bool:
    """Returns whether the free slots of an upstream belong to other entries."""
    runs = criteria.max_queue_runs
    if runs is None or criteria.utilisation <= CROWDED_USE:
        return False
    if not criteria.peer_loads_complete:
        return False
    return upstream.is_share_used(
        most_requests=(1 + runs) * upstream.record.slots,
        entries=COMPETING_SHARE * len(criteria.entry_names),
        seed=criteria.entry_seed,
    )


def _uncached_cost_s(criteria: SelectionCriteria) -> float:
    """Returns the cost to other requests of a run without the cached object."""
    factor = UNKNOWN_COST + UNKNOWN_COST_BY_USE * criteria.utilisation
    expected = criteria.run_times
    return factor * (expected.uncached_s - expected.cached_s)


def _is_timely(choice: Choice, criteria: SelectionCriteria) -> bool:
    if not choice.waits:
        return True
    if choice.wait_s > criteria.max_queue_s:
        return False
    if choice.expected_s > WAIT_TIME_SHARE * criteria.remaining_s:
        return False
    if criteria.may_be_late:
        return True
    return choice.expected_s <= WAIT_AIM_SHARE * criteria.target_left_s


def _rests(upstream: UpstreamState, criteria: SelectionCriteria) -> bool:
    """Returns whether a rest, or the return from it, keeps a request away."""
    if criteria.avoids_returning and upstream.rest.is_returning():
        return True
    return not upstream.rest.may_send(now_s=criteria.now_s)


def _is_eligible(
    upstream: UpstreamState,
    criteria: SelectionCriteria,
    cold_start_limiter: ColdStartLimiter,
) -> bool:
    if upstream.record.upstream_id in criteria.tried:
        return False
    if upstream.is_paused() or _rests(upstream, criteria):
        return False
    if upstream.region in criteria.excluded_regions:
        return False
    regions = criteria.route.allowed_regions
    if regions and upstream.region not in regions:
        return False
    if criteria.service is None or not upstream.is_cold(now_s=criteria.now_s):
        return True
    return criteria.joined and cold_start_limiter.may_send(
        incarnation=upstream.incarnation,
        rate_per_s=criteria.service.cold_rate_per_s,
        entry_names=criteria.entry_names,
        now_s=criteria.now_s,
    )
