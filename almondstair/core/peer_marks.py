"""What peers say of leaving upstreams, kept for a time without the VM list.

What goes wrong without: one entry alone has read a new mark of the VM list
when the list goes out. That entry restarts; the others forget its word with
it, and the upstream gets new work.
"""

from collections.abc import Collection
from typing import NamedTuple


class _Word(NamedTuple):
    """The latest word of one process of a peer."""

    names: frozenset[str]
    heard_s: float


class PeerMarks:
    """The latest word of each peer's processes on which upstreams leave."""

    def __init__(self) -> None:
        """Starts with nothing heard."""
        self._words: dict[tuple[str, int], _Word] = {}

    def heard(
        self,
        *,
        peer: str,
        incarnation: int,
        names: Collection[str],
        now_s: float,
    ) -> None:
        """Takes a process's word in place of its earlier one.

        A process that has just started has nothing to take back: its word
        does not replace that of the process before it.

        Args:
          peer: the entry that says it.
          incarnation: its process.
          names: the upstreams that leave by all that it knows.
          now_s: when it was heard.
        """
        self._words[peer, incarnation] = _Word(frozenset(names), now_s)

    def names(self, *, since_s: float) -> set[str]:
        """Returns the upstreams that any word since a moment calls leaving.

        Args:
          since_s: what the VM list said then goes before earlier words.
        """
        found: set[str] = set()
        for word in self._words.values():
            if word.heard_s >= since_s:
                found |= word.names
        return found

    def forget(
        self, *, known: Collection[tuple[str, int]], since_s: float
    ) -> None:
        """Drops words from before a moment of processes that are gone.

        Args:
          known: name and incarnation of each entry of the table.
          since_s: words since then are kept, whoever said them.
        """
        for process, word in tuple(self._words.items()):
            if process not in known and word.heard_s < since_s:
                del self._words[process]
