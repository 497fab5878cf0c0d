"""Steps for settings files and the deployment configuration."""

import json
import os
from pathlib import Path
import shutil
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from almondstair import settings
from features.support import control
from features.support import step_types  # noqa: F401 - registers step types

_ROOT = Path(__file__).parents[2]
_EXAMPLES = _ROOT / "examples"
_TOOL = "almondstair.tools.almondstairctl"
_LINE_BREAK_MARK = "~"


@given('a copy of the example "{example}"')
def step_copy(context, example):
    context.directory = control.directory(context) / example
    shutil.copytree(_EXAMPLES / example, context.directory)


@given("in file {file:S} {old} becomes {new}")
def step_replace(context, file, old, new):
    path = context.directory / file
    text = path.read_text(encoding="utf-8")
    assert old in text, f"{old!r} is not in {path}"
    new = new.replace(_LINE_BREAK_MARK, "\n")
    path.write_text(text.replace(old, new, 1), encoding="utf-8")


@given("the deployment file reads")
def step_write_file(context):
    path = context.directory / "deployment.toml"
    path.write_text(context.text, encoding="utf-8")


@given('"{file}" is missing')
def step_missing(context, file):
    (context.directory / file).unlink()


@given('"{file}" is not UTF-8')
def step_not_utf8(context, file):
    (context.directory / file).write_bytes(b"\xff\xfe\x00")


@when('the settings of "{entry}" are checked')
def step_check(context, entry):
    file = context.directory / f"entry-{entry}.toml"
    control.run(context, ["settings", "check", str(file), "--json"])
    context.settings_file = file


@when('the settings of "{entry}" are checked by a process')
def step_check_process(context, entry):
    file = context.directory / f"entry-{entry}.toml"
    completed = subprocess.run(
        [sys.executable, "-m", _TOOL, "settings", "check", str(file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
        env={**os.environ, "PYTHONPATH": str(_ROOT)},
    )
    context.exit_code = completed.returncode
    context.output = completed.stdout
    context.notes = completed.stderr


@when('the configuration "{file}" is checked')
def step_check_configuration(context, file):
    path = context.directory / file
    control.run(context, ["config", "check", str(path), "--json"])


@then("the deployment has {upstreams:d} upstreams and {slots:d} slots")
def step_totals(context, upstreams, slots):
    configuration = settings.load(context.settings_file).configuration
    total = 0
    for upstream in configuration.upstreams.values():
        total += upstream.slots
    assert len(configuration.upstreams) == upstreams
    assert total == slots


@then("every entry of both examples loads with addresses of its own")
def step_every_entry(context):
    files = sorted(_EXAMPLES.glob("*/entry-*.toml"))
    assert len(files) == 18, files
    used_addresses = set()
    for file in files:
        loaded = settings.load(file)
        entry = loaded.settings.entry
        assert file.name == f"entry-{entry.name}.toml"
        addresses = {
            entry.caller_address,
            entry.forward_address,
            entry.peer_address,
            entry.operator_address,
        }
        assert len(addresses) == 4
        assert not addresses & used_addresses
        used_addresses |= addresses
        for upstream in loaded.configuration.upstreams.values():
            assert upstream.address not in addresses


def _fault_lines(context):
    return json.loads(context.output)["detail"].splitlines()


@then('a fault names "{file}", "{key:Maybe}" and "{remedy}"')
def step_fault(context, file, key, remedy):
    location = f"{file}: {key}: " if key else f"{file}: "
    for line in _fault_lines(context):
        if location in line and remedy in line.split(location)[1]:
            return
    raise AssertionError("\n".join(_fault_lines(context)))


@then("these faults are listed, and no other")
def step_faults(context):
    lines = _fault_lines(context)
    for row in context.table:
        location = f"{row['file']}: {row['key']}: "
        found = [line for line in lines if location in line]
        assert len(found) == 1, (location, lines)
        lines.remove(found[0])
    assert not lines, lines
