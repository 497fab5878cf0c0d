"""Requests of other entries at each upstream, as all entries tell.

A message on hundreds of upstreams comes several times a second, and is only
kept. What one of them holds is worked out when it is asked for, since a request
looks at a few.
"""

from collections.abc import Mapping


class OthersLoads:
    """Keeps the last sum over all entries, and what of it was its own."""

    def __init__(self) -> None:
        """Starts with nothing told."""
        self._total: Mapping[int, int] = {}
        self._own: Mapping[int, int] = {}

    def take(self, total: Mapping[int, int], *, own: Mapping[int, int]) -> None:
        """Takes a sum over all entries.

        Args:
          total: requests by the hash of the upstream's incarnation.
          own: those of them that this entry told.
        """
        self._total = total
        self._own = own

    def at(self, name: int) -> int:
        """Returns the others' requests at an upstream, by its hash."""
        held = self._total.get(name, 0)
        if not held:
            return 0
        return max(0, held - self._own.get(name, 0))
