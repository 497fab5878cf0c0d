"""Loads of availability zones that are reported by digests only."""

from almondstair.core.entry_selection import EntrySelector
from almondstair.core.entry_table import EntryRow
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.core.heartbeats import FAR_SILENCE_S
from almondstair.core.membership import Membership
from almondstair.core.steering import Steering
from almondstair.heartbeats import Heartbeats


class FarZoneLoads:
    """Applies loads from digests of far zones to steering and entry choice."""

    def __init__(
        self,
        *,
        own: EntryRow,
        membership: Membership,
        heartbeats: Heartbeats,
        steering: Steering,
        entry_selector: EntrySelector,
    ) -> None:
        """Starts without any zone.

        Args:
          own: this entry.
          membership: source of the live entries.
          heartbeats: source of the digests, and of the entries that send their
            own details.
          steering: receives the loads of regions.
          entry_selector: receives the loads of entries.
        """
        self._own = own
        self._membership = membership
        self._heartbeats = heartbeats
        self._steering = steering
        self._entry_selector = entry_selector
        self._reported_zones: set[str] = set()

    def update(self, *, now_s: float) -> None:
        """Applies the loads of far zones from their latest digests."""
        reported = set()
        for zone, rows in self._far_zones(now_s).items():
            digest = self._heartbeats.digests.get(
                availability_zone=zone, now_s=now_s
            )
            if digest is None:
                continue
            reported.add(zone)
            for load in digest.loads:
                aged = load._replace(age_ms=load.age_ms + digest.age_ms)
                self._record_zone_load(zone, rows, aged, now_s)
        # If a zone were counted next to the reports of its own entries, or kept
        # after its last digest, it would seem to have more free slots than it
        # has.
        for zone in self._reported_zones - reported:
            self._steering.regions.forget_source(source=zone)
        self._reported_zones = reported

    def _far_zones(self, now_s: float) -> dict[str, list[EntryRow]]:
        by_zone: dict[str, list[EntryRow]] = {}
        near = set()
        for row in self._membership.live_entries(now_s=now_s):
            zone = row.availability_zone
            if row.name in self._heartbeats.details:
                near.add(zone)
            by_zone.setdefault(zone, []).append(row)
        near.add(self._own.availability_zone)
        for zone in near:
            by_zone.pop(zone, None)
        return by_zone

    def _record_zone_load(
        self, zone: str, rows: list[EntryRow], load: ServiceLoad, now_s: float
    ) -> None:
        self._steering.regions.record_load_report(
            region=rows[0].region,
            service=load.service,
            source=zone,
            slots=load.slots,
            free_slots=load.free_slots,
            age_s=load.age_ms / 1000,
            now_s=now_s,
            limit_s=FAR_SILENCE_S,
        )
        # The remainder is distributed too: if rounded down, a zone with fewer
        # free slots than entries would seem full.
        slots_per_entry, remainder = divmod(load.free_slots, len(rows))
        for index, row in enumerate(rows):
            self._entry_selector.record_report(
                entry=row.name,
                service=load.service,
                free_slots=slots_per_entry + (index < remainder),
                now_s=now_s,
            )
