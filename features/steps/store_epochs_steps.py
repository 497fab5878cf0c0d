"""Steps for entries that follow a store restored from a copy."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import step
from behave import then
from behave import when

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.revisions import Revision
from almondstair.gateway import store_sync
from almondstair.gateway.sources import PeerSource
from almondstair.platform import documents
from features.support.epoch_rig import EpochRig

_LONG_PAUSE_S = 30.0
_OTHER_KEYS = "aaa/"


def _entry(context, name):
    return context.rig.entries[name]


def _upstream(context, name, upstream_id):
    for upstream in _entry(context, name).fleet.upstreams():
        if upstream.record.upstream_id == upstream_id:
            return upstream
    return None


@given(
    'a store with upstream "{upstream}" and configuration {version:d}, '
    'followed by entry "{name}"'
)
def step_store(context, upstream, version, name):
    context.rig = EpochRig()
    context.add_cleanup(context.rig.close)
    recorder = mock.patch.object(log, "event", wraps=log.event)
    context.events = recorder.start()
    context.add_cleanup(recorder.stop)
    context.rig.write_upstream(upstream)
    context.rig.configure(version)
    context.rig.add_entry(name)
    assert context.rig.poll(name)


@step("a copy of it")
def step_copy(context):
    context.rig.store.take_copy()


@step('{count:d} later writes that entry "{name}" has read')
def step_later(context, count, name):
    for _ in range(count):
        context.rig.write_upstream("i-1")
    assert context.rig.poll(name)
    context.known = _entry(context, name).sync.revision


@step('upstream "{name}" registers')
def step_registers(context, name):
    context.rig.write_upstream(name)
    context.rig.poll("e1")


@step('upstream "{name}" is removed')
def step_removed(context, name):
    context.rig.remove_upstream(name)


@step('upstream "{name}" writes that it is cold')
def step_writes_cold(context, name):
    context.rig.write_upstream(name, coldLeftS=3.0)


@step('"{name}" polls')
def step_polls(context, name):
    context.rig.poll(name)


@step("the store is restored")
def step_restored(context):
    context.rig.restore()


@when("the store is restored without a new epoch")
def step_restored_silently(context):
    context.rig.restore()
    context.rig.store.epoch -= 1


@when("the store is restored and configuration {version:d} is written")
def step_restored_and_written(context, version):
    context.rig.restore()
    context.rig.configure(version)


@when('it passes the revision that "{name}" knew')
def step_passes(context, name):
    assert _entry(context, name).sync.revision == context.known
    context.rig.pass_revision(context.known.number)


@then('"{name}" uses configuration {version:d}')
def step_uses_configuration(context, name, version):
    table = _entry(context, name).fleet.table
    assert table.version == version, table.version


@then('"{name}" uses upstreams "{names}"')
def step_uses_upstreams(context, name, names):
    found = _entry(context, name).upstream_ids()
    assert found == set(names.split()), found


@then('"{name}" logs one new epoch')
def step_logs(context, name):
    del name
    found = []
    for call in context.events.call_args_list:
        if call.args[0] is log.Event.STORE_EPOCH_CHANGED:
            found.append(call.kwargs)
    # Entries of the rig share one log.
    assert len(found) in (1, len(context.rig.entries)), found
    for fields in found:
        before = Revision(fields["epoch_before"], fields["revision_before"])
        assert before == context.known, (fields, context.known)
        assert fields["epoch"] == context.rig.store.epoch, fields


@then('upstream "{upstream}" is cold for "{name}"')
def step_is_cold(context, upstream, name):
    assert _upstream(context, name, upstream).is_cold(now_s=now_s())


@then('upstream "{upstream}" is not cold for "{name}"')
def step_is_not_cold(context, upstream, name):
    assert not _upstream(context, name, upstream).is_cold(now_s=now_s())


@given('upstream "{upstream}" is warm for "{name}"')
def step_made_warm(context, upstream, name):
    _upstream(context, name, upstream).cold_until_s = now_s()


# Peers.


@given('entry "{name}" without the store, which follows "{peer}"')
def step_follower(context, name, peer):
    rig = context.rig
    entry = rig.add_entry(name)
    entry.cut_off()
    entry.sync._seeds = [PeerSource(address=rig.entries[peer].peers)]
    rig.poll(name)
    assert entry.fleet.ready


@when('"{name}" is asked to follow "{peer}" alone')
def step_follow_alone(context, name, peer):
    source = PeerSource(address=_entry(context, peer).peers)
    entry = _entry(context, name)
    with mock.patch.object(entry.sync, "_sources", lambda: [source]):
        context.polled = context.rig.poll(name)


@then('"{name}" gets nothing')
def step_gets_nothing(context, name):
    del name
    assert not context.polled


# Grace periods.


@when("{pause_s:g} s later the store is restored")
def step_restored_later(context, pause_s):
    time.sleep(pause_s)
    context.rig.restore()


def _expire_at(context, name, later_s):
    """Ends the grace periods that are over some seconds after the poll."""
    sync = _entry(context, name).sync
    at_s = now_s() + later_s

    async def expire():
        with (
            mock.patch.object(store_sync, "EXPIRY_INTERVAL_S", 0.0),
            mock.patch.object(store_sync, "now_s", lambda: at_s),
        ):
            task = asyncio.ensure_future(sync.expire())
            await asyncio.sleep(0.01)
            task.cancel()

    context.rig.run(expire())


@then('"{upstream}" is used by "{name}" {later_s:g} s later')
def step_used_later(context, upstream, name, later_s):
    _expire_at(context, name, later_s)
    assert upstream in _entry(context, name).upstream_ids()


@then("it is not used {later_s:g} s later")
def step_not_used_later(context, later_s):
    _expire_at(context, "e1", later_s)
    assert _entry(context, "e1").upstream_ids() == {"i-1"}


@then('{later_s:g} s later "{name}" uses upstreams "{names}"')
def step_uses_later(context, later_s, name, names):
    _expire_at(context, name, later_s)
    found = _entry(context, name).upstream_ids()
    assert found == set(names.split()), found


@given('zone "{zone}" is evacuated')
def step_evacuated(context, zone):
    key = documents.EVACUATION_PREFIX + zone
    context.rig.run(context.rig.store.put_text(key, "{}"))


@then('"{name}" knows "{other}" and the evacuation of "{zone}"')
def step_knows(context, name, other, zone):
    fleet = _entry(context, name).fleet
    assert other in fleet.entries
    assert zone in fleet.evacuated
    assert fleet.lapsed_count() == 3, fleet.lapsed_count()


@then('"{name}" knows neither "{other}" nor the evacuation of "{zone}"')
def step_knows_neither(context, name, other, zone):
    fleet = _entry(context, name).fleet
    assert other not in fleet.entries
    assert zone not in fleet.evacuated
    assert fleet.lapsed_count() == 0, fleet.lapsed_count()


@given('the store does not answer for a poll of "{name}"')
def step_no_answer(context, name):
    context.rig.store.faults.mode = "reset"
    assert not context.rig.poll(name)
    context.rig.store.faults.mode = "up"


@then(
    'after upstream "{upstream}" has written anew "{name}" uses upstreams '
    '"{names}"'
)
def step_written_anew(context, upstream, name, names):
    context.rig.write_upstream(upstream)
    context.rig.poll(name)
    found = _entry(context, name).upstream_ids()
    assert found == set(names.split()), found


# Listings.


@given("{count:d} keys of others before the upstreams")
def step_other_keys(context, count):
    for number in range(count):
        key = f"{_OTHER_KEYS}{number:04}"
        context.rig.run(context.rig.store.put_text(key, "{}"))


@when(
    'the store is restored after the first page of a listing by entry "{name}"'
)
def step_within(context, name):
    entry = context.rig.add_entry(name)
    entry.sync.revision = Revision(1, 1)
    context.rig.store.state.drop_history()
    list_page = entry.client.list_page
    pages = []

    async def restore_after_first(**query):
        page = await list_page(**query)
        pages.append(page)
        if len(pages) == 1:
            await context.rig.store.restore()
        return page

    with mock.patch.object(entry.client, "list_page", restore_after_first):
        assert context.rig.poll(name)
    assert len(pages) >= 4, len(pages)


@then('"{name}" has read epoch {epoch:d}')
def step_has_read(context, name, epoch):
    assert _entry(context, name).sync.revision.epoch == epoch


@given('"{name}" polls by itself, with long pauses')
def step_polls_by_itself(context, name):
    pauses = mock.patch.object(store_sync, "POLL_INTERVAL_S", _LONG_PAUSE_S)
    pauses.start()
    context.add_cleanup(pauses.stop)
    entry = _entry(context, name)
    context.rig.loop.call_soon(
        lambda: context.tasks.append(asyncio.ensure_future(entry.sync.run()))
    )
    context.tasks = []
    context.add_cleanup(lambda: [task.cancel() for task in context.tasks])
    context.rig.run(asyncio.sleep(0.3))


@when('"{name}" renews its registration')
def step_renews(context, name):
    context.rig.run(_entry(context, name).register())


@then('"{name}" uses configuration {version:d} within {limit_s:g} s')
def step_uses_within(context, name, version, limit_s):
    fleet = _entry(context, name).fleet

    async def wait():
        async with asyncio.timeout(limit_s):
            while fleet.table.version != version:
                await asyncio.sleep(0.01)

    context.rig.run(wait())


@given("{count:d} more entries of the zone, which are registered")
def step_more_entries(context, count):
    rig = context.rig
    for number in range(count):
        rig.add_entry(f"more-{number:02}")
    for entry in rig.entries.values():
        rig.run(entry.register())
    for entry in rig.entries.values():
        rig.run(entry.poll())
    for entry in rig.entries.values():
        rig.run(entry.poll())


def _by_source(context):
    """Returns the entries, those that read the store themselves first."""
    entries = list(context.rig.entries.values())
    return sorted(
        entries,
        key=lambda entry: entry.sync._sources()[0] is not entry.sync._store,
    )


@when("all entries renew their registrations and poll twice, the readers first")
def step_all(context):
    rig = context.rig
    before = rig.store.calls.get("list", 0)
    for entry in rig.entries.values():
        rig.run(entry.register())
    for _ in range(2):
        for entry in _by_source(context):
            rig.run(entry.poll())
    context.listed = rig.store.calls.get("list", 0) - before


@then("all entries use configuration {version:d}")
def step_all_use(context, version):
    for entry in context.rig.entries.values():
        assert entry.fleet.table.version == version, entry.name


@then("the store was listed by at most {count:d} entries")
def step_few_listings(context, count):
    assert context.listed <= count, context.listed


# Registrations of entries.


@given('entry "{name}" that follows the store')
def step_other_entry(context, name):
    context.rig.add_entry(name)
    assert context.rig.poll(name)


@given('entry "{name}" is registered, which follows the store')
def step_registered_entry(context, name):
    context.rig.add_entry(name)
    assert context.rig.poll(name)
    context.rig.run(_entry(context, name).register())


@step('"{name}" is registered')
def step_registered(context, name):
    context.rig.run(_entry(context, name).register())


@given('a copy of it before "{name}" registers')
def step_copy_before(context, name):
    del name
    context.rig.store.take_copy()


@given('a copy of it between lease and value, as "{name}" registers')
def step_copy_between(context, name):
    client = _entry(context, name).client
    put = client.put

    async def copy_first(**fields):
        context.rig.store.take_copy()
        client.put = put
        return await put(**fields)

    client.put = copy_first


@then('the store has the registration of "{name}" under a lease of its own')
def step_has_registration(context, name):
    state = context.rig.store.state
    item = state.items[documents.ENTRY_PREFIX + name]
    assert item["lease"] in state.leases
    assert item["lease"] == _entry(context, name).registration._lease
    for key, other in state.items.items():
        if key != documents.ENTRY_PREFIX + name:
            assert other["lease"] != item["lease"], key


@when('"{name}" withdraws its registration')
def step_withdraws(context, name):
    context.rig.run(_entry(context, name).registration.withdraw())


@given('configuration {version:d} is written and read by "{name}"')
def step_written_and_read(context, version, name):
    context.rig.configure(version)
    assert context.rig.poll(name)


@when("the store starts again with epoch {epoch:d}")
def step_starts_again(context, epoch):
    context.rig.restore()
    context.rig.store.epoch = epoch


@then('"{name}" asks for changes only')
def step_changes_only(context, name):
    calls = context.rig.store.calls
    before = calls["list"]
    assert not _entry(context, name).sync._must_list_again()
    context.rig.poll(name)
    assert calls["list"] == before


@when('the store drops its history, and "{name}" polls')
def step_history(context, name):
    context.rig.write_upstream("i-1")
    context.rig.store.state.drop_history()
    before = context.rig.store.calls["list"]
    assert context.rig.poll(name)
    assert context.rig.store.calls["list"] > before
