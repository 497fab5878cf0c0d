"""Measures stalls of this process's event loop."""

import asyncio
import time

from almondstair.core.loop_stall import TICK_INTERVAL_S
from almondstair.core.loop_stall import LoopStall
from almondstair.metrics import Metric
from almondstair.metrics import Metrics


class LoopStallMonitor:
    """Runs periodically on the event loop and counts its stall time."""

    def __init__(self, *, loop_stall: LoopStall, metrics: Metrics) -> None:
        """Starts with no stall counted.

        Args:
          loop_stall: receives the time of each tick.
          metrics: receives the stall time in whole milliseconds.
        """
        self._loop_stall = loop_stall
        self._metrics = metrics
        self._counted_ms = 0

    async def run(self) -> None:
        """Records ticks until it is cancelled."""
        while True:
            self._tick(now_s=time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self, *, now_s: float) -> None:
        self._loop_stall.record_tick(now_s=now_s)
        total_ms = int(self._loop_stall.total_s(now_s=now_s) * 1000)
        # Also counted when 0, so that the counter is always sent and a missing
        # one means that it is not recorded.
        self._metrics.count(
            Metric.LOOP_STALL_MS, by=total_ms - self._counted_ms
        )
        self._counted_ms = total_ms
