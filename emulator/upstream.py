"""An upstream of the platform: slots, a queue, cached objects and faults."""

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
from emulator.endless import FORMS
from emulator.endless import endless_form
from emulator.endless import write_without_end
from emulator.handler_connection import connection_of

CACHED_RUN_TIME_FACTOR = 0.3
CONTROL_PREFIX = "/emulator"


class UpstreamPlan(msgspec.Struct, kw_only=True):
    """Behaviour of an upstream.

    Attributes:
      service: name of its service.
      zone: its availability zone.
      slots: number of concurrent requests.
      queue: number of queued requests; it refuses more.
      work_s: run time for an object that is not cached, in seconds.
      keeps: capacity of the object cache.
      cold_s: duration of the cold start, in seconds.
      cold_rate_per_s: requests a second that it can handle while cold.
      keep_alive_s: idle timeout in the Keep-Alive header, in seconds; 0 for no
        header.
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
    """Faults injected into an upstream.

    Attributes:
      slower: factor on run times.
      every: n: every n-th request gets the fault; 0 for none.
      how: `extra` (a second response), `late_extra` (the same, later), `cut`
        (half a body), `unframed` (no length), `lost` (run without a response),
        `shed` (refused despite free capacity), `fail` (500), `trailing` (extra
        bytes after the response), or a form of `emulator.endless` (run, then
        bytes without end).
      sick: whether the health check returns 503.
      crash_path: requests whose path starts with this crash the upstream; empty
        for none.
      forget_idle_s: connections that were idle for longer, in seconds, are
        closed on the next request; 0 for never.
      limits: values of the rate limit header, one header each.
      leaving: values of the header that says that it leaves, one header each.
      speed: fourth figure of the load header; empty for none.
      rests: values of `Retry-After` in refusals, one header each.
      large_path: responses to requests whose path starts with this are large;
        empty for none.
      large_bytes: their size.
      refuses_over_waiting: it refuses requests while more than this many wait
        for a slot; -1 for never.
      unregistered: whether it stops writing its registration.
    """

    slower: float = 1.0
    every: int = 0
    how: str = ""
    sick: bool = False
    crash_path: str = ""
    forget_idle_s: float = 0.0
    limits: list[str] = []
    leaving: list[str] = []
    speed: str = ""
    rests: list[str] = []
    large_path: str = ""
    large_bytes: int = 0
    refuses_over_waiting: int = -1
    unregistered: bool = False


class Answer(msgspec.Struct):
    """The head of an answer to a request that reached an upstream.

    Attributes:
      incarnation: name of the upstream's incarnation.
      request: id of the request.
      arrived_s: when the request arrived, on the host's monotonic clock.
      answered_s: when the answer was sent, on the same clock.
      status: status of the answer.
      leaving: whether it said that the upstream leaves.
      rest_s: the rest that it asked for, in seconds; 0 for none.
    """

    incarnation: str
    request: str
    arrived_s: float
    answered_s: float
    status: int
    leaving: bool
    rest_s: float


class Run(msgspec.Struct):
    """One request that an upstream started to run."""

    request: str
    method: str
    path: str
    body: str
    at_s: float
    ended: str = ""
    deadline_ms: int = 0
    keys: list[str] = []
    organisations: list[str] = []
    header_names: list[str] = []


class Upstream:
    """One incarnation of an upstream."""

    def __init__(self, *, plan: UpstreamPlan, upstream_id: str = "") -> None:
        """Creates an upstream that is not listening yet.

        Args:
          plan: behaviour of the upstream.
          upstream_id: id of an earlier incarnation to reuse; empty for a new
            id.
        """
        self.plan = plan
        self.faults = UpstreamFaults()
        self.upstream_id = upstream_id or f"i-{uuid.uuid4().hex[:10]}"
        self.started_ms = int(time.time() * 1000)
        self.runs: list[Run] = []
        self._registrations = 0
        self.arrivals: list[float] = []
        self.answers: list[Answer] = []
        self.draining = False
        self.cold_until_s = time.monotonic() + plan.cold_s
        self.crashed = asyncio.Event()
        self.running = 0
        self.waiting = 0
        self._request_count = 0
        self._slots = asyncio.Semaphore(plan.slots)
        self._cached_keys: OrderedDict[str, None] = OrderedDict()
        self._server: httpserver.HTTPServer | None = None
        self._idle_since_s: weakref.WeakKeyDictionary[
            iostream.IOStream, float
        ] = weakref.WeakKeyDictionary()
        self.address = ""

    def listen(self, ip: str, port: int = 0) -> str:
        """Binds an address, port 0 for any; returns `ip:port`."""
        application = web.Application(
            [
                (r"/health", _Health, {"upstream": self}),
                (CONTROL_PREFIX + r"/.*", _Control, {"upstream": self}),
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
        """Stops listening and closes every connection at once."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def next_registration(self) -> dict[str, Any]:
        """Returns the registration to write next."""
        self._registrations += 1
        return {
            "service": self.plan.service,
            "address": self.address,
            "zone": self.plan.zone,
            "version": "v1",
            "slots": self.plan.slots,
            "state": "draining" if self.draining else "ready",
            "coldLeftS": max(0.0, self.cold_until_s - time.monotonic()),
            "seq": self._registrations,
            "born": self.started_ms,
        }

    @property
    def incarnation(self) -> str:
        """Returns a name that is unique to this start."""
        return f"{self.upstream_id} {self.started_ms}"

    def is_fault_due(self) -> bool:
        """Counts a request; returns whether it gets the fault."""
        self._request_count += 1
        every = self.faults.every
        return every > 0 and self._request_count % every == 0

    def record_response_sent(self, stream: iostream.IOStream) -> None:
        """Records the time from which a connection is idle."""
        self._idle_since_s[stream] = time.monotonic()

    def resets_idle_connection(self, stream: iostream.IOStream) -> bool:
        """Whether a connection was idle for longer than `forget_idle_s`."""
        limit_s = self.faults.forget_idle_s
        idle_since_s = self._idle_since_s.get(stream)
        if not limit_s or idle_since_s is None:
            return False
        return time.monotonic() - idle_since_s > limit_s

    def load(self) -> str:
        """Returns the value of the load header."""
        load = f"{self.running},{self.waiting},{self.plan.slots}"
        return f"{load},{self.faults.speed}" if self.faults.speed else load

    async def work(self, key: str) -> None:
        """Waits for a slot, then runs for the run time of an object."""
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self._run_time_s(key))
        finally:
            self.running -= 1
            self._slots.release()
        self._cache(key)

    def _run_time_s(self, key: str) -> float:
        work_s = self.plan.work_s * self.faults.slower
        if key in self._cached_keys:
            work_s *= CACHED_RUN_TIME_FACTOR
        return work_s * random.uniform(0.85, 1.15)

    def _cache(self, key: str) -> None:
        self._cached_keys[key] = None
        self._cached_keys.move_to_end(key)
        while len(self._cached_keys) > self.plan.keeps:
            self._cached_keys.popitem(last=False)


class _Handler(web.RequestHandler):
    def initialize(self, upstream: Upstream) -> None:
        self.upstream = upstream

    def compute_etag(self) -> None:
        return None

    def set_statements(self) -> None:
        """Sets the headers with which the upstream speaks of itself."""
        upstream = self.upstream
        self.set_header(names.LOAD.decode(), upstream.load())
        for value in upstream.faults.limits:
            self.add_header(names.RATE_LIMIT.decode(), value)
        leaving = upstream.faults.leaving
        if upstream.draining and not leaving:
            leaving = ["1"]
        for value in leaving:
            self.add_header(names.LEAVING.decode(), value)
        if self.get_status() == 503:
            for value in upstream.faults.rests:
                self.add_header("Retry-After", value)


class _Health(_Handler):
    def get(self) -> None:
        upstream = self.upstream
        if upstream.faults.sick or upstream.draining:
            self.set_status(503)
        self.set_header(names.UPSTREAM_ID.decode(), upstream.upstream_id)
        self.set_statements()


class _Control(_Handler):
    def get(self) -> None:
        found: object = self.upstream.runs
        if self.request.path.endswith("/arrivals"):
            found = self.upstream.arrivals
        elif self.request.path.endswith("/answers"):
            found = self.upstream.answers
        self.finish(msgspec.json.encode(found))

    def put(self) -> None:
        self.upstream.faults = msgspec.json.decode(
            self.request.body, type=UpstreamFaults
        )

    def post(self) -> None:
        self.upstream.draining = True


class _Work(_Handler):
    SUPPORTED_METHODS = ("GET", "POST", "PUT", "DELETE")
    task: "asyncio.Task[None] | None" = None

    def prepare(self) -> None:
        self.arrived_s = time.monotonic()

    async def get(self) -> None:
        upstream = self.upstream
        headers = self.request.headers
        self.request_id = headers.get(names.REQUEST_ID.decode(), "")
        expected = headers.get(names.EXPECTED_UPSTREAM.decode(), "")
        if upstream.resets_idle_connection(self.stream()):
            self.drop_connection()
        upstream.arrivals.append(time.monotonic())
        if expected and expected != upstream.upstream_id:
            self.refuse(421)
            return
        fault_due = upstream.is_fault_due()
        occupied = upstream.running + upstream.waiting
        capacity = upstream.plan.slots + upstream.plan.queue
        most_waiting = upstream.faults.refuses_over_waiting
        if (
            occupied >= capacity
            or (fault_due and upstream.faults.how == "shed")
            or 0 <= most_waiting < upstream.waiting
        ):
            self.refuse(503)
            return
        await self.run(fault_due)

    post = put = delete = get

    def refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header(names.NOT_RUN.decode(), "1")
        self.set_header(names.REQUEST_ID.decode(), self.request_id)
        self.set_statements()
        if status != 421:
            self.record_answer()

    def record_answer(self) -> None:
        headers = self._headers
        rests = headers.get_list("Retry-After")
        self.upstream.answers.append(
            Answer(
                incarnation=self.upstream.incarnation,
                request=self.request_id,
                arrived_s=self.arrived_s,
                answered_s=time.monotonic(),
                status=self.get_status(),
                leaving=headers.get_list(names.LEAVING.decode()) == ["1"],
                rest_s=_decimal(rests[0]) if len(rests) == 1 else 0.0,
            )
        )

    async def run(self, fault_due: bool) -> None:
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
            keys=request.headers.get_list(names.AUTHORIZATION.decode()),
            organisations=request.headers.get_list(names.ORGANISATION.decode()),
            header_names=list(request.headers.keys()),
        )
        upstream.runs.append(run)
        if upstream.faults.crash_path and request.path.startswith(
            upstream.faults.crash_path
        ):
            run.ended = "crashed"
            upstream.crashed.set()
            self.drop_connection()
        key = request.headers.get(names.AFFINITY_KEY.decode(), self.request_id)
        self.task = asyncio.ensure_future(upstream.work(key))
        try:
            await self.task
        except asyncio.CancelledError:
            run.ended = "dropped"
            self.drop_connection()
        run.ended = "ok"
        if fault_due and upstream.faults.how in FORMS:
            await self.respond_without_end(upstream.faults.how)
        self.respond(upstream.faults.how if fault_due else "")

    def on_connection_close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def drop_connection(self) -> None:
        self.stream().close()
        raise web.Finish

    def stream(self) -> iostream.IOStream:
        return connection_of(self).stream

    def answer_body(self) -> bytes:
        return f"answer to {self.request_id}\n".encode() * 8

    def respond(self, fault: str) -> None:
        body = self.answer_body()
        faults = self.upstream.faults
        path = self.request.path
        if faults.large_path and path.startswith(faults.large_path):
            body = body.ljust(faults.large_bytes, b".")
        if fault == "lost":
            self.drop_connection()
        if fault == "fail":
            self.set_status(500)
        if fault in ("cut", "unframed", "extra", "late_extra", "trailing"):
            self.respond_raw(fault, body)
            return
        self.set_header(names.REQUEST_ID.decode(), self.request_id)
        self.set_header(names.RESPONSE_SEAL.decode(), f"seal-{self.request_id}")
        self.set_statements()
        self.record_answer()
        if self.upstream.plan.keep_alive_s:
            limit_s = self.upstream.plan.keep_alive_s
            self.set_header("Keep-Alive", f"timeout={limit_s}")
        self.finish(body)
        self.upstream.record_response_sent(self.stream())

    async def respond_without_end(self, form_name: str) -> None:
        """Writes bytes without end until the other side closes."""
        form = endless_form(
            form_name,
            headers=self.identifying_headers(),
            answer=self.answer_body(),
        )
        await write_without_end(self.stream(), form)
        raise web.Finish

    def identifying_headers(self) -> bytes:
        """Returns the headers by which a response counts."""
        return (
            f"X-Almondstair-Request-Id: {self.request_id}\r\n"
            f"X-Almondstair-Response-Seal: seal-{self.request_id}\r\n"
        ).encode()

    def respond_raw(self, fault: str, body: bytes) -> None:
        """Writes a response that bypasses the HTTP server's framing."""
        stream = self.stream()
        head = b"HTTP/1.1 200 OK\r\n" + self.identifying_headers()
        for value in self.upstream.faults.leaving:
            head += names.LEAVING + b": " + value.encode() + b"\r\n"
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        complete = head + length + body
        if fault == "cut":
            stream.write(complete[: -len(body) // 2])
        elif fault == "unframed":
            stream.write(head + b"\r\n" + body)
        elif fault == "trailing":
            stream.write(complete + b"more")
        elif fault == "extra":
            stream.write(complete + complete)
        else:
            stream.write(complete)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, _write_if_open, stream, complete)
            connection_of(self).finish()
            raise web.Finish
        if fault != "extra":
            stream.close()
        else:
            connection_of(self).finish()
        raise web.Finish


def _decimal(text: str) -> float:
    """Returns a decimal number, 0 for any other text."""
    return float(text) if text.replace(".", "", 1).isdigit() else 0.0


def _write_if_open(stream: iostream.IOStream, data: bytes) -> None:
    if not stream.closed():
        stream.write(data)
