"""Steps for an entry that reads the store through a peer's mirror."""

import asyncio
import contextlib
import itertools
import json
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from almondstair.clock import now_s
from almondstair.core import zone_roles
from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.revisions import Revision
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.simple_http_client import SimpleHttpClient
from almondstair.gateway.sources import PeerSource
from almondstair.gateway.store_sync import StoreSync
from almondstair.platform import documents
from emulator.documents import configuration_text
from emulator.documents import route
from emulator.ports import free_address

_PEER = "127.0.0.1:1"
_CHUNK = b"piece" * 1000


def _put(context, version):
    context.revision += 1
    text = configuration_text(version, [route("/safe/")])
    context.mirror.put(
        documents.CONFIGURATION_KEY,
        text.encode(),
        Revision(0, context.revision),
    )


def _poll_peer(context, age_s):
    """Makes the entry poll once, with a peer whose data has the given age."""
    peer = context.peer

    async def fetch_page(path):
        query = dict(part.split("=") for part in path.split("?")[1].split("&"))
        return context.mirror.page(
            source=query["source"],
            after=int(query["after"]),
            revision=Revision(0, context.revision),
            age_s=age_s,
        )

    with (
        mock.patch.object(peer, "_fetch_page", fetch_page),
        mock.patch.object(context.follower, "_sources", lambda: [peer]),
    ):
        return asyncio.run(context.follower._poll())


@given("an entry at configuration {version:d} that follows a peer")
def step_entry(context, version):
    context.revision = 1
    context.mirror = Mirror()
    context.peer = PeerSource(address=_PEER)
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
    _put(context, version)
    assert _poll_peer(context, 0.0)
    assert context.fleet.ready
    assert context.fleet.table.version == version


@when(
    "the peer gets configuration {version:d}, and its word is {age_s:g} s old "
    "when it is asked"
)
def step_old_word(context, version, age_s):
    _put(context, version)
    context.asked_s = now_s()
    context.answered = _poll_peer(context, age_s)


@when("the peer's word is fresh when it is asked again")
def step_fresh_word(context):
    assert _poll_peer(context, 0.0)


@then("configuration {version:d} is in force")
def step_in_force(context, version):
    assert context.fleet.table.version == version, context.fleet.table.version


@then("the entry does not count as in touch with the store")
def step_not_in_touch(context):
    assert not context.answered
    assert context.follower.as_of_s <= context.asked_s


# Large configurations and slow answers.


@when(
    "the peer gets configuration {version:d} with {count:d} routes, and is "
    "asked"
)
def step_large(context, version, count):
    context.revision += 1
    routes = [route(f"/added{number}/") for number in range(count)]
    text = configuration_text(version, routes).encode()
    context.text_bytes = len(text)
    context.mirror.put(
        documents.CONFIGURATION_KEY, text, Revision(0, context.revision)
    )
    page = context.mirror.page(
        source="", after=0, revision=Revision(0, context.revision), age_s=0.0
    )
    context.page_bytes = len(msgspec.msgpack.encode(page))
    assert _poll_peer(context, 0.0)


@then("the peer told it in less than a tenth of its size")
def step_few_bytes(context):
    assert context.page_bytes * 10 < context.text_bytes, (
        context.page_bytes,
        context.text_bytes,
    )


@given(
    "a server that sends its answer in {pieces:d} pieces, {pause_s:g} s apart"
)
def step_slow_server(context, pieces, pause_s):
    context.pieces = pieces
    context.pause_s = pause_s


async def _call_slow_server(pieces, pause_s, timeout_s):
    async def serve_slowly(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        size = pieces * len(_CHUNK)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        with contextlib.suppress(asyncio.CancelledError):
            for _ in range(pieces):
                writer.write(_CHUNK)
                await asyncio.sleep(pause_s)
        writer.close()

    address = free_address()
    ip, _, port = address.rpartition(":")
    server = await asyncio.start_server(serve_slowly, ip, int(port))
    client = SimpleHttpClient(address=address)
    began_s = now_s()
    try:
        response = await client.call(
            method="GET", path="/", timeout_s=timeout_s
        )
        body = response.body
    except (OSError, TimeoutError):
        body = b""
    took_s = now_s() - began_s
    client.close()
    server.close()
    return body, took_s


@when("it is called with a time of {timeout_s:g} s")
def step_call(context, timeout_s):
    context.body, context.took_s = asyncio.run(
        _call_slow_server(context.pieces, context.pause_s, timeout_s)
    )


@then("the call brings the whole")
def step_whole(context):
    assert context.body == _CHUNK * context.pieces, len(context.body)


@then("the call is given up in {limit_s:g} s")
def step_given_up(context, limit_s):
    assert not context.body
    assert limit_s <= context.took_s < limit_s + 0.6, context.took_s


# Roles.


@given(
    "entries of a zone with links of {first:d}, {second:d} and {third:d} Mbit/s"
)
def step_links(context, first, second, third):
    context.links = (first, second, third)


@then("the one with {most:d} Mbit/s works for the zone, whatever the names")
def step_works(context, most):
    for names in itertools.permutations("abc"):
        entries = []
        for name, link_mbps in zip(names, context.links, strict=True):
            entries.append(
                Entry(
                    name, "", "", "east", "a1", cores=2.0, link_mbps=link_mbps
                )
            )
        first = zone_roles.ranked_entries(entries, zone="a1")[0]
        assert first.link_mbps == most, (names, first)


# State that the entry already has.


@given(
    "an upstream that registered with {cold_s:g} s of coldness, which are over"
)
def step_warm(context, cold_s):
    context.revision += 1
    record = {
        "service": "service",
        "address": "127.0.0.1:2",
        "zone": "a1",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldLeftS": cold_s,
        "seq": 1,
    }
    context.record = record
    context.mirror.put(
        documents.UPSTREAM_PREFIX + "i-1",
        json.dumps(record).encode(),
        Revision(0, context.revision),
    )
    assert _poll_peer(context, 0.0)
    [context.upstream] = context.fleet.upstreams()
    assert context.upstream.is_cold(now_s=now_s())
    context.upstream.cold_until_s = now_s()


@when(
    "another peer is asked for the first time, and its word is {age_s:g} s old"
)
def step_another_peer(context, age_s):
    context.peer = PeerSource(address=_PEER)
    _poll_peer(context, age_s)


@then("the upstream is not cold")
def step_not_cold(context):
    assert not context.upstream.is_cold(now_s=now_s())


@when(
    "the entry has heard of revision {heard:d}, and a listing has the "
    "upstream's leaving at revision {written:d}"
)
def step_missed(context, heard, written):
    context.revision = heard
    assert _poll_peer(context, 0.0)
    assert context.follower.revision == Revision(0, heard)
    record = dict(context.record, state="draining", coldLeftS=0.0)
    context.mirror.put(
        documents.UPSTREAM_PREFIX + "i-1",
        json.dumps(record).encode(),
        Revision(0, written),
    )
    context.peer = PeerSource(address=_PEER)
    assert _poll_peer(context, 0.0)


@then("the upstream is leaving")
def step_leaving(context):
    assert context.upstream.record.draining
