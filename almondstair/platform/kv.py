"""The calls of the users' key-value store."""

import base64
from typing import NamedTuple
from urllib import parse

import msgspec

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.http_calls import HttpCaller

# An answer takes milliseconds; one that takes longer than this is on a
# connection that has gone silent, or the store is in trouble.
CALL_TIMEOUT_S = 1.0
_OK = 200
_NOT_FOUND = 404
_COMPACTED = 410


class Item(NamedTuple):
    """One key of the store at one revision.

    Attributes:
      key: its name.
      value: its bytes, None when it was removed.
      revision: the store's revision of this change.
    """

    key: str
    value: bytes | None
    revision: int


class Page(NamedTuple):
    """Part of a listing."""

    items: list[Item]
    more: bool
    revision: int


class _WireItem(msgspec.Struct, rename="camel"):
    key: str
    revision: int = 0
    value: str = ""
    removed: bool = False


class _WirePage(msgspec.Struct, rename="camel"):
    as_of: int
    items: list[_WireItem] = []
    events: list[_WireItem] = []
    has_more: bool = False


class _WireLease(msgspec.Struct):
    lease: int


_PAGE = msgspec.json.Decoder(_WirePage)
_LEASE = msgspec.json.Decoder(_WireLease)


def _item(wire: _WireItem) -> Item:
    if wire.removed:
        return Item(key=wire.key, value=None, revision=wire.revision)
    return Item(key=wire.key, value=_value(wire.value), revision=wire.revision)


def _value(text: str) -> bytes:
    """Returns a value's bytes, those of the text itself if it is not encoded.

    What goes wrong without: one value that another writer left makes the whole
    answer unreadable, and every entry loses touch with the store for as long
    as the key is there. Such bytes name nothing to use for any reader.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return text.encode("utf-8", "replace")


class KvClient:
    """Speaks to the store; every failure is `platform_unavailable`.

    Attributes:
      calls: calls made, by kind.
    """

    def __init__(self, *, address: str) -> None:
        """Makes a client of the store at `ip:port`."""
        self._caller = HttpCaller(address=address)
        self.calls: dict[str, int] = {}

    def move(self, address: str) -> None:
        """Calls another address from now on; running calls fail."""
        self._caller.close()
        self._caller = HttpCaller(address=address)

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()

    async def _call(
        self, kind: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        self.calls[kind] = self.calls.get(kind, 0) + 1
        try:
            return await self._caller.call(
                method=method, path=path, body=body, timeout_s=CALL_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail=f"{kind}: {str(error) or 'no answer in time'}",
            ) from error

    @staticmethod
    def _refused(kind: str, status: int) -> AlmondstairError:
        return AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail=f"{kind}: the store answered {status}",
        )

    async def list_page(
        self, *, prefix: str, after: str = "", stale: bool = False
    ) -> Page:
        """Returns a page of the keys with a prefix.

        Args:
          prefix: start of the keys.
          after: last key of the page before.
          stale: whether an answer may be seconds old; it costs a tenth.
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["staleOk"] = "1"
        path = "/kv-range?" + parse.urlencode(query)
        status, body = await self._call("list", "GET", path)
        if status != _OK:
            raise self._refused("list", status)
        return _read_page(body)

    async def changes(
        self, *, prefix: str, after: int, wait_ms: int
    ) -> Page | None:
        """Returns what has changed, None when that history is dropped.

        Args:
          prefix: start of the keys.
          after: revision from which on changes are wanted.
          wait_ms: how long the store waits for a change.
        """
        query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
        path = "/kv-watch?" + parse.urlencode(query)
        status, body = await self._call("watch", "GET", path)
        if status == _COMPACTED:
            return None
        if status != _OK:
            raise self._refused("watch", status)
        return _read_page(body)

    async def grant_lease(self, *, ttl_s: float) -> int:
        """Returns a new lease."""
        body = msgspec.json.encode({"ttlS_time": ttl_s})
        status, answer = await self._call("lease", "POST", "/kv-lease", body)
        if status != _OK:
            raise self._refused("lease", status)
        try:
            return _LEASE.decode(answer).lease
        except msgspec.MsgspecError as error:
            raise self._refused("lease", status) from error

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns whether it was still alive."""
        path = f"/kv-keep/{lease}"
        status, _ = await self._call("keep", "POST", path)
        if status == _NOT_FOUND:
            return False
        if status != _OK:
            raise self._refused("keep", status)
        return True

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        path = f"/kv-lease-end/{lease}"
        status, _ = await self._call("end", "DELETE", path)
        if status not in (_OK, _NOT_FOUND):
            raise self._refused("end", status)

    async def put(self, *, key: str, value: bytes, lease: int) -> bool:
        """Writes a key under a lease; returns whether the lease lived."""
        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        body = msgspec.json.encode(
            {"expectedRev": [], "puts": [put], "remove": []}
        )
        status, _ = await self._call("write", "POST", "/kv-txn", body)
        if status == _NOT_FOUND:
            return False
        if status != _OK:
            raise self._refused("write", status)
        return True


def _read_page(body: bytes) -> Page:
    try:
        wire = _PAGE.decode(body)
        items = [_item(item) for item in wire.items + wire.events]
    except (msgspec.MsgspecError, ValueError) as error:
        raise AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail=f"the store's answer is unreadable: {error}",
        ) from error
    return Page(items=items, more=wire.has_more, revision=wire.as_of)
