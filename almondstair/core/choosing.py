"""Which upstream takes a request, and when none should."""

from collections.abc import Collection, Iterable, Mapping
import math
from typing import NamedTuple

from almondstair.core.cold_starts import ColdStarts
from almondstair.core.routing import Route
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import Expected
from almondstair.core.upstream_state import UpstreamState

# What a place further down in a key's order costs, in seconds. It decides
# among equals only, so that entries that know nothing yet agree.
PLACE_COST_S = 0.002
# What it costs to run an object where it is not known, as a factor on the
# longer run: at least, and more the fuller the service is, because the longer
# run takes capacity from other requests.
UNKNOWN_COST = 1.0
UNKNOWN_COST_BY_USE = 2.0
# Use of a service above which an object is run where it is known or at its
# home, the first upstream in its order that takes it, and nowhere else. What
# would run it as new elsewhere keeps its upstreams so busy with long runs that
# none of them gets to the known ones.
CROWDED_USE = 0.8
# Part of an upstream's slots that stays free for the next more urgent rank.
RESERVE_SHARE = 0.25
# Until when, as a part of its aim, a request that has to wait must be expected
# to be answered, and how much of its time that may be. A longer queue serves
# everybody late and is cut by refusing at once.
WAIT_AIM_SHARE = 1.6
TIME_USED_SHARE = 0.9


class Choice(NamedTuple):
    """Why an upstream was chosen.

    Attributes:
      upstream: the upstream.
      place: its place in the order of the request's key, from 0.
      warm: whether it is known to know the request's object; None where it is
        merely the place where every entry sends the object first.
      busy: how many requests it was believed to hold.
      expected_s: when an answer is expected, in seconds from now.
      run_s: how long the request is expected to run, in seconds.
      waits: whether it is expected to wait for a slot.
      wait_s: how long it is expected to wait, in seconds.
      way_s: the way there and back, in seconds.
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
    """What a choice has to fit.

    Attributes:
      route: the request's route.
      service: rule of the service that takes it.
      tried: ids of upstreams that had it already.
      warm_places: upstreams that are taken to know its object and may take new
        work, by their hash.
      expected: how long it is expected to run.
      service_s: mean run time of its service.
      use: part of the service's slots that is in use, 0 to 1 or more.
      aim_left_s: time left within its aim.
      left_s: time left before it is given up.
      round_trips_s: round trip to each region, in seconds.
      entry_names: live entries, among which bounds are shared.
      joined: whether the others count this entry among them.
      peers_heard: whether every entry tells its load.
      barred_regions: regions that get none of the requests for now.
      most_queue_s: longest wait in an upstream's queue, in seconds.
      now_s: the entry's clock.
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
    """Returns the upstream that takes a request, None when none has room.

    The one with the least expected cost takes it: the way there, the wait for
    a slot, and the run, which is shorter where the object is known. A request
    that would wait past its aim is not sent at all.
    """
    best: Choice | None = None
    best_cost_s = 0.0
    home = ""
    unknown_cost_s = _unknown_cost_s(wanted)
    for place, upstream in enumerate(order):
        incarnation = upstream.incarnation
        known = upstream.name_hash in wanted.warm_places
        if best is not None:
            # Most of a few hundred upstreams cannot cost less than the best
            # one so far, whatever they hold; passing over them makes a
            # decision among hundreds several times cheaper.
            least_s = PLACE_COST_S * place + wanted.expected.known_s
            if least_s >= best_cost_s:
                break
            if not known and least_s + unknown_cost_s >= best_cost_s:
                continue
        if not _may_take(upstream, wanted, cold_starts):
            continue
        home = home or incarnation
        at_home = incarnation == home
        if wanted.use > CROWDED_USE and not at_home and not known:
            continue
        found, cost_s = _weigh(upstream, place, known, at_home, wanted)
        if not known and not at_home:
            cost_s += unknown_cost_s
        if best is None or cost_s < best_cost_s:
            best = found
            best_cost_s = cost_s
    if best is None or not _fits(best, wanted):
        return None
    return best


def _weigh(
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
    ahead = max(0.0, busy + 1 + reserve - slots)
    wait_s = ahead / slots * wanted.service_s
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
    return choice, choice.expected_s + risk_s + PLACE_COST_S * place


def _unknown_cost_s(wanted: Wanted) -> float:
    """Returns what it costs others that an object is run where it is new."""
    factor = UNKNOWN_COST + UNKNOWN_COST_BY_USE * wanted.use
    expected = wanted.expected
    return factor * (expected.new_s - expected.known_s)


def _fits(choice: Choice, wanted: Wanted) -> bool:
    if not choice.waits:
        return True
    if choice.wait_s > wanted.most_queue_s:
        return False
    if choice.expected_s > TIME_USED_SHARE * wanted.left_s:
        return False
    return choice.expected_s <= WAIT_AIM_SHARE * wanted.aim_left_s


def _may_take(
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
