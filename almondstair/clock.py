"""The clock for durations, deadlines and ages."""

import time


def now_s() -> float:
    """Returns seconds on a monotonic clock that includes suspended time.

    A VM may be suspended for seconds. `CLOCK_MONOTONIC` excludes that time, so
    a resumed process would take old measurements for recent ones and forward
    requests after their deadlines; `CLOCK_BOOTTIME` includes it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
