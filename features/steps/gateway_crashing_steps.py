"""Steps for requests that crash upstreams, sent through several gateways."""

from concurrent import futures
import time

from behave import given
from behave import then
from behave import when

from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import CrashVerdict
from almondstair.core.crash_suspects import Strike
from features.support import harness
from features.support.crashing_world import CrashingWorld
from features.support.gateway_world import ZONES
from features.support.gateway_world import GatewayWorld

LOOKUP_PATH = "/safe/popular"
# Long enough that the kill comes while every upstream runs the lookup.
WORK_S = 0.3
SETTLE_S = 1.0


@given("{gateways:d} gateways in {zones:d} zones with {upstreams:d} upstreams")
def step_world(context, gateways, zones, upstreams):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    names = list(ZONES)[:zones]
    for number in range(upstreams):
        zone = names[number % zones]
        world.start_upstream(f"u{number + 1}", zone=zone)
    world.configure()
    for number in range(gateways):
        zone = names[number % zones]
        world.start_gateway(f"g{number + 1}", zone, ready=False)
    for name in world.gateways:
        world.wait_ready(name)
        world.until_served("/safe/warm-up", gateway=name)
    time.sleep(SETTLE_S)


def _gateway(context, number):
    names = list(context.world.gateways)
    return names[number % len(names)]


def _send(context, method, path, number):
    body = b"same" if method == "POST" else None
    return context.world.send(
        method, path, gateway=_gateway(context, number), body=body
    )


def _send_concurrently(
    context, *, count, width, method="GET", path=LOOKUP_PATH
):
    with futures.ThreadPoolExecutor(width) as pool:
        pending = []
        for number in range(count):
            pending.append(pool.submit(_send, context, method, path, number))
        return [future.result() for future in pending]


@given("resends come {width:d} at a time, {pause_s:g} s apart")
def step_pace(context, width, pause_s):
    context.width = width
    context.pause_s = pause_s


@when('a {method} of "{path}" is sent and resent {waves:d} times')
def step_resent(context, method, path, waves):
    context.answers = [_send(context, method, path, 0)]
    sent = 1
    with futures.ThreadPoolExecutor(context.width) as pool:
        for _ in range(waves):
            time.sleep(context.pause_s)
            wave = []
            for _ in range(context.width):
                future = pool.submit(_send, context, method, path, sent)
                wave.append(future)
                sent += 1
            context.answers += [future.result() for future in wave]


@then(
    "every refusal as quarantined says that it has not run, and when to return"
)
def step_refusals(context):
    refused = 0
    for answer in context.answers:
        body = answer.json()
        if body["kind"] != "quarantined":
            continue
        refused += 1
        assert answer.status == 503, answer
        assert body["ran"] == "no", body
        assert float(answer.headers["Retry-After"]) > 0, answer
    assert refused, "no request was refused as quarantined"


@then('"{path}" is answered 200 through every gateway within {limit_s:g} s')
def step_answered(context, path, limit_s):
    for gateway in context.world.gateways:

        def check(gateway=gateway):
            answer = context.world.send("GET", path, gateway=gateway)
            return answer.status == 200

        harness.wait_until(check, limit_s=limit_s, what=f"{path} at {gateway}")


@when("{count:d} upstreams are killed while they run the same look-up")
def step_killed(context, count):
    world = context.world
    for name in world.upstreams:
        world.upstream_faults(name, slower=WORK_S / 0.02)
    with futures.ThreadPoolExecutor(36) as pool:
        pending = []
        for number in range(36):
            pending.append(
                pool.submit(_send, context, "GET", LOOKUP_PATH, number)
            )
        time.sleep(WORK_S / 2)
        running = []
        for name in world.upstreams:
            for run in world.runs(name):
                if run["path"] == LOOKUP_PATH and not run["ended"]:
                    running.append(name)
        victims = sorted(set(running))[:count]
        assert len(victims) == count, running
        for name in victims:
            context.processes.children[name].kill()
        for future in pending:
            future.result()
    for name in world.upstreams:
        if context.processes.children[name].is_running():
            world.upstream_faults(name)


@then("that look-up is answered through every gateway within {limit_s:g} s")
def step_look_up_answered(context, limit_s):
    step_answered(context, LOOKUP_PATH, limit_s)


@then(
    "of {count:d} of that look-up, {width:d} at a time, at most {most:d} are "
    "not answered"
)
def step_not_answered(context, count, width, most):
    answers = _send_concurrently(context, count=count, width=width)
    failed = [answer.body for answer in answers if answer.status != 200]
    assert len(failed) <= most, failed


@given("every upstream loses one answer in {every:d}")
def step_lossy(context, every):
    for name in context.world.upstreams:
        context.world.upstream_faults(name, how="lost", every=every)


@when("the same look-up is sent {count:d} times, {width:d} at a time")
def step_same(context, count, width):
    context.answers = _send_concurrently(context, count=count, width=width)


@then("at most {most:d} of them are refused as quarantined")
def step_few_refused(context, most):
    refused = []
    for answer in context.answers:
        if answer.status != 200 and answer.json()["kind"] == "quarantined":
            refused.append(answer.json())
    assert len(refused) <= most, refused


@given(
    "{entries:d} entries in {zones:d} zones of 3 regions, {upstreams:d} "
    "upstreams and a route {placed}"
)
def step_model(context, entries, zones, upstreams, placed):
    context.model = CrashingWorld(
        by_key=placed == "placed by key",
        entries=entries,
        zones=zones,
        upstreams=upstreams,
        link_mbps=100.0,
    )


@when(
    "one request that ends its upstreams is resent by {callers:d} callers for "
    "{span_s:g} s"
)
def step_model_resent(context, callers, span_s):
    with context.model.crashing():
        context.model.resend(callers=callers, span_s=span_s)


@then("{least:d} to {most:d} of the modelled upstreams have ended")
def step_model_ended(context, least, most):
    ended = context.model.ended
    assert least <= len(ended) <= most, ended


@then("more than {count:d} sends were refused")
def step_model_refused(context, count):
    assert context.model.refused > count, context.model.refused


@when(
    "{count:d} upstreams end within {span_ms:d} ms, each with a look-up that "
    "ran {long_ms:d} ms and one that ran {short_ms:d} ms"
)
def step_end_together(context, count, span_ms, long_ms, short_ms):
    suspects = CrashSuspects()
    for number in range(count):
        now_s = 100.0 + number * span_ms / 1000 / count
        strike = Strike(7, number)
        suspects.record_lost(strike, ran_s=long_ms / 1000, now_s=now_s)
        suspects.record_lost(strike, ran_s=short_ms / 1000, now_s=now_s)
    for number in range(count):
        suspects.record_ended(number, now_s=100.05)
    context.verdict = suspects.verdict(7, now_s=100.1)


@then("that look-up is suspect, and not refused")
def step_suspect(context):
    assert context.verdict is CrashVerdict.SUSPECT, context.verdict
