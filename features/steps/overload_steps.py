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
def step_start(context):
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
def step_offer_load(context, rate, length_s):
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
def step_upstream_requests(context, factor):
    # Callers retry when a refusal asks for it; these attempts count as load.
    offered = 0
    for record in context.load.records:
        offered += len(record["attempts"])
    received = len(context.load.runs()) + context.load.refused_by_upstreams()
    received -= context.refused_before
    print(
        f"upstreams: {received}, offered: {offered} ({received / offered:.3f})"
    )
    assert received <= factor * offered, (received, offered)


@then("the entries forwarded at most {factor:g} times the requests that came")
def step_forwards(context, factor):
    offered = 0
    for record in context.load.records:
        offered += len(record["attempts"])
    forwards = _forwards(context) - context.forwards_before
    print(
        f"{forwards} forwards for {offered} attempts ({forwards / offered:.3f})"
    )
    assert 0 < forwards <= factor * offered, (forwards, offered)


def _forwards(context):
    count = 0
    for name in context.deployment.entries:
        path = context.processes.directory / f"{name}.spans"
        count += path.read_text(encoding="utf-8").count('"forward"')
    return count


@then("the answers are at least {part:g} of capacity")
def step_goodput(context, part):
    completed = 0
    started_s, _ = context.load.spans[-1]
    for run in context.load.runs():
        if run["outcome"] == "done":
            completed += run["start"] < started_s + context.length_s
    print(f"{completed} completed in {context.length_s} s")
    assert completed >= part * CAPACITY_PER_S * context.length_s, completed


def _refused_fraction(context, name):
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
    batch = _refused_fraction(context, "statement")
    lookups = _refused_fraction(context, "look_up")
    print(f"refused: batch {batch:.2f}, lookups {lookups:.2f}")
    assert batch > lookups + 0.2, (batch, lookups)


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
