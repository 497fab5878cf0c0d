"""Typed messages between entries and their encoding.

A message on the wire is one frame: one byte for the tag, then the fields as
msgpack. It does not contain the sender, which the socket's identity names once
per connection; this keeps heartbeats small.

Modules that implement other protocols between entries add their message types
with `register`, under a tag reserved in `Tag`, so that all tags are defined in
one place.
"""

import enum
from typing import Any, NamedTuple
import zlib

import msgspec

from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_payloads import GroupView
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.heartbeat_payloads import ZoneDigest
from almondstair.core.home_records import HomesReport
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# A frame holds at most one document of the platform (a megabyte) and its
# metadata. The receiving socket rejects longer ones.
FRAME_LIMIT_BYTES = 1_200_000
# Maximum length of a decompressed document. Without it, a short frame could
# decompress to more memory than the VM has.
TEXT_LIMIT_BYTES = 16_000_000


class Tag(enum.IntEnum):
    """Tags of the messages between entries; numbers are never reused."""

    HEARTBEAT = 1
    TABLE_REQUEST = 2
    TABLE_DOCUMENT = 3
    CONFIGURATION_REQUEST = 4
    CONFIGURATION_DOCUMENT = 5
    LOAN_REQUEST = 16
    LOAN = 17
    HOMES_REPORT = 18
    EPOCH_ACKNOWLEDGEMENT = 19
    STRIKE_REPORT = 20


class Heartbeat(NamedTuple):
    """Reports the status of an entry to one receiver.

    Optional parts are fields rather than separate messages, because the headers
    of a packet cost as much as a heartbeat.

    Attributes:
      sequence: number of this heartbeat within the sender's incarnation.
      epoch: epoch of the sender's entry table, which the heartbeat
        acknowledges.
      configuration_version: version that the sender has in force.
      leaving: whether the sender accepts no new work.
      finished: whether the sender has released all its home roles for good.
      detail: status of the sender's upstreams.
      view: which members of its group the sender has heard from, if the group
        is large.
      digests: digests of other availability zones.
      sent_s: send time on the sender's monotonic clock; only differences are
        meaningful.
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
      peer_address: where to send the reply; the requester may not be in the
        table yet.
      epoch: epoch of the requester's table.
    """

    peer_address: str
    epoch: int


class TableDocument(NamedTuple):
    """Carries an entry table."""

    table: EntryTable


class ConfigurationRequest(NamedTuple):
    """Asks a peer for its configuration.

    Attributes:
      peer_address: where to send the reply; the requester may not be in the
        table yet.
      version: version in force on the requester; 0 for none.
    """

    peer_address: str
    version: int


class ConfigurationDocument(NamedTuple):
    """Carries a stored configuration, compressed.

    Attributes:
      packed: the encoded `StoredConfiguration`, compressed with zlib.
    """

    packed: bytes


class EpochAcknowledgement(NamedTuple):
    """Acknowledges an epoch of the entry table for every link of the sender.

    Attributes:
      epoch: the sender no longer uses shares of older epochs.
    """

    epoch: int


_types_by_tag: dict[int, type] = {}
_tags_by_type: dict[type, int] = {}
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}


def register(*, tag: Tag, message_type: type) -> None:
    """Registers the NamedTuple type of a tag.

    Raises:
      ValueError: the tag or the type is already registered differently.
    """
    if _types_by_tag.get(tag, message_type) is not message_type:
        raise ValueError(
            f"tag {tag!r} is already registered for {_types_by_tag[tag]}"
        )
    if _tags_by_type.get(message_type, tag) != tag:
        raise ValueError(f"{message_type} already has a tag")
    _types_by_tag[tag] = message_type
    _tags_by_type[message_type] = tag
    _decoders[tag] = msgspec.msgpack.Decoder(message_type)


def encode(message: NamedTuple) -> bytes:
    """Encodes a message of a registered type as a frame."""
    tag = _tags_by_type[type(message)]
    return bytes((tag,)) + _encoder.encode(message)


def decode(frame: bytes) -> Any:
    """Decodes the message in a frame.

    Raises:
      AlmondstairError: BAD_REQUEST if the tag is unknown or the fields do not
        match its type, e.g. from an entry of another release.
    """
    if not frame:
        raise _decode_error("empty frame")
    decoder = _decoders.get(frame[0])
    if decoder is None:
        raise _decode_error(f"unknown tag {frame[0]}")
    try:
        return decoder.decode(memoryview(frame)[1:])
    except msgspec.DecodeError as error:
        raise _decode_error(f"tag {frame[0]}: {error}") from error


def pack(data: bytes) -> bytes:
    """Compresses a document."""
    return zlib.compress(data)


def unpack(data: bytes) -> bytes:
    """Decompresses a document.

    Raises:
      AlmondstairError: BAD_REQUEST if it is corrupt or over the limit.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, TEXT_LIMIT_BYTES)
    except zlib.error as error:
        raise _decode_error(f"document: {error}") from error
    if not decompressor.eof:
        raise _decode_error("document truncated or over the limit")
    return plain


def _decode_error(detail: str) -> AlmondstairError:
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
register(tag=Tag.EPOCH_ACKNOWLEDGEMENT, message_type=EpochAcknowledgement)
