"""Steps for the speed that upstreams state."""

from concurrent import futures
import itertools
import json
from pathlib import Path
import random
import re
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from almondstair.core.fleet import Fleet
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limits import UpstreamLimits
from almondstair.core.upstream_speed import ServiceSpeeds
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.operator_reports import describe_upstream
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.platform import headers as names
from almondstair.platform.statements import decode_statement
from almondstair.tools import gateway_tables
from emulator import load_pattern
from emulator.load_pattern import Disturbance
from emulator.modelled_entry import ModelledEntry
from emulator.replay import Replay
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld

_PATTERNS = Path(__file__).resolve().parents[2] / "emulator" / "patterns"
_SERVICE = "s"


def _head(text):
    return ResponseHead(status=200, headers=[(names.LOAD, text.encode())])


def _statement(text):
    head = _head(text)
    return decode_statement(status=head.status, headers=head.headers)


@when('a response states the load "{load}"')
def step_states(context, load):
    context.statement = _statement(load)


@then("its first three figures are {running:d}, {waiting:d} and {slots:d}")
def step_first(context, running, waiting, slots):
    assert context.statement.load[:3] == (running, waiting, slots)


@then("its speed is {percent}, with {count:d} unreadable value")
def step_speed(context, percent, count):
    expected = None if percent == "unknown" else int(percent)
    assert context.statement.load.run_time_percent == expected
    assert len(context.statement.unreadable) == count, context.statement


# One entry.


def _record(name, started_ms=1):
    return UpstreamRecord(
        name, _SERVICE, f"{name}:1", "z", "v", 4, False, 0.0, started_ms
    )


@given("an entry that keeps speeds")
def step_entry(context):
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    for number in range(24):
        context.fleet.apply_upstream(_record(f"u-{number}"), now_s=0.0)
    context.records = OverloadRecords()
    context.speeds = ServiceSpeeds(records=context.records)
    context.changes = []
    context.now_s = 0.0


def _state(context, name):
    for state in context.fleet.upstreams():
        if state.record.upstream_id == name:
            return state
    raise KeyError(name)


def _hear(context, name, figure, at_s):
    text = "1,0,4" if figure is None else f"1,0,4,{figure}"
    change = context.speeds.record(
        _statement(text).load,
        service=_SERVICE,
        speed=_state(context, name).speed,
        now_s=at_s,
    )
    if change is not None:
        context.changes.append(change)


@when('"{name}" states {figure} at {at_s:g} s')
def step_hear(context, name, figure, at_s):
    _hear(context, name, None if figure == "nothing" else figure, at_s)


@then('at {at_s:g} s "{name}" is {slow}, by a figure {age_s:g} s old')
def step_is_slow(context, at_s, name, slow, age_s):
    speed = _state(context, name).speed
    assert speed.is_slow(now_s=at_s) is (slow == "slow")
    assert abs(speed.age_s(now_s=at_s) - age_s) < 1e-9


def _answers(context, span_s, figure):
    """Lets each upstream answer ten times a second."""
    for step in range(round(span_s * 10)):
        for number in range(24):
            at_s = context.now_s + step / 10
            _hear(context, f"u-{number}", figure(number, at_s), at_s)
    context.now_s += span_s


@when("a sixth of 24 upstreams states 250 by turns for {span_s:g} s")
def step_turns(context, span_s):
    _answers(
        context,
        span_s,
        lambda number, at_s: 250 if (number + int(at_s)) % 6 == 0 else 100,
    )


@when("all 24 upstreams state {figure:d} for {span_s:g} s")
def step_all(context, figure, span_s):
    context.changes.clear()
    _answers(context, span_s, lambda number, at_s: figure)


@then("no change of the service is told")
def step_no_change(context):
    assert not context.changes, context.changes


@then("one change of the service is told, to {speed}")
def step_change(context, speed):
    [change] = context.changes
    assert (change.service, change.is_slow) == (_SERVICE, speed == "slow")


@then("{usual:d} answer was usual and {slow:d} was slow")
def step_counts(context, usual, slow):
    assert context.records.speeds()[_SERVICE] == (usual, slow)


@when('"{name}" starts again at {at_s:g} s')
def step_restart(context, name, at_s):
    context.fleet.apply_upstream(_record(name, started_ms=2), now_s=at_s)


@then('the speed of "{name}" is unknown')
def step_unknown(context, name):
    speed = _state(context, name).speed
    assert speed.run_time_percent is None
    assert speed.age_s(now_s=99.0) is None
    assert not speed.is_slow(now_s=99.0)


# Placement.


@given("two entries with the same 12 upstreams, one of which hears speeds")
def step_two_entries(context):
    pattern = load_pattern.load(_PATTERNS / "steady.toml")
    [service] = pattern.services
    service = msgspec.structs.replace(service, upstreams={"r0": 12})
    pattern = msgspec.structs.replace(pattern, services=[service])
    context.entries = []
    for _ in range(2):
        entry = ModelledEntry(
            name="e", region="r0", pattern=pattern, names=("e", "f")
        )
        context.entries.append(entry)


def _upstreams(entry):
    [upstreams] = entry.eligible_upstreams().values()
    return upstreams


@when("each upstream states {figures} to it")
def step_each_states(context, figures):
    texts = figures.replace(" or ", ", ").split(", ")
    hearing = context.entries[1]
    speeds = ServiceSpeeds(records=OverloadRecords())
    for step in range(20):
        for number, state in enumerate(_upstreams(hearing)):
            text = f"1,0,6,{texts[(number + step) % len(texts)]}"
            speeds.record(
                _statement(text).load,
                service="short",
                speed=state.speed,
                now_s=100.0 + step / 10,
            )


def _choices(entry):
    found = []
    rng = random.Random(1)
    for number in range(200):
        kind = rng.choice(["look-up", "order"])
        request = PlacementRequest(
            route=entry.routes[kind],
            service="short",
            key=f"key-{number}",
            arrived_s=102.0,
            deadline_s=104.0,
            tried=(),
            limit_refusals=LimitRefusals(),
        )
        choice = entry.placer.place(request, now_s=102.0).choice
        choice.upstream.record_sent(now_s=102.0)
        found.append((choice.upstream.record.upstream_id, choice.expected_s))
        if number % 2:
            choice.upstream.record_ended()
    return found


@then("both entries choose the same upstreams for 200 objects")
def step_same(context):
    silent, hearing = context.entries
    assert _choices(silent) == _choices(hearing)


@then("no upstream of it has failures, a rest, or another weight")
def step_no_lasting(context):
    silent, hearing = map(_upstreams, context.entries)
    for one, other in zip(silent, hearing, strict=True):
        assert other.failure_share(now_s=102.0) == 0.0
        assert not other.rest.is_running(now_s=102.0)
        assert not other.is_paused()
        assert other.slowness(now_s=102.0) == one.slowness(now_s=102.0)


# The gateway.


@given("a recorder of responses with the part {mode}")
def step_recorder(context, mode):
    context.fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    context.fleet.apply_upstream(_record("u-0"), now_s=0.0)
    speeds = None
    if mode == "on":
        speeds = ServiceSpeeds(records=OverloadRecords())
    context.recorder = StatementRecorder(
        fleet=context.fleet,
        pool=mock.Mock(),
        limits=UpstreamLimits(),
        speeds=speeds,
    )


@when('a response with the load "{first}" and one with "{second}" are recorded')
def step_recorded(context, first, second):
    for text in (first, second):
        context.recorder.record_response(_state(context, "u-0"), _head(text))


@then("the status page shows the speed {shown}")
def step_status(context, shown):
    row = describe_upstream(_state(context, "u-0"), context.fleet, 1e9)
    expected = None if shown == "none" else int(shown)
    assert row["run_time_percent"] == expected, row
    assert (row["run_time_age_s"] is None) is (expected is None), row


@then("{count:d} unreadable load was counted")
def step_unreadable(context, count):
    assert context.recorder.unreadable[names.LOAD.decode()] == count


@then(
    'the table of upstreams shows "{shown}", and "{unknown}" for an older '
    "version"
)
def step_table(context, shown, unknown):
    fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    fleet.apply_upstream(_record("u-0"), now_s=0.0)
    [state] = fleet.upstreams()
    state.speed.record(_statement("1,0,4,250").load, now_s=9.7)
    row = describe_upstream(state, fleet, 10.0)
    older = dict(row)
    del older["run_time_percent"], older["run_time_age_s"]
    for each, expected in ((row, shown), (older, unknown)):
        body = {"entry": "g", "upstreams": [each], "evacuated": []}
        table = gateway_tables.upstreams(body)
        cells = list(itertools.chain(*(c.cells for c in table.columns)))
        assert any(expected in str(cell) for cell in cells), cells


# Replays.


def _uneven(*further, name="uneven-upstreams", span_s=8.0, states=""):
    uneven = load_pattern.load(_PATTERNS / "uneven-upstreams.toml")
    [trouble] = uneven.troubles
    trouble = msgspec.structs.replace(trouble, states=states)
    pattern = load_pattern.load(_PATTERNS / f"{name}.toml")
    others = [each for each in pattern.troubles if each.what != "uneven"]
    return msgspec.structs.replace(
        pattern, span_s=span_s, troubles=[trouble, *others, *further]
    )


@when('uneven upstreams state "{states}" in place of their speed in "{name}"')
def step_lie(context, states, name):
    context.outcomes = []
    span_s = 8.0 if name == "uneven-upstreams" else 14.0
    for text in ("", states):
        pattern = _uneven(name=name, states=text, span_s=span_s)
        context.outcomes.append(Replay(pattern, seed=5).run())


@then("every request ends as if they told the truth")
def step_as_truth(context):
    truth, lies = context.outcomes
    assert lies == truth
    assert sum(kind.late for kind in truth.kinds.values()) > 0


@when("uneven upstreams get {times:g} times their load for {for_s:g} s")
def step_burst(context, times, for_s):
    burst = Disturbance(what="burst", at_s=5.0, for_s=for_s, times=times)
    context.pattern = _uneven(burst, span_s=14.0)
    context.outcome = Replay(context.pattern, seed=5).run()


@then("each upstream ran requests in the last {last_s:g} s")
def step_all_run(context, last_s):
    since_s = context.pattern.span_s - last_s
    used = set()
    for (_, upstream), times_s in context.outcome.arrivals.items():
        if any(at_s >= since_s for at_s in times_s):
            used.add(upstream)
    [service] = context.pattern.services
    assert used == {name for name, _ in service.upstream_locations()}, used


# Processes.


@given(
    'a gateway with 2 upstreams that state the speed "{states}", and the modes '
    '"{modes}"'
)
@given(
    'a gateway with 2 upstreams that state the speed "{states}", and the modes '
    '""'
)
def step_gateway(context, states, modes=""):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for name in ("u1", "u2"):
        world.start_upstream(name, slots=6, queue=9, work_s=0.05)
        world.upstream_faults(name, speed=states)
    world.configure()
    world.start_gateway(environment={"ALMONDSTAIR_OVERLOAD": modes})
    world.until_served()


@when("{count:d} requests are sent side by side")
def step_side_by_side(context, count):
    def send(number):
        return context.world.send("GET", f"/safe/{number}")

    with futures.ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(send, range(count)))


@then("each of them was answered in one try")
def step_answered(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses
    lines = context.world.log_events("g1", 410)
    assert {line["tries"] for line in lines} == {1}, lines


def _status(context):
    address = context.world.operator_address("g1")
    text = operator_tool.run("gateway", "status", address, "--json")
    [body] = json.loads(text)
    return body


def _metrics(context):
    address = context.world.operator_address("g1")
    return harness.get(address, "/metrics").body.decode()


@then("the operators see 250 at both, and 2 slow upstreams in the metrics")
def step_both(context):
    metrics = _metrics(context)
    rows = _status(context)["upstreams"]
    assert [row["run_time_percent"] for row in rows] == [250, 250], rows
    for row in rows:
        assert 0 <= row["run_time_age_s"] < 10, row
        assert row["failure_share"] == 0, row
    assert re.search(
        r"almondstair_overload_slow_upstreams\{.*\} 2\.0", metrics
    ), metrics


@when("the gateway is killed and starts again")
def step_killed(context):
    context.processes.children["g1"].kill()
    context.world.start_gateway()


@then("the operators see no speed until a request was answered")
def step_again(context):
    rows = _status(context)["upstreams"]
    # Health checks of upstreams may have stated it already.
    for row in rows:
        assert (row["run_time_percent"] is None) is (
            row["run_time_age_s"] is None
        ), row
    context.world.until_served()
    rows = _status(context)["upstreams"]
    assert 250 in [row["run_time_percent"] for row in rows], rows


@then("the operators see no speed, and that the loads are used")
def step_none(context):
    rows = _status(context)["upstreams"]
    assert [row["run_time_percent"] for row in rows] == [None, None], rows
    assert any(row["load_age_s"] is not None for row in rows), rows
