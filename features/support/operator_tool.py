"""Runs the operators' command line as they do."""

import subprocess
import sys

from features.support.harness import ROOT

LIMIT_S = 30


def run(*arguments: str) -> str:
    """Runs `almondstairctl` and returns what it printed."""
    done = subprocess.run(
        [sys.executable, "-m", "almondstair.tools.almondstairctl", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done
    return done.stdout
