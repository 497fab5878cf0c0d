"""Steps for organisations: keys, regions, priorities and quotas."""

from http import client as http_client
import json
import socket
import time

from behave import given
from behave import then
from behave import when

from almondstair.core.organisations import Organisation
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import RoutingTable
from almondstair.errors import AlmondstairError
from almondstair.platform import documents as platform_documents
from emulator import documents
from emulator.documents import organisation
from emulator.documents import route
from features.support import harness
from features.support import operator_tool
from features.support.gateway_world import GatewayWorld

_RECEIVE_BYTES = 65536
_LOOKUPS = 20_000
_REQUEST_PAUSE_S = 1 / 60
_LIMITS = CallerLimits(16384, 1 << 20, 3.0, 15.0)


@given("a gateway with organisations")
def step_gateway(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1", zone="a1")
    world.start_upstream("u2", zone="b1")
    public = route("/public/")
    public["public"] = True
    world.routes += [public, route("/west/", allowedRegions=["west"])]
    world.organisations = [
        organisation("blue", "b-1", "b-2"),
        organisation("green", "g-1", allowedRegions=["east"]),
    ]
    world.configure()
    world.start_gateway("g1")
    for path, key in (("/safe/w", "g-1"), ("/west/w", "b-1")):
        world.until_served(path, headers={"Authorization": f"Bearer {key}"})
    context.before = {run["request"] for run in world.all_runs()}


def _new_runs(context):
    found = []
    for run in context.world.all_runs():
        if run["request"] not in context.before:
            found.append(run)
    return found


@when('"{path}" is asked for with the header "{name}" of "{value}"')
def step_ask(context, path, name, value):
    began_s = time.monotonic()
    context.answer = context.world.send("GET", path, headers={name: value})
    context.took_s = time.monotonic() - began_s


@when('"{path}" is asked for without a key')
def step_ask_without(context, path):
    context.answer = context.world.send("GET", path)


@when(
    '"{path}" is asked for as "{value}" with the organisation "{name}" in the '
    'header "{header}"'
)
def step_ask_as(context, path, value, name, header):
    context.answer = context.world.send(
        "GET", path, headers={"Authorization": value, header: name}
    )


def _encode(context, path, lines):
    head = [f"GET {path} HTTP/1.1"]
    for name, value in context.world.headers().items():
        head.append(f"{name}: {value}")
    return "\r\n".join([*head, *lines, "", ""]).encode()


def _exchange(context, data, *, answers):
    """Sends bytes and returns the statuses of the answers."""
    ip, port = context.world.gateways["g1"]["callers"].split(":")
    with socket.create_connection((ip, int(port)), timeout=10) as connection:
        connection.sendall(data)
        stream = connection.makefile("rb")
        statuses = []
        for _ in range(answers):
            statuses.append(_read_answer(stream))
    return statuses


def _read_answer(stream):
    status = int(stream.readline().split()[1])
    headers = http_client.parse_headers(stream)
    stream.read(int(headers["Content-Length"]))
    return status


@when('"{path}" is asked for with two Authorization headers')
def step_ask_two(context, path):
    lines = ["Authorization: Bearer b-1", "Authorization: Bearer g-1"]
    [context.status] = _exchange(
        context, _encode(context, path, lines), answers=1
    )
    context.answer = None


@then("it is answered {status:d}")
def step_answered(context, status):
    found = context.answer.status if context.answer else context.status
    assert found == status, context.answer


@then('it is answered {status:d} of the kind "{kind}" at once')
def step_answered_kind(context, status, kind):
    step_answered(context, status)
    assert context.answer.json()["kind"] == kind, context.answer
    assert context.took_s < 0.3, context.took_s


@then('the upstream got the organisation "{name}" and no key')
def step_got(context, name):
    [run] = _new_runs(context)
    assert run["organisations"] == [name], run
    assert run["keys"] == [], run


@then('the upstream got the organisation "" and no key')
def step_got_none(context):
    [run] = _new_runs(context)
    assert run["organisations"] == [], run
    assert run["keys"] == [], run


@then("no upstream ran it as an organisation's")
def step_not_run(context):
    assert not _new_runs(context)


@given('a connection on which "{key}" was answered 200')
def step_connection(context, key):
    context.connection = context.world.connect()
    assert _ask_on_connection(context, key) == 200


def _ask_on_connection(context, key):
    headers = context.world.headers(Authorization=f"Bearer {key}")
    context.connection.request("GET", "/safe/x", headers=headers)
    response = context.connection.getresponse()
    response.read()
    return response.status


def _change_organisation(context, name, **fields):
    for entry in context.world.organisations:
        if entry["name"] == name:
            entry.update(fields)
    return context.world.configure()


@when('a configuration gives "{name}" the key "{key}" in place of all others')
def step_replace_keys(context, name, key):
    _change_organisation(context, name, apiKeys=[key])


@then('"{key}" is answered {status:d} on that connection within {limit_s:g} s')
def step_connection_answer(context, key, status, limit_s):
    harness.wait_until(
        lambda: _ask_on_connection(context, key) == status,
        limit_s=limit_s,
        what=f"{status} for a key",
    )


@when(
    'requests with the keys "{first}", "{second}" and "{third}" are sent '
    "together on one connection"
)
def step_pipeline(context, first, second, third):
    data = b""
    for key in (first, second, third):
        lines = [f"Authorization: Bearer {key}"]
        data += _encode(context, "/safe/x", lines)
    context.statuses = _exchange(context, data, answers=3)


@then("they are answered {first:d}, {second:d} and {third:d} in this order")
def step_pipeline_answers(context, first, second, third):
    assert context.statuses == [first, second, third], context.statuses


def _regions_run_in(context):
    regions = set()
    for name, region in (("u1", "east"), ("u2", "west")):
        for run in context.world.runs(name):
            if run["request"] not in context.before:
                regions.add(region)
    return regions


@when('"{path}" is asked for {count:d} objects with the key "{key}"')
def step_ask_objects(context, path, count, key):
    for number in range(count):
        headers = {
            "Authorization": f"Bearer {key}",
            "X-Almondstair-Affinity-Key": f"object-{number}",
        }
        answer = context.world.send("GET", path, headers=headers)
        assert answer.status == 200, answer


@then('the upstream that ran it is in the region "{region}"')
@then('the upstreams that ran them are in the region "{region}"')
def step_region(context, region):
    assert _regions_run_in(context) == {region}


@then(
    'neither "{first}" nor "{second}" is in the log, the metrics, the status '
    "or the configuration that operators see"
)
def step_no_key(context, first, second):
    address = context.world.operator_address("g1")
    texts = [context.world.processes.children["g1"].log_text()]
    for path in ("/metrics", "/status", "/configuration"):
        texts.append(harness.get(address, path).body.decode())
    for text in texts:
        assert f'"{first}' not in text and f" {first}" not in text, text
        assert second not in text, text


@then(
    '"gateway organisations" shows "{name}" with {keys:d} keys and at least '
    "{asked:d} request"
)
def step_shown(context, name, keys, asked):
    address = context.world.operator_address("g1")
    shown = json.loads(
        operator_tool.run("gateway", "organisations", address, "--json")
    )
    rows = {row["name"]: row for row in shown["organisations"]}
    assert rows[name]["keys"] == keys, shown
    assert rows[name]["asked"] >= asked, shown
    assert shown["store_age_s"], shown


_FAULTS = {
    "a name twice": [organisation("blue"), organisation("blue")],
    "a key of two": [organisation("blue", "k"), organisation("green", "k")],
    "an empty key": [organisation("blue", "")],
    "a negative rate": [organisation("blue", ratePerS=-1)],
    "a name with a break": [organisation("blue\r\nx: y")],
}


@then('organisations with {fault} are refused with "{text}"')
def step_refused(context, fault, text):
    del context
    value = documents.configuration_text(
        2, [route("/safe/")], organisations=_FAULTS[fault]
    )
    try:
        platform_documents.decode_configuration(value.encode())
    except AlmondstairError as error:
        assert text in error.detail, error
        return
    raise AssertionError("it was accepted")


def _route(priority):
    return Route(
        name="r",
        hostname="h",
        prefix="/",
        kind=RouteKind.SAFE,
        target_latency_s=1.0,
        timeout_s=1.0,
        attempts=1,
        priority=priority,
        key_affinity=True,
        destinations=(Destination(service="s", weight=1.0),),
        allowed_regions=(),
    )


def _table(organisations):
    return RoutingTable(
        configuration=RoutingConfiguration(
            1, _LIMITS, (_route(2),), {}, tuple(organisations)
        )
    )


@then(
    "a route of priority {priority:d} has priority {expected:d} for an "
    "organisation of priority {own:d}"
)
def step_priority(context, priority, expected, own):
    context.priority = priority
    found = Organisation(name="o", keys=(), priority=own)
    combined = _table([found]).route_for(_route(priority), organisation=found)
    assert combined.priority == expected, combined


@then("it has priority {expected:d} for an organisation without a priority")
def step_no_priority(context, expected):
    found = Organisation(name="o", keys=())
    table = _table([found])
    combined = table.route_for(_route(context.priority), organisation=found)
    assert combined.priority == expected, combined


def _time_of_lookups(count):
    organisations = []
    for number in range(count):
        organisations.append(Organisation(f"o{number}", (b"k%d" % number,)))
    table = _table(organisations)
    key = b"k%d" % (count - 1)
    times_s = []
    for _ in range(5):
        began_s = time.perf_counter()
        for _ in range(_LOOKUPS):
            found = table.organisation(key)
            table.route_for(table.configuration.routes[0], organisation=found)
        times_s.append(time.perf_counter() - began_s)
    return min(times_s)


@then(
    "a key among {many:d} organisations is found in at most {times:d} times "
    "the time among {few:d}"
)
def step_lookup_time(context, many, times, few):
    del context
    few_s = _time_of_lookups(few)
    many_s = _time_of_lookups(many)
    assert many_s <= times * few_s, (many_s, few_s)


@given(
    '"{name}" has a quota of {rate:d} requests a second and a burst of '
    "{burst:d}"
)
def step_quota(context, name, rate, burst):
    world = context.world
    version = _change_organisation(context, name, ratePerS=rate, burst=burst)

    def in_force():
        status = harness.get(world.operator_address("g1"), "/status").json()
        return status["configuration_version"] == version

    harness.wait_until(in_force, what="the quota to be in force")


@when('{count:d} requests with the key "{key}" are sent within 1 s')
def step_flood(context, count, key):
    context.answers = []
    for _ in range(count):
        context.answers.append(
            context.world.send(
                "GET", "/safe/x", headers={"Authorization": f"Bearer {key}"}
            )
        )
        time.sleep(_REQUEST_PAUSE_S)


@then(
    "between {least:d} and {most:d} of them are answered 200 and the others "
    "429 with a Retry-After of at most {limit_s:d} s"
)
def step_flood_answers(context, least, most, limit_s):
    served = 0
    for answer in context.answers:
        if answer.status == 200:
            served += 1
            continue
        assert answer.status == 429, answer
        assert 0 < float(answer.headers["Retry-After"]) <= limit_s, answer
    assert least <= served <= most, served


@then('a request with the key "{key}" is answered 200')
def step_other_served(context, key):
    answer = context.world.send(
        "GET", "/safe/x", headers={"Authorization": f"Bearer {key}"}
    )
    assert answer.status == 200, answer
