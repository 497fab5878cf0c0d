"""Slots at this entry: waits in the admission queue and gives slots back."""

import asyncio
import time

from almondstair.core.admission import SlotTable
from almondstair.core.admission_queue import AdmissionQueue
from almondstair.core.admission_queue import Waiting
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import Refusal
from almondstair.core.model import RequestClass
from almondstair.errors import AlmondstairError

_Result = Admission | Refusal


class SlotKeeper:
    """Runs the admission queues of every service on the loop."""

    def __init__(self, *, slots: SlotTable) -> None:
        """Keeps the slots of `slots`."""
        self.slots = slots
        self._queues: dict[str, AdmissionQueue] = {}
        self._futures: dict[tuple[str, int], asyncio.Future[_Result]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def take(
        self,
        *,
        service: str,
        request_class: RequestClass,
        deadline_s: float,
        avoid: frozenset[str],
    ) -> Admission:
        """Takes a slot, waiting a short while if none is free.

        Args:
          service: the service.
          request_class: class of the request.
          deadline_s: monotonic time at which the request is given up.
          avoid: upstreams that it must not go to.

        Raises:
          AlmondstairError: `no_slot`, `no_upstream` or `deadline_passed`.
        """
        queue = self._queue(service)
        result = queue.request(
            priority=request_class.priority,
            deadline_s=deadline_s,
            now_s=time.monotonic(),
            avoid=avoid,
        )
        if isinstance(result, Waiting):
            result = await self._wait(service, queue, result)
        if isinstance(result, Refusal):
            raise AlmondstairError(
                kind=result.kind, retry_after_ms=result.retry_after_ms
            )
        return result

    def give_back(
        self, *, admission: Admission, outcome: Outcome, over: bool, work: str
    ) -> None:
        """Gives a slot back and lets the next request have it.

        Args:
          admission: what `take` returned.
          outcome: how the request ended.
          over: whether the upstream surely does not run it any more.
          work: request class, whose latency is compared with its like.
        """
        self.slots.release(
            admission=admission,
            outcome=outcome,
            now_s=time.monotonic(),
            connection_closed=over,
            work=work,
        )
        self.advance(admission.service)

    def advance(self, service: str) -> None:
        """Decides what waits for a service, after anything has changed."""
        queue = self._queue(service)
        for decision in queue.advance(now_s=time.monotonic()):
            self._resolve(service, decision.number, decision.result)
        self._set_timer(service, queue)

    def advance_all(self) -> None:
        """Decides what waits for any service."""
        for service in self._queues:
            self.advance(service)

    def waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._futures)

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = AdmissionQueue(service=service, slots=self.slots)
            self._queues[service] = queue
        return queue

    async def _wait(
        self, service: str, queue: AdmissionQueue, waiting: Waiting
    ) -> _Result:
        key = (service, waiting.number)
        future = asyncio.get_running_loop().create_future()
        self._futures[key] = future
        self.advance(service)
        try:
            return await future
        except asyncio.CancelledError:
            queue.cancel(number=waiting.number)
            self._release_unused(future, service)
            raise
        finally:
            self._futures.pop(key, None)

    def _release_unused(
        self, future: "asyncio.Future[_Result]", service: str
    ) -> None:
        # The slot came in the same turn of the loop as the cancellation. Left
        # there it would count as taken until its deadline.
        if not future.done() or future.cancelled():
            return
        result = future.result()
        if isinstance(result, Admission):
            self.give_back(
                admission=result,
                outcome=Outcome.CANCELLED,
                over=True,
                work="",
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
            delay_s, self.advance, service
        )
