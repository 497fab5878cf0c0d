"""Platform stand-in: key-value service and VM list in one process.

It implements the JSON gateway of the etcd v3 API as published (base64 keys and
values, 64-bit numbers as strings, default fields omitted), so that a real
service can replace it. `/vms` is the VM list with its lag; `/faults` and
`/counts` are for tests.
"""

import argparse
import asyncio
import base64
from collections.abc import Iterator
import contextlib
import functools
import json
import re
import time
from typing import Any, NamedTuple

import tornado.iostream
import tornado.web

VALUE_LIMIT_BYTES = 1 << 20
TXN_LIMIT = 128
HISTORY_LIMIT = 100_000
CHECK_INTERVAL_S = 0.05
TARGETS = {"CREATE": "create_revision", "MOD": "mod_revision"}
OPERATIONS = {"put": "put", "range": "range", "deleterange": "delete_range"}
Message = dict[str, Any]


class KeyValue(NamedTuple):
    """The current state of a key; version 0 means deleted."""

    key: bytes
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    value: bytes = b""
    lease: int = 0


class GatewayError(Exception):
    """A refused call, with its message, gRPC code and HTTP status."""


TOO_LARGE = GatewayError("etcdserver: request is too large", 3, 400)
TOO_MANY = GatewayError(
    "etcdserver: too many operations in txn request", 3, 400
)
DUPLICATE = GatewayError(
    "etcdserver: duplicate key given in txn request", 3, 400
)
NO_LEASE = GatewayError("etcdserver: requested lease not found", 5, 404)
LEASE_EXISTS = GatewayError("etcdserver: lease already exists", 9, 400)


@functools.cache
def field_name(name: str) -> str:
    """Returns the snake-case name of a field, also for its camel-case one."""
    return re.sub("([a-z])([A-Z])", r"\1_\2", name).lower()


def from_json(text: bytes) -> Message:
    def rename(pairs: list[tuple[str, Any]]) -> Message:
        return {field_name(name): value for name, value in pairs}

    return json.loads(text, object_pairs_hook=rename)


def to_json(value: Any) -> Any:
    """Returns the published JSON form of bytes, numbers and messages."""
    if isinstance(value, KeyValue):
        value = value._asdict()
    if isinstance(value, dict):
        return {k: to_json(v) for k, v in value.items() if v}
    if isinstance(value, list):
        return [to_json(item) for item in value]
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    return str(value) if type(value) is int else value


def get_bytes(message: Message, name: str) -> bytes:
    return base64.b64decode(message.get(name, ""))


def get_int(message: Message, name: str) -> int:
    return int(message.get(name, 0))


def is_within(key: bytes, request: Message) -> bool:
    start = get_bytes(request, "key")
    end = get_bytes(request, "range_end")
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


def walk(message: Any) -> Iterator[Message]:
    """Yields a message and every message in it."""
    if isinstance(message, list):
        for item in message:
            yield from walk(item)
    if isinstance(message, dict):
        yield message
        yield from walk(list(message.values()))


def is_write(request: Message) -> bool:
    """Returns whether a transaction contains a write."""
    writes = ("request_put", "request_delete_range")
    return any(name in item for item in walk(request) for name in writes)


def names_prefix(request: Message, prefix: bytes) -> bool:
    """Returns whether a request names a key with a prefix."""
    return any(get_bytes(i, "key").startswith(prefix) for i in walk(request))


class Store:
    """Holds the keys, the leases, and the events for watches."""

    def __init__(self) -> None:
        """Starts empty, at the first revision."""
        self.revision = 1
        self.current: dict[bytes, KeyValue] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.events: list[KeyValue] = []
        self.compacted = 0
        self.changed = asyncio.Event()

    def header(self) -> Message:
        return {"cluster_id": 1, "member_id": 1, "revision": self.revision}

    def call(self, name: str, request: Message) -> Message:
        """Executes one call of the key-value API."""
        if name == "txn":
            return self.txn(request)
        kind = OPERATIONS[name]
        answer = self.txn({"success": [{f"request_{kind}": request}]})
        return answer["responses"][0][f"response_{kind}"]

    def txn(self, request: Message) -> Message:
        """Applies a transaction whose writes share one revision."""
        self.check(request)
        plan = self.plan(request)
        count = len(self.events)
        answer = self.apply(plan, self.revision + 1)
        if len(self.events) > count:
            self.publish()
        return answer

    def publish(self) -> None:
        """Wakes the watches."""
        if len(self.events) > HISTORY_LIMIT:
            self.compacted = self.events[-HISTORY_LIMIT - 1].mod_revision
            del self.events[:-HISTORY_LIMIT]
        self.changed.set()
        self.changed = asyncio.Event()

    def check(self, request: Message) -> set[bytes]:
        """Validates a request as etcd does and returns the keys it puts."""
        keys: set[bytes] = set()
        if len(request.get("compare", [])) > TXN_LIMIT:
            raise TOO_MANY
        for branch in ("success", "failure"):
            operations = request.get(branch, [])
            if len(operations) > TXN_LIMIT:
                raise TOO_MANY
            found = [self.check_operation(item) for item in operations]
            branch_keys = set().union(*found)
            if len(branch_keys) < sum(map(len, found)):
                raise DUPLICATE
            keys |= branch_keys
        return keys

    def check_operation(self, operation: Message) -> set[bytes]:
        if "request_txn" in operation:
            return self.check(operation["request_txn"])
        put = operation.get("request_put")
        if put is None:
            return set()
        if len(get_bytes(put, "value")) > VALUE_LIMIT_BYTES:
            raise TOO_LARGE
        if get_int(put, "lease") and get_int(put, "lease") not in self.leases:
            raise NO_LEASE
        return {get_bytes(put, "key")}

    def plan(self, request: Message) -> tuple[bool, list[Any]]:
        """Evaluates all comparisons, nested ones too, before any write."""
        succeeded = all(map(self.compare, request.get("compare", [])))
        steps = []
        for operation in request.get("success" if succeeded else "failure", []):
            nested = operation.get("request_txn")
            steps.append(operation if nested is None else self.plan(nested))
        return succeeded, steps

    def compare(self, compare: Message) -> bool:
        target = compare.get("target", "VERSION")
        field = TARGETS.get(target, target.lower())
        key = get_bytes(compare, "key")
        if key not in self.current and field == "value":
            return False
        actual = getattr(self.current.get(key, KeyValue(key)), field)
        expected = (get_bytes if field == "value" else get_int)(compare, field)
        result = compare.get("result", "EQUAL")
        if result in ("EQUAL", "NOT_EQUAL"):
            return (actual == expected) == (result == "EQUAL")
        return actual > expected if result == "GREATER" else actual < expected

    def apply(self, plan: tuple[bool, list[Any]], revision: int) -> Message:
        responses: list[Message] = []
        for step in plan[1]:
            if isinstance(step, tuple):
                responses.append({"response_txn": self.apply(step, revision)})
                continue
            [(kind, request)] = step.items()
            answer = getattr(self, kind)(request, revision)
            answer["header"] = self.header()
            responses.append({kind.replace("request", "response"): answer})
        header = self.header()
        return {"header": header, "succeeded": plan[0], "responses": responses}

    def request_range(self, request: Message, revision: int) -> Message:
        keys = self.select(request)
        limit = get_int(request, "limit") or len(keys)
        found = [self.current[key] for key in keys[:limit]]
        if request.get("keys_only"):
            found = [item._replace(value=b"") for item in found]
        if request.get("count_only"):
            found = []
        return {"kvs": found, "count": len(keys), "more": limit < len(keys)}

    def request_put(self, request: Message, revision: int) -> Message:
        key, value = get_bytes(request, "key"), get_bytes(request, "value")
        old = self.current.get(key, KeyValue(key, revision))
        created, version = old.create_revision, old.version + 1
        lease = get_int(request, "lease")
        new = KeyValue(key, created, revision, version, value, lease)
        self.current[key] = new
        self.events.append(new)
        self.revision = revision
        return {}

    def request_delete_range(self, request: Message, revision: int) -> Message:
        keys = self.select(request)
        self.delete(keys, revision)
        return {"deleted": len(keys)}

    def select(self, request: Message) -> list[bytes]:
        if not request.get("range_end"):
            key = get_bytes(request, "key")
            return [key] if key in self.current else []
        return sorted(key for key in self.current if is_within(key, request))

    def delete(self, keys: list[bytes], revision: int) -> None:
        for key in keys:
            del self.current[key]
            self.events.append(KeyValue(key, mod_revision=revision))
            self.revision = revision

    def lease(self, name: str, request: Message) -> Message:
        """Grants, renews or revokes a lease."""
        lease_id = get_int(request, "id")
        ttl_s = get_int(request, "ttl")
        if name == "grant":
            lease_id = lease_id or time.monotonic_ns()
            if lease_id in self.leases:
                raise LEASE_EXISTS
        if name == "keepalive":
            ttl_s = self.leases.get(lease_id, (0, 0.0))[0]
        if name == "revoke":
            self.revoke(lease_id)
            return {"header": self.header()}
        if ttl_s:
            self.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        answer = {"header": self.header(), "ID": lease_id, "TTL": ttl_s}
        return answer if name == "grant" else {"result": answer}

    def revoke(self, lease_id: int) -> None:
        if self.leases.pop(lease_id, None) is None:
            raise NO_LEASE
        held = [
            key for key, item in self.current.items() if item.lease == lease_id
        ]
        if held:
            self.delete(held, self.revision + 1)
            self.publish()

    def expire_leases(self) -> None:
        for lease_id, (_, expiry_s) in list(self.leases.items()):
            if expiry_s <= time.monotonic():
                self.revoke(lease_id)


class Platform:
    """Holds the store, the VM list, the active faults and call counts."""

    def __init__(self) -> None:
        """Starts without faults."""
        self.store = Store()
        self.faults: Message = {
            "down": False,  # closes every connection, including watches
            "delay_ms": 0,  # delay before a call takes effect
            "lose_answers": 0,  # number of next writes applied unanswered
            "lose_calls": 0,  # number of next writes lost before they apply
            "down_after_loss": False,  # goes down after a lost response or call
            "lose_prefix": "",  # only writes of keys with this prefix are lost
            "vm_list_lag_ms": 0,
            "vm_list_down": False,
        }
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "calls": 0}
        self.vm_lists: list[tuple[float, list[Message]]] = []

    def consume_loss(self, fault: str, request: Message) -> bool:
        """Returns whether a loss applies to a write, and consumes it."""
        prefix = self.faults["lose_prefix"].encode()
        if self.faults[fault] <= 0 or not names_prefix(request, prefix):
            return False
        self.faults[fault] -= 1
        self.faults["down"] |= self.faults["down_after_loss"]
        return True

    def list_vms(self) -> Message:
        """Returns the VM list as of the configured lag ago."""
        lag_ms = self.faults["vm_list_lag_ms"]
        vms: list[Message] = []
        for set_s, listed in self.vm_lists:
            if set_s <= time.monotonic() - lag_ms / 1000:
                vms = listed
        return {"vms": vms, "age_ms": lag_ms}


class Handler(tornado.web.RequestHandler):
    """Base class of the handlers."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform
        self.faults = platform.faults
        self.disconnected = False

    def on_connection_close(self) -> None:
        self.disconnected = True

    def close_unanswered(self) -> None:
        if not self.disconnected:
            self.detach().close()


class CallHandler(Handler):
    """Serves calls of the key-value API."""

    async def post(self, part: str, name: str) -> None:
        request = from_json(self.request.body)
        writes = is_write(request) if name == "txn" else name != "range"
        self.platform.counts["calls"] += 1
        self.platform.counts["writes" if writes else "reads"] += 1
        if not self.faults["down"]:
            await asyncio.sleep(self.faults["delay_ms"] / 1000)
        lost = writes and self.platform.consume_loss("lose_calls", request)
        if lost or self.faults["down"]:
            return self.close_unanswered()
        store = self.platform.store
        try:
            answer = (store.call if part == "kv" else store.lease)(
                name, request
            )
        except GatewayError as error:
            text, code, status = error.args
            self.set_status(status)
            return self.finish({"error": text, "code": code, "message": text})
        if writes and self.platform.consume_loss("lose_answers", request):
            return self.close_unanswered()
        return self.finish(to_json(answer))


class WatchHandler(Handler):
    """Serves a watch: streams JSON lines until either end closes."""

    async def post(self) -> None:
        self.platform.counts["calls"] += 1
        self.platform.counts["watches"] += 1
        try:
            request = from_json(self.request.body)["create_request"]
            await self.stream_events(request, self.platform.store)
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self.platform.counts["watches"] -= 1

    async def stream_events(self, request: Message, store: Store) -> None:
        next_revision = get_int(request, "start_revision") or store.revision + 1
        created = False
        while not (self.disconnected or self.faults["down"]):
            changed = store.changed
            if next_revision <= store.compacted:
                gone = {"canceled": True, "compact_revision": store.compacted}
                return await self.send(gone)
            events = []
            for item in reversed(store.events):
                if item.mod_revision < next_revision:
                    break
                if is_within(item.key, request):
                    kind = "" if item.version else "DELETE"
                    events.append({"type": kind, "kv": item})
            next_revision = store.revision + 1
            if not created:
                await self.send({"created": True})
                created = True
            if events:
                await self.send({"events": events[::-1]})
            while not (
                changed.is_set() or self.disconnected or self.faults["down"]
            ):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), CHECK_INTERVAL_S)
        return self.close_unanswered()

    async def send(self, result: Message) -> None:
        result["header"] = self.platform.store.header()
        self.write(json.dumps({"result": to_json(result)}) + "\n")
        await self.flush()


class TestHandler(Handler):
    """Serves the VM list (PUT sets it), the faults and the call counts."""

    def get(self, name: str) -> None:
        if name == "counts":
            return self.finish(self.platform.counts)
        if name == "faults":
            return self.finish(self.faults)
        self.platform.counts["calls"] += 1
        if self.faults["vm_list_down"]:
            return self.close_unanswered()
        return self.finish(self.platform.list_vms())

    def put(self, name: str) -> None:
        vms = json.loads(self.request.body)["vms"]
        # The first list gets the oldest time, so that a lag never shows an
        # empty list, which would mean that every VM is gone.
        set_s = time.monotonic() if self.platform.vm_lists else 0.0
        self.platform.vm_lists.append((set_s, vms))

    def post(self, name: str) -> None:
        self.faults.update(json.loads(self.request.body))
        self.finish(self.faults)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    ip, port = parser.parse_args().address.split(":")
    platform = Platform()
    shared = {"platform": platform}
    application = tornado.web.Application(
        [
            (r"/v3/(kv)/(range|txn|put|deleterange)", CallHandler, shared),
            (r"/v3/(lease)/(grant|keepalive|revoke)", CallHandler, shared),
            (r"/v3/watch", WatchHandler, shared),
            (r"/(vms|faults|counts)", TestHandler, shared),
        ]
    )
    application.listen(int(port), ip)
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        platform.store.expire_leases()


if __name__ == "__main__":
    asyncio.run(main())
