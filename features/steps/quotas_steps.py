"""Steps for quotas over all entries, in virtual time."""

import re

from behave import given
from behave import then
from behave import when

from almondstair.core.organisations import Organisation
from features.support.quota_world import WINDOW_S
from features.support.quota_world import QuotaWorld
from features.support.quota_world import Traffic
from features.support.quota_world import rule_limit

_ENTRIES = 84
_ZONES = 6
_SPAN_S = 20.0
_CHANGE_S = 8.0
_BURST_S = 0.3


@given("an organisation with a quota of {rate:g} requests a second")
def step_organisation(context, rate):
    context.organisation = Organisation("blue", (), None, rate, rate)
    context.world = QuotaWorld(
        entries=_ENTRIES, zones=_ZONES, organisations=[context.organisation]
    )


@given("{count:d} entries are cut off from the others")
def step_cut(context, count):
    names = sorted(context.world.members)
    context.world.partitioned.update(names[:count])


def _named_entries(world, text):
    if text == "all entries":
        return list(world.members)
    count = re.fullmatch(r"(\d+) entries", text)
    if count:
        return sorted(world.members)[: int(count[1])]
    return world.names_in(text.rpartition(" ")[2])


def _play(context, rate_per_s, entries):
    world = context.world
    traffic = Traffic(context.organisation, rate_per_s, entries)
    with world.running(busy=True):
        world.send(traffic, for_s=_SPAN_S)
        world.advance(_SPAN_S)


@when("it sends {rate:g} a second through {entries} for 20 s")
def step_send(context, rate, entries):
    _send(context, rate, entries, 1.0)


@when(
    "it sends {rate:g} a second through {entries} for 8 s, and {times:g} times "
    "as many for 12 s"
)
def step_flood(context, rate, entries, times):
    _send(context, rate, entries, times)


def _send(context, rate, entries, times):
    names = _named_entries(context.world, entries)

    def rate_per_s(since_s):
        return rate * times if since_s >= _CHANGE_S else rate

    _play(context, rate_per_s, lambda _: names)


@when(
    "it sends {rate:g} a second for 20 s and moves from {before} to {after} "
    "after 8 s"
)
def step_move(context, rate, before, after):
    world = context.world
    names = {False: world.names_in(before), True: world.names_in(after)}
    _play(context, lambda _: rate, lambda since_s: names[since_s >= _CHANGE_S])


@when(
    "it sends {rate:g} a second for 20 s and {count:d} more within 0.3 s at 8 s"
)
def step_burst(context, rate, count):
    names = list(context.world.members)

    def rate_per_s(since_s):
        if _CHANGE_S <= since_s < _CHANGE_S + _BURST_S:
            return count / _BURST_S
        return rate

    _play(context, rate_per_s, lambda _: names)


@then("none of its requests is refused")
def step_none_refused(context):
    refused = context.world.refused(context.organisation)
    asked = len(context.world.asked[context.organisation.name])
    assert refused == 0, f"{refused} of {asked} refused"


@then("no window of 5 s has more of its requests than tolerated")
def step_window(context):
    largest = context.world.largest_window(context.organisation)
    limit = rule_limit(context.organisation)
    print(f"largest window: {largest} of {limit:.0f}")
    assert largest <= limit, (largest, limit)


@then("it gets at least {share:g} of its quota in the last {span_s:g} s")
def step_share(context, share, span_s):
    world = context.world
    granted = 0
    for request in world.asked[context.organisation.name]:
        if request.granted and request.at_s > world.now_s - span_s:
            granted += 1
    quota = context.organisation.rate_per_s * span_s
    assert granted >= share * quota, (granted, quota, WINDOW_S)
