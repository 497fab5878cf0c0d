"""Entries that reach no upstream, as entries report of themselves."""

from collections.abc import Iterable

# For how long lookups still omit an entry that reaches upstreams again, so that
# one whose links fail now and then does not come and go.
RETURN_DELAY_S = 3.0


class CutOffEntries:
    """Holds which entries report that they reach no upstream.

    Attributes:
      names: names of these entries.
    """

    def __init__(self) -> None:
        """Starts without any."""
        self.names: frozenset[str] = frozenset()
        self._last_reported_s: dict[str, float] = {}

    def apply_report(self, names: Iterable[str], *, now_s: float) -> None:
        """Replaces the reported entries.

        Args:
          names: names of the entries that reach no upstream now.
          now_s: the entry's clock, in seconds.
        """
        self.names = frozenset(names)
        for name in self.names:
            self._last_reported_s[name] = now_s

    def omitted_from_lookups(self, *, now_s: float) -> frozenset[str]:
        """Returns the entries that reach no upstream, or did not lately."""
        for name, reported_s in list(self._last_reported_s.items()):
            if name not in self.names and now_s - reported_s > RETURN_DELAY_S:
                del self._last_reported_s[name]
        return frozenset(self._last_reported_s)
