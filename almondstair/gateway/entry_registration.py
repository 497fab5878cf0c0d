"""Registration of this entry in the platform's store."""

import asyncio
import random

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.platform import documents
from almondstair.platform.kv import KvClient

# TTL of the registration. A killed entry is out of lookups after the TTL and
# a poll, 4 s in all, within the 6 s that the operators allow. The TTL is longer
# than the pauses of a busy store.
LEASE_S = 3.0
# Two renewals in a TTL. Renewals are most of an entry's calls to the store; an
# interval of 1.0 s makes 1.4 times as many.
RENEWAL_INTERVAL_S = 1.4
RENEWAL_JITTER = 0.1
# Pauses after consecutive failed renewals. A lost response takes 1 s to time
# out; after the full interval, the next renewal would come after the lease has
# expired, and a live entry would be missing from lookups.
RETRY_PAUSES_S = (0.1, 0.3, 0.9)


class EntryRegistration:
    """Keeps this entry's key in the store under a lease."""

    def __init__(
        self,
        *,
        client: KvClient,
        fleet: Fleet,
        name: str,
        record: documents.EntryRecord,
        shortest_lease_s: float,
    ) -> None:
        """Creates the registration of an entry.

        Args:
          client: client of the store.
          fleet: gets the time until which this entry is certainly registered.
          name: name of this entry's VM.
          record: the registered value.
          shortest_lease_s: shortest lease that the store grants, in seconds.
        """
        self._client = client
        self._fleet = fleet
        self._key = documents.ENTRY_PREFIX + name
        self._value = documents.encode_entry(record)
        self._ttl_s = max(LEASE_S, shortest_lease_s)
        self._lease = 0
        self._lease_epoch = 0

    async def run(self) -> None:
        """Registers and renews until it is cancelled."""
        failed = 0
        while True:
            try:
                await self._register_or_renew()
                failed = 0
            except AlmondstairError as error:
                failed += 1
                log.event(log.Event.REGISTRATION_LATE, detail=error.detail)
            await asyncio.sleep(_pause_s(failed))

    async def _register_or_renew(self) -> None:
        began_s = now_s()
        created = not await self._renew()
        if created:
            self._lease = 0
            began_s = now_s()
            await self._register()
        # The store starts the lease after `began_s`, when the call arrives.
        self._fleet.record_registered(
            valid_until_s=began_s + self._ttl_s, created=created, now_s=now_s()
        )

    async def _renew(self) -> bool:
        """Renews the lease; returns whether this entry is still registered.

        A store that was restored from a copy may lack the registration although
        it has a lease of this number, which may be another entry's now.
        """
        if not self._lease:
            return False
        if not await self._client.renew_lease(self._lease):
            return False
        return self._client.epoch == self._lease_epoch

    async def _register(self) -> None:
        """Writes the registration under a new lease.

        Raises:
          AlmondstairError: `platform_unavailable`.
        """
        lease = await self._client.grant_lease(ttl_s=self._ttl_s)
        epoch = self._client.epoch
        written = await self._client.put(
            key=self._key, value=self._value, lease=lease
        )
        if not written or self._client.epoch != epoch:
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail="the lease ended before the registration was written",
            )
        self._lease = lease
        self._lease_epoch = epoch

    async def withdraw(self) -> None:
        """Ends the lease at a planned stop, which removes the registration.

        A lease of an earlier epoch is left alone: its number may be that of
        another entry's lease.
        """
        if not self._lease or self._client.epoch != self._lease_epoch:
            return
        try:
            await self._client.revoke_lease(self._lease)
        except AlmondstairError as error:
            # The lease expires; until then, callers find a closing entry.
            log.event(log.Event.REGISTRATION_LATE, detail=error.detail)


def _pause_s(failed: int) -> float:
    """Returns the pause before the next renewal, with jitter.

    Args:
      failed: number of consecutive failures.
    """
    pause_s = RENEWAL_INTERVAL_S
    if 0 < failed <= len(RETRY_PAUSES_S):
        pause_s = RETRY_PAUSES_S[failed - 1]
    return pause_s * random.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
