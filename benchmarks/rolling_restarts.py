"""Measures rolling restarts under load: failed requests and stop times.

Run: python -m benchmarks.rolling_restarts
Starts five entries in two regions. Callers that cache lookups send 100 requests
per second, a quarter of them keyed, while entries are stopped and started in
turn. Prints exit codes, stop times, the outcomes of the requests and latencies.
"""

import argparse
import time

from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Processes
from features.support.leaving_load import APPROVE
from features.support.leaving_load import LOOK_UP
from features.support.leaving_load import keys_run_twice
from features.support.leaving_load import read_load_outcome
from features.support.leaving_load import start_load

ENTRIES = {"bkk": 3, "cnx": 2}
UPSTREAMS = {"bkk": 4, "cnx": 2}
RATE = 100
LONGEST_RESTART_S = 20


def restart(deployment: Deployment, name: str) -> tuple[int, float]:
    """Restarts one entry; returns its exit code and stop time in seconds."""
    start_s = time.monotonic()
    code = deployment.processes.children[name].terminate()
    stop_s = time.monotonic() - start_s
    deployment.start_entry(name)
    deployment.wait_ready()
    return code, stop_s


def report(deployment: Deployment, codes: list[int], stops_s: list[float]):
    """Prints the results."""
    outcome = read_load_outcome(deployment)
    total = len(outcome.latencies_ms)
    print(f"{len(codes)} restarts, exit codes {sorted(set(codes))}")
    print(f"stop: longest {max(stops_s):.1f} s, shortest {min(stops_s):.1f} s")
    print(
        f"{total} requests: {outcome.answered} answered 200, "
        f"{outcome.retried} of them after a refusal as not run; "
        f"{len(outcome.failed)} not"
    )
    for record in outcome.failed[:5]:
        print("  ", record["class"], record["attempts"])
    for name, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        index = min(int(total * part), total - 1)
        print(f"{name} {outcome.latencies_ms[index]:.1f} ms")
    print(f"keys run twice: {len(keys_run_twice(deployment))}")
    for name in deployment.upstreams:
        journal = deployment.journal(name)
        print(f"{name}: max in flight {journal['max_in_flight']}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--restarts", type=int, default=20)
    count = parser.parse_args().restarts
    processes = Processes()
    deployment = Deployment(
        processes=processes, shape=Shape(entries=ENTRIES, upstreams=UPSTREAMS)
    )
    try:
        deployment.start()
        load = start_load(
            deployment,
            rate=RATE,
            count=count * LONGEST_RESTART_S * RATE,
            classes=[LOOK_UP, APPROVE],
        )
        names = list(deployment.entries)
        codes, stops_s = [], []
        for number in range(count):
            code, stop_s = restart(deployment, names[number % len(names)])
            codes.append(code)
            stops_s.append(stop_s)
        load.terminate()
        report(deployment, codes, stops_s)
    finally:
        processes.end()


if __name__ == "__main__":
    main()
