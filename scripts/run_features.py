"""Runs behave and ends with the real totals on one line.

Each feature file runs in a behave of its own, a few of them at a time, longest
first by its size; the whole output of a file is printed when it has ended.
Scenarios named in KNOWN-RED.txt may fail; they are printed, and do not fail
the run. One that passes although it is listed is printed too.
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
KNOWN_RED_LIMIT = 8
CAUSE_LINES = 12
WORKERS = 4
# Each worker's own ports, for the addresses of the processes under test.
FIRST_PORT = 21_000
PORTS_PER_WORKER = 1_500
PORTS_VARIABLE = "ALMONDSTAIR_TEST_PORTS"


class Totals(NamedTuple):
    """What became of the scenarios."""

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
    """How one run of behave ended."""

    code: int
    scenarios: list[dict[str, Any]]


def _without_skipped(result: FileResult) -> FileResult:
    """Leaves out what the arguments did not select; behave calls it skipped.

    In a run of everything a skipped scenario counts as failed.
    """
    chosen = []
    for scenario in result.scenarios:
        if scenario["status"] != "skipped":
            chosen.append(scenario)
    return FileResult(result.code, chosen)


def feature_files() -> list[str]:
    """Returns every feature file, the longest first."""
    files = sorted(
        (ROOT / "features").glob("*.feature"),
        key=lambda path: path.stat().st_size,
        reverse=True,
    )
    return [str(path.relative_to(ROOT)) for path in files]


def run_behave(arguments: list[str], report: Path, ports: str) -> FileResult:
    """Runs behave with a JSON report and prints its output as a whole."""
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--format", "progress", "--outfile", "/dev/stdout"]
    command += ["--format", "json", "--outfile", str(report)]
    done = subprocess.run(
        command + arguments,
        cwd=ROOT,
        env={**os.environ, PORTS_VARIABLE: ports},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    sys.stdout.write(done.stdout.decode("utf-8", "replace"))
    sys.stdout.flush()
    if not report.exists():
        return FileResult(done.returncode or 1, [])
    return FileResult(done.returncode, read_scenarios(report))


def worker_ports(worker: int) -> str:
    """Returns the ports of a worker's processes, as `first-last`."""
    first = FIRST_PORT + worker * PORTS_PER_WORKER
    return f"{first}-{first + PORTS_PER_WORKER - 1}"


def run_all(directory: Path) -> list[FileResult]:
    """Runs every feature file, `WORKERS` at a time."""
    free: queue.SimpleQueue[int] = queue.SimpleQueue()
    for worker in range(WORKERS):
        free.put(worker)

    def run(number: int, file: str) -> FileResult:
        worker = free.get()
        ports = worker_ports(worker)
        try:
            return run_behave([file], directory / f"{number}.json", ports)
        finally:
            free.put(worker)

    with futures.ThreadPoolExecutor(WORKERS) as pool:
        waiting = []
        for number, file in enumerate(feature_files()):
            waiting.append(pool.submit(run, number, file))
        return [future.result() for future in waiting]


def read_scenarios(report: Path) -> list[dict[str, Any]]:
    """Returns the scenarios of a report, outlines as single ones."""
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
            name = scenario["name"]
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
    """Prints the step at which each failed scenario stopped, and why."""
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
    """Runs, counts, prints, and exits 1 on any failure."""
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
    bad = len(totals.failed)
    line = f"behave: {totals.passed} passed, {bad} failed"
    TOTALS.write_text(line + "\n", encoding="utf-8")
    print(line)
    if bad or not totals.passed:
        sys.exit(1)


if __name__ == "__main__":
    main()
