"""Steps for decoders of what other processes write, on generated values."""

import ipaddress
import json
import math
from pathlib import Path
import tempfile
from typing import Any
from unittest import mock

from behave import then
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies
import msgspec

from almondstair.addresses import address_problem
from almondstair.clock import now_s
from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import RoutingTable
from almondstair.core.upstream_state import incarnation_hash
from almondstair.decoding import decode
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway import mirror
from almondstair.gateway import relay_messages
from almondstair.gateway import sources
from almondstair.gateway.long_strings import LongStringCutter
from almondstair.platform import boot
from almondstair.platform import documents
from almondstair.platform import headers
from almondstair.platform import kv
from almondstair.platform import statements
from emulator.documents import BOUNDS
from emulator.documents import LISTENERS
from emulator.documents import GatewayDescription
from emulator.documents import settings_text
from emulator.foreign_values import ADDRESSES
from features.steps.foreign_values_steps import make_exchange
from features.support import foreign_strategies

_HASH_RANGE = 1 << 64
_UPSTREAM = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "a1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftS": 0.5,
    "seq": 7,
    "born": 2000,
}
_ENTRY = {
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "region": "east",
    "availability_zone": "a1",
    "incarnation": "x",
    "cores": 2.0,
    "link_mbps": 100.0,
    "relays": "127.0.0.1:3",
}
_CONFIGURATION = {
    "version": "00000002",
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutS": 3.0,
        "idleTimeoutS": 15.0,
    },
    "listeners": [
        {
            "hostname": "h",
            "ruleSet": [
                {
                    "name": "r",
                    "routeType": "safe",
                    "match": {"prefix": "/r/"},
                    "priority": 1,
                    "action": {
                        "timeoutS": 2.0,
                        "attempts": 2,
                        "trafficSplit": [{"service": "s", "weight": 1.0}],
                    },
                }
            ],
        }
    ],
    "clusters": [{"name": "s", "coldStartS": 3.0, "coldPerS": 5.0}],
    "tenants": [
        {"name": "t", "apiKeys": ["secret-1"], "priority": 0, "ratePerS": 2.0}
    ],
}
_STORE_ITEM = {"key": "servers/a", "revision": 3, "value": "YQ=="}
_STORE_PAGE = {
    "asOf": 9,
    "hasMore": False,
    "items": [_STORE_ITEM, _STORE_ITEM],
    "events": [{"key": "b", "revision": 4, "removed": True}],
}
_MIRROR_PAGE = ["m", 3, 9, 0.5, True, [["a", b"x", 3, False, 0]], 0]
_DATAGRAMS = (
    [0, "e2", {1: 2}, [3], [[4, 5]]],
    [1, "e2", "a2", {1: 2}, [3], [[4, 5]]],
    [2, "e2", True, {1: 2}, [3], [[4, 5]]],
    [3, "e2", "a2", msgspec.to_builtins(EMPTY_PLAN)],
    [4, "e2", []],
    [5, "e2", 1, 2, 300],
    [6, "e2", 1, [2]],
)
_RELAYED = relay_messages.encode_request(
    relay_messages.RelayedRequest("e2", "s", "t", 5, ("u1",), 1, 0.5)
)
_OTHER_ENTRY = Entry(
    name="e2",
    callers="127.0.0.1:1",
    peers="127.0.0.1:2",
    region="east",
    availability_zone="a1",
)
_RELAY_HEADERS = sorted(relay_messages.HEADERS)


def _check_upstream(value):
    record = documents.decode_upstream("servers/i-1", value)
    if record is None:
        return
    assert address_problem(record.address) is None, record
    assert 0 <= incarnation_hash(record.incarnation) < _HASH_RANGE
    _check_bearable(record._asdict())


def _check_entry(value):
    record = documents.decode_entry(value)
    if record is None:
        return
    assert documents.decode_entry(documents.encode_entry(record)) == record
    _check_bearable(msgspec.to_builtins(record))


def _check_bearable(value: Any):
    """Checks that a value can be logged and sent to other entries."""
    json.dumps(value, allow_nan=False).encode()
    msgspec.msgpack.encode(value)


def _check_configuration(value):
    try:
        configuration = documents.decode_configuration(value)
        text = documents.without_keys(value)
    except AlmondstairError as error:
        assert error.kind is ErrorKind.CONFIGURATION_INVALID, error
        return
    table = RoutingTable(configuration=configuration)
    table.match(host="h", path="/r/x")
    for organisation in configuration.organisations:
        _check_bearable([organisation.priority, organisation.rate_per_s])
        assert 0 <= organisation.name_hash < _HASH_RANGE
    for route in configuration.routes:
        _check_bearable(route._asdict())
        assert math.isfinite(1000 * (1e9 + route.timeout_s)), route
        for organisation in configuration.organisations:
            table.route_for(route, organisation=organisation)
    _check_bearable(configuration.version)
    assert b"secret" not in text, text


def _check_store_page(value):
    try:
        page = kv._read_page(value)
    except AlmondstairError as error:
        assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE, error
        return
    _check_bearable(page.revision)
    for item in page.items:
        item.key.encode()
        made = mirror._make_item(item.key, item.value or b"", item.revision)
        msgspec.msgpack.encode(made)
        assert made.decompressed() == (item.value or b"")


def _check_lease(value):
    try:
        lease = decode(
            kv._LEASE.decode, value, kind=ErrorKind.PLATFORM_UNAVAILABLE
        )
    except AlmondstairError:
        return
    _check_bearable(lease.lease)


def _check_epoch(value):
    _check_bearable(kv._read_epoch(_head(value), default=3))


def _head(value):
    return kv.ResponseHead(status=200, headers=[(kv._EPOCH_HEADER, value)])


def _check_peer_page(value):
    try:
        page = decode(
            sources._PAGE.decode, value, kind=ErrorKind.PLATFORM_UNAVAILABLE
        )
        sources.PeerSource(address="127.0.0.1:1")._decode_items(page)
    except AlmondstairError as error:
        assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE, error


def _check_datagrams(values):
    exchange = make_exchange()
    exchange._transport = mock.Mock()
    exchange._fleet.apply_entry(_OTHER_ENTRY)
    for value in values:
        exchange.datagram_received(value, ("127.0.0.1", 1))
        exchange._tick(now_s())


def _check_relayed(found):
    try:
        relayed = relay_messages.decode_request(found)
    except AlmondstairError as error:
        assert error.kind is ErrorKind.BAD_REQUEST, error
        return
    again = relay_messages.encode_request(relayed)
    decoded = relay_messages.decode_request(again)
    assert decoded.fingerprint == relayed.fingerprint, relayed


def _check_relay_response(found):
    error = relay_messages.decode_error(found)
    if error is not None:
        _check_bearable(error.problem())
    try:
        names = relay_messages.decode_leaving(found)
        names += [name for name, _ in relay_messages.decode_rests(found)]
    except AlmondstairError as invalid:
        assert invalid.kind is ErrorKind.BAD_REQUEST, invalid
        return
    _check_bearable(names)


def _check_statement(found):
    statement = statements.decode_statement(status=503, headers=found)
    _check_bearable([statement.rest_s, statement.rate_per_s])


def _check_deadline(value):
    seconds = headers.parse_milliseconds(value)
    assert seconds is None or 0 <= seconds < math.inf, seconds


def _settings_base():
    addresses = {name: "127.0.0.1:1" for name in LISTENERS}
    return settings_text(
        GatewayDescription(
            name="g",
            zone="a1",
            addresses=addresses,
            store="127.0.0.1:2",
            zones={"a1": "east"},
            seed="",
            bounds=BOUNDS,
        )
    ).splitlines()


_SETTINGS_VALUES = strategies.sampled_from(
    ("9" * 5000, "nan", "inf", "-1", "[" * 5000, '"x"', "{}", "1979-05-27")
)


@strategies.composite
def _settings_files(draw):
    lines = _settings_base()
    for _ in range(draw(strategies.integers(0, 3))):
        place = draw(strategies.integers(0, len(lines) - 1))
        key, separator, _ = lines[place].partition(" = ")
        if separator:
            lines[place] = f"{key} = {draw(_SETTINGS_VALUES)}"
    return "\n".join(lines).encode()


def _check_settings(value):
    with tempfile.NamedTemporaryFile(suffix=".toml") as file:
        Path(file.name).write_bytes(value)
        try:
            found = boot.load(file.name)
        except AlmondstairError as error:
            assert error.kind is ErrorKind.SETTINGS_INVALID, error
            return
    assert math.isfinite(found.bounds.stop_s), found


def _check_address(text):
    if address_problem(text) is not None:
        return
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    assert 0 < int(port) < 1 << 16, text


def _check_cut(drawn_values):
    value, limit_bytes, sizes_bytes = drawn_values
    data = json.dumps(value, ensure_ascii=sizes_bytes[0] % 2 == 0).encode()
    cutter = LongStringCutter(limit_bytes=limit_bytes)
    passed = b""
    place = 0
    while place < len(data):
        for size_bytes in sizes_bytes:
            passed += cutter.feed(data[place : place + size_bytes])
            place += size_bytes
    # A character of several bytes may be cut in the middle.
    cut = json.loads(passed.decode("utf-8", "ignore"))
    whole = json.loads(passed.decode("utf-8", "ignore")) == value
    assert whole or len(passed) < len(data), (passed, data)
    for text, original in zip(_strings(cut), _strings(value), strict=True):
        assert original.startswith(text), (text, original)
        if len(json.dumps(original)) - 2 <= limit_bytes:
            assert text == original, (text, original)


def _strings(value):
    """Returns all values of a document that are strings, in order."""
    if isinstance(value, str):
        return [value]
    found = []
    if isinstance(value, list):
        for inner in value:
            found += _strings(inner)
    return found


_CUT_TEXTS = strategies.tuples(
    strategies.recursive(
        strategies.integers() | strategies.text(),
        lambda inner: strategies.lists(inner, max_size=4),
    ),
    strategies.integers(0, 30),
    strategies.lists(strategies.integers(1, 9), min_size=1, max_size=4),
)
_ADDRESSES = (
    strategies.text(max_size=50)
    | strategies.sampled_from(sorted(ADDRESSES.values()))
    | strategies.tuples(
        strategies.sampled_from(("10.0.0.1", "::1", "[::1]", "1", "")),
        strategies.integers() | strategies.text(max_size=6),
    ).map(lambda parts: f"{parts[0]}:{parts[1]}")
)
_HEAD_NAMES = sorted(headers.STATEMENTS)
_DECODERS = {
    "registrations of upstreams": (
        foreign_strategies.json_values(_UPSTREAM),
        _check_upstream,
    ),
    "registrations of entries": (
        foreign_strategies.json_values(_ENTRY),
        _check_entry,
    ),
    "configurations": (
        foreign_strategies.json_values(_CONFIGURATION),
        _check_configuration,
    ),
    "pages of the store": (
        foreign_strategies.json_values(_STORE_PAGE),
        _check_store_page,
    ),
    "leases of the store": (
        foreign_strategies.json_values({"lease": 5}),
        _check_lease,
    ),
    "epochs of the store": (foreign_strategies.header_values(), _check_epoch),
    "pages of other entries": (
        foreign_strategies.packed_values(_MIRROR_PAGE),
        _check_peer_page,
    ),
    "datagrams of other entries": (
        strategies.lists(
            foreign_strategies.packed_values(*_DATAGRAMS), max_size=4
        ),
        _check_datagrams,
    ),
    "relayed requests": (
        foreign_strategies.headers(_RELAY_HEADERS, _RELAYED),
        _check_relayed,
    ),
    "responses of other entries": (
        foreign_strategies.headers([*_RELAY_HEADERS, b"retry-after"]),
        _check_relay_response,
    ),
    "heads of upstreams": (
        foreign_strategies.headers(_HEAD_NAMES),
        _check_statement,
    ),
    "deadlines of callers": (
        foreign_strategies.header_values(),
        _check_deadline,
    ),
    "settings files": (
        _settings_files() | strategies.binary(max_size=200),
        _check_settings,
    ),
    "addresses": (_ADDRESSES, _check_address),
    "long strings of a page": (_CUT_TEXTS, _check_cut),
}


@then("{count:d} generated values for {decoder} end in a value or in one error")
def step_generated(context, count, decoder):
    strategy, check = _DECODERS[decoder]

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(strategy)
    def check_value(value):
        check(value)

    check_value()
