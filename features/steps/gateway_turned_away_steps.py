"""Steps for gateways that the store rejects while it serves others."""

import asyncio
from pathlib import Path
import time

from behave import given
from behave import then
from behave import when
from tornado import httpclient

from emulator.caller_wire import EmulatedRequest
from emulator.caller_wire import encode_request
from emulator.caller_wire import read_response
from emulator.deployment import Deployment
from emulator.deployment import RouteRule
from emulator.deployment import Service
from emulator.proxy import ProxyFault
from emulator.world import World
from features.support import control

_SETTLE_S = 2.0
_POLL_S = 0.02
_LIMIT_S = 10.0
_NOT_FOUND = 404


@given(
    "a deployment with {near:d} gateways in one zone and {far:d} in another "
    "region"
)
def step_deployment(context, near, far):
    context.deployment = Deployment(
        zones={"a1": "east", "b1": "west"},
        gateways={"a1": near, "b1": far},
        services=[Service(name="service", upstreams={"a1": 1, "b1": 1})],
        routes=[RouteRule(prefix="/safe/", service="service")],
    )


async def _request_status(address, path):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    request = EmulatedRequest(
        request=f"{time.monotonic_ns():x}", path=path, key="1", deadline_ms=2000
    )
    writer.write(encode_request(request))
    response = await read_response(reader)
    writer.close()
    return response.status


async def _measure_route_delay_s(world, name, prefix, began_s):
    """Returns the seconds until a gateway knows a newly written route."""
    while time.monotonic() < began_s + _LIMIT_S:
        status = await _request_status(world.callers[name], f"{prefix}x")
        if status != _NOT_FOUND:
            return time.monotonic() - began_s
        await asyncio.sleep(_POLL_S)
    return _LIMIT_S


async def _run_deployment(deployment, directory, fault, count, pause_s):
    world = World(deployment=deployment, directory=directory)
    delays_s = {}
    try:
        await world.start()
        prefixes = ["/safe/"]
        await world.configure(prefixes)
        await world.until_ready()
        await asyncio.sleep(_SETTLE_S)
        for name in world.gateways:
            if world.zone_of(name) == "a1":
                world.store_proxies[name].set_fault(ProxyFault(fault))
        await asyncio.sleep(_SETTLE_S)
        for number in range(count):
            prefix = f"/more{number}/"
            prefixes.append(prefix)
            await world.configure(prefixes)
            began_s = time.monotonic()
            found = await asyncio.gather(
                *(
                    _measure_route_delay_s(world, name, prefix, began_s)
                    for name in world.gateways
                )
            )
            for name, delay_s in zip(world.gateways, found, strict=True):
                delays_s[f"{prefix} {name}"] = round(delay_s, 2)
            left_s = began_s + pause_s - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))
    finally:
        await world.end()
        httpclient.AsyncHTTPClient().close()
    return delays_s


@when(
    'the store is "{harm}" for the first zone\'s gateways, and {count:d} '
    "configurations come, {pause_s:g} s apart"
)
def step_configurations(context, harm, count, pause_s):
    directory = Path(control.directory(context))
    context.delays_s = asyncio.run(
        _run_deployment(context.deployment, directory, harm, count, pause_s)
    )


@then("each was in force on every gateway within {limit_s:g} s")
def step_in_force(context, limit_s):
    print(context.delays_s)
    assert max(context.delays_s.values()) <= limit_s, context.delays_s
