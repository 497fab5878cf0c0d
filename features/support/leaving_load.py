"""Load on a deployment whose VMs leave, and its outcome."""

import contextlib
import http.client
import threading
import time
from typing import Any, NamedTuple

from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.harness import Child
from features.support.harness import HttpResponse
from features.support.harness import get
from features.support.harness import wait_until

# Callers retry refused requests for this long; the deadline of the class ends
# each attempt earlier.
CALLER_DEADLINE_MS = 8000
LOOK_UP = {
    "name": "look_up",
    "path": "/orders/1",
    "weight": 3,
    "deadline_ms": CALLER_DEADLINE_MS,
}
# Long enough that a few requests per second need more than one upstream: slow
# start opens one slot, and the upstream with the most free slots is preferred.
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
    """Starts callers that cache lookups; returns their process."""
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


class LoadOutcome(NamedTuple):
    """Outcomes of the requests of a load.

    Attributes:
      answered: number of requests with a complete 200 response.
      retried: how many of them were first refused as not run.
      failed: records of all other requests.
      latencies_ms: latencies of all requests, sorted.
    """

    answered: int
    retried: int
    failed: list[dict[str, Any]]
    latencies_ms: list[float]


def read_load_outcome(deployment: Deployment) -> LoadOutcome:
    """Returns the outcomes that the callers recorded.

    A request counts as answered only if every attempt before the last was
    reported as not run; otherwise an earlier attempt was interrupted.
    """
    answered = 0
    retried = 0
    failed = []
    latencies_ms = []
    for record in deployment.processes.caller_records():
        latencies_ms.append(record["latency_ms"])
        earlier_outcomes = {
            attempt["ran"] for attempt in record["attempts"][:-1]
        }
        complete = record["status"] == 200 and record["body_ok"]
        if not complete or earlier_outcomes - {"no"}:
            failed.append(record)
            continue
        answered += 1
        retried += len(record["attempts"]) > 1
    return LoadOutcome(answered, retried, failed, sorted(latencies_ms))


def restart_in_turn(deployment: Deployment, count: int) -> list[int]:
    """Restarts entries one after another and returns their exit codes."""
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
    """Returns the runs of an upstream that started after `moment_s`.

    All processes share one monotonic clock.
    """
    runs = []
    for run in deployment.journal(upstream)["runs"]:
        if run["start"] > moment_s:
            runs.append(run)
    return runs


def keys_run_twice(deployment: Deployment) -> list[str]:
    """Returns the idempotency keys that ran more than once."""
    seen: set[str] = set()
    repeated = []
    for run in deployment.journals():
        if not run["key"]:
            continue
        if run["key"] in seen:
            repeated.append(run["key"])
        seen.add(run["key"])
    return repeated


class BackgroundRequest:
    """A request on a separate thread."""

    def __init__(self, work: Any, *arguments: Any) -> None:
        """Starts `work`, a function that returns a response."""
        self._work = work
        self._arguments = arguments
        self.answer: HttpResponse | None = None
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

    def wait(self, *, limit_s: float = 30.0) -> HttpResponse:
        """Waits for the response and returns it.

        Raises:
          AssertionError: no response came, or a truncated one.
        """
        self._thread.join(limit_s)
        assert self.error is None, self.error
        assert self.answer is not None, "no answer in time"
        return self.answer


def slow_upload(address: str, chunks: int, pause_s: float) -> HttpResponse:
    """Uploads chunks with pauses between them."""
    chunk = b"u" * 10_000

    def body() -> Any:
        for _ in range(chunks):
            yield chunk
            time.sleep(pause_s)

    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    headers = {"Content-Length": str(chunks * len(chunk))}
    path = f"/{SERVICE}/batches/1"
    # An upload refused halfway still has a response that gives the reason.
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        connection.request("PUT", path, body=body(), headers=headers)
    response = connection.getresponse()
    return HttpResponse(response.status, response.headers, response.read())


def slow_download(
    address: str, size_bytes: int, pause_s: float
) -> HttpResponse:
    """Downloads in chunks with pauses, so that the response queues up."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    path = f"/{SERVICE}/statements/1?answer_bytes={size_bytes}"
    connection.request("GET", path)
    response = connection.getresponse()
    body = b""
    while chunk := response.read(size_bytes // 10):
        body += chunk
        time.sleep(pause_s)
    return HttpResponse(response.status, response.headers, body)


def long_work(address: str, work_ms: int, call: str) -> HttpResponse:
    """Sends a request that takes `work_ms` at the upstream."""
    path = f"/{SERVICE}/statements/{call}?work_ms={work_ms}"
    return get(address, path, timeout_s=30)


def wait_running(deployment: Deployment, upstream: str) -> None:
    """Waits until an upstream has requests in flight."""

    def is_busy() -> bool:
        return deployment.journal(upstream)["busy"] > 0

    wait_until(is_busy, what=f"a request in flight at {upstream}")
