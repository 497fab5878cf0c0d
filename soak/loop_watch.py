"""Notes when the soak's own loop stood still.

The callers and every proxy run in it. What goes wrong unnoticed: on a busy
machine the loop gets no processor for a second, calls through a proxy take
several turns of it and time out, and the gateway behind looks broken.
"""

import asyncio
import time
from typing import NamedTuple

TURN_S = 0.02
# A call of a gateway through a proxy takes about five turns of the loop, and
# times out after one second.
MIN_STALL_S = 0.2


class Stall(NamedTuple):
    """A span in which the loop did not turn.

    Attributes:
      at_s: when it ended, since the watch began.
      length_s: how long it lasted.
    """

    at_s: float
    length_s: float


class LoopWatch:
    """Watches the loop that it runs in.

    Attributes:
      pauses: spans of `PAUSE_S` or more, in their order.
    """

    def __init__(self) -> None:
        """Makes a watch that has seen nothing."""
        self.pauses: list[Stall] = []

    async def run(self) -> None:
        """Watches until it is cancelled."""
        began_s = time.monotonic()
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(TURN_S)
            now_s = time.monotonic()
            length_s = now_s - before_s - TURN_S
            if length_s >= MIN_STALL_S:
                self.pauses.append(Stall(now_s - began_s, length_s))
