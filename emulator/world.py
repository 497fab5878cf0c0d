"""The processes of a deployment: a store, upstreams and gateways.

Proxies in this process emulate distances: from each zone to each upstream and
to each gateway's peer port, and from each gateway to the store.
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
from emulator.datagram_proxy import DatagramProxy
from emulator.deployment import Deployment
from emulator.deployment import Service
from emulator.ports import free_address
from emulator.proxy import FaultProxy
from emulator.proxy import ProxyFault
from emulator.statement_rules import AnswerHead
from emulator.upstream import UpstreamPlan

START_LIMIT_S = 15.0
_ROOT = Path(__file__).resolve().parents[1]


class ChildProcess:
    """A process of the deployment, signalled by its id."""

    def __init__(self, *, name: str, process: asyncio.subprocess.Process):
        """Wraps a started process."""
        self.name = name
        self._process = process

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process.returncode is None

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code, None while the process is running."""
        return self._process.returncode

    def signal(self, number: int) -> None:
        """Sends a signal if the process is running."""
        if self.alive:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the process to end and returns its exit code."""
        return await self._process.wait()


class UpstreamRun(NamedTuple):
    """A run of a request as its upstream reports it.

    Attributes:
      upstream: name of the upstream in the deployment.
      request: request id.
      path: path of the request.
      at_s: start time on the host's monotonic clock, in seconds.
      ended: how the run ended, empty while it runs.
    """

    upstream: str
    request: str
    path: str
    at_s: float
    ended: str


class World:
    """Starts and stops the processes of one deployment.

    Attributes:
      deployment: the emulated deployment.
      callers: address for callers by gateway.
      upstream_ids: id of the latest incarnation by upstream.
      upstream_answers: answers that upstreams reported, likewise.
      upstream_runs: runs that upstreams reported, over all incarnations.
      datagram_proxies: proxy by zone and gateway; empty without delays.
      links: with zone links, the proxy from each zone to each upstream.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        directory: Path,
        source: Path = _ROOT,
        zone_links: bool = False,
    ) -> None:
        """Names the upstreams and gateways; nothing is started yet.

        Args:
          deployment: the emulated deployment.
          directory: directory for settings and logs.
          source: root of the checkout whose gateways run.
          zone_links: whether each zone's gateways have their own proxies to
            upstreams, so that these links can be cut. Gateways of one zone
            share them, as they read each other's copies of the store.
        """
        self.deployment = deployment
        self.directory = directory
        self._source = source
        self.store = free_address()
        self.procs: dict[str, ChildProcess] = {}
        self.upstreams: dict[str, str] = {}
        self.upstream_ids: dict[str, str] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.store_proxies: dict[str, FaultProxy] = {}
        self.gateways: dict[str, documents.GatewayDescription] = {}
        self.callers: dict[str, str] = {}
        self.upstream_runs: dict[tuple[str, str, float], UpstreamRun] = {}
        self.upstream_answers: dict[tuple[str, float], AnswerHead] = {}
        self.version = 0
        self._upstream_sites: dict[str, tuple[Service, str]] = {}
        self._zone_of: dict[str, str] = {}
        self._proxy_addresses: dict[str, str] = {}
        self.datagram_proxies: dict[tuple[str, str], DatagramProxy] = {}
        self.links: dict[tuple[str, str], FaultProxy] = {}
        self._zone_addresses: dict[str, dict[str, str]] = {}
        self._store_views: dict[str, str] = {}
        self._all_proxies: list[FaultProxy] = []
        self._client = httpclient.AsyncHTTPClient()
        for number, site in enumerate(deployment.upstream_locations()):
            self._upstream_sites[f"u{number}"] = site
            self._zone_of[f"u{number}"] = site[1]
        for number, zone in enumerate(deployment.gateway_zones()):
            self._zone_of[f"g{number}"] = zone
        # Zones with addresses of their own for upstreams and gateways.
        self._views: list[str] = []
        if zone_links or deployment.has_delays:
            self._views = list(deployment.zones)

    async def start(self) -> None:
        """Starts all processes without waiting for the gateways' readiness."""
        await self._start_store()
        for name in self._upstream_sites:
            await self._set_up_upstream(name)
            await self.start_upstream(name)
        for name in self._zone_of:
            if name not in self._upstream_sites:
                await self._set_up_gateway(name)

    async def _start_store(self) -> None:
        options = ["--address", self.store]
        if self._views:
            for view in self._views:
                self._store_views[view] = free_address()
            by_address = {
                address: view for view, address in self._store_views.items()
            }
            options += ["--views", json.dumps(by_address)]
        await self._spawn("store", "store", *options)
        await _wait_until_open(self.store)

    async def _start_proxy(self, target: str, delay_s: float) -> str:
        proxy = FaultProxy(target=target, distance_s=delay_s)
        self._all_proxies.append(proxy)
        address = free_address()
        await proxy.listen(address)
        return address

    async def _set_up_upstream(self, name: str) -> None:
        self.upstreams[name] = free_address()
        self._proxy_addresses[name] = await self._start_proxy(
            self.upstreams[name], 0.0
        )
        self.proxies[name] = self._all_proxies[-1]
        if not self._views:
            return
        by_zone = await self._start_zone_proxies(
            name, self._proxy_addresses[name]
        )
        proxies = self._all_proxies[-len(by_zone) :]
        for zone, proxy in zip(by_zone, proxies, strict=True):
            self.links[zone, name] = proxy

    async def _start_zone_proxies(
        self, name: str, address: str
    ) -> dict[str, str]:
        """Starts a proxy from each zone to an address of a process."""
        by_zone: dict[str, str] = {}
        for zone in self._views:
            delay_s = self.deployment.delay_s(zone, self.zone_of(name))
            by_zone[zone] = await self._start_proxy(address, delay_s)
        self._zone_addresses[address] = by_zone
        await self._client.fetch(
            f"http://{self.store}/ways",
            method="PUT",
            body=json.dumps(self._zone_addresses),
        )
        return by_zone

    async def _start_gateway_proxies(self, name: str, address: str) -> None:
        """Starts TCP and datagram proxies from each zone to a gateway."""
        for zone, proxy_address in (
            await self._start_zone_proxies(name, address)
        ).items():
            proxy = DatagramProxy(
                target=address,
                delay_s=self.deployment.delay_s(zone, self.zone_of(name)),
            )
            await proxy.listen(proxy_address)
            self.datagram_proxies[zone, name] = proxy

    async def cut_links(self, zone: str, fault: ProxyFault) -> None:
        """Applies a fault to the links of a zone's gateways to upstreams."""
        for (linked, _), proxy in self.links.items():
            if linked == zone:
                await proxy.cut(fault)

    async def heal_links(self, zone: str) -> None:
        """Ends the fault of the links of a zone's gateways to upstreams."""
        for (linked, _), proxy in self.links.items():
            if linked == zone:
                await proxy.heal()

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
        self.procs[name] = ChildProcess(name=name, process=process)

    def _gateway_module(self) -> str:
        """Returns the gateway's main module in the checkout under test.

        A checkout without `__main__.py` starts it from `daemon`.
        """
        package = self._source / "almondstair" / "gateway"
        if (package / "__main__.py").exists():
            return "almondstair.gateway"
        return "almondstair.gateway.daemon"

    async def start_upstream(self, name: str, *, same_id: bool = False) -> None:
        """Starts a new incarnation of an upstream.

        Args:
          name: name of the upstream in the deployment.
          same_id: whether it reuses the id of its previous incarnation.
        """
        if not same_id or name not in self.upstream_ids:
            self.upstream_ids[name] = f"i-{uuid.uuid4().hex[:10]}"
        service, zone = self._upstream_sites[name]
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
            self._proxy_addresses[name],
            "--plan",
            msgspec.json.encode(plan).decode(),
            "--upstream_id",
            self.upstream_ids[name],
        )

    def zone_of(self, name: str) -> str:
        """Returns the zone of an upstream or gateway."""
        return self._zone_of[name]

    async def _set_up_gateway(self, name: str) -> None:
        zone = self.zone_of(name)
        store_zone = self.deployment.store_zone or next(
            iter(self.deployment.zones)
        )
        target = self._store_views.get(zone, self.store)
        store = await self._start_proxy(
            target, self.deployment.delay_s(zone, store_zone)
        )
        self.store_proxies[name] = self._all_proxies[-1]
        addresses = {
            listener: free_address() for listener in documents.LISTENERS
        }
        self.gateways[name] = documents.GatewayDescription(
            name=name,
            zone=zone,
            addresses=addresses,
            store=store,
            zones=self.deployment.zones,
            bounds=documents.BOUNDS | self.deployment.bounds,
        )
        if self.deployment.has_delays:
            await self._start_gateway_proxies(name, addresses["peers"])
            await self._start_zone_proxies(name, addresses["relays"])
        await self.start_gateway(name)
        self.callers[name] = addresses["callers"]

    async def start_gateway(self, name: str) -> None:
        """Writes a gateway's settings and starts it."""
        gateway = self.gateways[name]
        path = self.directory / f"{name}.toml"
        path.write_text(documents.settings_text(gateway), encoding="utf-8")
        port = gateway.addresses["operators"].rpartition(":")[2]
        await self._spawn(
            name,
            environment={
                "ALMONDSTAIR_BOOT": str(path),
                "ALMONDSTAIR_OPERATOR_PORT": port,
            },
        )

    async def until_ready(self) -> None:
        """Waits until every gateway is ready for callers.

        Raises:
          TimeoutError: a gateway is not ready within `START_LIMIT_S`.
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
        """Whether a gateway reports that it is ready for callers."""
        address = self.gateways[name].addresses["ready"]
        try:
            response = await self._client.fetch(
                f"http://{address}/ready", raise_error=False
            )
        except OSError:
            return False
        return response.code == 200

    # Operator actions.

    async def operate(self, **change: Any) -> None:
        """Writes to the store as the operator."""
        body = json.dumps(documents.operator_change(**change))
        url = f"http://{self.store}/operator"
        await self._client.fetch(url, method="POST", body=body)

    async def configure_deployment(self) -> None:
        """Writes the configuration of the deployment."""
        self.version += 3
        text = documents.deployment_text(self.version, self.deployment)
        await self.operate(puts={"op/config": text})

    async def configure(self, prefixes: list[str]) -> None:
        """Writes a new configuration with one route per prefix."""
        self.version += 3
        rules = []
        for prefix in prefixes:
            kind = "unsafe" if prefix.startswith("/unsafe") else "safe"
            rules.append(documents.route(prefix, kind=kind))
        text = documents.configuration_text(self.version, rules)
        await self.operate(puts={"op/config": text})

    async def drop_store_history(self) -> None:
        """Makes the store drop its history."""
        await self._client.fetch(
            f"http://{self.store}/faults", method="POST", body=b""
        )

    async def copy_store(self) -> None:
        """Takes a copy of the store's state."""
        await self._client.fetch(
            f"http://{self.store}/copy", method="PUT", body=b""
        )

    async def restore_store(self, *, again_s: float) -> None:
        """Restores the store from its copy.

        Args:
          again_s: time over which operators and upstreams write again what was
            lost, in seconds.
        """
        await self._client.fetch(
            f"http://{self.store}/copy",
            method="POST",
            body=json.dumps({"again_s": again_s}),
        )

    async def set_faults(self, address: str, path: str, **faults: Any) -> None:
        """Sets the faults of the store or of an upstream."""
        try:
            await self._client.fetch(
                f"http://{address}{path}", method="PUT", body=json.dumps(faults)
            )
        except OSError:
            # Another fault has ended the process in the meantime.
            return

    async def store_calls(self) -> dict[str, int]:
        """Returns the number of store calls by kind."""
        response = await self._client.fetch(f"http://{self.store}/faults")
        calls: dict[str, int] = json.loads(response.body)["calls"]
        for excluded in ("operator", "faults"):
            calls.pop(excluded, None)
        return calls

    async def collect_runs(self, name: str) -> None:
        """Collects the runs of an upstream that has not ended yet."""
        try:
            response = await self._client.fetch(
                f"http://{self.upstreams[name]}/emulator/runs",
                request_timeout=2.0,
            )
        except (OSError, httpclient.HTTPError):
            return
        for run in json.loads(response.body):
            row = UpstreamRun(
                upstream=name,
                request=run["request"],
                path=run["path"],
                at_s=run["at_s"],
                ended=run["ended"],
            )
            self.upstream_runs[(name, row.request, row.at_s)] = row

    async def collect_answers(self, name: str) -> None:
        """Collects the answers of an upstream that has not ended yet."""
        try:
            response = await self._client.fetch(
                f"http://{self.upstreams[name]}/emulator/answers",
                request_timeout=2.0,
            )
        except (OSError, httpclient.HTTPError):
            return
        for row in json.loads(response.body):
            answer = AnswerHead(**row)
            self.upstream_answers[(answer.request, answer.arrived_s)] = answer

    async def end(self) -> None:
        """Kills every process and closes every proxy."""
        for proc in self.procs.values():
            proc.signal(signal.SIGCONT)
            proc.signal(signal.SIGKILL)
        for proc in self.procs.values():
            await proc.wait()
        for proxy in self._all_proxies:
            await proxy.close()
        for datagram_proxy in self.datagram_proxies.values():
            datagram_proxy.close()


async def _wait_until_open(address: str) -> None:
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
