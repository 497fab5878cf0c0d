"""Messages of the JSON gateway of the etcd v3 API.

The gateway encodes keys and values in base64, and 64-bit integers as strings.
"""

import base64
from typing import Any, TypedDict

from almondstair.key_value import base


class WireHeader(TypedDict, total=False):
    """Header of every response, with the revision of the store."""

    revision: str


class WireKeyValue(TypedDict, total=False):
    """A record; its fields are base64 or decimal strings."""

    key: str
    value: str
    create_revision: str
    mod_revision: str
    version: str
    lease: str


class RangeAnswer(TypedDict, total=False):
    """Response to a read."""

    header: WireHeader
    kvs: list[WireKeyValue]


class NestedAnswer(TypedDict, total=False):
    """Response to one operation of a transaction."""

    response_range: RangeAnswer
    response_txn: "TxnAnswer"


class TxnAnswer(TypedDict, total=False):
    """Response to a transaction."""

    header: WireHeader
    succeeded: bool
    responses: list[NestedAnswer]


class LeaseAnswer(TypedDict, total=False):
    """Response to a lease grant."""

    ID: str
    TTL: str


class WireEvent(TypedDict, total=False):
    """One change reported by a watch."""

    type: str
    kv: WireKeyValue


class WatchResult(TypedDict, total=False):
    """Content of a line of a watch."""

    header: WireHeader
    events: list[WireEvent]
    canceled: bool
    compact_revision: str


class WatchLine(TypedDict, total=False):
    """One line of a watch."""

    result: WatchResult


class WireVm(TypedDict):
    """A VM in the VM list."""

    name: str
    address: str
    availability_zone: str
    state: base.VmState


class WireVmList(TypedDict):
    """The VM list with its age in milliseconds."""

    vms: list[WireVm]
    age_ms: float


def to_wire(data: bytes) -> str:
    """Returns bytes in the gateway's encoding."""
    return base64.b64encode(data).decode("ascii")


def to_record(wire: WireKeyValue) -> base.Record:
    """Returns a decoded record."""
    return base.Record(
        key=base64.b64decode(wire.get("key", "")).decode(),
        value=base64.b64decode(wire.get("value", "")),
        create_revision=int(wire.get("create_revision", "0")),
        mod_revision=int(wire.get("mod_revision", "0")),
        version=int(wire.get("version", "0")),
        lease_id=int(wire.get("lease", "0")),
    )


def to_revision(header: WireHeader | None) -> int:
    """Returns the revision in a response header, 0 if there is none."""
    if header is None:
        return 0
    return int(header.get("revision", "0"))


def prefix_end(prefix: str) -> bytes:
    """Returns the first key after all keys with a prefix."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def conditional_transaction(
    *, key: str, mod_revision: int, change: dict[str, Any]
) -> dict[str, Any]:
    """Returns a transaction that changes a key if unchanged, else reads it."""
    wire_key = to_wire(key.encode())
    condition = {
        "key": wire_key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(mod_revision),
    }
    if mod_revision == 0:
        condition["target"] = "CREATE"
        condition["create_revision"] = condition.pop("mod_revision")
    return {
        "compare": [condition],
        "success": [change],
        "failure": [{"request_range": {"key": wire_key}}],
    }


def put_operation(*, key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    """Returns the operation that writes a key."""
    put = {"key": to_wire(key.encode()), "value": to_wire(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def cas_result(answer: TxnAnswer, revision: int) -> base.CasResult:
    """Returns the result of a conditional write."""
    if answer.get("succeeded", False):
        return base.CasResult(succeeded=True, revision=revision)
    for response in answer.get("responses", []):
        for wire in response.get("response_range", {}).get("kvs", []):
            return base.CasResult(
                succeeded=False, revision=revision, current=to_record(wire)
            )
    return base.CasResult(succeeded=False, revision=revision)
