"""Runs a scenario many times, alone or with processor load beside it.

    .venv/bin/python -m scripts.plays features/overload.feature:10 --count 10
    .venv/bin/python -m scripts.plays features/leaving.feature:71 --busy 20

Prints a line for each run and a table at the end. The output of a failed run,
with the ends of its processes' logs, is kept in a folder.
"""

from collections.abc import Iterator
import contextlib
import os
from pathlib import Path
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import fire

from scripts.run_features import PORTS_VARIABLE
from scripts.run_features import ROOT

# Above the ports of `run_features` and the fixed ports of heartbeat scenarios
# (27100 on), so that both can run at once.
PORTS = "28500-29999"
BUSY_LOOP = "while True: pass"
CAUSE_MARK = "ASSERT FAILED"


class ScenarioRun(NamedTuple):
    """Holds the result of one run of a scenario."""

    number: int
    passed: bool
    duration_s: float
    load_average: float
    cause: str


@contextlib.contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Runs busy loops at normal priority until the block ends."""
    processes = []
    for _ in range(count):
        processes.append(subprocess.Popen([sys.executable, "-c", BUSY_LOOP]))
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def run_scenario(
    location: str, number: int, folder: Path, ports: str
) -> ScenarioRun:
    """Runs a scenario once; keeps the output if it fails."""
    started_s = time.monotonic()
    completed = subprocess.run(
        [sys.executable, "-m", "behave", "--no-color", "--format", "plain"]
        + [location],
        cwd=ROOT,
        env={**os.environ, PORTS_VARIABLE: ports},
        capture_output=True,
        text=True,
        check=False,
    )
    duration_s = time.monotonic() - started_s
    cause = ""
    if completed.returncode:
        name = location.rpartition("/")[2].replace(":", "-")
        path = folder / f"{name}-{number}.txt"
        path.write_text(completed.stdout + completed.stderr, encoding="utf-8")
        cause = _cause(completed.stdout)
    return ScenarioRun(
        number, not completed.returncode, duration_s, os.getloadavg()[0], cause
    )


def _cause(output: str) -> str:
    for line in output.splitlines():
        if CAUSE_MARK in line:
            return line.strip()
    return "no assertion in the output"


def run(
    *locations: str,
    count: int = 10,
    busy: int = 0,
    keep: str = "",
    ports: str = PORTS,
) -> None:
    """Runs scenarios, prints each result, and exits 1 on a failure.

    Args:
      *locations: features, or scenarios as `file:line`.
      count: number of runs of each.
      busy: number of busy loops that run beside them.
      keep: folder for the output of failed runs; by default a new one.
      ports: `first-last` for processes; two runs at once need ports of their
        own.
    """
    folder = Path(keep or tempfile.mkdtemp(prefix="almondstair-plays-"))
    folder.mkdir(parents=True, exist_ok=True)
    totals = []
    with busy_processes(busy):
        for location in locations:
            passed = 0
            for number in range(1, count + 1):
                result = run_scenario(location, number, folder, ports)
                passed += result.passed
                verdict = "passed" if result.passed else "FAILED"
                print(
                    f"{location} {number}: {verdict} in "
                    f"{result.duration_s:.1f} s, "
                    f"load {result.load_average:.1f} {result.cause}",
                    flush=True,
                )
            totals.append((location, passed))
    for location, passed in totals:
        print(
            f"{location}: {passed} of {count} passed, beside {busy} busy loops"
        )
    if any(passed < count for _, passed in totals):
        print(f"output of failed runs: {folder}")
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run, name="plays")
