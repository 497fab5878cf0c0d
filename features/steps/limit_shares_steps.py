"""Steps for limits of upstreams that entries keep together, in virtual time."""

import itertools

from behave import given
from behave import then
from behave import when

from features.support.limit_world import LimitWorld
from features.support.limited_upstreams import tolerated

_ASKED_FACTOR = 3.0
# Requests per second that callers ask a limit of 0 for.
_LEAST_ASKED_PER_S = 6.0
_BEFORE_S = 4.0
_SPAN_S = 40.0
_STEP_S = 0.05


@given("{entries:d} entries in {zones:d} zones that hear each other")
def step_entries(context, entries, zones):
    context.world = LimitWorld(entries=entries, zones=zones)


def _play(context, limit, *, for_s, during=None, asked_per_s=0.0):
    """Plays callers that ask for more than a limit allows."""
    world = context.world
    context.limit_per_s = limit
    rate_per_s = max(_LEAST_ASKED_PER_S, _ASKED_FACTOR * limit, asked_per_s)
    context.known_after_s = None
    with world.running(busy=True):
        world.send(lambda _: rate_per_s, for_s=_BEFORE_S + for_s + _SPAN_S)
        world.advance(_BEFORE_S)
        world.state_limit(limit)
        began_s = world.now_s
        if during is not None:
            during(world)
        while world.now_s < began_s + for_s:
            world.advance(_STEP_S)
            if context.known_after_s is None and world.arrivals:
                if world.informed(limit) == len(world.members):
                    context.known_after_s = world.now_s - began_s


@when(
    "an upstream states {limit:g} a second, and callers ask it for 3 times as "
    "many"
)
def step_state(context, limit):
    _play(context, limit, for_s=_SPAN_S)


@when(
    "an upstream states {limit:g} a second, and callers ask it for {asked:g} "
    "a second"
)
def step_state_burst(context, limit, asked):
    _play(context, limit, for_s=_SPAN_S, asked_per_s=asked)


@when(
    "an upstream states {limit:g} a second, and an entry restarts every "
    "{gap:g} s"
)
def step_restarts(context, limit, gap):
    def during(world):
        names = sorted(world.members)

        def restart(number):
            world.restart(names[number % len(names)])
            world.schedule(gap, lambda: restart(number + 1))

        restart(0)

    _play(context, limit, for_s=_SPAN_S, during=during)


@when(
    "an upstream states {limit:g} a second, and {count:d} entries hear no "
    "others from {begin:g} s to {end:g} s"
)
def step_cut(context, limit, count, begin, end):
    def during(world):
        names = sorted(world.members)[:count]
        world.schedule(begin, lambda: world.partitioned.update(names))
        world.schedule(end, world.partitioned.clear)

    _play(context, limit, for_s=_SPAN_S, during=during)


@when("an upstream states {limit:g} a second for {span:g} s, and then none")
def step_end(context, limit, span):
    _play(context, limit, for_s=span)
    context.world.state_limit(None)


@then("no window has more requests than the operators tolerate")
def step_window(context):
    largest = context.world.largest_window()
    most = tolerated(context.limit_per_s)
    print(f"largest window: {largest} of {most:.1f}")
    assert largest <= most, (largest, most)


@then(
    "the upstream gets between {least:g} and {most:g} of its limit in the last "
    "{span:g} s"
)
def step_served(context, least, most, span):
    served = context.world.served_per_s(span) / context.limit_per_s
    assert least <= served <= most, served


@then("within {limit_s:g} s all entries that hear others knew the limit")
def step_known(context, limit_s):
    assert context.known_after_s is not None
    assert context.known_after_s <= limit_s, context.known_after_s


@then("within {limit_s:g} s no entry knows a limit")
def step_ended(context, limit_s):
    world = context.world
    ends_s = world.now_s + limit_s
    with world.continuing():
        while world.informed(None) < len(world.members):
            assert world.now_s < ends_s, world.informed(None)
            world.advance(_STEP_S)


@then("the upstream never waits longer than {most_s:g} s for its next request")
def step_gaps(context, most_s):
    world = context.world
    times_s = [*sorted(world.arrivals), world.now_s]
    gaps_s = [later - at_s for at_s, later in itertools.pairwise(times_s)]
    assert max(gaps_s) <= most_s, max(gaps_s)
