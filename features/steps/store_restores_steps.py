"""Steps for gateway processes whose store is restored from a copy."""

import threading
import time

from behave import given
from behave import then
from behave import when

from almondstair import log
from emulator.documents import route
from features.support import harness
from features.support.gateway_world import GatewayWorld

_UPSTREAMS = {"u1": "service", "u2": "service", "v1": "other", "v2": "other"}
_AWAY_S = 0.7
_PAUSE_S = 0.05
_SETTLE_S = 2.0
_AFTER_S = 6.0


class _Callers:
    """Sends requests to each gateway until it is stopped."""

    def __init__(self, world):
        self._world = world
        self._stopped = threading.Event()
        self.sent_s = {name: [] for name in world.gateways}
        self.statuses = {name: [] for name in world.gateways}
        self._threads = []
        for name in world.gateways:
            thread = threading.Thread(target=self._send, args=(name,))
            thread.start()
            self._threads.append(thread)

    def _send(self, gateway):
        number = 0
        while not self._stopped.is_set():
            number += 1
            self.sent_s[gateway].append(time.monotonic())
            self.statuses[gateway].append(self._status(gateway, number))
            time.sleep(_PAUSE_S)

    def _status(self, gateway, number):
        try:
            response = self._world.send(
                "GET", f"/safe/{number}", gateway=gateway
            )
        except OSError:
            return 0
        return response.status

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()


@given(
    "{near:d} gateways of one zone and {far:d} of another, with upstreams of 2 "
    "services"
)
def step_gateways(context, near, far):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    for name, service in _UPSTREAMS.items():
        world.start_upstream(name, service=service, slots=8)
    world.configure()
    zones = ["a1"] * near + ["b1"] * far
    for number, zone in enumerate(zones):
        world.start_gateway(f"g{number + 1}", zone)
    for name in world.gateways:
        world.until_served("/safe/warm-up", gateway=name)
    time.sleep(_SETTLE_S)
    context.callers = _Callers(world)
    context.add_cleanup(context.callers.stop)


def _restore(world, age_s):
    """Restores the store and leaves it silent."""
    assert harness.send("PUT", world.store, "/copy").status == 200
    time.sleep(age_s)
    world.store_faults(mode="silent")
    time.sleep(_AWAY_S)
    assert harness.post(world.store, "/copy").status == 200


@when(
    "the store is restored from a copy {age_s:g} s old while the gateways call "
    "it"
)
def step_restored(context, age_s):
    _restore(context.world, age_s)
    context.world.store_faults()


@when(
    "the store is restored from a copy {age_s:g} s old, the route is moved to "
    "the other service, and the old revision is passed before it answers"
)
def step_restored_and_passed(context, age_s):
    _restore(context.world, age_s)
    context.world.configure([route("/safe/", service="other")])
    # More writes than the upstreams made since the copy.
    context.world.operate(puts={f"other/{key}": "{}" for key in range(200)})
    context.world.store_faults()


@then("every gateway runs requests at the other service within {limit_s:g} s")
def step_runs_at_other(context, limit_s):
    world = context.world
    time.sleep(limit_s)
    for name in world.gateways:
        status = harness.get(world.operator_address(name), "/status").json()
        version = status["configuration_version"]
        assert version == world.version, (name, version)
    before = [len(world.runs(name)) for name in ("u1", "u2")]
    time.sleep(1.0)
    after = [len(world.runs(name)) for name in ("u1", "u2")]
    assert before == after, (before, after)


@when("{pause_s:g} s later the registration of one upstream is removed")
def step_removed(context, pause_s):
    world = context.world
    time.sleep(pause_s)
    answers = harness.get(world.upstreams["u1"], "/emulator/answers").json()
    upstream_id = answers[-1]["incarnation"].split()[0]
    world.upstream_faults("u1", unregistered=True)
    time.sleep(1.0)
    world.operate(remove=[f"servers/{upstream_id}"])
    context.written_s = time.monotonic()


@then("it gets no request that was sent more than {limit_s:g} s later")
def step_gets_nothing(context, limit_s):
    time.sleep(_AFTER_S)
    late = []
    for arrived_s in context.world.arrivals("u1"):
        if arrived_s > context.written_s + limit_s:
            late.append(round(arrived_s - context.written_s, 2))
    assert not late, late
    assert context.world.arrivals("u1"), "it got none before either"


@then("no request of a caller has failed meanwhile")
def step_none_failed(context):
    context.callers.stop()
    for name, statuses in context.callers.statuses.items():
        failed = [status for status in statuses if status != 200]
        assert len(statuses) > 10, (name, statuses)
        assert not failed, (name, failed)


@then("every gateway logs the epoch, and shows it in metrics and status")
def step_shows(context):
    world = context.world

    def check():
        for name in world.gateways:
            address = world.operator_address(name)
            status = harness.get(address, "/status").json()
            if status["store_epoch"] != 2:
                return False
            text = harness.get(address, "/metrics").body.decode()
            if "almondstair_store_epoch 2.0" not in text:
                return False
            event = log.Event.STORE_EPOCH_CHANGED.value.number
            if not world.log_events(name, event):
                return False
        return True

    harness.wait_until(check, limit_s=5.0, what="the epoch")


@then("every gateway is in the store again")
def step_in_store(context):
    world = context.world

    def check():
        for name in world.gateways:
            address = world.operator_address(name)
            status = harness.get(address, "/status").json()
            entries = {entry["name"] for entry in status["entries"]}
            if entries != set(world.gateways):
                return False
        return True

    time.sleep(3.0)
    assert check()
