"""Steps of configuration.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from almondstair import messages
from almondstair.core.configuration import ApplyOutcome
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import Edit
from almondstair.core.configuration import EditStatus
from almondstair.core.configuration import VersionReport
from almondstair.core.configuration import result_of_stored_edit
from almondstair.errors import AlmondstairError
from almondstair.store import ConfigurationStore
from almondstair.store import decode_configuration
from almondstair.store import encode_configuration
from features.support.memory_platform import MemoryPlatform
from features.support.memory_service import Fault

FRESH_LIMIT_S = 3.0


def split_names(text):
    return [name.strip() for name in text.split(",")]


def make_edit(author, base_version):
    return Edit(
        base_version=base_version,
        edit_id=f"{author}-{base_version}",
        author=author,
        edited_at="2026-01-01T00:00:00Z",
        text=f"# by {author} on {base_version}\n",
    )


async def start_watcher(context, name):
    def on_configuration(stored):
        context.states[name].apply_if_newer(stored)

    watcher = context.store.watcher(on_configuration=on_configuration)
    watcher.start()
    await asyncio.sleep(0.01)
    return watcher


def read_from_platform(context, name):
    async def read():
        watcher = await start_watcher(context, name)
        watcher.stop()

    asyncio.run(read())
    context.ages_s[name] = 0.0


def version_reports(context):
    found = []
    for name, state in context.states.items():
        found.append(VersionReport(name, state.version, context.ages_s[name]))
    return found


def highest_version(context):
    return max(state.version for state in context.states.values())


async def run_edit(context, edit):
    all_fresh = max(context.ages_s.values()) <= FRESH_LIMIT_S
    return await context.store.edit(
        edit=edit,
        highest_version=highest_version(context),
        all_heard=all_fresh,
    )


def edit_result(context):
    stored = asyncio.run(context.store.read())
    edit_record = stored.find_edit(edit_id=context.edit.edit_id)
    return result_of_stored_edit(
        edit_record=edit_record,
        reports=version_reports(context),
        fresh_limit_s=FRESH_LIMIT_S,
    )


def send_document(context, sender, receiver):
    frame = messages.encode(
        messages.ConfigurationDocument(
            messages.pack(encode_configuration(context.states[sender].in_force))
        )
    )
    document = messages.unpack(messages.decode(frame).packed)
    return context.states[receiver].apply_if_newer(
        decode_configuration(document)
    )


@given('entries "{names}" over one platform')
def step_entries(context, names):
    context.platform = MemoryPlatform(faulty_key="almondstair/configuration")
    context.store = ConfigurationStore(service=context.platform)
    first = make_edit("seed", 0)
    asyncio.run(context.store.seed(edit=first))
    context.states = {}
    context.ages_s = {}
    context.results = {}
    for name in split_names(names):
        context.states[name] = ConfigurationState()
        read_from_platform(context, name)


@given("the platform loses the answer of the next write")
def step_answer_lost(context):
    context.platform.faults = [Fault.ANSWER_LOST]


@given("the platform loses the next write")
def step_call_lost(context):
    context.platform.faults = [Fault.CALL_LOST]


@given("the platform loses the answer of the next write and goes out")
def step_answer_lost_and_out(context):
    context.platform.faults = [Fault.ANSWER_LOST]
    context.platform.down_after_fault = True


@given("the platform loses the next write and goes out")
def step_call_lost_and_out(context):
    context.platform.faults = [Fault.CALL_LOST]
    context.platform.down_after_fault = True


@given("the platform is out")
@when("the platform goes out")
def step_out(context):
    context.platform.down = True


@when("the platform is back")
def step_back(context):
    context.platform.down = False
    context.platform.down_after_fault = False


@given("the platform is backed up")
def step_backed_up(context):
    context.platform.back_up()


@when("the platform is rolled back")
def step_rolled_back(context):
    async def roll_back():
        watchers = []
        for name in context.states:
            watchers.append(await start_watcher(context, name))
        context.platform.roll_back()
        for watcher in watchers:
            watcher.stop()

    asyncio.run(roll_back())
    for name in context.states:
        read_from_platform(context, name)


@when('operator "{author}" edits version {base:d}')
def step_edit(context, author, base):
    context.edit = make_edit(author, base)
    context.error = None
    try:
        result = asyncio.run(run_edit(context, context.edit))
    except AlmondstairError as error:
        context.error = error
        return
    context.results[author] = result
    context.result = result


@when('operators "{first}" and "{second}" edit version {base:d} at once')
def step_race(context, first, second, base):
    async def race():
        return await asyncio.gather(
            run_edit(context, make_edit(first, base)),
            run_edit(context, make_edit(second, base)),
        )

    context.race = asyncio.run(race())


@when("{count:d} edits are made one after the other")
def step_many(context, count):
    for base in range(1, count + 1):
        edit = make_edit("moira", base)
        result = asyncio.run(context.store.edit(edit=edit))
        assert result.version == base + 1, result


@when('"{names}" learn of it from the platform')
def step_learn(context, names):
    for name in split_names(names):
        read_from_platform(context, name)


@when('"{name}" learns of it from its peer "{peer}"')
def step_learn_from_peer(context, name, peer):
    assert send_document(context, peer, name) is ApplyOutcome.APPLIED


@when('"{peer}" sends its version to "{name}"')
def step_send(context, peer, name):
    assert send_document(context, peer, name) is ApplyOutcome.OLDER


@when('"{name}" is silent for {age:d} seconds')
def step_silent(context, name, age):
    context.ages_s[name] = float(age)


@when('entry "{name}" starts and asks its peers')
def step_start(context, name):
    context.states[name] = ConfigurationState()
    read_from_platform(context, name)
    assert context.states[name].in_force is None
    for peer in ("c", "a", "b"):
        send_document(context, peer, name)


@then('the edit is pending and lacks "{names}"')
def step_pending(context, names):
    result = edit_result(context)
    assert result.status is EditStatus.PENDING, result
    assert list(result.lagging_entries) == split_names(names), result


@then("the edit is accepted as version {version:d}")
def step_accepted(context, version):
    result = edit_result(context)
    assert result.status is EditStatus.ACCEPTED, result
    assert result.version == version, result


@then('the fate of the edit is "{fate}"')
def step_fate(context, fate):
    assert context.result.status == fate, context.result


@then('asking for the edit says "{fate}"')
def step_ask(context, fate):
    result = asyncio.run(
        context.store.edit_status(
            edit_id=context.edit.edit_id,
            base_version=context.edit.base_version,
        )
    )
    assert result.status == fate, result


@then('asking for the edit of "{author}" says "{fate}"')
def step_ask_author(context, author, fate):
    edit_id = context.results[author].edit_id
    result = asyncio.run(
        context.store.edit_status(edit_id=edit_id, base_version=1)
    )
    assert result.status == fate, result


@then('the edit is refused with kind "{kind}" and did not run')
def step_refused(context, kind):
    assert context.error is not None
    assert context.error.kind == kind, context.error.kind
    assert context.error.ran == "no", context.error.ran


@then("the platform holds version {version:d}")
def step_holds(context, version):
    stored = asyncio.run(context.store.read())
    assert stored.version == version, stored


@then("the platform's history names {count:d} edits")
def step_history(context, count):
    edit_records = asyncio.run(context.store.history())
    assert len(edit_records) == count, edit_records


@then("exactly one edit is applied")
def step_one_applied(context):
    statuses = sorted(str(result.status) for result in context.race)
    assert statuses == ["conflict", "pending"], statuses


@then("the other is told of the winner and its version")
def step_winner(context):
    for result in context.race:
        if result.status is EditStatus.PENDING:
            winner = result
        else:
            loser = result
    assert loser.conflicting_edit.edit_id == winner.edit_id, loser
    assert loser.conflicting_edit.version == winner.version == 2, loser


@then("every entry has version {version:d} in force")
def step_all_in_force(context, version):
    for name, state in context.states.items():
        assert state.version == version, (name, state.version)


@then('"{name}" has version {version:d} in force')
def step_in_force(context, name, version):
    assert context.states[name].version == version


@then("the text of version {version:d} is kept")
def step_kept(context, version):
    past = asyncio.run(context.store.past_version(version=version))
    assert past.text == make_edit("moira", version - 1).text, past


@then("the text of version {version:d} is no longer kept")
def step_not_kept(context, version):
    assert asyncio.run(context.store.past_version(version=version)) is None
