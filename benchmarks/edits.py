"""Measures the time until an edit is in force on every entry.

Run: python -m benchmarks.edits
Starts ten entries in two regions, one upstream in each, and a platform
stand-in, and makes 20 edits through different entries. Prints two times, as the
operator observes them:

* accepted: from sending the edit to the response `accepted`.
* in force: from sending it until the last entry shows the version, polled
  every few milliseconds on one connection per entry.
"""

import argparse
import http.client
import json
import threading
import time

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.operator_actions import Operator
from features.support.operator_actions import set_ramp

ENTRIES = {"bkk": 5, "cnx": 5}
POLL_S = 0.005
LIMIT_S = 15.0
PAUSE_S = 0.3


class Watcher(threading.Thread):
    """Polls one entry until it has a version in force."""

    def __init__(self, *, address: str, version: int) -> None:
        """Initialises a watcher of the operators' listener at `address`."""
        super().__init__(daemon=True)
        self._address = address
        self._version = version
        self.seen_s: float | None = None

    def run(self) -> None:
        """Polls until the version is in force or `LIMIT_S` has passed."""
        ip, port = self._address.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=5)
        until_s = time.monotonic() + LIMIT_S
        while time.monotonic() < until_s:
            connection.request("GET", "/v1/configuration")
            shown = json.loads(connection.getresponse().read())
            if shown["version"] >= self._version:
                self.seen_s = time.monotonic()
                break
            time.sleep(POLL_S)
        connection.close()


def measure_one(operator: Operator, entry: str, fraction: float):
    """Makes one edit; returns accepted and in force in milliseconds."""
    shown = operator.read(entry)
    text = set_ramp(shown["text"], fraction)
    watchers = []
    for addresses in operator.deployment.entries.values():
        watcher = Watcher(
            address=addresses["operator"], version=shown["version"] + 1
        )
        watchers.append(watcher)
        watcher.start()
    time.sleep(PAUSE_S)
    start_s = time.monotonic()
    response = operator.put(entry, text, shown["version"])
    accepted_s = time.monotonic()
    assert response.status == 200, response
    last_s = 0.0
    for watcher in watchers:
        watcher.join(LIMIT_S)
        assert watcher.seen_s is not None, "not in force in time"
        last_s = max(last_s, watcher.seen_s)
    return (accepted_s - start_s) * 1000, (last_s - start_s) * 1000


def show(name: str, times_ms: list[float]) -> None:
    times_ms = sorted(times_ms)
    median_ms = times_ms[len(times_ms) // 2]
    print(f"{name:<10} p50 {median_ms:6.0f} ms   max {times_ms[-1]:6.0f} ms")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--edits", type=int, default=20)
    count = parser.parse_args().edits
    processes = Processes()
    deployment = Deployment(
        processes=processes,
        shape=Shape(entries=ENTRIES, upstreams={"bkk": 1, "cnx": 1}),
    )
    try:
        deployment.start()
        operator = Operator(deployment=deployment)
        names = list(deployment.entries)
        accepted_ms, in_force_ms = [], []
        for number in range(count):
            times_ms = measure_one(
                operator, names[number % len(names)], 0.1 + number / 1000
            )
            accepted_ms.append(times_ms[0])
            in_force_ms.append(times_ms[1])
        print(f"{len(names)} entries, {count} edits")
        show("in force", in_force_ms)
        show("accepted", accepted_ms)
    finally:
        processes.end()


if __name__ == "__main__":
    main()
