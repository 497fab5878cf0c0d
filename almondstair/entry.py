"""Assembles an entry from the core and its sockets; starts and stops it."""

import asyncio
import secrets
import time

from tornado.ioloop import IOLoop
import zmq

from almondstair import log
from almondstair.call_router import CallRouter
from almondstair.call_router import CallRouterParts
from almondstair.calls import Call
from almondstair.calls import CallHandler
from almondstair.claims import Claims
from almondstair.configuration_manager import ConfigurationManager
from almondstair.control import Control
from almondstair.control import ControlParts
from almondstair.core.admission import SlotTable
from almondstair.core.announcement_limiter import AnnouncementLimiter
from almondstair.core.configuration import ConfigurationState
from almondstair.core.entry_selection import EntrySelector
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.health import HealthTable
from almondstair.core.home_records import homed_upstreams
from almondstair.core.homes import Homes
from almondstair.core.loop_stall import LoopStall
from almondstair.core.membership import Membership
from almondstair.core.membership_records import incarnation_text
from almondstair.core.model import Configuration
from almondstair.core.quarantine import Quarantine
from almondstair.core.slot_tracker import SlotTracker
from almondstair.core.steering import Steering
from almondstair.core.steering_records import SteeringLimits
from almondstair.dispatch import Sender
from almondstair.document_exchange import DocumentExchange
from almondstair.entry_table_manager import EntryTableManager
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.frontend import RequestListener
from almondstair.heartbeats import Heartbeats
from almondstair.key_value.etcd import EtcdService
from almondstair.key_value.etcd import HttpVmList
from almondstair.link_pacers import LinkPacers
from almondstair.link_shares import LinkShares
from almondstair.lookups import LookupBody
from almondstair.lookups import Lookups
from almondstair.loop_stall_monitor import LoopStallMonitor
from almondstair.metrics import Metric
from almondstair.metrics import Metrics
from almondstair.metrics_sampler import MetricSources
from almondstair.metrics_sampler import MetricsSampler
from almondstair.operator_server import OperatorServer
from almondstair.operator_views import OperatorViews
from almondstair.operator_views import ViewParts
from almondstair.peers import Peers
from almondstair.prober import Prober
from almondstair.runner import Runner
from almondstair.runner import RunnerState
from almondstair.settings import LoadedSettings
from almondstair.settings import Settings
from almondstair.shutdown_sequence import ShutdownComponents
from almondstair.shutdown_sequence import ShutdownSequence
from almondstair.slot_allocator import SlotAllocator
from almondstair.startup_sequence import StartupComponents
from almondstair.startup_sequence import StartupSequence
from almondstair.store import ConfigurationStore
from almondstair.store import EntryTableStore
from almondstair.strike_exchange import StrikeExchange
from almondstair.tracing import Tracing

# How long the home may use a reserve slot after the last report of its
# successor, and the maximum deadline of work in one; see core/homes.py.
RESERVE_T1_S = 1.0
RESERVE_DEADLINE_S = 2.0
# Covers clock drift and the time an upstream needs to detect a closed
# connection.
SLOT_MARGIN_S = 0.25
# Interval in which a few reports of strikes are sent without delay; see
# core/announcement_limiter.py.
STRIKE_INTERVAL_S = 0.02


# Used until the first configuration is in force.
NO_CONFIGURATION = Configuration(
    regions={}, services={}, upstreams={}, profiles={}
)


class Entry(CallHandler):
    """Runs one entry."""

    def __init__(self, *, loaded: LoadedSettings) -> None:
        """Creates the components; nothing listens yet.

        Args:
          loaded: validated settings and the initial configuration.
        """
        settings = loaded.settings
        self._settings = settings
        self._incarnation = secrets.randbits(63)
        self.own = _own_row(settings, self._incarnation)
        self._strike_limiter = AnnouncementLimiter(interval_s=STRIKE_INTERVAL_S)
        self._platform_down = False
        self._timers: list[asyncio.Task[None]] = []
        self.metrics = Metrics(
            statsd_address=settings.metrics.statsd_address,
            prefix=settings.metrics.prefix,
        )
        self._tracing = Tracing(
            exporter=settings.tracing.exporter,
            file=settings.tracing.file,
            sample_fraction=settings.tracing.sample_fraction,
            entry_name=self.own.name,
        )
        self._make_core()
        self._make_platform()
        self._make_control()
        self._make_call_router()
        self._make_listeners()
        self._startup = self._make_startup(loaded.configuration_text)

    def _make_core(self) -> None:
        timing = self._settings.timing
        self.membership = Membership(
            own=self.own, silence_limit_s=timing.silence_limit_ms / 1000
        )
        self.membership.joining = True
        self._configuration_state = ConfigurationState()
        tracker = SlotTracker(margin_s=SLOT_MARGIN_S)
        self.homes = Homes(
            entry_name=self.own.name,
            incarnation=self.own.incarnation,
            t1_s=RESERVE_T1_S,
            reserve_deadline_s=RESERVE_DEADLINE_S,
            margin_s=SLOT_MARGIN_S,
            tracker=tracker,
        )
        self._health = HealthTable()
        self._loop_stall = LoopStall()
        self.slots = SlotTable(
            homes=self.homes,
            tracker=tracker,
            health=self._health,
            loop_stall=self._loop_stall,
        )
        self._slot_allocator = SlotAllocator(slots=self.slots)
        report_limit_s = timing.load_report_limit_ms / 1000
        self._entry_selector = EntrySelector(report_limit_s=report_limit_s)
        self.steering = Steering(
            configuration=NO_CONFIGURATION,
            limits=SteeringLimits(report_limit_s=report_limit_s),
        )
        self._quarantine = Quarantine()
        self.pacers = LinkPacers()

    def _make_platform(self) -> None:
        platform = self._settings.platform
        timeout_s = platform.timeout_ms / 1000
        self._service = EtcdService(
            url=platform.url,
            timeout_s=timeout_s,
            on_outcome=self._on_platform_outcome,
        )
        self._vm_list = HttpVmList(
            url=platform.vm_list_url, timeout_s=timeout_s
        )
        self._claims = Claims(
            service=self._service,
            entry_name=self.own.name,
            incarnation=self.own.incarnation,
            is_live=self._is_live,
            retention_s=platform.claim_retention_s,
        )

    def _on_platform_outcome(self, failure: str) -> None:
        """Logs outages and recoveries of the platform and counts failures."""
        if failure:
            self.metrics.count(Metric.PLATFORM_ERRORS)
        if failure and not self._platform_down:
            log.event(log.Event.PLATFORM_DOWN, detail=failure)
        if not failure and self._platform_down:
            log.event(log.Event.PLATFORM_BACK)
        self._platform_down = bool(failure)

    def _is_live(self, entry: str, incarnation: str) -> bool:
        row = self.membership.table.row(name=entry)
        if row is None or row.incarnation != incarnation:
            return False
        return not self.membership.is_silent(name=entry, now_s=time.monotonic())

    def _make_control(self) -> None:
        settings = self._settings
        self._sender = Sender(
            tracing=self._tracing, own_zone=self.own.availability_zone
        )
        self._peers = Peers(
            context=zmq.Context.instance(),
            name=self.own.name,
            incarnation=self._incarnation,
            peer_address=self.own.peer_address,
            on_message=self._on_message,
        )
        self._link_shares = LinkShares(
            own=self.own,
            incarnation=self._incarnation,
            pacers=self.pacers,
            send=self._peers.send,
        )
        prober = Prober(
            slots=self.slots,
            client=self._sender.upstream_client,
            interval_s=settings.timing.probe_interval_ms / 1000,
        )
        self._prober = prober
        self.table_manager = EntryTableManager(
            membership=self.membership,
            store=EntryTableStore(service=self._service),
            vm_list=self._vm_list,
            on_table=self._on_table,
        )
        self.configuration_manager = ConfigurationManager(
            state=self._configuration_state,
            membership=self.membership,
            store=ConfigurationStore(service=self._service),
            fresh_limit_s=settings.timing.silence_limit_ms / 1000,
            on_configuration=self._on_configuration,
        )
        parts = ControlParts(
            own=self.own,
            membership=self.membership,
            homes=self.homes,
            slot_allocator=self._slot_allocator,
            steering=self.steering,
            entry_selector=self._entry_selector,
            quarantine=self._quarantine,
            link_shares=self._link_shares,
            pacers=self.pacers,
            prober=self._prober,
            metrics=self.metrics,
        )
        self._control = Control(
            parts=parts,
            tick_s=settings.timing.heartbeat_interval_ms / 1000,
            refresh_s=settings.platform.refresh_interval_ms / 1000,
        )
        self.heartbeats = Heartbeats(
            own=self.own,
            membership=self.membership,
            configuration=self._configuration_state,
            peers=self._peers,
            clock=time.monotonic,
            own_detail=self._control.own_detail,
            piggybacked_messages=self._control.piggybacked_messages,
            interval_ms=settings.timing.heartbeat_interval_ms,
            silence_limit_ms=settings.timing.silence_limit_ms,
        )
        self._strike_exchange = StrikeExchange(
            own=self.own,
            incarnation=self._incarnation,
            membership=self.membership,
            on_report=self._control.apply_strikes,
        )
        self._document_exchange = DocumentExchange(
            peer_address=self.own.peer_address,
            peers=self._peers,
            membership=self.membership,
            configuration=self._configuration_state,
            on_table=lambda table: self.table_manager.apply(
                table, from_platform=False
            ),
            on_configuration=self.configuration_manager.apply,
            clock=time.monotonic,
        )
        self._metrics_sampler = MetricsSampler(
            sources=MetricSources(
                metrics=self.metrics,
                peers=self._peers,
                slot_allocator=self._slot_allocator,
                pacers=self.pacers,
                configuration=self.configuration_manager,
                loads=self._control.loads,
            )
        )
        self._control.bind(
            heartbeats=self.heartbeats,
            exchange=self._document_exchange,
            table=self.table_manager,
            configuration=self.configuration_manager,
        )

    def _on_message(self, name: str, incarnation: int, message: object) -> None:
        self._control.on_message(name, incarnation, message)

    def _on_table(self, table: EntryTable, from_platform: bool) -> None:
        self._control.on_table(table, from_platform)

    def _make_call_router(self) -> None:
        self._loop_stall_monitor = LoopStallMonitor(
            loop_stall=self._loop_stall, metrics=self.metrics
        )
        core = RunnerState(
            configuration=self.configuration,
            quarantine=self._quarantine,
            health=self._health,
            report_strike=self._schedule_strike_report,
        )
        self.runner = Runner(
            core=core,
            allocator=self._slot_allocator,
            claims=self._claims,
            sender=self._sender,
            metrics=self.metrics,
        )
        self._call_router = CallRouter(
            parts=CallRouterParts(
                own=self.own,
                membership=self.membership,
                steering=self.steering,
                entry_selector=self._entry_selector,
                quarantine=self._quarantine,
                pacers=self.pacers,
                runner=self.runner,
                sender=self._sender,
                tracing=self._tracing,
                metrics=self.metrics,
                loop_stall=self._loop_stall,
                strike_exchange=self._strike_exchange,
            )
        )
        self._lookups = Lookups(
            membership=self.membership,
            own=self.own,
            ttl_s=self._settings.timing.lookup_ttl_ms / 1000,
        )

    def _schedule_strike_report(self) -> None:
        wait_s = self._strike_limiter.wait_s(now_s=time.monotonic())
        if wait_s is None:
            return
        if wait_s > 0:
            IOLoop.current().call_later(wait_s, self._send_scheduled_strikes)
            return
        self._send_strikes()

    def _send_scheduled_strikes(self) -> None:
        self._strike_limiter.record_scheduled_sent(now_s=time.monotonic())
        self._send_strikes()

    def _send_strikes(self) -> None:
        marks = self._quarantine.next_marks(now_s=time.monotonic())
        self._strike_exchange.send_strikes(marks)
        self.heartbeats.send_now()

    def _make_listeners(self) -> None:
        zone = self.own.availability_zone
        self._caller_listener = RequestListener(
            handler=self, own_zone=zone, for_entries=False
        )
        self._forward_listener = RequestListener(
            handler=self, own_zone=zone, for_entries=True
        )
        self._shutdown = self._make_shutdown()
        views = OperatorViews(
            parts=ViewParts(
                own=self.own,
                membership=self.membership,
                homes=self.homes,
                slots=self.slots,
                steering=self.steering,
                pacers=self.pacers,
                runner=self.runner,
                heartbeats=self.heartbeats,
                configuration=self.configuration_manager,
                table=self.table_manager,
                requests_in_flight=self._shutdown.requests_in_flight,
            )
        )
        self._operator_server = OperatorServer(handler=views)

    def _make_startup(self, seed_text: str) -> StartupSequence:
        return StartupSequence(
            components=StartupComponents(
                membership=self.membership,
                heartbeats=self.heartbeats,
                table_manager=self.table_manager,
                configuration_manager=self.configuration_manager,
                exchange=self._document_exchange,
                shares=self._link_shares,
                control=self._control,
            ),
            peer_addresses=tuple(self._settings.entry.peer_addresses),
            seed_text=seed_text,
        )

    def _make_shutdown(self) -> ShutdownSequence:
        timing = self._settings.timing
        return ShutdownSequence(
            components=ShutdownComponents(
                membership=self.membership,
                heartbeats=self.heartbeats,
                table_manager=self.table_manager,
                homes=self.homes,
                shares=self._link_shares,
                claims=self._claims,
                caller_listener=self._caller_listener,
                forward_listener=self._forward_listener,
            ),
            lookup_grace_s=(timing.lookup_ttl_ms + timing.drain_margin_ms)
            / 1000,
            drain_limit_s=timing.stop_limit_ms / 1000,
        )

    # Calls from the listeners.

    def configuration(self) -> Configuration:
        """Returns the configuration in force.

        Raises:
          AlmondstairError: `platform_unavailable` before the first one is in
            force.
        """
        configuration = self.configuration_manager.configuration
        if configuration is None:
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail="no configuration is in force here yet",
            )
        return configuration

    async def handle(self, call: Call) -> None:
        """Responds to a call."""
        await self._call_router.handle(call)

    def lookup(self, *, service: str, caller_ip: str) -> LookupBody:
        """Returns the entries that a caller may use."""
        self.metrics.count(Metric.LOOKUPS)
        return self._lookups.look_up(
            configuration=self.configuration(),
            service=service,
            caller_ip=caller_ip,
        )

    def is_leaving(self) -> bool:
        """Returns whether connections are closed after their response."""
        return self.membership.leaving

    def is_refusing(self) -> bool:
        """Returns whether new requests are refused."""
        return self._shutdown.is_refusing

    # Start.

    async def start(self) -> None:
        """Listens, then joins the group in the background.

        Joining finds the peers and the configuration and registers the entry.

        Raises:
          OSError: an address cannot be bound.
        """
        self._peers.start()
        self._strike_exchange.start()
        self._operator_server.listen(self.own.operator_address)
        self._forward_listener.listen(self.own.forward_address)
        self._caller_listener.listen(self.own.caller_address)
        self.heartbeats.start()
        self._control.start()
        self._timers.append(asyncio.ensure_future(self._startup.run()))
        self._timers.append(asyncio.ensure_future(self._metrics_sampler.run()))
        self._timers.append(
            asyncio.ensure_future(self._loop_stall_monitor.run())
        )

    def _on_configuration(self, configuration: Configuration) -> None:
        homed = homed_upstreams(configuration=configuration)
        self.homes.set_upstreams(upstreams=homed)
        self.slots.set_configuration(configuration=configuration)
        self.steering.configure(configuration=configuration)
        self._link_shares.configure(configuration=configuration)
        self._call_router.configure(configuration=configuration)
        self._lookups.configure(configuration=configuration)
        self._control.on_configuration(configuration)

    # Stop.

    async def stop(self) -> None:
        """Leaves the group, drains the requests in flight, then closes all."""
        log.event(log.Event.STOPPING, entry=self.own.name)
        await self._shutdown.run()
        await self._close()
        log.event(log.Event.STOPPED, entry=self.own.name)

    async def _close(self) -> None:
        self._control.stop()
        self._prober.stop()
        self.heartbeats.stop()
        self.table_manager.stop()
        self.configuration_manager.stop()
        for timer in self._timers:
            timer.cancel()
        await self._operator_server.close()
        await self._caller_listener.close()
        await self._forward_listener.close()
        self._claims.close()
        self._sender.close()
        self._service.close()
        self._vm_list.close()
        self._peers.stop()
        self._strike_exchange.stop()
        self._tracing.close()


def _own_row(settings: Settings, incarnation: int) -> EntryRow:
    entry = settings.entry
    return EntryRow(
        name=entry.name,
        availability_zone=entry.availability_zone,
        region=entry.region,
        caller_address=entry.caller_address,
        forward_address=entry.forward_address,
        peer_address=entry.peer_address,
        operator_address=entry.operator_address,
        incarnation=incarnation_text(incarnation),
    )
