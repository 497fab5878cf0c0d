"""Steps of overload.feature."""

from behave import given
from behave import then
from behave import when
from hdrh.histogram import HdrHistogram

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import get
from features.support.harness import wait_until
from features.support.measured_load import LOOK_UP
from features.support.measured_load import MeasuredLoad

WORK_MS = 100.0
CAPACITY_PER_S = 60.0
STATEMENT = {"name": "statement", "path": "/statements/1", "deadline_ms": 2000}
MIX = [{**LOOK_UP, "weight": 2}, {**STATEMENT, "weight": 1}]


@given("three entries and two upstreams with 60 look-ups/s of capacity")
def step_two(context):
    shape = Shape(entries={"r1": 3}, upstreams={"r1": 2}, work_ms=WORK_MS)
    context.deployment = Deployment(processes=context.processes, shape=shape)
    context.deployment.start()
    context.load = MeasuredLoad(deployment=context.deployment)

    def answered():
        for entry in context.deployment.callers():
            if get(entry, "/matching/orders/0").status != 200:
                return False
        return True

    wait_until(answered, what="the first answers")
    context.load.run(
        entries=list(context.deployment.entries),
        rate=CAPACITY_PER_S / 2,
        length_s=2.0,
        classes=MIX,
    )


@when("{rate:g} requests/s come for {length_s:g} s, a third of them batch")
def step_come(context, rate, length_s):
    context.length_s = length_s
    context.forwards_before = _forwards(context)
    context.refused_before = context.load.refused_by_upstreams()
    context.load.run(
        entries=list(context.deployment.entries),
        rate=rate,
        length_s=length_s,
        classes=MIX,
    )


@then("the upstreams saw at most {factor:g} times the requests that came")
def step_saw(context, factor):
    # Callers come back when they are told to; that is load that comes.
    came = 0
    for record in context.load.records:
        came += len(record["attempts"])
    seen = len(context.load.runs()) + context.load.refused_by_upstreams()
    seen -= context.refused_before
    print(f"upstreams saw {seen}, {came} came ({seen / came:.3f})")
    assert seen <= factor * came, (seen, came)


@then("the entries forwarded at most {factor:g} times the requests that came")
def step_forwards(context, factor):
    came = 0
    for record in context.load.records:
        came += len(record["attempts"])
    forwards = _forwards(context) - context.forwards_before
    print(f"{forwards} forwards, {came} came ({forwards / came:.3f})")
    assert 0 < forwards <= factor * came, (forwards, came)


def _forwards(context):
    count = 0
    for name in context.deployment.entries:
        path = context.processes.directory / f"{name}.spans"
        count += path.read_text(encoding="utf-8").count('"forward"')
    return count


@then("the answers are at least {part:g} of capacity")
def step_goodput(context, part):
    done = 0
    started_s, _ = context.load.spans[-1]
    for run in context.load.runs():
        if run["outcome"] == "done":
            done += run["start"] < started_s + context.length_s
    print(f"{done} done in {context.length_s} s")
    assert done >= part * CAPACITY_PER_S * context.length_s, done


def _refused_part(context, name):
    refused = 0
    sent = 0
    for record in context.load.records:
        if record["class"] != name:
            continue
        for attempt in record["attempts"]:
            sent += 1
            refused += attempt["ran"] == "no"
    return refused / sent


@then("batch work was refused more than look-ups")
def step_batch_first(context):
    batch = _refused_part(context, "statement")
    look_ups = _refused_part(context, "look_up")
    print(f"refused: batch {batch:.2f}, look-ups {look_ups:.2f}")
    assert batch > look_ups + 0.2, (batch, look_ups)


@then(
    "each refusal has a time to come back and was sent within {limit_ms:d} ms"
)
def step_refusals(context, limit_ms):
    for record in context.load.records:
        for attempt in record["attempts"]:
            if attempt["ran"] != "no" or attempt["kind"] == "deadline_passed":
                continue
            assert attempt["retry_after_ms"], attempt
            if len(record["attempts"]) == 1:
                assert record["latency_ms"] < limit_ms, record


@then("{part:d} of 100 admitted look-ups took at most {limit_ms:d} ms")
def step_latency(context, part, limit_ms):
    histogram = HdrHistogram(1, 60_000, 3)
    for record in context.load.records:
        if record["class"] != "look_up" or len(record["attempts"]) != 1:
            continue
        if record["status"] == 200:
            histogram.record_value(max(1, round(record["latency_ms"])))
    worst_ms = histogram.get_value_at_percentile(part)
    print(f"p{part} {worst_ms} ms of {histogram.get_total_count()}")
    assert worst_ms <= limit_ms, worst_ms
