"""Steps for rests that upstreams ask for."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.clock import now_s
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.registered_entries import Entry
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import RunTimes
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_rests import UpstreamRest
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.forwarded_call import AttemptVerdict
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.link_monitor import LinkMonitor
from almondstair.gateway.upstream_connection import ExchangeEnd
from almondstair.gateway.upstream_connection import UpstreamExchange
from almondstair.platform import headers as names
from features.support.quota_helpers import make_region_reports
from features.support.sender_parts import make_recorder
from features.support.sender_parts import make_sender
from features.support.sender_parts import send

_ASKED_S = 100.0
_STEP_S = 0.01
_ROUTE = Route(
    name="r",
    hostname="h",
    prefix="/",
    kind=RouteKind.SAFE,
    target_latency_s=2.0,
    timeout_s=4.0,
    attempts=2,
    priority=0,
    key_affinity=True,
    destinations=(Destination("s", 1),),
    allowed_regions=(),
)


def _record(name, *, slots=8, started_ms=0):
    return UpstreamRecord(
        name, "s", "a:1", "z", "v", slots, False, 0.0, started_ms
    )


def _fleet(own_name, *records, entries=1):
    fleet = Fleet(own_name=own_name, own_region="r", zones={"z": "r"})
    for record in records:
        fleet.apply_upstream(record, now_s=0.0)
    fleet.mark_loaded()
    for number in range(entries):
        fleet.apply_entry(Entry(f"e{number}", "", "", "", ""))
    return fleet


def _ask(fleet, state, rest_s, now_s=_ASKED_S):
    return fleet.record_rest(state, rest_s=rest_s, now_s=now_s)


def _resumes_s(state):
    """Returns when a state may get a request, from when rest was asked."""
    at_s = _ASKED_S
    while not state.rest.may_send(now_s=at_s):
        at_s += _STEP_S
    return at_s - _ASKED_S


@given("an upstream that asks an entry for {rest:g} s of rest")
@given("an upstream of 8 slots that asks an entry for {rest:g} s of rest")
def step_asks(context, rest):
    context.fleet = _fleet("e0", _record("u", started_ms=7))
    [context.upstream] = context.fleet.upstreams()
    assert _ask(context.fleet, context.upstream, rest)


@when("nothing else happens")
def step_nothing(context):
    pass


@when("1 s later it asks for {rest:g} s")
def step_asks_again(context, rest):
    assert not _ask(context.fleet, context.upstream, rest, _ASKED_S + 1)


@when("1 s later it answers a request that was on its way")
def step_answers(context):
    for _ in range(20):
        context.upstream.record_response(good=True, now_s=_ASKED_S + 1)


@when("1 s later its registration lapses and returns")
def step_lapses(context):
    context.fleet.drop_upstream("u", now_s=_ASKED_S + 1)
    record = _record("u", started_ms=7)
    context.fleet.apply_upstream(record, now_s=_ASKED_S + 1.5)
    [context.upstream] = context.fleet.upstreams()


@when("it starts again under its id")
def step_starts(context):
    record = _record("u", started_ms=8)
    context.fleet.apply_upstream(record, now_s=_ASKED_S + 1)
    [context.upstream] = context.fleet.upstreams()


@then("it gets no request of this entry before {end:g} s")
def step_not_before(context, end):
    resumes_s = _resumes_s(context.upstream)
    assert end <= resumes_s <= end + 0.1, resumes_s


@then("it may get a request again within {end:g} s")
def step_within(context, end):
    assert _resumes_s(context.upstream) <= end


# The answer with which it asks.


def _refusal(rest):
    headers = [
        (names.NOT_RUN, b"1"),
        (names.RETRY_AFTER, f"{rest:g}".encode()),
    ]
    return ResponseHead(status=503, headers=headers)


@given(
    "an upstream that asks an entry for {rest:g} s of rest in answer to a "
    "request"
)
def step_refuses(context, rest):
    make_sender(context)

    async def exchange(**options):
        head = _refusal(rest)
        options["on_head"](head)
        return UpstreamExchange(end=ExchangeEnd.COMPLETE, head=head)

    context.connection.exchange = exchange
    context.call.relayed = None
    with mock.patch(
        "almondstair.gateway.upstream_sender.upstream_request_head"
    ):
        send(context)


@then("the request was refused, and may be sent elsewhere")
def step_refused(context):
    assert context.outcome.verdict is AttemptVerdict.NOT_RUN
    assert context.call.tried == ["u"]


@then("the upstream counts no failure, and nothing is reported of it")
def step_no_failure(context):
    assert context.upstream.failure_share(now_s=_ASKED_S) == 0
    assert not context.upstream.is_paused()
    context.crash_reports.report_lost.assert_not_called()


@when("the upstream asks meanwhile for {rest:g} s of rest")
def step_asks_meanwhile(context, rest):
    async def connect(_):
        make_recorder(context).record_response(context.upstream, _refusal(rest))
        return context.connection

    context.connector.connect = connect
    send(context)


@given(
    "an entry without links, whose 3 upstreams are one that leaves, one that "
    "rests and one more"
)
def step_without_links(context):
    fleet = _fleet("e0", *(_record(f"u{number}") for number in range(3)))
    leaving, resting, _ = fleet.upstreams()
    fleet.record_leaving(leaving.name_hash, source=LeavingSource.RESPONSE)
    _ask(fleet, resting, 30.0, now_s())
    context.monitor = LinkMonitor(
        fleet=fleet,
        pool=mock.Mock(),
        links=UpstreamLinks(),
        statement_recorder=mock.Mock(),
    )


@when("it looks for upstreams to check its links at")
def step_looks(context):
    context.found = (
        context.monitor._sample(0),
        context.monitor._registered_lately(),
    )


@then("it finds the third only")
def step_finds(context):
    for found in context.found:
        assert [each.record.upstream_id for each in found] == ["u2"], found


# The end of a rest.


@when("the rest is over, and the entry always has requests for it")
def step_over(context):
    state = context.upstream
    now = state.rest.resumes_s
    context.steps = []
    for _ in range(4):
        count = 0
        while state.rest.may_send(now_s=now) and count < 50:
            state.record_sent(now_s=now)
            count += 1
        context.steps.append(count)
        now += 0.05
        for _ in range(count):
            state.record_ended()
            state.record_response(good=True, now_s=now)


@then(
    "it gets 1 request, then 2 after its answer, then 4, then as many as there "
    "are"
)
def step_steps(context):
    assert context.steps == [1, 2, 4, 50], context.steps


@when("the rest is over, and it refuses all requests without asking for rest")
def step_refuses_again(context):
    state = context.upstream
    now = state.rest.resumes_s
    ends_s = now + 1
    context.sent = 0
    while now < ends_s:
        if state.rest.may_send(now_s=now):
            state.record_sent(now_s=now)
            state.record_ended()
            state.record_response(good=False, now_s=now)
            context.sent += 1
        now += _STEP_S


@then("it gets {most:d} requests in the next second at most")
def step_slowly(context, most):
    assert 2 <= context.sent <= most, context.sent


@given(
    "{entries:d} entries that an upstream of 8 slots asks for {rest:g} s of "
    "rest at once"
)
def step_many(context, entries, rest):
    context.returns_s = []
    for number in range(entries):
        fleet = _fleet(f"e{number}", _record("u"), entries=entries)
        [state] = fleet.upstreams()
        _ask(fleet, state, rest)
        context.returns_s.append(state.rest.resumes_s - _ASKED_S)
    context.returns_s.sort()


@then(
    "they return between {first:g} s and {last:g} s, no more than {most:d} of "
    "them in any 0.1 s"
)
def step_spread(context, first, last, most):
    _check_spread(context.returns_s, first, last, most)


@then(
    "their callers are asked to return between {first:g} s and {last:g} s, no "
    "more than {most:d} of them in any 0.1 s"
)
def step_callers_spread(context, first, last, most):
    _check_spread(sorted(context.returns_s), first, last, most)
    assert len(set(context.returns_s)) == len(context.returns_s)


def _check_spread(found, first, last, most):
    assert first <= found[0], found[0]
    assert found[-1] <= last, found[-1]
    for begin_s in found:
        count = sum(begin_s <= each < begin_s + 0.1 for each in found)
        assert count <= most, (begin_s, count)


# Placement.


def _make_placer(context, records):
    fleet = _fleet("e0", *records)
    rules = {"s": ServiceRule("s", "/", 1000, 0.0, 0.0)}
    limits = CallerLimits(16_384, 1 << 20, 3.0, 15.0)
    fleet.apply_configuration(RoutingConfiguration(1, limits, (_ROUTE,), rules))
    context.fleet = fleet
    context.states = list(fleet.upstreams())
    context.placer = RequestPlacer(
        fleet=fleet,
        run_times=RunTimes(),
        cached_locations=CachedLocations(),
        region_limiter=RegionShareLimiter(own_region="r", max_change=1.0),
        region_reports=make_region_reports("e0"),
        cold_start_limiter=ColdStartLimiter(
            own_name="e0", rate_factor=1.0, slack=1.0
        ),
        upstream_limiter=UpstreamLimiter(
            fleet=fleet, reports=LimitReports(own_name="e0", fleet=fleet)
        ),
        round_trips_s={},
    )


def _request(number, **options):
    return PlacementRequest(
        route=_ROUTE,
        service="s",
        key=f"key {number}",
        arrived_s=_ASKED_S,
        deadline_s=_ASKED_S + 4,
        tried=(),
        limit_refusals=LimitRefusals(),
        **options,
    )


def _place(context, number, **options):
    request = _request(number, **options)
    return context.placer.place(request, now_s=_ASKED_S).choice


@given(
    "3 upstreams of which each asks an entry for rest, for {rests} and "
    "{last:g} s"
)
def step_all_rest(context, rests, last):
    _make_placer(context, [_record(f"u{number}") for number in range(3)])
    spans_s = [float(text) for text in rests.split(", ")] + [last]
    for state, rest_s in zip(context.states, spans_s, strict=True):
        _ask(context.fleet, state, rest_s)


def _return_s(context, number):
    """Returns after how many seconds a refused caller should return."""
    request = _request(number)
    opens_s = context.placer.rest_ends_s(request, now_s=_ASKED_S)
    assert opens_s is not None
    returns_s = context.placer.assign_return_s(request, opens_s=opens_s)
    return returns_s - _ASKED_S


@when("{count:d} requests arrive")
def step_arrive(context, count):
    context.choices = [_place(context, number) for number in range(count)]
    context.waits = [
        context.placer.may_wait(
            _request(number), excluded_regions=frozenset(), now_s=_ASKED_S
        )
        for number in range(count)
    ]
    context.returns_s = [_return_s(context, number) for number in range(count)]


@then("none is sent or waits")
def step_none(context):
    assert not any(context.choices), context.choices
    assert not any(context.waits), context.waits


@then(
    "their callers are asked to return from {first:g} s on, one after another"
)
def step_in_order(context, first):
    found = context.returns_s
    assert first <= found[0] <= first + 0.1, found[0]
    assert found == sorted(found), found
    assert len(set(found)) == len(found), found


@when("the one that rests shortest cannot be reached, and a request arrives")
def step_unreachable(context):
    shortest = min(context.states, key=lambda state: state.rest.resumes_s)
    shortest.record_unreachable(now_s=_ASKED_S)
    context.returns_s = [_return_s(context, 0)]


@when(
    "the one that rests shortest does not rest, but its limit refuses a "
    "request for {limit:g} s"
)
def step_limited(context, limit):
    shortest = min(context.states, key=lambda state: state.rest.resumes_s)
    shortest.rest = UpstreamRest()
    request = _request(0)
    request.limit_refusals.record(
        shortest.record.upstream_id, retry_after_s=limit
    )
    opens_s = context.placer.rest_ends_s(request, now_s=_ASKED_S)
    returns_s = context.placer.assign_return_s(request, opens_s=opens_s)
    context.returns_s = [returns_s - _ASKED_S]


@then(
    "its caller is asked to return after {first:g} s at the earliest, and "
    "{last:g} s at most"
)
def step_between(context, first, last):
    [found] = context.returns_s
    assert first <= found <= last, found


@given("3 upstreams of which two asked an entry for rest that is over")
def step_returning(context):
    _make_placer(context, [_record(f"u{number}") for number in range(3)])
    for state in context.states[:2]:
        _ask(context.fleet, state, 1.0, _ASKED_S - 5)


def _place_retries(context, count):
    chosen = set()
    for number in range(count):
        request = _request(number)._replace(tried=("u0",))
        choice = context.placer.place(request, now_s=_ASKED_S).choice
        chosen.add(choice.upstream.record.upstream_id)
    return chosen


@when(
    "{count:d} requests for different objects arrive, refused at one of the "
    "two before"
)
def step_retries(context, count):
    context.chosen = _place_retries(context, count)


@then("they all go to the third")
def step_third(context):
    assert context.chosen == {"u2"}, context.chosen


@then("so do uploads that no upstream has refused yet")
def step_uploads(context):
    for number in range(20):
        choice = _place(context, number, has_one_try=True)
        assert choice.upstream is context.states[2], choice


@then("if it cannot be reached, they go to the other one of the two")
def step_other(context):
    context.states[2].record_unreachable(now_s=_ASKED_S)
    assert _place_retries(context, 1) == {"u1"}


@given(
    "a relayed request whose first entry was asked for rest by one of 3 "
    "upstreams"
)
def step_relayed(context):
    _make_placer(context, [_record(f"u{number}") for number in range(3)])


@when("the request is placed {count:d} times")
def step_placed_often(context, count):
    context.choices = [
        _place(context, number, avoided=("u0",)) for number in range(count)
    ]


@then("it never goes to that upstream")
def step_never(context):
    chosen = {choice.upstream.record.upstream_id for choice in context.choices}
    assert chosen == {"u1", "u2"}, chosen
