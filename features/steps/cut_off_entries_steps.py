"""Steps for what entries know of entries without upstreams, and do with it."""

import asyncio
from collections import Counter
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.relay_selection import RelaySelector
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_links import LinkState
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.link_monitor import LinkMonitor
from features.support.load_exchange_world import LoadExchangeWorld

_STEP_S = 0.05
_LINK_MBPS = 200.0
_UPSTREAMS = 60
_NOW_S = 100.0
_COLD_S = 20.0


@given(
    "{entries:d} entries in {zones:d} zones that report loads in virtual time"
)
def step_world(context, entries, zones):
    context.world = LoadExchangeWorld(
        entries=entries,
        zones=zones,
        upstreams=_UPSTREAMS,
        link_mbps=_LINK_MBPS,
    )


def _set_links(members, *, cut, now_s):
    for member in members:
        if not cut:
            member.links.end_partition()
            continue
        member.links.begin_check(
            suspect=0, cause="no response", since_s=now_s, now_s=now_s
        )
        member.links.end_check(reachable=False, probed=())


def _time_until(world, check, limit_s):
    began_s = world.now_s
    while world.now_s < began_s + limit_s:
        world.advance(_STEP_S)
        if all(check(member) for member in world.members.values()):
            return world.now_s - began_s
    return None


@when("a third of them lose their upstreams at once")
def step_third(context):
    world = context.world
    members = list(world.members.values())
    cut = members[::3]
    names = frozenset(member.name for member in cut)
    with world.running(busy=True):
        _set_links(cut, cut=True, now_s=world.now_s)
        context.known_s = _time_until(
            world, lambda member: member.cut_off.names == names, 3.0
        )
        world.advance(2.0)
        _set_links(cut, cut=False, now_s=world.now_s)
        context.ended_s = _time_until(
            world, lambda member: not member.cut_off.names, 3.0
        )
        context.omitted = []
        for span_s in (2.0, 1.5):
            world.advance(span_s)
            context.omitted.append(
                {
                    member.cut_off.omitted_from_lookups(now_s=world.now_s)
                    for member in members
                }
            )
    context.names = names


@then("within {limit_s:g} s every entry knows which")
def step_known(context, limit_s):
    print(f"known after {context.known_s} s")
    assert context.known_s is not None and context.known_s <= limit_s


@then(
    "within {limit_s:g} s after their end every entry knows that there are none"
)
def step_ended(context, limit_s):
    print(f"known after {context.ended_s} s")
    assert context.ended_s is not None and context.ended_s <= limit_s


@then("lookups omit them for 3 s more, and not longer")
def step_omitted(context):
    during, after = context.omitted
    assert during == {context.names}, during
    assert after == {frozenset()}, after


# Spreading of relayed requests.


@given(
    "{count:d} entries in {zones:d} zones, of which a third reach no upstream"
)
def step_fleet(context, count, zones):
    context.entries = []
    for number in range(count):
        zone = number % zones
        context.entries.append(
            Entry(
                name=f"e{number}",
                callers="",
                peers="",
                region=f"r{zone % 3}",
                availability_zone=f"z{zone}",
                relays=f"10.0.0.{number}:1",
            )
        )
    context.cut = frozenset(entry.name for entry in context.entries[::4])
    context.cut |= frozenset(entry.name for entry in context.entries[1::12])


@when("each of these relays {count:d} requests at a time")
def step_relay(context, count):
    context.received = Counter()
    context.regions = []
    for entry in context.entries:
        if entry.name not in context.cut:
            continue
        selector = RelaySelector(
            own_name=entry.name,
            own_region=entry.region,
            own_zone=entry.availability_zone,
        )
        for number in range(count):
            found = selector.select(
                context.entries,
                cut_off=context.cut,
                tried=(),
                allowed_regions=(),
                request_id=f"{entry.name}-{number}".encode(),
                now_s=_NOW_S,
            )
            selector.record_sent(found.name)
            context.received[found.name] += 1
            context.regions.append((entry.region, found.region))


@then("no entry has more than {factor:g} times its part of them")
def step_spread(context, factor):
    by_region = Counter()
    serving = Counter()
    for entry in context.entries:
        if entry.name in context.cut:
            continue
        serving[entry.region] += 1
        by_region[entry.region] += context.received[entry.name]
    for entry in context.entries:
        part = by_region[entry.region] / serving[entry.region]
        received = context.received[entry.name]
        assert received <= factor * part, (entry.name, received, part)


@then("none goes to another region while the own one has entries")
def step_own_region(context):
    assert all(own == other for own, other in context.regions)


@given("entries a1, a2 in region a and b1 in region b, seen from a1")
def step_three(context):
    context.entries = {}
    for name in ("a1", "a2", "b1"):
        context.entries[name] = Entry(
            name, "", "", name[0], f"zone of {name}", relays=f"{name}:1"
        )
    context.selector = RelaySelector(
        own_name="a1", own_region="a", own_zone="zone of a1"
    )


_CONDITIONS = {
    "of no kind": {},
    "that only region b may get": {"allowed_regions": ("b",)},
    "that only region c may get": {"allowed_regions": ("c",)},
    "that a2 refused": {"tried": ("a2",)},
    "while a2 reaches no upstream": {"cut_off": ("a2",)},
    "while a2 and b1 reach no upstream": {"cut_off": ("a2", "b1")},
    "just after a2 did not answer another one": {"now_s": _NOW_S + 0.1},
    "3 s after a2 did not answer another one": {"now_s": _NOW_S + 3.0},
    "while a2 is of a version that takes none": {},
}


@then('a request {condition} goes through "{name}"')
def step_goes(context, condition, name):
    if "answer another" in condition:
        context.selector.avoid("a2", now_s=_NOW_S)
    if "takes none" in condition:
        context.entries["a2"] = context.entries["a2"]._replace(relays="")
    options = {
        "cut_off": (),
        "tried": (),
        "allowed_regions": (),
        "request_id": b"1",
        "now_s": _NOW_S,
    } | _CONDITIONS[condition]
    found = context.selector.select(context.entries.values(), **options)
    assert (found.name if found else "none") == name, found


# Cold upstreams.


@given("an upstream that keeps its id and was not reached for {span_s:g} s")
def step_unreached(context, span_s):
    fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    service = ServiceRule("s", "/", 9, _COLD_S, 1.0)
    fleet.apply_configuration(
        RoutingConfiguration(
            1, CallerLimits(1, 1, 1.0, 1.0), (), {"s": service}
        )
    )
    context.record = UpstreamRecord(
        "u", "s", "a:1", "z", "v", 4, False, 0.0, started_ms=7
    )
    fleet.apply_upstream(context.record, now_s=0.0)
    fleet.mark_loaded()
    [context.upstream] = fleet.upstreams()
    context.upstream.record_unreachable(now_s=_NOW_S)
    context.fleet = fleet
    context.reached_s = _NOW_S + span_s


@when("its registration was renewed meanwhile")
def step_renewed(context):
    context.fleet.apply_upstream(context.record, now_s=context.reached_s - 1)


@when("its registration was not renewed meanwhile")
def step_not_renewed(context):
    del context


@then("it counts as {state} when it is reached")
def step_cold(context, state):
    context.fleet.record_reached(context.upstream, now_s=context.reached_s)
    cold = context.upstream.is_cold(now_s=context.reached_s + 1)
    assert cold == (state == "cold"), context.upstream.cold_until_s


# Checks of the links.


@given("a check of the links because of upstream {upstream:d}")
def step_check(context, upstream):
    context.links = UpstreamLinks()
    context.now_s = _NOW_S
    assert context.links.begin_check(
        suspect=upstream, cause="test", since_s=_NOW_S, now_s=_NOW_S
    )


@when("a response of upstream {upstream:d} arrives")
def step_response(context, upstream):
    context.links.record_received(upstream, now_s=_NOW_S)


@when("a probe is answered")
def step_answered(context):
    context.links.end_check(reachable=True, probed=("u",))


@when("no probe is answered")
def step_unanswered(context):
    context.links.end_check(reachable=False, probed=("u",))


@when("no probe is answered, then one is")
def step_later(context):
    step_unanswered(context)
    assert context.links.end_partition() is not None


@when("it lasts for {span_s:g} s")
def step_lasts(context, span_s):
    context.now_s += span_s


@then("the links are {state}")
def step_links(context, state):
    if state == "not usable":
        assert not context.links.are_usable(now_s=context.now_s)
        return
    assert context.links.state is LinkState(state), context.links.state
    assert context.links.is_partitioned == (state == "partitioned")
    # A check makes requests wait no longer than it usually lasts.
    assert context.links.are_usable(now_s=context.now_s) == (
        state != "partitioned"
    )


@given("an entry whose probes end in an error")
def step_probe_error(context):
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    context.pool = mock.Mock()
    context.pool.connect = mock.AsyncMock(side_effect=RuntimeError("planted"))
    context.monitor = LinkMonitor(
        fleet=context.fleet,
        pool=context.pool,
        links=UpstreamLinks(),
        statement_recorder=mock.Mock(),
    )


@when("a connection to one of {count:d} upstreams fails")
def step_connection_fails(context, count):
    for number in range(count):
        record = UpstreamRecord(
            f"u{number}", "s", "a:1", "z", "v", 4, False, 0.0
        )
        context.fleet.apply_upstream(record, now_s=0.0)
    context.confirm = mock.Mock()
    context.dismiss = mock.Mock()

    async def fail():
        context.monitor.confirm_failure(
            next(iter(context.fleet.upstreams())),
            cause="no connection",
            since_s=0.0,
            is_new=True,
            confirm=context.confirm,
            dismiss=context.dismiss,
        )
        await context.monitor.settle()

    asyncio.run(fail())


@then("requests use the links, and the failure counts as the upstream's")
def step_in_use(context):
    assert context.pool.connect.called
    assert context.monitor.are_usable()
    assert context.confirm.called and not context.dismiss.called
