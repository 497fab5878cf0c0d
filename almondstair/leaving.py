"""A planned stop: what an entry gives up, in which order, and until when."""

import asyncio
import time
from typing import NamedTuple

from almondstair import log
from almondstair.claims import Claims
from almondstair.core.homes import Homes
from almondstair.core.membership import Membership
from almondstair.frontend import FrontDoor
from almondstair.heartbeats import Heartbeats
from almondstair.link_shares import LinkShares
from almondstair.table_keeper import TableKeeper

POLL_S = 0.05
HAND_OVER_POLL_S = 0.2
# For the last links, homes and claims, after the last answer.
RELEASE_LIMIT_S = 3.0


class LeavingParts(NamedTuple):
    """What a stop has to do with."""

    membership: Membership
    heartbeats: Heartbeats
    table_keeper: TableKeeper
    homes: Homes
    shares: LinkShares
    claims: Claims
    caller_door: FrontDoor
    forward_door: FrontDoor


class Leaving:
    """Takes an entry out of service without cutting off a request.

    Attributes:
      refusing: whether new requests are refused.
    """

    def __init__(
        self, *, parts: LeavingParts, serve_s: float, finish_s: float
    ) -> None:
        """Prepares a stop.

        Args:
          parts: what it has to do with.
          serve_s: how long callers may still come by look-ups they keep.
          finish_s: how long running requests may take after that.
        """
        self._parts = parts
        self._serve_s = serve_s
        self._finish_s = finish_s
        self.refusing = False

    async def run(self) -> None:
        """Leaves; on return nothing runs here and nothing is held.

        Callers hold the answers of look-ups for a while, so the entry serves
        on for that long after it has dropped out of them; its duties go to
        others meanwhile.
        """
        parts = self._parts
        parts.membership.leaving = True
        parts.caller_door.end_keep_alive()
        parts.forward_door.end_keep_alive()
        parts.heartbeats.announce()
        until_s = time.monotonic() + self._serve_s
        await self._hand_over(until_s)
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
        self.refusing = True
        parts.caller_door.stop_listening()
        await self._finish_running()
        await self._release()

    async def _hand_over(self, until_s: float) -> None:
        """Has the row marked as leaving, so that the duties go to others.

        Tried until it holds: given up after one lost call, this entry would
        stay the home of its upstreams until it is gone, and they would stand
        idle meanwhile.
        """
        membership = self._parts.membership
        keeper = self._parts.table_keeper
        while True:
            await keeper.change(lambda table: keeper.plans.leaving(table=table))
            row = membership.table.row(name=membership.own.name)
            if row is None or row.leaving or time.monotonic() >= until_s:
                return
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def _finish_running(self) -> None:
        until_s = time.monotonic() + self._finish_s
        while self.running() and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
        if self.running():
            log.event(log.Event.STOP_CUT, running=self.running())
        await self._parts.claims.drain(timeout_s=RELEASE_LIMIT_S)

    def running(self) -> int:
        """Returns how many requests are under way."""
        parts = self._parts
        return len(parts.caller_door.running) + len(parts.forward_door.running)

    async def _release(self) -> None:
        """Gives up links and homes, and has the row dropped."""
        parts = self._parts
        until_s = time.monotonic() + RELEASE_LIMIT_S
        parts.shares.release()
        while not parts.homes.idle(now_s=time.monotonic()):
            if time.monotonic() > until_s:
                break
            await asyncio.sleep(POLL_S)
        if not parts.homes.nothing_held(now_s=time.monotonic()):
            return
        # While the platform is out the row stays. The others drop it on the
        # word `finished` once the platform is back; without that word they
        # would hold its upstreams' slots back for the longest deadline.
        parts.forward_door.stop_listening()
        keeper = parts.table_keeper
        await keeper.change(lambda table: keeper.plans.release(table=table))
        parts.heartbeats.announce(finished=True)
