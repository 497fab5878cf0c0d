"""Requests to entries, compared with the runs in the upstreams' journals."""

import http.client
import json
import secrets
import threading
import time
from typing import Any

from features.support.deployment import SERVICE
from features.support.deployment import Deployment
from features.support.harness import connect

SEND_LIMIT_S = 20.0
PROBLEM = "application/problem+json"


class OutgoingRequest:
    """One attempt of a request and its response.

    Attributes:
      trace: unique W3C trace ID, which upstreams record in their journals.
      key: Idempotency-Key, or empty.
      status: HTTP status, 0 without a complete response.
      ran: `ran` value of an error response, `yes` for an upstream's response,
        `unknown` without a complete response.
      body: body of the response.
      headers: headers of the response.
      latency_s: time to the end of the response.
    """

    def __init__(self, *, address: str, method: str, path: str, key: str):
        """Prepares a request to the caller listener of an entry."""
        self.address = address
        self.method = method
        self.path = path
        self.key = key
        self.trace = secrets.token_hex(16)
        self.status = 0
        self.ran = "unknown"
        self.kind = ""
        self.body = b""
        self.headers: Any = {}
        self.latency_s = 0.0
        self._content = b""
        self._deadline_ms = 0
        self._connection: http.client.HTTPConnection | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self, *, content: bytes, deadline_ms: int) -> None:
        """Sends the request; a `deadline_ms` of 0 uses that of the class."""
        self._content = content
        self._deadline_ms = deadline_ms
        self._connection = connect(self.address, timeout_s=SEND_LIMIT_S)
        self._thread.start()

    def wait(self) -> "OutgoingRequest":
        """Waits for the end of the response."""
        self._thread.join(SEND_LIMIT_S)
        assert not self._thread.is_alive(), f"no response to {self.path}"
        return self

    def disconnect(self) -> None:
        """Closes the connection like a caller that gives up."""
        assert self._connection is not None
        assert self._connection.sock is not None
        # A shutdown wakes the reading thread; a close does not.
        self._connection.sock.shutdown(2)
        self.wait()

    @property
    def summary(self) -> str:
        """A one-line summary for failure messages."""
        return (
            f"{self.path} key={self.key!r}: {self.status} {self.body[:300]!r}"
        )

    def _run(self) -> None:
        assert self._connection is not None
        headers = {"traceparent": f"00-{self.trace}-{self.trace[:16]}-01"}
        if self.key:
            headers["Idempotency-Key"] = self.key
        if self._deadline_ms:
            headers["Deadline-Ms"] = str(self._deadline_ms)
        started_s = time.monotonic()
        try:
            self._connection.request(
                self.method, self.path, body=self._content, headers=headers
            )
            response = self._connection.getresponse()
            self.body = response.read()
        except (OSError, http.client.HTTPException):
            return
        finally:
            self.latency_s = time.monotonic() - started_s
            self._connection.close()
        self.headers = response.headers
        self.ran = "yes"
        if response.headers.get("Content-Type", "") == PROBLEM:
            problem = json.loads(self.body)
            self.ran = problem["ran"]
            self.kind = problem["kind"]
        self.status = response.status


class RequestSender:
    """Sends the requests of a scenario and keeps them."""

    def __init__(self, *, deployment: Deployment) -> None:
        """Starts without requests."""
        self.deployment = deployment
        self.all: list[OutgoingRequest] = []
        self._count = 0

    def approve(
        self,
        *,
        entry: str,
        key: str,
        content: bytes = b"approve",
        query: str = "",
        deadline_ms: int = 0,
    ) -> OutgoingRequest:
        """Sends a request that may run at most once; does not wait."""
        path = f"/{SERVICE}/approvals"
        if query:
            path += f"?{query}"
        request = self._make(entry=entry, method="POST", path=path, key=key)
        request.start(content=content, deadline_ms=deadline_ms)
        return request

    def look_up(
        self, *, entry: str, query: str = "", deadline_ms: int = 0
    ) -> OutgoingRequest:
        """Sends an idempotent request on a new path; does not wait."""
        self._count += 1
        path = f"/{SERVICE}/orders/{self._count}"
        if query:
            path += f"?{query}"
        request = self._make(entry=entry, method="GET", path=path, key="")
        request.start(content=b"", deadline_ms=deadline_ms)
        return request

    def _make(
        self, *, entry: str, method: str, path: str, key: str
    ) -> OutgoingRequest:
        address = self.deployment.entries[entry]["caller"]
        request = OutgoingRequest(
            address=address, method=method, path=path, key=key
        )
        self.all.append(request)
        return request

    def runs_of(self, key: str) -> list[dict[str, Any]]:
        """Returns the runs of a key at all upstreams."""
        found = []
        for run in self.deployment.journals():
            if run["key"] == key:
                found.append(run)
        return found

    def find_violations(self) -> list[str]:
        """Compares all responses with the journals of all upstreams.

        Returns:
          One line for each key that ran more than once, each request reported
          as "not run" that ran, and each key that ran although all of its
          requests were reported as "not run".
        """
        traces = set()
        keys: dict[str, int] = {}
        for run in self.deployment.journals():
            traces.add(run["trace"].split("-")[1])
            if run["key"]:
                keys[run["key"]] = keys.get(run["key"], 0) + 1
        violations = []
        for key, count in keys.items():
            if count > 1:
                violations.append(f"{key} ran {count} times")
        outcomes_by_key: dict[str, set[str]] = {}
        for request in self.all:
            if request.ran == "no" and request.trace in traces:
                violations.append(
                    f"reported not run, but ran: {request.summary}"
                )
            outcomes_by_key.setdefault(request.key, set()).add(request.ran)
        for key, outcomes in outcomes_by_key.items():
            if key in keys and outcomes == {"no"}:
                violations.append(
                    f"{key} ran, but every response said that it did not"
                )
        return violations
