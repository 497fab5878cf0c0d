"""The command-line tool, run inside the test's process."""

import contextlib
import io
from pathlib import Path
import tempfile

from almondstair.tools import almondstairctl


def run(context, arguments):
    """Runs a command and stores its exit code and output in the context.

    `context.output` holds standard output, `context.notes` standard error.
    """
    output = io.StringIO()
    notes = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(notes):
        context.exit_code = almondstairctl.run(arguments)
    context.output = output.getvalue()
    context.notes = notes.getvalue()


def directory(context):
    """Returns a temporary directory that the scenario's cleanup removes."""
    if "scenario_directory" not in context:
        holder = tempfile.TemporaryDirectory()
        context.add_cleanup(holder.cleanup)
        context.scenario_directory = Path(holder.name)
    return context.scenario_directory
