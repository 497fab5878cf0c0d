"""Keeps the fleet's picture in step with the platform's store."""

import asyncio
import random

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Entry
from almondstair.core.fleet import Fleet
from almondstair.errors import AlmondstairError
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import documents
from almondstair.platform.kv import Item
from almondstair.platform.kv import KvClient

# How often changes are fetched. Each call costs, and upstreams write all the
# time, so a waiting watch would return for every one of their beats; the
# tightest bound, 2 s from an upstream's leaving, leaves room for one lost call.
POLL_S = 0.6
# Pause after a failed call, so that a store in trouble is not pressed.
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 0.6
# Part of the upstreams that must have written to the store during a silence
# for it to have been this entry's own; after the store's return they do so one
# by one.
WRITERS_SHARE = 0.6
# How often the grace of lapsed registrations is looked at.
EXPIRY_S = 0.25


class Follower:
    """Lists the store once, then follows its changes.

    Attributes:
      heard_at_s: when the store last answered, on the entry's clock.
      revision: the store's revision that the picture is as of.
    """

    def __init__(
        self, *, client: KvClient, fleet: Fleet, pool: UpstreamPool
    ) -> None:
        """Makes a follower that writes to `fleet`.

        Args:
          client: the store.
          fleet: the picture to keep.
          pool: connections to upstreams; those of gone ones are closed.
        """
        self._client = client
        self._fleet = fleet
        self._pool = pool
        self._down = False
        self.heard_at_s = 0.0
        self.revision = 0

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self._round()
            except AlmondstairError as error:
                self._note_down(error)
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(LONGEST_BACKOFF_S, 2 * backoff_s)
                continue
            backoff_s = FIRST_BACKOFF_S
            self.heard_at_s = now_s()
            await asyncio.sleep(POLL_S * (0.9 + 0.2 * random.random()))

    async def expire(self) -> None:
        """Ends the grace of lapsed registrations until it is cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_S)
            for upstream_id in self._fleet.expire(now_s=now_s()):
                self._upstream_gone(upstream_id)

    def _note_down(self, error: AlmondstairError) -> None:
        self._fleet.note_trouble(now_s=now_s())
        if self._down:
            return
        self._down = True
        log.event(
            log.Event.STORE_LOST,
            detail=error.detail,
            revision=self.revision,
            age_s=round(now_s() - self.heard_at_s, 2),
        )

    def _note_up(self, items: list[Item]) -> None:
        """Judges from what was written whether the store was away for all."""
        if not self._down:
            return
        self._down = False
        now = now_s()
        writers = set()
        for item in items:
            if item.value is None or item.revision <= self.revision:
                continue
            if item.key.startswith(documents.UPSTREAM_PREFIX):
                writers.add(item.key)
        least = WRITERS_SHARE * self._fleet.upstream_count()
        written_to = len(writers) >= max(1.0, least)
        self._fleet.note_return(written_to=written_to, now_s=now)
        log.event(
            log.Event.STORE_BACK,
            revision=self.revision,
            silent_s=round(now - self.heard_at_s, 2),
            written_to=written_to,
        )

    async def _round(self) -> None:
        if self.revision:
            page = await self._client.changes(
                prefix="", after=self.revision, wait_ms=0
            )
            if page is not None:
                self._note_up(page.items)
                self._apply(page.items)
                self.revision = page.revision
                return
        await self._list()

    async def _list(self) -> None:
        """Takes a whole listing, the first time or after dropped history.

        Pages are not a snapshot: what changes meanwhile is in the changes
        since the first page.
        """
        items: list[Item] = []
        after = ""
        revision = 0
        while True:
            page = await self._client.list_page(prefix="", after=after)
            revision = revision or page.revision
            items.extend(page.items)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        self._note_up(items)
        self._apply(items)
        self._drop_unlisted(items)
        self.revision = revision
        self._fleet.mark_loaded()
        log.event(log.Event.STORE_LISTED, revision=revision, items=len(items))

    def _drop_unlisted(self, items: list[Item]) -> None:
        now = now_s()
        keys = {item.key for item in items}
        upstreams = set()
        for key in keys:
            if key.startswith(documents.UPSTREAM_PREFIX):
                upstreams.add(key.removeprefix(documents.UPSTREAM_PREFIX))
        for upstream_id in self._fleet.forget_unlisted(upstreams, now_s=now):
            self._upstream_gone(upstream_id)
        for zone in list(self._fleet.evacuated):
            if documents.EVACUATION_PREFIX + zone not in keys:
                self._fleet.take_back(zone, now_s=now)
        for name in list(self._fleet.entries):
            if documents.ENTRY_PREFIX + name not in keys:
                self._fleet.drop_entry(name, now_s=now)

    def _apply(self, items: list[Item]) -> None:
        for item in items:
            if item.key == documents.CONFIGURATION_KEY:
                self._take_configuration(item)
            elif item.key.startswith(documents.UPSTREAM_PREFIX):
                self._take_upstream(item)
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
            log.event(
                log.Event.CONFIGURATION_IN_FORCE,
                version=configuration.version,
                revision=item.revision,
                routes=len(configuration.routes),
            )

    def _take_upstream(self, item: Item) -> None:
        now = now_s()
        upstream_id = item.key.removeprefix(documents.UPSTREAM_PREFIX)
        if item.value is None:
            if self._fleet.drop_upstream(upstream_id, now_s=now):
                self._upstream_gone(upstream_id)
            return
        record = documents.read_upstream(item.key, item.value)
        if record is None:
            log.event(log.Event.REGISTRATION_BAD, key=item.key)
            return
        if self._fleet.take_upstream(record, now_s=now):
            log.event(
                log.Event.UPSTREAM_CHANGED,
                upstream=upstream_id,
                service=record.service,
                availability_zone=record.availability_zone,
                draining=record.draining,
                cold_left_s=record.cold_left_s,
                revision=item.revision,
            )

    def _upstream_gone(self, upstream_id: str) -> None:
        self._pool.forget(upstream_id=upstream_id)
        log.event(log.Event.UPSTREAM_GONE, upstream=upstream_id)

    def _take_evacuation(self, item: Item) -> None:
        zone = item.key.removeprefix(documents.EVACUATION_PREFIX)
        if item.value is None:
            changed = self._fleet.take_back(zone, now_s=now_s())
        else:
            changed = self._fleet.evacuate(zone)
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
            changed = self._fleet.drop_entry(name, now_s=now_s())
        else:
            record = documents.read_entry(item.value)
            if record is None:
                log.event(log.Event.REGISTRATION_BAD, key=item.key)
                return
            changed = self._fleet.take_entry(
                Entry(
                    name=name,
                    callers=record.callers,
                    peers=record.peers,
                    region=record.region,
                    availability_zone=record.availability_zone,
                )
            )
        if changed:
            log.event(
                log.Event.ENTRY_CHANGED,
                entry=name,
                registered=item.value is not None,
                revision=item.revision,
            )
