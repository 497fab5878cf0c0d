"""Plays cuts between entries and upstreams, and records first tries.

Callers send to all entries alike, or to those that their look-ups name, and
never try again. The processes and their links are those of the emulator.
"""

import asyncio
import collections
import json
from pathlib import Path
import random
import time
from typing import NamedTuple
import uuid

from tornado import httpclient

from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from emulator.deployment import Deployment
from emulator.deployment import RouteRule
from emulator.deployment import Service
from emulator.proxy import ProxyFault
from emulator.world import World

SETTLE_S = 5.0
BEFORE_S = 3.0
AFTER_S = 3.0
DEADLINE_MS = 2500
_CONNECTION_LIMIT_S = 1.0
# A body that entries do not buffer.
_UPLOAD_BYTES = 700_000
_OBJECTS = 40
_REUSED_SHARE = 0.7
_SIGHT_INTERVAL_S = 0.25
# Callers that follow look-ups: how many, for how long they keep one, and what
# part of them keeps it for three times as long.
_LOOKING_CALLERS = 60
_LOOKUP_TTL_S = 2.0
_LONG_TTL_SHARE = 0.3
_LONG_TTL_FACTOR = 3.0

DEPLOYMENT = Deployment(
    zones={
        "a1": "east",
        "a2": "east",
        "a3": "east",
        "b1": "west",
        "b2": "west",
    },
    gateways={"a1": 2, "a2": 1, "a3": 1, "b1": 1, "b2": 1},
    services=[
        Service(
            name="service",
            upstreams={"a1": 2, "a2": 2, "a3": 1, "b1": 2, "b2": 2},
            slots=4,
            work_ms=120.0,
            cold_s=2.0,
        )
    ],
    routes=[
        RouteRule(prefix="/safe/", service="service", rate_per_s=30.0),
        RouteRule(
            prefix="/unsafe/", service="service", kind="unsafe", rate_per_s=10.0
        ),
        RouteRule(
            prefix="/upload/",
            service="service",
            kind="upload",
            rate_per_s=3.0,
            body_bytes=_UPLOAD_BYTES,
        ),
    ],
)


class FirstTry(NamedTuple):
    """Describes a request and its answer.

    Attributes:
      gateway: entry that got it.
      request: its id.
      prefix: path prefix of its route.
      sent_s: when it was sent, in seconds from the cut.
      took_s: time until its response, in seconds.
      status: status of the response, 0 if there was none.
      complete: whether the upstream's whole body arrived.
      retry_after_s: when the caller is asked to return, in seconds; 0 if it
        is not.
    """

    gateway: str
    request: str
    prefix: str
    sent_s: float
    took_s: float
    status: int
    complete: bool
    retry_after_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether it was answered with an upstream's whole response."""
        return self.status == 200 and self.complete


class Cut(NamedTuple):
    """Describes a cut.

    Attributes:
      fault: what happens on the links to upstreams.
      zones: zones of the entries whose links are cut.
      span_s: how long it lasts, in seconds.
      gap_s: if not 0, the links are cut and healed in turns of this length.
      upstream_zones: zones of the upstreams that are cut off; all if empty.
    """

    fault: ProxyFault
    zones: frozenset[str]
    span_s: float
    gap_s: float = 0.0
    upstream_zones: frozenset[str] = frozenset()


class Sight(NamedTuple):
    """Holds what look-ups name at one moment, by entry that was asked."""

    at_s: float
    named: dict[str, list[str]]


class PartitionResult(NamedTuple):
    """Holds what callers, upstreams and logs show of a cut.

    Attributes:
      cut: the cut.
      cut_gateways: the entries whose links it cuts.
      tries: first tries of all callers.
      runs: number of runs by request.
      events: log lines with a number, by entry.
      sights: look-ups over time.
      statuses: status pages of the entries at the end of the cut.
      final_statuses: the same, at the end of the play.
      cpu_s: processor time of the entries, in seconds.
    """

    cut: Cut
    cut_gateways: frozenset[str]
    tries: list[FirstTry]
    runs: dict[str, int]
    events: dict[str, list[dict[str, object]]]
    sights: list[Sight]
    statuses: dict[str, dict[str, object]]
    final_statuses: dict[str, dict[str, object]]
    cpu_s: dict[str, float]

    def first_tries(
        self, *, cut: bool, from_s: float, to_s: float
    ) -> list[FirstTry]:
        """Returns the tries at cut or other entries in a span of the play."""
        return [
            each
            for each in self.tries
            if (each.gateway in self.cut_gateways) == cut
            and from_s <= each.sent_s < to_s
        ]


class _LookingCaller:
    """A caller that keeps the entries of its last look-up for a while."""

    def __init__(self, *, zone: str, ttl_s: float) -> None:
        self.zone = zone
        self.ttl_s = ttl_s
        self.gateways: list[str] = []
        self.until_s = 0.0


class PartitionRig:
    """Plays one cut on a deployment."""

    def __init__(
        self,
        *,
        cut: Cut,
        directory: Path,
        seed: int,
        deployment: Deployment = DEPLOYMENT,
        source: Path | None = None,
        looks_up: bool = False,
    ) -> None:
        """Starts nothing.

        Args:
          cut: the cut to play.
          directory: directory for settings and logs.
          seed: seed of the load.
          deployment: the deployment, with its load.
          source: checkout whose entries run; this one if it is None.
          looks_up: whether callers send to the entries that look-ups name.
        """
        options = {} if source is None else {"source": source}
        self.world = World(
            deployment=deployment,
            directory=directory,
            zone_links=True,
            **options,
        )
        self._deployment = deployment
        self._cut = cut
        self._directory = directory
        self._rng = random.Random(seed)
        self._idle: dict[str, list] = collections.defaultdict(list)
        self._tries: list[FirstTry] = []
        self._sights: list[Sight] = []
        self._statuses: dict[str, dict[str, object]] = {}
        self._cut_s = 0.0
        self._callers: list[_LookingCaller] = []
        if looks_up:
            zones = list(deployment.zones)
            for number in range(_LOOKING_CALLERS):
                long = self._rng.random() < _LONG_TTL_SHARE
                self._callers.append(
                    _LookingCaller(
                        zone=zones[number % len(zones)],
                        ttl_s=_LOOKUP_TTL_S * (_LONG_TTL_FACTOR if long else 1),
                    )
                )

    async def play(self) -> PartitionResult:
        """Plays the cut under load, and returns what was seen."""
        try:
            await self.world.start()
            await self.world.configure_deployment()
            await self.world.until_ready()
            await asyncio.sleep(SETTLE_S)
            self._cut_s = time.monotonic() + BEFORE_S
            await asyncio.gather(
                self._send_all(), self._play_cut(), self._look_up()
            )
            final_statuses = await self._read_statuses()
            cpu_s = self._cpu_times_s()
            for name in self.world.upstreams:
                await self.world.collect_runs(name)
            await self._collect()
        finally:
            await self.world.end()
        runs = collections.Counter(
            run.request for run in self.world.upstream_runs.values()
        )
        return PartitionResult(
            cut=self._cut,
            cut_gateways=frozenset(
                name
                for name in self.world.gateways
                if self.world.zone_of(name) in self._cut.zones
            ),
            tries=self._tries,
            runs=dict(runs),
            events={name: self._events(name) for name in self.world.gateways},
            sights=self._sights,
            statuses=self._statuses,
            final_statuses=final_statuses,
            cpu_s=cpu_s,
        )

    async def _collect(self) -> None:
        """Collects what a subclass needs before the processes end."""

    def _cpu_times_s(self) -> dict[str, float]:
        found = {}
        for name in self.world.gateways:
            stat = Path(f"/proc/{self.world.procs[name].pid}/stat").read_text()
            ticks = stat.rpartition(")")[2].split()[11:13]
            found[name] = sum(int(each) for each in ticks) / 100
        return found

    def _events(self, name: str) -> list[dict[str, object]]:
        found = []
        text = (self._directory / f"{name}.log").read_text(encoding="utf-8")
        for line in text.splitlines():
            if line.startswith("{"):
                found.append(json.loads(line))
        return found

    async def _play_cut(self) -> None:
        await asyncio.sleep(self._cut_s - time.monotonic())
        ends_s = self._cut_s + self._cut.span_s
        while time.monotonic() < ends_s:
            await self._apply()
            left_s = ends_s - time.monotonic()
            await asyncio.sleep(min(left_s, self._cut.gap_s or left_s))
            if time.monotonic() >= ends_s - 0.1:
                self._statuses = await self._read_statuses()
            await self._heal()
            if self._cut.gap_s:
                await asyncio.sleep(self._cut.gap_s)

    def _cut_links(self) -> list:
        zones = self._cut.upstream_zones
        return [
            proxy
            for (zone, upstream), proxy in self.world.links.items()
            if zone in self._cut.zones
            and (not zones or self.world.zone_of(upstream) in zones)
        ]

    async def _apply(self) -> None:
        for proxy in self._cut_links():
            await proxy.cut(self._cut.fault)

    async def _heal(self) -> None:
        for proxy in self._cut_links():
            await proxy.heal()

    async def _read_statuses(self) -> dict[str, dict[str, object]]:
        client = httpclient.AsyncHTTPClient()
        found = {}
        for name, gateway in self.world.gateways.items():
            address = gateway.addresses["operators"]
            response = await client.fetch(f"http://{address}/status")
            found[name] = json.loads(response.body)
        return found

    async def _look_up(self) -> None:
        client = httpclient.AsyncHTTPClient()
        names = {address: name for name, address in self.world.callers.items()}
        ends_s = self._cut_s + self._cut.span_s + AFTER_S
        while time.monotonic() < ends_s:
            named = {}
            for name, gateway in self.world.gateways.items():
                region = self._deployment.zones[gateway.zone]
                address = gateway.addresses["lookups"]
                response = await client.fetch(
                    f"http://{address}/resolve?name=x&region={region}"
                    f"&zone={gateway.zone}"
                )
                addresses = json.loads(response.body)["addresses"]
                named[name] = [names[each] for each in addresses]
            at_s = time.monotonic() - self._cut_s
            self._sights.append(Sight(at_s, named))
            await asyncio.sleep(_SIGHT_INTERVAL_S)

    async def _send_all(self) -> None:
        ends_s = self._cut_s + self._cut.span_s + AFTER_S
        async with asyncio.TaskGroup() as group:
            for route in self._deployment.routes:
                group.create_task(self._send_route(group, route, ends_s))

    async def _send_route(
        self, group: asyncio.TaskGroup, route: RouteRule, ends_s: float
    ) -> None:
        while time.monotonic() < ends_s:
            await asyncio.sleep(self._rng.expovariate(route.rate_per_s))
            group.create_task(self._send(self._pick_gateway(), route))

    def _pick_gateway(self) -> str:
        if not self._callers:
            return self._rng.choice(sorted(self.world.callers))
        caller = self._rng.choice(self._callers)
        if time.monotonic() >= caller.until_s and self._sights:
            caller.gateways = self._sights[-1].named[self._nearest(caller.zone)]
            caller.until_s = time.monotonic() + caller.ttl_s
        return self._rng.choice(caller.gateways or sorted(self.world.callers))

    def _nearest(self, zone: str) -> str:
        """Returns the entry that a caller of a zone asks."""
        for name in self.world.gateways:
            if self.world.zone_of(name) == zone:
                return name
        raise ValueError(f"no entry in zone {zone}")

    async def _send(self, gateway: str, route: RouteRule) -> None:
        request = uuid.uuid4().hex[:16]
        key = str(self._rng.randrange(_OBJECTS))
        message = EmulatedRequest(
            request=request,
            path=f"{route.prefix}{key}",
            key=key,
            deadline_ms=DEADLINE_MS,
            body=b"x" * route.body_bytes,
        )
        sent_s = time.monotonic()
        response = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                response = await self._exchange(gateway, message)
        except (OSError, EOFError, ValueError, TimeoutError):
            response = None
        self._tries.append(
            FirstTry(
                gateway=gateway,
                request=request,
                prefix=route.prefix,
                sent_s=sent_s - self._cut_s,
                took_s=time.monotonic() - sent_s,
                status=response.status if response else 0,
                complete=response is not None and response.is_complete(request),
                retry_after_s=response.retry_after_s if response else 0.0,
            )
        )

    async def _exchange(self, gateway: str, message: EmulatedRequest):
        idle = self._idle[gateway]
        if idle and self._rng.random() < _REUSED_SHARE:
            reader, writer = idle.pop()
        else:
            ip, _, port = self.world.callers[gateway].rpartition(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), _CONNECTION_LIMIT_S
            )
        try:
            writer.write(encode_request(message))
            response = await read_response(reader)
        except BaseException:
            writer.close()
            raise
        if response.keeps_alive:
            idle.append((reader, writer))
        else:
            writer.close()
        return response


def play(*, cut: Cut, directory: Path, seed: int, **options) -> PartitionResult:
    """Plays a cut in an event loop of its own."""

    async def run() -> PartitionResult:
        rig = PartitionRig(cut=cut, directory=directory, seed=seed, **options)
        try:
            return await rig.play()
        finally:
            httpclient.AsyncHTTPClient().close()

    return asyncio.run(run())
