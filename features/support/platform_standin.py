"""Stand-in for the platform: key-value service and VM list, one process.

It answers the JSON gateway of the etcd v3 API as that API is published (base64
keys and values, 64-bit numbers as strings, fields at their default left out),
so that a real service can take its place. `/vms` is the lagging VM list;
`/faults` and `/counts` belong to the tests.
"""

import argparse
import asyncio
import base64
import json
import time
from typing import Any, NamedTuple

import tornado.web

VALUE_LIMIT_BYTES = 1 << 20
TXN_OPERATIONS_LIMIT = 128
HISTORY_LIMIT_EVENTS = 100_000
LEASE_CHECK_INTERVAL_S = 0.05
TARGET_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
    "VALUE": "value",
}
Message = dict[str, Any]


class Record(NamedTuple):
    """One key's present state."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Event(NamedTuple):
    """One change of one key; `record` is None for a deletion."""

    revision: int
    key: bytes
    record: Record | None


class GatewayError(Exception):
    """A refusal in the gateway's own shape."""

    def __init__(self, message: str, *, code: int = 3, status: int = 400):
        """Keeps the gRPC code and the HTTP status that goes with it."""
        super().__init__(message)
        self.body = {"error": message, "code": code, "message": message}
        self.status = status


def get_field(message: Message, name: str, default: Any = None) -> Any:
    """Reads a field under its original or its camel-case name."""
    if name in message:
        return message[name]
    head, *rest = name.split("_")
    camel = head + "".join(word.capitalize() for word in rest)
    return message.get(camel, default)


def get_bytes(message: Message, name: str) -> bytes:
    return base64.b64decode(get_field(message, name) or "")


def get_int(message: Message, name: str) -> int:
    return int(get_field(message, name) or 0)


def drop_defaults(message: Message) -> Message:
    """Leaves out what is at its default, as proto3's JSON does."""
    kept = {}
    for name, value in message.items():
        if value in (0, "", False, None, []):
            continue
        is_number = type(value) is int
        kept[name] = str(value) if is_number else value
    return kept


def encode_key_value(key: bytes, record: Record | None, revision: int = 0):
    """Returns the JSON form of a key and its record."""
    if record is None:
        record = Record(b"", 0, revision, 0, 0)
    fields: Message = {"key": base64.b64encode(key).decode()}
    fields.update(record._asdict())
    fields["value"] = base64.b64encode(record.value).decode()
    return drop_defaults(fields)


def is_within(key: bytes, start: bytes, end: bytes) -> bool:
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class Store:
    """The key-value state: records, leases, and the events for watches."""

    def __init__(self) -> None:
        """Starts empty, at the first revision."""
        self.revision = 1
        self.records: dict[bytes, Record] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.events: list[Event] = []
        self.changed = asyncio.Event()
        self.last_lease_id = 7_000_000_000_000_000

    def header(self) -> Message:
        return drop_defaults(
            {
                "cluster_id": 1,
                "member_id": 1,
                "revision": self.revision,
                "raft_term": 1,
            }
        )

    def select(self, request: Message) -> list[bytes]:
        """Returns the keys of a request's key or range, in order."""
        start = get_bytes(request, "key")
        end = get_bytes(request, "range_end")
        if not end:
            return [start] if start in self.records else []
        return sorted(key for key in self.records if is_within(key, start, end))

    def range(self, request: Message) -> Message:
        keys = self.select(request)
        limit = get_int(request, "limit") or len(keys)
        answer: Message = {"header": self.header(), "count": len(keys)}
        answer["more"] = limit < len(keys)
        answer["kvs"] = []
        for key in keys[:limit]:
            record = self.records[key]
            if get_field(request, "keys_only"):
                record = record._replace(value=b"")
            answer["kvs"].append(encode_key_value(key, record))
        if get_field(request, "count_only"):
            answer["kvs"] = []
        return drop_defaults(answer)

    def put(self, request: Message) -> Message:
        return self.txn({"success": [{"request_put": request}]})["responses"][
            0
        ]["response_put"]

    def deleterange(self, request: Message) -> Message:
        answer = self.txn({"success": [{"request_delete_range": request}]})
        return answer["responses"][0]["response_delete_range"]

    def txn(self, request: Message) -> Message:
        """Applies one transaction: all its writes share one revision."""
        self._check(request)
        plan = self._plan(request)
        revision = self.revision + 1
        count = len(self.events)
        answer = self._apply(plan, revision)
        if len(self.events) > count:
            self.publish()
        return answer

    def publish(self) -> None:
        """Wakes the watches."""
        if len(self.events) > HISTORY_LIMIT_EVENTS:
            del self.events[: HISTORY_LIMIT_EVENTS // 2]
        self.changed.set()
        self.changed = asyncio.Event()

    def _check(self, request: Message) -> set[bytes]:
        """Refuses what the published service refuses; returns the put keys."""
        keys: set[bytes] = set()
        if len(request.get("compare", [])) > TXN_OPERATIONS_LIMIT:
            raise GatewayError("etcdserver: too many operations in txn request")
        for branch in ("success", "failure"):
            branch_keys: set[bytes] = set()
            operations = request.get(branch, [])
            if len(operations) > TXN_OPERATIONS_LIMIT:
                raise GatewayError(
                    "etcdserver: too many operations in txn request"
                )
            for operation in operations:
                found = self._check_operation(operation)
                if found & branch_keys:
                    raise GatewayError(
                        "etcdserver: duplicate key given in txn request"
                    )
                branch_keys |= found
            keys |= branch_keys
        return keys

    def _check_operation(self, operation: Message) -> set[bytes]:
        nested = get_field(operation, "request_txn")
        if nested is not None:
            return self._check(nested)
        put = get_field(operation, "request_put")
        if put is None:
            return set()
        if len(get_bytes(put, "value")) > VALUE_LIMIT_BYTES:
            raise GatewayError("etcdserver: request is too large")
        lease = get_int(put, "lease")
        if lease and lease not in self.leases:
            raise GatewayError(
                "etcdserver: requested lease not found", code=5, status=404
            )
        return {get_bytes(put, "key")}

    def _plan(self, request: Message) -> tuple[bool, list[Any]]:
        """Settles every comparison, nested ones too, before any write."""
        succeeded = True
        for compare in request.get("compare", []):
            succeeded = succeeded and self._compare(compare)
        steps: list[Any] = []
        for operation in request.get("success" if succeeded else "failure", []):
            nested = get_field(operation, "request_txn")
            steps.append(operation if nested is None else self._plan(nested))
        return succeeded, steps

    def _compare(self, compare: Message) -> bool:
        field = TARGET_FIELDS[compare.get("target", "VERSION")]
        key = get_bytes(compare, "key")
        found = self.records.get(key)
        if found is None and field == "value":
            return False
        have = getattr(found or Record(b"", 0, 0, 0, 0), field)
        read = get_bytes if field == "value" else get_int
        want = read(compare, field)
        outcomes = {
            "EQUAL": have == want,
            "NOT_EQUAL": have != want,
            "GREATER": have > want,
            "LESS": have < want,
        }
        return outcomes[compare.get("result", "EQUAL")]

    def _apply(self, plan: tuple[bool, list[Any]], revision: int) -> Message:
        responses: list[Message] = []
        for step in plan[1]:
            if isinstance(step, tuple):
                responses.append({"response_txn": self._apply(step, revision)})
            elif put := get_field(step, "request_put"):
                self._put(put, revision)
                responses.append({"response_put": {"header": self.header()}})
            elif get_field(step, "request_delete_range"):
                keys = self.select(get_field(step, "request_delete_range"))
                for key in keys:
                    self.delete(key, revision)
                answer = {"header": self.header(), "deleted": len(keys)}
                responses.append(
                    {"response_delete_range": drop_defaults(answer)}
                )
            else:
                answer = self.range(get_field(step, "request_range"))
                responses.append({"response_range": answer})
        return drop_defaults(
            {
                "header": self.header(),
                "succeeded": plan[0],
                "responses": responses,
            }
        )

    def _put(self, request: Message, revision: int) -> None:
        key = get_bytes(request, "key")
        old = self.records.get(key)
        record = Record(
            get_bytes(request, "value"),
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            get_int(request, "lease"),
        )
        self.records[key] = record
        self.revision = revision
        self.events.append(Event(revision, key, record))

    def delete(self, key: bytes, revision: int) -> None:
        del self.records[key]
        self.revision = revision
        self.events.append(Event(revision, key, None))

    def grant(self, request: Message) -> Message:
        self.last_lease_id += 1
        lease_id = get_int(request, "ID") or self.last_lease_id
        if lease_id in self.leases:
            raise GatewayError("etcdserver: lease already exists", code=9)
        ttl_s = get_int(request, "TTL")
        self.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return drop_defaults(
            {
                "header": self.header(),
                "ID": lease_id,
                "TTL": ttl_s,
            }
        )

    def keepalive(self, request: Message) -> Message:
        lease_id = get_int(request, "ID")
        ttl_s = 0
        if lease_id in self.leases:
            ttl_s = self.leases[lease_id][0]
            self.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        fields = {"header": self.header(), "ID": lease_id, "TTL": ttl_s}
        return {"result": drop_defaults(fields)}

    def revoke(self, request: Message) -> Message:
        lease_id = get_int(request, "ID")
        if self.leases.pop(lease_id, None) is None:
            raise GatewayError(
                "etcdserver: requested lease not found", code=5, status=404
            )
        held = [k for k, r in self.records.items() if r.lease == lease_id]
        revision = self.revision + 1
        for key in held:
            self.delete(key, revision)
        if held:
            self.publish()
        return {"header": self.header()}

    def expire(self) -> None:
        """Revokes the leases that have lapsed."""
        for lease_id, (_, expiry_s) in list(self.leases.items()):
            if expiry_s <= time.monotonic():
                self.revoke({"ID": lease_id})


class Platform:
    """The store, the VM list, the faults in force and the counted calls."""

    def __init__(self) -> None:
        """Starts well."""
        self.store = Store()
        self.faults: Message = {
            "down": False,  # every call's connection is closed
            "delay_ms": 0,  # waits before a call takes effect
            "lose_answers": 0,  # next writes take effect without an answer
            "lose_calls": 0,  # next writes are lost before taking effect
            "lose_prefix": "",  # the two above only meet writes of such keys
            "vm_list_lag_ms": 0,
            "vm_list_down": False,
        }
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "calls": 0}
        self.vm_lists: list[tuple[float, list[Message]]] = [(0.0, [])]

    def take_loss(self, fault: str, request: Message) -> bool:
        """Says whether this write meets a loss, and uses it up."""
        prefix = self.faults["lose_prefix"].encode()
        if self.faults[fault] <= 0 or not touches(request, prefix):
            return False
        self.faults[fault] -= 1
        return True


def touches(message: Any, prefix: bytes) -> bool:
    """Says whether a message writes a key of this prefix."""
    if isinstance(message, list):
        return any(touches(item, prefix) for item in message)
    if not isinstance(message, dict):
        return False
    if not prefix or get_bytes(message, "key").startswith(prefix):
        return True
    return any(touches(item, prefix) for item in message.values())


class Handler(tornado.web.RequestHandler):
    """Base of the handlers."""

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def answer(self, message: Message, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(message) + "\n")

    def hang_up(self) -> None:
        self.detach().close()


class CallHandler(Handler):
    """One call of the key-value service."""

    async def post(self, name: str) -> None:
        platform = self.platform
        platform.counts["calls"] += 1
        if platform.faults["down"]:
            return self.hang_up()
        request = json.loads(self.request.body)
        is_write = name != "range" and "request_" in str(request)
        is_write = is_write or name not in ("range", "txn")
        platform.counts["writes" if is_write else "reads"] += 1
        await asyncio.sleep(platform.faults["delay_ms"] / 1000)
        lost = is_write and platform.take_loss("lose_calls", request)
        if lost or platform.faults["down"]:
            return self.hang_up()
        try:
            answer = getattr(platform.store, name)(request)
        except GatewayError as error:
            return self.answer(error.body, error.status)
        if is_write and platform.take_loss("lose_answers", request):
            return self.hang_up()
        return self.answer(answer)


class WatchHandler(Handler):
    """A waiting watch: JSON lines until either end closes."""

    closed = False

    def on_connection_close(self) -> None:
        self.closed = True

    async def post(self) -> None:
        self.platform.counts["calls"] += 1
        if self.platform.faults["down"]:
            return self.hang_up()
        self.platform.counts["watches"] += 1
        try:
            await self._follow(json.loads(self.request.body))
        except tornado.iostream.StreamClosedError:
            return None
        finally:
            self.platform.counts["watches"] -= 1
        return None

    async def _follow(self, request: Message) -> None:
        store = self.platform.store
        create = get_field(request, "create_request")
        next_revision = get_int(create, "start_revision") or store.revision + 1
        start = get_bytes(create, "key")
        end = get_bytes(create, "range_end")
        await self._send({"created": True})
        while not self.closed:
            changed = store.changed
            if store.events and next_revision < store.events[0].revision - 1:
                compacted = {
                    "canceled": True,
                    "compact_revision": next_revision,
                }
                return await self._send(compacted)
            events = []
            for event in reversed(store.events):
                if event.revision < next_revision:
                    break
                if is_within(event.key, start, end):
                    events.append(encode_event(event))
            next_revision = store.revision + 1
            if events:
                await self._send({"events": events[::-1]})
            while not (changed.is_set() or self.closed):
                await self._wait(changed)
                if self.platform.faults["down"]:
                    return self.hang_up()
        return None

    async def _wait(self, changed: asyncio.Event) -> None:
        try:
            await asyncio.wait_for(changed.wait(), LEASE_CHECK_INTERVAL_S)
        except TimeoutError:
            return

    async def _send(self, result: Message) -> None:
        result = {"header": self.platform.store.header(), **result}
        self.write(json.dumps({"result": drop_defaults(result)}) + "\n")
        await self.flush()


def encode_event(event: Event) -> Message:
    key_value = encode_key_value(event.key, event.record, event.revision)
    if event.record is None:
        return {"type": "DELETE", "kv": key_value}
    return {"kv": key_value}


class VmsHandler(Handler):
    """The VM list: PUT sets the truth, GET answers a lagging copy."""

    def get(self) -> None:
        if self.platform.faults["vm_list_down"]:
            return self.hang_up()
        self.platform.counts["calls"] += 1
        lag_ms = self.platform.faults["vm_list_lag_ms"]
        seen_s = time.monotonic() - lag_ms / 1000
        vms: list[Message] = []
        for set_s, listed in self.platform.vm_lists:
            if set_s <= seen_s:
                vms = listed
        return self.answer({"vms": vms, "age_ms": lag_ms})

    def put(self) -> None:
        vms = json.loads(self.request.body)["vms"]
        self.platform.vm_lists.append((time.monotonic(), vms))
        self.answer({})


class FaultsHandler(Handler):
    """Sets the faults named in the body and answers all of them."""

    def post(self) -> None:
        self.platform.faults.update(json.loads(self.request.body))
        self.answer(self.platform.faults)


class CountsHandler(Handler):
    """Calls so far, and the watches that wait now."""

    def get(self) -> None:
        self.answer(self.platform.counts)


def make_application(platform: Platform) -> tornado.web.Application:
    shared = {"platform": platform}
    return tornado.web.Application(
        [
            (r"/v3/kv/(range|txn|put|deleterange)", CallHandler, shared),
            (r"/v3/lease/(grant|keepalive|revoke)", CallHandler, shared),
            (r"/v3/watch", WatchHandler, shared),
            (r"/vms", VmsHandler, shared),
            (r"/faults", FaultsHandler, shared),
            (r"/counts", CountsHandler, shared),
        ]
    )


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    ip, port = parser.parse_args().address.split(":")
    platform = Platform()
    make_application(platform).listen(int(port), ip)
    while True:
        await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
        platform.store.expire()


if __name__ == "__main__":
    asyncio.run(main())
