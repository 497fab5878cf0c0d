"""Steps for the routing decisions of the gateway, without sockets."""

import time

from behave import given
from behave import then
from behave import when

from almondstair.core import placement
from almondstair.core.choosing import SelectionCriteria
from almondstair.core.choosing import select_upstream
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.peer_loads import PeerLoads
from almondstair.core.quotas import FleetMembership
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import RoutingTable
from almondstair.core.routing import WeightedRoundRobin
from almondstair.core.run_times import ExpectedRunTimes
from almondstair.core.shared_retry_budget import SharedRetryBudget
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.upstream_state import incarnation_hash

_LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)


def _route(prefix, parts=(("s", 1),)):
    return Route(
        name=prefix,
        hostname="h",
        prefix=prefix,
        kind=RouteKind.SAFE,
        target_latency_s=0.4,
        timeout_s=1.0,
        attempts=2,
        priority=1,
        key_affinity=True,
        destinations=tuple(Destination(*part) for part in parts),
        allowed_regions=(),
    )


def _configuration(version, routes):
    return RoutingConfiguration(version, _LIMITS, tuple(routes), {})


def _upstream(name, region="r", slots=4):
    record = UpstreamRecord(name, "s", "a:1", region, "v", slots, False, 0.0)
    return UpstreamState(record=record, region=region, peer_loads=PeerLoads())


def _report_peer_loads(upstreams, count):
    """Makes other entries report requests at upstreams."""
    for upstream in upstreams:
        upstream._peer_loads.update({upstream.name_hash: count}, own={})


@when("{count:d} requests are dealt out over parts of 70, 20 and 10")
def step_deal(context, count):
    route = _route("/a/", (("x", 70), ("y", 20), ("z", 10)))
    round_robin = WeightedRoundRobin()
    context.sent_counts = {"x": 0, "y": 0, "z": 0}
    context.count = count
    for _ in range(count):
        context.sent_counts[round_robin.next_service(route=route)] += 1


@then("each part is within 1 request of its weight")
def step_dealt(context):
    for name, weight in (("x", 70), ("y", 20), ("z", 10)):
        expected = context.count * weight / 100
        assert abs(context.sent_counts[name] - expected) <= 1, (
            context.sent_counts
        )


def _measure_match_s(count):
    routes = [_route(f"/p{number}/") for number in range(count)]
    table = RoutingTable(configuration=_configuration(1, routes))
    best_s = 1.0
    for _ in range(5):
        began_s = time.perf_counter()
        for number in range(2000):
            table.match(host="h", path=f"/p{number % count}/x")
        best_s = min(best_s, time.perf_counter() - began_s)
    return best_s


@then(
    "a match among {many:d} routes takes at most {factor:d} times that "
    "among {few:d}"
)
def step_flat(context, many, factor, few):
    assert _measure_match_s(many) < factor * _measure_match_s(few)


@given('the routes "{first}", "{second}" and "{third}"')
def step_routes(context, first, second, third):
    routes = [_route(first), _route(second), _route(third)]
    context.routing = RoutingTable(configuration=_configuration(1, routes))


@then('the longest one decides for "/a/b/x", "/a/bc" and "/d/x"')
def step_longest(context):
    match = context.routing.match
    assert match(host="h:80", path="/a/b/x").prefix == "/a/b/"
    assert match(host="H", path="/a/bc").prefix == "/a/"
    assert match(host="h", path="/d/x") is None


@given("{count:d} upstreams in 3 regions and {keys:d} keys")
def step_upstreams(context, count, keys):
    context.upstreams = []
    for number in range(count):
        context.upstreams.append(_upstream(f"u{number}", f"r{number % 3}"))
    context.keys = [str(number) for number in range(keys)]
    context.first = _first_upstreams(context)


def _first_upstreams(context):
    demand = {"r0": 1, "r1": 1, "r2": 1}
    orders = placement.PlacementOrders(own_region="r0", demand=demand)
    firsts = {}
    for key in context.keys:
        order = orders.order(service="s", key=key, upstreams=context.upstreams)
        firsts[key] = order[0].record.upstream_id
    return firsts


@when("one upstream goes")
def step_goes(context):
    context.gone = context.upstreams.pop(3).record.upstream_id


@then("every key that had another first upstream keeps it")
def step_keep(context):
    moved = 0
    for key, first in _first_upstreams(context).items():
        if context.first[key] == context.gone:
            moved += 1
            continue
        assert first == context.first[key], key
    assert moved, "the removed upstream was first for no key"


@given("regions with 50, 40 and 10 slots and even callers")
def step_regions(context):
    context.capacity = {"big": 50.0, "middle": 40.0, "small": 10.0}
    context.demand = {"big": 1.0, "middle": 1.0, "small": 1.0}


def _kept_share(context, region):
    return placement.compute_region_shares(
        own_region=region, capacity=context.capacity, demand=context.demand
    )[region]


@then("the small region keeps between {low:g} and {high:g} of its keys")
def step_small(context, low, high):
    assert low <= _kept_share(context, "small") <= high, _kept_share(
        context, "small"
    )


@then("the region with 50 slots keeps all of its keys")
def step_big(context):
    assert _kept_share(context, "big") == 1.0


@then(
    "{entries:d} entries with {requests:d} requests each take at most the "
    "bound of {slack:d}"
)
def step_tries(context, entries, requests, slack):
    retries = 0
    for _ in range(entries):
        budget = SharedRetryBudget(ratio=0.2, slack=slack, window_s=10.0)
        for number in range(requests):
            budget.record_request(
                service="s",
                membership=FleetMembership(entries, joined_s=30.0),
                now_s=20.0 + number / 2,
            )
        while budget.try_acquire(
            service="s",
            membership=FleetMembership(entries, joined_s=30.0),
            now_s=30.0,
        ):
            retries += 1
    assert 0 < retries <= 0.2 * requests * entries + slack, retries


@then("{entries:d} entries send at most {most:d} a second to a cold upstream")
def step_cold_sum(context, entries, most):
    names = frozenset(f"e{number}" for number in range(entries))
    sent = 0
    for name in names:
        limiter = ColdStartLimiter(own_name=name, rate_factor=1.5, slack=5)
        while limiter.may_send(
            incarnation="u", rate_per_s=5.0, entry_names=names, now_s=1.0
        ):
            limiter.record_sent(incarnation="u", now_s=1.0)
            sent += 1
    assert 0 < sent <= most, sent


@when("versions 5, 3 and 8 arrive in this order")
def step_versions(context):
    fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    context.applied = []
    for version in (5, 3, 8):
        if fleet.apply_configuration(_configuration(version, [])):
            context.applied.append(version)


@then("versions 5 and 8 were put in force, and 3 was not")
def step_taken(context):
    assert context.applied == [5, 8], context.applied


def _select(upstreams, *, utilisation=0.0, cached=(), now_s=100.0):
    criteria = SelectionCriteria(
        route=_route("/a/"),
        service=None,
        tried=(),
        cached_upstreams=frozenset(map(incarnation_hash, cached)),
        run_times=ExpectedRunTimes(cached_s=0.1, uncached_s=0.4),
        service_run_s=0.2,
        utilisation=utilisation,
        target_left_s=0.4,
        remaining_s=1.0,
        round_trips_s={},
        entry_names=frozenset(("e",)),
        joined=True,
        excluded_regions=frozenset(),
        peer_loads_complete=True,
        now_s=now_s,
    )
    limiter = ColdStartLimiter(own_name="e", rate_factor=1.5, slack=5)
    found = select_upstream(
        order=upstreams, criteria=criteria, cold_start_limiter=limiter
    )
    return found.upstream.record.upstream_id if found else None


@given("a service whose upstreams have 90 of 100 slots in use")
def step_crowd(context):
    context.upstreams = [_upstream(f"u{number}") for number in range(4)]
    # The home and the upstream with the cached object have a queue; the
    # others are free.
    _report_peer_loads(context.upstreams[:2], 4)


@then("a new object is sent to its home only")
def step_home(context):
    assert _select(context.upstreams, utilisation=0.9) == "u0"
    assert _select(context.upstreams, utilisation=0.1) in ("u0", "u2")
    _report_peer_loads(context.upstreams[:1], 40)
    assert _select(context.upstreams, utilisation=0.9) is None


@then("a known object is sent where it is known")
def step_known(context):
    assert _select(context.upstreams, utilisation=0.9, cached=("u1",)) == "u1"


@given("a service with 2 upstreams of 3 slots each")
def step_two_of_three(context):
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    for name in ("u0", "u1"):
        record = UpstreamRecord(name, "s", "a:1", "z", "v", 3, False, 0.0)
        context.fleet.apply_upstream(record, now_s=0.0)


@when("one of them drains and is removed, and an older word of it comes")
def step_late_word(context):
    ready = context.fleet.eligible_upstreams("s")[0].record
    context.fleet.apply_upstream(ready._replace(draining=True), now_s=1.0)
    context.fleet.drop_upstream(ready.upstream_id, now_s=2.0)
    context.fleet.apply_upstream(ready, now_s=3.0)


@when("one of them is found replaced {by}, and a listing still has it")
def step_replaced(context, by):
    listed = context.fleet.eligible_upstreams("s")[0].record
    if by == "here":
        context.fleet.record_misdirected(listed, now_s=1.0)
    else:
        context.fleet.record_replaced(incarnation_hash(listed.incarnation))
    context.fleet.apply_upstream(listed, now_s=2.0)


@then("only the other one gets new work")
def step_only_other(context):
    names = [
        state.record.upstream_id
        for state in context.fleet.eligible_upstreams("s")
    ]
    assert names == ["u1"], names


@when("one of them holds {count:d} requests and the other none")
def step_holds(context, count):
    name = context.fleet.eligible_upstreams("s")[0].name_hash
    context.fleet.peer_loads.update({name: count}, own={})


@then("half of the service's slots are in use")
def step_half_used(context):
    assert context.fleet.utilisation("s", now_s=1.0) == 0.5


@given(
    "an entry that sent {share:g} of its requests to another region for "
    "{span_s:d} s"
)
def step_sent_elsewhere(context, share, span_s):
    context.shares = RegionShareLimiter(own_region="r", max_change=0.15)
    context.now_s = 100.0
    for number in range(100 * span_s):
        context.now_s += 0.01
        region = "other" if number % 10 < 10 * share else "r"
        context.shares.record_sent(region, now_s=context.now_s)


@when("its own region has room for all of them")
def step_room(context):
    context.windows = []
    for _ in range(4):
        elsewhere = 0
        for _ in range(200):
            context.now_s += 0.01
            region = (
                context.shares.limits(now_s=context.now_s).underserved or "r"
            )
            elsewhere += region == "other"
            context.shares.record_sent(region, now_s=context.now_s)
        context.windows.append(elsewhere / 200)


@then("from one 2 s window to the next at most {most:g} of them come back")
def step_come_back(context, most):
    before = 0.4
    for share in context.windows:
        assert before - share <= most, context.windows
        before = share
    assert before < 0.05, context.windows


@when("an upstream has gone")
def step_has_gone(context):
    for _ in range(30):
        context.shares.record_sent("other", now_s=context.now_s)
    excluded = context.shares.limits(now_s=context.now_s).excluded
    assert excluded == {"other"}, excluded
    context.shares.record_disruption(now_s=context.now_s)


@then("no region is barred")
def step_none_barred(context):
    assert not context.shares.limits(now_s=context.now_s).excluded


@given("two equal upstreams")
def step_two(context):
    context.upstreams = [_upstream("u0"), _upstream("u1")]
    context.now_s = 100.0


@when("the first one's answers fail {count:d} times")
def step_fail(context, count):
    for _ in range(count):
        context.upstreams[0].record_response(good=False, now_s=context.now_s)


@then("requests go to the second one")
def step_second(context):
    cached = ("u0", "u1")
    found = _select(context.upstreams, cached=cached, now_s=context.now_s)
    assert found == "u1", found


@when("{span_s:d} s go by")
def step_pass(context, span_s):
    context.now_s += span_s


@then("requests go to the first one again")
def step_first(context):
    cached = ("u0", "u1")
    found = _select(context.upstreams, cached=cached, now_s=context.now_s)
    assert found == "u0", found
