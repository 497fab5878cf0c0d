"""Gateway settings and configurations in the platform's formats."""

import base64
from collections.abc import Mapping, Sequence
import json
from typing import Any, NamedTuple

from emulator.deployment import Deployment

HOST = "shop.example"
LISTENERS = (
    "callers",
    "ready",
    "lookups",
    "control",
    "peers",
    "relays",
    "operators",
)
BOUNDS = {
    "drainS": 2.0,
    "graceS": 4.0,
    "configApplyS": 2.0,
    "retryBudgetRatio": 0.2,
    "retryBudgetSlack": 50,
    "budgetWindowS": 10,
    "coldOver": 1.5,
    "coldSlack": 5,
    "ttl_max_s": 5,
    "maxShift": 0.15,
}


class GatewayDescription(NamedTuple):
    """Identity and addresses of a gateway.

    Attributes:
      name: name of its VM.
      zone: its availability zone.
      addresses: `ip:port` of each of `LISTENERS`.
      store: `ip:port` of the store.
      zones: region of each availability zone.
      seed: control `ip:port` of another gateway; empty for its own.
      bounds: operator bounds, by their names in the platform's settings.
    """

    name: str
    zone: str
    addresses: dict[str, str]
    store: str
    zones: dict[str, str]
    seed: str = ""
    bounds: dict[str, float] = BOUNDS


def settings_text(gateway: GatewayDescription) -> str:
    """Returns the settings file of a gateway."""
    addresses = gateway.addresses
    peers = addresses["peers"].rpartition(":")[2]
    relays = addresses["relays"].rpartition(":")[2]
    lines = [
        "[local]",
        f'nodeName = "{gateway.name}"',
        'ip = "127.0.0.1"',
        f'zone = "{gateway.zone}"',
        f'region = "{gateway.zones[gateway.zone]}"',
        # A gateway has to ignore settings that it does not know.
        "somethingNew = 1",
        "[network]",
        f"internalPorts = [{peers}, {relays}]",
        f'seeds = ["{gateway.seed or addresses["control"]}"]',
        "[network.listen]",
        f'front = "{addresses["callers"]}"',
        f'ready = "{addresses["ready"]}"',
        f'directory = "{addresses["lookups"]}"',
        f'control = "{addresses["control"]}"',
        "[network.zones]",
    ]
    for zone, region in gateway.zones.items():
        lines.append(f'{zone} = "{region}"')
    lines += [
        "[platform]",
        "heartbeatS = 0.3",
        "[platform.platform]",
        f'address = "{gateway.store}"',
        "ttlMinS = 1",
        "[terms.bounds]",
    ]
    for key, value in gateway.bounds.items():
        lines.append(f"{key} = {value}")
    return "\n".join(lines) + "\n"


def route(
    prefix: str, service: str = "service", kind: str = "safe", **action: Any
) -> dict[str, Any]:
    """Returns a route rule of the operator's configuration."""
    route_action = {"service": service, "timeoutS": 2.0, "attempts": 2}
    route_action.update(action)
    return {
        "name": f"r{prefix.strip('/')}",
        "routeType": kind,
        "targetLatencyS": 1.0,
        "priority": 1,
        "sessionAffinity": True,
        "match": {"prefix": prefix},
        "action": route_action,
    }


def configuration_text(
    version: int,
    routes: list[dict[str, Any]],
    services: tuple[str, ...] = ("service", "other"),
    organisations: Sequence[dict[str, Any]] = (),
    **limits: Any,
) -> str:
    """Returns the operator's configuration as JSON."""
    clusters = [_cluster(name, 3.0, 5.0) for name in services]
    return _configuration(version, routes, clusters, limits, organisations)


def organisation(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Returns an organisation of the operator's configuration."""
    return {"name": name, "apiKeys": list(keys)} | fields


def _cluster(
    name: str, cold_s: float, cold_rate_per_s: float
) -> dict[str, Any]:
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 100,
        "coldStartS": cold_s,
        "coldPerS": cold_rate_per_s,
    }


def _configuration(
    version: int,
    rules: list[dict[str, Any]],
    clusters: list[dict[str, Any]],
    limits: dict[str, Any],
    organisations: Sequence[dict[str, Any]] = (),
) -> str:
    default_limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4 << 20,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    document = {
        "version": f"{version:08x}",
        "limits": default_limits | limits,
        "listeners": [{"hostname": HOST, "ruleSet": rules}],
        "clusters": clusters,
    }
    if organisations:
        document["tenants"] = list(organisations)
    return json.dumps(document)


def deployment_text(version: int, deployment: Deployment) -> str:
    """Returns the operator's configuration for a deployment as JSON."""
    rules = []
    for route_rule in deployment.routes:
        rule = route(
            route_rule.prefix,
            route_rule.service,
            route_rule.kind,
            timeoutS=route_rule.timeout_ms / 1000,
            attempts=route_rule.attempts,
        )
        rule["targetLatencyS"] = route_rule.aim_ms / 1000
        rule["priority"] = route_rule.priority
        rules.append(rule)
    clusters = []
    for service in deployment.services:
        clusters.append(
            _cluster(service.name, service.cold_s, service.cold_rate_per_s)
        )
    return _configuration(version, rules, clusters, {})


def operator_change(
    puts: Mapping[str, str | bytes] | None = None,
    remove: list[str] | None = None,
) -> dict[str, Any]:
    """Returns the body of an operator's transaction on the store."""
    rows = []
    for key, content in (puts or {}).items():
        data = content.encode() if isinstance(content, str) else content
        rows.append({"key": key, "value": base64.b64encode(data).decode()})
    return {"puts": rows, "remove": remove or []}
