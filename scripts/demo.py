"""Demonstration on loopback: gateways between callers and upstreams.

Starts the platform's store, four upstreams and three gateways in two regions as
separate processes, sends requests of each kind, stops one upstream gracefully
and kills another, explains one request from the logs, and stops all gracefully.
"""

import signal
import sys
import time

from emulator.documents import route
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld
from features.support.harness import HttpResponse
from features.support.harness import Processes
from scripts.demonstration import print_now
from scripts.demonstration import run_demonstration

# Names and availability zones; see `gateway_world` for the zones' regions.
UPSTREAMS = {"u1": "a1", "u2": "a2", "u3": "a1", "u4": "b1"}
GATEWAYS = {"g1": "a1", "g2": "a2", "g3": "b1"}
WORK_S = 0.06
UPLOAD_BYTES = 200_000
# Longest time until a gateway has read that an upstream is leaving.
LEAVING_LIMIT_S = 3.0
STOP_LIMIT_S = 30.0


class Demo:
    """Runs the processes of the demonstration."""

    def __init__(self, *, processes: Processes) -> None:
        """Prepares the demonstration and starts nothing."""
        self._processes = processes
        self._world = GatewayWorld(processes=processes)
        self._objects: dict[str, str] = {}

    def run(self) -> None:
        """Starts everything, shows it at work, and stops it."""
        self._start()
        self._show_lookup()
        request = self._show_requests()
        self._show_leaving()
        self._show_crash()
        self._show_request_history(request)
        self._show_status()
        self._stop()

    def _start(self) -> None:
        print_now(
            f"starting the store, {len(UPSTREAMS)} upstreams, 3 gateways ..."
        )
        started_s = time.monotonic()
        for name, zone in UPSTREAMS.items():
            self._world.start_upstream(name, zone=zone, work_s=WORK_S)
        routes = [
            route("/safe/"),
            route("/unsafe/", kind="unsafe"),
            route("/upload/", kind="upload"),
            route("/download/", kind="download"),
        ]
        self._world.configure(routes)
        for name, zone in GATEWAYS.items():
            self._world.start_gateway(name, zone)
        for name in GATEWAYS:
            self._world.until_served(gateway=name)
        print_now(f"ready after {time.monotonic() - started_s:.1f} s")

    def _show_lookup(self) -> None:
        print_now("\na caller in region east looks up which gateways to use:")
        address = self._world.gateways["g1"]["lookups"]
        path = "/resolve?name=service.example&region=east&zone=a1"
        print_now(f"  {harness.get(address, path).json()}")

    def _show_requests(self) -> str:
        """Sends requests of each kind; returns the id of the first."""
        print_now("\nrequests of each kind; a cached object runs faster:")
        first = self._request("GET", "/safe/parcel-7", key="parcel-7")
        self._request("GET", "/safe/parcel-7", key="parcel-7", gateway="g2")
        self._request("POST", "/unsafe/order", body=b"return it")
        self._request("PUT", "/upload/scan", body=bytes(UPLOAD_BYTES))
        self._request("GET", "/download/scan", key="scan")
        self._request("GET", "/no/such/route")
        return first

    def _request(
        self,
        method: str,
        path: str,
        *,
        key: str = "",
        gateway: str = "g1",
        body: bytes | None = None,
    ) -> str:
        headers = {"X_Almondstair_Affinity_Key": key} if key else {}
        headers = self._world.headers(**headers)
        started_s = time.monotonic()
        address = self._world.gateways[gateway]["callers"]
        response = harness.send(
            method, address, path, body=body, headers=headers
        )
        elapsed_ms = (time.monotonic() - started_s) * 1000
        print_now(
            f"  {method:4} {path:18} through {gateway}  {response.status} "
            f"{len(response.body):7} bytes {elapsed_ms:6.1f} ms  "
            f"{_cause(response)}"
        )
        return headers["X-Almondstair-Request-Id"]

    def _show_leaving(self) -> None:
        print_now("\nupstream u1 is stopped; it reports that and drains:")
        self._processes.children["u1"].process.send_signal(signal.SIGTERM)
        time.sleep(LEAVING_LIMIT_S / 2)
        self._run_tool("gateway", "drain", self._world.operator_address("g1"))
        self._send_requests("while it is leaving")

    def _show_crash(self) -> None:
        print_now("\nupstream u2 is killed:")
        self._processes.children["u2"].kill()
        self._send_requests("after that")

    def _send_requests(self, when: str, count: int = 12) -> None:
        statuses = []
        for number in range(count):
            response = self._world.send("GET", f"/safe/parcel-{number}")
            statuses.append(response.status)
        print_now(f"  {count} requests {when}: {sorted(set(statuses))}")

    def _show_request_history(self, request: str) -> None:
        print_now(f"\nwhat happened to request {request}, from the logs:")
        logs = []
        for name in GATEWAYS:
            logs.append(str(self._processes.children[name].log))
        self._run_tool("gateway", "why", request, *logs)

    def _show_status(self) -> None:
        print_now("\nthe fleet as the gateways see it:")
        addresses = []
        for name in GATEWAYS:
            addresses.append(self._world.operator_address(name))
        self._run_tool("gateway", "status", *addresses)

    def _run_tool(self, *arguments: str) -> None:
        print_now(operator_tool.run(*arguments).rstrip())

    def _stop(self) -> None:
        print_now("\nstopping the gateways gracefully ...")
        started_s = time.monotonic()
        for name in GATEWAYS:
            self._processes.children[name].process.terminate()
        codes = []
        for name in GATEWAYS:
            codes.append(
                self._processes.children[name].wait(limit_s=STOP_LIMIT_S)
            )
        print_now(
            f"exit codes {codes} after {time.monotonic() - started_s:.1f} s"
        )
        if any(codes):
            sys.exit(1)


def _cause(response: HttpResponse) -> str:
    if response.status < 300:
        return ""
    return str(response.json().get("kind", ""))


def main() -> None:
    """Runs the demonstration."""
    run_demonstration(lambda processes: Demo(processes=processes).run())


if __name__ == "__main__":
    main()
