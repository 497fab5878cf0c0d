"""Load on a deployment whose parts leave, and what came of it."""

import contextlib
import http.client
import threading
import time
from typing import Any, NamedTuple

from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.harness import Answer
from features.support.harness import Child
from features.support.harness import get
from features.support.harness import wait_until

# Refused work comes back for this long; the class ends each try earlier.
CALLER_DEADLINE_MS = 8000
LOOK_UP = {
    "name": "look_up",
    "path": "/orders/1",
    "weight": 3,
    "deadline_ms": CALLER_DEADLINE_MS,
}
# Takes long enough that a few a second need more than one upstream: a slow
# start opens one slot, and the upstream with most free slots is taken first.
BUSY_LOOK_UP = {**LOOK_UP, "work_ms": 120}
APPROVE = {
    "name": "approve",
    "method": "POST",
    "path": "/approvals",
    "keyed": True,
    "body_bytes": 100,
    "deadline_ms": CALLER_DEADLINE_MS,
    "weight": 1,
}
CALLER_LIMIT_S = 90.0


def start_load(
    deployment: Deployment,
    *,
    rate: float,
    count: int,
    classes: list[Any],
    name: str = "caller",
) -> Child:
    """Starts callers that cache look-ups; returns their process."""
    return deployment.processes.start_caller(
        "--rate",
        str(rate),
        "--count",
        str(count),
        entries=deployment.callers(),
        service=SERVICE,
        classes=classes,
        name=name,
    )


class Ends(NamedTuple):
    """How the requests of a load ended.

    Attributes:
      answered: requests answered 200, whole.
      later: those of them that were refused as not run before.
      failed: records of all others.
      latencies_ms: of every request, sorted.
    """

    answered: int
    later: int
    failed: list[dict[str, Any]]
    latencies_ms: list[float]


def read_ends(deployment: Deployment) -> Ends:
    """Reads what the callers recorded.

    A request counts as answered only if every attempt before the last was
    told as surely not run: anything else was cut off.
    """
    answered = 0
    later = 0
    failed = []
    latencies_ms = []
    for record in deployment.processes.answers_of():
        latencies_ms.append(record["latency_ms"])
        told = {attempt["ran"] for attempt in record["attempts"][:-1]}
        whole = record["status"] == 200 and record["body_ok"]
        if not whole or told - {"no"}:
            failed.append(record)
            continue
        answered += 1
        later += len(record["attempts"]) > 1
    return Ends(answered, later, failed, sorted(latencies_ms))


def restart_in_turn(deployment: Deployment, count: int) -> list[int]:
    """Stops and starts entries one after another; returns the exit codes."""
    names = list(deployment.entries)
    codes = []
    for number in range(count):
        name = names[number % len(names)]
        codes.append(deployment.processes.children[name].terminate())
        deployment.start_entry(name)
        deployment.wait_ready()
    return codes


def starts_after(
    deployment: Deployment, upstream: str, moment_s: float
) -> list[dict[str, Any]]:
    """Returns the runs of an upstream that started after a moment.

    The processes share a monotonic clock.
    """
    runs = []
    for run in deployment.journal(upstream)["runs"]:
        if run["start"] > moment_s:
            runs.append(run)
    return runs


def keys_run_twice(deployment: Deployment) -> list[str]:
    """Returns the keys that any two runs share."""
    seen: set[str] = set()
    twice = []
    for run in deployment.journals():
        if not run["key"]:
            continue
        if run["key"] in seen:
            twice.append(run["key"])
        seen.add(run["key"])
    return twice


class Background:
    """One request on a thread of its own."""

    def __init__(self, work: Any, *arguments: Any) -> None:
        """Starts `work`, which returns an answer."""
        self._work = work
        self._arguments = arguments
        self.answer: Answer | None = None
        self.error: Exception | None = None
        self.end_s = 0.0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        try:
            self.answer = self._work(*self._arguments)
        except (OSError, http.client.HTTPException) as error:
            self.error = error
        self.end_s = time.monotonic()

    def wait(self, *, limit_s: float = 30.0) -> Answer:
        """Waits for the answer.

        Raises:
          AssertionError: there was none, or a part of one.
        """
        self._thread.join(limit_s)
        assert self.error is None, self.error
        assert self.answer is not None, "no answer in time"
        return self.answer


def slow_upload(address: str, chunks: int, pause_s: float) -> Answer:
    """Uploads in chunks with pauses between them."""
    chunk = b"u" * 10_000

    def body() -> Any:
        for _ in range(chunks):
            yield chunk
            time.sleep(pause_s)

    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    headers = {"Content-Length": str(chunks * len(chunk))}
    path = f"/{SERVICE}/batches/1"
    # One that is refused halfway has an answer that tells why.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        connection.request("PUT", path, body=body(), headers=headers)
    answer = connection.getresponse()
    return Answer(answer.status, answer.headers, answer.read())


def slow_download(address: str, size_bytes: int, pause_s: float) -> Answer:
    """Downloads in pieces with pauses, so that bytes queue up before it."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    path = f"/{SERVICE}/statements/1?answer_bytes={size_bytes}"
    connection.request("GET", path)
    answer = connection.getresponse()
    body = b""
    while piece := answer.read(size_bytes // 10):
        body += piece
        time.sleep(pause_s)
    return Answer(answer.status, answer.headers, body)


def long_work(address: str, work_ms: int, call: str) -> Answer:
    """Runs work that takes a while."""
    path = f"/{SERVICE}/statements/{call}?work_ms={work_ms}"
    return get(address, path, timeout_s=30)


def wait_running(deployment: Deployment, upstream: str) -> None:
    """Waits until an upstream has work in flight."""

    def is_busy() -> bool:
        return deployment.journal(upstream)["busy"] > 0

    wait_until(is_busy, what=f"work on {upstream}")
