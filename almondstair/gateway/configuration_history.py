"""History of the configurations that were in force at this entry."""

from collections import deque
from typing import NamedTuple
import zlib

from almondstair.core.revisions import Revision

# Each version takes some tens of kilobytes compressed at 10,000 routes.
MAX_VERSIONS = 8


class HistoricConfiguration(NamedTuple):
    """A stored configuration that is or was in force.

    Attributes:
      version: its version.
      revision: the store's revision at which it was written.
      in_force_since_s: when it came into force here, on the entry's clock.
      compressed_text: its text, compressed.
    """

    version: int
    revision: Revision
    in_force_since_s: float
    compressed_text: bytes

    def text(self) -> bytes:
        """Returns the text as it was stored."""
        return zlib.decompress(self.compressed_text)


class ConfigurationHistory:
    """Keeps the most recent configurations for operators."""

    def __init__(self) -> None:
        """Creates an empty history."""
        self._configurations: deque[HistoricConfiguration] = deque(
            maxlen=MAX_VERSIONS
        )

    def add(
        self, *, version: int, text: bytes, revision: Revision, now_s: float
    ) -> None:
        """Adds a configuration that comes into force now."""
        self._configurations.append(
            HistoricConfiguration(
                version=version,
                revision=revision,
                in_force_since_s=now_s,
                compressed_text=zlib.compress(text, 1),
            )
        )

    def newest_first(self) -> list[HistoricConfiguration]:
        """Returns the kept configurations, newest first."""
        return list(reversed(self._configurations))

    def find(self, version: int) -> HistoricConfiguration | None:
        """Returns a version, or the one in force for 0; None if not kept."""
        for configuration in self.newest_first():
            if version in (0, configuration.version):
                return configuration
        return None
