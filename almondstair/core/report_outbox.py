"""Selects what is due in messages that repeat what an entry knows."""

from collections.abc import Hashable, Mapping
import math
from typing import NamedTuple

# For how long what has changed is in every message, as messages may be lost.
REPEATED_S = 0.5
# Interval at which what stays the same is in one message again, for entries
# that have just started.
RENEWAL_INTERVAL_S = 1.0
# Upstreams in one message; each takes up to 20 bytes.
MAX_UPSTREAMS = 500


class _Told(NamedTuple):
    """Holds when the value of an upstream changed and was last told."""

    value: Hashable
    changed_at_s: float
    told_at_s: float


class ReportOutbox:
    """Selects the upstreams that are due in messages of one kind."""

    def __init__(self) -> None:
        """Starts with nothing told."""
        self._told: dict[int, _Told] = {}

    def due(self, values: Mapping[int, Hashable], *, now_s: float) -> list[int]:
        """Returns the upstreams to tell in a message that is sent now.

        Args:
          values: what is known of each upstream, by its hash.
          now_s: the entry's clock, in seconds.
        """
        found: list[int] = []
        told = {}
        for upstream, value in values.items():
            last = self._told.get(upstream)
            if last is None or last.value != value:
                last = _Told(value, now_s, -math.inf)
            is_new = now_s - last.changed_at_s < REPEATED_S
            is_due = is_new or now_s - last.told_at_s >= RENEWAL_INTERVAL_S
            if is_due and len(found) < MAX_UPSTREAMS:
                found.append(upstream)
                last = last._replace(told_at_s=now_s)
            told[upstream] = last
        self._told = told
        return found
