"""Measures how long the event loop of this process was stalled.

The clock that measures latencies runs on while the process does not. Without
this correction, on a VM with little CPU time or after a pause of the VM, every
answer received meanwhile would look slow: its upstream would be given fewer
slots and callers would be refused, although the upstream is as fast as before.
"""

# Interval of the ticks. A stall is underestimated by up to this much; a shorter
# interval would use more CPU time, of which the control side has little.
TICK_INTERVAL_S = 0.05
# Shorter delays of a tick are ignored. Processes that share CPUs regularly
# wait that long; if that counted, a slow upstream would look less slow on a
# busy host and keep its work.
MIN_STALL_S = 0.05


class LoopStall:
    """Accumulates the lateness of periodic ticks of the event loop."""

    def __init__(self) -> None:
        """Starts without stalls."""
        self._total_s = 0.0
        self._due_s: float | None = None

    def record_tick(self, *, now_s: float) -> None:
        """Records a tick; the next one is due after `TICK_INTERVAL_S`."""
        self._total_s = self.total_s(now_s=now_s)
        self._due_s = now_s + TICK_INTERVAL_S

    def total_s(self, *, now_s: float) -> float:
        """Returns the total stall in seconds, including an overdue tick.

        Data received during a stall is handled before the overdue tick runs.
        """
        if self._due_s is None:
            return self._total_s
        late_s = now_s - self._due_s
        if late_s < MIN_STALL_S:
            return self._total_s
        return self._total_s + late_s


def ratio_without_stall(
    *, ratio: float, latency_s: float, stall_s: float
) -> float:
    """Returns the ratio of a latency to its baseline, without local stalls.

    The peer may have worked on during a stall, so the correction never lowers
    the ratio below 1.

    Args:
      ratio: the measured latency over the baseline.
      latency_s: the measured latency.
      stall_s: part of it during which the measuring process was stalled.
    """
    if ratio <= 1.0 or latency_s <= 0.0:
        return ratio
    stalled_fraction = min(1.0, stall_s / latency_s)
    return max(1.0, ratio * (1.0 - stalled_fraction))
