"""Keeps the fleet's picture in step with the platform's store."""

import asyncio
from collections.abc import Sequence
import random

from almondstair import log
from almondstair.clock import now_s
from almondstair.core import zone_roles
from almondstair.core.fleet import Fleet
from almondstair.core.registered import Entry
from almondstair.errors import AlmondstairError
from almondstair.gateway.configuration_history import ConfigurationHistory
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.mirror import MirrorPage
from almondstair.gateway.registrations import Registrations
from almondstair.gateway.sources import Batch
from almondstair.gateway.sources import PeerSource
from almondstair.gateway.sources import Source
from almondstair.gateway.sources import StoreSource
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import documents
from almondstair.platform.kv import Item
from almondstair.platform.kv import KvClient

# How often changes are fetched. Each call to the store costs, and upstreams
# write all the time, so a waiting watch would return for every one of their
# beats; the tightest bound, 2 s from an upstream's leaving, leaves room for one
# lost call.
POLL_S = 0.6
# Pause after a round in which no source answered.
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 0.6
# Entries of each zone that ask the store; the others ask it, and go to the
# store themselves when it does not answer or its word is old.
STORE_READERS = 1
# How long a store that failed is asked last. It turns entries away for seconds,
# and each wait for an answer that does not come takes 1 s.
STORE_REST_S = 2.0
# A peer's word that is older than this is no better than the own picture.
STALE_S = 1.5
# Peers of other zones that are asked when the store turns this entry away.
FAR_PEERS = 2
# Part of the upstreams that must have written to the store during a silence
# for it to have been this entry's own; after the store's return they do so one
# by one.
WRITERS_SHARE = 0.6
# How often the grace of lapsed registrations is looked at.
EXPIRY_S = 0.25


class Follower:
    """Learns from the store or from peers what has changed.

    Attributes:
      heard_at_s: as of when the picture is, on the entry's clock.
      revision: the store's revision that the picture is as of.
      history: the configurations that were in force.
    """

    def __init__(
        self,
        *,
        client: KvClient,
        fleet: Fleet,
        pool: UpstreamPool,
        own_name: str,
        own_zone: str,
        seeds: Sequence[str],
    ) -> None:
        """Makes a follower that writes to `fleet`.

        Args:
          client: the store.
          fleet: the picture to keep.
          pool: connections to upstreams; those of gone ones are closed.
          own_name: name of this entry.
          own_zone: its availability zone.
          seeds: addresses of entries to ask while none is known.
        """
        self._store = StoreSource(client=client)
        self._fleet = fleet
        self._own_name = own_name
        self._own_zone = own_zone
        self._mirror = Mirror()
        self.history = ConfigurationHistory()
        self._seeds: list[PeerSource] = []
        self.take_seeds(seeds)
        self._peers: dict[str, PeerSource] = {}
        self._down = False
        self._store_rest_until_s = 0.0
        self._registrations = Registrations(
            fleet=fleet, pool=pool, mirror=self._mirror
        )
        self.heard_at_s = 0.0
        self.revision = 0

    def take_seeds(self, seeds: Sequence[str]) -> None:
        """Takes the addresses of entries to ask while none is known."""
        for source in self._seeds:
            source.close()
        self._seeds = [PeerSource(address=seed) for seed in seeds]

    def list_anew(self) -> None:
        """The store is another one: its revisions count from elsewhere."""
        self.revision = 0
        self._registrations.count_anew()

    async def run(self) -> None:
        """Follows until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            if await self._round():
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(POLL_S * (0.9 + 0.2 * random.random()))
                continue
            await asyncio.sleep(backoff_s * (0.5 + random.random()))
            backoff_s = min(LONGEST_BACKOFF_S, 2 * backoff_s)

    async def expire(self) -> None:
        """Ends the grace of lapsed registrations until it is cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_S)
            lapsed = self._fleet.expire(now_s=now_s())
            self._registrations.lines.begin(first=False)
            for record in lapsed.upstreams:
                self._registrations.upstream_gone(
                    record, revision=self.revision
                )
            for name in lapsed.entries:
                self._entry_gone(name)
            self._registrations.lines.end(revision=self.revision)

    def mirror_page(self, *, source: str, after: int) -> MirrorPage:
        """Returns what another entry lacks of this one's picture."""
        return self._mirror.page(
            source=source,
            after=after,
            revision=self.revision,
            age_s=now_s() - self.heard_at_s,
        )

    # Where to ask.

    async def _round(self) -> bool:
        """Asks the sources in turn; returns whether one answered."""
        failure: AlmondstairError | None = None
        for source in self._sources():
            try:
                batch = await source.fetch(after=self.revision)
            except AlmondstairError as error:
                failure = failure or error
                if source is self._store:
                    self._store_rest_until_s = now_s() + STORE_REST_S
                continue
            # One that knows nothing yet relies on an old word too.
            fresh = batch.age_s <= STALE_S or not self._fleet.ready
            self._take(batch, fresh=fresh)
            if fresh:
                return True
        self._note_down(failure)
        return False

    def _sources(self) -> list[Source]:
        """Returns where to ask, best first.

        A store that has just failed comes last. What goes wrong without: one
        that leaves a reader without answer is waited for in each round, the
        reader's word grows too old for its zone meanwhile, and the zone has a
        configuration after 4 s.

        What goes wrong without peers: the store turns some entries away for
        seconds while it serves the operator, and those run an old
        configuration and send to upstreams that have left.
        """
        if not self._fleet.entries:
            # Just started: where the store is away, others still know.
            return [self._store, *self._seeds]
        readers = self._readers(self._own_zone)
        own = [entry for entry in readers if entry.name != self._own_name]
        peers: list[Source] = [self._peer(entry) for entry in own]
        if now_s() < self._store_rest_until_s:
            return [*peers, *self._far_peers(), self._store]
        if len(own) < len(readers) or not readers:
            return [self._store, *peers, *self._far_peers()]
        return [*peers, self._store, *self._far_peers()]

    def _readers(self, zone: str) -> list[Entry]:
        candidates = zone_roles.in_turn(self._fleet.entries.values(), zone=zone)
        return candidates[:STORE_READERS]

    def _far_peers(self) -> list[Source]:
        zones = {
            entry.availability_zone for entry in self._fleet.entries.values()
        }
        zones.discard(self._own_zone)
        found: list[Source] = []
        for zone in random.sample(sorted(zones), k=min(FAR_PEERS, len(zones))):
            reader = random.choice(self._readers(zone))
            found.append(self._peer(reader))
        return found

    def _peer(self, entry: Entry) -> PeerSource:
        peer = self._peers.get(entry.name)
        if peer is None or peer.address != entry.peers:
            peer = PeerSource(address=entry.peers)
            self._peers[entry.name] = peer
        return peer

    def _note_down(self, error: AlmondstairError | None) -> None:
        self._fleet.note_trouble(now_s=now_s())
        if self._down:
            return
        self._down = True
        log.event(
            log.Event.STORE_LOST,
            detail=error.detail if error else "every peer's word is old",
            revision=self.revision,
            age_s=round(now_s() - self.heard_at_s, 2),
        )

    def _note_up(self, batch: Batch) -> None:
        """Judges from what was written whether the store was away for all."""
        if not self._down:
            return
        self._down = False
        now = now_s()
        written_to = not batch.from_store or self._written_to(batch.items)
        self._fleet.note_return(written_to=written_to, now_s=now)
        log.event(
            log.Event.STORE_BACK,
            revision=batch.revision,
            silent_s=round(now - self.heard_at_s, 2),
            written_to=written_to,
            from_store=batch.from_store,
        )

    def _written_to(self, items: list[Item]) -> bool:
        writers = set()
        for item in items:
            if item.value is None or item.revision <= self.revision:
                continue
            if item.key.startswith(documents.UPSTREAM_PREFIX):
                writers.add(item.key)
        least = WRITERS_SHARE * self._fleet.upstream_count()
        return len(writers) >= max(1.0, least)

    # What was learned.

    def _take(self, batch: Batch, *, fresh: bool) -> None:
        """Takes what a source gave, which is newer than what is known.

        An old word is taken as well, and the next source asked. What goes
        wrong where it is dropped: the source counts it as told, and tells only
        what changes later, so a configuration or a leaving in it is not heard
        of again.

        Args:
          batch: what it gave.
          fresh: whether it shows how the store is now.
        """
        if fresh:
            self._note_up(batch)
        lines = self._registrations.lines
        lines.begin(first=batch.listing and not self._fleet.upstream_count())
        for item in batch.items:
            self._apply(item)
        if batch.listing:
            keys = {item.key for item in batch.items}
            self._drop_unlisted(keys, batch.revision)
            self._fleet.mark_loaded()
            log.event(
                log.Event.STORE_LISTED,
                revision=batch.revision,
                items=len(batch.items),
                from_store=batch.from_store,
            )
        lines.end(revision=batch.revision)
        self.revision = batch.revision
        self.heard_at_s = max(self.heard_at_s, now_s() - batch.age_s)
        self._fleet.as_of_s = self.heard_at_s

    def _drop_unlisted(self, keys: set[str], revision: int) -> None:
        self._registrations.drop_unlisted_upstreams(keys, revision=revision)
        for zone in list(self._fleet.evacuated):
            key = documents.EVACUATION_PREFIX + zone
            if key not in keys:
                self._take_evacuation(Item(key, None, revision))
        for name in list(self._fleet.entries):
            key = documents.ENTRY_PREFIX + name
            if key not in keys:
                self._take_entry(Item(key, None, revision))

    def _apply(self, item: Item) -> None:
        if item.key == documents.CONFIGURATION_KEY:
            self._take_configuration(item)
        elif item.key.startswith(documents.UPSTREAM_PREFIX):
            self._registrations.take_upstream(item)
        elif item.key.startswith(documents.EVACUATION_PREFIX):
            self._take_evacuation(item)
        elif item.key.startswith(documents.ENTRY_PREFIX):
            self._take_entry(item)

    def _take_configuration(self, item: Item) -> None:
        if item.value is None:
            return
        try:
            configuration = documents.read_configuration(item.value)
        except AlmondstairError as error:
            log.event(log.Event.CONFIGURATION_BAD, detail=error.detail)
            return
        if self._fleet.take_configuration(configuration):
            self.history.note(
                version=configuration.version,
                text=item.value,
                revision=item.revision,
                now_s=now_s(),
            )
            self._mirror.put(item.key, item.value, item.revision)
            log.event(
                log.Event.CONFIGURATION_IN_FORCE,
                version=configuration.version,
                revision=item.revision,
                routes=len(configuration.routes),
            )

    def _take_evacuation(self, item: Item) -> None:
        zone = item.key.removeprefix(documents.EVACUATION_PREFIX)
        if item.value is None:
            changed = self._fleet.take_back(zone, now_s=now_s())
            self._mirror.remove(item.key, item.revision)
        else:
            changed = self._fleet.evacuate(zone, now_s=now_s())
            self._mirror.put(item.key, item.value, item.revision)
        if changed:
            log.event(
                log.Event.EVACUATION_CHANGED,
                availability_zone=zone,
                evacuated=item.value is not None,
                revision=item.revision,
            )

    def _take_entry(self, item: Item) -> None:
        name = item.key.removeprefix(documents.ENTRY_PREFIX)
        if item.value is None:
            if self._fleet.drop_entry(name, now_s=now_s()):
                self._entry_gone(name)
            return
        self._registrations.take_entry(item)

    def _entry_gone(self, name: str) -> None:
        self._mirror.remove(documents.ENTRY_PREFIX + name, self.revision)
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.close()
        self._registrations.lines.write(
            log.Event.ENTRY_CHANGED,
            group="gone",
            entry=name,
            registered=False,
            revision=self.revision,
        )
