"""Graceful shutdown of an entry."""

import asyncio
import time
from typing import NamedTuple

from almondstair import log
from almondstair.claims import Claims
from almondstair.core.homes import Homes
from almondstair.core.membership import Membership
from almondstair.frontend import RequestListener
from almondstair.heartbeats import Heartbeats
from almondstair.link_shares import LinkShares
from almondstair.table_keeper import TableKeeper

DRAIN_POLL_S = 0.05
MARK_LEAVING_POLL_S = 0.2
# Limit for releasing links, homes and claims after the last response.
RELEASE_LIMIT_S = 3.0


class LeavingParts(NamedTuple):
    """Components that the shutdown uses."""

    membership: Membership
    heartbeats: Heartbeats
    table_keeper: TableKeeper
    homes: Homes
    shares: LinkShares
    claims: Claims
    caller_door: RequestListener
    forward_door: RequestListener


class Leaving:
    """Takes an entry out of service without aborting requests.

    Attributes:
      refusing: whether new requests are refused.
    """

    def __init__(
        self, *, parts: LeavingParts, serve_s: float, finish_s: float
    ) -> None:
        """Initializes; `run` does the shutdown.

        Args:
          parts: components to shut down.
          serve_s: how long callers may still use cached lookups.
          finish_s: how long requests in flight may take after that.
        """
        self._components = parts
        self._lookup_grace_s = serve_s
        self._drain_limit_s = finish_s
        self.refusing = False

    async def run(self) -> None:
        """Shuts down; on return no request runs and nothing is held.

        Callers cache lookups for a while, so the entry continues to serve for
        that long after lookups stop including it. Meanwhile its home roles
        pass to other entries.
        """
        components = self._components
        components.membership.leaving = True
        components.caller_door.end_keep_alive()
        components.forward_door.end_keep_alive()
        components.heartbeats.announce()
        deadline_s = time.monotonic() + self._lookup_grace_s
        await self._mark_leaving(deadline_s)
        await asyncio.sleep(max(0.0, deadline_s - time.monotonic()))
        self.refusing = True
        components.caller_door.stop_listening()
        await self._drain_requests()
        await self._release()

    async def _mark_leaving(self, deadline_s: float) -> None:
        """Marks the row as leaving, so that the home roles pass to others.

        Retried until it succeeds. Without retries, one lost call would leave
        this entry the home of its upstreams until it is gone, and they would
        be idle until then.
        """
        membership = self._components.membership
        table_manager = self._components.table_keeper
        while True:
            await table_manager.change(
                lambda table: table_manager.plans.plan_leaving(table=table)
            )
            row = membership.table.row(name=membership.own.name)
            if row is None or row.leaving or time.monotonic() >= deadline_s:
                return
            await asyncio.sleep(MARK_LEAVING_POLL_S)

    async def _drain_requests(self) -> None:
        deadline_s = time.monotonic() + self._drain_limit_s
        while self.running() and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        if self.running():
            log.event(log.Event.STOP_CUT, running=self.running())
        await self._components.claims.drain(timeout_s=RELEASE_LIMIT_S)

    def running(self) -> int:
        """Returns the number of requests in flight."""
        components = self._components
        return len(components.caller_door.running_calls) + len(
            components.forward_door.running_calls
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
        # If the platform is unavailable, the row stays. Because of `finished`
        # the peers remove it once the platform is back; otherwise they would
        # hold its upstreams' slots back for the longest deadline.
        components.forward_door.stop_listening()
        table_manager = components.table_keeper
        await table_manager.change(
            lambda table: table_manager.plans.plan_release(table=table)
        )
        components.heartbeats.announce(finished=True)
