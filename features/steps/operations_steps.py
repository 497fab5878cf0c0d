"""Steps for the command-line tool against running entries."""

import json
import shlex

from behave import given
from behave import then
from behave import when

from features.support import control
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import wait_until


@given("two regions with an entry and two upstreams each")
def step_two_regions(context):
    shape = Shape(entries={"r1": 1, "r2": 1}, upstreams={"r1": 2, "r2": 2})
    context.deployment = Deployment(processes=context.processes, shape=shape)
    context.deployment.start()


def _run(context, entry, arguments):
    address = context.deployment.entries[entry]["operator"]
    control.run(context, [*arguments, f"--entry={address}", "--author=bob"])


def _status(context):
    _run(context, "r1-e0", ["status", "--json"])
    assert context.exit_code == 0, context.notes
    return json.loads(context.output)


@when('the operator of "{entry}" runs `{command}`')
def step_run_at(context, entry, command):
    _run(context, entry, shlex.split(command))


@when('the platform\'s list says that upstream "{name}" leaves')
def step_vm_leaving(context, name):
    context.deployment.publish_vms(leaving=(name,))


@when('entry "{name}" is frozen')
def step_freeze(context, name):
    context.processes.children[name].freeze()


@when("the platform is taken down")
def step_platform_down(context):
    context.deployment.faults(down=True)


@then("within {limit_s:g} s the status has a report of every upstream")
def step_reports(context, limit_s):
    def all_reported():
        for row in _status(context)["upstreams"]:
            if row["report_age_s"] is None:
                return False
        return True

    wait_until(all_reported, limit_s=limit_s, what="a report of each upstream")


@then("the status has an answer of every entry")
def step_all_answer(context):
    for row in _status(context)["entries"]:
        assert row["answers"], row


@then('within {limit_s:g} s the drain of "{name}" is leaving')
def step_drain_leaving(context, limit_s, name):
    def leaving():
        for row in _status(context)["upstreams"]:
            if row["name"] == name:
                return row["state"] == "leaving"
        return False

    wait_until(leaving, limit_s=limit_s, what=f"{name} to leave")


@then('the row of "{name}" says {word:S}')
def step_row_says(context, name, word):
    for line in context.output.splitlines():
        cells = [cell.strip() for cell in line.split("│")[1:-1]]
        if cells and cells[0] == name:
            assert word in cells, cells
            return
    raise AssertionError(context.output)
