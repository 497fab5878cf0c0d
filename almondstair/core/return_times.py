"""Decides when callers of refused requests should return.

Callers retry once. If all of them returned after the same delay, they would
meet the same full slots. So return times are spread over the capacity that is
likely to be free, and callers beyond it return as late as they can.
"""

import abc
import bisect
import enum
import math
from typing import NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.request_placer import NO_CAPACITY_RETRY_MS
from almondstair.core.run_times import RunTimes

# Share of its remaining time that a caller waits before a retry at most. It
# cuts a longer delay.
MAX_WAIT_SHARE = 1 / 3
# Precision of the delay that responses state. Responses round it up.
DELAY_STEP_MS = 10
# Share of the capacity that is assigned to returning callers while new ones use
# all of it.
MIN_RETURN_SHARE = 0.1
# Largest share that is assigned. Entries know loads and rates only roughly.
MAX_RETURN_SHARE = 0.9
# Time over which arrivals are averaged. An entry gets 2 to 20 requests a
# second, so a shorter mean would follow chance.
ARRIVALS_MEAN_S = 2.0
# Maximum age of a sum over the upstreams of a service. A sum over 300 upstreams
# takes half a millisecond.
MAX_BACKLOG_AGE_S = 0.1
# Turns are reported as available again once no caller has been refused a turn
# for this time.
EXHAUSTED_HOLD_S = 10.0


class ReturnBasis(enum.StrEnum):
    """States what a return time rests on.

    Attributes:
      CONSTANT: it is the same for every caller.
      TURN: it is a turn in the capacity that is likely to be free.
      LATEST: the caller gets no turn; it is the latest return that it keeps to
        and that leaves time to run.
      NONE: no return leaves time to run, so there is no return time.
    """

    CONSTANT = "constant"
    TURN = "turn"
    LATEST = "latest"
    NONE = "none"


class ReturnRequest(NamedTuple):
    """A request that is refused for lack of capacity.

    Attributes:
      service: the service that would have handled it.
      route: name of its route.
      priority: its priority; 0 is the highest.
      target_latency_s: its latency target, in seconds.
      caller_left_s: how long its caller waits from now on, in seconds.
      has_returned: whether its caller is certain to have returned once. It is
        not expected again, and uses up no turn.
    """

    service: str
    route: str
    priority: int
    target_latency_s: float
    caller_left_s: float
    has_returned: bool = False


class ReturnDecision(NamedTuple):
    """When a caller should return.

    Attributes:
      retry_after_ms: the delay before its retry, in milliseconds; None if a
        retry cannot help.
      basis: what the delay rests on.
    """

    retry_after_ms: int | None
    basis: ReturnBasis


class TurnsChange(NamedTuple):
    """Turns of a class of requests have run out, or are available again.

    Attributes:
      requests: the class of requests.
      exhausted: whether they have run out.
      without_turn: callers that got no turn since they ran out.
    """

    requests: RequestClass
    exhausted: bool
    without_turn: int


class ReturnTimes(abc.ABC):
    """Assigns the return time of each refused caller."""

    @abc.abstractmethod
    def decide(self, request: ReturnRequest, *, now_s: float) -> ReturnDecision:
        """Returns when a caller should retry.

        Args:
          request: the refused request.
          now_s: the entry's clock, in seconds.
        """

    def record_arrival(self, requests: RequestClass, *, now_s: float) -> None:
        """Counts a request of a new caller at this entry."""
        del requests, now_s

    def take_changes(self, *, now_s: float) -> list[TurnsChange]:
        """Returns the changes of available turns since the last call."""
        del now_s
        return []


class ConstantReturn(ReturnTimes):
    """Asks every caller to return after the same delay."""

    def decide(self, request: ReturnRequest, *, now_s: float) -> ReturnDecision:
        """Returns the delay of inactive deployments; see the base class."""
        del request, now_s
        return ReturnDecision(NO_CAPACITY_RETRY_MS, ReturnBasis.CONSTANT)


class BacklogReturn(ReturnTimes):
    """Assigns turns in the capacity that is likely to be free.

    Each of N entries assigns each Nth turn of a service, in the order in which
    it refuses callers. A turn of a priority postpones the turns of lower
    priorities that are not assigned yet.
    """

    def __init__(
        self,
        *,
        own_name: str,
        fleet: Fleet,
        run_times: RunTimes,
        records: OverloadRecords,
    ) -> None:
        """Starts without turns.

        Args:
          own_name: name of this entry.
          fleet: the entry's view of upstreams, their loads and the entries.
          run_times: learned run times of requests.
          records: counts the requests that wait at this entry, and the
            decisions.
        """
        self._own_name = own_name
        self._fleet = fleet
        self._run_times = run_times
        self._records = records
        self._backlogs: dict[str, tuple[float, _Backlog]] = {}
        self._arrivals: dict[str, dict[int, _Rate]] = {}
        self._next_s: dict[str, dict[int, float]] = {}
        self._exhausted: dict[RequestClass, _Exhausted] = {}
        self._new_changes: list[TurnsChange] = []

    def decide(self, request: ReturnRequest, *, now_s: float) -> ReturnDecision:
        """Returns the caller's turn; see the base class."""
        decision = self._decide(request, now_s)
        requests = RequestClass(request.service, request.priority)
        self._records.record_return_time(requests, basis=str(decision.basis))
        return decision

    def record_arrival(self, requests: RequestClass, *, now_s: float) -> None:
        """Counts a request of a new caller; see the base class."""
        rates = self._arrivals.setdefault(requests.service, {})
        rates.setdefault(requests.priority, _Rate()).add(now_s=now_s)

    def take_changes(self, *, now_s: float) -> list[TurnsChange]:
        """Returns the changes of available turns; see the base class."""
        for requests, exhausted in list(self._exhausted.items()):
            if now_s - exhausted.last_s < EXHAUSTED_HOLD_S:
                continue
            del self._exhausted[requests]
            self._new_changes.append(
                TurnsChange(requests, False, exhausted.without_turn)
            )
        changes = self._new_changes
        self._new_changes = []
        return changes

    def _decide(self, request: ReturnRequest, now_s: float) -> ReturnDecision:
        run_s = self._run_times.expected(
            route=request.route, target_latency_s=request.target_latency_s
        ).cached_s
        latest_s = min(
            MAX_WAIT_SHARE * request.caller_left_s,
            request.caller_left_s - run_s,
        )
        # Responses state multiples of the step, so the latest one is rounded
        # down.
        latest_ms = math.floor(latest_s * 1000 / DELAY_STEP_MS) * DELAY_STEP_MS
        if latest_ms < DELAY_STEP_MS:
            return ReturnDecision(None, ReturnBasis.NONE)
        if request.has_returned:
            return ReturnDecision(latest_ms, ReturnBasis.LATEST)
        backlog = self._backlog(
            request.service, request.target_latency_s, now_s
        )
        if not backlog.slots:
            # When resting or unreachable slots are back is not known here.
            delay_ms = min(NO_CAPACITY_RETRY_MS, latest_ms)
            return ReturnDecision(delay_ms, ReturnBasis.CONSTANT)
        turn_s = self._turn_s(request, backlog, now_s)
        delay_ms = math.ceil((turn_s - now_s) * 1000)
        if delay_ms > latest_ms:
            self._record_exhausted(request, now_s)
            return ReturnDecision(latest_ms, ReturnBasis.LATEST)
        self._assign(request, backlog, turn_s, now_s)
        return ReturnDecision(delay_ms, ReturnBasis.TURN)

    def _turn_s(
        self, request: ReturnRequest, backlog: "_Backlog", now_s: float
    ) -> float:
        """Returns the first turn that is not assigned yet."""
        waiting = self._entries() * self._records.waiting(request.service)
        excess = max(0.0, backlog.queued + waiting + 1 - backlog.free)
        # An upstream takes this long on average to free a slot.
        delay_s = max(backlog.upstreams, excess) / backlog.capacity_per_s
        opens_s = now_s + delay_s
        next_s = -math.inf
        for priority, at_s in self._next_s.get(request.service, {}).items():
            if priority <= request.priority:
                next_s = max(next_s, at_s)
        if next_s > opens_s:
            return next_s
        # Entries that begin at the same moment would otherwise all assign the
        # same first turn.
        interval_s = self._interval_s(request, backlog, now_s)
        return opens_s + interval_s * self._phase()

    def _assign(
        self,
        request: ReturnRequest,
        backlog: "_Backlog",
        turn_s: float,
        now_s: float,
    ) -> None:
        interval_s = self._interval_s(request, backlog, now_s)
        turns = self._next_s.setdefault(request.service, {})
        for priority, next_s in turns.items():
            if priority > request.priority and next_s > turn_s:
                turns[priority] = next_s + interval_s
        turns[request.priority] = turn_s + interval_s

    def _interval_s(
        self, request: ReturnRequest, backlog: "_Backlog", now_s: float
    ) -> float:
        """Returns the time between two turns that this entry assigns."""
        entries = self._entries()
        arrivals_per_s = 0.0
        for priority, rate in self._arrivals.get(request.service, {}).items():
            if priority <= request.priority:
                arrivals_per_s += entries * rate.per_s(now_s=now_s)
        share = 1.0 - arrivals_per_s / backlog.capacity_per_s
        share = min(MAX_RETURN_SHARE, max(MIN_RETURN_SHARE, share))
        return entries / (share * backlog.capacity_per_s)

    def _entries(self) -> int:
        return max(1, len(self._fleet.entry_names))

    def _phase(self) -> float:
        """Returns this entry's place among all in an interval, 0 to 1."""
        names = sorted(self._fleet.entry_names)
        # An entry that is not registered takes the place that it will have.
        place = bisect.bisect_left(names, self._own_name)
        return place / max(1, len(names))

    def _record_exhausted(self, request: ReturnRequest, now_s: float) -> None:
        requests = RequestClass(request.service, request.priority)
        exhausted = self._exhausted.get(requests)
        if exhausted is None:
            exhausted = _Exhausted()
            self._exhausted[requests] = exhausted
            self._new_changes.append(TurnsChange(requests, True, 1))
        exhausted.without_turn += 1
        exhausted.last_s = now_s

    def _backlog(
        self, service: str, target_latency_s: float, now_s: float
    ) -> "_Backlog":
        found = self._backlogs.get(service)
        if found is not None and now_s - found[0] < MAX_BACKLOG_AGE_S:
            return found[1]
        response_s = self._run_times.service_response_s(
            service=service, default_s=target_latency_s
        )
        backlog = _sum_backlog(self._fleet, service, response_s, now_s)
        self._backlogs[service] = (now_s, backlog)
        return backlog


class _Backlog(NamedTuple):
    """Load of a service's upstreams.

    Attributes:
      upstreams: upstreams that take requests.
      slots: their slots.
      queued: requests in their queues.
      free: their free slots.
      capacity_per_s: requests that all slots complete per second.
    """

    upstreams: int
    slots: int
    queued: float
    free: float
    capacity_per_s: float


def _sum_backlog(
    fleet: Fleet, service: str, response_s: float, now_s: float
) -> _Backlog:
    """Returns the load of the upstreams that take requests of a service.

    By Little's law, the requests at the upstreams divided by the mean response
    time are what the busy slots complete per second. Both include queues.
    """
    upstreams = 0
    slots = 0
    queued = 0.0
    free = 0.0
    for upstream in fleet.eligible_upstreams(service):
        if upstream.is_cold(now_s=now_s) or upstream.is_paused():
            continue
        if upstream.rest.is_running(now_s=now_s):
            continue
        load = upstream.estimated_load(
            now_s=now_s, peer_loads_complete=fleet.peer_loads_complete
        )
        upstreams += 1
        slots += upstream.record.slots
        queued += max(0.0, load - upstream.record.slots)
        free += max(0.0, upstream.record.slots - load)
    busy = slots - free
    capacity_per_s = slots / response_s
    if busy >= 1.0:
        capacity_per_s = (busy + queued) / response_s * slots / busy
    return _Backlog(upstreams, slots, queued, free, capacity_per_s)


class _Exhausted:
    """A time without free turns for a class of requests."""

    __slots__ = ("last_s", "without_turn")

    def __init__(self) -> None:
        self.last_s = 0.0
        self.without_turn = 0


class _Rate:
    """Mean rate of arrivals, in which older ones count less."""

    __slots__ = ("_per_s", "_updated_s")

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_s = 0.0

    def add(self, *, now_s: float) -> None:
        self._per_s = self.per_s(now_s=now_s) + 1.0 / ARRIVALS_MEAN_S
        self._updated_s = now_s

    def per_s(self, *, now_s: float) -> float:
        """Returns arrivals per second; too few within the first seconds."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-age_s / ARRIVALS_MEAN_S)
