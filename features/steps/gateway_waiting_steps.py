"""Steps for requests that wait at an entry, simulated and with processes."""

import json
from pathlib import Path

from behave import given
from behave import then
from behave import when

from almondstair.core import entry_waits
from almondstair.core.entry_waits import EntryQueue
from emulator import documents
from features.support import harness
from features.support.mixed_load import MixedLoad
from features.support.mixed_load import RequestKind

# Shares of the slots that each kind uses at a load of 1.
_SHORT_SHARE = 0.3
_LONG_SHARE = 0.7


@given(
    "{count:d} upstreams of {slots:d} slots that get short runs of "
    "{short_s:g} s and long ones of {long_s:g} s"
)
def step_upstreams(context, count, slots, short_s, long_s):
    context.upstreams = count
    context.slots = slots
    context.runs_s = {"short": short_s, "long": long_s}


@when(
    "{times:g} times their slots are asked for {span_s:g} s, with waits at "
    "the entry"
)
def step_asked(context, times, span_s):
    work = times * context.upstreams * context.slots
    runs_s = context.runs_s
    context.kinds = [
        RequestKind("short", _SHORT_SHARE * work / runs_s["short"], 0.1, 0.25),
        RequestKind("long", _LONG_SHARE * work / runs_s["long"], 0.45, 1.0),
    ]
    context.span_s = span_s
    context.found = MixedLoad(
        upstreams=context.upstreams,
        slots=context.slots,
        kinds=context.kinds,
        waits=True,
    ).run(span_s=span_s)


@then("{share:g} of the {name} requests are answered in their aim")
def step_in_aim(context, share, name):
    outcome = context.found[name]
    assert outcome.in_target >= share * outcome.asked, context.found


@then("what is answered in its aim takes {share:g} of the slots")
def step_work(context, share):
    work_s = 0.0
    for kind in context.kinds:
        work_s += context.found[kind.name].in_target * kind.run_s
    used = work_s / context.span_s / context.upstreams / context.slots
    assert used >= share, (used, context.found)


@then(
    "at most {count:d} requests and {most_bytes:d} bytes wait, and look "
    "{looks:d} times a second"
)
def step_bounded(context, count, most_bytes, looks):
    queue = EntryQueue()
    waiting = []
    while queue.has_capacity(body_bytes=0):
        waiting.append(queue.hold_waiting(body_bytes=0))
        waiting[-1].__enter__()
        assert len(waiting) / queue.attempt_interval_s <= looks, len(waiting)
    assert len(waiting) == count
    for request in waiting:
        request.__exit__(None, None, None)
    with queue.hold_waiting(body_bytes=most_bytes):
        assert not queue.has_capacity(body_bytes=1)
    assert queue.has_capacity(body_bytes=most_bytes)


@then(
    "a request waits no longer than {most_s:g} s, and not when it cannot be "
    "timely"
)
def step_wait_limits(context, most_s):
    def should_wait(target_s, age_s, run_s):
        return entry_waits.should_wait(
            target_latency_s=target_s,
            shortest_target_s=0.25,
            age_s=age_s,
            run_s=run_s,
        )

    assert should_wait(target_s=30.0, age_s=most_s - 0.1, run_s=1.0)
    assert not should_wait(target_s=30.0, age_s=most_s, run_s=1.0)
    assert should_wait(target_s=1.0, age_s=0.4, run_s=0.5)
    assert not should_wait(target_s=1.0, age_s=0.6, run_s=0.5)
    assert not should_wait(target_s=0.4, age_s=0.0, run_s=0.1)


@given(
    'a route "{first}" with an aim of {first_s:g} s and "{second}" with one '
    "of {second_s:g} s"
)
def step_routes(context, first, first_s, second, second_s):
    routes = []
    for prefix, aim_s in ((first, first_s), (second, second_s)):
        rule = documents.route(prefix, kind="unsafe")
        rule["targetLatencyS"] = aim_s
        routes.append(rule)
    context.world.configure([*context.world.routes, *routes])

    def in_force():
        answer = harness.get(
            context.world.gateways["g1"]["callers"],
            second + "known",
            headers=context.world.headers(),
        )
        return answer.status == 200

    harness.wait_until(in_force, what=f"route {second}")


@then("each was answered and ran once, and none of them joined a queue")
def step_no_queue(context):
    statuses = [answer.status for _, answer, _ in context.answers]
    assert set(statuses) == {200}, statuses
    log = Path(context.processes.children["g1"].log)
    wanted = {request_id for request_id, _, _ in context.answers}

    def answered():
        found = {}
        for row in log.read_text(encoding="utf-8").splitlines():
            if '"request_answered"' not in row:
                continue
            line = json.loads(row[row.index("{") :])
            if line["request"] in wanted:
                found.setdefault(line["request"], []).append(line)
        return found if len(found) == len(wanted) else None

    found = harness.wait_until(answered, what="all responses in the log")
    for lines in found.values():
        assert [line["queue_ms"] for line in lines] == [0], lines
        assert lines[0]["tries"] == 1, lines
    ran = [run["request"] for run in context.world.all_runs()]
    for request_id in wanted:
        assert ran.count(request_id) == 1, ran
