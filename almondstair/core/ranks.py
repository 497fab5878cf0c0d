"""Home and successor of each upstream, brought up to date table by table.

Both are the first two of the region's entries in the rendezvous order of the
upstream. A table mostly differs by one entry from the one before; ranking all
entries anew for each upstream would stall the loop at size.
"""

import xxhash

from almondstair.core.entry_table import EntryTable

# Home and successor.
RANKS_KEPT = 2


def ranked(*, upstream: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns entries in their rendezvous order for an upstream."""
    scored = []
    for name in names:
        score = xxhash.xxh3_64_intdigest(f"{upstream}\0{name}".encode())
        scored.append((score, name))
    scored.sort(reverse=True)
    ordered = []
    for _, name in scored:
        ordered.append(name)
    return tuple(ordered)


class Ranks:
    """The first two entries in the order of each upstream."""

    def __init__(self) -> None:
        """Knows no upstream and no entry."""
        self._regions: dict[str, str] = {}
        self._names: dict[str, tuple[str, ...]] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}

    def set_regions(self, *, regions: dict[str, str]) -> None:
        """Takes the region of each upstream."""
        for upstream in tuple(self._ranks):
            if regions.get(upstream) != self._regions[upstream]:
                del self._ranks[upstream]
        self._regions = regions

    def set_table(self, *, table: EntryTable) -> None:
        """Takes the entries that are not leaving, by region."""
        before = self._names
        names: dict[str, list[str]] = {}
        for row in table.entries:
            if not row.leaving:
                names.setdefault(row.region, []).append(row.name)
        self._names = {}
        for region, listed in names.items():
            self._names[region] = tuple(listed)
        for region in before.keys() | names.keys():
            self._change(region=region, before=before.get(region, ()))

    def first(self, *, upstream: str) -> tuple[str, ...]:
        """Returns home and successor, as far as there are entries."""
        rank = self._ranks.get(upstream)
        if rank is not None:
            return rank
        region = self._regions.get(upstream)
        if region is None:
            return ()
        names = self._names.get(region, ())
        rank = ranked(upstream=upstream, names=names)[:RANKS_KEPT]
        self._ranks[upstream] = rank
        return rank

    def _change(self, *, region: str, before: tuple[str, ...]) -> None:
        now = self._names.get(region, ())
        removed = frozenset(before) - frozenset(now)
        added = tuple(frozenset(now) - frozenset(before))
        if not added and not removed:
            return
        for upstream, rank in tuple(self._ranks.items()):
            if self._regions[upstream] != region:
                continue
            if removed.intersection(rank):
                # The third of the order moves up; it is not kept.
                del self._ranks[upstream]
                continue
            if added:
                candidates = ranked(upstream=upstream, names=rank + added)
                self._ranks[upstream] = candidates[:RANKS_KEPT]
