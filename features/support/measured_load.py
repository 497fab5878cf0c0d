"""Loads from caller stand-ins, and the runs within the time of each load."""

from pathlib import Path
import time
from typing import Any

from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.harness import wait_until

LOOK_UP: dict[str, Any] = {
    "name": "look_up",
    "path": "/orders/1",
    "deadline_ms": 2000,
}
MAX_START_S = 20.0
# Enough time for every caller to read the start time.
START_DELAY_S = 0.1


class MeasuredLoad:
    """Sends loads to a deployment, one after another."""

    def __init__(self, *, deployment: Deployment) -> None:
        """Uses a deployment that is already started."""
        self.deployment = deployment
        self.number = 0
        self.spans: list[tuple[float, float]] = []
        self.records: list[dict[str, Any]] = []

    def run(
        self,
        *,
        entries: list[str],
        rate: float,
        length_s: float,
        classes: list[dict[str, Any]],
    ) -> None:
        """Sends a load, one caller for each entry, and waits for its end.

        The span begins when all callers are ready: starting a Python program
        takes a second on a busy machine, and it sends nothing until then.
        """
        processes = self.deployment.processes
        self.number += 1
        names = []
        gate = processes.directory / f"load-{self.number}.begin"
        for entry in entries:
            name = f"load-{self.number}-{entry}"
            entry_rate = rate / len(entries)
            processes.start_caller(
                "--no-look-up",
                "--rate",
                str(entry_rate),
                "--count",
                str(int(entry_rate * length_s)),
                "--seed",
                str(len(names) + 10 * self.number),
                "--gate",
                str(gate),
                entries=[self.deployment.entries[entry]["caller"]],
                service=SERVICE,
                classes=classes,
                name=name,
            )
            names.append(name)
        started_s = self._open_gate(names, gate)
        self.records = []
        for name in names:
            processes.children[name].wait(limit_s=length_s + 15)
            self.records.extend(processes.caller_records(name))
        self.spans.append((started_s, time.monotonic()))

    def _open_gate(self, names: list[str], gate: Path) -> float:
        """Starts all callers at the same time and returns that time."""
        directory = self.deployment.processes.directory

        def ready() -> bool:
            for name in names:
                if not (directory / f"{name}.jsonl.ready").exists():
                    return False
            return True

        wait_until(ready, limit_s=MAX_START_S, what="the callers to be ready")
        begin_s = time.monotonic() + START_DELAY_S
        temporary = gate.with_suffix(".new")
        temporary.write_text(repr(begin_s), encoding="utf-8")
        temporary.rename(gate)
        return begin_s

    def runs(self, *, span: int = -1, last_s: float = 0.0) -> list[dict]:
        """Returns the runs at upstreams during a load or its last seconds."""
        started_s, ended_s = self.spans[span]
        if last_s:
            started_s = ended_s - last_s
        found = []
        for run in self.deployment.journals():
            if started_s <= run["start"] <= ended_s:
                found.append(run)
        return found

    def share(self, prefix: str, *, span: int = -1, last_s: float = 0) -> float:
        """Returns the fraction of runs at upstreams whose name has a prefix."""
        runs = self.runs(span=span, last_s=last_s)
        matching = 0
        for run in runs:
            matching += run["upstream"].startswith(prefix)
        return matching / max(1, len(runs))

    def refused_by_upstreams(self) -> int:
        """Returns the number of refusals by all upstreams so far."""
        refused = 0
        for name in self.deployment.upstreams:
            for count in self.deployment.journal(name)["refused"].values():
                refused += count
        return refused
