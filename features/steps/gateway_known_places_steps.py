"""Steps for cached object locations and their exchange between entries."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.known_places import object_hash
from almondstair.core.registered_entries import Entry
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash
from almondstair.gateway.load_exchange import LoadExchange
from features.steps.gateway_placement_steps import _exchange
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts

_OBJECT = object_hash(service="s", key="o")
_UPSTREAM = incarnation_hash("u")


@when('the entry of "{zone}" sends object "o" to an upstream and both tell')
def step_sends(context, zone):
    context.exchanges[zone]._cached_locations.record_sent(
        _OBJECT, _UPSTREAM, now_s=now_s()
    )
    for _ in range(2):
        _exchange(context, now_s())


@then('the entry of "{zone}" takes that upstream to know "o"')
def step_takes(context, zone):
    context.locations = context.exchanges[zone]._cached_locations
    assert context.locations.upstreams_for(_OBJECT, now_s=now_s()) == {
        _UPSTREAM
    }


@then("it does not tell it as a place that it found")
def step_not_found(context):
    assert not context.locations.locations_to_report(now_s=now_s())


class _RecordingTransport:
    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address[1]))


def _entry(number):
    return Entry(f"e{number}", "", f"10.0.0.1:{number}", "r", "z")


def _make_exchange(number):
    fleet = Fleet(own_name=f"e{number}", own_region="r", zones={"z": "r"})
    for other in range(2):
        fleet.apply_entry(_entry(other))
    exchange = LoadExchange(
        fleet=fleet,
        pool=mock.Mock(),
        suspects=mock.Mock(**{"recent_strikes.return_value": []}),
        cached_locations=CachedLocations(),
        shared_counts=make_shared_counts(f"e{number}", fleet),
        own_name=f"e{number}",
        own_zone="z",
        **make_report_parts(f"e{number}", fleet),
    )
    exchange.connection_made(_RecordingTransport())
    return exchange


@given("entries of one zone that tell each other their loads")
def step_one_zone(context):
    context.entries = [_make_exchange(number) for number in range(2)]
    first = context.entries[0]._ordered_entries("z")[0]
    context.reporter = context.entries[int(first.name[1:])]
    context.other = 1 - int(first.name[1:])


@given("the reporter knows the places of {count:d} objects")
def step_knows(context, count):
    for name in range(count):
        context.reporter._cached_locations.record_sent(
            name, _UPSTREAM, now_s=now_s()
        )


@when("the other entry is started again and tells its loads")
def step_again(context):
    context.started = _make_exchange(context.other)
    context.started._tick(now_s())
    for data, _ in context.started._transport.sent:
        context.reporter.datagram_received(data, ("10.0.0.1", 1))
    for data, port in context.reporter._transport.sent:
        assert port == context.other, port
        assert len(data) < 65_000, len(data)
        context.started.datagram_received(data, ("10.0.0.1", 1))


@then("it knows the places of {count:d} objects")
def step_knows_all(context, count):
    locations = context.started._cached_locations.all_locations(now_s=now_s())
    assert len(locations) == count, len(locations)


@when("an object is sent to an upstream each {pause_s:g} s for {span_s:g} s")
def step_each(context, pause_s, span_s):
    context.locations = CachedLocations()
    context.found = set()
    for step in range(round(span_s / pause_s)):
        context.now_s = 100.0 + step * pause_s
        before = set(context.locations.locations_to_report(now_s=context.now_s))
        context.locations.record_sent(_OBJECT, _UPSTREAM, now_s=context.now_s)
        after = set(context.locations.locations_to_report(now_s=context.now_s))
        if after - before:
            context.found.add(context.now_s)


@then("its place was found {count:d} times")
def step_found(context, count):
    assert len(context.found) == count, context.found


@then("half a second after the last time nothing is told")
def step_nothing(context):
    last_s = max(context.found)
    assert not context.locations.locations_to_report(now_s=last_s + 0.51)


@given('an entry that was told of object "o" at "{one}" and "{other}"')
def step_was_told(context, one, other):
    context.locations = CachedLocations()
    context.now_s = 100.0
    reported = [(_OBJECT, incarnation_hash(name)) for name in (one, other)]
    context.locations.apply_reported(reported, now_s=context.now_s)


@when('it sends "o" to "{name}"')
def step_it_sends(context, name):
    context.locations.record_sent(
        _OBJECT, incarnation_hash(name), now_s=context.now_s
    )


@when('it sends "o" to nobody for {span_s:g} s, and is told of "{name}" then')
def step_later(context, span_s, name):
    context.now_s += span_s
    reported = [(_OBJECT, incarnation_hash(name))]
    context.locations.apply_reported(reported, now_s=context.now_s)


@then('it takes "{names}" to know "o"')
def step_it_takes(context, names):
    known = context.locations.upstreams_for(_OBJECT, now_s=context.now_s)
    assert known == {incarnation_hash(name) for name in names.split()}, known


@given('an entry that knows object "o" at "{name}" only')
def step_at(context, name):
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    for upstream_id in ("u0", name):
        record = UpstreamRecord(
            upstream_id, "s", "a:1", "z", "v", 4, False, 0.0
        )
        context.fleet.apply_upstream(record, now_s=0.0)
    context.name = incarnation_hash(name)
    assert context.fleet.is_eligible(context.name)


@when('"{name}" drains')
def step_drains(context, name):
    record = UpstreamRecord(name, "s", "a:1", "z", "v", 4, True, 0.0)
    context.fleet.apply_upstream(record, now_s=0.0)


@when('"{name}" cannot be reached')
def step_unreached(context, name):
    context.fleet.upstreams_by_hash[incarnation_hash(name)].record_unreachable()


@when('"{name}" is evacuated')
def step_evacuated(context, name):
    context.fleet.start_evacuation("z", now_s=0.0)


@when('"{name}" is not registered')
def step_gone(context, name):
    context.fleet.drop_upstream(name, now_s=100.0)


@then('"o" is taken to be known nowhere')
def step_nowhere(context):
    assert not context.fleet.is_eligible(context.name)
