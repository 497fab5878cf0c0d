"""A short, bounded queue before the slots of one service at one entry.

A burst of some milliseconds at a home would otherwise become refusals, although
a slot is free a moment later. What cannot be met in time is refused at once.
"""

from typing import NamedTuple

from almondstair.core.admission import SlotTable
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Refusal
from almondstair.core.model import Priority
from almondstair.errors import ErrorKind

RANKS: dict[Priority, int] = {
    Priority.INTERACTIVE: 0,
    Priority.COMMIT: 1,
    Priority.UPLOAD: 2,
    Priority.BATCH: 3,
}


class QueueLimits(NamedTuple):
    """Bounds of the queue.

    Attributes:
      length: most requests that wait.
      wait_s: longest time that one waits.
    """

    length: int = 32
    wait_s: float = 0.25


DEFAULT_LIMITS = QueueLimits()


class Waiting(NamedTuple):
    """A request in the queue.

    Attributes:
      number: unique within the queue.
      priority: of its class.
      deadline_s: its deadline.
      give_up_s: when it is refused if no slot came free.
      avoid: upstreams that it must not go to.
    """

    number: int
    priority: Priority
    deadline_s: float
    give_up_s: float
    avoid: frozenset[str] = frozenset()


class Decision(NamedTuple):
    """What became of a request that waited."""

    number: int
    result: Admission | Refusal


class AdmissionQueue:
    """Requests of one service that wait for a slot, by priority."""

    def __init__(
        self,
        *,
        service: str,
        slots: SlotTable,
        limits: QueueLimits = DEFAULT_LIMITS,
    ) -> None:
        """Makes an empty queue."""
        self._service = service
        self._slots = slots
        self._limits = limits
        self._waiting: list[Waiting] = []
        self._next_number = 0

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._waiting)

    def request(
        self,
        *,
        priority: Priority,
        deadline_s: float,
        now_s: float,
        avoid: frozenset[str] = frozenset(),
    ) -> Admission | Waiting | Refusal:
        """Takes a request in: a slot, a place in the queue, or a refusal.

        A waiting request that gives way to this one is decided by the next
        `advance`, which is to be called at once when this returns `Waiting`.
        """
        if not self._ahead_of(priority=priority):
            result = self._slots.choose(
                service=self._service,
                priority=priority,
                deadline_s=deadline_s,
                now_s=now_s,
                avoid=avoid,
            )
            if isinstance(result, Admission):
                return result
            if result.kind is not ErrorKind.NO_SLOT:
                return result
        if not self._can_be_served(
            priority=priority, deadline_s=deadline_s, now_s=now_s
        ):
            return self._refusal(now_s=now_s)
        self._next_number += 1
        waiting = Waiting(
            number=self._next_number,
            priority=priority,
            deadline_s=deadline_s,
            give_up_s=min(now_s + self._limits.wait_s, deadline_s),
            avoid=avoid,
        )
        self._insert(waiting=waiting)
        return waiting

    def advance(self, *, now_s: float) -> tuple[Decision, ...]:
        """Decides what can be decided now; call it after each release."""
        decisions: list[Decision] = []
        kept: list[Waiting] = []
        for waiting in self._waiting:
            result = self._decide(waiting=waiting, now_s=now_s)
            if result is not None:
                decisions.append(Decision(waiting.number, result))
                continue
            if len(kept) >= self._limits.length:
                refusal = self._refusal(now_s=now_s)
                decisions.append(Decision(waiting.number, refusal))
                continue
            kept.append(waiting)
        self._waiting = kept
        return tuple(decisions)

    def cancel(self, *, number: int) -> None:
        """Takes out a request whose caller has left."""
        kept = []
        for waiting in self._waiting:
            if waiting.number != number:
                kept.append(waiting)
        self._waiting = kept

    def next_due_s(self) -> float | None:
        """Returns when `advance` must be called at the latest."""
        soonest_s = None
        for waiting in self._waiting:
            if soonest_s is None or waiting.give_up_s < soonest_s:
                soonest_s = waiting.give_up_s
        return soonest_s

    def _decide(
        self, *, waiting: Waiting, now_s: float
    ) -> Admission | Refusal | None:
        if waiting.give_up_s <= now_s:
            return self._refusal(now_s=now_s)
        result = self._slots.choose(
            service=self._service,
            priority=waiting.priority,
            deadline_s=waiting.deadline_s,
            now_s=now_s,
            avoid=waiting.avoid,
        )
        if isinstance(result, Admission):
            return result
        if result.kind is ErrorKind.NO_SLOT:
            return None
        return result

    def _ahead_of(self, *, priority: Priority) -> int:
        """Returns how many requests wait that go before a new one."""
        ahead = 0
        for waiting in self._waiting:
            if RANKS[waiting.priority] <= RANKS[priority]:
                ahead += 1
        return ahead

    def _can_be_served(
        self, *, priority: Priority, deadline_s: float, now_s: float
    ) -> bool:
        ahead = self._ahead_of(priority=priority)
        if ahead >= self._limits.length:
            return False
        usable = self._slots.usable_slots(service=self._service, now_s=now_s)
        if usable < 1:
            return False
        each_s = self._slots.service_time_s(service=self._service)
        wait_s = each_s * (ahead + 1) / (usable + 1)
        if wait_s > self._limits.wait_s:
            return False
        return now_s + wait_s + each_s <= deadline_s

    def _insert(self, *, waiting: Waiting) -> None:
        place = self._ahead_of(priority=waiting.priority)
        self._waiting.insert(place, waiting)

    def _refusal(self, *, now_s: float) -> Refusal:
        return self._slots.refusal(
            service=self._service, now_s=now_s, waiting=len(self._waiting)
        )
