"""Peers' reports of leaving upstreams, kept while the VM list is unavailable.

A report is kept beyond the end of the process that sent it. Otherwise, if only
one entry has read a new leaving mark when the VM list becomes unavailable, and
that entry restarts, the upstream would get new work.
"""

from collections.abc import Collection
from typing import NamedTuple


class _LeavingReport(NamedTuple):
    """The latest report of one process of a peer.

    Attributes:
      names: upstreams that it reports as leaving.
      received_s: when the report was received.
    """

    names: frozenset[str]
    received_s: float


class LeavingReports:
    """Holds the latest report of leaving upstreams from each peer process."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._reports: dict[tuple[str, int], _LeavingReport] = {}

    def record_report(
        self,
        *,
        peer: str,
        incarnation: int,
        names: Collection[str],
        now_s: float,
    ) -> None:
        """Records a process's report, which replaces its previous one.

        It does not replace the report of an earlier process of the same peer:
        a process that has just started does not know yet what that one knew.

        Args:
          peer: name of the reporting entry.
          incarnation: its process.
          names: all upstreams that it knows to be leaving.
          now_s: when the report was received.
        """
        self._reports[peer, incarnation] = _LeavingReport(
            frozenset(names), now_s
        )

    def leaving_names(self, *, since_s: float) -> set[str]:
        """Returns the upstreams that any report since a time has as leaving.

        Args:
          since_s: time of the last VM list, which overrides older reports.
        """
        found: set[str] = set()
        for report in self._reports.values():
            if report.received_s >= since_s:
                found |= report.names
        return found

    def forget(
        self, *, known: Collection[tuple[str, int]], since_s: float
    ) -> None:
        """Drops the reports of processes that are gone, if older than a time.

        Args:
          known: name and incarnation of each entry of the table.
          since_s: later reports are kept, also those of ended processes.
        """
        for process, report in tuple(self._reports.items()):
            if process not in known and report.received_s < since_s:
                del self._reports[process]
