"""Pacing of bytes over links, within this entry's shares."""

import asyncio
import heapq
import time
from typing import NamedTuple

from almondstair.core.admission_queue import PRIORITY_RANKS
from almondstair.core.links import LinkShare
from almondstair.core.model import Priority
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.http_client import RECEIVE_BUFFER_BYTES

# A request that would queue longer for its link is refused at once.
MAX_QUEUE_DELAY_S = 1.0
MAX_RETRY_AFTER_S = 60.0
MIN_RETRY_AFTER_MS = 100
MIN_WAIT_S = 0.001
# Fraction of a link's cap that one connection should reach at any distance.
CONNECTION_FRACTION = 0.125
MAX_WINDOW_BYTES = 1 << 20
# Bytes read at once, in addition to those in the kernel's buffer.
READ_AHEAD_BYTES = 64 * 1024
# Smoothing factor for increases of the expected response size. Decreases apply
# at once, so that few bytes are reserved and then not sent.
SIZE_SMOOTHING = 0.2
# Fraction of its share that an entry can always use; see DEPTH_FRACTION in
# core/links.py.
ACHIEVED_FRACTION = 0.9


def window_bytes(*, cap_bytes_per_s: int, latency_ms: float) -> int:
    """Returns the receive buffer of a connection over a link.

    A connection transfers one buffer per round trip. With the same size for all
    links, a connection to a region 55 ms away would reach only a few hundred
    kilobytes per second, and a large response would miss its deadline on an
    idle link.

    Args:
      cap_bytes_per_s: cap of the link.
      latency_ms: one-way latency of the link.
    """
    round_trip_s = 2 * latency_ms / 1000
    size_bytes = int(cap_bytes_per_s * CONNECTION_FRACTION * round_trip_s)
    return max(RECEIVE_BUFFER_BYTES, min(MAX_WINDOW_BYTES, size_bytes))


class _QueuedChunk(NamedTuple):
    """Holds a queued chunk; ordered by priority, deadline and arrival."""

    rank: int
    deadline_s: float
    number: int
    size_bytes: int
    future: "asyncio.Future[int]"
    whole_chunk: bool


class LinkPacer:
    """Queues the chunks that wait for one direction of a link.

    Chunks are sent by priority, then by the deadline of their request, then in
    order of arrival. Otherwise a stream of large chunks would take the tokens
    that small ones wait for, and all bodies that share a full link would miss
    their deadlines.
    """

    def __init__(self, *, share: LinkShare) -> None:
        """Creates an empty queue that is paced by `share`."""
        self.share = share
        self._queue: list[_QueuedChunk] = []
        self._queued_bytes = 0
        self._number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._committed_bytes = dict.fromkeys(PRIORITY_RANKS.values(), 0)

    async def acquire(
        self, size_bytes: int, priority: Priority, deadline_s: float
    ) -> int:
        """Waits until at least part of a chunk may be sent.

        Args:
          size_bytes: size of the chunk.
          priority: priority of the request's class.
          deadline_s: the request's deadline, in monotonic seconds.

        Returns:
          How many bytes of the chunk may be sent now; at least 1.
        """
        if not self._queue:
            part = self.share.acquire_part(
                size_bytes=size_bytes, now_s=time.monotonic()
            )
            if part.size_bytes:
                return part.size_bytes
            self._schedule_advance(part.wait_s)
        return await self._wait(
            size_bytes, priority, deadline_s, whole_chunk=False
        )

    async def reserve(
        self, size_bytes: int, priority: Priority, deadline_s: float
    ) -> None:
        """Waits until a whole chunk is reserved, to be sent later.

        Chunks are reserved one after another. If they were reserved in turns,
        several would be complete at the same moment, and bytes reserved over a
        second would be sent in an instant.
        """
        self._schedule_advance(MIN_WAIT_S)
        await self._wait(size_bytes, priority, deadline_s, whole_chunk=True)

    async def _wait(
        self,
        size_bytes: int,
        priority: Priority,
        deadline_s: float,
        *,
        whole_chunk: bool,
    ) -> int:
        self._number += 1
        future = asyncio.get_running_loop().create_future()
        chunk = _QueuedChunk(
            PRIORITY_RANKS[priority],
            deadline_s,
            self._number,
            size_bytes,
            future,
            whole_chunk,
        )
        heapq.heappush(self._queue, chunk)
        self._queued_bytes += size_bytes
        return await future

    def queue_delay_s(self, *, now_s: float) -> float:
        """Returns roughly how long a new chunk would queue, in seconds."""
        if not self._queued_bytes:
            return 0.0
        rate = self._usable_bytes_per_s(now_s)
        if rate <= 0:
            return float("inf")
        return self._queued_bytes / rate

    def commit(self, *, size_bytes: int, priority: Priority) -> None:
        """Adds bytes that an accepted request will send.

        Args:
          size_bytes: size; negative for bytes that are sent or given up.
          priority: priority of the request's class.
        """
        self._committed_bytes[PRIORITY_RANKS[priority]] += size_bytes

    def transfer_s(
        self, *, size_bytes: int, priority: Priority, now_s: float
    ) -> float:
        """Returns how long a body takes after all bytes ahead, in seconds."""
        ahead_bytes = size_bytes
        for rank, committed_bytes in self._committed_bytes.items():
            if rank <= PRIORITY_RANKS[priority]:
                ahead_bytes += committed_bytes
        status = self.share.status(now_s=now_s)
        # Bytes lent to peers return within one loan term when this entry is
        # busy.
        rate = max(
            status.allowance_bytes_per_s, self._usable_bytes_per_s(now_s)
        )
        if rate <= 0:
            return float("inf")
        return ahead_bytes / (rate * ACHIEVED_FRACTION)

    def _usable_bytes_per_s(self, now_s: float) -> int:
        status = self.share.status(now_s=now_s)
        rate = status.allowance_bytes_per_s + status.borrowed_bytes_per_s
        return rate - status.lent_bytes_per_s

    def headroom(self, *, now_s: float) -> float:
        """Returns the unused fraction of this entry's share, 0 to 1."""
        usable = self._usable_bytes_per_s(now_s)
        if usable <= 0:
            return 0.0
        used = self.share.status(now_s=now_s).used_bytes_per_s
        return max(0.0, 1.0 - used / usable)

    def _schedule_advance(self, wait_s: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                max(wait_s, MIN_WAIT_S), self._advance
            )

    def _advance(self) -> None:
        self._timer = None
        while self._queue:
            chunk = self._queue[0]
            if chunk.future.done():
                # Its request was cancelled.
                self._pop_first()
                continue
            part = self.share.acquire_part(
                size_bytes=chunk.size_bytes, now_s=time.monotonic()
            )
            if not part.size_bytes:
                self._schedule_advance(part.wait_s)
                return
            self._pop_first()
            left_bytes = chunk.size_bytes - part.size_bytes
            if chunk.whole_chunk and left_bytes:
                self._queued_bytes += left_bytes
                heapq.heappush(
                    self._queue, chunk._replace(size_bytes=left_bytes)
                )
                continue
            chunk.future.set_result(part.size_bytes)

    def _pop_first(self) -> None:
        chunk = heapq.heappop(self._queue)
        self._queued_bytes -= chunk.size_bytes


class Transfer:
    """Paces the bytes of one attempt over one link, in both directions.

    Attributes:
      response_bytes: bytes of the response read so far.
    """

    def __init__(
        self,
        *,
        pacers: tuple[LinkPacer, ...],
        priority: Priority,
        deadline_s: float,
        body_bytes: int,
        response_bytes: int,
    ) -> None:
        """Commits the bytes of the body until `end`.

        Args:
          pacers: outbound and inbound pacer, empty if there is no link.
          priority: priority of the request's class.
          deadline_s: the request's deadline, in monotonic seconds.
          body_bytes: size of the request's body, 0 if it is not known.
          response_bytes: bytes of the response that may cross the link before
            any of them is read.
        """
        self._pacers = pacers
        self._priority = priority
        self._deadline_s = deadline_s
        self._committed_bytes = 0
        self._reserved_bytes = response_bytes
        self.response_bytes = 0
        if pacers:
            self._commit(body_bytes)

    async def reserve_response(self) -> None:
        """Reserves the first bytes of the response, before the request is sent.

        These bytes cross the link as soon as the peer writes them, and wait in
        this side's buffers. If they were counted only when read, many responses
        that begin at once would exceed the link's cap.
        """
        if self._pacers and self._reserved_bytes:
            await self._pacers[1].reserve(
                self._reserved_bytes, self._priority, self._deadline_s
            )

    async def pace_request(self, size_bytes: int) -> int:
        """Waits until bytes of the request may be sent; see `Pace`."""
        if not self._pacers:
            return size_bytes
        granted_bytes = await self._pacers[0].acquire(
            size_bytes, self._priority, self._deadline_s
        )
        self._commit(-min(granted_bytes, self._committed_bytes))
        return granted_bytes

    async def pace_response(self, size_bytes: int) -> int:
        """Waits until bytes of the response may be read; see `Pace`."""
        granted_bytes = min(size_bytes, self._reserved_bytes)
        self._reserved_bytes -= granted_bytes
        if not granted_bytes:
            granted_bytes = size_bytes
            if self._pacers:
                granted_bytes = await self._pacers[1].acquire(
                    size_bytes, self._priority, self._deadline_s
                )
        self.response_bytes += granted_bytes
        return granted_bytes

    def end(self) -> None:
        """Withdraws committed bytes that were not sent."""
        self._commit(-self._committed_bytes)

    def _commit(self, size_bytes: int) -> None:
        if not size_bytes:
            return
        self._committed_bytes += size_bytes
        self._pacers[0].commit(size_bytes=size_bytes, priority=self._priority)


class LinkPacers:
    """Holds the pacers of all links from this entry's availability zone."""

    def __init__(self) -> None:
        """Creates pacers without a link."""
        self._outbound: dict[str, LinkPacer] = {}
        self._inbound: dict[str, LinkPacer] = {}
        self._windows: dict[str, int] = {}
        self._response_bytes: dict[str, float] = {}

    def add(
        self, *, region: str, outbound: LinkPacer, inbound: LinkPacer
    ) -> None:
        """Adds the link to a region."""
        self._outbound[region] = outbound
        self._inbound[region] = inbound

    def set_window_bytes(self, *, region: str, size_bytes: int) -> None:
        """Sets the receive buffer of connections to a region."""
        self._windows[region] = size_bytes

    def window_bytes(self, *, region: str) -> int:
        """Returns the receive buffer of connections to a region."""
        return self._windows.get(region, RECEIVE_BUFFER_BYTES)

    def _unread_response_bytes(self, region: str, response_kind: str) -> int:
        """Returns how much of a response may cross a link before it is read."""
        buffered = 2 * self.window_bytes(region=region) + READ_AHEAD_BYTES
        expected = self._response_bytes.get(response_kind, buffered)
        return int(min(expected, buffered))

    def remove(self, *, region: str) -> None:
        """Removes the link to a region."""
        self._outbound.pop(region, None)
        self._inbound.pop(region, None)
        self._windows.pop(region, None)

    def regions(self) -> tuple[str, ...]:
        """Returns the regions with a link."""
        return tuple(self._outbound)

    def pacers(self, *, region: str) -> tuple[LinkPacer, ...]:
        """Returns the outbound and inbound pacer, empty without a link."""
        if region not in self._outbound:
            return ()
        return self._outbound[region], self._inbound[region]

    def all_pacers(self) -> tuple[LinkPacer, ...]:
        """Returns the pacers of both directions of every link."""
        return tuple(self._outbound.values()) + tuple(self._inbound.values())

    def headroom(self, *, region: str, now_s: float) -> float:
        """Returns the smaller unused fraction of both directions, 0 to 1."""
        smallest = 1.0
        for pacer in self.pacers(region=region):
            smallest = min(smallest, pacer.headroom(now_s=now_s))
        return smallest

    def check_capacity(
        self,
        *,
        region: str,
        priority: Priority,
        body_bytes: int,
        deadline_s: float,
        now_s: float,
    ) -> None:
        """Refuses a request whose link cannot transfer it before its deadline.

        Args:
          region: destination of the request.
          priority: priority of the request's class.
          body_bytes: size of the request's body, 0 if it is not known.
          deadline_s: the request's deadline, in monotonic seconds.
          now_s: monotonic time, in seconds.

        Raises:
          AlmondstairError: `link_full`.
        """
        left_s = deadline_s - now_s
        limit_s = min(MAX_QUEUE_DELAY_S, left_s)
        pacers = self.pacers(region=region)
        for pacer in pacers:
            queue_s = pacer.queue_delay_s(now_s=now_s)
            # Without a queue the link is not the bottleneck.
            if queue_s and queue_s > limit_s:
                raise _link_full(region, queue_s, queue_s)
        if not pacers or not body_bytes:
            return
        # A body that cannot arrive before its deadline would take the link from
        # other requests for nothing.
        transfer_s = pacers[0].transfer_s(
            size_bytes=body_bytes, priority=priority, now_s=now_s
        )
        if transfer_s > left_s:
            raise _link_full(region, transfer_s, transfer_s - left_s)

    def make_transfer(
        self,
        *,
        region: str,
        priority: Priority,
        deadline_s: float,
        body_bytes: int,
        response_kind: str,
    ) -> Transfer:
        """Returns the pacing of one attempt's bytes to and from a region.

        Args:
          region: destination of the request.
          priority: priority of the request's class.
          deadline_s: the request's deadline, in monotonic seconds.
          body_bytes: size of the request's body, 0 if it is not known.
          response_kind: kind of the request; requests of one kind have
            responses of similar size.
        """
        return Transfer(
            pacers=self.pacers(region=region),
            priority=priority,
            deadline_s=deadline_s,
            body_bytes=body_bytes,
            response_bytes=self._unread_response_bytes(region, response_kind),
        )

    def record_response_size(
        self, *, response_kind: str, size_bytes: int
    ) -> None:
        """Updates the expected response size of a kind of request."""
        expected = self._response_bytes.get(response_kind)
        if expected is None or size_bytes < expected:
            self._response_bytes[response_kind] = size_bytes
            return
        self._response_bytes[response_kind] += (
            size_bytes - expected
        ) * SIZE_SMOOTHING


def _link_full(
    region: str, queued_s: float, retry_after_s: float
) -> AlmondstairError:
    if retry_after_s > MAX_RETRY_AFTER_S:
        # Without a share the wait is unknown. A loan from a peer provides one
        # within a moment.
        retry_after_s = MAX_QUEUE_DELAY_S
    return AlmondstairError(
        kind=ErrorKind.LINK_FULL,
        detail=f"the link to {region} has work for {queued_s:.1f} s",
        retry_after_ms=max(MIN_RETRY_AFTER_MS, int(retry_after_s * 1000)),
    )
