"""Steps of ledger.feature: claims of three entries in one store."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair import claims as claims_module
from almondstair import outcome_writer
from almondstair.core import idempotency
from almondstair.errors import AlmondstairError
from almondstair.key_value import base
from features.support.memory_service import Fault
from features.support.memory_service import MemoryService

KEY = "approval-17"
SERVICE = "approvals"
LONG_DEADLINE_S = 5.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def fingerprint(body: bytes = b"body") -> bytes:
    return idempotency.request_fingerprint(
        method="POST", path="/approve", body_digest=body
    )


async def outcome_of(awaitable):
    try:
        return await awaitable
    except AlmondstairError as error:
        return error


def claim(context, entry, key=KEY, body=b"body", remaining_s=LONG_DEADLINE_S):
    return outcome_of(
        context.claims[entry].claim(
            service=SERVICE,
            key=key,
            fingerprint=fingerprint(body),
            deadline_s=time.monotonic() + remaining_s,
        )
    )


def claim_key(
    context, entry, key=KEY, body=b"body", remaining_s=LONG_DEADLINE_S
):
    start_s = time.monotonic()
    outcome = run(context, claim(context, entry, key, body, remaining_s))
    context.took_s = time.monotonic() - start_s
    context.outcomes[entry] = outcome
    if isinstance(outcome, idempotency.Claim):
        context.held[entry] = outcome


@given("entries A, B and C over one service in memory")
def entries(context):
    context.loop = asyncio.new_event_loop()
    context.service = MemoryService()
    context.live = {"A", "B", "C"}
    context.outcomes = {}
    context.held = {}
    context.claims = {}
    for name in "ABC":
        context.claims[name] = claims_module.Claims(
            service=context.service,
            entry_name=name,
            incarnation=f"process of {name}",
            is_live=lambda entry, _: entry in context.live,
            retention_s=86400,
            claim_timeout_s=0.3,
        )
    context.add_cleanup(close, context)


def close(context):
    for claims in context.claims.values():
        claims.close()
    tasks = asyncio.all_tasks(context.loop)
    for task in tasks:
        task.cancel()
    run(context, asyncio.wait(tasks) if tasks else asyncio.sleep(0))
    context.loop.close()


@given("the service's next write is {fault}")
def next_write(context, fault):
    context.service.faults.append(Fault(fault))


@given("the service's writes from the third on are {fault} for 1 call")
def third_write(context, fault):
    context.service.faults += [None, None, Fault(fault)]


@given("the service goes down after the next write")
def down_after_write(context):
    write_many = context.service.write_many

    async def write_and_go_down(*, writes):
        try:
            return await write_many(writes=writes)
        finally:
            context.service.down = True
            context.service.write_many = write_many

    context.service.write_many = write_and_go_down


@given("the service is down")
@when("the service goes down")
def service_down(context):
    context.service.down = True


@when("the service comes back")
def service_back(context):
    context.service.down = False


@given("the service takes {delay_s:g} s")
def service_slow(context, delay_s):
    context.service.delay_s = delay_s


@given("room for {size_bytes:d} bytes of outcomes")
def pending_limit(context, size_bytes):
    patch = mock.patch.object(
        outcome_writer, "MAX_PENDING_BODY_BYTES", size_bytes
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when("entry {entry:w} claims the key")
def claims_key(context, entry):
    claim_key(context, entry)


@when("entry {entry:w} claims the key with {left_ms:d} ms left")
def claims_key_with_left(context, entry, left_ms):
    claim_key(context, entry, remaining_s=left_ms / 1000)


@when('entry {entry:w} claims the key "{key}"')
def claims_other_key(context, entry, key):
    claim_key(context, entry, key=key)


@when("entry {entry:w} claims the key for another body")
def claims_other_body(context, entry):
    claim_key(context, entry, body=b"another body")


@when("entries A, B and C claim the key at once")
def claim_at_once(context):
    async def all_at_once():
        return await asyncio.gather(*(claim(context, name) for name in "ABC"))

    context.simultaneous_outcomes = run(context, all_at_once())


@when("entry {entry:w} claims {count:d} keys at once")
def claims_many(context, entry, count):
    async def all_at_once():
        keys = (f"key {number}" for number in range(count))
        return await asyncio.gather(*(claim(context, entry, k) for k in keys))

    context.simultaneous_outcomes = run(context, all_at_once())


@when("entry {entry:w} answers all {count:d} claims with {size_bytes:d} bytes")
def answers_many(context, entry, count, size_bytes):
    response = idempotency.recorded_response(
        status=200, headers=[], body=b"x" * size_bytes
    )
    for key_claim in context.simultaneous_outcomes[:count]:
        run(context, context.claims[entry].record_response(key_claim, response))


@when('the record is moved to the place of the key "{key}"')
def move_record(context, key):
    (record,) = context.service.records.values()
    store_key = idempotency.claim_store_key(service=SERVICE, key=key)
    context.service.records = {store_key: record}


@when("entry {entry:w} does no more")
def no_more(context, entry):
    del context, entry


@when("entry {entry:w} dispatches")
def dispatches(context, entry):
    try:
        context.held[entry].dispatch(now_s=time.monotonic())
    except AlmondstairError as error:
        context.outcomes[entry] = error


@when('entry {entry:w} records the answer {status:d} "{body}"')
def records(context, entry, status, body):
    response = idempotency.recorded_response(
        status=status,
        headers=[("Content-Type", "text/plain"), ("Server", "x")],
        body=body.encode(),
    )
    run(
        context,
        context.claims[entry].record_response(context.held[entry], response),
    )


@when("entry {entry:w} records an answer of {size_bytes:d} bytes")
def records_large(context, entry, size_bytes):
    response = idempotency.recorded_response(
        status=200, headers=[], body=bytes(size_bytes)
    )
    run(
        context,
        context.claims[entry].record_response(context.held[entry], response),
    )


@when("entry {entry:w} loses the answer")
def loses(context, entry):
    run(
        context,
        context.claims[entry].record_unknown_outcome(context.held[entry]),
    )


@when("entry {entry:w} releases")
def releases(context, entry):
    start_s = time.monotonic()
    run(context, context.claims[entry].release(context.held[entry]))
    context.took_s = time.monotonic() - start_s


@when("entry {entry:w} dies")
def dies(context, entry):
    context.claims[entry].close()
    context.live.remove(entry)


@when("{wait_ms:d} ms pass")
def passes(context, wait_ms):
    run(context, asyncio.sleep(wait_ms / 1000))


@when("the outcomes reach the service")
def outcomes_reach(context):
    for claims in context.claims.values():
        assert run(context, claims.drain(timeout_s=5)), claims.counters
        assert claims.counters.pending == 0, claims.counters


@when("the late write arrives")
def late_arrives(context):
    (writes,) = context.service.late
    context.service.apply(writes)


@then("entry {entry:w} holds the claim")
def holds(context, entry):
    outcome = context.outcomes[entry]
    assert isinstance(outcome, idempotency.Claim), outcome
    assert outcome.phase is idempotency.ClaimPhase.HELD, outcome.phase


@then("entry {entry:w} is refused with {kind:w} and ran {ran:w}")
def refused(context, entry, kind, ran):
    outcome = context.outcomes[entry]
    assert isinstance(outcome, AlmondstairError), outcome
    assert not isinstance(outcome, base.PlatformError), outcome
    assert (outcome.kind, outcome.ran) == (kind, ran), outcome


@then('entry {entry:w} gets the answer {status:d} "{body}"')
def gets_answer(context, entry, status, body):
    expected = idempotency.RecordedResponse(
        status, (("Content-Type", "text/plain"),), body.encode()
    )
    assert context.outcomes[entry] == expected, context.outcomes[entry]


@then("the release took less than {limit_s:g} s")
@then("the refusal took less than {limit_s:g} s")
def took_less(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@then("just one of them holds the claim")
def one_holds(context):
    held = [
        outcome
        for outcome in context.simultaneous_outcomes
        if isinstance(outcome, idempotency.Claim)
    ]
    assert len(held) == 1, context.simultaneous_outcomes


@then("the others are refused with {kind:w}")
def others_refused(context, kind):
    for outcome in context.simultaneous_outcomes:
        if isinstance(outcome, idempotency.Claim):
            continue
        assert outcome.kind == kind, outcome


@then("all {count:d} claims are held")
def all_held(context, count):
    held = [
        outcome
        for outcome in context.simultaneous_outcomes
        if isinstance(outcome, idempotency.Claim)
    ]
    assert len(held) == count, context.simultaneous_outcomes


@then("the service was written to {count:d} times")
def written(context, count):
    assert context.service.writes == count, context.service.writes


@then("the service was written to at most {count:d} times")
def written_at_most(context, count):
    assert context.service.writes <= count, context.service.writes


@then("the service granted {count:d} leases")
def leases(context, count):
    assert context.service.leases == count, context.service.leases


@then("repeats at entry B get {answers:d} answers and {ran:d} times ran yes")
def retried_keys(context, answers, ran):
    context.claims["B"].close()
    outcomes = []
    for number in range(answers + ran):
        outcomes.append(run(context, claim(context, "B", f"key {number}")))
    responses = [
        outcome
        for outcome in outcomes
        if isinstance(outcome, idempotency.RecordedResponse)
    ]
    errors = [
        outcome for outcome in outcomes if isinstance(outcome, AlmondstairError)
    ]
    assert len(responses) == answers, outcomes
    assert [outcome.ran for outcome in errors] == ["yes"] * ran, errors
