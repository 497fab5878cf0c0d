"""Steps for the return times of refused callers, and for their returns."""

import asyncio
from concurrent import futures
import inspect
import itertools
from pathlib import Path
import random
import time
from typing import NamedTuple
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.clock import now_s
from almondstair.core.caller_ages import MIN_RETURN_AGE_S
from almondstair.core.caller_ages import CallerAges
from almondstair.core.caller_ages import has_returned
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import PartMode
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.registered_entries import Entry
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.return_times import DELAY_STEP_MS
from almondstair.core.return_times import BacklogReturn
from almondstair.core.return_times import ReturnBasis
from almondstair.core.return_times import ReturnDecision
from almondstair.core.return_times import ReturnRequest
from almondstair.core.return_times import TurnsChange
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.run_times import RunTimes
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway import relay_messages
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.forwarder import Forwarder
from emulator import documents
from emulator import load_pattern
from emulator.replay import Replay
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld
from features.support.quota_helpers import make_region_reports

_PATTERNS = Path(__file__).resolve().parents[2] / "emulator" / "patterns"
_NOW_S = 1000.0
_TARGET_S = 0.8
_SEED = 7
_ROUTE = Route(
    name="r",
    hostname="h",
    prefix="/",
    kind=RouteKind.SAFE,
    target_latency_s=_TARGET_S,
    timeout_s=4.0,
    attempts=2,
    priority=1,
    key_affinity=True,
    destinations=(Destination("s", 1),),
    allowed_regions=(),
)
# Responses that an entry got before a scenario, so that its means are known.
_RESPONSES = 40
# Run time without the object cached, as a multiple of that with it.
_UNCACHED_TIMES = 3.3


# Return times.


class _RefusingEntry:
    """An entry with the upstreams and loads that a scenario states."""

    def __init__(
        self, number, *, entries, upstreams, slots, load, took_s, now_s
    ):
        self.now_s = now_s
        names = [f"e{other:03}" for other in range(entries)]
        self.fleet = Fleet(
            own_name=names[number], own_region="r", zones={"z": "r"}
        )
        for name in names:
            self.fleet.apply_entry(Entry(name, "", "", "", ""))
        for upstream in range(upstreams):
            record = UpstreamRecord(
                f"u{upstream}", "s", "a:1", "z", "v", slots, False, 0.0
            )
            self.fleet.apply_upstream(record, now_s=now_s)
        self.fleet.mark_loaded()
        self.fleet.peer_loads_complete = True
        loads = {state.name_hash: load for state in self.fleet.upstreams()}
        self.fleet.peer_loads.update(loads, own={})
        self.run_times = RunTimes()
        if took_s is not None:
            for _ in range(_RESPONSES):
                self.run_times.record_response(service="s", took_s=took_s)
                self.run_times.record_run(
                    service="s", route="r", warm=True, run_s=took_s
                )
                self.run_times.record_run(
                    service="s",
                    route="r",
                    warm=False,
                    run_s=_UNCACHED_TIMES * took_s,
                )
        self.returns = BacklogReturn(
            own_name=names[number],
            fleet=self.fleet,
            run_times=self.run_times,
            records=OverloadRecords(),
        )

    def decide(self, *, left_s, priority=2, has_returned=False):
        """Returns the decision on a caller's return."""
        return self.returns.decide(
            ReturnRequest(
                service="s",
                route="r",
                priority=priority,
                target_latency_s=_TARGET_S,
                caller_left_s=left_s,
                has_returned=has_returned,
            ),
            now_s=self.now_s,
        )

    def turn_s(self, *, left_s, priority=2):
        """Returns the delay until a caller's turn, in seconds."""
        decision = self.decide(left_s=left_s, priority=priority)
        assert decision.basis is ReturnBasis.TURN, decision
        return decision.retry_after_ms / 1000


def _entries(*, entries, upstreams, slots, load, took_s):
    found = []
    for number in range(entries):
        found.append(
            _RefusingEntry(
                number,
                entries=entries,
                upstreams=upstreams,
                slots=slots,
                load=load,
                took_s=took_s,
                now_s=_NOW_S,
            )
        )
    return found


@given(
    "{entries:d} entries that see 40 upstreams of 9 slots with {load:d} "
    "requests each, answered in {took:g} s"
)
def step_entries(context, entries, load, took):
    context.rng = random.Random(_SEED)
    context.entries = _entries(
        entries=entries,
        upstreams=40,
        slots=9,
        load=load,
        took_s=took,
    )


@given("each entry gets {rate:d} new callers a second")
def step_new(context, rate):
    for entry in context.entries:
        for number in range(10 * rate):
            entry.returns.record_arrival(
                RequestClass("s", 2), now_s=_NOW_S - 10.0 + number / rate
            )


@when("three quarters of the upstreams leave")
def step_leave(context):
    for entry in context.entries:
        states = list(entry.fleet.upstreams())
        for state in states[: len(states) * 3 // 4]:
            entry.fleet.record_leaving(
                state.name_hash, source=LeavingSource.PEER
            )


@when("each entry refuses {callers:d} callers of {left:g} s in {span:g} s")
def step_refuse(context, callers, left, span):
    context.turns = {}
    for number, entry in enumerate(context.entries):
        times = [context.rng.uniform(0.0, span) for _ in range(callers)]
        turns = []
        for at_s in sorted(times):
            entry.now_s = _NOW_S + at_s
            decision = entry.decide(left_s=left)
            if decision.basis is ReturnBasis.TURN:
                turns.append(entry.now_s + decision.retry_after_ms / 1000)
        context.turns[number] = turns


@then("in no {window:g} s more turns are assigned than {rate:d} a second")
def step_no_more(context, window, rate):
    turns = sorted(itertools.chain(*context.turns.values()))
    assert turns
    first = 0
    for last, at_s in enumerate(turns):
        while at_s - turns[first] >= window:
            first += 1
        assert last - first + 1 <= rate * window, (at_s, last - first + 1)


@then("no turn is assigned before the queues have ended")
def step_not_before(context):
    # 40 upstreams have 5 requests each beyond their slots.
    ended_s = _NOW_S + 200 / 700
    assert min(itertools.chain(*context.turns.values())) >= ended_s


@then("the turns of each entry come one after another")
def step_in_order(context):
    for turns in context.turns.values():
        assert len(turns) > 1
        for before_s, after_s in itertools.pairwise(turns):
            assert after_s > before_s, turns


@given(
    "an entry among {entries:d} that has told {count:d} callers of priority 2 "
    "when to return"
)
def step_told(context, entries, count):
    context.entry = _RefusingEntry(
        0,
        entries=entries,
        upstreams=40,
        slots=9,
        load=9,
        took_s=0.5,
        now_s=_NOW_S,
    )
    context.told = [context.entry.turn_s(left_s=8.0) for _ in range(count)]


@when("it refuses a caller of priority 0")
def step_urgent(context):
    context.urgent_s = context.entry.turn_s(left_s=3.0, priority=0)


@then("that one returns before the second of them")
def step_urgent_first(context):
    assert context.urgent_s < context.told[1], (context.urgent_s, context.told)


@then("the next one of priority 2 returns last")
def step_last(context):
    told = context.told
    step_s = (told[-1] - told[0]) / (len(told) - 1)
    next_s = context.entry.turn_s(left_s=8.0)
    # The turn of the urgent caller takes one of theirs.
    assert next_s >= told[-1] + 1.9 * step_s, (next_s, told)


@given(
    "an entry with {upstreams:d} upstreams of {slots:d} slots with {load:d} "
    "requests each, answered in {took:g} s"
)
def step_entry(context, upstreams, slots, load, took):
    [context.entry] = _entries(
        entries=1, upstreams=upstreams, slots=slots, load=load, took_s=took
    )


@when("it refuses a caller that has {left:g} s left")
def step_refuses(context, left):
    context.left_s = left
    context.decision = context.entry.decide(left_s=left)


@then("it is told to return in {least:g} to {most:g} s, a turn")
def step_told_turn(context, least, most):
    assert context.decision.basis is ReturnBasis.TURN, context.decision
    step_told_time(context, least, most)


@then("it is told to return in {least:g} to {most:g} s, latest")
def step_told_latest(context, least, most):
    assert context.decision.basis is ReturnBasis.LATEST, context.decision
    step_told_time(context, least, most)


@then("it is told a time of {least:g} to {most:g} s")
def step_told_time(context, least, most):
    told_ms = context.decision.retry_after_ms
    assert 1000 * least <= told_ms <= 1000 * most, told_ms
    assert told_ms <= 1000 * context.left_s / 3, told_ms


@then("it is told no time")
def step_told_none(context):
    expected = ReturnDecision(None, ReturnBasis.NONE)
    assert context.decision == expected, context.decision


@when("it refuses {count:d} callers that have {left:g} s left")
def step_refuses_many(context, count, left):
    entry = context.entry
    context.decisions = []
    context.reported = []
    for _ in range(count):
        context.decisions.append(entry.decide(left_s=left))
        context.reported += entry.returns.take_changes(now_s=entry.now_s)


@when("it refuses {count:d} returned callers that have {left:g} s left")
def step_refuses_returned(context, count, left):
    context.decisions = []
    for _ in range(count):
        decision = context.entry.decide(left_s=left, has_returned=True)
        context.decisions.append(decision)


def _check_latest(decisions, left_s):
    for decision in decisions:
        assert decision.basis is ReturnBasis.LATEST, decision
        least_ms = 1000 * left_s / 3 - DELAY_STEP_MS
        assert least_ms < decision.retry_after_ms <= 1000 * left_s / 3


@then("the last {count:d} of them are told a third of {left:g} s")
def step_last_told(context, count, left):
    _check_latest(context.decisions[-count:], left)


@then("each of them is told a third of {left:g} s")
def step_each_told(context, left):
    _check_latest(context.decisions, left)


@then(
    "a caller that has {left:g} s left gets the turn after the last one "
    "assigned"
)
def step_next_turn(context, left):
    turns = [
        decision.retry_after_ms / 1000
        for decision in context.decisions
        if decision.basis is ReturnBasis.TURN
    ]
    interval_s = (turns[-1] - turns[0]) / (len(turns) - 1)
    next_s = context.entry.turn_s(left_s=left)
    assert 0 < next_s - turns[-1] < 1.5 * interval_s, (next_s, turns[-1])


@then("the next new caller gets the first turn")
def step_first_turn(context):
    other = _known_entry(load=27, took_s=1.2)
    expected_s = other.turn_s(left_s=8.0)
    assert context.entry.turn_s(left_s=8.0) == expected_s


def _known_entry(*, entries=1, load=9, took_s=0.4, now_s=_NOW_S):
    return _RefusingEntry(
        0,
        entries=entries,
        upstreams=4,
        slots=9,
        load=load,
        took_s=took_s,
        now_s=now_s,
    )


@given("an entry without any response or report")
def step_knows_nothing(context):
    context.entry = _known_entry(load=0, took_s=None)
    context.entry.fleet.peer_loads_complete = False


@given("an entry that is cut off from the other entries")
def step_cut_off(context):
    context.entry = _known_entry(entries=61, load=0)
    context.entry.fleet.peer_loads_complete = False


@given("an entry that is not registered")
def step_not_registered(context):
    context.entry = _known_entry(entries=61)
    context.entry.fleet.drop_entry("e000", now_s=_NOW_S)


@given("an entry whose upstreams all rest")
def step_all_rest(context):
    context.entry = _known_entry()
    for state in context.entry.fleet.upstreams():
        context.entry.fleet.record_rest(state, rest_s=5.0, now_s=_NOW_S)


@given("an entry whose clock is at {now:d} s")
def step_clock(context, now):
    context.entry = _known_entry(now_s=float(now))


@then("the end of its turns is reported once")
def step_reported(context):
    [change] = context.reported
    assert change.requests == RequestClass("s", 2)
    assert change.exhausted


@then(
    "after {pause:g} s without such a refusal turns are reported as available "
    "once"
)
def step_available(context, pause):
    entry = context.entry
    without = sum(
        decision.basis is ReturnBasis.LATEST for decision in context.decisions
    )
    assert entry.returns.take_changes(now_s=entry.now_s + pause / 2) == []
    [change] = entry.returns.take_changes(now_s=entry.now_s + pause)
    assert change == TurnsChange(RequestClass("s", 2), False, without), change
    assert entry.returns.take_changes(now_s=entry.now_s + pause) == []


# Placement of returned callers.


@given(
    "{count:d} upstreams of {slots:d} slots with {load:d} requests each, and a "
    "target of {target:g} s"
)
def step_upstreams(context, count, slots, load, target):
    fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    context.route = _ROUTE._replace(target_latency_s=target)
    limits = CallerLimits(16_384, 1 << 20, 3.0, 15.0)
    rules = {"s": ServiceRule("s", "/", 1000, 0.0, 0.0)}
    fleet.apply_configuration(
        RoutingConfiguration(1, limits, (context.route,), rules)
    )
    for number in range(count):
        record = UpstreamRecord(
            f"u{number}", "s", "a:1", "z", "v", slots, False, 0.0
        )
        fleet.apply_upstream(record, now_s=_NOW_S)
    fleet.mark_loaded()
    for state in fleet.upstreams():
        state.in_flight = load
    limiter = RegionShareLimiter(own_region="r", max_change=0.15)
    context.placer = RequestPlacer(
        fleet=fleet,
        run_times=RunTimes(),
        cached_locations=CachedLocations(),
        region_limiter=limiter,
        region_reports=make_region_reports("e"),
        cold_start_limiter=ColdStartLimiter(
            own_name="e", rate_factor=1.5, slack=5.0
        ),
        upstream_limiter=UpstreamLimiter(
            fleet=fleet, reports=LimitReports(own_name="e", fleet=fleet)
        ),
        round_trips_s={},
    )


def _place(context, left_s, max_queue_runs=None):
    ages = CallerAges()
    for number in range(30):
        ages.age_s(context.route, 3.0 - 0.45 * number / 29)
    request = PlacementRequest(
        route=context.route,
        service="s",
        key="k",
        arrived_s=_NOW_S,
        deadline_s=_NOW_S + left_s,
        tried=[],
        limit_refusals=LimitRefusals(),
        max_queue_runs=max_queue_runs,
        has_returned=has_returned(ages.age_s(context.route, left_s)),
    )
    context.placed = context.placer.place(request, now_s=_NOW_S)


@when("a caller that states {left:g} s is placed, of a route with 2.55 to 3 s")
def step_placed(context, left):
    _place(context, left)


@when(
    "a caller that states {left:g} s and may queue for {runs:g} mean runs is "
    "placed, of a route with 2.55 to 3 s"
)
def step_placed_in_order(context, left, runs):
    _place(context, left, max_queue_runs=runs)


@then("it is sent")
def step_sent(context):
    assert context.placed.choice is not None


@then("it is refused")
def step_is_refused(context):
    assert context.placed.choice is None


# Refusals without a time.


@given("a refusal for lack of a slot without a return time")
def step_no_time(context):
    context.error = AlmondstairError(
        kind=ErrorKind.NO_SLOT, uses_default_retry=False
    )


@then("neither the entry nor one that relays it states Retry-After")
def step_no_header(context):
    assert context.error.retry_after_ms is None
    headers = relay_messages.encode_error(context.error)
    relayed = relay_messages.decode_error(headers)
    assert relayed.kind is ErrorKind.NO_SLOT
    assert relayed.retry_after_ms is None, relayed.retry_after_ms


@then("a refusal that states {told:g} s keeps it when it is relayed")
def step_keeps(context, told):
    headers = relay_messages.encode_error(context.error)
    headers.append((b"retry-after", b"%.2f" % told))
    relayed = relay_messages.decode_error(headers)
    assert relayed.retry_after_ms == round(told * 1000)


# Requests that wait until the timeout of their route.


@given("an entry with the part {mode} whose return times are {decided} ms")
def step_decides(context, mode, decided):
    decision = ReturnDecision(None, ReturnBasis.NONE)
    if decided != "no":
        decision = ReturnDecision(int(decided), ReturnBasis.LATEST)
    overload = mock.Mock()
    overload.is_active = lambda part: (
        part is OverloadPart.RETURNS and mode == PartMode.ON
    )
    overload.returns().decide.return_value = decision
    names = inspect.signature(Forwarder).parameters
    parts = {name: mock.Mock() for name in names}
    context.forwarder = Forwarder(**parts | {"overload": overload})


@when("a request waits there until the timeout of its route")
def step_waits(context):
    request = mock.Mock(
        arrived_s=now_s(), body_length=0, header=lambda name: None
    )
    context.call = ForwardedCall(
        request=request, route=_ROUTE._replace(timeout_s=0.05), service="s"
    )
    forwarder = context.forwarder

    async def wait():
        with mock.patch.object(forwarder, "_serve", lambda _: asyncio.sleep(9)):
            await forwarder._within_deadline(context.call)

    try:
        asyncio.run(wait())
    except AlmondstairError as error:
        context.error = error


@then('its refusal states {told} ms, "{basis}"')
@then('its refusal states {told} ms, ""')
def step_states(context, told, basis=""):
    expected = None if told == "no" else int(told)
    assert context.error.kind is ErrorKind.NO_SLOT, context.error
    assert context.error.retry_after_ms == expected, context.error
    assert context.call.return_basis == basis, context.call.return_basis


# Replays.


@when('"{name}" is replayed with seeds 1 to {last:d}, with the part on and off')
def step_replayed(context, name, last):
    pattern = load_pattern.load(_PATTERNS / f"{name}.toml")
    context.results = {}
    for mode in (PartMode.ON, PartMode.OFF):
        modes = {OverloadPart.RETURNS: mode}
        context.results[mode] = [
            Replay(pattern, seed=seed, modes=modes).run()
            for seed in range(1, last + 1)
        ]


def _returns(outcomes):
    """Returns how many callers returned when told, and were served then."""
    told = 0
    served = 0
    for outcome in outcomes:
        for returns in outcome.returns.values():
            told += sum(returns.told.values())
            served += sum(returns.served.values())
    return told, served


def _served_share(outcome, names):
    kinds = [outcome.kinds[name] for name in names]
    served = sum(kind.in_aim + kind.late for kind in kinds)
    return served / sum(kind.total for kind in kinds)


@then(
    "of the callers that return when told {share:g} are served, and {times:g} "
    "times as many as with it off"
)
def step_served_returns(context, share, times):
    told, served = _returns(context.results[PartMode.ON])
    assert served >= share * told, (told, served)
    told_off, served_off = _returns(context.results[PartMode.OFF])
    assert served / told >= times * served_off / told_off, (
        (told, served),
        (told_off, served_off),
    )


@then("at least as many callers are served as with it off")
def step_served_callers(context):
    pairs = zip(
        context.results[PartMode.ON],
        context.results[PartMode.OFF],
        strict=True,
    )
    for with_part, without in pairs:
        names = list(without.kinds)
        share = _served_share(with_part, names)
        assert share >= _served_share(without, names), (with_part, without)


@then("no priority is served less often than a lower one with the part on")
def step_order(context):
    for outcome in context.results[PartMode.ON]:
        urgent = _served_share(outcome, ["urgent"])
        assert urgent >= _served_share(outcome, ["usual"]), outcome.kinds


@then("under {share:g} of the requests of each kind end after their time")
def step_failed(context, share):
    for outcome in context.results[PartMode.ON]:
        for name, kind in outcome.kinds.items():
            assert kind.failed < share * kind.total, (name, kind)


@then('"{hasty}" is served no more often than "{usual}"')
def step_no_gain(context, hasty, usual):
    for outcome in context.results[PartMode.ON]:
        share = _served_share(outcome, [hasty])
        assert share <= _served_share(outcome, [usual]), outcome.kinds


@then('"{hasty}" earns no more credit than with the part off')
def step_no_credit(context, hasty):
    pairs = zip(
        context.results[PartMode.ON],
        context.results[PartMode.OFF],
        strict=True,
    )
    for with_part, without in pairs:
        credit = with_part.kinds[hasty].credit
        assert credit <= without.kinds[hasty].credit, with_part.kinds


@when('"{name}" is replayed with seed {seed:d} and the part off')
def step_replayed_off(context, name, seed):
    pattern = load_pattern.load(_PATTERNS / f"{name}.toml")
    context.outcome = Replay(
        pattern, seed=seed, modes={OverloadPart.RETURNS: PartMode.OFF}
    ).run()


@then("its kinds end as")
def step_ends(context):
    for row in context.table:
        kind = context.outcome.kinds[row["kind"]]
        found = (kind.total, kind.in_aim, kind.late, kind.refused, kind.failed)
        expected = tuple(
            int(row[name])
            for name in ("total", "in aim", "late", "refused", "failed")
        )
        assert found == expected, kind


@then("it has {runs:d} runs, {new:d} of them new")
def step_runs(context, runs, new):
    outcome = context.outcome
    assert (outcome.runs, outcome.new_runs) == (runs, new), outcome


# Processes.

_DEADLINE_S = 3.0
_PATH = "/urgent/"
# A caller is certain to have returned once it states less than this.
_RECOGNISED_S = 0.85 * _DEADLINE_S - MIN_RETURN_AGE_S


class _Attempt(NamedTuple):
    """A first attempt of a caller.

    Attributes:
      request: id of the request.
      path: path of the request.
      gateway: the gateway that it reached.
      began_s: when the caller began.
      ended_s: when it had the response.
      status: status of the response.
      told_s: stated return time, in seconds; None for none.
    """

    request: str
    path: str
    gateway: str
    began_s: float
    ended_s: float
    status: int
    told_s: float | None


def _start_world(context, *, gateways, slots, work_s, modes):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1", slots=slots, queue=3 * slots, work_s=work_s)
    rule = documents.route(_PATH, kind="unsafe")
    rule |= {"priority": 0, "targetLatencyS": 0.6}
    world.configure([*world.routes, rule])
    for number in range(gateways):
        world.start_gateway(
            f"g{number + 1}", environment={"ALMONDSTAIR_OVERLOAD": modes}
        )
    for number in range(gateways):
        world.until_served("/safe/warm-up", gateway=f"g{number + 1}")
    context.before = {run["request"] for run in world.all_runs()}


@given(
    "{count:d} gateways with return times, 1 upstream of {slots:d} slots that "
    "works {work_s:g} s, and a route of priority 0"
)
@given(
    "{count:d} gateway with return times, 1 upstream of {slots:d} slot that "
    "works {work_s:g} s, and a route of priority 0"
)
def step_gateways(context, count, slots, work_s):
    _start_world(
        context,
        gateways=count,
        slots=slots,
        work_s=work_s,
        modes="returns=called_for",
    )


@given(
    'a gateway with "{modes}", 1 upstream of 1 slot and a route of priority 0'
)
def step_switched_off(context, modes):
    _start_world(context, gateways=1, slots=1, work_s=0.25, modes=modes)


def _attempt(context, gateway, number):
    path = f"{_PATH}{gateway}-{number}"
    request = f"{gateway}first{number:03}"
    began_s = time.monotonic()
    answer = context.world.send(
        "POST",
        path,
        gateway=gateway,
        body=b"x",
        headers=_headers(request, _DEADLINE_S),
    )
    told = answer.headers.get("retry-after")
    return _Attempt(
        request=request,
        path=path,
        gateway=gateway,
        began_s=began_s,
        ended_s=time.monotonic(),
        status=answer.status,
        told_s=None if told is None else float(told),
    )


def _headers(request, left_s):
    return {
        "X-Almondstair-Request-Id": request,
        "X-Almondstair-Deadline-Ms": str(round(left_s * 1000)),
    }


def _send_all(context, gateways, count):
    with futures.ThreadPoolExecutor(count * len(gateways)) as pool:
        pending = []
        for number in range(count):
            for gateway in gateways:
                pending.append(pool.submit(_attempt, context, gateway, number))
        context.attempts = [future.result() for future in pending]
    context.refused = [one for one in context.attempts if one.status == 503]
    assert context.refused, context.attempts


@when(
    "{count:d} requests are sent to each at once, and the first gateway is "
    "killed"
)
def step_send_both(context, count):
    _send_all(context, ("g1", "g2"), count)
    context.processes.children["g1"].kill()


@when("{count:d} requests are sent to it at once")
def step_send_one(context, count):
    _send_all(context, ("g1",), count)


@then("those refused state times within a third of {deadline:g} s")
def step_third(context, deadline):
    for attempt in context.refused:
        assert attempt.told_s is not None, attempt
        # Responses round up to 10 ms.
        assert 0.0 < attempt.told_s <= deadline / 3 + 0.01, attempt


@then("those refused are told to return after {told:g} s")
def step_constant(context, told):
    found = {attempt.told_s for attempt in context.refused}
    assert found == {told}, context.refused


@when("the callers that the killed gateway refused return at the other one")
def step_return(context):
    refused = [one for one in context.refused if one.gateway == "g1"]
    assert refused, context.refused

    def retry(attempt):
        at_s = attempt.ended_s + attempt.told_s
        time.sleep(max(0.0, at_s - time.monotonic()))
        left_s = attempt.began_s + _DEADLINE_S - time.monotonic()
        answer = context.world.send(
            "POST",
            attempt.path,
            gateway="g2",
            body=b"x",
            headers=_headers(f"{attempt.request}again", left_s),
        )
        return left_s, answer.status

    with futures.ThreadPoolExecutor(len(refused)) as pool:
        context.retries = list(pool.map(retry, refused))


def _overload_rows(context, gateway):
    address = context.world.operator_address(gateway)
    return harness.get(address, "/status").json()["overload"]["classes"]


@then("it counts those as returned that have certainly waited")
def step_counted(context):
    [row] = [
        row for row in _overload_rows(context, "g2") if row["priority"] == 0
    ]
    certain = sum(
        left_s < _RECOGNISED_S - 0.02 for left_s, _ in context.retries
    )
    possible = sum(
        left_s < _RECOGNISED_S + 0.02 for left_s, _ in context.retries
    )
    assert certain > 0, context.retries
    assert certain <= row["returned"] <= possible, (row, context.retries)


@then("as many requests have run as were answered")
def step_once(context):
    ran = [run["request"] for run in context.world.all_runs()]
    ran = [name for name in ran if name not in context.before]
    statuses = [attempt.status for attempt in context.attempts]
    statuses += [status for _, status in context.retries]
    assert len(ran) == len(set(ran)) == statuses.count(200), (ran, statuses)


@then('operators see the return times, and "why" tells what one rests on')
def step_operators(context):
    [row] = [
        row for row in _overload_rows(context, "g2") if row["priority"] == 0
    ]
    told = row["return_times"]
    assert set(told) <= {"turn", "latest"}, told
    refused = [one for one in context.refused if one.gateway == "g2"]
    assert sum(told.values()) >= len(refused), (told, refused)
    address = context.world.operator_address("g2")
    table = operator_tool.run("gateway", "overload", address)
    for basis, count in told.items():
        assert f"{count} {basis}" in table, table
    metrics = harness.get(address, "/metrics").body.decode()
    assert "almondstair_overload_return_times" in metrics
    log = str(context.processes.children["g2"].log)
    for attempt in refused:
        text = operator_tool.run("gateway", "why", attempt.request, log)
        assert "told to return after" in text, text


@then("no return time is counted")
def step_none_counted(context):
    rows = _overload_rows(context, "g1")
    assert rows
    for row in rows:
        assert row["return_times"] == {}, row
