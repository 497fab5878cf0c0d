"""Steps for an entry that learns from a peer's mirror."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.gateway.following import Follower
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.sources import PeerSource
from almondstair.platform import documents
from emulator.documents import configuration_text
from emulator.documents import route

_PEER = "127.0.0.1:1"


def _put(context, version):
    context.revision += 1
    text = configuration_text(version, [route("/safe/")])
    context.mirror.put(
        documents.CONFIGURATION_KEY, text.encode(), context.revision
    )


def _ask(context, age_s):
    """Has the entry do one round with a peer's word of an age."""
    peer = context.peer

    async def answer(path):
        query = dict(part.split("=") for part in path.split("?")[1].split("&"))
        return context.mirror.page(
            source=query["source"],
            after=int(query["after"]),
            revision=context.revision,
            age_s=age_s,
        )

    with (
        mock.patch.object(peer, "_ask", answer),
        mock.patch.object(context.follower, "_sources", lambda: [peer]),
    ):
        return asyncio.run(context.follower._round())


@given("an entry at configuration {version:d} that follows a peer")
def step_entry(context, version):
    context.revision = 1
    context.mirror = Mirror()
    context.peer = PeerSource(address=_PEER)
    context.fleet = Fleet(
        own_name="e1", own_region="east", zones={"a1": "east"}
    )
    context.follower = Follower(
        client=mock.Mock(),
        fleet=context.fleet,
        pool=mock.Mock(),
        own_name="e1",
        own_zone="a1",
        seeds=[],
    )
    _put(context, version)
    assert _ask(context, 0.0)
    assert context.fleet.ready
    assert context.fleet.table.version == version


@when(
    "the peer gets configuration {version:d}, and its word is {age_s:g} s old "
    "when it is asked"
)
def step_old_word(context, version, age_s):
    _put(context, version)
    context.asked_s = now_s()
    context.answered = _ask(context, age_s)


@when("the peer's word is fresh when it is asked again")
def step_fresh_word(context):
    assert _ask(context, 0.0)


@then("configuration {version:d} is in force")
def step_in_force(context, version):
    assert context.fleet.table.version == version, context.fleet.table.version


@then("the entry does not count as in touch with the store")
def step_not_in_touch(context):
    assert not context.answered
    assert context.follower.heard_at_s <= context.asked_s
