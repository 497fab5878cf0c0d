"""Steps of http.feature: bodies, framing, headers, caller disconnects."""

import json
import time

from behave import given
from behave import then
from behave import when

from features.support import upstream_standin
from features.support import wire
from features.support.deployment import CLASSES
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.harness import free_address
from features.support.harness import send
from features.support.harness import wait_until
from features.support.http_helpers import UPSTREAM
from features.support.http_helpers import address
from features.support.http_helpers import journal
from features.support.http_helpers import open_wire

MIB = 1 << 20
RAW_UPSTREAM = "bkk-raw"
HEAD_PAUSE_S = 1.5
READY_REQUESTS = (("GET", "/statements/1"), ("PUT", "/batches/1"))
BIG_LINK_BYTES_PER_S = 2_000_000_000
UPLOAD_HEAD = "PUT /matching/batches/1 HTTP/1.1\r\nHost: x\r\n"
LENGTH_HEADER = "Content-Length: 5\r\n"
CHUNKED_HEADER = "Transfer-Encoding: chunked\r\n"
SMUGGLED_REQUEST = "GET /orders/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
MALFORMED_REQUESTS = {
    "both lengths": UPLOAD_HEAD
    + LENGTH_HEADER
    + CHUNKED_HEADER
    + "\r\n0\r\n\r\n"
    + SMUGGLED_REQUEST,
    "two lengths": UPLOAD_HEAD
    + LENGTH_HEADER
    + "Content-Length: 6\r\n\r\nhellox",
    "a list of lengths": UPLOAD_HEAD + "Content-Length: 5, 5\r\n\r\nhello",
    "a signed length": UPLOAD_HEAD + "Content-Length: +5\r\n\r\nhello",
    "two encodings": UPLOAD_HEAD
    + CHUNKED_HEADER
    + CHUNKED_HEADER
    + "\r\n0\r\n\r\n",
    "another encoding": UPLOAD_HEAD
    + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a bad chunk size": UPLOAD_HEAD
    + CHUNKED_HEADER
    + "\r\n5x\r\nhello\r\n0\r\n\r\n",
    "a signed chunk size": UPLOAD_HEAD
    + CHUNKED_HEADER
    + "\r\n+5\r\nhello\r\n0\r\n\r\n",
    "a chunk without its end": UPLOAD_HEAD
    + CHUNKED_HEADER
    + "\r\n5\r\nhelloxx0\r\n\r\n",
    "headers of 40 KiB": UPLOAD_HEAD
    + LENGTH_HEADER
    + f"X-Long: {'a' * 40960}\r\n\r\nhello",
    "a length named per-hop": "GET /matching/orders/1 HTTP/1.1\r\nHost: x\r\n"
    + f"Connection: content-length\r\nContent-Length: {80 * 1024}\r\n\r\n"
    + SMUGGLED_REQUEST * (80 * 1024 // len(SMUGGLED_REQUEST) + 1),
    "a space before the colon": UPLOAD_HEAD + "Content-Length : 5\r\n\r\nhello",
    "a header without a colon": UPLOAD_HEAD
    + LENGTH_HEADER
    + "Odd\r\n\r\nhello",
    "a bad start line": "PUT  /matching/batches/1\r\n\r\n",
}


class _HttpDeployment(Deployment):
    """A deployment whose second service has an upstream in this process."""

    def deployment_text(self):
        text = super().deployment_text()
        block = f'[upstreams.{RAW_UPSTREAM}]\nservices = ["{{}}"]'
        text = text.replace(block.format("matching"), block.format("raw"))
        service = '[services.raw]\nprofile = "local"\n'
        service += CLASSES.format(service="raw", commit_ms=3000)
        return text.replace("[upstreams.", service + "\n[upstreams.", 1)


@given("an upstream in bkk, and an entry each in bkk and cnx")
def step_deployment(context):
    if "http" not in context:
        _start(context)
    context.deployment = context.http
    context.control = context.deployment.control
    context.control(UPSTREAM, cut=0)
    wait_until(lambda: not journal(context)["busy"], what="an idle upstream")
    context.raw.answer = wire.EMPTY_RESPONSE
    wait_until(
        lambda: _all_accept_work(context), what="upstreams that accept work"
    )
    context.runs_before = len(journal(context)["runs"])
    context.raw.heads.clear()


def _all_accept_work(context):
    # A new entry has no share of its links yet, and an upstream that failed
    # gets no work for a while. Long requests are refused longest in both cases.
    for entry in context.deployment.entries:
        for service in ("matching", "raw"):
            for method, path in READY_REQUESTS:
                answer = send(
                    method, address(context, entry), f"/{service}{path}"
                )
                if answer.status != 200:
                    return False
    return True


def _start(context):
    processes = Processes()
    context._set_root_attribute("http_processes", processes)
    deployment = _HttpDeployment(
        processes=processes,
        shape=Shape(
            entries={"bkk": 1, "cnx": 1},
            upstreams={"bkk": 1},
            cap_bytes_per_s=BIG_LINK_BYTES_PER_S,
        ),
    )
    raw_address = free_address()
    raw = wire.RawUpstream(raw_address)
    deployment.upstreams[RAW_UPSTREAM] = raw_address
    deployment.start()
    context.raw = raw
    context._set_root_attribute("http", deployment)
    context._set_root_attribute("raw", raw)
    context.add_cleanup(processes.end, layer="feature")
    context.add_cleanup(raw.end, layer="feature")


def _new_runs(context):
    return journal(context)["runs"][context.runs_before :]


def _resident_bytes(context, field):
    sizes_bytes = {}
    for name in context.deployment.entries:
        child = context.deployment.processes.children[name]
        sizes_bytes[name] = child.resident_bytes(field=field)
    return sizes_bytes


# Long bodies.


@when("64 MiB are sent to {entry} with {framing}")
def step_upload(context, entry, framing):
    context.entry = entry
    context.resident_before = _resident_bytes(context, "VmRSS")

    def is_sent():
        context.sent = wire.upload(
            address(context, entry),
            "/matching/batches/1",
            size_bytes=64 * MIB,
            chunked=framing == "chunks",
        )
        return context.sent.answer.status != 503

    wait_until(is_sent, what="an upload that is not refused")


@then("the upstream got them byte for byte")
def step_upload_complete(context):
    assert context.sent.answer.status == 200, context.sent
    assert context.sent.size_bytes == 64 * MIB, context.sent
    expected = upstream_standin.body_sha256(64 * MIB)
    assert context.sent.sha256 == expected
    print(f"upload: {context.sent.took_s:.2f} s")


@then("a statement of 64 MiB through {entry} arrives byte for byte")
def step_statement(context, entry):
    path = f"/matching/statements/1?answer_bytes={64 * MIB}"

    def read():
        download = wire.download(address(context, entry), path)
        return download if download.answer.status != 503 else None

    download = wait_until(read, what="a statement that is not refused")
    assert download.answer.status == 200, download
    assert download.size_bytes == 64 * MIB, download
    assert download.sha256 == upstream_standin.body_sha256(64 * MIB)
    print(f"statement: {download.took_s:.2f} s")


@when("a caller of {entry} pauses after the head of a 64 MiB statement")
def step_pause(context, entry):
    context.resident_before = _resident_bytes(context, "VmRSS")

    def started():
        opened = open_wire(context, entry)
        opened.write(
            f"GET /matching/statements/1?answer_bytes={64 * MIB} HTTP/1.1\r\n"
            "Host: x\r\n\r\n".encode()
        )
        return opened.head().status == 200

    wait_until(started, what="a statement that is not refused")
    time.sleep(HEAD_PAUSE_S)
    assert journal(context)["busy"] == 1, "the statement did not wait"


@when("64 MiB are sent through {entry} to an upstream that reads nothing")
def step_stalled(context, entry):
    context.resident_before = _resident_bytes(context, "VmRSS")
    context.raw.stalls = True
    context.raw.resume.clear()
    context.add_cleanup(_resume, context.raw)
    head = f"PUT /raw/batches/1 HTTP/1.1\r\nContent-Length: {64 * MIB}\r\n"

    def started():
        opened = open_wire(context, entry)
        opened.write((head + "Host: x\r\n\r\n").encode())
        sent = opened.write_until_full(64 * MIB, limit_s=HEAD_PAUSE_S)
        return sent if context.raw.heads else 0

    sent_bytes = wait_until(started, what="an upload that is not refused")
    assert sent_bytes < 32 * MIB, (
        f"{sent_bytes} bytes accepted without backpressure"
    )


def _resume(raw):
    raw.stalls = False
    raw.resume.set()


@then("no entry's resident memory grew by 16 MiB")
def step_resident(context):
    peaks = _resident_bytes(context, "VmHWM")
    for name, peak_bytes in peaks.items():
        grown_bytes = peak_bytes - context.resident_before[name]
        print(f"{name}: peak {grown_bytes / MIB:.1f} MiB above the start")
        assert grown_bytes < 16 * MIB, f"{name} grew {grown_bytes} bytes"


# Framing.


@when(
    "{size:d} of 100 bytes of a body are sent to {entry} with {left:d} ms left"
)
def step_part(context, size, entry, left):
    context.wire = open_wire(context, entry)
    head = f"{UPLOAD_HEAD}Content-Length: 100\r\nDeadline-Ms: {left}\r\n\r\n"
    context.wire.write(head.encode() + bytes(size))


@when("the head of an upload to {entry} asks for {expectation}")
def step_expect(context, entry, expectation):
    context.wire = open_wire(context, entry)
    context.wire.write(
        f"{UPLOAD_HEAD}{LENGTH_HEADER}Expect: {expectation}\r\n\r\n".encode()
    )


@then("the answer is a {status:d}")
def step_status(context, status):
    context.head = context.wire.head()
    assert context.head.status == status, context.head


@when("its body is sent")
def step_send_body(context):
    context.wire.write(b"hello")


@then("the upstream read {size:d} bytes")
def step_read_bytes(context, size):
    assert context.head.headers["body-length"] == str(size), context.head


@when('"{method} {path}" and a look-up go to {entry} on one connection')
def step_two_on_one(context, method, path, entry):
    context.method = method
    context.wire = open_wire(context, entry)
    context.wire.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


@then("the answers are {first:d} without a body and {second:d} with one")
def step_two_answers(context, first, second):
    head = context.wire.head()
    assert head.status == first, head
    if context.method == "GET":
        assert "transfer-encoding" not in head.headers, head
    context.wire.write(
        b"GET /v1/entries?service=matching HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    head = context.wire.head()
    assert head.status == second, head
    body = json.loads(context.wire.body(head))
    assert len(body["entries"]) == 2, body


# Callers that disconnect.


def _send_until_running(context, entry, data):
    """Retries until a request runs; returns its connection."""

    def running():
        opened = open_wire(context, entry)
        opened.write(data)
        return opened if opened.is_silent(limit_s=0.3) else None

    opened = wait_until(running, what="a request that is not refused")
    wait_until(lambda: _new_runs(context), what="a run")
    return opened


@when("a caller of {entry} leaves while the upstream works for {work_ms:d} ms")
def step_leave(context, entry, work_ms):
    path = f"/matching/statements/1?work_ms={work_ms}"
    data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    _send_until_running(context, entry, data).close()


@when("a caller of {entry} leaves in the middle of its body")
def step_leave_body(context, entry):
    data = f"{UPLOAD_HEAD}Content-Length: {MIB}\r\n\r\n".encode()
    _send_until_running(context, entry, data + bytes(MIB // 2)).close()


@then('the upstream\'s journal says "{outcome}" within {limit_s:d} s')
def step_outcome(context, outcome, limit_s):
    def ended():
        runs = _new_runs(context)
        return len(runs) == 1 and runs[0]["outcome"] == outcome

    wait_until(ended, limit_s=limit_s, what=f"{outcome}: {_new_runs(context)}")


@then("every slot of the upstream is free within {limit_s:d} s")
def step_slots_free(context, limit_s):
    def are_free():
        rows = context.deployment.status("bkk-e0")["upstreams"]
        return all(row["in_flight"] == 0 for row in rows)

    wait_until(are_free, limit_s=limit_s, what="free slots")


# Headers.


@when("a request to {entry} has hop-by-hop headers and ours")
def step_hop_headers(context, entry):
    context.raw.answer = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n"
        b"Connection: X-Answer-Dropped, close\r\nX-Answer-Dropped: 1\r\n"
        b"X-Answer-Kept: 1\r\nProxy-Authenticate: Basic\r\n"
        b"Almondstair-Answer: no_slot;no;100\r\nTrailer: X-Sum\r\n"
        b"Upstream-Load: slots=4;busy=1\r\n\r\n"
    )
    context.wire = open_wire(context, entry)
    context.wire.write(
        b"GET /raw/orders/1 HTTP/1.1\r\nHost: x\r\nX-Kept: 1\r\n"
        b"Connection: X-Dropped, keep-alive\r\nX-Dropped: 1\r\n"
        b"Keep-Alive: timeout=5\r\nTE: trailers\r\nTrailer: X-Sum\r\n"
        b"Proxy-Authorization: Basic x\r\nProxy-Connection: close\r\n"
        b"Upgrade: h2c\r\nAlmondstair-Caller-Zone: elsewhere\r\n\r\n"
    )


@then('the next hop gets only "{name}"')
def step_next_hop(context, name):
    context.head = context.wire.head()
    assert context.head.status == 200, context.head
    assert len(context.raw.heads) == 1, context.raw.heads
    names = set()
    for line in context.raw.heads[0].split("\n")[1:]:
        names.add(line.partition(":")[0].title())
    # Headers that an entry itself sends to an upstream.
    names -= {"Host", "Deadline-Ms", "Traceparent"}
    assert names == {name.title()}, names


@then('the caller gets only "{name}"')
def step_caller_gets(context, name):
    names = set(context.head.headers) - {"content-length"}
    assert names == {name.lower()}, context.head


# Request smuggling.


@when("{shape} is sent to {entry}")
def step_shape(context, shape, entry):
    context.wire = open_wire(context, entry)
    context.wire.write(MALFORMED_REQUESTS[shape].encode())


@then("the answer is a {status:d} and the connection is closed")
def step_refused_closed(context, status):
    head = context.wire.head()
    assert head.status == status, head
    context.wire.body(head)
    rest = context.wire.rest()
    assert rest == b"", rest[:200]


@then("no upstream has seen a request")
def step_nothing_seen(context):
    assert _new_runs(context) == [], _new_runs(context)
    assert context.raw.heads == [], context.raw.heads


# Bad input.


@when(
    '"{request}" goes to {entry} with headers "{headers:Maybe}" '
    "and {size:d} bytes"
)
def step_request(context, request, entry, headers, size):
    method, _, path = request.partition(" ")
    sent = {}
    if headers:
        name, _, value = headers.partition(": ")
        sent[name] = value
    body = bytes(size) if size else None
    context.answer = send(
        method, address(context, entry), path, body=body, headers=sent
    )


@when("{size:d} bytes in chunks go to {entry} as an approval")
def step_chunked_approval(context, size, entry):
    context.answer = send(
        "POST",
        address(context, entry),
        "/matching/approvals",
        body=iter([bytes(size // 2), bytes(size // 2)]),
        headers={"Idempotency-Key": "k"},
    )


@then('the problem is {kind} with {code:d}, status {status:d}, ran "{ran}"')
def step_problem(context, kind, code, status, ran):
    answer = context.answer
    assert answer.status == status, answer
    assert answer.headers["Content-Type"] == "application/problem+json"
    problem = answer.json()
    assert problem["kind"] == kind, problem
    assert problem["code"] == code, problem
    assert problem["ran"] == ran, problem
    assert problem["status"] == status, problem
    has_retry_after = problem["retry_after_ms"] is not None
    assert has_retry_after == ("Retry-After" in answer.headers), answer
