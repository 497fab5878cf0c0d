"""Steps of steering.feature: the pure core under a simulated clock."""

from behave import given
from behave import then
from behave import when

from almondstair.core.model import Priority
from features.support.steering_world import DRAWS
from features.support.steering_world import REGIONS
from features.support.steering_world import REPORT_LIMIT_S
from features.support.steering_world import SCALE
from features.support.steering_world import SERVICE
from features.support.steering_world import SLOTS
from features.support.steering_world import TICK_S
from features.support.steering_world import ZONE
from features.support.steering_world import SteeringWorld
from features.support.steering_world import draws

TOLERANCE = 0.005
REQUESTS_PER_TICK = 5


@given('steering over home, near and far by the profile "{profile}"')
def steering_by(context, profile):
    context.world = SteeringWorld(profile=profile)


@when("all regions report {free:g} free slots for {length_s:d} s")
def all_report(context, free, length_s):
    free_slots = dict.fromkeys(REGIONS, free)
    context.world.run(length_s=length_s, free_slots=free_slots)


@when(
    "for {length_s:d} s the free slots are home {home:g}, near {near:g}, "
    "far {far:g}"
)
def free_slots_are(context, length_s, home, near, far):
    context.world.run(
        length_s=length_s,
        free_slots={"home": home, "near": near, "far": far},
    )


@when(
    "one report gives the free slots home {home:g}, near {near:g}, far {far:g}"
)
def one_report(context, home, near, far):
    context.world.report({"home": home, "near": near, "far": far})


@when("only {first} and {second} report {free:g} free slots for {length_s:d} s")
def only_two_report(context, first, second, free, length_s):
    context.world.silent_since_s = context.world.now_s
    context.world.run(length_s=length_s, free_slots={first: free, second: free})


def _record_digest(world, age_s, limit_s, region, free):
    world.steering.regions.record_load_report(
        region=region,
        service=SERVICE,
        source=f"digest-{region}",
        slots=SLOTS * SCALE,
        free_slots=round(free * SCALE),
        age_s=age_s,
        now_s=world.now_s,
        limit_s=limit_s,
    )


@when(
    "for {length_s:d} s a digest {age_s:g} s old with a limit of {limit_s:g} s "
    'gives "{region}" {free:g} free'
)
def digest_arrives(context, *, length_s, age_s, limit_s, region, free):
    context.digest = (age_s, limit_s, region, free)
    context.world.run(
        length_s=length_s,
        free_slots={},
        each_tick=lambda: _record_digest(context.world, *context.digest),
    )


@when(
    'for {length_s:d} s the same digest comes while "{region}" reports '
    "{free:g} free"
)
def digest_repeats(context, length_s, region, free):
    context.world.run(
        length_s=length_s,
        free_slots={region: free},
        each_tick=lambda: _record_digest(context.world, *context.digest),
    )


@then('"{region}" is no longer known')
def no_longer_known(context, region):
    world = context.world
    for state in world.steering.regions.status(
        service=SERVICE, now_s=world.now_s
    ):
        if state.region == region:
            assert not state.known, state


@when("nobody reports for {length_s:d} s")
def nobody_reports(context, length_s):
    context.world.run(length_s=length_s, free_slots={})


def _run_with_outcomes(context, *, free, length_s, record_outcome):
    context.world.mark_s = context.world.now_s

    def each_tick():
        for _ in range(REQUESTS_PER_TICK):
            record_outcome(context.world)

    context.world.run(
        length_s=length_s,
        free_slots=dict.fromkeys(REGIONS, free),
        each_tick=each_tick,
    )


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" fails requests'
)
def fails(context, free, length_s, region):
    def fail(world):
        world.steering.regions.record_failure(
            region=region, service=SERVICE, now_s=world.now_s
        )

    _run_with_outcomes(
        context, free=free, length_s=length_s, record_outcome=fail
    )


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" refuses requests'
)
def refuses(context, free, length_s, region):
    def refuse(world):
        world.steering.regions.record_refusal(
            region=region,
            service=SERVICE,
            priority=Priority.INTERACTIVE,
            now_s=world.now_s,
        )

    _run_with_outcomes(
        context, free=free, length_s=length_s, record_outcome=refuse
    )


@when(
    "all regions report {free:g} free slots for {length_s:d} s while "
    '"{region}" answers in {latency_ms:g} ms'
)
def answers(context, free, length_s, region, latency_ms):
    def answer(world):
        world.steering.regions.record_answer(
            region=region,
            service=SERVICE,
            priority=Priority.INTERACTIVE,
            request_class="get",
            latency_ms=latency_ms,
            now_s=world.now_s,
        )

    _run_with_outcomes(
        context, free=free, length_s=length_s, record_outcome=answer
    )


@when('"{region}" reports that it has no slots')
def no_slots(context, region):
    world = context.world
    world.steering.regions.record_load_report(
        region=region,
        service=SERVICE,
        source=f"entry-{region}",
        slots=0,
        free_slots=0,
        age_s=0.0,
        now_s=world.now_s,
    )


@when('the region "{region}" is lost')
def region_lost(context, region):
    context.world.steering.regions.mark_lost(region=region)


@when('the region "{region}" is back')
def region_back(context, region):
    context.world.mark_s = context.world.now_s
    context.world.steering.regions.mark_recovered(region=region)


@when('the link to "{region}" has a headroom of {headroom:g}')
def link_headroom(context, region, headroom):
    context.world.steering.regions.record_link_headroom(
        availability_zone=ZONE, region=region, headroom=headroom
    )


@when('{count:d} requests are sent to "{region}"')
def requests_sent(context, count, region):
    for _ in range(count * SCALE):
        context.world.steering.regions.record_sent(
            region=region, service=SERVICE
        )


def _assert_weight(context, region, weight, priority):
    found = context.world.weights(priority)[region]
    assert abs(found - weight) < TOLERANCE, context.world.weights(priority)


@then('the weight of "{region}" is {weight:g}')
def weight_is(context, region, weight):
    _assert_weight(context, region, weight, Priority.INTERACTIVE)


@then('the weight of "{region}" for batch work is {weight:g}')
def batch_weight_is(context, region, weight):
    _assert_weight(context, region, weight, Priority.BATCH)


@then('the weight of "{region}" is at most {weight:g}')
def weight_at_most(context, region, weight):
    found = context.world.weights(Priority.INTERACTIVE)[region]
    assert found <= weight + 1e-9, found


def _assert_ramp(context, ramp, since_s):
    for region in REGIONS:
        growth = context.world.growth(region=region, since_s=since_s)
        assert growth <= ramp * TICK_S + 1e-9, (region, growth)


@then("no weight grew by more than {ramp:g} in any second")
def ramp_bound(context, ramp):
    _assert_ramp(context, ramp, since_s=0.0)


@then(
    'no weight grew by more than {ramp:g} in any second since "{region}" {what}'
)
def ramp_bound_since(context, ramp, region, what):
    _assert_ramp(context, ramp, since_s=context.world.mark_s)


@then('the weight of "{region}" never grew after the limit')
def never_grew_after_limit(context, region):
    since_s = context.world.silent_since_s + REPORT_LIMIT_S
    growth = context.world.growth(region=region, since_s=since_s)
    assert growth <= 1e-9, growth


@then('the weight of "{region}" never grew')
def never_grew(context, region):
    growth = context.world.growth(region=region, since_s=0.0)
    assert growth <= 1e-9, growth


@then('{priority} work has "{region}" as its only choice')
def work_has_one_choice(context, priority, region):
    for draw in draws():
        order = context.world.choose(Priority(priority), draw)
        assert order == (region,), order


@then('{priority} work sent to "{region}" is tried nowhere else')
def work_not_retried_elsewhere(context, priority, region):
    for draw in draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[0] != region or order == (region,), order


@then(
    'at most {part:g} of {priority} work goes to "{region}", '
    'the rest to "{home}" alone'
)
def work_share_at_most(context, part, priority, region, home):
    sent = 0
    for draw in draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[:1] == (region,) or order == (home,), order
        sent += order[:1] == (region,)
    assert sent <= part * DRAWS, sent


@then('urgent work that is sent to another region is tried at "{region}" last')
def urgent_work_tried_last(context, region):
    for priority in (Priority.INTERACTIVE, Priority.COMMIT):
        for draw in draws():
            order = context.world.choose(priority, draw)
            assert region in order, order
            assert order[0] == region or order[-1] == region, order


@then('{priority} work has "{region}" at most once among its choices')
def work_has_once(context, priority, region):
    for draw in draws():
        order = context.world.choose(Priority(priority), draw)
        assert order.count(region) <= 1, order


@then('{priority} work goes to "{region}" first')
def work_goes_first(context, priority, region):
    for draw in draws():
        order = context.world.choose(Priority(priority), draw)
        assert order[:1] == (region,), order
