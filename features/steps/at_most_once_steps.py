"""Steps for at-most-once requests against real processes."""

import base64
import functools
import time

from behave import given
from behave import then
from behave import when

from almondstair.core import idempotency
from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import get
from features.support.harness import post
from features.support.harness import wait_until
from features.support.request_sender import RequestSender

STEP_LIMIT_S = 10.0
LATE_RUN_WAIT_S = 0.5
RETRY_INTERVAL_S = 0.1
# Interval between two attempts to occupy a slot.
SLOT_RETRY_INTERVAL_S = 0.3
COMMIT_MS = 4000


def _start_deployment(context, slots, regions=("bkk", "dmk")):
    shape = Shape(
        entries={"bkk": 1, "cnx": 1, "dmk": 1},
        upstreams=dict.fromkeys(regions, 1),
        slots=slots,
        commit_ms=COMMIT_MS,
    )
    context.deployment = Deployment(processes=context.processes, shape=shape)
    context.deployment.start()
    context.sender = RequestSender(deployment=context.deployment)
    context.by_key = {}
    for entry in context.deployment.entries:
        # The first claim of an entry also requests its lease. After it, the
        # platform's next write is the claim under test.
        key = f"first-{entry}"
        wait_until(
            functools.partial(_is_accepted, context, entry, key),
            limit_s=STEP_LIMIT_S,
            what=f"{entry} to accept work",
        )
        _wait_recorded(context, key)
    context.sender.all.clear()
    context.writes = _counts(context)["writes"]


def _is_accepted(context, entry, key):
    return context.sender.approve(entry=entry, key=key).wait().status == 200


def _counts(context):
    return get(context.deployment.platform, "/counts").json()


def _send(context, key, region, *, query="", deadline_ms=0, content=b"a"):
    sent = context.sender.approve(
        entry=f"{region}-e0",
        key=key,
        query=query,
        deadline_ms=deadline_ms,
        content=content,
    )
    context.by_key.setdefault(key, []).append(sent)
    context.last = sent
    return sent


def _record_of(context, key):
    """Returns the platform's record of a key, None when there is none."""
    store_key = idempotency.claim_store_key(service=SERVICE, key=key).encode()
    request = {"key": base64.b64encode(store_key).decode()}
    response = post(context.deployment.platform, "/v3/kv/range", request).json()
    for item in response.get("kvs", []):
        return idempotency.decode_record(base64.b64decode(item["value"]))
    return None


def _wait_recorded(context, key):
    def is_done():
        record = _record_of(context, key)
        return (
            record is not None and record.state is idempotency.RecordState.DONE
        )

    wait_until(is_done, limit_s=STEP_LIMIT_S, what=f"the outcome of {key}")


def _first_response(context):
    return context.sender.all[0].wait()


def _query_of_key(context, key):
    """Returns the query of the first request of a key, for its retries."""
    first = context.by_key[key][0]
    return first.path.partition("?")[2]


@given("a deployment for work that runs at most once")
def step_deployment(context):
    _start_deployment(context, slots=3)


@given("a deployment for work that runs at most once, with {slots:d} slots")
def step_deployment_slots(context, slots):
    _start_deployment(context, slots=slots)


@given("the platform takes {delay_ms:d} ms for a call and loses the next claim")
def step_slow_and_lost_claim(context, delay_ms):
    context.deployment.faults(
        delay_ms=delay_ms, lose_calls=1, lose_prefix=idempotency.KEY_PREFIX
    )


@given(
    "the platform takes {delay_ms:d} ms for a call and loses the next "
    "claim's answer"
)
def step_slow_and_lost_answer(context, delay_ms):
    context.deployment.faults(
        delay_ms=delay_ms, lose_answers=1, lose_prefix=idempotency.KEY_PREFIX
    )


@given("the platform loses the next claim's answer and goes out")
def step_lost_answer_and_out(context):
    context.deployment.faults(
        lose_answers=1, down_after_loss=True, lose_prefix=idempotency.KEY_PREFIX
    )


@when("the platform loses the next claim's answer")
def step_lose_answer(context):
    context.deployment.faults(
        lose_answers=1, lose_prefix=idempotency.KEY_PREFIX
    )


@when("the platform loses the next claim")
def step_lose_call(context):
    context.deployment.faults(lose_calls=1, lose_prefix=idempotency.KEY_PREFIX)


@when("the platform is out")
def step_out(context):
    context.deployment.faults(down=True)


@given("the platform takes {delay_ms:d} ms for a call")
@when("the platform takes {delay_ms:d} ms for a call")
def step_slow(context, delay_ms):
    context.deployment.faults(delay_ms=delay_ms)


@when("the platform is well again")
def step_recovered(context):
    context.deployment.faults(
        down=False,
        down_after_loss=False,
        delay_ms=0,
        lose_answers=0,
        lose_calls=0,
    )


@when('"{key}" is sent through {region:w}')
def step_send(context, key, region):
    if key in context.by_key:
        _send(context, key, region, query=_query_of_key(context, key)).wait()
        return
    _send(context, key, region)
    faults = get(context.deployment.platform, "/faults").json()
    if not faults["delay_ms"]:
        context.last.wait()


@when('"{key}" is sent through {region:w} and takes {work_ms:d} ms')
def step_send_long(context, key, region, work_ms):
    _send(context, key, region, query=f"work_ms={work_ms}")


@when('"{key}" is sent through {region:w} with {deadline_ms:d} ms left')
def step_send_deadline(context, key, region, deadline_ms):
    _send(context, key, region, deadline_ms=deadline_ms)


@when(
    '"{key}" is sent through {region:w} with {deadline_ms:d} ms left and '
    "takes {work_ms:d} ms"
)
def step_send_deadline_long(context, key, region, deadline_ms, work_ms):
    query = f"work_ms={work_ms}"
    _send(context, key, region, query=query, deadline_ms=deadline_ms)


@when('"{key}" is sent through {region:w} and answers {size_bytes:d} bytes')
def step_send_large(context, key, region, size_bytes):
    _send(context, key, region, query=f"answer_bytes={size_bytes}").wait()


@when('another request is sent under "{key}" through {region:w}')
def step_send_other(context, key, region):
    _send(context, key, region, content=b"another").wait()


@when("{count:d} keys are each sent through all entries at once")
def step_send_to_all(context, count):
    for number in range(count):
        all_sent = []
        for region in ("bkk", "cnx", "dmk"):
            all_sent.append(_send(context, f"key-{number}", region))
        for sent in all_sent:
            sent.wait()


@when("the claim has arrived at the platform")
def step_claim_arrived(context):
    wait_until(
        lambda: _counts(context)["writes"] > context.writes,
        limit_s=STEP_LIMIT_S,
        what="a claim",
    )


@when("the claim holds at the platform")
def step_claim_holds(context):
    def is_answer_lost():
        faults = get(context.deployment.platform, "/faults").json()
        return faults["lose_answers"] == 0

    wait_until(
        is_answer_lost, limit_s=STEP_LIMIT_S, what="a claim that is stored"
    )


@when('an upstream has "{key}"')
def step_upstream_has(context, key):
    runs = wait_until(
        lambda: context.sender.runs_of(key),
        limit_s=STEP_LIMIT_S,
        what=f"a run of {key}",
    )
    context.upstream = runs[0]["upstream"]


@when('the outcome of "{key}" has been recorded')
def step_recorded(context, key):
    _wait_recorded(context, key)


@when("{entry:S} is killed")
def step_kill(context, entry):
    context.processes.children[entry].kill()


@when("the home of that upstream is killed")
def step_kill_home(context):
    home = context.deployment.home_of(context.upstream, asked="cnx-e0")
    context.processes.children[home].kill()


@when("{entry:S} is frozen")
def step_freeze(context, entry):
    context.processes.children[entry].freeze()


@when("{entry:S} is thawed")
def step_thaw(context, entry):
    context.processes.children[entry].thaw()


@when("{delay_ms:d} ms pass")
def step_pass(context, delay_ms):
    del context
    time.sleep(delay_ms / 1000)


@when("its caller leaves")
def step_leave(context):
    context.last.disconnect()


@when("upstreams cut their next answer after {size_bytes:d} bytes")
def step_cut(context, size_bytes):
    for upstream in context.deployment.upstreams:
        context.deployment.control(upstream, cut=1, cut_after_bytes=size_bytes)


@when("every slot is taken for {work_ms:d} ms")
def step_fill(context, work_ms):
    """Fills all slots, each for at least half of the remaining time.

    An entry that was just refused may need a few attempts to use a slot.
    """
    deployment = context.deployment
    last_attempt_s = {}

    def count_long_runs(upstream):
        earliest_start_s = time.monotonic() - work_ms / 1000 / 2
        running = 0
        for run in deployment.journal(upstream)["runs"]:
            if run["outcome"] == "running" and run["start"] > earliest_start_s:
                running += 1
        return running

    def are_busy():
        all_busy = True
        for upstream in deployment.upstreams:
            missing = deployment.shape.slots - count_long_runs(upstream)
            all_busy = all_busy and missing == 0
            now_s = time.monotonic()
            if (
                not missing
                or now_s
                < last_attempt_s.get(upstream, 0) + SLOT_RETRY_INTERVAL_S
            ):
                continue
            last_attempt_s[upstream] = now_s
            region = upstream.partition("-")[0]
            for _ in range(missing):
                context.sender.look_up(
                    entry=f"{region}-e0", query=f"work_ms={work_ms}"
                )
        return all_busy

    wait_until(are_busy, limit_s=STEP_LIMIT_S, what="busy slots")


@then("the answer is from an upstream")
def step_from_upstream(context):
    first = _first_response(context)
    assert first.ran == "yes" and first.status == 200, first.summary


@then("the last answer is from an upstream")
def step_last_from_upstream(context):
    last = context.last.wait()
    assert last.ran == "yes" and last.status == 200, last.summary


@then("the last answer is the same as the first")
def step_same(context):
    last = context.last.wait()
    first = _first_response(context)
    assert last.status == first.status == 200, last.summary
    assert last.body == first.body, (last.summary, first.summary)
    for name in ("Content-Type", "Content-Length"):
        assert last.headers[name] == first.headers[name], name


@then("the answer is {kind:w} with ran {ran:w}")
def step_answer(context, kind, ran):
    first = _first_response(context)
    assert (first.kind, first.ran) == (kind, ran), first.summary


@then("the last answer is {kind:w} with ran {ran:w}")
def step_last_answer(context, kind, ran):
    last = context.last.wait()
    assert (last.kind, last.ran) == (kind, ran), last.summary


@then("each answer is {kind:w} with ran {ran:w} within {limit_ms:d} ms")
def step_each(context, kind, ran, limit_ms):
    for sent in context.sender.all:
        sent.wait()
        assert (sent.kind, sent.ran) == (kind, ran), sent.summary
        assert sent.latency_s < limit_ms / 1000, sent.latency_s


@then("each answer says when to come back")
def step_retry_after(context):
    for sent in context.sender.all:
        sent.wait()
        assert int(sent.headers["Retry-After"]) > 0, sent.summary


@then("the answer may have run")
def step_may_have_run(context):
    first = _first_response(context)
    assert first.ran in ("unknown", "yes"), first.summary


@then("the last answer was not run")
def step_was_not_run(context):
    last = context.last.wait()
    assert last.ran == "no", last.summary


@then("the last answer is cut")
def step_is_cut(context):
    last = context.last.wait()
    assert (last.status, last.ran) == (0, "unknown"), last.summary


def _retry_until(context, key, region, is_wanted):
    """Retries a key while it is in flight or refused, for a bounded time."""
    end_s = time.monotonic() + STEP_LIMIT_S
    query = _query_of_key(context, key)
    while True:
        sent = _send(context, key, region, query=query).wait()
        if is_wanted(sent):
            return
        assert sent.status in (409, 503), sent.summary
        assert time.monotonic() < end_s, sent.summary
        time.sleep(RETRY_INTERVAL_S)


@then('repeats of "{key}" through {region:w} come to outcome_unknown')
def step_repeats_unknown(context, key, region):
    _retry_until(
        context, key, region, lambda sent: sent.kind == "outcome_unknown"
    )


@then('repeats of "{key}" through {region:w} come to the recorded answer')
def step_repeats_recorded(context, key, region):
    _retry_until(context, key, region, lambda sent: sent.status == 200)


@then('repeats of "{key}" through {region:w} are never run')
def step_repeats_not_run(context, key, region):
    count = len(context.sender.runs_of(key))
    _retry_until(
        context,
        key,
        region,
        lambda sent: sent.status == 200 or sent.kind == "outcome_unknown",
    )
    assert len(context.sender.runs_of(key)) == count == 1, key


@then('"{key}" ran once')
def step_ran_once(context, key):
    assert len(context.sender.runs_of(key)) == 1, context.sender.runs_of(key)


@then('"{key}" never ran')
def step_never_ran(context, key):
    time.sleep(LATE_RUN_WAIT_S)
    assert not context.sender.runs_of(key), context.sender.runs_of(key)


@then("each key ran once")
def step_each_once(context):
    for key in context.by_key:
        assert len(context.sender.runs_of(key)) == 1, key


@then("what ran agrees with every answer")
def step_agrees(context):
    for sent in context.sender.all:
        sent.wait()
    assert not context.sender.find_violations(), (
        context.sender.find_violations()
    )
    # A request that was still queued would have run by now.
    time.sleep(LATE_RUN_WAIT_S)
    assert not context.sender.find_violations(), (
        context.sender.find_violations()
    )
