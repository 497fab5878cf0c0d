"""Short and long requests in one service, in virtual time.

The choice of upstreams is the real code. Upstreams have slots and a FIFO queue;
one entry knows their exact loads, and every object is cached at all upstreams,
so only queueing affects the result.
"""

from collections import deque
import heapq
from typing import NamedTuple

from almondstair.core import entry_waits
from almondstair.core.choosing import SelectionCriteria
from almondstair.core.choosing import select_upstream
from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.run_times import ExpectedRunTimes
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import UpstreamState

_TICK_S = 0.005


class RequestKind(NamedTuple):
    """A kind of request: its rate, run time and latency target."""

    name: str
    per_s: float
    run_s: float
    target_latency_s: float


class _Request(NamedTuple):
    arrived_s: float
    number: int
    kind: RequestKind


class RequestKindOutcome(NamedTuple):
    """Counts of the requests of one kind by outcome."""

    asked: int
    in_target: int
    late: int
    refused: int


def _route(kind):
    return Route(
        name=kind.name,
        hostname="h",
        prefix=f"/{kind.name}/",
        kind=RouteKind.SAFE,
        target_latency_s=kind.target_latency_s,
        timeout_s=8.0,
        attempts=2,
        priority=2,
        key_affinity=True,
        destinations=(Destination("s", 1),),
        allowed_regions=(),
    )


class MixedLoad:
    """Simulates kinds of requests on the upstreams of one service."""

    def __init__(self, *, upstreams, slots, kinds, waits):
        """Creates a simulation.

        Args:
          upstreams: number of upstreams.
          slots: slots of each upstream.
          kinds: kinds of requests.
          waits: whether requests may wait at the entry.
        """
        self._kinds = kinds
        self._waits = waits
        self._min_target_s = min(kind.target_latency_s for kind in kinds)
        total = sum(kind.per_s for kind in kinds)
        work = sum(kind.per_s * kind.run_s for kind in kinds)
        self._mean_run_s = work / total
        self._upstreams = []
        for number in range(upstreams):
            record = UpstreamRecord(
                f"u{number}", "s", "a:1", "z", "v", slots, False, 0.0
            )
            self._upstreams.append(UpstreamState(record=record, region="r"))
        self._queues = [deque() for _ in range(upstreams)]
        self._running = [[] for _ in range(upstreams)]
        self._waiting = []
        self._counts = {kind.name: [0, 0, 0, 0] for kind in kinds}
        self._cold_start_limiter = ColdStartLimiter(
            own_name="e", rate_factor=1.5, slack=5
        )

    def run(self, *, span_s):
        """Runs the simulation and returns the outcome of each kind by name."""
        numbers = {kind.name: 0 for kind in self._kinds}
        next_retry_s = 0.0
        for tick in range(round(span_s / _TICK_S)):
            now_s = tick * _TICK_S
            self._end_runs(now_s)
            if now_s >= next_retry_s:
                next_retry_s = now_s + entry_waits.ATTEMPT_INTERVAL_S
                self._retry_waiting(now_s)
            for kind in self._kinds:
                while numbers[kind.name] < kind.per_s * now_s:
                    numbers[kind.name] += 1
                    request = _Request(now_s, numbers[kind.name], kind)
                    self._counts[kind.name][0] += 1
                    self._send(request, now_s)
        return {
            name: RequestKindOutcome(*row) for name, row in self._counts.items()
        }

    def _retry_waiting(self, now_s):
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            self._send(request, now_s)

    def _send(self, request, now_s):
        choice = self._choose(request, now_s)
        if choice is not None:
            index = self._upstreams.index(choice.upstream)
            choice.upstream.in_flight += 1
            self._queues[index].append(request)
            self._start_runs(index, now_s)
            return
        kind = request.kind
        if self._waits and entry_waits.should_wait(
            target_latency_s=kind.target_latency_s,
            shortest_target_s=self._min_target_s,
            age_s=now_s - request.arrived_s,
            run_s=kind.run_s,
        ):
            self._waiting.append(request)
            return
        self._counts[kind.name][3] += 1

    def _choose(self, request, now_s):
        kind = request.kind
        age_s = now_s - request.arrived_s
        first = request.number % len(self._upstreams)
        order = self._upstreams[first:] + self._upstreams[:first]
        max_queue_s = float("inf")
        if self._waits:
            max_queue_s = entry_waits.max_queue_s(
                target_latency_s=kind.target_latency_s,
                shortest_target_s=self._min_target_s,
                age_s=age_s,
            )
        criteria = SelectionCriteria(
            route=_route(kind),
            service=None,
            tried=(),
            cached_upstreams=frozenset(
                upstream.name_hash for upstream in self._upstreams
            ),
            run_times=ExpectedRunTimes(
                cached_s=kind.run_s, uncached_s=3 * kind.run_s
            ),
            service_run_s=self._mean_run_s,
            utilisation=1.0,
            target_left_s=kind.target_latency_s - age_s,
            remaining_s=8.0 - age_s,
            round_trips_s={},
            entry_names=frozenset(("e",)),
            joined=True,
            peer_loads_complete=True,
            excluded_regions=frozenset(),
            now_s=now_s,
            max_queue_s=max_queue_s,
        )
        return select_upstream(
            order=order,
            criteria=criteria,
            cold_start_limiter=self._cold_start_limiter,
        )

    def _start_runs(self, index, now_s):
        slots = self._upstreams[index].record.slots
        while self._queues[index] and len(self._running[index]) < slots:
            request = self._queues[index].popleft()
            end_s = now_s + request.kind.run_s
            heapq.heappush(
                self._running[index],
                (end_s, request.kind.name, request.number, request),
            )

    def _end_runs(self, now_s):
        for index, running in enumerate(self._running):
            while running and running[0][0] <= now_s:
                end_s, name, _, request = heapq.heappop(running)
                self._upstreams[index].in_flight -= 1
                in_time = (
                    end_s - request.arrived_s <= request.kind.target_latency_s
                )
                self._counts[name][1 if in_time else 2] += 1
            self._start_runs(index, now_s)
