"""What an entry took from the store, kept for entries that ask it."""

from typing import NamedTuple
import uuid
import zlib

import msgspec

# How long a removal is remembered. An entry that asks again later gets a whole
# listing; one polls twice a second.
REMOVAL_MEMORY = 2000
# Values from this size on are told compressed. Registrations have a few hundred
# bytes; a configuration of the emulator's with 1,400 routes 292 kB, and 8.9 kB
# compressed.
PACK_BYTES = 4096
PACK_LEVEL = 1


class MirrorItem(msgspec.Struct, array_like=True):
    """One key as it is told.

    Attributes:
      key: the key.
      value: its value; None says that it is gone.
      revision: the store's revision of its last change.
      packed: whether the value is compressed.
    """

    key: str
    value: bytes | None
    revision: int
    packed: bool = False

    def unpacked(self) -> bytes | None:
        """Returns the value as the store has it.

        Raises:
          zlib.error: it is no compressed value.
        """
        if self.value is None or not self.packed:
            return self.value
        return zlib.decompress(self.value)


def _told(key: str, value: bytes, revision: int) -> MirrorItem:
    """Returns an item, compressed once for all entries that will ask for it.

    What goes wrong without: a reader behind a link of 10 Mbit/s gives a large
    configuration to each entry of its zone, which takes longer than the
    operators allow for all of them.
    """
    if len(value) < PACK_BYTES:
        return MirrorItem(key=key, value=value, revision=revision)
    return MirrorItem(
        key=key,
        value=zlib.compress(value, PACK_LEVEL),
        revision=revision,
        packed=True,
    )


class MirrorPage(msgspec.Struct, array_like=True):
    """An answer to an entry that asks what has changed.

    Attributes:
      source: the mirror's incarnation, to whose numbers `number` belongs.
      number: number of the last change.
      revision: the store's revision that the mirror is as of.
      age_s: time since the store last answered the mirror's entry.
      listing: whether the items are all there are.
      items: what has changed, or everything.
    """

    source: str
    number: int
    revision: int
    age_s: float
    listing: bool
    items: list[MirrorItem]


class _Kept(NamedTuple):
    number: int
    item: MirrorItem


class Mirror:
    """Keys with the number of their last change that matters."""

    def __init__(self) -> None:
        """Starts empty."""
        self._source = uuid.uuid4().hex
        self._number = 0
        self._oldest = 0
        self._kept: dict[str, _Kept] = {}

    def put(self, key: str, value: bytes, revision: int) -> None:
        """Keeps a key whose change matters to others."""
        self._keep(_told(key, value, revision))

    def remove(self, key: str, revision: int) -> None:
        """Notes that a key is gone."""
        if key in self._kept:
            self._keep(MirrorItem(key=key, value=None, revision=revision))

    def _keep(self, item: MirrorItem) -> None:
        self._number += 1
        self._kept.pop(item.key, None)
        self._kept[item.key] = _Kept(number=self._number, item=item)
        if len(self._kept) > REMOVAL_MEMORY:
            self._forget_removals()

    def _forget_removals(self) -> None:
        for key in list(self._kept):
            kept = self._kept[key]
            if kept.item.value is None:
                self._oldest = max(self._oldest, kept.number)
                del self._kept[key]

    def page(
        self, *, source: str, after: int, revision: int, age_s: float
    ) -> MirrorPage:
        """Returns what changed after a number, or everything.

        Args:
          source: incarnation that the asker's number belongs to.
          after: number of the last change that the asker has.
          revision: the store's revision that this entry is as of.
          age_s: time since the store last answered this entry.
        """
        listing = source != self._source or after < self._oldest
        items = []
        for kept in self._kept.values():
            if listing and kept.item.value is None:
                continue
            if listing or kept.number > after:
                items.append(kept.item)
        return MirrorPage(
            source=self._source,
            number=self._number,
            revision=revision,
            age_s=age_s,
            listing=listing,
            items=items,
        )
