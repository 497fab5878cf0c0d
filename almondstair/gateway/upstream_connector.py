"""Opening of connections to upstreams, and probing of unreachable ones."""

import asyncio
from collections.abc import Iterable
import math

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.link_monitor import LinkMonitor
from almondstair.gateway.upstream_connection import UpstreamConnection

# A round trip between the farthest regions takes 0.11 s; an upstream that needs
# more than twice that to accept a connection is unreachable.
CONNECT_TIMEOUT_S = 0.3
# A time-out that is handled later than this shows that the event loop stalled,
# and not that the upstream did not answer.
MAX_TIMEOUT_DELAY_S = 0.03
# Assumed round trip to another region before the first connection to it.
INITIAL_ROUND_TRIP_S = 0.05
# Weight of the newest sample in the average round trip to a region.
ROUND_TRIP_WEIGHT = 0.2
# Pause after a lost response before the upstream is probed, and how long after
# the loss it must keep the probe's connection to count as alive: a crashing
# upstream may still accept connections for a moment.
LOSS_PROBE_PAUSE_S = 0.005
ALIVE_AFTER_S = 0.025
# How long after a lost response the probe's connection is watched.
LOSS_WATCH_S = 0.15
# How often a watched connection is checked.
OPEN_POLL_S = 0.005
# First pause between probes of an unreachable upstream, growth factor and
# maximum. A crashed upstream is back after some seconds; a probe costs one
# connection and delays no caller.
FIRST_PROBE_PAUSE_S = 0.5
PROBE_BACKOFF_FACTOR = 1.5
MAX_PROBE_PAUSE_S = 8.0
# Longest pause for an upstream that is alive.
ALIVE_PROBE_PAUSE_S = 1.0
# Probes of upstreams that are alive, at most.
MAX_ALIVE_PROBES_PER_S = 20.0


class UpstreamConnector:
    """Opens connections to upstreams and probes unreachable ones.

    Attributes:
      round_trips_s: average round trip to each other region, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        crash_reports: CrashReports,
        link_monitor: LinkMonitor,
        own_region: str,
        regions: Iterable[str],
    ) -> None:
        """Creates the connector of one entry.

        Args:
          fleet: the view of the deployment.
          pool: connections to upstreams.
          crash_reports: reports on requests that may crash upstreams.
          link_monitor: tells a failed upstream from a failed link.
          own_region: region of this entry.
          regions: all regions.
        """
        self._fleet = fleet
        self._pool = pool
        self._crash_reports = crash_reports
        self._link_monitor = link_monitor
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._lost_at_s: dict[str, float] = {}
        self._own_region = own_region
        self.round_trips_s: dict[str, float] = {}
        self.add_regions(regions)

    def add_regions(self, regions: Iterable[str]) -> None:
        """Adds regions to which round trips are measured."""
        for region in regions:
            if region != self._own_region:
                self.round_trips_s.setdefault(region, INITIAL_ROUND_TRIP_S)

    async def connect(
        self, upstream: UpstreamState
    ) -> UpstreamConnection | None:
        """Opens a connection for a request; None if that fails."""
        connection = await self._try_connect(upstream)
        if connection is None:
            self._start_probe(upstream, FIRST_PROBE_PAUSE_S)
        return connection

    def probe_after_loss(self, upstream: UpstreamState) -> None:
        """Probes an upstream after a lost response.

        Otherwise nothing might connect to it for a while, and the request that
        crashed it would be sent to the next upstream in the meantime.
        """
        self._lost_at_s[upstream.incarnation] = now_s()
        self._start_probe(upstream, LOSS_PROBE_PAUSE_S)

    def confirm_loss(self, upstream: UpstreamState) -> None:
        """Finds out whether a lost response shows that its upstream ended."""
        self._link_monitor.confirm_failure(
            upstream,
            cause="lost response",
            since_s=now_s(),
            is_new=not upstream.is_unreachable,
            confirm=lambda: self._confirm_loss(upstream),
            dismiss=lambda: self._crash_reports.record_alive(upstream),
        )
        if not upstream.is_unreachable:
            self.probe_after_loss(upstream)

    def _confirm_loss(self, upstream: UpstreamState) -> None:
        if upstream.is_unreachable:
            self._crash_reports.report_gone(upstream)

    def close(self) -> None:
        """Cancels all probes."""
        for task in list(self._probes.values()):
            task.cancel()

    async def _try_connect(
        self, upstream: UpstreamState
    ) -> UpstreamConnection | None:
        record = upstream.record
        began_s = now_s()
        try:
            connection = await self._open(record.address)
        except (OSError, TimeoutError) as error:
            is_new = not upstream.is_unreachable
            upstream.record_unreachable(now_s=now_s())
            if not upstream.is_leaving:
                self._confirm_unreachable(upstream, began_s, is_new)
            log.event(
                log.Event.UPSTREAM_UNREACHABLE,
                upstream=record.upstream_id,
                address=record.address,
                detail=str(error) or "no answer to a connection",
            )
            return None
        self._record_round_trip(upstream.region, now_s() - began_s)
        if self._link_monitor.links.is_partitioned:
            upstream.record_reached()
        else:
            self._fleet.record_reached(upstream, now_s=now_s())
        return connection

    async def _open(self, address: str) -> UpstreamConnection:
        """Opens a connection, in a second attempt if the event loop stalled.

        After a stall, the time-out is handled before the connection that was
        accepted meanwhile.

        Raises:
          OSError: the address cannot be reached, or not in time.
        """
        began_s = now_s()
        try:
            return await self._pool.connect(
                address=address, timeout_s=CONNECT_TIMEOUT_S
            )
        except TimeoutError:
            late_s = now_s() - began_s - CONNECT_TIMEOUT_S
            if late_s <= MAX_TIMEOUT_DELAY_S:
                raise
        return await self._pool.connect(
            address=address, timeout_s=CONNECT_TIMEOUT_S
        )

    def _confirm_unreachable(
        self, upstream: UpstreamState, since_s: float, is_new: bool
    ) -> None:
        """Finds out whether a failed connection shows that an upstream ended.

        Args:
          upstream: the upstream.
          since_s: when the connection was begun, on the entry's clock.
          is_new: whether the upstream was reachable before.
        """
        self._link_monitor.confirm_failure(
            upstream,
            cause="no connection",
            since_s=since_s,
            is_new=is_new,
            confirm=lambda: self._crash_reports.report_gone(upstream),
            dismiss=lambda: self._crash_reports.record_alive(upstream),
        )

    def _record_round_trip(self, region: str, sample_s: float) -> None:
        before_s = self.round_trips_s.get(region, sample_s)
        self.round_trips_s[region] = before_s + ROUND_TRIP_WEIGHT * (
            sample_s - before_s
        )

    def _start_probe(self, upstream: UpstreamState, first_s: float) -> None:
        incarnation = upstream.incarnation
        if incarnation in self._probes:
            return
        self._probes[incarnation] = asyncio.ensure_future(
            self._probe_until_back(upstream, first_s)
        )

    async def _probe_until_back(
        self, upstream: UpstreamState, first_s: float
    ) -> None:
        """Probes an upstream until it is reachable or no longer registered.

        Without probes, each entry would send requests to each gone upstream to
        find out, and each request would be delayed by the connection timeout;
        such requests are logged as event 411.
        """
        pause_s = first_s
        try:
            while not await self._probe_once(upstream, pause_s):
                if upstream.is_unreachable:
                    pause_s = max(
                        FIRST_PROBE_PAUSE_S, PROBE_BACKOFF_FACTOR * pause_s
                    )
                    pause_s = min(self._max_pause_s(upstream), pause_s)
        finally:
            # Removed before any other task runs: a request that finds the
            # upstream gone again would otherwise assume that this probe
            # continues, and nothing would probe the upstream.
            self._probes.pop(upstream.incarnation, None)
            self._lost_at_s.pop(upstream.incarnation, None)

    def _max_pause_s(self, upstream: UpstreamState) -> float:
        """Returns the longest pause between probes of an upstream.

        One that renews its registration runs, so that the link to it may work
        again at any moment.
        """
        if not upstream.is_alive_since_unreachable():
            return MAX_PROBE_PAUSE_S
        probes = len(self._probes)
        return max(ALIVE_PROBE_PAUSE_S, probes / MAX_ALIVE_PROBES_PER_S)

    async def _probe_once(
        self, upstream: UpstreamState, pause_s: float
    ) -> bool:
        """Probes once after a pause; returns whether to stop probing."""
        await asyncio.sleep(pause_s)
        if upstream.is_leaving:
            return True
        upstream_hash = upstream.name_hash
        if self._fleet.upstreams_by_hash.get(upstream_hash) is not upstream:
            return True
        connection = await self._try_connect(upstream)
        if connection is None:
            return False
        if not await self._stays_open(connection, upstream):
            return False
        self._pool.release(connection, incarnation=upstream.incarnation)
        return True

    async def _stays_open(
        self, connection: UpstreamConnection, upstream: UpstreamState
    ) -> bool:
        """Returns whether a connection stays open after a lost response.

        Once it has stayed open long enough, the upstream is recorded as alive.
        """
        while connection.usable:
            lost_s = self._lost_at_s.get(upstream.incarnation, -math.inf)
            if now_s() >= lost_s + ALIVE_AFTER_S:
                self._crash_reports.record_alive(upstream)
            if now_s() >= lost_s + LOSS_WATCH_S:
                return True
            await asyncio.sleep(OPEN_POLL_S)
        return False
