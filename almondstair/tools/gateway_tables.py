"""Tables of what gateways report; missing values are shown as unknown."""

from pathlib import Path
from typing import Any

from rich import table as rich_table

from almondstair.tools import gateway_views
from almondstair.tools import losses as losses_module
from almondstair.tools import request_explanations
from almondstair.tools import tables

# Older data is highlighted; gateways read the store twice a second.
STALE_S = 5.0


def gateways(bodies: list[dict[str, Any]]) -> rich_table.Table:
    """Returns the table of gateways, with unreachable ones."""
    table = tables.make_table(
        "Gateways",
        (
            "entry",
            "ready",
            "version",
            "store revision",
            "store age",
            "peers",
            "upstreams",
        ),
    )
    for body in bodies:
        if "silent" in body:
            unreachable = f"[red]does not answer[/red]: {body['silent']}"
            table.add_row(body["entry"], unreachable, *(tables.UNKNOWN,) * 5)
            continue
        table.add_row(
            body["entry"],
            "yes" if body["ready"] else "[red]NO[/red]",
            str(body["configuration_version"]),
            _revision(body["store_revision"], body.get("store_epoch", 0)),
            _age(body["store_age_s"]),
            "all heard" if body["peers_heard"] else tables.UNKNOWN,
            _links(body.get("links")),
        )
    return table


def _revision(number: int, epoch: int) -> str:
    """Returns a revision of the store, with its epoch if the store has one."""
    return f"{number} (epoch {epoch})" if epoch else str(number)


def _links(links: dict[str, Any] | None) -> str:
    """Returns whether a gateway reaches upstreams."""
    if links is None:
        # An older version does not report it.
        return tables.UNKNOWN
    if links["for_s"] is None:
        return str(links["state"])
    return f"[red]none for {links['for_s']:.1f} s[/red]"


def upstreams(body: dict[str, Any]) -> rich_table.Table:
    """Returns the table of upstreams as one gateway sees them."""
    table = tables.make_table(
        f"Upstreams as {body['entry']} sees them",
        (
            "upstream",
            "service",
            "zone",
            "busy",
            "slots",
            "own word",
            "run time",
            "state",
        ),
    )
    for row in body["upstreams"]:
        age_s = row["load_age_s"]
        report_age = "none" if age_s is None else f"{age_s:.1f} s ago"
        table.add_row(
            row["id"],
            row["service"],
            row["availability_zone"],
            f"{row['busy']:.1f}",
            str(row["slots"]),
            report_age,
            _run_time(row),
            _state(row, body["evacuated"]),
        )
    return table


def _run_time(row: dict[str, Any]) -> str:
    """Returns how long an upstream says that work runs, with its age."""
    # An older version does not report it.
    percent = row.get("run_time_percent")
    if percent is None:
        return tables.UNKNOWN
    return f"{percent}% {row['run_time_age_s']:.1f} s ago"


def _state(row: dict[str, Any], evacuated: list[str]) -> str:
    states = []
    for name in ("draining", "paused", "cold"):
        if row[name]:
            states.append(name)
    source = row.get("leaving_source")
    if source is not None:
        states.append(f"told by {source}")
    if row["availability_zone"] in evacuated:
        states.append("evacuated")
    if row.get("rest_left_s"):
        states.append(f"wants rest for {row['rest_left_s']:.1f} s")
    limit_per_s = row.get("limit_per_s")
    if limit_per_s is not None:
        states.append(f"limited to {limit_per_s:g}/s")
    if row["slowness"] > 1.5:
        states.append(f"{row['slowness']:.1f} times slower")
    if row["failure_share"] > 0.1:
        states.append(f"fails {row['failure_share']:.0%}")
    return ", ".join(states) or "ready"


def lines(
    title: str, found: list[request_explanations.LogLine]
) -> rich_table.Table:
    """Returns the table of log lines."""
    table = tables.make_table(title, ("time", "log", "event", "what it says"))
    for line in found:
        table.add_row(
            line.time,
            Path(line.source).name,
            f"{line.event} {line.fields.get('event_name')}",
            request_explanations.details(line),
        )
    return table


def ages(bodies: list[dict[str, Any]]) -> rich_table.Table:
    """Returns the table with the age of each gateway's data."""
    table = tables.make_table("Reported by", ("gateway", "store age"))
    for body in bodies:
        if "silent" in body:
            unreachable = f"[red]does not answer[/red]: {body['silent']}"
            table.add_row(body["entry"], unreachable)
            continue
        table.add_row(body["entry"], _age(body["store_age_s"]))
    return table


def _age(age_s: float) -> str:
    if age_s > STALE_S:
        return f"[red]{age_s:.1f} s[/red]"
    return f"{age_s:.1f} s"


def vms(rows: list[gateway_views.VmRow]) -> rich_table.Table:
    """Returns the table of VMs with a gateway."""
    table = tables.make_table(
        "VMs", ("vm", "region", "zone", "answers", "ready", "known to")
    )
    for row in rows:
        table.add_row(
            row.name,
            row.region or tables.UNKNOWN,
            row.availability_zone or tables.UNKNOWN,
            _yes_no(row.answers),
            _yes_no(row.ready),
            f"{len(row.known_to)} gateways",
        )
    return table


def _yes_no(value: bool | None) -> str:
    if value is None:
        return tables.UNKNOWN
    return "yes" if value else "[red]NO[/red]"


def organisations(
    rows: list[gateway_views.OrganisationRow],
) -> rich_table.Table:
    """Returns the table of organisations and their quotas."""
    table = tables.make_table(
        "Organisations",
        ("organisation", "keys", "quota", "asks", "asked", "refused", "totals"),
    )
    for row in rows:
        quota = "none"
        if row.rate_per_s:
            quota = f"{row.rate_per_s:g}/s, burst {row.burst:g}"
        asks = "little"
        if row.asked_per_s is not None:
            asks = f"{row.asked_per_s:.1f}/s"
        age_s = row.totals_age_s
        table.add_row(
            row.name,
            str(row.keys),
            quota,
            asks,
            str(row.asked),
            str(row.refused),
            tables.UNKNOWN if age_s is None else _age(age_s),
        )
    return table


def overload(rows: list[gateway_views.OverloadRow]) -> rich_table.Table:
    """Returns the table of what waits, is refused and comes back."""
    table = tables.make_table(
        "Overload",
        (
            "region",
            "service",
            "priority",
            "waiting",
            "waited",
            "returned",
            "refused",
            "return times",
        ),
    )
    for row in rows:
        refused = [f"{count} {why}" for why, count in row.refused.items()]
        return_times = [
            f"{count} {basis}" for basis, count in row.return_times.items()
        ]
        table.add_row(
            row.region or tables.UNKNOWN,
            row.service,
            str(row.priority),
            str(row.waiting),
            str(row.waited),
            str(row.returned),
            ", ".join(refused) or "none",
            ", ".join(return_times) or "none",
        )
    return table


def shares(rows: list[gateway_views.ShareRow]) -> rich_table.Table:
    """Returns the table of the shares of organisations."""
    table = tables.make_table(
        "Shares of organisations",
        (
            "gateway",
            "service",
            "shares",
            "since",
            "capacity",
            "limited",
            "refused",
        ),
    )
    for row in rows:
        limited = []
        for each in row.limited:
            limited.append(
                f"{each['organisation'] or 'without'}"
                f" {each['share_per_s']}/s of {each['asked_per_s']}/s"
                f" at {each['priority']}"
            )
        refused = []
        for name, count in row.refused.items():
            refused.append(f"{count} {name or 'without'}")
        state = "in force" if row.in_force else "open"
        table.add_row(
            row.gateway,
            row.service,
            f"{state}: {row.reason}" if row.reason else state,
            tables.UNKNOWN if row.for_s is None else f"{row.for_s:.1f} s",
            f"{row.capacity_per_s}/s",
            ", ".join(limited) or "none",
            ", ".join(refused) or "none",
        )
    return table


def memory(rows: list[gateway_views.MemoryRow]) -> rich_table.Table:
    """Returns the table of what gateways hold for their callers."""
    table = tables.make_table(
        "Held bytes",
        (
            "gateway",
            "step",
            "for",
            "held MiB",
            "most MiB",
            "of MiB",
            "MiB by kind",
            "connections",
            "refused",
            "closed",
        ),
    )
    for row in rows:
        kinds = [
            f"{_mebibytes(size)} {kind}" for kind, size in row.by_kind.items()
        ]
        table.add_row(
            row.gateway,
            row.step,
            "" if row.step_for_s is None else f"{row.step_for_s:.1f} s",
            _mebibytes(row.held_bytes),
            _mebibytes(row.most_bytes),
            _mebibytes(row.budget_bytes),
            ", ".join(kinds),
            str(row.connections),
            str(row.refused),
            str(row.closed),
        )
    return table


def _mebibytes(size_bytes: int) -> str:
    return f"{size_bytes / (1 << 20):.1f}"


def draining(rows: list[gateway_views.DrainRow]) -> rich_table.Table:
    """Returns the table of upstreams that are leaving."""
    table = tables.make_table(
        "Leaving upstreams",
        ("upstream", "service", "zone", "in flight", "known to", "not yet to"),
    )
    for row in rows:
        table.add_row(
            row.upstream,
            row.service,
            row.availability_zone,
            _in_flight(row),
            f"{len(row.known_to)} gateways",
            ", ".join(row.not_known_to) or "none",
        )
    return table


def _in_flight(
    row: gateway_views.DrainRow | gateway_views.EvacuationRow,
) -> str:
    if not row.whole:
        return f"{row.in_flight} or more"
    return str(row.in_flight) if row.in_flight else "idle"


def evacuations(rows: list[gateway_views.EvacuationRow]) -> rich_table.Table:
    """Returns the table of evacuated zones."""
    table = tables.make_table(
        "Evacuated zones", ("zone", "in flight", "known to", "not yet to")
    )
    for row in rows:
        known = []
        for name, for_s in row.known_for_s.items():
            known.append(f"{name} for {for_s:.1f} s")
        table.add_row(
            row.availability_zone,
            _in_flight(row),
            ", ".join(known),
            ", ".join(row.not_known_to) or "none",
        )
    return table


def versions(body: dict[str, Any]) -> rich_table.Table:
    """Returns the table of configurations that were in force."""
    table = tables.make_table(
        f"Configurations on {body['entry']}, store read "
        f"{body['store_age_s']:.1f} s ago",
        ("version", "store revision", "in force"),
    )
    for row in body["versions"]:
        table.add_row(
            str(row["version"]),
            _revision(row["revision"], row.get("epoch", 0)),
            f"{row['in_force_s_ago']:.1f} s ago",
        )
    return table


def losses(title: str, rows: list[losses_module.Row]) -> rich_table.Table:
    """Returns a table of lost and late requests by cause."""
    table = tables.make_table(title, ("part", "requests", "lost or late, why"))
    for row in rows:
        causes = []
        for cause, count in losses_module.loss_counts(row):
            causes.append(f"{count} {cause}")
        table.add_row(row.part, str(row.asked), ", ".join(causes) or "none")
    return table
