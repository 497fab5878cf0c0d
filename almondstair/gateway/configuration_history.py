"""The configurations that were in force at this entry, for operators."""

from collections import deque
from typing import NamedTuple
import zlib

# Versions that are kept, compressed: some tens of kilobytes each at 10,000
# routes.
KEPT_VERSIONS = 8


class KeptConfiguration(NamedTuple):
    """A configuration as the store had it.

    Attributes:
      version: its version.
      revision: the store's revision of its writing.
      since_s: when it came in force here, on the entry's clock.
      packed: its text, compressed.
    """

    version: int
    revision: int
    since_s: float
    packed: bytes

    def text(self) -> bytes:
        """Returns the text as it was stored."""
        return zlib.decompress(self.packed)


class ConfigurationHistory:
    """Keeps the last configurations."""

    def __init__(self) -> None:
        """Starts with none."""
        self._kept: deque[KeptConfiguration] = deque(maxlen=KEPT_VERSIONS)

    def note(
        self, *, version: int, text: bytes, revision: int, now_s: float
    ) -> None:
        """Notes a configuration that comes in force now."""
        self._kept.append(
            KeptConfiguration(
                version=version,
                revision=revision,
                since_s=now_s,
                packed=zlib.compress(text, 1),
            )
        )

    def newest_first(self) -> list[KeptConfiguration]:
        """Returns what is kept."""
        return list(reversed(self._kept))

    def find(self, version: int) -> KeptConfiguration | None:
        """Returns a version; 0 stands for the one in force."""
        for kept in self.newest_first():
            if version in (0, kept.version):
                return kept
        return None
