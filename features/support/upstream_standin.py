"""Upstream stand-in with slots, load reports, draining, faults and a journal.

Query arguments or headers of a request control how it is served: `Work-Ms`,
`Answer-Bytes`, `Answer-Status`, `Answer-Chunked: 1`, `Crash: 1`. `Edge-Zone`
names the zone of its caller. Bodies are streamed both ways. `/_control` sets
faults.
"""

import argparse
import asyncio
from collections.abc import Iterator
import functools
import hashlib
import json
import os
import time
from typing import Any

import tornado.httpserver
import tornado.iostream
import tornado.web

CHUNK_BYTES = 1 << 16
BODY_LIMIT_BYTES = 1 << 30
BIN_S = 0.1
FILLER = hashlib.shake_256(b"almondstair").digest(CHUNK_BYTES - 8)


def body_chunks(size_bytes: int) -> Iterator[bytes]:
    """Yields a body of a given size; each chunk starts with its offset."""
    for offset in range(0, size_bytes, CHUNK_BYTES):
        chunk = offset.to_bytes(8, "big") + FILLER
        yield chunk[: size_bytes - offset]


@functools.lru_cache(maxsize=256)
def body_sha256(size_bytes: int) -> str:
    """Returns the digest of the body of a given size."""
    digest = hashlib.sha256()
    for chunk in body_chunks(size_bytes):
        digest.update(chunk)
    return digest.hexdigest()


class Upstream:
    """Holds the slots, the active faults, and the journal of runs."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Starts idle; the first `cold_requests` runs take `cold_ms` longer."""
        self.options = options
        self.control: dict[str, Any] = {
            "draining": False,
            "load": "true",  # or lie (reports idle), freeze, stop
            "fail": 0,  # number of next responses that are 500, after the work
            "cut": 0,  # number of next responses cut after cut_after_bytes
            "cut_after_bytes": 0,  # 0: no byte of a response
            "cold_requests": options.cold_requests,
            "cold_ms": options.cold_ms,
            "work_ms": options.work_ms,
            "deaf": False,  # ignores closed connections
        }
        self.busy = 0
        self.max_in_flight = 0
        self.refused = {"over_slots": 0, "draining": 0, "connections": 0}
        self.runs: list[dict[str, Any]] = []
        self.bins: dict[str, dict[int, list[int]]] = {}
        self.last_load: dict[str, int] = {}

    def load(self) -> dict[str, int]:
        """Returns the reported load; requests count while they run."""
        kind = self.control["load"]
        if kind == "freeze" and self.last_load:
            return self.last_load
        busy, draining = self.busy, int(self.control["draining"])
        if kind == "lie":
            busy, draining = 0, 0
        slots = self.options.slots
        self.last_load = {"slots": slots, "busy": busy, "draining": draining}
        return self.last_load

    def consume_fault(self, fault: str) -> bool:
        """Returns whether a counted fault remains, and consumes one."""
        if self.control[fault] <= 0:
            return False
        self.control[fault] -= 1
        return True

    def count_bytes(self, zone: str, side: int, size_bytes: int) -> None:
        """Counts body bytes in (side 0) or out (side 1) of an edge zone."""
        bins = self.bins.setdefault(zone, {})
        counts = bins.setdefault(int(time.monotonic() / BIN_S), [0, 0])
        counts[side] += size_bytes

    def start(self, **fields: Any) -> dict[str, Any]:
        """Acquires a slot and adds a run to the journal."""
        self.busy += 1
        self.max_in_flight = max(self.max_in_flight, self.busy)
        run = {**fields, "start": time.monotonic(), "outcome": "running"}
        self.runs.append(run)
        self._write_journal(run)
        return run

    def end(self, run: dict[str, Any], outcome: str) -> None:
        """Releases the slot and completes the run, unless already ended."""
        if run["outcome"] != "running":
            return
        self.busy -= 1
        run.update(outcome=outcome, end=time.monotonic())
        self._write_journal(run)

    def _write_journal(self, run: dict[str, Any]) -> None:
        # A crash loses the journal in memory; tests that crash an upstream
        # read its earlier runs from this file.
        if self.options.journal:
            with open(self.options.journal, "a", encoding="utf-8") as file:
                file.write(json.dumps(run) + "\n")


@tornado.web.stream_request_body
class WorkHandler(tornado.web.RequestHandler):
    """Serves requests on any path."""

    def initialize(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.run: dict[str, Any] = {}
        self.closed = asyncio.Event()
        self.digest = hashlib.sha256()
        self.received_bytes = 0

    def option(self, name: str, default: Any = "") -> Any:
        value = self.request.headers.get(name, default)
        return self.get_query_argument(name.lower().replace("-", "_"), value)

    def prepare(self) -> None:
        self.request.connection.set_max_body_size(BODY_LIMIT_BYTES)
        upstream = self.upstream
        if upstream.control["draining"]:
            return self.refuse("draining", "draining")
        if upstream.busy >= upstream.options.slots:
            return self.refuse("over_slots", "not-run")
        headers = self.request.headers
        self.zone = self.option("Edge-Zone")
        self.run = upstream.start(
            upstream=upstream.options.name,
            key=headers.get("Idempotency-Key", ""),
            method=self.request.method,
            path=self.request.uri,
            trace=headers.get("traceparent", ""),
        )
        return None

    def refuse(self, counter: str, refusal: str) -> None:
        self.upstream.refused[counter] += 1
        self.set_status(503)
        self.set_header("Almondstair-Refused", refusal)
        self.report_load()
        self.finish()

    def report_load(self) -> None:
        if self.upstream.control["load"] == "stop":
            return
        pairs = [f"{k}={v}" for k, v in self.upstream.load().items()]
        self.set_header("Upstream-Load", ";".join(pairs))

    def data_received(self, chunk: bytes) -> None:
        self.digest.update(chunk)
        self.received_bytes += len(chunk)
        self.upstream.count_bytes(self.zone, 0, len(chunk))

    def on_connection_close(self) -> None:
        super().on_connection_close()
        if self.upstream.control["deaf"]:
            return
        self.closed.set()
        if self.run:
            self.upstream.end(self.run, "cancelled")

    def compute_etag(self) -> None:
        return None

    async def serve(self) -> None:
        if self.option("Crash") == "1":
            os._exit(1)
        outcome = await self.work()
        if outcome == "cancelled":
            return
        if outcome == "done" and self.upstream.consume_fault("fail"):
            outcome = "failed"
        try:
            await self.answer(outcome)
        except tornado.iostream.StreamClosedError:
            self.upstream.end(self.run, "cancelled")

    get = head = post = put = patch = delete = serve

    async def work(self) -> str:
        """Waits for the service time and returns the outcome of the work."""
        upstream = self.upstream
        work_ms = float(self.option("Work-Ms", upstream.control["work_ms"]))
        work_ms += upstream.options.delay_ms.get(self.zone, 0.0)
        if upstream.consume_fault("cold_requests"):
            work_ms += upstream.control["cold_ms"]
        end_s = self.run["start"] + work_ms / 1000
        deadline_ms = float(self.request.headers.get("Deadline-Ms", "inf"))
        deadline_s = self.run["start"] + deadline_ms / 1000
        remaining_s = min(end_s, deadline_s) - time.monotonic()
        try:
            await asyncio.wait_for(self.closed.wait(), max(remaining_s, 0))
        except TimeoutError:
            return "done" if end_s <= deadline_s else "deadline"
        return "cancelled"

    async def answer(self, outcome: str) -> None:
        status = {"failed": 500, "deadline": 504}.get(
            outcome, int(self.option("Answer-Status", 200))
        )
        self.set_status(status)
        self.set_header("Body-Sha256", self.digest.hexdigest())
        self.set_header("Body-Length", str(self.received_bytes))
        self.set_header("Served-By", self.upstream.options.name)
        self.report_load()
        size_bytes, chunks = self.make_body(outcome)
        if status in (204, 304) or self.request.method == "HEAD":
            chunks = iter(())
        if status not in (204, 304) and self.option("Answer-Chunked") != "1":
            self.set_header("Content-Length", str(size_bytes))
        cut_after_bytes = None
        if self.upstream.consume_fault("cut"):
            outcome, cut_after_bytes = (
                "cut",
                self.upstream.control["cut_after_bytes"],
            )
        sent_bytes = 0
        for chunk in chunks:
            if (
                cut_after_bytes is not None
                and sent_bytes + len(chunk) > cut_after_bytes
            ):
                return await self.cut(chunk[: cut_after_bytes - sent_bytes])
            sent_bytes += len(chunk)
            self.upstream.count_bytes(self.zone, 1, len(chunk))
            self.write(chunk)
            await self.flush()
        # Released before the end is written: a caller that has read the
        # complete response may use the slot at once.
        self.upstream.end(self.run, outcome)
        await self.finish()
        return None

    def make_body(self, outcome: str) -> tuple[int, Iterator[bytes]]:
        size_bytes = int(self.option("Answer-Bytes", -1))
        if size_bytes >= 0 and outcome == "done":
            return size_bytes, body_chunks(size_bytes)
        report = {**self.run, "outcome": outcome}
        report["body_bytes"] = self.received_bytes
        report["body_sha256"] = self.digest.hexdigest()
        body = json.dumps(report).encode()
        return len(body), iter([body])

    async def cut(self, last: bytes) -> None:
        self.upstream.end(self.run, "cut")
        if last:
            self.write(last)
            await self.flush()
        self.detach().close()


class ControlHandler(tornado.web.RequestHandler):
    """Serves health, load and journal, and sets faults."""

    def initialize(self, upstream: Upstream) -> None:
        self.upstream = upstream

    def get(self, name: str) -> None:
        upstream = self.upstream
        if name == "health":
            return self.finish({"state": "well"})
        if name == "load":
            if upstream.control["load"] == "stop":
                return self.detach().close()
            return self.finish(upstream.load())
        return self.finish(
            {
                "runs": upstream.runs,
                "busy": upstream.busy,
                "max_in_flight": upstream.max_in_flight,
                "refused": upstream.refused,
                "bin_s": BIN_S,
                "bytes": upstream.bins,
            }
        )

    def post(self, name: str) -> None:
        self.upstream.control.update(json.loads(self.request.body))
        self.finish(self.upstream.control)


class LimitedServer(tornado.httpserver.HTTPServer):
    """Closes connections above the limit immediately."""

    upstream: Upstream

    def handle_stream(self, stream: Any, address: Any) -> None:
        if len(self._connections) >= self.upstream.options.connections:
            self.upstream.refused["connections"] += 1
            return stream.close()
        return super().handle_stream(stream, address)


def zone_delay(text: str) -> tuple[str, float]:
    zone, delay_ms = text.split("=")
    return zone, float(delay_ms)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--name", default="upstream")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--connections", type=int, default=330)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--cold-requests", type=int, default=0)
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--journal", default="")
    delays = {"type": zone_delay, "action": "append", "default": []}
    parser.add_argument("--delay-ms", metavar="EDGE_ZONE=MS", **delays)
    options = parser.parse_args()
    options.delay_ms = dict(options.delay_ms)
    upstream = Upstream(options)
    shared = {"upstream": upstream}
    application = tornado.web.Application(
        [
            (r"/_(control|health|load|journal)", ControlHandler, shared),
            (r"/.*", WorkHandler, shared),
        ]
    )
    LimitedServer.upstream = upstream
    server = LimitedServer(application, max_body_size=BODY_LIMIT_BYTES)
    ip, port = options.address.split(":")
    server.listen(int(port), ip)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
