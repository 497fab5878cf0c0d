"""Lookups: which entries a caller should use, in order of preference."""

import time
from typing import TypedDict

from almondstair.core.entry_table import EntryRow
from almondstair.core.lookup import LookupEntry
from almondstair.core.lookup import LookupTable
from almondstair.core.lookup import caller_block
from almondstair.core.lookup import zone_distances_ms
from almondstair.core.membership import Membership
from almondstair.core.model import Configuration
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# Time for which the live entries are cached, so that not every lookup reads
# them.
LIVE_REFRESH_S = 0.1
STARTUP_RETRY_AFTER_MS = 500


class EntryBody(TypedDict):
    """Holds one entry of a lookup response."""

    address: str
    availability_zone: str


class LookupBody(TypedDict):
    """Holds the response to a lookup.

    Attributes:
      service: name of the requested service.
      entries: the entries to use, best first.
      ttl_s: how long the caller may cache the response, in seconds.
    """

    service: str
    entries: list[EntryBody]
    ttl_s: int


class Lookups:
    """Orders the live entries for callers."""

    def __init__(
        self, *, membership: Membership, own: EntryRow, ttl_s: float
    ) -> None:
        """Creates lookups that are answered from `membership`.

        Args:
          membership: the entries and their heartbeats.
          own: this entry's row.
          ttl_s: how long a caller may cache a response, in seconds.
        """
        self._membership = membership
        self._own = own
        self._ttl_s = max(1, int(ttl_s))
        self._distances_ms: dict[str, float] = {}
        self._live_rows: tuple[EntryRow, ...] = ()
        self._refreshed_s = float("-inf")
        self._table: LookupTable | None = None

    def configure(self, *, configuration: Configuration) -> None:
        """Applies the zone distances of a configuration."""
        self._distances_ms = zone_distances_ms(
            configuration=configuration,
            availability_zone=self._own.availability_zone,
        )
        self._table = None

    def look_up(
        self, *, configuration: Configuration, service: str, caller_ip: str
    ) -> LookupBody:
        """Returns the entries for a caller.

        Raises:
          AlmondstairError: `unknown_service`, or `no_upstream` while no entry
            is live, for example while all of them start.
        """
        if service not in configuration.services:
            names = ", ".join(sorted(configuration.services))
            raise AlmondstairError(
                kind=ErrorKind.UNKNOWN_SERVICE,
                detail=f"there is no service {service!r}; there are: {names}",
            )
        entries: list[EntryBody] = []
        block = caller_block(address=caller_ip)
        for entry in self._current_table().ordered_entries(block=block):
            entries.append(
                EntryBody(
                    address=entry.address,
                    availability_zone=entry.availability_zone,
                )
            )
        if not entries:
            raise AlmondstairError(
                kind=ErrorKind.NO_UPSTREAM,
                detail="no entry takes work yet",
                retry_after_ms=STARTUP_RETRY_AFTER_MS,
            )
        return LookupBody(service=service, entries=entries, ttl_s=self._ttl_s)

    def _current_table(self) -> LookupTable:
        now_s = time.monotonic()
        if (
            self._table is not None
            and now_s - self._refreshed_s < LIVE_REFRESH_S
        ):
            return self._table
        live = self._membership.live_entries(now_s=now_s)
        self._refreshed_s = now_s
        if self._table is None or live != self._live_rows:
            self._live_rows = live
            self._table = self._make_table()
        return self._table

    def _make_table(self) -> LookupTable:
        entries = []
        for row in self._live_rows:
            entries.append(
                LookupEntry(row.name, row.availability_zone, row.caller_address)
            )
        return LookupTable(
            entries=tuple(entries), distances_ms=self._distances_ms
        )
