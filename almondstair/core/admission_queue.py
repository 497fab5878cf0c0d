"""A short, bounded queue for the slots of one service at one entry.

Without it a burst of a few milliseconds at a home would cause refusals although
a slot is free a moment later. A request that cannot be served in time is
refused at once.
"""

from typing import NamedTuple

from almondstair.core.admission import SlotTable
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Refusal
from almondstair.core.model import Priority
from almondstair.errors import ErrorKind

PRIORITY_RANKS: dict[Priority, int] = {
    Priority.INTERACTIVE: 0,
    Priority.COMMIT: 1,
    Priority.UPLOAD: 2,
    Priority.BATCH: 3,
}


class QueueLimits(NamedTuple):
    """Bounds of the queue.

    Attributes:
      length: maximum number of queued requests.
      wait_s: longest time in the queue, in seconds.
    """

    length: int = 32
    wait_s: float = 0.25


DEFAULT_LIMITS = QueueLimits()


class QueuedRequest(NamedTuple):
    """Holds a request in the queue; times are monotonic, in seconds.

    Attributes:
      number: identifier, unique within the queue.
      priority: priority of the request's class.
      deadline_s: deadline of the request.
      expires_s: when the request is refused if no slot has come free.
      excluded: upstreams that it must not go to.
    """

    number: int
    priority: Priority
    deadline_s: float
    expires_s: float
    excluded: frozenset[str] = frozenset()


class Decision(NamedTuple):
    """Holds the outcome of a queued request."""

    number: int
    result: Admission | Refusal


class AdmissionQueue:
    """Queues the requests of one service for a slot, by priority."""

    def __init__(
        self,
        *,
        service: str,
        slots: SlotTable,
        limits: QueueLimits = DEFAULT_LIMITS,
    ) -> None:
        """Creates an empty queue."""
        self._service = service
        self._slots = slots
        self._limits = limits
        self._waiting: list[QueuedRequest] = []
        self._next_number = 0

    def __len__(self) -> int:
        """Returns how many requests are queued."""
        return len(self._waiting)

    def submit(
        self,
        *,
        priority: Priority,
        deadline_s: float,
        now_s: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Admission | QueuedRequest | Refusal:
        """Admits, queues or refuses a request.

        If this returns `QueuedRequest`, call `advance` at once: if the queue is
        too long now, it refuses the queued request that this one displaces.
        """
        if not self._ahead_of(priority=priority):
            result = self._slots.acquire(
                service=self._service,
                priority=priority,
                deadline_s=deadline_s,
                now_s=now_s,
                excluded=excluded,
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
        waiting = QueuedRequest(
            number=self._next_number,
            priority=priority,
            deadline_s=deadline_s,
            expires_s=min(now_s + self._limits.wait_s, deadline_s),
            excluded=excluded,
        )
        self._insert(waiting=waiting)
        return waiting

    def advance(self, *, now_s: float) -> tuple[Decision, ...]:
        """Admits or refuses queued requests; call it after each release."""
        decisions: list[Decision] = []
        kept: list[QueuedRequest] = []
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
        """Removes a request whose caller has disconnected."""
        kept = []
        for waiting in self._waiting:
            if waiting.number != number:
                kept.append(waiting)
        self._waiting = kept

    def next_due_s(self) -> float | None:
        """Returns when `advance` is due at the latest, None if none wait."""
        soonest_s = None
        for waiting in self._waiting:
            if soonest_s is None or waiting.expires_s < soonest_s:
                soonest_s = waiting.expires_s
        return soonest_s

    def _decide(
        self, *, waiting: QueuedRequest, now_s: float
    ) -> Admission | Refusal | None:
        if waiting.expires_s <= now_s:
            return self._refusal(now_s=now_s)
        result = self._slots.acquire(
            service=self._service,
            priority=waiting.priority,
            deadline_s=waiting.deadline_s,
            now_s=now_s,
            excluded=waiting.excluded,
        )
        if isinstance(result, Admission):
            return result
        if result.kind is ErrorKind.NO_SLOT:
            return None
        return result

    def _ahead_of(self, *, priority: Priority) -> int:
        """Returns how many queued requests go before a new one."""
        ahead = 0
        for waiting in self._waiting:
            if PRIORITY_RANKS[waiting.priority] <= PRIORITY_RANKS[priority]:
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
        service_time_s = self._slots.service_time_s(service=self._service)
        wait_s = service_time_s * (ahead + 1) / (usable + 1)
        if wait_s > self._limits.wait_s:
            return False
        return now_s + wait_s + service_time_s <= deadline_s

    def _insert(self, *, waiting: QueuedRequest) -> None:
        position = self._ahead_of(priority=waiting.priority)
        self._waiting.insert(position, waiting)

    def _refusal(self, *, now_s: float) -> Refusal:
        return self._slots.refusal(
            service=self._service, now_s=now_s, waiting=len(self._waiting)
        )
