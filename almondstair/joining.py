"""How an entry that starts comes to take work, and in which order."""

import asyncio
import contextlib
import time
from typing import NamedTuple

from almondstair import log
from almondstair.configuration_keeper import ConfigurationKeeper
from almondstair.control import Control
from almondstair.core.membership import Membership
from almondstair.document_exchange import DocumentExchange
from almondstair.errors import AlmondstairError
from almondstair.heartbeats import Heartbeats
from almondstair.link_shares import LinkShares
from almondstair.table_keeper import TableKeeper

# Time between two looks at what a start waits for; a peer answers within it.
START_POLL_S = 0.1
# How long peers may take to answer before the platform alone is believed.
START_ASK_S = 2.0
# Longest wait for shares of the links; a frozen entry may hold them back.
READY_LIMIT_S = 5.0


class JoiningParts(NamedTuple):
    """What a start has to do with."""

    membership: Membership
    heartbeats: Heartbeats
    table_keeper: TableKeeper
    configuration_keeper: ConfigurationKeeper
    exchange: DocumentExchange
    shares: LinkShares
    control: Control


class Joining:
    """Takes a new entry into service."""

    def __init__(
        self,
        *,
        parts: JoiningParts,
        peer_addresses: tuple[str, ...],
        seed_text: str,
    ) -> None:
        """Prepares a start.

        Args:
          parts: what it has to do with.
          peer_addresses: peers of the settings.
          seed_text: configuration to begin with where there is none.
        """
        self._parts = parts
        self._peer_addresses = peer_addresses
        self._seed_text = seed_text

    async def run(self) -> None:
        """Joins; on return look-ups name this entry."""
        parts = self._parts
        await self._ask_peers()
        while parts.configuration_keeper.configuration is None:
            # The next round tries again; the adapter's outcome is logged.
            with contextlib.suppress(AlmondstairError):
                await parts.configuration_keeper.seed(self._seed_text)
            parts.exchange.ask_addresses(self._peer_addresses)
            await asyncio.sleep(START_POLL_S)
        await parts.table_keeper.register()
        await self._until_ready()
        parts.membership.joining = False
        parts.control.note_live()
        parts.heartbeats.announce()
        log.event(log.Event.STARTED, entry=parts.membership.own.name)

    async def _until_ready(self) -> None:
        """Waits until a request of a caller would not be refused here.

        A new process has no share of its links for a while. Named in look-ups
        at once, it would refuse callers that other entries would serve. The
        wait is bounded: a frozen entry of the zone holds shares back.
        """
        until_s = time.monotonic() + READY_LIMIT_S
        while not self._parts.shares.ready() and time.monotonic() < until_s:
            await asyncio.sleep(START_POLL_S)

    async def _ask_peers(self) -> None:
        """Asks the peers of the settings before anything is written.

        A platform that was wiped looks like one never used; a peer that runs
        knows better. Without an answer of any peer the wait is bounded.
        """
        exchange = self._parts.exchange
        until_s = time.monotonic() + START_ASK_S
        while self._peer_addresses and time.monotonic() < until_s:
            exchange.ask_addresses(self._peer_addresses)
            await asyncio.sleep(START_POLL_S)
            # A platform that was rolled back has a table as well. Only one
            # that a peer has in force shows whether it is the latest.
            if not exchange.peer_epoch:
                continue
            if self._parts.configuration_keeper.configuration is not None:
                return
            if await self._platform_has_one():
                return

    async def _platform_has_one(self) -> bool:
        try:
            return await self._parts.configuration_keeper.read()
        except AlmondstairError:
            # Logged by the adapter; asked again in the next round.
            return False
