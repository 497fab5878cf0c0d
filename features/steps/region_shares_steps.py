"""Steps for the shares of a region's requests over all its entries."""

import random

from behave import given
from behave import then
from behave import when

from almondstair.core.region_shares import RegionShareLimiter

_OWN = "own"
_FAR = ("far", "farther")
_REQUESTS_PER_S = 15
_TOLD_INTERVAL_S = 0.15
_TOLD_DELAY_S = 0.3
_SETTLED_S = 6.0
_STEP_S = 0.05
_WINDOW_S = 2.0
_MOVE_SPAN_S = 20.0
_MOVE_AT_S = 6.0
_SEED = 5
_START_S = 100.0


@given("{count:d} entries that hear the sums of their region")
def step_entries(context, count):
    context.told = True
    _make_entries(context, count)


@given("{count:d} entries that hear nothing")
def step_entries_alone(context, count):
    context.told = False
    _make_entries(context, count)


def _make_entries(context, count):
    context.limiters = []
    for _ in range(count):
        limiter = RegionShareLimiter(own_region=_OWN, max_change=0.15)
        context.limiters.append(limiter)
    context.draws = random.Random(_SEED)
    context.sent = []
    context.moved_at_s = []


def _play(context, span_s, wish):
    """Sends requests; `wish` returns the region in which one is to run."""
    told = []
    waiting = {}
    next_told_s = _TOLD_INTERVAL_S
    steps = round(span_s / _STEP_S)
    for number in range(steps):
        now_s = _START_S + number * _STEP_S
        if number * _STEP_S >= next_told_s:
            next_told_s += _TOLD_INTERVAL_S
            told.append((now_s + _TOLD_DELAY_S, waiting))
            waiting = {}
        while context.told and told and told[0][0] <= now_s:
            _, counts = told.pop(0)
            for limiter in context.limiters:
                limiter.record_region_sent(counts, now_s=now_s)
        for limiter in context.limiters:
            if context.draws.random() > _REQUESTS_PER_S * _STEP_S:
                continue
            region = _place(context, limiter, wish(now_s - _START_S), now_s)
            limiter.record_sent(region, now_s=now_s)
            waiting[region] = waiting.get(region, 0) + 1
            context.sent.append((now_s - _START_S, region))


def _place(context, limiter, wished, now_s):
    limits = limiter.limits(now_s=now_s)
    if limits.underserved and wished != limits.underserved:
        context.moved_at_s.append(now_s - _START_S)
        return limits.underserved
    if wished in limits.excluded:
        context.moved_at_s.append(now_s - _START_S)
        return _OWN
    return wished


@when("for {span_s:g} s a third of their requests is for each of three regions")
def step_steady(context, span_s):
    _play(context, span_s, lambda _: context.draws.choice((_OWN, *_FAR)))


def _moved_share(context):
    settled = sum(at_s >= _SETTLED_S for at_s, _ in context.sent)
    return sum(at_s >= _SETTLED_S for at_s in context.moved_at_s) / settled


@then(
    "from second 6 on at most {share:g} of them are held back or sent to "
    "another region"
)
def step_few_moved(context, share):
    assert _moved_share(context) <= share, _moved_share(context)


@then(
    "from second 6 on at least {share:g} of them are held back or sent to "
    "another region"
)
def step_many_moved(context, share):
    assert _moved_share(context) >= share, _moved_share(context)


@when(
    "the part of their requests for another region goes from {before:g} to "
    "{after:g} at once"
)
def step_move(context, before, after):
    def wish(since_s):
        share = after if since_s >= _MOVE_AT_S else before
        return _FAR[0] if context.draws.random() < share else _OWN

    _play(context, _MOVE_SPAN_S, wish)


def _share_between(context, begin_s, end_s):
    found = []
    for at_s, region in context.sent:
        if begin_s <= at_s < end_s:
            found.append(region == _FAR[0])
    return sum(found) / len(found)


@then(
    "from one 2 s window to the next at most {limit:g} of all requests change "
    "their region"
)
def step_bound(context, limit):
    largest = 0.0
    for number in range(round((_MOVE_SPAN_S - 2 * _WINDOW_S) / _STEP_S)):
        begin_s = number * _STEP_S
        middle_s = begin_s + _WINDOW_S
        before = _share_between(context, begin_s, middle_s)
        after = _share_between(context, middle_s, middle_s + _WINDOW_S)
        largest = max(largest, abs(after - before))
    print(f"largest change: {largest:.3f}")
    assert largest <= limit, largest


@then("within {span_s:g} s {share:g} of them run there, to within {error:g}")
def step_reached(context, span_s, share, error):
    end_s = _MOVE_AT_S + span_s
    found = _share_between(context, end_s - _WINDOW_S, end_s)
    assert abs(found - share) <= error, found
