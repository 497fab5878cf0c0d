"""Steps for the platform adapter against a platform process."""

import asyncio
import json
from unittest import mock

from behave import given
from behave import then
from behave import when
from tornado import web

from almondstair.key_value import base
from almondstair.key_value import etcd
from almondstair.key_value import json_client
from features.support import harness

KEY = "a/key"
LONG_DELAY_MS = 600
FAULTS = {
    "an answer lost": {"lose_answers": 1},
    "a call lost": {"lose_calls": 1},
    "a long delay": {"delay_ms": LONG_DELAY_MS},
    "an outage": {"down": True},
}
NO_FAULTS = {"lose_answers": 0, "lose_calls": 0, "delay_ms": 0, "down": False}
NO_SUCH_LEASE = 4711
WATCH_LIMIT_S = 3.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def set_faults(context, faults):
    harness.post(context.address, "/faults", faults)


async def failure_of(awaitable):
    try:
        await awaitable
    except base.PlatformError as error:
        return error.failure
    return None


@given("a platform and an adapter with a limit of {limit_ms:d} ms")
def platform(context, limit_ms):
    context.address = context.processes.start_platform()
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(close, context)
    context.limit_s = limit_ms / 1000
    context.service = run(context, adapter(context, context.address))


async def adapter(context, address):
    return etcd.EtcdService(url=f"http://{address}", timeout_s=context.limit_s)


def close(context):
    context.service.close()
    tasks = asyncio.all_tasks(context.loop)
    for task in tasks:
        task.cancel()
    run(context, asyncio.wait(tasks) if tasks else asyncio.sleep(0))
    context.loop.close()


@when("a key is created twice")
def create_twice(context):
    service = context.service
    context.first = run(context, service.create(key=KEY, value=b"1"))
    context.second = run(context, service.create(key=KEY, value=b"2"))


@then("the first succeeded, and the second tells what the first wrote")
def created_once(context):
    assert context.first.succeeded, context.first
    assert not context.second.succeeded, context.second
    current = context.second.current
    assert current.value == b"1", current
    assert current.mod_revision == context.first.revision, current
    assert run(context, context.service.get(key=KEY)) == current


@then("a write on the first's revision succeeds, a second on it does not")
def swap(context):
    results = []
    for value in (b"3", b"4"):
        swapped = context.service.compare_and_swap(
            key=KEY, value=value, mod_revision=context.first.revision
        )
        results.append(run(context, swapped))
    assert [one.succeeded for one in results] == [True, False], results
    assert results[1].current.value == b"3", results
    context.last = results[0]


@then("deleting on an old revision does nothing, on the last it deletes")
def delete(context):
    service = context.service
    for revision in (context.first.revision, context.last.revision):
        assert run(context, service.get(key=KEY)) is not None
        run(context, service.delete_if(key=KEY, mod_revision=revision))
    assert run(context, service.get(key=KEY)) is None


@when("a batch writes a present key and an absent one")
def batch(context):
    service = context.service
    run(context, service.create(key="a/1", value=b"old"))
    lease_id = run(context, service.grant_lease(ttl_s=60))
    writes = (
        base.ConditionalWrite("a/1", b"new"),
        base.ConditionalWrite("a/2", b"new", lease_id=lease_id),
    )
    context.results = run(context, service.write_many(writes=writes))
    context.lease_id = lease_id


@then("the absent one is written and the present one is told")
def batch_results(context):
    present, absent = context.results
    assert not present.succeeded, present
    assert present.current.value == b"old", present
    assert absent.succeeded, absent
    listing = run(context, context.service.list_prefix(prefix="a/"))
    values = [(one.key, one.value) for one in listing.records]
    assert values == [("a/1", b"old"), ("a/2", b"new")], values
    assert listing.records[1].lease_id == context.lease_id, listing
    assert listing.records[1].mod_revision == absent.revision, listing


@when('the fault "{fault}" meets a {call}')
def fault_meets_call(context, fault, call):
    if fault in FAULTS:
        set_faults(context, FAULTS[fault])
    service = context.service
    lease_id = NO_SUCH_LEASE if fault == "a lease gone" else 0
    if fault == "an end":
        gone = harness.free_address()
        service = run(context, adapter(context, gone))
    awaitable = service.get(key=KEY)
    if call == "write":
        awaitable = service.create(key=KEY, value=b"1", lease_id=lease_id)
    context.failure = run(context, failure_of(awaitable))


@then("the call failed as {failure}")
def failed_as(context, failure):
    assert context.failure == failure, context.failure


@then("the key was {effect}")
def effect_was(context, effect):
    run(context, asyncio.sleep(LONG_DELAY_MS / 1000))
    set_faults(context, NO_FAULTS)
    record = run(context, context.service.get(key=KEY))
    assert (record is not None) == (effect == "written"), record


@when("{count:d} writes hang and one more waits")
def writes_hang(context, count):
    assert count == json_client.MAX_CALLS, count
    set_faults(context, {"delay_ms": LONG_DELAY_MS})

    async def fill():
        calls = []
        for number in range(count + 1):
            created = context.service.create(key=f"a/{number}", value=b"")
            calls.append(asyncio.ensure_future(failure_of(created)))
        return await asyncio.gather(*calls)

    # Calls start slightly apart on a busy host; the extra call must stop
    # waiting before the first of them releases its slot.
    with mock.patch.object(json_client, "MIN_CALL_S", context.limit_s / 2):
        context.failures = run(context, fill())


@then("the one more failed as {failure}")
def one_more_failed(context, failure):
    *hung, last = context.failures
    assert last == failure, context.failures
    assert set(hung) == {base.PlatformFailure.UNKNOWN}, hung


async def start_watch(context, service, prefix, from_revision):
    return service.watch(
        prefix=prefix,
        from_revision=from_revision,
        callback=context.notices.append,
    )


@when('a watch runs over "{prefix}"')
def watch(context, prefix):
    context.notices = []
    context.watch = run(
        context, start_watch(context, context.service, prefix, 1)
    )


@when("the watch is cancelled")
def cancel_watch(context):
    context.watch.cancel()


@then("the platform counts {count:d} watch")
@then("the platform counts {count:d} watches")
def watches(context, count):
    async def counted():
        async with asyncio.timeout(WATCH_LIMIT_S):
            while True:
                counts = await asyncio.to_thread(
                    harness.get, context.address, "/counts"
                )
                if counts.json()["watches"] == count:
                    return
                await asyncio.sleep(harness.POLL_INTERVAL_S)

    run(context, counted())


@when('"{key}" is written')
def write_key(context, key):
    run(context, context.service.create(key=key, value=b"1"))


@when(
    'the platform is out for {out_ms:d} ms, and "{key}" was written meanwhile'
)
def outage(context, out_ms, key):
    run(context, asyncio.sleep(0.2))
    # The outage closes the watch; the write is applied but its answer is lost.
    set_faults(context, {"delay_ms": 200})
    writing = context.loop.create_task(
        failure_of(context.service.create(key=key, value=b"1"))
    )
    run(context, asyncio.sleep(0.1))
    set_faults(context, {"down": True})
    run(context, asyncio.sleep(out_ms / 1000))
    set_faults(context, NO_FAULTS)
    if run(context, writing) is not None:
        run(context, context.service.create(key=key, value=b"1"))


@when('"{key}" is deleted')
def delete_key(context, key):
    record = run(context, context.service.get(key=key))
    deleted = context.service.delete_if(
        key=key, mod_revision=record.mod_revision
    )
    assert run(context, deleted).succeeded


def events_of(context):
    events = []
    for notice in context.notices:
        events.extend(notice.events)
    return events


async def events_seen(context, count):
    async with asyncio.timeout(10):
        while len(events_of(context)) < count:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    return events_of(context)


@then("the watch saw a/1, a/2 and the deletion of a/1, each once")
def watch_saw(context):
    events = run(context, events_seen(context, 3))
    seen = [(one.key, one.record is not None) for one in events]
    assert seen == [("a/1", True), ("a/2", True), ("a/1", False)], seen


class CompactedWatchHandler(web.RequestHandler):
    """Serves a watch with compacted first revisions; the rest come in parts."""

    def initialize(self, asked):
        self.asked = asked

    async def post(self):
        create = json.loads(self.request.body)["create_request"]
        self.asked.append(create["start_revision"])
        result = {"header": {"revision": "50"}}
        if create["start_revision"] == "1":
            result |= {"canceled": True, "compact_revision": "40"}
        else:
            key_value = {"key": "YS8x", "mod_revision": "51"}
            result["events"] = [{"kv": key_value}]
        line = json.dumps({"result": result}).encode() + b"\n"
        for part in (line[:30], line[30:]):
            self.write(part)
            await self.flush()
            await asyncio.sleep(0.05)


@when("a watch meets a service that dropped what it asks for")
def compacted(context):
    context.notices = []
    context.asked = []
    address = harness.free_address()
    routes = [(r"/v3/watch", CompactedWatchHandler, {"asked": context.asked})]

    async def start():
        ip, port = address.split(":")
        context.server = web.Application(routes).listen(int(port), ip)
        service = await adapter(context, address)
        return await start_watch(context, service, "a/", 1)

    context.watch = run(context, start())


@then("the watch tells a gap and goes on")
def gap(context):
    run(context, events_seen(context, 1))
    context.watch.cancel()
    context.server.stop()
    assert context.notices[0].gap, context.notices
    assert events_of(context)[0].key == "a/1", context.notices
    assert context.asked[:3] == ["1", "50", "52"], context.asked


@when("the VM list has a live VM and a leaving one")
def vm_list(context):
    vms = []
    for name, state in (("vm-1", "live"), ("vm-2", "leaving")):
        vm = {"name": name, "address": "127.0.0.1", "availability_zone": "z"}
        vms.append({**vm, "state": state})
    harness.send("PUT", context.address, "/vms", body={"vms": vms})


@then("the adapter lists both with the age of the list")
def listed(context):
    async def list_vms():
        url = f"http://{context.address}/vms"
        return await etcd.HttpVmList(url=url, timeout_s=1.0).list_vms()

    listing = run(context, list_vms())
    states = [(vm.name, vm.state) for vm in listing.vms]
    assert states == [("vm-1", "live"), ("vm-2", "leaving")], states
    assert listing.age_s == 0, listing
