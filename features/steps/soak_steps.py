"""Steps for the soak test and its checks."""

import asyncio
from pathlib import Path
import re
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from emulator import ports
from emulator import statement_rules
from emulator.statement_rules import AnswerHead
from emulator.statement_rules import CallerTry
from emulator.store import Store
from features.support.harness import ROOT
from scripts import run_features
from soak import checks
from soak import plan
from soak.checks import SentRequest
from soak.checks import Span
from soak.checks import UpstreamRun
from soak.loop_watch import TICK_S
from soak.loop_watch import LoopWatch

# Time over which a restored store makes lost writes again.
_AGAIN_S = 0.2
_CALM_SENT = [
    SentRequest("a", "/safe/1", True, 1.0, 1.1, 200, "seal-a", True),
    SentRequest("b", "/unsafe/1", False, 2.0, 2.1, 200, "seal-b", True),
    SentRequest("c", "/unsafe/1", False, 3.0, 3.1, 503, "", False),
]
_CALM_RAN = [
    UpstreamRun("u1", "a", "/safe/1", 1.05, "ok"),
    UpstreamRun("u1", "b", "/unsafe/1", 2.05, "ok"),
]
_LEFT = [Span("u1", 5.0, 9.0)]
_COLD = [Span("u1", 1.0, 2.0)]
_LIMITS = [(Span("u1", 0.0, 20.0), 1.0)]
_STOP = [Span("g1", 2.5, 9.0)]
_KNOWN = [Span("/safe/", 0.0, 9.0)]
_CUT = Span("a1", 2.0, 9.0)
_END = [Span("the end", 0.0, 9.0)]


def _run_check(check, sent, ran):
    calls = {
        "answers": lambda: checks.check_answers(sent),
        "once": lambda: checks.check_at_most_once(sent, ran),
        "refusals": lambda: checks.check_refusals(sent, ran),
        "silent": lambda: checks.check_no_traffic(ran, _LEFT),
        "cold": lambda: checks.check_cold(ran, _COLD),
        "limits": lambda: checks.check_limits(ran, _LIMITS),
        "cuts": lambda: checks.check_cut(sent, _CUT),
        "ahead": lambda: checks.check_ahead(sent),
        "stops": lambda: checks.check_graceful_stops(sent, _STOP),
        "configuration": lambda: checks.check_configuration(sent, _KNOWN),
        "recovery": lambda: checks.check_recovery(sent, _END, min_share=0.5),
    }
    return calls[check]()


def _runs(count, *, from_s, gap_s):
    runs = []
    for number in range(count):
        at_s = from_s + number * gap_s
        runs.append(UpstreamRun("u1", "a", "/safe/1", at_s, "ok"))
    return runs


_REQUEST = SentRequest("d", "/safe/1", True, 4.0, 4.1, 200, "seal-d", True)
_PLANTED_REQUESTS = {
    "another request's signature": [_REQUEST._replace(seal="seal-a")],
    "half a body": [_REQUEST._replace(complete=False)],
    "a request cut during a stop": [_REQUEST._replace(status=0)],
    "a request lost for one behind it": [
        _REQUEST._replace(status=0, complete=False)
    ],
    "a 404 for a known route": [_REQUEST._replace(status=404)],
    "12 refused requests during a cut": [_REQUEST._replace(status=503)] * 12,
    "half of the requests failing at the end": [_REQUEST._replace(status=502)]
    * 3,
}
_PLANTED_RUNS = {
    "a payment that ran twice": [
        UpstreamRun("u2", "b", "/unsafe/1", 2.5, "ok")
    ],
    "a run that nobody sent": [UpstreamRun("u2", "x", "/unsafe/1", 2.5, "ok")],
    "a refused payment that ran": [
        UpstreamRun("u2", "c", "/unsafe/1", 3.05, "ok")
    ],
    "a run after an upstream left": [
        UpstreamRun("u1", "a", "/safe/1", 6.0, "ok")
    ],
    "14 runs in a cold second": _runs(14, from_s=1.0, gap_s=0.05),
    "14 runs in 4 s at a limit of 1 a second": _runs(14, from_s=8.0, gap_s=0.2),
}


def _plant_fault(fault):
    requests = _PLANTED_REQUESTS.get(fault, [])
    runs = _PLANTED_RUNS.get(fault, [])
    assert requests or runs, fault
    return [*_CALM_SENT, *requests], [*_CALM_RAN, *runs]


@then('the check "{check}" passes on a calm record')
def step_calm(context, check):
    assert _run_check(check, _CALM_SENT, _CALM_RAN) == []


@then('the check "{check}" fails on a record with "{fault}"')
def step_planted(context, check, fault):
    assert _run_check(check, *_plant_fault(fault)), fault


@then("ports of processes lie below those of outgoing connections")
def step_ports(context):
    text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text("ascii")
    first_outgoing = int(text.split()[0])
    highest = run_features.WORKERS * run_features.PORTS_PER_WORKER
    highest += run_features.FIRST_PORT - 1
    assert max(highest, ports.LAST_PORT) < first_outgoing, text


@then("no two workers share a port")
def step_workers(context):
    assigned = []
    for worker in range(run_features.WORKERS):
        first, last = run_features.worker_ports(worker).split("-")
        assigned += range(int(first), int(last) + 1)
    assert len(assigned) == len(set(assigned)), "ports are shared"


@then("two plans of seed 7 are equal, and seed 8's differs")
def step_plans(context):
    first = plan.make_plan(7, seconds=30)
    assert first == plan.make_plan(7, seconds=30)
    assert first != plan.make_plan(8, seconds=30)


@then(
    "{count:d} of {total:d} stores restored twice have the writes since their "
    "copy"
)
def step_restored_twice(context, count, total):
    async def play(pause_s):
        store = Store()
        store.take_copy()
        keys = [f"op/evacuate/z{number}" for number in range(4)]
        for key in keys:
            await store.put_text(key, "{}")
        await store.restore(again_s=_AGAIN_S)
        await asyncio.sleep(pause_s)
        await store.restore(again_s=_AGAIN_S)
        await asyncio.sleep(3 * _AGAIN_S)
        return set(keys) <= store.state.items.keys()

    async def play_all():
        pauses_s = [_AGAIN_S * number / total for number in range(total)]
        return await asyncio.gather(*map(play, pauses_s))

    found = asyncio.run(play_all())
    assert sum(found) == count, found


@when("the soak's own loop stands still for {length_s:g} s")
def step_stands_still(context, length_s):
    context.watch = LoopWatch()

    async def block_loop():
        task = asyncio.ensure_future(context.watch.run())
        await asyncio.sleep(2 * TICK_S)
        time.sleep(length_s)
        await asyncio.sleep(2 * TICK_S)
        task.cancel()

    asyncio.run(block_loop())


@then("a pause of at least {length_s:g} s was noted")
def step_noted(context, length_s):
    longest_s = max(stall.duration_s for stall in context.watch.stalls)
    assert longest_s >= length_s, context.watch.stalls


def _run_soak(context, seed, seconds, *options):
    context.done = subprocess.run(
        [sys.executable, "-m", "soak", "run", str(seed)]
        + ["--seconds", str(seconds), *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


@when("the soak plays seed {seed:d} for {seconds:d} s")
def step_soak(context, seed, seconds):
    _run_soak(context, seed, seconds, "--first_kinds")


@when("the soak plays seed {seed:d} with all kinds for {seconds:d} s")
def step_soak_all(context, seed, seconds):
    kinds = {step.kind for step in plan.make_plan(seed, seconds=seconds)}
    for kind in (
        plan.FaultKind.UPSTREAM_RESTART,
        plan.FaultKind.FOREIGN_WRITER,
    ):
        assert kind in kinds, kinds
    _run_soak(context, seed, seconds)


@when("the soak plays seed {seed:d} with cuts for {seconds:d} s")
def step_soak_cuts(context, seed, seconds):
    _run_soak(context, seed, seconds, "--cuts")


@when("the soak plays seed {seed:d} with statements for {seconds:d} s")
def step_soak_statements(context, seed, seconds):
    _run_soak(context, seed, seconds, "--statements")


@when("the soak plays seed {seed:d} with restores for {seconds:d} s")
def step_soak_restores(context, seed, seconds):
    _run_soak(context, seed, seconds, "--restores", "--endless")


@when(
    "the soak plays seed {seed:d} with values, late responses and series for "
    "{seconds:d} s"
)
def step_soak_late(context, seed, seconds):
    _run_soak(context, seed, seconds, "--foreign", "--ahead", "--series")


@when("the soak plays seed {seed:d} with limits for {seconds:d} s")
def step_soak_limits(context, seed, seconds):
    _run_soak(context, seed, seconds, "--limits")


@then("it broke no promise and most requests were served")
def step_kept(context):
    done = context.done
    assert done.returncode == 0, done.stdout + done.stderr
    found = re.search(r"(\d+) sent, (\d+) answered", done.stdout)
    assert found, done.stdout
    assert int(found[2]) > int(found[1]) / 2, done.stdout


@given("answers of an upstream {says} at 1 s to requests of an entry")
def step_answers(context, says):
    rest_s = 3.0 if "rest" in says else 0.0
    context.answers = [
        AnswerHead(
            incarnation="u 1",
            request="first",
            arrived_s=0.9,
            answered_s=1.0,
            status=503 if rest_s else 200,
            leaving="leaves" in says,
            rest_s=rest_s,
        )
    ]
    context.tries = {"first": CallerTry("g", 0.9, 1.0, True)}


@when("requests of that entry reach it at {times} s")
def step_reach(context, times):
    for number, text in enumerate(times.split(", ")):
        at_s = float(text)
        request = f"later {number}"
        context.tries[request] = CallerTry("g", at_s, at_s + 0.1, True)
        answer = AnswerHead("u 1", request, at_s, at_s + 0.1, 200, False, 0.0)
        context.answers.append(answer)


@then("the rules find {count:d} breaches")
def step_breaches(context, count):
    found = statement_rules.sent_to_leaving(context.tries, context.answers)
    found += statement_rules.sent_in_rest(context.tries, context.answers)
    assert len(found) == count, found
