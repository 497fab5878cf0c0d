"""Interfaces of the platform: key-value service and VM list.

Every call either returns or raises `PlatformError`, which says whether the
call may have taken effect. Calls are not retried here; the caller decides.
"""

import abc
from collections.abc import Callable, Sequence
import enum
from typing import NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran


class PlatformFailure(enum.StrEnum):
    """Whether a failed platform call may have taken effect.

    Attributes:
      UNAVAILABLE: not answered, and definitely not applied.
      REFUSED: rejected by the service, and definitely not applied; for
        example because the lease of a write has expired.
      UNKNOWN: may have been applied, or may still be applied shortly.
    """

    UNAVAILABLE = "unavailable"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PlatformError(AlmondstairError):
    """Raised when a call to the platform fails.

    Its `ran` refers to the platform call alone: `no` if the call definitely did
    not take effect. It says nothing about a caller's request, so code that
    responds to a caller must raise an error of its own.

    Attributes:
      failure: whether the call may have taken effect.
    """

    def __init__(self, *, failure: PlatformFailure, detail: str = "") -> None:
        """Initializes an error of kind `platform_unavailable`."""
        ran = Ran.NO
        if failure is PlatformFailure.UNKNOWN:
            ran = Ran.UNKNOWN
        super().__init__(
            kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=detail, ran=ran
        )
        self.failure = failure

    @property
    def may_be_applied(self) -> bool:
        """Whether the call may have taken effect."""
        return self.failure is PlatformFailure.UNKNOWN


class Record(NamedTuple):
    """A key with its value.

    Attributes:
      key: the key.
      value: the value, at most 1 MB.
      create_revision: revision of the service that created the key.
      mod_revision: revision of the last change; the condition of a
        compare-and-swap.
      version: number of changes since the key was created, from 1.
      lease_id: lease that the key is attached to, 0 if none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


class CasResult(NamedTuple):
    """Result of a conditional write.

    Attributes:
      succeeded: whether the write was applied.
      revision: revision of the service after the call; the `mod_revision` of
        the key if the write succeeded.
      current: the record found when the condition failed; None if the key did
        not exist or the write succeeded.
    """

    succeeded: bool
    revision: int
    current: Record | None = None


class ConditionalWrite(NamedTuple):
    """One compare-and-swap of a batch.

    Attributes:
      key: the key.
      value: its next value.
      mod_revision: revision that the writer read; 0 for a key that must not
        exist.
      lease_id: lease to attach the key to, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int = 0
    lease_id: int = 0


class Listing(NamedTuple):
    """Records with a prefix as of one revision, ordered by key."""

    records: tuple[Record, ...]
    revision: int


class WatchEvent(NamedTuple):
    """A change of a key; `record` is None if the key was deleted."""

    key: str
    record: Record | None
    revision: int


class WatchNotice(NamedTuple):
    """Notification that a watch passes to its callback.

    Attributes:
      events: changes ordered by revision; an event may be repeated after a
        reconnect, which the callback detects by its revision.
      revision: the service's revision as of this notice.
      gap: whether changes were permanently missed, so that the keys must be
        listed again.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    gap: bool = False


class Watch(abc.ABC):
    """A running watch."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the watch; the callback is not called again."""


class KeyValueService(abc.ABC):
    """The platform's key-value service: compare-and-swap, leases, watches.

    Every coroutine ends within the adapter's own timeout and may raise
    `PlatformError`; a read never raises one with failure `unknown`.
    """

    @abc.abstractmethod
    async def get(self, *, key: str) -> Record | None:
        """Returns the current record of a key, None if it does not exist."""

    @abc.abstractmethod
    async def list_prefix(self, *, prefix: str, limit: int = 0) -> Listing:
        """Returns the records with a prefix, at most `limit` unless it is 0."""

    @abc.abstractmethod
    async def create(
        self, *, key: str, value: bytes, lease_id: int = 0
    ) -> CasResult:
        """Writes a key if it does not exist."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, *, key: str, value: bytes, mod_revision: int, lease_id: int = 0
    ) -> CasResult:
        """Writes a key if its `mod_revision` has not changed.

        Args:
          key: the key.
          value: its next value.
          mod_revision: revision that the writer read; 0 for a key that must
            not exist.
          lease_id: lease to attach the key to; 0 detaches the key from its
            lease.

        Returns:
          The result of the write.
        """

    @abc.abstractmethod
    async def delete_if(self, *, key: str, mod_revision: int) -> CasResult:
        """Deletes a key if its `mod_revision` has not changed."""

    @abc.abstractmethod
    async def write_many(
        self, *, writes: Sequence[ConditionalWrite]
    ) -> tuple[CasResult, ...]:
        """Writes each key whose condition holds, in one call.

        A failed condition does not prevent the other writes.

        Args:
          writes: at most `MAX_BATCH`, each with a different key.

        Returns:
          One result for each write, in the same order.
        """

    @abc.abstractmethod
    async def grant_lease(self, *, ttl_s: int) -> int:
        """Returns the ID of a new lease; its keys are deleted after `ttl_s`."""

    @abc.abstractmethod
    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
        callback: Callable[[WatchNotice], None],
    ) -> Watch:
        """Starts a watch on the keys with a prefix.

        It reconnects by itself, from the revision after the last one received.

        Args:
          prefix: prefix of the keys.
          from_revision: first revision to receive, from 1; usually one more
            than the revision of a listing.
          callback: called with each notice, on the event loop.

        Returns:
          The running watch.
        """


MAX_BATCH = 64
"""Maximum writes per `write_many`; etcd allows 128 operations by default."""


class VmState(enum.StrEnum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """A VM in the platform's list."""

    name: str
    address: str
    availability_zone: str
    state: VmState


class VmListing(NamedTuple):
    """The platform's list of VMs and its age in seconds."""

    vms: tuple[Vm, ...]
    age_s: float


class VmList(abc.ABC):
    """The platform's list of VMs, which lags behind their actual state."""

    @abc.abstractmethod
    async def list_vms(self) -> VmListing:
        """Returns the list; may raise `PlatformError`."""
