"""Finds the organisation of a caller, and its route for a request."""

from typing import NamedTuple

from almondstair.core.organisations import Organisation
from almondstair.core.routing import Route
from almondstair.core.routing import RoutingTable
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.http_encoding import Headers
from almondstair.platform import headers as names


class Access(NamedTuple):
    """Holds what a caller may use.

    Attributes:
      route: the route as it applies to the caller.
      organisation: the caller's organisation; None if the configuration has no
        organisations or the route is public.
    """

    route: Route
    organisation: Organisation | None


def find_access(table: RoutingTable, route: Route, headers: Headers) -> Access:
    """Returns what the caller of a request may use.

    Raises:
      AlmondstairError: `bad_request` for two keys, `unauthenticated` for no
        known one, `no_allowed_region` if the route and the organisation have no
        region in common.
    """
    if not table.requires_key(route):
        return Access(route=route, organisation=None)
    organisation = _find_organisation(table, headers)
    return _combine(table, route, organisation)


def find_relayed_access(
    table: RoutingTable, route: Route, organisation: str
) -> Access:
    """Returns what a caller may use whose key another entry has checked.

    Args:
      table: the routing table.
      route: the route of the request.
      organisation: name of the caller's organisation, empty if it has none.

    Raises:
      AlmondstairError: `relay_refused` if it is not known here,
        `no_allowed_region` as in `find_access`.
    """
    if not table.requires_key(route):
        return Access(route=route, organisation=None)
    for candidate in table.configuration.organisations:
        if candidate.name == organisation:
            return _combine(table, route, candidate)
    raise AlmondstairError(
        kind=ErrorKind.RELAY_REFUSED,
        detail=f"no organisation {organisation!r} in version {table.version}",
    )


def _combine(
    table: RoutingTable, route: Route, organisation: Organisation
) -> Access:
    combined = table.route_for(route, organisation=organisation)
    if combined is None:
        raise AlmondstairError(
            kind=ErrorKind.NO_ALLOWED_REGION,
            detail=f"{route.name} and {organisation.name} allow no same region",
        )
    return Access(route=combined, organisation=organisation)


def _find_organisation(table: RoutingTable, headers: Headers) -> Organisation:
    values = [value for name, value in headers if name == names.AUTHORIZATION]
    if len(values) > 1:
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST, detail="several Authorization headers"
        )
    key = names.parse_key(values[0]) if values else None
    organisation = table.organisation(key) if key is not None else None
    if organisation is None:
        raise AlmondstairError(
            kind=ErrorKind.UNAUTHENTICATED,
            detail=f"no organisation has the key in version {table.version}",
        )
    return organisation
