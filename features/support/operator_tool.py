"""The command-line tool, run as a separate process."""

import subprocess
import sys

from features.support.harness import ROOT

TIMEOUT_S = 30


def run(*arguments: str) -> str:
    """Runs `almondstairctl` and returns its standard output."""
    completed = subprocess.run(
        [sys.executable, "-m", "almondstair.tools.almondstairctl", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed
    return completed.stdout
