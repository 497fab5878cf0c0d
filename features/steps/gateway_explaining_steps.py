"""Steps for logs, request explanations and the status of gateways."""

import json
import os
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld

_RECEIVE_BYTES = 65536
_REFUSED = 412


@then('"why" tells of a {status:d} "{words}"')
def step_why(context, status, words):
    ids = []
    for request_id, answer, _ in context.answers:
        if answer.status == status:
            ids.append(request_id)
    assert ids, f"no answer was {status}"
    log = str(context.processes.children["g1"].log)

    def check():
        return words in operator_tool.run("gateway", "why", ids[0], log)

    harness.wait_until(check, what=words)


@given('a log with a refusal of request "{request}"')
def step_log(context, request):
    context.request = request
    context.log = context.processes.directory / "gateway.log"
    line = {
        "time": "2026-01-01 00:00:00,000",
        "event": _REFUSED,
        "event_name": "gateway_refused",
        "request": request,
        "kind": "no_slot",
        "detail": "Every slot for this work is taken",
    }
    context.log.write_text(json.dumps(line) + "\n", encoding="utf-8")


@then('"why" tells of that request "{words}"')
def step_why_that(context, words):
    log = str(context.log)
    output = operator_tool.run("gateway", "why", context.request, log)
    assert f"request {context.request}" in output, output
    assert words in output, output


@then(
    "\"gateway status\" shows the first one's picture and the second's silence"
)
def step_status(context):
    # Both gateways share the operators' port on one address; the second has
    # ended and the first keeps the port.
    address = context.world.operator_address("g1")
    silent = harness.free_address()
    output = operator_tool.run("gateway", "status", address, silent)
    assert "does not answer" in output, output
    assert "g1" in output and "ready" in output, output


@given("a gateway whose log goes to a pipe that nobody reads")
def step_pipe(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1", work_s=0.001, slots=8)
    world.configure()
    read, write = os.pipe()
    context.pipe = read
    context.add_cleanup(os.close, read)
    world.start_gateway(output=write)
    os.close(write)
    world.until_served()


@when('{count:d} requests go to "{path}" in a hurry')
def step_hurry(context, count, path):
    connection = context.world.connect()
    context.slowest_s = 0.0
    for _ in range(count):
        began_s = time.monotonic()
        connection.request("GET", path, headers=context.world.headers())
        connection.getresponse().read()
        took_s = time.monotonic() - began_s
        context.slowest_s = max(context.slowest_s, took_s)


@then("each was answered within {limit_s:g} s")
def step_slowest(context, limit_s):
    assert context.slowest_s < limit_s, context.slowest_s


@when("the pipe is read again")
def step_read(context):
    chunks = []
    context.chunks = chunks
    pipe = context.pipe

    def read():
        while chunk := os.read(pipe, 65536):
            chunks.append(chunk)

    threading.Thread(target=read, daemon=True).start()


@then("the log tells how many lines were left out")
def step_left_out(context):
    def check():
        return b'"lines_left_out"' in b"".join(context.chunks)

    harness.wait_until(check, limit_s=10, what="a log line on dropped lines")


# Responses that wait for earlier ones on their connection.


def _encode_request(context, path, key):
    headers = context.world.headers(X_Almondstair_Affinity_Key=key)
    lines = [f"GET {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    text = "\r\n".join(lines) + "\r\n\r\n"
    return headers["X-Almondstair-Request-Id"], text.encode()


@when(
    "a new object's request and a known one's are sent together, and the "
    "caller {leaves}"
)
def step_together(context, leaves):
    headers = {"X_Almondstair_Affinity_Key": "known"}
    context.world.send("GET", "/safe/known", headers=headers)
    _, new_request = _encode_request(context, "/safe/new", "new")
    context.second_id, known_request = _encode_request(
        context, "/safe/known", "known"
    )
    ip, port = context.world.gateways["g1"]["callers"].split(":")
    with socket.create_connection((ip, int(port)), timeout=10) as connection:
        connection.sendall(new_request + known_request)
        if leaves.startswith("leaves"):
            time.sleep(float(leaves.split()[2]))
            return
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            received += connection.recv(_RECEIVE_BYTES)


@then('"why" tells of the second one "{words}"')
def step_why_second(context, words):
    log = str(context.processes.children["g1"].log)

    def check():
        explanation = operator_tool.run(
            "gateway", "why", context.second_id, log
        )
        return words in explanation

    harness.wait_until(check, what=words)


# Refusals that name a held-back region.


@given("a gateway with 1 upstream in its own region and 1 in another")
def step_two_regions(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for name, zone in (("u1", "a1"), ("u2", "b1")):
        world.start_upstream(name, zone=zone, slots=12, queue=36, work_s=0.2)
    world.configure()
    world.start_gateway()
    world.until_served()


@then(
    'a refusal\'s line names the other region as held back, and "why" says so'
)
def step_held_back(context):
    def check():
        for line in context.world.log_events("g1", _REFUSED):
            if line.get("held_back") == ["west"]:
                return line["request"]
        return ""

    request = harness.wait_until(
        check, what="a refusal with a held-back region"
    )
    log = str(context.processes.children["g1"].log)
    output = operator_tool.run("gateway", "why", request, log)
    assert "held back from west" in output, output


# Lost and late requests.

_ANSWER = {
    "event": 410,
    "route": "r",
    "aim_ms": 100,
    "took_ms": 90,
    "status": 200,
    "tries": 1,
    "warm": True,
    "expected_ms": 300,
    "queue_ms": 0,
    "way_ms": 0,
}


def _write_log(context, line):
    line["time"] = "2026-01-01 00:00:00,000"
    context.log = context.processes.directory / "gateway.log"
    context.log.write_text(json.dumps(line) + "\n", encoding="utf-8")


@given(
    "a log with a request that was answered {status:d} after {took_ms:d} of "
    "100 ms"
)
def step_log_answered(context, status, took_ms):
    _write_log(context, {**_ANSWER, "status": status, "took_ms": took_ms})


@given("a log with a request that was refused with {kind} at a use of {use:g}")
def step_log_refused(context, kind, use):
    line = {"event": _REFUSED, "route": "r", "kind": kind, "use": use}
    _write_log(context, line)


@given(
    "a log with a request that was late by {late_ms:d} ms with {field} of "
    "{value}"
)
def step_log_late(context, late_ms, field, value):
    took_ms = _ANSWER["aim_ms"] + late_ms
    line = {**_ANSWER, "took_ms": took_ms, field: json.loads(value)}
    _write_log(context, line)


def _read_losses(log):
    return json.loads(operator_tool.run("gateway", "losses", log, "--json"))


@then('"losses" counts {count:d} request, "{cause}"')
def step_losses(context, count, cause):
    output = _read_losses(str(context.log))
    assert output["total"]["causes"] == {cause: count}, output
    assert output["routes"][0]["asked"] == count, output


@then('"losses" counts {count:d} late requests of its log')
def step_losses_late(context, count):
    log = str(context.processes.children["g1"].log)

    def check():
        causes = _read_losses(log)["total"]["causes"]
        late = [causes[cause] for cause in causes if cause.startswith("late")]
        return sum(late) == count

    harness.wait_until(check, what="late requests in the log")
