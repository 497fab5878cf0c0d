"""The table from blocks of client addresses to sites.

A block is a /24 network of IPv4 (24 bits) or a /48 network of IPv6 (48 bits).
Flat sorted arrays take a few bytes per block for a million blocks, where a dict
would take more than a hundred. The platform limits a value to a megabyte, so
the table is stored as shards.
"""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
import operator
import sys
from typing import NamedTuple

import msgspec

from almondstair.core.lookup import IPV4_BLOCK_BYTES
from almondstair.core.lookup import IPV6_BLOCK_BYTES
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# Leaves space for the key and the framing of a write within a megabyte.
SHARD_LIMIT_BYTES = 900_000
NO_SITE = None
_SHARD_OVERHEAD_BYTES = 200
_SITE_CODE = "H"
_SITE_BITS = 16
_HIGHEST_SITE = 0xFFFF


class BlockSite(NamedTuple):
    """A block and the number of its site.

    Attributes:
      block: 3 bytes for an IPv4 /24, 6 bytes for an IPv6 /48.
      site: number of the site, 0 to 65535.
    """

    block: bytes
    site: int


class BlockShard(NamedTuple):
    """A part of the table as the platform stores it.

    Attributes:
      version: version of the whole table.
      number: index of this shard, from 0; a later one holds higher blocks.
      shard_count: number of shards of the table.
      block_bytes: 3 or 6, the same for the whole shard.
      blocks: ascending block numbers, as little-endian words of 4 bytes (IPv4)
        or 8 bytes (IPv6).
      sites: their sites, as little-endian words of 2 bytes.
    """

    version: int
    number: int
    shard_count: int
    block_bytes: int
    blocks: bytes
    sites: bytes


class _Family:
    """Sorted blocks of one address family in two flat arrays."""

    __slots__ = ("block_bytes", "blocks", "sites")

    def __init__(self, *, block_bytes: int) -> None:
        self.block_bytes = block_bytes
        self.blocks = _block_array(block_bytes=block_bytes)
        self.sites = array(_SITE_CODE)

    def site(self, *, number: int) -> int | None:
        position = bisect_left(self.blocks, number)
        if position == len(self.blocks):
            return NO_SITE
        if self.blocks[position] != number:
            return NO_SITE
        return self.sites[position]


class BlockTable:
    """Sites of client blocks; immutable once built."""

    def __init__(self, *, version: int = 0) -> None:
        """Makes an empty table.

        Args:
          version: version of the table.
        """
        self.version = version
        self._ipv4 = _Family(block_bytes=IPV4_BLOCK_BYTES)
        self._ipv6 = _Family(block_bytes=IPV6_BLOCK_BYTES)

    def site(self, *, block: bytes) -> int | None:
        """Returns the site of a block, None if it is not in the table."""
        number = int.from_bytes(block)
        if len(block) == IPV4_BLOCK_BYTES:
            return self._ipv4.site(number=number)
        return self._ipv6.site(number=number)

    def __len__(self) -> int:
        """Returns the number of blocks."""
        return len(self._ipv4.blocks) + len(self._ipv6.blocks)

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays in bytes."""
        size_bytes = 0
        for family in (self._ipv4, self._ipv6):
            size_bytes += sys.getsizeof(family.blocks)
            size_bytes += sys.getsizeof(family.sites)
        return size_bytes

    def shards(self) -> tuple[bytes, ...]:
        """Returns the table as encoded shards for the platform's service."""
        parts: list[BlockShard] = []
        for family in (self._ipv4, self._ipv6):
            parts.extend(_split_into_shards(family=family))
        values: list[bytes] = []
        for number, part in enumerate(parts):
            shard = part._replace(
                version=self.version, number=number, shard_count=len(parts)
            )
            values.append(msgspec.msgpack.encode(shard))
        return tuple(values)

    def family(self, *, block_bytes: int) -> _Family:
        """Returns the family whose blocks have `block_bytes` bytes.

        Raises:
          AlmondstairError: CONFIGURATION_INVALID if there is none.
        """
        for family in (self._ipv4, self._ipv6):
            if family.block_bytes == block_bytes:
                return family
        raise _invalid(f"a block of {block_bytes} bytes")


def table_from_rows(
    *, rows: Iterable[BlockSite], version: int = 0
) -> BlockTable:
    """Returns a table built from rows in any order.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID if a block is neither 3 nor 6
        bytes, is listed with two sites, or a site is out of range.
    """
    rows_by_block_bytes: dict[int, list[int]] = {
        IPV4_BLOCK_BYTES: [],
        IPV6_BLOCK_BYTES: [],
    }
    for row in rows:
        if len(row.block) not in rows_by_block_bytes:
            raise _invalid(f"a block of {len(row.block)} bytes")
        if not 0 <= row.site <= _HIGHEST_SITE:
            raise _invalid(f"site number {row.site}")
        # Block and site share an integer, so that one sort orders both.
        packed_row = int.from_bytes(row.block) << _SITE_BITS | row.site
        rows_by_block_bytes[len(row.block)].append(packed_row)
    table = BlockTable(version=version)
    for block_bytes, unsorted_rows in rows_by_block_bytes.items():
        family = table.family(block_bytes=block_bytes)
        previous = -1
        for packed_row in sorted(set(unsorted_rows)):
            block = packed_row >> _SITE_BITS
            if block == previous:
                raise _invalid(f"block {block:x} with two sites")
            previous = block
            family.blocks.append(block)
            family.sites.append(packed_row & _HIGHEST_SITE)
    return table


class ShardReader:
    """Assembles a table from its shards, in any order.

    Shards are validated and stored as whole arrays, one at a time: a million
    rows at once would block the event loop of an entry.
    """

    def __init__(self) -> None:
        """Makes a reader without shards."""
        self._families: dict[int, _Family] = {}
        self._versions: set[int] = set()
        self._shard_counts: set[int] = set()

    def add(self, *, value: bytes) -> None:
        """Adds a shard.

        Raises:
          AlmondstairError: CONFIGURATION_INVALID if it cannot be decoded or
            its rows are not sorted. Bisection over unsorted rows would miss
            blocks that are in the table.
        """
        try:
            shard = msgspec.msgpack.decode(value, type=BlockShard)
        except msgspec.MsgspecError as error:
            raise _invalid(f"an unreadable shard ({error})") from error
        self._versions.add(shard.version)
        self._shard_counts.add(shard.shard_count)
        self._families[shard.number] = _read_rows(shard=shard)

    def table(self) -> BlockTable:
        """Returns the table; every shard must have been added.

        Raises:
          AlmondstairError: CONFIGURATION_INVALID if shards are missing, belong
            to different versions or overlap. Callers in a missing shard would
            have no site.
        """
        complete = self._shard_counts == {len(self._families)}
        if not complete or len(self._versions) != 1:
            raise _invalid("shards that do not make up one table")
        (version,) = self._versions
        table = BlockTable(version=version)
        for number in sorted(self._families):
            part = self._families[number]
            whole = table.family(block_bytes=part.block_bytes)
            if whole.blocks and whole.blocks[-1] >= part.blocks[0]:
                raise _invalid("shards out of order")
            whole.blocks.extend(part.blocks)
            whole.sites.extend(part.sites)
        return table


def table_from_shards(*, values: Iterable[bytes]) -> BlockTable:
    """Returns the table assembled from all of its shards.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID, as `ShardReader` describes.
    """
    reader = ShardReader()
    for value in values:
        reader.add(value=value)
    return reader.table()


def _read_rows(*, shard: BlockShard) -> _Family:
    rows = _Family(block_bytes=shard.block_bytes)
    try:
        rows.blocks.frombytes(shard.blocks)
        rows.sites.frombytes(shard.sites)
    except ValueError as error:
        raise _invalid("a shard with half a row") from error
    _to_little_endian(words=rows.blocks)
    _to_little_endian(words=rows.sites)
    if len(rows.blocks) != len(rows.sites) or not rows.blocks:
        raise _invalid("a shard with no rows, or blocks without sites")
    if not all(map(operator.lt, rows.blocks, rows.blocks[1:])):
        raise _invalid("a shard out of order")
    return rows


def _split_into_shards(*, family: _Family) -> list[BlockShard]:
    """Returns the shards of a family; the caller numbers them."""
    row_bytes = family.blocks.itemsize + family.sites.itemsize
    max_rows = (SHARD_LIMIT_BYTES - _SHARD_OVERHEAD_BYTES) // row_bytes
    parts: list[BlockShard] = []
    for start in range(0, len(family.blocks), max_rows):
        blocks = family.blocks[start : start + max_rows]
        sites = family.sites[start : start + max_rows]
        _to_little_endian(words=blocks)
        _to_little_endian(words=sites)
        part = BlockShard(
            version=0,
            number=0,
            shard_count=0,
            block_bytes=family.block_bytes,
            blocks=blocks.tobytes(),
            sites=sites.tobytes(),
        )
        parts.append(part)
    return parts


def _block_array(*, block_bytes: int) -> "array[int]":
    # These type codes are 4 and 8 bytes on every platform of CPython.
    if block_bytes == IPV4_BLOCK_BYTES:
        return array("I")
    return array("Q")


def _to_little_endian(*, words: "array[int]") -> None:
    """Converts words from native byte order to little-endian, or back."""
    if sys.byteorder != "little":
        words.byteswap()


def _invalid(found: str) -> AlmondstairError:
    return AlmondstairError(
        kind=ErrorKind.CONFIGURATION_INVALID,
        detail=f"The table of client blocks holds {found}; load it again",
    )
