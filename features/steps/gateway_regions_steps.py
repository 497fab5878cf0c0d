"""Steps for traffic between regions and recovery after a full restart."""

import collections
from concurrent import futures
import itertools
import json
import threading
import time

from behave import given
from behave import then
from behave import when

from emulator.documents import HOST
from emulator.documents import route
from features.support import harness
from features.support.gateway_world import GatewayWorld
from features.support.steady_traffic import SteadyTraffic

_OWN_ZONE = "a1"
_OTHER_ZONE = "b1"
_WINDOW_S = 2.0
_JOIN_S = 1.5
_ATTEMPT_FAILED = 411


def _start_world(context, *, own, other, **upstream_options):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    context.regions = {}
    for zone, count in ((_OWN_ZONE, own), (_OTHER_ZONE, other)):
        for number in range(count):
            name = f"{zone}-{number}"
            world.start_upstream(name, zone=zone, **upstream_options)
            context.regions[name] = zone
    world.configure()
    world.start_gateway()
    world.until_served()


@given("a gateway with an upstream in its own region and one in another")
def step_two_regions(context):
    _start_world(context, own=1, other=1)


@given(
    "a gateway with {own:d} upstreams in its own region and {other:d} in "
    "another"
)
def step_more_upstreams(context, own, other):
    _start_world(context, own=own, other=other, slots=12, queue=36, work_s=0.2)


# Routes that are restricted to a region.


@when(
    "a route is kept to the own region and its upstream becomes {factor:d} "
    "times slower"
)
def step_kept_route(context, factor):
    world = context.world
    near = route("/near/", allowedRegions=["east"])
    world.configure([*world.routes, near])

    def check():
        return world.send("GET", "/near/first").status == 200

    harness.wait_until(check, limit_s=3.0, what="the route")
    world.upstream_faults(f"{_OWN_ZONE}-0", slower=factor)


@when(
    "{count:d} requests to the kept route are sent, {together:d} at a time, "
    "and its upstream ends midway"
)
def step_kept_sent(context, count, together):
    world = context.world

    def send(number):
        if number == count // 2:
            world.processes.children[f"{_OWN_ZONE}-0"].kill()
        return world.send("GET", f"/near/{number}").status

    with futures.ThreadPoolExecutor(together) as pool:
        context.statuses = list(pool.map(send, range(count)))


@then("the other region's upstream got none of them")
def step_none_elsewhere(context):
    for run in context.world.runs(f"{_OTHER_ZONE}-0"):
        assert not run["path"].startswith("/near/"), run


@then("each of them was answered 200, 502, 503 or 504")
def step_answered(context):
    assert set(context.statuses) <= {200, 502, 503, 504}, context.statuses


# Lookups.


@given("two gateways in one region and one in another")
def step_three_gateways(context):
    _start_world(context, own=1, other=0)
    context.world.start_gateway("g2", "a2")
    context.world.start_gateway("g3", _OTHER_ZONE)


def _lookup_addresses(world, zone, region):
    path = f"/resolve?name={HOST}&region={region}&zone={zone}"
    body = json.loads(harness.get(world.gateways["g1"]["lookups"], path).body)
    return set(body["addresses"])


def _caller_addresses(world, *names):
    return {world.gateways[name]["callers"] for name in names}


@then("look-ups from each region name its own gateways only")
def step_own_named(context):
    world = context.world

    def check():
        own_named = _lookup_addresses(
            world, _OWN_ZONE, "east"
        ) == _caller_addresses(world, "g1", "g2")
        other_named = _lookup_addresses(
            world, _OTHER_ZONE, "west"
        ) == _caller_addresses(world, "g3")
        return own_named and other_named

    harness.wait_until(
        check, limit_s=4.0, what="lookups to name each region's own gateways"
    )


@when("the gateway of the other region is killed")
def step_kill_other(context):
    context.processes.children["g3"].kill()


@then("look-ups from there name the two that are left within {limit_s:g} s")
def step_left_named(context, limit_s):
    world = context.world

    def check():
        named = _lookup_addresses(world, _OTHER_ZONE, "west")
        return named == _caller_addresses(world, "g1", "g2")

    harness.wait_until(check, limit_s=limit_s, what="the other two gateways")


# Bursts.


@when(
    "{first:d} requests a second are sent for {first_s:d} s and then "
    "{second:d} a second for {second_s:d} s"
)
def step_burst(context, first, first_s, second, second_s):
    traffic = SteadyTraffic(context.world)
    context.began_s = time.time()
    traffic.send_for(first_s, first)
    traffic.send_for(second_s, second)
    traffic.end()
    context.span_s = first_s + second_s
    context.statuses = traffic.statuses


@when(
    "{rate:d} requests a second are sent for {first_s:d} s, then {more:d} more "
    "a second to a route kept to the other region for {second_s:d} s"
)
def step_kept_burst(context, rate, first_s, more, second_s):
    world = context.world
    far = route("/far/", allowedRegions=["west"])
    world.configure([*world.routes, far])
    first = SteadyTraffic(world)
    kept = SteadyTraffic(world, prefix="/far/")
    thread = threading.Thread(
        target=first.send_for, args=(first_s + second_s, rate)
    )
    thread.start()
    time.sleep(first_s)
    kept.send_for(second_s, more)
    thread.join()
    first.end()
    kept.end()
    context.statuses = first.statuses + kept.statuses


def _other_region_shares(context):
    """Returns the share that ran in the other region, by window."""
    counts = {}
    for name, zone in context.regions.items():
        for run in context.world.runs(name):
            window = int((run["at_s"] - context.first_run_s) / _WINDOW_S)
            own, elsewhere = counts.get(window, (0, 0))
            if zone == _OTHER_ZONE:
                counts[window] = (own, elsewhere + 1)
                continue
            counts[window] = (own + 1, elsewhere)
    shares = []
    for window in range(int(context.span_s / _WINDOW_S)):
        # A stall of 2 s can leave a window empty: it has no share, and the
        # next window is compared with the one before.
        own, elsewhere = counts.get(window, (0, 0))
        if own + elsewhere:
            shares.append(elsewhere / (own + elsewhere))
    return shares


@then(
    "from one 2 s window to the next at most {most:g} of them changed their "
    "region"
)
def step_shift(context, most):
    first = []
    for name in context.regions:
        first += [run["at_s"] for run in context.world.runs(name)]
    context.first_run_s = min(first)
    shares = _other_region_shares(context)
    for before, after in itertools.pairwise(shares):
        assert abs(after - before) <= most, (
            shares,
            _count_failed_attempts(context),
        )


def _count_failed_attempts(context):
    """Returns failed attempts by cause.

    All but orderly refusals lift the limit on region changes.
    """
    causes = {}
    for line in context.world.log_events("g1", _ATTEMPT_FAILED):
        causes[line["cause"]] = causes.get(line["cause"], 0) + 1
    return causes


@then("at least {least:g} of them were answered 200")
def step_served_share(context, least):
    served = context.statuses.count(200)
    status_counts = collections.Counter(context.statuses)
    assert served >= least * len(context.statuses), (
        status_counts,
        _count_failed_attempts(context),
    )


# Recovery.


@when(
    'the store is "{mode}", and every gateway and upstream is killed and '
    "started anew"
)
def step_all_killed(context, mode):
    world = context.world
    time.sleep(_JOIN_S)
    world.store_faults(mode=mode, leases_pause=True)
    for name in ("g1", "g2", "u1"):
        context.processes.children[name].kill()
    world.start_upstream("u1")
    for name in ("g1", "g2"):
        world.start_gateway(name, ready=False)


@when("the store is back {span_s:g} s later")
def step_store_back(context, span_s):
    time.sleep(span_s)
    context.world.store_faults(mode="up")
    context.back_s = time.monotonic()


@then("both gateways serve within {limit_s:g} s of that")
def step_both_serve(context, limit_s):
    world = context.world

    def check():
        for gateway in ("g1", "g2"):
            if world.send("GET", "/safe/x", gateway=gateway).status != 200:
                return False
        return True

    left_s = limit_s - (time.monotonic() - context.back_s)
    harness.wait_until(check, limit_s=left_s, what="both to serve")
