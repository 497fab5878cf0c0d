"""Steps for limits that entries divide among themselves, in virtual time."""

from behave import given
from behave import then
from behave import when

from features.support.shared_limit_world import RetryRule
from features.support.shared_limit_world import SharedLimitWorld

_RULE = RetryRule(ratio=0.2, slack=58.0, window_s=10.0)
# Registrations are old enough for shares, and buckets are full.
_SETTLED_S = 40.0
_END_S = 75.0
_BACK_S = 0.5


@given("9 entries with {rate:g} requests a second each")
def step_entries(context, rate):
    context.world = SharedLimitWorld(entries=9, rule=_RULE)
    context.world.rate_per_s = rate


@given("9 entries that start {gap:g} s apart")
def step_start_gap(context, gap):
    context.world = SharedLimitWorld(entries=9, rule=_RULE, start_gap_s=gap)


def _run(world):
    def begin():
        world.retrying = True

    world.at(_SETTLED_S, begin)
    world.run(_END_S)


@when("{count:d} of them are killed {times:d} times, {pause:g} s apart")
def step_killed(context, count, times, pause):
    world = context.world
    for number in range(times):
        at_s = _SETTLED_S + 0.2 + number * pause
        world.at(at_s, lambda: world.kill(world.names[:count], for_s=_BACK_S))
    _run(world)


def _cut(world, count, *, from_s, to_s):
    world.at(from_s, lambda: world.cut.update(world.names[:count]))
    world.at(to_s, world.cut.clear)


@when("{count:d} entries are cut off from the store for {span:g} s")
def step_cut(context, count, span):
    _cut(
        context.world, count, from_s=_SETTLED_S - 2, to_s=_SETTLED_S + span - 2
    )
    _run(context.world)


def _lose_leases(world, *, from_s, to_s):
    def begin():
        world.store_up = False

    def end():
        world.store_up = True
        world.expire_leases()

    world.at(from_s, begin)
    world.at(to_s, end)


@when("the store is away for {span:g} s and loses all leases")
def step_lost_leases(context, span):
    _lose_leases(
        context.world, from_s=_SETTLED_S + 0.5, to_s=_SETTLED_S + 0.5 + span
    )
    _run(context.world)


@when("leases lapse twice and all entries are killed once")
def step_lapses_and_kill(context):
    world = context.world
    _lose_leases(world, from_s=_SETTLED_S - 3.5, to_s=_SETTLED_S + 0.5)
    world.at(_SETTLED_S + 2, lambda: world.kill(world.names, for_s=_BACK_S))
    _lose_leases(world, from_s=_SETTLED_S + 8, to_s=_SETTLED_S + 9)
    _run(world)


@when("the load falls to {rate:g} requests a second each")
def step_load_falls(context, rate):
    world = context.world

    def fall():
        world.rate_per_s = rate

    world.at(_SETTLED_S + 4, fall)
    _run(world)


@then("no window has more retries than the budget allows")
def step_within_budget(context):
    from_s, retries, limit = context.world.worst_retry_window()
    print(f"worst window: {retries} of {limit:.0f} from {from_s:.1f} s")
    assert retries <= limit, f"{retries} of {limit:.1f} from {from_s:.1f} s"


@then("at least {least:d} requests are retried")
def step_retried(context, least):
    retries = len(context.world.retries)
    assert retries >= least, f"{retries} of {least}"


@then(
    "a cold upstream gets between {least:d} and {most:d} requests in its "
    "busiest second"
)
def step_cold(context, least, most):
    largest = context.world.largest_cold_second()
    assert least <= largest <= most, largest
