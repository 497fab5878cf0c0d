"""Which requests wait at the entry for a free slot, and for how long.

Load pattern: a service takes short and long runs, with aims to match, and is
asked for more than its slots. A long one may wait for long and still be timely,
so queues at upstreams grow until a short one, whose aim allows little, finds
each of them too long: nearly all short ones are refused, and hardly a long one.

So a request whose aim is much longer than the shortest of its service joins no
queue while it can still be timely. It waits here until a slot is free, and
queues stay as short as short runs need them; once its aim is over it joins one
as before, if its queue is short enough for that.
"""

from collections.abc import Iterator
import contextlib
import math

# How many times the shortest aim of its service a request's aim is, from which
# on it can give way to shorter ones.
PATIENT_TIMES = 2.0
# Longest wait at the entry in seconds, whatever the aim: callers of slow work
# may as well come back, and a leaving entry ends in time.
MOST_WAIT_S = 2.0
# Pause between two looks for a free slot, while few wait.
LOOK_S = 0.03
# Requests that look once in a pause; with more the pause grows, so that looks
# take no more than 134 choices a second, however many wait.
LOOKS_A_PAUSE = 4
# Requests, and bytes of their bodies, that wait at one entry at most.
MOST_WAITING = 64
MOST_BYTES = 8 * 1024 * 1024


class EntryWaits:
    """Counts what waits at one entry and says who may."""

    def __init__(self) -> None:
        """Starts with nothing waiting."""
        self._waiting = 0
        self._bytes = 0

    @property
    def look_s(self) -> float:
        """Returns the pause until the next look, in seconds."""
        return LOOK_S * max(1.0, self._waiting / LOOKS_A_PAUSE)

    def has_room(self, *, body_bytes: int) -> bool:
        """Whether one more request may wait."""
        if self._waiting >= MOST_WAITING:
            return False
        return self._bytes + body_bytes <= MOST_BYTES

    @contextlib.contextmanager
    def place(self, *, body_bytes: int) -> Iterator[None]:
        """Counts a request while it waits."""
        self.enter(body_bytes=body_bytes)
        try:
            yield
        finally:
            self.leave(body_bytes=body_bytes)

    def enter(self, *, body_bytes: int) -> None:
        """Counts a request that begins to wait."""
        self._waiting += 1
        self._bytes += body_bytes

    def leave(self, *, body_bytes: int) -> None:
        """Counts a request that waits no more."""
        self._waiting -= 1
        self._bytes -= body_bytes


def patient(*, aim_s: float, shortest_aim_s: float) -> bool:
    """Whether a request's aim lets it give way to others of its service."""
    return aim_s >= PATIENT_TIMES * shortest_aim_s


def most_queue_s(*, aim_s: float, shortest_aim_s: float, age_s: float) -> float:
    """Returns for how long a request may queue at an upstream, in seconds.

    Args:
      aim_s: the request's aim.
      shortest_aim_s: the shortest aim among those of its service.
      age_s: how long ago it arrived.
    """
    if not patient(aim_s=aim_s, shortest_aim_s=shortest_aim_s):
        return math.inf
    if age_s >= aim_s:
        return math.inf
    return 0.0


def goes_on(
    *, aim_s: float, shortest_aim_s: float, age_s: float, run_s: float
) -> bool:
    """Whether waiting here has a chance to make the request timely.

    Args:
      aim_s: the request's aim.
      shortest_aim_s: the shortest aim among those of its service.
      age_s: how long ago it arrived.
      run_s: how long it runs at least, in seconds.
    """
    if not patient(aim_s=aim_s, shortest_aim_s=shortest_aim_s):
        return False
    if age_s >= MOST_WAIT_S:
        return False
    # It starts at the next look at the earliest. Without that part the last to
    # wait are late by a few milliseconds, in slots that others needed.
    return age_s + LOOK_S + run_s < aim_s
