"""Slow start: how many slots of a cold upstream are used.

An upstream that is new, was idle, or came back after refusals has cold caches.
Filling all its slots at once makes every request on it slow, so its usable
slots start at one, grow with good answers and step back when they get slow.
"""

import math
from typing import NamedTuple

FLOOR_SLOTS = 1.0
# Slow answers alone leave at least this part of the slots, rounded up. A cache
# gets warm by the requests that it serves: with a single slot it stays cold for
# several times as long, and meanwhile a shift of work is refused by every
# region that it lands on although the slots are there.
SLOW_FLOOR_FRACTION = 0.5
STEP_BACK_FACTOR = 0.7
FALL_WEIGHT = 0.3
RISE_WEIGHT = 0.01
RATIO_WEIGHT = 0.3
FIRST_HOLD_OFF_S = 0.1


class SlowStartLimits(NamedTuple):
    """Constants of the ramp.

    Attributes:
      idle_limit_s: an upstream without work for longer counts as cold.
      least_ramp_s: shortest time from the floor to all slots.
      good_ratio: answers up to this multiple of the usual latency grow it.
      slow_ratio: a mean above this multiple steps it back.
      step_back_interval_s: least time between two steps back.
      longest_hold_off_s: longest pause after repeated refusals.
      long_run_s: a request that holds its slot for longer is long work, or is
        read slowly by its caller; it tells nothing of cold caches.
    """

    idle_limit_s: float = 60.0
    least_ramp_s: float = 3.0
    good_ratio: float = 1.5
    slow_ratio: float = 2.0
    step_back_interval_s: float = 0.5
    longest_hold_off_s: float = 5.0
    long_run_s: float = 0.5


DEFAULT_LIMITS = SlowStartLimits()


class UsualLatency:
    """The usual latency of each kind of work, in seconds.

    It follows a fall quickly and a rise slowly, so that the slow answers of a
    cold upstream do not become the measure for it.
    """

    def __init__(self) -> None:
        """Makes one that knows nothing yet."""
        self._usual_s: dict[str, float] = {}

    def ratio(self, *, work: str, latency_s: float) -> float:
        """Takes a latency and returns it as a multiple of the usual one."""
        usual_s = self._usual_s.get(work)
        if usual_s is None or usual_s <= 0.0:
            self._usual_s[work] = latency_s
            return 1.0
        weight = RISE_WEIGHT
        if latency_s < usual_s:
            weight = FALL_WEIGHT
        self._usual_s[work] = usual_s + weight * (latency_s - usual_s)
        return latency_s / usual_s


class SlowStart:
    """The ramp of one upstream."""

    def __init__(self, *, slots: int, limits: SlowStartLimits) -> None:
        """Makes the ramp of a cold upstream."""
        self._slots = slots
        self._limits = limits
        self._usable = FLOOR_SLOTS
        self._ratio = 1.0
        self._grown_s = float("-inf")
        self._stepped_s = float("-inf")
        self._used_s = float("-inf")
        self._hold_off_s = 0.0
        self._held_until_s = float("-inf")

    def usable_slots(self, *, now_s: float) -> int:
        """Returns how many slots may be used now; 0 only after a refusal."""
        if now_s < self._held_until_s:
            return 0
        if now_s - self._used_s > self._limits.idle_limit_s:
            self._usable = FLOOR_SLOTS
        return max(1, min(self._slots, int(self._usable)))

    def set_slots(self, *, slots: int) -> None:
        """Takes a changed number of slots."""
        self._slots = slots
        self._usable = min(self._usable, float(slots))

    def answered(self, *, ratio: float, now_s: float) -> None:
        """Takes a whole answer and its latency over the usual one."""
        self._used_s = now_s
        self._hold_off_s = 0.0
        self._ratio += RATIO_WEIGHT * (ratio - self._ratio)
        if self._ratio > self._limits.slow_ratio:
            self._step_back(now_s=now_s)
            return
        if ratio > self._limits.good_ratio:
            return
        self._grow(now_s=now_s)

    def refused(self, *, now_s: float) -> None:
        """Takes a refusal or a lost connection."""
        self._used_s = now_s
        self._usable = max(FLOOR_SLOTS, self._usable * STEP_BACK_FACTOR)
        doubled_s = max(FIRST_HOLD_OFF_S, self._hold_off_s * 2)
        self._hold_off_s = min(doubled_s, self._limits.longest_hold_off_s)
        self._held_until_s = now_s + self._hold_off_s

    def _grow(self, *, now_s: float) -> None:
        growth = 1.0 / self._usable
        if self._grown_s > float("-inf"):
            slots_per_s = self._slots / self._limits.least_ramp_s
            growth = min(growth, (now_s - self._grown_s) * slots_per_s)
        self._grown_s = now_s
        self._usable = min(float(self._slots), self._usable + growth)

    def _step_back(self, *, now_s: float) -> None:
        since_s = now_s - self._stepped_s
        if since_s < self._limits.step_back_interval_s:
            return
        self._stepped_s = now_s
        floor = math.ceil(self._slots * SLOW_FLOOR_FRACTION)
        if self._usable <= floor:
            return
        self._usable = max(floor, self._usable * STEP_BACK_FACTOR)
