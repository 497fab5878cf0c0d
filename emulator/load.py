"""Callers of a deployment: an open-loop load that follows the platform's rules.

Requests come at times that a seed gives, whatever became of those before. A
caller asks the entries for addresses, picks one at random for each new
connection, and tries again as the platform says: what is safe after any
failure, everything else only after a promise that it has not run.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
import json
import random
import time
from typing import NamedTuple
from urllib import parse

from tornado import httpclient

from emulator.caller_wire import Ask
from emulator.caller_wire import Reply
from emulator.caller_wire import read_reply
from emulator.caller_wire import write_ask
from emulator.deployment import RouteRule
from emulator.documents import HOST
from emulator.world import World

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
# Statuses after which nobody tries again.
FINAL = frozenset((400, 401, 404, 413, 431))
CONNECT_TIMEOUT_S = 1.0
# The part of the time left that a caller lets a time to come back take.
RETRY_AFTER_SHARE = 1 / 3
# Tries of one request, the first one with them.
TRIES = 2
LOOK_UP_TIMEOUT_S = 1.0


class Arrival(NamedTuple):
    """One request of the plan.

    Attributes:
      at_s: when it comes, in seconds from the start.
      zone: its caller's availability zone.
      route: its route.
      key: the object that it is about.
      number: its number in the plan.
    """

    at_s: float
    zone: str
    route: RouteRule
    key: str
    number: int


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
      arrival: the request.
      status: status of the last answer, 0 if there was none.
      served: whether it was an upstream's whole answer.
      latency_s: from its arrival to the last answer, in seconds.
      tries: how often it was sent.
    """

    arrival: Arrival
    status: int
    served: bool
    latency_s: float
    tries: int


def plan(
    *, routes: list[RouteRule], zones: list[str], seed: int, seconds: float
) -> list[Arrival]:
    """Returns the requests of a seed in the order of their times.

    Args:
      routes: routes with their rates over all zones.
      zones: availability zones of the callers.
      seed: the seed.
      seconds: length of the load.
    """
    found = []
    for route in routes:
        # A string seeds alike in every process.
        chance = random.Random(f"{seed}/{route.prefix}")
        for at_s in _times(chance, route.rate_per_s, seconds):
            key = str(chance.randrange(route.objects))
            zone = chance.choice(zones)
            found.append((at_s, zone, route, key))
    found.sort(key=lambda row: row[0])
    return [Arrival(*row, number) for number, row in enumerate(found)]


def _times(
    chance: random.Random, rate_per_s: float, seconds: float
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    at_s = chance.expovariate(rate_per_s)
    while at_s < seconds:
        yield at_s
        at_s += chance.expovariate(rate_per_s)


class _Connection(NamedTuple):
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class ZoneCallers:
    """The callers of one availability zone."""

    def __init__(self, *, world: World, zone: str, seed: int) -> None:
        """Makes callers that know no entry yet."""
        self._world = world
        self._zone = zone
        self._chance = random.Random(f"{seed}/{zone}")
        self._addresses: list[str] = []
        self._addresses_until_s = 0.0
        self._idle: dict[str, deque[_Connection]] = {}
        self._client = httpclient.AsyncHTTPClient()
        self._zone_of_address = {}
        for name, address in world.callers.items():
            self._zone_of_address[address] = world.zone_of(name)

    async def send(self, arrival: Arrival) -> Outcome:
        """Sends a request until it is served, final, or out of time."""
        began_s = time.monotonic()
        until_s = began_s + arrival.route.deadline_ms / 1000
        tries = 0
        reply: Reply | None = None
        request = ""
        while tries < TRIES and time.monotonic() < until_s:
            tries += 1
            request = f"{arrival.number:012x}{tries:04x}"
            reply = await self._try(arrival, request, until_s, anew=tries > 1)
            left_s = until_s - time.monotonic()
            wait_s = pause_s(arrival.route, reply, left_s)
            if wait_s is None:
                break
            if tries < TRIES:
                await asyncio.sleep(wait_s)
        served = reply is not None and reply.status == 200
        return Outcome(
            arrival=arrival,
            status=reply.status if reply else 0,
            served=served and reply is not None and reply.whole(request),
            latency_s=time.monotonic() - began_s,
            tries=tries,
        )

    async def _try(
        self, arrival: Arrival, request: str, until_s: float, *, anew: bool
    ) -> Reply | None:
        route = arrival.route
        left_s = max(0.001, until_s - time.monotonic())
        ask = Ask(
            request=request,
            path=f"{route.prefix}{arrival.key}",
            key=arrival.key,
            deadline_ms=max(1, int(left_s * 1000)),
            body=b"x" * route.body_bytes,
        )
        try:
            async with asyncio.timeout(left_s):
                return await self._exchange(ask, anew=anew)
        except (OSError, EOFError, ValueError, TimeoutError):
            return None

    async def _exchange(self, ask: Ask, *, anew: bool) -> Reply:
        address = await self._pick()
        distance_s = self._distance_s(address)
        await asyncio.sleep(distance_s)
        connection = await self._connection(address, anew=anew)
        try:
            connection.writer.write(write_ask(ask))
            reply = await read_reply(connection.reader)
        except BaseException:
            connection.writer.close()
            raise
        await asyncio.sleep(distance_s)
        if reply.goes_on:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            connection.writer.close()
        return reply

    def _distance_s(self, address: str) -> float:
        deployment = self._world.deployment
        zone = self._zone_of_address.get(address, self._zone)
        way_s = deployment.delays.callers_ms / 1000
        if zone != self._zone:
            way_s += deployment.delay_s(self._zone, zone)
        return way_s

    async def _connection(self, address: str, *, anew: bool) -> _Connection:
        idle = self._idle.get(address)
        while idle and not anew:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), CONNECT_TIMEOUT_S
        )
        return _Connection(address, reader, writer)

    async def _pick(self) -> str:
        if time.monotonic() >= self._addresses_until_s:
            await self._look_up()
        if not self._addresses:
            raise OSError("no entry is known")
        return self._chance.choice(self._addresses)

    async def _look_up(self) -> None:
        """Asks an entry which to use; keeps what is known if none answers."""
        region = self._world.deployment.zones[self._zone]
        query = parse.urlencode(
            {"name": HOST, "region": region, "zone": self._zone}
        )
        for name in self._nearest():
            address = self._world.gateways[name].addresses["lookups"]
            try:
                answer = await self._client.fetch(
                    f"http://{address}/resolve?{query}",
                    request_timeout=LOOK_UP_TIMEOUT_S,
                )
            except (OSError, httpclient.HTTPError):
                continue
            told = json.loads(answer.body)
            if told["addresses"]:
                self._addresses = told["addresses"]
                self._addresses_until_s = time.monotonic() + told["ttlS"]
                return

    def _nearest(self) -> list[str]:
        deployment = self._world.deployment
        names = list(self._world.gateways)
        self._chance.shuffle(names)
        names.sort(
            key=lambda name: deployment.delay_s(
                self._zone, self._world.zone_of(name)
            )
        )
        return names[:3]

    def close(self) -> None:
        """Closes every kept connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.writer.close()


def pause_s(
    route: RouteRule, reply: Reply | None, left_s: float
) -> float | None:
    """Returns how long a caller waits before it tries again, None for never.

    Args:
      route: the request's route.
      reply: the answer; None if there was none.
      left_s: what is left of the caller's time, in seconds.
    """
    if left_s <= 0:
        return None
    if reply is None:
        return 0.0 if route.kind == "safe" else None
    if reply.status < 300 or reply.status in FINAL:
        return None
    if reply.status in PROMISES:
        wanted_s = float(reply.headers.get("retry-after", 0) or 0)
        return min(wanted_s, RETRY_AFTER_SHARE * left_s)
    return 0.0 if route.kind == "safe" else None


async def play(
    world: World, arrivals: list[Arrival], *, seed: int
) -> list[Outcome]:
    """Sends a plan and returns what became of each request."""
    zones = sorted({arrival.zone for arrival in arrivals})
    callers = {
        zone: ZoneCallers(world=world, zone=zone, seed=seed) for zone in zones
    }
    began_s = time.monotonic()
    tasks = []
    for arrival in arrivals:
        await asyncio.sleep(max(0.0, began_s + arrival.at_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(callers[arrival.zone].send(arrival)))
    outcomes = await asyncio.gather(*tasks)
    for each in callers.values():
        each.close()
    return list(outcomes)
