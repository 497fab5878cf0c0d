"""The order in which the upstreams of a service are asked for a request.

An upstream that has handled an object lately works several times faster on it,
so requests of one key should meet few upstreams, and the same ones from every
entry. Rendezvous hashing gives each key its own order of upstreams, which
entries agree on without talking; losing one moves only its keys.
"""

from collections.abc import Sequence

import xxhash

from almondstair.core.upstream_state import UpstreamState

# Orders that are remembered; beyond, the whole memory is dropped. One order of
# 170 upstreams takes about 1.4 KB.
REMEMBERED_ORDERS = 4096


class PlacementOrders:
    """Computes and remembers the order of upstreams for each key."""

    def __init__(self, *, own_region: str) -> None:
        """Makes orders for an entry of `own_region`."""
        self._own_region = own_region
        self._orders: dict[tuple[str, str], list[UpstreamState]] = {}

    def forget(self) -> None:
        """Drops what is remembered, after the set of upstreams changed."""
        self._orders.clear()

    def order(
        self, *, service: str, key: str, upstreams: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        """Returns the upstreams in the order of preference for a key.

        Those of the entry's own region come first, each region's in
        rendezvous order.
        """
        remembered = self._orders.get((service, key))
        if remembered is not None:
            return remembered
        if len(self._orders) >= REMEMBERED_ORDERS:
            self._orders.clear()
        ranked = sorted(
            upstreams, key=lambda upstream: self._rank(key, upstream)
        )
        self._orders[(service, key)] = ranked
        return ranked

    def _rank(self, key: str, upstream: UpstreamState) -> tuple[bool, int]:
        name = f"{key}\0{upstream.record.upstream_id}"
        far = upstream.region != self._own_region
        return far, xxhash.xxh3_64_intdigest(name.encode())
