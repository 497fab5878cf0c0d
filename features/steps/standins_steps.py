"""Steps of standins.feature."""

import base64
from concurrent.futures import ThreadPoolExecutor
import contextlib
import hashlib
import http.client
import json
import socket
import time

from behave import given
from behave import then
from behave import when

from features.support import harness
from features.support.upstream_standin import body_chunks
from features.support.upstream_standin import body_sha256

MEBIBYTE = 1 << 20
MAX_CONCURRENT_REQUESTS = 8


def encode_base64(text):
    return base64.b64encode(text.encode()).decode()


def creation_request(key, value):
    compare = {
        "key": encode_base64(key),
        "target": "CREATE",
        "create_revision": "0",
    }
    put = {"key": encode_base64(key), "value": encode_base64(value)}
    return {"compare": [compare], "success": [{"request_put": put}]}


def call_platform(context, path, body):
    """Calls the platform and returns its answer, which may be a refusal.

    Without an answer, returns {} and sets `context.unanswered`.
    """
    context.unanswered = False
    try:
        response = harness.post(context.platform, path, body)
    except (OSError, http.client.HTTPException):
        context.unanswered = True
        return {}
    return response.json()


def read_value(context, key):
    response = call_platform(
        context, "/v3/kv/range", {"key": encode_base64(key)}
    )
    assert not context.unanswered
    return response.get("kvs", [None])[0]


def read_journal(context):
    return harness.get(context.upstream, "/_journal").json()


@given("a platform")
def start_platform(context):
    context.platform = context.processes.start_platform()
    context.creation_results = []


@given('the platform\'s fault "{name}" is {value}')
@when('the platform\'s fault "{name}" is {value}')
def set_fault(context, name, value):
    harness.post(context.platform, "/faults", {name: json.loads(value)})


@given('"{value}" is created at "{key}"')
def given_created(context, value, key):
    assert call_platform(context, "/v3/kv/txn", creation_request(key, value))[
        "succeeded"
    ]


@when('"{value}" is created at "{key}"')
def create(context, value, key):
    response = call_platform(
        context, "/v3/kv/txn", creation_request(key, value)
    )
    context.creation_results.append(response.get("succeeded", False))


@when('one transaction creates "{value}" at each of "{keys}"')
def create_many(context, value, keys):
    batch = []
    for key in keys.split(","):
        batch.append({"request_txn": creation_request(key, value)})
    context.answer = call_platform(context, "/v3/kv/txn", {"success": batch})
    for response in context.answer.get("responses", []):
        succeeded = response["response_txn"].get("succeeded", False)
        context.creation_results.append(succeeded)


@then("the creations held: {words}")
def check_creation_results(context, words):
    expected = [word == "yes" for word in words.split(", ")]
    assert context.creation_results == expected, context.creation_results


@then('the platform refused with "{message}"')
def check_refusal(context, message):
    assert message in context.answer["error"], context.answer


@then('"{key}" holds "{value}" at version {version:d}')
def check_value(context, key, value, version):
    found = read_value(context, key)
    assert found["value"] == encode_base64(value), found
    assert found["version"] == str(version), found


@then('"{first}" and "{second}" were written at one revision')
def check_one_revision(context, first, second):
    revision = read_value(context, first)["mod_revision"]
    assert read_value(context, second)["mod_revision"] == revision


@then('"{key}" is absent')
def check_absent(context, key):
    assert read_value(context, key) is None


@then("the call got no answer")
def check_unanswered(context):
    assert context.unanswered


@then('a read of "{key}" gets no answer')
def check_read_fails(context, key):
    call_platform(context, "/v3/kv/range", {"key": encode_base64(key)})
    assert context.unanswered


@given('a watch on "{prefix}" from the first revision')
def open_watch(context, prefix):
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    create_request = {
        "key": encode_base64(prefix),
        "range_end": encode_base64(end),
    }
    create_request["start_revision"] = "1"
    connection = harness.connect(context.platform)
    body = json.dumps({"create_request": create_request})
    connection.request("POST", "/v3/watch", body=body)
    context.watch = connection.getresponse()
    context.watch_connection = connection
    assert json.loads(context.watch.readline())["result"]["created"]


@when('"{value}" is put at "{key}" under a lease of {ttl_s:d} s')
def put_leased(context, value, key, ttl_s):
    lease = call_platform(context, "/v3/lease/grant", {"TTL": str(ttl_s)})
    put = {
        "key": encode_base64(key),
        "value": encode_base64(value),
        "lease": lease["ID"],
    }
    call_platform(context, "/v3/kv/put", put)


@then('the watch tells of a put of "{key}"')
def check_watch_put(context, key):
    [event] = json.loads(context.watch.readline())["result"]["events"]
    assert "type" not in event, event
    assert event["kv"]["key"] == encode_base64(key), event


@then('the watch tells of a deletion of "{key}"')
def check_watch_delete(context, key):
    [event] = json.loads(context.watch.readline())["result"]["events"]
    assert event["type"] == "DELETE", event
    assert event["kv"]["key"] == encode_base64(key), event


@then("the platform counts {count:d} waiting watch")
def check_watches(context, count):
    counts = harness.get(context.platform, "/counts").json()
    assert counts["watches"] == count, counts


@then("the watch ends")
def check_watch_ends(context):
    # A timeout is not the end of the watch: it still fails this step.
    ended = (ConnectionError, http.client.IncompleteRead)
    with contextlib.suppress(*ended):
        assert context.watch.readline() == b""
    context.watch_connection.close()


@when('the VM list is set to "{names}"')
def set_vms(context, names):
    vms = [{"name": name, "state": "live"} for name in names.split(",")]
    harness.send("PUT", context.platform, "/vms", body={"vms": vms})


def listed_vms(context):
    listing = harness.get(context.platform, "/vms").json()
    return ",".join(vm["name"] for vm in listing["vms"])


@then('the VM list shows "{names}"')
def check_vms_now(context, names):
    assert listed_vms(context) == names


@then('the VM list shows "{names}" within {limit_s:d} s')
def check_vms(context, names, limit_s):
    harness.wait_until(
        lambda: listed_vms(context) == names, limit_s=limit_s, what="the list"
    )


@given("an upstream with {slots:d} slots")
def start_upstream(context, slots):
    context.journal_path = context.processes.directory / "journal.jsonl"
    options = ["--slots", str(slots), "--journal", str(context.journal_path)]
    context.upstream = context.processes.start_upstream(*options)
    context.refusing = []
    context.pool = ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS)
    context.add_cleanup(context.pool.shutdown)


@when('the upstream\'s control "{name}" is {value}')
def set_control(context, name, value):
    harness.post(context.upstream, "/_control", {name: json.loads(value)})


def wait_until_busy(context):
    harness.wait_until(
        lambda: read_journal(context)["busy"], what="work to start"
    )


@when("{count:d} requests of {work_ms:d} ms are sent at once")
def send_at_once(context, count, work_ms):
    sent = []
    for number in range(count):
        path = f"/r{number}?work_ms={work_ms}"
        sent.append(context.pool.submit(harness.get, context.upstream, path))
    context.answers = [future.result() for future in sent]


@then('{ran:d} were answered 200 and {refused:d} was refused as "{word}"')
def check_split(context, ran, refused, word):
    statuses = sorted(response.status for response in context.answers)
    assert statuses == [200] * ran + [503] * refused, statuses
    for response in context.answers:
        expected = word if response.status == 503 else None
        assert response.headers["Almondstair-Refused"] == expected


@then("the upstream's journal has {runs:d} runs, {most:d} at most at once")
def check_journal(context, runs, most):
    found = read_journal(context)
    assert len(found["runs"]) == runs, found
    assert found["max_in_flight"] == most, found


@then("no refused request is in the journal")
def check_refused_absent(context):
    paths = [run["path"] for run in read_journal(context)["runs"]]
    for number, response in enumerate(context.answers):
        is_run = any(path.startswith(f"/r{number}?") for path in paths)
        assert is_run == (response.status == 200), paths


@when("a request of {work_ms:d} ms is running")
def start_request(context, work_ms):
    path = f"/running?work_ms={work_ms}"
    context.running = context.pool.submit(harness.get, context.upstream, path)
    wait_until_busy(context)


@then('a new request is refused as "{word}"')
def check_new_refused(context, word):
    response = harness.get(context.upstream, "/new")
    assert response.status == 503
    assert response.headers["Almondstair-Refused"] == word


@then("a new request is answered {status:d}")
def check_new(context, status):
    assert harness.get(context.upstream, "/new").status == status


@then("the running request is answered {status:d}")
def check_running(context, status):
    assert context.running.result().status == status


@when("a caller leaves after {wait_ms:d} ms of {work_ms:d} ms")
def disconnect_caller(context, wait_ms, work_ms):
    connection = harness.connect(context.upstream)
    connection.request("GET", f"/left?work_ms={work_ms}")
    wait_until_busy(context)
    time.sleep(wait_ms / 1000)
    connection.close()
    harness.wait_until(
        lambda: not read_journal(context)["busy"], limit_s=2, what="a free slot"
    )


@then('the journal\'s last run is "{outcome}" after at most {limit_s:d} s')
def check_last_run(context, outcome, limit_s):
    run = read_journal(context)["runs"][-1]
    assert run["outcome"] == outcome, run
    assert run["end"] - run["start"] <= limit_s, run


@when("a request of {work_ms:d} ms has a deadline of {deadline_ms:d} ms")
def send_with_deadline(context, work_ms, deadline_ms):
    headers = {"Deadline-Ms": str(deadline_ms)}
    start_s = time.monotonic()
    path = f"/?work_ms={work_ms}"
    context.answer = harness.get(context.upstream, path, headers=headers)
    context.took_s = time.monotonic() - start_s


@then("it is answered {status:d} within {limit_s:d} s")
def check_answer(context, status, limit_s):
    assert context.answer.status == status
    assert context.took_s <= limit_s, context.took_s


@when("a request marked as crashing is sent")
def send_crash(context):
    context.unanswered = False
    try:
        harness.get(context.upstream, "/", headers={"Crash": "1"})
    except (OSError, http.client.HTTPException):
        context.unanswered = True


@then("the upstream has ended")
def check_ended(context):
    assert context.processes.children["upstream"].wait(limit_s=5) != 0


@then("the journal file tells of {count:d} run")
def check_journal_file(context, count):
    lines = context.journal_path.read_text().splitlines()
    assert len(lines) == count, lines


@when("the next answer is cut after {size_bytes:d} bytes")
def set_truncation(context, size_bytes):
    control = {"cut": 1, "cut_after_bytes": size_bytes}
    harness.post(context.upstream, "/_control", control)


@then("an answer of {size_bytes:d} bytes breaks off at {cut_bytes:d}")
def check_truncated(context, size_bytes, cut_bytes):
    try:
        harness.get(context.upstream, f"/?answer_bytes={size_bytes}")
    except http.client.IncompleteRead as error:
        assert len(error.partial) == cut_bytes, len(error.partial)
        return
    raise AssertionError("the response was not truncated")


@then("an answer of {size_bytes:d} bytes is whole")
def check_complete(context, size_bytes):
    response = harness.get(context.upstream, f"/?answer_bytes={size_bytes}")
    assert response.body == b"".join(body_chunks(size_bytes))


@then("its load report says {busy:d} busy")
def check_load(context, busy):
    load = harness.get(context.upstream, "/_load").json()
    assert load["busy"] == busy, load
    in_band = context.running.result().headers["Upstream-Load"]
    assert f"busy={busy}" in in_band, in_band


@then(
    "{up:d} MiB up and {down:d} MiB down pass whole while it grows by at"
    " most {limit:d} MiB"
)
def check_large_bodies(context, up, down, limit):
    child = context.processes.children["upstream"]
    before_bytes = child.resident_bytes()
    connection = harness.connect(context.upstream, timeout_s=30)
    size_bytes = up * MEBIBYTE
    headers = {"Content-Length": str(size_bytes)}
    path = f"/?answer_bytes={down * MEBIBYTE}"
    chunks = body_chunks(size_bytes)
    connection.request("POST", path, body=chunks, headers=headers)
    response = connection.getresponse()
    assert response.headers["Body-Sha256"] == body_sha256(size_bytes)
    digest = hashlib.file_digest(response, "sha256")
    connection.close()
    assert digest.hexdigest() == body_sha256(down * MEBIBYTE)
    grown_bytes = child.resident_bytes(field="VmHWM") - before_bytes
    assert grown_bytes <= limit * MEBIBYTE, grown_bytes


@when("a caller sends {count:d} requests straight to it")
@when("a caller sends {count:d} request straight to it")
def run_caller(context, count):
    name = f"caller-{count}"
    child = context.processes.start_caller(
        "--count",
        str(count),
        "--rate",
        "100",
        "--no-look-up",
        entries=[*context.refusing, context.upstream],
        service="matching",
        classes=[
            {"name": "look", "path": "/orders"},
            {"name": "get", "path": "/statement", "answer_bytes": 100_000},
            {"name": "put", "method": "PUT", "path": "/b", "body_bytes": 9999},
        ],
        name=name,
    )
    assert child.wait() == 0, child.log_text()
    context.records = context.processes.caller_records(name)


@then("the caller recorded {count:d} whole answers to its own requests")
def check_records(context, count):
    assert len(context.records) == count
    for record in context.records:
        assert record["status"] == 200, record
        assert record["body_ok"], record


@then(
    "the caller recorded {count:d} answer of unknown outcome after"
    " {attempts:d} attempt"
)
def check_unknown(context, count, attempts):
    assert len(context.records) == count
    for record in context.records:
        assert record["ran"] == "unknown", record
        assert len(record["attempts"]) == attempts, record


@given("an entry that takes no connections comes first")
def add_refusing_entry(context):
    context.refusing = [harness.free_address()]


@then("each took {attempts:d} attempts")
def check_attempts(context, attempts):
    for record in context.records:
        assert len(record["attempts"]) == attempts, record


@when(
    "{count:d} requests of {work_s:g} s are sent and closed while the upstream "
    "stands still"
)
def send_and_close(context, count, work_s):
    ip, port = context.upstream.split(":")
    head = f"GET /?work_ms={work_s * 1000:g} HTTP/1.1\r\nHost: u\r\n\r\n"
    upstream = context.processes.children["upstream"]
    upstream.freeze()
    for _ in range(count):
        with socket.create_connection((ip, int(port))) as connection:
            connection.sendall(head.encode())
    upstream.thaw()


@then(
    "the upstream has begun {count:d} runs, and all are cancelled within "
    "{limit_s:g} s"
)
def all_cancelled(context, count, limit_s):
    def all_ended():
        runs = read_journal(context)["runs"]
        outcomes = [run["outcome"] for run in runs]
        return outcomes == ["cancelled"] * count

    harness.wait_until(all_ended, limit_s=limit_s, what="the runs to end")
