"""Steps for what upstreams say of themselves in responses."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.clock import now_s
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway.forwarded_call import AttemptVerdict
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.platform import headers as names
from almondstair.platform.statements import decode_statement
from features.support.sender_parts import make_recorder
from features.support.sender_parts import make_sender
from features.support.sender_parts import send

_STEP_S = 0.05
_LEAVING = (names.LEAVING, b"1")


def _headers(text):
    """Reads headers separated by commas; a semicolon is a comma in a value."""
    found = []
    for line in text.split(", "):
        name, _, value = line.partition(": ")
        found.append((name.lower().encode(), value.replace(";", ",").encode()))
    return found


@when("a response {status:d} has the headers {headers}")
def step_head(context, status, headers):
    context.statement = decode_statement(
        status=status, headers=_headers(headers)
    )


def _said(statement):
    said = []
    if statement.load is not None:
        said.append("load {} {} {}".format(*statement.load))
    if statement.cold_left_s is not None:
        said.append(f"cold {statement.cold_left_s:g}")
    if statement.rate_per_s is not None:
        said.append(f"limit {statement.rate_per_s:g}")
    if statement.is_leaving:
        said.append("leaving")
    if statement.rest_s:
        said.append(f"rest {statement.rest_s:g}")
    if statement.unreadable:
        said.append("unreadable")
    return ", ".join(said) or "nothing"


@then('it says "{text}"')
def step_says(context, text):
    assert _said(context.statement) == text, context.statement
    assert len(context.statement.unreadable) <= 1, context.statement


# One entry.


def _head(status, *headers):
    return ResponseHead(status=status, headers=list(headers))


@when('a response of "{name}" says that it leaves')
def step_response_leaves(context, name):
    assert context.upstream.record.upstream_id == name
    make_recorder(context).record_response(
        context.upstream, _head(200, _LEAVING)
    )
    assert not context.fleet.eligible_upstreams("s")
    assert context.upstream.leaving_source is LeavingSource.RESPONSE
    context.pool.close_upstream.assert_called_with(
        incarnation=context.upstream.incarnation
    )
    context.version_before = context.fleet.eligible_version


@when('a response 421 to a request for "{name}" says that it leaves')
def step_misdirected(context, name):
    make_recorder(context).record_response(
        context.upstream, _head(421, _LEAVING)
    )


@when('a health check answered by "{name}" says that it leaves')
def step_health(context, name):
    speaker = (names.UPSTREAM_ID, name.encode())
    make_recorder(context).record_probe(
        context.upstream, _head(503, speaker, _LEAVING)
    )


@when("a health check answered by nobody says that it leaves")
def step_health_nobody(context):
    make_recorder(context).record_probe(context.upstream, _head(503, _LEAVING))


@when('another entry tells that "{name}" born at {born:d} said that it leaves')
def step_told(context, name, born):
    told = incarnation_hash(f"{name} {born}")
    make_recorder(context).record_told_leaving([told])


@when('"{name}" takes a new connection after it could not be reached')
def step_reached(context, name):
    context.upstream.record_unreachable(now_s=now_s())
    context.fleet.record_reached(context.upstream, now_s=now_s())
    assert not context.upstream.is_cold(now_s=now_s()), name


@then('"{name}" gets new requests, and "{other}" does not')
def step_gets(context, name, other):
    registered = {each.record.upstream_id for each in context.fleet.upstreams()}
    eligible = context.fleet.eligible_upstreams("s")
    assert registered == {name, other}, registered
    assert [each.record.upstream_id for each in eligible] == [name], eligible


@when('"{name}" says five times that it is draining')
def step_repeats(context, name):
    for _ in range(5):
        record = context.upstream.record._replace(draining=True)
        context.fleet.apply_upstream(record, now_s=now_s())
        context.fleet.eligible_upstreams("s")


@then("the eligible upstreams have changed once since")
def step_changed_once(context):
    assert context.fleet.eligible_version == context.version_before + 1


# Many entries.


@when("an upstream says to one entry that it leaves")
def step_one_entry(context):
    context.left = "u7"
    world = context.world
    with world.running(busy=True):
        first = next(iter(world.members.values()))
        first.statement_recorder.record_response(
            world.state(first, context.left), _head(200, _LEAVING)
        )
        context.told_at_s = world.now_s


def _knowing(context):
    world = context.world
    members = world.members.values()
    return sum(
        world.state(member, context.left).is_leaving for member in members
    )


@then("within {limit_s:g} s all entries know it")
def step_all_know(context, limit_s):
    world = context.world
    with world.continuing():
        while _knowing(context) < len(world.members):
            assert world.now_s < context.told_at_s + limit_s, _knowing(context)
            world.advance(_STEP_S)


@then("an entry that starts {after_s:g} s later knows it within {limit_s:g} s")
def step_new_entry(context, after_s, limit_s):
    world = context.world
    with world.continuing():
        world.advance(after_s)
        name = list(world.members)[-1]
        world.restart(name)
        restarted_s = world.now_s
        while _knowing(context) < len(world.members):
            assert world.now_s < restarted_s + limit_s, _knowing(context)
            world.advance(_STEP_S)


# Requests on their way.


@given("a request that was placed on an upstream, and waits for a connection")
def step_placed(context):
    make_sender(context)


@when("the upstream says meanwhile that it leaves")
def step_leaves_meanwhile(context):
    async def connect(_):
        make_recorder(context).record_response(
            context.upstream, _head(200, _LEAVING)
        )
        return context.connection

    context.connector.connect = connect
    send(context)


@then("the request is not sent, and may be placed again")
def step_not_sent(context):
    context.connection.exchange.assert_not_called()
    assert context.outcome.verdict is AttemptVerdict.NOT_RUN
    assert not context.call.tried
    assert context.call.attempts == 0
    assert context.upstream.in_flight == 0


@then("the connection is closed")
def step_closed(context):
    context.connection.close.assert_called_once_with()
    context.pool.release.assert_not_called()


@given("a request that runs at an upstream that said that it leaves")
def step_runs(context):
    make_sender(context)

    async def exchange(**_):
        make_recorder(context).record_response(
            context.upstream, _head(200, _LEAVING)
        )
        return UpstreamExchange(end=ExchangeEnd.LOST)

    context.connection.exchange = exchange


@when("its connection ends without a response")
def step_lost(context):
    send(context)


@then("nothing is reported of the upstream, and it counts no failure")
def step_nothing_reported(context):
    assert context.outcome.verdict is AttemptVerdict.UNKNOWN
    context.crash_reports.report_lost.assert_not_called()
    context.connector.confirm_loss.assert_not_called()
    assert context.upstream.failure_share(now_s=now_s()) == 0


# The head on a connection.

_ID_HEADER = b"x-id"
_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 4\r\n\r\n"
_RESPONSES = {
    "a whole response": _HEAD % b"now" + b"body",
    "a body that breaks off": _HEAD % b"now" + b"bo",
    "a head, and nothing more": _HEAD % b"now",
    "half a head": (_HEAD % b"now")[:30],
    "a late response to an earlier request": _HEAD % b"before" + b"body",
}


@given("a request on a connection to an upstream")
def step_connection(context):
    context.heads = []


@when("it is answered with {response}")
def step_answered_with(context, response):
    async def exchange():
        connection = UpstreamConnection(address="a:1", id_header=_ID_HEADER)
        transport = mock.Mock(spec=asyncio.Transport)
        connection.connection_made(transport)
        running = asyncio.ensure_future(
            connection.exchange(
                head=b"", request_id=b"now", on_head=context.heads.append
            )
        )
        await asyncio.sleep(0)
        connection.data_received(_RESPONSES[response])
        await asyncio.sleep(0)
        connection.connection_lost(None)
        await running

    asyncio.run(exchange())


@then("{count:d} head was applied")
def step_heads(context, count):
    assert len(context.heads) == count, context.heads
