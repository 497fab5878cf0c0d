"""Steps for the operators' views of gateways on the command line."""

import json
import threading
import time

from behave import given
from behave import then
from behave import when

from almondstair.tools import gateway_client
from almondstair.tools import gateway_views
from emulator.documents import route
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld


def _run_view(context, view, *gateways):
    addresses = []
    for name in gateways or ("g1",):
        addresses.append(context.world.operator_address(name))
    text = operator_tool.run("gateway", view, *addresses, "--json")
    return json.loads(text)


def _run_config(context, verb, *gateways, version=0):
    addresses = []
    for name in gateways or ("g1",):
        addresses.append(context.world.operator_address(name))
    options = [f"--version={version}"] if version else []
    return operator_tool.run(
        "gateway", "config", verb, *addresses, *options, "--json"
    )


@then('"gateway vm" of both shows "g1" and "g2" as known to 2 gateways')
def step_vms(context):
    shown = _run_view(context, "vm", "g1", "g2")
    known = {row["name"]: len(row["known_to"]) for row in shown["vms"]}
    assert known == {"g1": 2, "g2": 2}, shown
    for age_s in shown["store_age_s"].values():
        assert age_s < 5, shown


@then('"gateway vm" of both shows the second one\'s silence')
def step_vm_silent(context):
    shown = _run_view(context, "vm", "g1", "g2")
    address = context.world.operator_address("g2")
    rows = {row["name"]: row for row in shown["vms"]}
    assert rows[address]["answers"] is False, shown
    assert rows[address]["ready"] is None, shown
    assert shown["store_age_s"][address] is None, shown


@when("a request runs for {work_s:g} s at an upstream that then drains")
def step_run_and_drain(context, work_s):
    world = context.world
    for name in world.upstreams:
        world.upstream_faults(name, slower=work_s / 0.05)
    # No upstream has this object cached; cached ones take a third of the time.
    thread = threading.Thread(target=world.send, args=("GET", "/safe/new"))
    thread.start()
    context.add_cleanup(thread.join)

    def running():
        for name in world.upstreams:
            for run in world.runs(name):
                if run["path"] == "/safe/new" and not run["ended"]:
                    return name
        return None

    name = harness.wait_until(running, limit_s=4.0, what="the request to run")
    harness.post(world.upstreams[name], "/emulator/drain")


def _drain_rows(context, in_flight):
    def check():
        rows = _run_view(context, "drain")["draining"]
        return [row for row in rows if row["in_flight"] == in_flight]

    return check


@then('"gateway drain" shows it with 1 request in flight')
def step_drain_busy(context):
    """Reads the view here, as the start of a process may outlast the work."""
    address = context.world.operator_address("g1")

    def check():
        rows = gateway_views.draining(gateway_client.fetch_statuses([address]))
        return [row for row in rows if row.in_flight == 1]

    rows = harness.wait_until(check, limit_s=4.0, what="the drain")
    assert rows[0].known_to == ["g1"], rows
    assert rows[0].not_known_to == [], rows


@then('"gateway drain" shows it idle within {limit_s:g} s')
def step_drain_idle(context, limit_s):
    harness.wait_until(
        _drain_rows(context, 0), limit_s=limit_s, what="the drain to end"
    )


@then('"gateway evacuations" shows "{zone}" within {limit_s:g} s')
def step_evacuation(context, zone, limit_s):
    def check():
        return _run_view(context, "evacuations")["evacuations"]

    rows = harness.wait_until(check, limit_s=limit_s, what="the evacuation")
    assert rows[0]["availability_zone"] == zone, rows
    assert 0 <= rows[0]["known_for_s"]["g1"] < 5, rows
    context.traffic.stop()


@then('"gateway evacuations" shows none within {limit_s:g} s')
def step_no_evacuation(context, limit_s):
    def check():
        return not _run_view(context, "evacuations")["evacuations"]

    harness.wait_until(check, limit_s=limit_s, what="the evacuation to end")


@then('"gateway config show" prints the route "{prefix}"')
def step_config_show(context, prefix):
    shown = json.loads(_run_config(context, "show"))
    assert f'"{prefix}"' in shown["text"], shown
    assert shown["store_age_s"] < 5, shown


@then(
    '"gateway config history" lists versions {older:d} and {newer:d} with '
    "their ages"
)
def step_config_history(context, older, newer):
    shown = json.loads(_run_config(context, "history"))
    versions = [row["version"] for row in shown["versions"]]
    assert versions == [newer, older], shown
    ages_s = [row["in_force_s_ago"] for row in shown["versions"]]
    assert 0 <= ages_s[0] < ages_s[1], shown


def _assert_added(lines, prefix):
    added = [line for line in lines if line.startswith("+")]
    assert any(f'"{prefix}"' in line for line in added), lines


@then(
    '"gateway config diff" against version {version:d} shows that "{prefix}" '
    "was added"
)
def step_config_diff(context, version, prefix):
    shown = json.loads(_run_config(context, "diff", version=version))
    _assert_added(shown["lines"], prefix)


# The walk-through of the operators' page.


@given("2 gateways that follow different stores")
def step_two_stores(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1")
    world.configure()
    world.start_gateway("g1")
    first = world.store
    world.start_store("store-2")
    context.second_store = world.store
    world.version = 0
    world.configure()
    world.start_gateway("g2")
    world.store = first


@when(
    "a configuration reaches the first one's store only and the other's fails"
)
def step_reaches_one(context):
    world = context.world
    first = world.store
    world.store = context.second_store
    world.store_faults(mode="reset", leases_pause=True)
    world.store = first
    world.configure([*world.routes, route("/more/")])

    def check():
        return world.send("GET", "/more/x").status == 200

    harness.wait_until(check, limit_s=4.0, what="the route on the first one")
    assert world.send("GET", "/more/x", gateway="g2").status == 404


@then(
    '"gateway status" shows versions {newer:d} and {older:d}, and the '
    "second's store age"
)
def step_status_versions(context, newer, older):
    time.sleep(1.0)
    shown = _run_view(context, "status", "g1", "g2")
    versions = [body["configuration_version"] for body in shown]
    assert versions == [newer, older], shown
    assert shown[1]["store_age_s"] > shown[0]["store_age_s"], shown
    context.age_s = shown[1]["store_age_s"]


@then('"gateway config diff" between the two shows that "{prefix}" was added')
def step_diff_two(context, prefix):
    shown = json.loads(_run_config(context, "diff", "g1", "g2"))
    _assert_added(shown["lines"], prefix)


@then("the second one's log says since when it has no word, and why")
def step_log_why(context):
    lines = context.world.log_events("g2", 421)
    assert lines, "no log line on the loss of the store"
    assert lines[-1]["age_s"] < 5, lines
    assert lines[-1]["detail"], lines
