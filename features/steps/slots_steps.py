"""Steps of slots.feature."""

import time
from typing import NamedTuple

from behave import given
from behave import then
from behave import when

from features.support.bounded import BoundedDeployment
from features.support.bounded import max_concurrent_runs
from features.support.closed_loop import ClosedLoop
from features.support.closed_loop import LoadRequest
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.harness import wait_until

SLOTS = 3
CALLERS = 4
SHORT = LoadRequest(path="/matching/orders/1?work_ms=300", timeout_s=3.0)
BRIEF_MS = 3000
BRIEF = LoadRequest(
    path="/matching/statements/1?work_ms=2700",
    deadline_ms=BRIEF_MS,
    timeout_s=4.0,
)
# Lasts longer than a home stays frozen, so its slots stay in use meanwhile.
LONG_MS = 8000
LONG = LoadRequest(
    path="/matching/statements/1?work_ms=7000",
    deadline_ms=LONG_MS,
    timeout_s=9.0,
)


class _Region(NamedTuple):
    """A running region, shared by scenarios with the same long requests."""

    deployment: BoundedDeployment
    load: ClosedLoop
    long_ms: int


@given("a region with callers above its slots")
def step_region(context):
    _use_region(context, BRIEF, BRIEF_MS)


@given("a region with callers above its slots and long work")
def step_region_long(context):
    _use_region(context, LONG, LONG_MS)


def _use_region(context, long, long_ms):
    """Reuses the region of the previous scenario, or starts another."""
    running = getattr(context, "slots_region", None)
    if running is None or running.long_ms != long_ms:
        _end_region(context)
        region = _start_region(context, long, long_ms)
        context._set_root_attribute("slots_region", region)
        context.add_cleanup(_end_region, context, layer="feature")
    context.deployment = context.slots_region.deployment
    context.load = context.slots_region.load
    context.deployment.restore()
    for upstream in context.deployment.upstreams:
        _wait_full(context, upstream, limit_s=15.0)


def _end_region(context):
    running = getattr(context, "slots_region", None)
    if running is None:
        return
    context._set_root_attribute("slots_region", None)
    running.load.stop()
    running.deployment.processes.end()


def _start_region(context, long, long_ms):
    deployment = BoundedDeployment(
        processes=Processes(),
        shape=Shape(entries={"bkk": 3}, upstreams={"bkk": 2}, slots=SLOTS),
        long_ms=long_ms,
    )
    deployment.start()
    load = ClosedLoop(zone="bkk-1")
    for entry, addresses in deployment.entries.items():
        for request in (SHORT, long):
            load.add(
                entry=entry,
                address=addresses["caller"],
                request=request,
                callers=CALLERS,
            )
    return _Region(deployment, load, long_ms)


def _wait_full(context, upstream, limit_s):
    def is_full():
        return context.deployment.journal(upstream)["busy"] >= SLOTS

    wait_until(
        is_full, limit_s=limit_s, what=f"{upstream} with every slot used"
    )


def _find_home(context, upstream):
    for entry in context.deployment.entries:
        if context.deployment.status(entry) is None:
            continue
        return context.deployment.home_of(upstream, asked=entry)
    raise AssertionError("no entry answers")


def _child(context, name):
    return context.deployment.processes.children[name]


@when("the load lasts {seconds:g} s")
def step_keep_load(context, seconds):
    context.since_s = time.monotonic()
    time.sleep(seconds)


@when("the home of {upstream} is killed while {same} does not notice")
def step_kill_home(context, upstream, same):
    assert upstream == same
    context.victim = _find_home(context, upstream)
    _wait_full(context, upstream, limit_s=5.0)
    context.deployment.control(upstream, deaf=True)
    _child(context, context.victim).kill()
    context.since_s = time.monotonic()
    # Closed connections are detected within milliseconds on one host.
    time.sleep(0.2)
    context.deployment.control(upstream, deaf=False)


@when("the VM list says that it is gone")
def step_removed(context):
    context.deployment.remove(context.victim)


@when("it starts again")
def step_start_again(context):
    context.deployment.start_entry(context.victim)


@when("the home of {upstream} is frozen with work in flight for {seconds:g} s")
def step_freeze_home(context, upstream, seconds):
    context.victim = _find_home(context, upstream)
    context.upstream = upstream
    _wait_full(context, upstream, limit_s=8.0)
    child = _child(context, context.victim)
    child.freeze()
    context.since_s = time.monotonic()
    time.sleep(seconds)
    context.until_s = time.monotonic()
    child.thaw()


@then("its successor served short work of {upstream} meanwhile")
def step_successor(context, upstream):
    served = []
    for record in context.load.answered(since_s=context.since_s):
        if record.upstream != upstream or record.entry == context.victim:
            continue
        if context.since_s < record.start_s and (
            record.end_s < context.until_s
        ):
            served.append(record)
    assert served, f"no other entry used {upstream} while its home was silent"
    for record in served:
        assert record.path == SHORT.path, record
    first_s = min(record.end_s for record in served) - context.since_s
    print(
        f"reserve slot: {len(served)} requests, the first after {first_s:.2f} s"
    )


@when(
    "the home of {upstream} is cut off from the others {way} for {time_s:g} s"
)
def step_partition_home(context, upstream, way, time_s):
    deployment = context.deployment
    home = _find_home(context, upstream)
    others = deployment.successors_of(home)
    _wait_full(context, upstream, limit_s=8.0)
    context.since_s = time.monotonic()
    deployment.cut(home, others)
    if way == "both ways":
        for other in others:
            deployment.cut(other, [home])
    time.sleep(time_s)
    for name in (home, *others):
        deployment.cut(name, [])


@when("the service and VM list go out")
def step_platform_down(context):
    context.deployment.faults(down=True)


@when("the service and VM list come back")
def step_platform_up(context):
    context.deployment.faults(down=False)
    context.since_s = time.monotonic()


@when("two entries stop and start one after the other")
def step_rolling_restart(context):
    for name in tuple(context.deployment.entries)[:2]:
        code = _child(context, name).terminate(limit_s=20.0)
        assert code == 0, f"{name} ended with {code}"
        context.deployment.start_entry(name)
        wait_until(
            context.deployment.is_ready, limit_s=15.0, what="a deployment"
        )


@then("some work was done in the last {seconds:g} s")
def step_some_answered(context, seconds):
    answered = context.load.answered(since_s=time.monotonic() - seconds)
    assert answered, "no work was done"
    print(f"answered without the platform: {len(answered)} in {seconds:g} s")


@then("{upstream} takes work again within {seconds:g} s")
def step_again(context, upstream, seconds):
    def started():
        for run in context.deployment.journal(upstream)["runs"]:
            if run["start"] > context.since_s:
                return run["start"] - context.since_s
        return None

    elapsed_s = wait_until(started, limit_s=seconds, what=f"work at {upstream}")
    print(f"{upstream} accepts work again {elapsed_s:.2f} s later")


@then("{upstream} took no work in the {seconds:g} s after it")
def step_no_work_after(context, upstream, seconds):
    for run in context.deployment.journal(upstream)["runs"]:
        after_s = run["start"] - context.since_s
        assert not 0 < after_s < seconds, f"work after {after_s:.2f} s: {run}"


@then("every slot of {upstream} is used again within {seconds:g} s")
def step_full_again(context, upstream, seconds):
    start_s = time.monotonic()
    _wait_full(context, upstream, limit_s=seconds)
    elapsed_s = time.monotonic() - start_s
    print(f"{upstream} is at capacity {elapsed_s:.2f} s later")


@then("every slot of each upstream was in use at some time")
def step_all_used(context):
    for upstream in context.deployment.upstreams:
        max_in_flight = context.deployment.journal(upstream)["max_in_flight"]
        assert max_in_flight == SLOTS, (
            f"{upstream} had at most {max_in_flight} in flight"
        )


@then("no upstream and no region had more in flight than its slots")
def step_bounded(context):
    runs = []
    for upstream in context.deployment.upstreams:
        journal = context.deployment.journal(upstream)
        max_in_flight = journal["max_in_flight"]
        print(
            f"{upstream}: {len(journal['runs'])} runs, at most {max_in_flight}"
        )
        assert max_in_flight <= SLOTS, (
            f"{upstream} had {max_in_flight} in flight"
        )
        assert journal["refused"]["over_slots"] == 0, journal["refused"]
        runs.extend(journal["runs"])
    max_in_flight = max_concurrent_runs(runs)
    assert max_in_flight <= SLOTS * len(context.deployment.upstreams), (
        max_in_flight
    )


@then("every refusal says that nothing ran and when to come back")
def step_refusals(context):
    refusals = context.load.refused(kind="no_slot")
    assert refusals, "nothing was refused"
    for record in refusals:
        assert record.problem["ran"] == "no", record
        assert record.problem["retry_after_ms"] > 0, record
