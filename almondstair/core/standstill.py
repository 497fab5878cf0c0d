"""Time for which the loop of this process stood still.

An entry measures how long answers take with a clock that goes on while the
process itself does not. What goes wrong without this: on a machine with little
processor time, or after a pause of the VM, every answer that came meanwhile
looks slow, its upstream is given fewer slots, and callers are refused although
the upstream answers as quickly as ever.
"""

# Pause between two turns of the loop. A standstill is counted as shorter by up
# to this, and each turn costs processor time that control has little of.
TURN_S = 0.05
# Shorter delays of a turn are not counted. Processes that share processors wait
# for each other that long all the time; counted, a slow upstream would look
# less slow on a busy machine, and keep work.
LEAST_S = 0.05


class Standstill:
    """Adds up by how much turns of the loop were late."""

    def __init__(self) -> None:
        """Starts with none."""
        self._total_s = 0.0
        self._due_s: float | None = None

    def turned(self, *, now_s: float) -> None:
        """Takes a turn of the loop; the next one is due after `TURN_S`."""
        self._total_s = self.total_s(now_s=now_s)
        self._due_s = now_s + TURN_S

    def total_s(self, *, now_s: float) -> float:
        """Returns the time stood still so far, a turn that is due included.

        What was received during a standstill is handled before the late turn.
        """
        if self._due_s is None:
            return self._total_s
        late_s = now_s - self._due_s
        if late_s < LEAST_S:
            return self._total_s
        return self._total_s + late_s


def judged_ratio(*, ratio: float, latency_s: float, still_s: float) -> float:
    """Returns a latency over the usual one, without what is not its own fault.

    Args:
      ratio: the measured latency over the usual one.
      latency_s: the measured latency.
      still_s: part of it in which the measuring process stood still. The other
        side may have worked on meanwhile, so the result is never better than
        usual on this ground.
    """
    if ratio <= 1.0 or latency_s <= 0.0:
        return ratio
    own_part = min(1.0, still_s / latency_s)
    return max(1.0, ratio * (1.0 - own_part))
