"""Registrations of upstreams and entries, applied to the view of the fleet."""

from collections.abc import Collection

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.revisions import Revision
from almondstair.core.revisions import revision_fields
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.change_log import ChangeLog
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.skipped_keys import SkippedKeys
from almondstair.platform import documents
from almondstair.platform.kv import Item


class Registrations:
    """Applies registrations of upstreams and entries.

    An unreadable registration changes nothing: an earlier valid one stays in
    force until its key is removed.

    Attributes:
      change_log: logs the changes.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        pool: ConnectionPool,
        mirror: Mirror,
        skipped: SkippedKeys,
    ) -> None:
        """Creates the registrations that one entry knows.

        Args:
          fleet: the view to update.
          pool: connections to upstreams; those of gone ones are closed.
          mirror: gets the changes that other entries need.
          skipped: gets the keys with unreadable registrations.
        """
        self._fleet = fleet
        self._pool = pool
        self._mirror = mirror
        self.change_log = ChangeLog()
        # Revision of the last applied registration, by the upstream's id.
        self._revisions: dict[str, Revision] = {}
        self._skipped = skipped

    def reset_revisions(self) -> None:
        """Forgets the revisions of a store that was replaced by another."""
        self._revisions.clear()

    def apply_upstream(self, item: Item, *, from_copy: bool = False) -> None:
        """Applies a registration of an upstream, or its removal.

        Args:
          item: the registration.
          from_copy: whether it is of the first listing of a restored store.
        """
        upstream_id = item.key.removeprefix(documents.UPSTREAM_PREFIX)
        if item.value is None:
            self._remove_upstream(upstream_id, item.revision)
            return
        record = documents.decode_upstream(item.key, item.value)
        if record is None:
            self._skip_unreadable(item)
            return
        if item.revision <= self._revisions.get(upstream_id, Revision()):
            # A peer's first response has each upstream's last change, without
            # later renewals. Applied as current, a registration from an
            # upstream's start would make it cold again for the time reported
            # then, and its service would reject requests despite free slots.
            record = record._replace(cold_left_s=0.0)
        result = self._fleet.apply_upstream(
            record, now_s=now_s(), from_copy=from_copy
        )
        if result.replaced_incarnation:
            self._pool.close_upstream(incarnation=result.replaced_incarnation)
            self.change_log.write(
                log.Event.UPSTREAM_GONE,
                group=record.service,
                upstream=result.replaced_incarnation,
            )
        if result.is_current:
            known = self._revisions.get(upstream_id, Revision())
            self._revisions[upstream_id] = max(known, item.revision)
        if not result.changed:
            return
        self._mirror.put(item.key, item.value, item.revision)
        self.change_log.write(
            log.Event.UPSTREAM_CHANGED,
            group=f"{record.service} {record.availability_zone}",
            upstream=record.incarnation,
            service=record.service,
            availability_zone=record.availability_zone,
            draining=record.draining,
            cold_left_s=record.cold_left_s,
            **revision_fields(item.revision),
        )

    def _remove_upstream(self, upstream_id: str, revision: Revision) -> None:
        if revision < self._revisions.get(upstream_id, Revision()):
            # The removal concerns an earlier incarnation: a peer's data is
            # older than what the store has sent since.
            return
        record = self._fleet.drop_upstream(upstream_id, now_s=now_s())
        if record is not None:
            self.clean_up_upstream(record, revision=revision)

    def clean_up_upstream(
        self, record: UpstreamRecord, *, revision: Revision
    ) -> None:
        """Cleans up after an upstream that is no longer registered.

        Args:
          record: its last registration.
          revision: the store's revision at which it is gone.
        """
        self._revisions.pop(record.upstream_id, None)
        self._pool.close_upstream(incarnation=record.incarnation)
        key = documents.UPSTREAM_PREFIX + record.upstream_id
        self._mirror.remove(key, revision)
        self.change_log.write(
            log.Event.UPSTREAM_GONE,
            group=record.service,
            upstream=record.incarnation,
        )

    def drop_unlisted_upstreams(
        self, keys: Collection[str], *, revision: Revision
    ) -> None:
        """Drops the upstreams that are missing from a full listing.

        Args:
          keys: all keys of the listing.
          revision: the store's revision of the listing.
        """
        listed = set()
        for key in keys:
            if key.startswith(documents.UPSTREAM_PREFIX):
                listed.add(key.removeprefix(documents.UPSTREAM_PREFIX))
        for record in self._fleet.drop_unlisted(listed, now_s=now_s()):
            self.clean_up_upstream(record, revision=revision)

    def apply_entry(self, item: Item) -> None:
        """Applies a registration of an entry."""
        if item.value is None:
            return
        name = item.key.removeprefix(documents.ENTRY_PREFIX)
        record = documents.decode_entry(item.value)
        if record is None or not name:
            self._skip_unreadable(item)
            return
        entry = Entry(
            name=name,
            callers=record.callers,
            peers=record.peers,
            region=record.region,
            availability_zone=record.availability_zone,
            cores=record.cores,
            link_mbps=record.link_mbps,
            relays=record.relays,
        )
        if self._fleet.apply_entry(entry):
            self._mirror.put(item.key, item.value, item.revision)
            self.change_log.write(
                log.Event.ENTRY_CHANGED,
                group=entry.availability_zone,
                entry=name,
                registered=True,
                **revision_fields(item.revision),
            )

    def _skip_unreadable(self, item: Item) -> None:
        self._skipped.record_unreadable(
            item.key, revision=item.revision, now_s=now_s()
        )
