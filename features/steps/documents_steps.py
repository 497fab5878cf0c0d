"""Steps for edits of the configuration text."""

import difflib
import json
from pathlib import Path

from behave import given
from behave import then
from behave import when

from almondstair import configuration_edits
from almondstair import errors
from almondstair import settings
from features.support import step_types  # noqa: F401 - registers its types

_EXAMPLES = Path(__file__).parents[2] / "examples"
_LINE_BREAK = "~"


@given('the configuration of "{example}"')
def step_example(context, example):
    path = _EXAMPLES / example / "deployment.toml"
    context.old_text = path.read_text(encoding="utf-8")
    context.text_now = context.old_text
    context.refusal = None


@given("the configuration text")
def step_text(context):
    context.old_text = context.text
    context.text_now = context.text
    context.refusal = None


def _apply_edit(context, function, *arguments):
    try:
        context.text_now = function(context.text_now, *arguments)
    except errors.AlmondstairError as error:
        context.refusal = error


@when('the field "{key}" of profile "{profile}" is set to {value}')
def step_field(context, key, profile, value):
    value = json.loads(value)
    _apply_edit(
        context, configuration_edits.set_profile_field, profile, key, value
    )


@when('the service "{service}" is put under the profile "{profile}"')
def step_assign(context, service, profile):
    _apply_edit(context, configuration_edits.assign_profile, service, profile)


@when('the text marks "{name}" as {state:w}')
def step_text_mark(context, name, state):
    _apply_edit(
        context, configuration_edits.set_leaving, name, state == "leaving"
    )


@when("in the text {old} is rewritten to {new}")
def step_rewrite(context, old, new):
    assert old in context.text_now
    new = new.replace(_LINE_BREAK, "\n")
    context.text_now = context.text_now.replace(old, new, 1)


@when("the whole text becomes")
def step_becomes(context):
    context.text_now = context.text


def _differences(context):
    """Returns the removed lines and the added lines."""
    removed = []
    added = []
    old_lines = context.old_text.splitlines()
    new_lines = context.text_now.splitlines()
    for line in difflib.ndiff(old_lines, new_lines):
        if line.startswith("- "):
            removed.append(line[2:])
        if line.startswith("+ "):
            added.append(line[2:])
    return removed, added


@then('the only line that differs is "{line}"')
def step_one_line(context, line):
    assert context.refusal is None, context.refusal
    removed, added = _differences(context)
    assert len(removed) == 1, removed
    assert added == [line], added


@then('no line is gone but "{line}"')
def step_gone(context, line):
    assert context.refusal is None, context.refusal
    removed, _ = _differences(context)
    assert removed == [line], removed


@then('the line after "{first}" is "{second}"')
def step_after(context, first, second):
    assert f"\n{first}\n{second}\n" in context.text_now


@then("nothing differs")
def step_same(context):
    assert context.refusal is None, context.refusal
    assert context.text_now == context.old_text


@then('the changed keys are "{keys:Maybe}"')
def step_keys(context, keys):
    expected = [key for key in keys.split(", ") if key]
    changed_keys = configuration_edits.describe_changes(
        context.old_text, context.text_now
    )
    assert changed_keys == expected, changed_keys


@then("the configuration is valid")
def step_valid(context):
    settings.read_configuration(context.text_now, "edited")


@then('the edit is refused as "{kind}" with "{remedy}"')
def step_refused(context, kind, remedy):
    assert context.refusal is not None
    assert context.refusal.kind == kind, context.refusal.kind
    assert remedy in context.refusal.detail, context.refusal.detail
    assert context.text_now == context.old_text
