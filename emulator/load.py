"""Callers of a deployment: an open-loop load with the platform's retry rules.

A seed determines the arrival times, independent of earlier responses. A caller
looks up the addresses of entries, picks one at random for each attempt, and
retries as the platform requires: safe requests after any failure, all others
only after a response that guarantees that the request has not run.
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

from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import EmulatedResponse
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from emulator.deployment import RouteRule
from emulator.documents import HOST
from emulator.world import World

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses after which a request is not retried.
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
CONNECT_TIMEOUT_S = 1.0
# Maximum share of the remaining time that a caller waits for Retry-After.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Includes the first attempt.
MAX_ATTEMPTS = 2
LOOKUP_TIMEOUT_S = 1.0


class Arrival(NamedTuple):
    """One request of the plan.

    Attributes:
      at_s: arrival time, in seconds from the start.
      zone: availability zone of the caller.
      route: route of the request.
      key: affinity key.
      number: index in the plan.
    """

    at_s: float
    zone: str
    route: RouteRule
    key: str
    number: int


class Outcome(NamedTuple):
    """How a request ended for its caller.

    Attributes:
      arrival: the request.
      status: status of the last response, 0 if there was none.
      served: whether the last response was an upstream's complete one.
      latency_s: from the first attempt to the last response, in seconds.
      attempts: number of attempts.
    """

    arrival: Arrival
    status: int
    served: bool
    latency_s: float
    attempts: int


def plan(
    *, routes: list[RouteRule], zones: list[str], seed: int, seconds: float
) -> list[Arrival]:
    """Returns the requests of a seed in the order of arrival.

    Args:
      routes: routes with their rates over all zones.
      zones: availability zones of the callers.
      seed: seed of all random choices.
      seconds: length of the load.
    """
    rows = []
    for route in routes:
        # A string seed gives the same sequence in every process.
        rng = random.Random(f"{seed}/{route.prefix}")
        for at_s in _arrival_times(rng, route.rate_per_s, seconds):
            key = str(rng.randrange(route.objects))
            zone = rng.choice(zones)
            rows.append((at_s, zone, route, key))
    rows.sort(key=lambda row: row[0])
    return [Arrival(*row, number) for number, row in enumerate(rows)]


def _arrival_times(
    rng: random.Random, rate_per_s: float, seconds: float
) -> Iterator[float]:
    if rate_per_s <= 0:
        return
    at_s = rng.expovariate(rate_per_s)
    while at_s < seconds:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


class _Connection(NamedTuple):
    address: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class ZoneCallers:
    """The callers of one availability zone."""

    def __init__(self, *, world: World, zone: str, seed: int) -> None:
        """Creates callers without any entry addresses."""
        self._world = world
        self._zone = zone
        self._rng = random.Random(f"{seed}/{zone}")
        self._addresses: list[str] = []
        self._addresses_until_s = 0.0
        self._idle: dict[str, deque[_Connection]] = {}
        self._client = httpclient.AsyncHTTPClient()
        self._zone_of_address = {}
        for name, address in world.callers.items():
            self._zone_of_address[address] = world.zone_of(name)

    async def send(self, arrival: Arrival) -> Outcome:
        """Sends a request and retries it until its outcome is final."""
        began_s = time.monotonic()
        until_s = began_s + arrival.route.deadline_ms / 1000
        attempts = 0
        response: EmulatedResponse | None = None
        request = ""
        while attempts < MAX_ATTEMPTS and time.monotonic() < until_s:
            attempts += 1
            request = f"{arrival.number:012x}{attempts:04x}"
            response = await self._send_attempt(
                arrival, request, until_s, new_connection=attempts > 1
            )
            left_s = until_s - time.monotonic()
            wait_s = retry_delay_s(arrival.route, response, left_s)
            if wait_s is None:
                break
            if attempts < MAX_ATTEMPTS:
                await asyncio.sleep(wait_s)
        served = response is not None and response.status == 200
        return Outcome(
            arrival=arrival,
            status=response.status if response else 0,
            served=served
            and response is not None
            and response.is_complete(request),
            latency_s=time.monotonic() - began_s,
            attempts=attempts,
        )

    async def _send_attempt(
        self,
        arrival: Arrival,
        request: str,
        until_s: float,
        *,
        new_connection: bool,
    ) -> EmulatedResponse | None:
        route = arrival.route
        left_s = max(0.001, until_s - time.monotonic())
        message = EmulatedRequest(
            request=request,
            path=f"{route.prefix}{arrival.key}",
            key=arrival.key,
            deadline_ms=max(1, int(left_s * 1000)),
            body=b"x" * route.body_bytes,
        )
        try:
            async with asyncio.timeout(left_s):
                return await self._exchange(
                    message, new_connection=new_connection
                )
        except (OSError, EOFError, ValueError, TimeoutError):
            return None

    async def _exchange(
        self, message: EmulatedRequest, *, new_connection: bool
    ) -> EmulatedResponse:
        address = await self._pick_address()
        delay_s = self._one_way_delay_s(address)
        await asyncio.sleep(delay_s)
        connection = await self._get_connection(
            address, new_connection=new_connection
        )
        try:
            connection.writer.write(encode_request(message))
            response = await read_response(connection.reader)
        except BaseException:
            connection.writer.close()
            raise
        await asyncio.sleep(delay_s)
        if response.keeps_alive:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            connection.writer.close()
        return response

    def _one_way_delay_s(self, address: str) -> float:
        deployment = self._world.deployment
        zone = self._zone_of_address.get(address, self._zone)
        delay_s = deployment.delays.callers_ms / 1000
        if zone != self._zone:
            delay_s += deployment.delay_s(self._zone, zone)
        return delay_s

    async def _get_connection(
        self, address: str, *, new_connection: bool
    ) -> _Connection:
        idle = self._idle.get(address)
        while idle and not new_connection:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), CONNECT_TIMEOUT_S
        )
        return _Connection(address, reader, writer)

    async def _pick_address(self) -> str:
        if time.monotonic() >= self._addresses_until_s:
            await self._refresh_addresses()
        if not self._addresses:
            raise OSError("no entry address is known")
        return self._rng.choice(self._addresses)

    async def _refresh_addresses(self) -> None:
        """Looks up entry addresses; keeps the old ones if lookups fail."""
        region = self._world.deployment.zones[self._zone]
        query = parse.urlencode(
            {"name": HOST, "region": region, "zone": self._zone}
        )
        for name in self._nearest_gateways():
            address = self._world.gateways[name].addresses["lookups"]
            try:
                response = await self._client.fetch(
                    f"http://{address}/resolve?{query}",
                    request_timeout=LOOKUP_TIMEOUT_S,
                )
            except (OSError, httpclient.HTTPError):
                continue
            body = json.loads(response.body)
            if body["addresses"]:
                self._addresses = body["addresses"]
                self._addresses_until_s = time.monotonic() + body["ttlS"]
                return

    def _nearest_gateways(self) -> list[str]:
        deployment = self._world.deployment
        names = list(self._world.gateways)
        self._rng.shuffle(names)
        names.sort(
            key=lambda name: deployment.delay_s(
                self._zone, self._world.zone_of(name)
            )
        )
        return names[:3]

    def close(self) -> None:
        """Closes every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.writer.close()


def retry_delay_s(
    route: RouteRule, response: EmulatedResponse | None, left_s: float
) -> float | None:
    """Returns the delay before a retry in seconds, None for no retry.

    Args:
      route: the request's route.
      response: the response; None if there was none.
      left_s: time left until the caller's deadline, in seconds.
    """
    if left_s <= 0:
        return None
    if response is None:
        return 0.0 if route.kind == "safe" else None
    if response.status < 300 or response.status in FINAL_STATUSES:
        return None
    if response.status in NOT_RUN_STATUSES:
        retry_after_s = float(response.headers.get("retry-after", 0) or 0)
        return min(retry_after_s, MAX_RETRY_AFTER_SHARE * left_s)
    return 0.0 if route.kind == "safe" else None


async def send_all(
    world: World, arrivals: list[Arrival], *, seed: int
) -> list[Outcome]:
    """Sends the planned requests and returns the outcome of each."""
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
