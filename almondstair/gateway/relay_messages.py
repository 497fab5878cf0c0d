"""Headers of requests that one entry sends through another."""

from typing import NamedTuple

from almondstair.decoding import parse_finite
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.gateway.http_encoding import Headers
from almondstair.gateway.http_encoding import find_header
from almondstair.gateway.http_encoding import find_headers

# Headers of a relayed request.
_ENTRY = b"x-relay-entry"
_SERVICE = b"x-relay-service"
_ORGANISATION = b"x-relay-organisation"
_FINGERPRINT = b"x-relay-fingerprint"
_TRIED = b"x-relay-tried"
_RESTING = b"x-relay-resting"
_ATTEMPTS = b"x-relay-attempts"
_AGE = b"x-relay-age-ms"
# Headers of a response of the other entry's own: its error kind, and whether
# the request may have run.
_KIND = b"x-relay-error"
_RAN = b"x-relay-ran"
# Headers of any response: upstreams that said that they leave, and that asked
# for rest.
_LEAVING = b"x-relay-leaving"
_RESTS = b"x-relay-rests"

HEADERS = frozenset(
    (
        _ENTRY,
        _SERVICE,
        _ORGANISATION,
        _FINGERPRINT,
        _TRIED,
        _RESTING,
        _ATTEMPTS,
        _AGE,
        _KIND,
        _RAN,
        _LEAVING,
        _RESTS,
    )
)
# Longest lists of upstreams that a relayed request, or its response, may name.
_MAX_TRIED = 64
MAX_RESTING = 64
_MAX_LEAVING = 64
_MAX_AGE_S = 3600.0
_HASH_RANGE = 1 << 64
# Longest number in a header: the digits of a hash.
_MAX_NUMBER_CHARACTERS = 20


class RelayedRequest(NamedTuple):
    """What an entry tells of a request that it sends through another.

    Attributes:
      entry: name of the entry that its caller reached.
      service: the service that handles it.
      organisation: name of the caller's organisation, empty if none.
      fingerprint: its fingerprint.
      tried: ids of the upstreams that may have run it.
      attempts: number of upstreams that got it.
      age_s: time since it arrived at that entry, in seconds.
      resting: ids of upstreams that asked that entry for rest.
    """

    entry: str
    service: str
    organisation: str
    fingerprint: int
    tried: tuple[str, ...]
    attempts: int
    age_s: float
    resting: tuple[str, ...] = ()


def encode_request(relayed: RelayedRequest) -> Headers:
    """Returns the headers of a relayed request."""
    headers = [
        (_ENTRY, relayed.entry.encode()),
        (_SERVICE, relayed.service.encode()),
        (_FINGERPRINT, b"%x" % relayed.fingerprint),
        (_ATTEMPTS, b"%d" % relayed.attempts),
        (_AGE, b"%d" % round(relayed.age_s * 1000)),
    ]
    if relayed.organisation:
        headers.append((_ORGANISATION, relayed.organisation.encode()))
    if relayed.tried:
        headers.append((_TRIED, ",".join(relayed.tried).encode()))
    if relayed.resting:
        headers.append((_RESTING, ",".join(relayed.resting).encode()))
    return headers


def decode_request(headers: Headers) -> RelayedRequest:
    """Reads the headers of a relayed request.

    Raises:
      AlmondstairError: `bad_request`, with the header that is wrong.
    """
    age_s = _number(headers, _AGE, base=10) / 1000
    if age_s > _MAX_AGE_S:
        raise _invalid(_AGE)
    fingerprint = _number(headers, _FINGERPRINT, base=16)
    if fingerprint >= _HASH_RANGE:
        raise _invalid(_FINGERPRINT)
    return RelayedRequest(
        entry=_text(headers, _ENTRY, required=True),
        service=_text(headers, _SERVICE, required=True),
        organisation=_text(headers, _ORGANISATION, required=False),
        fingerprint=fingerprint,
        tried=_names(headers, _TRIED, most=_MAX_TRIED),
        attempts=_number(headers, _ATTEMPTS, base=10),
        age_s=age_s,
        resting=_names(headers, _RESTING, most=MAX_RESTING),
    )


def encode_error(error: AlmondstairError) -> Headers:
    """Returns the headers that tell an error to the relaying entry."""
    return [(_KIND, str(error.kind).encode()), (_RAN, str(error.ran).encode())]


def decode_error(headers: Headers) -> AlmondstairError | None:
    """Returns the other entry's error; None for an upstream's response."""
    kind = find_header(headers, _KIND)
    if kind is None:
        return None
    ran = find_header(headers, _RAN)
    try:
        return AlmondstairError(
            kind=ErrorKind(kind.decode("latin-1")),
            ran=Ran((ran or b"").decode("latin-1")),
            retry_after_ms=_retry_after_ms(headers),
            # The other entry has stated the delay of the kind, or decided
            # that there is none.
            uses_default_retry=False,
        )
    except ValueError:
        # A newer version has a kind that this one does not know.
        return AlmondstairError(kind=ErrorKind.ENTRY_LOST, ran=Ran.UNKNOWN)


def encode_leaving(upstreams: list[int]) -> Headers:
    """Returns the header that tells which upstreams said that they leave.

    Args:
      upstreams: hashes of their incarnations.
    """
    if not upstreams:
        return []
    text = ",".join(f"{upstream:x}" for upstream in upstreams)
    return [(_LEAVING, text.encode())]


def decode_leaving(headers: Headers) -> list[int]:
    """Returns hashes of the upstreams that said that they leave.

    Raises:
      AlmondstairError: `bad_request`, if the header is wrong.
    """
    parts = _names(headers, _LEAVING, most=_MAX_LEAVING)
    return [_hexadecimal(part, _LEAVING) for part in parts]


def encode_rests(rests: list[tuple[int, int]]) -> Headers:
    """Returns the header that tells which upstreams asked for rest.

    Args:
      rests: hashes of their incarnations, and how long in milliseconds.
    """
    if not rests:
        return []
    text = ",".join(f"{upstream:x}:{left_ms:x}" for upstream, left_ms in rests)
    return [(_RESTS, text.encode())]


def decode_rests(headers: Headers) -> list[tuple[int, int]]:
    """Returns hashes of upstreams that asked for rest, and how long in ms.

    Raises:
      AlmondstairError: `bad_request`, if the header is wrong.
    """
    rests = []
    for part in _names(headers, _RESTS, most=MAX_RESTING):
        upstream, _, left_ms = part.partition(":")
        rests.append(
            (_hexadecimal(upstream, _RESTS), _hexadecimal(left_ms, _RESTS))
        )
    return rests


def _retry_after_ms(headers: Headers) -> int | None:
    value = find_header(headers, b"retry-after")
    seconds = None if value is None else parse_finite(value)
    if seconds is None or not 0 <= seconds <= _MAX_AGE_S:
        return None
    return round(seconds * 1000)


def _names(headers: Headers, name: bytes, *, most: int) -> tuple[str, ...]:
    """Returns the names in a header, separated by commas."""
    text = _text(headers, name, required=False)
    found = tuple(text.split(",")) if text else ()
    if len(found) > most:
        raise _invalid(name)
    return found


def _text(headers: Headers, name: bytes, *, required: bool) -> str:
    values = find_headers(headers, name)
    if len(values) > 1 or (required and not values):
        raise _invalid(name)
    if not values:
        return ""
    try:
        return values[0].decode()
    except UnicodeDecodeError as error:
        raise _invalid(name) from error


def _number(headers: Headers, name: bytes, *, base: int) -> int:
    return _integer(_text(headers, name, required=True), name, base=base)


def _hexadecimal(text: str, name: bytes) -> int:
    value = _integer(text, name, base=16)
    if value >= _HASH_RANGE:
        raise _invalid(name)
    return value


def _integer(text: str, name: bytes, *, base: int) -> int:
    # int() also takes signs, spaces and underscores.
    if not text.isalnum() or not text.isascii():
        raise _invalid(name)
    if len(text) > _MAX_NUMBER_CHARACTERS:
        raise _invalid(name)
    try:
        return int(text, base)
    except ValueError as error:
        raise _invalid(name) from error


def _invalid(name: bytes) -> AlmondstairError:
    return AlmondstairError(
        kind=ErrorKind.BAD_REQUEST,
        detail=f"{name.decode()} is missing or wrong",
    )
