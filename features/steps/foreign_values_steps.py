"""Steps for values of other writers that a gateway cannot use."""

import asyncio
import contextlib
import json
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from almondstair import log
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.revisions import Revision
from almondstair.errors import AlmondstairError
from almondstair.gateway import peer_messages
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.skipped_keys import SkipCause
from almondstair.gateway.sources import Batch
from almondstair.gateway.sources import StoreSource
from almondstair.gateway.store_sync import StoreSync
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.platform import documents
from almondstair.platform import kv
from almondstair.platform.kv import Item
from emulator.documents import configuration_text
from emulator.documents import route
from emulator.foreign_values import FORMS
from emulator.foreign_values import FRAGMENTS
from emulator.foreign_values import foreign_value
from emulator.foreign_values import with_field
from features.support import connection_trace
from features.support import harness
from features.support.gateway_world import GatewayWorld
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts

_MANY_DIGITS = "9" * 5000
_BATCHES = 20
# Longer than the time between two polls of the store.
_POLLED_S = 1.0
_TOO_LONG = log.Event.STORE_PAGE_TOO_LONG.value.number
_KEYS = ("secret-1", "secret-2", "secret-3")
# What is patched so that applying a change raises, and its key.
_RAISING = {
    "an upstream": (Fleet, "apply_upstream", "servers/i-9"),
    "an entry": (Fleet, "apply_entry", "almondstair/entries/e9"),
    "an evacuation": (Fleet, "start_evacuation", "op/evacuate/a9"),
    "a removal": (Fleet, "drop_upstream", "servers/i-9"),
}


def _registration(state="ready"):
    return {
        "service": "service",
        "address": "127.0.0.1:9",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftS": 0,
        "seq": 7,
    }


def _entry():
    return {
        "callers": "127.0.0.1:1",
        "peers": "127.0.0.1:2",
        "region": "east",
        "availability_zone": "a1",
        "incarnation": "x",
    }


def _make_follower(context):
    context.revision = 1
    context.fleet = Fleet(
        own_name="e1", own_region="east", zones={"a1": "east"}
    )
    context.follower = StoreSync(
        client=mock.Mock(),
        fleet=context.fleet,
        pool=mock.Mock(),
        own_name="e1",
        own_zone="a1",
        seeds=[],
    )


def _poll(context, changes, *, listing=False):
    """Makes the follower poll a store once that has the changes."""
    context.revision += 1
    items = []
    for key, content in changes:
        value = content
        if isinstance(content, dict):
            value = json.dumps(content).encode()
        items.append(Item(key, value, Revision(0, context.revision)))

    async def fetch(*, after):
        context.asked_after = after.number
        return Batch(
            items=items,
            listing=listing,
            revision=Revision(0, context.revision),
            age_s=0.0,
            from_store=True,
        )

    source = mock.Mock(fetch=fetch)
    with mock.patch.object(context.follower, "_sources", lambda: [source]):
        assert asyncio.run(context.follower._poll())


def _configuration(version):
    text = configuration_text(version, [route("/safe/"), route("/added/")])
    return documents.CONFIGURATION_KEY, text.encode()


@given("an entry that follows the store, with two upstreams")
def step_follower(context):
    _make_follower(context)
    changes = [_configuration(2)]
    for name in ("i-1", "i-2"):
        changes.append((f"servers/{name}", _registration()))
    _poll(context, changes, listing=True)
    assert context.fleet.ready


def _poll_with(context, change):
    """Makes the follower poll the change before a configuration and a drain."""
    version = context.fleet.table.version + 2
    draining = ("servers/i-1", _registration("draining"))
    _poll(context, [change, _configuration(version), draining])
    context.version = version


@when(
    'a batch has a registration of form "{form}" before a configuration and a '
    "drain"
)
def step_batch(context, form):
    value = foreign_value(form, _registration(), "zone")
    _poll_with(context, ("servers/i-other", value))


@then("the configuration is in force and the upstream drains")
def step_applied(context):
    assert context.fleet.table.version == context.version
    draining = {}
    for state in context.fleet.upstreams():
        draining[state.record.upstream_id] = state.record.draining
    assert draining["i-1"] and not draining["i-2"], draining
    assert "i-9" not in draining


@then("the next batch begins after that revision")
def step_next(context):
    before = context.revision
    _poll(context, [])
    assert context.asked_after == before, (context.asked_after, before)


@contextlib.contextmanager
def _recorded_events():
    events = []

    def record_event(event, **fields):
        events.append((event, fields))

    with mock.patch.object(log, "event", record_event):
        yield events


@when("applying {change} raises, in a batch before a configuration and a drain")
def step_raises(context, change):
    owner, method, key = _RAISING[change]
    context.raising_key = key
    original = getattr(owner, method)

    def fail(self, *arguments, **options):
        name = key.rpartition("/")[2]
        for argument in arguments:
            shown = getattr(argument, "upstream_id", None)
            shown = shown or getattr(argument, "name", argument)
            if shown == name:
                raise TypeError("applied")
        return original(self, *arguments, **options)

    value = _entry() if "entries" in key else _registration()
    if change == "an evacuation":
        value = b"{}"
    if change == "a removal":
        value = None
    context.raising_value = value
    with (
        _recorded_events() as context.events,
        mock.patch.object(owner, method, fail),
    ):
        for _ in range(_BATCHES):
            _poll_with(context, (key, value))


@then("{change} is counted as failed, and logged once in 20 batches")
def step_counted(context, change):
    del change
    skipped = context.follower.skipped
    assert skipped.count(SkipCause.FAILED) == 1, skipped.causes
    assert skipped.latest(5) == [context.raising_key]
    lines = []
    for event, fields in context.events:
        if event is log.Event.STORE_CHANGE_FAILED:
            lines.append(fields["key"])
    assert lines == [context.raising_key], lines


@then("not any more once it can be applied")
def step_applied_again(context):
    _poll(context, [(context.raising_key, context.raising_value)])
    assert not context.follower.skipped.causes


@given("an entry that has just started")
def step_started(context):
    _make_follower(context)


@when(
    "its first listing has registrations of all forms, and a change that raises"
)
def step_first_listing(context):
    changes = []
    for number, form in enumerate(FORMS):
        value = foreign_value(form, _registration(), "zone")
        changes.append((f"servers/foreign-{number}", value))
        value = foreign_value(form, _entry(), "region")
        changes.append((f"almondstair/entries/foreign-{number}", value))
    changes.append(("op/evacuate/a9", b"{}"))
    context.valid = [_configuration(2), ("servers/i-1", _registration())]
    changes += context.valid
    with mock.patch.object(Fleet, "start_evacuation", side_effect=TypeError):
        _poll(context, changes, listing=True)


@then("it is ready, and knows the valid upstreams")
def step_ready(context):
    assert context.fleet.ready
    names = {state.record.upstream_id for state in context.fleet.upstreams()}
    assert "i-1" in names, names
    skipped = context.follower.skipped
    assert skipped.count(SkipCause.FAILED) == 1, skipped.causes
    assert skipped.count(SkipCause.UNREADABLE) >= len(FORMS), skipped.causes


@then("a listing without those keys leaves none counted as skipped")
def step_none_skipped(context):
    _poll(context, context.valid, listing=True)
    assert not context.follower.skipped.causes


# Configurations.


@when('a configuration has an unknown field of form "{form}"')
def step_unknown_field(context, form):
    _, value = _configuration(context.fleet.table.version + 2)
    context.value = with_field(json.loads(value), "other", FRAGMENTS[form])
    context.version = context.fleet.table.version + 2
    _poll(context, [(documents.CONFIGURATION_KEY, context.value)])


@then("it is {state}, and the history and other entries agree")
def step_agree(context, state):
    in_force = context.fleet.table.version == context.version
    assert in_force == (state == "in force"), context.fleet.table.version
    newest = context.follower.history.newest_first()[0]
    assert (newest.version == context.version) == in_force
    page = context.follower.mirror_page(source="", after=0)
    values = {item.key: item.decompressed() for item in page.items}
    mirrored = values[documents.CONFIGURATION_KEY]
    assert (mirrored == context.value) == in_force


def _tenants(tenants):
    first, second, third = (json.dumps(key) for key in _KEYS)
    texts = {
        "two tenants": f'"tenants":[{{"name":"a","apiKeys":[{first}]}},'
        f'{{"name":"b","apiKeys":[{second},{third}]}}]',
        "tenants given twice": f'"tenants":[{{"name":"a","apiKeys":[{first}]}}]'
        ',"tenants":[]',
        "keys given twice": f'"tenants":[{{"name":"a","apiKeys":[{first}],'
        f'"apiKeys":[{second}]}}]',
        "an escaped field name": '"\\u0074enants":[{"name":"a",'
        f'"\\u0061piKeys":[{first}]}}]',
    }
    return texts[tenants]


@then("the text without keys of a configuration with {tenants} has no key")
def step_no_key(context, tenants):
    _, value = _configuration(2)
    document = json.loads(value)
    document.pop("tenants", None)
    text = json.dumps(document)[:-1] + "," + _tenants(tenants) + "}"
    shown = documents.without_keys(text.encode())
    assert b"secret" not in shown, shown
    assert documents.decode_configuration(shown).version == 2


# Pages of the store.


@when("a page of the store has an item whose {field} is {value}")
def step_page(context, field, value):
    items = ['{"key":"a","revision":1,"value":"YQ=="}']
    fields = {"key": '"b"', "revision": "2", "value": '"Yg=="'} | {field: value}
    pairs = [f'"{name}":{text}' for name, text in fields.items()]
    items.append("{" + ",".join(pairs) + "}")
    items.append('{"key":"c","revision":3,"value":"Yw=="}')
    body = '{"asOf":9,"items":[' + ",".join(items) + "]}"
    context.page = kv._read_page(body.encode())


@then("the other items of the page are read, and that one is counted")
def step_others_read(context):
    found = {item.key: item.value for item in context.page.items}
    assert found == {"a": b"a", "c": b"c"}, found
    assert len(context.page.unreadable) == 1


@when("a listing has a page without a readable item before the last page")
def step_unreadable_page(context):
    page = kv._read_page(
        b'{"asOf":9,"hasMore":true,"items":[{"key":7,"value":""}]}'
    )
    client = mock.Mock(list_page=mock.AsyncMock(return_value=page))
    try:
        asyncio.run(StoreSource(client=client).fetch(after=Revision()))
        context.listing_failed = False
    except AlmondstairError:
        context.listing_failed = True


@then("the listing fails")
def step_listing_fails(context):
    assert context.listing_failed


# Datagrams and connections.


def make_exchange():
    """Returns the load exchange of an entry without requests."""
    fleet = Fleet(own_name="e1", own_region="east", zones={"a1": "east"})
    return LoadExchange(
        fleet=fleet,
        pool=mock.Mock(),
        suspects=CrashSuspects(),
        cached_locations=CachedLocations(),
        shared_counts=make_shared_counts("e1", fleet),
        own_name="e1",
        own_zone="a1",
        **make_report_parts("e1", fleet),
    )


@given("an entry that gets datagrams of others")
def step_exchange(context):
    context.exchange = make_exchange()


@when(
    "a datagram cannot be decoded, one cannot be applied, and a valid one "
    "follows"
)
def step_datagrams(context):
    exchange = context.exchange
    message = peer_messages.OwnLoads("e2", {1: 2}, [], [])
    data = msgspec.msgpack.encode(message)
    with _recorded_events() as context.events:
        exchange.datagram_received(b"\x96\x05" + b"\x91" * 60_000, ("", 0))
        with mock.patch.object(
            exchange, "_drop_replaced", side_effect=TypeError
        ):
            exchange.datagram_received(data, ("", 0))
        exchange.datagram_received(data, ("", 0))


@then("the valid one is applied, and one line tells of the others")
def step_valid_applied(context):
    assert context.exchange._member_reports["e2"].loads == {1: 2}
    names = [event for event, _ in context.events]
    assert names == [log.Event.PEER_MESSAGE_BAD], names


@then('a response with Keep-Alive "{value}" is read')
def step_keep_alive(context, value):
    value = value.replace("many digits", _MANY_DIGITS)

    async def exchange():
        connection = UpstreamConnection(address="a:1")
        connection.connection_made(connection_trace.ScriptedTransport([]))
        exchanging = asyncio.ensure_future(connection.exchange(head=b"GET /"))
        await connection_trace.settle()
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nKeep-Alive: %b\r\nContent-Length: 2\r\n\r\nok"
            % value.encode()
        )
        return await exchanging

    assert asyncio.run(exchange()).body == b"ok"


# Over processes.


@then('the page "{page}" with "{query}" answers {status:d}')
def step_query(context, page, query, status):
    query = query.replace("many digits", _MANY_DIGITS)
    query = query.replace("²", "%C2%B2")
    address = context.world.operator_address("g1")
    found = harness.get(address, f"{page}?{query}")
    assert found.status == status, found


@given("a gateway that follows a store")
def step_gateway(context):
    context.world = GatewayWorld(processes=context.processes)
    context.world.start_upstream("u1", slots=8)
    context.world.configure()
    context.world.start_gateway()
    context.world.until_served()


@when("another writer stores entries of all forms, and a route is added")
def step_store_forms(context):
    context.foreign = {}
    for number, form in enumerate(FORMS):
        value = foreign_value(form, _registration(), "state")
        context.foreign[f"servers/foreign-{number}"] = value
    context.world.operate(puts=context.foreign)
    time.sleep(_POLLED_S)
    context.world.configure([*context.world.routes, route("/added/")])


@when(
    "another writer stores {count:d} values of {size_bytes:d} bytes, and a "
    "route is added"
)
def step_long_values(context, count, size_bytes):
    for number in range(count):
        key = f"servers/foreign-{number}"
        context.world.operate(puts={key: b"x" * size_bytes})
    context.world.configure([*context.world.routes, route("/added/")])


@then("neither has used more than {limit_mb:d} MB")
def step_memory(context, limit_mb):
    for gateway in ("g1", "g2"):
        child = context.world.processes.children[gateway]
        most_bytes = child.resident_bytes(field="VmHWM")
        assert most_bytes < limit_mb * 10**6, (gateway, most_bytes)


@then("one line of each tells that a page was too long")
def step_too_long(context):
    for gateway in ("g1", "g2"):
        lines = context.world.log_events(gateway, _TOO_LONG)
        assert len(lines) == 1, (gateway, lines)


@then("the gateway serves the added route within {limit_s:d} s")
def step_added(context, limit_s):
    _until_served(context, "g1", limit_s)


@when("the operator writes a configuration that is not valid")
def step_invalid_configuration(context):
    context.world.operate(puts={documents.CONFIGURATION_KEY: FRAGMENTS["null"]})
    time.sleep(_POLLED_S)


@then("a second gateway that starts is ready and serves within {limit_s:d} s")
def step_second_serves(context, limit_s):
    # The only one of its zone, so that it reads the store itself.
    context.world.start_gateway("g2", "b1", ready=False)
    context.world.wait_ready("g2", limit_s=limit_s)
    assert context.world.send("GET", "/safe/x", gateway="g2").status == 200


@then("both apply the next valid configuration within {limit_s:d} s")
def step_next_valid(context, limit_s):
    context.world.configure([*context.world.routes, route("/added/")])
    for gateway in ("g1", "g2"):
        _until_served(context, gateway, limit_s)


@then("a gateway that starts now is ready and serves it within {limit_s:d} s")
def step_starts(context, limit_s):
    context.world.start_gateway("g2", ready=False)
    context.world.wait_ready("g2", limit_s=limit_s)
    _until_served(context, "g2", limit_s)


def _until_served(context, gateway, limit_s):
    harness.wait_until(
        lambda: (
            context.world.send("GET", "/added/x", gateway=gateway).status == 200
        ),
        limit_s=limit_s,
        what=f"an answer of {gateway} on the added route",
    )


@then("the metrics count the skipped keys, and each key has one log line")
def step_metrics(context):
    world = context.world
    address = world.operator_address("g1")
    text = harness.get(address, "/metrics").body.decode()
    line = 'almondstair_skipped_keys{cause="unreadable"} '
    [count] = [row for row in text.splitlines() if row.startswith(line)]
    status = harness.get(address, "/status").json()
    keys = [fields["key"] for fields in world.log_events("g1", 423)]
    assert len(keys) == len(set(keys)), keys
    assert float(count.removeprefix(line)) == len(keys) > 0, (count, keys)
    assert set(status["skipped_keys"]) <= set(keys), status["skipped_keys"]
