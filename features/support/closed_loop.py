"""Closed-loop callers that send the next request when the last one has ended.

They keep more requests in flight than the slots or the link can carry,
whatever the responses are. An open load at a given rate does not.
"""

from collections import Counter
import http.client
import json
import threading
import time
from typing import NamedTuple

from features.support.harness import connect
from features.support.upstream_standin import body_chunks

REFUSED_PAUSE_S = 0.05
READ_BYTES = 16 * 1024
BIN_S = 0.1


class LoadRequest(NamedTuple):
    """A request that a caller sends repeatedly."""

    path: str
    method: str = "GET"
    body_bytes: int = 0
    deadline_ms: int = 2000
    timeout_s: float = 10.0


class RequestRecord(NamedTuple):
    """The outcome of a request; `status` is 0 without a complete response."""

    entry: str
    path: str
    start_s: float
    end_s: float
    status: int
    problem: dict[str, object]
    upstream: str


class ClosedLoop:
    """Runs the callers of a scenario, each on a thread."""

    def __init__(self, *, zone: str) -> None:
        """Starts without callers; upstreams receive `zone` as the edge zone."""
        self._zone = zone
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self.records: list[RequestRecord] = []
        self.read_bytes: dict[str, Counter[int]] = {}

    def add(
        self, *, entry: str, address: str, request: LoadRequest, callers: int
    ) -> None:
        """Starts callers that send to one entry."""
        for _ in range(callers):
            thread = threading.Thread(
                target=self._run, args=(entry, address, request), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self, *, limit_s: float = 15.0) -> None:
        """Stops the callers after their current requests."""
        self._stopping.set()
        limit_end_s = time.monotonic() + limit_s
        for thread in self._threads:
            thread.join(max(0.0, limit_end_s - time.monotonic()))
            assert not thread.is_alive(), "a caller did not stop in time"

    def answered(self, *, since_s: float = 0.0) -> list[RequestRecord]:
        """Returns the requests answered with 200 since `since_s`."""
        found = []
        for record in tuple(self.records):
            if record.status == 200 and record.end_s >= since_s:
                found.append(record)
        return found

    def refused(self, *, kind: str) -> list[RequestRecord]:
        """Returns the requests refused with an error kind."""
        found = []
        for record in tuple(self.records):
            if record.problem.get("kind") == kind:
                found.append(record)
        return found

    def _run(self, entry: str, address: str, request: LoadRequest) -> None:
        while not self._stopping.is_set():
            start_s = time.monotonic()
            status, body = 0, b""
            try:
                status, body = self._send(address, request)
            except (OSError, http.client.HTTPException):
                status = 0
            self._record(entry, request, start_s, status, body)
            if status != 200:
                time.sleep(REFUSED_PAUSE_S)

    def _send(self, address: str, request: LoadRequest) -> tuple[int, bytes]:
        headers = {"Edge-Zone": self._zone}
        headers["Deadline-Ms"] = str(request.deadline_ms)
        body = None
        if request.body_bytes:
            headers["Content-Length"] = str(request.body_bytes)
            body = body_chunks(request.body_bytes)
        connection = connect(address, timeout_s=request.timeout_s)
        try:
            connection.request(request.method, request.path, body, headers)
            response = connection.getresponse()
            return response.status, self._read(response)
        finally:
            connection.close()

    def _read(self, response: http.client.HTTPResponse) -> bytes:
        buffered = b""
        size_bytes = 0
        with self._lock:
            bins = self.read_bytes.setdefault(
                response.getheader("Served-By", ""), Counter()
            )
        while chunk := response.read1(READ_BYTES):
            size_bytes += len(chunk)
            with self._lock:
                bins[int(time.monotonic() / BIN_S)] += len(chunk)
            if len(buffered) < READ_BYTES:
                buffered += chunk
        length = response.getheader("Content-Length")
        if length is not None and int(length) != size_bytes:
            raise http.client.IncompleteRead(buffered)
        return buffered

    def _record(
        self,
        entry: str,
        request: LoadRequest,
        start_s: float,
        status: int,
        body: bytes,
    ) -> None:
        message = {}
        if body[:1] == b"{":
            message = json.loads(body)
        record = RequestRecord(
            entry,
            request.path,
            start_s,
            time.monotonic(),
            status,
            {} if status == 200 else message,
            message.get("upstream", ""),
        )
        with self._lock:
            self.records.append(record)
