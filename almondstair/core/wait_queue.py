"""Decides which requests of a service wait at the entry, and which goes next.

It answers a load of more than all slots of a service serve, with requests of
several priorities. Upstreams queue in the order of arrival, so a long queue
there delays the highest priority as much as the lowest. While requests wait at
the entry instead, a slot that becomes free goes to the one that ranks first:

1. by priority;
2. callers that have returned before new ones;
3. by the latest time at which it can be sent and still be on time; requests
   that can no longer be on time come last.

The lowest priority gets the slot if it is served less than a quarter as often
as all requests. A request is refused as soon as it can no longer be answered
within its time, by itself or because those ahead of it take too long.
"""

import bisect
from collections.abc import Callable, Collection
import enum
import heapq
import math
from typing import NamedTuple

from almondstair.core.choosing import Choice

# Limits of the waiting requests of an entry and of the bytes of their bodies.
MAX_WAITING = 1000
MAX_WAITING_BYTES = 8 * 1024 * 1024
# Placements of one event that find no slot. Each costs as much as the choice
# for a new request, so that more of them would delay those.
MAX_FAILED_PLACEMENTS = 4
# Placements of one event that find one.
MAX_PLACEMENTS = 16
# Age at which the upstreams that suit a waiting request are found again, since
# others may have its object cached by now, and how many one event finds.
TARGETS_AGE_S = 0.25
MAX_TARGETS_FOUND = 16
# The lowest priority is served at least this fraction as often as all requests.
LOWEST_SERVED_SHARE = 0.25
# Time constant of the rates of arriving and sent requests. It spans several run
# times, and follows a burst within seconds.
RATE_TIME_S = 2.0
# Share of the arriving requests below which a priority does not count as asked
# for.
MIN_ASKED_SHARE = 0.02
# Least time between two searches for requests to refuse.
REFUSAL_INTERVAL_S = 0.01
# Fraction of the best possible rate of slots that is always assumed. Runs that
# last longer than the rates reach back must not look like no slots at all.
MIN_RATE_SHARE = 0.25
# Lowest rate with which waits are computed, in slots per second.
_MIN_PER_S = 1e-6
# Factor on the expected run time that is kept free before a request's deadline.
# Run times vary, and a request that may not repeat must not outlast it.
RUN_MARGIN = 1.3
# Longest queue that a request joins at an upstream, in mean run times of its
# service, by the number of higher priorities that ask for the service; the last
# one is for all further ones. Those that rank first may stand behind those that
# run, so that an entry without requests at an upstream gets slots there.
QUEUE_RUNS = (1.5, 0.25, 0.0)


class WaitEnd(enum.StrEnum):
    """Says why a request waits no longer.

    Attributes:
      SENT: it got a slot.
      OUT_OF_TIME: it can no longer be answered within its time.
      BEHIND_OTHERS: those ahead of it take longer than it has left.
      QUEUE_FULL: requests that rank before it take all places.
      NOT_PLACEABLE: no upstream can get it at present, full or not.
      FAILED: it must not be sent.
      CALLER_LEFT: its caller disconnected, or its deadline passed.
    """

    SENT = "sent"
    OUT_OF_TIME = "out_of_time"
    BEHIND_OTHERS = "behind_others"
    QUEUE_FULL = "queue_full"
    NOT_PLACEABLE = "not_placeable"
    FAILED = "failed"
    CALLER_LEFT = "caller_left"


class WaitRequest(NamedTuple):
    """A request that needs a slot.

    Attributes:
      priority: its priority; 0 is the highest.
      has_returned: whether its caller had been refused before.
      latest_s: when it has to be sent to be on time, on the entry's clock, in
        seconds.
      give_up_s: when it has to be sent to be answered at all, on the entry's
        clock, in seconds.
      body_bytes: bytes of its body that are held while it waits.
    """

    priority: int
    has_returned: bool
    latest_s: float
    give_up_s: float
    body_bytes: int = 0


class WaitTimes(NamedTuple):
    """When a request has to be sent; see `WaitRequest`."""

    latest_s: float
    give_up_s: float


class _Rank(NamedTuple):
    priority: int
    is_new: bool
    is_late: bool
    latest_s: float
    number: int


class QueuedRequest:
    """A request in a queue.

    Attributes:
      request: the request.
      targets: hashes of the upstreams that run it while its service is crowded;
        any if empty.
      targets_at_s: when these were determined, on the entry's clock, in
        seconds.
      entered_s: when it began to wait, on the entry's clock, in seconds.
      rank: its place in the order.
      give_up_s: when it has to be sent to be answered at all, on the entry's
        clock, in seconds.
    """

    __slots__ = (
        "entered_s",
        "give_up_s",
        "rank",
        "request",
        "targets",
        "targets_at_s",
    )

    def __init__(
        self,
        *,
        request: WaitRequest,
        targets: frozenset[int],
        entered_s: float,
        number: int,
    ) -> None:
        """Creates the place of a request that begins to wait."""
        self.request = request
        self.targets = targets
        self.targets_at_s = entered_s
        self.entered_s = entered_s
        self.give_up_s = request.give_up_s
        self.rank = _Rank(
            priority=request.priority,
            is_new=not request.has_returned,
            is_late=request.latest_s < entered_s,
            latest_s=request.latest_s,
            number=number,
        )


class Refusal(NamedTuple):
    """A waiting request that has to be refused, and why."""

    queued: QueuedRequest
    reason: WaitEnd


class DueRefusals(NamedTuple):
    """The requests to refuse now, and when the next one is due.

    Attributes:
      refusals: the requests, in order.
      next_s: when to look again if nothing changes, on the entry's clock, in
        seconds; infinite if no request waits.
    """

    refusals: list[Refusal]
    next_s: float


class WaitCapacity:
    """Limits the requests that wait at one entry, over all services."""

    def __init__(self) -> None:
        """Starts without requests."""
        self.waiting = 0
        self.held_bytes = 0

    def has_capacity(
        self, *, body_bytes: int, replaced: WaitRequest | None = None
    ) -> bool:
        """Returns whether one more request may wait.

        Args:
          body_bytes: bytes of its body.
          replaced: a waiting request that would leave; None if none would.
        """
        waiting = self.waiting
        held_bytes = self.held_bytes
        if replaced is not None:
            waiting -= 1
            held_bytes -= replaced.body_bytes
        if waiting >= MAX_WAITING:
            return False
        return held_bytes + body_bytes <= MAX_WAITING_BYTES


class _Rate:
    """A rate whose older samples fade."""

    __slots__ = ("_at_s", "_count")

    def __init__(self) -> None:
        self._count = 0.0
        self._at_s = 0.0

    def add(self, *, now_s: float) -> None:
        self._fade(now_s)
        self._count += 1.0

    def per_s(self, *, now_s: float) -> float:
        self._fade(now_s)
        return self._count / RATE_TIME_S

    def _fade(self, now_s: float) -> None:
        if now_s > self._at_s:
            self._count *= math.exp((self._at_s - now_s) / RATE_TIME_S)
            self._at_s = now_s


class WaitQueue:
    """The waiting requests of one service at one entry, in order."""

    def __init__(self, *, capacity: WaitCapacity) -> None:
        """Starts without requests.

        Args:
          capacity: the limits, shared by the queues of the entry.
        """
        self._capacity = capacity
        self._order: list[QueuedRequest] = []
        # On-time requests by the time at which they become late; those that
        # have left are skipped.
        self._becoming_late: list[tuple[float, int, QueuedRequest]] = []
        self._number = 0
        self._checked_s = -math.inf
        self._waits_since_s = 0.0
        self._next_refusal_s = math.inf
        self._arrived: dict[int, _Rate] = {}
        self._sent: dict[int, _Rate] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._order)

    def waiting(self) -> list[QueuedRequest]:
        """Returns the waiting requests in order."""
        return list(self._order)

    def outdated_targets(self, *, now_s: float) -> list[QueuedRequest]:
        """Returns the first requests whose targets are to be found again."""
        found = []
        for queued in self._order:
            if now_s - queued.targets_at_s < TARGETS_AGE_S:
                continue
            found.append(queued)
            if len(found) >= MAX_TARGETS_FOUND:
                break
        return found

    # Rates.

    def record_arrival(self, priority: int, *, now_s: float) -> None:
        """Counts a request that asks for a slot for the first time."""
        self._arrived.setdefault(priority, _Rate()).add(now_s=now_s)

    def record_sent(self, priority: int, *, now_s: float) -> None:
        """Counts a request that got a slot, whether it has waited or not."""
        self._sent.setdefault(priority, _Rate()).add(now_s=now_s)

    def count_higher(self, priority: int, *, now_s: float) -> int:
        """Returns how many higher priorities ask for the service now."""
        arrived = _per_s(self._arrived, now_s)
        least_per_s = MIN_ASKED_SHARE * sum(arrived.values())
        higher = 0
        for other, per_s in arrived.items():
            if other < priority and per_s > least_per_s:
                higher += 1
        return higher

    # Entering and leaving.

    def add(
        self,
        request: WaitRequest,
        *,
        targets: frozenset[int],
        now_s: float,
    ) -> QueuedRequest | None:
        """Adds a request; returns None if there is no place for it.

        Args:
          request: the request.
          targets: hashes of the upstreams that run it while its service is
            crowded; any if empty.
          now_s: the entry's clock, in seconds.
        """
        if not self._capacity.has_capacity(body_bytes=request.body_bytes):
            return None
        if not self._order:
            self._waits_since_s = now_s
        self._number += 1
        queued = QueuedRequest(
            request=request,
            targets=targets,
            entered_s=now_s,
            number=self._number,
        )
        self._insert(queued)
        if not queued.rank.is_late:
            heapq.heappush(
                self._becoming_late, (request.latest_s, self._number, queued)
            )
        self._next_refusal_s = now_s
        self._capacity.waiting += 1
        self._capacity.held_bytes += request.body_bytes
        return queued

    def last_behind(
        self, request: WaitRequest, *, now_s: float
    ) -> QueuedRequest | None:
        """Returns the last request if a new one may take its place.

        It is None if the last one ranks first, or if its place is too small.
        """
        self._demote_late(now_s)
        if not self._order:
            return None
        last = self._order[-1]
        is_late = request.latest_s < now_s
        rank = _Rank(
            request.priority,
            not request.has_returned,
            is_late,
            request.latest_s,
            self._number + 1,
        )
        if rank > last.rank:
            return None
        if not self._capacity.has_capacity(
            body_bytes=request.body_bytes, replaced=last.request
        ):
            return None
        return last

    def limit_give_up(self, ends_s: float) -> None:
        """Lets all waiting requests be given up at a time at the latest.

        Args:
          ends_s: the time on the entry's clock, in seconds.
        """
        for queued in self._order:
            queued.give_up_s = min(queued.give_up_s, ends_s)
        # The next refusal that was found before is too late.
        self._checked_s = -math.inf

    def remove(self, queued: QueuedRequest) -> bool:
        """Removes a request; returns False if it had left before."""
        at = bisect.bisect_left(self._order, queued.rank, key=_rank)
        if at == len(self._order) or self._order[at] is not queued:
            return False
        del self._order[at]
        self._capacity.waiting -= 1
        self._capacity.held_bytes -= queued.request.body_bytes
        if not self._order:
            self._becoming_late.clear()
        return True

    def _insert(self, queued: QueuedRequest) -> None:
        bisect.insort(self._order, queued, key=_rank)

    def _demote_late(self, now_s: float) -> None:
        """Moves requests that can no longer be on time behind the others."""
        pending = self._becoming_late
        while pending and pending[0][0] < now_s:
            queued = heapq.heappop(pending)[2]
            at = bisect.bisect_left(self._order, queued.rank, key=_rank)
            if at == len(self._order) or self._order[at] is not queued:
                continue
            del self._order[at]
            queued.rank = queued.rank._replace(is_late=True)
            self._insert(queued)

    # Sending.

    def serve(
        self,
        place: Callable[[QueuedRequest], bool],
        *,
        free: Collection[int] | None,
        now_s: float,
        max_placements: int = MAX_PLACEMENTS,
    ) -> int:
        """Offers free slots to the waiting requests in order.

        Args:
          place: places a request on an upstream, and returns whether it found
            one; it removes a request from the queue that must not be sent.
          free: hashes of the upstreams that may have a free slot; None if any
            upstream may run any request.
          now_s: the entry's clock, in seconds.
          max_placements: requests that are placed at most.

        Returns:
          The number of requests that were placed. They have left the queue.
        """
        placed = 0
        failed = 0
        for queued in self._candidates(free, now_s):
            if not place(queued):
                failed += 1
                if failed >= MAX_FAILED_PLACEMENTS:
                    break
                continue
            self.remove(queued)
            self.record_sent(queued.request.priority, now_s=now_s)
            placed += 1
            if placed >= max_placements:
                break
        return placed

    def _candidates(
        self, free: Collection[int] | None, now_s: float
    ) -> list[QueuedRequest]:
        """Returns the first requests that the free upstreams may run."""
        self._demote_late(now_s)
        count = MAX_PLACEMENTS + MAX_FAILED_PLACEMENTS
        found: list[QueuedRequest] = []
        if self._lowest_is_starved(now_s):
            lowest = self._order[-1].rank.priority
            first = bisect.bisect_left(
                self._order, lowest, key=lambda queued: queued.rank.priority
            )
            found = _first_matching(self._order[first:], free, 1)
        for queued in _first_matching(self._order, free, count):
            if queued not in found:
                found.append(queued)
        return found

    def _lowest_is_starved(self, now_s: float) -> bool:
        """Returns whether the lowest priority is served too seldom."""
        if not self._order or not self._arrived:
            return False
        lowest = self._order[-1].rank.priority
        if lowest != max(self._arrived) or lowest == self._order[0].rank[0]:
            return False
        arrived = _per_s(self._arrived, now_s)
        sent = _per_s(self._sent, now_s)
        served = sent.get(lowest, 0.0) * sum(arrived.values())
        due = LOWEST_SERVED_SHARE * sum(sent.values()) * arrived[lowest]
        return served < due

    # Refusing.

    def due(self, *, expected_per_s: float, now_s: float) -> DueRefusals:
        """Returns the requests that can no longer be answered in their time.

        Args:
          expected_per_s: requests a second that this entry's part of the
            service's slots finishes at best.
          now_s: the entry's clock, in seconds.
        """
        if not self._order:
            return DueRefusals([], math.inf)
        checkable_s = self._checked_s + REFUSAL_INTERVAL_S
        if now_s < checkable_s:
            return DueRefusals([], max(checkable_s, self._next_refusal_s))
        self._demote_late(now_s)
        self._checked_s = now_s
        waits = _ExpectedWaits(
            arrived=_per_s(self._arrived, now_s),
            sent_per_s=self._slots_per_s(expected_per_s, now_s),
        )
        refusals = []
        next_s = math.inf
        group: tuple[int, bool] | None = None
        ahead = 0
        first_of_priority = 0
        slot_s = floor_s = 0.0
        for queued in self._order:
            rank = queued.rank
            if group != (rank.priority, rank.is_late):
                if group is None or group[0] != rank.priority:
                    first_of_priority = ahead
                group = (rank.priority, rank.is_late)
                slot_s, floor_s = waits.intervals_s(*group)
            ends_s = give_up_s = queued.give_up_s
            wait_s = ahead * slot_s
            if floor_s:
                wait_s = min(wait_s, (ahead - first_of_priority) * floor_s)
            ends_s -= wait_s
            if ends_s > now_s:
                ahead += 1
                # Those ahead change with events only, and each event looks
                # again; a timer for them would follow the rates as they fade.
                next_s = min(next_s, give_up_s)
                continue
            reason = WaitEnd.BEHIND_OTHERS
            if give_up_s <= now_s:
                reason = WaitEnd.OUT_OF_TIME
            refusals.append(Refusal(queued, reason))
        self._next_refusal_s = next_s
        return DueRefusals(refusals, max(next_s, now_s + REFUSAL_INTERVAL_S))

    def _slots_per_s(self, expected_per_s: float, now_s: float) -> float:
        """Returns the rate at which this queue gets slots.

        While requests have waited for a short time only, few may have been sent
        although there are slots for more.
        """
        sent_per_s = sum(_per_s(self._sent, now_s).values())
        trust = math.exp((self._waits_since_s - now_s) / RATE_TIME_S)
        return max(sent_per_s, expected_per_s * max(trust, MIN_RATE_SHARE))


class _ExpectedWaits:
    """Expected intervals between slots by rank, from the rates of a queue."""

    def __init__(self, *, arrived: dict[int, float], sent_per_s: float) -> None:
        self._arrived = arrived
        self._sent_per_s = sent_per_s
        self._total_per_s = sum(arrived.values())
        self._lowest = max(arrived, default=0)

    def intervals_s(self, priority: int, is_late: bool) -> tuple[float, float]:
        """Returns the time that each request ahead of another one takes.

        Returns:
          The time for each request ahead, in seconds, and the same for each one
          ahead that has the same priority, by the share that the lowest
          priority is given; 0 if it is not the lowest.
        """
        rate_per_s = self._sent_per_s
        for other, arrived_per_s in self._arrived.items():
            # New ones will go first, too.
            if other < priority or (is_late and other == priority):
                rate_per_s -= arrived_per_s
        slot_s = 1 / max(rate_per_s, _MIN_PER_S)
        if priority != self._lowest or not self._total_per_s:
            return slot_s, 0.0
        share = self._arrived.get(priority, 0.0) / self._total_per_s
        floor_per_s = LOWEST_SERVED_SHARE * share * self._sent_per_s
        return slot_s, 1 / max(floor_per_s, _MIN_PER_S)


def _rank(queued: QueuedRequest) -> _Rank:
    return queued.rank


def _per_s(rates: dict[int, _Rate], now_s: float) -> dict[int, float]:
    found = {}
    for priority, rate in rates.items():
        found[priority] = rate.per_s(now_s=now_s)
    return found


def _first_matching(
    order: list[QueuedRequest], free: Collection[int] | None, count: int
) -> list[QueuedRequest]:
    if free is None:
        return order[:count]
    found: list[QueuedRequest] = []
    for queued in order:
        if queued.targets and queued.targets.isdisjoint(free):
            continue
        found.append(queued)
        if len(found) >= count:
            break
    return found


def send_times(
    *,
    arrived_s: float,
    caller_age_s: float,
    target_latency_s: float,
    deadline_s: float,
    run_s: float,
) -> WaitTimes:
    """Returns when a request has to be sent.

    Args:
      arrived_s: its arrival on the entry's clock, in seconds.
      caller_age_s: how long its caller waited before this attempt, in seconds.
      target_latency_s: its latency target, in seconds.
      deadline_s: when its caller gives up or its route's timeout ends, on the
        entry's clock, in seconds.
      run_s: its shortest expected time to a response, in seconds.
    """
    needed_s = RUN_MARGIN * run_s
    on_time_s = arrived_s - caller_age_s + target_latency_s - needed_s
    give_up_s = deadline_s - needed_s
    return WaitTimes(latest_s=min(on_time_s, give_up_s), give_up_s=give_up_s)


def is_sendable(choice: Choice, *, remaining_s: float) -> bool:
    """Returns whether a request is expected to end within its time.

    Args:
      choice: its upstream, with the estimates for it.
      remaining_s: time left before it is given up, in seconds.
    """
    return choice.expected_s < remaining_s


def queue_runs(higher: int) -> float:
    """Returns the longest queue that a request joins at an upstream.

    Args:
      higher: number of higher priorities that ask for its service.

    Returns:
      The time in that queue, in mean run times of the service.
    """
    return QUEUE_RUNS[min(higher, len(QUEUE_RUNS) - 1)]
