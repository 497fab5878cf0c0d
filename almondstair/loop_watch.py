"""Notes by how much turns of this process's loop are late."""

import asyncio
import time

from almondstair.core.standstill import TURN_S
from almondstair.core.standstill import Standstill
from almondstair.metrics import Metric
from almondstair.metrics import Metrics


class LoopWatch:
    """Turns with the loop and counts how long it stood still."""

    def __init__(self, *, standstill: Standstill, metrics: Metrics) -> None:
        """Makes a watch.

        Args:
          standstill: told of each turn.
          metrics: where whole milliseconds of standstill are counted.
        """
        self._standstill = standstill
        self._metrics = metrics
        self._counted_ms = 0

    async def run(self) -> None:
        """Turns until it is cancelled."""
        while True:
            self._turn(now_s=time.monotonic())
            await asyncio.sleep(TURN_S)

    def _turn(self, *, now_s: float) -> None:
        self._standstill.turned(now_s=now_s)
        total_ms = int(self._standstill.total_s(now_s=now_s) * 1000)
        # Counted at 0 too: a counter that is not sent looks like one that
        # nobody keeps.
        self._metrics.count(
            Metric.STOOD_STILL_MS, by=total_ms - self._counted_ms
        )
        self._counted_ms = total_ms
