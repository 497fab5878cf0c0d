"""A load from caller stand-ins and what came of it, by time."""

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
LONGEST_START_S = 20.0
# Time in which every caller sees that it may begin.
BEGIN_AFTER_S = 0.1


class MeasuredLoad:
    """Loads on a deployment, one after another."""

    def __init__(self, *, deployment: Deployment) -> None:
        """Takes a started deployment."""
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

        Its span begins when every caller runs: starting a Python program takes
        a second on a busy machine, in which no request comes.
        """
        processes = self.deployment.processes
        self.number += 1
        names = []
        gate = processes.directory / f"load-{self.number}.begin"
        for entry in entries:
            name = f"load-{self.number}-{entry}"
            each = rate / len(entries)
            processes.start_caller(
                "--no-look-up",
                "--rate",
                str(each),
                "--count",
                str(int(each * length_s)),
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
        started_s = self._begin(names, gate)
        self.records = []
        for name in names:
            processes.children[name].wait(limit_s=length_s + 15)
            self.records.extend(processes.answers_of(name))
        self.spans.append((started_s, time.monotonic()))

    def _begin(self, names: list[str], gate: Path) -> float:
        """Lets all callers begin at once when they run; returns the time."""
        directory = self.deployment.processes.directory

        def ready() -> bool:
            for name in names:
                if not (directory / f"{name}.jsonl.ready").exists():
                    return False
            return True

        wait_until(ready, limit_s=LONGEST_START_S, what="the callers")
        begin_s = time.monotonic() + BEGIN_AFTER_S
        written = gate.with_suffix(".new")
        written.write_text(repr(begin_s), encoding="utf-8")
        written.rename(gate)
        return begin_s

    def runs(self, *, span: int = -1, last_s: float = 0.0) -> list[dict]:
        """Returns the runs at upstreams in a load, or in its last seconds."""
        started_s, ended_s = self.spans[span]
        if last_s:
            started_s = ended_s - last_s
        found = []
        for run in self.deployment.journals():
            if started_s <= run["start"] <= ended_s:
                found.append(run)
        return found

    def share(self, prefix: str, *, span: int = -1, last_s: float = 0) -> float:
        """Returns the part of the runs at upstreams of a prefix."""
        runs = self.runs(span=span, last_s=last_s)
        mine = 0
        for run in runs:
            mine += run["upstream"].startswith(prefix)
        return mine / max(1, len(runs))

    def refused_by_upstreams(self) -> int:
        """Returns the refusals of all upstreams so far."""
        refused = 0
        for name in self.deployment.upstreams:
            for count in self.deployment.journal(name)["refused"].values():
                refused += count
        return refused
