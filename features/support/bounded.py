"""Deployments whose stand-ins would show an overrun of slots or links."""

from typing import Any

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import SUPPORT
from features.support.harness import Child
from features.support.harness import Processes

# An upstream that refuses what is over its slots hides an overrun in part.
SPARE_SLOTS = 5
WINDOW_BINS = 10


class BoundedDeployment(Deployment):
    """Upstreams with more slots than the configuration says."""

    def __init__(
        self, *, processes: Processes, shape: Shape, long_ms: int
    ) -> None:
        """Prepares; `long_ms` is the deadline of uploads and statements."""
        super().__init__(processes=processes, shape=shape)
        self._long_ms = long_ms
        self._removed: dict[str, dict[str, str]] = {}

    def start_upstream(self, name: str) -> None:
        configured = self.shape
        self.shape = configured._replace(slots=configured.slots + SPARE_SLOTS)
        super().start_upstream(name)
        self.shape = configured

    def deployment_text(self) -> str:
        text = super().deployment_text()
        return text.replace(
            "deadline_ms = 20000", f"deadline_ms = {self._long_ms}"
        )

    def start_entry(self, name: str, *, wait: bool = True) -> Child:
        """Starts an entry whose network can be cut."""
        return self.processes.start(
            name,
            str(SUPPORT / "cut_daemon.py"),
            "--settings",
            str(self.processes.directory / f"{name}.toml"),
            address=self.entries[name]["caller"] if wait else "",
        )

    def cut(self, name: str, others: list[str]) -> None:
        """Loses all that an entry sends to others from now on."""
        lost = []
        for other in others:
            lost.append(self.entries[other]["peer"])
            lost.append(self.entries[other]["forward"])
        path = self.processes.directory / f"{name}.toml.cut"
        path.write_text(" ".join(lost), encoding="utf-8")

    def remove(self, name: str) -> None:
        """Has the VM list drop an entry whose process has ended."""
        self._removed[name] = self.entries.pop(name)
        self.publish_vms()

    def restore(self) -> None:
        """Starts again what was removed."""
        if not self._removed:
            return
        self.entries.update(self._removed)
        self.publish_vms()
        for name in self._removed:
            self.start_entry(name)
        self._removed.clear()
        self.wait_ready()

    def successors_of(self, home: str) -> list[str]:
        """Returns the entries other than a home."""
        return [name for name in self.entries if name != home]


def most_at_once(runs: list[dict[str, Any]]) -> int:
    """Returns the largest number of runs that overlap."""
    steps = []
    for run in runs:
        steps.append((run["start"], 1))
        # An end and a start at one time are no overlap.
        steps.append((run.get("end", float("inf")), -1))
    steps.sort()
    now = most = 0
    for _, step in steps:
        now += step
        most = max(most, now)
    return most


def largest_window(bins: dict[int, int]) -> int:
    """Returns the most bytes of any ten adjacent bins."""
    largest = 0
    for first in bins:
        total = 0
        for place in range(first, first + WINDOW_BINS):
            total += bins.get(place, 0)
        largest = max(largest, total)
    return largest
