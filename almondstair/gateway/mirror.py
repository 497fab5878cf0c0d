"""A copy of the store's data, served to other entries."""

from typing import NamedTuple
import uuid
import zlib

import msgspec

from almondstair.core.revisions import Revision

# Removals are forgotten once there are more keys than this. Entries poll about
# twice a second; one whose last poll precedes a forgotten removal gets a full
# listing.
MAX_KEYS = 2000
# Values from this size on are compressed. Registrations have a few hundred
# bytes; the emulator's configuration with 1,400 routes has 292 kB, and 8.9 kB
# compressed.
MIN_COMPRESSED_BYTES = 4096
COMPRESSION_LEVEL = 1
# Longest value that is decompressed. A value of the store has 1 MiB at most.
MAX_VALUE_BYTES = 16 * 1024 * 1024


class MirrorItem(msgspec.Struct, array_like=True):
    """A key and its value, as sent to other entries.

    Attributes:
      key: the key.
      value: its value; None if it was removed.
      number: number of the store's revision of its last change.
      compressed: whether the value is compressed.
      epoch: epoch in which the number is counted.
    """

    key: str
    value: bytes | None
    number: int
    compressed: bool = False
    epoch: int = 0

    @property
    def revision(self) -> Revision:
        """Returns the store's revision of its last change."""
        return Revision(self.epoch, self.number)

    def decompressed(self) -> bytes | None:
        """Returns the value as it is in the store.

        Raises:
          zlib.error: the compressed value is invalid, or too long.
        """
        if self.value is None or not self.compressed:
            return self.value
        decompressor = zlib.decompressobj()
        value = decompressor.decompress(self.value, MAX_VALUE_BYTES)
        if not decompressor.eof:
            raise zlib.error("the value is incomplete or too long")
        return value


def _make_item(key: str, value: bytes, revision: Revision) -> MirrorItem:
    """Returns an item, compressed once for all entries that will poll it.

    Without compression, a reader on a link of 10 Mbit/s that sends a large
    configuration to each entry of its zone would take longer than the operators
    allow.
    """
    if len(value) < MIN_COMPRESSED_BYTES:
        return MirrorItem(
            key=key, value=value, number=revision.number, epoch=revision.epoch
        )
    return MirrorItem(
        key=key,
        value=zlib.compress(value, COMPRESSION_LEVEL),
        number=revision.number,
        compressed=True,
        epoch=revision.epoch,
    )


class MirrorPage(msgspec.Struct, array_like=True):
    """Response to an entry that polls for changes.

    Attributes:
      source: the mirror's incarnation, in which `last_number` is counted.
      last_number: number of the last change.
      number: number of the store's revision that the mirror reflects.
      age_s: age of the mirror's data, in seconds.
      listing: whether the items are a full listing.
      items: the changed items, or all, with those removed in this epoch.
      epoch: epoch in which the number is counted.
    """

    source: str
    last_number: int
    number: int
    age_s: float
    listing: bool
    items: list[MirrorItem]
    epoch: int = 0

    @property
    def revision(self) -> Revision:
        """Returns the store's revision that the mirror reflects."""
        return Revision(self.epoch, self.number)


class _Change(NamedTuple):
    number: int
    item: MirrorItem


class Mirror:
    """Keeps the last relevant change of each key, numbered in order."""

    def __init__(self) -> None:
        """Creates an empty mirror."""
        self._source = uuid.uuid4().hex
        self._number = 0
        self._last_forgotten = 0
        self._changes: dict[str, _Change] = {}

    def put(self, key: str, value: bytes, revision: Revision) -> None:
        """Stores a changed value that is relevant to other entries."""
        self._add(_make_item(key, value, revision))

    def remove(self, key: str, revision: Revision) -> None:
        """Records the removal of a key."""
        if key not in self._changes:
            return
        self._add(
            MirrorItem(
                key=key,
                value=None,
                number=revision.number,
                epoch=revision.epoch,
            )
        )

    def _add(self, item: MirrorItem) -> None:
        self._number += 1
        self._changes.pop(item.key, None)
        self._changes[item.key] = _Change(number=self._number, item=item)
        if len(self._changes) > MAX_KEYS:
            self._forget_removals()

    def _forget_removals(self) -> None:
        for key in list(self._changes):
            change = self._changes[key]
            if change.item.value is None:
                self._last_forgotten = max(self._last_forgotten, change.number)
                del self._changes[key]

    def page(
        self, *, source: str, after: int, revision: Revision, age_s: float
    ) -> MirrorPage:
        """Returns the changes after a number, or a full listing.

        A listing has the removals of the current epoch too. To an entry that
        learns of the epoch by it, what is missing has only lapsed.

        Args:
          source: incarnation of the mirror in which `after` is counted.
          after: number of the last change that the polling entry has.
          revision: the store's revision that this entry's data reflects.
          age_s: age of this entry's data, in seconds.
        """
        listing = source != self._source or after < self._last_forgotten
        items = []
        for change in self._changes.values():
            removed = change.item.value is None
            if listing and removed and change.item.epoch != revision.epoch:
                continue
            if listing or change.number > after:
                items.append(change.item)
        return MirrorPage(
            source=self._source,
            last_number=self._number,
            number=revision.number,
            age_s=age_s,
            listing=listing,
            items=items,
            epoch=revision.epoch,
        )
