"""Steps for the log lines that a gateway writes on changes of the store."""

import json
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair import log
from almondstair.core.fleet import Fleet
from almondstair.core.revisions import Revision
from almondstair.gateway.sources import Batch
from almondstair.gateway.store_sync import StoreSync
from almondstair.platform import documents
from almondstair.platform.kv import Item
from features.steps.gateway_incarnations_steps import _registration

_ZONES = {"a1": "east", "b1": "west"}


def _upstream(number, state="ready"):
    key = f"{documents.UPSTREAM_PREFIX}u{number}"
    value = json.dumps(_registration(1, state)).encode()
    return Item(key, value, Revision(0, 200 + number))


def _entry(number):
    record = documents.EntryRecord(
        callers="10.0.0.1:1",
        peers=f"10.0.0.1:{number + 2}",
        region="east",
        availability_zone="a1",
        incarnation=f"i{number}",
        cores=1.0,
        link_mbps=10.0,
    )
    key = f"{documents.ENTRY_PREFIX}e{number}"
    return Item(key, documents.encode_entry(record), Revision(0, 900 + number))


def _apply_items(context, items, *, listing):
    context.revision += 1000
    batch = Batch(
        items, listing, Revision(0, context.revision), 0.0, from_store=True
    )
    with mock.patch.object(log, "event") as event:
        context.follower._apply_batch(batch, fresh=True)
    context.lines = event.call_args_list


@given(
    "an entry that follows a store with {upstreams:d} upstreams and "
    "{entries:d} entries"
)
def step_entry(context, upstreams, entries):
    context.revision = 0
    context.follower = StoreSync(
        client=mock.Mock(),
        fleet=Fleet(own_name="e", own_region="east", zones=_ZONES),
        pool=mock.Mock(),
        own_name="e",
        own_zone="a1",
        seeds=[],
    )
    context.items = [_upstream(number) for number in range(upstreams)]
    context.items += [_entry(number) for number in range(entries)]


@when("it takes the first listing")
def step_first(context):
    _apply_items(context, context.items, listing=True)


@when("{count:d} upstreams drain")
def step_drain(context, count):
    context.count = count
    items = []
    for number in range(count):
        item = _upstream(number, "draining")
        items.append(
            item._replace(revision=Revision(0, context.revision + number + 1))
        )
    _apply_items(context, items, listing=False)


@then("it has written {most:d} lines at most")
def step_most(context, most):
    assert 0 < len(context.lines) <= most, len(context.lines)


@then("it has written a line for each of them")
def step_each(context):
    reported = {call.kwargs["upstream"] for call in context.lines}
    assert len(reported) == len(context.lines) == context.count, reported


@then("one of them counts {changes:d} changes, by service and zone")
def step_counts(context, changes):
    [line] = [
        call
        for call in context.lines
        if call.args[0] is log.Event.REGISTRATIONS_CHANGED
    ]
    assert line.kwargs["changes"] == changes, line
    assert sum(line.kwargs["counts"].values()) == changes, line
    assert all(" " in group for group in line.kwargs["counts"]), line
