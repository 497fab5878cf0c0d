"""Steps for the active parts of overload scheduling and their counts."""

from behave import given
from behave import then
from behave import when

from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import OverloadParts
from almondstair.core.overload_parts import parse_modes
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.tools import gateway_tables
from almondstair.tools import gateway_views

_LIMITS = CallerLimits(16_384, 1 << 20, 3.0, 15.0)


def _route(priority):
    return Route(
        name=f"route-{priority}",
        hostname="h",
        prefix=f"/{priority}/",
        kind=RouteKind.SAFE,
        target_latency_s=1.0,
        timeout_s=2.0,
        attempts=2,
        priority=priority,
        key_affinity=True,
        destinations=(Destination("s", 1),),
        allowed_regions=(),
    )


@given('parts with the modes "{modes}"')
@given('parts with the modes ""')
def step_parts(context, modes=""):
    context.parts = OverloadParts(modes=parse_modes(modes))


@when("the configuration has routes of the priorities {priorities}")
def step_configuration(context, priorities):
    routes = [_route(int(text)) for text in priorities.split(",")]
    context.parts.set_configuration(
        RoutingConfiguration(1, _LIMITS, tuple(routes), {})
    )


@when("the configuration has a route of priority 0 without key affinity")
def step_without_affinity(context):
    route = _route(0)._replace(key_affinity=False)
    context.parts.set_configuration(
        RoutingConfiguration(1, _LIMITS, (route,), {})
    )


@then('the active parts are "{expected}"')
@then('the active parts are ""')
def step_active(context, expected=""):
    active = [part for part in OverloadPart if context.parts.is_active(part)]
    assert ", ".join(active) == expected, active


@when('the modes "{modes}" are read')
def step_read(context, modes):
    context.error = None
    try:
        parse_modes(modes)
    except AlmondstairError as error:
        context.error = error


@then('it is refused as settings_invalid, with "{words}"')
def step_refused(context, words):
    assert context.error is not None
    assert context.error.kind is ErrorKind.SETTINGS_INVALID
    assert words in context.error.detail, context.error.detail


def _body(entry, records):
    rows = records.rows()
    return {
        "entry": entry,
        "store_age_s": 0.1,
        "entries": [{"name": entry, "region": "r"}],
        "overload": {"classes": [row._asdict() for row in rows]},
    }


@given(
    "two gateways of one region whose requests waited, were refused and came "
    "back"
)
def step_gateways(context):
    requests = RequestClass("s", 2)
    context.bodies = []
    for number in range(2):
        records = OverloadRecords()
        for _ in range(number + 2):
            records.record_wait(requests)
        records.record_wait_ended(requests)
        records.record_refused(requests, reason="no_slot")
        records.record_returned(requests)
        context.bodies.append(_body(f"g{number}", records))


@then("the overload view sums them by service and priority")
def step_sums(context):
    [row] = gateway_views.overload(context.bodies)
    assert (row.region, row.service, row.priority) == ("r", "s", 2)
    assert (row.waiting, row.waited, row.returned) == (3, 5, 2), row
    assert row.refused == {"no_slot": 2}
    assert row.whole
    table = gateway_tables.overload([row])
    assert table.row_count == 1


@then("a gateway of an older version adds nothing")
def step_older(context):
    rows = gateway_views.overload(context.bodies)
    older = {"entry": "g9", "store_age_s": 0.1, "entries": []}
    assert gateway_views.overload([*context.bodies, older]) == rows
    silent = {"entry": "g8", "silent": "refused", "store_age_s": None}
    [row] = gateway_views.overload([*context.bodies, silent])
    assert not row.whole
