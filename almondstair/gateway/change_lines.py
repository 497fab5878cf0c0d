"""Log lines on registrations: single ones for a few changes, one for many.

What goes wrong without: an entry that starts in a fleet of hundreds writes a
line for each upstream and each entry of the first listing. The log's limit
leaves lines out for seconds, among them those that tell why requests fail.
"""

from collections import Counter
from typing import Any

from almondstair import log

# Changes of one answer of the store, or of a peer, that have their own lines.
SINGLE_LINES = 20


class ChangeLines:
    """Writes what changes of registrations."""

    def __init__(self) -> None:
        """Starts outside any answer."""
        self._left = SINGLE_LINES
        self._counts: Counter[str] = Counter()

    def begin(self, *, first: bool) -> None:
        """Begins an answer.

        Args:
          first: whether it is the first whole listing; all of it is new.
        """
        self._left = 0 if first else SINGLE_LINES
        self._counts.clear()

    def write(self, what: log.Event, *, group: str, **fields: Any) -> None:
        """Writes a line, or counts it.

        Args:
          what: the event.
          group: what counted lines of this event are summed up by.
          **fields: what it concerns.
        """
        if self._left > 0:
            self._left -= 1
            log.event(what, **fields)
            return
        self._counts[f"{what.name.lower()} {group}"] += 1

    def end(self, *, revision: int) -> None:
        """Ends an answer; writes one line for what was counted.

        Args:
          revision: the store's revision that the answer is as of.
        """
        if self._counts:
            log.event(
                log.Event.REGISTRATIONS_CHANGED,
                changes=self._counts.total(),
                counts=dict(self._counts),
                revision=revision,
            )
        self._left = SINGLE_LINES
        self._counts.clear()
