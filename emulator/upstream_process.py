"""An upstream as a process, with registration, draining and crash faults."""

import asyncio
import base64
import json
import signal
from typing import Any

import msgspec
from tornado import httpclient

from emulator.upstream import Upstream
from emulator.upstream import UpstreamPlan

HEARTBEAT_INTERVAL_S = 0.3
# Time that a draining upstream still serves requests.
DRAIN_S = 2.5
CRASH_CODE = 70


class _Registrar:
    """Writes and removes an upstream's registration in the store."""

    def __init__(self, *, store: str, upstream: Upstream) -> None:
        self._url = f"http://{store}/operator"
        self._upstream = upstream
        self._client = httpclient.AsyncHTTPClient()

    async def write(self) -> None:
        text = json.dumps(self._upstream.next_registration())
        value = base64.b64encode(text.encode()).decode()
        await self._send({"puts": [{"key": self._key(), "value": value}]})

    async def remove(self) -> None:
        await self._send({"remove": [self._key()]})

    def _key(self) -> str:
        return f"servers/{self._upstream.upstream_id}"

    async def _send(self, change: dict[str, Any]) -> None:
        try:
            await self._client.fetch(
                self._url, method="POST", body=json.dumps(change)
            )
        except OSError as error:
            # The store is unreachable; the next heartbeat writes it again.
            print(f"registration not written: {error}", flush=True)


async def _run(
    address: str,
    store: str,
    plan: UpstreamPlan,
    announce: str,
    upstream_id: str,
) -> int:
    upstream = Upstream(plan=plan, upstream_id=upstream_id)
    ip, _, port = address.rpartition(":")
    upstream.listen(ip, int(port))
    upstream.address = announce or upstream.address
    registrar = _Registrar(store=store, upstream=upstream)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    print(f"upstream {upstream.upstream_id} at {address}", flush=True)
    while not stopping.is_set():
        if not upstream.faults.unregistered:
            await registrar.write()
        waits = (stopping.wait(), upstream.crashed.wait())
        tasks = [asyncio.ensure_future(wait) for wait in waits]
        await asyncio.wait(
            tasks,
            timeout=HEARTBEAT_INTERVAL_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in tasks:
            task.cancel()
        if upstream.crashed.is_set():
            await upstream.close()
            return CRASH_CODE
    upstream.draining = True
    await registrar.write()
    await asyncio.sleep(DRAIN_S)
    await registrar.remove()
    await upstream.close()
    return 0


def main(
    address: str,
    store: str,
    plan: str | dict[str, Any],
    announce: str = "",
    upstream_id: str = "",
) -> None:
    """Runs an upstream until SIGTERM or a crash.

    Args:
      address: `ip:port` to listen on.
      store: `ip:port` of the store.
      plan: behaviour, as JSON or decoded; see `UpstreamPlan`.
      announce: address to register; the listening address by default.
      upstream_id: id of an earlier incarnation to reuse; empty for a new id.
    """
    if isinstance(plan, str):
        plan = json.loads(plan)
    decoded = msgspec.convert(plan, UpstreamPlan)
    code = asyncio.run(_run(address, store, decoded, announce, upstream_id))
    raise SystemExit(code)
