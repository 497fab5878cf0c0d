"""Steps for upstreams with false health pages, lost connections or restarts."""

import asyncio
from concurrent import futures
import json
import socket
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from almondstair.core.fleet import Fleet
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway import upstream_connector
from emulator.documents import BOUNDS
from features.support import harness
from features.support.gateway_world import GatewayWorld
from features.support.steady_traffic import SteadyTraffic

_DOWN_S = 0.8
_UP_S = 1.4


@given("the first upstream's health page says that it is ill")
def step_ill(context):
    context.world.upstream_faults("u1", sick=True)


@when("{count:d} requests about objects of their own are sent")
def step_objects(context, count):
    step_objects_together(context, count, 1)


@when(
    "{count:d} requests about objects of their own are sent, {together:d} at a "
    "time"
)
def step_objects_together(context, count, together):
    world = context.world
    context.before = {run["request"] for run in world.runs("u1")}

    def send(number):
        key = f"{time.monotonic_ns()}-{number}"
        headers = {"X_Almondstair_Affinity_Key": key}
        return world.send("GET", f"/safe/{key}", headers=headers).status

    with futures.ThreadPoolExecutor(together) as pool:
        context.statuses = list(pool.map(send, range(count)))


@then("each of them was answered 200")
def step_all_answered(context):
    assert set(context.statuses) == {200}, context.statuses


def _count_first_runs(context):
    ran = 0
    for run in context.world.runs("u1"):
        ran += run["request"] not in context.before
    return ran


@then("the first upstream ran at least {least:d} of them")
def step_ran_least(context, least):
    assert _count_first_runs(context) >= least, _count_first_runs(context)


@then("the first upstream ran at most {most:d} of them")
def step_ran_most(context, most):
    ran = _count_first_runs(context)
    assert ran <= most, (ran, context.statuses)


@when("the first upstream is well again and {span_s:d} s pass")
def step_well(context, span_s):
    context.world.upstream_faults("u1")
    time.sleep(span_s)


# Repeated restarts.


def _restart_repeatedly(context, times):
    world = context.world
    address = world.upstreams["u1"]
    for _ in range(times):
        context.processes.children["u1"].kill()
        time.sleep(_DOWN_S)
        world.start_upstream("u1", address=address)
        time.sleep(_UP_S)


@when(
    "{rate:d} requests a second are sent for {span_s:d} s while the first "
    "upstream goes down and up {times:d} times"
)
def step_flap(context, rate, span_s, times):
    traffic = SteadyTraffic(context.world)
    thread = threading.Thread(target=_restart_repeatedly, args=(context, times))
    thread.start()
    traffic.send_for(span_s, rate)
    thread.join()
    traffic.end()
    context.statuses = traffic.statuses


@then("second tries stayed within the operators' bound")
def step_bound(context):
    sent = len(context.statuses)
    retries = 0
    for line in context.world.log_events("g1", 411):
        retries += line["verdict"] in ("not_run", "unknown")
    allowed = BOUNDS["retryBudgetRatio"] * sent + BOUNDS["retryBudgetSlack"]
    assert retries <= allowed, (retries, allowed)


# Idle connections.


@given(
    "a gateway with 2 upstreams that state an idle time of {stated_s:d} s and "
    "forget after {forgets_s:g} s"
)
def step_forgets(context, stated_s, forgets_s):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for name in ("u1", "u2"):
        world.start_upstream(name, work_s=0.01, keep_alive_s=stated_s)
    world.configure()
    world.start_gateway()
    world.until_served()
    for name in world.upstreams:
        world.upstream_faults(name, forget_idle_s=forgets_s)


@given("a safe request has just run at each of them")
def step_each_kept(context):
    world = context.world
    known = {run["request"] for run in world.all_runs()}

    def each_ran():
        key = str(time.monotonic_ns())
        headers = {"X_Almondstair_Affinity_Key": key}
        assert world.send("GET", f"/safe/{key}", headers=headers).status == 200
        for name in world.upstreams:
            if known.issuperset(run["request"] for run in world.runs(name)):
                return False
        return True

    harness.wait_until(each_ran, what="a request at each upstream")


@when("a {kind} request comes after {idle_s:g} s without any")
def step_after_idle(context, kind, idle_s):
    world = context.world
    headers = {"X_Almondstair_Affinity_Key": "same"}
    assert world.send("GET", "/safe/before", headers=headers).status == 200
    time.sleep(idle_s)
    method, body = ("GET", None) if kind == "safe" else ("POST", b"pay")
    began_s = time.monotonic()
    context.path = f"/{kind}/after"
    context.answer = world.send(
        method, context.path, body=body, headers=headers
    )
    context.took_s = time.monotonic() - began_s


@then("it was answered 200 within {limit_s:g} s, and ran once")
def step_answered_once(context, limit_s):
    assert context.answer.status == 200, context.answer
    assert context.took_s < limit_s, context.took_s
    ran = 0
    for run in context.world.all_runs():
        ran += run["path"] == context.path
    assert ran == 1, ran


# Upstreams that cannot be reached.


@given("an upstream is registered at an address that takes no connections")
def step_takes_none(context):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    context.sockets = [listener]
    # The kernel accepts connections until its queue is full; later ones get
    # no answer.
    while True:
        filler = socket.socket()
        filler.settimeout(0.3)
        context.sockets.append(filler)
        try:
            filler.connect(address)
        except TimeoutError:
            break
    record = {
        "service": "service",
        "address": f"{address[0]}:{address[1]}",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftS": 0,
        "seq": 1,
        "born": 1,
    }
    context.world.operate(puts={"servers/gone": json.dumps(record)})


@when("{rate:d} requests a second are sent for {span_s:d} s")
def step_steady(context, rate, span_s):
    context.times = []

    def send(number):
        began_s = time.monotonic()
        headers = {"X_Almondstair_Affinity_Key": f"steady-{number}"}
        answer = context.world.send("GET", "/safe/steady", headers=headers)
        assert answer.status == 200, answer
        context.times.append((began_s, time.monotonic() - began_s))

    with futures.ThreadPoolExecutor(rate) as pool:
        sent = []
        for number in range(rate * span_s):
            sent.append(pool.submit(send, number))
            time.sleep(1 / rate)
    for future in sent:
        future.result()


@then(
    "those sent {later_s:g} s after the first slow one took less than "
    "{limit_s:g} s"
)
def step_quick_later(context, later_s, limit_s):
    for open_socket in context.sockets:
        open_socket.close()
    slow = [began_s for began_s, took_s in context.times if took_s >= limit_s]
    assert slow, "no request went to the address that accepts no connections"
    late = [began_s - min(slow) for began_s in slow]
    assert max(late) <= later_s, late


@given("an upstream that refuses its first {count:d} connections")
def step_refuses_first(context, count):
    answers = [OSError("refused")] * count + [mock.Mock()] * 9
    _create_connector(context, mock.AsyncMock(side_effect=answers))


def _create_connector(context, connect):
    fleet = Fleet(own_name="e", own_region="r", zones={"z": "r"})
    record = UpstreamRecord("u", "s", "a:1", "z", "v", 4, False, 0.0)
    fleet.apply_upstream(record, now_s=0.0)
    [context.upstream] = fleet.upstreams()
    context.pool = mock.Mock()
    context.pool.connect = connect
    context.connector = upstream_connector.UpstreamConnector(
        fleet=fleet,
        pool=context.pool,
        crash_reports=mock.Mock(),
        link_monitor=mock.Mock(),
        own_region="r",
        regions=("r",),
    )


@given("an upstream that accepts connections after {after_s:g} s")
def step_accepts_after(context, after_s):
    async def connect(*, address, timeout_s):
        del address
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(after_s)
        return mock.Mock()

    _create_connector(context, connect)


@when("the event loop stalls for {stall_s:g} s while a connection is opened")
def step_stall(context, stall_s):
    async def stall():
        opening = asyncio.ensure_future(
            context.connector.connect(context.upstream)
        )
        await asyncio.sleep(0.01)
        time.sleep(stall_s)
        context.connection = await opening
        context.connector.close()

    asyncio.run(stall())


@then("the upstream is reachable, and has the connection")
def step_reachable(context):
    assert context.connection is not None
    assert not context.upstream.is_unreachable


@then("the upstream is unreachable")
def step_unreachable(context):
    assert context.connection is None
    assert context.upstream.is_unreachable


@when("a request and a lost answer find it gone at the same time")
def step_both_find(context):
    context.paused = []

    async def find():
        context.connector.probe_after_loss(context.upstream)
        assert await context.connector.connect(context.upstream) is None
        for _ in range(40):
            context.paused.append(context.upstream.is_paused())
            await asyncio.sleep(0.005)

    _run_with_short_pauses(find)


def _run_with_short_pauses(work):
    with (
        mock.patch.object(upstream_connector, "FIRST_PROBE_PAUSE_S", 0.01),
        mock.patch.object(upstream_connector, "LOSS_WATCH_S", 0.01),
    ):
        asyncio.run(work())


@then("it gets nothing until a look has reached it, and the connection is kept")
def step_kept(context):
    paused = context.paused
    assert paused[0] and not paused[-1], paused
    # Once it is eligible again it stays eligible.
    assert paused == sorted(paused, reverse=True), paused
    assert context.pool.release.called


@when("a request finds it gone in the moment in which a look has reached it")
def step_moment(context):
    upstream = context.upstream

    async def find():
        loop = asyncio.get_running_loop()

        def fail(*_, **__):
            context.pool.release.side_effect = None
            upstream.record_unreachable()
            loop.call_soon(context.connector.probe_after_loss, upstream)

        context.pool.release.side_effect = fail
        context.connector.probe_after_loss(upstream)
        await asyncio.sleep(0.1)

    _run_with_short_pauses(find)


@then("a look reaches it again")
def step_again(context):
    assert context.pool.connect.await_count == 2
    assert not context.upstream.is_paused()
