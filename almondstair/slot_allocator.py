"""Allocation of upstream slots, with queueing."""

import asyncio
import time

from almondstair.core.admission import SlotTable
from almondstair.core.admission_queue import AdmissionQueue
from almondstair.core.admission_queue import QueuedRequest
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import Refusal
from almondstair.core.model import RequestClass
from almondstair.errors import AlmondstairError

_Result = Admission | Refusal


class SlotAllocator:
    """Runs the admission queues of all services on the event loop."""

    def __init__(self, *, slots: SlotTable) -> None:
        """Creates an allocator of the slots in `slots`."""
        self.slots = slots
        self._queues: dict[str, AdmissionQueue] = {}
        self._futures: dict[tuple[str, int], asyncio.Future[_Result]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def acquire(
        self,
        *,
        service: str,
        request_class: RequestClass,
        deadline_s: float,
        excluded: frozenset[str],
    ) -> Admission:
        """Acquires a slot, queueing for a short time if none is free.

        Args:
          service: name of the service.
          request_class: class of the request.
          deadline_s: the request's deadline, in monotonic seconds.
          excluded: names of upstreams to exclude.

        Raises:
          AlmondstairError: `no_slot`, `no_upstream` or `deadline_passed`.
        """
        queue = self._queue(service)
        result = queue.submit(
            priority=request_class.priority,
            deadline_s=deadline_s,
            now_s=time.monotonic(),
            excluded=excluded,
        )
        if isinstance(result, QueuedRequest):
            result = await self._wait(service, queue, result)
        if isinstance(result, Refusal):
            raise AlmondstairError(
                kind=result.kind, retry_after_ms=result.retry_after_ms
            )
        return result

    def release(
        self,
        *,
        admission: Admission,
        outcome: Outcome,
        finished: bool,
        class_name: str,
    ) -> None:
        """Releases a slot and admits the next queued request.

        Args:
          admission: the acquired slot.
          outcome: how the request ended.
          finished: whether the request definitely no longer runs at the
            upstream.
          class_name: name of the request class, whose latencies are
            compared with each other.
        """
        self.slots.release(
            admission=admission,
            outcome=outcome,
            now_s=time.monotonic(),
            connection_closed=finished,
            work=class_name,
        )
        self.process_queue(admission.service)

    def process_queue(self, service: str) -> None:
        """Admits or refuses queued requests of a service after a change."""
        queue = self._queue(service)
        for decision in queue.advance(now_s=time.monotonic()):
            self._resolve(service, decision.number, decision.result)
        self._set_timer(service, queue)

    def process_all_queues(self) -> None:
        """Admits or refuses queued requests of every service."""
        for service in self._queues:
            self.process_queue(service)

    def queued_requests(self) -> int:
        """Returns the number of queued requests."""
        return len(self._futures)

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = AdmissionQueue(service=service, slots=self.slots)
            self._queues[service] = queue
        return queue

    async def _wait(
        self, service: str, queue: AdmissionQueue, queued: QueuedRequest
    ) -> _Result:
        key = (service, queued.number)
        future = asyncio.get_running_loop().create_future()
        self._futures[key] = future
        self.process_queue(service)
        try:
            return await future
        except asyncio.CancelledError:
            queue.cancel(number=queued.number)
            self._release_unused(future, service)
            raise
        finally:
            self._futures.pop(key, None)

    def _release_unused(
        self, future: "asyncio.Future[_Result]", service: str
    ) -> None:
        # The slot was granted in the same iteration of the event loop as the
        # cancellation. Unreleased, it would count as in use until its deadline.
        if not future.done() or future.cancelled():
            return
        result = future.result()
        if isinstance(result, Admission):
            self.release(
                admission=result,
                outcome=Outcome.CANCELLED,
                finished=True,
                class_name="",
            )

    def _resolve(self, service: str, number: int, result: _Result) -> None:
        future = self._futures.get((service, number))
        if future is not None and not future.done():
            future.set_result(result)
            return
        if isinstance(result, Admission):
            self.slots.release(
                admission=result,
                outcome=Outcome.CANCELLED,
                now_s=time.monotonic(),
            )

    def _set_timer(self, service: str, queue: AdmissionQueue) -> None:
        timer = self._timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        due_s = queue.next_due_s()
        if due_s is None:
            return
        delay_s = max(0.0, due_s - time.monotonic())
        self._timers[service] = asyncio.get_running_loop().call_later(
            delay_s, self.process_queue, service
        )
