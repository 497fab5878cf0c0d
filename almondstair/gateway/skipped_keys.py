"""Keys of the store whose last value is not applied."""

from collections import OrderedDict
import enum

from almondstair import log
from almondstair.core.revisions import Revision
from almondstair.core.revisions import revision_fields

# Keys that are remembered; another writer may store any number of them.
MAX_KEYS = 1000
# A key is logged again only after this time, as another writer may change it
# many times a second.
LOG_INTERVAL_S = 300.0
# Keys are shown up to this length; another writer chooses them.
MAX_KEY_CHARACTERS = 200


class SkipCause(enum.StrEnum):
    """Why the last value of a key is not applied.

    Attributes:
      UNREADABLE: the value is not valid.
      FAILED: applying it raised an unexpected error.
    """

    UNREADABLE = "unreadable"
    FAILED = "failed"


class SkippedKeys:
    """Remembers skipped keys, and logs each of them once in a while.

    Attributes:
      causes: why each key is skipped, the latest last.
    """

    def __init__(self) -> None:
        """Starts without a skipped key."""
        self.causes: OrderedDict[str, SkipCause] = OrderedDict()
        self._logged_s: OrderedDict[str, float] = OrderedDict()

    def record(self, key: str, cause: SkipCause, *, now_s: float) -> bool:
        """Remembers a key; returns whether it was not logged lately."""
        self.causes[key] = cause
        self.causes.move_to_end(key)
        if len(self.causes) > MAX_KEYS:
            self.causes.popitem(last=False)
        logged_s = self._logged_s.get(key)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            return False
        self._logged_s[key] = now_s
        self._logged_s.move_to_end(key)
        if len(self._logged_s) > MAX_KEYS:
            self._logged_s.popitem(last=False)
        return True

    def record_unreadable(
        self,
        key: str,
        *,
        revision: Revision,
        now_s: float,
    ) -> None:
        """Records and logs a key whose registration is not valid.

        Args:
          key: the key.
          revision: the store's revision of the value.
          now_s: the entry's clock, in seconds.
        """
        if not self.record(key, SkipCause.UNREADABLE, now_s=now_s):
            return
        log.event(
            log.Event.REGISTRATION_BAD,
            key=key[:MAX_KEY_CHARACTERS],
            **revision_fields(revision),
        )

    def record_failed(
        self, key: str, *, error: Exception, revision: Revision, now_s: float
    ) -> None:
        """Records and logs a key whose value raises an error when applied.

        Args:
          key: the key.
          error: the error.
          revision: the store's revision of the value.
          now_s: the entry's clock, in seconds.
        """
        if not self.record(key, SkipCause.FAILED, now_s=now_s):
            return
        log.event(
            log.Event.STORE_CHANGE_FAILED,
            error=error,
            key=key[:MAX_KEY_CHARACTERS],
            **revision_fields(revision),
        )

    def forget(self, key: str) -> None:
        """Forgets a key whose next change is applied, or skipped again."""
        self.causes.pop(key, None)

    def retain(self, keys: set[str]) -> None:
        """Forgets all keys that a full listing lacks."""
        for key in list(self.causes):
            if key not in keys:
                del self.causes[key]

    def count(self, cause: SkipCause) -> int:
        """Returns the number of remembered keys with a cause."""
        return sum(each is cause for each in self.causes.values())

    def latest(self, count: int) -> list[str]:
        """Returns the keys that were skipped last, for operators."""
        keys = list(self.causes)[-count:]
        return [key[:MAX_KEY_CHARACTERS] for key in keys]
