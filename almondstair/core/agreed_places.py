"""Where a request goes that may end upstreams: the same place for all entries.

What goes wrong without: it is sent again through several entries at once, and
each of them ends another upstream. The order for a key will not do, as it
begins with the upstreams of the entry's own region.
"""

from collections.abc import Collection, Iterable

import xxhash

from almondstair.core.upstream_state import UpstreamState


def agreed_order(
    *, key: str, upstreams: Iterable[UpstreamState], exposed: Collection[int]
) -> list[UpstreamState]:
    """Returns upstreams that may get a request, in one order for all entries.

    Those of the regions where it was before come first: they are near its
    callers.

    Args:
      key: what all resends of the request have in common.
      upstreams: the takers of its service.
      exposed: hashes of the upstreams that it may have ended; left out.
    """
    candidates = list(upstreams)
    regions = set()
    for upstream in candidates:
        if upstream.name_hash in exposed:
            regions.add(upstream.region)
    scored = []
    for upstream in candidates:
        if upstream.name_hash in exposed:
            continue
        text = f"{key}\0{upstream.name_hash}"
        score = xxhash.xxh3_64_intdigest(text.encode())
        scored.append((upstream.region not in regions, score, upstream))
    scored.sort(key=lambda row: row[:2])
    return [upstream for _, _, upstream in scored]
