"""Registers this entry in the platform's store while it lives."""

import asyncio
import random

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.errors import AlmondstairError
from almondstair.platform import documents
from almondstair.platform.kv import KvClient

# Life of the registration without renewal: a killed entry is out of look-ups
# within this time and a poll, 4 s in all, under the 6 s that the operators
# allow; longer than the pauses that a busy store makes.
LEASE_S = 3.0
# Two renewals a lease. They are most of an entry's calls to the store; at
# 1.0 s there were 1.4 times as many.
RENEWAL_S = 1.4
RENEWAL_JITTER = 0.1
# Pauses after renewals that failed, one after the other. What goes wrong
# without: an answer that is lost takes 1 s to be given up, the next renewal
# comes after the lease's end, and a live entry is out of look-ups.
RETRIES_S = (0.1, 0.3, 0.9)


class Registration:
    """Keeps this entry's key under a lease of its own."""

    def __init__(
        self,
        *,
        client: KvClient,
        fleet: Fleet,
        name: str,
        record: documents.EntryRecord,
        shortest_lease_s: float,
    ) -> None:
        """Makes the registration of an entry.

        Args:
          client: the store.
          fleet: is told until when this entry is surely registered.
          name: name of this entry's VM.
          record: what is registered.
          shortest_lease_s: shortest life of a lease that the store grants.
        """
        self._client = client
        self._fleet = fleet
        self._key = documents.ENTRY_PREFIX + name
        self._value = documents.write_entry(record)
        self._ttl_s = max(LEASE_S, shortest_lease_s)
        self._lease = 0

    async def run(self) -> None:
        """Registers and renews until it is cancelled."""
        failed = 0
        while True:
            try:
                await self._renew()
                failed = 0
            except AlmondstairError as error:
                failed += 1
                log.event(log.Event.REGISTRATION_LATE, detail=error.detail)
            await asyncio.sleep(_pause_s(failed))

    async def _renew(self) -> None:
        began_s = now_s()
        anew = not self._lease or not await self._client.keep_lease(self._lease)
        if anew:
            self._lease = 0
            began_s = now_s()
            lease = await self._client.grant_lease(ttl_s=self._ttl_s)
            if not await self._client.put(
                key=self._key, value=self._value, lease=lease
            ):
                return
            self._lease = lease
        # The lease runs from the call's arrival, which was not before this.
        self._fleet.note_registered(
            until_s=began_s + self._ttl_s, anew=anew, now_s=now_s()
        )

    async def end(self) -> None:
        """Takes the registration away at a planned stop."""
        if not self._lease:
            return
        try:
            await self._client.end_lease(self._lease)
        except AlmondstairError as error:
            # The lease ends by itself; callers meet a closing entry until then.
            log.event(log.Event.REGISTRATION_LATE, detail=error.detail)


def _pause_s(failed: int) -> float:
    """Returns the time to the next renewal after failures in a row."""
    pause_s = RENEWAL_S
    if 0 < failed <= len(RETRIES_S):
        pause_s = RETRIES_S[failed - 1]
    return pause_s * random.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
