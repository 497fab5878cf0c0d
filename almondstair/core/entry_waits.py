"""Decides which requests wait at the entry for a free slot, and for how long.

An overloaded service may have short and long requests, with latency targets to
match. A long one can wait for long and still be on time, so queues at upstreams
grow until they are too long for short ones: almost all short requests are
refused, and hardly any long one.

So a request whose latency target is much longer than the shortest of its
service joins no upstream's queue while it can still be on time. It waits here
until a slot is free, so that queues stay short enough for short requests. Once
its latency target has passed, it joins a queue if that is short enough for its
remaining time.
"""

from collections.abc import Iterator
import contextlib
import math

# Ratio of a request's latency target to the shortest one of its service at
# which it starts to yield to shorter requests.
PATIENT_TIMES = 2.0
# Longest queue at an upstream that a returned caller joins while its service
# is crowded, as a multiple of the shortest latency target of the service. It is
# the same for all priorities: if only deadlines bounded it, callers of low
# priorities, which mostly wait longer, would take the places of urgent ones.
RETURNED_QUEUE_TARGETS = 3.0
# Longest wait at the entry, whatever the latency target: callers of slow
# requests can retry, and a draining entry ends in time.
MAX_WAIT_S = 2.0
# Interval between two attempts to find a free slot while few requests wait.
ATTEMPT_INTERVAL_S = 0.03
# Waiting requests above which the interval grows, so that there are at most 134
# attempts per second, however many requests wait.
ATTEMPTS_PER_INTERVAL = 4
# Limits of the waiting requests and of the bytes of their bodies.
MAX_WAITING = 64
MAX_WAITING_BYTES = 8 * 1024 * 1024


class EntryQueue:
    """Counts and limits the requests that wait at one entry."""

    def __init__(self) -> None:
        """Starts without waiting requests."""
        self._waiting = 0
        self._bytes = 0

    @property
    def attempt_interval_s(self) -> float:
        """Returns the time until the next attempt, in seconds."""
        return ATTEMPT_INTERVAL_S * max(
            1.0, self._waiting / ATTEMPTS_PER_INTERVAL
        )

    def has_capacity(self, *, body_bytes: int) -> bool:
        """Returns whether one more request may wait."""
        if self._waiting >= MAX_WAITING:
            return False
        return self._bytes + body_bytes <= MAX_WAITING_BYTES

    @contextlib.contextmanager
    def hold_waiting(self, *, body_bytes: int) -> Iterator[None]:
        """Counts a request while it waits."""
        self.enter(body_bytes=body_bytes)
        try:
            yield
        finally:
            self.leave(body_bytes=body_bytes)

    def enter(self, *, body_bytes: int) -> None:
        """Counts a request that starts to wait."""
        self._waiting += 1
        self._bytes += body_bytes

    def leave(self, *, body_bytes: int) -> None:
        """Stops counting a request that no longer waits."""
        self._waiting -= 1
        self._bytes -= body_bytes


def is_patient(*, target_latency_s: float, shortest_target_s: float) -> bool:
    """Returns whether a request yields to shorter ones of its service."""
    return target_latency_s >= PATIENT_TIMES * shortest_target_s


def max_queue_s(
    *, target_latency_s: float, shortest_target_s: float, age_s: float
) -> float:
    """Returns how long a request may queue at an upstream, in seconds.

    Args:
      target_latency_s: latency target of the request, in seconds.
      shortest_target_s: shortest latency target in its service, in seconds.
      age_s: time since its arrival, in seconds.
    """
    if not is_patient(
        target_latency_s=target_latency_s, shortest_target_s=shortest_target_s
    ):
        return math.inf
    if age_s >= target_latency_s:
        return math.inf
    return 0.0


def max_returned_queue_s(*, shortest_target_s: float) -> float:
    """Returns how long a returned caller may queue at an upstream, in seconds.

    Args:
      shortest_target_s: shortest latency target in its service, in seconds.
    """
    return RETURNED_QUEUE_TARGETS * shortest_target_s


def should_wait(
    *,
    target_latency_s: float,
    shortest_target_s: float,
    age_s: float,
    run_s: float,
) -> bool:
    """Returns whether a request that keeps waiting can still be on time.

    Args:
      target_latency_s: latency target of the request, in seconds.
      shortest_target_s: shortest latency target in its service, in seconds.
      age_s: time since its arrival, in seconds.
      run_s: its shortest expected run time, in seconds.
    """
    if not is_patient(
        target_latency_s=target_latency_s, shortest_target_s=shortest_target_s
    ):
        return False
    if age_s >= MAX_WAIT_S:
        return False
    # It starts at the next attempt at the earliest. Without that interval the
    # last ones would be late by a few milliseconds, in slots that others need.
    return age_s + ATTEMPT_INTERVAL_S + run_s < target_latency_s
