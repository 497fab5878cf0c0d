"""Steps of standing_still.feature: real processes, one stopped at times."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair import running
from almondstair.core.admission_records import Outcome
from almondstair.dispatch import Sender
from almondstair.http_client import no_pace
from almondstair.tracing import Tracing
from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import get
from features.support.harness import wait_until
from features.support.measured_load import LOOK_UP

WORK_MS = 100.0
RATE_PER_S = 60
CYCLE_S = 0.5
ENTRY = "r1-e0"
UPSTREAM = "r1-u0"


@given(
    "an entry and an upstream of {slots:d} slots, with more requests than that"
)
def step_entry(context, slots):
    shape = Shape(
        entries={"r1": 1}, upstreams={"r1": 1}, slots=slots, work_ms=WORK_MS
    )
    context.deployment = Deployment(processes=context.processes, shape=shape)
    context.deployment.start()
    [address] = context.deployment.callers()
    wait_until(
        lambda: get(address, "/matching/orders/0").status == 200,
        what="the first answer",
    )
    context.load = context.processes.start_caller(
        "--no-look-up",
        "--rate",
        str(RATE_PER_S),
        "--count",
        str(RATE_PER_S * 60),
        entries=[address],
        service=SERVICE,
        classes=[LOOK_UP],
    )
    wait_until(
        lambda: _most_at_once(context.deployment) == slots,
        what="every slot in use",
    )


@when("the entry stands still for {still_s:g} s in each of six half seconds")
def step_stands_still(context, still_s):
    entry = context.processes.children[ENTRY]
    for _ in range(6):
        entry.freeze()
        time.sleep(still_s)
        entry.thaw()
        time.sleep(CYCLE_S - still_s)
    context.over_s = time.monotonic()


@then("{slots:d} slots of the upstream are in use at once within {limit_s:g} s")
def step_in_use(context, slots, limit_s):
    time.sleep(limit_s)
    context.load.terminate()
    most = _most_at_once(
        context.deployment, context.over_s, context.over_s + limit_s
    )
    assert most == slots, most


def _most_at_once(deployment, from_s=0.0, to_s=float("inf")):
    """Returns how many requests ran at once at the upstream in a span."""
    changes = []
    for run in deployment.journal(UPSTREAM)["runs"]:
        if run["start"] >= to_s or run.get("end", to_s) <= from_s:
            continue
        changes.append((max(from_s, run["start"]), 1))
        changes.append((run.get("end", to_s), -1))
    most = 0
    running = 0
    for _, change in sorted(changes):
        running += change
        most = max(most, running)
    return most


# A request that is too late.


@given("an upstream that takes connections")
def step_upstream(context):
    context.received = []


@when("a request whose deadline has passed is to be written to it")
def step_too_late(context):
    context.attempt = asyncio.run(_write_late(context.received))


async def _write_late(received):
    async def accept(reader, writer):
        received.append(await reader.read())
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    call = mock.Mock(traceparent="")
    call.head.deadline_s = time.monotonic() - 0.1
    tracing = Tracing(
        exporter="none", file="", sample_fraction=0.0, entry_name=ENTRY
    )
    attempt = await Sender(tracing=tracing, own_zone="r1-1").to_upstream(
        call=call,
        name=UPSTREAM,
        upstream=mock.Mock(address=f"{ip}:{port}"),
        may_write=lambda: True,
        pace=no_pace,
    )
    async with asyncio.timeout(1.0):
        while not received:
            await asyncio.sleep(0.01)
    server.close()
    return attempt


@then("no byte was written, and it does not count against the upstream")
def step_no_blame(context):
    assert context.received == [b""], context.received
    outcome = running._OUTCOMES[context.attempt.exchange.sent]
    assert outcome is Outcome.CANCELLED, outcome
