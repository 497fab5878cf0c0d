"""Runs behave and ends with the real totals on one line.

Scenarios named in KNOWN-RED.txt may fail; they are printed, and do not fail
the run. One that passes although it is listed fails it: its line must go.
"""

import json
from pathlib import Path
import subprocess
import sys
import tempfile
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TOTALS = ROOT / ".behave-totals"
KNOWN_RED_LIMIT = 3


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


def run_behave(arguments: list[str], report: Path) -> int:
    """Runs behave with a JSON report beside its usual output."""
    command = [sys.executable, "-m", "behave", "--no-color"]
    command += ["--format", "progress", "--outfile", "/dev/stdout"]
    command += ["--format", "json", "--outfile", str(report)]
    return subprocess.call(command + arguments, cwd=ROOT)


def scenarios(report: Path) -> list[dict[str, Any]]:
    """Returns the scenarios of a report, outlines as single ones."""
    found = []
    for feature in json.loads(report.read_text(encoding="utf-8")):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                found.append(element)
    return found


def count(report: Path, known_red: set[str]) -> Totals:
    """Counts the scenarios of a report."""
    passed = 0
    failed = []
    red = []
    green = []
    for scenario in scenarios(report):
        name = scenario["name"]
        is_known = name in known_red
        if scenario["status"] == "passed":
            passed += 1
            if is_known:
                green.append(name)
            continue
        if is_known:
            red.append(name)
            continue
        failed.append(name)
    return Totals(passed, tuple(failed), tuple(red), tuple(green))


def main() -> None:
    """Runs, counts, prints, and exits 1 on any failure."""
    known_red = read_known_red()
    if len(known_red) > KNOWN_RED_LIMIT:
        sys.exit(f"KNOWN-RED.txt may list {KNOWN_RED_LIMIT} scenarios")
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        code = run_behave(sys.argv[1:], report)
        if not report.exists():
            sys.exit(code or 1)
        totals = count(report, known_red)
    for name in totals.failed:
        print(f"failed: {name}")
    for name in totals.known_red:
        print(f"known red: {name}")
    for name in totals.unexpected_green:
        print(f"listed in KNOWN-RED.txt, but passed: {name}")
    bad = len(totals.failed) + len(totals.unexpected_green)
    line = f"behave: {totals.passed} passed, {bad} failed"
    TOTALS.write_text(line + "\n", encoding="utf-8")
    print(line)
    unexplained = code != 0 and not totals.known_red
    if bad or not totals.passed or unexplained:
        sys.exit(1)


if __name__ == "__main__":
    main()
