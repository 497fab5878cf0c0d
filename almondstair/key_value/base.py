"""The platform as the rest of the system sees it: key-value service, VM list.

Every call either returns, or raises `PlatformError` which says whether the
call may have taken effect. Nothing here is retried: whoever called decides.
"""

import abc
from collections.abc import Callable, Sequence
import enum
from typing import NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran


class PlatformFailure(enum.StrEnum):
    """What is known about a platform call that failed.

    Attributes:
      UNAVAILABLE: not answered, and surely not applied.
      REFUSED: answered with a refusal, and surely not applied; for example
        the lease that a write names is gone.
      UNKNOWN: may have been applied, now or a little later.
    """

    UNAVAILABLE = "unavailable"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PlatformError(AlmondstairError):
    """A call to the platform that failed.

    Its `ran` is about the platform call alone: `no` when the call surely did
    not take effect. It says nothing about the request of a caller, so whoever
    answers a caller raises an error of its own.

    Attributes:
      failure: whether the call may have taken effect.
    """

    def __init__(self, *, failure: PlatformFailure, detail: str = "") -> None:
        """Makes an error of kind `platform_unavailable`."""
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
      value: the value, at most a megabyte.
      create_revision: revision of the service at which the key appeared.
      mod_revision: revision of the last change; the token of a
        compare-and-swap.
      version: number of changes since the key appeared, from 1.
      lease_id: lease that the key goes with, 0 when none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


class CasResult(NamedTuple):
    """Outcome of a conditional write.

    Attributes:
      succeeded: whether the write was applied.
      revision: revision of the service after the call; the `mod_revision` of
        the key when the write succeeded.
      current: what the key held when the condition failed; None when it held
        nothing, or when the write succeeded.
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
      lease_id: lease of the key from now on, 0 when none.
    """

    key: str
    value: bytes
    mod_revision: int = 0
    lease_id: int = 0


class Listing(NamedTuple):
    """Keys below a prefix, as of one revision, in the order of the keys."""

    records: tuple[Record, ...]
    revision: int


class WatchEvent(NamedTuple):
    """One change of a key; `record` is None when the key was deleted."""

    key: str
    record: Record | None
    revision: int


class WatchNotice(NamedTuple):
    """What a watch hands to its callback.

    Attributes:
      events: changes in the order of their revisions; a callback may see one
        again after a reconnect and goes by its revision.
      revision: the service's revision as of this notice.
      gap: changes were missed for good, so the keys must be listed again.
    """

    events: tuple[WatchEvent, ...]
    revision: int
    gap: bool = False


class Watch(abc.ABC):
    """A running watch."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Ends the watch; the callback is not called again."""


class KeyValueService(abc.ABC):
    """The platform's key-value service: compare-and-swap, leases, watches.

    Every coroutine ends within a time limit of the adapter's own, and may raise
    `PlatformError`; a read never raises one with failure `unknown`.
    """

    @abc.abstractmethod
    async def get(self, *, key: str) -> Record | None:
        """Returns a key as it is now, None when it does not exist."""

    @abc.abstractmethod
    async def list_prefix(self, *, prefix: str, limit: int = 0) -> Listing:
        """Returns the keys below a prefix, at most `limit` unless it is 0."""

    @abc.abstractmethod
    async def create(
        self, *, key: str, value: bytes, lease_id: int = 0
    ) -> CasResult:
        """Writes a key if it does not exist."""

    @abc.abstractmethod
    async def compare_and_swap(
        self, *, key: str, value: bytes, mod_revision: int, lease_id: int = 0
    ) -> CasResult:
        """Writes a key if its last change was at `mod_revision`.

        Args:
          key: the key.
          value: its next value.
          mod_revision: revision that the writer read; 0 for a key that must
            not exist.
          lease_id: lease of the key from now on; a write without one takes
            the key off its lease.

        Returns:
          The outcome.
        """

    @abc.abstractmethod
    async def delete_if(self, *, key: str, mod_revision: int) -> CasResult:
        """Deletes a key if its last change was at `mod_revision`."""

    @abc.abstractmethod
    async def write_many(
        self, *, writes: Sequence[ConditionalWrite]
    ) -> tuple[CasResult, ...]:
        """Writes each key whose condition holds, in one call.

        A condition that fails does not keep the others from being written.

        Args:
          writes: at most `MAX_BATCH`, each of another key.

        Returns:
          One outcome for each write, in their order.
        """

    @abc.abstractmethod
    async def grant_lease(self, *, ttl_s: int) -> int:
        """Returns a new lease's id; its keys go when `ttl_s` have passed."""

    @abc.abstractmethod
    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
        callback: Callable[[WatchNotice], None],
    ) -> Watch:
        """Starts a watch over the keys below a prefix.

        It reconnects by itself from the revision after the last that it saw.

        Args:
          prefix: start of the keys.
          from_revision: first revision of interest, from 1; usually one more
            than the revision of a listing.
          callback: called with each notice, on the loop.

        Returns:
          The watch, to be cancelled.
        """


MAX_BATCH = 64
"""Most writes in one `write_many`; etcd takes 128 operations by default."""


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """A VM of the platform's list."""

    name: str
    address: str
    availability_zone: str
    state: VmState


class VmListing(NamedTuple):
    """The platform's list of VMs and how old it is, in seconds."""

    vms: tuple[Vm, ...]
    age_s: float


class VmList(abc.ABC):
    """The platform's lagging list of VMs."""

    @abc.abstractmethod
    async def list_vms(self) -> VmListing:
        """Returns the list; may raise `PlatformError`."""
