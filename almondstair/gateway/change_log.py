"""Log lines on changed registrations, summarised where there are many.

Otherwise an entry that starts in a fleet of hundreds logs a line for each
upstream and each entry of the first listing. The log's rate limit then drops
lines for seconds, including those that explain why requests fail.
"""

from collections import Counter
from typing import Any

from almondstair import log
from almondstair.core.revisions import Revision
from almondstair.core.revisions import revision_fields

# Changes of one batch that get a line each; later ones are only counted.
MAX_SINGLE_LINES = 20


class ChangeLog:
    """Logs changes of registrations."""

    def __init__(self) -> None:
        """Creates a log outside any batch."""
        self._single_lines_left = MAX_SINGLE_LINES
        self._counts: Counter[str] = Counter()

    def begin(self, *, first: bool) -> None:
        """Begins a batch of changes.

        Args:
          first: whether it is the first full listing; all its items are new.
        """
        self._single_lines_left = 0 if first else MAX_SINGLE_LINES
        self._counts.clear()

    def write(self, event: log.Event, *, group: str, **fields: Any) -> None:
        """Logs a change, or counts it once the batch has too many.

        Args:
          event: the event.
          group: group in which the change is counted.
          **fields: fields of the log line.
        """
        if self._single_lines_left > 0:
            self._single_lines_left -= 1
            log.event(event, **fields)
            return
        self._counts[f"{event.name.lower()} {group}"] += 1

    def end(self, *, revision: Revision) -> None:
        """Ends a batch and logs a summary of the counted changes.

        Args:
          revision: the store's revision of the batch.
        """
        if self._counts:
            log.event(
                log.Event.REGISTRATIONS_CHANGED,
                changes=self._counts.total(),
                counts=dict(self._counts),
                **revision_fields(revision),
            )
        self._single_lines_left = MAX_SINGLE_LINES
        self._counts.clear()
