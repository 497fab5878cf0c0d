"""Implements the operators' API of one entry."""

from collections.abc import Callable
import time
from typing import Any, NamedTuple

from almondstair.configuration_manager import ConfigurationManager
from almondstair.core.admission import SlotTable
from almondstair.core.admission_records import UpstreamStatus
from almondstair.core.entry_table import EntryRow
from almondstair.core.homes import Homes
from almondstair.core.membership import Membership
from almondstair.core.model import Configuration
from almondstair.core.steering import Steering
from almondstair.entry_table_manager import EntryTableManager
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.heartbeats import Heartbeats
from almondstair.link_pacers import LinkPacers
from almondstair.operator_server import CheckRequest
from almondstair.operator_server import EditRequest
from almondstair.operator_server import EditResponse
from almondstair.operator_server import MarkRequest
from almondstair.operator_server import OperatorHandler
from almondstair.runner import Runner
from almondstair.settings import read_configuration


class ViewParts(NamedTuple):
    """Holds the components that the operators' API reads.

    Attributes:
      requests_in_flight: returns the number of requests in flight on this
        entry.
    """

    own: EntryRow
    membership: Membership
    homes: Homes
    slots: SlotTable
    steering: Steering
    pacers: LinkPacers
    runner: Runner
    heartbeats: Heartbeats
    configuration: ConfigurationManager
    table: EntryTableManager
    requests_in_flight: Callable[[], int]


class OperatorViews(OperatorHandler):
    """Handles the operators' requests of one entry."""

    def __init__(self, *, parts: ViewParts) -> None:
        """Stores the components to read."""
        self._parts = parts

    def _configuration(self) -> Configuration:
        configuration = self._parts.configuration.configuration
        if configuration is None:
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail="no configuration is in force on this entry yet",
            )
        return configuration

    def configuration_view(self) -> dict[str, Any]:
        """Returns the configuration and the version in force on each entry."""
        self._configuration()
        stored = self._parts.configuration.in_force
        assert stored is not None
        in_force: dict[str, int | None] = {}
        for name, version in self._versions().items():
            in_force[name] = version
        return {
            "version": stored.version,
            "edit_id": stored.edit_id,
            "author": stored.author,
            "edited_at": stored.edited_at,
            "text": stored.text,
            "in_force": in_force,
        }

    def _versions(self) -> dict[str, int | None]:
        """Returns the version by entry name, None where it is unknown."""
        membership = self._parts.membership
        now_s = time.monotonic()
        versions: dict[str, int | None] = {}
        for report in membership.version_reports(
            own_version=self._parts.configuration.version, now_s=now_s
        ):
            silent = membership.is_silent(name=report.name, now_s=now_s)
            versions[report.name] = None if silent else report.version
        return versions

    async def edit(self, request: EditRequest) -> EditResponse:
        """Edits the configuration."""
        return await self._parts.configuration.edit(request)

    async def mark(self, request: MarkRequest) -> EditResponse:
        """Sets or clears the leaving mark of an upstream or entry."""
        version, text = self._parts.configuration.text_with_leaving_mark(
            name=request.name, leaving=request.leaving
        )
        edit = EditRequest(
            base_version=version,
            edit_id=request.edit_id,
            author=request.author,
            text=text,
        )
        return await self._parts.configuration.edit(edit)

    async def edit_status(self, edit_id: str) -> EditResponse:
        """Returns the state of an edit."""
        return await self._parts.configuration.edit_status(edit_id)

    def check(self, request: CheckRequest) -> dict[str, Any]:
        """Checks a document without storing it.

        Raises:
          AlmondstairError: `configuration_invalid`.
        """
        configuration = read_configuration(request.text, "the document")
        return {
            "valid": True,
            "services": sorted(configuration.services),
            "upstreams": len(configuration.upstreams),
        }

    async def history(self) -> dict[str, Any]:
        """Returns the latest edits."""
        return {"versions": await self._parts.configuration.history()}

    def drain(self, name: str) -> dict[str, Any]:
        """Returns the progress of the drain of an upstream or entry.

        Only the home of an upstream knows which requests run there; other
        entries return `in_flight` as None.
        """
        configuration = self._configuration()
        now_s = time.monotonic()
        if name not in configuration.upstreams:
            return self._entry_drain(name)
        row = self._own_status().get(name)
        home = self._parts.homes.home_of(upstream=name)
        in_flight = None
        if home == self._parts.own.name:
            in_flight = 0
            if row is not None:
                # Includes work of former homes until it must have ended.
                in_flight = row.in_flight + row.busy_elsewhere
        sent_s = self._parts.runner.last_dispatch_s.get(name)
        return {
            "name": name,
            "home": home,
            "home_address": self._operator_address(home),
            "leaving": self._is_leaving(name),
            "in_flight": in_flight,
            "last_new_work_age_s": None if sent_s is None else now_s - sent_s,
        }

    def _entry_drain(self, name: str) -> dict[str, Any]:
        if self._parts.membership.table.row(name=name) is None:
            raise AlmondstairError(
                kind=ErrorKind.NOT_FOUND,
                detail=f"there is neither an upstream nor an entry {name!r}",
            )
        in_flight = None
        if name == self._parts.own.name:
            in_flight = self._parts.requests_in_flight()
        return {
            "name": name,
            "home": name,
            "home_address": self._operator_address(name),
            "leaving": self._parts.membership.is_leaving(name=name),
            "in_flight": in_flight,
            "last_new_work_age_s": None,
        }

    def _operator_address(self, name: str | None) -> str | None:
        if name is None:
            return None
        row = self._parts.membership.table.row(name=name)
        if row is None:
            return None
        return row.operator_address

    def _is_leaving(self, name: str) -> bool:
        if name in self._configuration().marks.leaving:
            return True
        if name in self._parts.table.leaving_vms:
            return True
        return name in self._reported_leaving()

    def _reported_leaving(self) -> set[str]:
        """Returns the upstreams that announced leaving to their homes."""
        names: set[str] = set()
        for status in self._own_status().values():
            if status.leaving:
                names.add(status.name)
        for received in self._parts.heartbeats.details.values():
            names.update(received.detail.leaving_upstreams)
        return names

    def _own_status(self) -> dict[str, UpstreamStatus]:
        rows = {}
        for row in self._parts.slots.status(now_s=time.monotonic()):
            rows[row.name] = row
        return rows

    def status(self) -> dict[str, Any]:
        """Returns the state of the whole system as this entry knows it."""
        return {
            "entry": self._parts.own.name,
            "epoch": self._parts.membership.table.epoch,
            "entries": self._entries(),
            "upstreams": self._upstreams(),
            "regions": self._regions(),
            "links": self._links(),
        }

    def _entries(self) -> list[dict[str, Any]]:
        membership = self._parts.membership
        versions = self._versions()
        now_s = time.monotonic()
        rows = []
        for row in membership.table.entries:
            age_s: float | None = membership.age_s(name=row.name, now_s=now_s)
            if membership.is_silent(name=row.name, now_s=now_s):
                age_s = None
            rows.append(
                {
                    "name": row.name,
                    "region": row.region,
                    "availability_zone": row.availability_zone,
                    "operator_address": row.operator_address,
                    "heard_age_s": age_s,
                    "leaving": membership.is_leaving(name=row.name),
                    "config_version": versions.get(row.name),
                }
            )
        return rows

    def _upstreams(self) -> list[dict[str, Any]]:
        configuration = self._configuration()
        own = self._own_status()
        rows = []
        for name, upstream in configuration.upstreams.items():
            status = own.get(name)
            region = configuration.region_of(
                availability_zone=upstream.availability_zone
            )
            known = status is not None and status.allowed_slots > 0
            rows.append(
                {
                    "name": name,
                    "region": region,
                    "home": self._parts.homes.home_of(upstream=name),
                    "slots": upstream.slots,
                    "busy": _busy(status) if known else None,
                    "state": self._state(name, status),
                    "report_age_s": status.report_age_s if status else None,
                    "in_flight": status.in_flight if status else None,
                }
            )
        return rows

    def _state(self, name: str, status: UpstreamStatus | None) -> str:
        if self._is_leaving(name):
            return "leaving"
        home = self._parts.homes.home_of(upstream=name)
        if home is None:
            return "without home"
        if home != self._parts.own.name:
            return "elsewhere"
        if status is None or status.allowed_slots < 1:
            return "being taken over"
        return "in use"

    def _regions(self) -> list[dict[str, Any]]:
        configuration = self._configuration()
        now_s = time.monotonic()
        totals: dict[str, dict[str, Any]] = {}
        for region in configuration.regions:
            totals[region] = {
                "name": region,
                "slots": 0,
                "free": None,
                "report_age_s": None,
            }
        for service in configuration.services:
            for row in self._parts.steering.regions.status(
                service=service, now_s=now_s
            ):
                total = totals[row.region]
                total["slots"] += round(row.slots)
                if not row.known or row.age_s is None:
                    continue
                total["free"] = (total["free"] or 0) + round(row.free_slots)
                total["report_age_s"] = max(
                    total["report_age_s"] or 0.0, row.age_s
                )
        return list(totals.values())

    def _links(self) -> list[dict[str, Any]]:
        configuration = self._configuration()
        now_s = time.monotonic()
        rows = []
        for link in configuration.links:
            if link.availability_zone != self._parts.own.availability_zone:
                continue
            used = 0
            share = 0
            for pacer in self._parts.pacers.pacers(region=link.region):
                status = pacer.share.status(now_s=now_s)
                used = max(used, status.used_bytes_per_s)
                share = status.allowance_bytes_per_s
                share += status.borrowed_bytes_per_s - status.lent_bytes_per_s
            rows.append(
                {
                    "availability_zone": link.availability_zone,
                    "region": link.region,
                    "cap_bytes_per_s": link.cap_bytes_per_s,
                    "used_bytes_per_s": used,
                    "share_bytes_per_s": share,
                }
            )
        return rows


def _busy(status: UpstreamStatus | None) -> int | None:
    if status is None:
        return None
    return status.in_flight + status.busy_elsewhere
