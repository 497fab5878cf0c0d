"""The processes of a deployment: a store, upstreams and gateways.

Distances are proxies in this process: from each zone to each upstream and to
what each gateway serves other gateways, and from each gateway to the store.
"""

import asyncio
import json
import os
from pathlib import Path
import signal
import sys
import time
from typing import Any, NamedTuple
import uuid

import msgspec
from tornado import httpclient

from emulator import documents
from emulator.datagrams import DatagramWay
from emulator.deployment import Deployment
from emulator.deployment import Service
from emulator.ports import free_address
from emulator.proxy import HarmfulProxy
from emulator.upstream import UpstreamPlan

START_LIMIT_S = 15.0
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

    @property
    def pid(self) -> int:
        """Returns its id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Returns its exit code, None while it runs."""
        return self._process.returncode

    def signal(self, number: int) -> None:
        """Sends it a signal if it runs."""
        if self.alive:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for its end; returns its exit code."""
        return await self._process.wait()


class Ran(NamedTuple):
    """One run as its upstream saw it.

    Attributes:
      upstream: name of the upstream's place.
      request: the request's id.
      path: its path.
      at_s: when it began, monotonic seconds of the machine.
      ended: how it ended, empty while it runs.
    """

    upstream: str
    request: str
    path: str
    at_s: float
    ended: str


class World:
    """Starts and ends the processes of one deployment.

    Attributes:
      deployment: what is emulated.
      callers: callers' address of each gateway.
      upstream_ids: the id under which each upstream registered last.
      ran: what upstreams told of their runs, over all incarnations.
      ways: for each zone and gateway, the way of datagrams between them,
        where places are apart.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        directory: Path,
        source: Path = _ROOT,
    ) -> None:
        """Chooses addresses; nothing is started yet.

        Args:
          deployment: what is emulated.
          directory: where settings and logs are written.
          source: root of the checkout whose gateways run.
        """
        self.deployment = deployment
        self.directory = directory
        self._source = source
        self.store = free_address()
        self.procs: dict[str, Proc] = {}
        self.upstreams: dict[str, str] = {}
        self.upstream_ids: dict[str, str] = {}
        self.proxies: dict[str, HarmfulProxy] = {}
        self.store_proxies: dict[str, HarmfulProxy] = {}
        self.gateways: dict[str, documents.GatewayPlace] = {}
        self.callers: dict[str, str] = {}
        self.ran: dict[tuple[str, str, float], Ran] = {}
        self.version = 0
        self._places: dict[str, tuple[Service, str]] = {}
        self._zone_of: dict[str, str] = {}
        self._entrances: dict[str, str] = {}
        self.ways: dict[tuple[str, str], DatagramWay] = {}
        self._way_addresses: dict[str, dict[str, str]] = {}
        self._views: dict[str, str] = {}
        self._all_proxies: list[HarmfulProxy] = []
        self._client = httpclient.AsyncHTTPClient()
        for number, place in enumerate(deployment.upstream_places()):
            self._places[f"u{number}"] = place
            self._zone_of[f"u{number}"] = place[1]
        for number, zone in enumerate(deployment.gateway_zones()):
            self._zone_of[f"g{number}"] = zone

    async def start(self) -> None:
        """Starts everything; gateways may still be starting."""
        await self._start_store()
        for name in self._places:
            await self._place_upstream(name)
            await self.start_upstream(name)
        for name in self._zone_of:
            if name not in self._places:
                await self._place_gateway(name)

    async def _start_store(self) -> None:
        options = ["--address", self.store]
        if self.deployment.delayed:
            for zone in self.deployment.zones:
                self._views[zone] = free_address()
            by_address = {at: zone for zone, at in self._views.items()}
            options += ["--views", json.dumps(by_address)]
        await self._spawn("store", "store", *options)
        await _until_open(self.store)

    async def _proxy(self, target: str, distance_s: float) -> str:
        proxy = HarmfulProxy(target=target, distance_s=distance_s)
        self._all_proxies.append(proxy)
        address = free_address()
        await proxy.listen(address)
        return address

    async def _place_upstream(self, name: str) -> None:
        self.upstreams[name] = free_address()
        self._entrances[name] = await self._proxy(self.upstreams[name], 0.0)
        self.proxies[name] = self._all_proxies[-1]
        if not self.deployment.delayed:
            return
        await self._make_ways(name, self._entrances[name])

    async def _make_ways(self, name: str, address: str) -> dict[str, str]:
        """Makes a way from each zone to an address of a place."""
        ways: dict[str, str] = {}
        for zone in self.deployment.zones:
            distance_s = self.deployment.delay_s(zone, self.zone_of(name))
            ways[zone] = await self._proxy(address, distance_s)
        self._way_addresses[address] = ways
        await self._client.fetch(
            f"http://{self.store}/ways",
            method="PUT",
            body=json.dumps(self._way_addresses),
        )
        return ways

    async def _make_gateway_ways(self, name: str, address: str) -> None:
        """Makes ways for connections and for datagrams to a gateway."""
        for zone, way in (await self._make_ways(name, address)).items():
            datagrams = DatagramWay(
                target=address,
                distance_s=self.deployment.delay_s(zone, self.zone_of(name)),
            )
            await datagrams.listen(way)
            self.ways[zone, name] = datagrams

    async def _spawn(
        self,
        name: str,
        *command: str,
        environment: dict[str, str] | None = None,
    ) -> None:
        module = "emulator" if command else self._gateway_module()
        root = _ROOT if command else self._source
        log = (self.directory / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *command,
            cwd=root,
            env={
                **os.environ,
                "PYTHONPATH": str(root),
                **(environment or {}),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.procs[name] = Proc(name=name, process=process)

    def _gateway_module(self) -> str:
        """Returns how the checkout that is played starts its gateway."""
        package = self._source / "almondstair" / "gateway"
        if (package / "__main__.py").exists():
            return "almondstair.gateway"
        return "almondstair.gateway.daemon"

    async def start_upstream(self, name: str, *, same_id: bool = False) -> None:
        """Starts an upstream; a later start is another incarnation.

        Args:
          name: the upstream's name here.
          same_id: whether it takes the id of its start before again.
        """
        if not same_id or name not in self.upstream_ids:
            self.upstream_ids[name] = f"i-{uuid.uuid4().hex[:10]}"
        service, zone = self._places[name]
        plan = UpstreamPlan(
            service=service.name,
            zone=zone,
            slots=service.slots,
            queue=service.queue,
            work_s=service.work_ms / 1000,
            keeps=service.keeps,
            cold_s=service.cold_s,
            cold_rate_per_s=service.cold_rate_per_s,
        )
        await self._spawn(
            name,
            "upstream",
            "--address",
            self.upstreams[name],
            "--store",
            self.store,
            "--announce",
            self._entrances[name],
            "--plan",
            msgspec.json.encode(plan).decode(),
            "--upstream_id",
            self.upstream_ids[name],
        )

    def zone_of(self, name: str) -> str:
        """Returns the zone of an upstream or gateway."""
        return self._zone_of[name]

    async def _place_gateway(self, name: str) -> None:
        zone = self.zone_of(name)
        store_zone = self.deployment.store_zone or next(
            iter(self.deployment.zones)
        )
        target = self._views.get(zone, self.store)
        store = await self._proxy(
            target, self.deployment.delay_s(zone, store_zone)
        )
        self.store_proxies[name] = self._all_proxies[-1]
        addresses = {part: free_address() for part in documents.PARTS}
        self.gateways[name] = documents.GatewayPlace(
            name=name,
            zone=zone,
            addresses=addresses,
            store=store,
            zones=self.deployment.zones,
            bounds=documents.BOUNDS | self.deployment.bounds,
        )
        if self.deployment.delayed:
            await self._make_gateway_ways(name, addresses["peers"])
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

    async def until_ready(self) -> None:
        """Waits until every gateway says that it takes callers.

        Raises:
          TimeoutError: one of them does not within `START_LIMIT_S`.
        """
        until_s = time.monotonic() + START_LIMIT_S
        waiting = set(self.gateways)
        while waiting:
            for name in sorted(waiting):
                if await self.is_ready(name):
                    waiting.discard(name)
            if time.monotonic() > until_s:
                raise TimeoutError(f"not ready: {', '.join(sorted(waiting))}")
            await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Whether a gateway says that it takes callers."""
        address = self.gateways[name].addresses["ready"]
        try:
            answer = await self._client.fetch(
                f"http://{address}/ready", raise_error=False
            )
        except OSError:
            return False
        return answer.code == 200

    # What the operator does.

    async def operate(self, **change: Any) -> None:
        """Writes to the store as the operator."""
        body = json.dumps(documents.operator_change(**change))
        url = f"http://{self.store}/operator"
        await self._client.fetch(url, method="POST", body=body)

    async def configure_deployment(self) -> None:
        """Writes the configuration of the deployment's own routes."""
        self.version += 3
        text = documents.deployment_text(self.version, self.deployment)
        await self.operate(puts={"op/config": text})

    async def configure(self, prefixes: list[str]) -> None:
        """Writes the next configuration, of routes by their prefixes."""
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

    async def store_calls(self) -> dict[str, int]:
        """Returns how often the store was called, by kind."""
        answer = await self._client.fetch(f"http://{self.store}/faults")
        calls: dict[str, int] = json.loads(answer.body)["calls"]
        for own in ("operator", "faults"):
            calls.pop(own, None)
        return calls

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
        for proxy in self._all_proxies:
            await proxy.close()
        for way in self.ways.values():
            way.close()


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
