"""Steps for the exchange of upstream loads between entries."""

from behave import given
from behave import then
from behave import when

from features.support.load_exchange_world import BETWEEN_REGIONS_S
from features.support.load_exchange_world import LoadExchangeWorld

POLL_S = 0.01
MAX_WAIT_S = 3.0
LINK_MBPS = 100.0


def _make_world(context, link_mbps):
    context.world = LoadExchangeWorld(link_mbps=link_mbps, **context.size)


@given(
    "{entries:d} entries in {zones:d} zones of 3 regions that tell each other "
    "the loads of {upstreams:d} upstreams"
)
def step_entries(context, entries, zones, upstreams):
    context.size = {
        "entries": entries,
        "zones": zones,
        "upstreams": upstreams,
    }
    _make_world(context, LINK_MBPS)


@given("each has a link of {link_mbps:g} Mbit/s")
def step_link(context, link_mbps):
    _make_world(context, link_mbps)


@when(
    "{count:d} requests start at entries drawn with seed {seed:d}, a tenth of "
    "a second apart"
)
def step_start(context, count, seed):
    world = context.world
    world.draws.seed(seed)
    context.took_s = []
    with world.running(busy=True):
        pending = {}
        for number in range(count):
            member = world.draws.choice(list(world.members.values()))
            name = world.names[number]
            world.state(member, name).in_flight += 1
            pending[name] = (member, world.now_s)
            _poll_counts(context, pending, 0.1)
        _poll_counts(context, pending, MAX_WAIT_S)
    for _, started_s in pending.values():
        context.took_s.append(world.now_s - started_s)


def _poll_counts(context, pending, span_s):
    world = context.world
    end_s = world.now_s + span_s
    while pending and world.now_s < end_s:
        world.advance(POLL_S)
        for name, (member, started_s) in list(pending.items()):
            if _all_entries_count(world, name, member):
                context.took_s.append(world.now_s - started_s)
                del pending[name]


def _all_entries_count(world, name, sender):
    for member in world.members.values():
        if member is sender:
            continue
        if world.state(member, name).peer_requests != 1:
            return False
    return True


@then("every entry counts each of them within {limit_s:g} s and the way")
def step_count(context, limit_s):
    took_s = sorted(context.took_s)
    print(f"counted by all after {[round(each, 2) for each in took_s]} s")
    assert took_s[-1] <= limit_s + BETWEEN_REGIONS_S + POLL_S, took_s


@when(
    "every upstream has a weight of its own in the plan, and all is told for "
    "{span_s:g} s"
)
def step_weights(context, span_s):
    context.span_s = span_s
    world = context.world
    with world.running(busy=True):
        world.set_varied_weights()
        world.advance(span_s)
        context.plan = world.first_reporter().fleet.plan


@when("nothing is asked for {span_s:g} s")
def step_nothing(context, span_s):
    context.span_s = span_s
    with context.world.running(busy=False):
        context.world.advance(span_s)


@then("every entry has that plan")
def step_plan(context):
    # The plan keeps changing step by step, so some entries have an older one.
    for member in context.world.members.values():
        weights = member.fleet.plan.weights
        assert weights.keys() == context.plan.weights.keys(), member.name


@then("no entry sends more than {share:g} of a link of {link_mbps:g} Mbit/s")
def step_links(context, share, link_mbps):
    world = context.world
    most = max(world.sent_bytes.values())
    mbps = 8 * most / context.span_s / 1e6
    print(f"the most that an entry sent: {mbps:.2f} Mbit/s")
    assert mbps <= share * link_mbps, mbps


@then("all entries send at most {limit:g} MB/s to other regions")
def step_far(context, limit):
    sent = context.world.far_bytes / context.span_s / 1e6
    print(f"to other regions: {sent:.2f} MB/s")
    assert sent <= limit, sent


@then("every entry hears from all zones")
def step_heard(context):
    for member in context.world.members.values():
        assert member.fleet.peer_loads_complete, member.name


@then(
    "each entry sends at most {limit:g} messages a second to its zone's "
    "reporter"
)
def step_messages(context, limit):
    world = context.world
    reporters = {}
    for member in world.members.values():
        reporter = member.load_exchange._reporter(world.now_s)
        reporters[member.zone] = reporter.name
    for member in world.members.values():
        pair = (member.name, reporters[member.zone])
        count = world.sent_count.get(pair, 0) / context.span_s
        assert count <= limit, (pair, count)
