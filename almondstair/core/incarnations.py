"""Incarnations of upstreams that ended, kept so that late words change nothing.

What goes wrong without: an upstream starts again under the id that it had, or
its address is given to another one. Words about the earlier incarnation come
late: a write that the store makes seconds later, a peer's page, a listing while
the store's leases stand still. Taken as news, each brings back an upstream
that is gone, and requests meet whatever listens at its address now. One notices
it by lines that say in turn that an upstream came and went.
"""

from collections import OrderedDict
from typing import TypeVar

from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash

# Upstreams that are remembered, 100 bytes each. The store makes late writes
# within seconds, and a fleet of 5,000 upstreams loses fewer in that time.
MEMORY = 4096
# How long other entries are told of an upstream whose address has another
# incarnation; its registration ends about as soon.
REPLACED_TOLD_S = 5.0
_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class EndedIncarnations:
    """What is remembered of upstreams that left, ended or were replaced."""

    def __init__(self) -> None:
        """Starts with nothing remembered."""
        self._born_ms: OrderedDict[str, int] = OrderedDict()
        self._left: OrderedDict[str, None] = OrderedDict()
        self._cold_until_s: OrderedDict[str, float] = OrderedDict()
        self._replaced: OrderedDict[int, None] = OrderedDict()
        self._found_at_s: dict[int, float] = {}

    def note_ended(
        self, record: UpstreamRecord, *, cold_until_s: float
    ) -> None:
        """An incarnation is not registered any more, or a newer one is.

        Args:
          record: its last registration.
          cold_until_s: until when it was taken for cold, on the entry's clock.
        """
        born_ms = max(record.born_ms, self._born_ms.get(record.upstream_id, 0))
        _remember(self._born_ms, record.upstream_id, born_ms)
        if record.draining:
            _remember(self._left, record.incarnation, None)
        if record.born_ms:
            _remember(self._cold_until_s, record.incarnation, cold_until_s)

    def note_replaced(self, name: int) -> None:
        """Another upstream answers at the address of an incarnation.

        Args:
          name: the incarnation's hash.
        """
        _remember(self._replaced, name, None)

    def found_replaced(self, name: int, *, now_s: float) -> None:
        """The same, found by this entry, which tells the others."""
        self.note_replaced(name)
        self._found_at_s[name] = now_s

    def found_lately(self, *, now_s: float) -> list[int]:
        """Returns the hashes of those that other entries should be told of."""
        for name, at_s in list(self._found_at_s.items()):
            if now_s - at_s > REPLACED_TOLD_S:
                del self._found_at_s[name]
        return list(self._found_at_s)

    def outdated(self, record: UpstreamRecord) -> bool:
        """Whether a registration is of an incarnation that cannot be used.

        That is one that was found replaced, or one from before the newest
        that was known under its id.
        """
        if record.born_ms < self._born_ms.get(record.upstream_id, 0):
            return True
        return incarnation_hash(record.incarnation) in self._replaced

    def cold_until_s(self, record: UpstreamRecord) -> float | None:
        """Returns until when an incarnation that was known was cold.

        None for one that was not known, or that cannot be told from another
        start under its id.
        """
        return self._cold_until_s.get(record.incarnation)

    def left(self, record: UpstreamRecord) -> bool:
        """Whether an incarnation had said that it leaves before it ended."""
        return record.incarnation in self._left


def _remember(
    memory: OrderedDict[_Key, _Value], key: _Key, value: _Value
) -> None:
    memory[key] = value
    memory.move_to_end(key)
    if len(memory) > MEMORY:
        memory.popitem(last=False)
