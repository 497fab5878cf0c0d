"""Orders upstreams identically on all entries for crash-suspect requests.

Callers retry such a request through several entries at once. If each entry sent
it to an upstream of its own choice, each could crash another one. The order for
a key is not suitable, as it begins with upstreams of the entry's own region.
"""

from collections.abc import Collection, Iterable

import xxhash

from almondstair.core.upstream_state import UpstreamState


def shared_order(
    *,
    key: str,
    upstreams: Iterable[UpstreamState],
    possibly_crashed: Collection[int],
) -> list[UpstreamState]:
    """Returns the upstreams for a request in the same order on all entries.

    Upstreams in the regions to which it was already sent come first, as these
    are near its callers.

    Args:
      key: key that is the same for all retries of the request.
      upstreams: the eligible upstreams of its service.
      possibly_crashed: hashes of the upstreams that it may have crashed;
        excluded.
    """
    candidates = list(upstreams)
    regions = set()
    for upstream in candidates:
        if upstream.name_hash in possibly_crashed:
            regions.add(upstream.region)
    scored = []
    for upstream in candidates:
        if upstream.name_hash in possibly_crashed:
            continue
        text = f"{key}\0{upstream.name_hash}"
        score = xxhash.xxh3_64_intdigest(text.encode())
        scored.append((upstream.region not in regions, score, upstream))
    scored.sort(key=lambda row: row[:2])
    return [upstream for _, _, upstream in scored]
