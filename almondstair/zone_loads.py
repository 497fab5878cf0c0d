"""Takes the loads of availability zones whose entries are heard by digests."""

from almondstair.core.entry_table import EntryRow
from almondstair.core.heartbeat_words import ServiceLoad
from almondstair.core.heartbeats import FAR_SILENCE_S
from almondstair.core.hops import HopTable
from almondstair.core.membership import Membership
from almondstair.core.steering import Steering
from almondstair.heartbeats import Heartbeats


class ZoneLoads:
    """Gives what digests tell of far zones to steering and to the next hop."""

    def __init__(
        self,
        *,
        own: EntryRow,
        membership: Membership,
        heartbeats: Heartbeats,
        steering: Steering,
        hops: HopTable,
    ) -> None:
        """Starts with no zone heard of.

        Args:
          own: this entry.
          membership: who is live.
          heartbeats: who speaks for itself, and the digests of the others.
          steering: takes the loads of regions.
          hops: takes the loads of entries.
        """
        self._own = own
        self._membership = membership
        self._heartbeats = heartbeats
        self._steering = steering
        self._hops = hops
        self._far_sources: set[str] = set()

    def observe(self, *, now_s: float) -> None:
        """Takes the load of far zones from their digests."""
        known = set()
        for zone, rows in self._far_zones(now_s).items():
            digest = self._heartbeats.digests.get(
                availability_zone=zone, now_s=now_s
            )
            if digest is None:
                continue
            known.add(zone)
            for load in digest.loads:
                aged = load._replace(age_ms=load.age_ms + digest.age_ms)
                self._observe_zone(zone, rows, aged, now_s)
        # Counted beside the words of its entries, or for ever after the last
        # digest, a zone would have more free slots than there are.
        for zone in self._far_sources - known:
            self._steering.regions.forget_source(source=zone)
        self._far_sources = known

    def _far_zones(self, now_s: float) -> dict[str, list[EntryRow]]:
        by_zone: dict[str, list[EntryRow]] = {}
        near = set()
        for row in self._membership.live(now_s=now_s):
            zone = row.availability_zone
            if row.name in self._heartbeats.details:
                near.add(zone)
            by_zone.setdefault(zone, []).append(row)
        near.add(self._own.availability_zone)
        for zone in near:
            by_zone.pop(zone, None)
        return by_zone

    def _observe_zone(
        self, zone: str, rows: list[EntryRow], load: ServiceLoad, now_s: float
    ) -> None:
        self._steering.regions.observe(
            region=rows[0].region,
            service=load.service,
            source=zone,
            slots=load.slots,
            free_slots=load.free_slots,
            age_s=load.age_ms / 1000,
            now_s=now_s,
            limit_s=FAR_SILENCE_S,
        )
        # Shared out to the last slot: rounded down, a zone with fewer free
        # slots than entries would seem full.
        each, left = divmod(load.free_slots, len(rows))
        for place, row in enumerate(rows):
            self._hops.heard(
                entry=row.name,
                service=load.service,
                free_slots=each + (place < left),
                now_s=now_s,
            )
