"""Demonstration of the older daemon on loopback, with the Tallow Brae example.

Starts the platform and upstream stand-ins and the eight entries of
examples/tallow-brae as separate processes, sends a few requests of each class,
marks a VM as leaving, shows a trace and the status table, and stops all.
"""

import json
from pathlib import Path
import shutil
import sys
import time
import tomllib
from typing import Any

from features.support.harness import ROOT
from features.support.harness import SUPPORT
from features.support.harness import Processes
from features.support.harness import get
from features.support.harness import send
from features.support.harness import wait_until
from scripts.demonstration import print_now
from scripts.demonstration import run_demonstration

EXAMPLE = ROOT / "examples" / "tallow-brae"
READY_LIMIT_S = 60.0
SMALL_UPLOAD_BYTES = 200_000
STATEMENT_BYTES = 300_000
RECORDING_WAIT_S = 0.5
LEAVING_UPSTREAM = "matching-se1-1"


class Demo:
    """Runs the processes of the demonstration."""

    def __init__(self, *, processes: Processes) -> None:
        """Prepares the demonstration and starts nothing."""
        self.processes = processes
        self.directory = processes.directory
        self.entries: dict[str, dict[str, Any]] = {}
        self.deployment: dict[str, Any] = {}

    def run(self) -> None:
        """Starts everything, shows it at work, and stops it."""
        self.start()
        self.show_lookup()
        self.show_requests()
        self.show_leaving()
        self.show_trace()
        self.show_status()
        self.stop()

    def start(self) -> None:
        """Starts the platform, the upstreams and the entries."""
        print_now("starting the platform, 28 upstreams and 8 entries ...")
        started_s = time.monotonic()
        text = (EXAMPLE / "deployment.toml").read_text(encoding="utf-8")
        self.deployment = tomllib.loads(text)
        shutil.copy(EXAMPLE / "deployment.toml", self.directory)
        for path in sorted(EXAMPLE.glob("entry-*.toml")):
            self._prepare_entry(path)
        self._start_platform()
        self._start_upstreams()
        for name in self.entries:
            settings = str(self.directory / f"{name}.toml")
            self.processes.start(
                name, "-m", "almondstair.daemon", "--settings", settings
            )
        wait_until(self._is_ready, limit_s=READY_LIMIT_S, what="the entries")
        print_now(f"ready after {time.monotonic() - started_s:.1f} s")

    def _prepare_entry(self, path: Path) -> None:
        text = path.read_text(encoding="utf-8")
        settings = tomllib.loads(text)
        name = settings["entry"]["name"]
        self.entries[name] = settings["entry"]
        text += f'\n[tracing]\nexporter = "file"\nfile = "{name}.spans"\n'
        text = text.replace(
            f'"{name}.spans"', json.dumps(str(self.directory / f"{name}.spans"))
        )
        target = self.directory / f"{name}.toml"
        target.write_text(text, encoding="utf-8")

    def _start_platform(self) -> None:
        address = "127.0.0.1:20000"
        script = str(SUPPORT / "platform_standin.py")
        self.processes.start(
            "platform", script, "--address", address, address=address
        )
        vms = []
        for name, entry in self.entries.items():
            zone = entry["availability_zone"]
            vms.append(_vm(name, entry["caller_address"], zone))
        for name, upstream in self.deployment["upstreams"].items():
            zone = upstream["availability_zone"]
            vms.append(_vm(name, upstream["address"], zone))
        send("PUT", address, "/vms", body={"vms": vms})

    def _start_upstreams(self) -> None:
        for name, upstream in self.deployment["upstreams"].items():
            options = ["--address", upstream["address"], "--name", name]
            options += ["--slots", str(upstream["slots"]), "--work-ms", "20"]
            script = str(SUPPORT / "upstream_standin.py")
            self.processes.start(name, script, *options)

    def _is_ready(self) -> bool:
        in_use = 0
        for name in self.entries:
            status = self._status(name)
            if status is None:
                return False
            for row in status["upstreams"]:
                in_use += row["state"] == "in use"
            for row in status["entries"]:
                if row["heard_age_s"] is None or row["leaving"]:
                    return False
            if len(status["entries"]) < len(self.entries):
                return False
        return in_use == len(self.deployment["upstreams"])

    def _status(self, name: str) -> dict[str, Any] | None:
        try:
            response = get(self.entries[name]["operator_address"], "/v1/status")
        except OSError:
            return None
        if response.status != 200:
            return None
        return response.json()

    def show_lookup(self) -> None:
        """Asks an entry which entries to use."""
        print_now("\na caller looks up which entries to use:")
        response = get(
            self._any_caller_address(), "/v1/entries?service=matching"
        )
        print_now(json.dumps(response.json(), indent=2))

    def _any_caller_address(self) -> str:
        return self.entries["scot-east-1a"]["caller_address"]

    def show_requests(self) -> None:
        """Sends a few requests of each class."""
        print_now("\na few requests of each class:")
        address = self._any_caller_address()
        for number in range(3):
            self._request("GET", address, f"/matching/orders/{number}")
        key = {"Idempotency-Key": "payment-4711"}
        self._request("POST", address, "/matching/approvals", b"pay", key)
        print_now("  the same approval again, through another entry:")
        # The outcome is recorded after the response, within a fraction of a
        # second; until then a repeated request is refused as still running.
        time.sleep(RECORDING_WAIT_S)
        other = self.entries["eng-north-1a"]["caller_address"]
        self._request("POST", other, "/matching/approvals", b"pay", key)
        batch = bytes(SMALL_UPLOAD_BYTES)
        self._request("PUT", address, "/intake/batches/17", batch)
        path = f"/intake/statements/9?answer_bytes={STATEMENT_BYTES}"
        self._request("GET", address, path)
        self._request("GET", address, "/matching/nothing/here")

    def _request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        started_s = time.monotonic()
        response = send(method, address, path, body=body, headers=headers)
        elapsed_ms = (time.monotonic() - started_s) * 1000
        ran_at = _upstream_of(response.body)
        print_now(
            f"  {method:4} {path:45} {response.status} "
            f"{len(response.body):7} bytes {elapsed_ms:6.1f} ms  {ran_at}"
        )

    def show_leaving(self) -> None:
        """Marks an upstream as leaving with almondstairctl."""
        print_now(f"\nan operator marks {LEAVING_UPSTREAM} as leaving:")
        self._run_almondstairctl("vm", "leave", LEAVING_UPSTREAM)

    def show_trace(self) -> None:
        """Prints the spans of the trace with the most hops."""
        print_now("\na trace with a span for each hop:")
        traces: dict[str, list[dict[str, Any]]] = {}
        for path in self.directory.glob("*.spans"):
            for line in path.read_text(encoding="utf-8").splitlines():
                span = json.loads(line)
                traces.setdefault(span["trace"], []).append(span)
        spans = max(traces.values(), key=len)
        _print_spans(spans, parent=_root_parent(spans), depth=1)

    def show_status(self) -> None:
        """Prints the status table of almondstairctl."""
        print_now("\nthe status as one entry sees it:")
        self._run_almondstairctl("status")

    def _run_almondstairctl(self, *arguments: str) -> None:
        address = self.entries["scot-east-1a"]["operator_address"]
        child = self.processes.start(
            "ctl",
            "-m",
            "almondstair.tools.almondstairctl",
            *arguments,
            f"--entry={address}",
        )
        code = child.wait(limit_s=60)
        print_now(child.log_text())
        child.log.unlink()
        if code != 0:
            print_now(f"almondstairctl ended with exit code {code}")

    def stop(self) -> None:
        """Stops every entry gracefully."""
        print_now(
            "\nstopping the entries, each after its callers have left ..."
        )
        started_s = time.monotonic()
        for name in self.entries:
            self.processes.children[name].process.terminate()
        codes = []
        for name in self.entries:
            codes.append(self.processes.children[name].wait(limit_s=90))
        print_now(
            f"exit codes {codes} after {time.monotonic() - started_s:.1f} s"
        )
        if any(codes):
            sys.exit(1)


def _vm(name: str, address: str, zone: str) -> dict[str, str]:
    return {
        "name": name,
        "address": address,
        "availability_zone": zone,
        "state": "live",
    }


def _upstream_of(body: bytes) -> str:
    try:
        fields = json.loads(body)
    except ValueError:
        return ""
    if "kind" in fields:
        return f"{fields['kind']}, ran: {fields['ran']}"
    return f"ran at {fields.get('upstream', '')}"


def _root_parent(spans: list[dict[str, Any]]) -> str:
    known = {span["span"] for span in spans}
    for span in spans:
        if span["parent"] not in known:
            return span["parent"]
    return ""


def _print_spans(
    spans: list[dict[str, Any]], *, parent: str, depth: int
) -> None:
    for span in sorted(spans, key=lambda span: span["start_ns"]):
        if span["parent"] != parent:
            continue
        elapsed_ms = (span["end_ns"] - span["start_ns"]) / 1e6
        indent = "  " * depth
        attributes = json.dumps(span["attributes"])
        print_now(
            f"{indent}{span['name']} on {span['entry']}: "
            f"{elapsed_ms:.1f} ms {attributes}"
        )
        _print_spans(spans, parent=span["span"], depth=depth + 1)


def main() -> None:
    """Runs the demonstration."""
    run_demonstration(lambda processes: Demo(processes=processes).run())


if __name__ == "__main__":
    main()
