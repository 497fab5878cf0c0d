"""State of the key-value store: keys, revisions, leases and history."""

import base64
from typing import Any, NamedTuple, TypedDict


class StoredItem(TypedDict):
    """A key as it appears in the store's responses."""

    key: str
    value: str
    revision: int
    createdRev: int
    lease: int


class Removal(TypedDict):
    """The removal of a key as it appears in the store's responses."""

    key: str
    revision: int
    removed: bool


class Lease(NamedTuple):
    """A lease: its time to live and when it expires, in seconds."""

    ttl_s: float
    ends_s: float


class StoreState:
    """Keys, leases and the history of changes.

    Attributes:
      revision: current revision; starts above 0.
      items: current items by key.
      leases: leases by id.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.revision = 1
        self.items: dict[str, StoredItem] = {}
        self.leases: dict[int, Lease] = {}
        self._history: list[StoredItem | Removal] = []
        self._compacted_revision = 0
        self._next_lease = 100

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Writes a key; `value` is base64 text."""
        self.revision += 1
        before = self.items.get(key)
        created = before["createdRev"] if before else self.revision
        item = StoredItem(
            key=key,
            value=value,
            revision=self.revision,
            createdRev=created,
            lease=lease,
        )
        self.items[key] = item
        self._history.append(item)

    def put_text(self, key: str, text: str, lease: int = 0) -> None:
        """Writes a key with a text value."""
        self.put(key, base64.b64encode(text.encode()).decode(), lease)

    def remove(self, key: str) -> None:
        """Removes a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._history.append(
            Removal(key=key, revision=self.revision, removed=True)
        )

    def listing(
        self, prefix: str, after: str, limit: int
    ) -> tuple[list[StoredItem], bool]:
        """Returns a page of items and whether there are more."""
        keys = []
        for key in sorted(self.items):
            if key.startswith(prefix) and key > after:
                keys.append(key)
        page = [self.items[key] for key in keys[:limit]]
        return page, len(keys) > limit

    def changes(
        self, prefix: str, after: int
    ) -> list[StoredItem | Removal] | None:
        """Returns the changes after a revision, None if it is not known."""
        if not self._compacted_revision <= after <= self.revision:
            return None
        changes = []
        for change in self._history:
            if change["revision"] <= after:
                continue
            if change["key"].startswith(prefix):
                changes.append(change)
        return changes

    def drop_history(self) -> None:
        """Drops the history up to the current revision."""
        self._compacted_revision = self.revision
        self._history.clear()

    # Leases.

    def grant(self, ttl_s: float, now_s: float) -> int:
        """Grants a lease and returns its id."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s, now_s + ttl_s)
        return self._next_lease

    def renew(self, lease: int, now_s: float) -> bool:
        """Renews a lease; returns whether it exists."""
        current = self.leases.get(lease)
        if current is None:
            return False
        self.leases[lease] = Lease(current.ttl_s, now_s + current.ttl_s)
        return True

    def revoke(self, lease: int) -> bool:
        """Revokes a lease and removes its keys; returns whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in list(self.items):
            if self.items[key]["lease"] == lease:
                self.remove(key)
        return True

    def expire(self, now_s: float) -> None:
        """Revokes the leases that have expired."""
        for lease, held_lease in list(self.leases.items()):
            if now_s >= held_lease.ends_s:
                self.revoke(lease)

    # Transactions.

    def transact(self, change: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies a transaction atomically.

        Returns:
          The HTTP status and the body of the response.
        """
        current = []
        failed = False
        for wanted in change.get("expectedRev", []):
            item = self.items.get(wanted["key"])
            if item is not None:
                current.append(item)
            revision = item["revision"] if item else 0
            failed = failed or revision != wanted["revision"]
        if failed:
            return 412, {"items": current, "asOf": self.revision}
        for put in change.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in change.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in change.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
