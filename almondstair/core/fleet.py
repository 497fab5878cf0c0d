"""What one entry believes of the deployment: routes, upstreams, entries."""

from collections import Counter
from collections.abc import Iterable
import math

from almondstair.core.incarnations import EndedIncarnations
from almondstair.core.others_loads import OthersLoads
from almondstair.core.placement import PlacementOrders
from almondstair.core.placement_plan import EMPTY
from almondstair.core.placement_plan import Plan
from almondstair.core.registered import Entry
from almondstair.core.registered import Lapsed
from almondstair.core.registered import Taken
from almondstair.core.routing import Route
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import RoutingTable
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.upstream_state import incarnation_hash

# A registration that vanishes this soon after the store was in trouble may
# have lapsed with it; a live upstream registers again within about 2 s of the
# store's return.
LAPSE_GRACE_S = 2.3
# The same where upstreams went on writing to the store: only this entry was
# cut off, and what vanished meanwhile has most likely ended.
CUT_GRACE_S = 0.7
# Beats carry the cold time as of their writing and arrive a little later.
COLD_MARGIN_S = 0.3
# How long after its registration an entry is counted by every other one, or the
# other one has stopped taking shares: a lease of 3 s, since one that is cut off
# goes on with what it knew until its own has lapsed, and two polls.
JOIN_S = 4.0
# How old the picture of the other entries may be for shares to be taken; the
# life of a lease.
SHARING_AGE_S = 3.0
# How old the use of a service may be; requests run for longer.
USE_AGE_S = 0.1


class Fleet:
    """The deployment as this entry last learned of it.

    Attributes:
      table: routes in force; None before the first configuration.
      evacuated: availability zones whose upstreams get nothing, with the time
        of the order's arrival on the entry's clock.
      entries: live entries by name.
      entry_names: their names, this entry's with them.
      by_hash: registered upstreams by the hash of their incarnation, which
        is what entries call them.
      others_loads: requests of other entries at each upstream.
      peers_heard: whether every other entry tells its loads.
      plan: how keys are dealt out to upstreams.
      as_of_s: as of when the picture is, on the entry's clock.
      entries_version: a number that changes with the live entries.
      takers_version: a number that changes with the upstreams that may get
        new work.
    """

    def __init__(
        self, *, own_name: str, own_region: str, zones: dict[str, str]
    ) -> None:
        """Starts with nothing known.

        Args:
          own_name: name of this entry.
          own_region: its region.
          zones: region of each availability zone.
        """
        self._own_name = own_name
        self._own_region = own_region
        self._zones = zones
        self._upstreams: dict[str, UpstreamState] = {}
        self._by_service: dict[str, list[UpstreamState]] = {}
        self._regions_by_service: dict[str, set[str]] = {}
        self._takers_stale = False
        self.takers_version = 0
        self.entries_version = 0
        self._ended = EndedIncarnations()
        self._lapses_at_s: dict[str, float] = {}
        self._entry_lapse_s: dict[str, float] = {}
        # Callers are taken to be spread evenly over the availability zones.
        self._orders = PlacementOrders(
            own_region=own_region, demand=Counter(zones.values())
        )
        self.plan = EMPTY
        self._grace_until_s = -math.inf
        self._loaded = False
        self.table: RoutingTable | None = None
        self.evacuated: dict[str, float] = {}
        self.entries: dict[str, Entry] = {}
        self.entry_names: frozenset[str] = frozenset((own_name,))
        self.by_hash: dict[int, UpstreamState] = {}
        self.others_loads = OthersLoads()
        self.peers_heard = False
        self.as_of_s = -math.inf
        self._registered_until_s = -math.inf
        self._joined_at_s = math.inf
        self._use: dict[str, tuple[float, float]] = {}

    def take_zones(self, zones: dict[str, str]) -> None:
        """Takes the regions of zones that changed or are new."""
        self._zones = zones
        self._orders = PlacementOrders(
            own_region=self._own_region, demand=Counter(zones.values())
        )
        self._orders.take_plan(self.plan)
        for state in self._upstreams.values():
            state.region = zones.get(state.record.availability_zone, "")
        self._takers_stale = True

    @property
    def ready(self) -> bool:
        """Whether enough is known to serve."""
        return self.table is not None and self._loaded

    def mark_loaded(self) -> None:
        """The first whole listing has been taken."""
        self._loaded = True

    # Configuration.

    def take_configuration(self, configuration: RoutingConfiguration) -> bool:
        """Puts a configuration in force unless it is not newer.

        What goes wrong without the check: a peer or a stale read serves an
        older version, and requests are run by a service that was dropped.

        Returns:
          Whether it is in force now and was not before.
        """
        if self.table is not None:
            if configuration.version <= self.table.version:
                return False
        self.table = RoutingTable(configuration=configuration)
        return True

    # Upstreams.

    def take_upstream(self, record: UpstreamRecord, *, now_s: float) -> Taken:
        """Takes a registration.

        What goes wrong without telling incarnations apart: an upstream that
        started again keeps the load, the pauses and the known objects of the
        one before it, and is left alone if that one was draining.
        """
        if self._ended.outdated(record):
            return Taken(used=False, changed=False)
        state = self._upstreams.get(record.upstream_id)
        if state is None:
            self._lapses_at_s.pop(record.upstream_id, None)
            self._add_upstream(record, now_s)
            return Taken(used=True, changed=True)
        before = state.record
        if record.born_ms < before.born_ms:
            return Taken(used=False, changed=False)
        self._lapses_at_s.pop(record.upstream_id, None)
        if record.born_ms > before.born_ms:
            self._remove(record.upstream_id)
            self._add_upstream(record, now_s)
            return Taken(used=True, changed=True, ended=state.incarnation)
        changed = self._change_upstream(state, record, now_s)
        return Taken(used=True, changed=changed)

    def _change_upstream(
        self, state: UpstreamState, record: UpstreamRecord, now_s: float
    ) -> bool:
        before = state.record
        if before.draining and not record.draining:
            # An older word that arrives late does not undo a leaving.
            record = record._replace(draining=True)
        colder = False
        if record.cold_left_s > 0:
            until_s = now_s + record.cold_left_s + COLD_MARGIN_S
            colder = until_s > state.cold_until_s + COLD_MARGIN_S
            state.cold_until_s = max(state.cold_until_s, until_s)
        state.record = record
        changed = record._replace(cold_left_s=0) != before._replace(
            cold_left_s=0
        )
        if changed:
            self._takers_stale = True
        return changed or colder

    def _add_upstream(self, record: UpstreamRecord, now_s: float) -> None:
        if self._ended.left(record):
            # A write from before its leaving that the store made late: without
            # this it would get requests again, and has nobody who ends it.
            record = record._replace(draining=True)
        region = self._zones.get(record.availability_zone, "")
        state = UpstreamState(
            record=record, region=region, loads=self.others_loads
        )
        state.cold_until_s = self._cold_until_s(record, now_s)
        self._upstreams[record.upstream_id] = state
        self.by_hash[state.name_hash] = state
        self._takers_stale = True

    def _cold_until_s(self, record: UpstreamRecord, now_s: float) -> float:
        """Returns until when an upstream that registers is cold.

        A start that was not known is taken for cold. One that was known and
        registers again only lost its registration. What goes wrong where it is
        taken for cold: for the whole cold time of its service it gets next to
        nothing, though its caches are as warm as before.
        """
        known_s = self._ended.cold_until_s(record)
        cold_s = record.cold_left_s
        if known_s is None and self._loaded:
            cold_s = max(cold_s, self._cold_s(record.service))
        until_s = known_s or 0.0
        if cold_s > 0:
            until_s = max(until_s, now_s + cold_s + COLD_MARGIN_S)
        return until_s

    def note_reached(self, state: UpstreamState, *, now_s: float) -> None:
        """A new connection to an upstream was accepted.

        Where upstreams keep their id one that was away may have come back as
        another incarnation. What goes wrong without taking it for cold: it
        answers at the address and under the id of the one before, and for the
        0.6 s until its registration is read it gets the requests of a warm one.
        """
        if state.record.born_ms and state.was_unreachable:
            self._note_may_be_new(state, now_s)
        state.note_reached()

    def _note_may_be_new(self, state: UpstreamState, from_s: float) -> None:
        cold_s = self._cold_s(state.record.service)
        if cold_s > 0:
            until_s = from_s + cold_s + COLD_MARGIN_S
            state.cold_until_s = max(state.cold_until_s, until_s)

    def _cold_s(self, service: str) -> float:
        if self.table is None:
            return 0.0
        rule = self.table.configuration.services.get(service)
        return rule.cold_s if rule is not None else 0.0

    def note_trouble(self, *, now_s: float) -> None:
        """The store does not answer, or refuses."""
        self._grace_until_s = now_s + LAPSE_GRACE_S

    def note_return(self, *, written_to: bool, now_s: float) -> None:
        """The store answers again.

        Args:
          written_to: whether most upstreams wrote to it meanwhile.
          now_s: the entry's clock.
        """
        grace_s = CUT_GRACE_S if written_to else LAPSE_GRACE_S
        self._grace_until_s = now_s + grace_s

    def drop_upstream(
        self, upstream_id: str, *, now_s: float
    ) -> UpstreamRecord | None:
        """Takes the end of a registration.

        Returns:
          What is gone at once; a registration that may have lapsed with the
          store is kept for a moment.
        """
        if upstream_id not in self._upstreams:
            return None
        if now_s < self._grace_until_s:
            self._lapses_at_s.setdefault(upstream_id, self._grace_until_s)
            return None
        return self._remove(upstream_id)

    def forget_unlisted(
        self, listed: set[str], *, now_s: float
    ) -> list[UpstreamRecord]:
        """Drops what a whole listing lacks; returns what is gone at once."""
        gone = []
        for upstream_id in list(self._upstreams):
            if upstream_id in listed:
                continue
            record = self.drop_upstream(upstream_id, now_s=now_s)
            if record is not None:
                gone.append(record)
        return gone

    def expire(self, *, now_s: float) -> Lapsed:
        """Drops registrations whose grace is over."""
        upstreams = []
        for upstream_id, at_s in list(self._lapses_at_s.items()):
            if now_s < at_s:
                continue
            record = self._remove(upstream_id)
            if record is not None:
                upstreams.append(record)
        entries = []
        for name, at_s in list(self._entry_lapse_s.items()):
            if now_s >= at_s:
                self._remove_entry(name)
                entries.append(name)
        return Lapsed(upstreams=upstreams, entries=entries)

    def _remove(self, upstream_id: str) -> UpstreamRecord | None:
        self._lapses_at_s.pop(upstream_id, None)
        state = self._upstreams.pop(upstream_id, None)
        if state is None:
            return None
        self.by_hash.pop(state.name_hash, None)
        self._takers_stale = True
        self._ended.note_ended(state.record, cold_until_s=state.cold_until_s)
        return state.record

    def misdirected(self, record: UpstreamRecord, *, now_s: float) -> None:
        """Another upstream answers at the address of an incarnation."""
        name = incarnation_hash(record.incarnation)
        self._ended.found_replaced(name, now_s=now_s)
        self.note_replaced(name)

    def replaced(self, *, now_s: float) -> list[int]:
        """Returns upstreams that were found replaced lately, by their hash."""
        return self._ended.found_lately(now_s=now_s)

    def note_replaced(self, name: int) -> str:
        """Drops an incarnation that was found replaced, by its hash.

        It stays out until a registration tells of a newer one. What goes wrong
        without: its registration stays while the store's leases stand still,
        so that each listing brings it back and each request for it is lost on
        the way; lines of events 430 and 431 tell of it in turn.

        Returns:
          Its incarnation, empty if it was not registered here.
        """
        self._ended.note_replaced(name)
        state = self.by_hash.get(name)
        if state is None:
            return ""
        self._remove(state.record.upstream_id)
        return state.incarnation

    def _refresh_takers(self) -> None:
        """Sorts the upstreams by service, once for any number of changes.

        A listing of thousands would else be sorted anew for each of them.
        """
        if not self._takers_stale:
            return
        self._takers_stale = False
        self.takers_version += 1
        self._by_service = {}
        self._regions_by_service = {}
        for state in self._upstreams.values():
            if state.record.draining:
                continue
            if state.record.availability_zone in self.evacuated:
                continue
            found = self._by_service.setdefault(state.record.service, [])
            found.append(state)
            regions = self._regions_by_service.setdefault(
                state.record.service, set()
            )
            regions.add(state.region)
        self._orders.forget()

    def upstreams(self) -> Iterable[UpstreamState]:
        """Returns every upstream that is registered."""
        return self._upstreams.values()

    def services(self) -> list[str]:
        """Returns the services of the configuration."""
        if self.table is None:
            return []
        return list(self.table.configuration.services)

    def regions(self) -> frozenset[str]:
        """Returns every region."""
        return frozenset(self._zones.values())

    def upstream_count(self) -> int:
        """Returns how many upstreams are registered."""
        return len(self._upstreams)

    def takers(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new work."""
        self._refresh_takers()
        return self._by_service.get(service, [])

    def may_take(self, name: int) -> bool:
        """Whether an upstream, by its hash, may get new work now."""
        state = self.by_hash.get(name)
        if state is None or state.record.draining or state.paused():
            return False
        return state.record.availability_zone not in self.evacuated

    def may_stay(self, service: str, *, route: Route) -> bool:
        """Whether a route's requests may run in this entry's own region."""
        self._refresh_takers()
        allowed = route.allowed_regions
        if allowed and self._own_region not in allowed:
            return False
        regions = self._regions_by_service.get(service, set())
        return self._own_region in regions

    def order(self, *, service: str, key: str) -> list[UpstreamState]:
        """Returns the takers of a service in the order for a key."""
        self._refresh_takers()
        return self._orders.order(
            service=service, key=key, upstreams=self.takers(service)
        )

    def take_plan(self, plan: Plan) -> None:
        """Orders keys by a plan from now on."""
        self.plan = plan
        self._orders.take_plan(plan)

    def use(self, service: str, *, now_s: float) -> float:
        """Returns the part of a service's slots that is in use.

        It is worked out at most every `USE_AGE_S`; 1 is the most.
        """
        at_s, use = self._use.get(service, (-math.inf, 0.0))
        if now_s - at_s < USE_AGE_S:
            return use
        slots = 0
        busy = 0.0
        for upstream in self.takers(service):
            if upstream.cold(now_s=now_s) or upstream.paused():
                # It has slots, but not for this.
                continue
            slots += upstream.record.slots
            # What waits in one upstream's queue takes no slot of another.
            # Counted in, a region's queues make a service look full whose other
            # regions are idle, and requests are refused there.
            held = upstream.busy(now_s=now_s, peers_heard=self.peers_heard)
            busy += min(upstream.record.slots, held)
        use = busy / slots if slots else 1.0
        self._use[service] = (now_s, use)
        return use

    # Evacuations.

    def evacuate(self, zone: str, *, now_s: float) -> bool:
        """Takes the order that a zone's upstreams get nothing."""
        if zone in self.evacuated:
            return False
        self.evacuated[zone] = now_s
        self._takers_stale = True
        return True

    def take_back(self, zone: str, *, now_s: float) -> bool:
        """Takes the end of an evacuation; the zone counts as cold."""
        if zone not in self.evacuated:
            return False
        del self.evacuated[zone]
        for state in self._upstreams.values():
            if state.record.availability_zone != zone:
                continue
            cold_s = self._cold_s(state.record.service)
            state.cold_until_s = max(state.cold_until_s, now_s + cold_s)
        self._takers_stale = True
        return True

    # Entries.

    def note_registered(
        self, *, until_s: float, anew: bool, now_s: float
    ) -> None:
        """This entry's own registration was made or renewed.

        Args:
          until_s: until when it lasts for sure.
          anew: whether it was made, so that others may not count it yet.
          now_s: the entry's clock.
        """
        self._registered_until_s = until_s
        if anew:
            self._joined_at_s = now_s

    def joined(self, *, now_s: float) -> bool:
        """Whether every other entry counts this one among those that share.

        What goes wrong without: a new entry, or one whose registration has
        lapsed, takes a part of a bound that the others have dealt out among
        themselves, and the sum exceeds it.
        """
        if now_s >= self._registered_until_s:
            return False
        if now_s - self.as_of_s >= SHARING_AGE_S:
            return False
        return now_s - self._joined_at_s >= JOIN_S

    def take_entry(self, entry: Entry) -> bool:
        """Takes the registration of an entry."""
        self._entry_lapse_s.pop(entry.name, None)
        if self.entries.get(entry.name) == entry:
            return False
        self.entries[entry.name] = entry
        self._name_entries()
        return True

    def drop_entry(self, name: str, *, now_s: float) -> bool:
        """Takes the end of an entry's registration."""
        if name not in self.entries:
            return False
        if now_s < self._grace_until_s:
            self._entry_lapse_s.setdefault(name, self._grace_until_s)
            return False
        self._remove_entry(name)
        return True

    def _remove_entry(self, name: str) -> None:
        self._entry_lapse_s.pop(name, None)
        self.entries.pop(name, None)
        self._name_entries()

    def _name_entries(self) -> None:
        names = set(self.entries)
        names.add(self._own_name)
        self.entry_names = frozenset(names)
        self.entries_version += 1
