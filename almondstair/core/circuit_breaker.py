"""Circuit breaker for calls to a service that does not answer."""

FAILURES_TO_OPEN = 3
PROBE_INTERVAL_S = 0.5


class CircuitBreaker:
    """Allows every call while a service answers, and only probes while not.

    A service that hangs costs each call its whole timeout. A request that
    waits for it holds a slot and is refused late; the symptom is slots in use
    while nothing runs at the upstreams. So after some failures in a row only
    one call per probe interval is allowed, until one is answered.
    """

    def __init__(self) -> None:
        """Starts closed: the service is assumed to answer."""
        self._failures = 0
        self._last_probe_s = 0.0

    def allows_call(self, *, now_s: float) -> bool:
        """Returns whether a call may be made; if open, it is the probe."""
        if self._failures < FAILURES_TO_OPEN:
            return True
        if now_s < self._last_probe_s + PROBE_INTERVAL_S:
            return False
        self._last_probe_s = now_s
        return True

    def record_answer(self) -> None:
        """Records an answer, whatever its content, and closes the breaker."""
        self._failures = 0

    def record_failure(self, *, now_s: float) -> None:
        """Records a call that got no answer."""
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._last_probe_s = now_s
