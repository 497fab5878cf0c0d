"""Steps of crash.feature."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
import itertools
import time

from behave import given
from behave import then
from behave import when

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import SUPPORT
from features.support.harness import send
from features.support.harness import wait_until

PATH = "/matching/orders/1"
SLOW_MS = 400
# Time for a crashed upstream to exit, also on a loaded host.
CRASH_EXIT_S = 1.5


@given("three regions with an entry and three upstreams each")
def step_three_regions(context):
    _start(context)


@given(
    "three regions with an entry and three upstreams each, whose heartbeats "
    "leave late"
)
def step_late_regions(context):
    _start(context, daemon=(str(SUPPORT / "late_daemon.py"),))


def _start(context, **options):
    upstreams_per_region = {"r1": 3, "r2": 3, "r3": 3}
    shape = Shape(
        entries={"r1": 1, "r2": 1, "r3": 1},
        upstreams=upstreams_per_region,
        profile="spread",
    )
    context.deployment = Deployment(
        processes=context.processes, shape=shape, **options
    )
    context.deployment.start()
    context.exited = set()
    _wait_until_answered(context, "GET", 5.0)


def _send(context, kind, entry, number, *, crash):
    headers = {"Deadline-Ms": "2000"}
    if crash:
        headers["Crash"] = "1"
    if kind == "GET":
        path = PATH if crash else "/matching/orders/2"
        return send("GET", entry, path, headers=headers)
    # Each request has a new key, as the claim of a used key would stop it.
    headers["Idempotency-Key"] = f"key-{crash}-{number}"
    body = b"bad" if crash else b"good"
    return send(
        "POST", entry, "/matching/approvals", headers=headers, body=body
    )


@when(
    "a {kind} that crashes upstreams is sent {count:d} times through all "
    "entries"
)
def step_crash(context, kind, count):
    callers = context.deployment.callers()
    context.responses = []
    for number in range(count):
        entry = callers[number % len(callers)]
        response = _send(context, kind, entry, number, crash=True)
        context.responses.append(response)


def _exited_upstreams(context):
    exited = set()
    for name in context.deployment.upstreams:
        if not context.processes.children[name].is_running():
            exited.add(name)
    return exited


@then("{least:d} to {most:d} upstreams have ended")
def step_ended(context, least, most):
    # A crashed process takes a moment to exit.
    time.sleep(CRASH_EXIT_S)
    exited = _exited_upstreams(context) - context.exited
    assert least <= len(exited) <= most, exited
    context.exited |= exited


@then('the last {count:d} answers are "{kind}" with a time to come back')
def step_last_answers(context, count, kind):
    for response in context.responses[-count:]:
        problem = response.json()
        assert problem["kind"] == kind, problem
        assert problem["ran"] == "no", problem
        assert int(response.headers["Retry-After"]) > 0, response.headers


def _wait_until_answered(context, kind, limit_s):
    numbers = itertools.count()
    for entry in context.deployment.callers():

        def is_answered(entry=entry):
            response = _send(context, kind, entry, next(numbers), crash=False)
            return response.status == 200

        wait_until(is_answered, limit_s=limit_s, what=f"{kind} at {entry}")


@then("within {limit_s:g} s another {kind} is answered through every entry")
def step_another(context, limit_s, kind):
    _wait_until_answered(context, kind, limit_s)


def _send_lookup(entry, work_ms):
    # The time is a header since the path must be the same each time.
    headers = {"Deadline-Ms": "2000", "Work-Ms": str(work_ms)}
    return send("GET", entry, PATH, headers=headers)


def _running(context, name):
    return context.deployment.journal(name)["busy"]


@when("an upstream of each region is killed while it runs the same look-up")
def step_killed(context):
    callers = context.deployment.callers()
    with ThreadPoolExecutor(max_workers=30) as pool:
        futures = []
        for number in range(30):
            entry = callers[number % len(callers)]
            futures.append(pool.submit(_send_lookup, entry, SLOW_MS))
        time.sleep(SLOW_MS / 2000)
        victims = []
        for region in ("r1", "r2", "r3"):
            victim = f"{region}-u0"
            for number in range(3):
                if _running(context, f"{region}-u{number}"):
                    victim = f"{region}-u{number}"
            victims.append(victim)
        for victim in victims:
            context.processes.children[victim].process.kill()
        for future in futures:
            future.result()


@then("within {limit_s:g} s that look-up is answered through every entry")
def step_answered(context, limit_s):
    for entry in context.deployment.callers():
        refusals = []

        def is_answered(entry=entry, refusals=refusals):
            response = _send_lookup(entry, SLOW_MS / 10)
            if response.status != 200:
                problem = response.json()
                refusals.append((problem["kind"], problem["detail"]))
            return response.status == 200

        try:
            wait_until(is_answered, limit_s=limit_s, what=f"lookup at {entry}")
        except AssertionError as error:
            raise AssertionError(f"{error}: {Counter(refusals)}") from error


@then(
    "{count:d} of that look-up, {width:d} at a time, are answered but for "
    "{most:d} at most"
)
def step_under_load(context, count, width, most):
    callers = context.deployment.callers()
    refusals = []
    with ThreadPoolExecutor(max_workers=width) as pool:
        futures = []
        for number in range(count):
            entry = callers[number % len(callers)]
            futures.append(pool.submit(_send_lookup, entry, SLOW_MS / 10))
        for future in futures:
            response = future.result()
            if response.status != 200:
                refusals.append(response.json()["kind"])
    assert len(refusals) <= most, refusals
