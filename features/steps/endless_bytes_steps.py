"""Steps for upstreams, callers and a store that send bytes without end."""

import asyncio
import contextlib
import http.client
import os
from pathlib import Path
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from almondstair.core.overhead import OverheadBound
from almondstair.gateway.simple_http_client import SimpleHttpClient
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_connection import UpstreamResponseSink
from emulator.documents import HOST
from emulator.endless import endless_form
from features.support import connection_trace
from features.support.caller_rig import CallerRig
from features.support.gateway_world import GatewayWorld

_MEBIBYTE_BYTES = 1 << 20
_LOOPS = {"GET": 4, "POST": 4}
_PATHS = {"GET": "/safe/x", "POST": "/unsafe/x"}
_BEFORE_S = 2.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Ticks of the processor's clock are coarse beside the time of two seconds.
_CLOCK_NOISE_S = 0.2
_PIECE_BYTES = 65_536
_HEAD = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_FORMS = {
    "blank lines": (b"", b"\r\n" * 8192),
    "target": (b"GET /", b"x" * _PIECE_BYTES),
    "header lines": (_HEAD, b"X-A: b\r\n" * 8192),
    "header name": (_HEAD, b"x" * _PIECE_BYTES),
    "header value": (_HEAD + b"X-A: ", b"x" * _PIECE_BYTES),
    "header blanks": (_HEAD + b"X-A:", b" " * _PIECE_BYTES),
    "chunk extension": (_CHUNKED + b"5;a=", b"x" * _PIECE_BYTES),
    "chunk size": (_CHUNKED, b"0" * _PIECE_BYTES),
    "tiny chunks": (_CHUNKED, b"1\r\nx\r\n" * 8192),
    "trailer lines": (_CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8192),
    "trailer value": (_CHUNKED + b"0\r\nX-A: ", b"x" * _PIECE_BYTES),
    "after the end": (
        _HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
        b"x" * _PIECE_BYTES,
    ),
}


def _processor_s(pid):
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


class _Loops:
    """Callers that send a request as soon as the last has ended."""

    def __init__(self, world):
        self._world = world
        self._stopped = threading.Event()
        self.results = {method: [] for method in _LOOPS}
        self._threads = []
        for method, count in _LOOPS.items():
            for _ in range(count):
                thread = threading.Thread(target=self._send, args=(method,))
                thread.start()
                self._threads.append(thread)

    def _send(self, method):
        connection = self._world.connect()
        while not self._stopped.is_set():
            began_s = time.monotonic()
            try:
                connection.request(
                    method, _PATHS[method], headers=self._world.headers()
                )
                response = connection.getresponse()
                response.read()
                status = response.status
            except (OSError, http.client.HTTPException):
                connection.close()
                status = 0
            took_s = time.monotonic() - began_s
            self.results[method].append((began_s, status, took_s))
        connection.close()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def since(self, method, from_s):
        """Returns statuses and times of the requests sent from then on."""
        found = []
        for began_s, status, took_s in self.results[method]:
            if began_s >= from_s:
                found.append((status, took_s))
        return found


@given("a gateway with {count:d} upstreams, and callers in closed loops")
def step_gateway(context, count):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for number in range(count):
        world.start_upstream(f"u{number}", slots=8)
    world.configure()
    context.gateway = world.start_gateway()
    world.until_served()
    context.loops = _Loops(world)
    context.add_cleanup(context.loops.stop)
    # Until connections are open and the upstreams are known to be fast.
    time.sleep(_BEFORE_S / 2)
    began_s = _processor_s(context.gateway.pid)
    time.sleep(_BEFORE_S)
    context.before_s = _processor_s(context.gateway.pid) - began_s


@contextlib.contextmanager
def _trouble(context, trouble_s):
    """Measures the gateway from the begin of the trouble on."""
    assert trouble_s == _BEFORE_S
    context.from_s = time.monotonic()
    began_s = _processor_s(context.gateway.pid)
    yield
    left_s = context.from_s + trouble_s - time.monotonic()
    time.sleep(max(0.0, left_s))
    context.trouble_s = _processor_s(context.gateway.pid) - began_s


@when('one upstream answers with "{form}" without end for {trouble_s:g} s')
def step_upstream(context, form, trouble_s):
    with _trouble(context, trouble_s):
        context.world.upstream_faults("u0", every=1, how=form)


@when("the store answers with bytes without end for {trouble_s:g} s")
def step_store(context, trouble_s):
    with _trouble(context, trouble_s):
        context.world.store_faults(mode="endless")


class _Flood(threading.Thread):
    """A caller that sends bytes without end until it is cut off."""

    def __init__(self, *, address, start, piece, limit_s):
        super().__init__()
        self._address = address
        self._start = start
        self._piece = piece
        self._ends_s = time.monotonic() + limit_s
        self.cut_off = False
        self.start()

    def run(self):
        ip, _, port = self._address.rpartition(":")
        with socket.create_connection((ip, int(port))) as connection:
            connection.settimeout(0.1)
            self._flood(connection)

    def _flood(self, connection):
        data = self._start + self._piece
        while time.monotonic() < self._ends_s:
            try:
                data = data[connection.send(data) :] or self._piece
            except TimeoutError:
                # The other side has stopped reading.
                continue
            except OSError:
                self.cut_off = True
                return


def _start_floods(context, count, start, piece, listener="callers"):
    context.floods = []
    for _ in range(count):
        context.floods.append(
            _Flood(
                address=context.world.gateways["g1"][listener],
                start=start,
                piece=piece,
                limit_s=3.0,
            )
        )


@when('{count:d} callers send "{form}" without end for {trouble_s:g} s')
def step_callers(context, count, form, trouble_s):
    with _trouble(context, trouble_s):
        _start_floods(context, count, *_FORMS[form])


@when(
    "{count:d} callers send look-ups with bodies of {size_mb:d} MB for "
    "{trouble_s:g} s"
)
def step_look_ups(context, count, size_mb, trouble_s):
    size_bytes = size_mb * 1_000_000
    start = f"GET /resolve HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: "
    with _trouble(context, trouble_s):
        _start_floods(
            context,
            count,
            f"{start}{size_bytes}\r\n\r\n".encode(),
            b"x" * _PIECE_BYTES,
            listener="lookups",
        )


@then("each of them is cut off within {limit_s:g} s")
def step_cut_off(context, limit_s):
    del limit_s
    for flood in context.floods:
        flood.join()
    cut_off = [flood.cut_off for flood in context.floods]
    assert all(cut_off), cut_off


@then("the gateway's memory stays below {limit_mb:d} MB")
def step_memory(context, limit_mb):
    peak_bytes = context.gateway.resident_bytes(field="VmHWM")
    assert peak_bytes < limit_mb * 1_000_000, peak_bytes


@then("its processor time is at most twice that of before")
def step_processor(context):
    limit_s = 2 * context.before_s + _CLOCK_NOISE_S
    assert context.trouble_s <= limit_s, (context.trouble_s, context.before_s)


@then("requests that may run again are answered 200 within {limit_s:g} s")
def step_repeatable(context, limit_s):
    context.loops.stop()
    found = context.loops.since("GET", context.from_s)
    assert len(found) > 10, found
    for status, took_s in found:
        assert status == 200, found
        assert took_s < limit_s, found


@then("requests that must not run again end within {limit_s:g} s")
def step_once(context, limit_s):
    found = context.loops.since("POST", context.from_s)
    assert len(found) > 10, found
    for status, took_s in found:
        assert status in (200, 502), found
        assert took_s < limit_s, found


# Calls of the store and of entries.


@given('a server that sends "{form}" without end')
def step_server(context, form):
    context.form = endless_form(form, headers=b"")


async def _call(form):
    sent_bytes = 0

    async def serve(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(form.start)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                writer.write(form.piece)
                await writer.drain()
                sent_bytes += len(form.piece)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = SimpleHttpClient(address=f"127.0.0.1:{port}")
    began_s = time.monotonic()
    failed = False
    try:
        await client.call(method="GET", path="/", timeout_s=5.0)
    except OSError as error:
        failed = not isinstance(error, TimeoutError)
    took_s = time.monotonic() - began_s
    client.close()
    server.close()
    return failed, took_s, sent_bytes


@when("a call is made to it")
def step_call(context):
    context.call_failed, context.took_s, context.sent_bytes = asyncio.run(
        _call(context.form)
    )


@then(
    "the call fails within {limit_s:g} s, and {limit_mb:d} MB were sent at most"
)
def step_call_fails(context, limit_s, limit_mb):
    assert context.call_failed
    assert context.took_s < limit_s, context.took_s
    limit_bytes = limit_mb * _MEBIBYTE_BYTES
    assert context.sent_bytes <= limit_bytes, context.sent_bytes


# The bound by itself, and valid messages.


@given("a bound of {limit_bytes:d} bytes")
def step_bound(context, limit_bytes):
    context.bound = OverheadBound(limit_bytes=limit_bytes)


@when(
    "{received_bytes:d} bytes come, of which {body_bytes:d} are part of a body"
)
def step_come(context, received_bytes, body_bytes):
    context.bound.add_received(received_bytes)
    context.bound.add_body(body_bytes)


@then("the bound is {state}")
def step_state(context, state):
    assert context.bound.exceeded is (state == "exceeded")


class _Sink(UpstreamResponseSink):
    def __init__(self):
        self.size_bytes = 0

    def begin(self, head):
        del head

    async def write(self, data):
        self.size_bytes += len(data)


@given("a connection to an upstream")
def step_connection(context):
    context.sink = _Sink()


@when(
    "a head of {head_bytes:d} bytes and {body_bytes:d} bytes in chunks of "
    "{chunk_bytes:d} bytes come"
)
def step_valid(context, head_bytes, body_bytes, chunk_bytes):
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    context.chunks = chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"
    context.body_bytes = body_bytes
    line = b"X-A: " + b"b" * 100 + b"\r\n"
    head = b"HTTP/1.1 200 OK\r\n" + line * (head_bytes // len(line))
    wire = head + b"Transfer-Encoding: chunked\r\n\r\n" + context.chunks

    async def exchange():
        connection = UpstreamConnection(address="a:1")
        connection.connection_made(connection_trace.ScriptedTransport([]))
        running = asyncio.ensure_future(
            connection.exchange(
                head=b"GET / HTTP/1.1\r\n\r\n", sink=context.sink
            )
        )
        await connection_trace.settle()
        for start in range(0, len(wire), 200_000):
            connection.data_received(wire[start : start + 200_000])
            await connection_trace.settle()
        return await running

    context.result = asyncio.run(exchange())


@then("the response is complete")
def step_complete(context):
    assert context.result.end is ExchangeEnd.COMPLETE, context.result.end
    size_bytes = context.sink.size_bytes + len(context.result.body)
    assert size_bytes == context.body_bytes, size_bytes


@then(
    "a request body in chunks of {chunk_bytes:d} bytes reaches its handler "
    "whole"
)
def step_request_whole(context, chunk_bytes):
    del chunk_bytes
    rig = CallerRig()
    context.add_cleanup(rig.close)
    rig.receive(
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        + context.chunks
    )
    [request] = rig.handler.requests
    assert request.fully_read
    assert request.body.size_bytes == context.body_bytes
