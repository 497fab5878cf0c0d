import asyncio
import time

from behave import given
from behave import then
from behave import when
import zmq

from almondstair import messages
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_words import MemberWord
from almondstair.core.heartbeat_words import ServiceLoad
from almondstair.core.heartbeat_words import StatusDetail
from almondstair.core.heartbeat_words import make_digest
from almondstair.core.heartbeat_words import make_view
from almondstair.core.heartbeat_words import read_digest
from almondstair.core.heartbeats import FanOut
from almondstair.core.membership import Membership
from almondstair.core.membership_records import Heard
from almondstair.core.membership_records import VmObservation
from almondstair.core.membership_records import incarnation_text
from almondstair.core.quarantine import Mark
from almondstair.core.table_plans import TablePlans
from almondstair.errors import AlmondstairError
from almondstair.heartbeats import Heartbeats
from almondstair.messages import Heartbeat
from almondstair.peers import Peers
from almondstair.store import EntryTableStore
from features.support.heartbeat_entries import Steps
from features.support.heartbeat_entries import oldest_age_s
from features.support.memory_platform import MemoryPlatform
from features.support.memory_service import Fault

SILENCE_LIMIT_S = 1.5
INTERVAL_S = 0.25
FIRST_PORT = 27100
# A thread that a busy machine leaves waiting runs within some tenths of a
# second.
NOTICE_LIMIT_S = 2.0


def names_of(text):
    return [name.strip() for name in text.split(",") if name.strip()]


def row(name, *, availability_zone="west-1", port=1, incarnation=1):
    address = f"127.0.0.1:{port}"
    return EntryRow(
        name=name,
        availability_zone=availability_zone,
        region=availability_zone.rpartition("-")[0],
        caller_address=address,
        forward_address=address,
        peer_address=address,
        operator_address=address,
        incarnation=incarnation_text(incarnation),
    )


def table_of(names, epoch):
    return EntryTable(epoch, tuple(row(name) for name in names))


def heard(context, name, **changes):
    context.sequence += 1
    word = Heard(
        name=name,
        incarnation=1,
        sequence=context.sequence,
        epoch=context.membership.table.epoch,
        configuration_version=1,
        leaving=False,
        finished=False,
        heard_s=context.now_s,
    )
    return context.membership.heard(word._replace(**changes))


def pass_time(context, seconds, *, silent=()):
    for _ in range(int(seconds * 2)):
        context.now_s += 0.5
        for name in context.membership.table.names():
            if name not in silent and name != "a":
                heard(context, name)


@given('entries "{names}" in the entry table, all heard')
def step_entries(context, names):
    context.now_s = 100.0
    context.sequence = 0
    context.membership = Membership(
        own=row("a"), silence_limit_s=SILENCE_LIMIT_S
    )
    table = table_of(names_of(names), 1)
    context.membership.replace_table(table=table, now_s=context.now_s)
    context.platform = MemoryPlatform(faulty_key="almondstair/entries")
    context.store = EntryTableStore(service=context.platform)
    asyncio.run(context.store.change(plan=lambda _: table))
    pass_time(context, 10)


@given("{count:d} entries in the entry table, all heard")
def step_many_entries(context, count):
    context.names = [f"e{number}" for number in range(count)]
    step_entries(context, ", ".join(["a"] + context.names[1:]))


@given('entry "{name}" registers')
def step_registers(context, name):
    step_registers_unheard(context, name)
    heard(context, name)


@given('entry "{name}" registers, and no heartbeat of it came yet')
def step_registers_unheard(context, name):
    table = context.membership.table
    newcomer = Membership(own=row(name), silence_limit_s=SILENCE_LIMIT_S)
    planned = TablePlans(membership=newcomer).registration(table=table)
    context.membership.replace_table(table=planned, now_s=context.now_s)


@when('"{names}" is not heard for {seconds:d} seconds')
def step_silent(context, names, seconds):
    pass_time(context, seconds, silent=names_of(names))


@when('"{name}" is heard again')
def step_heard_again(context, name):
    context.now_s += 0.5
    heard(context, name)


@when('"{name}" is heard on epoch {epoch:d}')
def step_heard_epoch(context, name, epoch):
    heard(context, name, epoch=epoch)


def read_list(context, names, age_s, leaving=()):
    context.now_s += 0.5
    listing = VmObservation(
        frozenset(names), frozenset(leaving), context.now_s - age_s
    )
    context.membership.observe(listing=listing, now_s=context.now_s)


@when('the VM list holds "{names}", {age:d} second old')
@when('the VM list holds "{names}", {age:d} seconds old')
def step_list(context, names, age):
    read_list(context, names_of(names), age)


@when('the VM list holds "", {age:d} seconds old')
def step_empty_list(context, age):
    read_list(context, [], age)


@when('the VM list has "{name}" as leaving')
def step_list_leaving(context, name):
    read_list(context, ["a", "b", "c"], 0, leaving=[name])


@when('the operators mark "{name}" as leaving')
def step_mark(context, name):
    context.membership.mark_leaving(names=frozenset([name]))


@when('"{name}" says that it finished leaving')
def step_finished(context, name):
    heard(context, name, leaving=True, finished=True)


@when('"{name}" says that it is leaving')
def step_leaving(context, name):
    heard(context, name, leaving=True)


def pass_time_relayed(context, name, seconds, near_names):
    context.membership.set_silence_limits(
        near_names=frozenset(near_names), near_s=2.0, far_s=25.0
    )
    for _ in range(seconds):
        pass_time(context, 1, silent=[name])
        context.membership.heard_of(
            name=name,
            heard_s=context.now_s - 0.5,
            configuration_version=1,
        )


@when('"{name}" is heard through digests only for {seconds:d} seconds')
def step_heard_far(context, name, seconds):
    pass_time_relayed(context, name, seconds, ["c"])


@when(
    '"{name}", of the same group, is heard through relays for {seconds:d} '
    "seconds"
)
def step_heard_relayed(context, name, seconds):
    pass_time_relayed(context, name, seconds, ["b", "c"])


@when('"{name}" restarts and its last frame is read after the new first')
def step_restart(context, name):
    heard(context, name, leaving=True, finished=False)
    step_restarted(context, name)
    heard(context, name, incarnation=2, sequence=1)
    context.now_s += 0.1
    heard(context, name, leaving=True, finished=True)


@when('"{name}" restarts and registers')
def step_restarted(context, name):
    newcomer = Membership(
        own=row(name, incarnation=2), silence_limit_s=SILENCE_LIMIT_S
    )
    planned = TablePlans(membership=newcomer).registration(
        table=context.membership.table
    )
    assert not newcomer.registered
    newcomer.replace_table(table=context.membership.table, now_s=context.now_s)
    assert not newcomer.registered
    newcomer.replace_table(table=planned, now_s=context.now_s)
    assert newcomer.registered
    context.membership.replace_table(table=planned, now_s=context.now_s)


@then("the table tells that work was lost under epoch {epoch:d}")
def step_lost_epoch(context, epoch):
    assert context.membership.table.lost_epoch == epoch


@then('the live entries are "{names}"')
def step_live(context, names):
    live = [
        entry.name for entry in context.membership.live(now_s=context.now_s)
    ]
    assert live == names_of(names), live


@then('"a" plans no change')
def step_no_change(context):
    planned = TablePlans(membership=context.membership).change(
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
    planned = TablePlans(membership=context.membership).change(
        table=context.membership.table
    )
    assert planned is not None
    assert list(planned.names()) == names_of(names), planned
    assert planned.epoch == epoch, planned
    assert planned.lost_epoch == lost_epoch, planned


@given("the platform is out of reach")
def step_out(context):
    context.platform.down = True


@given("the platform loses the answer of the next change")
def step_lost(context):
    context.platform.faults = [Fault.ANSWER_LOST]


async def register(context, name):
    newcomer = Membership(own=row(name), silence_limit_s=SILENCE_LIMIT_S)

    def plan(table):
        return TablePlans(membership=newcomer).registration(table=table)

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
    assert sorted(table.names()) == names_of(names), table
    assert table.epoch == epoch, table


@then('the entry table has epoch {epoch:d} and "{names}"')
def step_table(context, epoch, names):
    table = context.membership.table
    assert list(table.names()) == names_of(names), table
    assert table.epoch == epoch, table


@when('another VM registers as "{name}"')
def step_name_taken(context, name):
    stranger = Membership(
        own=row(name, port=9, incarnation=2), silence_limit_s=SILENCE_LIMIT_S
    )
    context.error = None
    try:
        TablePlans(membership=stranger).registration(
            table=context.membership.table
        )
    except ValueError as error:
        context.error = error


@then("the registration is refused")
def step_registration_refused(context):
    assert "another name" in str(context.error)


@when('the platform serves the table "{names}" with epoch {epoch:d}')
def step_serves(context, names, epoch):
    table = table_of(names_of(names), epoch)
    applied = context.membership.replace_table(table=table, now_s=context.now_s)
    assert not applied


@then('"a" is behind and takes no duty')
def step_behind(context):
    assert context.membership.is_behind


@then("their turns to write run from 0 to {last:d}")
def step_turns(context, last):
    table = context.membership.table
    turns = []
    for entry in table.entries:
        member = Membership(own=entry, silence_limit_s=SILENCE_LIMIT_S)
        member.replace_table(table=table, now_s=0.0)
        for other in table.entries:
            member.heard_of(
                name=other.name, heard_s=0.0, configuration_version=1
            )
        turns.append(member.planner_rank(now_s=0.0))
    assert sorted(turns) == list(range(last + 1)), turns


@given("{count:d} entries in {zones:d} availability zones")
def step_zones(context, count, zones):
    rows = []
    for number in range(count):
        zone = f"region{number % zones // 2}-{number % zones}"
        rows.append(row(f"e{number}", availability_zone=zone))
    context.entry_table = EntryTable(1, tuple(rows))


@when("heartbeats are sent for {seconds:d} second")
@when("heartbeats are sent for {seconds:d} seconds")
def step_sent(context, seconds):
    context.sent = []
    # At the target size, each twentieth entry stands for the others.
    for own in context.entry_table.entries[
        :: max(1, len(context.entry_table.entries) // 40)
    ]:
        fan_out = FanOut(own=own, interval_s=INTERVAL_S)
        fan_out.set_table(table=context.entry_table)
        near, all_names = set(), set()
        for _ in range(int(seconds / INTERVAL_S)):
            sending = fan_out.tick()
            near.update(sending.near)
            all_names.update(sending.near, sending.far, sending.partners)
        context.sent.append((near, all_names))


@then("every entry has sent to all {count:d} others")
@then("every entry has sent to all {count:d} others of its zone")
def step_sent_all(context, count):
    for near, _ in context.sent:
        assert len(near) == count, len(near)


@then("no entry has sent to more than {count:d} entries")
def step_sent_few(context, count):
    for _, all_names in context.sent:
        assert len(all_names) <= count, len(all_names)


@when(
    "{count:d} entries of one zone exchange heartbeats for {seconds:d} seconds"
)
def step_exchange(context, count, seconds):
    context.steps = Steps(count, 1)
    context.steps.run(seconds)
    context.sent_per_s = context.steps.sent_bytes / count / seconds


@then("no word on any entry is older than {limit:d} seconds")
def step_words_fresh(context, limit):
    entries = list(context.steps.entries.values())
    oldest_s = oldest_age_s(entries, context.steps.now_s)
    assert oldest_s <= limit, oldest_s


@then("no entry sent more than {limit:d} bytes a second")
def step_sent_bytes(context, limit):
    assert context.sent_per_s <= limit, context.sent_per_s


@when('"{name}" was heard {age:d} seconds ago and has version {version:d} of 7')
def step_words(context, name, age, version):
    context.words = []
    for other in sorted(context.membership.table.names()):
        if other == name:
            context.words.append(MemberWord(other, True, float(age), version))
        else:
            context.words.append(MemberWord(other, True, 0.0, 7))


def reader(context, *, epoch):
    """Returns the heartbeats of an entry that heard nothing yet."""
    own = context.membership.own
    membership = Membership(own=own, silence_limit_s=SILENCE_LIMIT_S)
    table = EntryTable(epoch, context.membership.table.entries)
    membership.replace_table(table=table, now_s=0.0)
    context.peers = Peers(
        context=zmq.Context.instance(),
        name=own.name,
        incarnation=1,
        peer_address=own.peer_address,
        on_message=lambda *_: None,
    )
    reading = Heartbeats(
        own=own,
        membership=membership,
        configuration=ConfigurationState(),
        peers=context.peers,
        clock=lambda: context.now_s,
        own_detail=StatusDetail,
        companions=lambda name: (),
        interval_ms=250,
        silence_limit_ms=1500,
    )
    reading.refresh_table()
    return membership, reading


def hear_view(context, *, reader_epoch):
    async def hear():
        view = make_view(epoch=1, words=context.words, configuration_version=7)
        frame = messages.encode(Heartbeat(1, 1, 7, view=view))
        membership, reading = reader(context, epoch=reader_epoch)
        reading.receive(
            name="e5", incarnation=3, heartbeat=messages.decode(frame)
        )
        return membership

    return asyncio.run(hear())


@then(
    'a reader of the view hears of "{name}" {age:d} seconds ago with version '
    "{version:d}"
)
def step_view(context, name, age, version):
    known = hear_view(context, reader_epoch=1).last_heard(name=name)
    assert known.configuration_version == version, known
    assert 0 <= context.now_s - known.heard_s - age <= 0.3, known


@then("a reader with another epoch learns nothing")
def step_view_epoch(context):
    assert hear_view(context, reader_epoch=2).last_heard(name="e3") is None


@then('a reader of the digest learns that "{name}" lacks version {version:d}')
def step_digest(context, name, version):
    digest = make_digest(
        availability_zone="west-1",
        epoch=1,
        words=context.words,
        version=version,
        loads=(),
    )
    names = sorted(context.membership.table.names())
    for word in read_digest(digest=digest, names=names):
        assert word.live, word
        assert (word.version < version) == (word.name == name), word


class RecordingPeers:
    """Stands for the sockets and keeps what is sent."""

    def __init__(self):
        """Starts with nothing sent."""
        self.sent = []

    def set_rows(self, rows):
        """Needs no addresses."""

    def connect(self, name):
        """Needs no connection."""

    def send(self, name, *parts):
        """Keeps messages."""
        for message in parts:
            self.sent.append((name, messages.decode(messages.encode(message))))
        return True


@when(
    "one entry has marked a request and sends heartbeats for {seconds:d} "
    "seconds"
)
def step_marked(context, seconds):
    context.mark = Mark(fingerprint=7, upstream=3, remaining_s=60)
    context.now_s = 0.0
    own = context.entry_table.entries[0]
    membership = Membership(own=own, silence_limit_s=SILENCE_LIMIT_S)
    membership.replace_table(table=context.entry_table, now_s=0.0)
    context.peers = RecordingPeers()
    load = ServiceLoad("matching", 3, 3, 0)
    sending = Heartbeats(
        own=own,
        membership=membership,
        configuration=ConfigurationState(),
        peers=context.peers,
        clock=lambda: context.now_s,
        own_detail=lambda: StatusDetail((load,), (), (context.mark,)),
        companions=lambda name: (),
        interval_ms=int(INTERVAL_S * 1000),
        silence_limit_ms=int(SILENCE_LIMIT_S * 1000),
    )
    sending.refresh_table()
    for _ in range(int(seconds / INTERVAL_S)):
        context.now_s += INTERVAL_S
        sending.send_round()


@then("entries of all {count:d} availability zones have the mark")
def step_mark_everywhere(context, count):
    zones = set()
    for name, heartbeat in context.peers.sent:
        if heartbeat.detail is None or not heartbeat.detail.marks:
            continue
        assert heartbeat.detail.marks == (context.mark,), heartbeat
        zones.add(context.entry_table.row(name=name).availability_zone)
    assert len(zones) == count, zones


class LiveEntry:
    """An entry with real sockets and heartbeats, without the rest."""

    def __init__(self, *, own, table):
        """Takes its row and the table; `start` opens the sockets."""
        self.own = own
        self.membership = Membership(own=own, silence_limit_s=SILENCE_LIMIT_S)
        self.membership.replace_table(table=table, now_s=time.monotonic())
        self.configuration = ConfigurationState()
        self.configuration.offer(StoredConfiguration(1, "id", "x", "", ""))
        self.peers = Peers(
            context=zmq.Context.instance(),
            name=own.name,
            incarnation=7,
            peer_address=own.peer_address,
            on_message=self.take,
        )
        self.heartbeats = Heartbeats(
            own=own,
            membership=self.membership,
            configuration=self.configuration,
            peers=self.peers,
            clock=time.monotonic,
            own_detail=StatusDetail,
            companions=lambda name: (),
            interval_ms=50,
            silence_limit_ms=1500,
        )

    def start(self):
        """Binds and sends."""
        self.peers.start()
        self.heartbeats.refresh_table()
        self.heartbeats.start()

    def stop(self):
        """Closes the sockets."""
        self.heartbeats.stop()
        self.peers.stop()

    def take(self, name, incarnation, message):
        """Takes a message in."""
        self.heartbeats.receive(
            name=name, incarnation=incarnation, heartbeat=message
        )


@given("two entries with real sockets")
def step_two(context):
    rows = (row("p", port=FIRST_PORT), row("q", port=FIRST_PORT + 1))
    context.entry_table = EntryTable(1, rows)


@when("they hear each other within {seconds:d} seconds and one stops")
def step_hear(context, seconds):
    asyncio.run(talk(context, seconds))


async def talk(context, seconds):
    first = LiveEntry(
        own=context.entry_table.entries[0], table=context.entry_table
    )
    second = LiveEntry(
        own=context.entry_table.entries[1], table=context.entry_table
    )
    first.start()
    second.start()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        await asyncio.sleep(0.05)
        now_s = time.monotonic()
        if len(first.membership.live(now_s=now_s)) < 2:
            continue
        if len(second.membership.live(now_s=now_s)) == 2:
            break
    context.live_counts = (
        len(first.membership.live(now_s=now_s)),
        len(second.membership.live(now_s=now_s)),
    )
    second.stop()
    context.first_sends_took_s, _ = _send_to_dead(first)
    await _until_noticed(first)
    context.sends_took_s, context.dropped = _send_to_dead(first)
    first.stop()
    assert context.live_counts == (2, 2), context.live_counts


def _send_to_dead(entry):
    """Sends 2000 times; returns the seconds taken and the sends dropped."""
    before = entry.peers.counts.dropped_messages
    start_s = time.monotonic()
    for _ in range(2000):
        entry.peers.send("q", Heartbeat(1, 1, 1))
    took_s = time.monotonic() - start_s
    return took_s, entry.peers.counts.dropped_messages - before


async def _until_noticed(entry):
    """Waits until the sockets' thread has seen the connection's end.

    Before that the queue takes what is sent: 31 messages where the thread runs
    at once, 120 were seen where it had to wait for a processor.
    """
    end_s = time.monotonic() + NOTICE_LIMIT_S
    while entry.peers.send("q", Heartbeat(1, 1, 1)):
        assert time.monotonic() < end_s, "the dead peer is not noticed"
        await asyncio.sleep(0.05)


@then(
    "{count:d} sends to it take less than {seconds:d} second and are counted "
    "as dropped"
)
def step_dropped(context, count, seconds):
    assert context.first_sends_took_s < seconds, context.first_sends_took_s
    assert context.sends_took_s < seconds, context.sends_took_s
    assert context.dropped == count, context.dropped


@then('these frames are refused as "{kind}": empty, unknown tag, cut short')
def step_frames(context, kind):
    whole = messages.encode(Heartbeat(1, 1, 1))
    for frame in (b"", b"\xff" + whole[1:], whole[:-1]):
        try:
            messages.decode(frame)
        except AlmondstairError as error:
            assert error.kind == kind, error
            continue
        raise AssertionError(f"{frame!r} was taken")


@then(
    'a change on the platform\'s table of epoch {epoch:d} starts from "{names}"'
)
def step_starts_from(context, epoch, names):
    base = TablePlans(membership=context.membership).base(
        table=EntryTable(epoch), now_s=context.now_s
    )
    assert base is not None
    assert set(base.names()) == set(names_of(names)), base
    assert base.epoch == context.membership.table.epoch


@then("no change is made on the platform's table of epoch {epoch:d}")
def step_no_base(context, epoch):
    base = TablePlans(membership=context.membership).base(
        table=EntryTable(epoch), now_s=context.now_s
    )
    assert base is None, base
