"""Steps for the bound of the bytes that an entry holds."""

import collections
from concurrent import futures
import contextlib
import json
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.body import RequestBody
from almondstair.core.held_bytes import MEBIBYTE_BYTES
from almondstair.core.held_bytes import ByteKind
from almondstair.core.held_bytes import HeldBytes
from almondstair.core.held_bytes import HeldCount
from almondstair.core.held_bytes import StepListener
from almondstair.core.held_bytes import budget_bytes
from almondstair.gateway import caller_connection
from almondstair.gateway.memory_guard import HoldingCaller
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.memory_guard import PausableReader
from almondstair.log import Event
from emulator import documents
from emulator.documents import HOST
from features.support import connection_trace
from features.support import harness
from features.support import operator_tool
from features.support import scripted_callers
from features.support.gateway_world import GatewayWorld
from features.support.stalled_callers import StalledCallers

_NOW_S = 1000.0
# Between two callers. At twice the pace a busy machine delays the gateway by
# more than its limit for connections to upstreams, whatever it holds.
_PAUSE_S = 0.01


@then("a VM of {vm:d} MiB has a budget of {budget:d} MiB")
def step_budget(context, vm, budget):
    found = budget_bytes(vm_bytes=vm * MEBIBYTE_BYTES)
    assert found // MEBIBYTE_BYTES == budget, found


class _Told(StepListener):
    def __init__(self):
        self.changes = []

    def step_changed(self, change):
        sign = "+" if change.began else "-"
        self.changes.append(sign + change.step.name.lower())


@given("an entry with a budget of {mebibytes:d} MiB")
def step_entry(context, mebibytes):
    context.held = HeldBytes(budget_bytes=mebibytes * MEBIBYTE_BYTES)
    context.held.set_active(True, now_s=_NOW_S)
    context.held.listener = _Told()
    context.filler = HeldCount(
        connection=context.held.open_connection(now_s=_NOW_S),
        kind=ByteKind.REQUEST_BODIES,
    )
    context.connections = {}


@given("the configuration does not call for the part")
@when("the configuration does not call for the part")
def step_not_called_for(context):
    context.held.set_active(False, now_s=_NOW_S)


@when("the configuration calls for the part")
def step_called_for(context):
    context.held.set_active(True, now_s=_NOW_S)


@when("it holds {mebibytes:g} MiB")
def step_holds(context, mebibytes):
    context.filler.set(round(mebibytes * MEBIBYTE_BYTES), now_s=_NOW_S)


@when("it holds {mebibytes:g} MiB in all")
def step_holds_in_all(context, mebibytes):
    others = context.held.held_bytes - context.filler.size_bytes
    context.filler.set(round(mebibytes * MEBIBYTE_BYTES) - others, now_s=_NOW_S)


@then("its step is {step}")
def step_step(context, step):
    assert context.held.step.name.lower() == step, context.held.step


@then('it told "{changes}"')
def step_told(context, changes):
    assert context.held.listener.changes == changes.split()


@then("no body is refused")
def step_none_refused(context):
    assert not context.held.refuses(None)
    assert not context.held.refuses(1 << 30)


@then("no connection is closed after {idle_s:g} s")
def step_none_closed(context, idle_s):
    now_s = _NOW_S + idle_s
    assert context.held.connection_to_close(now_s=now_s) is None


@then("a body of {length} bytes is {fate}")
def step_body(context, length, fate):
    size = None if length == "unknown" else int(length)
    assert context.held.refuses(size) is (fate == "refused")


def _stall(context, name, *, size_bytes, idle_s, stalled=True):
    connection = context.held.open_connection(now_s=_NOW_S - idle_s)
    connection.is_stalled = stalled
    connection.add(ByteKind.CALLER_BUFFERS, size_bytes, now_s=_NOW_S)
    context.connections[connection] = name


@given("connections that hold bytes:")
def step_connections(context):
    for row in context.table:
        _stall(
            context,
            row["name"],
            size_bytes=int(row["KiB"]) * 1024,
            idle_s=float(row["idle s"]),
            stalled=row["caller"] == "stalled",
        )


@given(
    "{count:d} callers that stalled {idle_s:g} s ago with {kibibytes:d} KiB "
    "each"
)
def step_many(context, count, idle_s, kibibytes):
    for number in range(count):
        _stall(context, number, size_bytes=kibibytes * 1024, idle_s=idle_s)


def _close_one(context):
    """Closes a connection but keeps the filler; returns its name."""
    connection = context.held.connection_to_close(now_s=_NOW_S)
    if connection is None:
        return None
    connection.is_open = False
    return context.connections[connection], connection


@then('the connections are closed in the order "{order}"')
@then('the connections are closed in the order ""')
def step_order(context, order=""):
    closed = []
    while found := _close_one(context):
        closed.append(found[0])
    assert ", ".join(closed) == order, closed


@when("connections are closed while there is one to close")
def step_close_all(context):
    while found := _close_one(context):
        connection = found[1]
        connection.add(
            ByteKind.CALLER_BUFFERS, -connection.held_bytes, now_s=_NOW_S
        )


@then("it holds between {least:d} and {most:d} MiB")
def step_between(context, least, most):
    mebibytes = context.held.held_bytes / MEBIBYTE_BYTES
    assert least <= mebibytes <= most, mebibytes


# Connections of the gateway.


class _Caller(HoldingCaller, PausableReader):
    def __init__(self):
        self.held_back = False

    def refresh_held(self):
        """Holds what the scenario sets."""

    def close_for_memory(self, cause):
        """Is not closed."""

    def hold_back(self, held_back):
        self.held_back = held_back

    def stream_early(self):
        """Has nothing to pass on."""


@when("a connection and its exchange hold bytes of each kind and are closed")
def step_hold_and_close(context):
    guard = MemoryGuard(held=context.held, is_active=lambda: True)
    caller = _Caller()
    memory = guard.open_caller(caller)
    guard.add_reader(caller)
    body = RequestBody()
    body.on_buffered = memory.add_body
    body.put(b"x" * 500)
    memory.set_output(300)
    exchange = memory.open_exchange()
    exchange.add_response(200)
    exchange.watch_output(lambda: 100)
    assert set(context.held.by_kind().values()) == {500, 300, 200, 100}
    context.filler.set(90 * MEBIBYTE_BYTES, now_s=_NOW_S)
    assert caller.held_back
    exchange.close()
    memory.close()
    body.discard()
    body.put(b"arrives late")
    assert not caller.held_back
    context.filler.set(0, now_s=_NOW_S)


@then("it holds no bytes of any kind")
def step_none(context):
    assert context.held.held_bytes == 0
    assert set(context.held.by_kind().values()) == {0}
    assert not context.held.holding()


def _guard(context):
    return MemoryGuard(held=context.held, is_active=lambda: True)


@when("a request ends after its caller disconnected in the middle of its body")
def step_runs_on(context):
    scripted_callers.disconnect(_guard(context))


@when("a connection is closed whose first response was read and second was not")
def step_close_unread(context):
    context.trace = scripted_callers.close_unread(_guard(context))


@then("its first request is not recorded as closed")
def step_not_recorded(context):
    assert "abort" in context.trace, context.trace
    assert "closed /read" not in context.trace, context.trace


@when("a request is refused behind another one that takes long")
def step_refuse_behind(context):
    with mock.patch.object(caller_connection, "DISCARD_TIMEOUT_S", 0.05):
        context.trace = scripted_callers.refuse_behind(_guard(context))


@then("both are answered before the connection is closed")
def step_both_answered(context):
    released = context.trace.index("release")
    before, after = context.trace[:released], context.trace[released:]
    assert "close" not in before, context.trace
    writes = [line for line in after if line.startswith("write ")]
    assert len(writes) == 2, context.trace
    assert after[-1] == "close", context.trace


@when(
    "a body that has arrived in parts of {first:d}, {second:d} and {third:d} "
    "bytes is sent"
)
def step_send_buffered(context, first, second, third):
    context.trace = connection_trace.send_buffered(
        _guard(context), (first, second, third)
    )


@then(
    "{size_bytes:d} bytes were written to the upstream, at most {most:d} at "
    "once"
)
def step_written(context, size_bytes, most):
    writes = [line for line in context.trace if line.startswith("write ")]
    # The first write is the head.
    sizes = [int(line.split()[1]) for line in writes[1:]]
    assert sum(sizes) == size_bytes, context.trace
    assert max(sizes) <= most, context.trace


# Digest of what connections did before the part existed.
_TRACE_BEFORE = "570beb03bc328a14"


@when("a caller and an upstream exchange bodies of many sizes, {how}")
def step_trace(context, how):
    guard = None
    if how != "with the part off":
        held = HeldBytes(budget_bytes=MEBIBYTE_BYTES // 16)
        guard = MemoryGuard(held=held, is_active=lambda: False)
        if how == "with a step in force":
            held.set_active(True, now_s=_NOW_S)
            connection = held.open_connection(now_s=_NOW_S)
            connection.add(ByteKind.RESPONSES, 34 * 1024, now_s=_NOW_S)
    context.trace = connection_trace.run(guard)


@then("each read, write, pause and digest is {same} as before the part existed")
def step_same(context, same):
    found = connection_trace.digest(context.trace)
    assert (found == _TRACE_BEFORE) is (same == "the same"), context.trace


# Processes.


@given('a gateway with the modes "{modes}" and a budget of {mebibytes:d} MiB')
@given('a gateway with the modes "" and a budget of {mebibytes:d} MiB')
def step_gateway(context, mebibytes, modes=""):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    context.environment = {
        "ALMONDSTAIR_OVERLOAD": modes,
        "ALMONDSTAIR_HELD_BYTES_MB": str(mebibytes),
    }
    for name in ("u1", "u2", "u3", "u4"):
        world.start_upstream(name, slots=250, queue=250, work_s=0.02)
        world.upstream_faults(
            name, large_path="/safe/large", large_bytes=MEBIBYTE_BYTES
        )
    world.configure()
    world.start_gateway(environment=context.environment)
    world.until_served()
    context.callers = StalledCallers(address=world.gateways["g1"]["callers"])
    context.add_cleanup(context.callers.close)


def _memory(context):
    """Returns what the status page shows of the held bytes."""
    address = context.world.operator_address("g1")
    return harness.get(address, "/status").json()["overload"]["memory"]


def _probe(context, found, ended):
    """Sends requests without a body until the load has ended."""
    number = 0
    while not ended.is_set() or number < 25:
        number += 1
        time.sleep(_PAUSE_S)
        try:
            answer = context.world.send("GET", f"/safe/small/{number}")
            found.append(answer.status)
        except OSError as error:
            found.append(str(error))


def _load(context, *, readers, senders):
    for number in range(max(readers, senders)):
        if number < readers:
            context.callers.read_nothing(
                f"/safe/large/{number}", request_id=f"reader-{number}"
            )
        if number < senders:
            context.callers.send_part(
                f"/unsafe/{number}",
                request_id=f"sender-{number}",
                length_bytes=600_000,
                sent_bytes=500_000,
            )
        time.sleep(_PAUSE_S)


@when(
    "{readers:d} callers read nothing of 1 MiB and {senders:d} send 500 KB and "
    "pause"
)
def step_load(context, readers, senders):
    context.statuses = []
    ended = threading.Event()
    with futures.ThreadPoolExecutor(4) as pool:
        for _ in range(4):
            pool.submit(_probe, context, context.statuses, ended)
        try:
            _load(context, readers=readers, senders=senders)
            # Callers are closed after a second without progress.
            time.sleep(4.0)
        finally:
            ended.set()


@then(
    "{least:d} of {many:d} requests without a body during this load were served"
)
def step_served(context, least, many):
    counts = collections.Counter(context.statuses)
    assert counts.total() >= many, counts
    refused = collections.Counter()
    for line in context.world.log_events(
        "g1", Event.GATEWAY_REFUSED.value.number
    ):
        refused[line["kind"], line["detail"]] += 1
    share = counts[200] / counts.total()
    assert share >= least / many, (counts, refused.most_common(5))


@then("the gateway held at most {most:d} MiB")
def step_held(context, most):
    memory = _memory(context)
    assert memory["most_bytes"] <= most * MEBIBYTE_BYTES, memory


@then("the steps {steps} have been logged, with the bytes of each kind")
def step_logged(context, steps):
    lines = context.world.log_events("g1", Event.MEMORY_STEP_BEGAN.value.number)
    logged = {line["step"] for line in lines}
    assert logged >= set(steps.split(", ")), logged
    for line in lines:
        kinds = sum(line[str(kind)] for kind in ByteKind)
        assert kinds == line["held_bytes"] <= line["budget_bytes"], line


@when("{count:d} callers send {sent:d} of {length:d} bytes and pause")
def step_send_parts(context, count, sent, length):
    for number in range(count):
        context.callers.send_part(
            f"/unsafe/{number}",
            request_id=f"sender-{number}",
            length_bytes=length,
            sent_bytes=sent,
        )


@when("nothing happens")
def step_nothing(context):
    del context


@when("a failure of the store happens")
def step_store_fails(context):
    context.processes.children["store"].kill()


def _until_step(context, step, *, limit_s=10.0):
    def check():
        return _memory(context)["step"] == step

    harness.wait_until(check, limit_s=limit_s, what=f"the step {step}")


@then("the gateway's step is {step}")
def step_gateway_step(context, step):
    _until_step(context, step)


@then("the gateway holds nothing and no step is in force")
def step_gateway_open(context):
    def check():
        return _memory(context)["held_bytes"] == 0

    harness.wait_until(check, what="no held bytes")
    memory = _memory(context)
    assert (memory["step"], memory["connections"]) == ("open", 0), memory
    assert set(memory["by_kind"].values()) == {0}, memory


def _post(context, size_bytes):
    headers = context.world.headers()
    context.request_id = headers["X-Almondstair-Request-Id"]
    address = context.world.gateways["g1"]["callers"]
    return harness.send(
        "POST", address, "/unsafe/x", headers=headers, body=b"x" * size_bytes
    )


@then(
    "a POST of {size_bytes:d} bytes is refused as entry_memory_full and has "
    "not run"
)
def step_post_refused(context, size_bytes):
    answer = _post(context, size_bytes)
    assert answer.status == 503, answer
    assert answer.json()["kind"] == "entry_memory_full", answer
    assert answer.json()["ran"] == "no", answer
    assert float(answer.headers["Retry-After"]) > 0, answer
    context.refused_id = context.request_id
    runs = [run["request"] for run in context.world.all_runs()]
    assert context.refused_id not in runs


@then("a POST of {size_bytes:d} bytes is served")
def step_post_served(context, size_bytes):
    answer = _post(context, size_bytes)
    assert answer.status == 200, answer


@then("look-ups, health checks and pages are served")
def step_pages(context):
    addresses = context.world.gateways["g1"]
    assert harness.get(addresses["ready"], "/ready").status == 200
    assert harness.get(addresses["operators"], "/metrics").status == 200
    path = f"/resolve?name={HOST}&region=east&zone=a1"
    answer = harness.get(addresses["lookups"], path)
    assert answer.status == 200, answer
    assert answer.json()["addresses"], answer


def _why(context, request_id):
    log_file = context.processes.directory / "g1.log"
    return operator_tool.run("gateway", "why", request_id, str(log_file))


def _overload_view(context):
    address = context.world.operator_address("g1")
    text = operator_tool.run("gateway", "overload", address, "--json")
    return json.loads(text)


@then("operators see the step and why the request was refused")
def step_operators(context):
    view = _overload_view(context)
    [row] = view["memory"]
    assert (row["gateway"], row["step"]) == ("g1", "refusal"), row
    assert row["refused"] >= 1, row
    assert row["by_kind"]["request_bodies"] >= 50 * 60_000, row
    [requests] = view["overload"]
    assert requests["refused"]["entry_memory_full"] >= 1, requests
    address = context.world.operator_address("g1")
    assert "Held bytes" in operator_tool.run("gateway", "overload", address)
    metrics = harness.get(address, "/metrics").body.decode()
    assert "almondstair_overload_memory_step 2.0" in metrics, metrics
    assert "held too many bytes" in _why(context, context.refused_id)


@when("these callers disconnect")
def step_disconnect(context):
    context.callers.close()


@then("connections are closed until the gateway's step is {step}")
def step_closed(context, step):
    def check():
        return _memory(context)["closed"] > 0

    harness.wait_until(check, what="a closed connection")
    _until_step(context, step)


@then("most of the callers keep their connections")
def step_keep(context):
    closed = _memory(context)["closed"]
    assert 0 < closed < 30, closed
    assert context.callers.count_closed() == closed, (
        context.callers.count_closed(),
        closed,
    )


@then("operators see why the connections were closed")
def step_why_closed(context):
    lines = context.world.log_events("g1", Event.REQUEST_ABANDONED.value.number)
    assert len(lines) == _memory(context)["closed"], lines
    text = _why(context, lines[0]["request"])
    assert "this entry closed the connection" in text, text
    assert "entry_memory_full" in text, text


@when("the gateway is killed and starts again with the same settings")
def step_killed(context):
    context.processes.children["g1"].kill()
    context.world.start_gateway(environment=context.environment)
    context.world.until_served()


@then("no connection was closed within {span_s:g} s")
def step_none_reset(context, span_s):
    time.sleep(span_s)
    assert context.callers.count_closed() == 0


@then("operators see no held bytes")
def step_no_memory(context):
    assert _memory(context) is None
    assert _overload_view(context)["memory"] == []


@then("operators see held bytes and no step")
def step_no_step(context):
    memory = _memory(context)
    assert memory["held_bytes"] >= 60_000, memory
    assert memory["step"] == "open", memory


@given('a gateway that starts with a budget of "{budget}"')
def step_wrong_budget(context, budget):
    world = GatewayWorld(processes=context.processes)
    with contextlib.suppress(AssertionError):
        world.start_gateway(
            ready=False, environment={"ALMONDSTAIR_HELD_BYTES_MB": budget}
        )
    context.child = context.processes.children["g1"]


@then("it ends with settings_invalid, naming {variable}")
def step_ends(context, variable):
    assert context.child.wait() == 2
    text = context.child.log_text()
    assert "settings_invalid" in text, text
    assert variable in text, text


@given("a route with a longer time, with responses of 1 MiB")
def step_longer(context):
    world = context.world
    for name in world.upstreams:
        world.upstream_faults(
            name, large_path="/slow/large", large_bytes=MEBIBYTE_BYTES
        )
    slow = documents.route("/slow/", kind="unsafe", timeoutS=5.0)
    world.configure([*world.routes, slow])
    world.until_served("/slow/x")


def _send_slowly(context, path, size_bytes, half_sent, goes_on):
    """Sends half of a body, then the rest; returns the response."""
    body = b"x" * (size_bytes // 2)
    connection = context.world.connect()
    connection.putrequest("POST", path, skip_host=True)
    for name, value in context.world.headers().items():
        connection.putheader(name, value)
    connection.putheader("Content-Length", str(2 * len(body)))
    connection.endheaders(body)
    half_sent.set()
    goes_on.wait()
    connection.send(body)
    response = connection.getresponse()
    return response.status, len(response.read())


@when("a caller sends half of 600 KB, connections are closed, and it goes on")
def step_goes_on(context):
    half_sent, goes_on = threading.Event(), threading.Event()
    with futures.ThreadPoolExecutor(1) as pool:
        pending = pool.submit(
            _send_slowly, context, "/slow/x", 600_000, half_sent, goes_on
        )
        try:
            assert half_sent.wait(10.0), "the caller has not connected"
            step_send_parts(context, 65, 60_000, 65_000)
            _until_step(context, "closing")
        finally:
            goes_on.set()
        context.answer = pending.result()


@when("connections are closed and a caller asks for a large response")
def step_asks(context):
    step_send_parts(context, 65, 60_000, 65_000)
    _until_step(context, "closing")
    answer = context.world.send("GET", "/slow/large")
    context.answer = (answer.status, len(answer.body))


@then("its response is complete, with {least:d} bytes or more")
def step_complete(context, least):
    status, size_bytes = context.answer
    assert status == 200, context.answer
    assert size_bytes >= least, context.answer
    assert _memory(context)["closed"] > 0
