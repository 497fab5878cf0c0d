"""Deployments in which an overrun of slots or links is visible."""

from typing import Any

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import SUPPORT
from features.support.harness import Child
from features.support.harness import Processes

# Upstreams get extra slots: one that refuses excess requests would hide part
# of an overrun.
SPARE_SLOTS = 5
WINDOW_BINS = 10


class BoundedDeployment(Deployment):
    """Runs upstreams with more slots than the configuration says."""

    def __init__(
        self, *, processes: Processes, shape: Shape, long_ms: int
    ) -> None:
        """Prepares the deployment without starting it.

        Args:
          processes: starts the processes of the deployment.
          shape: size and settings of the deployment.
          long_ms: deadline of uploads and statements, in milliseconds.
        """
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
        """Starts an entry whose network `cut` can partition."""
        return self.processes.start(
            name,
            str(SUPPORT / "cut_daemon.py"),
            "--settings",
            str(self.processes.directory / f"{name}.toml"),
            address=self.entries[name]["caller"] if wait else "",
        )

    def cut(self, name: str, others: list[str]) -> None:
        """Drops everything that an entry sends to `others` from now on."""
        blocked_addresses = []
        for other in others:
            blocked_addresses.append(self.entries[other]["peer"])
            blocked_addresses.append(self.entries[other]["forward"])
        path = self.processes.directory / f"{name}.toml.cut"
        path.write_text(" ".join(blocked_addresses), encoding="utf-8")

    def remove(self, name: str) -> None:
        """Removes an entry whose process has ended from the VM list."""
        self._removed[name] = self.entries.pop(name)
        self.publish_vms()

    def restore(self) -> None:
        """Returns the removed entries to the VM list and restarts them."""
        if not self._removed:
            return
        self.entries.update(self._removed)
        self.publish_vms()
        for name in self._removed:
            self.start_entry(name)
        self._removed.clear()
        self.wait_ready()

    def successors_of(self, home: str) -> list[str]:
        """Returns all entries except the home."""
        return [name for name in self.entries if name != home]


def max_concurrent_runs(runs: list[dict[str, Any]]) -> int:
    """Returns the largest number of overlapping runs."""
    changes = []
    for run in runs:
        changes.append((run["start"], 1))
        # An end and a start at the same time do not overlap.
        changes.append((run.get("end", float("inf")), -1))
    changes.sort()
    concurrent = max_concurrent = 0
    for _, change in changes:
        concurrent += change
        max_concurrent = max(max_concurrent, concurrent)
    return max_concurrent


def largest_window(bins: dict[int, int]) -> int:
    """Returns the largest number of bytes in ten adjacent bins."""
    largest = 0
    for first_bin in bins:
        total = 0
        for bin_number in range(first_bin, first_bin + WINDOW_BINS):
            total += bins.get(bin_number, 0)
        largest = max(largest, total)
    return largest
