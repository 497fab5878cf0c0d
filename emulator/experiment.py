"""Compares two builds or two settings side by side on one deployment.

Both sides get the same requests at the same times from the same seed. The runs
alternate (a, b, b, a, a, b, ...), so that other load on the host affects both.
"""

import asyncio
from pathlib import Path
import tempfile
import time
from typing import NamedTuple

import msgspec
import psutil

from emulator import load
from emulator.deployment import Deployment
from emulator.load import Arrival
from emulator.load import Outcome
from emulator.world import World

# Wait between the gateways' readiness and the first request, in which they
# discover each other and exchange load totals.
SETTLE_S = 5.0


class Side(NamedTuple):
    """One of the two variants that are compared.

    Attributes:
      name: label in the tables.
      source: root of the checkout whose gateways run.
      bounds: overridden operator bounds, by their names in the platform's
        settings.
    """

    name: str
    source: Path
    bounds: dict[str, float]


class Round(NamedTuple):
    """Measurements of one run of one side.

    Attributes:
      side: name of the side.
      outcomes: outcome of each request.
      store_calls: number of store calls by kind.
      gateway_cpu_s: CPU time of all gateways during the load, in seconds.
      gateway_peak_bytes: largest resident memory of a gateway after the load,
        in bytes.
      runs: number of runs that upstreams started.
    """

    side: str
    outcomes: list[Outcome]
    store_calls: dict[str, int]
    gateway_cpu_s: float
    gateway_peak_bytes: int
    runs: int


def order(rounds: int) -> list[int]:
    """Returns the indexes of the sides, 0 or 1, in the order of their runs.

    Every other pair is reversed, so that neither side always runs first.
    """
    indexes = []
    for number in range(rounds):
        indexes += [0, 1] if number % 2 == 0 else [1, 0]
    return indexes


async def compare(
    *,
    deployment: Deployment,
    sides: tuple[Side, Side],
    seed: int,
    seconds: float,
    rounds: int,
) -> list[Round]:
    """Runs both sides alternately.

    Args:
      deployment: the emulated deployment.
      sides: the two sides to compare.
      seed: seed of the first pair; incremented for each later pair.
      seconds: length of the load of each run.
      rounds: number of pairs of runs.
    """
    results = []
    for number, index in enumerate(order(rounds)):
        arrivals = load.plan(
            routes=deployment.routes,
            zones=list(deployment.zones),
            seed=seed + number // 2,
            seconds=seconds,
        )
        side = sides[index]
        result = await _run_side(deployment, side, arrivals, seed + number // 2)
        results.append(result)
        served = sum(1 for each in result.outcomes if each.served)
        print(
            f"round {number + 1} of {2 * rounds}, {side.name}: "
            f"{served} of {len(result.outcomes)} served",
            flush=True,
        )
    return results


async def _run_side(
    deployment: Deployment, side: Side, arrivals: list[Arrival], seed: int
) -> Round:
    side_deployment = msgspec.structs.replace(
        deployment, bounds=deployment.bounds | side.bounds
    )
    with tempfile.TemporaryDirectory(prefix="almondstair-emulator-") as folder:
        world = World(
            deployment=side_deployment,
            directory=Path(folder),
            source=side.source,
        )
        try:
            await world.start()
            await world.configure_deployment()
            await world.until_ready()
            await asyncio.sleep(SETTLE_S)
            return await _measure(world, side, arrivals, seed)
        finally:
            await world.end()


async def _measure(
    world: World, side: Side, arrivals: list[Arrival], seed: int
) -> Round:
    calls_before = await world.store_calls()
    cpu_before_s = _gateway_cpu_s(world)
    outcomes = await load.send_all(world, arrivals, seed=seed)
    cpu_s = _gateway_cpu_s(world) - cpu_before_s
    peak_bytes = _gateway_memory_bytes(world)
    calls = {}
    for kind, count in (await world.store_calls()).items():
        calls[kind] = count - calls_before.get(kind, 0)
    for name in world.upstreams:
        await world.collect_runs(name)
    return Round(
        side=side.name,
        outcomes=outcomes,
        store_calls=calls,
        gateway_cpu_s=cpu_s,
        gateway_peak_bytes=peak_bytes,
        runs=len(world.upstream_runs),
    )


def _gateway_cpu_s(world: World) -> float:
    total_s = 0.0
    for name in world.gateways:
        times = psutil.Process(world.procs[name].pid).cpu_times()
        total_s += times.user + times.system
    return total_s


def _gateway_memory_bytes(world: World) -> int:
    largest = 0
    for name in world.gateways:
        memory = psutil.Process(world.procs[name].pid).memory_info()
        largest = max(largest, memory.rss)
    return largest


async def serve(deployment: Deployment, *, seconds: float) -> None:
    """Runs a deployment with its load and prints its addresses.

    Args:
      deployment: the emulated deployment.
      seconds: length of the load.
    """
    with tempfile.TemporaryDirectory(prefix="almondstair-emulator-") as folder:
        world = World(deployment=deployment, directory=Path(folder))
        try:
            await world.start()
            await world.configure_deployment()
            await world.until_ready()
            _print_addresses(world)
            await _serve_load(world, seconds)
        finally:
            await world.end()


def _print_addresses(world: World) -> None:
    print(f"store {world.store}")
    for name, gateway in world.gateways.items():
        print(
            f"gateway {name} in {gateway.zone}: callers "
            f"{gateway.addresses['callers']}, operators "
            f"{gateway.addresses['operators']}",
            flush=True,
        )


async def _serve_load(world: World, seconds: float) -> None:
    seed = int(time.time())
    arrivals = load.plan(
        routes=world.deployment.routes,
        zones=list(world.deployment.zones),
        seed=seed,
        seconds=seconds,
    )
    outcomes = await load.send_all(world, arrivals, seed=seed)
    served = sum(1 for each in outcomes if each.served)
    print(f"seed {seed}: {served} of {len(outcomes)} served", flush=True)
