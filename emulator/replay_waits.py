"""Requests that wait in ordered queues at the entries of a replay.

It does what `almondstair.gateway.slot_waits.OrderedWaits` does, in virtual
time.
"""

from collections.abc import Callable, Collection
import math
from typing import Generic, TypeVar

from almondstair.core.caller_ages import has_returned
from almondstair.core.choosing import Choice
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.wait_queue import MAX_PLACEMENTS
from almondstair.core.wait_queue import QueuedRequest
from almondstair.core.wait_queue import WaitRequest
from almondstair.core.wait_queue import is_sendable
from almondstair.core.wait_queue import queue_runs
from emulator.modelled_entry import ModelledEntry


class WaitingCall:
    """An attempt of a caller that may wait.

    Attributes:
      entry: the entry that it reached.
      placement_request: the inputs of its placement.
      caller_age_s: how long its caller waited before, in seconds.
      arrival_counted: whether it counts among the arrivals of its entry.
    """

    def __init__(
        self,
        *,
        entry: ModelledEntry,
        placement_request: PlacementRequest,
        caller_age_s: float,
    ) -> None:
        """Creates an attempt that does not wait yet."""
        self.entry = entry
        self.placement_request = placement_request
        self.caller_age_s = caller_age_s
        self.arrival_counted = False


_Call = TypeVar("_Call", bound="WaitingCall")


class ReplayWaits(Generic[_Call]):
    """The waits at all entries."""

    def __init__(
        self,
        *,
        schedule: Callable[[float, Callable[[], None]], None],
        now_s: Callable[[], float],
        send: Callable[[_Call, Choice], None],
        refuse: Callable[[_Call], None],
    ) -> None:
        """Starts without requests.

        Args:
          schedule: calls a function after a delay in seconds.
          now_s: returns the time of the replay, in seconds.
          send: sends a request to its upstream.
          refuse: refuses a request.
        """
        self._schedule = schedule
        self._now_s = now_s
        self._send = send
        self._refuse = refuse
        self._calls: dict[QueuedRequest, _Call] = {}
        self._timers_s: dict[tuple[str, str], float] = {}

    def submit(self, call: _Call) -> None:
        """Sends a request, or lets it wait."""
        now_s = self._now_s()
        request = call.placement_request
        priority = request.route.priority
        placer = call.entry.placer
        queue = call.entry.wait_queues[request.service]
        if not call.arrival_counted:
            call.arrival_counted = True
            queue.record_arrival(priority, now_s=now_s)
        if not len(queue) and self._place(call):
            queue.record_sent(priority, now_s=now_s)
            return
        if not placer.can_get_slot(
            request, excluded_regions=frozenset(), now_s=now_s
        ):
            self._refuse(call)
            return
        times = placer.send_times(request, caller_age_s=call.caller_age_s)
        waiting = WaitRequest(
            priority=priority,
            has_returned=has_returned(call.caller_age_s),
            latest_s=times.latest_s,
            give_up_s=times.give_up_s,
        )
        targets = placer.preferred_upstreams(request, now_s=now_s)
        was_empty = not len(queue)
        queued = queue.add(waiting, targets=targets, now_s=now_s)
        if queued is None:
            last = queue.last_behind(waiting, now_s=now_s)
            if last is None:
                self._refuse(call)
                return
            queue.remove(last)
            self._refuse(self._calls.pop(last))
            queued = queue.add(waiting, targets=targets, now_s=now_s)
            assert queued is not None
        self._calls[queued] = call
        # An empty queue has just been tried for this request.
        free = frozenset() if was_empty else targets
        self._serve(call.entry, request.service, free)

    def record_freed(self, entry: ModelledEntry, state: UpstreamState) -> None:
        """Offers a slot that became free to the requests of an entry."""
        if not entry.ordered_waits:
            return
        service = state.record.service
        free: Collection[int] | None = (state.name_hash,)
        if not entry.placer.is_crowded(service, now_s=self._now_s()):
            free = None
        self._serve(entry, service, free)

    def record_change(self, entry: ModelledEntry) -> None:
        """Offers all free slots to the requests of an entry."""
        if not entry.ordered_waits:
            return
        now_s = self._now_s()
        for service, queue in entry.wait_queues.items():
            if not len(queue):
                continue
            for queued in queue.waiting():
                call = self._calls[queued]
                if not entry.placer.can_get_slot(
                    call.placement_request,
                    excluded_regions=frozenset(),
                    now_s=now_s,
                ):
                    queue.remove(queued)
                    del self._calls[queued]
                    self._refuse(call)
            for queued in queue.outdated_targets(now_s=now_s):
                request = self._calls[queued].placement_request
                queued.targets = entry.placer.preferred_upstreams(
                    request, now_s=now_s
                )
                queued.targets_at_s = now_s
            free = entry.placer.free_upstreams(
                service, max_queue_runs=queue_runs(0), now_s=now_s
            )
            self._serve(entry, service, free)

    def _serve(
        self,
        entry: ModelledEntry,
        service: str,
        free: Collection[int] | None,
    ) -> None:
        queue = entry.wait_queues[service]
        if not len(queue):
            return
        now_s = self._now_s()

        def place(queued: QueuedRequest) -> bool:
            call = self._calls[queued]
            if self._place(call):
                del self._calls[queued]
                return True
            if not entry.placer.can_get_slot(
                call.placement_request,
                excluded_regions=frozenset(),
                now_s=now_s,
            ):
                queue.remove(queued)
                del self._calls[queued]
                self._refuse(call)
            return False

        if free is None or free:
            placed = queue.serve(place, free=free, now_s=now_s)
            if placed >= MAX_PLACEMENTS:
                self._schedule(0.0, lambda: self._serve(entry, service, free))
        self._refuse_due(entry, service)

    def _refuse_due(self, entry: ModelledEntry, service: str) -> None:
        queue = entry.wait_queues[service]
        waiting = queue.waiting()
        if not waiting:
            return
        now_s = self._now_s()
        some = self._calls[waiting[0]].placement_request
        due = queue.due(
            expected_per_s=entry.placer.own_rate_per_s(some), now_s=now_s
        )
        for refusal in due.refusals:
            queue.remove(refusal.queued)
            self._refuse(self._calls.pop(refusal.queued))
        key = (entry.name, service)
        if due.next_s < self._timers_s.get(key, math.inf):
            self._timers_s[key] = due.next_s
            self._schedule(
                due.next_s - now_s,
                lambda: self._on_timer(entry, service, due.next_s),
            )

    def _on_timer(
        self, entry: ModelledEntry, service: str, due_s: float
    ) -> None:
        key = (entry.name, service)
        if self._timers_s.get(key) == due_s:
            del self._timers_s[key]
            self._refuse_due(entry, service)

    def _place(self, call: _Call) -> bool:
        request = call.placement_request
        placer = call.entry.placer
        now_s = self._now_s()
        choice = placer.place(request, now_s=now_s).choice
        if choice is None:
            return False
        if not is_sendable(choice, remaining_s=request.deadline_s - now_s):
            placer.release(choice, now_s=now_s)
            return False
        self._send(call, choice)
        return True
