"""Startup of an entry, until it accepts requests."""

import asyncio
import contextlib
import time
from typing import NamedTuple

from almondstair import log
from almondstair.configuration_manager import ConfigurationManager
from almondstair.control import Control
from almondstair.core.membership import Membership
from almondstair.document_exchange import DocumentExchange
from almondstair.entry_table_manager import EntryTableManager
from almondstair.errors import AlmondstairError
from almondstair.heartbeats import Heartbeats
from almondstair.link_shares import LinkShares

# Poll interval during startup; a peer normally responds within it.
START_POLL_S = 0.1
# How long to wait for peers before relying on the platform alone.
PEER_RESPONSE_LIMIT_S = 2.0
# Maximum wait for link shares; a frozen entry may not release its shares.
LINK_SHARES_LIMIT_S = 5.0


class StartupComponents(NamedTuple):
    """Components that the startup uses."""

    membership: Membership
    heartbeats: Heartbeats
    table_manager: EntryTableManager
    configuration_manager: ConfigurationManager
    exchange: DocumentExchange
    shares: LinkShares
    control: Control


class StartupSequence:
    """Brings a new entry into service."""

    def __init__(
        self,
        *,
        components: StartupComponents,
        peer_addresses: tuple[str, ...],
        seed_text: str,
    ) -> None:
        """Initializes; `run` does the startup.

        Args:
          components: components to start.
          peer_addresses: peer addresses from the settings.
          seed_text: configuration to write if the platform has none.
        """
        self._components = components
        self._peer_addresses = peer_addresses
        self._seed_text = seed_text

    async def run(self) -> None:
        """Brings this entry into service; on return, lookups include it."""
        components = self._components
        await self._request_from_peers()
        while components.configuration_manager.configuration is None:
            # Retried in the next iteration; the adapter logs the failure.
            with contextlib.suppress(AlmondstairError):
                await components.configuration_manager.seed(self._seed_text)
            components.exchange.request_from_addresses(self._peer_addresses)
            await asyncio.sleep(START_POLL_S)
        await components.table_manager.register()
        await self._wait_for_link_shares()
        components.membership.joining = False
        components.control.refresh_lost_regions()
        components.heartbeats.send_now()
        log.event(log.Event.STARTED, entry=components.membership.own.name)

    async def _wait_for_link_shares(self) -> None:
        """Waits until this entry has shares of its links.

        A new process has no share at first. If lookups included it
        immediately, it would refuse callers that other entries could serve.
        The wait is bounded, since a frozen entry in the zone does not release
        its shares.
        """
        deadline_s = time.monotonic() + LINK_SHARES_LIMIT_S
        while (
            not self._components.shares.is_ready()
            and time.monotonic() < deadline_s
        ):
            await asyncio.sleep(START_POLL_S)

    async def _request_from_peers(self) -> None:
        """Requests the state of the configured peers before writing anything.

        A wiped platform looks like an unused one; a running peer still has the
        state. The wait is bounded for the case that no peer responds.
        """
        exchange = self._components.exchange
        deadline_s = time.monotonic() + PEER_RESPONSE_LIMIT_S
        while self._peer_addresses and time.monotonic() < deadline_s:
            exchange.request_from_addresses(self._peer_addresses)
            await asyncio.sleep(START_POLL_S)
            # A platform that was rolled back also has a table. Only the
            # table in force on a peer shows whether it is the latest.
            if not exchange.highest_peer_epoch:
                continue
            if self._components.configuration_manager.configuration is not None:
                return
            if await self._read_platform():
                return

    async def _read_platform(self) -> bool:
        try:
            return await self._components.configuration_manager.read()
        except AlmondstairError:
            # Logged by the adapter and retried in the next iteration.
            return False
