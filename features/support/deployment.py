"""A deployment on loopback: platform, upstreams and entries.

Each component is a separate process on free loopback addresses.
"""

import json
import time
from typing import Any, NamedTuple

from features.support.harness import Child
from features.support.harness import Processes
from features.support.harness import free_address
from features.support.harness import get
from features.support.harness import post
from features.support.harness import send
from features.support.harness import wait_until

READY_LIMIT_S = 20.0

CLASSES = """
[[services.{service}.classes]]
name = "look_up"
methods = ["GET", "HEAD"]
path = "/orders/*"
idempotent = true
priority = "interactive"
deadline_ms = 2000

[[services.{service}.classes]]
name = "approve"
methods = ["POST"]
path = "/approvals"
idempotent = false
priority = "commit"
deadline_ms = {commit_ms}
body_limit_bytes = 65536

[[services.{service}.classes]]
name = "upload"
methods = ["PUT"]
path = "/batches/*"
idempotent = true
priority = "upload"
deadline_ms = 20000
body_limit_bytes = 134217728

[[services.{service}.classes]]
name = "statement"
methods = ["GET"]
path = "/statements/*"
idempotent = true
priority = "batch"
deadline_ms = 20000
"""


class Shape(NamedTuple):
    """Holds the size and settings of a deployment.

    Attributes:
      entries: number of entries in each region.
      upstreams: number of upstreams in each region.
      slots: slots of each upstream.
      profile: profile of the only service.
      cap_bytes_per_s: cap of each link between regions.
      latency_ms: one-way latency between regions, for steering.
      work_ms: service time of a request at an upstream.
      commit_ms: deadline of the request class that runs at most once.
    """

    entries: dict[str, int]
    upstreams: dict[str, int]
    slots: int = 3
    profile: str = "local"
    cap_bytes_per_s: int = 100_000_000
    latency_ms: float = 12.0
    work_ms: float = 5.0
    commit_ms: int = 3000


SERVICE = "matching"


class Deployment:
    """Starts and controls the processes of one deployment.

    Attributes:
      daemon: arguments of the Python interpreter that run an entry.
    """

    def __init__(
        self,
        *,
        processes: Processes,
        shape: Shape,
        daemon: tuple[str, ...] = ("-m", "almondstair.daemon"),
    ) -> None:
        """Prepares the deployment without starting it."""
        self.processes = processes
        self.shape = shape
        self.daemon = daemon
        self.platform = ""
        self.upstreams: dict[str, str] = {}
        self.entries: dict[str, dict[str, str]] = {}

    # Start.

    def start(self, *, settings: str = "") -> None:
        """Starts all processes and waits until every upstream has a home.

        Args:
          settings: TOML added to the settings of each entry.
        """
        self.platform = self.processes.start_platform()
        for region, count in self.shape.upstreams.items():
            for number in range(count):
                self.start_upstream(f"{region}-u{number}")
        for region, count in self.shape.entries.items():
            for number in range(count):
                name = f"{region}-e{number}"
                self.entries[name] = _addresses()
        self.publish_vms()
        self.write_deployment()
        for name in self.entries:
            self.write_settings(name, settings)
            self.start_entry(name, wait=False)
        self.wait_ready()

    def start_upstream(self, name: str) -> None:
        """Starts an upstream, at its previous address if it had one."""
        address = self.upstreams.get(name, "")
        options = ["--slots", str(self.shape.slots)]
        options += ["--work-ms", str(self.shape.work_ms)]
        options += ["--journal", str(self.journal_path(name))]
        self.upstreams[name] = self.processes.start_upstream(
            *options, name=name, address=address
        )

    def journal_path(self, name: str) -> Any:
        """Returns the path of the journal file, which survives a crash."""
        return self.processes.directory / f"{name}.journal"

    def start_entry(self, name: str, *, wait: bool = True) -> Child:
        """Starts an entry."""
        address = ""
        if wait:
            address = self.entries[name]["caller"]
        return self.processes.start(
            name,
            *self.daemon,
            "--settings",
            str(self.processes.directory / f"{name}.toml"),
            address=address,
        )

    def write_deployment(self) -> None:
        """Writes the initial configuration."""
        path = self.processes.directory / "deployment.toml"
        path.write_text(self.deployment_text(), encoding="utf-8")

    def deployment_text(self) -> str:
        """Returns the configuration as TOML."""
        lines = []
        regions = sorted(self.shape.entries)
        for region in regions:
            lines.append(f"[regions.{region}]")
            lines.append(f'availability_zones = ["{region}-1"]\n')
        for policy in ("local", "spread", "round_robin"):
            lines.append(f'[profiles.{policy}]\npolicy = "{policy}"')
            lines.append("ramp_fraction_per_s = 0.5\n")
        lines.append(f'[services.{SERVICE}]\nprofile = "{self.shape.profile}"')
        lines.append(
            CLASSES.format(service=SERVICE, commit_ms=self.shape.commit_ms)
        )
        for name, address in self.upstreams.items():
            lines.append(f"[upstreams.{name}]")
            lines.append(f'services = ["{SERVICE}"]\naddress = "{address}"')
            lines.append(f'availability_zone = "{_region(name)}-1"')
            lines.append(f"slots = {self.shape.slots}\nconnections = 300")
            lines.append('load_path = "/_load"\n')
        for zone in regions:
            for region in regions:
                lines.append(self._link(zone, region))
        lines.append("[marks]\nleaving = []\n")
        return "\n".join(lines)

    def _link(self, zone: str, region: str) -> str:
        latency_ms = self.shape.latency_ms
        if zone == region:
            latency_ms = 0.5
        return (
            f'[[links]]\navailability_zone = "{zone}-1"\nregion = "{region}"\n'
            f"cap_bytes_per_s = {self.shape.cap_bytes_per_s}\n"
            f"latency_ms = {latency_ms}\n"
        )

    def write_settings(self, name: str, extra_settings: str = "") -> None:
        """Writes the settings of an entry."""
        addresses = self.entries[name]
        peers = []
        for other, other_addresses in self.entries.items():
            if other != name:
                peers.append(other_addresses["peer"])
        region = _region(name)
        text = f"""deployment_file = "deployment.toml"

[entry]
name = "{name}"
availability_zone = "{region}-1"
region = "{region}"
caller_address = "{addresses["caller"]}"
forward_address = "{addresses["forward"]}"
peer_address = "{addresses["peer"]}"
operator_address = "{addresses["operator"]}"
peer_addresses = {json.dumps(peers)}

[platform]
url = "http://{self.platform}"
vm_list_url = "http://{self.platform}/vms"

[tracing]
exporter = "file"
file = "{self.processes.directory}/{name}.spans"

{extra_settings}
"""
        path = self.processes.directory / f"{name}.toml"
        path.write_text(text, encoding="utf-8")

    # The platform.

    def publish_vms(self, *, leaving: tuple[str, ...] = ()) -> None:
        """Sets the VM list of the platform."""
        vms = []
        for name, addresses in self.entries.items():
            vms.append(_vm(name, addresses["caller"], name in leaving))
        for name, address in self.upstreams.items():
            vms.append(_vm(name, address, name in leaving))
        send("PUT", self.platform, "/vms", body={"vms": vms})

    def faults(self, **faults: Any) -> None:
        """Injects faults into the platform."""
        post(self.platform, "/faults", faults)

    # Observation and control.

    def wait_ready(self) -> None:
        """Waits until `is_ready` returns true."""
        wait_until(
            self.is_ready,
            limit_s=READY_LIMIT_S,
            what="the deployment to be ready",
        )

    def is_ready(self) -> bool:
        """Returns whether all entries hear all and each upstream has a home."""
        heard_count = 0
        homed_count = 0
        for name in self.entries:
            status = self.status(name)
            if status is None:
                return False
            for row in status["entries"]:
                is_heard = row["heard_age_s"] is not None
                heard_count += is_heard and not row["leaving"]
            for row in status["upstreams"]:
                homed_count += row["state"] == "in use"
        entry_count = len(self.entries)
        return heard_count == entry_count * entry_count and homed_count == len(
            self.upstreams
        )

    def status(self, name: str) -> dict[str, Any] | None:
        """Returns the status of an entry, or None without a 200 response."""
        try:
            answer = get(self.entries[name]["operator"], "/v1/status")
        except OSError:
            return None
        if answer.status != 200:
            return None
        return answer.json()

    def home_of(self, upstream: str, *, asked: str) -> str:
        """Returns the home of an upstream by the status of entry `asked`."""
        status = self.status(asked)
        assert status is not None
        for row in status["upstreams"]:
            if row["name"] == upstream:
                return row["home"]
        raise AssertionError(f"{asked} does not know {upstream}")

    def callers(self) -> list[str]:
        """Returns the addresses of the caller listeners of all entries."""
        return [addresses["caller"] for addresses in self.entries.values()]

    def journals(self) -> list[dict[str, Any]]:
        """Returns all runs of all upstreams, including crashed ones."""
        runs: list[dict[str, Any]] = []
        for name in self.upstreams:
            latest: dict[tuple[float, str, str], dict[str, Any]] = {}
            path = self.journal_path(name)
            if not path.exists():
                continue
            for line in path.read_text(encoding="utf-8").splitlines():
                run = json.loads(line)
                latest[(run["start"], run["path"], run["key"])] = run
            runs.extend(latest.values())
        return runs

    def journal(self, name: str) -> dict[str, Any]:
        """Returns the journal page of one upstream."""
        return get(self.upstreams[name], "/_journal").json()

    def control(self, name: str, **control: Any) -> None:
        """Injects faults into an upstream."""
        post(self.upstreams[name], "/_control", control)

    def edit(self, entry: str, text: str, base_version: int) -> Any:
        """Edits the configuration through an entry."""
        body = {
            "base_version": base_version,
            "edit_id": f"edit-{time.monotonic_ns()}",
            "author": "tester",
            "text": text,
        }
        return post(
            self.entries[entry]["operator"],
            "/v1/configuration",
            body,
            timeout_s=15,
        )

    def mark(self, entry: str, name: str, *, leaving: bool) -> Any:
        """Marks a VM through an entry."""
        body = {
            "name": name,
            "leaving": leaving,
            "edit_id": f"mark-{time.monotonic_ns()}",
            "author": "tester",
        }
        return post(
            self.entries[entry]["operator"], "/v1/marks", body, timeout_s=15
        )


def _addresses() -> dict[str, str]:
    addresses = {}
    for listener in ("caller", "forward", "peer", "operator"):
        addresses[listener] = free_address()
    return addresses


def _region(name: str) -> str:
    return name.rpartition("-")[0]


def _vm(name: str, address: str, leaving: bool) -> dict[str, str]:
    return {
        "name": name,
        "address": address,
        "availability_zone": f"{_region(name)}-1",
        "state": "leaving" if leaving else "live",
    }
