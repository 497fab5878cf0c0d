"""Steps for requests reported as not run, against real processes."""

import itertools
import threading
import time

from behave import given
from behave import then
from behave import when

from almondstair.core.requests import RequestProgress
from features.support.harness import wait_until
from features.support.random_faults import RandomFaults

STEP_LIMIT_S = 10.0
DEADLINES_MS = (60, 200, 1000)
KEYED_INTERVAL = 4
SWITCH_INTERVAL_S = 0.5
MAX_ROUNDS = 5


def _is_answered(request):
    return request.ran == "yes" and request.status == 200


@given(
    "{count:d} look-ups through {region:w} and through {other:w}, which leave "
    "room for retries"
)
def step_first_attempts(context, count, region, other):
    """Sends first attempts, because the retry budget is a fraction of them."""
    for _ in range(count):
        for name in (region, other):
            context.sender.look_up(entry=f"{name}-e0").wait()


@when("the slot of {upstream:S} is taken for {work_ms:d} ms")
def step_occupy_slot(context, upstream, work_ms):
    region = upstream.partition("-")[0]
    query = f"work_ms={work_ms}"
    requests = []

    def is_busy():
        # An upstream that has just become healthy accepts few requests at
        # first, so another is sent when the last one got an answer.
        if not requests or requests[-1].body:
            request = context.sender.look_up(entry=f"{region}-e0", query=query)
            requests.append(request)
        return context.deployment.journal(upstream)["busy"]

    wait_until(is_busy, limit_s=STEP_LIMIT_S, what="a busy slot")


@when("{upstream:S} cuts its next answer")
def step_truncate_one(context, upstream):
    context.deployment.control(upstream, cut=1, cut_after_bytes=0)


@when("a look-up is sent through {region:w}")
def step_look_up(context, region):
    context.last = context.sender.look_up(entry=f"{region}-e0")


@when("a look-up that takes {work_ms:d} ms is sent through {region:w}")
def step_long_look_up(context, work_ms, region):
    context.last = context.sender.look_up(
        entry=f"{region}-e0", query=f"work_ms={work_ms}"
    )


@when("an upstream runs {count:d} requests")
def step_runs(context, count):
    """Waits until `count` requests run at all upstreams together."""

    def are_running():
        busy = 0
        for upstream in context.deployment.upstreams:
            busy += context.deployment.journal(upstream)["busy"]
        return busy == count

    wait_until(are_running, limit_s=STEP_LIMIT_S, what="running requests")


@when("upstreams drain and cut answers by turns")
def step_alternate_faults(context):
    stopped = threading.Event()

    def switch_faults():
        names = sorted(context.deployment.upstreams)
        while not stopped.wait(SWITCH_INTERVAL_S):
            names.reverse()
            context.deployment.control(names[0], draining=True)
            context.deployment.control(
                names[1], draining=False, cut=2, cut_after_bytes=0
            )

    thread = threading.Thread(target=switch_faults)
    thread.start()

    def stop():
        stopped.set()
        thread.join()

    context.add_cleanup(stop)


@when(
    "{count:d} requests that take {work_ms:d} ms are sent through all entries "
    "in {duration_ms:d} ms"
)
def step_overload(context, count, work_ms, duration_ms):
    rounds = itertools.count()

    def send():
        _send_round(context, count, work_ms, duration_ms, next(rounds))

    context.send_round = send
    send()


def _send_round(context, count, work_ms, duration_ms, round_number):
    entries = sorted(context.deployment.entries)
    query = f"work_ms={work_ms}"
    for number in range(count):
        entry = entries[number % len(entries)]
        deadline_ms = DEADLINES_MS[number // len(entries) % len(DEADLINES_MS)]
        if number % KEYED_INTERVAL:
            context.sender.look_up(
                entry=entry, query=query, deadline_ms=deadline_ms
            )
        else:
            context.sender.approve(
                entry=entry,
                key=f"key-{round_number}-{number}",
                query=query,
                deadline_ms=deadline_ms,
            )
        time.sleep(duration_ms / 1000 / count)


@when(
    "keys are sent and repeated for {duration_s:d} s under random faults of "
    "seed {seed:d}"
)
def step_random(context, duration_s, seed):
    faults = RandomFaults(sender=context.sender, seed=seed)
    faults.run(duration_s=duration_s)


@then("the last answer is not from an upstream and may have run")
def step_unknown(context):
    last = context.last.wait()
    assert last.ran == "unknown", last.summary
    assert last.status != 200, last.summary


@then(
    "at least {refused:d} were not run and at least {answered:d} were answered"
)
def step_counts(context, refused, answered):
    """Sends more rounds until both outcomes were seen often enough.

    The number of requests answered in a round depends on the host: after each
    truncated response an upstream gets one request at a time for a while.
    """
    for _ in range(MAX_ROUNDS):
        not_run, complete = _count_outcomes(context)
        if not_run >= refused and complete >= answered:
            return
        context.send_round()
    assert not_run >= refused, f"{not_run} were not run"
    assert complete >= answered, f"{complete} were answered"


def _count_outcomes(context):
    not_run = 0
    complete = 0
    for request in context.sender.all:
        request.wait()
        not_run += request.ran == "no"
        complete += _is_answered(request)
    return not_run, complete


@given("a request that was dispatched and lost")
def step_dispatched(context):
    context.progress = RequestProgress()
    assert context.progress.try_dispatch()


@when("it is dispatched again and refused")
def step_refused(context):
    assert context.progress.try_dispatch()
    context.progress.record_not_run()


@then("it may have run")
def step_progress_unknown(context):
    assert context.progress.may_have_run
