"""A stand-in for the platform's store, which can come back from an old copy.

It speaks the calls of the store's page. The state is that of the project's own
stand-in (`emulator.store_state`). `Store-Era` is in all answers.
"""

import asyncio
import copy
import time
from typing import Any

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from emulator.store_state import StoreState

PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
EXPIRY_INTERVAL_S = 0.05
# Longer than any call's timeout.
SILENCE_S = 60.0
ERA_HEADER = "Store-Era"


class Copy:
    """A copy of the store at one moment."""

    def __init__(self, state: StoreState) -> None:
        """Copies the state."""
        self.state = copy.deepcopy(state)
        self.at_s = time.monotonic()


class Store:
    """The store.

    Attributes:
      state: keys, revisions, leases and history.
      era: rises by one with each return from a copy.
      away: whether calls get no answer.
      unanswered_s: when watches arrived that got no answer.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.state = StoreState()
        self.era = 1
        self.away = False
        self.unanswered_s: list[float] = []
        self._server: httpserver.HTTPServer | None = None
        self._task: asyncio.Task[None] | None = None

    def listen(self, ip: str, port: int) -> int:
        """Binds an address, port 0 for any; returns the port."""
        options = {"store": self}
        application = web.Application(
            [
                (r"/kv-key", _Key, options),
                (r"/kv-range", _Range, options),
                (r"/kv-watch", _Watch, options),
                (r"/kv-txn", _Transaction, options),
                (r"/kv-lease", _Lease, options),
                (r"/kv-keep/(\d+)", _LeaseRenewal, options),
                (r"/kv-lease-end/(\d+)", _LeaseEnd, options),
            ],
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(port, address=ip)
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self._task = asyncio.ensure_future(self._expire())
        return int(sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stops listening."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if not self.away:
                self.state.expire(time.monotonic())

    async def put_text(self, key: str, text: str) -> bool:
        """Writes a key as the operator or an instance.

        Returns:
          Whether the store has acknowledged it; it is away if not.
        """
        if self.away:
            return False
        self.state.put_text(key, text)
        return True

    async def remove(self, key: str) -> bool:
        """Removes a key as the operator or an instance; see `put_text`."""
        if self.away:
            return False
        self.state.remove(key)
        return True

    def take_copy(self) -> Copy:
        """Returns a copy of the store as it is now."""
        return Copy(self.state)

    def go_away(self) -> None:
        """Stops to answer; calls in flight get no answer either."""
        self.unanswered_s.clear()
        self.away = True

    def come_back(self, old: Copy) -> None:
        """Answers again, with the state of an old copy.

        Leases that the copy has go on with the time that they had left.
        """
        age_s = time.monotonic() - old.at_s
        self.state = old.state
        for number, lease in list(self.state.leases.items()):
            self.state.leases[number] = lease._replace(
                ends_s=lease.ends_s + age_s
            )
        self.era += 1
        self.away = False


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def compute_etag(self) -> None:
        return None

    async def prepare(self) -> None:
        era = self.store.era
        if self.store.away:
            if self.request.path == "/kv-watch":
                self.store.unanswered_s.append(time.monotonic())
            await asyncio.sleep(SILENCE_S)
        if self.store.away or era != self.store.era:
            # A connection on which an answer is lost returns nothing further.
            raise web.Finish

    def respond(self, body: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(ERA_HEADER, str(self.store.era))
        self.finish(msgspec.json.encode(body))

    def body(self) -> dict[str, Any]:
        decoded: dict[str, Any] = msgspec.json.decode(self.request.body)
        return decoded


class _Key(_Handler):
    def get(self) -> None:
        state = self.store.state
        item = state.items.get(self.get_query_argument("key"))
        if item is None:
            self.respond({"asOf": state.revision}, 404)
            return
        self.respond(dict(item) | {"asOf": state.revision})


class _Range(_Handler):
    def get(self) -> None:
        state = self.store.state
        items, more = state.listing(
            self.get_query_argument("prefix"),
            self.get_query_argument("after", ""),
            PAGE_ITEMS,
        )
        self.respond({"items": items, "hasMore": more, "asOf": state.revision})


class _Watch(_Handler):
    async def get(self) -> None:
        prefix = self.get_query_argument("prefix")
        after = int(self.get_query_argument("after"))
        wait_ms = int(self.get_query_argument("waitMs"))
        until_s = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            state = self.store.state
            events = None
            if after <= state.revision:
                events = state.changes(prefix, after)
            if events is None:
                self.respond({}, 410)
                return
            if events or time.monotonic() >= until_s:
                self.respond({"events": events, "asOf": state.revision})
                return
            await asyncio.sleep(0.01)


class _Transaction(_Handler):
    def post(self) -> None:
        change = self.body()
        keys = [put["key"] for put in change.get("puts", [])]
        keys += change.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            self.respond({}, 403)
            return
        status, body = self.store.state.transact(change)
        self.respond(body, status)


class _Lease(_Handler):
    def post(self) -> None:
        ttl_s = float(self.body()["ttlS_time"])
        lease = self.store.state.grant(ttl_s, time.monotonic())
        self.respond({"lease": lease, "ttlS_time": ttl_s})


class _LeaseRenewal(_Handler):
    def post(self, number: str) -> None:
        lease = int(number)
        if not self.store.state.renew(lease, time.monotonic()):
            self.respond({}, 404)
            return
        self.respond({"ttlS_time": self.store.state.leases[lease].ttl_s})


class _LeaseEnd(_Handler):
    def delete(self, number: str) -> None:
        found = self.store.state.revoke(int(number))
        self.respond({}, 200 if found else 404)
