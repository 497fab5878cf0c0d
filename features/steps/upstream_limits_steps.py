"""Steps for limits that upstreams state, over processes."""

import re
import threading
import time

from behave import given
from behave import then
from behave import when

from almondstair.log import Event
from almondstair.tools import request_explanations
from features.support import harness
from features.support import limited_upstreams
from features.support.gateway_world import GatewayWorld

_ZONES = ("a1", "a2", "b1")
_JOIN_S = 4.5
_FIRST_RESTART_S = 5.0
_RESTART_GAP_S = 1.5
_LIMIT_BAD = Event.UPSTREAM_LIMIT_BAD.value.number
_ANSWERED = Event.REQUEST_ANSWERED.value.number


@given(
    "{gateways:d} gateways with {upstreams:d} upstreams that know each other"
)
def step_world(context, gateways, upstreams):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for number in range(upstreams):
        zone = _ZONES[number % len(_ZONES)]
        world.start_upstream(f"u{number}", zone=zone, work_s=0.05)
    world.configure()
    for number in range(gateways):
        world.start_gateway(f"g{number}", _ZONES[number % len(_ZONES)])
    world.until_served(gateway="g0")
    time.sleep(_JOIN_S)


@when("{count:d} upstream states a limit of {limit:g} a second")
@when("{count:d} upstreams state a limit of {limit:g} a second")
def step_state(context, count, limit):
    context.limit_per_s = limit
    context.limited = [f"u{number}" for number in range(count)]
    for name in context.limited:
        context.world.upstream_faults(name, limits=[f"{limit:g}"])
    context.stated_s = time.monotonic()


@when("{rate:g} requests a second are sent through all gateways for {span:g} s")
def step_send(context, rate, span):
    context.outcomes = limited_upstreams.send_for(
        context.world, rate_per_s=rate, span_s=span
    )


@then("no upstream with a limit got more than the operators tolerate")
def step_tolerated(context):
    most = limited_upstreams.tolerated(context.limit_per_s)
    from_s = context.stated_s + limited_upstreams.SETTLE_S
    for name in context.limited:
        largest = limited_upstreams.largest_window(
            context.world.arrivals(name), from_s=from_s
        )
        print(f"{name}: {largest} of {most:.1f}")
        assert largest <= most, f"{name}: {largest} of {most:.1f}"


@then("each of them got at least {share:g} of its limit in the last {span:g} s")
def step_served(context, share, span):
    ends_s = max(outcome.at_s for outcome in context.outcomes)
    least = share * context.limit_per_s * span
    for name in context.limited:
        count = sum(
            ends_s - span < at_s <= ends_s
            for at_s in context.world.arrivals(name)
        )
        assert count >= least, f"{name}: {count} of {least:.1f}"


@then("at least {share:g} of the requests were answered 200")
def step_answered(context, share):
    statuses = [outcome.answer.status for outcome in context.outcomes]
    answered = statuses.count(200)
    assert answered >= share * len(statuses), f"{answered} of {len(statuses)}"


@when("the upstreams state no limit")
def step_state_none(context):
    for name in context.limited:
        context.world.upstream_faults(name, limits=[])


@when("{count:d} upstreams state the limits {values}")
def step_state_values(context, count, values):
    lists = _header_lists(values)
    for number in range(count):
        context.world.upstream_faults(
            f"u{number}", limits=lists[number % len(lists)]
        )


def _header_lists(values):
    """Returns the headers of each upstream."""
    if values == "of 4000 digits":
        return [["9" * 4000]]
    quoted = re.findall(r'"([^"]*)"', values)
    if values.endswith("at once"):
        return [quoted]
    return [[value] for value in quoted]


@when(
    "{rate:g} requests a second are sent for {span:g} s, while each gateway is "
    "killed and starts again"
)
def step_send_restarts(context, rate, span):
    world = context.world
    restarts = threading.Thread(target=_restart_each, args=(world,))
    restarts.start()
    context.outcomes = limited_upstreams.send_for(
        world, rate_per_s=rate, span_s=span
    )
    restarts.join()


def _restart_each(world):
    time.sleep(_FIRST_RESTART_S)
    for number, name in enumerate(sorted(world.gateways)):
        world.processes.children[name].kill()
        world.start_gateway(name, _ZONES[number % len(_ZONES)])
        time.sleep(_RESTART_GAP_S)


@then("each of them got at least {least:d} requests in the last {span:g} s")
def step_got_some(context, least, span):
    ends_s = max(outcome.at_s for outcome in context.outcomes)
    for name in context.limited:
        count = sum(
            ends_s - span < at_s <= ends_s
            for at_s in context.world.arrivals(name)
        )
        assert count >= least, f"{name}: {count}"


@then(
    "at least {share:g} of the requests were answered 200 in the last "
    "{span:g} s"
)
def step_answered_last(context, share, span):
    ends_s = max(outcome.at_s for outcome in context.outcomes)
    statuses = []
    for outcome in context.outcomes:
        if outcome.at_s > ends_s - span:
            statuses.append(outcome.answer.status)
    answered = statuses.count(200)
    assert answered >= share * len(statuses), f"{answered} of {len(statuses)}"


@then(
    'the others were refused within {limit_s:g} s as "{kind}", with a time to '
    "come back"
)
def step_refused(context, limit_s, kind):
    refused = []
    for outcome in context.outcomes:
        if outcome.answer.status != 200:
            refused.append(outcome)
    assert refused
    slow = 0
    for outcome in refused:
        assert outcome.answer.status == 503, outcome
        assert outcome.answer.json()["kind"] == kind, outcome
        assert float(outcome.answer.headers["Retry-After"]) >= 0.2, outcome
        slow += outcome.took_s > limit_s
    assert slow <= 0.01 * len(refused), f"{slow} of {len(refused)}"


@then("no gateway knows a limit, and each logged one line of it at most")
def step_no_limit(context):
    for name in context.world.gateways:
        status = _status(context, name)
        for upstream in status["upstreams"]:
            assert upstream["limit_per_s"] is None, upstream
        lines = context.world.log_events(name, _LIMIT_BAD)
        assert len(lines) <= 1, lines


def _status(context, name):
    address = context.world.operator_address(name)
    return harness.get(address, "/status").json()


@then("the status of each gateway shows the limit")
def step_status(context):
    for name in context.world.gateways:
        limits = []
        for upstream in _status(context, name)["upstreams"]:
            if upstream["limit_per_s"] is not None:
                limits.append(upstream["limit_per_s"])
        assert limits == [context.limit_per_s], limits


@then('"why" tells of a request that went elsewhere for a limit')
def step_why(context):
    lines = []
    for name in context.world.gateways:
        text = context.world.processes.children[name].log_text()
        lines += request_explanations.read_lines(name, text.splitlines())
    for line in lines:
        if line.event != _ANSWERED or not line.fields["limited"]:
            continue
        cause = request_explanations.explain(
            line.fields["request"], lines
        ).cause
        if "were used up" in cause:
            return
    raise AssertionError("no request went elsewhere")
