"""An entry's view of the deployment: routes, upstreams and entries."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator
import contextlib
import math

import xxhash

from almondstair.core.incarnations import EndedIncarnations
from almondstair.core.peer_loads import PeerLoads
from almondstair.core.placement import PlacementOrders
from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.placement_plan import Plan
from almondstair.core.quotas import FleetMembership
from almondstair.core.registered_entries import Entry
from almondstair.core.registered_entries import ExpiredRegistrations
from almondstair.core.registered_entries import RegistrationChange
from almondstair.core.routing import Route
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import RoutingTable
from almondstair.core.upstream_rests import return_spread_s
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.upstream_state import incarnation_hash

# A registration that disappears this soon after a store failure may have
# expired because of the failure; a live upstream registers again within about
# 2 s after the store has recovered.
EXPIRY_GRACE_S = 2.3
# The same if upstreams could still write to the store: only this entry was
# disconnected, and upstreams that disappeared meanwhile have most likely ended.
DISCONNECT_GRACE_S = 0.7
# Registrations state the cold time as of their writing and arrive a little
# later.
COLD_MARGIN_S = 0.3
# Time from an entry's registration until every other entry either counts it or
# has stopped using shares: a lease of 3 s, since a disconnected entry continues
# with its last view until its own lease has expired, and two polls.
JOIN_DELAY_S = 4.0
# Maximum age of the view of the other entries for shares to be used: the TTL of
# a lease.
MAX_SHARING_AGE_S = 3.0
# For how long an entry that has gone still counts where the limit of a cold
# upstream is divided; longer than the window over which entries count it.
FORMER_ENTRY_S = 2.0
# Longest rest of an upstream that is kept, if the settings name no other.
MAX_REST_S = 60.0
# Maximum age of a cached utilisation; requests run for longer.
MAX_UTILISATION_AGE_S = 0.1
_HASH_RANGE = 1 << 32


class Fleet:
    """Holds the deployment as this entry last learned of it.

    Attributes:
      table: current routes; None before the first configuration.
      evacuated: evacuated availability zones, whose upstreams get no requests,
        with the start of the evacuation on the entry's clock, in seconds.
      entries: live entries by name.
      entry_names: names of the live entries, including this one.
      upstreams_by_hash: registered upstreams by the hash of their incarnation,
        which identifies them in messages between entries.
      peer_loads: requests of other entries at each upstream.
      peer_loads_complete: whether every other entry reports its loads.
      plan: weights that distribute keys over upstreams.
      has_seeds: whether the settings name other entries.
      rested_s: time for which upstreams asked this entry for rest since its
        start, in seconds, by service.
      as_of_s: time of the view on the entry's clock, in seconds.
      entries_version: a number that changes with the live entries.
      eligible_version: a number that changes with the eligible upstreams.
      own_seed: hash of this entry's name.
      on_change: called when the eligible upstreams, their reachability, the
        routes or the plan may have changed.
    """

    def __init__(
        self,
        *,
        own_name: str,
        own_region: str,
        zones: dict[str, str],
        max_rest_s: float = MAX_REST_S,
    ) -> None:
        """Starts with an empty view.

        Args:
          own_name: name of this entry.
          own_region: its region.
          zones: region of each availability zone.
          max_rest_s: longest rest of an upstream that is kept, in seconds.
        """
        self._max_rest_s = max_rest_s
        self._own_name = own_name
        self.own_seed = xxhash.xxh32_intdigest(own_name.encode())
        self._own_region = own_region
        self._zones = zones
        self._upstreams: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._regions_by_service: dict[str, set[str]] = {}
        self._leaving_counts: Counter[str] = Counter()
        self._resting: dict[int, UpstreamState] = {}
        self._returning: dict[int, UpstreamState] = {}
        self.rested_s: dict[str, float] = {}
        self._stated_leaving: list[int] = []
        self._eligible_stale = False
        self.on_change: Callable[[], None] = _ignore_change
        self.eligible_version = 0
        self.entries_version = 0
        self._ended = EndedIncarnations()
        self._upstream_expiry_s: dict[str, float] = {}
        self._entry_expiry_s: dict[str, float] = {}
        self._evacuation_expiry_s: dict[str, float] = {}
        self._former_entries_s: dict[str, float] = {}
        # Assumes that callers are spread evenly over the availability zones.
        self._orders = PlacementOrders(
            own_region=own_region, demand=Counter(zones.values())
        )
        self.plan = EMPTY_PLAN
        self._grace_until_s = -math.inf
        self._loaded = False
        self.table: RoutingTable | None = None
        self.evacuated: dict[str, float] = {}
        self.entries: dict[str, Entry] = {}
        self.entry_names: frozenset[str] = frozenset((own_name,))
        self.upstreams_by_hash: dict[int, UpstreamState] = {}
        self.peer_loads = PeerLoads()
        self.peer_loads_complete = False
        self.has_seeds = True
        self.as_of_s = -math.inf
        self._registered_until_s = -math.inf
        self._registered_at_s = math.inf
        self._utilisation: dict[
            tuple[str, frozenset[str]], tuple[float, float]
        ] = {}

    def set_zones(self, zones: dict[str, str]) -> None:
        """Replaces the regions of the availability zones."""
        self._zones = zones
        self._orders = PlacementOrders(
            own_region=self._own_region, demand=Counter(zones.values())
        )
        self._orders.set_plan(self.plan)
        for state in self._upstreams.values():
            state.region = zones.get(state.record.availability_zone, "")
        self._mark_stale()

    @property
    def ready(self) -> bool:
        """Returns whether the view is complete enough to serve requests."""
        return self.table is not None and self._loaded

    def mark_loaded(self) -> None:
        """Records that the first complete listing has been applied."""
        self._loaded = True

    # Configuration.

    def apply_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Applies a configuration if it is newer than the current one.

        A peer or a stale read may return an older version, by which requests
        would go to a service that has been removed.

        Returns:
          Whether the configuration was applied.
        """
        if self.table is not None:
            if configuration.version <= self.table.version:
                return False
        self.table = RoutingTable(configuration=configuration)
        self.on_change()
        return True

    # Upstreams.

    def apply_upstream(
        self,
        record: UpstreamRecord,
        *,
        now_s: float,
        from_copy: bool = False,
    ) -> RegistrationChange:
        """Applies the registration of an upstream.

        Incarnations are kept apart. Otherwise a restarted upstream would
        inherit the load, the pauses and the cached objects of its previous
        incarnation, and would get no requests if that one was draining.

        Args:
          record: the registration.
          now_s: the entry's clock, in seconds.
          from_copy: whether a restored store lists it, which may have lost a
            later one that this entry has applied.
        """
        state = self._upstreams.get(record.upstream_id)
        outdated = self._ended.is_outdated(record)
        if from_copy and state is None:
            outdated = outdated or self._ended.had_ended(record)
        if outdated:
            return RegistrationChange(is_current=False, changed=False)
        if state is None:
            self._upstream_expiry_s.pop(record.upstream_id, None)
            self._add_upstream(record, now_s)
            return RegistrationChange(is_current=True, changed=True)
        before = state.record
        if record.started_ms < before.started_ms:
            return RegistrationChange(is_current=False, changed=False)
        self._upstream_expiry_s.pop(record.upstream_id, None)
        if record.started_ms > before.started_ms:
            self._remove(record.upstream_id)
            self._add_upstream(record, now_s)
            return RegistrationChange(
                is_current=True,
                changed=True,
                replaced_incarnation=state.incarnation,
            )
        changed = False
        if not from_copy or not _is_applied(record, before):
            changed = self._change_upstream(state, record, now_s)
        return RegistrationChange(is_current=True, changed=changed)

    def _change_upstream(
        self, state: UpstreamState, record: UpstreamRecord, now_s: float
    ) -> bool:
        before = state.record
        state.renewed_at_s = now_s
        newly_registered = record.draining and not state.registered_as_leaving
        if newly_registered:
            state.registered_as_leaving = True
            self._set_leaving(state, LeavingSource.REGISTRATION)
        elif state.is_leaving:
            # An older registration that arrives late does not end leaving.
            record = record._replace(draining=True)
        cold_extended = False
        if record.cold_left_s > 0:
            until_s = now_s + record.cold_left_s + COLD_MARGIN_S
            cold_extended = until_s > state.cold_until_s + COLD_MARGIN_S
            state.cold_until_s = max(state.cold_until_s, until_s)
        state.record = record
        changed = _without_progress(record) != _without_progress(before)
        if changed:
            self._mark_stale()
        return changed or cold_extended or newly_registered

    def _add_upstream(self, record: UpstreamRecord, now_s: float) -> None:
        region = self._zones.get(record.availability_zone, "")
        state = UpstreamState(
            record=record, region=region, peer_loads=self.peer_loads
        )
        state.cold_until_s = self._cold_until_s(record, now_s)
        state.renewed_at_s = now_s
        state.rest = self._ended.rest(state.name_hash) or state.rest
        state.registered_as_leaving = record.draining
        # A write from before the leaving may be applied late by the store.
        # Without this the upstream would get requests again, and nothing would
        # remove the registration.
        source = self._ended.leaving_source(state.name_hash)
        if source is None and record.draining:
            source = LeavingSource.REGISTRATION
        if source is not None:
            self._set_leaving(state, source)
        self._upstreams[record.upstream_id] = state
        self.upstreams_by_hash[state.name_hash] = state
        self._mark_stale()

    def record_leaving(
        self, name: int, *, source: LeavingSource
    ) -> UpstreamState | None:
        """Records that an incarnation leaves, whether it is registered or not.

        Args:
          name: hash of the incarnation.
          source: what told so.

        Returns:
          The upstream if it is registered and was not known to leave.
        """
        state = self.upstreams_by_hash.get(name)
        if state is None:
            self._ended.record_leaving(name, source=source)
            return None
        if state.is_leaving:
            return None
        self._set_leaving(state, source)
        return state

    def record_rest(
        self, state: UpstreamState, *, rest_s: float, now_s: float
    ) -> bool:
        """Records that an upstream asked this entry for a rest.

        The entries return to it one after another.

        Args:
          state: the upstream.
          rest_s: how long it wants no requests, in seconds.
          now_s: the entry's clock, in seconds.

        Returns:
          Whether no rest of it was running.
        """
        until_s = now_s + min(rest_s, self._max_rest_s)
        resumes_s = until_s + self._return_delay_s(state)
        added_s = resumes_s - max(now_s, state.rest.resumes_s)
        service = state.record.service
        rested_s = self.rested_s.get(service, 0.0)
        self.rested_s[service] = rested_s + max(0.0, added_s)
        state.rest.ask(resumes_s=resumes_s)
        is_new = state.name_hash not in self._resting
        self._resting[state.name_hash] = state
        self._returning[state.name_hash] = state
        self.on_change()
        return is_new

    def has_returning(self) -> bool:
        """Returns whether an upstream rests, or did so a moment ago."""
        for name, state in list(self._returning.items()):
            if not state.rest.is_returning():
                del self._returning[name]
        return bool(self._returning)

    def resting_names(self) -> frozenset[int]:
        """Returns hashes of the upstreams that rest."""
        return frozenset(self._resting)

    def end_rests(self, *, now_s: float) -> list[UpstreamState]:
        """Returns the upstreams whose rest has ended since the last call."""
        ended = []
        for name, state in list(self._resting.items()):
            if not state.rest.is_running(now_s=now_s):
                del self._resting[name]
                ended.append(state)
        return ended

    def _return_delay_s(self, state: UpstreamState) -> float:
        """Returns this entry's part of the time over which entries return."""
        spread_s = return_spread_s(
            entries=len(self.entry_names), slots=state.record.slots
        )
        text = f"{self._own_name}\0{state.name_hash}"
        return spread_s * xxhash.xxh32_intdigest(text.encode()) / _HASH_RANGE

    def leaving_count(self, service: str) -> int:
        """Returns how many registered upstreams of a service are leaving."""
        self._refresh_eligible()
        return self._leaving_counts[service]

    def stated_leaving(self) -> list[int]:
        """Returns hashes of the leaving upstreams that are registered as ready.

        Only responses, here or at other entries, said that they leave.
        """
        self._refresh_eligible()
        return self._stated_leaving

    def _set_leaving(self, state: UpstreamState, source: LeavingSource) -> None:
        """Makes an upstream leave; its incarnation does so for good."""
        self._ended.record_leaving(state.name_hash, source=source)
        if state.leaving_source is None:
            state.leaving_source = source
        state.record = state.record._replace(draining=True)
        self._mark_stale()

    def _cold_until_s(self, record: UpstreamRecord, now_s: float) -> float:
        """Returns until when a newly registered upstream is cold.

        An unknown incarnation counts as cold, except in the first listing. A
        known one that registers again has only lost its registration. If it
        counted as cold, it would get almost no requests for the whole cold time
        of its service, although its caches are still warm.
        """
        remembered_s = self._ended.cold_until_s(record)
        cold_s = record.cold_left_s
        if remembered_s is None and self._loaded:
            cold_s = max(cold_s, self._cold_s(record.service))
        until_s = remembered_s or 0.0
        if cold_s > 0:
            until_s = max(until_s, now_s + cold_s + COLD_MARGIN_S)
        return until_s

    def record_reached(self, state: UpstreamState, *, now_s: float) -> None:
        """Records that an upstream accepted a new connection.

        If upstreams keep their ids, one that was unreachable may have restarted
        as another incarnation, so it counts as cold. Otherwise it would answer
        at the address and under the id of its previous incarnation, and would
        get the requests of a warm upstream for the 0.6 s until its registration
        is read.
        """
        may_be_another = state.record.started_ms and not state.is_leaving
        if may_be_another and state.is_unreachable:
            # One that renewed its registration meanwhile has not restarted.
            if not state.is_alive_since_unreachable():
                self._mark_cold_from(state, now_s)
        state.record_reached()
        self.on_change()

    def restore_reachability(self) -> None:
        """Forgets which upstreams were unreachable during a partition.

        They were reachable for others all the while, and stay warm.
        """
        for state in self._upstreams.values():
            state.restore_reachability()
        self.on_change()

    def needs_relay(
        self, service: str, *, allowed_regions: Collection[str], now_s: float
    ) -> bool:
        """Returns whether only other entries reach upstreams of a service.

        Args:
          service: the service.
          allowed_regions: regions that may run the request; all if empty.
          now_s: the entry's clock, in seconds.
        """
        alive_elsewhere = False
        for upstream in self.eligible_upstreams(service):
            if allowed_regions and upstream.region not in allowed_regions:
                continue
            if not upstream.is_unreachable:
                return False
            if upstream.is_alive_elsewhere(now_s=now_s):
                alive_elsewhere = True
        return alive_elsewhere

    def _mark_cold_from(self, state: UpstreamState, from_s: float) -> None:
        cold_s = self._cold_s(state.record.service)
        if cold_s > 0:
            until_s = from_s + cold_s + COLD_MARGIN_S
            state.cold_until_s = max(state.cold_until_s, until_s)

    def _cold_s(self, service: str) -> float:
        if self.table is None:
            return 0.0
        rule = self.table.configuration.services.get(service)
        return rule.cold_s if rule is not None else 0.0

    def record_store_failure(self, *, now_s: float) -> None:
        """Records that the store does not answer or refuses a call."""
        self._grace_until_s = now_s + EXPIRY_GRACE_S

    def record_store_recovery(
        self, *, upstreams_wrote: bool, now_s: float
    ) -> None:
        """Records that the store answers again.

        Args:
          upstreams_wrote: whether most upstreams wrote to it meanwhile.
          now_s: the entry's clock, in seconds.
        """
        grace_s = DISCONNECT_GRACE_S if upstreams_wrote else EXPIRY_GRACE_S
        self._grace_until_s = now_s + grace_s

    def begin_epoch(self) -> None:
        """Begins the epoch of a restored store, of which nothing was applied.

        What is removed in it has ended, and what lapsed before is listed or
        lapses again.
        """
        self._upstream_expiry_s.clear()
        self._entry_expiry_s.clear()
        self._evacuation_expiry_s.clear()
        self._grace_until_s = -math.inf

    @contextlib.contextmanager
    def lapsing(self, *, now_s: float) -> Iterator[None]:
        """Keeps what is dropped meanwhile for a grace period.

        What the first listing of an epoch lacks has not ended: it was written
        after the copy was taken, and is written again.
        """
        before_s = self._grace_until_s
        self._grace_until_s = now_s + EXPIRY_GRACE_S
        try:
            yield
        finally:
            self._grace_until_s = before_s

    def has_lapsed_entry(self, name: str) -> bool:
        """Returns whether an entry is kept although the store lacks it."""
        return name in self._entry_expiry_s

    def has_lapsed_evacuation(self, zone: str) -> bool:
        """Returns whether an evacuation is kept although the store lacks it."""
        return zone in self._evacuation_expiry_s

    def lapsed_count(self) -> int:
        """Returns how many entries of the store are kept without it."""
        return (
            len(self._upstream_expiry_s)
            + len(self._entry_expiry_s)
            + len(self._evacuation_expiry_s)
        )

    def drop_upstream(
        self, upstream_id: str, *, now_s: float
    ) -> UpstreamRecord | None:
        """Removes an upstream whose registration has ended.

        Returns:
          The registration if it is removed at once; None if it is unknown, or
          is kept for a grace period as a store failure may have ended it.
        """
        if upstream_id not in self._upstreams:
            return None
        if now_s < self._grace_until_s:
            self._upstream_expiry_s.setdefault(upstream_id, self._grace_until_s)
            return None
        return self._remove(upstream_id)

    def drop_unlisted(
        self, listed: set[str], *, now_s: float
    ) -> list[UpstreamRecord]:
        """Drops upstreams that a full listing lacks; returns those removed.

        One that has lapsed already keeps its grace period.
        """
        removed = []
        for upstream_id in list(self._upstreams):
            if upstream_id in listed or upstream_id in self._upstream_expiry_s:
                continue
            record = self.drop_upstream(upstream_id, now_s=now_s)
            if record is not None:
                removed.append(record)
        return removed

    def expire(self, *, now_s: float) -> ExpiredRegistrations:
        """Drops registrations whose grace period is over."""
        upstreams = []
        for upstream_id, at_s in list(self._upstream_expiry_s.items()):
            if now_s < at_s:
                continue
            record = self._remove(upstream_id)
            if record is not None:
                upstreams.append(record)
        entries = []
        for name, at_s in list(self._entry_expiry_s.items()):
            if now_s >= at_s:
                self._remove_entry(name, now_s)
                entries.append(name)
        evacuations = []
        for zone, at_s in list(self._evacuation_expiry_s.items()):
            if now_s >= at_s:
                evacuations.append(zone)
        return ExpiredRegistrations(
            upstreams=upstreams, entries=entries, evacuations=evacuations
        )

    def _remove(self, upstream_id: str) -> UpstreamRecord | None:
        self._upstream_expiry_s.pop(upstream_id, None)
        state = self._upstreams.pop(upstream_id, None)
        if state is None:
            return None
        self._returning.pop(state.name_hash, None)
        self.upstreams_by_hash.pop(state.name_hash, None)
        self._mark_stale()
        self._ended.record_ended(
            state.record, cold_until_s=state.cold_until_s, rest=state.rest
        )
        return state.record

    def record_misdirected(
        self, record: UpstreamRecord, *, now_s: float
    ) -> None:
        """Records that another upstream answers at an incarnation's address."""
        name = incarnation_hash(record.incarnation)
        self._ended.record_detected(name, now_s=now_s)
        self.record_replaced(name)

    def recently_replaced(self, *, now_s: float) -> list[int]:
        """Returns hashes of the incarnations recently found replaced."""
        return self._ended.recently_detected(now_s=now_s)

    def record_replaced(self, name: int) -> str:
        """Drops a replaced incarnation.

        It stays excluded until a newer incarnation registers. While the store's
        leases do not expire, its registration persists, so that each listing
        would add it again and each request for it would be lost; the log would
        show events 430 and 431 in alternation.

        Args:
          name: hash of the incarnation.

        Returns:
          The incarnation, or an empty string if it was not registered.
        """
        self._ended.record_replaced(name)
        state = self.upstreams_by_hash.get(name)
        if state is None:
            return ""
        self._remove(state.record.upstream_id)
        return state.incarnation

    def _mark_stale(self) -> None:
        """Records that the eligible upstreams have changed."""
        self._eligible_stale = True
        self.on_change()

    def _refresh_eligible(self) -> None:
        """Groups the eligible upstreams by service if they have changed.

        Grouping them on each change would repeat the work for each upstream of
        a listing of thousands.
        """
        if not self._eligible_stale:
            return
        self._eligible_stale = False
        self.eligible_version += 1
        self._by_service = {}
        self._regions_by_service = {}
        self._leaving_counts.clear()
        self._stated_leaving = []
        for state in self._upstreams.values():
            if state.is_leaving:
                self._leaving_counts[state.record.service] += 1
                if not state.registered_as_leaving:
                    self._stated_leaving.append(state.name_hash)
                continue
            if state.record.availability_zone in self.evacuated:
                continue
            found = self._by_service.setdefault(state.record.service, [])
            found.append(state)
            regions = self._regions_by_service.setdefault(
                state.record.service, set()
            )
            regions.add(state.region)
        self._orders.clear()

    def upstreams(self) -> Iterable[UpstreamState]:
        """Returns all registered upstreams."""
        return self._upstreams.values()

    def services(self) -> list[str]:
        """Returns the services of the configuration."""
        if self.table is None:
            return []
        return list(self.table.configuration.services)

    def regions(self) -> frozenset[str]:
        """Returns all regions."""
        return frozenset(self._zones.values())

    @property
    def own_region(self) -> str:
        """Returns the region of this entry."""
        return self._own_region

    def in_own_region(self, zone: str) -> bool:
        """Returns whether an availability zone is in this entry's region."""
        return self._zones.get(zone) == self._own_region

    def upstream_count(self) -> int:
        """Returns the number of registered upstreams."""
        return len(self._upstreams)

    def eligible_upstreams(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new requests."""
        self._refresh_eligible()
        return self._by_service.get(service, [])

    def is_eligible(self, name: int) -> bool:
        """Returns whether the upstream of a hash may get new requests now."""
        state = self.upstreams_by_hash.get(name)
        if state is None or state.is_leaving or state.is_paused():
            return False
        return state.record.availability_zone not in self.evacuated

    def can_run_locally(self, service: str, *, route: Route) -> bool:
        """Returns whether a route's requests may run in this entry's region."""
        self._refresh_eligible()
        allowed = route.allowed_regions
        if allowed and self._own_region not in allowed:
            return False
        regions = self._regions_by_service.get(service, set())
        return self._own_region in regions

    def regions_of(self, service: str) -> frozenset[str]:
        """Returns the regions that have eligible upstreams of a service."""
        self._refresh_eligible()
        return frozenset(self._regions_by_service.get(service, ()))

    def order(self, *, service: str, key: str) -> list[UpstreamState]:
        """Returns a service's eligible upstreams in the order for a key."""
        self._refresh_eligible()
        return self._orders.order(
            service=service, key=key, upstreams=self.eligible_upstreams(service)
        )

    def set_plan(self, plan: Plan) -> None:
        """Applies a plan to the order of upstreams for keys."""
        changed = plan is not self.plan and plan != self.plan
        self.plan = plan
        self._orders.set_plan(plan)
        if changed:
            self.on_change()

    def utilisation(
        self,
        service: str,
        *,
        now_s: float,
        regions: frozenset[str] = frozenset(),
    ) -> float:
        """Returns the utilisation of a service's slots, 0 to 1.

        It is computed at most every `MAX_UTILISATION_AGE_S`.

        Args:
          service: the service.
          now_s: the entry's clock, in seconds.
          regions: regions whose slots count; all if empty.
        """
        key = (service, regions)
        at_s, utilisation = self._utilisation.get(key, (-math.inf, 0.0))
        if now_s - at_s < MAX_UTILISATION_AGE_S:
            return utilisation
        slots = 0
        busy = 0.0
        for upstream in self.eligible_upstreams(service):
            if regions and upstream.region not in regions:
                continue
            if upstream.is_cold(now_s=now_s) or upstream.is_paused():
                # Its slots are not available for normal traffic.
                continue
            if upstream.rest.is_running(now_s=now_s):
                continue
            slots += upstream.record.slots
            # Requests in one upstream's queue take no slot of another. If they
            # counted, queues in one region would make the service look full,
            # and requests would be refused while other regions are idle.
            load = upstream.estimated_load(
                now_s=now_s, peer_loads_complete=self.peer_loads_complete
            )
            busy += min(upstream.record.slots, load)
        utilisation = busy / slots if slots else 1.0
        self._utilisation[key] = (now_s, utilisation)
        return utilisation

    # Evacuations.

    def start_evacuation(self, zone: str, *, now_s: float) -> bool:
        """Stops new requests to a zone; returns whether this is a change."""
        self._evacuation_expiry_s.pop(zone, None)
        if zone in self.evacuated:
            return False
        self.evacuated[zone] = now_s
        self._mark_stale()
        return True

    def end_evacuation(self, zone: str, *, now_s: float) -> bool:
        """Ends an evacuation; the zone's upstreams count as cold."""
        self._evacuation_expiry_s.pop(zone, None)
        if zone not in self.evacuated:
            return False
        del self.evacuated[zone]
        for state in self._upstreams.values():
            if state.record.availability_zone != zone:
                continue
            cold_s = self._cold_s(state.record.service)
            state.cold_until_s = max(state.cold_until_s, now_s + cold_s)
        self._mark_stale()
        return True

    def lapse_evacuation(self, zone: str, *, now_s: float) -> None:
        """Keeps an evacuation that a restored store lacks, for a while."""
        self._evacuation_expiry_s[zone] = now_s + EXPIRY_GRACE_S

    # Entries.

    def record_registered(
        self, *, valid_until_s: float, created: bool, now_s: float
    ) -> None:
        """Records that this entry's registration was created or renewed.

        Args:
          valid_until_s: time until which it is guaranteed to last, on the
            entry's clock, in seconds.
          created: whether it was created, so that others may not count it yet.
          now_s: the entry's clock, in seconds.
        """
        self._registered_until_s = valid_until_s
        if created:
            self._registered_at_s = now_s

    def sharing_names(self, *, now_s: float) -> frozenset[str]:
        """Returns the entries that have a part in a limit, or had one lately.

        What an entry that has gone used of a limit still counts. With only the
        live ones, the others would use its part once more.
        """
        former = self._former_entries_s
        for name in list(former):
            if now_s - former[name] > FORMER_ENTRY_S:
                del former[name]
        if not former:
            return self.entry_names
        return self.entry_names.union(former)

    def joined(self, *, now_s: float) -> bool:
        """Returns whether all other entries count this one for shared limits.

        A new entry, or one whose registration has expired, would otherwise use
        a share of a limit that the others have divided among themselves, and
        the sum would exceed the limit.
        """
        return self._joined_s(now_s) > 0.0

    def _joined_s(self, now_s: float) -> float:
        """Returns for how long all other entries have counted this one."""
        if now_s >= self._registered_until_s:
            return 0.0
        if now_s - self.as_of_s >= MAX_SHARING_AGE_S:
            return 0.0
        return max(0.0, now_s - self._registered_at_s - JOIN_DELAY_S)

    def membership(self, *, now_s: float) -> FleetMembership:
        """Returns what this entry knows of the entries that share limits."""
        return FleetMembership(
            entries=len(self.entry_names),
            joined_s=self._joined_s(now_s),
            alone=not self.has_seeds and len(self.entry_names) == 1,
        )

    def apply_entry(self, entry: Entry) -> bool:
        """Applies an entry's registration; returns whether it is a change."""
        self._entry_expiry_s.pop(entry.name, None)
        if self.entries.get(entry.name) == entry:
            return False
        self.entries[entry.name] = entry
        self._update_entry_names()
        return True

    def drop_entry(self, name: str, *, now_s: float) -> bool:
        """Removes an entry whose registration has ended.

        Returns:
          Whether it is removed at once; it is kept for a grace period if a
          store failure may have ended its registration.
        """
        if name not in self.entries:
            return False
        if now_s < self._grace_until_s:
            self._entry_expiry_s.setdefault(name, self._grace_until_s)
            return False
        self._remove_entry(name, now_s)
        return True

    def _remove_entry(self, name: str, now_s: float) -> None:
        self._entry_expiry_s.pop(name, None)
        self.entries.pop(name, None)
        self._former_entries_s[name] = now_s
        self._update_entry_names()

    def _update_entry_names(self) -> None:
        names = set(self.entries)
        names.add(self._own_name)
        self.entry_names = frozenset(names)
        self.entries_version += 1


def _ignore_change() -> None:
    """Does nothing; nobody has asked for changes yet."""


def _without_progress(record: UpstreamRecord) -> UpstreamRecord:
    """Returns a registration without what changes with each renewal."""
    return record._replace(cold_left_s=0.0, sequence=0)


def _is_applied(record: UpstreamRecord, known: UpstreamRecord) -> bool:
    """Returns whether a registration is as old as the known one, or older."""
    if record.sequence < known.sequence:
        return True
    same = _without_progress(record) == _without_progress(known)
    return record.sequence == known.sequence and same
