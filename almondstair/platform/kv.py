"""Client of the platform's key-value store."""

import base64
from collections.abc import Callable
import json
from typing import Annotated, Any, NamedTuple
from urllib import parse

import msgspec

from almondstair.core.revisions import Revision
from almondstair.decoding import decode
from almondstair.decoding import parse_decimal
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.http_encoding import ResponseHead
from almondstair.gateway.http_encoding import find_header
from almondstair.gateway.long_strings import LongStringCutter
from almondstair.gateway.simple_http_client import HttpResponse
from almondstair.gateway.simple_http_client import ResponseTooLongError
from almondstair.gateway.simple_http_client import SimpleHttpClient

# Responses take milliseconds. A longer time means a dead connection or a
# failure of the store.
CALL_TIMEOUT_S = 1.0
# Epoch of the store's history, in each of its responses.
_EPOCH_HEADER = b"store-era"
# Start of an unreadable item that is logged.
_MAX_SHOWN_BYTES = 100
_OK = 200
_NOT_FOUND = 404
_COMPACTED = 410


class Item(NamedTuple):
    """Holds one key of the store at one revision.

    Attributes:
      key: name of the key.
      value: its value, None if the key was removed.
      revision: the store's revision of this change, counted in the epoch in
        which the store listed it.
    """

    key: str
    value: bytes | None
    revision: Revision


class PageTooLongError(AlmondstairError):
    """Raised for a page with more bytes than an entry may hold."""


class Page(NamedTuple):
    """Holds one page of a listing or of changes.

    Attributes:
      items: the keys, or the changes.
      more: whether there are more pages.
      revision: the store's revision that the page reflects.
      unreadable: starts of the items that cannot be decoded.
    """

    items: list[Item]
    more: bool
    revision: Revision
    unreadable: tuple[str, ...] = ()


_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _WireItem(msgspec.Struct, rename="camel"):
    key: str
    revision: _Number = 0
    value: str = ""
    removed: bool = False


class _WirePage(msgspec.Struct, rename="camel"):
    as_of: _Number
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    has_more: bool = False


class _WireParsedPage(msgspec.Struct, rename="camel"):
    """A page of which the JSON is parsed, but no item is decoded."""

    as_of: _Number
    items: list[Any] = []
    events: list[Any] = []
    has_more: bool = False


class _WireLease(msgspec.Struct):
    lease: _Number


_PAGE = msgspec.json.Decoder(_WirePage)
_ITEM = msgspec.json.Decoder(_WireItem)
_LEASE = msgspec.json.Decoder(_WireLease)


def _decode_item(wire: _WireItem, epoch: int) -> Item:
    return Item(
        key=wire.key,
        value=None if wire.removed else _decode_value(wire.value),
        revision=Revision(epoch, wire.revision),
    )


def _decode_value(text: str) -> bytes:
    """Decodes a value; returns the text's own bytes if it is not base64.

    A single invalid value of another writer would otherwise make the whole
    response unreadable, and every entry would be cut off from the store for as
    long as the key exists. The decoders of the values reject such bytes.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode("utf-8", "replace")


class KvClient:
    """Calls the store; every failure is `platform_unavailable`.

    Attributes:
      calls: number of calls by kind.
      epoch: the store's epoch that its last response stated; 0 if none did.
      on_epoch_change: called when a response states another epoch than the
        last one.
    """

    def __init__(self, *, address: str) -> None:
        """Creates a client of the store at `ip:port`."""
        self._http_client = SimpleHttpClient(address=address)
        self.calls: dict[str, int] = {}
        self.epoch = 0
        self.on_epoch_change: Callable[[], None] = _ignore_change

    def set_address(self, address: str) -> None:
        """Replaces the store's address; calls in flight fail."""
        self.epoch = 0
        self._http_client.close()
        self._http_client = SimpleHttpClient(address=address)

    def close(self) -> None:
        """Closes all connections."""
        self._http_client.close()

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        cutter: LongStringCutter | None = None,
    ) -> HttpResponse:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        try:
            response = await self._http_client.call(
                method=method,
                path=path,
                body=body,
                timeout_s=CALL_TIMEOUT_S,
                cutter=cutter,
            )
        except ResponseTooLongError as error:
            raise PageTooLongError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=f"{kind}: {error}"
            ) from error
        except (OSError, TimeoutError) as error:
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail=f"{kind}: {str(error) or 'no response in time'}",
            ) from error
        epoch = _read_epoch(response.head, default=self.epoch)
        if epoch != self.epoch:
            self.epoch = epoch
            self.on_epoch_change()
        return response

    @staticmethod
    def _status_error(kind: str, status: int) -> AlmondstairError:
        return AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail=f"{kind}: the store returned status {status}",
        )

    async def list_page(
        self,
        *,
        prefix: str,
        after: str = "",
        stale: bool = False,
        max_value_bytes: int = 0,
    ) -> Page:
        """Returns a page of the keys with a prefix.

        Args:
          prefix: start of the keys.
          after: last key of the previous page.
          stale: whether the response may be seconds old, which costs a tenth
            of a current one.
          max_value_bytes: longer values may be cut, so that the page is not too
            long; 0 for none.
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        path = "/kv-range?" + parse.urlencode(query)
        cutter = None
        if max_value_bytes:
            # Values are encoded in base64.
            cutter = LongStringCutter(limit_bytes=max_value_bytes * 4 // 3)
        response = await self._call("list", "GET", path, cutter=cutter)
        if response.status != _OK:
            raise self._status_error("list", response.status)
        return self._page(response)

    async def list_changes(
        self, *, prefix: str, after: int, wait_ms: int
    ) -> Page | None:
        """Returns the changes since a revision, None if it was compacted.

        The changes are of the epoch that the page states, which may differ from
        the one in which `after` is counted.

        Args:
          prefix: start of the keys.
          after: number of the revision after which changes are returned.
          wait_ms: how long the store waits for a change, in milliseconds.
        """
        query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
        path = "/kv-watch?" + parse.urlencode(query)
        response = await self._call("watch", "GET", path)
        if response.status == _COMPACTED:
            return None
        if response.status != _OK:
            raise self._status_error("watch", response.status)
        return self._page(response)

    async def grant_lease(self, *, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        body = msgspec.json.encode({"ttlS_time": ttl_s})
        response = await self._call("lease", "POST", "/kv-lease", body)
        if response.status != _OK:
            raise self._status_error("lease", response.status)
        return decode(
            _LEASE.decode,
            response.body,
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
        ).lease

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns whether it still existed."""
        path = f"/kv-keep/{lease}"
        response = await self._call("keep", "POST", path)
        if response.status == _NOT_FOUND:
            return False
        if response.status != _OK:
            raise self._status_error("keep", response.status)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        path = f"/kv-lease-end/{lease}"
        response = await self._call("end", "DELETE", path)
        if response.status not in (_OK, _NOT_FOUND):
            raise self._status_error("end", response.status)

    async def put(self, *, key: str, value: bytes, lease: int) -> bool:
        """Writes a key under a lease; returns whether the lease existed."""
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        body = msgspec.json.encode(
            {"expectedRev": [], "puts": [put], "remove": []}
        )
        response = await self._call("write", "POST", "/kv-txn", body)
        if response.status == _NOT_FOUND:
            return False
        if response.status != _OK:
            raise self._status_error("write", response.status)
        return True

    def _page(self, response: HttpResponse) -> Page:
        epoch = _read_epoch(response.head, default=self.epoch)
        return _read_page(response.body, epoch=epoch)


def _read_page(body: bytes, *, epoch: int = 0) -> Page:
    """Decodes a page.

    Each item is decoded by itself, so that one that another writer has stored
    under an unusual key does not make the others unreadable.

    Raises:
      AlmondstairError: `platform_unavailable`, if the page is invalid.
    """
    kind = ErrorKind.PLATFORM_UNAVAILABLE
    wire: _WirePage | _WireParsedPage
    try:
        wire = decode(_PAGE.decode, body, kind=kind)
    except AlmondstairError:
        # msgspec rejects a whole text for one string with half a character.
        wire = decode(_parse_page, body, kind=kind)
    items = []
    unreadable = []
    for encoded in [*wire.items, *wire.events]:
        try:
            items.append(_decode_item(_wire_item(encoded), epoch))
        except (ValueError, RecursionError):
            unreadable.append(_shown(encoded))
    return Page(
        items=items,
        more=wire.has_more,
        revision=Revision(epoch, wire.as_of),
        unreadable=tuple(unreadable),
    )


def _parse_page(body: bytes) -> _WireParsedPage:
    return msgspec.convert(json.loads(body), _WireParsedPage)


def _wire_item(encoded: Any) -> _WireItem:
    """Decodes an item.

    Raises:
      ValueError: it is invalid; also msgspec's errors.
      RecursionError: it is nested too deeply.
    """
    if isinstance(encoded, msgspec.Raw):
        return _ITEM.decode(encoded)
    item = msgspec.convert(encoded, _WireItem)
    # A key with half a character cannot be logged or sent to other entries.
    item.key.encode()
    return item


def _shown(encoded: Any) -> str:
    """Returns the start of an item that cannot be decoded."""
    if isinstance(encoded, msgspec.Raw):
        start = bytes(encoded)[:_MAX_SHOWN_BYTES]
        return start.decode("utf-8", "backslashreplace")
    return ascii(encoded)[:_MAX_SHOWN_BYTES]


def _read_epoch(head: ResponseHead, *, default: int) -> int:
    """Returns the store's epoch that a response states.

    Args:
      head: head of the response.
      default: the epoch if the response states none.
    """
    value = find_header(head.headers, _EPOCH_HEADER)
    epoch = None if value is None else parse_decimal(value)
    return default if epoch is None else epoch


def _ignore_change() -> None:
    """Does nothing; nobody has asked for changes of the epoch yet."""
