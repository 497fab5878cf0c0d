"""Processes of a scenario and HTTP requests to them.

Every wait has a limit. Processes are ended only by the handles that started
them.
"""

import atexit
from collections.abc import Callable
import http.client
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, NamedTuple

from emulator.ports import free_address

ROOT = Path(__file__).resolve().parents[2]
SUPPORT = ROOT / "features" / "support"
POLL_INTERVAL_S = 0.02
LOG_TAIL_BYTES = 2000


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes

    def json(self) -> Any:
        """Returns the body decoded from JSON."""
        return json.loads(self.body)


def wait_until(
    check: Callable[[], Any], *, limit_s: float = 10.0, what: str = "it"
) -> Any:
    """Polls until `check` returns a true value, and returns that value.

    Raises:
      AssertionError: the condition did not hold within `limit_s`.
    """
    end_s = time.monotonic() + limit_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() >= end_s:
            raise AssertionError(f"waited {limit_s} s for {what}")
        time.sleep(POLL_INTERVAL_S)


def accepts_connections(address: str) -> bool:
    """Returns whether a connection to an address is accepted."""
    ip, port = address.split(":")
    try:
        with socket.create_connection((ip, int(port)), timeout=1):
            return True
    except OSError:
        return False


def connect(address: str, *, timeout_s: float = 10.0):
    """Returns an unopened HTTP connection."""
    ip, port = address.split(":")
    return http.client.HTTPConnection(ip, int(port), timeout=timeout_s)


def send(
    method: str,
    address: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpResponse:
    """Sends a request on a new connection and reads the complete response.

    Args:
      method: HTTP method.
      address: `ip:port`.
      path: path and query.
      body: bytes, sent unchanged, or a dict or list, sent as JSON.
      headers: request headers.
      timeout_s: longest time without data from the other end.

    Raises:
      OSError: the connection failed, or closed before a response.
      http.client.IncompleteRead: the response was truncated.
    """
    if isinstance(body, dict | list):
        body = json.dumps(body)
    connection = connect(address, timeout_s=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return HttpResponse(response.status, response.headers, response.read())
    finally:
        connection.close()


def get(address: str, path: str, **options: Any) -> HttpResponse:
    """Sends a GET."""
    return send("GET", address, path, **options)


def post(
    address: str, path: str, body: Any = None, **options: Any
) -> HttpResponse:
    """Sends a POST."""
    return send("POST", address, path, body=body, **options)


class Child:
    """A process that a scenario started."""

    def __init__(
        self,
        *,
        name: str,
        command: list[str],
        log: Path,
        environment: dict[str, str] | None = None,
        output: int | None = None,
    ) -> None:
        """Starts the process with output to the log or a descriptor."""
        self.name = name
        self.log = log
        variables = {**os.environ, "PYTHONPATH": str(ROOT)}
        variables.update(environment or {})
        with log.open("ab") as log_file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log_file if output is None else output,
                stderr=log_file,
            )

    @property
    def pid(self) -> int:
        """The process ID."""
        return self.process.pid

    def is_running(self) -> bool:
        """Returns whether the process is still running."""
        return self.process.poll() is None

    def freeze(self) -> None:
        """Suspends the process, as if its VM were paused."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a frozen process."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process, even if it is frozen."""
        self.process.kill()
        self.process.wait(timeout=10)

    def terminate(self, *, limit_s: float = 30.0) -> int:
        """Sends SIGTERM and returns the exit code."""
        self.process.terminate()
        return self.process.wait(timeout=limit_s)

    def wait(self, *, limit_s: float = 30.0) -> int:
        """Waits until the process ends and returns its exit code."""
        return self.process.wait(timeout=limit_s)

    def resident_bytes(self, *, field: str = "VmRSS") -> int:
        """Returns the resident memory; the field `VmHWM` gives its peak."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="utf-8")
        for line in status.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        raise ProcessLookupError(self.name)

    def log_text(self) -> str:
        """Returns the log output of the process."""
        return self.log.read_text(encoding="utf-8", errors="replace")


class Processes:
    """Owns the processes and temporary files of a scenario."""

    def __init__(self) -> None:
        """Starts without processes; creates the directory on first use."""
        self.children: dict[str, Child] = {}
        self._directory: Path | None = None
        atexit.register(self.end)

    @property
    def directory(self) -> Path:
        """A temporary directory that `end` removes."""
        if self._directory is None:
            self._directory = Path(tempfile.mkdtemp(prefix="almondstair-"))
        return self._directory

    def start(
        self,
        name: str,
        *command: str,
        address: str = "",
        limit_s: float = 10,
        environment: dict[str, str] | None = None,
        output: int | None = None,
    ) -> Child:
        """Starts a Python program and waits until it accepts connections.

        Args:
          name: name in this scenario, reusable once its process has ended.
          *command: interpreter arguments: a script, or `-m` and a module.
          address: `ip:port` to wait for; empty to return immediately.
          limit_s: longest wait.
          environment: variables added to those of the test process.
          output: descriptor for standard output; by default the log.

        Raises:
          AssertionError: the program ended or was not ready in time.
          ValueError: a process of this name is still running.
        """
        previous = self.children.get(name)
        if previous and previous.is_running():
            raise ValueError(f"{name} is already running")
        child = Child(
            name=name,
            command=[sys.executable, *command],
            log=self.directory / f"{name}.log",
            environment=environment,
            output=output,
        )
        self.children[name] = child
        if not address:
            return child

        def is_ready() -> bool:
            assert child.is_running(), f"{name} ended: {child.log_text()}"
            return accepts_connections(address)

        wait_until(is_ready, limit_s=limit_s, what=f"{name} at {address}")
        return child

    def start_platform(self, *, name: str = "platform") -> str:
        """Starts a platform stand-in and returns its address."""
        address = free_address()
        script = str(SUPPORT / "platform_standin.py")
        self.start(name, script, "--address", address, address=address)
        return address

    def start_upstream(
        self, *options: str, name: str = "upstream", address: str = ""
    ) -> str:
        """Starts an upstream stand-in and returns its address."""
        address = address or free_address()
        script = str(SUPPORT / "upstream_standin.py")
        arguments = ["--address", address, "--name", name, *options]
        self.start(name, script, *arguments, address=address)
        return address

    def start_caller(
        self,
        *options: str,
        entries: list[str],
        service: str,
        classes: list[dict[str, Any]],
        name: str = "caller",
    ) -> Child:
        """Starts a caller stand-in; `caller_records` returns its records."""
        script = str(SUPPORT / "caller_standin.py")
        out = str(self.directory / f"{name}.jsonl")
        arguments = ["--entries", ",".join(entries), "--service", service]
        arguments += ["--classes", json.dumps(classes), "--out", out]
        return self.start(name, script, *arguments, *options)

    def caller_records(self, name: str = "caller") -> list[dict[str, Any]]:
        """Returns the request outcomes that a caller has recorded."""
        path = self.directory / f"{name}.jsonl"
        records = []
        for line in path.read_text(encoding="utf-8").splitlines():
            records.append(json.loads(line))
        return records

    def log_tails(self) -> str:
        """Returns the last part of each log, for failure reports."""
        tails = []
        for name, child in self.children.items():
            tails.append(f"--- {name}\n{child.log_text()[-LOG_TAIL_BYTES:]}")
        return "\n".join(tails)

    def end(self) -> None:
        """Kills the running processes and removes the directory."""
        atexit.unregister(self.end)
        for child in self.children.values():
            if child.is_running():
                child.kill()
        self.children.clear()
        if self._directory is not None:
            shutil.rmtree(self._directory, ignore_errors=True)
            self._directory = None
