"""Caller stand-in that caches lookups, sends a load and records responses.

It retries a request only if the response says that the request did not run and
that a retry helps, or if the entry refuses the connection. The outcome of each
request is one JSON line in `--out`.
"""

import argparse
import asyncio
import hashlib
import json
import math
from pathlib import Path
import random
import time
from typing import Any
import uuid

import tornado.httpclient

from features.support.upstream_standin import body_chunks
from features.support.upstream_standin import body_sha256

BODY_LIMIT_BYTES = 1 << 30
BODYLESS_METHODS = ("GET", "HEAD", "DELETE")
TIMEOUT_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 1.0
REFUSED_RETRY_PAUSE_S = 0.05
LOOKUP_RETRY_PAUSE_S = 0.5
GATE_POLL_INTERVAL_S = 0.005
CLASS_DEFAULTS: dict[str, Any] = {
    "name": "",
    "method": "GET",
    "path": "/",
    "weight": 1,
    "keyed": False,
    "body_bytes": 0,
    "answer_bytes": -1,  # -1: the upstream reports what it received
    "work_ms": None,
    "deadline_ms": 2000,
}


def read_message(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, or an empty one for any other body."""
    try:
        message = json.loads(body)
    except ValueError:
        return {}
    return message if isinstance(message, dict) else {}


class Caller:
    """A caller program with its cached lookup."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Starts with the entries named in the options."""
        self.options = options
        self.configured_entries: list[str] = options.entries.split(",")
        self.cached_entries: list[str] = []
        self.lookup_expires_s = math.inf if options.no_look_up else 0.0
        self.lock = asyncio.Lock()
        self.random = random.Random(options.seed)
        self.client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=options.in_flight,
            max_buffer_size=BODY_LIMIT_BYTES,
        )
        self.out = open(options.out, "a", encoding="utf-8")  # noqa: SIM115

    async def entries(self) -> list[str]:
        """Returns the entries of the lookup, renewed after its TTL."""
        if self.cached_entries and self.lock.locked():
            return self.cached_entries
        async with self.lock:
            if time.monotonic() < self.lookup_expires_s:
                return self.cached_entries or self.configured_entries
            # Without a response the last one stays in use, and lookups are
            # repeated only after a pause: else all requests would queue here.
            self.lookup_expires_s = time.monotonic() + LOOKUP_RETRY_PAUSE_S
            for address in [*self.cached_entries, *self.configured_entries]:
                url = f"http://{address}/v1/entries"
                url += f"?service={self.options.service}"
                try:
                    response = await self.client.fetch(
                        url, request_timeout=CONNECT_TIMEOUT_S
                    )
                except (OSError, tornado.httpclient.HTTPError):
                    continue
                lookup = json.loads(response.body)
                addresses = [entry["address"] for entry in lookup["entries"]]
                self.cached_entries = addresses or self.cached_entries
                self.lookup_expires_s = time.monotonic() + lookup["ttl_s"]
                break
            return self.cached_entries or self.configured_entries

    async def call(self, request_class: dict[str, Any]) -> None:
        """Sends a request, with retries, and records its outcome."""
        request_id = uuid.UUID(int=self.random.getrandbits(128)).hex
        start_s = time.monotonic()
        end_s = start_s + request_class["deadline_ms"] / 1000
        attempts: list[dict[str, Any]] = []
        while True:
            entries = await self.entries()
            entry = entries[len(attempts) % len(entries)]
            left_s = end_s - time.monotonic()
            outcome = await self.attempt(
                request_class, request_id, entry, left_s
            )
            attempts.append(outcome)
            pause_s = (outcome["retry_after_ms"] or 0) / 1000
            if outcome["ran"] != "no" or outcome["retry_after_ms"] is None:
                break
            if time.monotonic() + pause_s >= end_s:
                break
            await asyncio.sleep(pause_s)
        record = {
            "class": request_class["name"],
            "key": request_id,
            **attempts[-1],
        }
        record["start_s"] = start_s
        record["latency_ms"] = (time.monotonic() - start_s) * 1000
        record["attempts"] = attempts
        self.out.write(json.dumps(record) + "\n")
        self.out.flush()

    async def attempt(
        self,
        request_class: dict[str, Any],
        request_id: str,
        entry: str,
        left_s: float,
    ) -> dict[str, Any]:
        """Sends the request once and returns the outcome."""
        request = self.make_request(request_class, request_id, entry, left_s)
        outcome = {"entry": entry, "status": 599, "kind": "", "ran": "unknown"}
        outcome.update(retry_after_ms=None, body_ok=None)
        try:
            response = await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            if not self.options.no_look_up:
                self.lookup_expires_s = 0.0
            pause_ms = REFUSED_RETRY_PAUSE_S * 1000
            return outcome | {"ran": "no", "retry_after_ms": pause_ms}
        except (OSError, tornado.httpclient.HTTPError) as error:
            return outcome | {"kind": str(error)}
        outcome.update(status=response.code, ran="yes")
        message = read_message(response.body)
        if response.code < 300:
            outcome["upstream"] = message.get("upstream", "")
            outcome["body_ok"] = is_complete(
                request_class, request_id, response.body
            )
        for name in ("kind", "ran", "retry_after_ms"):
            outcome[name] = message.get(name, outcome[name])
        return outcome

    def make_request(
        self,
        request_class: dict[str, Any],
        request_id: str,
        entry: str,
        left_s: float,
    ) -> tornado.httpclient.HTTPRequest:
        url = f"http://{entry}/{self.options.service}{request_class['path']}"
        url += (
            f"?call={request_id}&answer_bytes={request_class['answer_bytes']}"
        )
        if request_class["work_ms"] is not None:
            url += f"&work_ms={request_class['work_ms']}"
        headers = {
            "Deadline-Ms": str(max(int(left_s * 1000), 1)),
            "Edge-Zone": self.options.edge_zone,
            "traceparent": f"00-{request_id}-{request_id[:16]}-01",
        }
        if request_class["keyed"]:
            headers["Idempotency-Key"] = request_id
        body = b"".join(body_chunks(request_class["body_bytes"]))
        return tornado.httpclient.HTTPRequest(
            url,
            method=request_class["method"],
            headers=headers,
            body=body
            if request_class["method"] not in BODYLESS_METHODS
            else None,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=left_s + TIMEOUT_MARGIN_S,
            follow_redirects=False,
        )

    async def run(self) -> None:
        """Sends the load at its rate, independent of the responses."""
        classes = []
        for request_class in json.loads(self.options.classes):
            classes.append({**CLASS_DEFAULTS, **request_class})
        weights = [request_class["weight"] for request_class in classes]
        start_s = await self.wait_start_s()
        calls = []
        for number in range(self.options.count):
            due_s = start_s + number / self.options.rate
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            [request_class] = self.random.choices(classes, weights)
            calls.append(asyncio.ensure_future(self.call(request_class)))
        await asyncio.gather(*calls)

    async def wait_start_s(self) -> float:
        """Returns when the load begins, on the monotonic clock.

        With a gate file, signals that it is ready and waits until the file
        holds the time.
        """
        if not self.options.gate:
            return time.monotonic()
        Path(f"{self.options.out}.ready").touch()
        gate = Path(self.options.gate)
        while not gate.exists():
            await asyncio.sleep(GATE_POLL_INTERVAL_S)
        return float(gate.read_text(encoding="utf-8"))


def is_complete(
    request_class: dict[str, Any], request_id: str, body: bytes
) -> bool:
    """Returns whether the body is the complete response to this request."""
    size_bytes = request_class["answer_bytes"]
    if size_bytes >= 0:
        return hashlib.sha256(body).hexdigest() == body_sha256(size_bytes)
    message = read_message(body)
    if request_id not in message.get("path", ""):
        return False
    return message["body_sha256"] == body_sha256(request_class["body_bytes"])


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", required=True, help="ip:port,ip:port")
    parser.add_argument("--no-look-up", action="store_true")
    parser.add_argument("--service", required=True)
    parser.add_argument("--classes", required=True, help="JSON list")
    parser.add_argument("--edge-zone", default="")
    parser.add_argument("--rate", type=float, default=20.0, help="per second")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--in-flight", type=int, default=4096)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--out", required=True)
    parser.add_argument("--gate", default="", help="file with the start time")
    await Caller(parser.parse_args()).run()


if __name__ == "__main__":
    asyncio.run(main())
