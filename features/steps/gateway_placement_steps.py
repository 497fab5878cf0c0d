"""Steps for placement plans, with a load in virtual time and no sockets."""

import collections
from types import SimpleNamespace
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.peer_loads import PeerLoads
from almondstair.core.placement import PlacementOrders
from almondstair.core.placement_plan import Plan
from almondstair.core.placement_plan import Planner
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway import load_exchange
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.load_exchange import PlanUpdate
from almondstair.gateway.load_exchange import TotalLoads
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts

_TICK_S = 0.05
_RUN_S = 0.2
# The most that an upstream holds, as a multiple of its slots; it refuses more.
_MAX_LOAD_PER_SLOT = 4


@given(
    "{regions:d} regions of {count:d} upstreams with {slots:d} slots, and "
    "{keys:d} keys of each region"
)
def step_regions(context, regions, count, slots, keys):
    context.regions = [f"r{number}" for number in range(regions)]
    context.upstreams = []
    context.loads = PeerLoads()
    for region in context.regions:
        for number in range(count):
            record = UpstreamRecord(
                f"{region}-{number}", "s", "a:1", region, "v", slots, False, 0.0
            )
            state = UpstreamState(
                record=record, region=region, peer_loads=context.loads
            )
            context.upstreams.append(state)
    context.held = {state.incarnation: 0.0 for state in context.upstreams}
    context.slots = slots
    context.region_slots = count * slots
    context.planner = Planner()
    context.orders = {}
    for region in context.regions:
        context.orders[region] = PlacementOrders(
            own_region=region, demand=dict.fromkeys(context.regions, 1.0)
        )
    context.keys = [f"k{number}" for number in range(keys)]
    context.upstreams_by_key = {}
    context.now_s = 100.0
    _set_report_delay(context, 0.0)


def _set_report_delay(context, late_s):
    """Sets the time from the count of loads until the planner gets them."""
    context.reports = collections.deque(maxlen=1 + round(late_s / _TICK_S))


def _tick(context, demand):
    """Simulates the requests of one step, then updates the plan."""
    for region, share in demand.items():
        per_s = share * context.region_slots / _RUN_S / len(context.keys)
        for key in context.keys:
            name = f"{region}/{key}"
            home = context.orders[region].order(
                service="s", key=name, upstreams=context.upstreams
            )[0]
            context.held[home.incarnation] += per_s * _TICK_S
            context.upstreams_by_key.setdefault(name, set()).add(
                home.incarnation
            )
    for upstream in context.upstreams:
        held = context.held[upstream.incarnation]
        ended = min(held, context.slots) / _RUN_S * _TICK_S
        held = min(held - ended, _MAX_LOAD_PER_SLOT * context.slots)
        context.held[upstream.incarnation] = held
    _report_loads(context)
    context.now_s += _TICK_S
    context.planner.update(
        services={"s": context.upstreams}, now_s=context.now_s
    )
    for orders in context.orders.values():
        orders.set_plan(context.planner.plan)


def _report_loads(context):
    """Reports the oldest loads that are in flight to the planner."""
    context.reports.append([round(held) for held in context.held.values()])
    loads = {}
    for upstream, held in zip(
        context.upstreams, context.reports[0], strict=True
    ):
        loads[upstream.name_hash] = held
    context.loads.update(loads, own={})


def _run(context, demand, span_s):
    for _ in range(round(span_s / _TICK_S)):
        _tick(context, demand)


@when("each region asks for {share:g} of its slots for {span_s:g} s")
def step_even(context, share, span_s):
    _run(context, dict.fromkeys(context.regions, share), span_s)


@when(
    'region "r0" asks for {share:g} of its slots for {span_s:g} s and "r1" '
    "for {other:g}"
)
def step_uneven(context, share, span_s, other):
    _run(context, {"r0": share, "r1": other}, span_s)


@given(
    "{sets:d} sets of {keys:d} keys for each of {regions:d} regions of "
    "{count:d} upstreams with {slots:d} slots"
)
def step_sets(context, sets, keys, **shape):
    context.sets = []
    for number in range(sets):
        key_set = SimpleNamespace()
        step_regions(key_set, keys=keys, **shape)
        key_set.keys = [f"{number}-{key}" for key in range(keys)]
        context.sets.append(key_set)


@given("loads are told {late_s:g} s late, with each set")
def step_sets_late(context, late_s):
    for key_set in context.sets:
        _set_report_delay(key_set, late_s)


@when(
    "each region asks for {share:g} of its slots for {span_s:g} s, with each "
    "set"
)
def step_sets_even(context, share, span_s):
    for key_set in context.sets:
        step_even(key_set, share, span_s)


@when(
    'region "r0" asks for {share:g} of its slots for {span_s:g} s and "r1" '
    "for {other:g}, with each set"
)
def step_sets_uneven(context, share, span_s, other):
    for key_set in context.sets:
        step_uneven(key_set, share, span_s, other)


@then(
    "with no set an upstream holds {times:g} times its slots while another is "
    "under {share:g}"
)
def step_sets_no_queue(context, times, share):
    missed = []
    for number, key_set in enumerate(context.sets):
        try:
            step_no_queue(key_set, times, share)
        except AssertionError:
            loads = [held / key_set.slots for held in key_set.held.values()]
            missed.append((number, round(max(loads), 2), round(min(loads), 2)))
    assert not missed, f"{len(missed)} of {len(context.sets)} sets: {missed}"


@then("every weight is 1")
def step_even_weights(context):
    assert context.planner.plan.weights == {}, context.planner.plan


@then("every weight is from {least:g} to {most:g}")
def step_weights_within(context, least, most):
    for percent in context.planner.plan.weights.values():
        assert least <= percent / 100 <= most, context.planner.plan


@then(
    "no upstream holds {times:g} times its slots while another is under "
    "{share:g}"
)
def step_no_queue(context, times, share):
    loads = [held / context.slots for held in context.held.values()]
    assert max(loads) < times or min(loads) > share, context.held


@then("no key was at more than {most:d} upstreams")
def step_few_places(context, most):
    found = max(
        len(upstreams) for upstreams in context.upstreams_by_key.values()
    )
    assert found <= most, found


# Load exchange between entries.


class _RecordingTransport:
    """Records the datagrams that an entry sends."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append(data)


def _entry(zone):
    return Entry(f"e-{zone}", "127.0.0.1:1", "127.0.0.1:2", "r", zone)


@given(
    'entries of the zones "{first}" and "{second}" that tell each other '
    "their loads"
)
def step_exchanging_entries(context, first, second):
    context.exchanges = {}
    context.transports = {}
    context.fleets = {}
    for zone in (first, second):
        fleet = Fleet(
            own_name=f"e-{zone}",
            own_region="r",
            zones={first: "r", second: "r"},
        )
        for other in (first, second):
            fleet.apply_entry(_entry(other))
        record = UpstreamRecord("u", "s", "a:1", first, "v", 4, False, 0.0)
        fleet.apply_upstream(record, now_s=0.0)
        service = ServiceRule("s", "/", 9, 0.0, 0.0)
        fleet.apply_configuration(
            RoutingConfiguration(
                1, CallerLimits(1, 1, 1.0, 1.0), (), {"s": service}
            )
        )
        exchange = LoadExchange(
            fleet=fleet,
            pool=mock.Mock(),
            suspects=mock.Mock(**{"recent_strikes.return_value": []}),
            cached_locations=CachedLocations(),
            shared_counts=make_shared_counts(f"e-{zone}", fleet),
            own_name=f"e-{zone}",
            own_zone=zone,
            **make_report_parts(f"e-{zone}", fleet),
        )
        context.transports[zone] = _RecordingTransport()
        exchange.connection_made(context.transports[zone])
        context.exchanges[zone] = exchange
        context.fleets[zone] = fleet
    context.zones = (first, second)


def _exchange(context, at_s):
    for zone, exchange in context.exchanges.items():
        exchange._tick(at_s)
        for data in context.transports[zone].sent:
            for other, receiver in context.exchanges.items():
                if other != zone:
                    receiver.datagram_received(data, ("127.0.0.1", 1))
        context.transports[zone].sent.clear()


@when('the entry of "{zone}" has a plan and both tell')
def step_has_plan(context, zone):
    plan = Plan(weights={incarnation_hash("u"): 60})
    context.exchanges[zone]._planner.set_plan(plan)
    for _ in range(2):
        _exchange(context, now_s())


@when('the entry of "{zone}" is silent for {span_s:g} s')
def step_silent(context, zone, span_s):
    del context.exchanges[zone]
    _exchange(context, now_s() + span_s)


@then('the entry of "{zone}" uses that plan')
def step_uses(context, zone):
    context.plan = context.fleets[zone].plan
    assert context.plan.weights, context.plan
    assert context.plan == context.fleets[context.zones[0]].plan


@then('the entry of "{zone}" goes on from that plan')
def step_goes_on(context, zone):
    name = incarnation_hash("u")
    before = context.plan.weights[name]
    after = context.fleets[zone].plan.weights[name]
    assert before < after < 100, (before, after)


@given("a plan in which {count:d} upstreams have weights of their own")
def step_large_plan(context, count):
    peer_loads = PeerLoads()
    upstreams = []
    for number in range(count):
        record = UpstreamRecord(
            f"u{number}", "s", "a:1", "r", "v", 4, False, 0.0
        )
        upstreams.append(
            UpstreamState(record=record, region="r", peer_loads=peer_loads)
        )
    planner = Planner()
    for step in range(8):
        # Half of them have a queue, the others have none.
        loads = {state.name_hash: 44 + 4 * step for state in upstreams[1::2]}
        peer_loads.update(loads, own={})
        planner.update(services={"s": upstreams}, now_s=100.0 + step)
    context.planner = planner


@then(
    "a message with it, and one with the loads of {count:d} upstreams, have at "
    "most {most:d} bytes"
)
def step_fits(context, count, most):
    loads = {}
    for number in range(count):
        loads[incarnation_hash(f"u{number}")] = 40
    total = TotalLoads(
        entry="e",
        complete=True,
        loads=load_exchange._limit_upstreams(loads),
        replaced=[],
        strikes=[],
    )
    plan = PlanUpdate(entry="e", zone="z", plan=context.planner.plan)
    for message in (total, plan):
        size = len(msgspec.msgpack.encode(message))
        assert size <= most, size


@then("the plan names those that move most keys")
def step_most_moved(context):
    weights = context.planner.plan.weights
    assert len(weights) == 1000, len(weights)
    assert max(weights.values()) < 60, weights
