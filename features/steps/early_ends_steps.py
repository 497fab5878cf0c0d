"""Steps for responses that end before they are complete."""

import asyncio
import json
import socket
import time

from behave import given
from behave import then
from behave import when

from almondstair.core.held_bytes import HeldBytes
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.caller_connection import RESPONSE_CUT
from almondstair.gateway.caller_request import WriteWait
from almondstair.gateway.forwarded_call import ForwardingSink
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.log import Event
from emulator.documents import route
from features.support import connection_trace
from features.support import harness
from features.support.caller_rig import CallerRig
from features.support.gateway_world import GatewayWorld
from features.support.scripted_upstream import LARGE_BYTES
from features.support.scripted_upstream import MEDIUM_BYTES
from features.support.scripted_upstream import ScriptedUpstream

_WAITED = Event.ANSWER_WAITED.value.number
_ABANDONED = Event.REQUEST_ABANDONED.value.number
_READ_LIMIT_S = 6.0
_SMALL_BUFFER_BYTES = 4096
_OK = ResponseHead(status=200, headers=[])
_STREAMED = b"first attempt "
_OTHER = b"other response"
_BUDGET_BYTES = 1 << 22


def _routes():
    return [
        route("/safe/", timeoutS=4.0),
        route("/unsafe/", kind="unsafe", timeoutS=4.0),
        route("/timed/", timeoutS=0.6),
    ]


def _start_world(context):
    context.upstream = ScriptedUpstream()
    context.add_cleanup(context.upstream.close)
    context.world = GatewayWorld(processes=context.processes)
    context.world.configure(_routes())
    # Of the caller's socket; 0 for the usual size.
    context.buffer_bytes = 0


@given("a gateway with a scripted upstream")
def step_gateway(context):
    _start_world(context)
    world = context.world
    world.operate(puts={"servers/i-1": context.upstream.registration()})
    world.start_gateway("g1")
    world.until_served()


@given("two gateways, of which one reaches the upstream through the other")
def step_two_gateways(context):
    _start_world(context)
    world = context.world
    unreachable = context.upstream.registration(harness.free_address())
    world.operate(puts={"servers/i-1": unreachable})
    first_store = world.store
    # In a store of its own the upstream has the address that it listens on.
    world.start_store("store-2")
    world.configure()
    world.operate(puts={"servers/i-1": context.upstream.registration()})
    world.start_gateway("g2")
    addresses = world.gateways["g2"]
    entry = {
        "callers": addresses["callers"],
        "peers": addresses["peers"],
        "region": "east",
        "availability_zone": "a1",
        "incarnation": "2",
        "relays": addresses["relays"],
    }
    world.store = first_store
    world.operate(puts={"almondstair/entries/g2": json.dumps(entry)})
    world.start_gateway("g1")
    world.until_served()


def _connect(context):
    ip, _, port = context.world.gateways["g1"]["callers"].rpartition(":")
    connection = socket.socket()
    context.add_cleanup(connection.close)
    if context.buffer_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, context.buffer_bytes
        )
    connection.settimeout(_READ_LIMIT_S)
    connection.connect((ip, int(port)))
    return connection


def _encode(context, path, deadline_ms=8000):
    method = "POST" if path.startswith("/unsafe") else "GET"
    lines = [f"{method} {path} HTTP/1.1"]
    headers = context.world.headers()
    headers["X-Almondstair-Deadline-Ms"] = str(deadline_ms)
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    if method == "POST":
        lines.append("Content-Length: 0")
    context.requests.append(headers["X-Almondstair-Request-Id"])
    return "\r\n".join([*lines, "", ""]).encode()


def _send(context, *wanted):
    """Sends requests for paths, with a deadline each, in one piece."""
    context.requests = []
    wire = b""
    for path, deadline_ms in wanted:
        wire += _encode(context, path, deadline_ms)
    context.connection = _connect(context)
    context.connection.sendall(wire)
    context.reader = context.connection.makefile("rb")


def _read_response(reader):
    """Returns status and body; None where the connection ends too early."""
    first = reader.readline()
    if not first:
        return None
    headers = {}
    while (line := reader.readline().strip()) != b"":
        name, _, value = line.partition(b": ")
        headers[name.lower()] = value
    status = int(first.split()[1])
    if b"content-length" in headers:
        size_bytes = int(headers[b"content-length"])
        body = reader.read(size_bytes)
        return (status, body) if len(body) == size_bytes else None
    body = b""
    while True:
        line = reader.readline()
        if not line:
            return None
        size_bytes = int(line, 16)
        piece = reader.read(size_bytes + 2)
        if len(piece) != size_bytes + 2:
            return None
        body += piece[:-2]
        if size_bytes == 0:
            return status, body


@when('a slow request, one for "{path}" and a small one are sent together')
def step_three(context, path):
    context.large = path == "/safe/large"
    context.first_body = b"xxxxx"
    _send(context, ("/safe/slow", 8000), (path, 8000), ("/safe/small", 8000))


@when(
    'a slow request, and one for "{path}" with a deadline of {deadline_ms:d} '
    "ms are sent together"
)
def step_deadline(context, path, deadline_ms):
    context.large = False
    context.first_body = b"xxxxx"
    _send(context, ("/safe/slow", 8000), (path, deadline_ms))


@then("they are answered with {statuses} in this order")
def step_in_order(context, statuses):
    wanted = [int(text) for text in statuses.replace(" and", ",").split(",")]
    found = []
    for _ in wanted:
        response = _read_response(context.reader)
        assert response is not None, found
        found.append(response)
    assert [status for status, _ in found] == wanted, found
    assert found[0][1] == context.first_body, found[0]
    if context.large:
        assert found[1][1] == b"x" * LARGE_BYTES


@then("the connection serves a further request")
def step_further(context):
    context.connection.sendall(_encode(context, "/safe/further"))
    response = _read_response(context.reader)
    assert response == (200, b"xxxxx"), response


@when(
    'requests for "{first}", "{second}" and a small one are sent together, and '
    "read after {pause_s:g} s"
)
def step_read_late(context, first, second, pause_s):
    context.first_body = b"x" * MEDIUM_BYTES
    context.buffer_bytes = _SMALL_BUFFER_BYTES
    _send(context, (first, 8000), (second, 8000), ("/safe/slow", 8000))
    time.sleep(pause_s)


@then("the first is whole, the second breaks off, and the connection ends")
def step_breaks_off(context):
    first = _read_response(context.reader)
    assert first is not None and first[0] == 200, first
    assert first[1] == context.first_body, len(first[1])
    assert _read_response(context.reader) is None
    assert context.reader.read() == b""


@then("the log says that the response to the third was not delivered")
def step_not_delivered(context):
    def check():
        for line in context.world.log_events("g1", _WAITED):
            if line["request"] == context.requests[2]:
                return line["delivered"] is False
        return False

    harness.wait_until(check, what="a line on the third request")


@then("the log says that this entry closed it before the third")
def step_cause(context):
    def check():
        for line in context.world.log_events("g1", _ABANDONED):
            if line["request"] == context.requests[2]:
                return line.get("cause") == RESPONSE_CUT
        return False

    harness.wait_until(check, what="a line on the third request")


# In one process.


@given("a caller's connection with two requests in flight")
def step_rig(context):
    context.rig = CallerRig()
    context.add_cleanup(context.rig.close)
    context.rig.handler.cancellable = True
    context.rig.send()
    context.rig.send()
    context.first, context.second = context.rig.handler.requests


@given(
    "a caller's connection with two requests in flight, whose bytes are counted"
)
def step_counted_rig(context):
    held = HeldBytes(budget_bytes=_BUDGET_BYTES)
    guard = MemoryGuard(held=held, is_active=lambda: False)
    context.rig = CallerRig(memory_guard=guard)
    context.add_cleanup(context.rig.close)
    context.rig.send()
    context.rig.send()
    context.first, context.second = context.rig.handler.requests
    context.counted = context.first.memory.connection


@when("the second is answered")
def step_second_answered(context):
    context.rig.run(_respond_late(context.second))
    context.rig.connection.refresh_held()


@then("its bytes are counted, but the caller does not count as stalled")
def step_not_stalled(context):
    assert context.counted.held_bytes > len(_OTHER)
    assert not context.counted.is_stalled


@then("it does once it has not read the first response")
def step_stalled(context):
    context.rig.run(_respond_late(context.first))
    context.rig.connection.refresh_held()
    assert context.counted.is_stalled


def _break_off(context, request):
    """Streams a response from an upstream's connection that breaks off."""

    async def exchange():
        connection = UpstreamConnection(address="a:1")
        connection.connection_made(connection_trace.ScriptedTransport([]))
        exchanging = asyncio.ensure_future(
            connection.exchange(head=b"GET /", sink=ForwardingSink(request))
        )
        await connection_trace.settle()
        body = _STREAMED * 30_000
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(body))
            + body
        )
        await connection_trace.settle()
        context.waited_for = request.write_wait
        connection.abandon()
        return await exchanging

    assert context.rig.run(exchange()).end is ExchangeEnd.TRUNCATED


@when("the second has a streamed response that is given up before its turn")
def step_breaks_before(context):
    _break_off(context, context.second)
    assert context.waited_for is WriteWait.TURN
    context.second.withdraw_response()
    assert not context.second.response_begun


@when("it gets another response, and the first is answered")
def step_another(context):
    async def respond():
        context.second.respond(_OK, _OTHER)
        context.first.respond(_OK, b"first response")
        await connection_trace.settle()

    context.rig.run(respond())


@then("the caller gets the first response and the other one, and no more")
def step_no_more(context):
    sent = context.rig.transport.sent
    assert _STREAMED not in sent, sent[:300]
    assert sent.index(b"first response") < sent.index(_OTHER)
    assert sent.count(b"HTTP/1.1 ") == 2, sent
    assert not context.rig.transport.aborted


@when("the first has a streamed response that breaks off in its turn")
def step_breaks_in_turn(context):
    _break_off(context, context.first)
    context.sent_before = context.rig.transport.sent

    async def fail():
        context.first.respond_with_problem(
            AlmondstairError(kind=ErrorKind.UPSTREAM_LOST)
        )
        await connection_trace.settle()

    context.rig.run(fail())


@then("the second is cancelled, and the connection sends nothing more")
def step_cancelled(context):
    assert context.second.task.cancelled()
    context.rig.run(_respond_late(context.second))
    transport = context.rig.transport
    assert transport.sent == context.sent_before
    assert transport.ended_output and not transport.aborted


async def _respond_late(request):
    request.respond(_OK, _OTHER)
    await connection_trace.settle()


@then("it ends although the caller does not close it")
def step_ends(context):
    pending = context.rig.timers()
    assert pending, "nothing closes the connection"
