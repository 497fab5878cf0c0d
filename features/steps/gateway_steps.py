"""Steps for the gateway: deployments, requests and responses."""

from concurrent import futures
import http.client
import socket
import time

from behave import given
from behave import then
from behave import when
import xxhash

from emulator.documents import HOST
from features.support import harness
from features.support.gateway_world import GatewayWorld

_RECEIVE_BYTES = 65536
# Time for a crashed upstream to exit, also on a busy host.
_CRASH_ENDS_S = 1.5
# Time until each gateway counts the other as sharing its limits.
_JOIN_S = 5.0


def _start_world(
    context,
    *,
    upstreams=1,
    gateways=1,
    zones=("a1", "a1"),
    environment=None,
    **upstream_options,
):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for number in range(upstreams):
        world.start_upstream(
            f"u{number + 1}", zone=zones[number], **upstream_options
        )
    world.configure()
    for number in range(gateways):
        world.start_gateway(f"g{number + 1}", environment=environment)
    world.until_served("/safe/warm-up")
    context.before = {run["request"] for run in world.all_runs()}


@given("a gateway with {count:d} upstream")
@given("a gateway with {count:d} upstreams")
def step_gateway(context, count):
    _start_world(context, upstreams=count)


@given("a gateway with {count:d} upstream that works {work_s:g} s")
def step_gateway_works(context, count, work_s):
    _start_world(context, upstreams=count, work_s=work_s)


@given(
    "a gateway with ordered waits and {count:d} upstream that works {work_s:g} "
    "s"
)
def step_gateway_ordered(context, count, work_s):
    modes = {"ALMONDSTAIR_OVERLOAD": "waiting=called_for"}
    _start_world(context, upstreams=count, environment=modes, work_s=work_s)


@given("a gateway with 2 upstreams in different zones")
def step_gateway_zones(context):
    _start_world(context, upstreams=2, zones=("a2", "a1"))


@given("{gateways:d} gateways with 1 upstream")
def step_gateways(context, gateways):
    _start_world(context, gateways=gateways)


@given("2 gateways with 1 upstream that is cold for {cold_s:g} s")
def step_cold(context, cold_s):
    _start_world(context, gateways=2)
    step_cold_takes_place(context, cold_s)


@given("{gateways:d} gateways with {upstreams:d} upstreams")
def step_gateways_upstreams(context, gateways, upstreams):
    _start_world(
        context, gateways=gateways, upstreams=upstreams, zones=("a1",) * 9
    )


@given('requests to "{path}" end the upstreams that run them')
def step_poison(context, path):
    for name in context.world.upstreams:
        context.world.upstream_faults(name, crash_path=path)


@when(
    '{count:d} requests to "{path}" are sent through both, {pause_s:g} s apart'
)
def step_poison_sent(context, count, path, pause_s):
    for number in range(count):
        gateway = ("g1", "g2")[number % 2]
        context.world.send("POST", path, gateway=gateway, body=b"same")
        time.sleep(pause_s)


def _ended_upstreams(context):
    ended = set()
    for name in context.world.upstreams:
        if not context.processes.children[name].is_running():
            ended.add(name)
    return ended


@then("at most {most:d} upstreams have ended")
def step_ended(context, most):
    # A crashed process takes a moment to exit.
    time.sleep(_CRASH_ENDS_S)
    ended = _ended_upstreams(context)
    assert len(ended) <= most, ended


@given("2 gateways with 1 upstream that know each other")
def step_joined(context):
    _start_world(context, gateways=2)
    time.sleep(_JOIN_S)


@given("an upstream that is cold for {cold_s:g} s takes its place")
def step_cold_takes_place(context, cold_s):
    context.world.start_upstream("cold", cold_s=cold_s, work_s=0.001)
    context.processes.children["u1"].kill()


@given("a gateway before the first configuration")
def step_no_configuration(context):
    context.world = GatewayWorld(processes=context.processes)
    context.world.start_upstream("u1")
    context.world.start_gateway(ready=False)


@given('the upstream\'s fault "{how}" strikes every {every:d} requests')
@given('the first upstream\'s fault "{how}" strikes every {every:d} requests')
def step_fault(context, how, every):
    context.world.upstream_faults("u1", how=how, every=every)


@given('the second upstream\'s fault "{how}" strikes every {every:d} requests')
def step_second_fault(context, how, every):
    context.world.upstream_faults("u2", how=how, every=every)


@given("the upstream is {factor:g} times slower")
def step_slower(context, factor):
    context.world.upstream_faults("u1", slower=factor)


# Requests.


def _send(context, method, path, **options):
    headers = context.world.headers()
    began_s = time.monotonic()
    answer = harness.send(
        method,
        context.world.gateways["g1"]["callers"],
        path,
        headers=headers,
        **options,
    )
    took_s = time.monotonic() - began_s
    return headers["X-Almondstair-Request-Id"], answer, took_s


@when('{count:d} requests go to "{path}"')
def step_send(context, count, path):
    context.answers = []
    for _ in range(count):
        context.answers.append(_send(context, "GET", path))
        time.sleep(0.03)


@when('{count:d} requests with bodies are sent to "{path}"')
def step_send_bodies(context, count, path):
    context.answers = []
    for _ in range(count):
        context.answers.append(_send(context, "POST", path, body=b"pay"))


@when('{count:d} requests to "{path}" are sent side by side')
def step_send_together(context, count, path):
    with futures.ThreadPoolExecutor(count) as pool:
        pending = []
        for _ in range(count):
            pending.append(
                pool.submit(_send, context, "POST", path, body=b"pay")
            )
        context.answers = [future.result() for future in pending]


def _encode_request(context, path, **extra_headers):
    headers = context.world.headers(**extra_headers)
    lines = [f"GET {path} HTTP/1.1"]
    for name, value in headers.items():
        lines.append(f"{name}: {value}")
    text = "\r\n".join(lines) + "\r\n\r\n"
    return headers["X-Almondstair-Request-Id"], text.encode()


def _open_connection(context):
    ip, port = context.world.gateways["g1"]["callers"].split(":")
    return socket.create_connection((ip, int(port)), timeout=10)


@when('{count:d} requests to "{path}" are sent together on one connection')
def step_pipeline(context, count, path):
    context.ids = []
    data = b""
    for number in range(count):
        request_id, head = _encode_request(context, f"{path}{number}")
        context.ids.append(request_id)
        data += head
    began_s = time.monotonic()
    with _open_connection(context) as connection:
        connection.sendall(data)
        received = b""
        while received.count(b"HTTP/1.1 200") < count or not received.endswith(
            b"\n"
        ):
            received += connection.recv(_RECEIVE_BYTES)
    context.received = received
    context.took_s = time.monotonic() - began_s


@then("the answers come in the order of the requests within {limit_s:g} s")
def step_in_order(context, limit_s):
    offsets = []
    for request_id in context.ids:
        offsets.append(context.received.index(f"seal-{request_id}".encode()))
    assert offsets == sorted(offsets), offsets
    assert context.took_s < limit_s, context.took_s


def _body(size):
    return bytes(number % 251 for number in range(size))


@when("a body of {size:d} bytes is sent with a length")
def step_body_length(context, size):
    _send_body(context, size, _body(size))


@when("a body of {size:d} bytes is sent in chunks")
def step_body_chunks(context, size):
    body = _body(size)
    chunks = iter([body[: size // 3], body[size // 3 :]])
    _send_body(context, size, chunks)


def _send_body(context, size, body):
    sent = getattr(context, "bodies", [])
    request_id, answer, _ = _send(context, "POST", "/upload/x", body=body)
    assert answer.status == 200, answer
    sent.append((request_id, xxhash.xxh3_64_hexdigest(_body(size))))
    context.bodies = sent


@then("each body arrived as it was sent")
def step_bodies(context):
    arrived = {}
    for run in context.world.all_runs():
        arrived[run["request"]] = run["body"]
    for request_id, digest in context.bodies:
        assert arrived[request_id] == digest, request_id


@when('the bytes of a request with "{header}" are sent')
def step_raw(context, header):
    text = header.replace("\\r\\n", "\r\n")
    request_id, _ = _encode_request(context, "/unsafe/x")
    context.raw_id = request_id
    data = (
        f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Almondstair-Request-Id: {request_id}\r\n{text}\r\n\r\n"
        "0\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    with _open_connection(context) as connection:
        connection.sendall(data.encode())
        received = b""
        while chunk := connection.recv(_RECEIVE_BYTES):
            received += chunk
    context.received = received


@then("the answer is 400 and the connection is closed")
def step_refused_closed(context):
    assert context.received.startswith(b"HTTP/1.1 400 "), context.received
    assert context.received.count(b"HTTP/1.1") == 1, context.received


@when("half of a head is sent")
def step_half_head(context):
    _, head = _encode_request(context, "/safe/x")
    context.connection = _open_connection(context)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(head[:40])


@then("the connection is closed within {limit_s:g} s")
def step_closed(context, limit_s):
    context.connection.settimeout(limit_s)
    assert context.connection.recv(1) == b""


@then("no upstream ran it")
def step_not_run(context):
    for run in context.world.all_runs():
        assert run["request"] != context.raw_id, run
        assert "smuggled" not in run["path"], run


# Responses.


@then("each answer is the whole one of its own request")
def step_whole(context):
    for request_id, answer, _ in context.answers:
        seals = answer.headers.get_all("X-Almondstair-Response-Seal")
        assert answer.status == 200, (answer, request_id)
        assert seals == [f"seal-{request_id}"], (seals, request_id)
        expected = f"answer to {request_id}\n".encode() * 8
        assert answer.body == expected, answer.body


@then("every one is answered {status:d}")
def step_all_status(context, status):
    for _, answer, _ in context.answers:
        assert answer.status == status, answer


def _run_counts(context):
    counts = {}
    for run in context.world.all_runs():
        counts[run["request"]] = counts.get(run["request"], 0) + 1
    return counts


@then("each of them ran once")
def step_ran_once(context):
    counts = _run_counts(context)
    for request_id, _, _ in context.answers:
        assert counts.get(request_id) == 1, (request_id, counts)


@then("some are refused with 503 and a time to come back within {limit_s:g} s")
def step_refused(context, limit_s):
    refused = 0
    for _, answer, took_s in context.answers:
        if answer.status != 503:
            continue
        refused += 1
        assert float(answer.headers["Retry-After"]) > 0, answer
        assert took_s < limit_s + 0.5, took_s
    assert refused, "no request was refused"


@then("no refused request ran")
def step_refused_not_run(context):
    counts = _run_counts(context)
    for request_id, answer, _ in context.answers:
        if answer.status == 503:
            assert request_id not in counts, request_id


@when("the upstream is killed and its address goes to another service")
def step_reuse(context):
    world = context.world
    address = world.upstreams["u1"]
    context.processes.children["u1"].kill()
    world.start_upstream("other", service="other", address=address)


@then("no upstream of the other service ran one")
def step_other_idle(context):
    assert context.world.runs("other") == []


@when('a caller sends "{path}" and leaves after {after_s:g} s')
def step_leaves(context, path, after_s):
    _send_and_leave(context, [path], after_s)


@when('a caller sends "{path}" twice together and leaves after {after_s:g} s')
def step_leaves_pipelined(context, path, after_s):
    _send_and_leave(context, [path, path], after_s)


def _send_and_leave(context, paths, after_s):
    data = b""
    context.ids = []
    for path in paths:
        request_id, head = _encode_request(context, path)
        context.ids.append(request_id)
        data += head
    with _open_connection(context) as connection:
        connection.sendall(data)
        time.sleep(after_s)
    context.left_at_s = time.monotonic()


@then("the upstream drops the request within {limit_s:g} s")
def step_dropped(context, limit_s):
    def check():
        for run in context.world.runs("u1"):
            if run["request"] in context.ids and run["ended"] != "dropped":
                return False
        return True

    harness.wait_until(check, limit_s=limit_s, what="the request to be dropped")


@when('a request to "{path}" states a deadline of {deadline_ms:d} ms')
def step_deadline(context, path, deadline_ms):
    headers = {"X_Almondstair_Deadline_Ms": str(deadline_ms)}
    answer = context.world.send("GET", path, headers=headers)
    assert answer.status == 200, answer


@then("the upstream was given at most {limit_ms:d} ms")
def step_given(context, limit_ms):
    run = context.world.runs("u1")[-1]
    assert 0 < run["deadline_ms"] <= limit_ms, run


@then("the answer came after {least_s:g} s and before {most_s:g} s")
def step_took(context, least_s, most_s):
    for _, _, took_s in context.answers:
        assert least_s <= took_s < most_s, took_s


# Connections that stay open during a shutdown.


def keep_sending(context, connection, until_s):
    """Sends requests until the connection closes; returns their outcomes."""
    outcomes = []
    while time.monotonic() < until_s:
        try:
            headers = context.world.headers()
            connection.request("GET", "/safe/x", headers=headers)
            answer = connection.getresponse()
            answer.read()
        except (http.client.RemoteDisconnected, ConnectionError):
            outcomes.append(("closed", headers["X-Almondstair-Request-Id"]))
            return outcomes
        request_id = headers["X-Almondstair-Request-Id"]
        outcomes.append((answer.status, request_id))
        time.sleep(0.05)
    return outcomes


@given("a gateway without upstreams")
def step_no_upstreams(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.configure()
    world.start_gateway("g1")


@when("{sent_mb:g} MB of an upload of {size_mb:g} MB are sent")
def step_part_of_upload(context, sent_mb, size_mb):
    connection = context.world.connect()
    connection.putrequest("POST", "/upload/x", skip_host=True)
    for name, value in context.world.headers().items():
        connection.putheader(name, value)
    connection.putheader("Content-Length", str(round(size_mb * 1e6)))
    connection.endheaders()
    connection.send(b"x" * round(sent_mb * 1e6))
    context.response = connection.getresponse()


@then("it is refused, and the refusal says that the connection closes")
def step_refusal_closes(context):
    assert context.response.status == 503, context.response.status
    assert context.response.headers["Connection"] == "close"
