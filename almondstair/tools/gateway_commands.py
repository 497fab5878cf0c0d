"""Commands of the tool for gateways: status and the story of a request."""

import json
from pathlib import Path
import sys
from typing import Any
import urllib.error
import urllib.request

from rich import table as rich_table

from almondstair import errors
from almondstair.tools import commands
from almondstair.tools import session as session_module
from almondstair.tools import stories
from almondstair.tools import tables

# A gateway answers its status page in milliseconds.
STATUS_TIMEOUT_S = 3.0
# Figures older than this are shown as unknown; the store is asked twice a
# second.
STALE_S = 5.0


class GatewayCommands:
    """Looks at gateways, the processes on the users' platform."""

    def __init__(self, session: session_module.Session) -> None:
        """Keeps the session."""
        self._session = session

    @commands.command
    def status(self, *addresses: str) -> None:
        """Shows what gateways believe of the fleet.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway.

        Examples:
          almondstairctl gateway status 10.1.0.35:9464 10.2.0.28:9464
          almondstairctl gateway status 10.1.0.35:9464 --json
        """
        if not addresses:
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.USAGE,
                detail="name the metrics address of at least one gateway",
            )
        bodies = [_status(address) for address in addresses]
        parts: list[Any] = [_gateways(bodies)]
        for body in bodies:
            if body.get("upstreams") is not None:
                parts.append(_upstreams(body))
                break
        self._session.show(bodies, *parts)

    @commands.command
    def why(self, request: str, *files: str) -> None:
        """Tells the story of one request from the logs of several VMs.

        Args:
          request: the request's id, as the caller sent it.
          *files: log files; standard input if none is named.

        Examples:
          almondstairctl gateway why 9c41d07be2a35f68 /var/log/gateway-*.log
          cat *.log | almondstairctl gateway why 9c41d07be2a35f68 --json
        """
        story = stories.tell(str(request), _read(files))
        body = story._asdict()
        body["lines"] = [line.fields for line in story.lines]
        body["around"] = [line.fields for line in story.around]
        self._session.show(
            body,
            f"request {story.request}: {story.cause}",
            _lines("Its own lines", story.lines),
            _lines("Around it", story.around),
        )


def _read(files: tuple[str, ...]) -> list[stories.Line]:
    if not files:
        return stories.read_lines("standard input", sys.stdin)
    lines = []
    for name in files:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.NOT_FOUND, detail=f"{name}: {error}"
            ) from error
        lines += stories.read_lines(name, text.splitlines())
    return lines


def _status(address: str) -> dict[str, Any]:
    url = f"http://{address}/status"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
            body: dict[str, Any] = json.loads(answer.read())
    except (OSError, urllib.error.URLError, json.JSONDecodeError) as error:
        return {"entry": address, "silent": str(error)}
    return body


def _gateways(bodies: list[dict[str, Any]]) -> rich_table.Table:
    table = tables.make_table(
        "Gateways",
        ("entry", "ready", "version", "store revision", "store age", "peers"),
    )
    for body in bodies:
        if "silent" in body:
            silent = f"[red]does not answer[/red]: {body['silent']}"
            table.add_row(body["entry"], silent, *(tables.UNKNOWN,) * 4)
            continue
        age_s = body["store_age_s"]
        age = f"{age_s:.1f} s"
        if age_s > STALE_S:
            age = f"[red]{age}[/red]"
        table.add_row(
            body["entry"],
            "yes" if body["ready"] else "[red]NO[/red]",
            str(body["configuration_version"]),
            str(body["store_revision"]),
            age,
            "all heard" if body["peers_heard"] else tables.UNKNOWN,
        )
    return table


def _upstreams(body: dict[str, Any]) -> rich_table.Table:
    table = tables.make_table(
        f"Upstreams as {body['entry']} believes",
        ("upstream", "service", "zone", "busy", "slots", "own word", "state"),
    )
    for row in body["upstreams"]:
        age_s = row["load_age_s"]
        word = "none" if age_s is None else f"{age_s:.1f} s ago"
        table.add_row(
            row["id"],
            row["service"],
            row["availability_zone"],
            f"{row['busy']:.1f}",
            str(row["slots"]),
            word,
            _state(row, body["evacuated"]),
        )
    return table


def _state(row: dict[str, Any], evacuated: list[str]) -> str:
    states = []
    for name in ("draining", "paused", "cold"):
        if row[name]:
            states.append(name)
    if row["availability_zone"] in evacuated:
        states.append("evacuated")
    if row["slowness"] > 1.5:
        states.append(f"{row['slowness']:.1f} times slower")
    if row["failure_share"] > 0.1:
        states.append(f"fails {row['failure_share']:.0%}")
    return ", ".join(states) or "ready"


def _lines(title: str, lines: list[stories.Line]) -> rich_table.Table:
    table = tables.make_table(title, ("time", "log", "event", "what it says"))
    for line in lines:
        table.add_row(
            line.time,
            Path(line.source).name,
            f"{line.event} {line.fields.get('event_name')}",
            stories.details(line),
        )
    return table
