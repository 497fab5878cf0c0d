"""Stand-in for callers: caches look-ups, sends a load, records each answer.

It comes back only where it was told that the request was not run and when a
retry helps. Each request's end is one JSON line of the file `--out`.
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
REFUSED_PAUSE_S = 0.05
LOOK_UP_PAUSE_S = 0.5
GATE_POLL_S = 0.005
CLASS_DEFAULTS: dict[str, Any] = {
    "name": "",
    "method": "GET",
    "path": "/",
    "weight": 1,
    "keyed": False,
    "body_bytes": 0,
    "answer_bytes": -1,  # -1: the upstream tells what it received
    "work_ms": None,
    "deadline_ms": 2000,
}


def read_message(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, or nothing for any other body."""
    try:
        message = json.loads(body)
    except ValueError:
        return {}
    return message if isinstance(message, dict) else {}


class Caller:
    """One caller program with its cached look-up."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Starts with the entries named in the options."""
        self.options = options
        self.known: list[str] = options.entries.split(",")
        self.found: list[str] = []
        self.fresh_until_s = math.inf if options.no_look_up else 0.0
        self.lock = asyncio.Lock()
        self.random = random.Random(options.seed)
        self.client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=options.in_flight,
            max_buffer_size=BODY_LIMIT_BYTES,
        )
        self.out = open(options.out, "a", encoding="utf-8")  # noqa: SIM115

    async def entries(self) -> list[str]:
        """Returns the entries of the look-up, asked again after its ttl."""
        if self.found and self.lock.locked():
            return self.found
        async with self.lock:
            if time.monotonic() < self.fresh_until_s:
                return self.found or self.known
            # Without an answer the last one serves on, and the next request
            # asks again only after a pause: else all would queue here.
            self.fresh_until_s = time.monotonic() + LOOK_UP_PAUSE_S
            for address in [*self.found, *self.known]:
                url = f"http://{address}/v1/entries"
                url += f"?service={self.options.service}"
                try:
                    answer = await self.client.fetch(
                        url, request_timeout=CONNECT_TIMEOUT_S
                    )
                except (OSError, tornado.httpclient.HTTPError):
                    continue
                told = json.loads(answer.body)
                found = [entry["address"] for entry in told["entries"]]
                self.found = found or self.found
                self.fresh_until_s = time.monotonic() + told["ttl_s"]
                break
            return self.found or self.known

    async def call(self, work: dict[str, Any]) -> None:
        """Sends one request until it has an end, and records that."""
        call_id = uuid.UUID(int=self.random.getrandbits(128)).hex
        start_s = time.monotonic()
        end_s = start_s + work["deadline_ms"] / 1000
        attempts: list[dict[str, Any]] = []
        while True:
            entries = await self.entries()
            entry = entries[len(attempts) % len(entries)]
            left_s = end_s - time.monotonic()
            told = await self.attempt(work, call_id, entry, left_s)
            attempts.append(told)
            pause_s = (told["retry_after_ms"] or 0) / 1000
            if told["ran"] != "no" or told["retry_after_ms"] is None:
                break
            if time.monotonic() + pause_s >= end_s:
                break
            await asyncio.sleep(pause_s)
        record = {"class": work["name"], "key": call_id, **attempts[-1]}
        record["start_s"] = start_s
        record["latency_ms"] = (time.monotonic() - start_s) * 1000
        record["attempts"] = attempts
        self.out.write(json.dumps(record) + "\n")
        self.out.flush()

    async def attempt(
        self, work: dict[str, Any], call_id: str, entry: str, left_s: float
    ) -> dict[str, Any]:
        """Sends the request once; returns what came of it."""
        request = self.make_request(work, call_id, entry, left_s)
        told = {"entry": entry, "status": 599, "kind": "", "ran": "unknown"}
        told.update(retry_after_ms=None, body_ok=None)
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            if not self.options.no_look_up:
                self.fresh_until_s = 0.0
            pause_ms = REFUSED_PAUSE_S * 1000
            return told | {"ran": "no", "retry_after_ms": pause_ms}
        except (OSError, tornado.httpclient.HTTPError) as error:
            return told | {"kind": str(error)}
        told.update(status=answer.code, ran="yes")
        message = read_message(answer.body)
        if answer.code < 300:
            told["upstream"] = message.get("upstream", "")
            told["body_ok"] = is_whole(work, call_id, answer.body)
        for name in ("kind", "ran", "retry_after_ms"):
            told[name] = message.get(name, told[name])
        return told

    def make_request(
        self, work: dict[str, Any], call_id: str, entry: str, left_s: float
    ) -> tornado.httpclient.HTTPRequest:
        url = f"http://{entry}/{self.options.service}{work['path']}"
        url += f"?call={call_id}&answer_bytes={work['answer_bytes']}"
        if work["work_ms"] is not None:
            url += f"&work_ms={work['work_ms']}"
        headers = {
            "Deadline-Ms": str(max(int(left_s * 1000), 1)),
            "Edge-Zone": self.options.edge_zone,
            "traceparent": f"00-{call_id}-{call_id[:16]}-01",
        }
        if work["keyed"]:
            headers["Idempotency-Key"] = call_id
        body = b"".join(body_chunks(work["body_bytes"]))
        return tornado.httpclient.HTTPRequest(
            url,
            method=work["method"],
            headers=headers,
            body=body if work["method"] not in BODYLESS_METHODS else None,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=left_s + TIMEOUT_MARGIN_S,
            follow_redirects=False,
        )

    async def run(self) -> None:
        """Sends the load at its rate, whatever the answers."""
        classes = []
        for work in json.loads(self.options.classes):
            classes.append({**CLASS_DEFAULTS, **work})
        weights = [work["weight"] for work in classes]
        start_s = await self.begin_s()
        calls = []
        for number in range(self.options.count):
            due_s = start_s + number / self.options.rate
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
            [work] = self.random.choices(classes, weights)
            calls.append(asyncio.ensure_future(self.call(work)))
        await asyncio.gather(*calls)

    async def begin_s(self) -> float:
        """Returns when the load begins, on the monotonic clock.

        With a gate it says that it is ready, and waits for the time there.
        """
        if not self.options.gate:
            return time.monotonic()
        Path(f"{self.options.out}.ready").touch()
        gate = Path(self.options.gate)
        while not gate.exists():
            await asyncio.sleep(GATE_POLL_S)
        return float(gate.read_text(encoding="utf-8"))


def is_whole(work: dict[str, Any], call_id: str, body: bytes) -> bool:
    """Says whether this is the whole answer to this very request."""
    size_bytes = work["answer_bytes"]
    if size_bytes >= 0:
        return hashlib.sha256(body).hexdigest() == body_sha256(size_bytes)
    told = read_message(body)
    if call_id not in told.get("path", ""):
        return False
    return told["body_sha256"] == body_sha256(work["body_bytes"])


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
    parser.add_argument("--gate", default="", help="file with the begin")
    await Caller(parser.parse_args()).run()


if __name__ == "__main__":
    asyncio.run(main())
