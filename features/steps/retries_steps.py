"""Steps of retries.feature."""

import random

from behave import given
from behave import then
from behave import when

from almondstair.core.retries import RetryBudget
from almondstair.core.retries import retry_after_ms
from features.support.steering_world import DRAWS
from features.support.steering_world import draws


@given("a retry budget of {fraction:g}")
def retry_budget(context, fraction):
    context.budget = RetryBudget(fraction=fraction)
    context.now_s = 0.0


def _send_first_attempts(context, *, length_s, rate, refused_fraction):
    """Sends first attempts; a part of all attempts is refused, retries too."""
    before = context.budget.counts
    draw = random.Random(1)
    for _ in range(length_s * rate):
        context.now_s += 1.0 / rate
        context.budget.record_first_attempt(now_s=context.now_s)
        while draw.random() < refused_fraction:
            if not context.budget.try_retry(now_s=context.now_s):
                break
    after = context.budget.counts
    context.first_attempts = after.first_attempts - before.first_attempts
    context.retries = after.retries - before.retries


@when(
    "for {length_s:d} s {rate:d} first tries a second come and each refused "
    "one is retried"
)
def refused_retried(context, length_s, rate):
    _send_first_attempts(
        context, length_s=length_s, rate=rate, refused_fraction=0.5
    )


@when(
    "for {length_s:d} s {rate:d} first tries a second come and none is refused"
)
def none_refused(context, length_s, rate):
    _send_first_attempts(
        context, length_s=length_s, rate=rate, refused_fraction=0.0
    )


@when("one first try comes and is refused")
def one_refused(context):
    context.budget.record_first_attempt(now_s=context.now_s)


@then("it may be retried once, and not twice")
def once_not_twice(context):
    assert context.budget.try_retry(now_s=context.now_s)
    assert not context.budget.try_retry(now_s=context.now_s)


@then("retries are at most {fraction:g} of first tries")
def retries_at_most(context, fraction):
    assert context.retries <= fraction * context.first_attempts, context.retries


@then(
    "retries of the last {length_s:d} s are at most {fraction:g} of its "
    "first tries"
)
def late_retries_at_most(context, length_s, fraction):
    assert context.retries <= fraction * context.first_attempts, context.retries


@then("retries are at least {fraction:g} of first tries")
def retries_at_least(context, fraction):
    assert context.retries >= fraction * context.first_attempts, context.retries


def _assert_spread(low_ms, high_ms, base_ms, load_ratio):
    times_ms = []
    for draw in draws():
        times_ms.append(
            retry_after_ms(base_ms=base_ms, draw=draw, load_ratio=load_ratio)
        )
    step_ms = (high_ms - low_ms) / DRAWS
    assert min(times_ms) == low_ms, min(times_ms)
    assert high_ms - step_ms <= max(times_ms) <= high_ms, max(times_ms)
    assert len(set(times_ms)) == DRAWS


@then(
    "times to come back from a base of {base_ms:d} ms spread over "
    "{low_ms:d} to {high_ms:d} ms"
)
def times_spread(context, base_ms, low_ms, high_ms):
    context.base_ms = base_ms
    _assert_spread(low_ms, high_ms, base_ms, 1.0)


@then("at twice the capacity they spread over {low_ms:d} to {high_ms:d} ms")
def times_spread_at_twice_capacity(context, low_ms, high_ms):
    _assert_spread(low_ms, high_ms, context.base_ms, 2.0)
