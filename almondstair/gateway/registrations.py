"""Takes registrations of upstreams and entries into the fleet's picture."""

from collections import OrderedDict
from collections.abc import Collection

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet
from almondstair.core.registered import Entry
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.gateway.change_lines import ChangeLines
from almondstair.gateway.mirror import Mirror
from almondstair.gateway.upstream_pool import UpstreamPool
from almondstair.platform import documents
from almondstair.platform.kv import Item

# Keys whose unreadable registrations were logged; each is logged once as long
# as it is remembered. Another writer's may change many times a second.
LOGGED_KEYS = 256


class Registrations:
    """Keeps upstreams and entries as they are registered.

    What names none to use changes nothing: one that had a good registration
    keeps it until the key is removed.

    Attributes:
      lines: log lines on what changes.
    """

    def __init__(
        self, *, fleet: Fleet, pool: UpstreamPool, mirror: Mirror
    ) -> None:
        """Makes the taker of one entry's follower.

        Args:
          fleet: the picture to keep.
          pool: connections to upstreams; those of gone ones are closed.
          mirror: what other entries are told.
        """
        self._fleet = fleet
        self._pool = pool
        self._mirror = mirror
        self.lines = ChangeLines()
        # Revision of the last registration taken, by the upstream's id.
        self._registered_at: dict[str, int] = {}
        self._logged: OrderedDict[str, None] = OrderedDict()

    def count_anew(self) -> None:
        """The store is another one: its revisions count from elsewhere."""
        self._registered_at.clear()

    def take_upstream(self, item: Item) -> None:
        """Takes a registration of an upstream, or its removal."""
        upstream_id = item.key.removeprefix(documents.UPSTREAM_PREFIX)
        if item.value is None:
            self._remove_upstream(upstream_id, item.revision)
            return
        record = documents.read_upstream(item.key, item.value)
        if record is None:
            self._note_bad(item)
            return
        if item.revision <= self._registered_at.get(upstream_id, 0):
            # A peer that is asked for the first time tells everything, each
            # upstream as of its last change: renewals after that are not told
            # on. Taken as of now, a registration from an upstream's start
            # would make it cold for as long as it said then, and its service
            # would refuse requests with free slots meanwhile.
            record = record._replace(cold_left_s=0.0)
        taken = self._fleet.take_upstream(record, now_s=now_s())
        if taken.ended:
            self._pool.forget(incarnation=taken.ended)
            self.lines.write(
                log.Event.UPSTREAM_GONE,
                group=record.service,
                upstream=taken.ended,
            )
        if taken.used:
            known = self._registered_at.get(upstream_id, 0)
            self._registered_at[upstream_id] = max(known, item.revision)
        if not taken.changed:
            return
        self._mirror.put(item.key, item.value, item.revision)
        self.lines.write(
            log.Event.UPSTREAM_CHANGED,
            group=f"{record.service} {record.availability_zone}",
            upstream=record.incarnation,
            service=record.service,
            availability_zone=record.availability_zone,
            draining=record.draining,
            cold_left_s=record.cold_left_s,
            revision=item.revision,
        )

    def _remove_upstream(self, upstream_id: str, revision: int) -> None:
        if revision < self._registered_at.get(upstream_id, 0):
            # It is of the incarnation before the one that is registered: a
            # peer's word that is older than what the store told meanwhile.
            return
        record = self._fleet.drop_upstream(upstream_id, now_s=now_s())
        if record is not None:
            self.upstream_gone(record, revision=revision)

    def upstream_gone(self, record: UpstreamRecord, *, revision: int) -> None:
        """Closes what belongs to an upstream that is not registered any more.

        Args:
          record: its last registration.
          revision: the store's revision as of which it is gone.
        """
        self._registered_at.pop(record.upstream_id, None)
        self._pool.forget(incarnation=record.incarnation)
        key = documents.UPSTREAM_PREFIX + record.upstream_id
        self._mirror.remove(key, revision)
        self.lines.write(
            log.Event.UPSTREAM_GONE,
            group=record.service,
            upstream=record.incarnation,
        )

    def drop_unlisted_upstreams(
        self, keys: Collection[str], *, revision: int
    ) -> None:
        """Drops the upstreams that a whole listing lacks.

        Args:
          keys: every key of the listing.
          revision: the store's revision that it is as of.
        """
        listed = set()
        for key in keys:
            if key.startswith(documents.UPSTREAM_PREFIX):
                listed.add(key.removeprefix(documents.UPSTREAM_PREFIX))
        for record in self._fleet.forget_unlisted(listed, now_s=now_s()):
            self.upstream_gone(record, revision=revision)

    def take_entry(self, item: Item) -> None:
        """Takes a registration of an entry."""
        if item.value is None:
            return
        name = item.key.removeprefix(documents.ENTRY_PREFIX)
        record = documents.read_entry(item.value)
        if record is None or not name:
            self._note_bad(item)
            return
        entry = Entry(
            name=name,
            callers=record.callers,
            peers=record.peers,
            region=record.region,
            availability_zone=record.availability_zone,
            cores=record.cores,
            link_mbps=record.link_mbps,
        )
        if self._fleet.take_entry(entry):
            self._mirror.put(item.key, item.value, item.revision)
            self.lines.write(
                log.Event.ENTRY_CHANGED,
                group=entry.availability_zone,
                entry=name,
                registered=True,
                revision=item.revision,
            )

    def _note_bad(self, item: Item) -> None:
        if item.key in self._logged:
            return
        self._logged[item.key] = None
        if len(self._logged) > LOGGED_KEYS:
            self._logged.popitem(last=False)
        log.event(
            log.Event.REGISTRATION_BAD, key=item.key, revision=item.revision
        )
