"""Decodes and encodes the documents in the platform's store.

The field names of the documents are used only here; all other code works on the
types of `core`.
"""

from collections.abc import Sequence
import re
from typing import Annotated, Literal

import msgspec

from almondstair.addresses import address_problem
from almondstair.core.organisations import Organisation
from almondstair.core.organisations import key_digest
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.decoding import decode
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
# Registrations of entries; operators and upstreams do not write there.
ENTRY_PREFIX = "almondstair/entries/"
# Limits of the values in a registration: 1,000 times the slots of the largest
# known upstream, an hour, and the integers that all JSON libraries read alike.
# Larger values come from another writer, and would draw all traffic to one
# address or keep an upstream cold forever.
MAX_SLOTS = 64_000
MAX_COLD_S = 3600.0
MAX_SAFE_INTEGER = 2**53 - 1
# Largest numbers in a configuration; larger ones cannot be sent to other
# entries or added to a time.
MAX_CONFIGURED_S = 1e9
# The id is sent in a header of each request to the upstream.
_UPSTREAM_ID = re.compile(r"[!-~]{1,200}")
# The name is sent in a header of each request of the organisation.
_ORGANISATION_NAME = re.compile(r"[!-~]([ -~]{0,198}[!-~])?")
_VERSION_BASE = 16
_MAX_VERSION_CHARACTERS = 16
_KINDS = {str(kind): kind for kind in RouteKind}


_Integer = Annotated[
    int, msgspec.Meta(ge=-MAX_SAFE_INTEGER, le=MAX_SAFE_INTEGER)
]
_Number = Annotated[
    float, msgspec.Meta(ge=-MAX_SAFE_INTEGER, le=MAX_SAFE_INTEGER)
]
_Seconds = Annotated[
    float, msgspec.Meta(ge=-MAX_CONFIGURED_S, le=MAX_CONFIGURED_S)
]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]


class _Match(msgspec.Struct):
    prefix: str


class _TrafficShare(msgspec.Struct):
    service: str
    weight: _Number


class _Action(msgspec.Struct, rename="camel"):
    # `camel` also converts suffixes of units, as in `timeoutS`.
    timeout_s: _Seconds = 0.0
    attempts: _Integer = 1
    service: str = ""
    traffic_split: Sequence[_TrafficShare] = ()
    allowed_regions: Sequence[str] = ()


class _Rule(msgspec.Struct, rename="camel"):
    name: str
    route_type: str
    match: _Match
    action: _Action
    target_latency_s: _Seconds = 1.0
    priority: _Integer = 0
    session_affinity: bool = False
    public: bool = False


class _Listener(msgspec.Struct, rename="camel"):
    hostname: str
    rule_set: Sequence[_Rule] = ()


class _Cluster(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/"
    max_conns: _Integer = 0
    cold_start_s: _Seconds = 0.0
    cold_per_s: _Number = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: Sequence[str] = ()
    priority: _Integer | None = None
    rate_per_s: _Rate = 0.0
    burst: _Rate = 0.0
    allowed_regions: Sequence[str] = ()


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: _Integer
    max_body_bytes: _Integer
    header_timeout_s: _Seconds
    idle_timeout_s: _Seconds


class _Configuration(msgspec.Struct):
    version: str
    limits: _Limits
    listeners: Sequence[_Listener]
    clusters: Sequence[_Cluster]
    tenants: Sequence[_Tenant] = ()


class _Upstream(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)]
    seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)] = 0


class EntryRecord(msgspec.Struct):
    """Holds an entry's registration for lookups and for its peers.

    Attributes:
      callers: `ip:port` for callers.
      peers: `ip:port` for other entries.
      region: its region.
      availability_zone: its availability zone.
      incarnation: differs with each start of the process.
      cores: processors that it may use, 0 if unknown.
      link_mbps: bandwidth of its link in Mbit/s, 0 if unknown.
      relays: `ip:port` for requests of other entries, empty if it takes none.
    """

    callers: str
    peers: str
    region: str
    availability_zone: str
    incarnation: str
    cores: _Rate = 0.0
    link_mbps: _Rate = 0.0
    relays: str = ""


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_UPSTREAM = msgspec.json.Decoder(_Upstream)
_ENTRY = msgspec.json.Decoder(EntryRecord)
# A configuration as its writer encoded it, except for the keys of callers.
_DOCUMENT = msgspec.json.Decoder(dict[str, msgspec.Raw])
_DOCUMENT_TENANTS = msgspec.json.Decoder(list[dict[str, msgspec.Raw]])
_DOCUMENT_KEYS = msgspec.json.Decoder(list[str])


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Decodes the operator's configuration.

    Raises:
      AlmondstairError: `configuration_invalid`.
    """
    wire = decode(
        _CONFIGURATION.decode, value, kind=ErrorKind.CONFIGURATION_INVALID
    )
    routes = []
    for listener in wire.listeners:
        for rule in listener.rule_set:
            routes.append(_route(listener.hostname, rule))
    services = {}
    for cluster in wire.clusters:
        services[cluster.name] = ServiceRule(
            name=cluster.name,
            health_path=cluster.health_path,
            connection_limit=cluster.max_conns,
            cold_s=cluster.cold_start_s,
            cold_rate_per_s=cluster.cold_per_s,
        )
    return RoutingConfiguration(
        version=_version(wire.version),
        limits=CallerLimits(
            header_bytes=wire.limits.max_header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            header_timeout_s=wire.limits.header_timeout_s,
            idle_timeout_s=wire.limits.idle_timeout_s,
        ),
        routes=tuple(routes),
        services=services,
        organisations=_organisations(wire.tenants),
    )


def _version(text: str) -> int:
    """Returns the number of a version.

    Raises:
      AlmondstairError: `configuration_invalid`.
    """
    try:
        version = int(text[: _MAX_VERSION_CHARACTERS + 1], _VERSION_BASE)
    except ValueError as error:
        raise _invalid("version is not a hexadecimal number") from error
    if len(text) > _MAX_VERSION_CHARACTERS or version < 0:
        raise _invalid("version is out of range")
    return version


def _organisations(tenants: Sequence[_Tenant]) -> tuple[Organisation, ...]:
    """Returns the organisations of a configuration.

    Raises:
      AlmondstairError: `configuration_invalid`.
    """
    organisations = []
    names = set()
    owners: dict[str, str] = {}
    for position, tenant in enumerate(tenants):
        if _ORGANISATION_NAME.fullmatch(tenant.name) is None:
            raise _invalid(f"tenants[{position}].name is not printable ASCII")
        if tenant.name in names:
            raise _invalid(f"tenants[{position}] repeats {tenant.name}")
        names.add(tenant.name)
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant.name)
            if not key or owner != tenant.name:
                raise _invalid(
                    f"tenants[{position}].apiKeys has an empty key"
                    if not key
                    else f"tenants[{position}].apiKeys has a key of {owner}"
                )
        organisations.append(_organisation(tenant))
    return tuple(organisations)


def _organisation(tenant: _Tenant) -> Organisation:
    keys = [key.encode() for key in tenant.api_keys]
    return Organisation(
        name=tenant.name,
        keys=tuple(keys),
        priority=tenant.priority,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        allowed_regions=tuple(tenant.allowed_regions),
    )


def without_keys(value: bytes) -> bytes:
    """Returns the text of a configuration with digests in place of keys.

    Fields that this version does not know are returned as they are written.

    Raises:
      AlmondstairError: `configuration_invalid`.
    """
    return decode(_without_keys, value, kind=ErrorKind.CONFIGURATION_INVALID)


def _without_keys(value: bytes) -> bytes:
    document = _DOCUMENT.decode(value)
    if "tenants" not in document:
        return value
    tenants = _DOCUMENT_TENANTS.decode(document["tenants"])
    for tenant in tenants:
        digests = []
        if "apiKeys" in tenant:
            for key in _DOCUMENT_KEYS.decode(tenant["apiKeys"]):
                digests.append(key_digest(key.encode()))
        tenant["apiKeys"] = msgspec.Raw(msgspec.json.encode(digests))
    document["tenants"] = msgspec.Raw(msgspec.json.encode(tenants))
    return msgspec.json.encode(document)


def _invalid(detail: str) -> AlmondstairError:
    return AlmondstairError(kind=ErrorKind.CONFIGURATION_INVALID, detail=detail)


def _route(hostname: str, rule: _Rule) -> Route:
    action = rule.action
    destinations = []
    for part in action.traffic_split:
        destinations.append(
            Destination(service=part.service, weight=part.weight)
        )
    if not destinations:
        destinations.append(Destination(service=action.service, weight=1.0))
    # Requests of unknown route types are treated as not repeatable.
    kind = _KINDS.get(rule.route_type, RouteKind.UNSAFE)
    return Route(
        name=rule.name,
        hostname=hostname,
        prefix=rule.match.prefix,
        kind=kind,
        target_latency_s=rule.target_latency_s,
        timeout_s=action.timeout_s,
        attempts=action.attempts,
        priority=rule.priority,
        key_affinity=rule.session_affinity,
        destinations=tuple(destinations),
        allowed_regions=tuple(action.allowed_regions),
        public=rule.public,
    )


def decode_upstream(key: str, value: bytes) -> UpstreamRecord | None:
    """Decodes a registration of an upstream.

    The keys are writable by others. Validation is strict, as an invalid value
    of another writer would otherwise replace an upstream's registration, and
    its requests would go to an invalid address or nowhere.

    Returns:
      The registration; None if it is invalid.
    """
    upstream_id = key.removeprefix(UPSTREAM_PREFIX)
    if _UPSTREAM_ID.fullmatch(upstream_id) is None:
        return None
    try:
        wire = decode(
            _UPSTREAM.decode, value, kind=ErrorKind.CONFIGURATION_INVALID
        )
    except AlmondstairError:
        return None
    if address_problem(wire.address) is not None:
        return None
    return UpstreamRecord(
        upstream_id=upstream_id,
        service=wire.service,
        address=wire.address,
        availability_zone=wire.zone,
        software_version=wire.version,
        slots=wire.slots,
        draining=wire.state == "draining",
        cold_left_s=wire.cold_left_s,
        started_ms=wire.born,
        sequence=wire.seq,
    )


def decode_entry(value: bytes) -> EntryRecord | None:
    """Decodes an entry's registration; returns None if it is invalid."""
    try:
        record = decode(
            _ENTRY.decode, value, kind=ErrorKind.CONFIGURATION_INVALID
        )
    except AlmondstairError:
        return None
    addresses = [record.callers, record.peers]
    if record.relays:
        addresses.append(record.relays)
    for address in addresses:
        if address_problem(address) is not None:
            return None
    return record


def encode_entry(record: EntryRecord) -> bytes:
    """Encodes an entry's registration."""
    return msgspec.json.encode(record)
