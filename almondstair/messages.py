"""The typed messages between entries and their encoding.

A message on the wire is one frame: one byte for the tag and the fields as
msgpack. The sender is not in it; the socket's identity names it once for each
connection, which keeps heartbeats small.

Other modules that own a protocol between entries add their message types by
`register` under a tag reserved in `Tag`, so the list of tags stays closed and
stands in one place.
"""

import enum
from typing import Any, NamedTuple, TypeVar
import zlib

import msgspec

from almondstair.core.entry_table import EntryTable
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# A frame holds at most one document of the platform (a megabyte) and its
# metadata. A longer one is refused by the receiving socket.
FRAME_LIMIT_BYTES = 1_200_000
# A document is at most this long once unpacked; without the limit a short
# frame could unpack to more memory than the VM has.
TEXT_LIMIT_BYTES = 16_000_000

MessageType = TypeVar("MessageType", bound=type)


class Tag(enum.IntEnum):
    """Every kind of message between entries; numbers are never reused."""

    HEARTBEAT = 1
    GROUP_VIEW = 2
    ZONE_DIGESTS = 3
    TABLE_REQUEST = 4
    TABLE_DOCUMENT = 5
    CONFIGURATION_REQUEST = 6
    CONFIGURATION_DOCUMENT = 7
    STATUS_DETAIL = 8
    LOAN_REQUEST = 16
    LOAN = 17
    EPOCH_ACKNOWLEDGED = 18
    DUTY_RELEASED = 19


class Heartbeat(NamedTuple):
    """What an entry says of itself, made for one receiver.

    Attributes:
      incarnation: random number of the sender's process.
      sequence: number of this heartbeat within the incarnation.
      epoch: epoch of the entry table that the sender acts on and so
        acknowledges.
      configuration_version: version that the sender has in force.
      leaving: whether the sender takes no new work.
      finished: whether the sender gave up every duty for good.
      echo_incarnation: the receiver's incarnation as last heard, 0 for none.
      echo_sequence: latest heartbeat of the receiver that the sender had. It
        dates the acknowledgement: one that was delayed on its way echoes an
        old sequence, so it cannot pass for a fresh one.
    """

    incarnation: int
    sequence: int
    epoch: int
    configuration_version: int
    leaving: bool = False
    finished: bool = False
    echo_incarnation: int = 0
    echo_sequence: int = 0


class ServiceLoad(NamedTuple):
    """Load of one service on the upstreams of one home or zone.

    Attributes:
      service: name of the service.
      slots: usable slots.
      free_slots: those of them that are free.
      age_ms: age of the figures when they were sent.
    """

    service: str
    slots: int
    free_slots: int
    age_ms: int


class QuarantinePrint(NamedTuple):
    """One struck or quarantined request.

    Attributes:
      fingerprint: digest of the request.
      strikes: names of the upstreams that it struck.
      left_ms: time until it is forgotten.
    """

    fingerprint: int
    strikes: tuple[str, ...]
    left_ms: int


class StatusDetail(NamedTuple):
    """What an entry says of its upstreams, to the entries near it.

    Attributes:
      loads: load by service over the upstreams that it is home of.
      leaving_upstreams: upstreams that it knows to be leaving.
      prints: requests that crashed upstreams.
    """

    loads: tuple[ServiceLoad, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()
    prints: tuple[QuarantinePrint, ...] = ()


class GroupView(NamedTuple):
    """How lately the sender heard each entry of its group, itself or relayed.

    Attributes:
      epoch: entry table whose order of names the bytes follow.
      ages: one byte an entry, its age in `AGE_UNIT_S`; 255 for unheard.
      versions_behind: one byte an entry, configuration versions that it lacks
        against `configuration_version`; 255 for 255 or more or unknown.
      configuration_version: highest version that the sender knows of.
    """

    epoch: int
    ages: bytes
    versions_behind: bytes
    configuration_version: int


class ZoneDigest(NamedTuple):
    """One availability zone in few bytes, relayed to far entries.

    Attributes:
      availability_zone: the zone.
      epoch: entry table whose order of names the bits follow.
      live_bits: one bit an entry, set if it is heard and not leaving.
      lowest_version: lowest configuration version in force over all of the
        zone's entries; 0 if one is unheard.
      age_ms: age when sent, grown on each relay.
      loads: load by service over the zone's upstreams.
    """

    availability_zone: str
    epoch: int
    live_bits: bytes
    lowest_version: int
    age_ms: int
    loads: tuple[ServiceLoad, ...] = ()


class ZoneDigests(NamedTuple):
    """Some zones' digests."""

    digests: tuple[ZoneDigest, ...]


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
register(tag=Tag.GROUP_VIEW, message_type=GroupView)
register(tag=Tag.ZONE_DIGESTS, message_type=ZoneDigests)
register(tag=Tag.TABLE_REQUEST, message_type=TableRequest)
register(tag=Tag.TABLE_DOCUMENT, message_type=TableDocument)
register(tag=Tag.CONFIGURATION_REQUEST, message_type=ConfigurationRequest)
register(tag=Tag.CONFIGURATION_DOCUMENT, message_type=ConfigurationDocument)
register(tag=Tag.STATUS_DETAIL, message_type=StatusDetail)
