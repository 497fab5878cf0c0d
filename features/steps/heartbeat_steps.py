"""Steps of membership.feature: contents and receivers of heartbeats."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
import zmq

from almondstair import messages
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_payloads import MemberStatus
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.heartbeat_payloads import make_digest
from almondstair.core.heartbeat_payloads import make_view
from almondstair.core.heartbeat_payloads import read_digest
from almondstair.core.heartbeats import HeartbeatScheduler
from almondstair.core.membership import Membership
from almondstair.core.quarantine import StrikeMark
from almondstair.errors import AlmondstairError
from almondstair.heartbeats import Heartbeats
from almondstair.messages import Heartbeat
from almondstair.peers import Peers
from emulator.ports import free_address
from features.support.entry_rows import row
from features.support.heartbeat_entries import HeartbeatSimulation
from features.support.heartbeat_entries import oldest_age_s

SILENCE_LIMIT_S = 1.5
INTERVAL_S = 0.25


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
    # At the target size, about 40 entries represent all.
    for own in context.entry_table.entries[
        :: max(1, len(context.entry_table.entries) // 40)
    ]:
        scheduler = HeartbeatScheduler(own=own, interval_s=INTERVAL_S)
        scheduler.set_table(table=context.entry_table)
        near, all_names = set(), set()
        for _ in range(int(seconds / INTERVAL_S)):
            targets = scheduler.tick()
            near.update(targets.near)
            all_names.update(targets.near, targets.far, targets.partners)
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
    context.steps = HeartbeatSimulation(count, 1)
    context.steps.run(seconds)
    context.sent_per_s = context.steps.sent_bytes / count / seconds


@then("no word on any entry is older than {limit:d} seconds")
def step_statuses_fresh(context, limit):
    entries = list(context.steps.entries.values())
    oldest_s = oldest_age_s(entries, context.steps.now_s)
    assert oldest_s <= limit, oldest_s


@then("no entry sent more than {limit:d} bytes a second")
def step_sent_bytes(context, limit):
    assert context.sent_per_s <= limit, context.sent_per_s


@when('"{name}" was heard {age:d} seconds ago and has version {version:d} of 7')
def step_statuses(context, name, age, version):
    context.statuses = []
    for other in sorted(context.membership.table.names()):
        if other == name:
            context.statuses.append(
                MemberStatus(other, True, float(age), version)
            )
        else:
            context.statuses.append(MemberStatus(other, True, 0.0, 7))


def make_reader(context, *, epoch):
    """Returns the membership and heartbeats of a newly started entry."""
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
    heartbeats = Heartbeats(
        own=own,
        membership=membership,
        configuration=ConfigurationState(),
        peers=context.peers,
        clock=lambda: context.now_s,
        own_detail=StatusDetail,
        piggybacked_messages=lambda name: (),
        interval_ms=250,
        silence_limit_ms=1500,
    )
    heartbeats.update_receivers()
    return membership, heartbeats


def receive_view(context, *, reader_epoch):
    async def receive():
        view = make_view(
            epoch=1, members=context.statuses, configuration_version=7
        )
        frame = messages.encode(Heartbeat(1, 1, 7, view=view))
        membership, heartbeats = make_reader(context, epoch=reader_epoch)
        heartbeats.receive(
            name="e5", incarnation=3, heartbeat=messages.decode(frame)
        )
        return membership

    return asyncio.run(receive())


@then(
    'a reader of the view hears of "{name}" {age:d} seconds ago with version '
    "{version:d}"
)
def step_view(context, name, age, version):
    last = receive_view(context, reader_epoch=1).last_heartbeat(name=name)
    assert last.configuration_version == version, last
    assert 0 <= context.now_s - last.heard_s - age <= 0.3, last


@then("a reader with another epoch learns nothing")
def step_view_epoch(context):
    assert (
        receive_view(context, reader_epoch=2).last_heartbeat(name="e3") is None
    )


@then('a reader of the digest learns that "{name}" lacks version {version:d}')
def step_digest(context, name, version):
    digest = make_digest(
        availability_zone="west-1",
        epoch=1,
        members=context.statuses,
        version=version,
        loads=(),
    )
    names = sorted(context.membership.table.names())
    for status in read_digest(digest=digest, names=names):
        assert status.live, status
        assert (status.version < version) == (status.name == name), status


class RecordingPeers:
    """Records sent messages in place of real sockets."""

    def __init__(self):
        """Starts without messages."""
        self.sent = []

    def set_rows(self, rows):
        """Ignores the rows."""

    def connect(self, name):
        """Opens no connection."""

    def send(self, name, *parts):
        """Records each message as its receiver decodes it."""
        for message in parts:
            self.sent.append((name, messages.decode(messages.encode(message))))
        return True


@when(
    "one entry has marked a request and sends heartbeats for {seconds:d} "
    "seconds"
)
def step_marked(context, seconds):
    context.mark = StrikeMark(fingerprint=7, upstream=3, remaining_s=60)
    context.now_s = 0.0
    own = context.entry_table.entries[0]
    membership = Membership(own=own, silence_limit_s=SILENCE_LIMIT_S)
    membership.replace_table(table=context.entry_table, now_s=0.0)
    context.peers = RecordingPeers()
    load = ServiceLoad("matching", 3, 3, 0)
    heartbeats = Heartbeats(
        own=own,
        membership=membership,
        configuration=ConfigurationState(),
        peers=context.peers,
        clock=lambda: context.now_s,
        own_detail=lambda: StatusDetail((load,), (), (context.mark,)),
        piggybacked_messages=lambda name: (),
        interval_ms=int(INTERVAL_S * 1000),
        silence_limit_ms=int(SILENCE_LIMIT_S * 1000),
    )
    heartbeats.update_receivers()
    for _ in range(int(seconds / INTERVAL_S)):
        context.now_s += INTERVAL_S
        heartbeats.send_round()


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
    """An entry with real sockets and heartbeats only."""

    def __init__(self, *, own, table):
        """Creates the parts; `start` opens the sockets."""
        self.own = own
        self.membership = Membership(own=own, silence_limit_s=SILENCE_LIMIT_S)
        self.membership.replace_table(table=table, now_s=time.monotonic())
        self.configuration = ConfigurationState()
        self.configuration.apply_if_newer(
            StoredConfiguration(1, "id", "x", "", "")
        )
        self.peers = Peers(
            context=zmq.Context.instance(),
            name=own.name,
            incarnation=7,
            peer_address=own.peer_address,
            on_message=self.on_message,
        )
        self.heartbeats = Heartbeats(
            own=own,
            membership=self.membership,
            configuration=self.configuration,
            peers=self.peers,
            clock=time.monotonic,
            own_detail=StatusDetail,
            piggybacked_messages=lambda name: (),
            interval_ms=50,
            silence_limit_ms=1500,
        )

    def start(self):
        """Opens the sockets and starts to send heartbeats."""
        self.peers.start()
        self.heartbeats.update_receivers()
        self.heartbeats.start()

    def stop(self):
        """Stops the heartbeats and closes the sockets."""
        self.heartbeats.stop()
        self.peers.stop()

    def on_message(self, name, incarnation, message):
        """Passes a received heartbeat on."""
        self.heartbeats.receive(
            name=name, incarnation=incarnation, heartbeat=message
        )


def _free_port():
    return int(free_address().rpartition(":")[2])


@given("two entries with real sockets")
def step_two(context):
    rows = (row("p", port=_free_port()), row("q", port=_free_port()))
    context.entry_table = EntryTable(1, rows)


@when("they hear each other within {seconds:d} seconds and one stops")
def step_exchange_and_stop(context, seconds):
    asyncio.run(exchange_until_stop(context, seconds, wait_s=0.3))


@when(
    "they hear each other within {seconds:d} seconds and one stops this moment"
)
def step_exchange_and_stop_at_once(context, seconds):
    asyncio.run(exchange_until_stop(context, seconds, wait_s=0.0))


async def exchange_until_stop(context, seconds, *, wait_s):
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
        if len(first.membership.live_entries(now_s=now_s)) < 2:
            continue
        if len(second.membership.live_entries(now_s=now_s)) == 2:
            break
    context.live_counts = (
        len(first.membership.live_entries(now_s=now_s)),
        len(second.membership.live_entries(now_s=now_s)),
    )
    second.stop()
    if wait_s:
        await asyncio.sleep(wait_s)
    before = first.peers.counts.dropped_messages
    start_s = time.monotonic()
    for _ in range(2000):
        first.peers.send("q", Heartbeat(1, 1, 1))
    context.sends_took_s = time.monotonic() - start_s
    context.dropped = first.peers.counts.dropped_messages - before
    first.stop()
    assert context.live_counts == (2, 2), context.live_counts


@then(
    "{count:d} sends to it take less than {seconds:d} second and are counted "
    "as dropped"
)
def step_dropped(context, count, seconds):
    assert context.sends_took_s < seconds, context.sends_took_s
    assert context.dropped == count, context.dropped


@then("the sends to it take less than {seconds:d} second")
def step_not_stalled(context, seconds):
    assert context.sends_took_s < seconds, context.sends_took_s


@then('these frames are refused as "{kind}": empty, unknown tag, cut short')
def step_frames(context, kind):
    complete = messages.encode(Heartbeat(1, 1, 1))
    for frame in (b"", b"\xff" + complete[1:], complete[:-1]):
        try:
            messages.decode(frame)
        except AlmondstairError as error:
            assert error.kind == kind, error
            continue
        raise AssertionError(f"{frame!r} was accepted")
