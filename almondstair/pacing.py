"""Waits for the share of a link before bytes move over it."""

import asyncio
import heapq
import time
from typing import NamedTuple

from almondstair.core.admission_queue import RANKS
from almondstair.core.links import LinkShare
from almondstair.core.model import Priority
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.http_client import Pace

# A request that would wait longer for its link is refused at once.
LONGEST_QUEUE_S = 1.0
LONGEST_RETRY_S = 60.0
FIRST_WAIT_S = 0.001


class _Waiting(NamedTuple):
    """A piece in the queue, in the order in which pieces move."""

    rank: int
    number: int
    size_bytes: int
    future: "asyncio.Future[int]"


class LinkPacer:
    """The queue before one link in one direction.

    Pieces move by priority, then in order. Without an order a stream of large
    pieces would take the tokens that small ones wait for.
    """

    def __init__(self, *, share: LinkShare) -> None:
        """Paces by `share`."""
        self.share = share
        self._queue: list[_Waiting] = []
        self._queued_bytes = 0
        self._number = 0
        self._timer: asyncio.TimerHandle | None = None

    async def move(self, size_bytes: int, priority: Priority) -> int:
        """Waits until bytes may move.

        Args:
          size_bytes: size of the piece.
          priority: of the request's class.

        Returns:
          How many of its bytes may move now; at least 1.
        """
        if not self._queue:
            part = self.share.take_part(
                size_bytes=size_bytes, now_s=time.monotonic()
            )
            if part.size_bytes:
                return part.size_bytes
            self._wake_in(part.wait_s)
        self._number += 1
        future = asyncio.get_running_loop().create_future()
        waiting = _Waiting(RANKS[priority], self._number, size_bytes, future)
        heapq.heappush(self._queue, waiting)
        self._queued_bytes += size_bytes
        return await future

    def queue_s(self, *, now_s: float) -> float:
        """Returns how long a new piece would wait, roughly."""
        if not self._queued_bytes:
            return 0.0
        status = self.share.status(now_s=now_s)
        rate = status.allowance_bytes_per_s + status.borrowed_bytes_per_s
        rate -= status.lent_bytes_per_s
        if rate <= 0:
            return float("inf")
        return self._queued_bytes / rate

    def headroom(self, *, now_s: float) -> float:
        """Returns the unused part of this entry's share, 0 to 1."""
        status = self.share.status(now_s=now_s)
        own = status.allowance_bytes_per_s - status.lent_bytes_per_s
        own += status.borrowed_bytes_per_s
        if own <= 0:
            return 0.0
        return max(0.0, 1.0 - status.used_bytes_per_s / own)

    def _wake_in(self, wait_s: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                max(wait_s, FIRST_WAIT_S), self._advance
            )

    def _advance(self) -> None:
        self._timer = None
        while self._queue:
            waiting = self._queue[0]
            if waiting.future.done():
                # Its request was cancelled.
                self._drop_first()
                continue
            part = self.share.take_part(
                size_bytes=waiting.size_bytes, now_s=time.monotonic()
            )
            if not part.size_bytes:
                self._wake_in(part.wait_s)
                return
            self._drop_first()
            waiting.future.set_result(part.size_bytes)

    def _drop_first(self) -> None:
        waiting = heapq.heappop(self._queue)
        self._queued_bytes -= waiting.size_bytes


class LinkPacers:
    """The links from this entry's availability zone, both directions."""

    def __init__(self) -> None:
        """Starts without a link."""
        self._out: dict[str, LinkPacer] = {}
        self._in: dict[str, LinkPacer] = {}

    def add(
        self, *, region: str, outward: LinkPacer, inward: LinkPacer
    ) -> None:
        """Adds the link to a region."""
        self._out[region] = outward
        self._in[region] = inward

    def remove(self, *, region: str) -> None:
        """Drops a link that is no longer configured."""
        self._out.pop(region, None)
        self._in.pop(region, None)

    def regions(self) -> tuple[str, ...]:
        """Returns the regions with a link."""
        return tuple(self._out)

    def pacers(self, *, region: str) -> tuple[LinkPacer, ...]:
        """Returns both directions of a link, none if there is no such link."""
        if region not in self._out:
            return ()
        return self._out[region], self._in[region]

    def all(self) -> tuple[LinkPacer, ...]:
        """Returns every direction of every link."""
        return tuple(self._out.values()) + tuple(self._in.values())

    def headroom(self, *, region: str, now_s: float) -> float:
        """Returns the smaller unused part of both directions, 0 to 1."""
        smallest = 1.0
        for pacer in self.pacers(region=region):
            smallest = min(smallest, pacer.headroom(now_s=now_s))
        return smallest

    def check(self, *, region: str, deadline_s: float, now_s: float) -> None:
        """Refuses a request that its link could not carry in time.

        Raises:
          AlmondstairError: `link_full`.
        """
        limit_s = min(LONGEST_QUEUE_S, deadline_s - now_s)
        for pacer in self.pacers(region=region):
            queue_s = pacer.queue_s(now_s=now_s)
            # Without a queue the link is not what is in the way.
            if not queue_s or queue_s <= limit_s:
                continue
            if queue_s > LONGEST_RETRY_S:
                # No share at all yet, or any more: a loan takes a moment.
                queue_s = LONGEST_QUEUE_S
            raise AlmondstairError(
                kind=ErrorKind.LINK_FULL,
                detail=f"the link to {region} has work for {queue_s:.1f} s",
                retry_after_ms=int(queue_s * 1000),
            )

    def outward(self, *, region: str, priority: Priority) -> Pace:
        """Returns what paces a request's bytes to a region."""
        return _pace(self._out.get(region), priority)

    def inward(self, *, region: str, priority: Priority) -> Pace:
        """Returns what paces an answer's bytes from a region."""
        return _pace(self._in.get(region), priority)


def _pace(pacer: LinkPacer | None, priority: Priority) -> Pace:
    async def move(size_bytes: int) -> int:
        if pacer is None:
            return size_bytes
        return await pacer.move(size_bytes, priority)

    return move
