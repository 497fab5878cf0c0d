"""Organisations of the operator's configuration."""

import functools
import hashlib
from typing import NamedTuple

import xxhash

_DIGEST_BYTES = 6


class Organisation(NamedTuple):
    """Holds an organisation and what its callers may use.

    Attributes:
      name: its name.
      keys: keys of its callers.
      priority: priority of its requests, in place of their routes'; None for
        the routes'.
      rate_per_s: requests per second that the fleet runs for it; 0 for no
        limit.
      burst: requests that it may send at once in addition.
      allowed_regions: regions in which its requests may run; empty for all.
    """

    name: str
    keys: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def name_hash(self) -> int:
        """Returns a hash that identifies it in messages between entries."""
        return organisation_hash(self.name)

    def __repr__(self) -> str:
        """Returns a description without the keys."""
        return f"Organisation({self.name!r}, {len(self.keys)} keys)"


def key_digest(key: bytes) -> str:
    """Returns a digest that tells keys apart without showing them."""
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES, person=b"caller")
    return f"digest:{digest.hexdigest()}"


@functools.lru_cache(maxsize=16_384)
def organisation_hash(name: str) -> int:
    """Returns the hash of an organisation's name."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF
