"""Slow start: limits the usable slots of a cold upstream.

An upstream that is new, was idle or recovers from refusals has cold caches.
Using all its slots at once would make every request on it slow, so its usable
slots start at one, grow with fast answers and shrink when answers get slow.
"""

import math
from typing import NamedTuple

MIN_SLOTS = 1.0
# Slow answers alone reduce the slots to no less than this fraction, rounded up.
# Requests warm a cache: with a single slot it stays cold for several times as
# long, and meanwhile work that moves between regions is refused by each of them
# although slots are free.
SLOW_MIN_FRACTION = 0.5
STEP_BACK_FACTOR = 0.7
FALLING_SAMPLE_WEIGHT = 0.3
RISING_SAMPLE_WEIGHT = 0.01
RATIO_SAMPLE_WEIGHT = 0.3
INITIAL_BACKOFF_S = 0.1


class SlowStartLimits(NamedTuple):
    """Constants of slow start.

    Attributes:
      idle_limit_s: an upstream without work for longer counts as cold.
      min_ramp_s: minimum time to grow from one slot to all.
      good_ratio: answers up to this multiple of the baseline latency grow the
        usable slots.
      slow_ratio: a mean above this multiple of the baseline reduces them.
      step_back_interval_s: minimum time between two reductions.
      max_backoff_s: maximum backoff after repeated refusals.
      long_run_s: a request that holds its slot for longer is long work, or its
        caller reads slowly; its latency is no evidence of cold caches.
    """

    idle_limit_s: float = 60.0
    min_ramp_s: float = 3.0
    good_ratio: float = 1.5
    slow_ratio: float = 2.0
    step_back_interval_s: float = 0.5
    max_backoff_s: float = 5.0
    long_run_s: float = 0.5


DEFAULT_LIMITS = SlowStartLimits()


class BaselineLatency:
    """Tracks the baseline latency of each kind of work.

    A baseline falls quickly and rises slowly, so that the slow answers of a
    cold upstream do not become its baseline.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self._baselines_s: dict[str, float] = {}

    def record(self, *, work: str, latency_s: float) -> float:
        """Records a latency and returns its ratio to the baseline."""
        baseline_s = self._baselines_s.get(work)
        if baseline_s is None or baseline_s <= 0.0:
            self._baselines_s[work] = latency_s
            return 1.0
        weight = RISING_SAMPLE_WEIGHT
        if latency_s < baseline_s:
            weight = FALLING_SAMPLE_WEIGHT
        self._baselines_s[work] = baseline_s + weight * (latency_s - baseline_s)
        return latency_s / baseline_s


class SlowStart:
    """Computes the usable slots of one upstream."""

    def __init__(self, *, slots: int, limits: SlowStartLimits) -> None:
        """Starts with a cold upstream.

        Args:
          slots: slots of the upstream.
          limits: constants of slow start.
        """
        self._slots = slots
        self._limits = limits
        self._usable = MIN_SLOTS
        self._ratio = 1.0
        self._last_growth_s = float("-inf")
        self._last_step_back_s = float("-inf")
        self._last_used_s = float("-inf")
        self._backoff_s = 0.0
        self._blocked_until_s = float("-inf")

    def usable_slots(self, *, now_s: float) -> int:
        """Returns how many slots may be used; 0 only during a backoff."""
        if now_s < self._blocked_until_s:
            return 0
        if now_s - self._last_used_s > self._limits.idle_limit_s:
            self._usable = MIN_SLOTS
        return max(1, min(self._slots, int(self._usable)))

    def set_slots(self, *, slots: int) -> None:
        """Sets the number of slots of the upstream."""
        self._slots = slots
        self._usable = min(self._usable, float(slots))

    def record_answer(self, *, ratio: float, now_s: float) -> None:
        """Records a complete answer.

        Args:
          ratio: its latency over the baseline.
          now_s: monotonic time.
        """
        self._last_used_s = now_s
        self._backoff_s = 0.0
        self._ratio += RATIO_SAMPLE_WEIGHT * (ratio - self._ratio)
        if self._ratio > self._limits.slow_ratio:
            self._step_back(now_s=now_s)
            return
        if ratio > self._limits.good_ratio:
            return
        self._grow(now_s=now_s)

    def record_refusal(self, *, now_s: float) -> None:
        """Records a refusal or a lost connection, which starts a backoff."""
        self._last_used_s = now_s
        self._usable = max(MIN_SLOTS, self._usable * STEP_BACK_FACTOR)
        doubled_s = max(INITIAL_BACKOFF_S, self._backoff_s * 2)
        self._backoff_s = min(doubled_s, self._limits.max_backoff_s)
        self._blocked_until_s = now_s + self._backoff_s

    def _grow(self, *, now_s: float) -> None:
        growth = 1.0 / self._usable
        if self._last_growth_s > float("-inf"):
            slots_per_s = self._slots / self._limits.min_ramp_s
            growth = min(growth, (now_s - self._last_growth_s) * slots_per_s)
        self._last_growth_s = now_s
        self._usable = min(float(self._slots), self._usable + growth)

    def _step_back(self, *, now_s: float) -> None:
        since_s = now_s - self._last_step_back_s
        if since_s < self._limits.step_back_interval_s:
            return
        self._last_step_back_s = now_s
        min_usable = math.ceil(self._slots * SLOW_MIN_FRACTION)
        if self._usable <= min_usable:
            return
        self._usable = max(min_usable, self._usable * STEP_BACK_FACTOR)
