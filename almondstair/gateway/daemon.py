"""almondstair-gateway: the daemon of an entry VM on the platform."""

import asyncio
from collections.abc import Awaitable, Callable
import gc
import math
import os
import signal
import sys
import uuid

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.entry_directory import EntryDirectory
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fleet import MAX_REST_S
from almondstair.core.fleet import Fleet
from almondstair.core.held_bytes import HeldBytes
from almondstair.core.known_places import CachedLocations
from almondstair.core.limit_reports import LimitReports
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import OverloadParts
from almondstair.core.overload_parts import PartMode
from almondstair.core.overload_parts import parse_modes
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.quota_reports import QuotaReports
from almondstair.core.quotas import FleetTotals
from almondstair.core.rate_reports import EntryQuotas
from almondstair.core.region_reports import RegionReports
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.relay_selection import RelaySelector
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.return_times import BacklogReturn
from almondstair.core.run_times import RunTimes
from almondstair.core.shared_counts import SharedCounts
from almondstair.core.shared_retry_budget import SharedRetryBudget
from almondstair.core.statement_reports import StatementReports
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.core.upstream_speed import ServiceSpeeds
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.call_recorder import CallRecorder
from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.entry_registration import EntryRegistration
from almondstair.gateway.forwarder import Forwarder
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.http_pages import LOOKUP_TTL_S
from almondstair.gateway.http_pages import PageData
from almondstair.gateway.http_pages import Pages
from almondstair.gateway.link_monitor import LinkMonitor
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.memory_guard import MemoryGuard
from almondstair.gateway.memory_guard import read_budget_bytes
from almondstair.gateway.operator_reports import OperatorReports
from almondstair.gateway.overload_control import OverloadControl
from almondstair.gateway.relay_forwarder import RelayForwarder
from almondstair.gateway.relay_listener import RelayConnection
from almondstair.gateway.relay_listener import RelayHandler
from almondstair.gateway.settings_watcher import SettingsWatcher
from almondstair.gateway.slot_waits import OrderedWaits
from almondstair.gateway.statement_recorder import StatementRecorder
from almondstair.gateway.store_sync import StoreSync
from almondstair.gateway.upstream_connector import UpstreamConnector
from almondstair.gateway.upstream_sender import UpstreamSender
from almondstair.platform import boot
from almondstair.platform import documents
from almondstair.platform import headers
from almondstair.platform.kv import KvClient

# Allocations between two collections of the youngest generation; the default
# of 700 is reached every few requests.
GC_THRESHOLD_OBJECTS = 20_000
ACCEPT_BACKLOG = 512
# A stopping process ends this long before the platform's SIGKILL.
STOP_MARGIN_S = 0.5
# What still waits for a slot is refused this long before the platform's
# SIGKILL, so that the refusals reach their callers.
WAIT_END_MARGIN_S = 0.7
# Share of the stop time in which requests are still accepted.
ACCEPTING_SHARE = 0.5
# Port of metrics and status on the VM's own address; see deploy/system.toml.
OPERATOR_PORT = "9464"
# Overrides the port where several gateways share a VM.
OPERATOR_PORT_VARIABLE = "ALMONDSTAIR_OPERATOR_PORT"
# Sets the longest rest of an upstream that is kept, in seconds.
MAX_REST_VARIABLE = "ALMONDSTAIR_MAX_REST_S"
# Sets the modes of the parts of the scheduling under overload.
OVERLOAD_VARIABLE = "ALMONDSTAIR_OVERLOAD"
# How often log lines that a slow reader of the log has held up are retried.
LOG_FLUSH_INTERVAL_S = 0.5
# Pause before a failed background task is restarted.
TASK_RESTART_PAUSE_S = 0.5
# How often a stopping process checks whether it can end.
STOP_POLL_INTERVAL_S = 0.05
# How long a stopping entry accepts requests, in lookup TTLs. Callers keep a
# lookup for its TTL, and some of them for three times as long.
LOOKUP_LIFETIME_FACTOR = 1.5


def _max_rest_s() -> float:
    """Returns the longest rest of an upstream that is kept, in seconds.

    Raises:
      AlmondstairError: `settings_invalid`, if the environment sets no time.
    """
    text = os.environ.get(MAX_REST_VARIABLE, "")
    if not text:
        return MAX_REST_S
    try:
        rest_s = float(text)
    except ValueError:
        rest_s = math.nan
    if not 0 < rest_s < math.inf:
        raise AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{MAX_REST_VARIABLE}={text}: it must be seconds above 0",
        )
    return rest_s


def _overload_modes() -> dict[OverloadPart, PartMode]:
    """Returns the modes that the environment sets.

    Raises:
      AlmondstairError: `settings_invalid`, if a part or mode is not known.
    """
    try:
        return parse_modes(os.environ.get(OVERLOAD_VARIABLE, ""))
    except AlmondstairError as error:
        raise AlmondstairError(
            kind=error.kind, detail=f"{OVERLOAD_VARIABLE}: {error.detail}"
        ) from error


class Gateway(PageData):
    """Runs all parts of one entry."""

    def __init__(self, *, settings: boot.BootSettings, path: str) -> None:
        """Creates the parts without listening.

        Args:
          settings: the settings at the start of the process.
          path: their file, which is watched for changes.
        """
        self._settings = settings
        self._settings_watcher = SettingsWatcher(
            path=path, settings=settings, apply=self._apply_settings
        )
        self._fleet = Fleet(
            own_name=settings.entry_name,
            own_region=settings.region,
            zones=settings.zones,
            max_rest_s=_max_rest_s(),
        )
        self._fleet.has_seeds = bool(_other_seeds(settings))
        self._overload_parts = OverloadParts(modes=_overload_modes())
        self._memory_guard = self._create_memory_guard()
        self._pool = ConnectionPool(
            id_header=headers.REQUEST_ID, memory_guard=self._memory_guard
        )
        self._client = KvClient(address=settings.store.address)
        self._store_sync = StoreSync(
            client=self._client,
            fleet=self._fleet,
            pool=self._pool,
            own_name=settings.entry_name,
            own_zone=settings.availability_zone,
            seeds=_other_seeds(settings),
        )
        self._lookups = EntryDirectory()
        self._entries_version = -1
        self._metrics = GatewayMetrics()
        self._cached_locations = CachedLocations()
        self._quota_limiter = FleetTotals(
            own_name=settings.entry_name,
            window_s=settings.bounds.quota_window_s,
        )
        self._quota_reports = QuotaReports(
            own_name=settings.entry_name, limiter=self._quota_limiter
        )
        self._region_limiter = RegionShareLimiter(
            own_region=settings.region,
            max_change=settings.bounds.region_change,
        )
        self._region_reports = RegionReports(
            own_name=settings.entry_name, limiter=self._region_limiter
        )
        self._region_reports.set_regions(self._fleet.regions())
        self._limit_reports = LimitReports(
            own_name=settings.entry_name, fleet=self._fleet
        )
        self._statement_reports = StatementReports(fleet=self._fleet)
        self._overload_records = OverloadRecords()
        # Only its mode decides on this part, which does not change.
        speeds = None
        if self._overload_parts.is_active(OverloadPart.SPEED):
            speeds = ServiceSpeeds(records=self._overload_records)
        self._statement_recorder = StatementRecorder(
            fleet=self._fleet,
            pool=self._pool,
            limits=self._limit_reports.limits,
            speeds=speeds,
        )
        self._links = UpstreamLinks()
        self._cut_off = CutOffEntries()
        self._link_monitor = LinkMonitor(
            fleet=self._fleet,
            pool=self._pool,
            links=self._links,
            statement_recorder=self._statement_recorder,
        )
        self._shares = MaxMinShares(
            own_name=settings.entry_name,
            fleet=self._fleet,
            is_active=lambda: self._overload.is_active(OverloadPart.SHARES),
        )
        suspects = CrashSuspects()
        self._load_exchange = LoadExchange(
            fleet=self._fleet,
            pool=self._pool,
            suspects=suspects,
            cached_locations=self._cached_locations,
            shared_counts=SharedCounts(
                fleet=self._fleet,
                quotas=self._quota_reports,
                regions=self._region_reports,
            ),
            limit_reports=self._limit_reports,
            statement_reports=self._statement_reports,
            statement_recorder=self._statement_recorder,
            links=self._links,
            cut_off=self._cut_off,
            shares=self._shares,
            own_name=settings.entry_name,
            own_zone=settings.availability_zone,
            link_mbps=settings.means.link_mbps,
        )
        self._crash_reports = CrashReports(
            suspects=suspects,
            load_exchange=self._load_exchange,
            own_name=settings.entry_name,
        )
        self._create_forwarder()
        self._registration = self._create_registration()
        self._reports = OperatorReports(
            entry_name=settings.entry_name,
            fleet=self._fleet,
            pool=self._pool,
            client=self._client,
            store_sync=self._store_sync,
            metrics=self._metrics,
            in_flight=self._forwarder.in_flight,
            quotas=self._quota_reports,
            limits=self._limit_reports.limits,
            links=self._links,
            cut_off=self._cut_off,
            overload=self._overload,
        )
        self._pages = Pages(source=self)
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._relay_server: asyncio.Server | None = None
        self._omitted: frozenset[str] = frozenset()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._leaving = False

    def _create_memory_guard(self) -> MemoryGuard | None:
        """Returns the bound of what connections hold, None if it is off.

        Raises:
          AlmondstairError: `settings_invalid`, if the budget is no size.
        """
        held = HeldBytes(budget_bytes=read_budget_bytes())
        if self._overload_parts.modes[OverloadPart.MEMORY] is PartMode.OFF:
            return None
        return MemoryGuard(held=held, is_active=self._is_memory_bounded)

    def _is_memory_bounded(self) -> bool:
        return self._overload.is_active(OverloadPart.MEMORY)

    def _create_forwarder(self) -> None:
        settings = self._settings
        bounds = settings.bounds
        self._retry_budget = SharedRetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._cold_start_limiter = ColdStartLimiter(
            own_name=settings.entry_name,
            rate_factor=bounds.cold_over,
            slack=bounds.cold_slack,
        )
        self._connector = UpstreamConnector(
            fleet=self._fleet,
            pool=self._pool,
            crash_reports=self._crash_reports,
            link_monitor=self._link_monitor,
            own_region=settings.region,
            regions=settings.zones.values(),
        )
        run_times = RunTimes()
        placer = RequestPlacer(
            fleet=self._fleet,
            run_times=run_times,
            cached_locations=self._cached_locations,
            region_limiter=self._region_limiter,
            region_reports=self._region_reports,
            cold_start_limiter=self._cold_start_limiter,
            upstream_limiter=UpstreamLimiter(
                fleet=self._fleet, reports=self._limit_reports
            ),
            round_trips_s=self._connector.round_trips_s,
        )
        sender = UpstreamSender(
            fleet=self._fleet,
            pool=self._pool,
            cold_start_limiter=self._cold_start_limiter,
            crash_reports=self._crash_reports,
            metrics=self._metrics,
            connector=self._connector,
            placer=placer,
            statement_recorder=self._statement_recorder,
            link_monitor=self._link_monitor,
        )
        waits = OrderedWaits(
            fleet=self._fleet,
            placer=placer,
            link_monitor=self._link_monitor,
            records=self._overload_records,
        )
        self._overload = OverloadControl(
            parts=self._overload_parts,
            fleet=self._fleet,
            waits=waits,
            returns=BacklogReturn(
                own_name=settings.entry_name,
                fleet=self._fleet,
                run_times=run_times,
                records=self._overload_records,
            ),
            shares=self._shares,
            regions=placer.confined_regions,
            records=self._overload_records,
            memory_guard=self._memory_guard,
        )
        self._fleet.on_change = waits.record_change
        self._load_exchange.on_loads = waits.record_loads
        recorder = CallRecorder(
            fleet=self._fleet,
            metrics=self._metrics,
            records=self._overload.records,
        )
        self._relay_pool = ConnectionPool(
            id_header=b"", memory_guard=self._memory_guard
        )
        relay_forwarder = RelayForwarder(
            fleet=self._fleet,
            cut_off=self._cut_off,
            selector=RelaySelector(
                own_name=settings.entry_name,
                own_region=settings.region,
                own_zone=settings.availability_zone,
            ),
            pool=self._relay_pool,
            recorder=recorder,
            statement_recorder=self._statement_recorder,
            metrics=self._metrics,
            own_name=settings.entry_name,
        )
        self._forwarder = Forwarder(
            fleet=self._fleet,
            sender=sender,
            placer=placer,
            retry_budget=self._retry_budget,
            quotas=EntryQuotas(
                limiter=self._quota_limiter, own=self._quota_reports.own
            ),
            crash_reports=self._crash_reports,
            link_monitor=self._link_monitor,
            relay_forwarder=relay_forwarder,
            recorder=recorder,
            metrics=self._metrics,
            overload=self._overload,
            memory_guard=self._memory_guard,
        )
        self._relay_handler = RelayHandler(
            forwarder=self._forwarder,
            fleet=self._fleet,
            metrics=self._metrics,
        )

    def _create_registration(self) -> EntryRegistration:
        settings = self._settings
        return EntryRegistration(
            client=self._client,
            fleet=self._fleet,
            name=settings.entry_name,
            record=documents.EntryRecord(
                callers=settings.listen.callers,
                peers=f"{settings.ip}:{settings.peer_ports[0]}",
                region=settings.region,
                availability_zone=settings.availability_zone,
                incarnation=uuid.uuid4().hex,
                cores=settings.means.cores,
                link_mbps=settings.means.link_mbps,
                relays=self._relay_address(),
            ),
            shortest_lease_s=settings.store.shortest_lease_s,
        )

    def _relay_address(self) -> str:
        """Returns the address for other entries' requests, or an empty one."""
        first, last = self._settings.peer_ports
        return f"{self._settings.ip}:{last}" if last != first else ""

    # Pages.

    def is_ready(self) -> bool:
        """Returns whether the entry accepts new callers."""
        return self._fleet.ready and not self._leaving

    def addresses(self, *, region: str, caller: str) -> list[str]:
        """Returns addresses of entries for a caller of a region."""
        omitted = self._cut_off.omitted_from_lookups(now_s=now_s())
        if (
            self._entries_version != self._fleet.entries_version
            or self._omitted != omitted
        ):
            self._entries_version = self._fleet.entries_version
            self._omitted = omitted
            self._lookups.set_entries(
                self._fleet.entries.values(), omitted=omitted
            )
        found = self._lookups.addresses_for(region=region, caller=caller)
        if not found and not self._leaving:
            found = [self._settings.listen.callers]
        return found

    def lookup_ttl_s(self) -> float:
        """Returns how long callers may cache a lookup, in seconds."""
        return min(LOOKUP_TTL_S, self._settings.bounds.lookup_ttl_s)

    def mirror_changes(self, *, source: str, after: int) -> bytes:
        """Returns the encoded store changes that another entry lacks."""
        page = self._store_sync.mirror_page(source=source, after=after)
        return msgspec.msgpack.encode(page)

    def metrics(self) -> bytes:
        """Returns the metrics with up-to-date gauges."""
        return self._reports.metrics()

    def status(self) -> dict[str, object]:
        """Returns this entry's view of the fleet, with the age of its data."""
        return self._reports.status(
            ready=self.is_ready(), leaving=self._leaving
        )

    def configuration(self, *, version: int) -> dict[str, object] | None:
        """Returns a past configuration, or the one in force for 0."""
        return self._reports.configuration(version=version)

    # Lifecycle.

    async def start(self) -> None:
        """Listens on every address and starts the background tasks."""
        listen = self._settings.listen
        peers = f"{self._settings.ip}:{self._settings.peer_ports[0]}"
        self._pages.serve_peers(peers)
        if listen.peers:
            self._pages.serve_peers(listen.peers)
        port = os.environ.get(OPERATOR_PORT_VARIABLE, OPERATOR_PORT)
        self._pages.serve_operators(f"{self._settings.ip}:{port}")
        if listen.lookups:
            self._pages.serve_lookups(listen.lookups)
        ip, _, port = listen.callers.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, ip, int(port), backlog=ACCEPT_BACKLOG
        )
        await self._load_exchange.listen(
            ip=self._settings.ip, port=self._settings.peer_ports[0]
        )
        if self._relay_address():
            self._relay_server = await loop.create_server(
                self._create_relay_connection,
                self._settings.ip,
                self._settings.peer_ports[1],
                backlog=ACCEPT_BACKLOG,
            )
        # Opened last: a response here promises that every other address
        # listens. If opened first, it would respond up to 0.1 s before callers
        # can connect on a busy VM.
        self._pages.serve_ready(listen.ready)
        self._start_task("log", _flush_log)
        self._start_task("settings", self._settings_watcher.run)
        self._start_task("loads", self._load_exchange.run)
        self._start_task("links", self._link_monitor.run)
        self._start_task("store", self._store_sync.run)
        self._start_task("lapses", self._store_sync.expire)
        if self._memory_guard is not None:
            self._start_task("memory", self._memory_guard.run)
        self._start_task("registration", self._registration.run)
        log.event(
            log.Event.GATEWAY_STARTED,
            entry=self._settings.entry_name,
            availability_zone=self._settings.availability_zone,
        )

    def _start_task(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        self._tasks[name] = asyncio.ensure_future(_run_forever(name, work))

    def _create_connection(self) -> CallerConnection:
        connection = CallerConnection(
            handler=self._forwarder,
            connections=self._connections,
            memory_guard=self._memory_guard,
        )
        if self._leaving:
            connection.drain()
        return connection

    def _create_relay_connection(self) -> RelayConnection:
        connection = RelayConnection(
            handler=self._relay_handler,
            connections=self._connections,
            memory_guard=self._memory_guard,
        )
        if self._leaving:
            connection.drain()
        return connection

    def reload(self) -> None:
        """Reloads the settings file; changed addresses need a restart."""
        self._settings_watcher.reload()

    def _apply_settings(self, settings: boot.BootSettings) -> None:
        before = self._settings
        self._settings = settings
        bounds = settings.bounds
        self._retry_budget.set_limits(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_s=bounds.retry_window_s,
        )
        self._quota_limiter.set_window(bounds.quota_window_s)
        self._region_limiter.max_change = bounds.region_change
        self._cold_start_limiter.set_limits(
            rate_factor=bounds.cold_over, slack=bounds.cold_slack
        )
        if settings.zones != before.zones:
            self._fleet.set_zones(settings.zones)
            self._region_reports.set_regions(self._fleet.regions())
            self._connector.add_regions(settings.zones.values())
        if settings.seeds != before.seeds:
            self._fleet.has_seeds = bool(_other_seeds(settings))
            self._store_sync.set_seeds(_other_seeds(settings))
        if settings.store.address != before.store.address:
            self._client.set_address(settings.store.address)
            self._store_sync.reset_revision()

    async def stop(self) -> None:
        """Stops without interrupting requests.

        Lookups omit this entry immediately. It keeps serving while callers may
        still use a cached lookup and while requests are in flight.
        """
        began_s = now_s()
        self._leaving = True
        log.event(
            log.Event.GATEWAY_LEAVING, running=len(self._forwarder.in_flight)
        )
        for connection in list(self._connections):
            connection.drain()
        self._tasks["registration"].cancel()
        await self._registration.withdraw()
        await self._drain(began_s)
        await self._close()
        log.event(log.Event.GATEWAY_STOPPED, cut=len(self._forwarder.in_flight))

    async def _drain(self, began_s: float) -> None:
        """Serves while callers use cached lookups, then closes connections.

        Callers use a connection until it is closed, and a request that arrives
        shortly before the end would be interrupted. Towards the end, requests
        are therefore rejected with a Retry-After.
        """
        stop_s = self._settings.bounds.stop_s
        kept_s = self.lookup_ttl_s() * LOOKUP_LIFETIME_FACTOR
        self._overload.waits.set_end(began_s + stop_s - WAIT_END_MARGIN_S)
        reject_from_s = began_s + min(kept_s, ACCEPTING_SHARE * stop_s)
        while now_s() < began_s + stop_s - STOP_MARGIN_S:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if now_s() < reject_from_s:
                continue
            if not self._forwarder.rejecting:
                self._forwarder.rejecting = True
                self._stop_listening()
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                return

    def _stop_listening(self) -> None:
        for server in (self._server, self._relay_server):
            if server is not None:
                server.close()

    async def _close(self) -> None:
        self._stop_listening()
        self._pages.stop()
        for task in self._tasks.values():
            task.cancel()
        self._connector.close()
        self._pool.close()
        self._relay_pool.close()
        self._client.close()


def _other_seeds(settings: boot.BootSettings) -> list[str]:
    own = settings.listen.peers
    return [seed for seed in settings.seeds if seed != own]


async def _run_forever(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs a background task and restarts it whenever it fails or ends.

    Otherwise a single unexpected message would end the task, and the entry
    would serve from an increasingly outdated view of the fleet; or it would end
    the process, on every VM at the same moment.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log.event(
                log.Event.ROUND_FAILED, error=error, detail=f"upkeep: {name}"
            )
        await asyncio.sleep(TASK_RESTART_PAUSE_S)


async def _flush_log() -> None:
    """Flushes lines held up by a slow reader and logs how many were dropped."""
    while True:
        await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
        unreported = log.take_unreported_drops()
        if unreported:
            log.event(log.Event.LINES_LEFT_OUT, lines=unreported)


async def _run(settings: boot.BootSettings, path: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    gateway = Gateway(settings=settings, path=path)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    await stopping.wait()
    await gateway.stop()


def main() -> None:
    """Loads the settings and serves until SIGTERM or SIGINT."""
    log.setup_stdout(level="INFO")
    try:
        path = os.environ.get(boot.PATH_VARIABLE, "")
        settings = boot.load(path)
        asyncio.run(_run(settings, path))
    except AlmondstairError as error:
        print(f"almondstair-gateway: {error}", file=sys.stderr)
        sys.exit(error.rule.exit_code)


if __name__ == "__main__":
    main()
