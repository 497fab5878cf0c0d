"""The clock that spans, deadlines and ages are measured with."""

import time


def now_s() -> float:
    """Returns seconds on a clock that never jumps and counts suspensions.

    A VM may be suspended for seconds. The monotonic clock leaves that time
    out, so a process that wakes up would take old measurements for fresh ones
    and pass on deadlines that are over; `CLOCK_BOOTTIME` counts it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
