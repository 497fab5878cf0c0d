"""Steps for the command-line tool against a scripted operator listener."""

import json
from pathlib import Path
import shlex

from behave import given
from behave import then
from behave import when

from almondstair import configuration_edits
from features.support import control
from features.support import operator_fake

_ROOT = Path(__file__).parents[2]
_DEPLOYMENT = _ROOT / "examples/tallow-brae/deployment.toml"
_CLOSED_ADDRESS = "127.0.0.1:1"


def _set_response(context, method, path, *, status=200, body=None, lost=False):
    response = operator_fake.ScriptedResponse(status, body, lost)
    context.fake.add_response(method, path, response)


def _body(context):
    """Returns the step's JSON with the addresses of the entries filled in."""
    text = context.text.replace("ENTRY", context.fake.address)
    if "OTHER" in text:
        text = text.replace("OTHER", context.other_fake.address)
    return json.loads(text)


def _calls(context, method, path):
    found = []
    for call in context.fake.calls:
        if (call.method, call.path) == (method, path):
            found.append(call)
    return found


@given("an entry at version {version:d} of the Tallow Brae configuration")
def step_entry(context, version):
    context.fake = operator_fake.FakeOperatorServer()
    context.add_cleanup(context.fake.stop)
    context.configuration_text = _DEPLOYMENT.read_text(encoding="utf-8")
    _set_response(
        context,
        "GET",
        "/v1/configuration",
        body={
            "version": version,
            "edit_id": "edit-1",
            "author": "ann",
            "edited_at": "2026-01-01T00:00:00Z",
            "text": context.configuration_text,
            "in_force": {"e1": version, "e2": None},
        },
    )


@given('the entry answers "{method} {path}" with')
def step_answer(context, method, path):
    _set_response(context, method, path, body=_body(context))


@given('the entry answers "{method} {path}" with status {status:d} and')
def step_answer_status(context, method, path, status):
    body = _body(context)
    _set_response(context, method, path, status=status, body=body)


@given("another entry")
def step_other_entry(context):
    context.other_fake = operator_fake.FakeOperatorServer()
    context.add_cleanup(context.other_fake.stop)


@given('the other entry answers "{method} {path}" with')
def step_other_answer(context, method, path):
    response = operator_fake.ScriptedResponse(body=_body(context))
    context.other_fake.add_response(method, path, response)


@given('the entry loses its answer to "{method} {path}"')
def step_lost(context, method, path):
    _set_response(context, method, path, lost=True)


def _edit_status(state, version, lagging_entries):
    return {
        "edit_id": "any",
        "state": state,
        "version": version,
        "lacking": lagging_entries,
    }


@given("the fate of every edit is accepted as version {version:d}")
def step_fate(context, version):
    body = _edit_status("accepted", version, [])
    _set_response(context, "GET", "/v1/edits/*", body=body)


@given(
    "every edit asked for is first pending and then accepted as version "
    "{version:d}"
)
def step_fates(context, version):
    body = _edit_status("pending", version, ["e2"])
    _set_response(context, "GET", "/v1/edits/*", body=body)
    step_fate(context, version)


@given("the file {file:S} holds the configuration with {old} as {new}")
def step_file(context, file, old, new):
    assert old in context.configuration_text
    text = context.configuration_text.replace(old, new, 1)
    path = control.directory(context) / file
    path.write_text(text, encoding="utf-8")


def _run(context, command, *, entry):
    arguments = []
    for argument in shlex.split(command):
        if argument.endswith(".toml"):
            arguments.append(str(control.directory(context) / argument))
            continue
        arguments.append(argument)
    if entry:
        arguments.append(f"--entry={entry}")
    control.run(context, [*arguments, "--author=bob"])


@when("the operator runs `{command}`")
def step_run(context, command):
    _run(context, command, entry=context.fake.address)


@when("the operator runs `{command}` with a silent entry named first")
def step_run_second(context, command):
    _run(context, command, entry=f"{_CLOSED_ADDRESS},{context.fake.address}")


@when("the operator runs `{command}` against a silent entry")
def step_run_silent(context, command):
    _run(context, command, entry=_CLOSED_ADDRESS)


@when("the operator runs `{command}` without an entry")
def step_run_without(context, command):
    _run(context, command, entry="")


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    seen = context.exit_code
    assert seen == code, (seen, context.output, context.notes)


@then('the error kind is "{kind}"')
def step_kind(context, kind):
    assert json.loads(context.output)["kind"] == kind, context.output


@then('the output says "{text}"')
def step_output(context, text):
    assert text in context.output, context.output


@then('the output does not say "{text}"')
def step_no_output(context, text):
    assert text not in context.output, context.output


@then('the notes say "{text}"')
def step_notes(context, text):
    assert text in context.notes, context.notes


@then("the output is the configuration")
def step_output_configuration(context):
    assert context.output == context.configuration_text


@then('the output is JSON with "{key}" as {value}')
def step_json(context, key, value):
    seen = json.loads(context.output)[key]
    assert seen == json.loads(value), (seen, context.output)


@then('the row of "{name}" reads "{cells}"')
def step_row(context, name, cells):
    for line in context.output.splitlines():
        parts = [part.strip() for part in line.split("│")[1:-1]]
        if parts and parts[0] == name:
            assert " | ".join(parts[1:]) == cells, parts
            return
    raise AssertionError(context.output)


@then('"{method} {path}" was sent {count:d} times')
def step_sent(context, method, path, count):
    calls = _calls(context, method, path)
    assert len(calls) == count, context.fake.calls


@then('the edit that was sent has base version {version:d} and changes "{key}"')
def step_edit(context, version, key):
    body = _calls(context, "POST", "/v1/configuration")[0].body
    assert body["base_version"] == version
    assert body["author"] == "bob"
    assert body["edit_id"]
    changed = configuration_edits.describe_changes(
        context.configuration_text, body["text"]
    )
    assert changed == [key], changed


@then('the mark that was sent is "{name}" with leaving {leaving}')
def step_mark(context, name, leaving):
    body = _calls(context, "POST", "/v1/marks")[0].body
    assert body["name"] == name
    assert body["leaving"] is json.loads(leaving)
    assert body["author"] == "bob"
