"""Home and successor of each upstream, updated incrementally per table.

They are the first two of the region's entries in the rendezvous order of the
upstream. A table mostly differs from the previous one by one entry; ranking all
entries again for each upstream would stall the event loop in large deployments.
"""

import xxhash

from almondstair.core.entry_table import EntryTable

# Home and successor.
RANKS_STORED = 2


def rendezvous_order(
    *, upstream: str, names: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the entries in rendezvous order for an upstream."""
    scored = []
    for name in names:
        score = xxhash.xxh3_64_intdigest(f"{upstream}\0{name}".encode())
        scored.append((score, name))
    scored.sort(reverse=True)
    ordered = []
    for _, name in scored:
        ordered.append(name)
    return tuple(ordered)


class RendezvousRanks:
    """Caches the first two entries in the order of each upstream."""

    def __init__(self) -> None:
        """Starts without upstreams and entries."""
        self._regions: dict[str, str] = {}
        self._names: dict[str, tuple[str, ...]] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}

    def set_regions(self, *, regions: dict[str, str]) -> None:
        """Sets the region of each upstream."""
        for upstream in tuple(self._ranks):
            if regions.get(upstream) != self._regions[upstream]:
                del self._ranks[upstream]
        self._regions = regions

    def set_table(self, *, table: EntryTable) -> None:
        """Sets the entries to those of a table that are not leaving."""
        before = self._names
        names: dict[str, list[str]] = {}
        for row in table.entries:
            if not row.leaving:
                names.setdefault(row.region, []).append(row.name)
        self._names = {}
        for region, listed in names.items():
            self._names[region] = tuple(listed)
        for region in before.keys() | names.keys():
            self._update_region(region=region, before=before.get(region, ()))

    def home_and_successor(self, *, upstream: str) -> tuple[str, ...]:
        """Returns home and successor, or fewer if the region lacks entries."""
        first_two = self._ranks.get(upstream)
        if first_two is not None:
            return first_two
        region = self._regions.get(upstream)
        if region is None:
            return ()
        names = self._names.get(region, ())
        first_two = rendezvous_order(upstream=upstream, names=names)[
            :RANKS_STORED
        ]
        self._ranks[upstream] = first_two
        return first_two

    def _update_region(self, *, region: str, before: tuple[str, ...]) -> None:
        now = self._names.get(region, ())
        removed = frozenset(before) - frozenset(now)
        added = tuple(frozenset(now) - frozenset(before))
        if not added and not removed:
            return
        for upstream, first_two in tuple(self._ranks.items()):
            if self._regions[upstream] != region:
                continue
            if removed.intersection(first_two):
                # The third in the order moves up, but it is not cached.
                del self._ranks[upstream]
                continue
            if added:
                candidates = rendezvous_order(
                    upstream=upstream, names=first_two + added
                )
                self._ranks[upstream] = candidates[:RANKS_STORED]
