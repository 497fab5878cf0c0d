"""Tables and plots of an experiment, for the terminal and as an HTML page."""

import html
from pathlib import Path
from typing import NamedTuple

import pygal
from pygal.style import CleanStyle

from emulator.experiment import Round
from emulator.load import NOT_RUN_STATUSES
from emulator.load import Outcome

PERCENTILES = (0.5, 0.9, 0.99)
# Step and upper end of the latency axis of the plot.
LATENCY_STEP_MS = 25
MAX_LATENCY_MS = 2000


class Row(NamedTuple):
    """Figures of one side over a group of requests.

    Attributes:
      group: `all`, a route's prefix or an availability zone.
      side: name of the side.
      sent: number of requests.
      served_share: share that was served.
      in_aim_share: share that was served within the route's target latency.
      refused_share: share whose last response guarantees that the request has
        not run.
      percentiles_ms: latencies of served requests at `PERCENTILES`, in
        milliseconds.
    """

    group: str
    side: str
    sent: int
    served_share: float
    in_aim_share: float
    refused_share: float
    percentiles_ms: tuple[float, ...]


class Cost(NamedTuple):
    """Resource use of one side.

    Attributes:
      side: name of the side.
      store_calls_per_s: store calls per second of load.
      cpu_ms: CPU time of all gateways per request, in milliseconds.
      memory_mb: largest resident memory of a gateway, in MB.
      runs_per_request: runs at upstreams per request.
    """

    side: str
    store_calls_per_s: float
    cpu_ms: float
    memory_mb: float
    runs_per_request: float


def percentile(values: list[float], share: float) -> float:
    """Returns the value at a quantile of sorted values, 0.0 if empty."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def rows(rounds: list[Round], *, zones: list[str]) -> list[Row]:
    """Returns the figures of each side: overall, by route and by zone."""
    result = []
    sides = list(dict.fromkeys(each.side for each in rounds))
    routes = []
    for each in rounds:
        for outcome in each.outcomes:
            if outcome.arrival.route.prefix not in routes:
                routes.append(outcome.arrival.route.prefix)
    for side in sides:
        result.append(_row("all", side, _select_outcomes(rounds, side)))
    for route in sorted(routes):
        for side in sides:
            result.append(
                _row(route, side, _select_outcomes(rounds, side, route=route))
            )
    for zone in zones:
        for side in sides:
            result.append(
                _row(zone, side, _select_outcomes(rounds, side, zone=zone))
            )
    return result


def _select_outcomes(
    rounds: list[Round], side: str, *, route: str = "", zone: str = ""
) -> list[Outcome]:
    selected = []
    for each in rounds:
        if each.side != side:
            continue
        for outcome in each.outcomes:
            if route and outcome.arrival.route.prefix != route:
                continue
            if zone and outcome.arrival.zone != zone:
                continue
            selected.append(outcome)
    return selected


def _row(group: str, side: str, outcomes: list[Outcome]) -> Row:
    sent = len(outcomes)
    latencies_ms = []
    in_aim = 0
    refused = 0
    for outcome in outcomes:
        if outcome.status in NOT_RUN_STATUSES:
            refused += 1
        if not outcome.served:
            continue
        latency_ms = outcome.latency_s * 1000
        latencies_ms.append(latency_ms)
        in_aim += latency_ms <= outcome.arrival.route.aim_ms
    latencies_ms.sort()
    total = max(1, sent)
    return Row(
        group=group,
        side=side,
        sent=sent,
        served_share=len(latencies_ms) / total,
        in_aim_share=in_aim / total,
        refused_share=refused / total,
        percentiles_ms=tuple(
            percentile(latencies_ms, share) for share in PERCENTILES
        ),
    )


def costs(rounds: list[Round], *, seconds: float) -> list[Cost]:
    """Returns the resource use of each side, over all its rounds."""
    result = []
    for side in dict.fromkeys(each.side for each in rounds):
        side_rounds = [each for each in rounds if each.side == side]
        sent = max(1, sum(len(each.outcomes) for each in side_rounds))
        calls = sum(sum(each.store_calls.values()) for each in side_rounds)
        result.append(
            Cost(
                side=side,
                store_calls_per_s=calls / (seconds * len(side_rounds)),
                cpu_ms=sum(each.gateway_cpu_s for each in side_rounds)
                / sent
                * 1000,
                memory_mb=max(each.gateway_peak_bytes for each in side_rounds)
                / 1e6,
                runs_per_request=sum(each.runs for each in side_rounds) / sent,
            )
        )
    return result


_ROW_TITLES = (
    "requests",
    "side",
    "sent",
    "served",
    "in aim",
    "refused",
    "p50 ms",
    "p90 ms",
    "p99 ms",
)
_COST_TITLES = (
    "side",
    "store calls/s",
    "gateway cpu ms/request",
    "gateway MB",
    "runs/request",
)


def _row_cells(row: Row) -> list[str]:
    cells = [row.group, row.side, str(row.sent)]
    for share in (row.served_share, row.in_aim_share, row.refused_share):
        cells.append(f"{share:.3f}")
    cells += [f"{value:.0f}" for value in row.percentiles_ms]
    return cells


def _cost_cells(cost: Cost) -> list[str]:
    return [
        cost.side,
        f"{cost.store_calls_per_s:.1f}",
        f"{cost.cpu_ms:.2f}",
        f"{cost.memory_mb:.0f}",
        f"{cost.runs_per_request:.3f}",
    ]


def _table(titles: tuple[str, ...], lines: list[list[str]]) -> str:
    widths = [len(title) for title in titles]
    for line in lines:
        for index, cell in enumerate(line):
            widths[index] = max(widths[index], len(cell))
    shown = []
    for line in [list(titles), *lines]:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        shown.append("  ".join(cells).rstrip())
    return "\n".join(shown)


def text(summary_rows: list[Row], cost_rows: list[Cost]) -> str:
    """Returns both tables as plain text."""
    summary_table = _table(
        _ROW_TITLES, [_row_cells(row) for row in summary_rows]
    )
    cost_table = _table(_COST_TITLES, [_cost_cells(each) for each in cost_rows])
    return f"{summary_table}\n\n{cost_table}"


def write_page(
    path: Path,
    *,
    title: str,
    rounds: list[Round],
    summary_rows: list[Row],
    cost_rows: list[Cost],
) -> None:
    """Writes a self-contained HTML page with both tables and the plots."""
    parts = [
        "<!doctype html><meta charset=utf-8>",
        f"<title>{html.escape(title)}</title>",
        "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:"
        "collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:left;"
        "border-bottom:1px solid #ccc}figure{max-width:60em;margin:1em 0}"
        "</style>",
        f"<h1>{html.escape(title)}</h1>",
        _html_table(_ROW_TITLES, [_row_cells(row) for row in summary_rows]),
        _html_table(_COST_TITLES, [_cost_cells(each) for each in cost_rows]),
    ]
    for chart in (
        _latency_chart(rounds),
        _share_chart(summary_rows),
        _calls_chart(rounds),
    ):
        svg = chart.render(is_unicode=True, disable_xml_declaration=True)
        parts.append(f"<figure>{svg}</figure>")
    path.write_text("\n".join(parts), encoding="utf-8")


def _html_table(titles: tuple[str, ...], lines: list[list[str]]) -> str:
    head = "".join(f"<th>{html.escape(title)}</th>" for title in titles)
    body = []
    for line in lines:
        cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in line)
        body.append(f"<tr>{cells}</tr>")
    return f"<table><tr>{head}</tr>{''.join(body)}</table>"


def _latency_chart(rounds: list[Round]) -> pygal.XY:
    """Plots the share of all requests that was served within each latency."""
    chart = pygal.XY(
        title="share of all requests served within (ms)",
        style=CleanStyle,
        dots_size=1,
        js=[],
    )
    sides = list(dict.fromkeys(each.side for each in rounds))
    prefixes = sorted(
        {
            outcome.arrival.route.prefix
            for each in rounds
            for outcome in each.outcomes
        }
    )
    for prefix in prefixes:
        for side in sides:
            points = _curve(_select_outcomes(rounds, side, route=prefix))
            chart.add(f"{prefix} {side}", points)
    return chart


def _curve(outcomes: list[Outcome]) -> list[tuple[float, float]]:
    latencies_ms = sorted(
        outcome.latency_s * 1000 for outcome in outcomes if outcome.served
    )
    points = []
    reached = 0
    for limit_ms in range(0, MAX_LATENCY_MS + 1, LATENCY_STEP_MS):
        while reached < len(latencies_ms) and latencies_ms[reached] <= limit_ms:
            reached += 1
        points.append((float(limit_ms), reached / max(1, len(outcomes))))
    return points


def _share_chart(summary_rows: list[Row]) -> pygal.Bar:
    chart = pygal.Bar(
        title="share served within the target latency",
        style=CleanStyle,
        range=(0, 1),
        js=[],
    )
    groups = list(dict.fromkeys(row.group for row in summary_rows))
    chart.x_labels = groups
    for side in dict.fromkeys(row.side for row in summary_rows):
        by_group = {row.group: row for row in summary_rows if row.side == side}
        chart.add(side, [by_group[group].in_aim_share for group in groups])
    return chart


def _calls_chart(rounds: list[Round]) -> pygal.Bar:
    chart = pygal.Bar(
        title="store calls by kind, mean per run", style=CleanStyle, js=[]
    )
    kinds = sorted({kind for each in rounds for kind in each.store_calls})
    chart.x_labels = kinds
    for side in dict.fromkeys(each.side for each in rounds):
        side_rounds = [each for each in rounds if each.side == side]
        means = []
        for kind in kinds:
            total = sum(each.store_calls.get(kind, 0) for each in side_rounds)
            means.append(total / len(side_rounds))
        chart.add(side, means)
    return chart
