"""Graceful shutdown of an entry."""

import asyncio
import time
from typing import NamedTuple

from almondstair import log
from almondstair.claims import Claims
from almondstair.core.homes import Homes
from almondstair.core.membership import Membership
from almondstair.entry_table_manager import EntryTableManager
from almondstair.frontend import RequestListener
from almondstair.heartbeats import Heartbeats
from almondstair.link_shares import LinkShares

DRAIN_POLL_S = 0.05
MARK_LEAVING_POLL_S = 0.2
# Limit for releasing links, homes and claims after the last response.
RELEASE_LIMIT_S = 3.0


class ShutdownComponents(NamedTuple):
    """Components that the shutdown uses."""

    membership: Membership
    heartbeats: Heartbeats
    table_manager: EntryTableManager
    homes: Homes
    shares: LinkShares
    claims: Claims
    caller_listener: RequestListener
    forward_listener: RequestListener


class ShutdownSequence:
    """Takes an entry out of service without aborting requests.

    Attributes:
      is_refusing: whether new requests are refused.
    """

    def __init__(
        self,
        *,
        components: ShutdownComponents,
        lookup_grace_s: float,
        drain_limit_s: float,
    ) -> None:
        """Initializes; `run` does the shutdown.

        Args:
          components: components to shut down.
          lookup_grace_s: how long callers may still use cached lookups.
          drain_limit_s: how long requests in flight may take after that.
        """
        self._components = components
        self._lookup_grace_s = lookup_grace_s
        self._drain_limit_s = drain_limit_s
        self.is_refusing = False

    async def run(self) -> None:
        """Shuts down; on return no request runs and nothing is held.

        Exceptions are requests that exceed the drain limit, and what cannot be
        released within `RELEASE_LIMIT_S`.

        Callers cache lookups for a while, so the entry continues to serve for
        that long after lookups stop including it. Meanwhile its home roles
        pass to other entries.
        """
        components = self._components
        components.membership.leaving = True
        components.caller_listener.end_keep_alive()
        components.forward_listener.end_keep_alive()
        components.heartbeats.send_now()
        deadline_s = time.monotonic() + self._lookup_grace_s
        await self._mark_leaving(deadline_s)
        await asyncio.sleep(max(0.0, deadline_s - time.monotonic()))
        self.is_refusing = True
        components.caller_listener.stop_listening()
        await self._drain_requests()
        await self._release()

    async def _mark_leaving(self, deadline_s: float) -> None:
        """Marks the row as leaving, so that the home roles pass to others.

        Retried until it succeeds. Without retries, one lost call would leave
        this entry the home of its upstreams until it is gone, and they would
        be idle until then.
        """
        membership = self._components.membership
        table_manager = self._components.table_manager
        while True:
            await table_manager.change(
                lambda table: table_manager.planner.plan_leaving(table=table)
            )
            row = membership.table.row(name=membership.own.name)
            if row is None or row.leaving or time.monotonic() >= deadline_s:
                return
            await asyncio.sleep(MARK_LEAVING_POLL_S)

    async def _drain_requests(self) -> None:
        deadline_s = time.monotonic() + self._drain_limit_s
        while self.requests_in_flight() and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        if self.requests_in_flight():
            log.event(log.Event.STOP_CUT, running=self.requests_in_flight())
        await self._components.claims.drain(timeout_s=RELEASE_LIMIT_S)

    def requests_in_flight(self) -> int:
        """Returns the number of requests in flight."""
        components = self._components
        return len(components.caller_listener.running_calls) + len(
            components.forward_listener.running_calls
        )

    async def _release(self) -> None:
        """Releases links and home roles, and removes the row from the table."""
        components = self._components
        deadline_s = time.monotonic() + RELEASE_LIMIT_S
        components.shares.release_all()
        while not components.homes.has_released_all(now_s=time.monotonic()):
            if time.monotonic() > deadline_s:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        if not components.homes.holds_no_slots(now_s=time.monotonic()):
            return
        # If the platform is unavailable, the row stays. A heartbeat with
        # `finished` lets the peers remove it once the platform is back; without
        # it they would hold its upstreams' slots back for the longest deadline.
        components.forward_listener.stop_listening()
        table_manager = components.table_manager
        await table_manager.change(
            lambda table: table_manager.planner.plan_release(table=table)
        )
        components.heartbeats.send_now(finished=True)
