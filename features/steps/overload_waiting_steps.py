"""Steps for requests that wait in order for a slot."""

import collections
from concurrent import futures
import http.client
import os
from pathlib import Path
import signal
import time
from types import SimpleNamespace
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from almondstair.clock import now_s
from almondstair.core import wait_queue
from almondstair.core.caller_ages import CallerAges
from almondstair.core.caller_ages import has_returned
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import PartMode
from almondstair.core.peer_loads import PeerLoads
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.wait_queue import WaitCapacity
from almondstair.core.wait_queue import WaitQueue
from almondstair.core.wait_queue import WaitRequest
from almondstair.core.wait_queue import queue_runs
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.peer_messages import TotalLoads
from almondstair.log import Event
from emulator import documents
from emulator import load_pattern
from emulator.replay import Replay
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld
from features.support.quota_helpers import make_report_parts
from features.support.quota_helpers import make_shared_counts
from features.support.waiting_entry import WaitingEntry

_PATTERNS = Path(__file__).resolve().parents[2] / "emulator" / "patterns"


def _queue(context):
    context.queue = WaitQueue(capacity=WaitCapacity())
    context.names = {}
    context.now_s = 100.0


def _add(context, name, **fields):
    queued = context.queue.add(
        WaitRequest(**fields), targets=frozenset(), now_s=context.now_s
    )
    context.names[queued] = name
    return queued


@given("a queue of waiting requests")
def step_queue(context):
    _queue(context)
    for row in context.table:
        _add(
            context,
            row["name"],
            priority=int(row["priority"]),
            has_returned=row["returned"] == "yes",
            latest_s=context.now_s + float(row["on time until"]),
            give_up_s=context.now_s + float(row["answered until"]),
        )


@when("the clock of the queue moves on by {span_s:g} s")
def step_pass(context, span_s):
    context.now_s += span_s


@then('slots go to "{names}"')
def step_order(context, names):
    served = []

    def place(queued):
        served.append(context.names[queued])
        return True

    while len(context.queue):
        context.queue.serve(
            place, free=None, now_s=context.now_s, max_placements=1
        )
    assert ", ".join(served) == names, served


@given(
    "a queue that gets {first:d} requests of priority 0 and {last:d} of "
    "priority 2 a second"
)
def step_rates(context, first, last):
    _queue(context)
    context.rates = {0: first, 2: last}


@when("it has a slot for {rate:d} requests a second, for {span_s:d} s")
def step_slots(context, rate, span_s):
    context.asked = collections.Counter()
    context.served = collections.Counter()
    queue = context.queue

    def place(queued):
        context.served[queued.request.priority] += 1
        return True

    ticks_per_s = 1200
    for tick in range(span_s * ticks_per_s):
        context.now_s = 100 + tick / ticks_per_s
        for priority, per_s in context.rates.items():
            if tick % (ticks_per_s // per_s):
                continue
            context.asked[priority] += 1
            queue.record_arrival(priority, now_s=context.now_s)
            _add(
                context,
                "",
                priority=priority,
                has_returned=False,
                latest_s=context.now_s + 0.5,
                give_up_s=context.now_s + 2.0,
            )
        if tick % (ticks_per_s // rate) == 0:
            queue.serve(place, free=None, now_s=context.now_s, max_placements=1)
        due = queue.due(expected_per_s=rate, now_s=context.now_s)
        for refusal in due.refusals:
            queue.remove(refusal.queued)


@then(
    "of priority 2 at least {least:g} times and at most {most:g} times as many "
    "are served as of all"
)
def step_lowest_share(context, least, most):
    of_all = context.served.total() / context.asked.total()
    of_lowest = context.served[2] / context.asked[2]
    assert least * of_all <= of_lowest <= most * of_all, context.served


@then("of priority 0 more are served than of priority 2")
def step_highest_share(context):
    shares = {
        priority: context.served[priority] / asked
        for priority, asked in context.asked.items()
    }
    assert shares[0] > shares[2], shares


@then('"{name}" is refused as "{reason}"')
def step_refused_as(context, name, reason):
    context.due = context.queue.due(expected_per_s=50.0, now_s=context.now_s)
    found = [
        (context.names[refusal.queued], str(refusal.reason))
        for refusal in context.due.refusals
    ]
    assert found == [(name, reason)], found


@then("the next refusal is due in {span_s:g} s")
def step_next_refusal(context, span_s):
    left_s = context.due.next_s - context.now_s
    assert abs(left_s - span_s) < 0.001, left_s


@given("a queue that is offered {rate:d} slots a second")
def step_offered(context, rate):
    _queue(context)
    context.rate = rate


@when(
    "{count:d} requests of priority 1 that can be answered for {span_s:g} s "
    "are added"
)
def step_added(context, count, span_s):
    for number in range(count):
        _add(
            context,
            number,
            priority=1,
            has_returned=False,
            latest_s=context.now_s + 0.5,
            give_up_s=context.now_s + span_s,
        )


@then('about {count:d} of them stay and the others are refused as "{reason}"')
def step_stay(context, count, reason):
    due = context.queue.due(expected_per_s=context.rate, now_s=context.now_s)
    reasons = {str(refusal.reason) for refusal in due.refusals}
    assert reasons == {reason}, reasons
    stay = len(context.queue) - len(due.refusals)
    assert abs(stay - count) <= 1, stay
    refused = {context.names[refusal.queued] for refusal in due.refusals}
    assert min(refused) == stay, refused


@given("a queue that is full with requests of priority 2")
def step_full(context):
    _queue(context)
    for number in range(wait_queue.MAX_WAITING):
        assert _add(
            context,
            number,
            priority=2,
            has_returned=False,
            latest_s=context.now_s + 0.5,
            give_up_s=context.now_s + 2.0,
        )


def _request(context, priority, body_bytes=0):
    return WaitRequest(
        priority=priority,
        has_returned=False,
        latest_s=context.now_s + 0.5,
        give_up_s=context.now_s + 2.0,
        body_bytes=body_bytes,
    )


@then("a request of priority 2 finds no place")
def step_no_place(context):
    request = _request(context, 2)
    queue, now = context.queue, context.now_s
    assert queue.add(request, targets=frozenset(), now_s=now) is None
    assert queue.last_behind(request, now_s=now) is None


@then("a request of priority 0 takes the place of the last one")
def step_takes_place(context):
    request = _request(context, 0)
    queue, now = context.queue, context.now_s
    assert queue.add(request, targets=frozenset(), now_s=now) is None
    last = queue.last_behind(request, now_s=now)
    assert context.names[last] == wait_queue.MAX_WAITING - 1
    assert queue.remove(last)
    assert not queue.remove(last)
    assert queue.add(request, targets=frozenset(), now_s=now) is not None
    assert queue.waiting()[0].request is request


@then("bodies of more than {most:d} bytes find no place")
def step_bodies(context, most):
    _queue(context)
    queue, now = context.queue, context.now_s
    request = _request(context, 0, body_bytes=most)
    assert queue.add(request, targets=frozenset(), now_s=now) is not None
    one = _request(context, 0, body_bytes=1)
    assert queue.add(one, targets=frozenset(), now_s=now) is None


@then("a request of priority 0 with such a body ends no other wait")
def step_large_body(context):
    _queue(context)
    queue, now = context.queue, context.now_s
    for request in (_request(context, 0, body_bytes=1), _request(context, 2)):
        assert queue.add(request, targets=frozenset(), now_s=now) is not None
    large = _request(context, 0, body_bytes=wait_queue.MAX_WAITING_BYTES)
    assert queue.last_behind(large, now_s=now) is None
    small = _request(context, 0)
    assert queue.last_behind(small, now_s=now) is not None


@given(
    "{count:d} waiting requests, one of which runs at the upstream that gets "
    "free"
)
def step_many(context, count):
    _queue(context)
    context.matching = None
    for number in range(count):
        target = 7 if number == count - 1 else 8
        queued = context.queue.add(
            _request(context, 1),
            targets=frozenset((target,)),
            now_s=context.now_s,
        )
        if target == 7:
            context.matching = queued


@when("a slot there gets free")
def step_slot_free(context):
    context.tried = []

    def place(queued):
        context.tried.append(queued)
        return True

    context.queue.serve(place, free={7}, now_s=context.now_s, max_placements=1)


@then("that one gets it after 1 placement")
def step_one_placement(context):
    assert context.tried == [context.matching], context.tried


@then("a slot that nobody gets costs at most {most:d} placements")
def step_at_most(context, most):
    context.tried.clear()

    def place(queued):
        context.tried.append(queued)
        return False

    for free in ({8}, None):
        context.tried.clear()
        context.queue.serve(place, free=free, now_s=context.now_s)
        assert 0 < len(context.tried) <= most, context.tried


# An entry without connections.


@given("an entry at which {count:d} requests wait for one upstream")
def step_entry(context, count):
    context.entry = WaitingEntry()
    context.add_cleanup(context.entry.close)
    context.entry.start_calls(count)
    assert context.entry.waiting() == count, context.entry.ends()


@when("nothing happens for {span_s:g} s")
def step_idle(context, span_s):
    idle = WaitingEntry()
    context.idle_handles = idle.run(span_s)
    idle.close()
    context.tries = context.entry.tries
    context.handles = context.entry.run(span_s)


@then("no placement is tried and no handle is called")
def step_no_tries(context):
    assert context.entry.tries == context.tries
    # The pause itself takes a few.
    assert context.handles == context.idle_handles, context.handles


@when("a slot gets free")
def step_one_free(context):
    context.entry.free_slots(1)
    context.freed_s = now_s()


@then("a request has it within {most_ms:d} ms")
def step_within(context, most_ms):
    took_s = context.entry.until_sent(1) - context.freed_s
    assert took_s <= most_ms / 1000, took_s


@then("the other {count:d} wait")
def step_others_wait(context, count):
    context.entry.run(0.05)
    assert context.entry.waiting() == count
    assert context.entry.sent == 1, context.entry.sent


@when("{count:d} reports, responses and changes of upstreams arrive")
def step_events(context, count):
    idle = WaitingEntry()
    context.idle_handles = idle.run(0.01)
    idle.close()
    context.handles = context.entry.run_events(count)


@then("no handle or timer is scheduled")
def step_no_handle(context):
    # Running the loop itself takes a few, and the events are one handle.
    assert context.handles == context.idle_handles + 1, context.handles


@when("{count:d} callers leave")
def step_leave(context, count):
    context.entry.cancel(count)


@then("{count:d} request waits, and the records say so")
def step_records(context, count):
    assert context.entry.waiting() == count
    [row] = context.entry.records.rows()
    assert row.waiting == count, row


@when("a slot gets free and its caller leaves before the request is sent")
def step_leaves_late(context):
    context.entry.cancel_as_it_gets_a_slot()


@then("the slot is given back and no request waits")
def step_given_back(context):
    entry = context.entry
    assert entry.waiting() == 0
    assert entry.released == 1, entry.released
    [row] = entry.records.rows()
    assert row.waiting == 0, row


@when("a slot gets free in the turn in which the first call is cancelled")
def step_cancelled_offer(context):
    context.entry.cancel_as_a_slot_is_offered()


@when("the placement of the first one fails as a slot gets free")
def step_placement_fails(context):
    context.entry.fail_first_placement()
    context.entry.free_slots(1)
    context.entry.run(0.05)


@then("the first ends, another has the slot and {count:d} wait")
def step_first_ends(context, count):
    assert context.entry.sent == 1, context.entry.sent
    assert context.entry.waiting() == count, context.entry.waiting()


@given(
    "an entry without reports, whose upstream was stated to hold {count:d} "
    "requests"
)
def step_stated_load(context, count):
    context.entry = WaitingEntry()
    context.add_cleanup(context.entry.close)
    context.entry.fill_by_stated_load(count)


@when("a request waits there and nothing else happens")
def step_waits_alone(context):
    context.entry.start_calls(1)
    assert context.entry.waiting() == 1, context.entry.ends()


@then("it is sent within {span_s:g} s after {most:d} tries at most")
def step_sent_alone(context, span_s, most):
    ends_s = now_s() + span_s
    while not context.entry.sent and now_s() < ends_s:
        context.entry.run(0.01)
    assert context.entry.sent == 1, context.entry.ends()
    assert context.entry.tries <= most, context.entry.tries


def _reporter_last():
    """Returns the exchange of the entry that is not its zone's reporter."""
    for own, other in (("e0", "e1"), ("e1", "e0")):
        fleet = Fleet(own_name=own, own_region="r", zones={"z": "r"})
        for name in (own, other):
            fleet.apply_entry(Entry(name, "", "10.0.0.1:1", "r", "z"))
        record = UpstreamRecord("u", "s", "a:1", "z", "v", 9, False, 0.0)
        fleet.apply_upstream(record, now_s=0.0)
        exchange = LoadExchange(
            fleet=fleet,
            pool=mock.Mock(),
            suspects=mock.Mock(**{"recent_strikes.return_value": []}),
            cached_locations=CachedLocations(),
            shared_counts=make_shared_counts(own, fleet),
            own_name=own,
            own_zone="z",
            **make_report_parts(own, fleet),
        )
        exchange.connection_made(mock.Mock())
        if exchange._ordered_entries("z")[0].name == other:
            return exchange, other
    raise AssertionError


@given(
    "an entry whose zone's reporter told it that an upstream holds {count:d} "
    "requests"
)
def step_told(context, count):
    context.exchange, reporter = _reporter_last()
    [context.upstream] = context.exchange._fleet.eligible_upstreams("s")
    message = TotalLoads(
        entry=reporter,
        complete=True,
        loads={context.upstream.name_hash: count},
        replaced=[],
        strikes=[],
    )
    context.told_s = now_s()
    context.exchange._apply_message(message, context.told_s)
    context.exchange._tick(context.told_s)
    context.exchange.on_loads = context.on_loads = mock.Mock()


@when("it has heard nothing for {span_s:g} s")
def step_heard_nothing(context, span_s):
    context.exchange._tick(context.told_s + span_s)


@then(
    "it offers {what} to those that wait, and counts {count:d} requests of "
    "others"
)
def step_offers(context, what, count):
    assert context.on_loads.called == (what == "slots"), what
    assert context.upstream.peer_requests == count


@given('a gateway with "{variable}" set to "{value}"')
def step_variable(context, variable, value):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1", work_s=0.1)
    world.configure()
    world.start_gateway(environment={variable: value})
    world.until_served("/safe/warm-up")
    context.before = {run["request"] for run in world.all_runs()}


@given("the store is killed")
def step_store_killed(context):
    context.processes.children["store"].kill()


@when("its only upstream leaves")
def step_upstream_leaves(context):
    context.entry.set_leaving()


@when("its zone is evacuated")
def step_evacuated(context):
    context.entry.evacuate()


@when("its only upstream asks for a rest")
def step_rests(context):
    context.entry.set_resting()


@when("a newer configuration has another route")
def step_other_route(context):
    context.entry.replace_route()


@when("its links are cut")
def step_links_cut(context):
    context.entry.cut_links()


@when("the entry stops before a slot can be free")
def step_entry_stops(context):
    context.entry.stop()


@when("the entry stops right after it checked times")
def step_checked_stops(context):
    context.entry.check_times_and_stop()


@then('the {count:d} requests end as "{end}" within {most_ms:d} ms')
def step_ends(context, count, end, most_ms):
    context.entry.run(most_ms / 1000)
    assert context.entry.ends() == [end] * count, context.entry.ends()
    assert context.entry.waiting() == 0


# Real processes.


@given('routes "{first}" of priority 0 and "{last}" of priority 2')
def step_priorities(context, first, last):
    routes = []
    for prefix, priority in ((first, 0), (last, 2)):
        rule = documents.route(prefix, kind="unsafe", timeoutS=2.5)
        rule["priority"] = priority
        routes.append(rule)
    world = context.world
    world.configure([*world.routes, *routes])
    world.until_served(last + "known")
    world.until_served(first + "known")


def _send_later(context, pool, path, count):
    pending = []
    for _ in range(count):
        pending.append(pool.submit(_send_one, context, path))
    return pending


def _send_one(context, path):
    headers = context.world.headers()
    began_s = time.monotonic()
    answer = harness.send(
        "POST",
        context.world.gateways["g1"]["callers"],
        path,
        headers=headers,
        body=b"pay",
    )
    ended_s = time.monotonic()
    request_id = headers["X-Almondstair-Request-Id"]
    return SimpleNamespace(
        request=request_id,
        status=answer.status,
        began_s=began_s,
        ended_s=ended_s,
    )


def _until_waiting(context, count):
    """Waits until requests wait at the gateway."""

    def check():
        status = harness.get(
            context.world.operator_address("g1"), "/status"
        ).json()
        rows = status["overload"]["classes"]
        return sum(row["waiting"] for row in rows) >= count

    harness.wait_until(check, what="requests to wait")


@when('{many:d} requests to "{path}" are followed by {few:d} to "{other}"')
def step_then(context, many, path, few, other):
    with futures.ThreadPoolExecutor(many + few) as pool:
        low = _send_later(context, pool, path, many)
        _until_waiting(context, 4)
        high = _send_later(context, pool, other, few)
        context.low = [future.result() for future in low]
        context.high = [future.result() for future in high]


@then(
    "the {few:d} are answered before the {last:d} last answers to the {many:d}"
)
def step_before(context, few, last, many):
    assert [answer.status for answer in context.high] == [200] * few
    assert len(context.low) == many
    ended = []
    for answer in context.low:
        assert answer.status in (200, 503), answer
        if answer.status == 200:
            ended.append(answer.ended_s)
    newest_s = max(answer.ended_s for answer in context.high)
    assert newest_s < sorted(ended)[-last], (newest_s, ended)


@then("each answered request ran once, and no refused one ran")
def step_ran_once(context):
    ran = collections.Counter(
        run["request"] for run in context.world.all_runs()
    )
    for answer in context.low + context.high:
        assert ran[answer.request] == (answer.status == 200), answer


@when('{many:d} requests go to "{path}" and the upstream is killed')
def step_kill(context, many, path):
    with futures.ThreadPoolExecutor(many) as pool:
        low = _send_later(context, pool, path, many)
        _until_waiting(context, 4)
        context.processes.children["u1"].kill()
        context.low = [future.result() for future in low]


@when('{many:d} requests go to "{path}" and the gateway gets SIGTERM')
def step_sigterm(context, many, path):
    with futures.ThreadPoolExecutor(many) as pool:
        low = _send_later(context, pool, path, many)
        _until_waiting(context, 4)
        os.kill(context.processes.children["g1"].pid, signal.SIGTERM)
        context.low = [future.result() for future in low]


@when('{many:d} requests go to "{path}" and the gateway is killed')
def step_gateway_killed(context, many, path):
    context.first_runs = len(context.world.all_runs())
    with futures.ThreadPoolExecutor(many) as pool:
        low = _send_later(context, pool, path, many)
        _until_waiting(context, 4)
        context.processes.children["g1"].kill()
        context.errors = [future.exception() for future in low]


@then("each caller sees its connection close")
def step_connections_close(context):
    for error in context.errors:
        assert isinstance(error, OSError | http.client.HTTPException), error


@then("at most {count:d} of the requests have run")
def step_few_ran(context, count):
    time.sleep(1.0)
    runs = len(context.world.all_runs()) - context.first_runs
    assert 0 < runs <= count, runs


@given(
    "{entries:d} entries that learn of {free:d} free slots at an upstream of "
    "{slots:d}"
)
def step_learn(context, entries, free, slots):
    context.entries = entries
    context.slots = slots
    context.held = slots - free


def _may_send(context, seed, *, version=0, held=None, own=0, ended=0):
    """Returns whether an entry may send a request by a report."""
    held = context.held if held is None else held
    record = UpstreamRecord(
        "u", "s", "a:1", "z", "v", context.slots, False, 0.0
    )
    loads = PeerLoads()
    state = UpstreamState(record=record, region="r", peer_loads=loads)
    for _ in range(version + 1):
        loads.update({state.name_hash: held}, own={state.name_hash: own})
    state.in_flight = own - ended
    return not state.is_share_used(
        most_requests=context.slots, entries=context.entries, seed=seed
    )


@then(
    "{least:d} to {most:d} of them may send a request there, other ones after "
    "the next report"
)
def step_share(context, least, most):
    found = []
    for version in range(2):
        senders = {
            seed
            for seed in range(context.entries)
            if _may_send(context, seed, version=version)
        }
        assert least <= len(senders) <= most, senders
        found.append(senders)
    assert found[0] != found[1], found


@then("an entry whose own request has ended there replaces it")
def step_replaces(context):
    for seed in range(context.entries):
        assert _may_send(context, seed, own=2, ended=1)


@then("none may send while the upstream holds {over:d} requests too many")
def step_too_many(context, over):
    held = context.slots + over
    for seed in range(context.entries):
        assert not _may_send(context, seed, held=held, own=2, ended=1)


@then("each caller has an answer before its deadline")
def step_all_answered(context):
    for answer in context.low:
        assert answer.status in (200, 502, 503, 504), answer
        assert answer.ended_s - answer.began_s < 3.0, answer


@then("the gateway ends with status 0")
def step_ends_well(context):
    assert context.processes.children["g1"].wait() == 0


@when('{count:d} requests go to "{path}" side by side')
def step_side_by_side(context, count, path):
    with futures.ThreadPoolExecutor(count) as pool:
        pending = _send_later(context, pool, path, count)
        context.answers = [each.result() for each in pending]


@then('"why" tells of a refused one "{words}"')
def step_why_wait(context, words):
    refused = [each for each in context.answers if each.status == 503]
    assert refused, context.answers
    log = str(context.processes.children["g1"].log)

    def check():
        for each in refused:
            if words in operator_tool.run("gateway", "why", each.request, log):
                return True
        return False

    harness.wait_until(check, what=words)


@then("no request has waited in order")
def step_none_waited(context):
    number = Event.REQUEST_WAITED.value.number
    assert context.world.log_events("g1", number) == []


# Replays.


def _served(kind):
    return (kind.in_aim + kind.late) / kind.total


def _by_priority(context):
    for result in context.results:
        kinds = sorted(context.pattern.kinds, key=lambda kind: kind.priority)
        yield result, [result.kinds[kind.name] for kind in kinds]


def _with_many_entries(pattern, *, count, told_s):
    """Returns a pattern for more entries, with upstreams for each region."""
    service = pattern.services[0]
    before = service.slots * sum(service.upstreams.values())
    upstreams = dict.fromkeys(pattern.regions, 9)
    larger = msgspec.structs.replace(
        service, upstreams=upstreams, slots=9, queue=27
    )
    factor = larger.slots * sum(upstreams.values()) / before
    # Each upstream runs as many objects as before.
    keys = 68
    kinds = []
    for kind in pattern.kinds:
        kinds.append(
            msgspec.structs.replace(kind, per_s=factor * kind.per_s, keys=keys)
        )
    burst = msgspec.structs.replace(pattern.troubles[0], at_s=2.0, for_s=6.0)
    regions = len(pattern.regions)
    entries = {
        region: (count + regions - 1 - number) // regions
        for number, region in enumerate(pattern.regions)
    }
    return msgspec.structs.replace(
        pattern,
        span_s=8.0,
        warm_up_s=2.0,
        told_s=told_s,
        entries=entries,
        services=[larger],
        kinds=kinds,
        troubles=[burst],
    )


@when(
    '"{name}" is replayed with {count:d} entries and reports {told_s:g} s old, '
    "with and without the part"
)
def step_old_reports(context, name, count, told_s):
    context.pattern = _with_many_entries(
        load_pattern.load(_PATTERNS / f"{name}.toml"),
        count=count,
        told_s=told_s,
    )
    context.results = [Replay(context.pattern, seed=1).run()]
    off = {OverloadPart.WAITING: PartMode.OFF}
    context.without = Replay(context.pattern, seed=1, modes=off).run()


@then("the credit is at least {least:g} higher with the part")
def step_credit_with_part(context, least):
    credit = context.results[0].credit
    assert credit >= context.without.credit + least, (
        credit,
        context.without.credit,
    )


@then("fewer than {share:g} of the runs are without their object")
def step_new_runs(context, share):
    for result in context.results:
        assert result.new_runs < share * result.runs, result.new_runs


@then("no priority is served less often than a lower one")
def step_served_order(context):
    for _, kinds in _by_priority(context):
        shares = [_served(kind) for kind in kinds]
        assert shares == sorted(shares, reverse=True), shares


@then("{share:g} of the requests of priority 0 are in aim")
def step_first_in_aim(context, share):
    for _, kinds in _by_priority(context):
        assert kinds[0].in_aim >= share * kinds[0].total, kinds[0]


@then("the lowest priority is served a quarter as often as all")
def step_lowest_served(context):
    for _, kinds in _by_priority(context):
        served = sum(kind.in_aim + kind.late for kind in kinds)
        of_all = served / sum(kind.total for kind in kinds)
        assert _served(kinds[-1]) >= 0.25 * of_all, kinds


@then("fewer than 1 in 100 requests fail")
def step_few_fail(context):
    for result, kinds in _by_priority(context):
        failed = sum(kind.failed for kind in kinds)
        assert failed < 0.01 * sum(kind.total for kind in kinds), kinds
        assert result.runs > 0


@when("requests of the priorities {asked} ask for a service, ten of each")
def step_ask(context, asked):
    context.queue = WaitQueue(capacity=WaitCapacity())
    for number in range(10):
        for priority in asked.split(", "):
            context.queue.record_arrival(int(priority), now_s=0.1 * number)


@then("a request of priority {priority:d} joins queues of {runs:g} mean runs")
def step_joins(context, priority, runs):
    higher = context.queue.count_higher(priority, now_s=1.0)
    assert queue_runs(higher) == runs, higher


_FIRST_ATTEMPTS_S = {
    "6.8 to 8, evenly spread": [6.8 + 0.02 * number for number in range(61)],
    "8, and two of 30": [8.0] * 30 + [30.0] * 2 + [8.0] * 10,
    "7.2, only two of them": [7.2] * 2,
}


def _route(timeout_s):
    return Route(
        name="r",
        hostname="h",
        prefix="/",
        kind=RouteKind.SAFE,
        target_latency_s=1.0,
        timeout_s=timeout_s,
        attempts=2,
        priority=0,
        key_affinity=True,
        destinations=(),
        allowed_regions=(),
    )


@given("first attempts of a route that state {first} s")
def step_first_attempts(context, first):
    context.ages = CallerAges()
    for stated_s in _FIRST_ATTEMPTS_S[first]:
        assert context.ages.age_s(_route(4.0), stated_s) == 0.0


@when("a caller states {stated:g} s")
def step_states(context, stated):
    context.age_s = context.ages.age_s(_route(4.0), stated)


@when("the route's timeout changes, and a caller states {stated:g} s")
def step_timeout_changes(context, stated):
    context.age_s = context.ages.age_s(_route(5.0), stated)


@then("it has certainly waited {age:g} s")
def step_certain_age(context, age):
    assert abs(context.age_s - age) < 0.02, context.age_s
    assert has_returned(context.age_s) == (age > 0)
