"""The platform's key-value store as a process, with fault injection."""

import asyncio
import base64
from collections.abc import Mapping
import copy
import time
from typing import Any, NamedTuple

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from emulator.endless import endless_form
from emulator.endless import write_without_end
from emulator.handler_connection import connection_of
from emulator.store_state import StoredItem
from emulator.store_state import StoreState

PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
EXPIRY_INTERVAL_S = 0.05
# Longer than any client's timeout.
SILENCE_S = 60.0
EPOCH_HEADER = "Store-Era"


class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults injected into the store.

    Attributes:
      mode: `up`, `busy` (503), `limited` (429), `reset`, `silent` or `endless`
        (bytes without end in a head).
      delay_s: delay before each response, in seconds.
      lose_writes: n: every n-th write is applied without a response; 0 for
        none.
      late_s: delay before such a write is applied, in seconds.
      leases_pause: whether leases do not expire.
    """

    mode: str = "up"
    delay_s: float = 0.0
    lose_writes: int = 0
    late_s: float = 0.0
    leases_pause: bool = False


class StoreCopy(NamedTuple):
    """A copy of the store's state, taken at a time in seconds."""

    state: StoreState
    at_s: float


class Store:
    """The store with its faults and call counts.

    Attributes:
      state: keys, revisions, leases and history.
      epoch: how often it was restored from a copy, from 1.
      faults: faults in force.
      calls: number of calls by kind.
      zone_addresses: proxy addresses that each zone uses.
      changed: notified of each change.
    """

    def __init__(self) -> None:
        """Creates an empty store without faults."""
        self.state = StoreState()
        self.epoch = 1
        self.faults = StoreFaults()
        self._copy: StoreCopy | None = None
        self._lost: dict[str, StoredItem | None] = {}
        self._rewriting: asyncio.Task[None] | None = None
        self.calls: dict[str, int] = {}
        self.zone_addresses: dict[str, dict[str, str]] = {}
        self.changed = asyncio.Condition()
        self._writes = 0
        self._servers: list[httpserver.HTTPServer] = []
        self._task: asyncio.Task[None] | None = None

    def listen(self, ip: str, port: int, zone: str = "") -> int:
        """Binds an address, port 0 for any; returns the port.

        Args:
          ip: address to listen on.
          port: port, 0 for any.
          zone: availability zone whose proxy addresses the responses contain;
            empty for the addresses as written.
        """
        options = {"store": self, "zone": zone}
        application = web.Application(
            [
                (r"/kv-key", _Key, options),
                (r"/kv-range", _Range, options),
                (r"/kv-watch", _Watch, options),
                (r"/kv-txn", _Transaction, options),
                (r"/kv-lease", _Lease, options),
                (r"/kv-keep/(\d+)", _LeaseRenewal, options),
                (r"/kv-lease-end/(\d+)", _LeaseRevocation, options),
                (r"/faults", _Faults, options),
                (r"/copy", _Copy, options),
                (r"/operator", _Operator, options),
                (r"/ways", _ZoneAddresses, options),
            ],
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(port, address=ip)
        server = httpserver.HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)
        if self._task is None:
            self._task = asyncio.ensure_future(self._expire())
        return sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and ends every connection."""
        if self._task is not None:
            self._task.cancel()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if self.faults.leases_pause:
                continue
            before = self.state.revision
            self.state.expire(time.monotonic())
            if self.state.revision != before:
                await self.notify()

    async def notify(self) -> None:
        """Wakes all pending watches."""
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self) -> None:
        """Takes the copy that `restore` returns to."""
        self._copy = StoreCopy(copy.deepcopy(self.state), time.monotonic())

    async def restore(self, *, again_s: float = 0.0) -> None:
        """Returns to the copy, in a new epoch.

        Leases of the copy go on with the time that they had left. The copy is
        kept, so that the store can be restored from it again.

        Args:
          again_s: time over which what operators and upstreams had written is
            written again, in seconds; 0 for never.
        """
        assert self._copy is not None
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._lost.update(_lost_writes(self._copy.state, self.state))
        age_s = time.monotonic() - self._copy.at_s
        self.state = copy.deepcopy(self._copy.state)
        for number, lease in list(self.state.leases.items()):
            self.state.leases[number] = lease._replace(
                ends_s=lease.ends_s + age_s
            )
        self.epoch += 1
        await self.notify()
        if again_s:
            self._rewriting = asyncio.ensure_future(self._write_again(again_s))

    async def _write_again(self, again_s: float) -> None:
        """Makes the lost writes again, one by one, unless there is a newer."""
        restored_revision = self.state.revision
        pause_s = again_s / max(1, len(self._lost))
        while self._lost:
            await asyncio.sleep(pause_s)
            # Taken after the pause, in which another restore may end this task.
            key, lost = self._lost.popitem()
            current = self.state.items.get(key)
            if current is not None and current["revision"] > restored_revision:
                continue
            if lost is None:
                self.state.remove(key)
            else:
                self.state.put(key, lost["value"])
            await self.notify()

    def loses_write_response(self) -> bool:
        """Counts a write; returns whether its response is lost."""
        self._writes += 1
        every = self.faults.lose_writes
        return every > 0 and self._writes % every == 0

    async def put_text(self, key: str, text: str) -> None:
        """Writes a key with the rights of the operator or an upstream."""
        self.state.put_text(key, text)
        await self.notify()

    async def remove(self, key: str) -> None:
        """Removes a key with the rights of the operator or an upstream."""
        self.state.remove(key)
        await self.notify()


class _Handler(web.RequestHandler):
    kind = ""
    applies_faults = True

    def initialize(self, store: Store, zone: str) -> None:
        self.store = store
        self.zone = zone

    def compute_etag(self) -> None:
        return None

    async def prepare(self) -> None:
        calls = self.store.calls
        calls[self.kind] = calls.get(self.kind, 0) + 1
        if not self.applies_faults:
            return
        faults = self.store.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.mode == "busy":
            self.fail(503)
        elif faults.mode == "limited":
            self.fail(429)
        elif faults.mode == "reset":
            self.drop_connection()
        elif faults.mode == "silent":
            await asyncio.sleep(SILENCE_S)
        elif faults.mode == "endless":
            await self.respond_without_end()

    async def respond_without_end(self) -> None:
        form = endless_form("header_value", headers=b"")
        await write_without_end(connection_of(self).stream, form)
        raise web.Finish

    def fail(self, status: int) -> None:
        self.set_status(status)
        self._set_epoch()
        self.finish()

    def _set_epoch(self) -> None:
        self.set_header(EPOCH_HEADER, str(self.store.epoch))

    def drop_connection(self) -> None:
        connection_of(self).stream.close()
        raise web.Finish

    def respond(self, body: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self._set_epoch()
        self.finish(msgspec.json.encode(body))

    def as_seen_from_zone(self, item: Mapping[str, Any]) -> dict[str, Any]:
        return _rewrite_addresses(
            self.zone, dict(item), self.store.zone_addresses
        )

    def body(self) -> dict[str, Any]:
        return msgspec.json.decode(self.request.body or b"{}")

    async def write_and_respond(self, change: dict[str, Any]) -> None:
        if self.store.loses_write_response():
            if self.store.faults.late_s:
                await asyncio.sleep(self.store.faults.late_s)
            self.store.state.transact(change)
            await self.store.notify()
            self.drop_connection()
        status, body = self.store.state.transact(change)
        await self.store.notify()
        self.respond(body, status)


class _Key(_Handler):
    kind = "get"

    def get(self) -> None:
        item = self.store.state.items.get(self.get_query_argument("key"))
        if item is None:
            self.respond({"asOf": self.store.state.revision}, 404)
            return
        shown = self.as_seen_from_zone(item)
        self.respond(shown | {"asOf": self.store.state.revision})


class _Range(_Handler):
    kind = "list"

    def get(self) -> None:
        items, more = self.store.state.listing(
            self.get_query_argument("prefix"),
            self.get_query_argument("after", ""),
            PAGE_ITEMS,
        )
        revision = self.store.state.revision
        items_seen = [self.as_seen_from_zone(item) for item in items]
        self.respond({"items": items_seen, "hasMore": more, "asOf": revision})


class _Watch(_Handler):
    kind = "watch"

    async def get(self) -> None:
        prefix = self.get_query_argument("prefix")
        after = int(self.get_query_argument("after"))
        wait_ms = int(self.get_query_argument("waitMs"))
        until_s = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        epoch = self.store.epoch
        while True:
            events = self.store.state.changes(prefix, after)
            if events is None or self.store.epoch != epoch:
                self.respond({}, 410)
                return
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                revision = self.store.state.revision
                shown = [self.as_seen_from_zone(each) for each in events]
                self.respond({"events": shown, "asOf": revision})
                return
            await self._wait(left_s)

    async def _wait(self, left_s: float) -> None:
        try:
            async with asyncio.timeout(left_s), self.store.changed:
                await self.store.changed.wait()
        except TimeoutError:
            return


class _Transaction(_Handler):
    kind = "write"

    async def post(self) -> None:
        change = self.body()
        for put in change.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                self.respond({}, 403)
                return
        await self.write_and_respond(change)


class _Lease(_Handler):
    kind = "lease"

    def post(self) -> None:
        ttl_s = float(self.body()["ttlS_time"])
        lease = self.store.state.grant(ttl_s, time.monotonic())
        self.respond({"lease": lease, "ttlS_time": ttl_s})


class _LeaseRenewal(_Handler):
    kind = "keep"

    def post(self, lease: str) -> None:
        if not self.store.state.renew(int(lease), time.monotonic()):
            self.respond({}, 404)
            return
        self.respond({"ttlS_time": self.store.state.leases[int(lease)].ttl_s})


class _LeaseRevocation(_Handler):
    kind = "end"

    async def delete(self, lease: str) -> None:
        if not self.store.state.revoke(int(lease)):
            self.respond({}, 404)
            return
        await self.store.notify()
        self.respond({})


class _Faults(_Handler):
    """Sets faults, drops the history and returns the call counts.

    The faults do not apply to these calls.
    """

    kind = "faults"
    applies_faults = False

    def put(self) -> None:
        self.store.faults = msgspec.json.decode(
            self.request.body, type=StoreFaults
        )
        self.respond({})

    def post(self) -> None:
        self.store.state.drop_history()
        self.respond({})

    def get(self) -> None:
        self.respond({"calls": self.store.calls})


class _Copy(_Handler):
    """Takes a copy of the store, or restores the store from it."""

    kind = "copy"
    applies_faults = False

    def put(self) -> None:
        self.store.take_copy()
        self.respond({})

    async def post(self) -> None:
        await self.store.restore(again_s=self.body().get("again_s", 0.0))
        self.respond({})


class _Operator(_Handler):
    """Writes of the operator and of upstreams, to any key."""

    kind = "operator"
    applies_faults = False

    async def post(self) -> None:
        status, body = self.store.state.transact(self.body())
        await self.store.notify()
        self.respond(body, status)


class _ZoneAddresses(_Handler):
    """Sets the proxy addresses that each zone uses."""

    kind = "ways"
    applies_faults = False

    def put(self) -> None:
        self.store.zone_addresses = self.body()
        self.respond({})


def _lost_writes(
    copied: StoreState, current: StoreState
) -> dict[str, StoredItem | None]:
    """Returns the writes without a lease that a copy lacks, None for removals.

    Keys with a lease are those of entries, which register again by themselves.
    """
    lost: dict[str, StoredItem | None] = {}
    for key in copied.items.keys() | current.items.keys():
        item = current.items.get(key)
        before = copied.items.get(key)
        if any(each is not None and each["lease"] for each in (item, before)):
            continue
        if item != before:
            lost[key] = item
    return lost


def _rewrite_addresses(
    zone: str, item: dict[str, Any], zone_addresses: dict[str, dict[str, str]]
) -> dict[str, Any]:
    """Returns an item with addresses replaced by those that a zone uses.

    A proxy emulates the distance between two zones, and each zone has its own
    proxy to each upstream and gateway. They register the address that they
    listen on; each zone gets the address of its own proxy instead.

    Args:
      zone: availability zone; empty for the item as written.
      item: the item.
      zone_addresses: proxy address by zone, for each address as written.
    """
    if not zone or item.get("removed") or item["key"].startswith("op/"):
        return item
    try:
        record = msgspec.json.decode(base64.b64decode(item["value"]))
    except (ValueError, RecursionError):
        # Of another writer; it names no address.
        return item
    if not isinstance(record, dict):
        return item
    for field, value in record.items():
        if isinstance(value, str) and value in zone_addresses:
            record[field] = zone_addresses[value].get(zone, value)
    value = base64.b64encode(msgspec.json.encode(record)).decode()
    return item | {"value": value}


async def _serve(address: str, views: dict[str, str]) -> None:
    ip, _, port = address.rpartition(":")
    store = Store()
    store.listen(ip, int(port))
    for view, zone in views.items():
        ip, _, port = view.rpartition(":")
        store.listen(ip, int(port), zone)
    await asyncio.Event().wait()


def main(address: str, views: dict[str, str]) -> None:
    """Serves an empty store until the process is ended.

    Args:
      address: `ip:port` to listen on.
      views: availability zone by additional `ip:port`; each address serves the
        store with the addresses that its zone uses.
    """
    asyncio.run(_serve(address, views))
