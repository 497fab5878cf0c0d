"""Steps for configuration edits against real processes."""

from concurrent.futures import ThreadPoolExecutor
import json
import time

from behave import given
from behave import then
from behave import when

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import free_address
from features.support.harness import get
from features.support.harness import wait_until
from features.support.operator_actions import CONFIGURATION_KEY
from features.support.operator_actions import TABLE_KEY
from features.support.operator_actions import Operator
from features.support.operator_actions import kill_and_restart
from features.support.operator_actions import platform_value
from features.support.operator_actions import put_platform_value
from features.support.operator_actions import restart_platform_empty
from features.support.operator_actions import set_ramp
from features.support.operator_actions import wait_for_version

LOSE_CONFIGURATION = {"lose_prefix": CONFIGURATION_KEY}
NO_FAULTS = {"down": False, "down_after_loss": False}
SETTLE_LIMIT_S = 10.0
PAUSE_S = 0.02


@given("an operated deployment of two entries in bkk and one in cnx")
def step_operated(context):
    context.deployment = Deployment(
        processes=context.processes,
        shape=Shape(
            entries={"bkk": 2, "cnx": 1}, upstreams={"bkk": 2, "cnx": 1}
        ),
    )
    context.deployment.start()
    context.operator = Operator(deployment=context.deployment)
    context.fraction = 0.5


def make_edit(context, entry="bkk-e0"):
    """Makes an edit that differs from all earlier ones."""
    context.fraction = round(context.fraction - 0.01, 2)
    shown = context.operator.read(entry)
    text = set_ramp(shown["text"], context.fraction)
    return context.operator.put(entry, text, shown["version"])


@when(
    "two operators edit profile local through two entries at once, "
    "{count:d} times"
)
def step_race(context, count):
    context.races = []
    entries = ("bkk-e0", "cnx-e0")
    for number in range(count):
        shown = context.operator.read("bkk-e1")
        texts = [
            set_ramp(shown["text"], 0.1 + number / 100 + k) for k in (0, 0.2)
        ]
        operators = [Operator(deployment=context.deployment) for _ in entries]
        with ThreadPoolExecutor(2) as pool:
            futures = []
            for operator, entry, text in zip(
                operators, entries, texts, strict=True
            ):
                futures.append(
                    pool.submit(operator.put, entry, text, shown["version"])
                )
            responses = [future.result() for future in futures]
        context.races.append((operators, responses))
        wait_for_version(context.operator, "bkk-e1", shown["version"] + 1)


def winner_and_responses(race):
    """Returns the winner and the responses to the winner and the loser."""
    operators, responses = race
    if responses[0].status == 200:
        return operators[0], responses[0], responses[1]
    return operators[1], responses[1], responses[0]


@then("each time one edit was accepted and one told edit_conflict")
def step_one_winner(context):
    for race in context.races:
        _, won, lost = winner_and_responses(race)
        assert won.json()["state"] == "accepted", won
        assert lost.status == 409, lost
        assert lost.json()["kind"] == "edit_conflict", lost
        assert lost.json()["ran"] == "no", lost
        kind = lost.headers["Content-Type"]
        assert kind == "application/problem+json", kind


@then('each loser was told that "{key}" changed')
def step_told_changes(context, key):
    for race in context.races:
        winner, _, lost = winner_and_responses(race)
        assert lost.json()["changed"] == [key], lost.json()
        assert winner.edit_id in lost.json()["detail"], lost.json()


@then("one who edits the version before all that later is told the same")
def step_late_loser(context):
    # The entry has the winners' versions in force now, not version 1.
    shown = context.operator.read("bkk-e0")
    text = set_ramp(shown["text"], 0.9)
    response = context.operator.put("bkk-e0", text, 1).json()
    assert response["kind"] == "edit_conflict", response
    assert response["changed"] == ["profiles.local.ramp_fraction_per_s"], (
        response
    )


@then("the history holds the winners alone, each as a version of its own")
def step_winners(context):
    winners = [winner_and_responses(race)[0].edit_id for race in context.races]
    history = context.operator.history("bkk-e1")
    assert [row["edit_id"] for row in history][:-1] == winners[::-1], history
    assert [row["version"] for row in history] == [4, 3, 2, 1], history


@when("an operator edits while the platform loses 1 answer")
def step_lost_answer(context):
    context.deployment.faults(lose_answers=1, **LOSE_CONFIGURATION)
    make_edit(context)


@when("an operator edits and the platform goes out after the lost {what}")
def step_lost_then_out(context, what):
    context.deployment.faults(
        **{f"lose_{what}s": 1}, down_after_loss=True, **LOSE_CONFIGURATION
    )
    make_edit(context)


@then("the edit is told as edit_unknown, also when asked by its id")
def step_unknown(context):
    response = context.operator.last_response
    assert response.status == 503, response
    assert response.json()["kind"] == "edit_unknown", response
    assert response.json()["ran"] == "unknown", response
    step_edit_kind(context, "edit_unknown")


@when("the platform answers again")
def step_platform_back(context):
    context.deployment.faults(**NO_FAULTS)


@then("the edit asked by its id through every entry becomes accepted")
def step_accepted_later(context):
    for entry in context.deployment.entries:

        def is_accepted(entry=entry):
            return (
                context.operator.edit_status(entry).get("state") == "accepted"
            )

        wait_until(is_accepted, limit_s=SETTLE_LIMIT_S, what=entry)


@then("the edit asked by its id is {kind}")
def step_edit_kind(context, kind):
    status = context.operator.edit_status("bkk-e0")
    assert status["kind"] == kind, status


@when("another edit is accepted")
def step_another(context):
    first = context.operator
    context.operator = Operator(deployment=context.deployment)
    step_accept(context)
    context.operator = first


@when("an edit is accepted")
def step_accept(context):
    # The platform's state before the edit, for a later rollback.
    context.before = {
        key: platform_value(context.deployment, key)
        for key in (CONFIGURATION_KEY, TABLE_KEY)
    }
    make_edit(context)
    step_is_accepted(context)


@then("the edit is accepted")
def step_is_accepted(context):
    response = context.operator.last_response
    assert response.status == 200, response
    assert response.json()["state"] == "accepted", response
    context.version = response.json()["version"]
    # Checked at once: accepted means that every entry has it in force.
    step_in_force(context)


@then("every entry has the edit in force")
def step_in_force(context):
    for entry in context.deployment.entries:
        shown = context.operator.read(entry)
        assert shown["edit_id"] == context.operator.edit_id, (entry, shown)


@then("the history has the edit once")
def step_once(context):
    history = context.operator.history("cnx-e0")
    ids = [row["edit_id"] for row in history]
    assert ids.count(context.operator.edit_id) == 1, ids
    # There are no other versions: each edit adds one to the last.
    versions = [row["version"] for row in history]
    assert versions == list(range(len(history), 0, -1)), history


@when('an operator edits while entry "{name}" is frozen')
def step_edit_frozen(context, name):
    context.frozen = context.processes.children[name]
    context.frozen.freeze()
    make_edit(context)


@then('the edit is told as edit_pending, lacking "{name}"')
def step_pending(context, name):
    response = context.operator.last_response
    assert response.status == 202, response
    assert response.json()["kind"] == "edit_pending", response
    assert response.json()["lacking"] == [name], response
    status = context.operator.edit_status("cnx-e0")
    assert status["kind"] == "edit_pending", status
    assert status["lacking"] == [name], status


@when("the frozen entry goes on")
def step_thaw(context):
    context.frozen.thaw()


@when(
    'the platform is restarted empty, and entry "{name}" is killed and started'
)
def step_wiped(context, name):
    restart_platform_empty(context.deployment)
    kill_and_restart(context.deployment, name)


@when(
    "the platform is rolled back to its old state, and "
    'entry "{name}" is killed and started'
)
def step_rolled_back(context, name):
    deployment = context.deployment
    table = json.loads(context.before[TABLE_KEY])
    # A table from before the last entry registered.
    table = older_table(table, lacking="cnx-e0")
    value = json.dumps(table).encode()
    put_platform_value(deployment, TABLE_KEY, value)
    put_platform_value(
        deployment, CONFIGURATION_KEY, context.before[CONFIGURATION_KEY]
    )
    kill_and_restart(deployment, name)


def older_table(table, *, lacking):
    """Returns a stored table with a lower epoch and without an entry."""
    epoch, rows, lost_epoch = table
    rows = [row for row in rows if row[0] != lacking]
    assert len(rows) == len(table[1]) - 1, table
    return [epoch - 1, rows, lost_epoch]


@when('the platform is out, and entry "{name}" is killed and started')
def step_out_and_start(context, name):
    context.deployment.faults(down=True)
    kill_and_restart(context.deployment, name)
    wait_for_version(context.operator, name, context.version)


@when('an entry "{name}" that the table lacks is started as well')
def step_new_entry(context, name):
    addresses = {}
    for listener in ("caller", "forward", "peer", "operator"):
        addresses[listener] = free_address()
    context.deployment.entries[name] = addresses
    context.deployment.publish_vms()
    context.deployment.write_settings(name)
    context.deployment.start_entry(name)
    wait_for_version(context.operator, name, context.version)


@then("the edit stays in force on every entry for {time_s:d} s")
def step_stays(context, time_s):
    for entry in context.deployment.entries:
        wait_for_version(context.operator, entry, context.version)
    until_s = time.monotonic() + time_s
    while time.monotonic() < until_s:
        step_in_force(context)
        time.sleep(PAUSE_S)


@then("no entry left the table of the others")
def step_table_stands(context):
    names = set(context.deployment.entries)
    for entry in names:
        status = context.deployment.status(entry)
        assert {row["name"] for row in status["entries"]} == names, status


@when("an operator edits the version in force")
def step_repair(context):
    make_edit(context)


@then("the platform holds it, and the table with all {count:d} entries")
def step_platform_holds(context, count):
    stored = json.loads(platform_value(context.deployment, CONFIGURATION_KEY))
    assert stored[1] == context.operator.edit_id, stored

    def is_whole():
        value = platform_value(context.deployment, TABLE_KEY)
        return value and len(json.loads(value)[1]) == count

    wait_until(is_whole, limit_s=SETTLE_LIMIT_S, what="the table")


@then("every home is held again")
def step_ready(context):
    context.deployment.wait_ready()


@then('a request through "{name}" is answered')
def step_answered(context, name):
    address = context.deployment.entries[name]["caller"]

    def is_answered():
        return get(address, "/matching/orders/1").status == 200

    wait_until(is_answered, limit_s=SETTLE_LIMIT_S, what="a response")


@when('{count:d} requests are sent through "{name}"')
def step_send(context, count, name):
    address = context.deployment.entries[name]["caller"]
    context.ran = []
    # Load reports of peers that just started may still be missing.
    step_answered(context, name)
    for number in range(count):
        response = get(address, f"/matching/orders/{number}")
        assert response.status == 200, response
        context.ran.append(response.json()["upstream"])
        time.sleep(PAUSE_S)


def runs_in_cnx(context):
    return [name for name in context.ran if name.startswith("cnx")]


@then("no request ran in cnx")
def step_none_far(context):
    assert not runs_in_cnx(context), context.ran


@then("more than {count:d} requests ran in cnx")
def step_many_far(context, count):
    assert len(runs_in_cnx(context)) > count, len(runs_in_cnx(context))


@when('the service is put on profile "{profile}"')
def step_assign(context, profile):
    response = context.operator.edit(
        "cnx-e0", 'profile = "local"', f'profile = "{profile}"'
    )
    assert response.json()["state"] == "accepted", response
