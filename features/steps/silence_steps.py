"""Steps of silence.feature."""

import time

from behave import given
from behave import then
from behave import when

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import get
from features.support.harness import wait_until
from features.support.measured_load import LOOK_UP
from features.support.measured_load import MeasuredLoad

WORK_MS = 20.0
SLOW_MS = 120.0
RATE_PER_S = 90.0
ALL_REQUESTS = 100_000  # more than a scenario sends
# Error kinds of an attempt that waited for a frozen entry.
SILENT_ENTRY_KINDS = ("entry_lost", "upstream_timeout")


def _start(context, shape):
    context.deployment = Deployment(processes=context.processes, shape=shape)
    context.deployment.start()
    context.load = MeasuredLoad(deployment=context.deployment)

    def answered():
        for entry in context.deployment.callers():
            if get(entry, "/matching/orders/0").status != 200:
                return False
        return True

    wait_until(answered, what="the first answers")


@given("a region with an entry and {count} upstreams")
def step_region(context, count):
    upstreams = {"r1": {"three": 3, "four": 4}[count]}
    shape = Shape(entries={"r1": 1}, upstreams=upstreams, work_ms=WORK_MS)
    _start(context, shape)


@given("two regions, spread, with an entry and two upstreams each")
def step_two_regions(context):
    upstreams = {"r1": 2, "r2": 2}
    shape = Shape(
        entries={"r1": 1, "r2": 1},
        upstreams=upstreams,
        profile="spread",
        work_ms=WORK_MS,
    )
    _start(context, shape)


@when("look-ups come for {length_s:g} s")
def step_send_lookups(context, length_s):
    _send_lookups(context, "r1-e0", length_s, RATE_PER_S)


@when('look-ups come to "{entry}" for {length_s:g} s')
def step_send_lookups_to(context, entry, length_s):
    _send_lookups(context, entry, length_s, RATE_PER_S)


@when(
    'look-ups come to "{entry}" for {length_s:g} s at twice the slots of '
    '"{region}"'
)
def step_send_lookups_twice_slots(context, entry, length_s, region):
    shape = context.deployment.shape
    slots = shape.upstreams[region] * shape.slots
    _send_lookups(context, entry, length_s, 2 * slots / (WORK_MS / 1000))


def _send_lookups(context, entry, length_s, rate):
    context.load.run(
        entries=[entry], rate=rate, length_s=length_s, classes=[LOOK_UP]
    )


@when('"{name}" fails its answers at once while its health says well')
def step_fail(context, name):
    context.deployment.control(name, fail=ALL_REQUESTS, work_ms=1.0)
    answer = get(context.deployment.upstreams[name], "/_health")
    assert answer.json()["state"] == "well"


@when('the upstreams of "{region}" fail their answers at once')
def step_region_fails(context, region):
    for name in context.deployment.upstreams:
        if name.startswith(region):
            context.deployment.control(
                name, fail=ALL_REQUESTS, work_ms=1.0, load="lie"
            )


@when('"{name}" gets slow and its load reports {fault:w}')
def step_fault(context, name, fault):
    context.deployment.control(name, load=fault, work_ms=SLOW_MS)


@when('entry "{name}" freezes')
def step_freezes(context, name):
    context.processes.children[name].freeze()


@when("{pause_s:g} s pass")
def step_wait(context, pause_s):
    time.sleep(pause_s)


@then('the share of "{name}" fell below half of what it was')
def step_fell(context, name):
    before = context.load.share(name, span=0)
    after = context.load.share(name, last_s=3.0)
    print(f"share of {name}: {before:.3f} before, {after:.3f} after")
    assert after < before / 2, (before, after)


@then('the shares of "{names}" are below {part:g} of a fair share')
def step_below_fair(context, names, part):
    fair_share = 1.0 / len(context.deployment.upstreams)
    for name in names.split(", "):
        before = context.load.share(name, span=0)
        after = context.load.share(name)
        print(f"share of {name}: {before:.3f} before, {after:.3f} after")
        assert after < part * fair_share, (name, before, after)


@then('the share of "{region}" in the last {last_s:g} s is at most {limit:g}')
def step_share(context, region, last_s, limit):
    before = context.load.share(region, span=0)
    after = context.load.share(region, last_s=last_s)
    print(f"share of {region}: {before:.3f} before, {after:.3f} after")
    assert after <= limit, (before, after)


@then('no look-up of that time ran in "{region}"')
def step_none_ran(context, region):
    share = context.load.share(region)
    assert share == 0.0, share
    assert len(context.load.runs()) > 0


@then("no upstream of the deployment exceeded its slots")
def step_slots(context):
    for name in context.deployment.upstreams:
        max_in_flight = context.deployment.journal(name)["max_in_flight"]
        assert max_in_flight <= context.deployment.shape.slots, (
            name,
            max_in_flight,
        )


@then("no caller waited for a silent entry, and refusals say when to come back")
def step_refused_with_retry_time(context):
    refused = 0
    for record in context.load.records:
        # Later attempts may have too little time left to be served.
        first = record["attempts"][0]
        assert first["kind"] not in SILENT_ENTRY_KINDS, first
        for attempt in record["attempts"]:
            if attempt["ran"] != "no" or attempt["kind"] == "deadline_passed":
                continue
            refused += 1
            assert attempt["retry_after_ms"], attempt
    assert refused
