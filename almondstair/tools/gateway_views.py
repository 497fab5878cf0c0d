"""Views that merge the reports of several gateways.

A gateway that does not answer is never counted as idle: every view also shows
the age of each gateway's data, or that the gateway does not answer.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple


class VmRow(NamedTuple):
    """Describes a VM with a gateway.

    Attributes:
      name: name of the VM, or its address if it does not answer.
      region: its region, empty if unknown.
      availability_zone: its zone, empty if unknown.
      answers: whether it answered, None if it was not queried.
      ready: whether it accepts new callers, None if unknown.
      known_to: names of the gateways that list it as live.
    """

    name: str
    region: str
    availability_zone: str
    answers: bool | None
    ready: bool | None
    known_to: list[str]


class DrainRow(NamedTuple):
    """Describes an upstream that is leaving.

    Attributes:
      upstream: its id.
      service: its service.
      availability_zone: its zone.
      in_flight: requests in flight from the gateways that answered.
      known_to: names of the gateways that know that it is leaving.
      not_known_to: names of those that would still send to it.
      whole: whether every queried gateway answered; if not, more may
        be in flight.
    """

    upstream: str
    service: str
    availability_zone: str
    in_flight: int
    known_to: list[str]
    not_known_to: list[str]
    whole: bool


class EvacuationRow(NamedTuple):
    """Describes an evacuated zone, whose upstreams get no requests.

    Attributes:
      availability_zone: the zone.
      known_for_s: seconds since each gateway got the order, by its name.
      not_known_to: names of the gateways that would still send there.
      in_flight: requests in flight from the gateways that answered.
      whole: whether every queried gateway answered; if not, more may
        be in flight.
    """

    availability_zone: str
    known_for_s: dict[str, float]
    not_known_to: list[str]
    in_flight: int
    whole: bool


class OrganisationRow(NamedTuple):
    """Describes an organisation and the use of its quota.

    Attributes:
      name: its name.
      keys: number of its keys.
      rate_per_s: requests per second of its quota, 0 for no limit.
      burst: requests that it may send at once in addition.
      asked: requests at the gateways that answered, since their starts.
      refused: those of them that were refused for the quota.
      refused_by_entry: refused requests by gateway, where there are any.
      asked_per_s: highest rate over all entries that a gateway knows; None if
        the organisation asks for little.
      totals_age_s: highest age of the totals that a gateway applies; None if a
        gateway has none.
      whole: whether every queried gateway answered.
    """

    name: str
    keys: int
    rate_per_s: float
    burst: float
    asked: int
    refused: int
    refused_by_entry: dict[str, int]
    asked_per_s: float | None
    totals_age_s: float | None
    whole: bool


class ShareRow(NamedTuple):
    """Describes the shares of a service at one gateway.

    Attributes:
      gateway: name of the gateway.
      service: the service.
      in_force: whether organisations are held to shares.
      reason: why, or why not.
      for_s: since when, in seconds.
      capacity_per_s: requests per second that the service completes.
      totals_age_s: age of the demands over all gateways, in seconds.
      limited: the organisations that get less than they ask for.
      refused: refused requests by organisation.
    """

    gateway: str
    service: str
    in_force: bool
    reason: str
    for_s: float | None
    capacity_per_s: float
    totals_age_s: float | None
    limited: list[dict[str, Any]]
    refused: dict[str, int]


class OverloadRow(NamedTuple):
    """Describes one priority of a service in a region under overload.

    Attributes:
      region: region of the gateways, empty if unknown.
      service: the service.
      priority: the priority; 0 is the highest.
      waiting: requests that wait for a slot at the gateways that answered.
      waited: requests that have waited there.
      refused: refused requests by reason.
      returned: requests whose callers had been refused before.
      return_times: decided return times by what they rest on.
      whole: whether every queried gateway answered.
    """

    region: str
    service: str
    priority: int
    waiting: int
    waited: int
    refused: dict[str, int]
    returned: int
    return_times: dict[str, int]
    whole: bool


class MemoryRow(NamedTuple):
    """Describes the bytes that one gateway holds for its callers.

    Attributes:
      gateway: its name.
      step: the step against held bytes that is in force, `open` without one.
      step_for_s: for how long, in seconds; None without one.
      held_bytes: bytes that it holds.
      most_bytes: the most that it has held since its start.
      budget_bytes: bytes that it may hold.
      by_kind: held bytes by kind.
      connections: callers' connections for which it holds any.
      refused: requests refused for it, since its start.
      closed: connections closed for it, since its start.
    """

    gateway: str
    step: str
    step_for_s: float | None
    held_bytes: int
    most_bytes: int
    budget_bytes: int
    by_kind: dict[str, int]
    connections: int
    refused: int
    closed: int


def as_json(
    bodies: list[dict[str, Any]], name: str, rows: Sequence[Any]
) -> dict[str, Any]:
    """Returns rows for --json, with the age of each gateway's data."""
    ages_s = {}
    for body in bodies:
        ages_s[body["entry"]] = body.get("store_age_s")
    return {name: [row._asdict() for row in rows], "store_age_s": ages_s}


def _reachable(bodies: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    for body in bodies:
        if "silent" not in body:
            yield body


def _all_answered(bodies: list[dict[str, Any]]) -> bool:
    return all("silent" not in body for body in bodies)


def vms(bodies: list[dict[str, Any]]) -> list[VmRow]:
    """Returns the queried VMs and those that a queried one knows."""
    found: dict[str, VmRow] = {}
    for body in bodies:
        unreachable = "silent" in body
        found[body["entry"]] = VmRow(
            name=body["entry"],
            region="",
            availability_zone="",
            answers=not unreachable,
            ready=None if unreachable else body["ready"],
            known_to=[],
        )
    for body in _reachable(bodies):
        for entry in body["entries"]:
            row = found.get(entry["name"])
            if row is None:
                row = VmRow(entry["name"], "", "", None, None, [])
            row.known_to.append(body["entry"])
            found[entry["name"]] = row._replace(
                region=entry["region"],
                availability_zone=entry["availability_zone"],
            )
    return [found[name] for name in sorted(found)]


def draining(bodies: list[dict[str, Any]]) -> list[DrainRow]:
    """Returns the upstreams that some gateway knows to be leaving."""
    found: dict[str, DrainRow] = {}
    for _, upstream in _upstreams(bodies):
        if not upstream["draining"] or upstream["id"] in found:
            continue
        found[upstream["id"]] = DrainRow(
            upstream=upstream["id"],
            service=upstream["service"],
            availability_zone=upstream["availability_zone"],
            in_flight=0,
            known_to=[],
            not_known_to=[],
            whole=_all_answered(bodies),
        )
    for body, upstream in _upstreams(bodies):
        row = found.get(upstream["id"])
        if row is None:
            continue
        knows = row.known_to if upstream["draining"] else row.not_known_to
        knows.append(body["entry"])
        found[row.upstream] = row._replace(
            in_flight=row.in_flight + upstream["in_flight"]
        )
    return [found[upstream_id] for upstream_id in sorted(found)]


def _upstreams(
    bodies: list[dict[str, Any]],
) -> Iterator[tuple[dict[str, Any], dict[str, Any]]]:
    for body in _reachable(bodies):
        for upstream in body["upstreams"]:
            yield body, upstream


def evacuations(bodies: list[dict[str, Any]]) -> list[EvacuationRow]:
    """Returns the zones that some gateway knows to be evacuated."""
    zones = set()
    for body in _reachable(bodies):
        zones.update(body["evacuated_for_s"])
    rows = []
    for zone in sorted(zones):
        known_for_s = {}
        not_known_to = []
        for body in _reachable(bodies):
            for_s = body["evacuated_for_s"].get(zone)
            if for_s is None:
                not_known_to.append(body["entry"])
                continue
            known_for_s[body["entry"]] = for_s
        in_flight = 0
        for _, upstream in _upstreams(bodies):
            if upstream["availability_zone"] == zone:
                in_flight += upstream["in_flight"]
        rows.append(
            EvacuationRow(
                availability_zone=zone,
                known_for_s=known_for_s,
                not_known_to=not_known_to,
                in_flight=in_flight,
                whole=_all_answered(bodies),
            )
        )
    return rows


def organisations(bodies: list[dict[str, Any]]) -> list[OrganisationRow]:
    """Returns the organisations, the most refused first."""
    reports: dict[str, list[tuple[dict[str, Any], dict[str, Any]]]] = {}
    for body in _reachable(bodies):
        for report in body.get("organisations", []):
            reports.setdefault(report["name"], []).append((body, report))
    whole = _all_answered(bodies)
    rows = []
    for name in sorted(reports):
        rows.append(_organisation_row(name, reports[name], whole=whole))
    rows.sort(key=lambda row: -row.refused)
    return rows


def _organisation_row(
    name: str,
    reports: list[tuple[dict[str, Any], dict[str, Any]]],
    *,
    whole: bool,
) -> OrganisationRow:
    refused = {}
    rates = []
    ages = []
    for body, report in reports:
        if report["refused"]:
            refused[body["entry"]] = report["refused"]
        if report["asked_per_s"] is not None:
            rates.append(report["asked_per_s"])
        ages.append(body["quota_totals_age_s"])
    newest = reports[0][1]
    return OrganisationRow(
        name=name,
        keys=newest["keys"],
        rate_per_s=newest["rate_per_s"],
        burst=newest["burst"],
        asked=sum(report["asked"] for _, report in reports),
        refused=sum(refused.values()),
        refused_by_entry=refused,
        asked_per_s=max(rates, default=None),
        totals_age_s=None if None in ages else max(ages),
        whole=whole,
    )


def overload(bodies: list[dict[str, Any]]) -> list[OverloadRow]:
    """Returns the classes of requests by region, service and priority."""
    classes: dict[tuple[str, str, int], list[dict[str, Any]]] = {}
    for body in _reachable(bodies):
        region = _own_region(body)
        # An older version does not report it.
        for found in body.get("overload", {}).get("classes", []):
            key = (region, found["service"], found["priority"])
            classes.setdefault(key, []).append(found)
    whole = _all_answered(bodies)
    rows = []
    for (region, service, priority), found in sorted(classes.items()):
        refused: Counter[str] = Counter()
        return_times: Counter[str] = Counter()
        for each in found:
            refused.update(each["refused"])
            # An older version does not report them.
            return_times.update(each.get("return_times", {}))
        rows.append(
            OverloadRow(
                region=region,
                service=service,
                priority=priority,
                waiting=sum(each["waiting"] for each in found),
                waited=sum(each["waited"] for each in found),
                refused=dict(refused),
                returned=sum(each["returned"] for each in found),
                return_times=dict(return_times),
                whole=whole,
            )
        )
    return rows


def shares(bodies: list[dict[str, Any]]) -> list[ShareRow]:
    """Returns the shares of services at each gateway."""
    rows = []
    for body in _reachable(bodies):
        # An older version does not report them.
        for found in body.get("overload", {}).get("shares", []):
            rows.append(
                ShareRow(
                    gateway=body["entry"],
                    service=found["service"],
                    in_force=found["in_force"],
                    reason=found["reason"],
                    for_s=found["for_s"],
                    capacity_per_s=found["capacity_per_s"],
                    totals_age_s=found["totals_age_s"],
                    limited=found["limited"],
                    refused=found["refused"],
                )
            )
    return rows


def memory(bodies: list[dict[str, Any]]) -> list[MemoryRow]:
    """Returns what the gateways hold that bound it."""
    rows = []
    for body in _reachable(bodies):
        # An older version does not report it.
        found = body.get("overload", {}).get("memory")
        if found is None:
            continue
        # A newer version may report more.
        known = {name: found[name] for name in MemoryRow._fields[1:]}
        rows.append(MemoryRow(gateway=body["entry"], **known))
    return rows


def _own_region(body: dict[str, Any]) -> str:
    for entry in body["entries"]:
        if entry["name"] == body["entry"]:
            return str(entry["region"])
    return ""
