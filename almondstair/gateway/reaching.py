"""Connections to upstreams, and finding out which ones are back."""

import asyncio
from collections.abc import Iterable
import math

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.crash_words import CrashWords
from almondstair.gateway.upstream_connection import UpstreamConnection
from almondstair.gateway.upstream_pool import UpstreamPool

# Longest time for a new connection. A round trip between the farthest regions
# is 0.11 s; an upstream that needs longer than twice that is not there.
CONNECT_TIMEOUT_S = 0.3
# Round trip to another region before the first connection to it.
FIRST_ROUND_TRIP_S = 0.05
# Weight of the newest connection in the mean round trip to a region.
ROUND_TRIP_WEIGHT = 0.2
# Pause until the upstream of a lost answer is connected to, and how long after
# the answer it has to keep that connection to be taken for one that lives: one
# that crashes may still accept connections in the first moment.
FIRST_CHECK_S = 0.005
SETTLED_S = 0.025
# How long after a lost answer that connection goes on being watched.
LOOK_AFTER_S = 0.15
# How often a connection that has to be kept is looked at.
CHECK_POLL_S = 0.005
# Pause before the first look at an upstream that could not be reached, how much
# longer each next one is, and the longest. One that crashed is back after some
# seconds; a look takes a connection and no caller's time.
FIRST_LOOK_S = 0.5
LOOK_GROWTH = 1.5
LONGEST_LOOK_S = 8.0


class Reaching:
    """Opens connections to upstreams and looks after those that are gone.

    Attributes:
      round_trips_s: round trip to each other region, in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: UpstreamPool,
        suspects: CrashWords,
        own_region: str,
        regions: Iterable[str],
    ) -> None:
        """Makes the opener of one entry.

        Args:
          fleet: what is known of the deployment.
          pool: keeps connections.
          suspects: requests that may crash upstreams.
          own_region: region of this entry.
          regions: every region.
        """
        self._fleet = fleet
        self._pool = pool
        self._suspects = suspects
        self._looks: dict[str, asyncio.Task[None]] = {}
        self._lost_at_s: dict[str, float] = {}
        self._own_region = own_region
        self.round_trips_s: dict[str, float] = {}
        self.know_regions(regions)

    def know_regions(self, regions: Iterable[str]) -> None:
        """Starts to measure the way to regions that are new."""
        for region in regions:
            if region != self._own_region:
                self.round_trips_s.setdefault(region, FIRST_ROUND_TRIP_S)

    async def open(self, upstream: UpstreamState) -> UpstreamConnection | None:
        """Opens a connection for a request; None when there is no answer."""
        connection = await self._connect(upstream)
        if connection is None:
            self._look(upstream, FIRST_LOOK_S)
        return connection

    def look_after(self, upstream: UpstreamState) -> None:
        """Finds out whether an upstream that lost an answer is gone.

        What goes wrong without: nobody connects to it for a while, and what
        ended it is sent to the next upstream meanwhile.
        """
        self._lost_at_s[upstream.incarnation] = now_s()
        self._look(upstream, FIRST_CHECK_S)

    def close(self) -> None:
        """Looks no more."""
        for task in list(self._looks.values()):
            task.cancel()

    async def _connect(
        self, upstream: UpstreamState
    ) -> UpstreamConnection | None:
        record = upstream.record
        began_s = now_s()
        try:
            connection = await self._pool.connect(
                address=record.address, timeout_s=CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            upstream.note_unreachable(now_s=now_s())
            self._suspects.note_gone(upstream)
            log.event(
                log.Event.UPSTREAM_UNREACHABLE,
                upstream=record.upstream_id,
                address=record.address,
                detail=str(error) or "no answer to a connection",
            )
            return None
        self._note_round_trip(upstream.region, now_s() - began_s)
        self._fleet.note_reached(upstream, now_s=now_s())
        return connection

    def _note_round_trip(self, region: str, sample_s: float) -> None:
        before_s = self.round_trips_s.get(region, sample_s)
        self.round_trips_s[region] = before_s + ROUND_TRIP_WEIGHT * (
            sample_s - before_s
        )

    def _look(self, upstream: UpstreamState, first_s: float) -> None:
        incarnation = upstream.incarnation
        if incarnation in self._looks:
            return
        self._looks[incarnation] = asyncio.ensure_future(
            self._look_until_back(upstream, first_s)
        )

    async def _look_until_back(
        self, upstream: UpstreamState, first_s: float
    ) -> None:
        """Connects now and then until an upstream answers or is not listed.

        What goes wrong if requests find that out: each entry sends some to each
        upstream that is gone, and each of them is late by the time to connect;
        the lines of event 411 tell.
        """
        pause_s = first_s
        try:
            while not await self._is_back(upstream, pause_s):
                if upstream.was_unreachable:
                    pause_s = max(FIRST_LOOK_S, LOOK_GROWTH * pause_s)
                    pause_s = min(LONGEST_LOOK_S, pause_s)
        finally:
            # Before anything else runs: a request that finds it gone again
            # would take this look for one that goes on, and nobody would look.
            self._looks.pop(upstream.incarnation, None)
            self._lost_at_s.pop(upstream.incarnation, None)

    async def _is_back(self, upstream: UpstreamState, pause_s: float) -> bool:
        """Whether an upstream answers after a pause, or needs no more looks."""
        await asyncio.sleep(pause_s)
        name = upstream.name_hash
        if self._fleet.by_hash.get(name) is not upstream:
            return True
        connection = await self._connect(upstream)
        if connection is None:
            return False
        if not await self._stays_open(connection, upstream):
            return False
        self._pool.give_back(connection, incarnation=upstream.incarnation)
        return True

    async def _stays_open(
        self, connection: UpstreamConnection, upstream: UpstreamState
    ) -> bool:
        """Whether an upstream keeps a connection while it may be ending."""
        while connection.usable:
            lost_s = self._lost_at_s.get(upstream.incarnation, -math.inf)
            if now_s() >= lost_s + SETTLED_S:
                self._suspects.note_lives(upstream)
            if now_s() >= lost_s + LOOK_AFTER_S:
                return True
            await asyncio.sleep(CHECK_POLL_S)
        return False
