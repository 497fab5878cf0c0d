"""Schedules the load reports between entries.

Hundreds of entries place requests on the same upstreams, and each knows the
requests of the others from their last reports. With reports that are half a
second old, entries fill the same queues while other slots are free, and a plan
of weights keeps moving keys away from queues that have ended.

The intervals follow from the cost of a report where it is sent: from the number
of entries in the availability zone and the link of the VM, not from the number
of entries in the fleet.
"""

import math
from typing import NamedTuple

from almondstair.core.known_places import CachedLocation

# Interval between two messages inside an availability zone: the shortest, the
# part per entry of the zone, and the longest.
MIN_INTERVAL_S = 0.05
INTERVAL_PER_ENTRY_S = 0.0075
MAX_INTERVAL_S = 0.15
# Shortest interval between two totals to other zones, where traffic is
# expensive.
MIN_ZONES_INTERVAL_S = 0.1
# Longest interval while nothing changes.
HEARTBEAT_S = 0.4
# Part of the reporter's link that totals for its zone may use.
LINK_SHARE = 0.2
_BITS_PER_MBIT = 1e6


def report_interval_s(zone_entries: int) -> float:
    """Returns the interval between two messages inside a zone, in seconds.

    Args:
      zone_entries: number of entries in the availability zone.
    """
    zone_interval_s = INTERVAL_PER_ENTRY_S * zone_entries
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, zone_interval_s))


class ReportBandwidth:
    """Limits the bandwidth of the reports from a VM to its zone."""

    def __init__(self, *, link_mbps: float) -> None:
        """Starts with an idle link.

        Args:
          link_mbps: bandwidth of the link in Mbit/s, 0 if unknown.
        """
        self._bits_per_s = LINK_SHARE * link_mbps * _BITS_PER_MBIT
        self._free_at_s = -math.inf

    def has_capacity(self, *, now_s: float) -> bool:
        """Returns whether reports' bandwidth is free in `MAX_INTERVAL_S`."""
        return now_s >= self._free_at_s - MAX_INTERVAL_S

    def record_sent(self, sent_bytes: int, *, now_s: float) -> None:
        """Records bytes that were sent at once."""
        if not self._bits_per_s:
            return
        from_s = max(now_s, self._free_at_s)
        self._free_at_s = from_s + 8 * sent_bytes / self._bits_per_s


UpstreamLoads = dict[int, int]


class EntryReport(NamedTuple):
    """Holds the contents of a report.

    Attributes:
      loads: requests by the hash of an upstream's incarnation.
      replaced: hashes of incarnations that were found replaced.
      strikes: requests that may crash upstreams.
      locations: objects and the upstreams that have them cached.
      limits: limits of upstreams, None for one that ended.
      cut_off: names of the entries that reach no upstream.
      leaving: hashes of upstreams that only said that they leave.
    """

    loads: UpstreamLoads
    replaced: list[int]
    strikes: list[tuple[int, int]]
    locations: list[CachedLocation]
    limits: list[tuple[int, float | None]]
    cut_off: list[str]
    leaving: list[int]


class ReportSchedule:
    """Decides when the next report of one kind is due."""

    def __init__(self, *, min_interval_s: float = 0.0) -> None:
        """Starts without a previous report.

        Args:
          min_interval_s: shortest interval between two reports that are not
            urgent, in seconds.
        """
        self._min_interval_s = min_interval_s
        self._last_sent = EntryReport({}, [], [], [], [], [], [])
        self._last_sent_at_s = -math.inf

    def is_urgent(self, report: EntryReport) -> bool:
        """Returns whether a report has news that others act on at once.

        An upstream that was replaced, that a request may have crashed, that has
        a limit, or that leaves, gets requests from every entry that has not
        received the report. An entry that reaches no upstream gets callers by
        lookups.
        """
        last = self._last_sent
        if set(report.replaced) - set(last.replaced):
            return True
        if set(report.limits) - set(last.limits):
            return True
        if report.cut_off != last.cut_off:
            return True
        if set(report.leaving) - set(last.leaving):
            return True
        return bool(set(report.strikes) - set(last.strikes))

    def is_due(self, report: EntryReport, *, now_s: float) -> bool:
        """Returns whether a report is due.

        Args:
          report: the current report.
          now_s: the entry's clock, in seconds.
        """
        if self.is_urgent(report):
            return True
        age_s = now_s - self._last_sent_at_s
        if age_s < self._min_interval_s:
            return False
        if age_s >= HEARTBEAT_S or report.loads != self._last_sent.loads:
            return True
        return report.locations != self._last_sent.locations

    def record_sent(self, report: EntryReport, *, now_s: float) -> None:
        """Records a sent report, which must not be modified afterwards."""
        self._last_sent = report
        self._last_sent_at_s = now_s
