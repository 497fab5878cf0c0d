"""Commands for gateways, the processes on the users' platform."""

from collections.abc import Sequence
from pathlib import Path
import sys
from typing import Any

from fire import decorators
from rich import table as rich_table

from almondstair import errors
from almondstair.tools import commands
from almondstair.tools import gateway_client
from almondstair.tools import gateway_config_commands
from almondstair.tools import gateway_tables
from almondstair.tools import gateway_views
from almondstair.tools import losses as losses_module
from almondstair.tools import request_explanations
from almondstair.tools import session as session_module


class GatewayCommands:
    """Inspects gateways, the processes on the users' platform."""

    def __init__(self, session: session_module.Session) -> None:
        """Makes the group of configuration commands."""
        self._session = session
        self.config = gateway_config_commands.GatewayConfigCommands(session)

    @commands.command
    def status(self, *addresses: str) -> None:
        """Shows the gateways and their view of the fleet.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway.

        Examples:
          almondstairctl gateway status 10.1.0.35:9464 10.2.0.28:9464
          almondstairctl gateway status 10.1.0.35:9464 --json
        """
        bodies = gateway_client.fetch_statuses(addresses)
        parts: list[Any] = [gateway_tables.gateways(bodies)]
        for body in bodies:
            if body.get("upstreams") is not None:
                parts.append(gateway_tables.upstreams(body))
                break
        self._session.show(bodies, *parts)

    @commands.command
    def vm(self, *addresses: str) -> None:
        """Shows the VMs that gateways run on and which gateways know them.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway.

        Examples:
          almondstairctl gateway vm 10.1.0.35:9464 10.2.0.28:9464
        """
        bodies = gateway_client.fetch_statuses(addresses)
        rows = gateway_views.vms(bodies)
        self._show(bodies, "vms", rows, gateway_tables.vms(rows))

    @commands.command
    def drain(self, *addresses: str) -> None:
        """Shows upstreams that are leaving and what still runs there.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway; requests
            of a gateway that is not named are not counted.

        Examples:
          almondstairctl gateway drain 10.1.0.35:9464 10.2.0.28:9464
        """
        bodies = gateway_client.fetch_statuses(addresses)
        rows = gateway_views.draining(bodies)
        self._show(bodies, "draining", rows, gateway_tables.draining(rows))

    @commands.command
    def evacuations(self, *addresses: str) -> None:
        """Shows evacuated zones and what still runs there.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway.

        Examples:
          almondstairctl gateway evacuations 10.1.0.35:9464 10.2.0.28:9464
        """
        bodies = gateway_client.fetch_statuses(addresses)
        rows = gateway_views.evacuations(bodies)
        table = gateway_tables.evacuations(rows)
        self._show(bodies, "evacuations", rows, table)

    @commands.command
    def organisations(self, *addresses: str) -> None:
        """Shows the organisations, their quotas and their use of them.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway; requests
            at a gateway that is not named are not counted.

        Examples:
          almondstairctl gateway organisations 10.1.0.35:9464 10.2.0.28:9464
        """
        bodies = gateway_client.fetch_statuses(addresses)
        rows = gateway_views.organisations(bodies)
        table = gateway_tables.organisations(rows)
        self._show(bodies, "organisations", rows, table)

    @commands.command
    def overload(self, *addresses: str) -> None:
        """Shows what waits, is refused and comes back, shares and held bytes.

        Args:
          *addresses: `ip:port` of the metrics address of each gateway; requests
            at a gateway that is not named are not counted.

        Examples:
          almondstairctl gateway overload 10.1.0.35:9464 10.2.0.28:9464
        """
        bodies = gateway_client.fetch_statuses(addresses)
        rows = gateway_views.overload(bodies)
        shares = gateway_views.shares(bodies)
        memory = gateway_views.memory(bodies)
        body = gateway_views.as_json(bodies, "overload", rows)
        body["shares"] = [row._asdict() for row in shares]
        body["memory"] = [row._asdict() for row in memory]
        parts = [gateway_tables.overload(rows), gateway_tables.shares(shares)]
        if memory:
            parts.append(gateway_tables.memory(memory))
        self._session.show(body, *parts, gateway_tables.ages(bodies))

    def _show(
        self,
        bodies: list[dict[str, Any]],
        name: str,
        rows: Sequence[Any],
        table: rich_table.Table,
    ) -> None:
        """Prints a view with the age of each gateway's data."""
        self._session.show(
            gateway_views.as_json(bodies, name, rows),
            table,
            gateway_tables.ages(bodies),
        )

    # One in several hundred ids has only digits, or digits and one e. Without
    # this, fire parses it as a number and the command is refused.
    @decorators.SetParseFns(request=str)
    @commands.command
    def why(self, request: str, *files: str) -> None:
        """Explains what happened to one request, from the logs of several VMs.

        Args:
          request: the request's id, as the caller sent it.
          *files: log files; standard input if none is named.

        Examples:
          almondstairctl gateway why 9c41d07be2a35f68 /var/log/gateway-*.log
          cat *.log | almondstairctl gateway why 9c41d07be2a35f68 --json
        """
        explanation = request_explanations.explain(request, _read(files))
        body = explanation._asdict()
        body["lines"] = [line.fields for line in explanation.lines]
        body["around"] = [line.fields for line in explanation.around]
        self._session.show(
            body,
            f"request {explanation.request}: {explanation.cause}",
            gateway_tables.lines("Lines of the request", explanation.lines),
            gateway_tables.lines("Related lines", explanation.around),
        )

    @commands.command
    def losses(self, *files: str) -> None:
        """Counts lost and late requests by cause, from logs.

        Args:
          *files: log files of gateways; standard input if none is named.

        Examples:
          almondstairctl gateway losses /var/log/gateway-*.log
          cat *.log | almondstairctl gateway losses --json
        """
        summary = losses_module.summarize(_read(files))
        self._session.show(
            losses_module.as_json(summary),
            gateway_tables.losses("All", [summary.total]),
            gateway_tables.losses("By route", summary.routes),
            gateway_tables.losses("By log", summary.sources),
            gateway_tables.losses("By time", summary.windows),
        )


def _read(files: tuple[str, ...]) -> list[request_explanations.LogLine]:
    if not files:
        return request_explanations.read_lines("standard input", sys.stdin)
    lines = []
    for name in files:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.NOT_FOUND, detail=f"{name}: {error}"
            ) from error
        lines += request_explanations.read_lines(name, text.splitlines())
    return lines
