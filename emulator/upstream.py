"""An upstream of the platform: slots, a queue, warm objects, faults."""

import asyncio
from collections import OrderedDict
import random
import time
from typing import Any
import uuid
import weakref

import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web
import xxhash

from almondstair.platform import headers as names
from emulator.handler_connection import connection_of

KNOWN_SHARE = 0.3
OWN_PREFIX = "/emulator"


class UpstreamPlan(msgspec.Struct, kw_only=True):
    """How an upstream behaves.

    Attributes:
      service: the service that it runs.
      zone: its availability zone.
      slots: requests that it runs at once.
      queue: requests that it lets wait.
      work_s: run time of a request for a new object, in seconds.
      keeps: objects that it remembers.
      cold_s: how long it is cold after its start, in seconds.
      cold_rate_per_s: requests a second that it bears while cold.
      keep_alive_s: idle time that it states for connections; 0 for none.
    """

    service: str = "service"
    zone: str = "zone"
    slots: int = 3
    queue: int = 9
    work_s: float = 0.05
    keeps: int = 40
    cold_s: float = 0.0
    cold_rate_per_s: float = 5.0
    keep_alive_s: int = 0


class UpstreamFaults(msgspec.Struct, kw_only=True):
    """What is wrong with an upstream, by order.

    Attributes:
      slower: factor on run times.
      every: faults strike every so many-th request; 0 for none.
      how: `extra` (a second answer), `late_extra` (the same, later), `cut`
        (half a body), `unframed` (no length), `lost` (run, and no answer),
        `shed` (refused with room), `fail` (500), `trailing` (more bytes).
      sick: whether the health page answers 503.
      crash_path: requests of this path end it.
      forget_idle_s: connections that were idle for longer are reset when
        something comes on them; 0 for never.
    """

    slower: float = 1.0
    every: int = 0
    how: str = ""
    sick: bool = False
    crash_path: str = ""
    forget_idle_s: float = 0.0


class Run(msgspec.Struct):
    """One request that an upstream began to work on."""

    request: str
    method: str
    path: str
    body: str
    at_s: float
    ended: str = ""
    deadline_ms: int = 0


class Upstream:
    """One incarnation of an upstream."""

    def __init__(self, *, plan: UpstreamPlan, upstream_id: str = "") -> None:
        """Makes an upstream that has not started.

        Args:
          plan: its behaviour.
          upstream_id: the id of a start before it; empty for a new one.
        """
        self.plan = plan
        self.faults = UpstreamFaults()
        self.upstream_id = upstream_id or f"i-{uuid.uuid4().hex[:10]}"
        self.born_ms = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.arrivals: list[float] = []
        self.draining = False
        self.cold_until_s = time.monotonic() + plan.cold_s
        self.crashed = asyncio.Event()
        self.running = 0
        self.waiting = 0
        self._seen = 0
        self._free = asyncio.Semaphore(plan.slots)
        self._known: OrderedDict[str, None] = OrderedDict()
        self._server: httpserver.HTTPServer | None = None
        self._answered_s: weakref.WeakKeyDictionary[
            iostream.IOStream, float
        ] = weakref.WeakKeyDictionary()
        self.address = ""

    def listen(self, ip: str, port: int = 0) -> str:
        """Binds an address, port 0 for any; returns `ip:port`."""
        application = web.Application(
            [
                (r"/health", _Health, {"upstream": self}),
                (OWN_PREFIX + r"/.*", _Own, {"upstream": self}),
                (r".*", _Work, {"upstream": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(port, address=ip)
        self._server.add_sockets(sockets)
        self.address = f"{ip}:{sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Stops at once and resets every connection."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def record(self) -> dict[str, Any]:
        """Returns its registration."""
        return {
            "service": self.plan.service,
            "address": self.address,
            "zone": self.plan.zone,
            "version": "v1",
            "slots": self.plan.slots,
            "state": "draining" if self.draining else "ready",
            "coldLeftS": max(0.0, self.cold_until_s - time.monotonic()),
            "seq": len(self.runs),
            "born": self.born_ms,
        }

    def strikes(self) -> bool:
        """Counts a request; returns whether the fault is due."""
        self._seen += 1
        every = self.faults.every
        return every > 0 and self._seen % every == 0

    def note_answered(self, stream: iostream.IOStream) -> None:
        """Notes that a connection has become idle."""
        self._answered_s[stream] = time.monotonic()

    def has_forgotten(self, stream: iostream.IOStream) -> bool:
        """Whether a connection was idle for too long, by the fault's order."""
        limit_s = self.faults.forget_idle_s
        answered_s = self._answered_s.get(stream)
        if not limit_s or answered_s is None:
            return False
        return time.monotonic() - answered_s > limit_s

    def load(self) -> str:
        """Returns what it says of its load."""
        return f"{self.running},{self.waiting},{self.plan.slots}"

    async def work(self, key: str) -> None:
        """Waits for a slot and runs for the time that an object takes."""
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self._work_s(key))
        finally:
            self.running -= 1
            self._free.release()
        self._remember(key)

    def _work_s(self, key: str) -> float:
        work_s = self.plan.work_s * self.faults.slower
        if key in self._known:
            work_s *= KNOWN_SHARE
        return work_s * random.uniform(0.85, 1.15)

    def _remember(self, key: str) -> None:
        self._known[key] = None
        self._known.move_to_end(key)
        while len(self._known) > self.plan.keeps:
            self._known.popitem(last=False)


class _Handler(web.RequestHandler):
    def initialize(self, upstream: Upstream) -> None:
        self.upstream = upstream

    def compute_etag(self) -> None:
        return None


class _Health(_Handler):
    def get(self) -> None:
        upstream = self.upstream
        if upstream.faults.sick or upstream.draining:
            self.set_status(503)
        self.set_header(names.UPSTREAM_ID.decode(), upstream.upstream_id)
        self.set_header(names.LOAD.decode(), upstream.load())


class _Own(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self.upstream.runs))

    def put(self) -> None:
        self.upstream.faults = msgspec.json.decode(
            self.request.body, type=UpstreamFaults
        )

    def post(self) -> None:
        self.upstream.draining = True


class _Work(_Handler):
    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")
    task: "asyncio.Task[None] | None" = None

    async def get(self) -> None:
        upstream = self.upstream
        headers = self.request.headers
        self.request_id = headers.get(names.REQUEST_ID.decode(), "")
        expected = headers.get(names.EXPECTED_UPSTREAM.decode(), "")
        if upstream.has_forgotten(self.stream()):
            self.cut()
        upstream.arrivals.append(time.monotonic())
        if expected and expected != upstream.upstream_id:
            self.refuse(421)
            return
        strikes = upstream.strikes()
        full = upstream.running + upstream.waiting
        limit = upstream.plan.slots + upstream.plan.queue
        if full >= limit or (strikes and upstream.faults.how == "shed"):
            self.refuse(503)
            return
        await self.run(strikes)

    post = put = delete = get

    def refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header(names.NOT_RUN.decode(), "1")
        self.set_header(names.REQUEST_ID.decode(), self.request_id)
        self.set_header(names.LOAD.decode(), self.upstream.load())

    async def run(self, strikes: bool) -> None:
        upstream = self.upstream
        request = self.request
        deadline = request.headers.get(names.DEADLINE.decode(), "0")
        run = Run(
            request=self.request_id,
            method=request.method or "",
            path=request.uri or "",
            body=xxhash.xxh3_64_hexdigest(request.body),
            at_s=time.monotonic(),
            deadline_ms=int(deadline),
        )
        upstream.runs.append(run)
        if upstream.faults.crash_path and request.path.startswith(
            upstream.faults.crash_path
        ):
            run.ended = "crashed"
            upstream.crashed.set()
            self.cut()
        key = request.headers.get(names.AFFINITY_KEY.decode(), self.request_id)
        self.task = asyncio.ensure_future(upstream.work(key))
        try:
            await self.task
        except asyncio.CancelledError:
            run.ended = "dropped"
            self.cut()
        run.ended = "ok"
        self.reply(upstream.faults.how if strikes else "")

    def on_connection_close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def cut(self) -> None:
        self.stream().close()
        raise web.Finish

    def stream(self) -> iostream.IOStream:
        return connection_of(self).stream

    def reply(self, fault: str) -> None:
        body = f"answer to {self.request_id}\n".encode() * 8
        if fault == "lost":
            self.cut()
        if fault == "fail":
            self.set_status(500)
        if fault in ("cut", "unframed", "extra", "late_extra", "trailing"):
            self.reply_raw(fault, body)
            return
        self.set_header(names.REQUEST_ID.decode(), self.request_id)
        self.set_header(names.RESPONSE_SEAL.decode(), f"seal-{self.request_id}")
        self.set_header(names.LOAD.decode(), self.upstream.load())
        if self.upstream.plan.keep_alive_s:
            limit_s = self.upstream.plan.keep_alive_s
            self.set_header("Keep-Alive", f"timeout={limit_s}")
        self.finish(body)
        self.upstream.note_answered(self.stream())

    def reply_raw(self, fault: str, body: bytes) -> None:
        """Writes an answer past the server's own framing."""
        stream = self.stream()
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Almondstair-Request-Id: {self.request_id}\r\n"
            f"X-Almondstair-Response-Seal: seal-{self.request_id}\r\n"
        ).encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        whole = head + length + body
        if fault == "cut":
            stream.write(whole[: -len(body) // 2])
        elif fault == "unframed":
            stream.write(head + b"\r\n" + body)
        elif fault == "trailing":
            stream.write(whole + b"more")
        elif fault == "extra":
            stream.write(whole + whole)
        else:
            stream.write(whole)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, _write_open, stream, whole)
            connection_of(self).finish()
            raise web.Finish
        if fault != "extra":
            stream.close()
        else:
            connection_of(self).finish()
        raise web.Finish


def _write_open(stream: iostream.IOStream, data: bytes) -> None:
    if not stream.closed():
        stream.write(data)
