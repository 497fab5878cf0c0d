"""Steps for requests that one entry relays to another."""

import socket
import time

from behave import given
from behave import then
from behave import when

from almondstair.gateway import relay_messages
from almondstair.gateway.relay_messages import RelayedRequest
from almondstair.log import Event
from emulator.documents import organisation
from features.support import harness
from features.support.gateway_world import GatewayWorld

_BAD = Event.RELAY_BAD.value.number
_ANSWERED = Event.REQUEST_ANSWERED.value.number
_DEADLINE_MS = 3000
_ERROR = "x-relay-error"
_RAN = "x-relay-ran"


@given("a gateway with organisations that takes relayed requests")
def step_gateway(context):
    world = GatewayWorld(processes=context.processes)
    context.world = world
    world.start_upstream("u1", work_s=0.05)
    world.start_upstream("u2", work_s=0.05)
    world.organisations = [organisation("blue", "b-1")]
    world.configure()
    world.start_gateway("g1")
    world.until_served(headers={"Authorization": "Bearer b-1"})
    context.before = {run["request"] for run in world.all_runs()}
    # Relayed requests are taken from the addresses of registered entries.
    harness.wait_until(
        lambda: _status(context)["entries"], what="the registration of g1"
    )


def _status(context):
    address = context.world.operator_address("g1")
    return harness.get(address, "/status").json()


def _marks(**changes):
    relayed = RelayedRequest(
        entry="g9",
        service="service",
        organisation="blue",
        fingerprint=17,
        tried=(),
        attempts=0,
        age_s=0.0,
    )._replace(**changes)
    return {
        name.decode(): value.decode()
        for name, value in relay_messages.encode_request(relayed)
    }


def _send(context, marks, path="/safe/x"):
    headers = context.world.headers(**{"Host": "shop.example"}) | marks
    context.request = headers["X-Almondstair-Request-Id"]
    began_s = time.monotonic()
    context.answer = harness.send(
        "GET", context.world.gateways["g1"]["relays"], path, headers=headers
    )
    context.took_s = time.monotonic() - began_s


def _new_runs(context):
    return [
        run
        for run in context.world.all_runs()
        if run["request"] not in context.before
    ]


@when(
    'a request is relayed for "{name}" with {gone_ms:d} ms of {of_ms:d} ms gone'
)
def step_relay(context, name, gone_ms, of_ms):
    assert of_ms == _DEADLINE_MS
    _send(context, _marks(organisation=name, age_s=gone_ms / 1000))


@then("the answer is an upstream's 200")
def step_answered(context):
    assert context.answer.status == 200, context.answer
    seal = context.answer.headers["X-Almondstair-Response-Seal"]
    assert seal == f"seal-{context.request}", seal
    assert _ERROR not in context.answer.headers


@then('its upstream was told of "{name}", and of {most_ms:d} ms at most')
def step_told(context, name, most_ms):
    [run] = _new_runs(context)
    context.run = run
    assert run["organisations"] == [name], run
    # The route's timeout of 2 s is counted from the caller's arrival.
    assert 0 < int(run["deadline_ms"]) <= min(most_ms, 2000 - 700), run


@then("the upstream saw nothing of the relay")
def step_nothing(context):
    names = [name.lower() for name in context.run["header_names"]]
    assert not [name for name in names if name.startswith("x-relay")], names


@then("the log names the entry that relayed it")
def step_logged(context):
    def check():
        for line in context.world.log_events("g1", _ANSWERED):
            if line["request"] == context.request:
                return line["relayed_by"] == "g9"
        return False

    harness.wait_until(check, what="a line on the relayed request")


@when("a request is relayed that all upstreams may have run")
def step_relay_tried(context):
    ids = tuple(row["id"] for row in _status(context)["upstreams"])
    assert len(ids) == 2, ids
    _send(context, _marks(tried=ids, attempts=1))


@then(
    'it is refused with {status:d} "{kind}", and the relaying entry is told '
    "that it has not run"
)
def step_refused(context, status, kind):
    assert context.answer.status == status, context.answer
    assert context.answer.headers[_ERROR] == kind, context.answer.headers
    assert context.answer.headers[_RAN] == "no", context.answer.headers
    assert not _new_runs(context)


@then("it is answered within {limit_s:g} s, and did not run")
def step_too_late(context, limit_s):
    assert context.answer.status in (503, 504), context.answer
    assert context.took_s < limit_s, context.took_s
    assert not _new_runs(context)


@when(
    'a caller sends the marks of a relayed request for "{name}" without a key'
)
def step_forge(context, name):
    context.answer = context.world.send(
        "GET", "/safe/x", headers=_marks(organisation=name)
    )


@then("it is refused with {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer
    assert not _new_runs(context)


_WRONG = {
    "no marks": None,
    'attempts of "-1"': {"x-relay-attempts": "-1"},
    'attempts of "1_0"': {"x-relay-attempts": "1_0"},
    'a fingerprint of "g"': {"x-relay-fingerprint": "g"},
    "a fingerprint of 40 digits": {"x-relay-fingerprint": "1" * 40},
    'an age of "1e400"': {"x-relay-age-ms": "1e400"},
    "two entries": {"X-Relay-Entry": "other"},
    "1000 upstreams that it was sent to": {
        "x-relay-tried": ",".join(["u"] * 1000)
    },
}


@when("a request is relayed with {marks}")
def step_relay_wrong(context, marks):
    wrong = _WRONG[marks]
    _send(context, {} if wrong is None else _marks() | wrong)


@then('it is refused with 400 "bad_request", and the log says so')
def step_bad(context):
    assert context.answer.status == 400, context.answer
    assert b"bad_request" in context.answer.body, context.answer
    assert not _new_runs(context)
    harness.wait_until(
        lambda: context.world.log_events("g1", _BAD), what="event 440"
    )


@when('"{ip}" connects to the address for relayed requests')
def step_connect(context, ip):
    host, _, port = context.world.gateways["g1"]["relays"].rpartition(":")
    with socket.create_connection(
        (host, int(port)), timeout=5, source_address=(ip, 0)
    ) as connection:
        try:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            context.received = connection.recv(100)
        except ConnectionError:
            context.received = b""


@then("the connection is closed without an answer, and the log says so")
def step_closed(context):
    assert context.received == b"", context.received
    harness.wait_until(
        lambda: context.world.log_events("g1", _BAD), what="event 440"
    )


@when(
    "a request of {work_s:g} s is relayed, and the connection ends after "
    "{after_s:g} s"
)
def step_leave(context, work_s, after_s):
    for name in context.world.upstreams:
        context.world.upstream_faults(name, slower=work_s / 0.05)
    headers = context.world.headers(**{"Host": "shop.example"}) | _marks()
    host, _, port = context.world.gateways["g1"]["relays"].rpartition(":")
    lines = ["GET /safe/long HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        time.sleep(after_s)
        [run] = _new_runs(context)
        assert not run["ended"], run


@then("within half a second its upstream has dropped it")
def step_dropped(context):
    def check():
        [run] = _new_runs(context)
        return run["ended"] == "dropped"

    harness.wait_until(check, limit_s=0.5, what="the end of the run")
