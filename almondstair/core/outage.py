"""Notices that a service does not answer, so that callers need not wait."""

FAILURES_TO_SHUT = 3
PROBE_INTERVAL_S = 0.5


class OutageGate:
    """Lets every call through while a service answers, a few while not.

    A service that hangs costs each call its whole timeout. A request that
    waits for it holds a slot and is refused late; one would see slots taken
    with nothing running at the upstreams. So after some failures in a row
    only one call at a time is let through, until one is answered.
    """

    def __init__(self) -> None:
        """Starts with a service that is taken to answer."""
        self._failures = 0
        self._probe_s = 0.0

    def lets_through(self, *, now_s: float) -> bool:
        """Says whether a call is worth its wait; counts it as the probe."""
        if self._failures < FAILURES_TO_SHUT:
            return True
        if now_s < self._probe_s + PROBE_INTERVAL_S:
            return False
        self._probe_s = now_s
        return True

    def answered(self) -> None:
        """Notes an answer, whatever it says."""
        self._failures = 0

    def failed(self, *, now_s: float) -> None:
        """Notes a call without an answer."""
        self._failures += 1
        if self._failures == FAILURES_TO_SHUT:
            self._probe_s = now_s
