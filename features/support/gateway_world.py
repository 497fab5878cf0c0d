"""A small emulated platform for scenarios: store, upstreams, gateways."""

import http.client
import json
from pathlib import Path
from typing import Any
import uuid

from emulator import documents
from emulator.documents import HOST
from emulator.documents import route
from features.support import harness
from features.support.harness import Child
from features.support.harness import HttpResponse
from features.support.harness import Processes

ZONES = {"a1": "east", "a2": "east", "b1": "west"}


class GatewayWorld:
    """Starts the processes and acts as their callers and operators."""

    def __init__(self, *, processes: Processes) -> None:
        """Starts the store."""
        self.processes = processes
        self.start_store("store")
        self._zones_of: dict[str, str] = {}
        self.upstreams: dict[str, str] = {}
        self.gateways: dict[str, dict[str, str]] = {}
        self.version = 0
        self.organisations: list[dict[str, Any]] = []
        self.seed = ""
        self.routes = [
            route("/safe/"),
            route("/unsafe/", kind="unsafe"),
            route("/upload/", kind="upload"),
        ]

    def _start(self, name: str, component: str, *options: str) -> Child:
        address = options[options.index("--address") + 1]
        return self.processes.start(
            name, "-m", "emulator", component, *options, address=address
        )

    # The store.

    def replace_store(self) -> None:
        """Kills the store and starts an empty one at another address."""
        self.processes.children["store"].kill()
        self.start_store("store-2")

    def start_store(self, name: str) -> None:
        """Starts an empty store and uses it from now on."""
        self.store = harness.free_address()
        self._start(name, "store", "--address", self.store)

    def operate(self, **change: Any) -> None:
        """Writes to the store as the operator."""
        body = documents.operator_change(**change)
        answer = harness.post(self.store, "/operator", body)
        assert answer.status == 200, answer

    def store_faults(self, **faults: Any) -> None:
        """Injects faults into the store."""
        answer = harness.send("PUT", self.store, "/faults", body=faults)
        assert answer.status == 200, answer

    def drop_history(self) -> None:
        """Makes the store drop its change history."""
        harness.post(self.store, "/faults")

    def configure(
        self, routes: list[dict[str, Any]] | None = None, **limits: Any
    ) -> int:
        """Writes the next configuration; returns its version."""
        self.version += 2
        self.routes = routes if routes is not None else self.routes
        text = documents.configuration_text(
            self.version,
            self.routes,
            organisations=self.organisations,
            **limits,
        )
        self.operate(puts={"op/config": text})
        return self.version

    # Upstreams.

    def start_upstream(self, name: str, **plan: Any) -> str:
        """Starts an upstream; returns its address."""
        address = plan.pop("address", "") or harness.free_address()
        text = json.dumps({"zone": "a1"} | plan)
        self._start(
            name,
            "upstream",
            "--address",
            address,
            "--store",
            self.store,
            "--plan",
            text,
        )
        self.upstreams[name] = address
        return address

    def upstream_faults(self, name: str, **faults: Any) -> None:
        """Injects faults into an upstream."""
        harness.send(
            "PUT", self.upstreams[name], "/emulator/faults", body=faults
        )

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Returns the requests that an upstream has started."""
        return harness.get(self.upstreams[name], "/emulator/runs").json()

    def arrivals(self, name: str) -> list[float]:
        """Returns the times at which requests reached an upstream."""
        return harness.get(self.upstreams[name], "/emulator/arrivals").json()

    def all_runs(self) -> list[dict[str, Any]]:
        """Returns the runs of all upstreams whose process is running."""
        found = []
        for name in self.upstreams:
            if self.processes.children[name].is_running():
                found += self.runs(name)
        return found

    # Gateways.

    def start_gateway(
        self,
        name: str = "g1",
        zone: str = "a1",
        *,
        ready: bool = True,
        output: int | None = None,
        environment: dict[str, str] | None = None,
    ) -> Child:
        """Starts a gateway and waits until it is ready."""
        addresses = {}
        for listener in documents.LISTENERS:
            addresses[listener] = harness.free_address()
        addresses = self.gateways.setdefault(name, addresses)
        self._zones_of[name] = zone
        path = self.settings_path(name)
        path.write_text(self._settings(name), encoding="utf-8")
        child = self.processes.start(
            name,
            "-m",
            "almondstair.gateway",
            environment={
                "ALMONDSTAIR_BOOT": str(path),
                "ALMONDSTAIR_OPERATOR_PORT": addresses["operators"].split(":")[
                    1
                ],
            }
            | (environment or {}),
            address=addresses["ready"],
            output=output,
        )
        if ready:
            self.wait_ready(name)
        return child

    def operator_address(self, name: str) -> str:
        """Returns the address at which a gateway serves metrics and status."""
        return self.gateways[name]["operators"]

    def wait_ready(self, name: str, *, limit_s: float = 10.0) -> None:
        """Waits until a gateway reports ready."""

        def check() -> bool:
            address = self.gateways[name]["ready"]
            return harness.get(address, "/ready").status == 200

        harness.wait_until(check, limit_s=limit_s, what=f"{name} to be ready")

    def settings_path(self, name: str) -> Path:
        """Returns the path of a gateway's settings file."""
        return self.processes.directory / f"{name}.toml"

    def change_settings(
        self,
        name: str = "g1",
        *,
        zones: dict[str, str] | None = None,
        bounds: dict[str, float] | None = None,
        addresses: dict[str, str] | None = None,
    ) -> None:
        """Rewrites a gateway's settings file with changes."""
        text = self._settings(
            name, zones=zones, bounds=bounds, addresses=addresses
        )
        self.settings_path(name).write_text(text, encoding="utf-8")

    def _settings(
        self,
        name: str,
        *,
        zones: dict[str, str] | None = None,
        bounds: dict[str, float] | None = None,
        addresses: dict[str, str] | None = None,
    ) -> str:
        return documents.settings_text(
            documents.GatewayDescription(
                name=name,
                zone=self._zones_of[name],
                addresses=self.gateways[name] | (addresses or {}),
                store=self.store,
                zones=ZONES | (zones or {}),
                seed=self.seed,
                bounds=documents.BOUNDS | (bounds or {}),
            )
        )

    # Callers.

    def connect(self, gateway: str = "g1") -> http.client.HTTPConnection:
        """Returns an unopened connection to a gateway."""
        return harness.connect(self.gateways[gateway]["callers"])

    def send(
        self, method: str, path: str, *, gateway: str = "g1", **options: Any
    ) -> HttpResponse:
        """Sends one request as a caller."""
        headers = self.headers(**options.pop("headers", {}))
        address = self.gateways[gateway]["callers"]
        return harness.send(method, address, path, headers=headers, **options)

    def headers(self, **more: str) -> dict[str, str]:
        """Returns request headers with a new request ID."""
        found = {
            "Host": HOST,
            "X-Almondstair-Request-Id": uuid.uuid4().hex[:16],
            "X-Almondstair-Deadline-Ms": "3000",
        }
        for name, value in more.items():
            found[name.replace("_", "-")] = value
        return found

    def until_served(self, path: str = "/safe/x", **options: Any) -> None:
        """Sends requests until one is answered with 200."""

        def check() -> bool:
            return self.send("GET", path, **options).status == 200

        harness.wait_until(check, what=f"an answer to {path}")

    def log_events(self, gateway: str, number: int) -> list[dict[str, Any]]:
        """Returns the log lines of a gateway that have an event number."""
        found = []
        text = self.processes.children[gateway].log_text()
        for line in text.splitlines():
            if not line.startswith("{"):
                continue
            fields = json.loads(line)
            if fields.get("event") == number:
                found.append(fields)
        return found
