"""Steps for a settings file that changes while a gateway runs."""

import json
import os
import signal
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from emulator.documents import HOST
from emulator.documents import route
from features.steps.gateway_fleet_steps import begin_request
from features.support import harness
from features.support.gateway_world import GatewayWorld

_FAR_ZONE = {"c1": "north"}


def _send_sighup(context):
    process = context.processes.children["g1"].process
    process.send_signal(signal.SIGHUP)


@given("a gateway with an upstream of a zone that its settings do not name")
def step_far_upstream(context):
    context.world = GatewayWorld(processes=context.processes)
    context.world.start_upstream("far", zone="c1")
    context.world.configure()
    context.world.start_gateway()
    context.world.until_served()


@when("its settings say that look-ups are kept {ttl_s:g} s")
def step_ttl(context, ttl_s):
    context.world.change_settings(bounds={"ttl_max_s": ttl_s})


@then("look-ups are good for {ttl_s:g} s within {limit_s:g} s")
def step_ttl_told(context, ttl_s, limit_s):
    address = context.world.gateways["g1"]["lookups"]

    def check():
        path = f"/resolve?name={HOST}&region=east&zone=a1"
        body = json.loads(harness.get(address, path).body)
        return body["ttlS"] == ttl_s

    harness.wait_until(check, limit_s=limit_s, what="the new TTL")


@when("a route is kept to that zone's region")
def step_kept(context):
    near = route("/near/", allowedRegions=["north"])
    context.world.configure([*context.world.routes, near])
    time.sleep(2.0)


@then('"{path}" is answered 503')
def step_refused(context, path):
    assert context.world.send("GET", path).status == 503


@when("its settings name that zone and it gets SIGHUP")
def step_named(context):
    context.world.change_settings(zones=_FAR_ZONE)
    _send_sighup(context)


@when("a second store with a newer configuration takes the first one's place")
def step_second_store(context):
    world = context.world
    world.replace_store()
    world.start_upstream("later")
    world.configure([*world.routes, route("/later/")])
    world.change_settings()


@when("its settings file is cut short and it gets SIGHUP")
def step_cut_short(context):
    path = context.world.settings_path("g1")
    text = path.read_text(encoding="utf-8")
    path.write_text(text[: len(text) // 2], encoding="utf-8")
    _send_sighup(context)


@then("its log names the settings file and a remedy")
def step_bad_logged(context):
    path = str(context.world.settings_path("g1"))

    def check():
        return context.world.log_events("g1", 404)

    found = harness.wait_until(check, limit_s=3.0, what="the log line")
    assert path in found[0]["detail"], found
    assert "mend" in found[0]["detail"] or "check" in found[0]["detail"], found


@when(
    "a request is under way, its settings name another address and it gets "
    "SIGHUP"
)
def step_other_address(context):
    begin_request(context)
    context.world.change_settings(addresses={"callers": harness.free_address()})
    _send_sighup(context)


@then('its log says that "{field}" needs a restart')
def step_restart_logged(context, field):
    def check():
        return context.world.log_events("g1", 403)

    found = harness.wait_until(check, limit_s=3.0, what="the log line")
    assert found[0]["after_restart"] == [field], found


# Signals during startup.

# Signals its own process when the daemon is imported, as the platform may do.
_SIGNAL_AT_IMPORT_SCRIPT = """
import os
import runpy
import sys


class Signalling:
    def find_spec(self, name, path=None, target=None):
        if name == "almondstair.gateway.daemon":
            os.kill(os.getpid(), {number})
        return None


sys.meta_path.insert(0, Signalling())
runpy.run_module("almondstair.gateway", run_name="__main__")
"""


@when("{name} comes as the gateway's modules are imported")
def step_signal_at_import(context, name):
    number = int(signal.Signals[name])
    script = _SIGNAL_AT_IMPORT_SCRIPT.replace("{number}", str(number))
    context.done = subprocess.run(
        [sys.executable, "-c", script],
        cwd=harness.ROOT,
        env={**os.environ, "ALMONDSTAIR_BOOT": ""},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@then("the process goes on and says what its settings lack")
def step_went_on(context):
    assert context.done.returncode == 2, context.done
    assert "ALMONDSTAIR_BOOT" in context.done.stderr, context.done


@then("the process ends with 0")
def step_ended(context):
    assert context.done.returncode == 0, context.done
