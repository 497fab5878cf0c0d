"""Waits of requests for a free slot, at the entry."""

import abc
import asyncio
from collections.abc import Callable, Collection
import math

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.caller_ages import has_returned
from almondstair.core.choosing import Choice
from almondstair.core.entry_waits import EntryQueue
from almondstair.core.fleet import Fleet
from almondstair.core.overload_records import OverloadRecords
from almondstair.core.overload_records import RequestClass
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.wait_queue import QueuedRequest
from almondstair.core.wait_queue import WaitCapacity
from almondstair.core.wait_queue import WaitEnd
from almondstair.core.wait_queue import WaitQueue
from almondstair.core.wait_queue import WaitRequest
from almondstair.core.wait_queue import is_sendable
from almondstair.core.wait_queue import queue_runs
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway.caller_request import MAX_BUFFERED_BODY_BYTES
from almondstair.gateway.forwarded_call import ForwardedCall
from almondstair.gateway.link_monitor import LinkMonitor

ChooseUpstream = Callable[[ForwardedCall], Choice | None]

# Least time between two log lines on refusals for a full queue.
FULL_LOG_INTERVAL_S = 30.0
# Time after which a slot that gets free by time alone is offered. The estimate
# must have passed its bound by then, also with the errors of rounding.
FREE_TIMER_MARGIN_S = 0.002
# A timer that ends within this time is kept. To find an earlier end takes about
# as long as a placement, and a timer that ends looks again.
FREE_TIMER_KEPT_S = 0.02


class SlotWaits(abc.ABC):
    """Chooses upstreams for calls, and lets calls wait where that helps."""

    @abc.abstractmethod
    async def choose(
        self, call: ForwardedCall, choose_upstream: ChooseUpstream
    ) -> Choice | None:
        """Returns the upstream for a call, None if it gets no slot.

        Args:
          call: the call.
          choose_upstream: places the call on an upstream with a free slot;
            returns None if there is none.

        Raises:
          AlmondstairError: the call must not be sent, as `choose_upstream`
            says.
        """

    @abc.abstractmethod
    def record_freed(self, upstream: UpstreamState) -> None:
        """Records that a request of this entry has left an upstream."""

    @abc.abstractmethod
    def record_loads(self) -> None:
        """Records that the loads of other entries may have changed."""

    @abc.abstractmethod
    def record_change(self) -> None:
        """Records that upstreams, routes or links may have changed."""

    @abc.abstractmethod
    def set_end(self, ends_s: float) -> None:
        """Sets when the entry stops, on its clock, in seconds."""


class PolledWaits(SlotWaits):
    """Lets requests with long targets wait, and tries again at intervals."""

    def __init__(
        self, *, placer: RequestPlacer, link_monitor: LinkMonitor
    ) -> None:
        """Starts without waiting requests.

        Args:
          placer: decides which requests may wait.
          link_monitor: watches the links to upstreams.
        """
        self._placer = placer
        self._link_monitor = link_monitor
        self._queue = EntryQueue()

    async def choose(
        self, call: ForwardedCall, choose_upstream: ChooseUpstream
    ) -> Choice | None:
        """Returns the upstream for a call; see the base class.

        A retry does not wait: its caller has already waited for the first
        attempt, and it uses a budget shared by all requests.
        """
        call.max_queue_runs = None
        choice = choose_upstream(call)
        if choice is not None or call.tried:
            return choice
        held_bytes = held_body_bytes(call)
        if not self._queue.has_capacity(body_bytes=held_bytes):
            return None
        with self._queue.hold_waiting(body_bytes=held_bytes):
            while choice is None and self._should_wait(call):
                await asyncio.sleep(self._queue.attempt_interval_s)
                choice = choose_upstream(call)
        return choice

    def record_freed(self, upstream: UpstreamState) -> None:
        """Does nothing: the next attempt shows it; see the base class."""
        del upstream

    def record_loads(self) -> None:
        """Does nothing: the next attempt shows it; see the base class."""

    def record_change(self) -> None:
        """Does nothing: the next attempt shows it; see the base class."""

    def set_end(self, ends_s: float) -> None:
        """Does nothing: no wait is as long as a stop; see the base class."""
        del ends_s

    def _should_wait(self, call: ForwardedCall) -> bool:
        if call.request.caller_disconnected:
            return False
        if not self._link_monitor.are_usable():
            return False
        return self._placer.may_wait(
            call.placement_request(),
            excluded_regions=call.excluded_regions,
            now_s=now_s(),
        )


class _WaitingCall:
    """A call in a queue."""

    def __init__(
        self, call: ForwardedCall, choose_upstream: ChooseUpstream
    ) -> None:
        self.call = call
        self.choose_upstream = choose_upstream
        # Gets the upstream, or None if the call is to be refused or relayed.
        self.result: asyncio.Future[Choice | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.end = WaitEnd.CALLER_LEFT

    def has_left(self) -> bool:
        """Returns whether the caller left or the call was cancelled.

        A cancelled task cancels the future at once but runs in the next turn of
        the loop, until which the call is still in its queue.
        """
        return self.call.request.caller_disconnected or self.result.done()


class OrderedWaits(SlotWaits):
    """Lets requests wait in an ordered queue for each service.

    Slots are offered when a request leaves an upstream, when the loads of other
    entries arrive, and when the upstreams change. One timer is for the next
    request that has to be refused, another for the next end of a rest, a cold
    start or a stated load, of which no event tells.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        placer: RequestPlacer,
        link_monitor: LinkMonitor,
        records: OverloadRecords,
    ) -> None:
        """Starts without waiting requests.

        Args:
          fleet: the view of the deployment.
          placer: knows which requests a slot could help.
          link_monitor: watches the links to upstreams.
          records: counts for operators.
        """
        self._fleet = fleet
        self._placer = placer
        self._link_monitor = link_monitor
        self._records = records
        self._capacity = WaitCapacity()
        self._queues: dict[str, WaitQueue] = {}
        self._calls: dict[QueuedRequest, _WaitingCall] = {}
        # Upstreams with a freed slot that is yet to be offered, by service;
        # None for any.
        self._freed: dict[str, set[int] | None] = {}
        self._offering: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = math.inf
        self._free_timer: asyncio.TimerHandle | None = None
        self._free_timer_s = math.inf
        self._ends_s = math.inf
        self._fleet_changed = False
        self._ended = 0
        self._full_logged_s = -math.inf
        self._refused_as_full = 0

    async def choose(
        self, call: ForwardedCall, choose_upstream: ChooseUpstream
    ) -> Choice | None:
        """Returns the upstream for a call; see the base class."""
        priority = call.route.priority
        call.wait_end = ""
        queue = self._queues.setdefault(
            call.service, WaitQueue(capacity=self._capacity)
        )
        if not call.tried:
            queue.record_arrival(priority, now_s=now_s())
        higher = queue.count_higher(priority, now_s=now_s())
        call.max_queue_runs = queue_runs(higher)
        was_empty = not len(queue)
        if was_empty:
            choice = self._choose_now(call, choose_upstream)
            if choice is not None:
                queue.record_sent(priority, now_s=now_s())
                return choice
        if not self._may_wait(call):
            return None
        queued = self._enter(queue, call)
        if queued is None:
            call.wait_end = str(WaitEnd.QUEUE_FULL)
            return None
        waiting = _WaitingCall(call, choose_upstream)
        self._calls[queued] = waiting
        requests = RequestClass(call.service, priority)
        self._records.record_wait(requests)
        if was_empty:
            self._set_free_timer(call.service, now_s())
        else:
            self._offer_later(call.service, queued.targets)
        self._set_timer(queue, call)
        try:
            return await waiting.result
        except asyncio.CancelledError:
            self._give_back(waiting)
            raise
        finally:
            self._records.record_wait_ended(requests)
            self._calls.pop(queued, None)
            queue.remove(queued)
            self._log_end(queued, waiting)

    def record_freed(self, upstream: UpstreamState) -> None:
        """Offers the slot of a request that has ended; see the base class."""
        self._offer_later(upstream.record.service, (upstream.name_hash,))

    def record_loads(self) -> None:
        """Offers all free slots; see the base class."""
        for service in self._queues:
            self._offer_later(service, None)

    def record_change(self) -> None:
        """Checks what waits again; see the base class."""
        self._fleet_changed = bool(self._calls)
        self.record_loads()

    def set_end(self, ends_s: float) -> None:
        """Refuses what waits before the entry stops; see the base class."""
        self._ends_s = ends_s
        log.event(log.Event.WAITS_ENDING, waiting=self._capacity.waiting)
        for queue in self._queues.values():
            queue.limit_give_up(ends_s)
        self.record_change()

    # Entering.

    def _enter(
        self, queue: WaitQueue, call: ForwardedCall
    ) -> QueuedRequest | None:
        """Adds a call to its queue, in place of the last one if it is full."""
        now = now_s()
        placement_request = call.placement_request()
        times = self._placer.send_times(
            placement_request, caller_age_s=call.caller_age_s
        )
        request = WaitRequest(
            priority=call.route.priority,
            has_returned=has_returned(call.caller_age_s),
            latest_s=times.latest_s,
            give_up_s=min(times.give_up_s, self._ends_s),
            body_bytes=held_body_bytes(call),
        )
        targets = self._placer.preferred_upstreams(placement_request, now_s=now)
        queued = queue.add(request, targets=targets, now_s=now)
        if queued is None:
            self._log_full(call.service)
            last = queue.last_behind(request, now_s=now)
            if last is not None:
                self._end(queue, last, WaitEnd.QUEUE_FULL)
                queued = queue.add(request, targets=targets, now_s=now)
        return queued

    def _may_wait(self, call: ForwardedCall) -> bool:
        """Returns whether a slot that gets free here could help a call."""
        if call.request.caller_disconnected:
            return False
        if not self._link_monitor.are_usable():
            return False
        if self._fleet.needs_relay(
            call.service,
            allowed_regions=call.route.allowed_regions,
            now_s=now_s(),
        ):
            return False
        return self._placer.can_get_slot(
            call.placement_request(),
            excluded_regions=call.excluded_regions,
            now_s=now_s(),
        )

    # Offering slots.

    def _offer_later(
        self, service: str, upstreams: Collection[int] | None
    ) -> None:
        """Offers slots once the running events have been handled."""
        if not len(self._queues.get(service, ())):
            return
        if upstreams is None:
            self._freed[service] = None
        else:
            freed = self._freed.setdefault(service, set())
            if freed is not None:
                freed.update(upstreams)
        if self._offering is None:
            loop = asyncio.get_running_loop()
            self._offering = loop.call_soon(self._offer)

    def _offer(self) -> None:
        self._offering = None
        pending, self._freed = self._freed, {}
        if self._fleet_changed or not self._link_monitor.are_usable():
            self._fleet_changed = False
            self._check_all()
        for service, freed in pending.items():
            queue = self._queues[service]
            if len(queue):
                self._offer_slots(service, queue, freed)

    def _check_all(self) -> None:
        """Ends the waits of calls that no free slot could help any more."""
        for queue in self._queues.values():
            for queued in queue.waiting():
                if not self._check(queue, queued):
                    continue
                if not self._may_wait(self._calls[queued].call):
                    self._end(queue, queued, WaitEnd.NOT_PLACEABLE)
            self._update_targets(queue, now_s())

    def _check(self, queue: WaitQueue, queued: QueuedRequest) -> bool:
        """Ends the wait of a call that has left or whose route was dropped.

        Returns:
          Whether the call still waits.
        """
        waiting = self._calls[queued]
        if waiting.has_left():
            self._end(queue, queued, WaitEnd.CALLER_LEFT)
            return False
        try:
            self._check_route(waiting.call)
        except AlmondstairError as error:
            waiting.result.set_exception(error)
            self._end(queue, queued, WaitEnd.FAILED)
            return False
        return True

    def _offer_slots(
        self, service: str, queue: WaitQueue, freed: set[int] | None
    ) -> None:
        now = now_s()
        free: Collection[int] | None = freed
        if freed is None:
            self._update_targets(queue, now)
            free = self._placer.free_upstreams(
                service, max_queue_runs=queue_runs(0), now_s=now
            )
        elif not self._placer.is_crowded(service, now_s=now):
            free = None
        # A placed request counts at its upstream once its task has run, so that
        # the next one is placed after that.
        self._ended = 0
        placed = queue.serve(
            lambda queued: self._place(queue, queued),
            free=free,
            now_s=now,
            max_placements=1,
        )
        if placed or self._ended:
            # The bound on failed placements must not keep others from it.
            self._offer_later(service, freed)
        self._refuse_due(queue)
        if len(queue):
            self._set_free_timer(service, now)

    def _set_free_timer(self, service: str, now: float) -> None:
        """Sets the timer for the next slot that gets free by time alone."""
        if self._free_timer_s - now < FREE_TIMER_KEPT_S:
            return
        next_s = self._placer.next_free_s(service, now_s=now)
        if next_s >= self._free_timer_s:
            return
        if self._free_timer is not None:
            self._free_timer.cancel()
        self._free_timer_s = next_s
        loop = asyncio.get_running_loop()
        self._free_timer = loop.call_later(
            next_s - now + FREE_TIMER_MARGIN_S, self._on_free_timer
        )

    def _on_free_timer(self) -> None:
        self._free_timer = None
        self._free_timer_s = math.inf
        self.record_loads()

    def _update_targets(self, queue: WaitQueue, now: float) -> None:
        for queued in queue.outdated_targets(now_s=now):
            call = self._calls[queued].call
            queued.targets = self._placer.preferred_upstreams(
                call.placement_request(), now_s=now
            )
            queued.targets_at_s = now

    def _place(self, queue: WaitQueue, queued: QueuedRequest) -> bool:
        waiting = self._calls[queued]
        call = waiting.call
        if not self._check(queue, queued):
            return False
        try:
            choice = self._choose_now(call, waiting.choose_upstream)
        except Exception as error:
            # Any error belongs to this call alone. In the loop's handler, it
            # would keep the slot from all that wait behind this call.
            waiting.result.set_exception(error)
            self._end(queue, queued, WaitEnd.FAILED)
            return False
        if choice is None:
            if not self._may_wait(call):
                self._end(queue, queued, WaitEnd.NOT_PLACEABLE)
            return False
        waiting.end = WaitEnd.SENT
        del self._calls[queued]
        waiting.result.set_result(choice)
        return True

    def _choose_now(
        self, call: ForwardedCall, choose_upstream: ChooseUpstream
    ) -> Choice | None:
        choice = choose_upstream(call)
        if choice is None:
            return None
        if is_sendable(choice, remaining_s=call.remaining_s()):
            return choice
        self._placer.release(choice, now_s=now_s())
        return None

    def _check_route(self, call: ForwardedCall) -> None:
        """Checks that a newer configuration has not dropped a call's route.

        Raises:
          AlmondstairError: `unknown_path`.
        """
        table = self._fleet.table
        assert table is not None
        for route in table.configuration.routes:
            if route.name != call.route.name:
                continue
            for destination in route.destinations:
                if destination.service == call.service:
                    return
        if call.may_have_run:
            raise AlmondstairError(
                kind=ErrorKind.UPSTREAM_LOST, detail="its route was removed"
            )
        raise AlmondstairError(
            kind=ErrorKind.UNKNOWN_PATH,
            detail=f"route {call.route.name} to {call.service} was removed in "
            f"version {table.version}",
        )

    # Ending.

    def _refuse_due(self, queue: WaitQueue) -> None:
        for queued in queue.waiting()[:1]:
            call = self._calls[queued].call
            self._set_timer(queue, call)

    def _set_timer(self, queue: WaitQueue, call: ForwardedCall) -> None:
        """Refuses what is due, and sets the timer for the next refusal.

        Args:
          queue: the queue.
          call: any call in it.
        """
        now = now_s()
        due = queue.due(
            expected_per_s=self._placer.own_rate_per_s(
                call.placement_request()
            ),
            now_s=now,
        )
        for refusal in due.refusals:
            self._end(queue, refusal.queued, refusal.reason)
        if due.next_s >= self._timer_s:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_s = due.next_s
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(due.next_s - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_s = math.inf
        for queue in self._queues.values():
            self._refuse_due(queue)

    def _end(
        self, queue: WaitQueue, queued: QueuedRequest, reason: WaitEnd
    ) -> None:
        """Ends a wait without a slot."""
        queue.remove(queued)
        self._ended += 1
        waiting = self._calls.pop(queued)
        waiting.end = reason
        waiting.call.wait_end = str(reason)
        if not waiting.result.done():
            waiting.result.set_result(None)

    def _give_back(self, waiting: _WaitingCall) -> None:
        """Gives back the slot of a call that is cancelled as it gets one."""
        result = waiting.result
        if not result.done() or result.cancelled() or result.exception():
            return
        choice = result.result()
        if choice is not None:
            self._placer.release(choice, now_s=now_s())
            self.record_freed(choice.upstream)

    # Logging.

    def _log_end(self, queued: QueuedRequest, waiting: _WaitingCall) -> None:
        call = waiting.call
        log.event(
            log.Event.REQUEST_WAITED,
            request=call.log_id,
            service=call.service,
            priority=call.route.priority,
            returned=queued.request.has_returned,
            late=queued.rank.is_late,
            end=str(waiting.end),
            waited_ms=round((now_s() - queued.entered_s) * 1000),
            waiting=self._capacity.waiting,
            left_ms=round(call.remaining_s() * 1000),
        )

    def _log_full(self, service: str) -> None:
        self._refused_as_full += 1
        now = now_s()
        if now - self._full_logged_s < FULL_LOG_INTERVAL_S:
            return
        self._full_logged_s = now
        log.event(
            log.Event.WAITS_FULL,
            service=service,
            waiting=self._capacity.waiting,
            held_bytes=self._capacity.held_bytes,
            refused=self._refused_as_full,
        )


def held_body_bytes(call: ForwardedCall) -> int:
    """Returns the bytes of a call's body that are held while it waits."""
    if call.request.body_length is None:
        return MAX_BUFFERED_BODY_BYTES
    return call.request.body_length
