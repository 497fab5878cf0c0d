"""A load from caller stand-ins and what came of it, by time."""

import time
from typing import Any

from features.support.deployment import SERVICE
from features.support.deployment import Deployment

LOOK_UP: dict[str, Any] = {
    "name": "look_up",
    "path": "/orders/1",
    "deadline_ms": 2000,
}
START_S = 0.5


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
        """Sends a load, one caller for each entry, and waits for its end."""
        processes = self.deployment.processes
        self.number += 1
        names = []
        started_s = time.monotonic()
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
                entries=[self.deployment.entries[entry]["caller"]],
                service=SERVICE,
                classes=classes,
                name=name,
            )
            names.append(name)
        self.records = []
        for name in names:
            processes.children[name].wait(limit_s=length_s + 15)
            self.records.extend(processes.answers_of(name))
        self.spans.append((started_s, time.monotonic()))

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
