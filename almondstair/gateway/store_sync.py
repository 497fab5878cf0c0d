"""Keeps the view of the fleet up to date with the platform's store."""

import asyncio
from collections.abc import Sequence
import random

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import zone_roles
from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.revisions import Revision
from almondstair.core.revisions import revision_fields
from almondstair.errors import AlmondstairError
from almondstair.gateway.configuration_history import ConfigurationHistory
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.mirror import MirrorPage
from almondstair.gateway.registrations import Registrations
from almondstair.gateway.skipped_keys import SkipCause
from almondstair.gateway.skipped_keys import SkippedKeys
from almondstair.gateway.sources import Batch
from almondstair.gateway.sources import PeerSource
from almondstair.gateway.sources import Source
from almondstair.gateway.sources import StoreSource
from almondstair.platform import documents
from almondstair.platform.kv import Item
from almondstair.platform.kv import KvClient

# How often changes are fetched. Calls to the store are expensive, and a
# blocking watch would return at each heartbeat of an upstream. The tightest
# bound, 2 s from an upstream's leaving, allows for one lost call.
POLL_INTERVAL_S = 0.6
# First and longest pause after polls in which no source gave fresh data; the
# pause doubles with each such poll.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.6
# Longest delay after which an entry lists a store whose new epoch a call has
# shown; it spreads the listings of all zones.
EPOCH_LISTING_DELAY_S = 0.1
# Entries of each zone that poll the store. The others poll these entries, and
# the store itself when they do not respond or their data is old.
STORE_READERS = 1
# How long a store that failed is polled after all other sources. It rejects
# entries for seconds at a time, and each call without a response takes 1 s.
STORE_COOLDOWN_S = 2.0
# A peer's data that is older than this is no better than the entry's own.
MAX_PEER_AGE_S = 1.5
# Peers of other zones that are polled when the store rejects this entry.
REMOTE_PEERS = 2
# Entries that are asked in one poll for the configuration in force while the
# store's is invalid.
MAX_CONFIGURATION_PEERS = 3
# If at least this share of the upstreams wrote to the store during an outage,
# the outage concerned only this entry. After an outage of the store itself, the
# upstreams resume writing one by one.
MIN_WRITERS_SHARE = 0.6
# How often the grace periods of lapsed registrations are checked.
EXPIRY_INTERVAL_S = 0.25


class StoreSync:
    """Polls the store or peers for changes and applies them.

    Attributes:
      as_of_s: time that the view of the fleet reflects, on the entry's clock.
      revision: the store's revision that the view reflects.
      history: the configurations that were in force.
      skipped: keys whose last value is not applied.
    """

    def __init__(
        self,
        *,
        client: KvClient,
        fleet: Fleet,
        pool: ConnectionPool,
        own_name: str,
        own_zone: str,
        seeds: Sequence[str],
    ) -> None:
        """Creates the synchronisation of one entry.

        Args:
          client: client of the store.
          fleet: the view to update.
          pool: connections to upstreams; those of gone ones are closed.
          own_name: name of this entry.
          own_zone: its availability zone.
          seeds: addresses of entries to poll while none is known.
        """
        self._client = client
        self._store = StoreSource(client=client)
        self._fleet = fleet
        self._own_name = own_name
        self._own_zone = own_zone
        self._mirror = Mirror()
        self.history = ConfigurationHistory()
        self._seeds: list[PeerSource] = []
        self.set_seeds(seeds)
        self._peers: dict[str, PeerSource] = {}
        self._store_lost = False
        self._store_cooldown_until_s = 0.0
        self.skipped = SkippedKeys()
        self._registrations = Registrations(
            fleet=fleet, pool=pool, mirror=self._mirror, skipped=self.skipped
        )
        self.as_of_s = 0.0
        self.revision = Revision()
        self._epoch_changed = asyncio.Event()
        client.on_epoch_change = self._epoch_changed.set

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Sets the addresses of entries to poll while none is known."""
        for source in self._seeds:
            source.close()
        self._seeds = [PeerSource(address=seed) for seed in seeds]

    def reset_revision(self) -> None:
        """Forgets the revisions of a store that was replaced by another."""
        self.revision = Revision()
        self._registrations.reset_revisions()

    async def run(self) -> None:
        """Polls until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if await self._poll():
                backoff_s = FIRST_BACKOFF_S
                await self._pause(
                    POLL_INTERVAL_S * (0.9 + 0.2 * random.random())
                )
                continue
            await asyncio.sleep(backoff_s * (0.5 + random.random()))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _pause(self, pause_s: float) -> None:
        """Waits for the next poll, less if the store states a new epoch.

        An entry that reads the store through a peer keeps its pace, so that not
        all entries list a store that has just come back.
        """
        try:
            async with asyncio.timeout(pause_s):
                while not self._must_list_again():
                    await self._epoch_changed.wait()
                    self._epoch_changed.clear()
                await asyncio.sleep(random.random() * EPOCH_LISTING_DELAY_S)
        except TimeoutError:
            return

    def _must_list_again(self) -> bool:
        """Returns whether a call other than a poll has shown a new epoch."""
        if self._client.epoch == self.revision.epoch:
            return False
        return self._sources()[0] is self._store

    async def expire(self) -> None:
        """Removes registrations after their grace period until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            lapsed = self._fleet.expire(now_s=now_s())
            self._registrations.change_log.begin(first=False)
            for record in lapsed.upstreams:
                self._registrations.clean_up_upstream(
                    record, revision=self.revision
                )
            for name in lapsed.entries:
                self._forget_entry(name)
            for zone in lapsed.evacuations:
                key = documents.EVACUATION_PREFIX + zone
                self._apply_evacuation(Item(key, None, self.revision))
            self._registrations.change_log.end(revision=self.revision)

    def mirror_page(self, *, source: str, after: int) -> MirrorPage:
        """Returns the store changes that another entry lacks."""
        return self._mirror.page(
            source=source,
            after=after,
            revision=self.revision,
            age_s=now_s() - self.as_of_s,
        )

    # Polling.

    async def _poll(self) -> bool:
        """Polls the sources in turn; returns whether one gave fresh data."""
        failure: AlmondstairError | None = None
        for source in self._sources():
            try:
                batch = await source.fetch(after=self.revision)
            except AlmondstairError as error:
                failure = failure or error
                if source is self._store:
                    self._store_cooldown_until_s = now_s() + STORE_COOLDOWN_S
                continue
            # An entry without any data accepts old data too.
            fresh = batch.age_s <= MAX_PEER_AGE_S or not self._fleet.ready
            self._apply_batch(batch, fresh=fresh)
            if fresh:
                await self._adopt_configuration()
                return True
        self._record_loss(failure)
        return False

    async def _adopt_configuration(self) -> None:
        """Takes the configuration of a peer while the store's is invalid.

        The others keep the last valid one, which an entry that starts does not
        know. Otherwise each restart would take an entry out of service until
        the operator has corrected the configuration.
        """
        key = documents.CONFIGURATION_KEY
        if self._fleet.table is not None or key not in self.skipped.causes:
            return
        for address in self._configuration_peers():
            # A source of its own, as only one key of its listing is used.
            source = PeerSource(address=address)
            try:
                batch = await source.fetch(after=Revision())
            except AlmondstairError as error:
                log.event(log.Event.ROUND_FAILED, detail=error.detail)
                continue
            finally:
                source.close()
            for item in batch.items:
                if item.key == key:
                    self._apply_item(item, from_copy=False)
            # The store's value is still skipped.
            self.skipped.record(key, SkipCause.UNREADABLE, now_s=now_s())
            if self._fleet.table is not None:
                return

    def _configuration_peers(self) -> list[str]:
        """Returns addresses of entries that may have a configuration."""
        addresses = [source.address for source in self._seeds]
        for entry in self._fleet.entries.values():
            if entry.name != self._own_name:
                addresses.append(entry.peers)
        count = min(MAX_CONFIGURATION_PEERS, len(addresses))
        return random.sample(addresses, k=count)

    def _sources(self) -> list[Source]:
        """Returns the sources to poll, best first.

        A store that has just failed comes last. Otherwise each poll of a reader
        would wait for an unresponsive store, the reader's data would become too
        old for its zone, and a configuration would take 4 s to reach the zone.

        Peers are needed because the store rejects some entries for seconds
        while it serves the operator; those would use an old configuration and
        send to upstreams that have left.
        """
        if not self._fleet.entries:
            # Just started: seeds have the data even if the store is down.
            return [self._store, *self._seeds]
        readers = self._readers(self._own_zone)
        zone_readers = [
            entry for entry in readers if entry.name != self._own_name
        ]
        peers: list[Source] = [self._peer(entry) for entry in zone_readers]
        if now_s() < self._store_cooldown_until_s:
            return [*peers, *self._remote_peers(), self._store]
        if len(zone_readers) < len(readers) or not readers:
            return [self._store, *peers, *self._remote_peers()]
        return [*peers, self._store, *self._remote_peers()]

    def _readers(self, zone: str) -> list[Entry]:
        candidates = zone_roles.ranked_entries(
            self._fleet.entries.values(), zone=zone
        )
        return candidates[:STORE_READERS]

    def _remote_peers(self) -> list[Source]:
        zones = {
            entry.availability_zone for entry in self._fleet.entries.values()
        }
        zones.discard(self._own_zone)
        peers: list[Source] = []
        for zone in random.sample(
            sorted(zones), k=min(REMOTE_PEERS, len(zones))
        ):
            reader = random.choice(self._readers(zone))
            peers.append(self._peer(reader))
        return peers

    def _peer(self, entry: Entry) -> PeerSource:
        peer = self._peers.get(entry.name)
        if peer is None or peer.address != entry.peers:
            peer = PeerSource(address=entry.peers)
            self._peers[entry.name] = peer
        return peer

    def _record_loss(self, error: AlmondstairError | None) -> None:
        self._fleet.record_store_failure(now_s=now_s())
        if self._store_lost:
            return
        self._store_lost = True
        log.event(
            log.Event.STORE_LOST,
            detail=error.detail if error else "the data of every peer is old",
            **revision_fields(self.revision),
            age_s=round(now_s() - self.as_of_s, 2),
        )

    def _record_recovery(self, batch: Batch, *, restored: bool) -> None:
        """Ends an outage, and decides whether upstreams could use the store.

        Args:
          batch: the first fresh data after the outage.
          restored: whether the store came back from a copy.
        """
        if not self._store_lost:
            return
        self._store_lost = False
        now = now_s()
        upstreams_wrote = not restored and (
            not batch.from_store or self._upstreams_wrote(batch.items)
        )
        self._fleet.record_store_recovery(
            upstreams_wrote=upstreams_wrote, now_s=now
        )
        log.event(
            log.Event.STORE_BACK,
            **revision_fields(batch.revision),
            silent_s=round(now - self.as_of_s, 2),
            written_to=upstreams_wrote,
            from_store=batch.from_store,
        )

    def _upstreams_wrote(self, items: list[Item]) -> bool:
        writers = set()
        for item in items:
            if item.value is None or item.revision <= self.revision:
                continue
            if item.key.startswith(documents.UPSTREAM_PREFIX):
                writers.add(item.key)
        min_writers = MIN_WRITERS_SHARE * self._fleet.upstream_count()
        return len(writers) >= max(1.0, min_writers)

    # Applying changes.

    def _apply_batch(self, batch: Batch, *, fresh: bool) -> None:
        """Applies a batch, which is newer than the current view.

        Old data is applied as well before the next source is polled. The source
        regards it as delivered and sends only later changes, so a configuration
        or the draining or removal of an upstream in a discarded batch would be
        missed for good.

        Args:
          batch: the data of a source.
          fresh: whether it reflects the current state of the store.
        """
        restored = self._is_restored(batch)
        if fresh:
            self._record_recovery(batch, restored=restored)
        if restored:
            self._begin_epoch(batch)
        change_log = self._registrations.change_log
        change_log.begin(
            first=batch.listing and not self._fleet.upstream_count()
        )
        for item in batch.items:
            self._apply_item(item, from_copy=restored)
        self._skip_unreadable(batch)
        if batch.listing:
            self._drop_unlisted(batch, restored=restored)
            self._fleet.mark_loaded()
            log.event(
                log.Event.STORE_LISTED,
                **revision_fields(batch.revision),
                items=len(batch.items),
                from_store=batch.from_store,
            )
        if restored:
            self._log_epoch(batch)
        change_log.end(revision=batch.revision)
        self.revision = batch.revision
        self.as_of_s = max(self.as_of_s, now_s() - batch.age_s)
        self._fleet.as_of_s = self.as_of_s

    def _is_restored(self, batch: Batch) -> bool:
        """Returns whether a listing is the first one of a restored store.

        A store that states no epoch shows it by a revision that went back.
        """
        if not batch.listing or not self.revision.number:
            return False
        if batch.revision.epoch != self.revision.epoch:
            return True
        return batch.from_store and batch.revision < self.revision

    def _begin_epoch(self, batch: Batch) -> None:
        self._fleet.begin_epoch()
        if batch.revision < self.revision:
            self._registrations.reset_revisions()

    def _log_epoch(self, batch: Batch) -> None:
        log.event(
            log.Event.STORE_EPOCH_CHANGED,
            **revision_fields(batch.revision),
            epoch_before=self.revision.epoch,
            revision_before=self.revision.number,
            items=len(batch.items),
            missing=self._fleet.lapsed_count(),
            from_store=batch.from_store,
        )

    def _drop_unlisted(self, batch: Batch, *, restored: bool) -> None:
        """Drops what a full listing lacks.

        Args:
          batch: the listing.
          restored: whether it is the first one of a restored store.
        """
        keys = {item.key for item in batch.items if item.value is not None}
        self.skipped.retain(keys.union(batch.unreadable))
        if restored:
            with self._fleet.lapsing(now_s=now_s()):
                self._drop_registrations(keys, batch.revision)
        else:
            self._drop_registrations(keys, batch.revision)
        for zone in list(self._fleet.evacuated):
            key = documents.EVACUATION_PREFIX + zone
            if key in keys or self._fleet.has_lapsed_evacuation(zone):
                continue
            if restored:
                self._fleet.lapse_evacuation(zone, now_s=now_s())
                continue
            self._apply_evacuation(Item(key, None, batch.revision))

    def _drop_registrations(self, keys: set[str], revision: Revision) -> None:
        self._registrations.drop_unlisted_upstreams(keys, revision=revision)
        for name in list(self._fleet.entries):
            key = documents.ENTRY_PREFIX + name
            if key in keys or self._fleet.has_lapsed_entry(name):
                continue
            self._apply_entry(Item(key, None, revision))

    def _skip_unreadable(self, batch: Batch) -> None:
        """Records items of the store whose key is not known either."""
        for shown in batch.unreadable:
            self.skipped.record_unreadable(
                shown, revision=batch.revision, now_s=now_s()
            )

    def _apply_item(self, item: Item, *, from_copy: bool) -> None:
        """Applies one change; an error skips its key alone.

        Otherwise one key that raises would keep all later changes of the store
        from being applied, as each poll begins at the revision before it.
        """
        self.skipped.forget(item.key)
        try:
            self._apply_change(item, from_copy=from_copy)
        except Exception as error:
            self.skipped.record_failed(
                item.key, error=error, revision=item.revision, now_s=now_s()
            )

    def _apply_change(self, item: Item, *, from_copy: bool) -> None:
        if item.key == documents.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(documents.UPSTREAM_PREFIX):
            self._registrations.apply_upstream(item, from_copy=from_copy)
        elif item.key.startswith(documents.EVACUATION_PREFIX):
            self._apply_evacuation(item)
        elif item.key.startswith(documents.ENTRY_PREFIX):
            self._apply_entry(item)

    def _apply_configuration(self, item: Item) -> None:
        """Applies a configuration, or nothing of it if a part is invalid."""
        if item.value is None:
            return
        try:
            configuration = documents.decode_configuration(item.value)
            text = documents.without_keys(item.value)
        except AlmondstairError as error:
            self.skipped.record(item.key, SkipCause.UNREADABLE, now_s=now_s())
            log.event(
                log.Event.CONFIGURATION_BAD,
                detail=error.detail,
                **revision_fields(item.revision),
            )
            return
        if self._fleet.apply_configuration(configuration):
            self.history.add(
                version=configuration.version,
                text=text,
                revision=item.revision,
                now_s=now_s(),
            )
            self._mirror.put(item.key, item.value, item.revision)
            log.event(
                log.Event.CONFIGURATION_IN_FORCE,
                version=configuration.version,
                **revision_fields(item.revision),
                routes=len(configuration.routes),
            )

    def _apply_evacuation(self, item: Item) -> None:
        zone = item.key.removeprefix(documents.EVACUATION_PREFIX)
        if item.value is None:
            changed = self._fleet.end_evacuation(zone, now_s=now_s())
            self._mirror.remove(item.key, item.revision)
        else:
            changed = self._fleet.start_evacuation(zone, now_s=now_s())
            self._mirror.put(item.key, item.value, item.revision)
        if changed:
            log.event(
                log.Event.EVACUATION_CHANGED,
                availability_zone=zone,
                evacuated=item.value is not None,
                **revision_fields(item.revision),
            )

    def _apply_entry(self, item: Item) -> None:
        name = item.key.removeprefix(documents.ENTRY_PREFIX)
        if item.value is None:
            if self._fleet.drop_entry(name, now_s=now_s()):
                self._forget_entry(name)
            return
        self._registrations.apply_entry(item)

    def _forget_entry(self, name: str) -> None:
        self._mirror.remove(documents.ENTRY_PREFIX + name, self.revision)
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.close()
        self._registrations.change_log.write(
            log.Event.ENTRY_CHANGED,
            group="gone",
            entry=name,
            registered=False,
            **revision_fields(self.revision),
        )
