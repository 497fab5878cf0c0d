"""Adapter to the JSON gateway of the etcd v3 API, and to the VM list.

Keys and values travel in base64 and 64-bit integers as strings, as the gateway
has them. No call is ever sent twice by this module.
"""

import asyncio
import base64
from collections.abc import Callable, Sequence
import contextlib
import random
from typing import Any, TypedDict, TypeVar
import urllib.parse

import msgspec
from tornado import httputil
from tornado.iostream import IOStream

from almondstair.body import RequestBody
from almondstair.http_client import AnswerSink
from almondstair.http_client import Exchange
from almondstair.http_client import HttpClient
from almondstair.http_client import Sent
from almondstair.http_messages import ResponseHead
from almondstair.platform import base

MAX_CALLS = 32
"""Calls under way at once; further ones wait here, within their timeout."""

MIN_CALL_S = 0.02
"""A call that waited until less than this is left is not sent."""

MAX_ANSWER_BYTES = 16 << 20
WATCH_LIFETIME_S = 60.0
RECONNECT_FIRST_S = 0.2
RECONNECT_LAST_S = 5.0

_HTTP_OK = 200
_SURELY_REFUSED_STATUSES = (400, 401, 403, 404, 429)

T = TypeVar("T")


class _Header(TypedDict, total=False):
    revision: str


class _KeyValue(TypedDict, total=False):
    key: str
    value: str
    create_revision: str
    mod_revision: str
    version: str
    lease: str


class _RangeAnswer(TypedDict, total=False):
    header: _Header
    kvs: list[_KeyValue]


class _NestedAnswer(TypedDict, total=False):
    response_range: _RangeAnswer
    response_txn: "_TxnAnswer"


class _TxnAnswer(TypedDict, total=False):
    header: _Header
    succeeded: bool
    responses: list[_NestedAnswer]


class _LeaseAnswer(TypedDict, total=False):
    ID: str
    TTL: str


class _WireEvent(TypedDict, total=False):
    type: str
    kv: _KeyValue


class _WatchResult(TypedDict, total=False):
    header: _Header
    events: list[_WireEvent]
    canceled: bool
    compact_revision: str


class _WatchLine(TypedDict, total=False):
    result: _WatchResult


class _WireVm(TypedDict):
    name: str
    address: str
    availability_zone: str
    state: base.VmState


class _WireVmList(TypedDict):
    vms: list[_WireVm]
    age_ms: float


def _no_refusal(head: ResponseHead) -> str:
    """Finds no refusal of an upstream: the platform knows none."""
    del head
    return ""


def _to_wire(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")


def _record(wire: _KeyValue) -> base.Record:
    return base.Record(
        key=base64.b64decode(wire.get("key", "")).decode(),
        value=base64.b64decode(wire.get("value", "")),
        create_revision=int(wire.get("create_revision", "0")),
        mod_revision=int(wire.get("mod_revision", "0")),
        version=int(wire.get("version", "0")),
        lease_id=int(wire.get("lease", "0")),
    )


def _revision(header: _Header | None) -> int:
    if header is None:
        return 0
    return int(header.get("revision", "0"))


def _prefix_end(prefix: str) -> bytes:
    """Returns the first key after all keys below a prefix."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


def _conditional(
    *, key: str, mod_revision: int, change: dict[str, Any]
) -> dict[str, Any]:
    """Returns a transaction: change the key if unchanged, else read it."""
    wire_key = _to_wire(key.encode())
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


def _put(*, key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    put = {"key": _to_wire(key.encode()), "value": _to_wire(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def _cas_result(answer: _TxnAnswer, revision: int) -> base.CasResult:
    if answer.get("succeeded", False):
        return base.CasResult(succeeded=True, revision=revision)
    for response in answer.get("responses", []):
        for wire in response.get("response_range", {}).get("kvs", []):
            return base.CasResult(
                succeeded=False, revision=revision, current=_record(wire)
            )
    return base.CasResult(succeeded=False, revision=revision)


class _Collector(AnswerSink):
    """Collects an answer whole."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()

    def head(self, head: ResponseHead) -> None:
        self.status = head.status

    async def data(self, chunk: bytes) -> None:
        if len(self.body) + len(chunk) > MAX_ANSWER_BYTES:
            raise OSError("the answer is too large")
        self.body += chunk


class _Caller:
    """Sends single calls and says of each failure what it means.

    While no byte of a call was written the service cannot have it, so it
    surely was not applied. Without this an outage would make every refused
    claim `unknown`. Connections are kept: a new one for each call took most
    of a claim's processor time. A call on a kept connection that the service
    just closed is lost and `unknown`; it is not sent again here.
    """

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Makes a caller.

        Args:
          url: `http://ip:port`, perhaps with the start of a path.
          timeout_s: longest time of a call, waiting for a place included.
        """
        parts = urllib.parse.urlsplit(url)
        self._address = parts.netloc
        self._path = parts.path.rstrip("/")
        self._timeout_s = timeout_s
        self._places = asyncio.Semaphore(MAX_CALLS)
        self._client = HttpClient(connect_timeout_s=timeout_s)

    def close(self) -> None:
        """Closes the client."""
        self._client.close()

    async def call(
        self, *, path: str, body: bytes | None, writes: bool, answer: type[T]
    ) -> T:
        """Posts a body, or gets when there is none.

        Args:
          path: path below the URL.
          body: JSON, or None for a GET.
          writes: whether the call changes anything.
          answer: type of the answer.

        Returns:
          The decoded answer.

        Raises:
          PlatformError: no usable answer came.
        """
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        try:
            # A call sent at the last moment would only come back as unknown.
            async with asyncio.timeout_at(deadline_s - MIN_CALL_S):
                await self._places.acquire()
        except TimeoutError as error:
            raise base.PlatformError(
                failure=base.PlatformFailure.UNAVAILABLE,
                detail="too many calls to the platform are under way",
            ) from error
        try:
            response = await self._fetch(path, body, writes, deadline_s)
        finally:
            self._places.release()
        return self._decode(response, writes, answer)

    async def _fetch(
        self, path: str, body: bytes | None, writes: bool, deadline_s: float
    ) -> _Collector:
        written = False
        collector = _Collector()
        problem = "the connection was lost"
        try:
            async with asyncio.timeout_at(deadline_s):
                stream = await self._client.connect(self._address, fresh=writes)
                written = True
                exchange = await self._exchange(stream, path, body, collector)
            if exchange.sent is Sent.WHOLE:
                return collector
            written = exchange.sent is not Sent.NOT_SENT
        except OSError as error:
            problem = str(error) or "no answer in time"
        failure = base.PlatformFailure.UNAVAILABLE
        if written and writes:
            failure = base.PlatformFailure.UNKNOWN
        raise base.PlatformError(
            failure=failure, detail=f"the platform: {problem}"
        )

    async def _exchange(
        self,
        stream: IOStream,
        path: str,
        body: bytes | None,
        collector: _Collector,
    ) -> Exchange:
        method = "GET" if body is None else "POST"
        request_body = RequestBody()
        request_body.put(body or b"")
        request_body.end()
        headers = httputil.HTTPHeaders({"Host": self._address})
        if body is not None:
            headers["Content-Type"] = "application/json"
        return await self._client.exchange(
            address=self._address,
            stream=stream,
            start_line=httputil.RequestStartLine(
                method, self._path + path or "/", "HTTP/1.1"
            ),
            headers=headers,
            body=request_body,
            sink=collector,
            refusal=_no_refusal,
        )

    def _decode(self, response: _Collector, writes: bool, answer: type[T]) -> T:
        if response.status in _SURELY_REFUSED_STATUSES:
            raise base.PlatformError(
                failure=base.PlatformFailure.REFUSED,
                detail=f"the platform answered {response.status}",
            )
        failure = base.PlatformFailure.UNAVAILABLE
        if writes:
            # A gateway answers 503 or 504 also when the service behind it was
            # too slow to say that it applied the write.
            failure = base.PlatformFailure.UNKNOWN
        if response.status != _HTTP_OK:
            raise base.PlatformError(
                failure=failure,
                detail=f"the platform answered {response.status}",
            )
        try:
            return msgspec.json.decode(response.body, type=answer)
        except msgspec.MsgspecError as error:
            raise base.PlatformError(
                failure=failure, detail=f"the platform's answer: {error}"
            ) from error


def _ignore(failure: str) -> None:
    del failure


class EtcdService(base.KeyValueService):
    """The key-value service behind an etcd v3 JSON gateway."""

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        on_outcome: Callable[[str], None] = _ignore,
    ) -> None:
        """Makes an adapter.

        Args:
          url: `http://ip:port` of the gateway.
          timeout_s: longest time of one call.
          on_outcome: called after each call with why the service gave no
            answer, empty when it gave one.
        """
        self._on_outcome = on_outcome
        self._url = url.rstrip("/")
        self._caller = _Caller(url=url, timeout_s=timeout_s)
        self._connect_timeout_s = timeout_s
        self._watches: list[base.Watch] = []

    def close(self) -> None:
        """Ends the watches and closes the client."""
        for watch in self._watches:
            watch.cancel()
        self._caller.close()

    async def get(self, *, key: str) -> base.Record | None:
        """See the base class."""
        answer = await self._call(
            "/v3/kv/range", {"key": _to_wire(key.encode())}, False, _RangeAnswer
        )
        for wire in answer.get("kvs", []):
            return _record(wire)
        return None

    async def list_prefix(self, *, prefix: str, limit: int = 0) -> base.Listing:
        """See the base class."""
        body = {
            "key": _to_wire(prefix.encode()),
            "range_end": _to_wire(_prefix_end(prefix)),
            "limit": str(limit),
        }
        answer = await self._call("/v3/kv/range", body, False, _RangeAnswer)
        records = []
        for wire in answer.get("kvs", []):
            records.append(_record(wire))
        return base.Listing(tuple(records), _revision(answer.get("header")))

    async def create(
        self, *, key: str, value: bytes, lease_id: int = 0
    ) -> base.CasResult:
        """See the base class."""
        return await self.compare_and_swap(
            key=key, value=value, mod_revision=0, lease_id=lease_id
        )

    async def compare_and_swap(
        self, *, key: str, value: bytes, mod_revision: int, lease_id: int = 0
    ) -> base.CasResult:
        """See the base class."""
        put = _put(key=key, value=value, lease_id=lease_id)
        return await self._change(key, mod_revision, put)

    async def delete_if(self, *, key: str, mod_revision: int) -> base.CasResult:
        """See the base class."""
        delete = {"request_delete_range": {"key": _to_wire(key.encode())}}
        return await self._change(key, mod_revision, delete)

    async def write_many(
        self, *, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        """See the base class."""
        operations = []
        keys = set()
        for write in writes:
            keys.add(write.key)
            put = _put(
                key=write.key, value=write.value, lease_id=write.lease_id
            )
            transaction = _conditional(
                key=write.key, mod_revision=write.mod_revision, change=put
            )
            operations.append({"request_txn": transaction})
        if len(keys) != len(writes) or len(writes) > base.MAX_BATCH:
            raise ValueError("a batch takes up to 64 keys, each once")
        body = {"compare": [], "success": operations, "failure": []}
        answer = await self._call("/v3/kv/txn", body, True, _TxnAnswer)
        revision = _revision(answer.get("header"))
        results = []
        for response in answer.get("responses", []):
            nested = response.get("response_txn", {})
            results.append(_cas_result(nested, revision))
        if len(results) != len(writes):
            raise base.PlatformError(
                failure=base.PlatformFailure.UNKNOWN,
                detail="the platform answered for another number of keys",
            )
        return tuple(results)

    async def grant_lease(self, *, ttl_s: int) -> int:
        """See the base class."""
        answer = await self._call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, True, _LeaseAnswer
        )
        return int(answer.get("ID", "0"))

    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
        callback: Callable[[base.WatchNotice], None],
    ) -> base.Watch:
        """See the base class."""
        watch = _EtcdWatch(
            url=f"{self._url}/v3/watch",
            prefix=prefix,
            from_revision=from_revision,
            callback=callback,
            connect_timeout_s=self._connect_timeout_s,
        )
        self._watches.append(watch)
        return watch

    async def _change(
        self, key: str, mod_revision: int, change: dict[str, Any]
    ) -> base.CasResult:
        body = _conditional(key=key, mod_revision=mod_revision, change=change)
        answer = await self._call("/v3/kv/txn", body, True, _TxnAnswer)
        return _cas_result(answer, _revision(answer.get("header")))

    async def _call(
        self, path: str, body: dict[str, Any], writes: bool, answer: type[T]
    ) -> T:
        try:
            found = await self._caller.call(
                path=path,
                body=msgspec.json.encode(body),
                writes=writes,
                answer=answer,
            )
        except base.PlatformError as error:
            if error.failure is not base.PlatformFailure.REFUSED:
                self._on_outcome(error.detail)
            raise
        self._on_outcome("")
        return found


class _WatchSink(AnswerSink):
    """Hands over the bytes of a watch as they come."""

    def __init__(self, *, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def head(self, head: ResponseHead) -> None:
        """Nothing is read off the head: lines tell how the watch fares."""

    async def data(self, chunk: bytes) -> None:
        self._receive(chunk)


class _EtcdWatch(base.Watch):
    """A watch that reconnects until it is cancelled.

    A connection cut off in the network without a packet looks like a quiet
    watch, and the watcher would stay on old values for good; so a connection
    is given up after `WATCH_LIFETIME_S` and the next starts from the revision
    after the last one seen. A connection that is given up is closed: the
    service would go on counting it as a watch.
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
        """Starts the watch on the running loop."""
        parts = urllib.parse.urlsplit(url)
        self._address = parts.netloc
        self._path = parts.path
        self._prefix = prefix
        self._callback = callback
        self._client = HttpClient(connect_timeout_s=connect_timeout_s)
        self._next_revision = max(from_revision, 1)
        self._heard = False
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
            self._heard = False
            # Whatever ended the connection, connecting again is the remedy.
            with contextlib.suppress(OSError):
                await self._connect()
            if self._heard:
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
            "key": _to_wire(self._prefix.encode()),
            "range_end": _to_wire(_prefix_end(self._prefix)),
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
                answer = msgspec.json.decode(line, type=_WatchLine)
            except msgspec.MsgspecError:
                self._ended.set()
                return
            self._take(answer.get("result", {}))

    def _take(self, result: _WatchResult) -> None:
        self._heard = True
        revision = _revision(result.get("header"))
        compacted_revision = int(result.get("compact_revision", "0"))
        if compacted_revision:
            # The service dropped revisions that this watch had not seen yet.
            self._next_revision = max(revision, compacted_revision)
            self._ended.set()
            self._callback(base.WatchNotice((), revision, gap=True))
            return
        if result.get("canceled", False):
            self._ended.set()
            return
        events = []
        for wire in result.get("events", []):
            event = self._event(wire)
            self._next_revision = max(self._next_revision, event.revision + 1)
            events.append(event)
        if events:
            self._callback(base.WatchNotice(tuple(events), revision))

    def _event(self, wire: _WireEvent) -> base.WatchEvent:
        record = _record(wire.get("kv", {}))
        if wire.get("type", "PUT") == "DELETE":
            return base.WatchEvent(record.key, None, record.mod_revision)
        return base.WatchEvent(record.key, record, record.mod_revision)


class HttpVmList(base.VmList):
    """The VM list over HTTP."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Makes an adapter; `url` is that of the list, path included."""
        self._caller = _Caller(url=url, timeout_s=timeout_s)

    def close(self) -> None:
        """Closes the client."""
        self._caller.close()

    async def list_vms(self) -> base.VmListing:
        """See the base class."""
        answer = await self._caller.call(
            path="", body=None, writes=False, answer=_WireVmList
        )
        vms = []
        for wire in answer["vms"]:
            vms.append(base.Vm(**wire))
        return base.VmListing(tuple(vms), answer["age_ms"] / 1000)
