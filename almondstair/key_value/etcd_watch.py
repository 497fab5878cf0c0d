"""Watch on an etcd key prefix, with reconnects."""

import asyncio
from collections.abc import Callable
import contextlib
import random
import urllib.parse

import msgspec
from tornado import httputil
from tornado.iostream import IOStream

from almondstair.body import RequestBody
from almondstair.http_client import HttpClient
from almondstair.http_client import ResponseSink
from almondstair.http_messages import ResponseHead
from almondstair.key_value import base
from almondstair.key_value.etcd_wire import WatchLine
from almondstair.key_value.etcd_wire import WatchResult
from almondstair.key_value.etcd_wire import WireEvent
from almondstair.key_value.etcd_wire import prefix_end
from almondstair.key_value.etcd_wire import to_record
from almondstair.key_value.etcd_wire import to_revision
from almondstair.key_value.etcd_wire import to_wire

WATCH_LIFETIME_S = 60.0
RECONNECT_FIRST_S = 0.2
RECONNECT_LAST_S = 5.0


class _WatchSink(ResponseSink):
    """Passes on the bytes of a watch as they arrive."""

    def __init__(self, *, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def receive_head(self, head: ResponseHead) -> None:
        """Ignores the head: the lines carry the state of the watch."""

    async def receive_data(self, chunk: bytes) -> None:
        self._receive(chunk)


class EtcdWatch(base.Watch):
    """A watch that reconnects until it is cancelled.

    A connection that the network drops silently looks like an idle watch, and
    the watcher would keep old values forever. So each connection is replaced
    after `WATCH_LIFETIME_S`, and the next one starts from the revision after
    the last one received. The old connection is closed, since the service would
    otherwise still count it as a watch.
    """

    def __init__(
        self,
        *,
        url: str,
        prefix: str,
        from_revision: int,
        callback: Callable[[base.WatchNotice], None],
        connect_timeout_s: float,
    ) -> None:
        """Starts the watch on the running event loop."""
        parts = urllib.parse.urlsplit(url)
        self._address = parts.netloc
        self._path = parts.path
        self._prefix = prefix
        self._callback = callback
        self._client = HttpClient(connect_timeout_s=connect_timeout_s)
        self._next_revision = max(from_revision, 1)
        self._received_any = False
        self._buffer = b""
        self._ended = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def cancel(self) -> None:
        """See the base class."""
        self._ended.set()
        self._task.cancel()

    async def _run(self) -> None:
        delay_s = RECONNECT_FIRST_S
        while True:
            self._received_any = False
            # Reconnect, whatever ended the connection.
            with contextlib.suppress(OSError):
                await self._connect()
            if self._received_any:
                delay_s = RECONNECT_FIRST_S
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, RECONNECT_LAST_S)

    async def _connect(self) -> None:
        self._ended = asyncio.Event()
        self._buffer = b""
        stream = await self._client.connect(self._address, fresh=True)
        exchange = asyncio.ensure_future(self._exchange(stream))
        end = asyncio.ensure_future(self._ended.wait())
        try:
            await asyncio.wait(
                (exchange, end),
                timeout=WATCH_LIFETIME_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            end.cancel()
            exchange.cancel()
            stream.close()

    async def _exchange(self, stream: IOStream) -> None:
        create = {
            "key": to_wire(self._prefix.encode()),
            "range_end": to_wire(prefix_end(self._prefix)),
            "start_revision": str(self._next_revision),
        }
        body = RequestBody()
        body.put(msgspec.json.encode({"create_request": create}))
        body.end()
        await self._client.exchange(
            address=self._address,
            stream=stream,
            start_line=httputil.RequestStartLine(
                "POST", self._path, "HTTP/1.1"
            ),
            headers=httputil.HTTPHeaders(
                {"Host": self._address, "Content-Type": "application/json"}
            ),
            body=body,
            sink=_WatchSink(receive=self._receive),
        )

    def _receive(self, chunk: bytes) -> None:
        self._buffer += chunk
        while b"\n" in self._buffer:
            line, self._buffer = self._buffer.split(b"\n", 1)
            if not line.strip():
                continue
            try:
                answer = msgspec.json.decode(line, type=WatchLine)
            except msgspec.MsgspecError:
                self._ended.set()
                return
            self._handle_result(answer.get("result", {}))

    def _handle_result(self, result: WatchResult) -> None:
        self._received_any = True
        revision = to_revision(result.get("header"))
        compacted_revision = int(result.get("compact_revision", "0"))
        if compacted_revision:
            # The service compacted revisions that this watch has not received.
            self._next_revision = max(revision, compacted_revision)
            self._ended.set()
            self._callback(base.WatchNotice((), revision, gap=True))
            return
        if result.get("canceled", False):
            self._ended.set()
            return
        events = []
        for wire in result.get("events", []):
            event = self._to_event(wire)
            self._next_revision = max(self._next_revision, event.revision + 1)
            events.append(event)
        if events:
            self._callback(base.WatchNotice(tuple(events), revision))

    def _to_event(self, wire: WireEvent) -> base.WatchEvent:
        record = to_record(wire.get("kv", {}))
        if wire.get("type", "PUT") == "DELETE":
            return base.WatchEvent(record.key, None, record.mod_revision)
        return base.WatchEvent(record.key, record, record.mod_revision)
