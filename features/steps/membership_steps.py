"""Steps of membership.feature: entry table, heartbeats, leaving entries."""

import asyncio

from behave import given
from behave import then
from behave import when

from almondstair.core.entry_table import EntryTable
from almondstair.core.membership import Membership
from almondstair.core.membership_records import ReceivedHeartbeat
from almondstair.core.membership_records import VmStatusReport
from almondstair.core.table_planner import TablePlanner
from almondstair.errors import AlmondstairError
from almondstair.store import EntryTableStore
from features.support.entry_rows import row
from features.support.memory_platform import MemoryPlatform
from features.support.memory_service import Fault

SILENCE_LIMIT_S = 1.5


def split_names(text):
    return [name.strip() for name in text.split(",") if name.strip()]


def make_table(names, epoch):
    return EntryTable(epoch, tuple(row(name) for name in names))


def record_heartbeat(context, name, **changes):
    context.sequence += 1
    heartbeat = ReceivedHeartbeat(
        name=name,
        incarnation=1,
        sequence=context.sequence,
        epoch=context.membership.table.epoch,
        configuration_version=1,
        leaving=False,
        finished=False,
        heard_s=context.now_s,
    )
    return context.membership.record_heartbeat(heartbeat._replace(**changes))


def advance_time(context, seconds, *, silent=()):
    for _ in range(int(seconds * 2)):
        context.now_s += 0.5
        for name in context.membership.table.names():
            if name not in silent and name != "a":
                record_heartbeat(context, name)


@given('entries "{names}" in the entry table, all heard')
def step_entries(context, names):
    context.now_s = 100.0
    context.sequence = 0
    context.membership = Membership(
        own=row("a"), silence_limit_s=SILENCE_LIMIT_S
    )
    table = make_table(split_names(names), 1)
    context.membership.replace_table(table=table, now_s=context.now_s)
    context.platform = MemoryPlatform(faulty_key="almondstair/entries")
    context.store = EntryTableStore(service=context.platform)
    asyncio.run(context.store.change(plan=lambda _: table))
    advance_time(context, 10)


@given("{count:d} entries in the entry table, all heard")
def step_many_entries(context, count):
    context.names = [f"e{number}" for number in range(count)]
    step_entries(context, ", ".join(["a"] + context.names[1:]))


@given('entry "{name}" registers')
def step_registers(context, name):
    step_registers_silently(context, name)
    record_heartbeat(context, name)


@given('entry "{name}" registers, and no heartbeat of it came yet')
def step_registers_silently(context, name):
    table = context.membership.table
    new_member = Membership(own=row(name), silence_limit_s=SILENCE_LIMIT_S)
    planned = TablePlanner(membership=new_member).plan_registration(table=table)
    context.membership.replace_table(table=planned, now_s=context.now_s)


@when('"{names}" is not heard for {seconds:d} seconds')
def step_silent(context, names, seconds):
    advance_time(context, seconds, silent=split_names(names))


@when('"{name}" is heard again')
def step_heard_again(context, name):
    context.now_s += 0.5
    record_heartbeat(context, name)


@when('"{name}" is heard on epoch {epoch:d}')
def step_heard_epoch(context, name, epoch):
    record_heartbeat(context, name, epoch=epoch)


def record_listing(context, names, age_s, leaving=()):
    context.now_s += 0.5
    listing = VmStatusReport(
        frozenset(names), frozenset(leaving), context.now_s - age_s
    )
    context.membership.record_listing(listing=listing, now_s=context.now_s)


@when('the VM list holds "{names}", {age:d} second old')
@when('the VM list holds "{names}", {age:d} seconds old')
def step_list(context, names, age):
    record_listing(context, split_names(names), age)


@when('the VM list holds "", {age:d} seconds old')
def step_empty_list(context, age):
    record_listing(context, [], age)


@when('the VM list has "{name}" as leaving')
def step_list_leaving(context, name):
    record_listing(context, ["a", "b", "c"], 0, leaving=[name])


@when('the operators mark "{name}" as leaving')
def step_mark(context, name):
    context.membership.set_marked_leaving(names=frozenset([name]))


@when('"{name}" says that it finished leaving')
def step_finished(context, name):
    record_heartbeat(context, name, leaving=True, finished=True)


@when('"{name}" says that it is leaving')
def step_leaving(context, name):
    record_heartbeat(context, name, leaving=True)


def advance_time_relayed(context, name, seconds, near_names):
    context.membership.set_silence_limits(
        near_names=frozenset(near_names), near_s=2.0, far_s=25.0
    )
    for _ in range(seconds):
        advance_time(context, 1, silent=[name])
        context.membership.record_relayed(
            name=name,
            heard_s=context.now_s - 0.5,
            configuration_version=1,
        )


@when('"{name}" is heard through digests only for {seconds:d} seconds')
def step_digests_only(context, name, seconds):
    advance_time_relayed(context, name, seconds, ["c"])


@when(
    '"{name}", of the same group, is heard through relays for {seconds:d} '
    "seconds"
)
def step_relayed_same_group(context, name, seconds):
    advance_time_relayed(context, name, seconds, ["b", "c"])


@when('"{name}" restarts and its last frame is read after the new first')
def step_restart(context, name):
    record_heartbeat(context, name, leaving=True, finished=False)
    step_restarted(context, name)
    record_heartbeat(context, name, incarnation=2, sequence=1)
    context.now_s += 0.1
    record_heartbeat(context, name, leaving=True, finished=True)


@when('"{name}" restarts and registers')
def step_restarted(context, name):
    new_member = Membership(
        own=row(name, incarnation=2), silence_limit_s=SILENCE_LIMIT_S
    )
    planned = TablePlanner(membership=new_member).plan_registration(
        table=context.membership.table
    )
    assert not new_member.is_registered
    new_member.replace_table(
        table=context.membership.table, now_s=context.now_s
    )
    assert not new_member.is_registered
    new_member.replace_table(table=planned, now_s=context.now_s)
    assert new_member.is_registered
    context.membership.replace_table(table=planned, now_s=context.now_s)


@then("the table tells that work was lost under epoch {epoch:d}")
def step_lost_epoch(context, epoch):
    assert context.membership.table.lost_epoch == epoch


@then('the live entries are "{names}"')
def step_live(context, names):
    live = [
        entry.name
        for entry in context.membership.live_entries(now_s=context.now_s)
    ]
    assert live == split_names(names), live


@then('"a" plans no change')
def step_no_change(context):
    planned = TablePlanner(membership=context.membership).plan_removals(
        table=context.membership.table
    )
    assert planned is None, planned


@then(
    '"a" plans the table "{names}" with epoch {epoch:d}, of which work is lost'
)
def step_plans_lost(context, names, epoch):
    step_plans(context, names, epoch, epoch)


@then(
    '"a" plans the table "{names}" with epoch {epoch:d}, of which nothing is '
    "lost"
)
def step_plans_released(context, names, epoch):
    step_plans(context, names, epoch, 0)


def step_plans(context, names, epoch, lost_epoch):
    planned = TablePlanner(membership=context.membership).plan_removals(
        table=context.membership.table
    )
    assert planned is not None
    assert list(planned.names()) == split_names(names), planned
    assert planned.epoch == epoch, planned
    assert planned.lost_epoch == lost_epoch, planned


@given("the platform is out of reach")
def step_platform_down(context):
    context.platform.down = True


@given("the platform loses the answer of the next change")
def step_answer_lost(context):
    context.platform.faults = [Fault.ANSWER_LOST]


async def register(context, name):
    new_member = Membership(own=row(name), silence_limit_s=SILENCE_LIMIT_S)

    def plan(table):
        return TablePlanner(membership=new_member).plan_registration(
            table=table
        )

    return await context.store.change(plan=plan)


@when('"b" registers "{name}" in the platform')
def step_register(context, name):
    context.error = None
    try:
        asyncio.run(register(context, name))
    except AlmondstairError as error:
        context.error = error


@when('"{first}" and "{second}" register in the platform at once')
def step_register_both(context, first, second):
    async def both():
        await asyncio.gather(
            register(context, first), register(context, second)
        )

    asyncio.run(both())


@then("the platform refuses")
def step_refuses(context):
    assert context.error.kind == "platform_unavailable", context.error


@then('the platform\'s table is "{names}" with epoch {epoch:d}')
def step_platform_table(context, names, epoch):
    table = asyncio.run(context.store.read())
    assert sorted(table.names()) == split_names(names), table
    assert table.epoch == epoch, table


@then('the entry table has epoch {epoch:d} and "{names}"')
def step_table(context, epoch, names):
    table = context.membership.table
    assert list(table.names()) == split_names(names), table
    assert table.epoch == epoch, table


@when('another VM registers as "{name}"')
def step_name_taken(context, name):
    other_vm = Membership(
        own=row(name, port=9, incarnation=2), silence_limit_s=SILENCE_LIMIT_S
    )
    context.error = None
    try:
        TablePlanner(membership=other_vm).plan_registration(
            table=context.membership.table
        )
    except ValueError as error:
        context.error = error


@then("the registration is refused")
def step_registration_refused(context):
    assert "another name" in str(context.error)


@when('the platform serves the table "{names}" with epoch {epoch:d}')
def step_stale_table(context, names, epoch):
    table = make_table(split_names(names), epoch)
    applied = context.membership.replace_table(table=table, now_s=context.now_s)
    assert not applied


@then('"a" is behind and takes no duty')
def step_behind(context):
    assert context.membership.is_behind


@then("their turns to write run from 0 to {last:d}")
def step_planner_ranks(context, last):
    table = context.membership.table
    ranks = []
    for entry in table.entries:
        member = Membership(own=entry, silence_limit_s=SILENCE_LIMIT_S)
        member.replace_table(table=table, now_s=0.0)
        for other in table.entries:
            member.record_relayed(
                name=other.name, heard_s=0.0, configuration_version=1
            )
        ranks.append(member.planner_rank(now_s=0.0))
    assert sorted(ranks) == list(range(last + 1)), ranks


@then(
    'a change on the platform\'s table of epoch {epoch:d} starts from "{names}"'
)
def step_starts_from(context, epoch, names):
    base = TablePlanner(membership=context.membership).base_table(
        table=EntryTable(epoch), now_s=context.now_s
    )
    assert base is not None
    assert set(base.names()) == set(split_names(names)), base
    assert base.epoch == context.membership.table.epoch


@then("no change is made on the platform's table of epoch {epoch:d}")
def step_no_base(context, epoch):
    base = TablePlanner(membership=context.membership).base_table(
        table=EntryTable(epoch), now_s=context.now_s
    )
    assert base is None, base
