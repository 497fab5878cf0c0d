"""Steps for the gateway's view of the fleet and for its shutdown."""

import json
import signal
import threading
import time

from behave import then
from behave import when

from almondstair.core import zone_roles
from almondstair.core.registered_entries import Entry
from emulator.documents import HOST
from emulator.documents import route
from features.steps.gateway_steps import keep_sending
from features.support import harness


class _Traffic:
    """Sends requests one after another until it is stopped."""

    def __init__(self, world, *, path="/safe/x"):
        self.statuses = []
        self._world = world
        self._path = path
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        number = 0
        while not self._ended.is_set():
            number += 1
            path = f"{self._path}{number}"
            answer = self._world.send("GET", path)
            self.statuses.append(answer.status)
            time.sleep(0.02)

    def stop(self):
        self._ended.set()
        self._thread.join()
        return self.statuses


@when("the first upstream drains")
def step_drain(context):
    _drain_first(context)
    context.traffic = _Traffic(context.world)


def _drain_first(context):
    context.watched = "u1"
    harness.post(context.world.upstreams["u1"], "/emulator/drain")


@when("the store drops its history while the first upstream drains")
def step_drain_unseen(context):
    world = context.world
    world.store_faults(mode="busy")
    time.sleep(0.3)
    _drain_first(context)
    time.sleep(0.4)
    world.drop_history()
    world.store_faults(mode="up")
    context.traffic = _Traffic(world)


@then("{after_s:g} s later it gets nothing more")
def step_nothing_more(context, after_s):
    world = context.world
    time.sleep(after_s)
    before = len(world.runs(context.watched))
    time.sleep(1.0)
    context.statuses = context.traffic.stop()
    after = len(world.runs(context.watched))
    assert after == before, (before, after)


@then("every request since was answered 200")
@then("every request meanwhile was answered 200")
def step_all_served(context):
    assert context.statuses
    wrong = [status for status in context.statuses if status != 200]
    assert not wrong, wrong


@when("the zone of the first upstream is evacuated")
def step_evacuate(context):
    context.watched = "u1"
    context.world.operate(puts={"op/evacuate/a2": "{}"})
    context.traffic = _Traffic(context.world)


@when("the zone is taken back")
def step_take_back(context):
    context.world.operate(remove=["op/evacuate/a2"])


@then("{after_s:g} s later it gets requests again")
def step_again(context, after_s):
    world = context.world
    time.sleep(after_s)
    before = len(world.runs(context.watched))
    traffic = _Traffic(world)
    time.sleep(1.0)
    traffic.stop()
    assert len(world.runs(context.watched)) > before


# Configuration.


@when('a configuration adds the route "{prefix}"')
def step_add_route(context, prefix):
    world = context.world
    context.older = (world.version, list(world.routes))
    world.configure([*world.routes, route(prefix)])


@when("the configuration before that is written again")
def step_older(context):
    world = context.world
    version, routes = context.older
    newest = world.version
    world.version = version - 2
    world.configure(routes)
    world.version = newest


@then('"{path}" is answered 200 within {limit_s:g} s')
def step_served_within(context, path, limit_s):
    def check():
        return context.world.send("GET", path).status == 200

    harness.wait_until(check, limit_s=limit_s, what=path)


@then('"{path}" is answered 200 for {span_s:g} s')
def step_served_for(context, path, span_s):
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s:
        answer = context.world.send("GET", path)
        assert answer.status == 200, answer
        time.sleep(0.05)


@then("it is not ready and answers 503 with a time to come back")
def step_not_ready(context):
    world = context.world
    ready = harness.get(world.gateways["g1"]["ready"], "/ready")
    assert ready.status == 503, ready
    answer = world.send("GET", "/safe/x")
    assert answer.status == 503, answer
    assert float(answer.headers["Retry-After"]) > 0


@when("the first configuration is written")
def step_first(context):
    context.world.configure()


# Store failures.


@when('the store is "{mode}" for {span_s:g} s')
def step_trouble(context, mode, span_s):
    world = context.world
    traffic = _Traffic(world)
    world.store_faults(mode=mode, leases_pause=True)
    time.sleep(span_s)
    world.store_faults(mode="up")
    time.sleep(1.5)
    context.statuses = traffic.stop()


@when(
    'the store is "{mode}" for {span_s:g} s and forgets the upstreams meanwhile'
)
def step_lapse(context, mode, span_s):
    world = context.world
    listed = harness.get(world.store, "/kv-range?prefix=servers/").json()
    keys = [item["key"] for item in listed["items"]]
    traffic = _Traffic(world)
    world.store_faults(mode=mode, leases_pause=True)
    time.sleep(span_s)
    for name in ("u1", "u2"):
        context.processes.children[name].freeze()
    world.operate(remove=keys)
    world.store_faults(mode="up")
    # Both upstreams lose the store for a moment, but not their callers.
    for name in ("u1", "u2"):
        context.processes.children[name].thaw()
    time.sleep(1.5)
    context.statuses = traffic.stop()


@then("the gateway's log tells that the store was lost and is back")
def step_log_store(context):
    """Checks the log for both events; the return may take up to 1.9 s.

    A call that starts while the store is silent ends 1 s later, and the next
    one up to 0.9 s after that.
    """
    assert context.world.log_events("g1", 421)

    def is_back():
        return context.world.log_events("g1", 422)

    harness.wait_until(
        is_back, limit_s=3.0, what="the log line on the store's return"
    )


@when('the store is "{mode}" and the second gateway is started anew')
def step_start_in_outage(context, mode):
    world = context.world
    world.store_faults(mode=mode, leases_pause=True)
    context.processes.children["g2"].kill()
    world.seed = world.gateways["g1"]["control"]
    world.start_gateway("g2", ready=False)


@when(
    'the store is "{mode}" for {span_s:g} s and on, and the second gateway '
    "starts anew"
)
def step_start_late_in_outage(context, mode, span_s):
    context.world.store_faults(mode=mode, leases_pause=True)
    time.sleep(span_s)
    step_start_in_outage(context, mode)


@then('the second gateway serves "{path}" within {limit_s:g} s')
def step_second_serves(context, path, limit_s):
    def check():
        answer = context.world.send("GET", path, gateway="g2")
        return answer.status == 200

    harness.wait_until(check, limit_s=limit_s, what="g2 to serve")


@when(
    "the second gateway starts anew while the store is silent for {span_s:g} s "
    "more"
)
def step_start_before_listing(context, span_s):
    world = context.world
    context.processes.children["g2"].kill()
    world.store_faults(mode="reset", leases_pause=True)
    world.start_gateway("g2", ready=False)
    recovery_timer = threading.Timer(
        span_s, world.store_faults, kwargs={"mode": "up"}
    )
    recovery_timer.start()
    context.add_cleanup(recovery_timer.join)


@then(
    "the first request to it, sent at once, is answered 200 within "
    "{limit_s:g} s"
)
def step_first_served(context, limit_s):
    began_s = time.monotonic()
    answer = context.world.send("GET", "/safe/x", gateway="g2")
    assert answer.status == 200, answer
    assert time.monotonic() - began_s < limit_s


@when(
    "the zone's reader of the store freezes and a configuration adds "
    '"{prefix}"'
)
def step_reader_freezes(context, prefix):
    world = context.world
    entries = []
    for name in world.gateways:
        entries.append(Entry(name, "", "", "east", "a1"))
    reader, other = zone_roles.ranked_entries(entries, zone="a1")
    context.other = other.name
    process = context.processes.children[reader.name].process
    context.add_cleanup(process.send_signal, signal.SIGCONT)
    process.send_signal(signal.SIGSTOP)
    world.configure([*world.routes, route(prefix)])


@then('the other gateway serves "{path}" within {limit_s:g} s')
def step_other_serves(context, path, limit_s):
    def check():
        answer = context.world.send("GET", path, gateway=context.other)
        return answer.status == 200

    harness.wait_until(check, limit_s=limit_s, what="the new route")


# Lookups.


def _lookup_addresses(world):
    answer = harness.get(
        world.gateways["g1"]["lookups"],
        f"/resolve?name={HOST}&region=east&zone=a1",
    )
    return json.loads(answer.body)["addresses"]


@then("look-ups name {count:d} gateways within {limit_s:g} s")
def step_named(context, count, limit_s):
    def check():
        return len(_lookup_addresses(context.world)) == count

    harness.wait_until(check, limit_s=limit_s, what=f"{count} gateways")


@when("the second gateway is killed")
def step_kill(context):
    context.processes.children["g2"].kill()


@when("the second gateway gets SIGTERM")
def step_term_second(context):
    context.processes.children["g2"].process.terminate()


@then("the second gateway is not ready")
def step_second_not_ready(context):
    address = context.world.gateways["g2"]["ready"]
    assert harness.get(address, "/ready").status == 503


@when(
    'the store is "{mode}" for 1 s of each 4 s, three times, and leases run on'
)
def step_store_blinks(context, mode):
    world = context.world
    context.named_counts = []
    for _ in range(3):
        world.store_faults(mode=mode)
        _record_named_counts(context, 1.0)
        world.store_faults(mode="up")
        _record_named_counts(context, 3.0)


def _record_named_counts(context, span_s):
    ends_s = time.monotonic() + span_s
    while time.monotonic() < ends_s:
        context.named_counts.append(len(_lookup_addresses(context.world)))
        time.sleep(0.05)


@then("look-ups named 2 gateways all the time")
def step_all_the_time(context):
    assert set(context.named_counts) == {2}, context.named_counts


# Cold upstreams.


@when("requests are sent through both for {span_s:g} s")
def step_both(context, span_s):
    world = context.world
    ends_s = time.monotonic() + span_s

    def send_repeatedly(gateway):
        number = 0
        while time.monotonic() < ends_s:
            number += 1
            world.send("GET", f"/safe/{number}", gateway=gateway)

    threads = []
    for gateway in ("g1", "g2"):
        for _ in range(4):
            thread = threading.Thread(target=send_repeatedly, args=(gateway,))
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()


@then("the cold upstream got at most {most:d} requests in any second")
def step_cold_rate(context, most):
    times = sorted(run["at_s"] for run in context.world.runs("cold"))
    for index, at_s in enumerate(times):
        within = 0
        for later_s in times[index:]:
            if later_s < at_s + 1.0:
                within += 1
        assert within <= most, within


@then("it got some")
def step_cold_some(context):
    assert context.world.runs("cold")


# Shutdown.


def begin_request(context):
    """Sends a request and returns while it runs."""
    context.result = []

    def send():
        context.result.append(context.world.send("GET", "/safe/x"))

    context.thread = threading.Thread(target=send)
    context.thread.start()
    time.sleep(0.3)


@when("a request is under way and the gateway gets SIGTERM")
def step_term_running(context):
    begin_request(context)
    _terminate(context)


def _terminate(context):
    context.terminated_s = time.monotonic()
    context.processes.children["g1"].process.terminate()


@then("the request is answered 200")
def step_running_served(context):
    context.thread.join()
    assert context.result[0].status == 200, context.result


@then("the gateway is gone within {limit_s:g} s with code 0")
def step_gone(context, limit_s):
    left_s = context.terminated_s + limit_s - time.monotonic()
    code = context.processes.children["g1"].wait(limit_s=max(0.1, left_s))
    assert code == 0, code


@when("the gateway gets SIGTERM and a caller keeps sending on open connections")
def step_term_sending(context):
    context.outcomes = []
    until_s = time.monotonic() + 6.0

    def send():
        while time.monotonic() < until_s:
            connection = context.world.connect()
            try:
                connection.connect()
            except OSError:
                return
            context.outcomes.extend(keep_sending(context, connection, until_s))

    threads = []
    for _ in range(2):
        thread = threading.Thread(target=send)
        thread.start()
        threads.append(thread)
    time.sleep(0.3)
    _terminate(context)
    for thread in threads:
        thread.join()


@then("every request was answered or its connection closed before it was read")
def step_none_cut(context):
    runs = {run["request"] for run in context.world.all_runs()}
    assert context.outcomes
    for status, request_id in context.outcomes:
        if status == "closed":
            assert request_id not in runs, (
                "the connection of a request that ran was closed"
            )
            continue
        assert status in (200, 503), status
