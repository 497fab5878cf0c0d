"""The typed messages between entries and their encoding.

A message on the wire is one frame: one byte for the tag and the fields as
msgpack. The sender is not in it; the socket's identity names it once for each
connection, which keeps heartbeats small.

Other modules that own a protocol between entries add their message types by
`register` under a tag reserved in `Tag`, so the list of tags stays closed and
stands in one place.
"""

import enum
from typing import Any, NamedTuple
import zlib

import msgspec

from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_words import GroupView
from almondstair.core.heartbeat_words import StatusDetail
from almondstair.core.heartbeat_words import ZoneDigest
from almondstair.core.home_records import HomesReport
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# A frame holds at most one document of the platform (a megabyte) and its
# metadata. A longer one is refused by the receiving socket.
FRAME_LIMIT_BYTES = 1_200_000
# A document is at most this long once unpacked; without the limit a short
# frame could unpack to more memory than the VM has.
TEXT_LIMIT_BYTES = 16_000_000


class Tag(enum.IntEnum):
    """Every kind of message between entries; numbers are never reused."""

    HEARTBEAT = 1
    TABLE_REQUEST = 2
    TABLE_DOCUMENT = 3
    CONFIGURATION_REQUEST = 4
    CONFIGURATION_DOCUMENT = 5
    LOAN_REQUEST = 16
    LOAN = 17
    HOMES_REPORT = 18
    LINK_EPOCH = 19
    STRIKE_WORD = 20


class Heartbeat(NamedTuple):
    """What an entry says of itself, made for one receiver.

    The parts that are not always sent ride along rather than in messages of
    their own, because a packet's headers cost as much as a heartbeat.

    Attributes:
      sequence: number of this heartbeat within the sender's incarnation.
      epoch: epoch of the entry table that the sender acts on and so
        acknowledges.
      configuration_version: version that the sender has in force.
      leaving: whether the sender takes no new work.
      finished: whether the sender gave up every duty for good.
      detail: the sender's upstreams.
      view: whom the sender heard in its group, when the group is large.
      digests: availability zones beyond the group.
      sent_s: the sender's clock at sending; only differences tell anything.
    """

    sequence: int
    epoch: int
    configuration_version: int
    leaving: bool = False
    finished: bool = False
    detail: StatusDetail | None = None
    view: GroupView | None = None
    digests: tuple[ZoneDigest, ...] = ()
    sent_s: float = 0.0


class TableRequest(NamedTuple):
    """Asks a peer for its entry table.

    Attributes:
      peer_address: where to send it: the asker may not be in the table yet.
      epoch: epoch that the asker has.
    """

    peer_address: str
    epoch: int


class TableDocument(NamedTuple):
    """An entry table."""

    table: EntryTable


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its configuration.

    Attributes:
      peer_address: where to send it: the asker may not be in the table yet.
      version: version that the asker has in force; 0 for none.
    """

    peer_address: str
    version: int


class ConfigurationDocument(NamedTuple):
    """A stored configuration, as the platform keeps it, compressed.

    Attributes:
      packed: the encoded `StoredConfiguration`, by zlib.
    """

    packed: bytes


class LinkEpoch(NamedTuple):
    """Acknowledges an epoch of the entry table for every link of the sender.

    Attributes:
      epoch: the sender uses no share of an older epoch any more.
    """

    epoch: int


_types_by_tag: dict[int, type] = {}
_tags_by_type: dict[type, int] = {}
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}


def register(*, tag: Tag, message_type: type) -> None:
    """Binds a tag to the one NamedTuple type that it stands for.

    Raises:
      ValueError: if the tag or the type is already bound otherwise.
    """
    if _types_by_tag.get(tag, message_type) is not message_type:
        raise ValueError(f"tag {tag!r} is taken by {_types_by_tag[tag]}")
    if _tags_by_type.get(message_type, tag) != tag:
        raise ValueError(f"{message_type} already has a tag")
    _types_by_tag[tag] = message_type
    _tags_by_type[message_type] = tag
    _decoders[tag] = msgspec.msgpack.Decoder(message_type)


def encode(message: NamedTuple) -> bytes:
    """Returns the frame of a message of a registered type."""
    tag = _tags_by_type[type(message)]
    return bytes((tag,)) + _encoder.encode(message)


def decode(frame: bytes) -> Any:
    """Returns the message of a frame.

    Raises:
      AlmondstairError: BAD_REQUEST if the tag is not known or the fields do
        not fit its type, as from an entry of another release.
    """
    if not frame:
        raise _unreadable("empty frame")
    decoder = _decoders.get(frame[0])
    if decoder is None:
        raise _unreadable(f"unknown tag {frame[0]}")
    try:
        return decoder.decode(memoryview(frame)[1:])
    except msgspec.DecodeError as error:
        raise _unreadable(f"tag {frame[0]}: {error}") from error


def pack(data: bytes) -> bytes:
    """Returns data compressed, for documents."""
    return zlib.compress(data)


def unpack(data: bytes) -> bytes:
    """Returns data as it was before `pack`.

    Raises:
      AlmondstairError: BAD_REQUEST if it is damaged or over the limit.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, TEXT_LIMIT_BYTES)
    except zlib.error as error:
        raise _unreadable(f"document: {error}") from error
    if not unpacker.eof:
        raise _unreadable("document cut short or over the limit")
    return plain


def _unreadable(detail: str) -> AlmondstairError:
    return AlmondstairError(
        kind=ErrorKind.BAD_REQUEST, detail=f"message of a peer: {detail}"
    )


register(tag=Tag.HEARTBEAT, message_type=Heartbeat)
register(tag=Tag.TABLE_REQUEST, message_type=TableRequest)
register(tag=Tag.TABLE_DOCUMENT, message_type=TableDocument)
register(tag=Tag.CONFIGURATION_REQUEST, message_type=ConfigurationRequest)
register(tag=Tag.CONFIGURATION_DOCUMENT, message_type=ConfigurationDocument)
register(tag=Tag.LOAN_REQUEST, message_type=LoanRequest)
register(tag=Tag.LOAN, message_type=Loan)
register(tag=Tag.HOMES_REPORT, message_type=HomesReport)
register(tag=Tag.LINK_EPOCH, message_type=LinkEpoch)
