"""Compares two builds or two settings side by side on one deployment.

Both sides get the same requests at the same times, from the same seed, in
turns: a, b, b, a, a, b ... What the machine does meanwhile falls on both.
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

# From the gateways' readiness to the first request: until they count each
# other, and sums over all of them are shared.
SETTLE_S = 5.0


class Side(NamedTuple):
    """One of the two that are compared.

    Attributes:
      name: what it is called in tables.
      source: root of the checkout whose gateways run.
      bounds: the operators' bounds that differ, by the platform's names.
    """

    name: str
    source: Path
    bounds: dict[str, float]


class Round(NamedTuple):
    """What one run of one side showed.

    Attributes:
      side: which one.
      outcomes: what became of each request.
      store_calls: calls to the store by kind.
      gateway_cpu_s: processor time of all gateways during the load.
      gateway_peak_bytes: the greatest resident memory of a gateway.
      runs: runs that upstreams began.
    """

    side: str
    outcomes: list[Outcome]
    store_calls: dict[str, int]
    gateway_cpu_s: float
    gateway_peak_bytes: int
    runs: int


def order(rounds: int) -> list[int]:
    """Returns the sides in the order of their runs, 0 and 1.

    Each pair is turned around, so that neither side always comes first.
    """
    found = []
    for number in range(rounds):
        found += [0, 1] if number % 2 == 0 else [1, 0]
    return found


async def compare(
    *,
    deployment: Deployment,
    sides: tuple[Side, Side],
    seed: int,
    seconds: float,
    rounds: int,
) -> list[Round]:
    """Plays both sides in turns.

    Args:
      deployment: what is emulated.
      sides: the two that are compared.
      seed: seed of the first pair; each later pair has the next one.
      seconds: length of the load of each run.
      rounds: how many pairs are played.
    """
    done = []
    for number, index in enumerate(order(rounds)):
        arrivals = load.plan(
            routes=deployment.routes,
            zones=list(deployment.zones),
            seed=seed + number // 2,
            seconds=seconds,
        )
        side = sides[index]
        found = await _play(deployment, side, arrivals, seed + number // 2)
        done.append(found)
        served = sum(1 for each in found.outcomes if each.served)
        print(
            f"round {number + 1} of {2 * rounds}, {side.name}: "
            f"{served} of {len(found.outcomes)} served",
            flush=True,
        )
    return done


async def _play(
    deployment: Deployment, side: Side, arrivals: list[Arrival], seed: int
) -> Round:
    changed = msgspec.structs.replace(
        deployment, bounds=deployment.bounds | side.bounds
    )
    with tempfile.TemporaryDirectory(prefix="almondstair-emulator-") as folder:
        world = World(
            deployment=changed, directory=Path(folder), source=side.source
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
    outcomes = await load.play(world, arrivals, seed=seed)
    cpu_s = _gateway_cpu_s(world) - cpu_before_s
    peak_bytes = _gateway_memory_bytes(world)
    calls = {}
    for kind, count in (await world.store_calls()).items():
        calls[kind] = count - calls_before.get(kind, 0)
    for name in world.upstreams:
        await world.collect(name)
    return Round(
        side=side.name,
        outcomes=outcomes,
        store_calls=calls,
        gateway_cpu_s=cpu_s,
        gateway_peak_bytes=peak_bytes,
        runs=len(world.ran),
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
    """Runs a deployment with its load and shows where it can be reached.

    Args:
      deployment: what is emulated.
      seconds: length of the load.
    """
    with tempfile.TemporaryDirectory(prefix="almondstair-emulator-") as folder:
        world = World(deployment=deployment, directory=Path(folder))
        try:
            await world.start()
            await world.configure_deployment()
            await world.until_ready()
            _show_places(world)
            await _serve_load(world, seconds)
        finally:
            await world.end()


def _show_places(world: World) -> None:
    print(f"store {world.store}")
    for name, place in world.gateways.items():
        print(
            f"gateway {name} in {place.zone}: callers "
            f"{place.addresses['callers']}, operators "
            f"{place.addresses['operators']}",
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
    outcomes = await load.play(world, arrivals, seed=seed)
    served = sum(1 for each in outcomes if each.served)
    print(f"seed {seed}: {served} of {len(outcomes)} served", flush=True)
