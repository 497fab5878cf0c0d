"""Requests of other entries at each upstream, as reported by all entries.

Totals for hundreds of upstreams arrive several times per second and are only
stored. The load of an upstream is computed on demand, since a request needs it
for only a few of them.
"""

from collections.abc import Mapping


class PeerLoads:
    """Holds the last total over all entries and this entry's part of it.

    Attributes:
      version: number of totals so far.
    """

    def __init__(self) -> None:
        """Starts without loads."""
        self.version = 0
        self._total: Mapping[int, int] = {}
        self._own: Mapping[int, int] = {}

    def update(
        self, total: Mapping[int, int], *, own: Mapping[int, int]
    ) -> None:
        """Replaces the total over all entries.

        Args:
          total: requests by the hash of the upstream's incarnation.
          own: the part of them that this entry reported.
        """
        self.version += 1
        self._total = total
        self._own = own

    def own_requests_at(self, upstream_hash: int) -> int:
        """Returns this entry's part of the requests at an upstream.

        Args:
          upstream_hash: hash of the upstream's incarnation.
        """
        return self._own.get(upstream_hash, 0)

    def requests_at(self, upstream_hash: int) -> int:
        """Returns the requests of other entries at an upstream.

        Args:
          upstream_hash: hash of the upstream's incarnation.
        """
        requests = self._total.get(upstream_hash, 0)
        if not requests:
            return 0
        return max(0, requests - self._own.get(upstream_hash, 0))
