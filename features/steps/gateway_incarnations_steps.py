"""Steps for restarted upstreams and registrations of other writers."""

import base64
import contextlib
import json
from unittest import mock

from behave import given
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies

from almondstair import log
from almondstair.addresses import address_problem
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.known_places import object_hash
from almondstair.core.revisions import Revision
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.sources import Batch
from almondstair.gateway.store_sync import StoreSync
from almondstair.platform import documents
from almondstair.platform import kv
from almondstair.platform.kv import Item
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts

_PREFIX = documents.UPSTREAM_PREFIX
_CONFIGURATION = {
    "version": "00000002",
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "listeners": [],
    "clusters": [{"name": "s", "coldStartS": 3.0, "coldPerS": 5.0}],
}
_COLD_S = 3.0


def _registration(born, state="ready"):
    return {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftS": 0,
        "seq": 7,
        "born": born,
    }


def _item(name, value, revision):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Item(_PREFIX + name, data, Revision(0, revision))


def _apply_items(context, items, *, listing=False):
    """Makes the follower apply a batch of items from the store."""
    context.revision += 10
    batch = Batch(
        items=items,
        listing=listing,
        revision=Revision(0, context.revision),
        age_s=0.0,
        from_store=True,
    )
    context.follower._apply_batch(batch, fresh=True)


@given(
    'an entry that follows the store, with upstream "{name}" born at {born:d}'
)
def step_entry(context, name, born):
    context.revision = 100
    context.pool = mock.Mock(wraps=ConnectionPool(id_header=b"x-id"))
    context.fleet = Fleet(
        own_name="e1", own_region="east", zones={"a1": "east"}
    )
    context.follower = StoreSync(
        client=mock.Mock(),
        fleet=context.fleet,
        pool=context.pool,
        own_name="e1",
        own_zone="a1",
        seeds=[],
    )
    configuration = Item(
        documents.CONFIGURATION_KEY,
        json.dumps(_CONFIGURATION).encode(),
        Revision(0, 50),
    )
    first = _item(name, _registration(born), 101)
    _apply_items(context, [configuration, first], listing=True)
    [context.upstream] = context.fleet.eligible_upstreams("s")


@given('it was slow, failed, was left alone, knew object "{key}" and drains')
def step_had(context, key):
    upstream = context.upstream
    now = now_s()
    upstream.record_run(run_s=3.0, expected_s=0.1, now_s=now)
    upstream.record_response(good=False, now_s=now)
    upstream.record_unreachable()
    context.fleet.peer_loads.update({upstream.name_hash: 9}, own={})
    context.locations = CachedLocations()
    context.object = object_hash(service="s", key=key)
    context.locations.record_sent(context.object, upstream.name_hash, now_s=now)
    draining = _registration(upstream.record.started_ms, "draining")
    _apply_items(context, [_item("i-1", draining, 111)])
    assert not context.fleet.eligible_upstreams("s")


@when('a registration of "{name}" born at {born:d} comes')
def step_comes(context, name, born):
    _apply_items(
        context, [_item(name, _registration(born), context.revision + 1)]
    )


@when('a listing has "{name}" born at {born:d}')
def step_listing(context, name, born):
    _apply_items(context, [_item(name, _registration(born), 99)], listing=True)


@when('one answer has "{name}" born at {first:d}, then born at {second:d}')
def step_both(context, name, first, second):
    items = []
    for born in (first, second):
        items.append(_item(name, _registration(born), 105 + len(items)))
    _apply_items(context, items)


def _remove(context, name):
    _apply_items(
        context, [Item(_PREFIX + name, None, Revision(0, context.revision + 1))]
    )


@when('"{name}" is removed, and its registration born at {born:d} comes late')
@when('"{name}" is removed, and its registration born at {born:d} comes')
def step_removed(context, name, born):
    _remove(context, name)
    step_comes(context, name, born)


@when(
    '"{name}" drains, is removed, and its registration born at {born:d} comes'
)
def step_drained(context, name, born):
    draining = _registration(2000, "draining")
    _apply_items(context, [_item(name, draining, context.revision + 1)])
    _remove(context, name)
    step_comes(context, name, born)


@when("a removal of an older revision than its registration comes")
def step_old_removal(context):
    _apply_items(context, [Item(_PREFIX + "i-1", None, Revision(0, 100))])


@when('the store is away, and its listing then has "{name}" born at {born:d}')
def step_away(context, name, born):
    context.fleet.record_store_failure(now_s=now_s())
    step_listing(context, name, born)


@when('"{name}" is found replaced, and its registration born at {born:d} comes')
def step_found_replaced(context, name, born):
    context.fleet.record_misdirected(context.upstream.record, now_s=now_s())
    step_comes(context, name, born)


@then('"{name}" is born at {born:d}')
def step_born(context, name, born):
    [state] = context.fleet.eligible_upstreams("s")
    assert state.record.upstream_id == name, state.record
    assert state.record.started_ms == born, state.record


@when('"{name}" says that it is cold for {left_s:d} s')
def step_says_cold(context, name, left_s):
    cold = _registration(context.upstream.record.started_ms)
    cold["coldLeftS"] = left_s
    context.cold_item = _item(name, cold, context.revision + 1)
    _apply_items(context, [context.cold_item])


@when('that is over, and "{name}" says that it is not cold')
def step_says_warm(context, name):
    [state] = context.fleet.eligible_upstreams("s")
    assert state.is_cold(now_s=now_s())
    state.cold_until_s = now_s()
    step_comes(context, name, state.record.started_ms)


@when('a listing has "{name}" as it was when it was cold')
def step_listed_cold(context, name):
    del name
    _apply_items(context, [context.cold_item], listing=True)


@then('"{name}" is cold')
def step_cold(context, name):
    [state] = context.fleet.eligible_upstreams("s")
    assert state.is_cold(now_s=now_s()), name


@then('"{name}" is not cold')
def step_not_cold(context, name):
    [state] = context.fleet.eligible_upstreams("s")
    assert not state.is_cold(now_s=now_s()), name


@then('"{name}" is not there')
def step_not_there(context, name):
    assert not list(context.fleet.upstreams())


@then('"{name}" is draining')
def step_draining(context, name):
    [state] = context.fleet.upstreams()
    assert state.record.draining, state.record


@then('"{name}" gets new work, is cold, and nothing else is known of it')
def step_anew(context, name):
    [state] = context.fleet.eligible_upstreams("s")
    now = now_s()
    assert state.record.upstream_id == name
    assert state.is_cold(now_s=now + _COLD_S)
    assert not state.is_paused()
    assert state.failure_share(now_s=now) == 0
    assert state.slowness(now_s=now) == 1
    assert state.estimated_load(now_s=now, peer_loads_complete=False) == 0
    known = context.locations.upstreams_for(context.object, now_s=now)
    assert known and state.name_hash not in known, known


@then("no kept connection of the earlier start is used")
def step_no_connection(context):
    before = context.upstream.incarnation
    closed = [
        call.kwargs["incarnation"]
        for call in context.pool.close_upstream.call_args_list
    ]
    assert before in closed, closed


@then("a word of another entry on the earlier start changes nothing")
def step_late_word(context):
    exchange = LoadExchange(
        fleet=context.fleet,
        pool=context.pool,
        suspects=mock.Mock(),
        cached_locations=CachedLocations(),
        shared_counts=make_shared_counts("e1", context.fleet),
        own_name="e1",
        own_zone="a1",
        **make_report_parts("e1", context.fleet),
    )
    before = incarnation_hash(context.upstream.incarnation)
    exchange._drop_replaced([before])
    context.fleet.peer_loads.update({before: 50}, own={})
    [state] = context.fleet.eligible_upstreams("s")
    assert state.peer_requests == 0


@when('"{name}" cannot be reached, and takes a connection {later_s:g} s later')
def step_unreachable(context, name, later_s):
    [state] = context.fleet.eligible_upstreams("s")
    # Its cold start after the registration is over.
    context.then_s = now_s() + 100
    assert not state.is_cold(now_s=context.then_s)
    state.record_unreachable()
    # It gets no work, cold or not, until it accepts a connection.
    assert state.is_paused()
    context.then_s += later_s
    context.fleet.record_reached(state, now_s=context.then_s)


@then('"{name}" is taken for cold for {span_s:g} s from then')
def step_taken_for_cold(context, name, span_s):
    [state] = context.fleet.eligible_upstreams("s")
    assert state.is_cold(now_s=context.then_s + span_s)
    assert not state.is_cold(now_s=context.then_s + span_s + 1)


# Registrations of other writers.


@contextlib.contextmanager
def _capture_bad_keys():
    reported_keys = []

    def record_event(event, **fields):
        if event is log.Event.REGISTRATION_BAD:
            reported_keys.append(fields["key"])

    with mock.patch.object(log, "event", record_event):
        yield reported_keys


def _apply_bad_items(context, items):
    """Applies bad registrations of a new id and of the known one, twice."""
    context.bad_keys = {item.key for item in items}
    with _capture_bad_keys() as reported_keys:
        _apply_items(context, items)
        _apply_items(context, items)
    context.reported_keys = reported_keys


@when("the store has a registration whose {field} is {value}")
def step_bad_field(context, field, value):
    record = _registration(3000)
    if value == "missing":
        del record[field]
    else:
        record[field] = json.loads(value)
    good = _item("i-2", _registration(1), 130)
    _apply_items(context, [good])
    items = [_item("i-1", record, 131), _item("i-9", record, 132)]
    _apply_bad_items(context, items)


@when("the store has {what} among the upstreams")
def step_bad_bytes(context, what):
    values = {
        "bytes that are no text": ("i-1", b"\xff\xfe\x00"),
        "text that is no JSON": ("i-1", b"{service"),
        "JSON that is no object": ("i-1", b"[1,2]"),
        "nothing": ("i-1", b""),
        "an empty key": ("", json.dumps(_registration(1)).encode()),
        "a key with a line break": (
            "i-5\r\nx: y",
            json.dumps(_registration(1)).encode(),
        ),
    }
    _apply_items(context, [_item("i-2", _registration(1), 130)])
    name, value = values[what]
    _apply_bad_items(context, [_item(name, value, 131)])


@then("the upstreams are as before, and one line tells of the key")
def step_as_before(context):
    found = {}
    for state in context.fleet.eligible_upstreams("s"):
        found[state.record.upstream_id] = state.record.started_ms
    assert found == {"i-1": 2000, "i-2": 1}, found
    assert sorted(context.reported_keys) == sorted(context.bad_keys), (
        context.reported_keys
    )


@when("an answer of the store has a value that is no base64 and a good one")
def step_not_encoded(context):
    good = json.dumps(_registration(1)).encode()
    answer = {
        "asOf": 9,
        "items": [
            {"key": _PREFIX + "i-1", "value": "abc", "revision": 1},
            {
                "key": _PREFIX + "i-2",
                "value": base64.b64encode(good).decode(),
                "revision": 2,
            },
        ],
    }
    context.page = kv._read_page(json.dumps(answer).encode())


@then("the good one is read, and the other names no upstream")
def step_good_read(context):
    read = []
    for item in context.page.items:
        read.append(documents.decode_upstream(item.key, item.value))
    assert read[0] is None
    assert read[1].upstream_id == "i-2"


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=3,
)
_ENTRY = {
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "region": "east",
    "availability_zone": "a1",
    "incarnation": "x",
}


@then(
    "{count:d} mutated registrations of upstreams and entries leave only "
    "usable ones"
)
def step_mutated(context, count):
    fields = [*_registration(1), *_ENTRY, "other"]

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(
        name=strategies.text(max_size=8),
        changes=strategies.dictionaries(
            strategies.sampled_from(fields), _JSON, min_size=1, max_size=3
        ),
        cut=strategies.integers(min_value=0, max_value=200),
        for_entry=strategies.booleans(),
    )
    def check_mutation(name, changes, cut, for_entry):
        base = _ENTRY if for_entry else _registration(1)
        prefix = documents.ENTRY_PREFIX if for_entry else _PREFIX
        value = json.dumps({**base, **changes}).encode("utf-8", "replace")
        item = Item(
            prefix + name, value[: 200 + cut], Revision(0, context.revision + 1)
        )
        _apply_items(context, [item])
        _check_usable(context)

    check_mutation()
    assert "i-1" in {
        state.record.upstream_id for state in context.fleet.upstreams()
    }


def _check_usable(context):
    for state in context.fleet.eligible_upstreams("s"):
        record = state.record
        assert address_problem(record.address) is None, record
        assert record.slots >= 1, record
        assert record.upstream_id.isascii(), record
        assert record.upstream_id.isprintable(), record
    for entry in context.fleet.entries.values():
        assert entry.name, entry
        assert address_problem(entry.callers) is None, entry
        assert address_problem(entry.peers) is None, entry


@then(
    'a route of kind "{good}" is idempotent, and one of kind "{other}" is not'
)
def step_kinds(context, good, other):
    found = {}
    for kind in (good, other):
        rule = {
            "name": kind,
            "routeType": kind,
            "match": {"prefix": f"/{kind}/"},
            "action": {"service": "s"},
        }
        listener = {"hostname": "h", "ruleSet": [rule]}
        text = json.dumps({**_CONFIGURATION, "listeners": [listener]})
        [route] = documents.decode_configuration(text.encode()).routes
        found[kind] = route.kind.idempotent
    assert found == {good: True, other: False}, found
