"""Steps for the emulator's deployments, load, distances and experiments."""

import asyncio
import base64
import json
from pathlib import Path
import tempfile
import time

from behave import given
from behave import then
from behave import when
import msgspec
from tornado import httpclient

from almondstair.errors import AlmondstairError
from emulator import deployment as deployments
from emulator import experiment
from emulator import load
from emulator import report
from emulator.caller_wire import EmulatedResponse
from emulator.deployment import Deployment
from emulator.deployment import RouteRule
from emulator.deployment import Service
from emulator.experiment import Round
from emulator.experiment import Side
from emulator.load import Arrival
from emulator.load import Outcome
from emulator.ports import free_address
from emulator.proxy import FaultProxy
from emulator.store import Store
from emulator.world import World
from features.support import control
from features.support.harness import ROOT

_EXAMPLES = ROOT / "emulator" / "examples"
_CHANGES = {
    "an unknown key": ("slots = 3", "sloots = 3"),
    "a gateway in an unknown zone": (
        "gateways = { dundee-a",
        "gateways = { nowhere",
    ),
    "a route to an unknown service": (
        'service = "doc-intake"',
        'service = "nothing"',
    ),
    "a prefix without its slash": ('"/po-lookup/"', '"/po-lookup"'),
    "a text in place of a number": ("aim_ms = 400", 'aim_ms = "soon"'),
    "no upstream": ("upstreams = {", "upstreams = {} # {"),
}
_RATE_PER_S = 20.0
_LOAD_S = 200.0


# Deployment files.


@when("the example deployment is read with {change}")
def step_read(context, change):
    text = (_EXAMPLES / "tallow-brae.toml").read_text(encoding="utf-8")
    old, new = _CHANGES[change]
    path = Path(control.directory(context)) / "deployment.toml"
    path.write_text(text.replace(old, new), encoding="utf-8")
    context.path = path
    try:
        deployments.load(path)
        context.error = None
    except AlmondstairError as error:
        context.error = error


@then('the error names the file and "{words}"')
def step_error(context, words):
    assert context.error is not None, "the deployment was accepted"
    assert str(context.path) in context.error.detail, context.error.detail
    assert words in context.error.detail, context.error.detail


@then("every example deployment is read, with routes to each of its services")
def step_examples(context):
    paths = sorted(_EXAMPLES.glob("*.toml"))
    assert len(paths) == 2, paths
    for path in paths:
        found = deployments.load(path)
        services = {service.name for service in found.services}
        assert {route.service for route in found.routes} == services, path


# Load.


def _route(**overrides):
    return RouteRule(
        **{
            "prefix": "/safe/",
            "service": "service",
            "rate_per_s": _RATE_PER_S,
            **overrides,
        }
    )


def _plan_load(seed, seconds=_LOAD_S):
    routes = [_route(), _route(prefix="/unsafe/", kind="unsafe")]
    return load.plan(
        routes=routes, zones=["a1", "b1"], seed=seed, seconds=seconds
    )


@then("two loads of seed 3 are equal, and seed 4's differs")
def step_loads(context):
    assert _plan_load(3) == _plan_load(3)
    assert _plan_load(3) != _plan_load(4)


@then("a load of 200 s has within a tenth of the requests that its rates say")
def step_rate(context):
    expected = 2 * _RATE_PER_S * _LOAD_S
    assert abs(len(_plan_load(3)) - expected) < 0.1 * expected, len(
        _plan_load(3)
    )


def _parse_response(text):
    if text == "none":
        return None
    status, _, retry_after = text.partition(" back in ")
    headers = {"retry-after": retry_after.split()[0]} if retry_after else {}
    return EmulatedResponse(status=int(status), headers=headers, body=b"")


@then("after {status} a caller of a {kind} route with 0.9 s left waits {pause}")
def step_pause(context, status, kind, pause):
    found = load.retry_delay_s(_route(kind=kind), _parse_response(status), 0.9)
    if pause == "never":
        assert found is None, found
        return
    assert found is not None
    assert abs(found - float(pause.split()[0])) < 1e-9, found


# Distances.


@given("an echo behind a proxy at a distance of {distance_ms:d} ms")
def step_proxy(context, distance_ms):
    context.distance_s = distance_ms / 1000


async def _echo_through(distance_s, count):
    async def echo(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    target = free_address()
    ip, _, port = target.rpartition(":")
    server = await asyncio.start_server(echo, ip, int(port))
    proxy = FaultProxy(target=target, distance_s=distance_s)
    address = free_address()
    await proxy.listen(address)
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    expected = b""
    began_s = time.monotonic()
    for number in range(count):
        chunk = f"piece {number}\n".encode()
        expected += chunk
        writer.write(chunk)
        await asyncio.sleep(0)
    received = await reader.readexactly(len(expected))
    took_s = time.monotonic() - began_s
    writer.close()
    await proxy.close()
    server.close()
    return expected, received, took_s


@when("{count:d} pieces are sent through it at once")
def step_pieces(context, count):
    context.sent, context.received, context.took_s = asyncio.run(
        _echo_through(context.distance_s, count)
    )


@then("they come back in order, whole, after {least_ms:d} to {most_ms:d} ms")
def step_back(context, least_ms, most_ms):
    assert context.received == context.sent
    assert least_ms <= context.took_s * 1000 <= most_ms, context.took_s


# Views of the store.


async def _read_registrations(zone, key, field):
    store = Store()
    unfiltered = store.listen("127.0.0.1", 0)
    view = store.listen("127.0.0.1", 0, zone)
    store.zone_addresses = {
        "127.0.0.1:1": {zone: "127.0.0.1:2", "c1": "127.0.0.1:3"}
    }
    record = {field: "127.0.0.1:1", "zone": "a1"}
    await store.put_text(key, json.dumps(record))
    client = httpclient.AsyncHTTPClient()
    values = []
    for port in (view, unfiltered):
        response = await client.fetch(
            f"http://127.0.0.1:{port}/kv-key?key={key}"
        )
        value = json.loads(response.body)["value"]
        values.append(json.loads(base64.b64decode(value)))
    await store.close()
    return values


@given(
    'a store with a view for zone "{zone}", and "{key}" with its address as '
    '"{field}" and a way of its own from there'
)
def step_view(context, zone, key, field):
    context.field = field
    context.shown = asyncio.run(_read_registrations(zone, key, field))


@then('the view shows the way from "b1", and the store what was written')
def step_views(context):
    view, unfiltered = context.shown
    assert view == {context.field: "127.0.0.1:2", "zone": "a1"}, view
    assert unfiltered == {context.field: "127.0.0.1:1", "zone": "a1"}, (
        unfiltered
    )


# Experiments.


@then('the sides of {rounds:d} rounds are "{sides}"')
def step_order(context, rounds, sides):
    found = ["ab"[index] for index in experiment.order(rounds)]
    assert " ".join(found) == sides, found


def _outcome(number, *, status=200, served=True, latency_s=0.1):
    arrival = Arrival(0.0, "a1", _route(aim_ms=300.0), "1", number)
    return Outcome(arrival, status, served, latency_s, 1)


@given("outcomes of two sides")
def step_outcomes(context):
    quick = [_outcome(number) for number in range(8)]
    late = _outcome(8, latency_s=0.5)
    refused = _outcome(9, status=503, served=False)
    context.rounds = [
        Round("a", [*quick, late, refused], {"watch": 30}, 0.1, 40_000_000, 9),
        Round("b", quick, {"watch": 60}, 0.2, 50_000_000, 8),
    ]


@then("the table shows for each side its served, timely and refused parts")
def step_table(context):
    rows = {
        row.side: row
        for row in report.rows(context.rounds, zones=["a1"])
        if row.group == "all"
    }
    first = rows["a"]
    assert (first.sent, first.served_share) == (10, 0.9), first
    assert (first.in_aim_share, first.refused_share) == (0.8, 0.1), first
    assert first.percentiles_ms[0] == 100.0, first
    assert rows["b"].served_share == 1.0, rows["b"]
    cost_a, cost_b = report.costs(context.rounds, seconds=10.0)
    assert cost_a.store_calls_per_s == 3.0, cost_a
    assert abs(cost_b.cpu_ms - 25.0) < 1e-9, cost_b
    assert cost_a.runs_per_request == 0.9, cost_a


def _small_deployment():
    return Deployment(
        zones={"a1": "east", "b1": "west"},
        gateways={"a1": 1, "b1": 1},
        services=[
            Service(name="service", upstreams={"a1": 2, "b1": 1}, slots=4)
        ],
        routes=[_route(), _route(prefix="/unsafe/", kind="unsafe")],
        delays=deployments.Delays(between_regions_ms=10.0),
    )


@given("a small deployment whose regions are 10 ms apart")
def step_apart(context):
    context.deployment = _small_deployment()


async def _count_datagrams(deployment, seconds):
    """Runs a deployment; returns datagram counts by zone and gateway."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(deployment=deployment, directory=Path(folder))
        try:
            await world.start()
            await world.configure_deployment()
            await world.until_ready()
            await asyncio.sleep(seconds)
        finally:
            await world.end()
        return {
            proxy_key: datagrams.received_count
            for proxy_key, datagrams in world.datagram_proxies.items()
        }


@when("its gateways have taken callers for {seconds:d} s")
def step_play(context, seconds):
    context.datagram_counts = asyncio.run(
        _count_datagrams(context.deployment, seconds)
    )


@then(
    "each gateway was reached by the other's way, and by none from its own zone"
)
def step_ways(context):
    used = {
        proxy_key
        for proxy_key, count in context.datagram_counts.items()
        if count
    }
    assert used == {("a1", "g1"), ("b1", "g0")}, context.datagram_counts


@when("two settings are compared on a small deployment for {seconds:g} s")
def step_compare(context, seconds):
    context.rounds = asyncio.run(
        experiment.compare(
            deployment=_small_deployment(),
            sides=(
                Side("a", ROOT, {}),
                Side("b", ROOT, {"maxShift": 0.5}),
            ),
            seed=1,
            seconds=seconds,
            rounds=1,
        )
    )
    context.seconds = seconds


@then("each side was sent the same requests and served most of them")
def step_same(context):
    first, second = context.rounds
    sent = [each.arrival for each in first.outcomes]
    assert sent == [each.arrival for each in second.outcomes]
    for found in context.rounds:
        served = sum(1 for each in found.outcomes if each.served)
        assert served > 0.8 * len(found.outcomes), msgspec.json.encode(
            [each.status for each in found.outcomes]
        )
        assert found.runs >= served, found.runs
        assert found.store_calls["watch"] > 0, found.store_calls


@then("the page has both tables and three plots")
def step_page(context):
    path = Path(control.directory(context)) / "page.html"
    report.write_page(
        path,
        title="a < b",
        rounds=context.rounds,
        summary_rows=report.rows(context.rounds, zones=["a1", "b1"]),
        cost_rows=report.costs(context.rounds, seconds=context.seconds),
    )
    text = path.read_text(encoding="utf-8")
    assert text.count("<table>") == 2, text[:500]
    assert text.count("<svg") == 3, text[:500]
    assert "a &lt; b" in text
