"""Sources of the store's data: the store itself, or a peer."""

import abc
from collections.abc import Sequence
import math
from typing import NamedTuple
from urllib import parse
import zlib

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.revisions import Revision
from almondstair.decoding import decode
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.mirror import MirrorPage
from almondstair.gateway.simple_http_client import SimpleHttpClient
from almondstair.platform import documents
from almondstair.platform.kv import Item
from almondstair.platform.kv import KvClient
from almondstair.platform.kv import Page
from almondstair.platform.kv import PageTooLongError

# A peer of the same zone responds in 1 ms, one of the farthest region in 0.11 s
# plus the time to connect.
PEER_TIMEOUT_S = 0.5
# A page that is too long is logged again only after this time.
LOG_INTERVAL_S = 300.0
# Attempts to list the store while its epoch changes between the pages.
MAX_LISTINGS = 3
# Longer values are no registrations; they have a few hundred bytes.
MAX_REGISTRATION_BYTES = 12 * 1024
# What is listed if a whole listing is too long, and how long its values may be;
# 0 without a bound. Other writers store among the registrations only.
BOUNDED_LISTINGS = (
    (documents.OPERATOR_PREFIX, 0),
    (documents.UPSTREAM_PREFIX, MAX_REGISTRATION_BYTES),
    (documents.ENTRY_PREFIX, MAX_REGISTRATION_BYTES),
)
_PAGE = msgspec.msgpack.Decoder(MirrorPage)


class Batch(NamedTuple):
    """Changes from a source, or a full listing.

    Attributes:
      items: the changed items, or all.
      listing: whether the items are a full listing.
      revision: the store's revision that they reflect.
      age_s: time since the store sent them, in seconds.
      from_store: whether they come from the store itself.
      unreadable: starts of items that cannot be decoded.
    """

    items: list[Item]
    listing: bool
    revision: Revision
    age_s: float
    from_store: bool
    unreadable: tuple[str, ...] = ()


class Source(abc.ABC):
    """Supplies the store's data."""

    @abc.abstractmethod
    async def fetch(self, *, after: Revision) -> Batch:
        """Returns the changes after a revision, or a full listing.

        Data of another epoch than that of the revision is always a listing.

        Raises:
          AlmondstairError: `platform_unavailable`.
        """


class StoreSource(Source):
    """Reads from the store itself."""

    def __init__(self, *, client: KvClient) -> None:
        """Creates a source that uses a client of the store."""
        self._client = client
        self._logged_too_long_s = -math.inf

    async def fetch(self, *, after: Revision) -> Batch:
        """Fetches changes, or a full listing if they are not available."""
        if after.number and self._client.epoch == after.epoch:
            page = await self._changes(after.number)
            # In another epoch, `after` may be the number of another change.
            if page is not None and page.revision.epoch == after.epoch:
                return Batch(
                    items=page.items,
                    listing=False,
                    revision=page.revision,
                    age_s=0.0,
                    from_store=True,
                    unreadable=page.unreadable,
                )
        return await self._list()

    async def _changes(self, after: int) -> Page | None:
        """Returns the changes, None if a full listing is needed instead."""
        try:
            return await self._client.list_changes(
                prefix="", after=after, wait_ms=0
            )
        except PageTooLongError as error:
            # The changes cannot be divided, and become only more.
            self._log_too_long(error)
            return None

    def _log_too_long(self, error: PageTooLongError) -> None:
        """Logs an error, unless a line was written lately."""
        now = now_s()
        if now - self._logged_too_long_s < LOG_INTERVAL_S:
            return
        self._logged_too_long_s = now
        log.event(log.Event.STORE_PAGE_TOO_LONG, detail=error.detail)

    async def _list(self) -> Batch:
        """Returns a full listing whose pages are all of one epoch."""
        for _ in range(MAX_LISTINGS):
            try:
                batch = await self._list_once((("", 0),))
            except PageTooLongError as error:
                self._log_too_long(error)
                batch = await self._list_once(BOUNDED_LISTINGS)
            if batch is not None:
                return batch
        raise AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail="the store's epoch changed during each listing",
        )

    async def _list_once(
        self, listings: Sequence[tuple[str, int]]
    ) -> Batch | None:
        """Returns a full listing, None if the epoch changes within it.

        The pages are not a snapshot. The next poll returns what changed in the
        meantime, because it asks for the changes after the first page's
        revision.

        Args:
          listings: prefixes to list, and the longest value of each.

        Raises:
          AlmondstairError: `platform_unavailable`; also if no item of a page
            can be decoded, as the next page is asked for by the last key.
        """
        items: list[Item] = []
        unreadable: list[str] = []
        revision = Revision()
        for prefix, max_value_bytes in listings:
            after = ""
            while True:
                page = await self._client.list_page(
                    prefix=prefix, after=after, max_value_bytes=max_value_bytes
                )
                if not revision.number:
                    revision = page.revision
                if page.revision.epoch != revision.epoch:
                    return None
                items.extend(page.items)
                unreadable.extend(page.unreadable)
                if not page.more:
                    break
                after = _last_key(page, after)
        return Batch(
            items=items,
            listing=True,
            revision=revision,
            age_s=0.0,
            from_store=True,
            unreadable=tuple(unreadable),
        )


def _last_key(page: Page, after: str) -> str:
    """Returns the key by which the next page is asked for.

    Raises:
      AlmondstairError: `platform_unavailable`, if no key follows.
    """
    if not page.items or page.items[-1].key == after:
        raise AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail=f"no key after {after!r} can be read",
        )
    return page.items[-1].key


class PeerSource(Source):
    """Reads from another entry's mirror of the store."""

    def __init__(self, *, address: str) -> None:
        """Creates the source of a peer at `ip:port`."""
        self.address = address
        self._client = SimpleHttpClient(address=address)
        self._mirror = ""
        self._last_number = 0

    def close(self) -> None:
        """Closes the connections to the peer."""
        self._client.close()

    async def fetch(self, *, after: Revision) -> Batch:
        """Fetches what the mirror has and this entry lacks."""
        page = await self._fetch_changes()
        if page.epoch > after.epoch and not page.listing:
            # What this entry knows may come from other sources, so the changes
            # of this mirror are not all that the new epoch lacks.
            self._mirror = ""
            page = await self._fetch_changes()
        if page.revision < after:
            # Older than this entry's data: applying it would restore what was
            # removed since.
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail=f"peer {self.address} is behind",
            )
        items = self._decode_items(page)
        self._mirror = page.source
        self._last_number = page.last_number
        return Batch(
            items=items,
            listing=page.listing,
            revision=page.revision,
            age_s=page.age_s,
            from_store=False,
        )

    async def _fetch_changes(self) -> MirrorPage:
        query = {"source": self._mirror, "after": self._last_number}
        return await self._fetch_page("/changes?" + parse.urlencode(query))

    def _decode_items(self, page: MirrorPage) -> list[Item]:
        items = []
        for mirror_item in page.items:
            try:
                value = mirror_item.decompressed()
            except zlib.error as error:
                raise AlmondstairError(
                    kind=ErrorKind.PLATFORM_UNAVAILABLE,
                    detail=f"peer {self.address}: {mirror_item.key}: {error}",
                ) from error
            items.append(
                Item(
                    key=mirror_item.key,
                    value=value,
                    revision=mirror_item.revision,
                )
            )
        return items

    async def _fetch_page(self, path: str) -> MirrorPage:
        try:
            response = await self._client.call(
                method="GET", path=path, timeout_s=PEER_TIMEOUT_S
            )
            if response.status != 200:
                raise OSError(f"status {response.status}")
            return decode(
                _PAGE.decode, response.body, kind=ErrorKind.PLATFORM_UNAVAILABLE
            )
        except (OSError, TimeoutError, AlmondstairError) as error:
            cause = str(error) or "timed out"
            raise AlmondstairError(
                kind=ErrorKind.PLATFORM_UNAVAILABLE,
                detail=f"peer {self.address}: {cause}",
            ) from error
