"""The processes of a soak: a store, upstreams behind proxies, gateways."""

import asyncio
import json
import os
from pathlib import Path
import signal
import socket
import sys
import time
from typing import Any

from tornado import httpclient

from emulator import documents
from soak.checks import Ran
from soak.proxy import HarmfulProxy

ZONES = {"a1": "east", "a2": "east", "b1": "west"}
START_LIMIT_S = 15.0
KILLED_GATEWAY_BACK_S = 0.5
_ROOT = Path(__file__).resolve().parents[1]


class Proc:
    """One process, ended by its id."""

    def __init__(self, *, name: str, process: asyncio.subprocess.Process):
        """Keeps a process that was started here."""
        self.name = name
        self._process = process

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._process.returncode is None

    def signal(self, number: int) -> None:
        """Sends it a signal if it runs."""
        if self.alive:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for its end; returns its exit code."""
        return await self._process.wait()


class World:
    """Starts and ends the processes of one run.

    Attributes:
      callers: callers' address of each gateway.
      ran: what upstreams told of their runs, over all incarnations.
    """

    def __init__(self, *, directory: Path, upstreams: int, gateways: int):
        """Chooses addresses; nothing is started yet."""
        self.directory = directory
        self.store = free_address()
        self.procs: dict[str, Proc] = {}
        self.upstreams: dict[str, str] = {}
        self.proxies: dict[str, HarmfulProxy] = {}
        self.store_proxies: dict[str, HarmfulProxy] = {}
        self.gateways: dict[str, documents.GatewayPlace] = {}
        self.callers: dict[str, str] = {}
        self.ran: dict[tuple[str, str, float], Ran] = {}
        self.version = 0
        self._zones = list(ZONES)
        self._upstream_count = upstreams
        self._gateway_count = gateways
        self._client = httpclient.AsyncHTTPClient()

    async def start(self) -> None:
        """Starts everything and waits until a gateway is ready."""
        await self._spawn("store", "store", "--address", self.store)
        await _until_open(self.store)
        for number in range(self._upstream_count):
            name = f"u{number}"
            self.upstreams[name] = free_address()
            self.proxies[name] = HarmfulProxy(target=self.upstreams[name])
            await self.proxies[name].listen(self._proxy_address(name))
            await self.start_upstream(name)
        for number in range(self._gateway_count):
            await self._place_gateway(f"g{number}")

    def _proxy_address(self, name: str) -> str:
        path = self.directory / f"{name}.proxy"
        if not path.exists():
            path.write_text(free_address(), encoding="utf-8")
        return path.read_text(encoding="utf-8")

    async def _spawn(
        self,
        name: str,
        *command: str,
        environment: dict[str, str] | None = None,
    ) -> None:
        module = "almondstair.gateway.daemon" if not command else "emulator"
        log = (self.directory / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *command,
            cwd=_ROOT,
            env={**os.environ, **(environment or {})},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.procs[name] = Proc(name=name, process=process)

    async def start_upstream(self, name: str) -> None:
        """Starts an upstream; a later start is another incarnation."""
        zone = self.zone_of(name)
        plan = {"zone": zone, "slots": 4, "work_s": 0.04, "cold_s": 1.0}
        await self._spawn(
            name,
            "upstream",
            "--address",
            self.upstreams[name],
            "--store",
            self.store,
            "--announce",
            self._proxy_address(name),
            "--plan",
            json.dumps(plan),
        )

    def zone_of(self, name: str) -> str:
        """Returns the zone of an upstream or gateway."""
        return self._zones[int(name[1:]) % len(self._zones)]

    async def _place_gateway(self, name: str) -> None:
        addresses = {part: free_address() for part in documents.PARTS}
        store = free_address()
        self.store_proxies[name] = HarmfulProxy(target=self.store)
        await self.store_proxies[name].listen(store)
        self.gateways[name] = documents.GatewayPlace(
            name=name,
            zone=self.zone_of(name),
            addresses=addresses,
            store=store,
            zones=ZONES,
        )
        await self.start_gateway(name)
        self.callers[name] = addresses["callers"]

    async def start_gateway(self, name: str) -> None:
        """Starts a gateway at its place."""
        place = self.gateways[name]
        path = self.directory / f"{name}.toml"
        path.write_text(documents.settings_text(place), encoding="utf-8")
        port = place.addresses["operators"].rpartition(":")[2]
        await self._spawn(
            name,
            environment={
                "ALMONDSTAIR_BOOT": str(path),
                "ALMONDSTAIR_OPERATOR_PORT": port,
            },
        )

    # What the operator does.

    async def operate(self, **change: Any) -> None:
        """Writes to the store as the operator."""
        body = json.dumps(documents.operator_change(**change))
        url = f"http://{self.store}/operator"
        await self._client.fetch(url, method="POST", body=body)

    async def configure(self, prefixes: list[str]) -> None:
        """Writes the next configuration."""
        self.version += 3
        rules = []
        for prefix in prefixes:
            kind = "unsafe" if prefix.startswith("/unsafe") else "safe"
            rules.append(documents.route(prefix, kind=kind))
        text = documents.configuration_text(self.version, rules)
        await self.operate(puts={"op/config": text})

    async def forget_history(self) -> None:
        """Has the store drop its history."""
        await self._client.fetch(
            f"http://{self.store}/faults", method="POST", body=b""
        )

    async def faults(self, address: str, path: str, **faults: Any) -> None:
        """Orders faults of the store or of an upstream."""
        try:
            await self._client.fetch(
                f"http://{address}{path}", method="PUT", body=json.dumps(faults)
            )
        except OSError:
            # It was ended by another fault meanwhile.
            return

    async def collect(self, name: str) -> None:
        """Asks an upstream for its runs, before it is ended."""
        try:
            answer = await self._client.fetch(
                f"http://{self.upstreams[name]}/emulator/runs",
                request_timeout=2.0,
            )
        except (OSError, httpclient.HTTPError):
            return
        for run in json.loads(answer.body):
            row = Ran(
                upstream=name,
                request=run["request"],
                path=run["path"],
                at_s=run["at_s"],
                ended=run["ended"],
            )
            self.ran[(name, row.request, row.at_s)] = row

    async def end(self) -> None:
        """Ends every process and proxy."""
        for proc in self.procs.values():
            proc.signal(signal.SIGCONT)
            proc.signal(signal.SIGKILL)
        for proc in self.procs.values():
            await proc.wait()
        for proxy in (*self.proxies.values(), *self.store_proxies.values()):
            await proxy.close()


def free_address() -> str:
    """Returns an `ip:port` that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def _until_open(address: str) -> None:
    ip, _, port = address.rpartition(":")
    until_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < until_s:
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return
    raise TimeoutError(f"nothing listens at {address}")
