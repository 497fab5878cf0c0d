"""Runs behave and prints the totals of all features on one line.

Each feature file runs in its own behave process, a few at a time, largest file
first; the complete output of a file is printed when it has ended. Scenarios
named in KNOWN-RED.txt may fail: they are printed and do not fail the run. A
listed scenario that passes is printed too.
"""

from concurrent import futures
import json
import os
from pathlib import Path
import queue
import subprocess
import sys
import tempfile
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TOTALS = ROOT / ".behave-totals"
KNOWN_RED_LIMIT = 16
CAUSE_LINES = 12
WORKERS = 4
# Each worker has its own ports for the processes under test.
FIRST_PORT = 21_000
PORTS_PER_WORKER = 1_500
PORTS_VARIABLE = "ALMONDSTAIR_TEST_PORTS"


class Totals(NamedTuple):
    """Holds the results of the scenarios."""

    passed: int
    failed: tuple[str, ...]
    known_red: tuple[str, ...]
    unexpected_green: tuple[str, ...]


def read_known_red() -> set[str]:
    """Returns the names of the scenarios that may fail."""
    names = set()
    if not KNOWN_RED.exists():
        return names
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        names.add(line.split("|")[0].strip())
    return names


class FileResult(NamedTuple):
    """Holds the result of one run of behave."""

    code: int
    scenarios: list[dict[str, Any]]


def _without_skipped(result: FileResult) -> FileResult:
    """Drops the skipped scenarios, which the arguments did not select.

    In a run of all features a skipped scenario counts as failed.
    """
    selected = []
    for scenario in result.scenarios:
        if scenario["status"] != "skipped":
            selected.append(scenario)
    return FileResult(result.code, selected)


def feature_files() -> list[str]:
    """Returns every feature file, the largest first."""
    files = sorted(
        (ROOT / "features").glob("*.feature"),
        key=lambda path: path.stat().st_size,
        reverse=True,
    )
    return [str(path.relative_to(ROOT)) for path in files]


def run_behave(arguments: list[str], report: Path, ports: str) -> FileResult:
    """Runs behave with a JSON report and prints its output in one piece."""
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--format", "progress", "--outfile", "/dev/stdout"]
    command += ["--format", "json", "--outfile", str(report)]
    completed = subprocess.run(
        command + arguments,
        cwd=ROOT,
        env={**os.environ, PORTS_VARIABLE: ports},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    sys.stdout.write(completed.stdout.decode("utf-8", "replace"))
    sys.stdout.flush()
    if not report.exists():
        return FileResult(completed.returncode or 1, [])
    return FileResult(completed.returncode, read_scenarios(report))


def worker_ports(worker: int) -> str:
    """Returns the ports of a worker's processes, as `first-last`."""
    first = FIRST_PORT + worker * PORTS_PER_WORKER
    return f"{first}-{first + PORTS_PER_WORKER - 1}"


def run_all(directory: Path) -> list[FileResult]:
    """Runs every feature file, `WORKERS` at a time."""
    free_workers: queue.SimpleQueue[int] = queue.SimpleQueue()
    for worker in range(WORKERS):
        free_workers.put(worker)

    def run(number: int, file: str) -> FileResult:
        worker = free_workers.get()
        ports = worker_ports(worker)
        try:
            return run_behave([file], directory / f"{number}.json", ports)
        finally:
            free_workers.put(worker)

    with futures.ThreadPoolExecutor(WORKERS) as pool:
        running = []
        for number, file in enumerate(feature_files()):
            running.append(pool.submit(run, number, file))
        return [future.result() for future in running]


def read_scenarios(report: Path) -> list[dict[str, Any]]:
    """Returns the scenarios of a report, one for each row of an outline."""
    found = []
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                found.append(element)
    return found


def count_totals(results: list[FileResult], known_red: set[str]) -> Totals:
    """Counts the scenarios of all runs."""
    passed = 0
    failed = []
    red = []
    green = []
    for result in results:
        for scenario in result.scenarios:
            # Rows of an outline without a name end in a space.
            name = scenario["name"].strip()
            if scenario["status"] == "passed":
                passed += 1
                if name in known_red:
                    green.append(name)
                continue
            if name in known_red:
                red.append(name)
                continue
            failed.append(name)
        if result.code and not _has_failure(result):
            failed.append("a run of behave that ended without a failure")
    return Totals(passed, tuple(failed), tuple(red), tuple(green))


def _has_failure(result: FileResult) -> bool:
    for scenario in result.scenarios:
        if scenario["status"] != "passed":
            return True
    return False


def print_causes(results: list[FileResult]) -> None:
    """Prints the step at which each failed scenario stopped and its error."""
    for result in results:
        for scenario in result.scenarios:
            for step in scenario.get("steps", []):
                outcome = step.get("result", {})
                if outcome.get("status") not in ("failed", "error"):
                    continue
                print(f"  {scenario['location']}: {step['name']}")
                lines = outcome.get("error_message", [])
                if isinstance(lines, str):
                    lines = lines.splitlines()
                for line in lines[-CAUSE_LINES:]:
                    print(f"    {line}")


def main() -> None:
    """Runs behave, prints the totals and exits 1 on any failure."""
    known_red = read_known_red()
    if len(known_red) > KNOWN_RED_LIMIT:
        sys.exit(f"KNOWN-RED.txt may list {KNOWN_RED_LIMIT} scenarios")
    with tempfile.TemporaryDirectory() as directory:
        if sys.argv[1:]:
            last = FIRST_PORT + WORKERS * PORTS_PER_WORKER - 1
            report = Path(directory) / "report.json"
            ports = f"{FIRST_PORT}-{last}"
            results = [
                _without_skipped(run_behave(sys.argv[1:], report, ports))
            ]
        else:
            results = run_all(Path(directory))
    totals = count_totals(results, known_red)
    for name in totals.failed:
        print(f"failed: {name}")
    print_causes(results)
    for name in totals.known_red:
        print(f"known red: {name}")
    for name in totals.unexpected_green:
        print(f"listed in KNOWN-RED.txt, but passed: {name}")
    failed = len(totals.failed)
    line = f"behave: {totals.passed} passed, {failed} failed"
    TOTALS.write_text(line + "\n", encoding="utf-8")
    print(line)
    if failed or not totals.passed:
        sys.exit(1)


if __name__ == "__main__":
    main()
