"""What operators do and read, at entries of a deployment that runs."""

import base64
from typing import Any
import uuid

from features.support.deployment import Deployment
from features.support.harness import SUPPORT
from features.support.harness import Answer
from features.support.harness import get
from features.support.harness import post
from features.support.harness import wait_until

ASK_TIMEOUT_S = 20.0
TABLE_KEY = "almondstair/entries"
CONFIGURATION_KEY = "almondstair/configuration"


class Operator:
    """One operator; remembers the latest edit."""

    def __init__(self, *, deployment: Deployment) -> None:
        """Works on `deployment`."""
        self.deployment = deployment
        self.edit_id = ""
        self.told: Answer

    def address(self, entry: str) -> str:
        """Returns the operators' listener of an entry."""
        return self.deployment.entries[entry]["operator"]

    def read(self, entry: str) -> dict[str, Any]:
        """Returns the configuration in force on an entry."""
        return get(self.address(entry), "/v1/configuration").json()

    def edit(self, entry: str, old: str, new: str) -> Answer:
        """Replaces a part of the text in force, read at the same entry."""
        shown = self.read(entry)
        text = shown["text"].replace(old, new)
        assert text != shown["text"], f"{old!r} is not in the text"
        return self.put(entry, text, shown["version"])

    def put(self, entry: str, text: str, base_version: int) -> Answer:
        """Edits through an entry."""
        self.edit_id = f"edit-{uuid.uuid4().hex}"
        body = {
            "base_version": base_version,
            "edit_id": self.edit_id,
            "author": self.edit_id,
            "text": text,
        }
        self.told = post(
            self.address(entry),
            "/v1/configuration",
            body,
            timeout_s=ASK_TIMEOUT_S,
        )
        return self.told

    def fate(self, entry: str) -> dict[str, Any]:
        """Asks what became of the latest edit."""
        path = f"/v1/edits/{self.edit_id}"
        return get(self.address(entry), path, timeout_s=ASK_TIMEOUT_S).json()

    def history(self, entry: str) -> list[dict[str, Any]]:
        """Returns the latest versions, newest first."""
        path = "/v1/configuration/history"
        return get(self.address(entry), path).json()["versions"]


def set_ramp(text: str, fraction: float) -> str:
    """Returns the text with another ramp of profile local."""
    head, mark, tail = text.partition("[profiles.local]")
    lines = tail.split("\n")
    for number, line in enumerate(lines):
        if line.startswith("ramp_fraction_per_s"):
            lines[number] = f"ramp_fraction_per_s = {fraction}"
            break
    return head + mark + "\n".join(lines)


def platform_value(deployment: Deployment, key: str) -> bytes:
    """Returns what the platform holds under a key, empty for nothing."""
    body = {"key": base64.b64encode(key.encode()).decode()}
    found = post(deployment.platform, "/v3/kv/range", body).json()
    if not found.get("kvs"):
        return b""
    return base64.b64decode(found["kvs"][0]["value"])


def put_platform_value(deployment: Deployment, key: str, value: bytes) -> None:
    """Writes a value into the platform behind the entries' backs."""
    body = {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
    }
    post(deployment.platform, "/v3/kv/put", body)


def restart_platform_empty(deployment: Deployment) -> None:
    """Ends the platform and starts one without data at its address."""
    processes = deployment.processes
    processes.children["platform"].kill()
    script = str(SUPPORT / "platform_standin.py")
    address = deployment.platform
    processes.start("platform", script, "--address", address, address=address)
    deployment.publish_vms()


def restart_killed(deployment: Deployment, name: str) -> None:
    """Kills an entry and starts it again."""
    deployment.processes.children[name].kill()
    deployment.start_entry(name)


def wait_answers(operator: Operator, entry: str, version: int) -> None:
    """Waits until an entry has a version, or a later one, in force."""

    def is_there() -> bool:
        return operator.read(entry).get("version", 0) >= version

    wait_until(is_there, what=f"version {version} on {entry}")
