"""Operator actions and queries at the entries of a running deployment."""

import base64
from typing import Any
import uuid

from features.support.deployment import Deployment
from features.support.harness import SUPPORT
from features.support.harness import HttpResponse
from features.support.harness import get
from features.support.harness import post
from features.support.harness import wait_until

REQUEST_TIMEOUT_S = 20.0
TABLE_KEY = "almondstair/entries"
CONFIGURATION_KEY = "almondstair/configuration"


class Operator:
    """An operator that remembers its latest edit."""

    def __init__(self, *, deployment: Deployment) -> None:
        """Sends edits and queries to the entries of a deployment."""
        self.deployment = deployment
        self.edit_id = ""
        self.last_response: HttpResponse

    def address(self, entry: str) -> str:
        """Returns the address of the operator listener of an entry."""
        return self.deployment.entries[entry]["operator"]

    def read(self, entry: str) -> dict[str, Any]:
        """Returns the configuration in force on an entry."""
        return get(self.address(entry), "/v1/configuration").json()

    def edit(self, entry: str, old: str, new: str) -> HttpResponse:
        """Replaces a part of the configuration in force on an entry."""
        current = self.read(entry)
        text = current["text"].replace(old, new)
        assert text != current["text"], f"{old!r} is not in the text"
        return self.put(entry, text, current["version"])

    def put(self, entry: str, text: str, base_version: int) -> HttpResponse:
        """Submits a configuration through an entry."""
        self.edit_id = f"edit-{uuid.uuid4().hex}"
        body = {
            "base_version": base_version,
            "edit_id": self.edit_id,
            "author": self.edit_id,
            "text": text,
        }
        self.last_response = post(
            self.address(entry),
            "/v1/configuration",
            body,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        return self.last_response

    def edit_status(self, entry: str) -> dict[str, Any]:
        """Returns the status of the latest edit."""
        path = f"/v1/edits/{self.edit_id}"
        return get(
            self.address(entry), path, timeout_s=REQUEST_TIMEOUT_S
        ).json()

    def history(self, entry: str) -> list[dict[str, Any]]:
        """Returns the latest configuration versions, newest first."""
        path = "/v1/configuration/history"
        return get(self.address(entry), path).json()["versions"]


def set_ramp(text: str, fraction: float) -> str:
    """Returns the text with a new ramp fraction for the profile `local`."""
    head, mark, tail = text.partition("[profiles.local]")
    lines = tail.split("\n")
    for number, line in enumerate(lines):
        if line.startswith("ramp_fraction_per_s"):
            lines[number] = f"ramp_fraction_per_s = {fraction}"
            break
    return head + mark + "\n".join(lines)


def platform_value(deployment: Deployment, key: str) -> bytes:
    """Returns the platform's value of a key, empty if it has none."""
    body = {"key": base64.b64encode(key.encode()).decode()}
    found = post(deployment.platform, "/v3/kv/range", body).json()
    if not found.get("kvs"):
        return b""
    return base64.b64decode(found["kvs"][0]["value"])


def put_platform_value(deployment: Deployment, key: str, value: bytes) -> None:
    """Writes a value to the platform directly, without an entry."""
    body = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
    }
    post(deployment.platform, "/v3/kv/put", body)


def restart_platform_empty(deployment: Deployment) -> None:
    """Kills the platform and starts an empty one at its address."""
    processes = deployment.processes
    processes.children["platform"].kill()
    script = str(SUPPORT / "platform_standin.py")
    address = deployment.platform
    processes.start("platform", script, "--address", address, address=address)
    deployment.publish_vms()


def kill_and_restart(deployment: Deployment, name: str) -> None:
    """Kills an entry and starts it again."""
    deployment.processes.children[name].kill()
    deployment.start_entry(name)


def wait_for_version(operator: Operator, entry: str, version: int) -> None:
    """Waits until a version, or a later one, is in force on an entry."""

    def is_in_force() -> bool:
        return operator.read(entry).get("version", 0) >= version

    wait_until(is_in_force, what=f"version {version} on {entry}")
