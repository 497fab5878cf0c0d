"""Steps for several requests in flight on one caller's connection."""

import socket
import time

from behave import given
from behave import then
from behave import when

from almondstair.gateway import caller_connection
from almondstair.gateway.caller_request import WriteWait
from almondstair.gateway.http_encoding import ResponseHead
from features.support import connection_trace
from features.support.caller_rig import CallerRig
from features.support.gateway_world import GatewayWorld

_OK = ResponseHead(status=200, headers=[])
_BODY_BYTES = caller_connection.MAX_BUFFERED_BODY_BYTES + 1
_RECEIVE_BYTES = 1 << 16
_PAUSE_S = 0.02


# Over processes.


@given(
    "a gateway with {count:d} upstreams whose responses have {size_bytes:d} "
    "bytes"
)
def step_gateway(context, count, size_bytes):
    context.world = GatewayWorld(processes=context.processes)
    context.size_bytes = size_bytes
    names = [f"u{number}" for number in range(count)]
    for name in names:
        context.world.start_upstream(name, slots=8)
    context.world.configure()
    context.world.start_gateway()
    context.world.until_served()
    for name in names:
        context.world.upstream_faults(
            name, large_path="/safe/large", large_bytes=size_bytes
        )


@when("{count:d} requests for them are sent together, and read {pace}")
def step_sent_together(context, count, pace):
    ip, _, port = context.world.gateways["g1"]["callers"].rpartition(":")
    wire = b""
    for number in range(count):
        lines = [f"GET /safe/large{number} HTTP/1.1"]
        for name, value in context.world.headers().items():
            lines.append(f"{name}: {value}")
        wire += "\r\n".join([*lines, "", ""]).encode()
    context.count = count
    with socket.create_connection((ip, int(port)), timeout=5.0) as connection:
        began_s = time.monotonic()
        connection.sendall(wire)
        context.received = _receive(connection, count, pace)
        context.took_s = time.monotonic() - began_s


def _receive(connection, count, pace):
    """Returns what came until the last of the responses had ended."""
    received = b""
    slow = pace != "at once"
    size_bytes = int(pace.split()[0]) if slow else _RECEIVE_BYTES
    while received.count(b"\r\n0\r\n\r\n") < count:
        try:
            data = connection.recv(size_bytes)
        except TimeoutError:
            break
        if not data:
            break
        received += data
        if slow:
            time.sleep(_PAUSE_S)
    return received


@then("each response arrives whole within {limit_s:g} s")
def step_whole(context, limit_s):
    found = context.received.split(b"\r\n0\r\n\r\n")[:-1]
    assert len(found) == context.count, (len(found), context.took_s)
    for response in found:
        head, _, body = response.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        assert len(_without_framing(body)) == context.size_bytes
    assert context.took_s < limit_s, context.took_s


def _without_framing(body):
    """Returns the payload of chunks, the last without its end."""
    payload = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        payload += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return payload


# In one process.


def _open_rig(context):
    context.rig = CallerRig()
    context.add_cleanup(context.rig.close)
    return context.rig


@given("a connection with streamed responses 1 and 2")
def step_two_streams(context):
    rig = _open_rig(context)
    rig.send()
    rig.send()
    context.first, context.second = rig.handler.requests
    context.first.begin(_OK)
    context.second.begin(_OK)
    context.second_writer = rig.write(context.second)
    assert context.second.write_wait is WriteWait.TURN


@when("the caller stops reading, and response 1 ends")
def step_first_ends(context):
    context.rig.connection.pause_writing()
    context.first_writer = context.rig.write(context.first)
    assert context.first.write_wait is WriteWait.BUFFER
    context.first.end_stream()
    context.rig.settle()


@then("response 2 waits for the buffer")
def step_waits_for_buffer(context):
    assert context.second.write_wait is WriteWait.BUFFER
    assert not context.second_writer.done()


@then("it goes on once the caller reads")
def step_goes_on(context):
    context.rig.connection.resume_writing()
    context.rig.settle()
    assert context.second_writer.done()


@when("the caller stops reading, and reads again")
def step_reads_again(context):
    context.rig.connection.pause_writing()
    context.first_writer = context.rig.write(context.first)
    assert not context.first_writer.done()
    context.rig.connection.resume_writing()
    context.rig.settle()


@then("response 1 goes on")
def step_first_goes_on(context):
    assert context.first_writer.done()


@then("response 2 waits for the turn")
def step_second_waits(context):
    assert not context.second_writer.done()
    assert context.second.write_wait is WriteWait.TURN


@when("the caller leaves, and both responses go on")
def step_leaves(context):
    rig = context.rig
    rig.transport.closing = True

    async def lose():
        rig.connection.connection_lost(None)
        await connection_trace.settle()

    rig.run(lose())
    context.first_writer = rig.write(context.first)
    context.again_writer = rig.write(context.second)


@then("neither waits, and nothing of them is kept")
def step_nothing_kept(context):
    assert context.first_writer.done()
    assert context.second_writer.done()
    assert context.again_writer.done()
    assert not context.first.output
    assert not context.second.output


@given(
    "a connection whose request body fills the buffer behind another request"
)
def step_full_body(context):
    rig = _open_rig(context)
    rig.send()
    rig.receive(
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        % (2 * _BODY_BYTES)
        + b"x" * _BODY_BYTES
    )
    rig.receive(b"x")
    assert not rig.transport.reads
    context.other, context.streaming = rig.handler.requests


@when("the response to the other request ends")
def step_other_ends(context):
    context.other.respond(_OK, b"")
    context.rig.settle()


@then("the connection does not read")
def step_does_not_read(context):
    assert not context.rig.transport.reads


@then("it reads once the body is read")
def step_reads_after_body(context):
    _read_body(context, context.streaming)
    assert context.rig.transport.reads


def _read_body(context, request):
    async def read():
        while request.body._buffered_bytes:
            await request.body.read()
        await connection_trace.settle()

    context.rig.run(read())


@given(
    "a connection with as many requests in flight as it may have, the last "
    "with a body"
)
def step_full_pipeline(context):
    rig = _open_rig(context)
    for _ in range(caller_connection.MAX_PIPELINED_REQUESTS - 1):
        rig.send()
    # In one piece, so that it ends after the buffer is full.
    rig.receive(
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        % _BODY_BYTES
        + b"x" * (_BODY_BYTES - 1)
    )
    rig.receive(b"x")
    assert not rig.transport.reads
    context.last = rig.handler.requests[-1]


@when("the body of the last is read")
def step_last_read(context):
    _read_body(context, context.last)


@then("it reads once a response has ended")
def step_reads_after_response(context):
    context.rig.handler.requests[0].respond(_OK, b"")
    context.rig.settle()
    assert context.rig.transport.reads


@given("a connection whose request body fills the buffer and has ended")
def step_ended_body(context):
    rig = _open_rig(context)
    rig.send(_BODY_BYTES)
    assert not rig.transport.reads
    [context.only] = rig.handler.requests


@when("the response to it ends")
def step_only_ends(context):
    context.only.respond(_OK, b"")
    context.rig.settle()


@then("the connection reads")
def step_reads(context):
    assert context.rig.transport.reads
