"""Steps of standing_still.feature."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair import runner
from almondstair.core.admission_records import Outcome
from almondstair.core.loop_stall import TICK_INTERVAL_S
from almondstair.dispatch import Sender
from almondstair.http_client import unlimited_pace
from almondstair.tracing import Tracing

# Run time of the requests of `Bench` when the loop does not stall.
USUAL_RUN_S = 0.1
ENTRY = "r1-e0"
UPSTREAM = "r1-u0"


# Steps in virtual time, see `Bench` of the admission steps.


@when("it stands still for {still_s:f} s before it reads each of 10 answers")
def step_stall(context, still_s):
    for _ in range(10):
        _run_request(context.bench, USUAL_RUN_S, still_s)


@when(
    "it is late by {late_s:f} s at each turn, and 10 answers take {times:d} "
    "times as long"
)
def step_late(context, late_s, times):
    for _ in range(10):
        _run_request(context.bench, times * USUAL_RUN_S, late_s, late_s=late_s)


def _run_request(bench, run_s, stall_s, *, late_s=0.0):
    """Runs a request while the loop ticks, and stalls the loop at its end."""
    loop_stall = bench.tables["a"].loop_stall
    admission = bench.acquire()
    loop_stall.record_tick(now_s=bench.now_s)
    end_s = bench.now_s + run_s
    while bench.now_s + TICK_INTERVAL_S + late_s < end_s:
        bench.now_s += TICK_INTERVAL_S + late_s
        loop_stall.record_tick(now_s=bench.now_s)
    bench.answer(admission, after_s=end_s + stall_s - bench.now_s)
    loop_stall.record_tick(now_s=bench.now_s)


# A request whose deadline has passed.


@given("an upstream that takes connections")
def step_upstream(context):
    context.received = []


@when("a request whose deadline has passed is to be written to it")
def step_deadline_passed(context):
    context.attempt = asyncio.run(_send_after_deadline(context.received))


async def _send_after_deadline(received):
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
    attempt = await Sender(tracing=tracing, own_zone="r1-1").send_to_upstream(
        call=call,
        name=UPSTREAM,
        upstream=mock.Mock(address=f"{ip}:{port}"),
        may_write=lambda: True,
        pace=unlimited_pace,
    )
    async with asyncio.timeout(1.0):
        while not received:
            await asyncio.sleep(0.01)
    server.close()
    return attempt


@then("no byte was written, and it does not count against the upstream")
def step_not_counted(context):
    assert context.received == [b""], context.received
    outcome = runner._SLOT_OUTCOMES[context.attempt.exchange.outcome]
    assert outcome is Outcome.CANCELLED, outcome
