"""Detection of stalls of the soak's own event loop.

The callers and every proxy run in this loop. On a busy host it may get no
processor time for a second. Calls through a proxy take several iterations of
the loop and then time out, and the gateway behind the proxy looks broken.
"""

import asyncio
import time
from typing import NamedTuple

TICK_S = 0.02
# A gateway's call through a proxy takes about five iterations of the loop and
# times out after one second.
MIN_STALL_S = 0.2


class Stall(NamedTuple):
    """Describes a stall of the event loop.

    Attributes:
      at_s: when it ended, in seconds since the watch started.
      duration_s: its duration in seconds.
    """

    at_s: float
    duration_s: float


class LoopWatch:
    """Records stalls of the event loop that it runs in.

    Attributes:
      stalls: stalls of `MIN_STALL_S` or more, in order of time.
    """

    def __init__(self) -> None:
        """Starts without recorded stalls."""
        self.stalls: list[Stall] = []

    async def run(self) -> None:
        """Records stalls until it is cancelled."""
        began_s = time.monotonic()
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            duration_s = now_s - before_s - TICK_S
            if duration_s >= MIN_STALL_S:
                self.stalls.append(Stall(now_s - began_s, duration_s))
