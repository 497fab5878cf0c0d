"""Remembers ended incarnations of upstreams, to ignore outdated registrations.

An upstream may restart under its old id, or its address may be assigned to
another one. Registrations of the earlier incarnation still arrive late: by a
write that the store applies seconds later, a page of a peer, or a listing while
the store's leases do not expire. Without this memory each of them would add the
ended upstream again, and requests would reach whatever listens at its address
now. The log would show an upstream added and removed in alternation.
"""

from collections import OrderedDict
from typing import TypeVar

from almondstair.core.upstream_rests import UpstreamRest
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash

# Remembered upstreams, 100 bytes each. The store applies late writes within
# seconds, and a fleet of 5,000 upstreams loses fewer than this in that time.
MAX_REMEMBERED = 4096
# Time for which a replaced incarnation is reported to other entries; its
# registration ends within about the same time.
REPLACED_REPORT_S = 5.0
_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class EndedIncarnations:
    """Remembers upstreams that are leaving, ended or were replaced."""

    def __init__(self) -> None:
        """Starts with an empty memory."""
        self._started_ms: OrderedDict[str, int] = OrderedDict()
        self._sequences: OrderedDict[str, int] = OrderedDict()
        self._leaving: OrderedDict[int, LeavingSource] = OrderedDict()
        self._cold_until_s: OrderedDict[str, float] = OrderedDict()
        self._rests: OrderedDict[int, UpstreamRest] = OrderedDict()
        self._replaced: OrderedDict[int, None] = OrderedDict()
        self._detected_at_s: dict[int, float] = {}

    def record_ended(
        self,
        record: UpstreamRecord,
        *,
        cold_until_s: float,
        rest: UpstreamRest,
    ) -> None:
        """Records an incarnation that ended or has a successor.

        Args:
          record: its last registration.
          cold_until_s: until when it counts as cold, on the entry's clock, in
            seconds.
          rest: the rest that it asked for last.
        """
        _remember(self._rests, incarnation_hash(record.incarnation), rest)
        started_ms = max(
            record.started_ms, self._started_ms.get(record.upstream_id, 0)
        )
        _remember(self._started_ms, record.upstream_id, started_ms)
        _remember(self._sequences, record.incarnation, record.sequence)
        if record.started_ms:
            _remember(self._cold_until_s, record.incarnation, cold_until_s)

    def record_leaving(self, name: int, *, source: LeavingSource) -> None:
        """Records that an incarnation leaves, which nothing can end.

        Args:
          name: the incarnation's hash.
          source: what told so.
        """
        source = self._leaving.get(name, source)
        _remember(self._leaving, name, source)

    def record_replaced(self, name: int) -> None:
        """Records that another upstream answers at an incarnation's address.

        Args:
          name: the incarnation's hash.
        """
        _remember(self._replaced, name, None)

    def record_detected(self, name: int, *, now_s: float) -> None:
        """Records a replacement found by this entry, to report it to others."""
        self.record_replaced(name)
        self._detected_at_s[name] = now_s

    def recently_detected(self, *, now_s: float) -> list[int]:
        """Returns hashes of the replaced incarnations to report to others."""
        for name, at_s in list(self._detected_at_s.items()):
            if now_s - at_s > REPLACED_REPORT_S:
                del self._detected_at_s[name]
        return list(self._detected_at_s)

    def is_outdated(self, record: UpstreamRecord) -> bool:
        """Returns whether a registration is of an outdated incarnation.

        That is one that was found replaced, or one that is older than the
        newest known incarnation of its id.
        """
        if record.started_ms < self._started_ms.get(record.upstream_id, 0):
            return True
        return incarnation_hash(record.incarnation) in self._replaced

    def had_ended(self, record: UpstreamRecord) -> bool:
        """Returns whether a registration was written before its upstream ended.

        Only a store that is restored from a copy lists such a registration.
        """
        last = self._sequences.get(record.incarnation)
        return last is not None and record.sequence <= last

    def cold_until_s(self, record: UpstreamRecord) -> float | None:
        """Returns until when a remembered incarnation is cold.

        Returns:
          A time on the entry's clock, in seconds; None if the incarnation is
          unknown or states no time of its start, so that it cannot be
          distinguished from others of its id.
        """
        return self._cold_until_s.get(record.incarnation)

    def rest(self, name: int) -> UpstreamRest | None:
        """Returns the last rest of an incarnation, None if it is unknown."""
        return self._rests.get(name)

    def leaving_source(self, name: int) -> LeavingSource | None:
        """Returns what told that an incarnation leaves, None if nothing did."""
        return self._leaving.get(name)


def _remember(
    memory: OrderedDict[_Key, _Value], key: _Key, value: _Value
) -> None:
    memory[key] = value
    memory.move_to_end(key)
    if len(memory) > MAX_REMEMBERED:
        memory.popitem(last=False)
