"""Steps of http.feature: busy slots and truncated answers."""

import itertools
import time

from behave import given
from behave import then
from behave import when

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import post
from features.support.harness import send
from features.support.harness import wait_until
from features.support.http_helpers import UPSTREAM
from features.support.http_helpers import address
from features.support.http_helpers import journal
from features.support.http_helpers import open_wire

# Quick requests before slow ones, and the limit for all slow ones to start.
QUICK_LOOKUPS = 30
ALL_BUSY_LIMIT_S = 0.5
SLOW_WORK_ATTEMPTS = 5


def _send_slow_work(context):
    connections = []
    for _ in range(context.deployment.shape.slots):
        connection = open_wire(context, "bkk-e0")
        connection.write(
            b"GET /matching/orders/1?work_ms=1900 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        connections.append(connection)
    return connections


def _all_busy(context):
    return journal(context)["busy"] == context.deployment.shape.slots


def _is_busy_in_time(context):
    end_s = time.monotonic() + ALL_BUSY_LIMIT_S
    while time.monotonic() < end_s:
        if _all_busy(context):
            return True
    return False


@given("quick work has opened every slot of the upstream")
def step_quick_work(context):
    # Each quick answer lets the entry use more slots, at most one a second.
    end_s = time.monotonic() + context.deployment.shape.slots + 1
    while time.monotonic() < end_s:
        send("GET", address(context, "bkk-e0"), "/matching/orders/1")


def _fill_all_slots(context):
    """Sends slow requests to all slots right after quick requests.

    Returns:
      Whether all of them run at once. If not, their callers have disconnected.
    """
    for _ in range(QUICK_LOOKUPS):
        send("GET", address(context, "bkk-e0"), "/matching/orders/1")
    connections = _send_slow_work(context)
    if _is_busy_in_time(context):
        return True
    for connection in connections:
        connection.close()
    wait_until(lambda: not journal(context)["busy"], what="an idle upstream")
    return False


@when("as many slow look-ups as it has slots come right after an answer")
def step_slow_after_answer(context):
    # On a loaded host quick answers may look slow, and the entry then uses
    # fewer slots for a while, so several attempts are made.
    context.at_once = False
    for _ in range(SLOW_WORK_ATTEMPTS):
        context.at_once = context.at_once or _fill_all_slots(context)


@then("all of them run at once")
def step_at_once(context):
    assert context.at_once, journal(context)["max_in_flight"]


@given("every slot of the upstream is taken")
def step_fill_slots(context):
    wait_until(
        lambda: _fill_all_slots(context), limit_s=20.0, what="a busy upstream"
    )


@then("the problem has a Retry-After")
def step_retry_after(context):
    problem = context.answer.json()
    assert context.answer.status == 503, context.answer
    assert problem["ran"] == "no", problem
    assert problem["retry_after_ms"] > 0, problem
    seconds = int(context.answer.headers["Retry-After"])
    assert seconds * 1000 >= problem["retry_after_ms"] > seconds * 1000 - 1000


# Truncated answers.


@given("the upstream cuts its next answer after {size:d} bytes")
def step_cut(context, size):
    context.control(UPSTREAM, cut=1, cut_after_bytes=size)


@when("a statement of {size:d} bytes {framing} is read from {entry}")
def step_read_statement(context, size, framing, entry):
    path = f"/matching/orders/1?answer_bytes={size}"
    if framing == "in chunks":
        path += "&answer_chunked=1"
    context.size = size
    context.wire = open_wire(context, entry)
    context.wire.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


@then("the caller's connection ends without the end of the body")
def step_cut_seen(context):
    head = context.wire.head()
    assert head.status == 200, head
    rest = context.wire.rest()
    if head.headers.get("transfer-encoding") == "chunked":
        assert not rest.endswith(b"0\r\n\r\n"), "the body was ended"
        return
    assert head.headers["content-length"] == str(context.size), head
    assert 0 < len(rest) < context.size, len(rest)


@given("the upstream answers without a length")
def step_no_length(context):
    context.raw.answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"


@given("an entry and an upstream each in bkk and cnx")
def step_two_regions(context):
    context.deployment = Deployment(
        processes=context.processes,
        shape=Shape(
            entries={"bkk": 1, "cnx": 1}, upstreams={"bkk": 1, "cnx": 1}
        ),
    )
    context.deployment.start()


@given("{upstream} cuts its answers before the first byte")
def step_cut_first(context, upstream):
    _cut_answers(context, [upstream])


def _cut_answers(context, names):
    # A retry needs budget, which first attempts earn.
    for entry in context.deployment.entries:
        for _ in range(12):
            send("GET", address(context, entry), "/matching/orders/0")
    context.cutting_upstreams = names
    for name in names:
        context.deployment.control(name, cut=1000, cut_after_bytes=0)


def _truncated_runs(context):
    runs = []
    for name in context.cutting_upstreams:
        for run in context.deployment.journal(name)["runs"]:
            if run["outcome"] == "cut":
                runs.append(run)
    return runs


@when("approvals go to {entry} until an answer is cut")
def step_approvals_until_cut(context, entry):
    keys = itertools.count()

    def is_cut():
        context.key = f"a-{next(keys)}"
        context.answer = post(
            address(context, entry),
            "/matching/approvals",
            {"amount": 1},
            headers={"Idempotency-Key": context.key},
        )
        return _truncated_runs(context)

    wait_until(is_cut, what="a truncated answer")


@then("it ran once in all")
def step_ran_once(context):
    runs = []
    for name in context.deployment.upstreams:
        for run in context.deployment.journal(name)["runs"]:
            if run["key"] == context.key:
                runs.append(run)
    assert len(runs) == 1, runs


@given("two entries of bkk with upstreams, and an entry in cnx")
def step_two_homes(context):
    context.deployment = Deployment(
        processes=context.processes,
        shape=Shape(entries={"bkk": 2, "cnx": 1}, upstreams={"bkk": 4}),
    )
    context.deployment.start()


@given("the upstreams of one entry cut their answers before the first byte")
def step_cut_one_home(context):
    deployment = context.deployment
    homes = {}
    for name in deployment.upstreams:
        home = deployment.home_of(name, asked="cnx-e0")
        homes.setdefault(home, []).append(name)
    assert len(homes) == 2, homes
    _cut_answers(context, sorted(homes.values())[0])


@when("orders go to {entry} until an answer is cut")
def step_until_cut(context, entry):
    def is_cut():
        context.answer = send(
            "GET", address(context, entry), "/matching/orders/1"
        )
        return _truncated_runs(context)

    wait_until(is_cut, what="a truncated answer")


@then("the answer is whole nevertheless")
def step_whole_nevertheless(context):
    assert context.answer.status == 200, context.answer


@when("{entry} is told to stop")
def step_stop(context, entry):
    context.entry = entry
    context.deployment.processes.children[entry].process.terminate()


@then("its answers to callers end their connections")
def step_ends_connections(context):
    def says_close():
        context.wire = open_wire(context, context.entry)
        context.wire.write(
            b"GET /v1/entries?service=matching HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        head = context.wire.head()
        assert head.status == 200, head
        context.wire.body(head)
        return head.headers.get("connection") == "close"

    wait_until(says_close, what="an answer of a leaving entry")
    # The connection closes well before the entry exits.
    assert not context.wire.is_silent(limit_s=0.5), "the connection stays open"
    assert context.wire.rest() == b""
